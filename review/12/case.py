#!/usr/bin/env python3
"""A job that was refused while the store was down is handed in again, accepted,
and then never runs."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import cell3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As in the site file: decide_ms, period_ms, valid_ms, share of workers allowed.
ADVICE = (559.0, 8.06, 2500, 0.35)
WORKERS = 240
CAPACITY = {"cpu": 16000, "mem_mb": 65536, "gpus": 0}
STEP = {"count": 40, "cpu": 9000, "mem_mb": 900, "estimate_ms": 5000}
RUN_S = 5.0
OUTAGES = 5
OUTAGE_S = 1.2
PAUSE_S = 7.0
# Jobs are handed in this long after the begin of an outage.
HANDED_IN_S = (0.50, 0.54, 0.58)
FINISH_S = 14
WATCH_S = 3.0


async def traffic(cell):
    number = 0
    for outage in range(OUTAGES):
        if TROUBLE:
            cell.disturb_store("busy")
        last = 0.0
        for it in HANDED_IN_S:
            await asyncio.sleep(it - last)
            last = it
            number += 1
            cell.spawn(cell.hand_in(f"{number:016x}",
                                    {"spec": f"job {number}",
                                     "steps": [STEP]},
                                    RUN_S, number))
        await asyncio.sleep(OUTAGE_S - last)
        if TROUBLE:
            cell.disturb_store(None)
        await asyncio.sleep(PAUSE_S)


async def work():
    cell = cell3.Cell(pathlib.Path(__file__).resolve().parent, 3, WORKERS,
                      CAPACITY, ADVICE)
    broken = []
    try:
        await cell.start()
        await traffic(cell)
        end = cell.record.now()
        cell.record.add("traffic_ended")
        await asyncio.sleep(FINISH_S)
        watched = {}
        begin = cell.record.now()
        for _ in range(int(WATCH_S / 0.1) + 5):
            for name, job in cell.jobs.items():
                waits = (job["accepted"] is not None and
                         len(job["done"]) < STEP["count"] and
                         cell.runs_of(name) == 0 and
                         cell.used_cpu() * 2 < cell.total_cpu())
                watched.setdefault(name, []).append(waits)
            await asyncio.sleep(0.1)
        for name, waits in watched.items():
            job = cell.jobs[name]
            state = await cell.state(name)
            allowed = sum(cell.advisor.is_allowed(f"{name}.0.0", it.id)
                          for it in cell.workers)
            cell.record.add("job", job=name, answers=job["answers"],
                            accepted=job["accepted"], state=state,
                            done=len(job["done"]), last_run=job["last_run"],
                            allowed_workers=allowed)
            if all(waits) and allowed >= 2 * STEP["count"]:
                broken.append(
                    f"LOST {name}: answers {job['answers']}, accepted at "
                    f"{job['accepted']:.1f} s, {len(job['done'])} of "
                    f"{STEP['count']} tasks done, nothing running from "
                    f"{begin:.1f} s on (traffic ended at {end:.1f} s), shown "
                    f"as {state}; {allowed} free workers may run it")
        ended = [it.name for it in cell.daemons if it.ended_by_itself()]
        if ended:
            broken.append(f"processes ended by themselves: {ended}")
    finally:
        cell.close()
    return broken


cell3.play(work())
