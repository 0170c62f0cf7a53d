"""Faults, and the record of active faults. All but the first draw from random
generators of their own, so that a seed's first faults stay as they are."""

import asyncio
import contextlib
import json
import math
import random
import signal
import time

from http_stub import serve
from workers import next_clock_ms

STORE_FAULTS = ["busy", "reset", "unresponsive", "slow", "lost", "late"]
PATH_FAULTS = ["refuse", "reset", "one_way"]
FLOOD_SHARE = 0.85
POISONED_SHARE = 0.04


class ActiveFaults:
    """Tells when the last fault was active. Planned faults are stops by
    SIGTERM; all others are unplanned."""

    KINDS = ("planned", "unplanned")

    def __init__(self):
        self.active = dict.fromkeys(self.KINDS, 0)
        self.ended = dict.fromkeys(self.KINDS, -math.inf)

    @contextlib.contextmanager
    def during(self, kind):
        self.active[kind] += 1
        try:
            yield
        finally:
            self.active[kind] -= 1
            self.ended[kind] = time.monotonic()

    def quiet_since(self, *kinds):
        """Returns the end of the last fault, infinity while one is active."""
        return max(math.inf if self.active[it] else self.ended[it]
                   for it in kinds or self.KINDS)


class OddEntries:
    """Registry entries that name no usable worker. Some have the address of a
    listener, on which no daemon may call."""

    def __init__(self, host, port, store, promises):
        self.host = host
        self.port = port
        self.store = store
        self.promises = promises

    async def listen(self):
        async def handle(request):
            self.promises.violate(f"UNASKED {request.path} to the address of "
                                  f"an odd registry entry")
            return 404, {}

        return await serve(self.host, self.port, handle)

    def good_entry(self):
        return {"service": "s", "address": f"{self.host}:{self.port}",
                "zone": "north", "version": "1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "sequence": 1, "born": 1,
                "capacity": {"cpu": 8000, "mem_mb": 16000, "gpus": 0},
                "labels": ["a", "r1"]}

    def make(self, generator):
        """Returns the kind and the value of a row."""
        entry = self.good_entry()
        kind = generator.choice(["missing", "port", "huge", "nested", "text"])
        if kind == "missing":
            del entry[generator.choice(["service", "address", "zone", "state",
                                        "capacity"])]
        elif kind == "port":
            entry["address"] = f"{self.host}:0"
        elif kind == "huge":
            huge = generator.choice([1e300, -1e300])
            if generator.random() < 0.5:
                entry["capacity"]["cpu"] = huge
            else:
                entry["born"] = huge
        elif kind == "nested":
            return kind, b'{"capacity":' * 20_000
        else:
            return kind, b"\xff\x00 not JSON"
        return kind, json.dumps(entry).encode()

    def write(self, key, generator):
        kind, value = self.make(generator)
        self.store.put_bytes("servers", key, value)
        return kind


class FirstFaults:
    """Injects faults of daemons, of their paths to the store and of workers.
    Draws from the generator of the jobs, but for the clocks of workers."""

    def __init__(self, soak):
        self.soak = soak
        self.random = soak.random
        self.clocks = random.Random(soak.options.seed ^ 0xc10c)
        self.active = soak.faults_active

    async def daemon_fault(self):
        it = self.random.choice(self.soak.daemons)
        kind = self.random.choice(["kill", "term", "pause", "hup"])
        length = self.random.uniform(0.2, 5)
        self.soak.log_fault("daemon", it.name, kind, length)
        if kind == "term":
            return await self.soak.stop_for(it)
        with self.active.during("unplanned"):
            if kind == "hup":
                it.signal(signal.SIGHUP)
            elif kind == "pause":
                with it.disturbances.during("unplanned"):
                    it.signal(signal.SIGSTOP)
                    await asyncio.sleep(length)
                    it.signal(signal.SIGCONT)
            else:
                await it.stop(signal.SIGKILL)
                await self.soak.restart(it)
        return None

    async def store_fault(self):
        kind = self.random.choice(STORE_FAULTS)
        length = self.random.uniform(0.5, 5)
        share = self.random.choice([0.3, 0.5, 1.0])
        daemons = [it for it in self.soak.daemons
                   if self.random.random() < share]
        self.soak.log_fault("store", f"{len(daemons)} daemons", kind, length)
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.active.during("unplanned"))
            for it in daemons:
                stack.enter_context(it.disturbances.during("unplanned"))
                self.soak.store.faults[it.store] = kind
            await asyncio.sleep(length)
            for it in daemons:
                self.soak.store.faults.pop(it.store, None)

    async def worker_fault(self):
        it = self.random.choice(self.soak.workers)
        kind = self.random.choice(["crash", "cut", "late"])
        length = self.random.uniform(0.5, 7)
        self.soak.log_fault("worker", it.id, kind, length)
        if kind == "crash":
            # Already down: the concurrent fault restarts it.
            if not it.up:
                return
            with self.active.during("unplanned"):
                it.crash()
                self.soak.store.drop("servers", it.id)
                await asyncio.sleep(length)
                it.start_incarnation(next_clock_ms(it.clock_ms(),
                                                   self.clocks))
            return
        with self.active.during("unplanned"):
            it.fault = kind
            await asyncio.sleep(length)
            it.fault = None

    async def inject(self, until):
        faults = [self.daemon_fault, self.store_fault, self.worker_fault]
        while time.monotonic() < until:
            await asyncio.sleep(
                self.random.expovariate(self.soak.options.faults))
            self.soak.spawn(self.random.choice(faults)())


class SecondFaults:
    """Injects faults of network paths, floods of poisoned jobs and odd
    registry entries."""

    def __init__(self, soak, odd_entries):
        self.soak = soak
        self.odd = odd_entries
        self.random = random.Random(f"second-{soak.options.seed}")
        self.poison_random = random.Random(f"poison-{soak.options.seed}")
        self.flood_until = 0
        self.calm_follows = self.random.random() < 0.5

    def poisons(self):
        """Decides whether the tasks of the next job always fail."""
        flood = time.monotonic() < self.flood_until
        return self.poison_random.random() < (FLOOD_SHARE if flood
                                              else POISONED_SHARE)

    async def path_fault(self):
        it = self.random.choice(self.soak.workers)
        kind = self.random.choice(PATH_FAULTS)
        length = self.random.uniform(0.5, 7)
        if it.path:
            return
        self.soak.log_fault("path", it.id, kind, length)
        with self.soak.faults_active.during("unplanned"):
            it.break_path(kind)
            await asyncio.sleep(length)
            await it.mend_path()

    async def odd_entries(self):
        length = self.random.uniform(0.5, 7)
        keys = [f"odd-{self.random.randrange(10**6)}"
                for _ in range(self.random.randint(1, 4))]
        kinds = [self.odd.write(it, self.random) for it in keys]
        self.soak.log_fault("odd entries", "registry", ",".join(kinds), length)
        await asyncio.sleep(length)
        for it in keys:
            self.soak.store.drop("servers", it)

    async def flood(self):
        length = self.random.uniform(2, 5)
        self.soak.log_fault("poisoned jobs", "load", "flood", length)
        self.flood_until = time.monotonic() + length
        await asyncio.sleep(length)

    async def roll(self):
        """Stops all daemons as planned: one after another, or at once, and
        then none starts before all are gone."""
        pause = self.random.choice([0, 0, 0.5, 2.5])
        self.soak.log_fault("daemon", "all", "roll", pause)
        daemons = self.soak.daemons
        with self.soak.faults_active.during("planned"):
            if not pause:
                await asyncio.gather(*(it.stop(signal.SIGTERM)
                                       for it in daemons))
                await asyncio.gather(*map(self.soak.restart, daemons))
                return
            stops = []
            for it in self.random.sample(daemons, len(daemons)):
                stops.append(asyncio.ensure_future(self.soak.stop_for(it)))
                await asyncio.sleep(pause)
            await asyncio.gather(*stops)

    async def inject(self, until):
        faults = [self.path_fault, self.path_fault, self.odd_entries,
                  self.flood]
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(0.6))
            self.soak.spawn(self.random.choice(faults)())

    async def calm(self, length):
        """Only planned stops and then poisoned jobs and odd entries, so that
        the checks apply which other faults suspend."""
        while self.soak.faults_active.quiet_since() == math.inf:
            await asyncio.sleep(0.1)
        await self.roll()
        until = time.monotonic() + length
        while time.monotonic() < until:
            await self.random.choice([self.flood, self.flood,
                                      self.odd_entries])()


class RouteChanges:
    """Removes routes for a while and brings them back under another name. The
    jobs that were accepted through them go on."""

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"routes-{soak.options.seed}")
        self.last_change = -math.inf

    async def change(self):
        routes = self.soak.routes
        route = self.random.choice(routes)
        length = self.random.choice([0, self.random.uniform(0.2, 3)])
        self.soak.log_fault("route", route["name"], "renamed", length)
        self.last_change = math.inf
        if length:
            routes.remove(route)
            self.soak.configure()
            await asyncio.sleep(length)
            routes.append(route)
        route["name"] = f"r-{self.random.randrange(10**6)}"
        self.soak.configure()
        self.last_change = time.monotonic()

    async def inject(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(0.3))
            if self.soak.routes:
                await self.change()
