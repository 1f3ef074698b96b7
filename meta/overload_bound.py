#!/usr/bin/env python3
"""Upper bound of the credit that fits, per day of a site file of the bench.

Usage: meta/overload_bound.py SITE.toml [DAY=REACHED ...]

For each tenth of a second of a day: what callers ask for, the slots that it
takes at each service by its call tree, and the most credit that the slots can
bring, the classes with most credit per slot of the tightest service first.
Bursts count. Whatever takes slots or work away (endpoints that leave, crash,
turn slow, reject or spoil answers, cuts, cold starts) does not, so the bound is
far too high on days that lose much by it; it is too low by what callers who
come back bring into a calmer second. With REACHED, the share of credit of a run, also prints reached
over bound.
"""

import math
import sys
import tomllib

STEP = 0.1


def mean_work_ms(work):
    return work["mean"] * (1 + work["tail"] * (work["tail_x"] - 1))


def add_tree(classes, name, times, slots):
    """Slot milliseconds at each service, for one request."""
    entry = classes[name]
    service = entry["service"]
    slots[service] = slots.get(service, 0) + times * mean_work_ms(entry["work_ms"])
    for call in entry.get("calls", []):
        below = times * call["times"] * call["share"]
        add_tree(classes, call["class"], below, slots)


def trees_of(site):
    classes = {entry["name"]: entry for entry in site["classes"]}
    trees = {}
    for name, entry in classes.items():
        if entry.get("inner"):
            continue
        slots = {}
        add_tree(classes, name, 1.0, slots)
        trees[name] = {"worth": entry["worth"], "slots": slots}
    return trees


def capacity_of(site):
    """Slots of each service in units of work: a fast endpoint counts more."""
    endpoints = {}
    for machines in site["machines"]:
        app = machines["app"]
        endpoints[app] = endpoints.get(app, 0) + machines["count"]
    capacity = {}
    for service in site["services"]:
        speed = sum(service["speeds"]) / len(service["speeds"])
        name = service["name"]
        capacity[name] = endpoints.get(name, 0) * service["slots"] * speed
    return capacity


def rates_at(day, site, second):
    factor = 1.0
    for fault in day.get("faults", []):
        if fault["kind"] == "burst":
            begin = fault["at"]
            if begin <= second < begin + fault["for_s"]:
                factor *= fault["x"]
    rates = {}
    for traffic in day.get("traffic", site["traffic"]):
        shape = traffic.get("shape", {})
        swing = shape.get("swing", 0) if shape.get("kind") == "wave" else 0
        phase = shape.get("phase", 0)
        angle = 2 * math.pi * (second / shape.get("period_s", 1) + phase)
        per_second = traffic["per_s"] * factor * (1 + swing * math.sin(angle))
        total = sum(traffic["mix"].values())
        for name, weight in traffic["mix"].items():
            rates[name] = rates.get(name, 0) + per_second * weight / total
    return rates


def best_credit(trees, rates, capacity):
    """Greedy by credit per slot of the tightest service."""
    wanted = {}
    for name, rate in rates.items():
        for service, slots in trees[name]["slots"].items():
            wanted[service] = wanted.get(service, 0) + rate * slots / 1000
    tightest = max(wanted, key=lambda service: wanted[service] / capacity[service])

    def density(name):
        return trees[name]["worth"] / max(trees[name]["slots"].get(tightest, 0), 1e-9)

    left = dict(capacity)
    credit = 0.0
    for name in sorted(rates, key=density, reverse=True):
        tree = trees[name]
        share = 1.0
        for service, slots in tree["slots"].items():
            needed = rates[name] * slots / 1000
            share = min(share, left[service] / needed if needed > 0 else 1.0)
        for service, slots in tree["slots"].items():
            left[service] -= share * rates[name] * slots / 1000
        credit += share * rates[name] * tree["worth"]
    return credit


def bound_of(day, site, trees, capacity):
    fits, owed = 0.0, 0.0
    steps = int(day.get("length_s", site["length_s"]) / STEP)
    for step in range(steps):
        second = step * STEP
        rates = rates_at(day, site, second)
        owed += sum(rate * trees[name]["worth"] for name, rate in rates.items())
        fits += best_credit(trees, rates, capacity)
    return fits / owed


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    with open(sys.argv[1], "rb") as file:
        site = tomllib.load(file)
    reached = dict(argument.split("=", 1) for argument in sys.argv[2:])
    trees, capacity = trees_of(site), capacity_of(site)
    print("| day | bound | reached | reached / bound |\n|---|---|---|---|")
    for day in site["day"]:
        bound = bound_of(day, site, trees, capacity)
        value = reached.get(day["name"])
        share = f"{float(value) / bound:.2f}" if value else "not given"
        print(f"| {day['name']} | {bound:.3f} | {value or 'not given'} | {share} |")


if __name__ == "__main__":
    main()
