"""A stand-in of the platform's metadata store: keys, revisions, watches, leases, and its troubles."""

import asyncio
import base64
import collections
import json
import time
import urllib.parse


class Store:
    # A restore brings back one of so many copies, made this far apart at least.
    BACKUPS = 30
    BACKUP_SECONDS = 0.2

    def __init__(self):
        # Counts restores; told in each answer.
        self.era = 1
        self.backups = collections.deque(maxlen=self.BACKUPS)
        self.revision = 0
        self.items = {}
        self.history = []
        self.forgotten = 0
        self.leases = {}
        self.changed = asyncio.Event()
        # None, "down", "busy" or "silent"
        self.trouble = None
        self.delay = 0.004
        # Seconds by which reads with "serializable" may be behind.
        self.lag = 2.0
        self.copy = ({}, 0)
        self.copied_at = -self.lag
        self.lose = 0.0
        self.random = None
        self.calls = 0
        # Instances find each other through their records; this may lead them over a way with faults.
        self.rewrite = lambda key, value: value

    # What the operator and the backend servers do; their calls are not lost.

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value.encode("latin-1")).decode(), "revision": self.revision, "created": old["created"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self._note(item)
        return time.monotonic()

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self._note({"key": key, "revision": self.revision, "deleted": True})

    def _back_up(self):
        now = time.monotonic()
        if not self.backups or now - self.backups[-1][0] >= self.BACKUP_SECONDS:
            self.backups.append((now, dict(self.items), self.revision, dict(self.leases)))

    def restore(self, age):
        """Comes back from a copy that is so old: what was written since is lost, its revisions are given out again."""
        usable = [it for it in self.backups if time.monotonic() - it[0] >= age] or [self.backups[0]]
        _, items, self.revision, leases = usable[-1]
        self.items, self.leases = dict(items), dict(leases)
        self.era += 1
        self.backups.clear()
        self.forget()

    def forget(self):
        """Drops the history and cuts the watches."""
        self.history.clear()
        self.forgotten = self.revision
        self._wake()

    def _note(self, event):
        self._back_up()
        self.history.append(event)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self):
        now = time.monotonic()
        for lease in [it for it, (end, _) in self.leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, it in self.items.items() if it["lease"] == lease]:
            self.remove(key)

    # The calls.

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        self.expire_leases()
        if url.path == "/-/kv-range":
            return 200, self._range(query)
        if url.path == "/-/kv-key":
            items, revision = self._view(query)
            item = items.get(query["key"])
            return (200, {**item, "store_revision": revision}) if item else (404, {})
        if url.path == "/-/kv-watch":
            return await self._watch(query)
        if url.path == "/-/kv-lease":
            return 200, self._lease(json.loads(body)["ttl_ms"])
        if url.path.startswith("/-/kv-keep/"):
            return self._keep(int(url.path.rsplit("/", 1)[1]))
        if url.path.startswith("/-/kv-lease-end/"):
            return self._end(int(url.path.rsplit("/", 1)[1]))
        if url.path == "/-/kv-txn":
            return self._transaction(json.loads(body))
        return 404, {}

    def _view(self, query):
        """Items and revision as a read sees them: as they are, or from a copy that may be old."""
        if query.get("serializable") != "1":
            return self.items, self.revision
        if time.monotonic() - self.copied_at >= self.lag:
            self.copy = (dict(self.items), self.revision)
            self.copied_at = time.monotonic()
        return self.copy

    def _range(self, query):
        items, revision = self._view(query)
        keys = sorted(k for k in items if k.startswith(query["prefix"]) and k > query.get("after", ""))
        return {"items": [items[k] for k in keys[:500]], "has_more": len(keys) > 500, "store_revision": revision}

    async def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.forgotten or after > self.revision:
                return 410, {}
            events = [it for it in self.history if it["revision"] > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _lease(self, ttl_ms):
        self.revision += 1
        self.leases[self.revision] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return {"lease": self.revision, "ttl_ms": ttl_ms}

    def _keep(self, lease):
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"ttl_ms": ttl}

    def _end(self, lease):
        if lease not in self.leases:
            return 404, {}
        self._end_lease(lease)
        return 200, {}

    def _transaction(self, body):
        for it in body["expect"]:
            held = self.items.get(it["key"], {"revision": 0})["revision"]
            if held != it["revision"]:
                return 412, {"items": []}
        for it in body["puts"]:
            if it["lease"] and it["lease"] not in self.leases:
                return 404, {}
        for it in body["puts"]:
            # Values are any bytes; this encoding keeps each as it is.
            value = base64.b64decode(it["value"]).decode("latin-1")
            self.put(it["key"], self.rewrite(it["key"], value), it["lease"])
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    # HTTP.

    async def serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The caller went away, or the run is over.
            pass
        finally:
            writer.close()

    async def _troubled(self):
        if self.trouble == "silent":
            await asyncio.sleep(30)
        return self.trouble in ("down", "silent")

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        method, target, _ = head.split("\r\n")[0].split(" ")
        size = next((int(it.split(":")[1]) for it in head.lower().split("\r\n") if it.startswith("content-length:")), 0)
        body = await reader.readexactly(size)
        self.calls += 1
        if await self._troubled():
            return False
        await asyncio.sleep(self.delay)
        status, answer = (503, {}) if self.trouble == "busy" else await self.answer(method, target, body)
        # A watch that waited when the trouble began is not answered either: a store that is away
        # tells nobody which registrations lapse meanwhile.
        if await self._troubled():
            return False
        if method != "GET" and self.random and self.random.random() < self.lose:
            return False
        text = json.dumps(answer).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n" % (status, self.era, len(text)) + text)
        await writer.drain()
        return True


class Proxy:
    """A TCP connection's way to the store, with faults: "reset", "one_way", "silent" or a delay."""

    def __init__(self, store_port):
        self.store_port = store_port
        self.fault = None
        self.delay = 0.0
        self.writers = set()
        self.silenced = set()

    async def listen(self, ip):
        self.server = await asyncio.start_server(self._accept, ip, 0)
        return self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        if self.fault == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.store_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await asyncio.gather(self._pump(reader, far_writer, writer, False), self._pump(far_reader, writer, writer, True))
        except asyncio.CancelledError:
            pass
        self.writers.discard(writer)
        self.silenced.discard(writer)

    async def _pump(self, reader, writer, name, answers):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if name in self.silenced or self.fault == "silent" or (self.fault == "one_way" and answers):
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def silence_open(self):
        """Open connections carry nothing more; new ones work."""
        self.silenced |= self.writers

    def reset_open(self):
        for it in list(self.writers):
            it.transport.abort()
