#!/usr/bin/env python3
"""Tests that workers which do not keep their connections get work, and run no
task twice when they start again."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time

from given_up_test import Cell
from hosted_soak import CONNECTIONS
from restarted_worker_test import CASES as RESTARTS
from restarted_worker_test import RestartCell, RestartingWorker
from workers import Worker

SEED = 90
JOBS = 20
# Longer than the idle time-out of a worker.
INTERVAL_S = 0.4
RUN_S = 0.1
# Of a task that ends before the reply to its order is given up.
SWAPPED_RUN_S = [0.1]
# All jobs could run at once.
FINISH_S = 5


class ClosingCell(Cell):
    def __init__(self, program, folder, seed, kind):
        super().__init__(program, folder, seed)
        for it in self.workers:
            it.closing_share, it.idle_s = CONNECTIONS[kind]

    async def run(self):
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
        if self.withholds and is_identification:
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

    async def run(self):
        """Returns what went wrong."""
        await self.start()
        await self.wait_until_serving()
        handing_in = asyncio.ensure_future(self.hand_in_jobs(SWAPPED_RUN_S))
        await asyncio.sleep(3)
        worker = self.workers[0]
        worker.swaps = True
        await asyncio.wait_for(worker.ended.wait(), 10)
        await asyncio.sleep(3)
        self.sending = False
        await handing_in
        await asyncio.sleep(FINISH_S)
        names = list(self.promises.jobs)
        return self.promises.violations + self.unfinished_tasks(names)


async def run_case(program, folder, name):
    random.seed(SEED)
    if name == "swapped":
        cell = SwappedCell(program, folder, SEED - 1)
        running = cell.run()
    elif name in RESTARTS:
        cell = ClosingRestartCell(program, folder,
                                  SEED + list(RESTARTS).index(name))
        running = cell.run(name)
    else:
        cell = ClosingCell(program, folder,
                           SEED + len(RESTARTS) + list(CONNECTIONS).index(name),
                           name)
        running = cell.run()
    try:
        return await running
    finally:
        cell.kill_daemons()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="path of mustardwickd")
    parser.add_argument("--case", required=True,
                        choices=[*CONNECTIONS, *RESTARTS, "swapped"])
    parser.add_argument("--keep", help="folder for the daemon logs")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(options.keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        failures = asyncio.run(run_case(options.program, folder, options.case))
    for it in failures:
        print("FAILED", it)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
