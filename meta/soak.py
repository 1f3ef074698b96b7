#!/usr/bin/env python3
"""Sends a load while processes are killed, frozen and stopped, and checks what
every caller was told against what the backend servers did.

Checked for every non-idempotent request: it ran at most once; told "not run",
it did not run; told complete, it ran exactly once and the answer was its own.
The faults follow from the seed; their number bounds the run.
"""

import argparse
import collections
import csv
import random
import signal
import sys
import time

import region

SERVICE_TIME_PART = 0.1
RESTART_SECONDS = 0.5
WRITES = {"lectern": {"send-packet": ("dispatch", ""),
                      "invoice": ("ledger", "")},
          "sodcek": {"redeem": ("redemption", ""),
                     "settle-refund": ("refund", "")}}


def kill_node(part, host, _):
    host.node.kill()
    host.node.wait()
    time.sleep(RESTART_SECONDS)
    part.start_node(host)


def stop_node(part, host, _):
    code = part.stop_process(host.node)
    if code != 0:
        raise RuntimeError(f"planned stop of {host.name} ended with {code}")
    part.start_node(host)


def freeze(process, seconds):
    process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    process.send_signal(signal.SIGCONT)


def freeze_node(_, host, chance):
    freeze(host.node, chance.choice((0.3, 1.5, 4)))


def freeze_backend(_, host, chance):
    freeze(host.backend, chance.choice((0.3, 1.5)))


def slow_backend(part, host, _):
    normal = host.service.service_ms
    part.control_backend(host, service_ms=normal * 20)
    time.sleep(1)
    part.control_backend(host, service_ms=normal)


def cut_answers(part, host, _):
    part.control_backend(host, reset_mid_body=True)
    time.sleep(0.3)
    part.control_backend(host, reset_mid_body=False)


def platform_down(part, _, __):
    url = part.platform_url() + "/control/fault"
    region.http("POST", url, '{"mode": "down"}')
    time.sleep(1)
    region.http("POST", url, '{"mode": "ok"}')


FAULTS = [kill_node, kill_node, stop_node, freeze_node, freeze_backend,
          slow_backend, cut_answers, platform_down]


def executions(part, service):
    counts = collections.Counter()
    for host in part.hosts_of(service):
        counts.update(part.backend(host, "/control/executions"))
    return counts


def check(part, deployment, path):
    """Compares endings with executions. Returns the violations."""
    violations = []
    endings = collections.Counter()
    counts = {service: executions(part, service)
              for service, _ in WRITES[deployment].values()}
    with open(path) as file:
        for row in csv.DictReader(file):
            endings[(row["request"], row["ending"])] += 1
            if row["ending"] == "wrong":
                violations.append(f"{row['id']}: another request's answer")
            if row["request"] not in WRITES[deployment]:
                continue
            service, suffix = WRITES[deployment][row["request"]]
            ran = counts[service].get(row["id"] + suffix, 0)
            if ran > 1:
                violations.append(f"{row['id']}: ran {ran} times")
            if row["ending"] == "not-run" and ran > 0:
                violations.append(f"{row['id']}: told not run, but it ran")
            if row["ending"] in ("whole", "failed") and ran != 1:
                violations.append(f"{row['id']}: told complete, ran {ran} times")
    # Nested writes have ids of their own, under the outer request's.
    for service, count in counts.items():
        for request_id, ran in count.items():
            if ran > 1:
                violations.append(f"{service} {request_id}: ran {ran} times")
    return violations, endings


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="lectern",
                        choices=sorted(WRITES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--rate", type=float, default=400)
    parser.add_argument("--build", default="release")
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}", flush=True)
    for service in region.DEPLOYMENTS[arguments.deployment][1]:
        service.service_ms *= SERVICE_TIME_PART
    chance = random.Random(arguments.seed)
    part = region.Region(arguments.deployment, build=arguments.build)
    endings_path = part.folder / "endings.csv"
    faults = collections.Counter()
    ok = False
    try:
        part.start()
        load = part.load(region.MIXES[arguments.deployment], arguments.rate,
                         arguments.requests / arguments.rate,
                         "--resend-policy", "at-once", "--resends", 3,
                         "--try-timeout", 1000, "--seed", arguments.seed,
                         "--endings", endings_path,
                         "--csv", part.folder / "load.csv")
        while load.poll() is None:
            fault = chance.choice(FAULTS)
            fault(part, chance.choice(part.hosts), chance)
            faults[fault.__name__] += 1
            time.sleep(chance.uniform(0.05, 0.5))
        print(load.communicate()[0], end="")
        violations, endings = check(part, arguments.deployment, endings_path)
        print("faults: " + ", ".join(f"{name} {count}" for name, count
                                     in sorted(faults.items())))
        print("endings: " + ", ".join(
            f"{kind} {ending} {count}"
            for (kind, ending), count in sorted(endings.items())))
        for violation in violations[:20]:
            print("VIOLATION " + violation)
        print(f"violations: {len(violations)}")
        ok = not violations
    finally:
        codes = part.stop()
        unclean = {name: code for name, code in codes.items() if code != 0}
        if unclean:
            print(f"nodes that did not stop gracefully: {unclean}")
            ok = False
        print(f"logs in {part.folder}" if not ok else "all stopped")
        if ok:
            part.remove_files()
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
