"""Faults that draw from random generators of their own, so that the jobs and
faults of a seed do not depend on them; and the record of active faults."""

import asyncio
import contextlib
import math
import random
import signal
import time

PATH_FAULTS = ["refuse", "reset", "one_way"]
FLOOD_SHARE = 0.85
POISONED_SHARE = 0.04


class ActiveFaults:
    """Tells when the last fault was active. Planned faults are stops by
    SIGTERM; all others are unplanned."""

    KINDS = ("planned", "unplanned")

    def __init__(self):
        self.active = dict.fromkeys(self.KINDS, 0)
        self.ended = dict.fromkeys(self.KINDS, -math.inf)

    @contextlib.contextmanager
    def during(self, kind):
        self.active[kind] += 1
        try:
            yield
        finally:
            self.active[kind] -= 1
            self.ended[kind] = time.monotonic()

    def quiet_since(self, *kinds):
        """Returns the end of the last fault, infinity while one is active."""
        return max(math.inf if self.active[it] else self.ended[it]
                   for it in kinds or self.KINDS)


class SecondFaults:
    """Injects faults of network paths and floods of poisoned
    jobs."""

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"second-{soak.options.seed}")
        self.poison_random = random.Random(f"poison-{soak.options.seed}")
        self.flood_until = 0
        self.calm_follows = self.random.random() < 0.5

    def poisons(self):
        """Decides whether the tasks of the next job always fail."""
        flood = time.monotonic() < self.flood_until
        return self.poison_random.random() < (FLOOD_SHARE if flood
                                              else POISONED_SHARE)

    async def path_fault(self):
        it = self.random.choice(self.soak.workers)
        kind = self.random.choice(PATH_FAULTS)
        length = self.random.uniform(0.5, 7)
        if it.path:
            return
        self.soak.log_fault("path", it.id, kind, length)
        with self.soak.faults_active.during("unplanned"):
            it.break_path(kind)
            await asyncio.sleep(length)
            await it.mend_path()

    async def flood(self):
        length = self.random.uniform(2, 5)
        self.soak.log_fault("poisoned jobs", "load", "flood", length)
        self.flood_until = time.monotonic() + length
        await asyncio.sleep(length)

    async def roll(self):
        """Stops all daemons as planned: one after another, or at once, and
        then none starts before all are gone."""
        pause = self.random.choice([0, 0, 0.5, 2.5])
        self.soak.log_fault("daemon", "all", "roll", pause)
        daemons = self.soak.daemons
        with self.soak.faults_active.during("planned"):
            if not pause:
                await asyncio.gather(*(it.stop(signal.SIGTERM)
                                       for it in daemons))
                await asyncio.gather(*map(self.soak.restart, daemons))
                return
            stops = []
            for it in self.random.sample(daemons, len(daemons)):
                stops.append(asyncio.ensure_future(self.soak.stop_for(it)))
                await asyncio.sleep(pause)
            await asyncio.gather(*stops)

    async def inject(self, until):
        faults = [self.path_fault, self.path_fault, self.flood]
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(0.6))
            self.soak.spawn(self.random.choice(faults)())

    async def calm(self, length):
        """Only planned stops and then poisoned jobs, so that the checks apply
        which other faults suspend."""
        while self.soak.faults_active.quiet_since() == math.inf:
            await asyncio.sleep(0.1)
        await self.roll()
        until = time.monotonic() + length
        while time.monotonic() < until:
            await self.flood()
