"""Stand-in for a client that reads slowly, and that sends a further request
before the answer to the one before is whole."""

import asyncio
import socket
import time

from region import HOST

RECEIVE_BUFFER_BYTES = 64 * 1024
READ_BYTES = 32 * 1024
NO_PACE = 1_000_000_000  # Bytes per second.


class SlowClient:
    def __init__(self, region, machine, name, *, path="/cufi502/2f",
                 deadline_ms=8000):
        self.region, self.machine, self.name = region, machine, name
        self.path, self.deadline_ms = path, deadline_ms
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                               RECEIVE_BUFFER_BYTES)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.unread = b""
        # Status by request, None until its answer is whole.
        self.answers = {}
        self.begun = {}  # By request, an event: the head of its answer came.

    async def connect(self):
        await self.loop.sock_connect(self.socket, (
            self.machine.ip, self.region.ports["outbound"]))

    async def send(self, name, response_bytes, pieces_apart_s=0.0):
        """Sends a request, its head in two pieces if they are to be apart."""
        self.answers[name] = None
        self.begun[name] = asyncio.Event()
        head = (f"GET {self.path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {self.name}-{name}\r\n"
                f"X-Deadline-Ms: {self.deadline_ms}\r\n"
                f"X-Response-Bytes: {response_bytes}\r\n\r\n").encode()
        first = 40 if pieces_apart_s else len(head)
        await self.loop.sock_sendall(self.socket, head[:first])
        if first < len(head):
            await asyncio.sleep(pieces_apart_s)
            await self.loop.sock_sendall(self.socket, head[first:])
        self.region.record(f"{self.name}-{name} is sent")

    async def read(self, name, bytes_per_s=NO_PACE):
        """Reads the whole answer to a request."""
        while b"\r\n\r\n" not in self.unread:
            self.unread += await self._receive()
        head, self.unread = self.unread.split(b"\r\n\r\n", 1)
        status = int(head.split(b" ")[1])
        length = int(head.lower().split(b"content-length:")[1].split()[0])
        self.region.record(f"{self.name}-{name}: {status}, {length} bytes "
                           "begin")
        self.begun[name].set()
        begun, received = time.monotonic(), 0
        while received < length:
            part = self.unread or await self._receive()
            used = min(len(part), length - received)
            self.unread = part[used:]
            received += used
            ahead = received / bytes_per_s - (time.monotonic() - begun)
            await asyncio.sleep(max(0.0, ahead))
        self.answers[name] = status
        self.region.record(f"{self.name}-{name} is whole")

    async def _receive(self):
        part = await asyncio.wait_for(
            self.loop.sock_recv(self.socket, READ_BYTES),
            self.deadline_ms / 1000)
        if not part:
            raise ConnectionError("closed")
        return part

    async def attempt(self, play):
        """Plays a part; a connection that closes ends it."""
        try:
            await play(self)
        except (OSError, asyncio.TimeoutError) as error:
            self.region.record(f"{self.name}: {error!r}")
        finally:
            self.socket.close()
