"""The daemons of the soak and their ports."""

import asyncio
import json
import os
import signal

from faults import ActiveFaults

HOST = "127.0.0.1"
ZONES = ["north", "south", "east"]


class Ports:
    """Allocates ports below the ephemeral range. Adjacent seeds, which run
    concurrently, get disjoint port ranges."""

    FIRST = 10_000
    PORTS_PER_SEED = 200
    RANGES = 100

    def __init__(self, seed):
        self.next = self.FIRST + seed % self.RANGES * self.PORTS_PER_SEED

    def take(self, count):
        first = self.next
        self.next += count
        return list(range(first, first + count))


class Daemon:
    """A daemon process with its own ports, settings and log file."""

    def __init__(self, program, number, folder, ports):
        self.program = program
        self.name = f"entry-{number}"
        self.callers, self.readiness, peers, metrics, self.store = ports[:5]
        self.advice = ports[5]
        self.log = folder / f"{self.name}.log"
        self.settings = folder / f"{self.name}.json"
        self.settings.write_text(json.dumps({
            "name": self.name, "failure_domain": ZONES[number % len(ZONES)],
            "callers": f"{HOST}:{self.callers}",
            "readiness": f"{HOST}:{self.readiness}", "address": HOST,
            "peer_port": peers, "metrics_port": metrics, "capacity": 0.25,
            "store": f"{HOST}:{self.store}",
            "advisor": f"{HOST}:{self.advice}",
            "limits": {"max_lease_ms": 6000, "stop_grace_ms": 400}}))
        self.process = None
        # Bytes a second of its path to the store outside of faults; None: no
        # limit.
        self.usual_rate = None
        # The listener of its port of the store.
        self.store_path = None
        # Of its process and its path to the store.
        self.disturbances = ActiveFaults()
        # Set from SIGTERM until the process is started again.
        self.stops_as_planned = False
        self.restarting = asyncio.Lock()

    async def start(self):
        self.stops_as_planned = False
        with self.disturbances.during("unplanned"), self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, "--hosted", stdout=log, stderr=log,
                env={**os.environ,
                     "MUSTARDWICK_SETTINGS": str(self.settings)})

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def leads_since(self):
        """Returns when it last became leader, as text that can be compared;
        empty if it never did."""
        if not self.log.exists():
            return ""
        lines = [it for it in self.log.read_text(errors="replace").splitlines()
                 if " event=leadership_acquired " in it and
                 " component=leader " in it]
        return lines[-1].split()[0] if lines else ""

    async def stop(self, number):
        self.stops_as_planned = number == signal.SIGTERM
        self.signal(signal.SIGCONT)
        with self.disturbances.during("unplanned"):
            self.signal(number)
            if self.process is not None:
                await self.process.wait()
