"""Narrow paths to the store and growing configurations, drawn from a random
generator of their own; and what the daemons were told."""

import asyncio
import contextlib
import random
import signal
import time

MAX_ADDED = 4000
ADDED_AT_ONCE = (200, 1600)
REMOVED_AT_ONCE = (1, 300)
# Bytes a second that a narrow path carries.
NARROW_RATES = (100_000, 400_000)
# Part of the daemons that are behind narrow paths all the time.
USUALLY_NARROW = [0, 0, 0.4, 1.0]


class Change:
    """A configuration that was written, and some of the queues that it added
    or removed."""

    def __init__(self, size, added=(), removed=()):
        self.written = time.monotonic()
        self.size = size
        self.added = list(added)
        self.removed = list(removed)


class GrowingConfigurations:
    """Adds and removes queues beside the soak's own, some of it while daemons
    receive it over narrow paths and are restarted."""

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"configurations-{soak.options.seed}")
        self.number = 0
        self.added = []
        self.changes = []

    def choose_paths(self):
        """Puts a share of the daemons behind narrow paths for all the time."""
        share = self.random.choice(USUALLY_NARROW)
        for it in self.soak.daemons:
            if self.random.random() < share:
                it.usual_rate = self.random.uniform(*NARROW_RATES)
                print(f"        {it.name} is behind a path of "
                      f"{it.usual_rate / 1000:.0f} kB/s", flush=True)

    def routes(self, template):
        return [{**template, "name": it, "path_prefix": f"/{it}/",
                 "priority": 0} for it in self.added]

    def record(self, added=(), removed=()):
        """Writes the configuration and notes the change."""
        self.soak.configure()
        row = self.soak.store.rows["op", "", "config"]
        self.changes.append(Change(len(row["value"]), added, removed))

    def add(self):
        count = min(self.random.randint(*ADDED_AT_ONCE),
                    MAX_ADDED - len(self.added))
        if count <= 0:
            return self.remove()
        new = [f"added-{self.number + it}" for it in range(count)]
        self.number += count
        self.added += new
        self.soak.log_fault("configuration", f"{len(self.added)} queues",
                            f"{count} more", 0)
        return self.record(added=[new[0], new[-1]])

    def remove(self):
        count = min(self.random.randint(*REMOVED_AT_ONCE), len(self.added))
        gone = self.random.sample(self.added, count)
        kept = set(self.added) - set(gone)
        self.added = [it for it in self.added if it in kept]
        self.soak.log_fault("configuration", f"{len(self.added)} queues",
                            f"{count} fewer", 0)
        self.record(removed=gone[:2])

    def change(self):
        if self.added and self.random.random() < 0.25:
            self.remove()
        else:
            self.add()

    async def series(self):
        for _ in range(self.random.randint(1, 3)):
            self.change()
            await asyncio.sleep(self.random.choice([0.1, 0.6, 1.5]))

    async def narrow_for(self, daemons, length):
        rate = self.random.uniform(*NARROW_RATES)
        self.soak.log_fault("path to the store", f"{len(daemons)} daemons",
                            f"{rate / 1000:.0f} kB/s", length)
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.soak.faults_active.during("unplanned"))
            for it in daemons:
                stack.enter_context(it.disturbances.during("unplanned"))
                it.store_path.rate = min(rate, it.usual_rate or rate)
            await asyncio.sleep(length)
            for it in daemons:
                it.store_path.rate = it.usual_rate

    def some_daemons(self):
        daemons = self.soak.daemons
        return self.random.sample(daemons,
                                  self.random.randint(1, len(daemons)))

    async def narrow(self):
        await self.narrow_for(self.some_daemons(),
                              self.random.uniform(1, 6))

    async def restart_during_transfer(self):
        """Restarts daemons, often the leader, while a change is on its way
        over narrow paths."""
        daemons = self.some_daemons()
        narrow = asyncio.ensure_future(
            self.narrow_for(daemons, self.random.uniform(3, 7)))
        self.add()
        for _ in range(self.random.randint(1, 2)):
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
            target = (self.soak.leader() if self.random.random() < 0.5
                      else self.random.choice(daemons))
            await self.restart(target)
        await narrow

    async def restart(self, daemon):
        kind = self.random.choice(["kill", "term"])
        self.soak.log_fault("daemon", daemon.name, f"{kind} in transfer", 0)
        if kind == "term":
            return await self.soak.stop_for(daemon)
        with self.soak.faults_active.during("unplanned"):
            await daemon.stop(signal.SIGKILL)
            await self.soak.restart(daemon)
        return None

    async def inject(self, until):
        faults = [self.narrow, self.series, self.restart_during_transfer]
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(0.4))
            self.soak.spawn(self.random.choice(faults)())

    async def keep_changing(self):
        while True:
            await self.series()
            await asyncio.sleep(self.random.uniform(3, 6))
