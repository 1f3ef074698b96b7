"""Three clients upload bodies that are just within MaxBodyBytes while eight
others wait for answers on kept connections of the same node."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
import region as stand_ins  # noqa: E402

MEMORY_MB = 260  # MemoryMb of the site's machines.
MAX_BODY_BYTES = 67108864  # MaxBodyBytes of the site's limits.
UPLOADS = 3
WAITING_CLIENTS = 8
MOST_LOST = 3  # LOST: "more than three times".


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, node, record):
        self.node = node
        self.record = record
        self.peak = 0
        self.kills = 0
        self.ended = False
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.ended:
            used = self.node.memory_bytes()
            self.peak = max(self.peak, used)
            if used > MEMORY_MB * 1024 * 1024:
                self.record.add("memory", self.node.name, used >> 20, "MB, over", MEMORY_MB)
                self.node.signal(signal.SIGKILL)
                self.node.process.wait()
                self.kills += 1
                time.sleep(0.5)
                if not self.ended:
                    self.node.start()
            time.sleep(0.005)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = stand_ins.Record(os.path.join(FOLDER, "record.txt"))
    region = stand_ins.Region(record)
    nodes = [region.add("dispatch", zone, slots=121) for zone in ("a", "b", "c")]
    route = {"Host": "x.example", "Prefix": "/send/", "Kind": "unsafe", "Timeout": "5000ms",
             "TargetLatency": "1500ms", "Priority": 0, "Service": "dispatch", "MaxAttempts": 2}
    region.configure(7, {"r-send": route})
    platform = None
    try:
        if not region.start():
            print("the nodes did not become ready")
            return 2
        time.sleep(4)  # Longer than Contact, so that the hosts are in touch.
        front = nodes[0]
        platform = Platform(front, record)
        clients = [stand_ins.Client(front) for _ in range(WAITING_CLIENTS)]
        for number, client in enumerate(clients):
            status = client.ask("POST", "x.example", "/send/0?ms=1", "first-%d" % number)[0]
            if status != 200:
                print("a first request was not served:", status)
                return 2
        statuses = {}

        def wait_for_answer(number):
            request_id = "kept-%d" % number
            statuses[request_id] = clients[number].ask(
                "POST", "x.example", "/send/1?ms=2500", request_id, body=b"x" * 4000)[0]

        def upload(number):
            size = MAX_BODY_BYTES - 1 if trouble else 24000
            stand_ins.Client(front).ask("POST", "x.example", "/send/2?ms=1500",
                                        "upload-%d" % number, body=b"x" * size)

        threads = [threading.Thread(target=wait_for_answer, args=(number,))
                   for number in range(WAITING_CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(0.4)
        uploads = [threading.Thread(target=upload, args=(number,)) for number in range(UPLOADS)]
        for thread in uploads:
            thread.start()
        for thread in threads + uploads:
            thread.join()
        run = {entry[1] for node in nodes for entry in node.endpoint.runs}
        lost = sorted(request_id for request_id, status in statuses.items()
                      if status == 0 and request_id in run)
        record.add("peak", platform.peak >> 20, "MB of", MEMORY_MB, "kills", platform.kills)
        record.add("lost", len(lost), *lost)
        print("peak %d MB of %d, killed %d times; lost %d of %d: %s" % (
            platform.peak >> 20, MEMORY_MB, platform.kills, len(lost), WAITING_CLIENTS,
            " ".join(lost)))
        return 1 if len(lost) > MOST_LOST else 0
    finally:
        if platform is not None:
            platform.ended = True
            time.sleep(0.6)
        region.stop()


sys.exit(main())
