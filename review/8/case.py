"""A submission that its client gave up is carried out after its cancelling."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cell2  # noqa: E402

JOB = "00000000000000c6"
BODY = {"spec": "two steps", "steps": [
    {"count": 1, "cpu": 2000, "mem_mb": 100, "estimate_ms": 5000},
    {"count": 1, "cpu": 2000, "mem_mb": 100, "estimate_ms": 1000,
     "after": [0]}]}
FREEZE_S = 4.0
DEADLINE_MS = 3000


class Cell(cell2.Cell):
    def plan(self, task, run):
        return {"work_s": 5.0 if task.split(".")[2] == "0" else 1.0}


async def case(make, record, temporary, trouble):
    cell = make(Cell, temporary)
    cell.workers = [cell2.Worker(f"w-{it}", ["north", "south"][it % 2],
                                 ["a", "r1"], cell) for it in range(4)]
    await cell.start()
    frozen = cell.member()
    other = next(it for it in cell.daemons if it is not frozen)
    begin = time.monotonic()
    if trouble:
        record.write(f"{frozen.name} freezes for {FREEZE_S} s")
        frozen.signal(signal.SIGSTOP)
    await cell.call(frozen, "POST", JOB, BODY, DEADLINE_MS)
    status, _ = await cell.call(other, "DELETE", JOB)
    acknowledged = time.monotonic()
    if status not in (200, 410):
        raise cell2.CannotRun(f"the cancelling was answered by {status}")
    await asyncio.sleep(max(0.0, begin + FREEZE_S - time.monotonic()))
    if trouble:
        record.write(f"{frozen.name} wakes")
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(14)
    await cell.call(other, "GET", JOB)
    cancel_s = cell2.BOUNDS["cancel_ms"] / 1000
    for at, worker, key, _ in cell.starts:
        if at > acknowledged + cancel_s:
            record.violate(f"UNASKED {key[0]} run {key[1]} started on "
                           f"{worker.id} {at - acknowledged:.2f} s after the "
                           f"cancelling was acknowledged with {status}")


cell2.main(case, FOLDER)
