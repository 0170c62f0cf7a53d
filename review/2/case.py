"""A new version of the configuration replaces a route by one of another name,
with the same host, prefix and service. The jobs that were accepted through the
prefix are still known, but none of their tasks is ever started again."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import cell as base  # noqa: E402

JOBS = 6
RUN_S = 2.0
CHANGED_AFTER_S = 1.0
WATCH_S = 25.0
TENANTS = [{"name": "kaje80", "api_keys": ["key"], "weight": 20,
            "maximum": {"cpu": 0, "mem_mb": 0, "gpus": 0}}]


def name_of(number):
    return f"{0x5c0e7a21d94b3600 + number:016x}"


async def hand_in(cell, number):
    """A job of two steps, the second after the first."""
    name = name_of(number)
    cell.behaviour[name] = lambda step, run: ("done", RUN_S)
    size = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 2000}
    return await cell.submit(f"/plain/{name}", "key", {
        "spec": f"job {number}", "steps": [size, {**size, "after": [0]}]},
        first=number)


async def scenario(cell, trouble):
    cell.workers = [base.Worker(cell, it) for it in range(4)]
    cell.configure([base.route("r-cpihhac", "/plain/"),
                    base.route("r-ruddede", "/other/")], TENANTS)
    await cell.start()
    if not await cell.wait_ready():
        return base.COULD_NOT_RUN
    await asyncio.sleep(1.0)
    for number in range(JOBS):
        if not await hand_in(cell, number):
            return base.COULD_NOT_RUN
    await asyncio.sleep(CHANGED_AFTER_S)
    if trouble:
        cell.configure([base.route("r-v3nax7u", "/plain/"),
                        base.route("r-ruddede", "/other/")], TENANTS)
    await asyncio.sleep(3.0)
    # The prefix is still a queue of the same service: a new job is served.
    if not await hand_in(cell, JOBS):
        return base.COULD_NOT_RUN
    await asyncio.sleep(WATCH_S)
    lost = 0
    for number in range(JOBS + 1):
        name = name_of(number)
        done = sum(any(it[3] == "done" for it in ends)
                   for task, ends in cell.ends.items()
                   if task.startswith(name + "."))
        runs = any(task.startswith(name + ".") for task, _ in cell.running)
        last = max(at for task, it in cell.starts.items()
                   if task.startswith(name + ".") for at, _, _ in it)
        status, body = await cell.ask(cell.daemons[number % 3], "GET",
                                      f"/plain/{name}", "key")
        cell.record.say("job", name, "is shown as", status, body, ";", done,
                        "of 4 tasks are done, runs now:", runs,
                        f"; last start {cell.record.now() - last:.1f} s ago")
        if done < 4 and not runs:
            lost += 1
    cell.record.say(lost, "accepted jobs stand still, all workers are idle:",
                    not cell.running)
    return base.BROKEN if lost else base.HELD


base.play(pathlib.Path(__file__).parent, scenario)
