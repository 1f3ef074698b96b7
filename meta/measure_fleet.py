#!/usr/bin/env python3
"""Control cost of many nodes: time until a ticket is in force everywhere, reads
at the platform, processor time, memory and bytes per node, while no call runs.

Nodes only, without backend servers: what is measured is control.
"""

import argparse
import json
import math
import re
import statistics
import sys
import time

import region

SERVICES = 24
DOMAINS = ("a", "b", "c", "d", "e")
TICKETS = 5


def fleet_services(nodes):
    per_service = math.ceil(nodes / SERVICES)
    services = []
    left = nodes
    for index in range(SERVICES):
        count = min(per_service, left)
        left -= count
        if count > 0:
            services.append(region.Service(
                f"service-{index}", count, 80, 600, 1, "",
                [region.Route("get", "GET", "/get", "normal", True)]))
    return services


class Fleet(region.Region):
    """A region whose hosts run no backend server."""

    def _lay_out(self):
        hosts = super()._lay_out()
        for index, host in enumerate(hosts):
            domain = index % len(self.domains)
            host.domain = self.domains[domain]
            host.ip = (f"127.{self.base}.{domain + 1}."
                       f"{index // len(self.domains) + 1}")
        return hosts

    def start_backend(self, host):
        pass

    def digest(self, host):
        return json.loads(self.operator(host, "/tickets"))["digest"]


def spread_seconds(fleet, number):
    """Publishes a ticket; returns seconds until each node has it in force.

    Nodes are asked one after the other, so a time is an upper bound.
    """
    before = fleet.digest(fleet.hosts[0])
    text = fleet.ticket(number)
    start = time.monotonic()
    fleet.publish(text)
    waiting = list(fleet.hosts)
    times = []
    while waiting and time.monotonic() - start < 30:
        still = []
        for host in waiting:
            if fleet.digest(host) == before:
                still.append(host)
            else:
                times.append(time.monotonic() - start)
        waiting = still
    return times, len(waiting)


def bytes_sent(fleet):
    total = 0
    for host in fleet.hosts:
        match = re.search(r"agaterun_node_bytes_total\{direction=\"sent\"\} (\d+)",
                          fleet.operator(host, "/metrics"))
        total += int(match.group(1)) if match else 0
    return total


def measure(nodes, seconds):
    region.DEPLOYMENTS["fleet"] = ("region-1", fleet_services(nodes))
    fleet = Fleet("fleet", domains=DOMAINS)
    region.START_TIMEOUT_SECONDS = 120
    try:
        started = time.monotonic()
        fleet.start()
        start_seconds = time.monotonic() - started
        time.sleep(5)
        stats = json.loads(region.http("GET", fleet.platform_url()
                                       + "/control/stats"))
        cpu = sum(fleet.cpu_seconds(host.node) for host in fleet.hosts)
        sent = bytes_sent(fleet)
        begun = time.monotonic()
        time.sleep(seconds)
        length = time.monotonic() - begun
        cpu = sum(fleet.cpu_seconds(host.node) for host in fleet.hosts) - cpu
        sent = bytes_sent(fleet) - sent
        reads = json.loads(region.http("GET", fleet.platform_url()
                                       + "/control/stats"))["reads"]
        reads -= stats["reads"]
        spread = []
        missing = 0
        for number in range(2, 2 + TICKETS):
            times, left = spread_seconds(fleet, number)
            spread += times
            missing += left
        memory = [fleet.memory_mib(host.node) for host in fleet.hosts]
        print(f"{nodes:5d} nodes  up in {start_seconds:.1f} s  "
              f"CPU {cpu / length / nodes * 100:.2f}% of a core per node  "
              f"sent {sent / length / nodes / 1000:.2f} KB/s per node  "
              f"platform {reads / length:.1f} calls/s  "
              f"memory p50 {statistics.median(memory):.1f} "
              f"max {max(memory):.1f} MiB  in force everywhere "
              f"p50 {statistics.median(spread):.2f} "
              f"max {max(spread):.2f} s, not within 30 s: {missing}",
              flush=True)
    finally:
        codes = fleet.stop()
        unclean = {name: code for name, code in codes.items() if code != 0}
        print(f"stopped, not gracefully: {unclean or 'none'}", flush=True)
        fleet.remove_files()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", default="50,150,300")
    parser.add_argument("--seconds", type=int, default=10)
    arguments = parser.parse_args()
    for nodes in arguments.nodes.split(","):
        measure(int(nodes), arguments.seconds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
