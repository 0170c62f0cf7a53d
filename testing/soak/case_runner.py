"""Command line of tests that play one of several cases with a cell of processes."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile


async def run_case(make_cell, case):
    cell = make_cell()
    try:
        return await cell.run(case)
    finally:
        cell.kill_daemons()


def main(description, cases, first_seed, make_cell):
    """make_cell(program, folder, seed, case) returns a cell; its run(case)
    returns what went wrong. Each case has a seed of its own."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--program", required=True, help="path of mustardwickd")
    parser.add_argument("--case", required=True, choices=cases)
    parser.add_argument("--keep", help="folder for the daemon logs")
    options = parser.parse_args()
    seed = first_seed + list(cases).index(options.case)
    random.seed(seed)
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(options.keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        failures = asyncio.run(run_case(
            lambda: make_cell(options.program, folder, seed,
                              cases[options.case]),
            cases[options.case]))
    for it in failures:
        print("FAILED", it)
    sys.exit(1 if failures else 0)
