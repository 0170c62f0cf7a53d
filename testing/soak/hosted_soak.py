#!/usr/bin/env python3
"""Randomized fault soak of the hosted daemon.

Runs daemons as separate processes on loopback, with stand-ins for the store,
the workers and the advisor. Submits jobs, injects overlapping faults, and
checks the scheduler's promises against what callers and workers observe. A seed
determines the sequence of faults and jobs; the timing differs between runs.
"""

import argparse
import asyncio
import math
import pathlib
import random
import signal
import sys
import tempfile
import time

import http_stub
from answer_check import AnswerCheck
from callers import CALL_TIMEOUT_S, KeptClient
from configurations import GrowingConfigurations
from daemons import HOST, ZONES, Daemon, Ports
from faults import (ActiveFaults, FirstFaults, OddEntries, RouteChanges,
                    SecondFaults)
from given_up import GivenUpSubmissions
from idle_check import IdleCheck
from store import Store
from workers import ATTEMPTS, Promises, Worker, serve_advice

KEYS = {"k-a": "a", "k-b": "b"}
MAX_ACCOUNT_CPU = 40_000
# Time limit in seconds for finishing every accepted job after the last fault:
# the maximum lease, a leader election and the work itself.
FINISH_TIMEOUT_S = 30
# Time without faults after the last planned stop: in its second half the check
# of waiting jobs applies.
CALM_S = 20
# Share of the answers of a worker that close their connection, and its idle
# time-out in seconds.
CONNECTIONS = {"kept": (0, None), "closed": (1, None), "half": (0.5, None),
               "idle": (0, 0.3)}
# Of the workers that do not keep their connections.
CLOSING_SHARE = 0.3
# Otherwise only configurations change for this time, so that the check of
# answers applies.
SETTLE_S = 13
ROUTE = {"host": "soak.example", "service": "s", "attempts": ATTEMPTS,
         "stretch": 3}
ROUTES = [{**ROUTE, "name": "plain", "path_prefix": "/plain/", "priority": 1,
           "target_latency_ms": 2000},
          {**ROUTE, "name": "asked", "path_prefix": "/asked/", "priority": 0,
           "target_latency_ms": 1000,
           "advice": {"decide_ms": 10, "period_ms": 0.5, "valid_ms": 2500}}]


class Soak:
    """Runs the cell, its callers and the fault injection."""

    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.store = Store()
        self.promises = Promises()
        self.promises.accounts = {"a": 0, "b": MAX_ACCOUNT_CPU}
        self.ports = ports = Ports(options.seed)
        self.daemons = [Daemon(options.program, it, folder, ports.take(6))
                        for it in range(options.daemons)]
        self.workers = [
            Worker(f"w-{it}", HOST, port, ZONES[it % len(ZONES)],
                   self.promises, self.store)
            for it, port in enumerate(ports.take(options.workers))]
        self.odd_entries = OddEntries(HOST, ports.take(1)[0], self.store,
                                      self.promises)
        self.version = 0
        self.routes = [dict(it) for it in ROUTES]
        self.faults = 0
        self.faults_active = ActiveFaults()
        self.first = FirstFaults(self)
        self.second = SecondFaults(self, self.odd_entries)
        self.route_changes = RouteChanges(self)
        self.configurations = GrowingConfigurations(self)
        self.given_up = GivenUpSubmissions(self)
        self.sending = True
        # Ends the callers; wait_for() may swallow their cancellation.
        self.over = False
        self.tasks = set()

    def choose_connections(self):
        """Decides how each worker treats its connections."""
        chooser = random.Random(f"connections-{self.options.seed}")
        for it in self.workers:
            kind = self.options.connections
            if kind == "drawn":
                kind = "kept"
                if chooser.random() < CLOSING_SHARE:
                    kind = chooser.choice(["closed", "half", "idle"])
            it.closing_share, it.idle_s = CONNECTIONS[kind]

    def configure(self):
        self.version += 1
        tenants = [{"name": "a", "api_keys": ["k-a"], "weight": 50},
                   {"name": "b", "api_keys": ["k-b"], "weight": 50,
                    "maximum": {"cpu": MAX_ACCOUNT_CPU}}]
        self.store.put("op", "config", {
            "version": self.version,
            "routes": self.routes + self.configurations.routes(ROUTE),
            "services": [{"name": "s"}], "tenants": tenants, "limits": {}})

    async def start(self):
        self.configure()
        await self.odd_entries.listen()
        for it in self.workers:
            await it.listen()
        for it in self.daemons:
            it.store_path = await self.store.listen(HOST, it.store)
            it.store_path.rate = it.usual_rate
            await serve_advice(HOST, it.advice)
            await it.start()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Callers

    def make_job(self):
        key = self.random.choice(list(KEYS))
        steps = []
        for step in range(self.random.choice([1, 1, 2])):
            steps.append({"count": self.random.randint(1, 4),
                          "cpu": self.random.choice([500, 2000, 5000]),
                          "mem_mb": 100, "estimate_ms": 500,
                          "run_s": self.random.uniform(0.1, 1.5),
                          "after": [step - 1] if step else []})
        return {"key": key, "account": KEYS[key], "steps": steps,
                "spec": f"spec-{self.random.random()}", "refused": False,
                "maybe_accepted": False, "accepted": False,
                "cancelled": False, "poisoned": self.second.poisons(),
                "queue": self.random.choice(["plain", "asked"])}

    async def call(self, method, name, body=None):
        daemon = random.choice(self.daemons)

        async def send(*request):
            return await http_stub.call(HOST, daemon.callers, *request,
                                        timeout=CALL_TIMEOUT_S)

        return await self.ask(daemon, method, name, 3000, send, body)

    async def ask(self, daemon, method, name, deadline_ms, send, body=None):
        """Sends a request about a job to a daemon."""
        job = self.promises.jobs[name]
        headers = [f"Authorization: Bearer {job['key']}",
                   f"Deadline-Ms: {deadline_ms}"]
        sent = time.monotonic()
        try:
            return await send(method, f"/{job['queue']}/{name}", body, headers)
        except http_stub.NoAnswer as it:
            if (daemon.stops_as_planned and
                    self.faults_active.quiet_since("unplanned") < sent):
                self.promises.violate(
                    f"LOST {method} {name} to {daemon.name}, which is being "
                    f"stopped, ended without an answer after "
                    f"{time.monotonic() - sent:.2f} s ({it})")
            raise

    @staticmethod
    def body_of(job):
        return {"spec": job["spec"],
                "steps": [{key: value for key, value in it.items()
                           if key != "run_s"} for it in job["steps"]]}

    async def submit(self, name):
        """Submits a job and retries as a caller does."""
        job = self.promises.jobs[name]
        body = self.body_of(job)
        for _ in range(5):
            try:
                status, _ = await self.call("POST", name, body)
            except ConnectionRefusedError:
                status = 503
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                    IndexError):
                status = 504
            if status == 200:
                job["accepted"] = job["maybe_accepted"] = True
                job["accepted_at"] = time.monotonic()
                return
            if status not in (429, 503):
                job["maybe_accepted"] = True
            job["refused"] = True
            await asyncio.sleep(0.5)

    async def watch(self, name):
        """Submits a job, cancels some, and polls until a final state."""
        job = self.promises.jobs[name]
        cancels = self.random.random() < 0.08
        await self.submit(name)
        if not job["accepted"]:
            return
        if cancels:
            job["cancelled"] = True
            await self.cancel(name)
        while not job.get("shown") and not self.over:
            await asyncio.sleep(self.random.uniform(0.3, 1.0))
            await self.query(name)

    async def cancel(self, name):
        for _ in range(20):
            try:
                status, _ = await self.call("DELETE", name)
                if status in (200, 410):
                    self.promises.jobs[name].setdefault("cancel_acknowledged",
                                                        time.monotonic())
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                    IndexError):
                pass
            await asyncio.sleep(0.3)

    async def query(self, name, call=None):
        job = self.promises.jobs[name]
        try:
            status, body = await (call or self.call)("GET", name)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError):
            return
        if status == 410:
            self.promises.violate(f"LOST {name} is unknown")
            job["shown"] = "lost"
        state = body.get("state") if status == 200 else None
        if state == "completed":
            job["shown"] = state
            for task in self.promises.tasks_of(name):
                if task not in self.promises.done:
                    self.promises.violate(f"MIXED {name} is completed, "
                                          f"{task} has not finished")
        if state in ("failed", "cancelled"):
            job["shown"] = state
            most = self.promises.most_failures(name)
            if state == "failed" and most < ATTEMPTS:
                self.promises.violate(f"LOST {name} is failed, no task of it "
                                      f"has failed more than {most} times")
            if state == "cancelled" and not job["cancelled"]:
                self.promises.violate(f"LOST {name} has state cancelled")

    async def send_jobs(self):
        number = 0
        while self.sending:
            number += 1
            name = f"{self.options.seed & 0xffffffff:08x}{number:08x}"
            self.promises.jobs[name] = self.make_job()
            self.spawn(self.watch(name))
            await asyncio.sleep(self.random.expovariate(self.options.rate))

    # Faults

    async def stop_for(self, it):
        """Stops a daemon as planned and starts it again."""
        with self.faults_active.during("planned"):
            await it.stop(signal.SIGTERM)
            await self.restart(it)

    async def restart(self, it):
        await asyncio.sleep(0.5)
        # A concurrent fault may have restarted or stopped the same process.
        async with it.restarting:
            if not it.running():
                await it.start()

    def leader(self):
        """Returns the daemon that was the last to become leader."""
        return max(self.daemons, key=lambda it: it.leads_since())

    def log_fault(self, what, where, kind, length):
        self.faults += 1
        print(f"{time.monotonic() - self.start_time:7.2f} {what} {where} "
              f"{kind} {length:.1f} s", flush=True)

    # Result

    def unfinished(self):
        return [name for name, it in self.promises.jobs.items()
                if it["accepted"] and not it.get("shown")]

    async def run(self):
        self.start_time = time.monotonic()
        self.configurations.choose_paths()
        self.choose_connections()
        await self.start()
        await asyncio.sleep(2)
        until = time.monotonic() + self.options.seconds
        idle_check = IdleCheck(self.promises, self.workers, self.faults_active)
        answer_check = AnswerCheck(self)
        observers = [asyncio.ensure_future(it.run()) for it in
                     [idle_check, answer_check, *(KeptClient(self, it)
                                                  for it in self.daemons * 3)]]
        load = asyncio.ensure_future(self.send_jobs())
        await asyncio.gather(*(it.inject(until) for it in
                               [self.first, self.second, self.route_changes,
                                self.configurations, self.given_up]))
        await self.settle()
        self.sending = False
        await load
        deadline = time.monotonic() + FINISH_TIMEOUT_S
        while time.monotonic() < deadline:
            await asyncio.sleep(0.5)
            if not self.tasks:
                break
        await self.end_callers(observers)
        for name in self.unfinished():
            self.promises.violate(f"LOST {name} has not finished "
                                  f"{FINISH_TIMEOUT_S} s after the last fault")
        for name, it in self.promises.jobs.items():
            if it.get("started") and not it["maybe_accepted"]:
                self.promises.violate(f"REFUSED {name} started although all "
                                      "attempts were refused")
        for it in self.daemons:
            if not it.running():
                self.promises.violate(f"FAULT {it.name} exited unexpectedly")
            else:
                await it.stop(signal.SIGKILL)
        jobs = [it for it in self.promises.jobs.values()
                if not it.get("given_up")]
        accepted = sum(it["accepted"] for it in jobs)
        print(f"seed {self.options.seed}: {len(jobs)} jobs, {accepted} "
              f"accepted, {self.promises.starts} starts, {self.faults} faults,"
              f" {answer_check.asked} questions,"
              f" {self.given_up.number} given up,"
              f" {len(self.promises.violations)} violations", flush=True)
        if accepted * 4 < len(jobs):
            self.promises.violate("fewer than a quarter of the jobs accepted")
        return not self.promises.violations

    async def settle(self):
        """Lets configurations change after the last unplanned fault."""
        while self.faults_active.quiet_since() == math.inf:
            await asyncio.sleep(0.1)
        changes = asyncio.ensure_future(self.configurations.keep_changing())
        if self.second.calm_follows:
            await self.second.calm(CALM_S)
        else:
            await asyncio.sleep(SETTLE_S)
        changes.cancel()

    async def end_callers(self, observers):
        for it in observers:
            if it.done():
                await it
        self.over = True
        ending = [*observers, *self.tasks]
        for it in ending:
            it.cancel()
        await asyncio.gather(*ending, return_exceptions=True)

    def kill_daemons(self):
        for it in self.daemons:
            if it.running():
                it.process.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="path of mustardwickd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20,
                        help="duration of the load and the faults")
    parser.add_argument("--daemons", type=int, default=5)
    parser.add_argument("--workers", type=int, default=12)
    parser.add_argument("--rate", type=float, default=10,
                        help="jobs per second")
    parser.add_argument("--faults", type=float, default=0.7,
                        help="faults per second")
    parser.add_argument("--connections", choices=["drawn", *CONNECTIONS],
                        default="drawn",
                        help="how workers treat connections to them")
    parser.add_argument("--keep", help="folder for the daemon logs")
    options = parser.parse_args()
    random.seed(options.seed)
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(options.keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(options, folder)
        try:
            passed = asyncio.run(soak.run())
        finally:
            soak.kill_daemons()
        sys.stdout.flush()
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
