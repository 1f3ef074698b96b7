"""A node is killed and started again while the endpoint next to it goes on
running requests, which make a call each afterwards."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
import region as stand_ins  # noqa: E402

REQUESTS = 20
MOST_DENIED = 10  # DENIED: "more than ten from machines out of touch".


class CallingEndpoint(stand_ins.Endpoint):
    """Works as long as the path says, makes one call through the node next to
    it and answers. It goes on when a connection closes."""

    def work(self, headers, query):
        if query.get("call") is None:
            return
        time.sleep(float(query["call"]))
        caller = stand_ins.Client(self.node)
        request_id = headers["x-request-id"] + ".1"
        # While its node is away or has no configuration, it tries again.
        for _ in range(5):
            status = caller.ask("GET", "x.example", "/lookup/1", request_id, 1900)[0]
            if status not in (-1, 0, 503):
                break
            time.sleep(0.3)
        caller.close()
        self.calls.append(status)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = stand_ins.Record(os.path.join(FOLDER, "record.txt"))
    stand_ins.Endpoint = CallingEndpoint
    region = stand_ins.Region(record, tenants=[
        ("acme", {"ApiKeys": ["key-of-acme"], "Priority": 0})])
    front = region.add("dispatch", "a")
    region.add("vault", "b")
    region.add("vault", "c")
    for node in region.nodes:
        node.endpoint.node = node
        node.endpoint.calls = []
    common = {"Host": "x.example", "Timeout": "5000ms", "TargetLatency": "1500ms",
              "MaxAttempts": 2, "Public": False}
    region.configure(7, {
        "r-send": dict(common, Prefix="/send/", Kind="unsafe", Priority=0, Service="dispatch"),
        "r-lookup": dict(common, Prefix="/lookup/", Kind="safe", Priority=2, Service="vault")})
    key = (("X-Api-Key", "key-of-acme"),)
    try:
        if not region.start():
            print("the nodes did not become ready")
            return 2
        time.sleep(4)  # Longer than Contact, so that the hosts are in touch.
        probe = stand_ins.Client(front)
        if probe.ask("POST", "x.example", "/send/0?call=0.1", "first", headers=key)[0] != 200 \
                or front.endpoint.calls != [200]:
            print("a first request and its call were not served:", front.endpoint.calls)
            return 2
        front.endpoint.calls.clear()
        threads = [threading.Thread(target=stand_ins.Client(front).ask, args=(
            "POST", "x.example", "/send/1?call=3", "send-%d" % number, 5000, key))
            for number in range(REQUESTS)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        if trouble:
            front.signal(signal.SIGKILL)
            front.process.wait()
            time.sleep(0.5)
            front.start()
        for thread in threads:
            thread.join()
        end = time.monotonic() + 10
        while len(front.endpoint.calls) < REQUESTS and time.monotonic() < end:
            time.sleep(0.1)
        calls = front.endpoint.calls
        denied = calls.count(401)
        record.add("calls", *calls)
        print("calls %s, denied %d" % (calls, denied))
        if len(calls) < REQUESTS:
            return 2
        return 1 if denied > MOST_DENIED else 0
    finally:
        region.stop()


stand_ins.run_case(main)
