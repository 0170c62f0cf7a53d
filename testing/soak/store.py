"""A stand-in for the platform's store that implements its public protocol."""

import asyncio
import base64
import itertools
import json
import random
import time

from http_stub import Withhold, serve

TRANSACTION_TIME_S = 0.006
READ_TIME_S = 0.004
MAX_ROWS = 500
CLOCK_OFFSET_MS = 1_234_567
MAX_ENTRIES = 100
MAX_READ_BYTES = 1_000_000
# Of a value in base64.
MAX_VALUE_BYTES = 65_536


class Store:
    """Versioned rows with transactions and a change feed. Listens on one port
    per daemon, so that faults can be injected for individual daemons."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        # Active fault by port; see apply_fault().
        self.faults = {}

    @staticmethod
    def now_ms():
        """Returns the store's steady clock, which is not that of a daemon."""
        return int(time.monotonic() * 1000) + CLOCK_OFFSET_MS

    def put(self, table, key, value):
        """Writes a row on behalf of the operator or a worker."""
        self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table, key, value):
        text = base64.b64encode(value).decode()
        self.commit([{"table": table, "part": "", "key": key, "value": text}],
                    [])

    def drop(self, table, key):
        self.commit([], [{"table": table, "part": "", "key": key}])

    def commit(self, writes, removals):
        self.version += 1
        for it in writes:
            row = {**it, "row_version": self.version}
            self.rows[it["table"], it["part"], it["key"]] = row
            self.history.append(row)
        for it in removals:
            if self.rows.pop((it["table"], it["part"], it["key"]), None):
                self.history.append({**it, "row_version": self.version,
                                     "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, body):
        entries = sum(len(body[it])
                      for it in ("precondition", "writes", "remove"))
        if entries > MAX_ENTRIES or any(
                len(it["value"]) > MAX_VALUE_BYTES for it in body["writes"]):
            return 400, {}
        conflict = []
        for it in body["precondition"]:
            row = self.rows.get((it["table"], it["part"], it["key"]))
            if it["row_version"] != (row["row_version"] if row else 0):
                conflict += [row] if row else []
                conflict = conflict or [None]
        if conflict:
            rows = [it for it in conflict if it]
            return 412, {"row_version": self.version, "rows": rows,
                         "now_ms": self.now_ms()}
        self.commit(body["writes"], body["remove"])
        return 200, {"row_version": self.version, "now_ms": self.now_ms()}

    def read(self, query):
        found = sorted((it for it in self.rows.values()
                        if it["table"] == query["table"] and
                        it["part"] == query.get("part", "") and
                        it["key"] >= query.get("from", "")),
                       key=lambda it: it["key"].encode())
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        sizes = itertools.accumulate(len(it["value"]) for it in found)
        fitting = sum(size <= MAX_READ_BYTES for size in sizes)
        # A row may be longer than an answer.
        limit = min(limit, max(1, fitting))
        return 200, {"row_version": self.version, "rows": found[:limit],
                     "has_more": len(found) > limit, "now_ms": self.now_ms()}

    async def feed(self, query):
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = {}
            for it in reversed(self.history):
                if it["row_version"] <= after:
                    break
                if it["table"] == query["table"]:
                    rows.setdefault((it["part"], it["key"]), it)
            left = end - loop.time()
            if rows or left <= 0:
                return 200, {"row_version": self.version,
                             "rows": list(reversed(rows.values())),
                             "now_ms": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def apply_fault(self, port, request):
        """Applies the fault of a port: delays the request or raises Withhold.
        Returns "refuse" for a 503, "lost" or "late" when the response to a
        write must be withheld after it is committed, and None otherwise."""
        fault = self.faults.get(port)
        if fault == "busy":
            return "refuse"
        if fault == "reset":
            raise Withhold
        if fault == "unresponsive":
            await asyncio.sleep(8)
            raise Withhold
        if fault == "slow":
            await asyncio.sleep(0.3)
        is_write = request.path == "/v1/rows-tx"
        if fault in ("lost", "late") and is_write and random.random() < 0.35:
            return fault
        return None

    async def handle(self, port, request):
        effect = await self.apply_fault(port, request)
        if effect == "refuse":
            return 503, {}
        if request.path == "/v1/rows-tx":
            if effect == "late":
                await asyncio.sleep(random.uniform(1, 4))
            await asyncio.sleep(TRANSACTION_TIME_S)
            response = self.transact(request.body)
            if effect:
                await asyncio.sleep(8)
                raise Withhold
            return response
        await asyncio.sleep(READ_TIME_S)
        if request.path == "/v1/rows-get":
            return self.read(request.query)
        if request.path == "/v1/rows-feed":
            return await self.feed(request.query)
        return 404, {}

    async def listen(self, host, port):
        return await serve(host, port, lambda it: self.handle(port, it))
