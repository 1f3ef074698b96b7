"""A new configuration raises MaxBodyBytes. Clients with connections from before
it, and clients with new ones, then send bodies that only the new one allows."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
import region as stand_ins  # noqa: E402

CLIENTS = 12
OLD_LIMIT = 1 << 20
NEW_LIMIT = 4 << 20
BODY = 2 << 20
CONFIG_APPLY = 2.0
MOST_DENIED = 5  # DENIED: "more than 5 + one in 500".


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = stand_ins.Record(os.path.join(FOLDER, "record.txt"))
    region = stand_ins.Region(record)
    nodes = [region.add("dispatch", zone, slots=121) for zone in ("a", "b", "c")]
    route = {"Host": "x.example", "Prefix": "/send/", "Kind": "unsafe", "Timeout": "5000ms",
             "TargetLatency": "1500ms", "Priority": 0, "Service": "dispatch", "MaxAttempts": 2}

    def publish(version, max_body_bytes):
        region.configure(version, {"r-send": route}, {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": max_body_bytes,
            "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"})
        record.add("acknowledged version", version, "MaxBodyBytes", max_body_bytes)

    # Without the disruption the limit is as high from the start.
    publish(7, OLD_LIMIT if trouble else NEW_LIMIT)
    try:
        if not region.start():
            print("the nodes did not become ready")
            return 2
        time.sleep(4)  # Longer than Contact, so that the hosts are in touch.
        kept = [stand_ins.Client(nodes[number % 3]) for number in range(CLIENTS)]
        for number, client in enumerate(kept):
            if client.ask("POST", "x.example", "/send/0", "first-%d" % number,
                          body=b"x" * 4000)[0] != 200:
                return 2
        publish(19, NEW_LIMIT)
        # Twice ConfigApply; the connections are in use all the while.
        end = time.monotonic() + 2 * CONFIG_APPLY
        count = 0
        while time.monotonic() < end:
            for number, client in enumerate(kept):
                client.ask("POST", "x.example", "/send/1", "small-%d-%d" % (count, number),
                           body=b"x" * 4000)
            count += 1
            time.sleep(0.5)
        body = b"x" * BODY
        on_kept = [client.ask("POST", "x.example", "/send/2", "kept-%d" % number, body=body)[0]
                   for number, client in enumerate(kept)]
        on_new = [stand_ins.Client(nodes[number % 3]).ask(
            "POST", "x.example", "/send/3", "new-%d" % number, body=body)[0]
            for number in range(CLIENTS)]
        sent = CLIENTS * (count + 3)
        denied = sum(300 <= status < 500 and status not in (408, 421, 429)
                     for status in on_kept + on_new)
        record.add("kept", *on_kept)
        record.add("new", *on_new)
        print("kept %s new %s: denied %d of %d" % (on_kept, on_new, denied, sent))
        return 1 if denied > MOST_DENIED + sent / 500 else 0
    finally:
        region.stop()


sys.exit(main())
