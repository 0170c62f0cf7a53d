"""Faults that draw from random generators of their own, so that the jobs and
faults of a seed do not depend on them."""

import asyncio
import random
import time

PATH_FAULTS = ["refuse", "reset", "one_way"]


class SecondFaults:
    """Injects faults of network paths."""

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"second-{soak.options.seed}")

    async def path_fault(self):
        it = self.random.choice(self.soak.workers)
        kind = self.random.choice(PATH_FAULTS)
        length = self.random.uniform(0.5, 7)
        if it.path:
            return
        self.soak.log_fault("path", it.id, kind, length)
        it.break_path(kind)
        await asyncio.sleep(length)
        await it.mend_path()

    async def inject(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(0.6))
            self.soak.spawn(self.path_fault())
