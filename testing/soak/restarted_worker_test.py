#!/usr/bin/env python3
"""Tests that no task runs twice when a worker starts again under its id and is
cut off soon after, while calls to its former incarnation are under way."""

import asyncio
import dataclasses
import signal
import time
import typing

import case_runner
from daemons import HOST, ZONES
from given_up_test import Cell
from http_stub import SILENCE_S, Withhold
from workers import Worker

FIRST_SEED = 84
# Two for each worker that starts again, for the later runs of its tasks.
WORKERS = 9
# Jobs are handed in at this interval, so that orders are under way at any time.
INTERVAL_S = 0.05
# Orders that are answered, before the first worker starts again.
FIRST_ORDERS_S = 1.5
# A task that ends while its worker is cut off, and one that outlasts the cut.
RUN_S = (1.0, 30.0)
LONG_RUN_S = (30.0,)
SHORT_RUN_S = (1.0,)
# The longest lease, its tolerance for slow clocks, and the work after it.
CUT_S = 11
# Shorter than the time after which an unanswered renewal is given up.
UNNOTICED_S = 2.4
# Of the next incarnation before it is cut off.
MIN_RUNS = 6
# Started again before the cut.
MIN_RERUNS = 1
# The validity of an order, the report after it, and the start of its task
# elsewhere.
EXPIRED_S = 3
# From the first unanswered order to the restart, shorter than the time after
# which an unanswered order is given up.
UNDER_WAY_S = 0.3
# Of renewals that are carried out late, from the begin of the cut on.
LATE_S = 2.5
# Of orders that are carried out late, when the lease has ended.
LATE_ORDER_S = 7.5
# Just below the bound that calls are taken to be carried out by.
LATEST_ORDER_S = 11.5
# That bound, the time that a call waits to be sent, the longest lease, and the
# start of the task elsewhere.
SETTLED_S = 24
# Of cases in which the tasks have started elsewhere when late orders arrive.
ELSEWHERE_S = 9.5
# The clock of the next incarnation, against that of the former one.
CLOCKS = {"behind": lambda now_ms: 0,
          "slightly ahead": lambda now_ms: now_ms + 500,
          "far ahead": lambda now_ms: now_ms + 5_000_000}


@dataclasses.dataclass
class Case:
    """Times in seconds, from the begin of the cut on."""
    # Ends at the begin of the cut.
    prepare: typing.Callable
    late_s: float = LATE_ORDER_S
    watch_s: float = CUT_S
    run_s: tuple = RUN_S
    # Tasks of a job, which is a gang if there are several.
    count: int = 1
    kills_leader: bool = False
    has_late_orders: bool = True
    # No call of a leader reaches the next incarnation before the late ones.
    reaches_no_leader: bool = True
    # Whether the tasks of orders that were carried out late start elsewhere.
    is_settled: bool = False


class RestartingWorker(Worker):
    """Can leave calls unanswered and carry them out later. Its clock begins
    where next_clock() says."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # Whether a request is left unanswered.
        self.withholds = never
        self.withheld = []
        # Renewals with a deadline that have arrived.
        self.renewals = asyncio.Queue()

    async def handle(self, request):
        withholds = self.withholds(request)
        if withholds:
            self.withheld.append(request)
        if "deadline_ms" in request.body and request.path == "/v1/hold":
            self.renewals.put_nowait(request)
        if withholds:
            await asyncio.sleep(SILENCE_S)
            raise Withhold
        return await super().handle(request)

    async def next_renewal(self):
        while not self.renewals.empty():
            self.renewals.get_nowait()
        await asyncio.wait_for(self.renewals.get(), 10)

    def start_again(self):
        """Without a trace: connections stay open, and the registry entry stays
        as it is."""
        self.announces = False
        self.crash()
        self.start_incarnation(self.next_clock(self.clock_ms()))

    def withheld_orders(self):
        return [it for it in self.withheld if it.path == "/v1/run-start"]

    async def carry_out_withheld(self):
        """Returns how many orders were accepted."""
        accepted = 0
        for it in self.withheld:
            it.body.pop("wait_ms", None)
            status, _ = await self.carry_out(it)
            accepted += it.path == "/v1/run-start" and status == 200
        return accepted


def never(_):
    return False


def always(_):
    return True


def is_first_order(request):
    return request.path == "/v1/run-start" and request.body["run"] == 1


class RestartCell(Cell):
    worker_type = RestartingWorker

    def __init__(self, program, folder, seed):
        super().__init__(program, folder, seed, WORKERS)
        self.workers = [
            self.worker_type(f"w-{number}", HOST, it.port,
                             ZONES[number % len(ZONES)], self.promises,
                             self.store)
            for number, it in enumerate(self.workers)]
        for number, it in enumerate(self.workers):
            it.start_clock_ms = 10_000_000
            # Only workers of its group can run a job.
            it.labels = [*it.labels, f"group-{number % len(CLOCKS)}"]
        self.restarting = self.workers[:len(CLOCKS)]
        for it, clock in zip(self.restarting, CLOCKS):
            it.clock = clock
            it.next_clock = CLOCKS[clock]
        self.cut = 0

    async def hand_in_jobs(self, case):
        number = 0
        while self.sending:
            number += 1
            turn, group = divmod(number, len(CLOCKS))
            name = f"{number:016x}"
            self.add_job(name)
            job = self.promises.jobs[name]
            step = {**job["steps"][0], "count": case.count, "cpu": 100,
                    "run_s": case.run_s[turn % len(case.run_s)],
                    "requires": f"group-{group}"}
            if case.count > 1:
                step |= {"gang": True, "anti_affinity": 1}
            job["steps"] = [step]
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
        worker.withholds = always
        await worker.next_renewal()
        worker.start_again()
        worker.withholds = never
        worker.announces = True
        await wait_for(lambda: len(worker.runs) >= MIN_RUNS, 8)

    async def restart_behind_a_cut(self, worker):
        """Orders of the former incarnation reach the next one, which has
        started behind the cut, so that no call of a leader has reached it."""
        await self.withhold_orders(worker, always)
        worker.fault = "cut"
        worker.start_again()

    async def restart_before_a_cut(self, worker):
        """The leader has calls under way on all connections when the worker
        starts again, and the cut comes before it has given one of them up."""
        await self.withhold_orders(worker, always)
        worker.start_again()
        worker.withholds = never
        await asyncio.sleep(0.3)

    async def expire_and_restart(self, worker):
        """First orders are left unanswered until they have expired and their
        tasks have started again on the worker, which then starts again behind a
        cut."""
        await self.expire(worker,
                          lambda: len(self.reruns(worker)) >= MIN_RERUNS)

    async def expire_and_end(self, worker):
        """The same, when the later run has ended and the end is taken note
        of."""
        done = self.promises.acked_done
        await self.expire(worker,
                          lambda: any(it.body["task"] in done
                                      for it in worker.withheld_orders()))

    async def expire_where_unsuitable(self, worker):
        """First orders are left unanswered until they have expired, and the
        worker has lost the label that their tasks require."""
        worker.labels = worker.labels[:1]
        await self.withhold_orders(worker, is_first_order)
        await asyncio.sleep(EXPIRED_S)
        worker.fault = "cut"
        worker.start_again()

    async def expire(self, worker, is_over):
        await self.withhold_orders(worker, is_first_order)
        worker.withholds = never
        await wait_for(is_over, 6)
        worker.fault = "cut"
        worker.start_again()

    @staticmethod
    async def withhold_orders(worker, which):
        worker.withholds = which
        await wait_for(worker.withheld_orders, 3)
        await asyncio.sleep(UNDER_WAY_S)

    @staticmethod
    def reruns(worker):
        withheld = {it.body["task"] for it in worker.withheld_orders()}
        return [task for task, _ in worker.runs if task in withheld]

    async def play(self, case, worker):
        """Returns what the worker has missed of the case."""
        await case.prepare(self, worker)
        worker.fault = "cut"
        self.cut += 1
        if self.cut == len(self.restarting):
            self.sending = False
            if case.kills_leader:
                self.spawn(self.kill_leader())
        await asyncio.sleep(case.late_s)
        accepted = await worker.carry_out_withheld()
        orders = worker.withheld_orders()
        print(f"{worker.id}, clock {worker.clock}: {len(orders)} orders were "
              f"carried out late, {accepted} of them accepted", flush=True)
        await asyncio.sleep(case.watch_s - case.late_s)
        if case.has_late_orders and not orders:
            return [f"no order to {worker.id} was carried out late"]
        if case.reaches_no_leader and worker.clock == "behind" and not accepted:
            return [f"no late order was accepted by {worker.id}"]
        if case.is_settled:
            return [f"{it.body['task']} has started on no other worker"
                    for it in orders if not self.runs_elsewhere(it, worker)]
        return []

    def runs_elsewhere(self, order, worker):
        task = order.body["task"]
        return (task in self.promises.done or
                any(it is not worker
                    for it in self.promises.running.get(task, [])))

    async def kill_leader(self):
        leader = self.leader()
        await leader.stop(signal.SIGKILL)
        await leader.start()

    async def run(self, case):
        """Returns what went wrong."""
        await self.start()
        await self.wait_until_serving()
        handing_in = asyncio.ensure_future(self.hand_in_jobs(case))
        await asyncio.sleep(FIRST_ORDERS_S)
        missed = await asyncio.gather(*(self.play(case, it)
                                        for it in self.restarting))
        await handing_in
        return self.promises.violations + sum(missed, [])


async def wait_for(condition, seconds):
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        await asyncio.sleep(0.05)


CASES = {
    "unnoticed": Case(RestartCell.order_to_the_next_incarnation, LATE_S,
                      has_late_orders=False, reaches_no_leader=False),
    "late-calls": Case(RestartCell.late_calls, LATE_S, has_late_orders=False,
                       reaches_no_leader=False),
    "behind-a-cut": Case(RestartCell.restart_behind_a_cut),
    # A successor that has never reached the worker decides.
    "leader-killed": Case(RestartCell.restart_behind_a_cut, watch_s=14,
                          run_s=LONG_RUN_S, kills_leader=True),
    # The cut comes after the restart, which the leader has not noticed.
    "cut-before-noticed": Case(RestartCell.restart_before_a_cut,
                               watch_s=ELSEWHERE_S, reaches_no_leader=False),
    "orders-at-the-bound": Case(RestartCell.restart_behind_a_cut,
                                LATEST_ORDER_S, SETTLED_S, LONG_RUN_S,
                                is_settled=True),
    # A run that the leader knows of has superseded the one that is carried out
    # late.
    "expired-then-restarted": Case(RestartCell.expire_and_restart, 5.5,
                                   run_s=LONG_RUN_S),
    # No lease covers the task when its order has expired, and another worker is
    # the only one that suits it.
    "expired-where-unsuitable": Case(RestartCell.expire_where_unsuitable, 5,
                                     watch_s=6, run_s=LONG_RUN_S),
    # The later run has ended.
    "expired-then-done": Case(RestartCell.expire_and_end, 3, watch_s=4,
                              run_s=SHORT_RUN_S),
    "gang": Case(RestartCell.restart_behind_a_cut, watch_s=ELSEWHERE_S,
                 run_s=LONG_RUN_S, count=2),
}


if __name__ == "__main__":
    case_runner.main(
        __doc__, CASES, FIRST_SEED,
        lambda program, folder, seed, _: RestartCell(program, folder, seed))
