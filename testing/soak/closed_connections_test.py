#!/usr/bin/env python3
"""Tests that workers which do not keep their connections get work, and run no
task twice when they start again."""

import asyncio
import time

import case_runner
from given_up_test import Cell
from hosted_soak import CONNECTIONS
from restarted_worker_test import CASES as RESTARTS
from restarted_worker_test import Case, RestartCell, RestartingWorker
from workers import Worker

FIRST_SEED = 89
JOBS = 20
# Longer than the idle time-out of a worker.
INTERVAL_S = 0.4
RUN_S = 0.1
# Of a task that ends before the reply to its order is given up.
SWAPPED_RUN_S = (0.1,)
# All jobs could run at once.
FINISH_S = 5


class ClosingCell(Cell):
    def __init__(self, program, folder, seed, kind):
        super().__init__(program, folder, seed)
        for it in self.workers:
            it.closing_share, it.idle_s = CONNECTIONS[kind]

    async def run(self, _):
        """Returns what went wrong."""
        await self.start()
        await self.wait_until_serving()
        names = [f"{it:016x}" for it in range(1, JOBS + 1)]
        for name in names:
            self.add_job(name)
            for step in self.promises.jobs[name]["steps"]:
                step["run_s"] = RUN_S
            self.spawn(self.answer(self.daemons[0], "POST", name))
            await asyncio.sleep(INTERVAL_S)
        deadline = time.monotonic() + FINISH_S
        while time.monotonic() < deadline and self.unfinished_tasks(names):
            await asyncio.sleep(0.1)
        return self.promises.violations + self.unfinished_tasks(names)


class ClosingWorker(RestartingWorker):
    """Leaves calls unanswered whose identification it has answered."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.closing_share, self.idle_s = CONNECTIONS["closed"]

    async def handle(self, request):
        is_identification = (request.path == "/v1/hold" and
                             "deadline_ms" not in request.body)
        if is_identification and self.withholds(request):
            return await Worker.handle(self, request)
        return await super().handle(request)


class SwappedWorker(ClosingWorker):
    """Starts again between the identification and the calls that follow it: a
    renewal reaches the next incarnation after an order of which it has an
    end."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.swaps = False
        self.order_arrived = asyncio.Event()
        self.renewal_arrived = asyncio.Event()
        self.ended = asyncio.Event()
        self.renewed = asyncio.Event()

    async def handle(self, request):
        if not self.swaps:
            return await super().handle(request)
        if request.path == "/v1/run-start" and not self.order_arrived.is_set():
            self.order_arrived.set()
            await self.renewal_arrived.wait()
            self.start_again()
            answer = await self.carry_out(request)
            while self.runs:
                await asyncio.sleep(0.01)
            self.ended.set()
            return answer
        is_renewal = (request.path == "/v1/hold" and
                      "deadline_ms" in request.body)
        if self.renewal_arrived.is_set():
            # A call that arrived before would make the renewal void.
            await self.renewed.wait()
        elif self.order_arrived.is_set() and is_renewal:
            self.renewal_arrived.set()
            await self.ended.wait()
            self.swaps = False
            self.announces = True
            # Keeps the next call until the renewal is carried out.
            asyncio.get_running_loop().call_soon(self.renewed.set)
        return await super().handle(request)


class ClosingRestartCell(RestartCell):
    worker_type = ClosingWorker


class SwappedCell(RestartCell):
    worker_type = SwappedWorker

    async def run(self, case):
        """Returns what went wrong."""
        await self.start()
        await self.wait_until_serving()
        handing_in = asyncio.ensure_future(self.hand_in_jobs(case))
        await asyncio.sleep(3)
        worker = self.restarting[0]
        worker.swaps = True
        await asyncio.wait_for(worker.ended.wait(), 10)
        await asyncio.sleep(3)
        self.sending = False
        await handing_in
        await asyncio.sleep(FINISH_S)
        names = list(self.promises.jobs)
        return self.promises.violations + self.unfinished_tasks(names)


# How the workers treat connections, or what they do beside closing each.
CASES = {
    **{it: it for it in CONNECTIONS},
    **{it: RESTARTS[it] for it in ("unnoticed", "late-calls", "behind-a-cut")},
    "swapped": Case(None, run_s=SWAPPED_RUN_S),
}


def make_cell(program, folder, seed, case):
    if isinstance(case, str):
        return ClosingCell(program, folder, seed, case)
    if case is CASES["swapped"]:
        return SwappedCell(program, folder, seed)
    return ClosingRestartCell(program, folder, seed)


if __name__ == "__main__":
    case_runner.main(__doc__, CASES, FIRST_SEED, make_cell)
