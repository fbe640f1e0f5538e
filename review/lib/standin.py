"""Stand-ins of the users' platform on loopback addresses, after PROTOCOL.md, DEPLOY.md and NEWS-25.md.

A store with leases and watches, runners, clients, and helpers that start the nodes of deploy/system.toml with
the settings of a small deployment. Python's standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "place.example"
MODEL = "m0"
NOW = time.monotonic

# The figures of kps-fleet (SYSTEM.md), as `fleetbench wire` shows them in the settings of a process.
BOUNDS = {
    "seedPropagationS": 3, "addressReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
    "drainTimeoutMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
    "maxStretchMs": 5000, "revokeFailClosed": True, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "budgetSlack": 54, "recoveryS": 12, "transitMs": 120, "retryAfterS": 10, "fencingEnforced": True, "leaseMs": 3000,
    "thawSlackMs": 300, "versionMs": 8000, "versionAllMs": 11000,
}
HEARTBEAT_S = 1.2


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = NOW()

    def __call__(self, text):
        self.file.write(f"{NOW() - self.began:8.3f} {text}\n")
        self.file.flush()


def loopback_net():
    """The first three bytes of a loopback network that no other run uses, most likely."""
    return f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"


def head(status, headers, body=None):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def parse_head(data):
    lines = data.decode("latin1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_request(reader):
    first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    method, path, _ = first.split(" ", 2)
    length = int(headers.get("content-length", "0"))
    return method, path, headers, await reader.readexactly(length) if length else b""


BROKEN = (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError)


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision, self.next_lease = 0, 100
        self.items, self.changes, self.leases = {}, [], {}
        self.changed = asyncio.Event()

    async def serve(self, host):
        server = await asyncio.start_server(self.connection, host, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.expiry = asyncio.create_task(self.expire_always())
        return self

    async def expire_always(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    def expire(self):
        for lease in [lease for lease, (until, _) in self.leases.items() if until <= NOW()]:
            self.end(lease)

    def end(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item[2] == lease]:
            self.remove(key)
        return True

    def note(self, key, item):
        self.changes.append((self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        value = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.note(key, self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note(key, None)

    @staticmethod
    def item(key, item):
        value = base64.b64encode(item[0]).decode()
        return {"privateKey": key, "value": value, "revision": item[1], "created": item[1], "lease": item[2]}

    async def connection(self, reader, writer):
        try:
            while True:
                method, path, _, body = await read_request(reader)
                status, answer = await self.handle(path, body)
                writer.write(head(status, [("Content-Type", "application/json")], json.dumps(answer).encode()))
                await writer.drain()
        except (*BROKEN, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, path, body):
        url = urllib.parse.urlparse(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        parts = url.path.strip("/").split("/")
        self.expire()
        match parts[1]:
            case "kv-key":
                item = self.items.get(query["privateKey"])
                return (200, self.item(query["privateKey"], item)) if item else (404, {})
            case "kv-range":
                prefix, after = query.get("pathPrefix", ""), query.get("after", "")
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
                items = [self.item(key, self.items[key]) for key in keys[:500]]
                return 200, {"items": items, "more": len(keys) > 500, "timestamp": self.revision}
            case "kv-watch":
                return 200, await self.watch(query)
            case "kv-keep":
                return self.renew(int(parts[2]))
            case "kv-lease-end":
                return (200, {}) if self.end(int(parts[2])) else (404, {})
        call = json.loads(body or b"{}")
        match parts[1]:
            case "kv-lease":
                self.next_lease += 1
                self.leases[self.next_lease] = (NOW() + call["ttlMs"] / 1000, call["ttlMs"])
                return 200, {"lease": self.next_lease, "ttlMs": call["ttlMs"]}
            case "kv-txn":
                return self.transact(call)
        return 404, {}

    async def watch(self, query):
        after, until = int(query["after"]), NOW() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [change for change in self.changes if change[0] > after]
            if events or NOW() >= until:
                gone = lambda revision, key: {"privateKey": key, "revision": revision, "gone": True}
                shown = [self.item(key, item) if item else gone(revision, key) for revision, key, item in events]
                return {"events": shown, "timestamp": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), until - NOW())
            except asyncio.TimeoutError:
                pass

    def renew(self, lease):
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (NOW() + ttl / 1000, ttl)
        return 200, {"lease": lease, "ttlMs": ttl}

    def transact(self, call):
        rows = call.get("expectedRevision", [])
        if any(self.items.get(row["privateKey"], (b"", 0, 0))[1] != row["revision"] for row in rows):
            found = [self.item(row["privateKey"], self.items[row["privateKey"]]) for row in rows if row["privateKey"] in self.items]
            return 412, {"items": found}
        if any(row.get("lease", 0) not in (0, *self.leases) for row in call.get("put", [])):
            return 404, {}
        for row in call.get("put", []):
            self.put(row["privateKey"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Runner:
    """One start of a runner: an incarnation with an id of its own."""

    def __init__(self, record, store, host, service, slots=6, work_s=0.06):
        self.record, self.store, self.host, self.service = record, store, host, service
        self.slots, self.work_s = slots, work_s
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.connections, self.tasks, self.running = set(), set(), 0
        self.ran, self.ended = [], []

    async def start(self):
        self.server = await asyncio.start_server(self.connection, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.sequence = 0
        self.beating = asyncio.create_task(self.beat())
        self.record(f"runner {self.id} of {self.service} starts at {self.host}:{self.port}")
        return self

    def entry(self):
        return {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": "hall-a", "version": "v1",
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": self.sequence,
        }

    async def beat(self):
        while True:
            self.sequence += 1
            self.beat_at = NOW()
            self.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends at once and says nothing. The entry goes after three heartbeats of silence."""
        self.record(f"runner {self.id} crashes")
        self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        lapse = self.beat_at + 3 * HEARTBEAT_S - NOW()
        asyncio.get_running_loop().call_later(max(lapse, 0), self.store.remove, f"servers/{self.id}")

    async def connection(self, reader, writer):
        self.connections.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while await self.answer(reader, writer, *await read_request(reader)):
                pass
        except (*BROKEN, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def answer(self, reader, writer, method, path, headers, body):
        request = headers.get("x-request-id", "")
        base = [("X-Request-Id", request), ("X-Instance-Id", self.id)]
        if headers.get("x-expected-instance", self.id) != self.id:
            return await self.refuse(writer, 421, base)
        if path.startswith("/health"):
            writer.write(head(200, base, b""))
            await writer.drain()
            return True
        if self.running >= self.slots:
            return await self.refuse(writer, 503, base)
        self.running += 1
        self.ran.append((NOW(), request, method, path, headers.get("x-tenant", ""), body))
        self.record(f"runner {self.id} runs {request}")
        closed = asyncio.ensure_future(reader.read(1))
        try:
            done, _ = await asyncio.wait([closed], timeout=self.work_s)
            if done:
                # The caller has closed the connection: the work is dropped.
                self.ended.append((NOW(), request, "closed by the caller"))
                self.record(f"runner {self.id} drops {request}: its connection was closed")
                return False
            self.ended.append((NOW(), request, "ok"))
            self.record(f"runner {self.id} answers {request}")
            signature = ("X-Server-Signature", f"sig.{self.id}.{request}")
            writer.write(head(200, base + [signature], f"done {request}".encode()))
            await writer.drain()
            return True
        finally:
            self.running -= 1
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)

    async def refuse(self, writer, status, base):
        writer.write(head(status, base + [("X-Not-Executed", "1")], b""))
        await writer.drain()
        return True


class Engine(Runner):
    """One start of a model runner, which answers with a stream of events. It keeps no parts and takes orders."""

    def __init__(self, record, store, host, service, slots=64, work_s=0.1, pieces=73, gap_s=0.04):
        super().__init__(record, store, host, service, slots, work_s)
        self.pieces, self.gap_s, self.version, self.orders = pieces, gap_s, 1, 0

    def entry(self):
        return {**super().entry(), "stage": "unified", "models": self.models()}

    def models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def answer(self, reader, writer, method, path, headers, body):
        if path.startswith("/api/"):
            return await self.own_interface(writer, path, headers, body)
        request = headers.get("x-request-id", "")
        base = [("X-Request-Id", request), ("X-Instance-Id", self.id), ("X-Weight-Versions", str(self.version))]
        is_other = headers.get("x-expected-instance", self.id) != self.id
        if is_other or headers.get("x-expected-version", str(self.version)) != str(self.version):
            return await self.refuse(writer, 421, base)
        if self.running >= self.slots:
            return await self.refuse(writer, 503, base)
        self.running += 1
        self.ran.append((NOW(), request, method, path, headers.get("x-tenant", ""), body))
        self.record(f"runner {self.id} runs {request}")
        closed = asyncio.ensure_future(reader.read(1))
        try:
            signature = ("X-Server-Signature", f"sig.{self.id}.{request}")
            start = [signature, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            for piece in range(self.pieces):
                done, _ = await asyncio.wait([closed], timeout=self.gap_s if piece else self.work_s)
                if done:
                    self.record(f"runner {self.id} drops {request}: its connection was closed")
                    return False
                event = f"id: {piece + 1}\ndata: {request} {piece + 1}\n\n".encode()
                writer.write((b"" if piece else head(200, base + start)) + b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.ended.append((NOW(), request, "ok"))
            self.record(f"runner {self.id} answers {request}")
            return True
        finally:
            self.running -= 1
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)

    async def own_interface(self, writer, path, headers, body):
        if path.startswith("/api/kv-events"):
            await asyncio.sleep(float(headers.get("wait-ms", "0")) / 1000)
        status, answer = 200, {"bootEpoch": self.port, "nextPageToken": 0, "lost": False, "events": [], "held": []}
        if path == "/api/report":
            answer = {
                "stage": "unified", "models": self.models(), "busy": False, "sequence": self.orders, "queuedRequests": 0,
                "runningRequests": self.running, "kvUsed": 0, "kvTotal": 110556, "handles": 0,
            }
        if path == "/api/order":
            order, answer = json.loads(body), {}
            status = 200 if order["version"] <= self.version else 202
            if order.get("expectedRevision", self.orders) != self.orders:
                status = 409
            if status == 202:
                self.orders, self.version = self.orders + 1, order["version"]
        writer.write(head(status, [("Content-Type", "application/json")], json.dumps(answer).encode()))
        await writer.drain()
        return True


def fill(template, values):
    """Fills a settings template as DEPLOY.md tells it, as far as deploy/settings.template.toml needs it."""

    def find(path):
        found = values
        for part in path.split("."):
            if isinstance(found, list) and part.isdigit() and int(part) < len(found):
                found = found[int(part)]
            elif isinstance(found, dict):
                found = found.get(part)
            else:
                return None
        return found

    def text(value):
        return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

    spans = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    filled = spans.sub(lambda span: span[2] if find(span[1]) not in (None, False) else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda gap: text(find(gap[1])), filled)


class Node:
    """A node, started with the command of deploy/system.toml."""

    def __init__(self, record, store, host, name, zone, folder):
        self.record, self.host, self.name = record, host, name
        self.path, self.lines, self.process = os.path.join(folder, f"{name}.toml"), [], None
        self.values = {
            "nodeName": name, "zone": zone, "ipAddress": host, "bounds": BOUNDS, "internalPortRange": [7340, 7355],
            "listenAddresses": {"frontend": f"{host}:8782", "readiness": f"{host}:8789"},
            "limits": {"cpuShare": 0.25, "memoryMb": 260, "fileDescriptors": 4100, "linkMbps": 1000.0},
            "platform": {"address": store.address, "minTtlMs": 1000},
        }

    async def start(self, bootstrap):
        with open(os.path.join(ROOT, "deploy", "settings.template.toml")) as template:
            text = fill(template.read(), {**self.values, "bootstrap": bootstrap})
        with open(self.path, "w") as settings:
            settings.write(text)
        command = ["target/release/paddlemount", "forward", "--settings", self.path]
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, limit=1 << 20, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
        )
        self.record(f"node {self.name} starts as process {self.process.pid}")
        self.reading = asyncio.create_task(self.read(self.process.stdout))

    async def read(self, output):
        while line := await output.readline():
            self.lines.append(line.decode("utf8", "replace").rstrip())

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def kill(self):
        self.record(f"node {self.name} is killed")
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, 8789)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (*BROKEN, asyncio.TimeoutError):
            return False

    async def becomes_ready(self, seconds=10):
        until = NOW() + seconds
        while NOW() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


async def read_answer(reader):
    """The status, headers and body of an answer; raises where it is not whole."""
    first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while length := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(length + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(first.split(" ")[1]), headers, body


def is_whole(request, answer, pieces):
    """Whether an answer is the runner's whole answer to this request."""
    if not pieces:
        return answer == f"done {request}".encode()
    return answer == b"".join(f"id: {n}\ndata: {request} {n}\n\n".encode() for n in range(1, pieces + 1))


async def attempt(record, node, request, method, path, seconds, key, body=b"", extra=(), pieces=0):
    """One client attempt on a new connection. Returns the status, or a word, and the headers of the answer."""
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request}",
        f"X-Request-Deadline-Ms: {int(seconds * 1000)}", f"Authorization: Bearer {key}", *extra,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    record(f"client sends {request} {method} {path} to {node.name}")
    status, headers, writer = "no connection", {}, None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(node.host, 8782), min(1, seconds))
        status = "cut, no answer"
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        status, headers, answer = await asyncio.wait_for(read_answer(reader), seconds)
        if status == 200 and not ("x-server-signature" in headers and is_whole(request, answer, pieces)):
            status = "not the runner's answer"
    except asyncio.TimeoutError:
        status = "deadline"
    except BROKEN:
        status = "cut in the answer" if headers else status
    finally:
        if writer:
            writer.close()
    record(f"client gets {request} {status}")
    return status, headers


def request_id():
    return f"{random.randrange(16 ** 16):016x}"


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="paddlemount-review-")


def end_on_signal():
    """Lets SIGTERM end the present task, so that it ends the processes that it has started."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
