"""A small deployment on loopback for the cases of this review.

The daemons are the project's own program, started with the command of
deploy/system.toml and with settings rendered from the template that it names.
The store, the workers and the advisor are stand-ins that follow PROTOCOL.md.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "testing" / "soak"))

import http_stub  # noqa: E402
from store import Store  # noqa: E402

HOST = "127.0.0.1"
ROUTE_HOST = "soak.example"
ZONES = ["north", "centre", "south"]
ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_LEASE_MS = 6000
TAKEN = set()
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
    "revoke_ms": 5000, "evacuate_ms": 5000, "recovery_s": 12,
    "max_hold_ms": MAX_LEASE_MS, "stop_grace_ms": 400, "gang_wait_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "checkpoint_s": 0.5, "restore_ms": 100,
    "lease_ms": 3000,
}


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, *words):
        print(f"{self.now():8.3f}", *words, file=self.file, flush=True)

    def say(self, *words):
        self.write(*words)
        print(f"{self.now():8.3f}", *words, flush=True)


class Table(Store):
    """The platform's store with the limits that PROTOCOL.md gives a row and a
    transaction: what exceeds them is refused with 400 and nothing is done."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.too_large = 0
        self.down_partitions = set()
        self.down_kind = "busy"

    def transact(self, body):
        writes = body["writes"]
        entries = len(body["precondition"]) + len(writes) + len(body["remove"])
        largest = max((len(base64.b64decode(it["value"])) for it in writes),
                      default=0)
        if entries > MAX_ENTRIES or largest > ROW_BYTES:
            if self.too_large % 50 == 0:
                self.record.write("store refuses a transaction with 400:",
                                  entries, "entries, largest value", largest,
                                  "bytes, limit", ROW_BYTES)
            self.too_large += 1
            return 400, {"row_version": self.version, "rows": []}
        status, out = super().transact(body)
        return status, {**out, "now_ms": int(time.monotonic() * 1000)}

    async def handle(self, port, request):
        part = None
        if request.path == "/v1/rows-get":
            part = request.query.get("part", "")
        elif request.path == "/v1/rows-tx":
            rows = request.body["precondition"] + request.body["writes"]
            part = rows[0]["part"] if rows else None
        if part is not None and part in self.down_partitions:
            return 503, {}
        return await super().handle(port, request)


def free_ports(count):
    """Free ports below the ephemeral range, so that no outgoing connection takes
    them before they are listened on."""
    out = []
    while len(out) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as it:
            try:
                it.bind((HOST, port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            out.append(port)
    return out


def deployed(name):
    """Returns a field of the only role in the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    return re.search(rf'^{name} = "([^"]+)"', text, re.MULTILINE).group(1)


def render(text, fields):
    """Fills in the plain placeholders of a settings template."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        out = fields
        for part in name.split("."):
            out = out[int(part)] if part.isdigit() else out[part]
        return json.dumps(out) if form == "json" else str(out)

    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Daemon:
    """One process of the role in deploy/system.toml."""

    def __init__(self, cell, number):
        self.command = deployed("run").split()
        self.cell = cell
        self.name = f"front-{ZONES[number % 3]}-{number}"
        self.callers, self.readiness, peer, metrics, self.store = free_ports(5)
        self.log = cell.folder / f"{self.name}.log"
        self.settings = cell.folder / f"{self.name}.json"
        fields = {
            "node_name": self.name, "zone": ZONES[number % 3], "ip": HOST,
            "listen": {"frontend": f"{HOST}:{self.callers}",
                       "readiness": f"{HOST}:{self.readiness}"},
            "internal_ports": [peer, metrics],
            "limits": {"cpu_share": 0.25, "memory_mb": 160, "max_fds": 4100,
                       "link_mbps": 200},
            "platform": {"address": f"{HOST}:{self.store}"},
            "advice": f"{HOST}:{cell.advice_port}", "bounds": BOUNDS,
        }
        template = (ROOT / deployed("template")).read_text()
        self.settings.write_text(render(template, fields))
        self.process = None

    async def start(self):
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdout=log, stderr=log,
                env={**{it: os.environ[it] for it in ("PATH", "HOME")
                        if it in os.environ},
                     "MUSTARDWICK_SETTINGS": str(self.settings)})
        self.cell.record.write(self.name, "started")

    def signal(self, number):
        self.cell.record.write(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def runs(self):
        return self.process is not None and self.process.returncode is None

    def leader_epoch(self):
        """The highest epoch that the process said it acquired."""
        found = re.findall(r"event=leadership_acquired .*?epoch=(\d+)",
                           self.log.read_text(errors="replace"))
        return max(map(int, found), default=0)


class Worker:
    """Runs tasks under a lease, as PROTOCOL.md says."""

    def __init__(self, cell, number, cpu=32_000, labels=("a", "r1")):
        self.cell = cell
        self.id = f"i-{0x7f3a91c2 + number:08x}"
        self.port = free_ports(1)[0]
        self.zone = ZONES[number % 3]
        self.cpu = cpu
        self.labels = list(labels)
        self.state = "ready"
        self.listed = True
        self.up = True
        self.listener = None
        self.begin()

    def begin(self):
        """Starts a life that knows nothing of an earlier one."""
        self.born = int(time.time() * 1000)
        self.start_time = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.ended_count = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.up = True

    def clock_ms(self):
        return int((time.monotonic() - self.start_time) * 1000) + 1

    def stamp(self, body):
        return {"clock_ms": self.clock_ms(), "born": self.born, **body}

    def entry(self):
        return {"service": "huvo11a", "address": f"{HOST}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpus": 0},
                "labels": self.labels, "clock_ms": self.clock_ms(),
                "born": self.born, "sequence": self.sequence}

    def announce(self):
        self.sequence += 1
        self.cell.store.put("servers", self.id, self.entry())

    async def beat(self):
        while True:
            if self.up and self.listed:
                self.announce()
            await asyncio.sleep(1.5)

    def end(self, key, how):
        if self.runs.pop(key, None) is None:
            return
        self.ended_count += 1
        self.ends.append([self.ended_count, key[0], key[1], how, ""])
        self.cell.ended(self, key[0], key[1], how)
        self.changed.set()

    def leave(self):
        """Exits: all that runs ends, and the entry is removed."""
        for task, run in list(self.runs):
            self.cell.ended(self, task, run, "gone")
        self.runs = {}
        self.up = False
        self.listed = False
        self.cell.store.drop("servers", self.id)
        self.listener.close()
        self.cell.record.say("worker", self.id, "has left")

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.runs and self.clock_ms() > self.lease_ms:
                for key in list(self.runs):
                    self.end(key, "lapsed")
            for key, it in list(self.runs.items()):
                if now >= it["ends"]:
                    self.end(key, it["how"])

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() +
                                               MAX_LEASE_MS))

    def start_run(self, body):
        key = (body["task"], body["run"])
        if body.get("fencing_token", 0) < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = body.get("fencing_token", 0)
        if key in self.runs:
            return 200, self.stamp({})
        if self.clock_ms() > body["deadline_ms"]:
            return 409, self.stamp({"reason": "late"})
        self.extend(body["deadline_ms"])
        if body["run"] <= self.highest.get(body["task"], 0):
            return 409, self.stamp({"reason": "old"})
        how, run_s = self.cell.begun(self, body)
        self.runs[key] = {"how": how, "ends": time.monotonic() + run_s}
        self.highest[body["task"]] = body["run"]
        return 200, self.stamp({})

    def stop_run(self, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = body.get("fencing_token", 0)
        self.highest[body["task"]] = max(body["run"],
                                         self.highest.get(body["task"], 0))
        key = (body["task"], body["run"])
        self.cell.record.write(self.id, "is told to stop", *key)
        if key in self.runs:
            self.runs[key] = {"how": "stopped", "ends": time.monotonic() + 0.3}
        return 200, self.stamp({})

    async def hold(self, body):
        if body["fencing_token"] < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = body["fencing_token"]
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        self.ends = [it for it in self.ends if it[0] > body["ack_cursor"]]
        self.changed.clear()
        if not self.ends and body.get("wait_ms", 0) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", 50, 0] for task, run in self.runs]
        return 200, self.stamp({"running": running,
                                "finished": self.ends[:500]})

    async def handle(self, request):
        if not self.up:
            raise http_stub.Withhold
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, self.stamp({})
        life = self.born
        if request.path == "/v1/run-start":
            response = self.start_run(request.body)
        elif request.path == "/v1/run-stop":
            response = self.stop_run(request.body)
        elif request.path == "/v1/hold":
            response = await self.hold(request.body)
        elif request.path == "/health":
            response = 200, {}
        else:
            response = 404, {}
        if not self.up or life != self.born:
            raise http_stub.Withhold
        return response

    async def listen(self):
        self.listener = await http_stub.serve(HOST, self.port, self.handle)
        self.announce()
        for work in (self.tick(), self.beat()):
            self.cell.spawn(work)


class Cell:
    """Daemons, workers, store and advisor of one case."""

    def __init__(self, folder, daemons=3):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Table(self.record)
        self.advice_port = free_ports(1)[0]
        self.daemons = [Daemon(self, it) for it in range(daemons)]
        self.workers = []
        self.tasks = set()
        # task -> list of (time, run, worker) and of (time, run, worker, how)
        self.starts = {}
        self.ends = {}
        # (task, run) -> worker
        self.running = {}
        # job -> function(step, run) giving how a run ends and after how long
        self.behaviour = {}
        self.version = 0

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def begun(self, worker, body):
        task, run = body["task"], body["run"]
        self.record.write("start", task, "run", run, "on", worker.id, "token",
                          body.get("fencing_token", 0))
        self.starts.setdefault(task, []).append(
            (self.record.now(), run, worker.id))
        self.running[task, run] = worker
        job, _, step, _ = task.split(".")
        return self.behaviour.get(job, lambda step, run: ("done", 1.0))(
            int(step), run)

    def ended(self, worker, task, run, how):
        self.record.write("end", task, "run", run, "on", worker.id, how)
        self.running.pop((task, run), None)
        self.ends.setdefault(task, []).append(
            (self.record.now(), run, worker.id, how))

    def configure(self, routes, tenants):
        self.version += 1
        self.store.put("op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": "huvo11a", "health_path": "/health",
                          "max_connections": 64, "protocol": "h1",
                          "tls": False, "enforces_capacity": False,
                          "standby": False}],
            "tenants": tenants,
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15_000}})
        self.record.say("configuration", self.version, "is in the store",
                        json.dumps(tenants))

    async def advise(self, request):
        await asyncio.sleep(0.01)
        return 200, {"allowed": [[it, "ticket"]
                                 for it in request.body["workers"]],
                     "valid_ms": 2500}

    async def start(self):
        await http_stub.serve(HOST, self.advice_port, self.advise)
        for it in self.workers:
            await it.listen()
        for it in self.daemons:
            await self.store.listen(HOST, it.store)
            await it.start()

    def leader(self):
        return max(self.daemons, key=lambda it: it.leader_epoch())

    async def ready(self, daemon):
        try:
            status, _ = await http_stub.call(HOST, daemon.readiness, "GET",
                                             "/v1/ready", timeout=1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError):
            return False
        return status == 200

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await self.ready(it) for it in self.daemons]
            if all(states) and self.leader().leader_epoch() > 0:
                return True
            await asyncio.sleep(0.1)
        return False

    async def ask(self, daemon, method, path, key, body=None, deadline_ms=3000,
                  connection=None):
        """Sends one request of a client; returns its status and body, or
        (None, {}) when no answer comes."""
        headers = [f"Authorization: Bearer {key}",
                   f"Deadline-Ms: {deadline_ms}"]
        began = self.record.now()
        status, out = None, {}
        try:
            if connection is not None:
                status, out = await asyncio.wait_for(
                    connection.ask(method, path, body, headers),
                    deadline_ms / 1000 + 0.5)
            else:
                status, out = await http_stub.call(
                    HOST, daemon.callers, method, path, body, headers,
                    timeout=deadline_ms / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError):
            pass
        self.record.write(method, path, "at", daemon.name, "sent",
                          f"{began:.3f}", "answered", status, json.dumps(out))
        return status, out

    async def submit(self, path, key, body, tries=5, first=0):
        """Hands a job in as a client does, at other daemons after a failed
        attempt; returns whether it was accepted."""
        for attempt in range(tries):
            daemon = self.daemons[(first + attempt) % len(self.daemons)]
            status, _ = await self.ask(daemon, "POST", path, key, body)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    def stop(self):
        for it in self.tasks:
            it.cancel()
        for it in self.daemons:
            if it.runs():
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()

    async def finish(self):
        self.stop()
        for it in self.daemons:
            if it.process is not None:
                await it.process.wait()
        await asyncio.gather(*self.tasks, return_exceptions=True)


BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def route(name, prefix, priority=1, attempts=4, **more):
    return {"name": name, "host": ROUTE_HOST, "path_prefix": prefix,
            "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
            "priority": priority, "service": "huvo11a", "attempts": attempts,
            "stretch": 2.0, "public": False, **more}


def play(folder, scenario, **options):
    """Runs a scenario and exits with its result. The first argument, from
    run.sh, is 0 for a run without the disruption."""
    trouble = sys.argv[1] != "0"

    async def run():
        cell = Cell(folder, **options)
        keep = os.environ.get("KEEP_LOGS")
        try:
            return await scenario(cell, trouble)
        except Exception as ex:
            cell.record.say("could not run:", repr(ex))
            if keep:
                raise
            return COULD_NOT_RUN
        finally:
            await cell.finish()
            if keep:
                import shutil
                shutil.copytree(cell.folder, keep, dirs_exist_ok=True)

    if not (ROOT / "target" / "mustardwickd").exists():
        print("target/mustardwickd is missing: run the build of "
              "deploy/system.toml")
        sys.exit(COULD_NOT_RUN)
    result = asyncio.run(run())
    print({BROKEN: "the rule was broken", HELD: "the rule held",
           COULD_NOT_RUN: "the case could not run"}[result])
    sys.exit(result)
