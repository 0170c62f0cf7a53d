#!/usr/bin/env python3
"""Tests that the soak's checks see what workers and callers see, without
daemons."""

import asyncio
import sys
import time

import http_stub
from faults import ActiveFaults
from idle_check import AFTER_FAULT_S, LONGEST_GAP_S, LONGEST_WAIT_S, IdleCheck
from store import Store
from workers import ATTEMPTS, Promises, Worker

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


TESTS = [counts_two_runs_behind_a_faulty_path,
         counts_acknowledged_ends_unless_the_lease_has_lapsed,
         counts_starts_that_are_not_answered,
         tells_waiting_jobs_from_jobs_that_cannot_run]


def main():
    failures = [f"{test.__name__}: {it}" for test in TESTS
                for it in asyncio.run(test())]
    for it in failures:
        print("FAILED", it)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
