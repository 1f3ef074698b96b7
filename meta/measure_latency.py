#!/usr/bin/env python3
"""Latency that two node hops add, against direct calls in the same run.

A caller asks a node of one failure domain, which passes the call on to the gate
of another; beside it, the same load goes straight to the same backend server.
Service time is fixed, so the difference of the quantiles is what agaterun adds.
"""

import argparse
import subprocess
import sys
import time

import region

SERVICE_MS = 5


def two_hosts():
    """One endpoint of the service that is asked, one host that only enters."""
    asked = region.Service("asked", 1, 100, 800, SERVICE_MS, "",
                           [region.Route("get", "GET", "/get", "normal", True)])
    entry = region.Service("entry", 1, 100, 800, SERVICE_MS, "",
                           [region.Route("get", "GET", "/get", "normal", True)])
    return [asked, entry]


def quantiles(text):
    row = next(line for line in text.splitlines() if line.startswith("get"))
    columns = row.split()
    return {"sent": int(columns[1]), "whole": int(columns[2]),
            "p50": float(columns[8]), "p99": float(columns[10])}


def run(part, rate, seconds, connections):
    asked, entry = part.hosts
    mix = ("[request get]\nmethod = GET\ntarget = /asked/get/1\n"
           "idempotent = yes\ntimeout_ms = 2000\n")
    path = part.folder / "mix.ini"
    path.write_text(mix)

    def start(address):
        return subprocess.Popen(
            [str(part.build / "services/agaterun"), "load", "--nodes", address,
             "--mix", str(path), "--rate", str(rate), "--seconds",
             str(seconds), "--connections", str(connections)],
            stdout=subprocess.PIPE, text=True)

    cpu = part.cpu_seconds(entry.node), part.cpu_seconds(asked.node)
    direct = start(f"{asked.ip}:{region.BACKEND_PORT}")
    through = start(f"{entry.ip}:{region.CALLER_PORT}")
    direct = quantiles(direct.communicate()[0])
    through = quantiles(through.communicate()[0])
    used = [(part.cpu_seconds(host.node) - before) / seconds * 100
            for host, before in zip((entry, asked), cpu)]
    print(f"{rate:6d}/s  direct p50 {direct['p50']:.2f} p99 {direct['p99']:.2f}"
          f"  through p50 {through['p50']:.2f} p99 {through['p99']:.2f}"
          f"  added p50 {through['p50'] - direct['p50']:.2f}"
          f" p99 {through['p99'] - direct['p99']:.2f} ms"
          f"  whole {through['whole']}/{through['sent']}"
          f"  CPU origin {used[0]:.1f}% gate {used[1]:.1f}%", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--rates", default="95,950")
    parser.add_argument("--threads", type=int, default=2)
    arguments = parser.parse_args()
    region.DEPLOYMENTS["latency"] = ("measure", two_hosts())
    part = region.Region("latency", threads=arguments.threads,
                         distribution="fixed")
    try:
        part.start()
        time.sleep(1)
        entry = part.hosts[1]
        print(f"memory idle: {part.memory_mib(entry.node):.1f} MiB")
        for rate in arguments.rates.split(","):
            run(part, int(rate), arguments.seconds, 64)
        print(f"memory after: origin {part.memory_mib(entry.node):.1f} MiB, "
              f"gate {part.memory_mib(part.hosts[0].node):.1f} MiB")
    finally:
        part.stop()
        part.remove_files()
    return 0


if __name__ == "__main__":
    sys.exit(main())
