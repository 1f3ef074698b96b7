"""Stand-in for a backend server, as the users' pages describe it.

Registers itself in the store every heartbeat interval, runs `slots` requests
at a time, and records each request that it begins to run.
"""

import asyncio
import time

HEARTBEAT_S = 1.5


async def read_message(reader):
    """Reads an HTTP/1.1 message with a Content-Length. Returns the words of
    the start line, the headers by lower-case name, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0].split(" "), headers, body


class Endpoint:
    def __init__(self, store, record, *, name, service, ip, port, zone,
                 slots=80, work_s=0.2, response_bytes=0):
        self.store, self.record = store, record
        self.name, self.service = name, service
        self.ip, self.port, self.zone = ip, port, zone
        self.slots, self.work_s = slots, work_s
        self.response_bytes = response_bytes  # 0: a short text.
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.runs = []  # (time, request id) of each run, at its start.
        self.server = None
        self.beats = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 17, backlog=1024)
        await self._register()
        self.beats = asyncio.create_task(self._beat())

    async def lose(self):
        """The endpoint is lost for good: it accepts no connections, and its
        entry expires after three heartbeat intervals of silence."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.delete(f"servers/{self.name}")

    async def _register(self):
        self.sequence += 1
        await self.store.put(f"servers/{self.name}", {
            "Service": self.service, "Address": f"{self.ip}:{self.port}",
            "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "ColdLeft": "0ms", "Seq": self.sequence,
            "born": self.born})

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._register()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                words, headers, body = await read_message(reader)
                await self._respond(words, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _write(self, writer, status, headers, body):
        head = f"HTTP/1.1 {status} Answer\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body)
                     + body)

    async def _respond(self, words, headers, body, writer):
        request_id = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id, "X-Instance-Id": self.name}
        if headers.get("x-expect-instance", self.name) != self.name:
            self._write(writer, 421, echo, b"")
        elif self.running >= self.slots:
            self._write(writer, 503, {**echo, "X-Not-Executed": "1"}, b"")
        else:
            self.running += 1
            self.runs.append((time.monotonic(), request_id))
            self.record(f"run {request_id} at {self.name}, "
                        f"{len(body)} bytes of body")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
            stamp = f"{self.name}.{len(self.runs)}"
            size = int(headers.get("x-response-bytes", self.response_bytes))
            self._write(writer, 200, {**echo, "X-Response-Stamp": stamp},
                        bytes(size) or
                        f"answer to {request_id}\n".encode())
        await writer.drain()
