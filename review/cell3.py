"""Stand-ins and helpers of the cases 11 to 15: a small deployment on loopback.

The store is the project's own stand-in (testing/soak/store.py). Workers, the
advisor and clients are below; they follow the users' pages.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent
sys.path.insert(0, str(ROOT / "testing" / "soak"))

import http_stub  # noqa: E402
import store as store_standin  # noqa: E402

HOST = "127.0.0.1"
ZONES = ["north", "south", "east"]
MAX_HOLD_MS = 6000
STOP_GRACE_S = 0.4
HEARTBEAT_S = 1.5
KEY = "key-of-a"
ROUTE_HOST = "soak.example"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def add(self, kind, **fields):
        line = {"t": round(time.monotonic() - self.begin, 3), "kind": kind,
                **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.begin


_taken = set()


def is_free(port):
    with socket.socket() as it:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            it.bind((HOST, port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Returns free ports below those of the unit tests, which are fixed, and
    below the range that the kernel draws from."""
    out = []
    while len(out) < count:
        port = random.randrange(12_000, 18_500)
        if port not in _taken and is_free(port):
            _taken.add(port)
            out.append(port)
    return out


def lookup(fields, path):
    for name in path.split("."):
        fields = fields[int(name)] if isinstance(fields, list) \
            else fields.get(name)
    return fields


def fill(template, fields):
    """Fills in the placeholders that the project's template uses."""

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = lookup(fields, path)
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([a-z_.0-9|]+)\}\}", value, template)


class Daemon:
    """target/mustardwickd --hosted, with settings made from the template."""

    def __init__(self, cell, number):
        self.cell = cell
        self.name = f"front-{number}"
        frontend, readiness, first, second, self.store, self.advice = \
            free_ports(6)
        self.callers = frontend
        self.readiness = readiness
        fields = {
            "node_name": self.name, "zone": ZONES[number % len(ZONES)],
            "ip": HOST,
            "listen": {"frontend": f"{HOST}:{frontend}",
                       "readiness": f"{HOST}:{readiness}"},
            "internal_ports": [first, second],
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0},
            "bounds": {"max_hold_ms": MAX_HOLD_MS, "config_apply_ms": 2000,
                       "grace_s": 6, "status_s": 120, "stop_grace_ms": 400,
                       "early_ms": 250, "lease_ms": 3000},
            "advice": f"{HOST}:{self.advice}",
            "platform": {"address": f"{HOST}:{self.store}"}}
        template = (ROOT / "platform" / "settings.template.json").read_text()
        self.settings = cell.folder / f"{self.name}.json"
        self.settings.write_text(fill(template, fields))
        self.log = cell.folder / f"{self.name}.log"
        self.process = None

    async def start(self):
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / "target" / "mustardwickd"), "--hosted",
                cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", ""),
                     "LANG": os.environ.get("LANG", "C.UTF-8"),
                     "MUSTARDWICK_SETTINGS": str(self.settings)})

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def ended_by_itself(self):
        return self.process is not None and self.process.returncode is not None

    def last_leadership(self):
        """Returns when it last became the leader, as text; for choosing where
        a disruption strikes, not for the check."""
        if not self.log.exists():
            return ""
        lines = [it for it in
                 self.log.read_text(errors="replace").splitlines()
                 if " event=leadership_acquired " in it]
        return lines[-1].split()[0] if lines else ""


class Worker:
    """One life of a worker: runs tasks under a lease."""

    def __init__(self, cell, number, capacity):
        self.cell = cell
        self.id = f"w{number:03d}"
        self.number = number
        self.capacity = capacity
        self.zone = ZONES[number % len(ZONES)]
        self.port = 0
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.first_clock_ms = 1_000_000 + 7919 * number
        self.token = 0
        self.lease_ms = 0
        self.lease_timer = None
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_count = 0
        self.changed = asyncio.Event()
        self.sequence = 0
        self.listener = None
        # Partitioned from the machines of the system, not from the store.
        self.is_cut = False
        self.is_lost = False

    def clock_ms(self):
        return (self.first_clock_ms +
                int((time.monotonic() - self.start) * 1000) + 1)

    def stamp(self, body):
        return {"clock_ms": self.clock_ms(), "born": self.born, **body}

    def entry(self):
        self.sequence += 1
        return {"service": "s", "address": f"{HOST}:{self.port}",
                "zone": self.zone, "version": "1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born,
                "capacity": self.capacity,
                "labels": ["a", f"r{self.number // 8}"]}

    async def listen(self):
        self.listener = http_stub.Listener(HOST, 0, self.handle)
        await self.listener.open()
        self.port = self.listener.server.sockets[0].getsockname()[1]

    async def announce(self):
        while not self.is_lost:
            self.cell.store.put("servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def lose(self):
        """It crashes, silently and for good. Its entry expires after three
        heartbeat intervals."""
        self.is_lost = self.is_cut = True
        self.cell.record.add("worker_lost", worker=self.id)
        for key in list(self.runs):
            self.end(key, "lost")
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.cell.store.drop("servers", self.id)
        self.cell.record.add("entry_removed", worker=self.id)

    def extend(self, deadline_ms):
        now = self.clock_ms()
        self.lease_ms = max(self.lease_ms,
                            min(deadline_ms, now + MAX_HOLD_MS))
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            max(0, self.lease_ms - now) / 1000 + 0.002, self.check_lease)

    def check_lease(self):
        if self.clock_ms() > self.lease_ms:
            for key in list(self.runs):
                self.end(key, "lapsed")

    def end(self, key, how):
        run = self.runs.pop(key, None)
        if run is None:
            return
        run["timer"].cancel()
        self.end_count += 1
        self.ends.append([self.end_count, key[0], key[1], how, ""])
        self.cell.ended(self, key, how)
        self.changed.set()

    def note_end(self, key):
        task, run = key
        self.highest[task] = max(run, self.highest.get(task, 0))

    def run_start(self, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = body.get("fencing_token", 0)
        key = (body["task"], body["run"])
        if key in self.runs:
            return 200, self.stamp({})
        if body["run"] <= self.highest.get(body["task"], 0):
            return 409, self.stamp({"reason": "old"})
        if self.clock_ms() > body["deadline_ms"]:
            return 409, self.stamp({"reason": "late"})
        if self.cell.needs_ticket(body["task"]) and \
                not self.cell.advisor.is_valid(body["task"], self.id,
                                               body.get("ticket")):
            return 409, self.stamp({"reason": "ticket"})
        step = self.cell.step_of(body["task"])
        used = sum(it["cpu"] for it in self.runs.values())
        if step is not None and used + step.get("cpu", 0) > self.capacity["cpu"]:
            return 409, self.stamp({"reason": "room"})
        self.extend(body["deadline_ms"])
        loop = asyncio.get_running_loop()
        run_s, how = self.cell.plan_of(self, key)
        self.runs[key] = {"cpu": step.get("cpu", 0) if step else 0,
                          "timer": loop.call_later(run_s, self.finish, key,
                                                   how)}
        self.note_end(key)
        self.cell.started(self, key, body)
        return 200, self.stamp({})

    def finish(self, key, how):
        self.end(key, how)

    def run_stop(self, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = body.get("fencing_token", 0)
        key = (body["task"], body["run"])
        self.note_end(key)
        if key in self.runs:
            asyncio.get_running_loop().call_later(STOP_GRACE_S * 0.8,
                                                  self.end, key, "stopped")
        return 200, self.stamp({})

    async def hold(self, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = body.get("fencing_token", 0)
        self.check_lease()
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
        running = [[task, run, "", 100, it["cpu"]]
                   for (task, run), it in self.runs.items()]
        return 200, self.stamp({"running": running,
                                "finished": self.ends[:500]})

    async def handle(self, request):
        if self.is_cut:
            await self.stay_silent()
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, self.stamp({})
        answer = await self.carry_out(request)
        if self.is_cut:
            await self.stay_silent()
        return answer

    async def stay_silent(self):
        """A partition: what is sent meanwhile is lost, since its sender closes
        the connection before it ends."""
        await asyncio.sleep(http_stub.SILENCE_S)
        raise http_stub.Withhold

    async def carry_out(self, request):
        if request.path == "/v1/run-start":
            return self.run_start(request.body)
        if request.path == "/v1/run-stop":
            return self.run_stop(request.body)
        if request.path == "/v1/hold":
            return await self.hold(request.body)
        return 404, {}


class Advisor:
    """Answers after decide_ms plus period_ms for each worker named, one call
    at a time for each calling machine. Which workers may run a step does not
    change."""

    def __init__(self, cell, decide_ms, period_ms, valid_ms, good):
        self.cell = cell
        self.terms = {"decide_ms": decide_ms, "period_ms": period_ms,
                      "valid_ms": valid_ms}
        self.good = good
        self.tickets = {}

    def is_allowed(self, step, worker):
        draw = sum(ord(it) * (n + 3) for n, it in enumerate(step + worker))
        return (draw * 2654435761 % 2**32) / 2**32 < self.good

    def is_valid(self, task, worker, ticket):
        issued = self.tickets.get(ticket)
        step = task.rsplit(".", 1)[0]
        return issued is not None and issued[:2] == (step, worker) and \
            time.monotonic() < issued[2] + self.terms["valid_ms"] / 1000

    async def listen(self, port):
        turn = asyncio.Lock()
        waiting = 0

        async def handle(request):
            nonlocal waiting
            if waiting >= 32:
                return 429, {}
            step, workers = request.body["step"], request.body["workers"]
            waiting += 1
            async with turn:
                waiting -= 1
                self.cell.record.add("advice_asked", step=step,
                                     workers=len(workers))
                await asyncio.sleep((self.terms["decide_ms"] +
                                     self.terms["period_ms"] *
                                     len(workers)) / 1000)
            allowed = []
            for it in workers:
                if self.is_allowed(step, it):
                    ticket = f"{step}/{it}/{len(self.tickets)}"
                    self.tickets[ticket] = (step, it, time.monotonic())
                    allowed.append([it, ticket])
            self.cell.record.add("advice_answered", step=step,
                                 workers=len(workers), allowed=len(allowed))
            return 200, {"allowed": allowed}

        await http_stub.serve(HOST, port, handle)


class Cell:
    """Daemons, store, workers, advisor and clients."""

    def __init__(self, folder, daemons, workers, capacity,
                 advisor=(20.0, 1.0, 2500, 1.0), attempts=4):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder)
        self.store = store_standin.Store()
        self.advisor = Advisor(self, *advisor)
        self.jobs = {}
        self.running = {}
        # Task and run of each end `failed`.
        self.failed = []
        self.daemons = [Daemon(self, it) for it in range(daemons)]
        self.workers = [Worker(self, it, capacity) for it in range(workers)]
        self.tasks = set()
        self.version = 0
        self.attempts = attempts

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def configure(self):
        self.version += 3
        plain = {"host": ROUTE_HOST, "service": "s", "priority": 1,
                 "attempts": self.attempts, "stretch": 2.2,
                 "target_latency_ms": 1000}
        self.store.put("op", "config", {
            "version": self.version,
            "routes": [{**plain, "name": "plain", "path_prefix": "/plain/"},
                       {**plain, "name": "asked", "path_prefix": "/asked/",
                        "advice": self.advisor.terms}],
            "services": [{"name": "s", "enforces_capacity": True}],
            "tenants": [{"name": "a", "api_keys": [KEY], "weight": 50,
                         "maximum": {"cpu": 0, "mem_mb": 0, "gpus": 0}}],
            "limits": {}})
        self.record.add("configured", version=self.version)

    async def start(self):
        self.configure()
        for it in self.workers:
            await it.listen()
            self.spawn(it.announce())
        for it in self.daemons:
            await self.store.listen(HOST, it.store)
            await self.advisor.listen(it.advice)
        for it in self.daemons:
            await it.start()
        await self.ready()

    async def ready(self):
        end = time.monotonic() + 15
        while time.monotonic() < end:
            states = [await self.ask(it, "GET", "/v1/ready", it.readiness)
                      for it in self.daemons]
            if all(it == 200 for it, _ in states):
                break
            await asyncio.sleep(0.2)
        else:
            raise RuntimeError("the daemons are not ready")
        # Traffic starts later than the machines do.
        await asyncio.sleep(4)

    def close(self):
        for it in self.daemons:
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def leader(self):
        return max(self.daemons, key=lambda it: it.last_leadership())

    def disturb_store(self, fault):
        for it in self.daemons:
            self.store.faults[it.store] = fault
        self.record.add("store", fault=fault or "none")

    # Jobs

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        found = self.jobs.get(job)
        return found["body"]["steps"][int(step)] if found else None

    def needs_ticket(self, task):
        job = self.jobs.get(task.split(".")[0])
        return job is not None and job["queue"] == "asked"

    def plan_of(self, worker, key):
        """Returns how long a run works and how it ends."""
        job = self.jobs.get(key[0].split(".")[0])
        return (job["run_s"] if job else 1.0), "done"

    def started(self, worker, key, body):
        self.record.add("run_started", task=key[0], run=key[1],
                        worker=worker.id)
        self.running.setdefault(key[0], []).append(worker.id)
        job = self.jobs.get(key[0].split(".")[0])
        if job is not None:
            job["last_run"] = self.record.now()

    def ended(self, worker, key, how):
        self.record.add("run_ended", task=key[0], run=key[1],
                        worker=worker.id, how=how)
        self.running[key[0]].remove(worker.id)
        job = self.jobs.get(key[0].split(".")[0])
        if job is not None:
            job["last_run"] = self.record.now()
            if how == "done":
                job["done"].add(key[0])
        if how == "failed":
            self.failed.append(key)

    def runs_of(self, name):
        return sum(len(it) for task, it in self.running.items()
                   if task.startswith(name + "."))

    def used_cpu(self):
        return sum(it["cpu"] for worker in self.workers
                   for it in worker.runs.values())

    def total_cpu(self):
        return sum(it.capacity["cpu"] for it in self.workers)

    async def ask(self, daemon, method, path, port=None, body=None,
                  deadline_ms=3000):
        """Returns status and Retry-After of a call; 0 if there was no
        answer."""
        headers = [f"Authorization: Bearer {KEY}",
                   f"Deadline-Ms: {deadline_ms}"]

        async def exchange():
            connection = await Connection.open(HOST, port or daemon.callers)
            try:
                return await connection.ask(method, path, body, headers)
            finally:
                connection.close()

        try:
            status, answer = await asyncio.wait_for(exchange(),
                                                    deadline_ms / 1000)
            return status, {**answer, "retry_after": connection_delay(answer)}
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                IndexError, ValueError):
            return 0, {}

    async def hand_in(self, name, body, run_s, daemon, retries=4,
                      queue="asked"):
        """A client: sends a job, and again when it was told to come back."""
        job = self.jobs[name] = {"queue": queue,
                                 "body": body, "run_s": run_s, "answers": [],
                                 "accepted": None, "done": set(),
                                 "last_run": 0.0}
        for attempt in range(retries + 1):
            target = self.daemons[(daemon + attempt) % len(self.daemons)]
            status, answer = await self.ask(target, "POST",
                                            f"/{queue}/{name}", body=body)
            self.record.add("submitted", job=name, attempt=attempt,
                            daemon=target.name, status=status)
            job["answers"].append(status)
            if 200 <= status < 300:
                job["accepted"] = self.record.now()
                return
            if status in (404, 410, 413, 400, 401):
                return
            await asyncio.sleep(answer.get("retry_after") or 0.1)

    async def state(self, name):
        for it in self.daemons:
            status, answer = await self.ask(
                it, "GET", f"/{self.jobs[name]['queue']}/{name}")
            if status == 200:
                return answer["state"]
            if status == 410:
                return "unknown"
        return "no answer"


def connection_delay(answer):
    return answer.pop("__retry_after", None)


class Connection(http_stub.Connection):
    """Keeps the Retry-After of an answer."""

    async def read_answer(self):
        status = int((await self.reader.readline()).split()[1])
        length, delay = 0, None
        while line := (await self.reader.readline()).strip():
            name, value = line.decode().split(":", 1)
            if name.lower() == "content-length":
                length = int(value)
            if name.lower() == "retry-after":
                delay = float(value)
        text = await self.reader.readexactly(length)
        answer = json.loads(text) if text else {}
        if delay is not None:
            answer["__retry_after"] = delay
        return status, answer


def play(work):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if
    the case could not run."""
    try:
        broken = asyncio.run(asyncio.wait_for(work, 118))
    except Exception as ex:  # pylint: disable=broad-except
        print("the case could not run:", repr(ex))
        sys.exit(2)
    for it in broken:
        print("BROKEN", it)
    sys.exit(1 if broken else 0)
