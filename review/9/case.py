"""A request crashes each endpoint that begins to run it. Another host has a route
with the same prefix to another service, where the same path is harmless."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
import region as stand_ins  # noqa: E402

DOWN = 3.0  # "the endpoint is back after some seconds"
HEARTBEAT = 1.5
RESEND = 4.0
CRASHING_SENDS = 6
SETTLE = 8.0
MEASURE = 25.0
LEAST_REQUESTS = 20
LEAST_RATIO = 0.25  # CONFIG: "less than a quarter as often".


class CrashingEndpoint(stand_ins.Endpoint):
    """Crashes at GET /run/all where its service is vault, and is back with a new
    id after DOWN."""

    crashes = 0

    def work(self, headers, query):
        if self.service == "vault" and headers["host"] == "a.example" \
                and self.runs[-1][3] == "/run/all":
            self.crashes += 1
            self.record.add("crash of", self.id)
            threading.Thread(target=self.come_back, args=(self.id,), daemon=True).start()
            self.crash()
            raise OSError("crashed")
        super().work(headers, query)

    def come_back(self, old):
        time.sleep(DOWN)
        self.id = "i-%08x" % stand_ins.random.getrandbits(32)
        self.born = int(time.time() * 1000)
        stand_ins.Server.__init__(self, self.address)
        self.store.put("servers/" + self.id, self.entry())
        time.sleep(3 * HEARTBEAT - DOWN)
        self.store.delete("servers/" + old)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = stand_ins.Record(os.path.join(FOLDER, "record.txt"))
    stand_ins.Endpoint = CrashingEndpoint
    region = stand_ins.Region(record)
    for service in ("vault", "drafts"):
        for zone in ("a", "b", "c"):
            region.add(service, zone)
    for node in region.nodes:
        node.endpoint.store = region.store
    common = {"Timeout": "2000ms", "TargetLatency": "1500ms", "MaxAttempts": 2, "Kind": "safe",
              "Priority": 1}
    routes = {
        "r-run": dict(common, Host="a.example", Prefix="/run/", Service="vault"),
        "r-read": dict(common, Host="b.example", Prefix="/read/", Service="drafts")}
    region.configure(7, routes)
    counts = {"first": [0, 0], "added": [0, 0]}
    lock = threading.Lock()
    ended = threading.Event()
    measured = threading.Event()

    def send(route, number):
        client = stand_ins.Client(region.nodes[number % len(region.nodes)])
        sent = 0
        while not ended.is_set():
            sent += 1
            name = "%s-%d-%d" % (route, number, sent)
            target = "/run/all" if route == "added" else "/read/" + name
            status = client.ask("GET", "b.example", target, name)[0]
            if measured.is_set():
                with lock:
                    counts[route][0] += status == 200
                    counts[route][1] += 1
            time.sleep(0.3)

    try:
        if not region.start():
            print("the nodes did not become ready")
            return 2
        time.sleep(4)  # Longer than Contact, so that the hosts are in touch.
        threads = [threading.Thread(target=send, args=("first", number)) for number in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        if trouble:
            for number in range(CRASHING_SENDS):
                sender = stand_ins.Client(region.nodes[number % len(region.nodes)])
                sender.ask("GET", "a.example", "/run/all", "crashing-%d" % number)
                sender.close()
                time.sleep(RESEND)
        region.configure(19, dict(routes, **{
            "r-added": dict(common, Host="b.example", Prefix="/run/", Service="drafts")}))
        record.add("acknowledged version 19")
        time.sleep(SETTLE)
        added = [threading.Thread(target=send, args=("added", number)) for number in range(6)]
        measured.set()
        for thread in added:
            thread.start()
        time.sleep(MEASURE)
        measured.clear()
        ended.set()
        for thread in threads + added:
            thread.join()
        crashes = sum(node.endpoint.crashes for node in region.nodes)
        result = "crashes %d; served of the first route %d of %d, of the added one %d of %d" % (
            crashes, *counts["first"], *counts["added"])
        record.add(result)
        print(result)
        if counts["first"][0] == 0 or counts["added"][1] < LEAST_REQUESTS:
            return 2
        ratio = counts["first"][0] / counts["first"][1]
        return 1 if counts["added"][0] / counts["added"][1] < LEAST_RATIO * ratio else 0
    finally:
        ended.set()
        region.stop()


stand_ins.run_case(main)
