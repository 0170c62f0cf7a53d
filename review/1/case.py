"""A tenant's maximum is lowered far below what its timed job needs. The
occurrences that pile up make one stored row larger than the store takes, and
from then on no daemon can commit anything."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import cell as base  # noqa: E402

TIMED = "5c0e7a21d94b36f8"
WIDTH = 60
TIMES = 70
RUN_S = 0.3
OTHER_RUN_S = 2.0
LOWERED_AT_S = 5.0
RAISED_AT_S = 60.0
TRAFFIC_END_S = 66.0
# The timed job needs 60 tasks x 0.3 s x 200 = 3,600 a second.
USUAL_CPU = 64_000
LOWERED_CPU = 600
FINISH_S = 14.0
STILL_S = 3.0


def tenants(cpu):
    return [{"name": "kaje80", "api_keys": ["key-timed"], "weight": 20,
             "maximum": {"cpu": cpu, "mem_mb": 0, "gpus": 0}},
            {"name": "lomi11", "api_keys": ["key-other"], "weight": 20,
             "maximum": {"cpu": 0, "mem_mb": 0, "gpus": 0}}]


async def other_jobs(cell, accepted):
    """Another tenant's jobs, one a second: two steps, one after the other."""
    number = 0
    while cell.record.now() < TRAFFIC_END_S + cell.traffic_start:
        number += 1
        name = f"{number:016x}"
        cell.behaviour[name] = lambda step, run: ("done", OTHER_RUN_S)

        async def send(name=name, number=number):
            size = {"count": 1, "cpu": 500, "mem_mb": 50,
                    "estimate_ms": 2000}
            body = {"spec": f"other {name}",
                    "steps": [size, {**size, "after": [0]}]}
            if await cell.submit(f"/plain/{name}", "key-other", body,
                                 first=number):
                accepted.append(name)

        cell.spawn(send())
        await asyncio.sleep(1.0)


async def state_of(cell, name, key):
    """The state as any daemon gives it, or None when none answers with one."""
    for daemon in cell.daemons:
        status, body = await cell.ask(daemon, "GET", f"/plain/{name}", key)
        if status == 200:
            return body["state"]
        if status == 410:
            return "410"
    return None


async def scenario(cell, trouble):
    cell.workers = [base.Worker(cell, it) for it in range(8)]
    routes = [base.route("r-plain", "/plain/")]
    cell.configure(routes, tenants(USUAL_CPU))
    await cell.start()
    if not await cell.wait_ready():
        return base.COULD_NOT_RUN
    cell.traffic_start = cell.record.now()
    accepted = []
    cell.behaviour[TIMED] = lambda step, run: ("done", RUN_S)
    body = {"spec": "each second", "times": TIMES, "interval_ms": 1000,
            "first_run_ms": int(time.time() * 1000) + 1000, "steps": [
                {"count": WIDTH, "cpu": 200, "mem_mb": 10,
                 "estimate_ms": 300}]}
    if not await cell.submit(f"/plain/{TIMED}", "key-timed", body):
        return base.COULD_NOT_RUN
    traffic = cell.spawn(other_jobs(cell, accepted))
    await asyncio.sleep(LOWERED_AT_S)
    if trouble:
        cell.configure(routes, tenants(LOWERED_CPU))
    await asyncio.sleep(RAISED_AT_S - LOWERED_AT_S)
    if trouble:
        cell.configure(routes, tenants(USUAL_CPU))
    await traffic
    await asyncio.sleep(FINISH_S)
    cell.record.say(len(accepted), "jobs of the other tenant were accepted;",
                    cell.store.too_large, "transactions were refused as too "
                    "large")
    last_start = max(it[-1][0] for it in cell.starts.values())
    cell.record.say("the last start of any task was at", f"{last_start:.1f}")
    lost = []
    for name in [TIMED, *accepted]:
        done = sum(any(it[3] == "done" for it in ends)
                   for task, ends in cell.ends.items()
                   if task.startswith(name + "."))
        if done >= (WIDTH * TIMES if name == TIMED else 2):
            continue
        key = "key-timed" if name == TIMED else "key-other"
        state = await state_of(cell, name, key)
        begins = [at for task, it in cell.starts.items()
                  if task.startswith(name + ".") for at, _, _ in it]
        still = cell.record.now() - max(begins, default=0)
        runs = any(task.startswith(name + ".") for task, _ in cell.running)
        cell.record.say("accepted job", name, "is shown as", state, ";", done,
                        "tasks are done, the last start was", f"{still:.1f}",
                        "s ago, runs now:", runs)
        if state != "completed" and not runs and still > STILL_S:
            lost.append(name)
    cell.record.say(len(lost), "accepted jobs stand still")
    return base.BROKEN if lost else base.HELD


base.play(pathlib.Path(__file__).parent, scenario)
