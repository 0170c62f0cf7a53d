#!/usr/bin/env python3
"""Guards against a settings template with a placeholder that the deployment
page does not give: no process would start (issue 38)."""

import pathlib
import re
import sys

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
TEMPLATE = REPOSITORY / "platform" / "settings.template.json"

# The fields of the deployment page from which the template may take values.
FIELDS = {
    "node_name": "front-z0-1", "role": "front", "machine_class": "front",
    "ip": "127.0.0.1", "zone": "z0", "region": "r0",
    "listen": {"frontend": "127.0.0.1:8183", "readiness": "127.0.0.1:8184",
               "control": "127.0.0.1:8180"},
    "internal_ports": [7420, 7435],
    "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
               "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
    "heartbeat_ms": 1500,
    "bounds": {"stable_ms": 3000, "ack_ms": 4000, "drain_ms": 2000,
               "grace_s": 6, "config_apply_ms": 2000, "evacuate_ms": 5000,
               "max_hold_ms": 6000, "stop_grace_ms": 400, "gang_wait_ms": 3000,
               "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
               "finish_s": 14, "status_s": 120, "lease_ms": 3000},
    "advice": "127.0.0.1:8182",
    "platform": {"address": "127.0.0.1:8182"},
}


def value_of(fields, placeholder):
    out = fields
    for part in placeholder.partition("|")[0].split("."):
        out = out[int(part)] if part.isdigit() else out[part]
    return out


def missing(placeholders):
    for it in placeholders:
        try:
            value_of(FIELDS, it)
        except (KeyError, IndexError):
            yield f"{TEMPLATE.name}: {{{{{it}}}}} is not on the deployment page"


def main():
    placeholders = re.findall(r"\{\{([^}]+)\}\}", TEMPLATE.read_text())
    failures = list(missing(placeholders))
    for it in failures:
        print("FAILED", it)
    sys.exit(1 if failures or not placeholders else 0)


if __name__ == "__main__":
    main()
