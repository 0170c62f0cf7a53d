"""Stand-ins for workers and the advisor, and the checks of the scheduler's
promises at task start and end."""

import asyncio
import collections
import datetime
import math
import random
import time
import zlib

from http_stub import SILENCE_S, Withhold, serve

STOP_TIME_S = 0.3
POISONED_RUN_S = 0.3
MAX_LEASE_MS = 6000
# A task of a job may start for this long after its cancelling was answered.
CANCEL_S = 3.0
# Of the queues' tasks, before their job has failed.
ATTEMPTS = 4
CPU = 8000
MAX_FIRST_CLOCK_MS = 10_000_000


def next_clock_ms(now_ms, draw):
    """Draws where the clock of the next incarnation begins: behind the former
    one, less than a second ahead of it, or far ahead."""
    kind = draw.choice(["behind", "slightly ahead", "far ahead"])
    if kind == "behind":
        return draw.randrange(now_ms)
    if kind == "slightly ahead":
        return now_ms + draw.randrange(1, 1000)
    return now_ms + draw.randrange(60_000, MAX_FIRST_CLOCK_MS)


class Promises:
    """Records replies to callers and runs on workers; collects violations."""

    def __init__(self):
        self.jobs = {}
        self.violations = []
        self.running = {}
        self.done = set()
        self.acked_done = set()
        self.accounts = {}
        self.failures = collections.Counter()
        self.starts = 0

    def violate(self, text):
        self.violations.append(text)
        now = datetime.datetime.now(datetime.timezone.utc)
        print("VIOLATION", text, now.strftime("at %H:%M:%S.%f"), flush=True)

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def tasks_of(self, name):
        return [f"{name}.0.{step}.{index}"
                for step, it in enumerate(self.jobs[name]["steps"])
                for index in range(it["count"])]

    def most_failures(self, name):
        return max(self.failures[it] for it in self.tasks_of(name))

    def can_finish(self, name):
        """Whether work of an accepted job is left that can succeed."""
        job = self.jobs[name]
        return (job["accepted"] and not job["poisoned"] and
                not job["cancelled"] and not job.get("shown") and
                self.most_failures(name) < ATTEMPTS and
                not self.done.issuperset(self.tasks_of(name)))

    def used(self, account):
        return sum(self.step_of(task)["cpu"] for task in self.running
                   if self.jobs[task.split(".")[0]]["account"] == account)

    def started(self, worker, task, run, payload):
        self.starts += 1
        job = self.jobs.get(task.split(".")[0])
        if job is None or payload != job["spec"]:
            return self.violate(f"UNASKED {task} on {worker.id}")
        late_s = time.monotonic() - job.get("cancel_acknowledged", math.inf)
        if late_s > CANCEL_S:
            self.violate(f"UNASKED {task} run {run} on {worker.id} "
                         f"{late_s:.2f} s after the cancelling was answered")
        # Refused jobs are checked at the end of the run: a task may start
        # before the caller receives the response of the accepted attempt.
        job["started"] = True
        if self.running.get(task):
            self.violate(f"TWICE {task} run {run} on {worker.id}, also on "
                         f"{[it.id for it in self.running[task]]}")
        if task in self.acked_done:
            self.violate(f"TWICE {task} run {run} after its end was acked")
        prefix, _, step, _ = task.split(".")
        for earlier in self.step_of(task).get("after", []):
            for index in range(job["steps"][earlier]["count"]):
                if f"{prefix}.0.{earlier}.{index}" not in self.done:
                    self.violate(f"ORDER {task} before {earlier}.{index}")
        self.running.setdefault(task, []).append(worker)
        limit = self.accounts[job["account"]]
        size = self.step_of(task)["cpu"]
        if limit and self.used(job["account"]) > limit * 1.1 + size:
            self.violate(f"QUOTA {task} of {job['account']}")

    def ended(self, worker, task, how):
        if worker in self.running.get(task, []):
            self.running[task].remove(worker)
            if not self.running[task]:
                del self.running[task]
        if how == "done":
            self.done.add(task)
        if how == "failed":
            self.failures[task] += 1


class Worker:
    """Runs tasks under leases; rejects orders with an old fencing token."""

    def __init__(self, name, host, port, zone, promises, store):
        self.id = name
        self.host = host
        self.port = port
        self.zone = zone
        self.labels = ["a", "r1"]
        self.promises = promises
        self.store = store
        self.fault = None
        # Fault of the network path: "refuse", "reset", "one_way" or None. The
        # worker's own state does not depend on it.
        self.path = None
        self.listener = None
        # How it treats connections; see http_stub.Listener.
        self.closing_share = 0
        self.idle_s = None
        self.up = False
        # Whether it writes its registry entry.
        self.announces = True
        self.sequence = 0
        self.incarnation = 0
        self.start_incarnation()

    def start_incarnation(self, start_clock_ms=None):
        """Starts under the same id with nothing of the former incarnation: its
        clock, the numbers of its ends and its token begin anew, and the
        connections of the former one stay silent."""
        # Two starts in one millisecond are two incarnations all the same.
        self.incarnation = max(int(time.time() * 1000), self.incarnation + 1)
        if self.listener:
            self.listener.begin_process()
        self.start_time = time.monotonic()
        self.start_clock_ms = (random.randrange(MAX_FIRST_CLOCK_MS)
                               if start_clock_ms is None else start_clock_ms)
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.ended_count = 0
        # Highest number of an end that was listed when the lease lapsed.
        self.lapsed_end = 0
        self.acknowledged = 0
        self.changed = asyncio.Event()
        self.up = True

    def crash(self):
        for (task, _) in list(self.runs):
            self.promises.ended(self, task, "lost")
        self.up = False
        self.runs = {}

    def clock_ms(self):
        return (self.start_clock_ms +
                int((time.monotonic() - self.start_time) * 1000) + 1)

    def stamp(self, body):
        return {"clock_ms": self.clock_ms(), "born": self.incarnation, **body}

    def end(self, key, how):
        if self.runs.pop(key, None) is None:
            return
        self.ended_count += 1
        self.ends.append([self.ended_count, key[0], key[1], how, ""])
        self.promises.ended(self, key[0], how)
        self.changed.set()

    def note_lapse(self):
        """Must be called before the lease is extended. An end is not taken note
        of if the lease lapses before it is acknowledged."""
        if self.clock_ms() > self.lease_ms:
            self.lapsed_end = self.ended_count

    async def tick(self):
        """Ends runs whose time is over, and all runs when the lease expires."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.runs and self.clock_ms() > self.lease_ms:
                for key in list(self.runs):
                    self.end(key, "lapsed")
            for key, it in list(self.runs.items()):
                if now >= it["ends"]:
                    self.end(key, it["how"])

    async def announce(self):
        """Writes the registry entry periodically, as the heartbeat."""
        while True:
            if self.up and self.announces and self.fault != "cut":
                self.sequence += 1
                self.store.put("servers", self.id, {
                    "service": "s", "address": f"{self.host}:{self.port}",
                    "zone": self.zone, "version": "1", "slots": 8,
                    "state": "ready", "cold_remaining_ms": 0,
                    "sequence": self.sequence, "born": self.incarnation,
                    "capacity": {"cpu": CPU, "mem_mb": 16000, "gpus": 0},
                    "labels": self.labels})
            await asyncio.sleep(1.5)

    def start_run(self, body):
        key = (body["task"], body["run"])
        if body.get("fencing_token", 0) < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = body.get("fencing_token", 0)
        if key in self.runs:
            return 200, self.stamp({})
        if body["run"] <= self.highest.get(body["task"], 0):
            return 409, self.stamp({"reason": "old"})
        if self.clock_ms() > body["deadline_ms"]:
            return 409, self.stamp({"reason": "late"})
        self.note_lapse()
        self.lease_ms = max(self.lease_ms,
                            min(body["deadline_ms"],
                                self.clock_ms() + MAX_LEASE_MS))
        step = self.promises.step_of(body["task"])
        used = sum(it["cpu"] for it in self.runs.values())
        if used + step["cpu"] > CPU:
            self.promises.violate(
                f"LIMIT {body['task']} on {self.id}: {used} + {step['cpu']}")
        self.promises.started(self, body["task"], body["run"], body["spec"])
        job = self.promises.jobs[body["task"].split(".")[0]]
        how = "failed" if random.random() < 0.03 else "done"
        if job.get("never_fails"):
            how = "done"
        run_s = step["run_s"]
        if job["poisoned"]:
            how, run_s = "failed", min(run_s, POISONED_RUN_S)
        self.runs[key] = {"cpu": step["cpu"], "how": how,
                          "ends": time.monotonic() + run_s}
        return 200, self.stamp({})

    def stop_run(self, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = body.get("fencing_token", 0)
        key = (body["task"], body["run"])
        self.highest[body["task"]] = max(body["run"],
                                         self.highest.get(body["task"], 0))
        if key in self.runs:
            self.runs[key]["ends"] = time.monotonic() + STOP_TIME_S
            self.runs[key]["how"] = "stopped"
        return 200, self.stamp({})

    async def hold(self, body):
        if body["fencing_token"] < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = body["fencing_token"]
        self.note_lapse()
        if "deadline_ms" in body:
            self.lease_ms = max(self.lease_ms,
                                min(body["deadline_ms"],
                                    self.clock_ms() + MAX_LEASE_MS))
        for it in self.ends:
            if (it[3] == "done" and
                    self.lapsed_end < it[0] <= body["ack_cursor"]):
                self.promises.acked_done.add(it[1])
        self.ends = [it for it in self.ends if it[0] > body["ack_cursor"]]
        self.changed.clear()
        if not self.ends and body.get("wait_ms", 0) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", 50, it["cpu"]]
                   for (task, run), it in self.runs.items()]
        return 200, self.stamp({"running": running,
                                "finished": self.ends[:500]})

    async def handle(self, request):
        if not self.up or self.fault == "cut":
            await asyncio.sleep(SILENCE_S)
            raise Withhold
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, self.stamp({})
        incarnation = self.incarnation
        late = self.fault == "late" and random.random() < 0.3
        if late:
            # A call that is carried out late may reach the next incarnation.
            await asyncio.sleep(random.uniform(2, 12))
            if self.up:
                await self.carry_out(request)
            raise Withhold
        response = await self.carry_out(request)
        if incarnation != self.incarnation:
            await asyncio.sleep(SILENCE_S)
            raise Withhold
        if self.path == "one_way":
            await asyncio.sleep(SILENCE_S)
            raise Withhold
        return response

    async def carry_out(self, request):
        if request.path == "/v1/run-start":
            return self.start_run(request.body)
        if request.path == "/v1/run-stop":
            return self.stop_run(request.body)
        if request.path == "/v1/hold":
            return await self.hold(request.body)
        return 404, {}

    async def listen(self):
        asyncio.ensure_future(self.tick())
        asyncio.ensure_future(self.announce())
        self.listener = await serve(self.host, self.port, self.handle)
        self.listener.closing_share = self.closing_share
        self.listener.idle_s = self.idle_s

    def break_path(self, kind):
        self.path = kind
        if kind == "refuse":
            self.listener.close()
        if kind == "reset":
            self.listener.resets = True
            self.listener.reset_connections()

    async def mend_path(self):
        self.path = None
        self.listener.resets = False
        await self.listener.open()


async def serve_advice(host, port):
    """Serves advice, one query at a time; allows 7 in 10 workers for a step."""
    turn = asyncio.Lock()

    async def handle(request):
        async with turn:
            await asyncio.sleep(0.01 + 0.0005 * len(request.body["workers"]))
        step = request.body["step"]
        allowed = [[it, "t"] for it in request.body["workers"]
                   if zlib.crc32((step + it).encode()) % 10 < 7]
        return 200, {"allowed": allowed}

    return await serve(host, port, handle)
