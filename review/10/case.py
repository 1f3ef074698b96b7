"""A machine freezes for 3 s soon after the start of the deployment, before the
operator's first configuration, and wakes again."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
import region as stand_ins  # noqa: E402

FREEZE_AT = 0.7
FREEZE = 3.0
CONFIGURATION_AT = 6.0


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = stand_ins.Record(os.path.join(FOLDER, "record.txt"))
    region = stand_ins.Region(record)
    nodes = [region.add("dispatch", zone, slots=121) for _ in range(3) for zone in ("a", "b", "c")]
    route = {"Host": "x.example", "Prefix": "/send/", "Kind": "unsafe", "Timeout": "5000ms",
             "TargetLatency": "1500ms", "Priority": 0, "Service": "dispatch", "MaxAttempts": 2}
    frozen = nodes[0]
    try:
        start = time.monotonic()
        for node in nodes:
            node.start()
        time.sleep(FREEZE_AT)
        if any(node.process.poll() is not None for node in nodes):
            return 2
        if trouble:
            frozen.signal(signal.SIGSTOP)
        time.sleep(FREEZE)
        if trouble:
            frozen.signal(signal.SIGCONT)
        time.sleep(start + CONFIGURATION_AT - time.monotonic())
        region.configure(7, {"r-send": route})
        end = time.monotonic() + 8
        while not all(node.is_ready() for node in nodes if node.process.poll() is None) \
                and time.monotonic() < end:
            time.sleep(0.1)
        ended = [node for node in nodes if node.process.poll() is not None]
        words = {node.name: node.log().strip().splitlines()[-1].replace(stand_ins.ROOT + "/", "")
                 for node in ended}
        for node in ended:
            record.add("ended", node.name, "status", node.process.returncode, words[node.name])
        ready = [node for node in nodes if node.is_ready()]
        statuses = [stand_ins.Client(node).ask("POST", "x.example", "/send/1", "id-" + node.name)[0]
                    for node in nodes]
        record.add("ready", len(ready), "statuses", *statuses)
        print("ended by themselves: %s; ready %d of %d; statuses %s" % (
            [(node.name, node.process.returncode, words[node.name]) for node in ended], len(ready), len(nodes), statuses))
        return 1 if ended else 0
    finally:
        region.stop()


sys.exit(main())
