"""Clients use ids that extend the ids of requests which are running beside them:
one without a valid key, and one with the key of another tenant."""

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
        (name, {"ApiKeys": ["key-of-" + name], "Priority": 0}) for name in ("acme", "beta")])
    front = region.add("drafts", "a")
    region.add("dispatch", "b")
    region.add("drafts", "c")
    common = {"Host": "x.example", "Timeout": "4000ms", "TargetLatency": "1500ms",
              "MaxAttempts": 2}
    region.configure(7, {
        "r-open": dict(common, Prefix="/open/", Kind="safe", Priority=2, Service="drafts",
                       Public=True),
        "r-read": dict(common, Prefix="/read/", Kind="safe", Priority=2, Service="drafts",
                       Public=False),
        "r-send": dict(common, Prefix="/send/", Kind="unsafe", Priority=0, Service="dispatch",
                       Public=False)})
    beta = (("X-Api-Key", "key-of-beta"),)
    try:
        if not region.start():
            print("the nodes did not become ready")
            return 2
        time.sleep(4)  # Longer than Contact, so that the hosts are in touch.
        # The first is sent by the client without a key itself, the second by a
        # client of acme.
        running = [threading.Thread(target=stand_ins.Client(front).ask, args=arguments)
                   for arguments in (
                       ("GET", "x.example", "/open/1?ms=2500", "5f03c1"),
                       ("GET", "x.example", "/read/1?ms=2500", "9ab2e7", 5000,
                        (("X-Api-Key", "key-of-acme"),)))]
        for thread in running:
            thread.start()
        time.sleep(0.5)
        sender = stand_ins.Client(front)
        statuses = []
        for number, headers in enumerate([(), (("X-Api-Key", "no-such-key"),)] * 3):
            request_id = ("5f03c1.%d" if trouble else "77ab02.%d") % number
            statuses.append(sender.ask("POST", "x.example", "/send/%d" % number, request_id,
                                       headers=headers)[0])
        other = stand_ins.Client(front)
        for number in range(3):
            request_id = ("9ab2e7.%d" if trouble else "31d0c4.%d") % number
            statuses.append(other.ask("POST", "x.example", "/send/beta-%d" % number, request_id,
                                      headers=beta)[0])
        for thread in running:
            thread.join()
        run = [(entry[1], entry[3], entry[4].get("x-tenant", "-"))
               for node in region.nodes for entry in node.endpoint.runs
               if entry[3].startswith("/send/")]
        without_key = [entry for entry in run if "beta" not in entry[1]]
        foreign = [entry for entry in run if "beta" in entry[1] and entry[2] != "beta"]
        record.add("statuses", *statuses)
        record.add("run without a key", len(without_key), *without_key)
        record.add("run in another tenant's name", len(foreign), *foreign)
        print("statuses %s; run without a key: %d; of beta run for another tenant: %s" % (
            statuses, len(without_key), [entry[2] for entry in foreign]))
        return 1 if without_key or foreign else 0
    finally:
        region.stop()


stand_ins.run_case(main)
