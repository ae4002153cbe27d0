"""Stand-ins for the review: a store, servers, clients and gateway processes, all on loopback."""

import asyncio, base64, contextlib, json, os, random, re, signal, socket, struct, sys, tempfile, time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "shop.example"
BORN = 1_700_000_000_000


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def network():
    """Returns the prefix of a loopback network that nobody else uses, as far as can be told."""
    while True:
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}."
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((prefix + "1", 9464))
            return prefix


async def read_head(reader):
    """Reads a head; returns its first line and headers (lower-case names), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def reset(writer):
    """Closes a connection with a reset, as the end of its process with unread data does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: a log with keyed topics."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def put(self, topic, key, value):
        """Appends a record; None removes the key."""
        data = json.dumps(value).encode() if value is not None else b""
        await self.append(topic, [bytes([len(key)]) + key.encode() + data])

    async def append(self, topic, records):
        async with self.changed:
            self.topics.setdefault(topic, []).extend(records)
            self.changed.notify_all()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                status, answer = await self.answer(head[0].split()[1], body)
                writer.write(f"HTTP/1.1 {status} x\r\nStore-Era: 0\r\n"
                             f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        writer.close()

    async def answer(self, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        topic = query.get("topic", "")
        log = self.topics.setdefault(topic, [])
        if path == "/v1/log-newest":
            newest = {}
            for offset, record in enumerate(log):
                key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            entries = [{"key": key, "data": base64.b64encode(value).decode(), "offset": offset}
                       for key, (offset, value) in sorted(newest.items())]
            page = {"entries": entries, "hasMore": False, "endOffset": len(log)}
            return 200, json.dumps(page).encode()
        if path == "/v1/log-read":
            start, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
            if start > len(log):
                return 410, b'{"earliestOffset":0}'
            with contextlib.suppress(asyncio.TimeoutError):
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(lambda: len(log) > start), wait)
            records = b"".join(struct.pack(">I", len(it)) + it for it in log[start:])
            return 200, struct.pack(">QQ", len(log), 0) + records
        if path == "/v1/log-append":
            records, rest = [], body
            while rest:
                length = struct.unpack(">I", rest[:4])[0]
                records.append(rest[4:4 + length])
                rest = rest[4 + length:]
            offset = len(log)
            await self.append(topic, records)
            return 200, json.dumps({"offset": offset, "endOffset": len(log)}).encode()
        return 404, b""


class Server:
    """A server of a service. `handle(server, run, writer)` answers a request that it runs."""

    def __init__(self, store, record, ident, service, handle, version="v1", slots=64):
        self.store, self.record, self.ident, self.service = store, record, ident, service
        self.handle, self.version, self.slots, self.born = handle, version, slots, BORN
        self.connections, self.port, self.listener, self.runs = set(), 0, None, []

    async def start(self, address):
        """Starts a new incarnation at the same address, and registers it."""
        self.ip, self.born = address, self.born + 1
        self.listener = await asyncio.start_server(self.serve, address, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        await self.register()

    async def register(self, state="ready"):
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": "hall-1",
                 "version": self.version, "slots": self.slots, "state": state, "coldLeftMs": 0,
                 "sequence": 1, "born": self.born}
        await self.store.put("keyed.servers", self.ident, entry)

    def crash(self):
        """Resets all connections and refuses new ones; returns whether it was up."""
        if not self.listener:
            return False
        self.listener.close()
        self.listener = None
        for writer in list(self.connections):
            reset(writer)
        return True

    async def serve(self, reader, writer):
        self.connections.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while head := await read_head(reader):
                line, headers = head
                body = await read_body(reader, headers)
                method, path, _ = line.split()
                run = {"method": method, "path": path, "headers": headers, "body": body,
                       "id": headers.get("mimosaledge-attempt-id", ""),
                       "from": writer.get_extra_info("peername")[0], "at": time.monotonic()}
                if headers.get("mimosaledge-expect-instance", self.ident) != self.ident:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nMimosaledge-Attempt-Id: "
                                 + run["id"].encode() + b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.runs.append(run)
                await self.handle(self, run, writer)
                await writer.drain()
        self.connections.discard(writer)
        writer.close()


def answer(server, run, body=b"done", status="200 OK"):
    """Returns a complete plain answer."""
    return (f"HTTP/1.1 {status}\r\nMimosaledge-Attempt-Id: {run['id']}\r\n"
            f"Mimosaledge-Server-Seal: s.{server.ident}\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode() + body


def stream_head(server, run):
    return (f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Mimosaledge-Attempt-Id: {run['id']}\r\nMimosaledge-Server-Seal: s.{server.ident}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def render(template, values):
    """Fills in a template of the settings as DEPLOY.md tells, as far as ours needs it."""
    def value(match):
        node = values
        for part in match[1].split("."):
            node = node[int(part)] if isinstance(node, list) else node[part]
        return json.dumps(node) if match[2] else str(node)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Gateway:
    """A process of the role in the deploy file."""

    PORTS = {"frontend": 8227, "ready": 8220, "controlPlane": 8229, "registry": 8224}

    def __init__(self, folder, store, ip, seeds, record, zone="hall-1"):
        self.folder, self.store, self.ip, self.seeds, self.record = folder, store, ip, seeds, record
        self.zone, self.process, self.started = zone, None, None
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["gateway"]

    async def start(self, bootstrap):
        values = {
            "nodeName": f"edge-{self.ip}", "ip": self.ip, "zone": self.zone,
            "listen": {name: f"{self.ip}:{port}" for name, port in self.PORTS.items()},
            "internalPorts": [7340, 7355], "seeds": [f"{ip}:8229" for ip in self.seeds],
            "bootstrap": bootstrap, "platform": {"address": self.store.address},
            "bounds": {"graceS": 8, "retryRatio": 0.2, "retrySlack": 56, "retryWindowS": 10},
        }
        with open(os.path.join(ROOT, self.role["template"])) as file:
            text = render(file.read(), values)
        path = os.path.join(self.folder, f"{self.ip}.yaml")
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(self.folder, f"{self.ip}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
            env={"MIMOSALEDGE_SETTINGS": path, "PATH": os.environ["PATH"]})
        self.started = time.monotonic()
        self.record(f"gateway {self.ip} started pid={self.process.pid}")

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if (await request((self.ip, 8220), "GET", "/v1/readyz", {}))["status"] == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"gateway {self.ip} is not ready")

    def signal(self, number):
        self.record(f"gateway {self.ip} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


async def open_request(address, method, path, headers, body=b""):
    """Sends a request on a new connection; returns reader, writer and the head of the answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    return reader, writer, await read_head(reader)


async def request(address, method, path, headers, body=b"", timeout=20):
    """Sends a request; returns status (0: none), headers and body of the answer."""
    async def call():
        reader, writer, head = await open_request(address, method, path, headers, body)
        try:
            if not head:
                return {"status": 0, "headers": {}, "body": b""}
            data = await read_body(reader, head[1])
            return {"status": int(head[0].split()[1]), "headers": head[1], "body": data}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return {"status": 0, "headers": {}, "body": b""}


def route(name, kind, service, **fields):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "routeKind": kind,
            "timeoutMs": 3000, "latencyGoalMs": 100, "priority": 1, "service": service,
            "maxAttempts": 1, "anonymous": False, "sticky": False, "resumable": False,
            "gapGoalMs": 300, **fields}


def config(version, routes, tenants):
    services = sorted({it["service"] for it in routes})
    return {"version": version, "routes": routes,
            "services": [{"name": it, "healthPath": "/healthz", "maxConns": 110} for it in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": keys} for name, keys in tenants.items()]}


def run_case(folder, case):
    """Runs `case(folder, record, trouble)`; exits with 1 if it returns True (the rule was broken),
    0 if it returns False, and 2 if it can't run. All processes are ended."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    gateways = []

    async def main():
        with tempfile.TemporaryDirectory() as work:
            try:
                return await asyncio.wait_for(case(work, record, trouble, gateways), 115)
            finally:
                for gateway in gateways:
                    await gateway.end()
                if keep := os.environ.get("KEEP_LOGS"):
                    import shutil
                    shutil.copytree(work, keep, dirs_exist_ok=True)
    try:
        broken = asyncio.run(main())
    except Exception as error:  # the case could not run
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record(f"trouble={trouble} broken={broken}")
    sys.exit(1 if broken else 0)
