"""A stand-in of the platform's store, by its published protocol."""

import asyncio
import base64
import json
import random

from http_stub import Withhold, serve

TRANSACTION_S = 0.006
READ_S = 0.004
MOST_ROWS = 500


class Store:
    """Rows with versions, transactions and a feed; one port a daemon, so that
    faults can meet single daemons."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        # Fault by port; see apply_fault().
        self.faults = {}

    def put(self, table, key, value):
        """Writes a row of the operator or of a worker."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
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
        conflict = []
        for it in body["precondition"]:
            row = self.rows.get((it["table"], it["part"], it["key"]))
            if it["row_version"] != (row["row_version"] if row else 0):
                conflict += [row] if row else []
                conflict = conflict or [None]
        if conflict:
            rows = [it for it in conflict if it]
            return 412, {"row_version": self.version, "rows": rows}
        self.commit(body["writes"], body["remove"])
        return 200, {"row_version": self.version}

    def read(self, query):
        found = sorted((it for it in self.rows.values()
                        if it["table"] == query["table"] and
                        it["part"] == query.get("part", "") and
                        it["key"] >= query.get("from", "")),
                       key=lambda it: it["key"].encode())
        limit = min(int(query.get("limit", MOST_ROWS)), MOST_ROWS)
        return 200, {"row_version": self.version, "rows": found[:limit],
                     "has_more": len(found) > limit}

    async def feed(self, query):
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = {}
            for it in self.history:
                if it["row_version"] > after and it["table"] == query["table"]:
                    rows[it["part"], it["key"]] = it
            left = end - loop.time()
            if rows or left <= 0:
                return 200, {"row_version": self.version,
                             "rows": list(rows.values())}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def apply_fault(self, port, request):
        """Refuses, silences or delays a call; true when the answer of a write
        has to be withheld after it was carried out."""
        fault = self.faults.get(port)
        if fault == "busy":
            return "refuse"
        if fault == "reset":
            raise Withhold
        if fault == "silent":
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
            await asyncio.sleep(TRANSACTION_S)
            answer = self.transact(request.body)
            if effect:
                await asyncio.sleep(8)
                raise Withhold
            return answer
        await asyncio.sleep(READ_S)
        if request.path == "/v1/rows-get":
            return self.read(request.query)
        if request.path == "/v1/rows-feed":
            return await self.feed(request.query)
        return 404, {}

    async def listen(self, host, port):
        return await serve(host, port, lambda it: self.handle(port, it))
