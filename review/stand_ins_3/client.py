"""Stand-in for a client: sends one request after the other on one connection."""

import asyncio
import time

from endpoint import read_message
from region import HOST

CHUNK_BYTES = 256 * 1024


class Client:
    def __init__(self, region, machine, name, *, method="POST",
                 path="/puka111/2f", deadline_ms=6000, response_bytes=None):
        self.region, self.machine, self.name = region, machine, name
        self.method, self.path = method, path
        self.deadline_ms, self.response_bytes = deadline_ms, response_bytes
        self.reader = self.writer = None
        self.sent = 0
        self.sent_on_connection = 0
        # Ids of requests whose kept connection closed without an answer.
        self.closed_unanswered = []
        self.answers = {}  # Status by request id; None for a closed connection.

    def count(self, status):
        return sum(1 for each in self.answers.values() if each == status)

    async def send(self, body_bytes=0, bytes_per_s=None):
        """Sends a request and returns the status of the answer, or None if the
        connection closed without one."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.machine.ip, self.region.ports["outbound"])
            self.sent_on_connection = 0
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        is_kept = self.sent_on_connection > 0
        self.sent_on_connection += 1
        status = None
        try:
            self.writer.write(self._head(request_id, body_bytes).encode())
            await self._send_body(body_bytes, bytes_per_s)
            words, headers, _ = await asyncio.wait_for(
                read_message(self.reader), self.deadline_ms / 1000 + 1)
            status = int(words[1])
            if headers.get("connection") == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            if is_kept:
                self.closed_unanswered.append(request_id)
        self.answers[request_id] = status
        self.region.record(f"{request_id} of {body_bytes} bytes: "
                           f"{status or 'connection closed, no answer'}")
        return status

    def _head(self, request_id, body_bytes):
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {HOST}",
                 f"X-Request-Id: {request_id}",
                 f"X-Deadline-Ms: {self.deadline_ms}"]
        if self.response_bytes is not None:
            lines.append(f"X-Response-Bytes: {self.response_bytes}")
        if self.method != "GET":
            lines.append(f"Content-Length: {body_bytes}")
        return "\r\n".join(lines) + "\r\n\r\n"

    async def _send_body(self, body_bytes, bytes_per_s):
        started = time.monotonic()
        written = 0
        while written < body_bytes:
            part = min(CHUNK_BYTES, body_bytes - written)
            self.writer.write(bytes(part))
            await self.writer.drain()
            written += part
            if bytes_per_s:
                ahead = written / bytes_per_s - (time.monotonic() - started)
                await asyncio.sleep(max(0.0, ahead))

    async def send_until(self, until, body_bytes=0, pause_s=0.0):
        """Sends requests until a time; connects again after a refusal."""
        while time.monotonic() < until:
            try:
                await self.send(body_bytes)
            except OSError:
                await asyncio.sleep(0.2)
            await asyncio.sleep(pause_s)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None
