"""Checks that daemons apply configurations in time, and that questions about
accepted jobs are answered."""

import asyncio
import math
import random
import time

import http_stub
from daemons import HOST

# The platform's times: a daemon whose process and path have been calm for
# STABLE_S handles requests by a configuration APPLY_S after it was written.
STABLE_S = 3
APPLY_S = 2
# An accepted job is known to all daemons.
VISIBLE_S = 3
# The platform lets an ended job be forgotten after 120 s.
KEPT_S = 60
# Without any fault in the cell. A daemon that has been restarted takes its time
# for the store and for a leader.
CALM_S = 8
DEADLINE_MS = 3000
PERIOD_S = 0.5
# A longer gap means that the soak itself was held up, and the paths with it.
LONGEST_GAP_S = 0.5
UNKNOWN = (401, 403, 404)


class AnswerCheck:
    """Asks daemons for queues that came or went, and about accepted jobs."""

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random()
        self.held_up = -math.inf
        self.asked = {"queues": 0, "jobs": 0}
        self.reported = set()

    def violate(self, what, name, answer):
        """Reports the first of the same answers of a daemon."""
        if (what, name) not in self.reported:
            self.reported.add((what, name))
            self.soak.promises.violate(f"{what} {name}: {answer}")

    # Configurations

    def transfer_s(self, daemon, since=math.inf):
        """Returns the time that the bytes of a configuration need, those of
        one that was on its way when it was written, and those of other tables
        since then, such as the jobs that a new leader loads."""
        if daemon.usual_rate is None:
            return 0
        size = max((it.size for it in self.soak.configurations.changes),
                   default=0)
        others = sum(length for begin, table, length in
                     daemon.store_path.answers
                     if begin >= since and table != "op")
        return (2 * size + others) / daemon.usual_rate

    def is_due(self, daemon, change, sent):
        """Whether a daemon handles a request by this change."""
        calm = max(daemon.disturbances.quiet_since(), self.held_up)
        transfer = self.transfer_s(daemon, max(change.written, calm))
        return (daemon.running() and
                sent > change.written + APPLY_S + transfer and
                sent > calm + STABLE_S + transfer)

    def due_queues(self, daemon, sent):
        """Returns the queues of the latest change that is due: pairs of name
        and whether it is there now, for those that nothing has touched since.
        """
        changes = self.soak.configurations.changes
        there = set(self.soak.configurations.added)
        for it in reversed(changes):
            if self.is_due(daemon, it, sent):
                return ([(name, True) for name in it.added if name in there] +
                        [(name, False) for name in it.removed])
        return []

    async def ask_for_queue(self, daemon, name, there):
        sent = time.monotonic()
        status = await self.status(daemon, f"/{name}/", "k-a")
        self.asked["queues"] += 1
        # Removed while the question was open.
        if there and name not in self.soak.configurations.added:
            return
        where = f"{name} at {daemon.name}"
        answer = self.describe(status, sent)
        if self.undisturbed(daemon, sent):
            if there and status in UNKNOWN:
                self.violate("CONFIG added queue", where, answer)
            if not there and status == 200:
                self.violate("CONFIG removed queue", where, answer)
        if there and status != 200 and self.is_calm(sent):
            self.violate("LOST no count of queue", where, answer)

    def describe(self, status, sent):
        return (f"{status or 'no answer'} after "
                f"{time.monotonic() - sent:.2f} s")

    def undisturbed(self, daemon, sent):
        return daemon.disturbances.quiet_since() < sent

    # Jobs

    def is_calm(self, sent):
        # The end of the run kills the daemons, which is no fault.
        if self.soak.over:
            return False
        quiet = max(self.soak.faults_active.quiet_since(), self.held_up)
        return sent > quiet + CALM_S

    def has_routes(self, daemon, sent):
        """Whether a daemon has the queues of the jobs, which route changes
        remove for a while."""
        return sent > (self.soak.route_changes.last_change + APPLY_S +
                       self.transfer_s(daemon))

    def known_jobs(self):
        now = time.monotonic()
        return [name for name, it in self.soak.promises.jobs.items()
                if it["accepted"] and not it["cancelled"] and
                VISIBLE_S < now - it["accepted_at"] < KEPT_S]

    async def ask_about_job(self, daemon, name):
        job = self.soak.promises.jobs[name]
        sent = time.monotonic()
        status = await self.status(daemon, f"/{job['queue']}/{name}",
                                   job["key"])
        self.asked["jobs"] += 1
        if status != 200 and self.is_calm(sent):
            self.violate("LOST GET", f"{name} at {daemon.name}",
                         self.describe(status, sent))

    async def status(self, daemon, path, key):
        """Returns 0 when no answer came within the deadline."""
        try:
            status, _ = await http_stub.call(
                HOST, daemon.callers, "GET", path, None,
                [f"Authorization: Bearer {key}", f"Deadline-Ms: {DEADLINE_MS}"],
                timeout=DEADLINE_MS / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError):
            return 0
        return status

    async def look(self, daemon):
        sent = time.monotonic()
        for name, there in self.due_queues(daemon, sent):
            await self.ask_for_queue(daemon, name, there)
        jobs = self.known_jobs()
        if jobs and self.is_calm(sent) and self.has_routes(daemon, sent):
            await self.ask_about_job(daemon, self.random.choice(jobs))

    async def watch(self, daemon):
        while not self.soak.over:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * PERIOD_S)
            await self.look(daemon)

    async def watch_itself(self):
        while not self.soak.over:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            if time.monotonic() - before > LONGEST_GAP_S:
                self.held_up = time.monotonic()

    async def run(self):
        await asyncio.gather(self.watch_itself(),
                             *map(self.watch, self.soak.daemons))
