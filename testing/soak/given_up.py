"""Submissions that their callers give up at a frozen daemon and cancel at
another one."""

import asyncio
import random
import signal
import time

import http_stub
from daemons import HOST

CANCEL_PATIENCE_S = 0.8
# The platform lets a cancelled job be forgotten after 120 s.
FINAL = ("completed", "failed", "cancelled")


async def call_and_leave(daemon, request, patience_s, closes=True):
    """Returns the status of a call, 0 if there was none in time. A balancer may
    keep the connection open when its client has gone."""
    connection = None
    try:
        connection = await http_stub.Connection.open(HOST, daemon.callers)
        status, _ = await asyncio.wait_for(connection.ask(*request), patience_s)
        return status
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            IndexError, ValueError):
        return 0
    finally:
        if connection is not None and closes:
            connection.close()


async def cancel_until_acknowledged(job, request, daemons, deadline):
    """Cancels a job at one daemon after the other; notes the time of the
    answer. Returns its status, 0 if there was none by the deadline."""
    while time.monotonic() < deadline:
        for it in daemons:
            status = await call_and_leave(it, request, CANCEL_PATIENCE_S)
            if status in (200, 410):
                job["cancelled"] = True
                job["cancel_acknowledged"] = time.monotonic()
                return status
        await asyncio.sleep(0.1)
    return 0


class GivenUpSubmissions:
    """Freezes daemons and hands jobs in there, whose callers leave and cancel
    them elsewhere; meanwhile the leader may be frozen, killed or stopped."""

    RATE = 0.35

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"given-up-{soak.options.seed}")
        self.number = 0

    def add_job(self):
        self.number += 1
        name = f"{self.soak.options.seed & 0xffffffff:08x}f{self.number:07x}"
        steps = [{"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 500,
                  "run_s": self.random.uniform(0.5, 4),
                  "after": [step - 1] if step else []} for step in range(2)]
        self.soak.promises.jobs[name] = {
            "key": "k-a", "account": "a", "steps": steps, "spec": name,
            "refused": False, "maybe_accepted": True, "accepted": False,
            "cancelled": True, "poisoned": False, "given_up": True,
            "queue": "plain"}
        return name

    def request(self, method, name):
        job = self.soak.promises.jobs[name]
        deadline_ms = self.random.choice([300, 3000, 20_000])
        return (method, f"/{job['queue']}/{name}",
                self.soak.body_of(job) if method == "POST" else None,
                [f"Authorization: Bearer {job['key']}",
                 f"Deadline-Ms: {deadline_ms}"])

    async def give_up(self, daemon, name):
        job = self.soak.promises.jobs[name]
        await call_and_leave(daemon, self.request("POST", name),
                             self.random.uniform(0.1, 1),
                             self.random.random() < 0.5)
        others = [it for it in self.soak.daemons if it is not daemon]
        self.random.shuffle(others)
        # Also while the daemon is frozen, and after it has woken.
        await asyncio.sleep(self.random.choice([0, 0, 0.5]))
        await cancel_until_acknowledged(
            job, (*self.request("DELETE", name)[:3],
                  [f"Authorization: Bearer {job['key']}", "Deadline-Ms: 800"]),
            others, time.monotonic() + 20)
        await asyncio.sleep(1)
        await self.check_state(name)

    async def check_state(self, name):
        """A cancelled job is not shown as one that may still run."""
        job = self.soak.promises.jobs[name]
        if "cancel_acknowledged" not in job:
            return
        try:
            status, body = await self.soak.call("GET", name)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError):
            return
        if status == 200 and body.get("state") not in FINAL:
            self.soak.promises.violate(
                f"UNASKED {name} is shown as {body.get('state')} after its "
                "cancelling was answered")

    async def disturb_leader(self):
        leader = self.soak.leader()
        kind = self.random.choice(["", "", "kill", "stop", "pause"])
        if kind == "kill":
            await leader.stop(signal.SIGKILL)
            await self.soak.restart(leader)
        elif kind == "stop":
            await self.soak.stop_for(leader)
        elif kind == "pause":
            await self.pause(leader, self.random.uniform(0.5, 3))

    async def pause(self, daemon, length):
        with daemon.disturbances.during("unplanned"):
            daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            daemon.signal(signal.SIGCONT)

    async def submit_at_frozen(self):
        daemon = (self.soak.leader() if self.random.random() < 0.3 else
                  self.random.choice(self.soak.daemons))
        length = self.random.uniform(0.5, 5)
        self.soak.log_fault("daemon", daemon.name, "given up", length)
        with self.soak.faults_active.during("unplanned"):
            pausing = asyncio.ensure_future(self.pause(daemon, length))
            await asyncio.sleep(0.05)
            for _ in range(self.random.randint(1, 4)):
                self.soak.spawn(self.give_up(daemon, self.add_job()))
            await asyncio.sleep(self.random.uniform(0, 1.5))
            await self.disturb_leader()
            await pausing

    async def inject(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(self.RATE))
            self.soak.spawn(self.submit_at_frozen())
