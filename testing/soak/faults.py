"""Faults that draw from random generators of their own, so that the jobs and
faults of a seed do not depend on them; and the record of active faults."""

import asyncio
import contextlib
import math
import random
import signal
import time

PATH_FAULTS = ["refuse", "reset", "one_way"]


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
    """Injects faults of network paths and planned stops of all daemons."""

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"second-{soak.options.seed}")
        self.calm_follows = self.random.random() < 0.5

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
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(0.6))
            self.soak.spawn(self.path_fault())

    async def calm(self):
        """Only planned stops, so that the check applies that other faults
        suspend."""
        while self.soak.faults_active.quiet_since() == math.inf:
            await asyncio.sleep(0.1)
        await self.roll()
