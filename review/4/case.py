"""CONFIG: after three crashes of endpoints, a popular request is refused.

A new version adds a route. Its clients all open the same page, as the clients
of a pour list or of the day's programme do. Then the endpoints of the service
crash, one after the other, while they run requests of several kinds. When all
of them have long been back and nothing else is wrong, the share of the new
route's requests that are served is compared with that of the first routes.
"""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "stand_ins"))
from region import Region, read_head, run_case  # noqa: E402

DEADLINE_SECONDS = 5.0
RATE = 8  # Requests a second of each kind, on each machine with clients.
WORK_SECONDS = 0.15
CRASHES = int(os.environ.get("CRASHES", "6"))
CRASH_SECONDS = 3.0
CRASH_GAP_SECONDS = 5.0
CALM_SECONDS = 8.0  # After the last endpoint is back.
STEADY_SECONDS = 15.0
LEAST_REQUESTS = 20
LEAST_SHARE = 0.25


async def request(region, machine, path, request_id):
    """One request on a connection of its own; its status."""
    try:
        reader, writer = await asyncio.open_connection(machine.ip,
                                                       region.outbound_port)
    except OSError:
        return "no connection"
    try:
        writer.write((
            f"GET {path} HTTP/1.1\r\nHost: app.example\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n"
            "Connection: close\r\n\r\n").encode())
        head = await asyncio.wait_for(read_head(reader), DEADLINE_SECONDS)
        if head is None:
            return "closed"
        await reader.readexactly(int(head[1].get("content-length", 0)))
        return head[0].split(" ")[1]
    except (ConnectionError, asyncio.IncompleteReadError):
        return "closed"
    except asyncio.TimeoutError:
        return "deadline"
    finally:
        writer.close()


class Load:
    def __init__(self, region, machine, kind, path_of, results):
        self.region, self.machine = region, machine
        self.kind, self.path_of, self.results = kind, path_of, results

    async def run(self):
        number = 0
        while True:
            number += 1
            asyncio.create_task(self.one(number))
            await asyncio.sleep(1 / RATE)

    async def one(self, number):
        request_id = f"{self.machine.name}-{self.kind}-{number}"
        sent_at = time.monotonic()
        sent = self.region.record.now()
        status = await request(self.region, self.machine, self.path_of(number),
                               request_id)
        self.results.append((sent_at, self.kind, status))
        self.region.record.write(f"{request_id}, sent at {sent:.3f}: {status}")


async def case(folder, trouble):
    def route(prefix, service):
        return {"Host": "app.example", "Prefix": f"/{prefix}/",
                "Kind": "safe", "Timeout": "5000ms",
                "TargetLatency": "1500ms", "Priority": 1, "MaxAttempts": 2,
                "Service": service}

    region = Region(folder, ["vault"] * 3 + ["drafts"] * 3,
                    {"draft": route("draft", "drafts"),
                     "audio": route("audio", "vault")})
    results, loads = [], []
    servers, callers = region.machines[:3], region.machines[3:]
    try:
        for machine in region.machines:
            machine.endpoint.work = lambda path: WORK_SECONDS
        await region.start()
        region.routes["list"] = route("list", "vault")
        region.store.put("op/config", region.configuration(8))
        region.record.write("version 8 adds a route")
        await asyncio.sleep(3)
        for machine in callers:
            for kind, path_of in (
                    ("draft", lambda number: f"/draft/{number}"),
                    ("audio", lambda number: f"/audio/{number}"),
                    ("list", lambda number: "/list/today")):
                loads.append(asyncio.create_task(Load(
                    region, machine, kind, path_of, results).run()))
        await asyncio.sleep(3)
        for number in range(CRASHES):
            if trouble:
                await servers[number % 3].endpoint.crash(CRASH_SECONDS)
            else:
                await asyncio.sleep(CRASH_SECONDS)
            await asyncio.sleep(CRASH_GAP_SECONDS - CRASH_SECONDS)
        await asyncio.sleep(CALM_SECONDS)
        steady_from = time.monotonic()
        region.record.write("steady state")
        await asyncio.sleep(STEADY_SECONDS)
        for load in loads:
            load.cancel()
        await asyncio.sleep(1)
    finally:
        await region.stop()
    shares = {}
    for kind in ("draft", "audio", "list"):
        statuses = [status for sent_at, other, status in results
                    if other == kind and sent_at >= steady_from]
        served = statuses.count("200")
        shares[kind] = served / max(1, len(statuses))
        region.record.write(f"steady state, {kind}: {served} of "
                            f"{len(statuses)} served")
        if len(statuses) < LEAST_REQUESTS:
            raise RuntimeError("too few requests")
    first = (shares["draft"] + shares["audio"]) / 2
    print("CONFIG: served in steady state: " + ", ".join(
        f"{kind} {share:.2f}" for kind, share in shares.items()))
    return shares["list"] < LEAST_SHARE * first


run_case(case)
