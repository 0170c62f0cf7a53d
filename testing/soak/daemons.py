"""The daemons of the soak and their ports."""

import asyncio
import fcntl
import json
import os
import pathlib
import signal
import socket
import tempfile

from faults import ActiveFaults

HOST = "127.0.0.1"
ZONES = ["north", "south", "east"]


def is_free(port):
    with socket.socket() as it:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            it.bind((HOST, port))
        except OSError:
            return False
    return True


class Ports:
    """Allocates ports below the ephemeral range. Each instance has a range that
    no other running test uses: the first free one from that of its seed on."""

    FIRST = 10_000
    PORTS_PER_RANGE = 200
    RANGES = 100
    # Unit tests have fixed ports from 18,981 and from 27,411 on.
    RANGES_OF_UNIT_TESTS = (44, 87)

    def __init__(self, seed):
        for it in range(self.RANGES):
            number = (seed + it) % self.RANGES
            first = self.FIRST + number * self.PORTS_PER_RANGE
            if number not in self.RANGES_OF_UNIT_TESTS and self.claim(first):
                self.next = first
                self.end = first + self.PORTS_PER_RANGE
                return
        raise RuntimeError("no range of ports is free; end other tests first")

    def claim(self, first):
        """Locks a range until this process ends. Ports of daemons that an
        earlier test has left running are not free."""
        path = pathlib.Path(tempfile.gettempdir())
        self.lock = (path / f"mustardwick-ports-{first}.lock").open("a")
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.lock.close()
            return False
        if all(is_free(first + it) for it in range(self.PORTS_PER_RANGE)):
            return True
        self.lock.close()
        return False

    def take(self, count):
        first = self.next
        self.next += count
        if self.next > self.end:
            raise RuntimeError(f"more than {self.PORTS_PER_RANGE} ports")
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
