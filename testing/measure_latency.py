"""Measures the latency that daemons add to idempotent requests.

Sends the same load to a target directly and through the daemons, and prints
both latencies and the difference. Bounds: 1 ms at the median and 5 ms at the
99th percentile, at 2,000 requests per second.
"""

import argparse
import json
import subprocess
import sys

from cell import Cell, call, free_ports, wait_for


def measure(build, targets, path, body, key, rate, seconds):
    arguments = [str(build / "testing/load/mustardwick-load"), "--path", path,
                 "--body", body, "--rate", str(rate),
                 "--seconds", str(seconds)]
    if key:
        arguments += ["--key", key]
    for it in targets:
        arguments += ["--target", "127.0.0.1:%d" % it]
    out = subprocess.run(arguments, capture_output=True, text=True,
                         timeout=seconds + 30)
    return json.loads(out.stdout)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--rate", type=int, default=2000)
    parser.add_argument("--seconds", type=int, default=5)
    parser.add_argument("--daemons", type=int, default=3)
    arguments = parser.parse_args()
    cell = Cell(arguments.build, daemons=arguments.daemons,
                hosts_per_domain=6, host={"slots": 64, "connections": 64})
    try:
        cell.start()
        keys = cell.declare(["teranga"])
        wait_for_leases(cell)
        direct = measure_direct(cell, arguments)
        body = ('{"id":"ID","queue":"teranga-requests","idempotent":true,'
                '"deadline_ms":4000,"body":"{\\"work_ms\\":0}"}')
        through = measure(cell.build, [it.http_port for it in cell.daemons],
                          "/v1/requests", body, keys["teranga"],
                          arguments.rate, arguments.seconds)
    finally:
        cell.stop()
    print("direct to a target:", json.dumps(direct))
    print("through %d daemons:" % arguments.daemons, json.dumps(through))
    p50 = through["p50_ms"] - direct["p50_ms"]
    p99 = through["p99_ms"] - direct["p99_ms"]
    print("added: p50 %.3f ms (bound 1), p99 %.3f ms (bound 5)" % (p50, p99))
    return 0 if p50 < 1 and p99 < 5 else 1


def wait_for_leases(cell):
    def held():
        return sum(len(it.call("GET", "/v1/stats", None,
                               cell.OPERATOR_KEY).body["hosts_held"])
                   for it in cell.daemons) == len(cell.hosts)
    wait_for(held, 20, "all worker leases are held")


def measure_direct(cell, arguments):
    """Measures requests to a worker that no daemon owns, under a lease."""
    # A second worker stand-in, so that the leases of the cell are unaffected.
    port = free_ports(1)[0]
    cell.start_helper("worker_standin",
                      ["--port", str(port), "--workers", "direct:rack:domain",
                       "--record", str(cell.folder / "direct.jsonl")])
    wait_for(lambda: cell.is_up(port), 10, "direct worker")
    lease = call(port, "POST", "/v1/workers/direct/lease",
                 {"holder": "bench", "ttl_ms": 600000}).body["lease"]
    body = json.dumps({"lease": lease, "attempt": "ID", "queue": "direct",
                       "body": '{"work_ms":0}', "timeout_ms": 4000})
    return measure(cell.build, [port], "/v1/workers/direct/requests", body,
                   None, arguments.rate, arguments.seconds)


if __name__ == "__main__":
    sys.exit(main())
