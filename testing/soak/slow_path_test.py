#!/usr/bin/env python3
"""Tests a hosted daemon behind a narrow path to the store."""

import argparse
import asyncio
import base64
import json
import pathlib
import sys
import tempfile
import time

import http_stub
from hosted_soak import HOST, ROUTE
from shutdown_test import Cell

# Bytes a second.
PATH_RATE = 250_000
# The configuration is in force this long after it can have arrived.
MARGIN_S = 1.0
# The same for a stored state, which is read after an election.
ELECTION_MARGIN_S = 3.0
ADDED_ROUTES = 4000
# Stored state that a new leader reads, in rows of the largest size.
STORED_ROWS = 30
STORED_ROW_BYTES = 48_000
# Workers in the registry, and the bytes of their rows.
LISTED_WORKERS = 400
LISTED_WORKER_BYTES = 300


class NarrowCell(Cell):
    """One daemon whose answers from the store share a path of PATH_RATE."""

    def add_routes(self):
        """Returns the bytes of the store's answer and the path of a route in
        it."""
        self.routes += [{**ROUTE, "name": f"added-{it}", "priority": 0,
                         "path_prefix": f"/added-{it}/"}
                        for it in range(ADDED_ROUTES)]
        self.configure()
        row = self.store.rows["op", "", "config"]
        return len(row["value"]), f"/added-{ADDED_ROUTES - 1}/"

    def add_state(self):
        """Stores progress of jobs that have been removed. Returns the bytes of
        it in the store's answers."""
        value = base64.b64encode(bytes(STORED_ROW_BYTES)).decode()
        self.store.commit(
            [{"table": "progress", "part": "plan", "key": f"{it:016x}/0",
              "value": value} for it in range(STORED_ROWS)], [])
        return STORED_ROWS * len(value)

    def add_workers(self):
        """Lists workers whose rows a daemon does not understand, so that it
        sends them nothing. Returns the bytes of their rows in an answer."""
        rows = [{"table": "servers", "part": "", "key": f"listed-{it}",
                 "value": base64.b64encode(bytes(LISTED_WORKER_BYTES)).decode()}
                for it in range(LISTED_WORKERS)]
        self.store.commit(rows, [])
        return len(json.dumps(rows))

    async def status_of(self, path):
        """Returns the status of a count of waiting jobs; 0 without one."""
        try:
            status, _ = await http_stub.call(
                HOST, self.daemon.callers, "GET", path, None,
                ["Authorization: Bearer k-a", "Deadline-Ms: 1000"])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError):
            return 0
        return status

    async def time_until_served(self, path, limit):
        """Returns the seconds until a route is served; None after the
        limit."""
        began = time.monotonic()
        while time.monotonic() - began < limit:
            if await self.status_of(path) == 200:
                return time.monotonic() - began
            await asyncio.sleep(0.1)
        return None


async def grows_while_it_serves(cell):
    await cell.start()
    await cell.wait_until_serving()
    cell.daemon.store_path.rate = PATH_RATE
    return cell.add_routes()


async def is_large_at_the_start(cell):
    out = cell.add_routes()
    await cell.start()
    cell.daemon.store_path.rate = PATH_RATE
    return out


async def reads_a_large_state_as_leader(cell):
    size = cell.add_state()
    await cell.start()
    cell.daemon.store_path.rate = PATH_RATE
    return size, "/plain/"


async def reads_a_large_state_and_registry_as_leader(cell):
    registry = cell.add_workers()
    size, path = await reads_a_large_state_as_leader(cell)
    return size + registry, path


# Each guards against a transfer that is abandoned after a fixed time and begun
# again, without end: the daemon serves an outdated configuration, or none, or
# leads without its jobs, and its path to the store stays full.
CASES = [("configuration grows while it serves", grows_while_it_serves,
          MARGIN_S),
         ("configuration is large at the start", is_large_at_the_start,
          MARGIN_S),
         ("a new leader reads a large state", reads_a_large_state_as_leader,
          ELECTION_MARGIN_S),
         # The registry is not read again while the state is on its way.
         ("a new leader reads a large state and registry",
          reads_a_large_state_and_registry_as_leader, ELECTION_MARGIN_S)]


async def run_case(program, folder, number, prepare, margin):
    cell = NarrowCell(program, folder, number)
    size, path = await prepare(cell)
    limit = size / PATH_RATE + margin
    took = await cell.time_until_served(path, limit)
    cell.kill_daemons()
    await cell.daemon.process.wait()
    return took, limit


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="path of mustardwickd")
    options = parser.parse_args()
    failures = 0
    for number, (name, prepare, margin) in enumerate(CASES):
        with tempfile.TemporaryDirectory() as folder:
            took, limit = asyncio.run(run_case(
                options.program, pathlib.Path(folder), 80 + number, prepare,
                margin))
        after = "never" if took is None else f"after {took:.2f} s"
        print(f"{name}: served {after}, allowed {limit:.2f} s", flush=True)
        failures += took is None
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
