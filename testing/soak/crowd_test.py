#!/usr/bin/env python3
"""Crowds of clients that keep to no limit, against one hosted daemon.

Each case starts a daemon whose settings give its host little memory and few
descriptors, sends it one kind of crowd, and checks what does not depend on the
speed of the machine: the process lives, its peak of resident memory and its
open descriptors stay under a bound, and one ordinary request is answered after
the crowd has gone."""

import argparse
import asyncio
import json
import pathlib
import resource
import socket
import struct
import sys
import tempfile
import time

import http_stub
from hosted_soak import HOST
from shutdown_test import Cell

# What the settings say of the host. A daemon without callers takes 16 MB.
MEMORY_MB = 40
DESCRIPTORS = 512
# A quarter of the descriptors stays free for workers, store and peers.
MAX_OPEN_DESCRIPTORS = 384
MAX_BODY_BYTES = 262_144
# Limits the time that a case may hang, not the speed of the daemon.
HANG_S = 60

POST = (b"POST /plain/%016x HTTP/1.1\r\nHost: soak.example\r\n"
        b"Authorization: Bearer k-a\r\nDeadline-Ms: 3000\r\n"
        b"Content-Type: application/json\r\n")
GET = (b"GET /plain/%016x HTTP/1.1\r\nHost: soak.example\r\n"
       b"Authorization: Bearer k-a\r\nDeadline-Ms: 3000\r\n\r\n")
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = 65_536


def lines_without_end(start):
    """A part of a message that consists of header lines and never ends."""
    def parts(number):
        yield start % number
        for _ in range(16 << 20 >> 16):
            yield (b"x-filler: " + b"a" * 500 + b"\r\n") * (PIECE // 512)
    return parts


def bytes_without_end(start):
    """A line that never ends."""
    def parts(number):
        yield start % number if b"%" in start else start
        for _ in range(16 << 20 >> 16):
            yield b"a" * PIECE
    return parts


def nearly_full_body(number):
    yield POST % number + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
    yield b" " * (MAX_BODY_BYTES - 1)


def nearly_full_chunked_body(number):
    yield CHUNKED % number + b"%x\r\n" % MAX_BODY_BYTES
    yield b" " * (MAX_BODY_BYTES - 1)


def small_chunks(number):
    yield CHUNKED % number
    for _ in range(64):
        yield b"1\r\n \r\n" * (PIECE // 6)


def one_byte_at_a_time(number):
    yield POST % number + b"Content-Length: 60000\r\n\r\n"
    for _ in range(60):
        yield b" "


def pipelined_requests(number):
    for _ in range(400):
        yield (GET % number) * 100


def nothing(number):
    yield b""


def bad_chunk_size(number):
    size = [b"fffffffffffffffffffff", b"-1", b"0x10", b"", b"zz"][number % 5]
    yield CHUNKED % number + size + b"\r\n" + b"a" * 1000


def half_a_request(number):
    yield POST % number + b"Content-Length: 200000\r\n\r\n"
    yield b" " * 100_000


def frame_without_end(number):
    """A frame between daemons of the greatest length, without its last byte."""
    size = (2 << 20) + 26
    yield struct.pack(">I", size)
    yield b"a" * (size - 1)


# Name, port of the daemon, connections, parts that each one sends, and whether
# it ends with a reset.
CASES = [
    ("trailers-without-end", "callers", 8,
     lines_without_end(CHUNKED + b"0\r\n"), False),
    ("chunk-extension-without-end", "callers", 8,
     bytes_without_end(CHUNKED + b"1;"), False),
    ("headers-without-end", "callers", 8, lines_without_end(POST), False),
    ("request-line-without-end", "callers", 8, bytes_without_end(b"GET /"),
     False),
    ("nearly-full-bodies", "callers", 340, nearly_full_body, False),
    ("nearly-full-chunked-bodies", "callers", 340, nearly_full_chunked_body,
     False),
    ("small-chunks", "callers", 8, small_chunks, False),
    ("one-byte-at-a-time", "callers", 100, one_byte_at_a_time, False),
    ("unread-answers", "callers", 8, pipelined_requests, False),
    ("silent-connections", "callers", 900, nothing, False),
    ("silent-connections-at-readiness", "readiness", 900, nothing, False),
    ("silent-connections-at-peers", "peers", 900, nothing, False),
    ("bad-chunk-sizes", "callers", 100, bad_chunk_size, False),
    ("resets-in-the-middle", "callers", 200, half_a_request, True),
    ("trailers-without-end-at-readiness", "readiness", 8,
     lines_without_end(CHUNKED + b"0\r\n"), False),
    ("chunk-extension-without-end-at-metrics", "metrics", 8,
     bytes_without_end(CHUNKED + b"1;"), False),
    ("frames-without-end-at-peers", "peers", 60, frame_without_end, False),
]


def peak_memory_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


def open_descriptors(pid):
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


class Crowd:
    """Connections that send until they are closed or not read any more."""

    def __init__(self, port, connections, parts, resets):
        self.port = port
        self.connections = connections
        self.parts = parts
        self.resets = resets
        self.sockets = []

    async def send(self, it, number):
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(loop.sock_connect(it, (HOST, self.port)), 5)
            for part in self.parts(number):
                await asyncio.wait_for(loop.sock_sendall(it, part), 2)
                if len(part) < 2:
                    await asyncio.sleep(0.02)
        except (OSError, asyncio.TimeoutError):
            # Refusing a client and not reading from it are both allowed.
            pass

    async def run(self):
        for _ in range(self.connections):
            it = socket.socket()
            it.setblocking(False)
            self.sockets.append(it)
        await asyncio.gather(*(self.send(it, number)
                               for number, it in enumerate(self.sockets)))
        # Connections that wait to be accepted are taken meanwhile.
        await asyncio.sleep(0.5)

    def leave(self):
        for it in self.sockets:
            if self.resets:
                it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
            it.close()


def give_few_resources(daemon):
    """Lowers what the settings say of the host and what its system allows."""
    values = json.loads(daemon.settings.read_text())
    values["memory_mb"] = MEMORY_MB
    values["max_descriptors"] = DESCRIPTORS
    daemon.settings.write_text(json.dumps(values))
    return {"callers": daemon.callers, "readiness": daemon.readiness,
            "peers": values["peer_port"], "metrics": values["metrics_port"]}


async def ordinary_request_is_answered(cell):
    deadline = time.monotonic() + HANG_S
    while time.monotonic() < deadline:
        try:
            status, _ = await http_stub.call(
                HOST, cell.daemon.callers, "GET", "/plain/" + "0" * 16, None,
                ["Authorization: Bearer k-a", "Deadline-Ms: 3000"])
            if status == 410:
                return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError):
            pass
        await asyncio.sleep(0.2)
    return False


async def survives(program, folder, number, case):
    name, port, connections, parts, resets = case
    cell = Cell(program, folder, number)
    ports = give_few_resources(cell.daemon)
    await cell.start()
    pid = cell.daemon.process.pid
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    await cell.wait_until_serving()
    crowd = Crowd(ports[port], connections, parts, resets)
    await asyncio.wait_for(crowd.run(), HANG_S)
    failures = []
    if cell.daemon.running():
        descriptors = open_descriptors(pid)
        memory = peak_memory_mb(pid)
        crowd.leave()
        answered = await ordinary_request_is_answered(cell)
        memory = max(memory, peak_memory_mb(pid)) if answered else memory
        print(f"{name}: peak {memory:.0f} MB, {descriptors} descriptors, "
              f"ordinary request answered: {answered}", flush=True)
        if memory > MEMORY_MB:
            failures.append(f"{name}: {memory:.0f} MB of memory")
        if descriptors > MAX_OPEN_DESCRIPTORS:
            failures.append(f"{name}: {descriptors} descriptors")
        if not answered:
            failures.append(f"{name}: an ordinary request is not answered")
    if not cell.daemon.running():
        failures.append(f"{name}: the process ended")
    else:
        cell.daemon.process.kill()
        await cell.daemon.process.wait()
    return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="path of mustardwickd")
    parser.add_argument("--case", help="name of one case; all by default")
    options = parser.parse_args()
    # The crowd of 900 connections and the daemon's stand-ins are one process.
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    failures = []
    for number, case in enumerate(CASES):
        if options.case in (None, case[0]):
            with tempfile.TemporaryDirectory() as folder:
                failures += asyncio.run(survives(
                    options.program, pathlib.Path(folder), 70 + number, case))
    for it in failures:
        print("FAILED", it)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
