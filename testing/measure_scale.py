"""Measures placement, state size and failover at a given number of tasks.

Declares hosts, submits jobs until the given number of tasks has started, and
prints the start rate, the table transactions per start, the CPU time and memory
of the planner's daemon, the start latency of an urgent task, and the start
latency of a task submitted after that daemon was killed.
"""

import argparse
import os
import sys
import time

from cell import Cell, call, wait_for


def usage(daemon):
    with open("/proc/%d/stat" % daemon.process.pid) as it:
        fields = it.read().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return cpu, int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def table_commits(cell):
    return call(cell.table_port, "GET", "/v1/stats").body["commits"]


def planner_of(cell):
    for it in cell.daemons:
        if it.process.poll() is not None:
            continue
        stats = it.call("GET", "/v1/stats", None, cell.OPERATOR_KEY).body
        for candidate in cell.daemons:
            if candidate.name == stats["planner"]:
                return candidate
    return None


def submit(cell, key, name, tasks, priority="normal", daemon=0):
    body = {"id": name, "queue": "teranga-jobs", "kind": "batch",
            "priority": priority, "tasks": tasks, "millicpus": 500,
            "memory_mb": 256, "payload": '{"run_ms":600000}'}
    for it in cell.daemons[daemon:] + cell.daemons[:daemon]:
        try:
            reply = it.call("POST", "/v1/jobs", body, key)
            if reply.status in (200, 201):
                return
        except OSError:
            continue
    raise AssertionError("job %s was not accepted" % name)


def started(cell, prefix=""):
    return sum(1 for it in cell.records()
               if it["event"] == "task_started"
               and it["job"].startswith(prefix))


def wait_started(cell, count, prefix, seconds):
    start_time = time.monotonic()
    wait_for(lambda: started(cell, prefix) >= count, seconds,
             "%d tasks of %s started" % (count, prefix))
    return time.monotonic() - start_time


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--hosts", type=int, default=798)
    parser.add_argument("--tasks", type=int, default=8800)
    arguments = parser.parse_args()
    domains = tuple("domain-%d" % n for n in range(7))
    cell = Cell(arguments.build, daemons=arguments.daemons, domains=domains,
                hosts_per_domain=arguments.hosts // len(domains),
                host={"millicpus": 30000, "memory_mb": 64000})
    try:
        cell.start()
        keys = cell.declare(["teranga"])

        def held():
            return sum(len(it.call("GET", "/v1/stats", None,
                                   cell.OPERATOR_KEY).body["hosts_held"])
                       for it in cell.daemons) == len(cell.hosts)
        wait_for(held, 60, "all worker leases are held")
        time.sleep(3)
        run(cell, keys["teranga"], arguments.tasks)
    finally:
        cell.stop()
    return 0


def run(cell, key, tasks):
    planner = planner_of(cell)
    cpu_before, rss_before = usage(planner)
    commits_before = table_commits(cell)
    jobs = max(1, tasks // 200)
    start_time = time.monotonic()
    for n in range(jobs):
        submit(cell, key, "load-%d" % n, tasks // jobs)
    total = tasks // jobs * jobs
    wait_started(cell, total, "load-", 240)
    seconds = time.monotonic() - start_time
    cpu, rss = usage(planner)
    commits = table_commits(cell) - commits_before
    print("hosts %d, tasks %d: %.1f s, %.0f starts/s, %.3f transactions per "
          "start" % (len(cell.hosts), total, seconds, total / seconds,
                     commits / total))
    print("planner's daemon: %.3f ms of CPU time per start, resident "
          "%.1f MB before, %.1f MB after"
          % ((cpu - cpu_before) * 1000 / total, rss_before, rss))
    submit(cell, key, "urgent-1", 1, "urgent")
    print("an urgent task started after %.2f s (bound 1.3)"
          % wait_started(cell, 1, "urgent-1", 30))
    planner.kill()
    start_time = time.monotonic()
    submit(cell, key, "urgent-2", 1, "urgent")
    wait_started(cell, 1, "urgent-2", 60)
    print("after the planner's daemon was killed: %.2f s"
          % (time.monotonic() - start_time))


if __name__ == "__main__":
    sys.exit(main())
