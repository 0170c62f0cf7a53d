"""A minimal HTTP/1.1 server and client that can withhold responses."""

import asyncio
import json
import random
import select
import socket
import struct
import time
import urllib.parse


# Bytes written at once on a path with a limited rate.
PIECE_BYTES = 4096
LAG_S = 0.05
# Longer than any caller waits for an answer.
SILENCE_S = 4


class Withhold(Exception):
    """Closes the connection of a request without sending a response."""


class NoAnswer(ConnectionError):
    """The connection ended after the whole request was sent."""


class Request:
    """A parsed request with its query parameters and JSON body."""

    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, True))
        self.headers = headers
        self.body = json.loads(body) if body else {}


async def read_request(reader):
    """Returns the next request of a connection, or None at end of stream."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


class Listener:
    """A server whose port can be closed or made to reset connections;
    handle(request) returns (status, body)."""

    def __init__(self, host, port, handle):
        self.host = host
        self.port = port
        self.handle = handle
        self.resets = False
        # Share of the answers that close their connection, and the time after
        # which a connection without a request is closed; None: never.
        self.closing_share = 0
        self.idle_s = None
        # Bytes a second that the path to the clients carries; None: no limit.
        self.rate = None
        self.path = asyncio.Lock()
        # Time, table and bytes of each answer.
        self.answers = []
        # When the path has carried what was written to it.
        self.free_at = 0
        self.server = None
        self.writers = set()
        # Number of the process that serves the port.
        self.process = 0

    def begin_process(self):
        """Lets another process serve the port. What arrives on connections of
        the former one is not answered."""
        self.process += 1

    async def open(self):
        if self.server is None:
            self.server = await asyncio.start_server(self.serve, self.host,
                                                     self.port)

    def close(self):
        """Refuses new connections and resets the open ones."""
        self.server.close()
        self.server = None
        self.reset_connections()

    def reset_connections(self):
        for it in list(self.writers):
            reset(it)

    async def serve(self, reader, writer):
        if self.resets:
            return reset(writer)
        self.writers.add(writer)
        process = self.process
        try:
            while (request := await asyncio.wait_for(
                    read_request(reader), self.idle_s)) is not None:
                if process != self.process:
                    await asyncio.sleep(SILENCE_S)
                    break
                status, body = await self.handle(request)
                data = json.dumps(body).encode()
                if self.rate is not None:
                    self.answers.append((time.monotonic(),
                                         request.query.get("table"), len(data)))
                closes = random.random() < self.closing_share
                await self.write(
                    writer,
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                    b"%sContent-Length: %d\r\n\r\n" %
                    (status, b"Connection: close\r\n" if closes else b"",
                     len(data)) + data)
                if closes:
                    break
        except (Withhold, ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError, asyncio.TimeoutError, ValueError):
            # Withheld responses, killed peers, idle connections and shutdown of
            # the run.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
        return None

    async def write(self, writer, data):
        """Writes in pieces at the rate of the path, which all connections of
        the port share."""
        while self.rate is not None and data:
            piece, data = data[:PIECE_BYTES], data[PIECE_BYTES:]
            async with self.path:
                await self.carry(len(piece))
            writer.write(piece)
            await writer.drain()
        writer.write(data)
        await writer.drain()

    async def carry(self, size):
        """Makes up for sleeps that were too long, up to LAG_S."""
        if self.rate is None:
            return
        now = time.monotonic()
        self.free_at = max(self.free_at, now - LAG_S) + size / self.rate
        await asyncio.sleep(self.free_at - now)


def reset(writer):
    """Closes a connection with RST."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def serve(host, port, handle):
    """Starts a server; handle(request) returns (status, body)."""
    listener = Listener(host, port, handle)
    await listener.open()
    return listener


class Connection:
    """A client's connection, for one request after the other."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, host, port):
        return cls(*await asyncio.open_connection(host, port))

    def close(self):
        self.writer.close()

    def has_ended(self):
        """Asks the kernel too: the event loop may not have read the end yet."""
        if self.reader.at_eof() or self.writer.is_closing():
            return True
        number = self.writer.get_extra_info("socket").fileno()
        return bool(select.select([number], [], [], 0)[0])

    async def ask(self, method, path, body, headers):
        data = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1", "Host: soak.example",
                 f"Content-Length: {len(data)}",
                 "Content-Type: application/json", *headers]
        if self.has_ended():
            raise ConnectionAbortedError("ended before the request was sent")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await self.writer.drain()
        try:
            return await self.read_answer()
        except (ConnectionError, asyncio.IncompleteReadError, IndexError) as it:
            raise NoAnswer(type(it).__name__) from it

    async def read_answer(self):
        status = int((await self.reader.readline()).split()[1])
        length = 0
        while line := (await self.reader.readline()).strip():
            name, value = line.decode().split(":", 1)
            if name.lower() == "content-length":
                length = int(value)
        text = await self.reader.readexactly(length)
        return status, json.loads(text) if text else {}


async def call(host, port, method, path, body=None, headers=(), timeout=3.0):
    """Sends one request on a new connection; returns (status, body)."""

    async def exchange():
        connection = await Connection.open(host, port)
        try:
            return await connection.ask(method, path, body, headers)
        finally:
            connection.close()

    return await asyncio.wait_for(exchange(), timeout)
