"""Stand-ins for the platform around the gateways: store, servers, clients, and gateway processes.

They follow the users' pages; where a page is silent, they behave like a sound platform. Everything
listens on loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

# A case that is stopped ends the processes that it started, too.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.2
HOST = "host.example"
BOUNDS = {
    "graceS": 8, "retryRatio": 0.2, "retrySlack": 56, "retryWindowS": 10, "contactMs": 3000,
}


class Record:
    """The record of a run: lines with the time since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_net():
    """Returns the first three numbers of loopback addresses that nobody uses, and a base port."""
    while True:
        net = f"127.{random.randint(64, 120)}.{random.randint(1, 250)}"
        base = random.randrange(20000, 30000, 20)
        try:
            for host in (1, 2, 3, 100, 101):
                with socket.socket() as probe:
                    probe.bind((f"{net}.{host}", base))
            return net, base
        except OSError:
            continue


async def read_head(reader):
    """Returns the start line and the headers of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def reset(writer):
    """Resets a connection, as a crash does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's store: keyed topics with one partition each."""

    era = 0

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()

    async def start(self, host, port):
        self.address = f"{host}:{port}"
        self.server = await asyncio.start_server(self.serve, host, port)

    def topic(self, name):
        return self.topics.setdefault(name, ([], {}))

    def put(self, topic, key, value):
        log, newest = self.topic(topic)
        value = json.dumps(value).encode() if value is not None else b""
        self.append(topic, bytes([len(key)]) + key.encode() + value)

    def append(self, topic, record):
        log, newest = self.topic(topic)
        key = record[1:1 + record[0]].decode()
        value = record[1 + record[0]:]
        newest.pop(key, None)
        if value:
            newest[key] = (len(log), value)
        log.append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                status, answer = await self.handle(head[0].split(" ")[1], body)
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nStore-Era: {self.era}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = query.get("topic", "")
        log, newest = self.topic(name)
        await asyncio.sleep(0.004)
        if url.path == "/v1/log-newest":
            keys = sorted(k for k in newest if "after" not in query or k > query["after"])
            entries = [{"key": k, "data": base64.b64encode(newest[k][1]).decode(),
                        "offset": newest[k][0]} for k in keys[:500]]
            page = {"entries": entries, "hasMore": len(keys) > 500, "endOffset": len(log)}
            return 200, json.dumps(page).encode()
        if url.path == "/v1/log-append":
            offset = len(log)
            while body:
                length = struct.unpack(">I", body[:4])[0]
                self.append(name, body[4:4 + length])
                body = body[4 + length:]
            return 200, json.dumps({"offset": offset, "endOffset": len(log)}).encode()
        if url.path == "/v1/log-read":
            start = int(query["from"])
            deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while start >= len(log) and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            answer = struct.pack(">QQ", len(log), 0)
            limit = int(query.get("maxKb", 1024)) * 1024
            for index, record in enumerate(log[start:]):
                if index and len(answer) + len(record) > limit:
                    break
                answer += struct.pack(">I", len(record)) + record
            return 200, answer
        return 404, b""


class AwayStore(Store):
    """A store that can be away: it resets connections and takes no writes."""

    is_away = False

    def __init__(self):
        super().__init__()
        self.writers = set()

    async def serve(self, reader, writer):
        if self.is_away:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def go_away(self):
        self.is_away = True
        for writer in list(self.writers):
            reset(writer)

    def put(self, topic, key, value):
        if not self.is_away:
            super().put(topic, key, value)


class Server:
    """A server of a service; subclasses say what it does with a request."""

    def __init__(self, name, service, zone, slots, store, record):
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.store, self.record = store, record
        self.starts = 0
        self.id = None
        self.listener = None
        self.writers = set()
        self.tasks = set()

    async def start(self, host, port):
        self.host, self.port = host, port
        self.starts += 1
        self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.listener = await asyncio.start_server(self.serve, host, port, limit=1 << 17)
        self.publish()
        self.beat = asyncio.ensure_future(self.beats())

    def publish(self):
        self.store.put("keyed.servers", self.id, {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "ready", "coldLeftMs": 0,
            "sequence": self.sequence, "born": self.born})

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1
            self.publish()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                attempt = headers.get("mimosaledge-attempt-id", "")
                if headers.get("mimosaledge-expect-instance", self.id) != self.id:
                    await self.answer(writer, 421, attempt, b"", seal=False)
                    continue
                peer = writer.get_extra_info("peername")[0]
                await self.handle(line, headers, body, writer, peer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def extra_headers(self):
        return ""

    async def answer(self, writer, status, attempt, body, seal=True, more=""):
        head = (f"HTTP/1.1 {status} Status\r\nMimosaledge-Attempt-Id: {attempt}\r\n"
                f"Mimosaledge-Instance-Id: {self.id}\r\n{self.extra_headers()}{more}")
        if seal:
            head += "Mimosaledge-Server-Seal: 3e1b.07\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    def crash(self, back_s):
        """Ends like a process that crashes; it starts again under a new id after `back_s`."""
        self.listener.close()
        self.beat.cancel()
        for writer in list(self.writers):
            reset(writer)
        me = asyncio.current_task()
        for task in list(self.tasks):
            if task is not me:
                task.cancel()
        asyncio.ensure_future(self.come_back(self.id, back_s))

    async def come_back(self, old, back_s):
        asyncio.ensure_future(self.expire(old))
        await asyncio.sleep(back_s)
        await self.start(self.host, self.port)
        self.record.write(f"server {self.name} is back as {self.id}")

    async def expire(self, old):
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.put("keyed.servers", old, None)


class Gateways:
    """Gateway processes, started with the command of the deploy file."""

    def __init__(self, net, base, store, zones, memory_mb=260, max_fds=4100):
        self.net, self.base, self.store, self.zones = net, base, store, zones
        self.memory_mb, self.max_fds = memory_mb, max_fds
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = {}
        with open(os.path.join(ROOT, "deploy", "gateway.yaml"), encoding="utf-8") as file:
            self.template = file.read()

    def host(self, number):
        return f"{self.net}.{number}"

    def client_address(self, number):
        return self.host(number), self.base

    def settings(self, number, bootstrap, seeds):
        host, base = self.host(number), self.base
        fields = {
            "nodeName": f"edge-{number}", "ip": host, "zone": self.zones[number % len(self.zones)],
            "listen": {"frontend": f"{host}:{base}", "ready": f"{host}:{base + 1}",
                       "registry": f"{host}:{base + 2}"},
            "internalPorts": [base + 3, base + 4],
            "seeds": [f"{self.host(it)}:{base + 5}" for it in seeds],
            "bootstrap": bootstrap, "platform": {"address": self.store.address}, "bounds": BOUNDS,
        }

        def value(match):
            path, _, form = match.group(1).partition("|")
            found = fields
            for part in path.split("."):
                found = found[int(part)] if isinstance(found, list) else found[part]
            return json.dumps(found) if form == "json" else str(found)

        return re.sub(r"\{\{([^}]+)\}\}", value, self.template)

    async def start(self, number, bootstrap=True, seeds=(1, 2, 3)):
        path = os.path.join(self.folder.name, f"node-{number}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(number, bootstrap, seeds))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"MIMOSALEDGE_SETTINGS": path, "MIMOSALEDGE_MEMORY_MB": str(self.memory_mb),
                "MIMOSALEDGE_MAX_FDS": str(self.max_fds),
                "MIMOSALEDGE_REGIONS": json.dumps({it: "hu-west" for it in self.zones})}
        log = open(os.path.join(self.folder.name, f"node-{number}.log"), "ab")
        self.processes[number] = await asyncio.create_subprocess_exec(
            "target/release/mimosaledge-edge", cwd=ROOT, env=env, stdout=log, stderr=log)

    def log(self, number):
        path = os.path.join(self.folder.name, f"node-{number}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    async def is_ready(self, number):
        try:
            answer = await asyncio.wait_for(
                call((self.host(number), self.base + 1), "GET", "/v1/readyz", {}), 1)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, numbers, max_s=10):
        end = time.monotonic() + max_s
        for number in numbers:
            while not await self.is_ready(number):
                if time.monotonic() > end:
                    raise RuntimeError(f"gateway {number} is not ready")
                await asyncio.sleep(0.05)

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        self.folder.cleanup()


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def call(address, method, path, headers, body=b"", on_data=None):
    """Sends one request on a new connection; a closed connection is status 0."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 17)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await read_head(reader)
        if head is None:
            return Answer(0, {}, b"", False)
        status = int(head[0].split(" ")[1])
        if on_data is None:
            return Answer(status, head[1], await read_body(reader, head[1]), True)
        try:
            data = await read_body(reader, head[1])
            return Answer(status, head[1], data, True)
        except (ValueError, asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, head[1], b"", False)
    except (ConnectionError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"", False)
    finally:
        writer.close()


def route(name, kind, service, attempts, timeout_ms, **more):
    return {"name": f"r-{name}", "host": HOST, "pathPrefix": f"/{name}/", "routeKind": kind,
            "timeoutMs": timeout_ms, "latencyGoalMs": 100, "priority": 2, "service": service,
            "maxAttempts": attempts, "anonymous": False, "sticky": False, "resumable": False,
            "gapGoalMs": 300} | more


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "firm", "apiKeys": ["key-1"], "priority": 1}]}
