"""Runs a complete cell of processes on loopback for the process tests."""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import time

OPERATOR_SECRET = "operator-secret-for-tests"
OPERATOR_SALT = "salt"


def free_ports(count):
    """Returns port numbers that are currently unused."""
    sockets = []
    for _ in range(count):
        it = socket.socket()
        it.bind(("127.0.0.1", 0))
        sockets.append(it)
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Reply:
    """Status, parsed body and headers of an HTTP response."""

    def __init__(self, status, body, headers):
        self.status = status
        self.headers = headers
        try:
            self.body = json.loads(body) if body else {}
        except ValueError:
            self.body = body.decode("utf-8", "replace")


def call(port, method, path, body=None, key=None, timeout=10):
    """Sends one HTTP request on a new connection."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    headers = {}
    if key:
        headers["Authorization"] = "Bearer " + key
    data = None
    if body is not None:
        data = json.dumps(body)
        headers["Content-Type"] = "application/json"
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        return Reply(response.status, response.read(),
                     dict(response.getheaders()))
    finally:
        connection.close()


def wait_for(condition, seconds, what):
    """Polls until the condition returns a true value and returns it."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError("timed out after %s s: %s" % (seconds, what))


class Daemon:
    """A mustardwickd process and its settings."""

    def __init__(self, cell, name, domain, timing):
        self.cell = cell
        self.name = name
        self.http_port, self.inner_port = free_ports(2)
        self.process = None
        self.settings = {
            "name": name,
            "failure_domain": domain,
            "table": "127.0.0.1:%d" % cell.table_port,
            "http": {
                "listen": "127.0.0.1:%d" % self.http_port,
                "allow_plain": True,
            },
            "inner": {
                "listen": "127.0.0.1:%d" % self.inner_port,
                "secret": "inner-secret-for-tests",
            },
            "operator_key": {
                "id": "operator",
                "salt": OPERATOR_SALT,
                "hash": hashlib.sha256(
                    (OPERATOR_SALT + ":" + OPERATOR_SECRET).encode()
                ).hexdigest(),
            },
            "timing": timing,
        }

    def start(self):
        path = self.cell.folder / (self.name + ".json")
        path.write_text(json.dumps(self.settings))
        log = open(self.cell.folder / (self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [str(self.cell.build / "mustardwickd"), "--settings", str(path)],
            stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self, timeout=30):
        """Requests a graceful shutdown and returns the exit status."""
        self.process.terminate()
        return self.process.wait(timeout)

    def is_ready(self):
        try:
            return call(self.http_port, "GET", "/readyz", timeout=2).status == 200
        except OSError:
            return False

    def call(self, method, path, body=None, key=None, timeout=15):
        return call(self.http_port, method, path, body, key, timeout)


class Cell:
    """A cell: a platform stand-in, worker stand-ins and daemons."""

    OPERATOR_KEY = "operator." + OPERATOR_SECRET

    def __init__(self, build, daemons=3, domains=("dakar", "rufisque", "thies"),
                 hosts_per_domain=3, timing=None, host=None):
        self.build = pathlib.Path(build).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mustardwick-"))
        self.table_port, self.worker_port = free_ports(2)
        self.domains = domains
        self.timing = timing or {}
        self.host = {
            "millicpus": 8000, "memory_mb": 16000, "accelerators": 1,
            "slots": 8, "connections": 64,
        }
        self.host.update(host or {})
        self.hosts = {}
        for domain in domains:
            for n in range(hosts_per_domain):
                self.hosts["%s-%d" % (domain, n)] = domain
        self.helpers = []
        self.daemons = [
            Daemon(self, "entry-%d" % (n + 1), domains[n % len(domains)],
                   self.timing)
            for n in range(daemons)
        ]

    def start(self):
        self.start_helper("platform_standin",
                          ["--ports", str(self.table_port)])
        workers = ",".join("%s:rack-%s:%s" % (name, domain, domain)
                           for name, domain in self.hosts.items())
        self.start_helper("worker_standin",
                          ["--port", str(self.worker_port),
                           "--workers", workers,
                           "--record", str(self.folder / "workers.jsonl")])
        wait_for(lambda: self.is_up(self.table_port), 10, "platform stand-in")
        for it in self.daemons:
            it.start()
        for it in self.daemons:
            wait_for(it.is_ready, 20, it.name + " is ready")

    def is_up(self, port):
        try:
            return call(port, "GET", "/healthz", timeout=2).status == 200
        except OSError:
            return False

    def start_helper(self, program, arguments):
        log = open(self.folder / (program + ".log"), "ab")
        path = next(self.build.glob("**/" + program))
        self.helpers.append(
            subprocess.Popen([str(path)] + arguments, stdout=log, stderr=log))

    def stop(self):
        for it in self.daemons:
            if it.process and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        for it in self.helpers:
            if it.poll() is None:
                it.kill()
                it.wait()

    def operate(self, method, path, body=None):
        """Sends an operator request, retried on 503; any other error fails."""
        deadline = time.monotonic() + 10
        while True:
            reply = self.daemons[0].call(method, path, body, self.OPERATOR_KEY)
            if reply.status != 503 or time.monotonic() > deadline:
                break
            time.sleep(0.2)
        assert reply.status < 300, (method, path, reply.status, reply.body)
        return reply.body

    def declare(self, teams):
        """Declares the resources of the cell; returns a key for each team."""
        for domain in self.domains:
            self.operate("POST", "/v1/resources/failure-domains/" + domain,
                         {"desired": {"in_service": True}})
        for name, domain in self.hosts.items():
            desired = dict(self.host)
            desired.update(address="127.0.0.1:%d" % self.worker_port,
                           worker=name, failure_domain=domain,
                           rack="rack-" + domain)
            self.operate("POST", "/v1/resources/hosts/" + name,
                         {"desired": desired})
        keys = {}
        for team in teams:
            self.operate("POST", "/v1/resources/teams/" + team,
                         {"desired": {"share": 1}})
            for kind in ("requests", "jobs"):
                self.operate("POST",
                             "/v1/resources/queues/%s-%s" % (team, kind),
                             {"desired": {"team": team, "kind": kind}})
            keys[team] = self.operate(
                "POST", "/v1/keys", {"name": team + "-key", "team": team})["key"]
        self.wait_for_config()
        return keys

    def wait_for_config(self):
        """Waits until every daemon has applied the first one's configuration."""
        stats = self.daemons[0].call("GET", "/v1/stats", None,
                                     self.OPERATOR_KEY).body
        for it in self.daemons:
            wait_for(lambda: it.call(
                "GET", "/v1/stats", None, self.OPERATOR_KEY
            ).body["config_version"] >= stats["config_version"],
                4, "the configuration is applied by " + it.name)

    def set_domain(self, domain, in_service):
        path = "/v1/resources/failure-domains/" + domain
        found = self.operate("GET", path)
        self.operate("PUT", path, {"version": found["version"],
                                   "desired": {"in_service": in_service}})

    def records(self):
        """Returns the events that the workers recorded; skips partial lines."""
        path = self.folder / "workers.jsonl"
        out = []
        for line in path.read_text().splitlines():
            try:
                out.append(json.loads(line))
            except ValueError:
                continue
        return out
