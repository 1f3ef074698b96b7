#!/usr/bin/env python3
"""Runs the Cascade Lectern region with and without agaterun's control.

Both parts get the same seeded load: normal, then a deep service five times
slower with twice the demand and callers that resend at once, then normal again.
"""

import sys
import time

import region

RATE = 500
BEFORE_SECONDS = 5
TRIGGER_SECONDS = 6
AFTER_SECONDS = 8
SLOW_FACTOR = 5


def run_part(title, control):
    print(f"\n== {title}", flush=True)
    part = region.Region("lectern", control=control)
    try:
        part.start()
        run_load(part)
        if control == "full":
            show_node(part)
    finally:
        codes = part.stop()
    unclean = {name: code for name, code in codes.items() if code != 0}
    print("all nodes stopped gracefully" if not unclean
          else f"nodes that did not stop gracefully: {unclean}")
    if not unclean:
        part.remove_files()
    return not unclean


def run_load(part):
    until = BEFORE_SECONDS + TRIGGER_SECONDS
    load = part.load(
        region.MIXES["lectern"], RATE, until + AFTER_SECONDS,
        "--surge", f"{BEFORE_SECONDS}:{until}:2",
        "--trigger", f"{BEFORE_SECONDS}:{until}",
        "--resend-policy", "at-once", "--resends", 5)
    ledger = part.hosts_of("ledger")
    normal = ledger[0].service.service_ms
    time.sleep(BEFORE_SECONDS)
    for host in ledger:
        part.control_backend(host, service_ms=normal * SLOW_FACTOR)
    time.sleep(TRIGGER_SECONDS)
    for host in ledger:
        part.control_backend(host, service_ms=normal)
    text, _ = load.communicate(timeout=60)
    print(text, end="")
    repeated = 0
    for host in part.hosts_of("dispatch") + ledger:
        counts = part.backend(host, "/control/executions")
        repeated += sum(1 for count in counts.values() if count > 1)
    print(f"requests that ran twice at one backend server: {repeated}")


def show_node(part):
    host = part.hosts[0]
    print(f"memory of node {host.name}: "
          f"{part.memory_mib(host.node):.1f} MiB")


def main():
    print("Cascade Lectern, region cascadia: 13 backend servers with the slots "
          "and connections of its deployment, 13 nodes, all on loopback.\n"
          f"{RATE} requests/s; from second {BEFORE_SECONDS} for "
          f"{TRIGGER_SECONDS} s twice the demand, ledger {SLOW_FACTOR} times "
          "slower, callers resend up to 5 times at once.")
    clean = run_part("without control: nodes that only pass calls on, 3 tries "
                     "per hop", "none")
    clean = run_part("with agaterun", "full") and clean
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
