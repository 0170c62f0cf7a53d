"""Stand-ins and helpers of the cases review/6 to review/10.

A cell on loopback: daemons started with the command and the settings template
of deploy/system.toml, the project's stand-in for the store, and workers that
keep to PROTOCOL.md. Each case says what is disturbed and which rule it checks.
"""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import traceback

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY / "testing" / "soak"))

import http_stub  # noqa: E402
from store import Store  # noqa: E402

HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Of sites/bdp-sched.toml and its table in SYSTEM.md.
BOUNDS = {"stable_ms": 3000, "ack_ms": 4000, "config_apply_ms": 2000,
          "grace_s": 6, "max_hold_ms": 6000, "stop_grace_ms": 900,
          "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
          "early_ms": 250, "finish_s": 14, "status_s": 120,
          "checkpoint_s": 0.5, "restore_ms": 250, "quota_overage": 0.1,
          "lease_ms": 3000}
KEY = "key-of-tenant-a"
PREFIX = "/jobs/"
QUEUE = {"name": "work", "host": "soak.example", "path_prefix": PREFIX,
         "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
         "priority": 1, "service": "s", "attempts": 3, "stretch": 3.0,
         "public": False}


class CannotRun(Exception):
    """The case cannot be judged."""


# Above the ports of the hosted soak and below those that the kernel takes for
# outgoing connections; cases that run beside each other get different ones.
PORTS = iter(range(30_000 + os.getpid() % 25 * 100, 32_700))


def is_free(port):
    with socket.socket() as it:
        try:
            it.bind((HOST, port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Returns ports that were free a moment ago, each only once in a case."""
    found = []
    while len(found) < count:
        port = next(PORTS)
        if is_free(port):
            found.append(port)
    return found


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.violations = []

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()

    def violate(self, text):
        self.violations.append(text)
        self.write("VIOLATION " + text)


def render(template, fields):
    """Fills in the values {{a.b}} and {{a.b|json}} of a settings template."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        out = fields
        for part in name.split("."):
            out = out[int(part)] if isinstance(out, list) else out[part]
        return json.dumps(out) if form == "json" else str(out)

    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


def read_role():
    """Returns the texts of the only role of deploy/system.toml."""
    text = (REPOSITORY / "deploy" / "system.toml").read_text(encoding="utf-8")
    _, _, role = text.partition("[roles.")
    return dict(re.findall(r'^(\w+) = "(.*)"$', role, re.MULTILINE))


class Daemon:
    """A daemon process with its settings and its log."""

    def __init__(self, number, folder, role, store_port, advice_port, bounds):
        callers, readiness, peers, metrics = free_ports(4)
        self.name = f"front-{number}"
        self.callers = callers
        self.readiness = readiness
        self.log = folder / f"{self.name}.log"
        self.settings = folder / f"{self.name}.json"
        self.run = role["run"].split()
        template = (REPOSITORY / role["template"]).read_text(encoding="utf-8")
        self.settings.write_text(render(template, {
            "node_name": self.name, "zone": ["north", "south"][number % 2],
            "listen": {"frontend": f"{HOST}:{callers}",
                       "readiness": f"{HOST}:{readiness}"},
            "ip": HOST, "internal_ports": [peers, metrics],
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0,
                       "memory_mb": 260, "max_fds": 4100},
            "platform": {"address": f"{HOST}:{store_port}"},
            "advice": f"{HOST}:{advice_port}", "bounds": bounds}),
            encoding="utf-8")
        self.process = None

    async def start(self):
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.run, cwd=REPOSITORY, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", ""),
                     "MUSTARDWICK_SETTINGS": str(self.settings)})

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        try:
            status, _ = await http_stub.call(HOST, self.readiness, "GET",
                                             "/v1/ready", timeout=1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError):
            return False
        return status == 200

    def last_leadership(self):
        """Returns the time, as text, at which it last became leader."""
        if not self.log.exists():
            return ""
        lines = [it for it in self.log.read_text(errors="replace").splitlines()
                 if " event=leadership_acquired " in it]
        return lines[-1].split()[0] if lines else ""


class Worker:
    """A worker as PROTOCOL.md has it. `plan(task, run)` returns what a run
    does: `work_s`, how it ends, and its `load` figure."""

    def __init__(self, name, zone, labels, cell):
        self.id = name
        self.zone = zone
        self.labels = labels
        self.cell = cell
        self.port = free_ports(1)[0]
        self.is_cut = False
        self.up = False

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.ended = 0
        self.changed = asyncio.Event()
        self.up = True

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    def answer(self, body):
        return {"clock_ms": self.clock_ms(), "born": self.born, **body}

    async def listen(self):
        self.begin_life()
        self.cell.spawn(self.tick())
        self.cell.spawn(self.announce())
        await http_stub.serve(HOST, self.port, self.handle)

    async def announce(self):
        sequence = 0
        while True:
            if self.up and not self.is_cut:
                sequence += 1
                self.cell.store.put("servers", self.id, {
                    "service": "s", "address": f"{HOST}:{self.port}",
                    "zone": self.zone, "version": "v1", "slots": 8,
                    "state": "ready", "cold_remaining_ms": 0,
                    "born": self.born, "sequence": sequence,
                    "capacity": {"cpu": 32000, "mem_mb": 65536, "gpus": 0},
                    "labels": self.labels})
            await asyncio.sleep(1.5)

    def end(self, key, how):
        it = self.runs.pop(key, None)
        if it is None:
            return
        self.ended += 1
        saved = "" if how == "done" else it["saved"]
        self.ends.append([self.ended, key[0], key[1], how, saved])
        self.cell.record.write(f"{self.id}: end {key[0]} run {key[1]} {how} "
                               f"{saved!r}")
        self.cell.run_ended(self, key, how)
        self.changed.set()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for key, it in list(self.runs.items()):
                if self.clock_ms() > self.lease_ms:
                    self.end(key, "lapsed")
                elif now >= it["ends"]:
                    self.end(key, it["how"])
                else:
                    self.cell.run_continues(self, key, it)

    def check_token(self, body):
        token = body.get("fencing_token", 0)
        if token < self.token:
            return False
        self.token = token
        return True

    def extend(self, body):
        if "deadline_ms" in body:
            self.lease_ms = max(self.lease_ms, min(
                body["deadline_ms"],
                self.clock_ms() + BOUNDS["max_hold_ms"]))

    def run_start(self, body):
        key = (body["task"], body["run"])
        if not self.check_token(body):
            return 409, self.answer({"reason": "fence"})
        if key in self.runs:
            return 200, self.answer({})
        if key[1] <= self.highest.get(key[0], 0):
            return 409, self.answer({"reason": "old"})
        if self.clock_ms() > body["deadline_ms"]:
            return 409, self.answer({"reason": "late"})
        refused = self.cell.refuse_start(self, body)
        if refused:
            return refused, self.answer({})
        self.extend(body)
        plan = self.cell.plan(key[0], key[1])
        self.runs[key] = {"how": "done", "load": 0, **plan,
                          "began": time.monotonic(),
                          "saved": body.get("checkpointed", ""),
                          "ends": time.monotonic() + plan["work_s"]}
        self.cell.run_started(self, key, body)
        return 200, self.answer({})

    def run_stop(self, body):
        key = (body["task"], body["run"])
        if not self.check_token(body):
            return 409, self.answer({"reason": "fence"})
        self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
        self.cell.record.write(f"{self.id}: stop {key[0]} run {key[1]}")
        if key in self.runs:
            self.runs[key].update(how="stopped", ends=time.monotonic() +
                                  BOUNDS["stop_grace_ms"] / 2000)
        return 200, self.answer({})

    async def hold(self, body):
        if not self.check_token(body):
            return 409, self.answer({"reason": "fence"})
        self.extend(body)
        self.ends = [it for it in self.ends if it[0] > body["ack_cursor"]]
        self.changed.clear()
        if not self.ends and body.get("wait_ms", 0) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       min(body["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, self.answer({
            "running": [[task, run, it["saved"], 100, it["load"]]
                        for (task, run), it in self.runs.items()],
            "finished": self.ends[:500]})

    async def handle(self, request):
        if self.is_cut or not self.up:
            await asyncio.sleep(20)
            raise http_stub.Withhold
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, self.answer({})
        handlers = {"/v1/run-start": self.run_start,
                    "/v1/run-stop": self.run_stop}
        if request.path == "/v1/hold":
            out = await self.hold(request.body)
        elif request.path in handlers:
            out = handlers[request.path](request.body)
            if request.path == "/v1/run-start":
                self.cell.record.write(
                    f"{self.id}: start {request.body['task']} run "
                    f"{request.body['run']} checkpointed "
                    f"{request.body.get('checkpointed', '')!r} -> {out[0]} "
                    f"{out[1].get('reason', '')}")
        else:
            out = 404, {}
        if self.is_cut or not self.up:
            raise http_stub.Withhold
        return out


class Cell:
    """The daemons, the store and the workers. Cases override the hooks."""

    def __init__(self, record, folder, daemons=3, bounds=None):
        self.record = record
        self.folder = folder
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store()
        self.store_port, advice_port = free_ports(2)
        role = read_role()
        self.daemons = [Daemon(it, folder, role, self.store_port, advice_port,
                               self.bounds) for it in range(daemons)]
        self.workers = []
        self.starts = []
        self.version = 0
        self.tasks = set()

    # Hooks

    def plan(self, task, run):
        return {"work_s": 1.0}

    def refuse_start(self, worker, body):
        return None

    def run_started(self, worker, key, body):
        self.starts.append((time.monotonic(), worker, key, body))

    def run_continues(self, worker, key, it):
        pass

    def run_ended(self, worker, key, how):
        pass

    # Parts

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def configure(self, maximum=None):
        self.version += 7
        tenant = {"name": "a", "api_keys": [KEY], "priority": 1, "weight": 30}
        if maximum:
            tenant["maximum"] = maximum
        self.store.put("op", "config", {
            "version": self.version, "routes": [QUEUE],
            "services": [{"name": "s", "enforces_capacity": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [tenant]})

    async def start(self, maximum=None):
        self.configure(maximum)
        await self.store.listen(HOST, self.store_port)
        for it in self.workers:
            await it.listen()
        for it in self.daemons:
            await it.start()
        until = time.monotonic() + 20
        while time.monotonic() < until:
            await asyncio.sleep(0.2)
            ready = [await it.is_ready() for it in self.daemons]
            if all(ready) and any(it.last_leadership() for it in self.daemons):
                break
        else:
            raise CannotRun("the daemons are not ready after 20 s")
        # All machines are in touch, and workers have answered.
        await asyncio.sleep(BOUNDS["stable_ms"] / 1000 + 1)
        self.record.write("all daemons are ready")

    def leader(self):
        return max(self.daemons, key=lambda it: it.last_leadership())

    def member(self):
        """Returns a daemon that is not the leader."""
        leader = self.leader()
        return next(it for it in self.daemons if it is not leader)

    async def call(self, daemon, method, name, body=None, deadline_ms=3000):
        """Returns the status of a client's call; 0 if none came in time."""
        self.record.write(f"client: {method} {name} to {daemon.name}")
        status, answer = 0, {}
        try:
            status, answer = await http_stub.call(
                HOST, daemon.callers, method, PREFIX + name, body,
                [f"Authorization: Bearer {KEY}", f"Deadline-Ms: {deadline_ms}"],
                timeout=deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError):
            pass
        self.record.write(f"client: {method} {name} from {daemon.name} -> "
                          f"{status or 'no answer'} {answer}")
        return status, answer

    async def submit(self, daemon, name, body):
        """Submits a job as a client does, with repetitions."""
        for _ in range(5):
            status, _ = await self.call(daemon, "POST", name, body)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {name} was not accepted")

    async def stop(self):
        for it in self.daemons:
            await it.kill()
        for it in list(self.tasks):
            it.cancel()


def main(case, folder):
    """Runs a case: an async function of a record, a temporary folder and
    whether the disruption takes place."""
    record = Record(pathlib.Path(folder))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cells = []

    def make(kind, *args, **options):
        out = kind(record, *args, **options)
        cells.append(out)
        return out

    async def run(temporary):
        try:
            await asyncio.wait_for(case(make, record, temporary, trouble), 110)
        finally:
            for it in cells:
                await it.stop()

    status = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            asyncio.run(run(pathlib.Path(temporary)))
            status = BROKEN if record.violations else HELD
        except (CannotRun, asyncio.TimeoutError) as it:
            record.write(f"the case could not run: {it!r}")
        except Exception:  # pylint: disable=broad-except
            record.write("the case could not run: " + traceback.format_exc())
    record.write(f"exit {status}")
    print("\n".join(record.violations) or f"exit {status}")
    sys.stdout.flush()
    os._exit(status)
