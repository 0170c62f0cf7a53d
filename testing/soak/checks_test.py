#!/usr/bin/env python3
"""Tests that the soak's checks see what workers and callers see, without
daemons."""

import asyncio
import math
import sys
import time
import types

import http_stub
from answer_check import (APPLY_S, CALM_S, STABLE_S, VISIBLE_S,
                          AnswerCheck)
from configurations import Change
from faults import ActiveFaults
from idle_check import AFTER_FAULT_S, LONGEST_GAP_S, LONGEST_WAIT_S, IdleCheck
from store import Store
from workers import ATTEMPTS, CANCEL_S, Promises, Worker

HOST = "127.0.0.1"
FIRST_PORT = 30_050
NAME = "0" * 16
TASK = f"{NAME}.0.0.0"


def make_job(**changes):
    return {"account": "a", "spec": "s", "accepted": True, "cancelled": False,
            "poisoned": False, "steps": [{"count": 1, "cpu": 500, "run_s": 60}],
            **changes}


async def make_workers(count):
    promises = Promises()
    promises.accounts = {"a": 0}
    promises.jobs[NAME] = make_job()
    workers = [Worker(f"w-{it}", HOST, FIRST_PORT + it, "north", promises,
                      Store()) for it in range(count)]
    for it in workers:
        await it.listen()
    return promises, workers


async def start_run(worker, run):
    """Returns the status, or the kind of failure that the caller sees."""
    order = {"task": TASK, "run": run, "fencing_token": 1, "spec": "s",
             "deadline_ms": worker.clock_ms() + 60_000}
    try:
        status, _ = await http_stub.call(worker.host, worker.port, "POST",
                                         "/v1/run-start", order, timeout=1)
        return status
    except (OSError, asyncio.TimeoutError) as it:
        return type(it).__name__


async def counts_two_runs_behind_a_faulty_path():
    """Guards against a checker that ends a run when its worker is hidden."""
    failures = []
    for kind, seen in [("refuse", "ConnectionRefusedError"),
                       ("reset", "ConnectionResetError NoAnswer"),
                       ("one_way", "TimeoutError")]:
        promises, (first, second) = await make_workers(2)
        before = await start_run(first, 1)
        first.break_path(kind)
        during = await start_run(first, 1)
        await start_run(second, 2)
        await first.mend_path()
        after = await start_run(first, 1)
        if (before, after) != (200, 200) or during not in seen.split():
            failures.append(f"{kind}: {before}, {during}, {after}")
        if not any(it.startswith("TWICE") for it in promises.violations):
            failures.append(f"{kind}: two runs were not counted")
        for it in (first, second):
            it.listener.close()
    return failures


async def counts_acknowledged_ends_unless_the_lease_has_lapsed():
    """Guards against a checker that misses a start after an acknowledged end,
    or counts an end whose worker's lease lapsed before."""
    failures = []
    for lapsed in (False, True):
        promises, (first, second) = await make_workers(2)
        await start_run(first, 1)
        first.end((TASK, 1), "done")
        if lapsed:
            first.lease_ms = 0
        await asyncio.sleep(0.01)
        await first.hold({"fencing_token": 1, "ack_cursor": 1,
                          "deadline_ms": first.clock_ms() + 1000})
        await start_run(second, 2)
        if any("acked" in it for it in promises.violations) == lapsed:
            failures.append(f"lapsed: {lapsed}, {promises.violations}")
        for it in (first, second):
            it.listener.close()
    return failures


async def counts_starts_that_are_not_answered():
    """Guards against a checker that counts only what daemons were told."""
    promises, (first, second) = await make_workers(2)
    first.break_path("one_way")
    await start_run(first, 1)
    await start_run(second, 2)
    for it in (first, second):
        it.listener.close()
    return [] if promises.violations else ["two runs were not counted"]


async def counts_starts_of_cancelled_jobs_that_come_too_late():
    """Guards against a checker that does not see a job run after its
    cancelling was answered, or counts a start within the allowed time."""
    failures = []
    for age_s in (CANCEL_S - 1, CANCEL_S + 0.1):
        promises, workers = await make_workers(1)
        promises.jobs[NAME].update(
            cancelled=True, cancel_acknowledged=time.monotonic() - age_s)
        await start_run(workers[0], 1)
        if bool(promises.violations) != (age_s > CANCEL_S):
            failures.append(f"{age_s:.1f} s: {promises.violations}")
        workers[0].listener.close()
    return failures


async def tells_waiting_jobs_from_jobs_that_cannot_run():
    """Guards against an idle check that blames the daemons for other causes."""
    failures = []
    failed = {TASK: ATTEMPTS}
    for label, expected, changes, failed_tasks, fault_age in [
            ("waiting", True, {}, {}, AFTER_FAULT_S),
            ("poisoned", False, {"poisoned": True}, {}, AFTER_FAULT_S),
            ("not accepted", False, {"accepted": False}, {}, AFTER_FAULT_S),
            ("cancelled", False, {"cancelled": True}, {}, AFTER_FAULT_S),
            ("failed by chance", False, {}, failed, AFTER_FAULT_S),
            ("after a fault", False, {}, {}, AFTER_FAULT_S - 1)]:
        promises = Promises()
        promises.accounts = {"a": 0}
        promises.jobs[NAME] = make_job(**changes)
        promises.failures.update(failed_tasks)
        worker = Worker("w", HOST, FIRST_PORT, "north", promises, Store())
        faults = ActiveFaults()
        check = IdleCheck(promises, [worker], faults)
        waited = LONGEST_WAIT_S + 0.1
        start = time.monotonic() - waited
        faults.ended["unplanned"] = start - fault_age
        check.free_since = check.active_since[NAME] = start
        check.last_look = time.monotonic() - LONGEST_GAP_S / 2
        check.look()
        if bool(promises.violations) != expected:
            failures.append(f"{label}: {promises.violations}")
    return failures


class FakeDaemon:
    """Answers each path with one status; 0: with none."""

    name = "entry-0"
    callers = FIRST_PORT + 10

    def __init__(self, statuses, usual_rate=None, answers=()):
        self.statuses = statuses
        self.usual_rate = usual_rate
        self.store_path = types.SimpleNamespace(answers=answers)
        self.disturbances = ActiveFaults()

    def running(self):
        return True

    async def handle(self, request):
        status = self.statuses.get(request.path, 200)
        if not status:
            raise http_stub.Withhold
        return status, {}


async def ask_fake_daemon(daemon, calm_s=60, age_s=60, fault_s=60, size=0,
                          over=False):
    """Looks once at a daemon that has been calm for calm_s, age_s after a
    change that added queue "new" and removed "old", and fault_s after the last
    fault in the cell. Returns the violations."""
    now = time.monotonic()
    promises = Promises()
    promises.jobs[NAME] = make_job(queue="plain", key="k-a",
                                   accepted_at=now - VISIBLE_S - 1)
    change = Change(size, added=["new"], removed=["old"])
    change.written = now - age_s
    daemon.disturbances.ended["unplanned"] = now - calm_s
    faults = ActiveFaults()
    faults.ended["unplanned"] = now - fault_s
    soak = types.SimpleNamespace(
        promises=promises, faults_active=faults, daemons=[daemon], over=over,
        configurations=types.SimpleNamespace(changes=[change], added=["new"]),
        route_changes=types.SimpleNamespace(last_change=-math.inf))
    listener = await http_stub.serve(HOST, daemon.callers, daemon.handle)
    await AnswerCheck(soak).look(daemon)
    listener.close()
    return promises.violations


NEW, OLD, JOB = "/new/", "/old/", f"/plain/{NAME}"
APPLIED = {OLD: 404}
OUTDATED = {NEW: 404}


async def finds_daemons_that_never_apply_a_configuration():
    """Guards against a check that lets a daemon keep an outdated configuration,
    or blames one whose path is disturbed or needs longer."""
    failures = []
    # Of 1 MB at 100 kB/s.
    transfer_s = 20
    now = time.monotonic()
    jobs, again = [[(now - 1, table, 300_000)] for table in ("jobs", "op")]
    for label, expected, statuses, rate, times, *answers in [
            ("applied", 0, APPLIED, None, {}),
            ("never applies", 2, OUTDATED, None, {}),
            ("no longer serves", 1, {OLD: 404, NEW: 401}, None, {}),
            ("keeps a removed queue", 1, {}, None, {}),
            ("never applies, restarted long ago", 2, OUTDATED, None,
             {"calm_s": STABLE_S + 0.1}),
            ("restarted just now", 0, OUTDATED, None,
             {"calm_s": STABLE_S - 0.5}),
            ("never applies, written long ago", 2, OUTDATED, None,
             {"age_s": APPLY_S + 0.1}),
            ("written just now", 0, OUTDATED, None, {"age_s": APPLY_S - 0.5}),
            ("never applies, narrow path", 2, OUTDATED, 100_000,
             {"age_s": APPLY_S + transfer_s + 0.1}),
            ("on its way over a narrow path", 0, OUTDATED, 100_000,
             {"age_s": APPLY_S + transfer_s - 0.5}),
            ("behind the jobs of a leader", 0, OUTDATED, 100_000,
             {"age_s": APPLY_S + transfer_s + 1}, jobs),
            ("received again and again", 2, OUTDATED, 100_000,
             {"age_s": APPLY_S + transfer_s + 1}, again)]:
        daemon = FakeDaemon(statuses, rate, *answers)
        violations = await ask_fake_daemon(
            daemon, **{"fault_s": 1, "size": 1_000_000, **times})
        if ([it.split()[0] for it in violations] != ["CONFIG"] * expected):
            failures.append(f"{label}: {violations}")
    return failures


async def finds_daemons_that_do_not_answer_in_calm_time():
    """Guards against a check that takes silence or a refusal for an answer, or
    counts them beside faults or after the end of the run."""
    failures = []
    silent = {JOB: 0, NEW: 0}
    for label, expected, statuses, fault_s, over in [
            ("answers", [], {}, CALM_S + 0.1, False),
            ("silent about jobs", ["LOST GET"], {JOB: 0}, CALM_S + 0.1, False),
            ("504 about jobs", ["LOST GET"], {JOB: 504}, CALM_S + 0.1, False),
            ("503 about jobs", ["LOST GET"], {JOB: 503}, CALM_S + 0.1, False),
            ("silent about queues", ["LOST no"], {NEW: 0}, CALM_S + 0.1, False),
            ("silent after a fault", [], silent, CALM_S - 0.5, False),
            ("killed at the end of the run", [], silent, CALM_S + 0.1, True)]:
        daemon = FakeDaemon({**APPLIED, **statuses})
        violations = await ask_fake_daemon(daemon, fault_s=fault_s, over=over)
        if [" ".join(it.split()[:2]) for it in violations] != expected:
            failures.append(f"{label}: {violations}")
    return failures


async def finds_answers_that_come_after_the_deadline():
    """Guards against a check that waits for an answer without end."""
    daemon = FakeDaemon(APPLIED)

    async def sleep(request):
        if request.path == JOB:
            await asyncio.sleep(4)
        return APPLIED.get(request.path, 200), {}

    daemon.handle = sleep
    violations = await ask_fake_daemon(daemon)
    found = [it for it in violations if it.startswith("LOST GET")]
    return [] if len(found) == len(violations) == 1 else [f"{violations}"]


TESTS = [counts_two_runs_behind_a_faulty_path,
         counts_acknowledged_ends_unless_the_lease_has_lapsed,
         counts_starts_that_are_not_answered,
         counts_starts_of_cancelled_jobs_that_come_too_late,
         tells_waiting_jobs_from_jobs_that_cannot_run,
         finds_daemons_that_never_apply_a_configuration,
         finds_daemons_that_do_not_answer_in_calm_time,
         finds_answers_that_come_after_the_deadline]


def main():
    failures = [f"{test.__name__}: {it}" for test in TESTS
                for it in asyncio.run(test())]
    for it in failures:
        print("FAILED", it)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
