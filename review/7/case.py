"""Another writer leaves an entry of a service that the configuration doesn't name
for each host of a service, at a port of its own."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
import region as stand_ins  # noqa: E402

SETTLE = 8.0
MEASURE = 20.0
LEAST_REQUESTS = 20
LEAST_RATIO = 0.25  # CONFIG: "less than a quarter as often".


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = stand_ins.Record(os.path.join(FOLDER, "record.txt"))
    region = stand_ins.Region(record)
    drafts = [region.add("drafts", zone) for zone in ("a", "b", "c")]
    vault = [region.add("vault", zone) for zone in ("a", "b", "c")]
    common = {"Host": "x.example", "Timeout": "2000ms", "TargetLatency": "1500ms",
              "MaxAttempts": 2, "Kind": "safe", "Priority": 1}
    routes = {"r-read": dict(common, Prefix="/read/", Service="drafts")}
    region.configure(7, routes)
    counts = {"first": [0, 0], "added": [0, 0]}
    lock = threading.Lock()
    ended = threading.Event()
    measured = threading.Event()
    served_before = [0]

    def send(route, number):
        client = stand_ins.Client(region.nodes[number % len(region.nodes)])
        sent = 0
        while not ended.is_set():
            sent += 1
            name = "%s-%d-%d" % (route, number, sent)
            target = ("/pull/" if route == "added" else "/read/") + name + "?ms=20"
            status = client.ask("GET", "x.example", target, name)[0]
            with lock:
                if measured.is_set():
                    counts[route][0] += status == 200
                    counts[route][1] += 1
                elif route == "added":
                    served_before[0] += status == 200
            time.sleep(0.3)

    try:
        if not region.start():
            print("the nodes did not become ready")
            return 2
        time.sleep(4)  # Longer than Contact, so that the hosts are in touch.
        region.configure(19, dict(routes, **{
            "r-pull": dict(common, Prefix="/pull/", Service="vault")}))
        record.add("acknowledged version 19")
        time.sleep(3)
        threads = [threading.Thread(target=send, args=(route, number))
                   for route in ("first", "added") for number in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(3)
        if trouble:
            for number, node in enumerate(vault):
                entry = {"Service": "host-exporter", "Address": "%s:9100" % node.ip,
                         "Zone": node.zone, "Version": "v3", "Slots": 1, "State": "ready",
                         "ColdLeft": "0ms", "Seq": 1, "born": int(time.time() * 1000)}
                region.store.put("servers/exporter-%d" % number, json.dumps(entry).encode())
                record.add("entry of another writer", json.dumps(entry))
        time.sleep(SETTLE)
        measured.set()
        time.sleep(MEASURE)
        measured.clear()
        ended.set()
        for thread in threads:
            thread.join()
        result = ("the added route served %d before; in steady state the first route %d of %d, "
                  "the added one %d of %d" % (served_before[0], *counts["first"], *counts["added"]))
        record.add(result)
        print(result)
        if counts["first"][0] == 0 or counts["added"][1] < LEAST_REQUESTS or not served_before[0]:
            return 2
        ratio = counts["first"][0] / counts["first"][1]
        return 1 if counts["added"][0] / counts["added"][1] < LEAST_RATIO * ratio else 0
    finally:
        ended.set()
        region.stop()


stand_ins.run_case(main)
