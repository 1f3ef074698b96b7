#!/usr/bin/env python3
"""Tells one request's story from the logs of several nodes.

Usage: meta/explain.py ID FILE...

Prints, in order of time, each line about the request and the calls below it,
whose ids extend its own, and for each host that one of these lines names the
nearest line on its load before it. `-` reads standard input.
"""

import re
import sys

EVENT = re.compile(r"event=(\d+) (\S+)")
PROCESS = re.compile(r"process=(\S+)")
IDENTITY = re.compile(r"\bid=(\S+)")
LOAD_EVENT = "610"


def belongs(identity, wanted):
    return identity == wanted or identity.startswith(wanted + ".")


def read_lines(paths):
    for path in paths:
        with (sys.stdin if path == "-" else open(path, errors="replace")) as file:
            yield from (line.rstrip("\n") for line in file)


def depth_of(identity, wanted):
    return identity[len(wanted):].count(".")


def story_of(lines, wanted):
    """Lines about the request, each after the load of its host before it."""
    loads, told, story = {}, {}, []
    for line in lines:
        event, process = EVENT.search(line), PROCESS.search(line)
        if not event or not process:
            continue
        if event[1] == LOAD_EVENT:
            loads[process[1]] = line
            continue
        identity = IDENTITY.search(line)
        if not identity or not belongs(identity[1], wanted):
            continue
        load = loads.get(process[1])
        if load and told.get(process[1]) != load:
            told[process[1]] = load
            story.append("    load before: " + load)
        story.append("  " * depth_of(identity[1], wanted) + line)
    return story


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    story = story_of(read_lines(sys.argv[2:]), sys.argv[1])
    if not story:
        sys.exit(
            f"no line about request {sys.argv[1]}: it succeeded, was left out "
            "(see left_out=), or its node's log is missing"
        )
    print("\n".join(story))


if __name__ == "__main__":
    main()
