"""Runs the demonstration of tools/demo."""

import argparse
import collections
import signal
import sys
import threading
import time

from cell import Cell, call, wait_for

TEAMS = ("teranga", "burletes")
FINAL = ("done", "failed", "canceled", "rejected")


class RequestLoad:
    """Sends requests through all daemons until stopped."""

    def __init__(self, cell, keys):
        self.cell = cell
        self.keys = keys
        self.outcomes = collections.Counter()
        self.mismatched = []
        self.unknown = []
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(n,), daemon=True)
                        for n in range(6)]

    def start(self):
        for it in self.threads:
            it.start()

    def stop(self):
        self.stopping.set()
        for it in self.threads:
            it.join()

    def run(self, number):
        n = 0
        while not self.stopping.is_set():
            n += 1
            self.send("r%d-%d" % (number, n), TEAMS[n % 2], n % 3 != 0, n)

    def send(self, name, team, idempotent, n):
        body = {"id": name, "queue": team + "-requests",
                "idempotent": idempotent, "deadline_ms": 4000,
                "body": '{"work_ms":5,"echo":"%s"}' % name}
        outcome = "unreachable"
        for attempt in range(4):
            daemon = self.cell.daemons[(n + attempt) % len(self.cell.daemons)]
            try:
                reply = daemon.call("POST", "/v1/requests", body,
                                    self.keys[team])
                outcome = reply.body.get("outcome", "error")
                if outcome == "error":
                    outcome = "error %d %s" % (reply.status,
                                               reply.body.get("message"))
            except OSError:
                outcome = "unknown"
            if outcome == "done" and name not in reply.body["body"]:
                with self.lock:
                    self.mismatched.append(name)
            if outcome == "done" or outcome.startswith("error"):
                break
            time.sleep(0.3)
        with self.lock:
            self.outcomes[outcome] += 1
            if outcome == "unknown":
                self.unknown.append((name, team))

    def resolve(self, name, team):
        """Returns the outcome of a request whose response was lost, or None."""
        for it in self.cell.daemons:
            try:
                reply = it.call("GET", "/v1/requests/" + name, None,
                                self.keys[team])
            except OSError:
                continue
            outcome = reply.body.get("outcome")
            # Without a claim the request was never sent to a target.
            if reply.status == 404 or outcome in ("done", "refused"):
                return outcome or "refused"
        return None


def submit(cell, key, team, name, kind, tasks, run_ms):
    body = {"id": name, "queue": team + "-jobs", "kind": kind, "tasks": tasks,
            "millicpus": 500, "memory_mb": 256,
            "payload": '{"run_ms":%d}' % run_ms}
    for it in cell.daemons * 3:
        try:
            reply = it.call("POST", "/v1/jobs", body, key)
            if reply.status in (200, 201):
                return name
        except OSError:
            pass
        time.sleep(0.2)
    raise AssertionError("job %s was not accepted: %s" % (name, reply.body))


def job(cell, key, name):
    for it in cell.daemons:
        try:
            reply = it.call("GET", "/v1/jobs/" + name, None, key)
            if reply.status == 200:
                return reply.body
        except OSError:
            pass
    return {"state": "unreadable", "running": 0}


def run(cell):
    cell.start()
    keys = cell.declare(TEAMS)
    print("cell: 3 daemons, %d workers, folder %s"
          % (len(cell.hosts), cell.folder))
    load = RequestLoad(cell, keys)
    load.start()
    jobs = []
    for n in range(12):
        team = TEAMS[n % 2]
        jobs.append((team, submit(cell, keys[team], team, "batch-%d" % n,
                                  "batch", 3, 300)))
    jobs.append(("teranga", submit(cell, keys["teranga"], "teranga", "gang-1",
                                   "gang", 12, 500)))
    submit(cell, keys["burletes"], "burletes", "service-1", "service", 3, 0)
    wait_for(lambda: job(cell, keys["burletes"], "service-1")["running"] == 3,
             20, "the service runs")

    victim = cell.daemons[1]
    print("killing", victim.name)
    victim.kill()
    for n in range(6):
        team = TEAMS[n % 2]
        jobs.append((team, submit(cell, keys[team], team, "late-%d" % n,
                                  "batch", 2, 200)))
    time.sleep(2)
    victim.start()
    wait_for(victim.is_ready, 20, "the killed daemon is ready")
    print("restarted", victim.name)

    cell.set_domain("thies", False)
    print("took failure domain thies out")
    time.sleep(5)
    out_at = time.time()
    time.sleep(2)
    cell.set_domain("thies", True)
    back_at = time.time()
    print("brought failure domain thies back")

    for team, name in jobs:
        wait_for(lambda: job(cell, keys[team], name)["state"] in FINAL, 60,
                 "job %s finishes" % name)
    wait_for(lambda: job(cell, keys["burletes"], "service-1")["running"] == 3,
             60, "the service runs again")
    load.stop()
    return report(cell, keys, jobs, load, out_at, back_at)


def report(cell, keys, jobs, load, out_at, back_at):
    events = []
    for it in cell.daemons:
        reply = it.call("GET", "/v1/timeline", None, cell.OPERATOR_KEY)
        events += reply.body["events"]
    events.sort(key=lambda it: (it["t"], it["c"]))
    shown = [it for it in events if not it["kind"].startswith("request")]
    print("time line (last 40 of %d events):" % len(events))
    for it in shown[-40:]:
        print("  %.3f %-9s %-22s %s %s" % (it["t"] / 1e6, it["process"],
                                           it["kind"], it["subject"],
                                           it["detail"]))
    states = collections.Counter(job(cell, keys[team], name)["state"]
                                 for team, name in jobs)
    problems = []
    if states["done"] != len(jobs):
        problems.append("jobs not done: %s" % dict(states))
    if load.mismatched:
        problems.append("responses of other requests: %s" % load.mismatched[:5])
    for name, team in load.unknown:
        outcome = wait_for(lambda: load.resolve(name, team), 20,
                           "the outcome of request " + name)
        print("request %s, response lost: %s" % (name, outcome))
    lost = (sum(load.outcomes.values()) - load.outcomes["done"]
            - load.outcomes["unknown"])
    started_out = [it for it in cell.records()
                   if it["event"] == "task_started"
                   and it["worker"].startswith("thies")
                   and out_at * 1e6 < it["t"] < back_at * 1e6]
    if started_out:
        problems.append("%d tasks started in thies while it was out"
                        % len(started_out))
    print("requests:", dict(load.outcomes), "jobs:", dict(states))
    if lost:
        problems.append("%d requests not accounted for" % lost)
    for it in problems:
        print("PROBLEM:", it)
    return 1 if problems else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    arguments = parser.parse_args()
    cell = Cell(arguments.build)
    try:
        status = run(cell)
    finally:
        cell.stop()
    print("demo: every piece of work is accounted for" if status == 0
          else "demo: failed")
    return status


if __name__ == "__main__":
    sys.exit(main())
