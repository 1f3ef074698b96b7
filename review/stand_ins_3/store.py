"""Stand-in for the platform's metadata store, as the users' pages describe it.

Serves /-/kv-key, /-/kv-range and /-/kv-watch. The operator and the backend
servers of a test write to it directly, in the same process.
"""

import asyncio
import base64
import json
import urllib.parse


class Store:
    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self._serve, ip, port)

    async def put(self, key, value):
        """Writes an item and returns the revision of the change."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            known = self.items.get(key)
            self.items[key] = {
                "Key": key, "Value": base64.b64encode(text).decode(),
                "Revision": self.revision,
                "Created": known["Created"] if known else self.revision,
                "Lease": 0}
            self.history.append(dict(self.items[key]))
            self.changed.notify_all()
        return self.revision

    async def delete(self, key):
        async with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.history.append({"Key": key, "Revision": self.revision,
                                     "Deleted": True})
                self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                url = urllib.parse.urlsplit(head.split(" ")[1])
                query = {name: values[0] for name, values in
                         urllib.parse.parse_qs(url.query).items()}
                status, body = await self._answer(url.path, query)
                text = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if path == "/-/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"CurrentRev": self.revision}
            return 200, {**item, "CurrentRev": self.revision}
        prefix = query["Prefix"]
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix)
                          and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "Truncated": len(keys) > 500,
                         "CurrentRev": self.revision}
        after = int(query["after"])
        wait_s = min(30.0, int(query["WaitMs"]) / 1000)

        def events():
            return [item for item in self.history
                    if item["Revision"] > after
                    and item["Key"].startswith(prefix)]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(events), wait_s)
            except asyncio.TimeoutError:
                pass
            return 200, {"events": events(), "CurrentRev": self.revision}
