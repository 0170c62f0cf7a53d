#!/usr/bin/env python3
"""Tests what callers see while a hosted daemon shuts down."""

import argparse
import asyncio
import base64
import json
import pathlib
import signal
import sys
import tempfile
import time

import http_stub
from hosted_soak import HOST, Soak

GRACE_S = 6.0
# Just before the daemon closes idle connections, 2.3 s after the signal.
LAST_REQUEST_S = 2.1
DEADLINE_MS = 3000


class Cell(Soak):
    """One daemon with its stand-ins, without load and faults."""

    def __init__(self, program, folder, number):
        options = argparse.Namespace(program=program, seed=number, daemons=1,
                                     workers=1)
        super().__init__(options, folder)
        self.daemon = self.daemons[0]

    def request(self, method, name):
        body = ""
        if method == "POST":
            body = json.dumps({"spec": "s", "steps": [
                {"count": 1, "cpu": 500, "mem_mb": 100}]})
        return (f"{method} /plain/{name} HTTP/1.1\r\nHost: soak.example\r\n"
                f"Authorization: Bearer k-a\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode()

    async def wait_until_serving(self):
        """Waits until the daemon leads and answers queries."""
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            try:
                status, _ = await http_stub.call(
                    HOST, self.daemon.callers, "GET", "/plain/" + "0" * 16,
                    None, ["Authorization: Bearer k-a", "Deadline-Ms: 1000"])
                if status == 410:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                    IndexError):
                pass
            await asyncio.sleep(0.1)
        raise AssertionError("the daemon does not serve")


async def request_during_shutdown(program, folder, number, method):
    """Sends one request on a kept connection late in a shutdown, while the
    store does not answer. Returns the status line, empty without an answer,
    and the time from the signal to the exit."""
    cell = Cell(program, folder, number)
    await cell.start()
    await cell.wait_until_serving()
    reader, writer = await asyncio.open_connection(HOST, cell.daemon.callers)
    cell.store.faults[cell.daemon.store] = "unresponsive"
    signalled = time.monotonic()
    cell.daemon.signal(signal.SIGTERM)
    await asyncio.sleep(LAST_REQUEST_S)
    writer.write(cell.request(method, "1" * 16))
    try:
        line = await asyncio.wait_for(reader.readline(), GRACE_S)
    except (OSError, asyncio.TimeoutError):
        line = b""
    await asyncio.wait_for(cell.daemon.process.wait(), GRACE_S)
    writer.close()
    return line.decode().strip(), time.monotonic() - signalled


async def answers_every_request_that_was_read(program, folder):
    """Guards against a shutdown that ends connections with open requests."""
    failures = []
    for number, method in enumerate(["GET", "DELETE", "POST"]):
        line, took = await request_during_shutdown(
            program, folder, 90 + number, method)
        print(f"{method}: {line or 'no answer'}, exit after {took:.2f} s",
              flush=True)
        if not line.startswith("HTTP/1.1 50"):
            failures.append(f"{method} was not answered")
        if took >= GRACE_S:
            failures.append(f"{method}: exit after {took:.2f} s")
    return failures


async def releases_leadership_behind_an_open_transaction(program, folder):
    """Guards against a leader that exits without releasing leadership because
    a transaction was open when it was stopped: the requests of that moment
    wait until its leadership has timed out."""
    cell = Cell(program, folder, 93)
    await cell.start()
    await cell.wait_until_serving()
    # A transaction now takes 0.3 s, longer than the interval of renewals, so
    # that one is always open.
    cell.store.faults[cell.daemon.store] = "slow"
    await asyncio.sleep(1.0)
    cell.daemon.signal(signal.SIGTERM)
    await asyncio.wait_for(cell.daemon.process.wait(), GRACE_S)
    head = cell.store.rows["cell", "plan", "head"]["value"]
    # The row ends with the flag that marks leadership as released.
    released = base64.b64decode(head)[-1] == 1
    print(f"leadership released: {released}", flush=True)
    return [] if released else ["leadership was not released"]


TESTS = [answers_every_request_that_was_read,
         releases_leadership_behind_an_open_transaction]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="path of mustardwickd")
    options = parser.parse_args()
    failures = []
    for test in TESTS:
        with tempfile.TemporaryDirectory() as folder:
            failures += asyncio.run(test(options.program,
                                         pathlib.Path(folder)))
    for it in failures:
        print("FAILED", it)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
