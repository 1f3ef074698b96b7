"""The endpoints of one zone are lost for good while each runs a harmless request
that many clients send. Endpoints of other zones stay sound."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
import region as stand_ins  # noqa: E402

WORK_MS = 800
CLIENTS = 24
HEARTBEAT = 1.5
SETTLE = 10.0  # Longer than Contact, and than the loss of the entries.
MEASURE = 25.0
LEAST_REQUESTS = 20
LEAST_RATIO = 0.25  # CONFIG: "less than a quarter as often".


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = stand_ins.Record(os.path.join(FOLDER, "record.txt"))
    region = stand_ins.Region(record)
    lost = [region.add("vault", "a") for _ in range(3)]
    for zone in ("b", "b", "c", "c"):
        region.add("vault", zone)
    fronts = [region.add("drafts", zone) for zone in ("a", "b", "c")]
    common = {"Host": "x.example", "Timeout": "3000ms", "TargetLatency": "1500ms",
              "MaxAttempts": 2, "Service": "vault"}
    routes = {"r-pull": dict(common, Prefix="/pull/", Kind="safe", Priority=1),
              "r-send": dict(common, Prefix="/send/", Kind="unsafe", Priority=1)}
    region.configure(7, routes)
    counts = {}
    lock = threading.Lock()
    ended = threading.Event()
    measured = threading.Event()

    def count(route, status):
        if measured.is_set():
            with lock:
                served, sent = counts.get(route, (0, 0))
                counts[route] = (served + (status == 200), sent + 1)

    def first_routes(number):
        """Steady traffic on the routes that were there first."""
        client = stand_ins.Client(fronts[number % 3])
        sent = 0
        while not ended.is_set():
            sent += 1
            name = "first-%d-%d" % (number, sent)
            status = client.ask(*(("GET", "x.example", "/pull/%s?ms=50" % name) if sent % 2 else
                                  ("POST", "x.example", "/send/%s?ms=50" % name)), name)[0]
            count("first", status)
            time.sleep(0.2)

    def added_route(number, start):
        """Sends the same request again and again, at first with all others."""
        client = stand_ins.Client(fronts[0])
        sent = 0
        start.wait()
        while not ended.is_set():
            sent += 1
            status = client.ask("POST", "x.example", "/refresh/list?ms=%d" % WORK_MS,
                                "added-%d-%d" % (number, sent))[0]
            count("added", status)
            time.sleep(1)

    try:
        if not region.start():
            print("the nodes did not become ready")
            return 2
        time.sleep(2)
        threads = [threading.Thread(target=first_routes, args=(number,)) for number in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(4)
        region.configure(19, dict(routes, **{
            "r-refresh": dict(common, Prefix="/refresh/", Kind="unsafe", Priority=1)}))
        time.sleep(3)
        begin = threading.Event()
        threads += [threading.Thread(target=added_route, args=(number, begin))
                    for number in range(CLIENTS)]
        for thread in threads[6:]:
            thread.start()
        begin.set()
        time.sleep(WORK_MS / 2000)
        if trouble:
            for node in lost:
                record.add("lost for good: endpoint of", node.name, "running",
                           sum(entry[1].startswith("added") for entry in node.endpoint.runs))
                node.endpoint.crash()
            time.sleep(3 * HEARTBEAT)
            for node in lost:
                region.store.delete("servers/" + node.endpoint.id)
                record.add("entry removed", node.endpoint.id)
        time.sleep(SETTLE)
        measured.set()
        time.sleep(MEASURE)
        measured.clear()
        ended.set()
        for thread in threads:
            thread.join()
        first, added = counts.get("first", (0, 0)), counts.get("added", (0, 0))
        record.add("served of the first routes %d of %d, of the added one %d of %d"
                   % (first + added))
        print("served of the first routes %d of %d, of the added one %d of %d" % (first + added))
        if first[0] == 0 or added[1] < LEAST_REQUESTS:
            return 2
        return 1 if added[0] / added[1] < LEAST_RATIO * first[0] / first[1] else 0
    finally:
        ended.set()
        region.stop()


stand_ins.run_case(main)
