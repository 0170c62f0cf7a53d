#!/usr/bin/env python3
"""Tests that no task runs twice when a worker starts again under its id and is
cut off soon after, while calls to its former incarnation are under way."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time

from daemons import HOST, ZONES
from given_up_test import Cell
from http_stub import SILENCE_S, Withhold
from workers import Worker

SEED = 84
# Jobs are handed in at this interval, so that orders are under way at any time.
INTERVAL_S = 0.08
# A task that ends while its worker is cut off, and one that outlasts the cut.
RUN_S = [1.0, 30.0]
# The longest lease, its tolerance for slow clocks, and the work after it.
CUT_S = 11
# Shorter than the time after which an unanswered renewal is given up.
UNNOTICED_S = 2.4
# Of the next incarnation before it is cut off.
MIN_RUNS = 6
# Of renewals that are carried out late, from the begin of the cut on.
LATE_S = 2.5
# Of orders that are carried out late, when the lease has ended.
LATE_ORDER_S = 7.5


class RestartingWorker(Worker):
    """Can leave calls unanswered and carry them out later."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.withholds = False
        self.withheld = []
        # Renewals with a deadline that have arrived.
        self.renewals = asyncio.Queue()

    async def handle(self, request):
        if self.withholds:
            self.withheld.append(request)
        if "deadline_ms" in request.body and request.path == "/v1/hold":
            self.renewals.put_nowait(request)
        if self.withholds:
            await asyncio.sleep(SILENCE_S)
            raise Withhold
        return await super().handle(request)

    async def next_renewal(self):
        while not self.renewals.empty():
            self.renewals.get_nowait()
        await asyncio.wait_for(self.renewals.get(), 10)

    def start_again(self):
        """Without a trace: connections stay open, and the registry entry stays
        as it is. The new clock is far behind the former one."""
        self.announces = False
        self.crash()
        self.start_incarnation()
        self.start_clock_ms = 0

    async def carry_out_withheld(self):
        for it in self.withheld:
            it.body.pop("wait_ms", None)
            await self.carry_out(it)


class RestartCell(Cell):
    worker_type = RestartingWorker

    def __init__(self, program, folder, seed):
        super().__init__(program, folder, seed)
        self.workers = [
            self.worker_type(f"w-{number}", HOST, it.port,
                             ZONES[number % len(ZONES)], self.promises,
                             self.store)
            for number, it in enumerate(self.workers)]
        for it in self.workers:
            it.start_clock_ms = 10_000_000

    async def hand_in_jobs(self, run_s=RUN_S):
        number = 0
        while self.sending:
            number += 1
            name = f"{number:016x}"
            self.add_job(name)
            job = self.promises.jobs[name]
            job["steps"] = [{**job["steps"][0], "cpu": 100,
                             "run_s": run_s[number % len(run_s)]}]
            self.spawn(self.answer(self.daemons[number % len(self.daemons)],
                                   "POST", name))
            await asyncio.sleep(INTERVAL_S)

    async def order_to_the_next_incarnation(self, worker):
        """Orders go on arriving until the leader notices the restart."""
        await worker.next_renewal()
        worker.start_again()
        await asyncio.sleep(UNNOTICED_S)

    async def late_calls(self, worker):
        """Renewals of the former incarnation reach the next one, whose runs the
        leader knows, after it was cut off."""
        worker.withholds = True
        await worker.next_renewal()
        worker.start_again()
        worker.withholds = False
        worker.announces = True
        deadline = time.monotonic() + 8
        while len(worker.runs) < MIN_RUNS and time.monotonic() < deadline:
            await asyncio.sleep(0.05)

    async def late_orders_behind_a_cut(self, worker):
        """Orders of the former incarnation reach the next one, which has started
        behind the cut, so that no call of a leader has reached it."""
        worker.withholds = True
        await asyncio.sleep(0.6)
        worker.fault = "cut"
        worker.start_again()

    async def run(self, case):
        """Returns what went wrong."""
        await self.start()
        await self.wait_until_serving()
        handing_in = asyncio.ensure_future(self.hand_in_jobs())
        await asyncio.sleep(3)
        worker = self.workers[0]
        prepare, late_s = CASES[case]
        await prepare(self, worker)
        worker.fault = "cut"
        self.sending = False
        await handing_in
        await asyncio.sleep(late_s)
        await worker.carry_out_withheld()
        await asyncio.sleep(CUT_S - late_s)
        return self.promises.violations


CASES = {
    "unnoticed": (RestartCell.order_to_the_next_incarnation, LATE_S),
    "late-calls": (RestartCell.late_calls, LATE_S),
    "behind-a-cut": (RestartCell.late_orders_behind_a_cut, LATE_ORDER_S),
}


async def run_case(program, folder, name):
    random.seed(SEED)
    cell = RestartCell(program, folder, SEED + list(CASES).index(name))
    try:
        return await cell.run(name)
    finally:
        cell.kill_daemons()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="path of mustardwickd")
    parser.add_argument("--case", required=True, choices=CASES)
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
