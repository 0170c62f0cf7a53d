"""Callers that keep their connections."""

import asyncio
import random

import http_stub
from daemons import HOST

CALL_TIMEOUT_S = 3.5


class KeptClient:
    """A caller that uses one connection to one daemon until it is closed, and
    opens the next one at once, until the process is gone."""

    def __init__(self, soak, daemon):
        self.soak = soak
        self.daemon = daemon
        self.connection = None

    async def send(self, *request):
        if self.connection is None or self.connection.has_ended():
            self.connection = await http_stub.Connection.open(
                HOST, self.daemon.callers)
        try:
            return await asyncio.wait_for(self.connection.ask(*request),
                                          CALL_TIMEOUT_S)
        except (OSError, asyncio.TimeoutError):
            self.connection.close()
            raise

    async def get(self, method, name):
        deadline_ms = random.choice([300, 300, 1000, 3000])
        return await self.soak.ask(self.daemon, method, name, deadline_ms,
                                   self.send)

    async def run(self):
        while not self.soak.over:
            await asyncio.sleep(random.uniform(0.1, 0.6))
            names = self.soak.unfinished()
            if names:
                await self.soak.query(random.choice(names), self.get)
