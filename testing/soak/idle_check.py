"""Checks that accepted healthy jobs do not wait in a cell that is free."""

import asyncio
import time

from workers import CPU

LONGEST_WAIT_S = 5
AFTER_FAULT_S = 10
PERIOD_S = 0.25
# A longer gap means that the soak itself was held up and saw nothing.
LONGEST_GAP_S = 1


class IdleCheck:
    """Compares waiting jobs with what the stand-in workers run."""

    def __init__(self, promises, workers, faults):
        self.promises = promises
        self.workers = workers
        self.faults = faults
        self.free_since = self.last_look = time.monotonic()
        self.account_since = {}
        self.active_since = {}

    def cell_is_free(self):
        capacity = CPU * len(self.workers)
        used = sum(run["cpu"] for it in self.workers
                   for run in it.runs.values())
        return 2 * used < capacity

    def account_is_free(self, account):
        limit = self.promises.accounts[account]
        return not limit or 2 * self.promises.used(account) < limit

    def look(self):
        now = time.monotonic()
        if now - self.last_look > LONGEST_GAP_S or not self.cell_is_free():
            self.free_since = now
        self.last_look = now
        for it in self.promises.accounts:
            if not self.account_is_free(it):
                self.account_since[it] = now
        since = max(self.free_since, self.faults.quiet_since() + AFTER_FAULT_S)
        running = {task.split(".")[0] for task in self.promises.running}
        for name, job in self.promises.jobs.items():
            if not self.promises.can_finish(name):
                continue
            if name in running:
                self.active_since[name] = now
            idle = max(since, self.account_since.get(job["account"], since),
                       self.active_since.setdefault(name, now))
            if now - idle > LONGEST_WAIT_S and not job.get("waited"):
                job["waited"] = True
                self.promises.violate(
                    f"LOST {name} could run: nothing of it has run for "
                    f"{LONGEST_WAIT_S} s, and half of the cell was free")

    async def run(self):
        while True:
            await asyncio.sleep(PERIOD_S)
            self.look()
