"""Measures the control overhead of each daemon in an idle cell.

Reports the membership, table and worker traffic, the CPU time and the resident
memory of each daemon. Bounds at the design size: 2 KB/s, 4.4 % of a core,
128 MB.
"""

import argparse
import os
import sys
import time

from cell import Cell, call, wait_for

COUNTERS = ("mustardwick_membership_bytes_total", "mustardwick_table_bytes",
            "mustardwick_worker_bytes")
MAX_BYTES_PER_S = 2000
MAX_CORE = 0.044
MAX_MEMORY_MB = 128


def sample(daemon):
    text = daemon.call("GET", "/metrics").body
    out = {}
    for line in text.splitlines():
        name, _, value = line.partition(" ")
        if name in COUNTERS:
            out[name] = float(value)
    with open("/proc/%d/stat" % daemon.process.pid) as it:
        fields = it.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    out["cpu"] = ticks / os.sysconf("SC_CLK_TCK")
    out["rss_mb"] = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    out["time"] = time.monotonic()
    return out


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--daemons", type=int, default=9)
    parser.add_argument("--hosts", type=int, default=800)
    parser.add_argument("--seconds", type=int, default=40)
    arguments = parser.parse_args()
    domains = tuple("domain-%d" % n for n in range(7))
    cell = Cell(arguments.build, daemons=arguments.daemons, domains=domains,
                hosts_per_domain=max(1, arguments.hosts // len(domains)))
    try:
        cell.start()
        cell.declare(["teranga"])

        def held():
            return sum(len(it.call("GET", "/v1/stats", None,
                                   cell.OPERATOR_KEY).body["hosts_held"])
                       for it in cell.daemons) == len(cell.hosts)
        wait_for(held, 60, "all worker leases are held")
        time.sleep(10)
        before = [sample(it) for it in cell.daemons]
        time.sleep(arguments.seconds)
        after = [sample(it) for it in cell.daemons]
    finally:
        cell.stop()
    return report(cell, before, after)


def report(cell, before, after):
    worst = {"bytes": 0.0, "core": 0.0, "rss": 0.0}
    print("daemons %d, hosts %d" % (len(cell.daemons), len(cell.hosts)))
    print("daemon     membership  table  workers  total B/s  core %%  MB" % ())
    for daemon, a, b in zip(cell.daemons, before, after):
        seconds = b["time"] - a["time"]
        rates = [(b.get(it, 0) - a.get(it, 0)) / seconds for it in COUNTERS]
        core = (b["cpu"] - a["cpu"]) / seconds
        print("%-10s %10.0f %6.0f %8.0f %10.0f %7.2f %5.1f"
              % (daemon.name, *rates, sum(rates), core * 100, b["rss_mb"]))
        worst["bytes"] = max(worst["bytes"], sum(rates))
        worst["core"] = max(worst["core"], core)
        worst["rss"] = max(worst["rss"], b["rss_mb"])
    print("worst: %.0f B/s (bound %d), %.2f %% of a core (bound 4.4), "
          "%.1f MB (bound 128)" % (worst["bytes"], MAX_BYTES_PER_S,
                                   worst["core"] * 100, worst["rss"]))
    within = (worst["bytes"] <= MAX_BYTES_PER_S and worst["core"] <= MAX_CORE
              and worst["rss"] <= MAX_MEMORY_MB)
    return 0 if within else 1


if __name__ == "__main__":
    sys.exit(main())
