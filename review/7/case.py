"""A client without a valid key uses ids that extend the id of a request that is
running beside it."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
import region as stand_ins  # noqa: E402


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = stand_ins.Record(os.path.join(FOLDER, "record.txt"))
    region = stand_ins.Region(record, tenants=[
        ("acme", {"ApiKeys": ["key-of-acme"], "RatePerS": 100, "Burst": 100, "Priority": 0})])
    front = region.add("drafts", "a")
    region.add("dispatch", "b")
    region.add("drafts", "c")
    region.configure(7, {
        "r-read": {"Host": "x.example", "Prefix": "/read/", "Kind": "safe", "Timeout": "4000ms",
                   "TargetLatency": "1500ms", "Priority": 2, "Service": "drafts",
                   "MaxAttempts": 2, "Public": True},
        "r-send": {"Host": "x.example", "Prefix": "/send/", "Kind": "unsafe",
                   "Timeout": "4000ms", "TargetLatency": "1500ms", "Priority": 0,
                   "Service": "dispatch", "MaxAttempts": 2}})
    try:
        if not region.start():
            print("the nodes did not become ready")
            return 2
        time.sleep(4)  # Longer than Contact, so that the hosts are in touch.
        reader = stand_ins.Client(front)
        sender = stand_ins.Client(front)
        # The client itself sends this one, on a route that needs no key.
        running = threading.Thread(target=reader.ask, args=(
            "GET", "x.example", "/read/1?ms=2500", "5f03c1"))
        running.start()
        time.sleep(0.5)
        statuses = []
        for number, headers in enumerate([(), (("X-Api-Key", "no-such-key"),)] * 3):
            request_id = ("5f03c1.%d" if trouble else "77ab02.%d") % number
            statuses.append(sender.ask("POST", "x.example", "/send/%d" % number, request_id,
                                       headers=headers)[0])
        running.join()
        run = [entry[1] for node in region.nodes for entry in node.endpoint.runs
               if entry[3].startswith("/send/")]
        record.add("statuses", *statuses)
        record.add("run without a key", len(run), *run)
        print("statuses", statuses, "run without a key:", run)
        return 1 if run else 0
    finally:
        region.stop()


sys.exit(main())
