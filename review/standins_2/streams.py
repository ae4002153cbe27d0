"""Engines that stamp their version on each event, and clients that take their streams up again."""

import asyncio
import random
import zlib

from platform import HOST, Server, read_head


EVENTS, EVENT_S = 50, 0.2
DEADLINE_S = 15.0


class Engine(Server):
    """Stamps its version on each event."""

    running = 0

    def __init__(self, version, *args):
        super().__init__(*args)
        self.version, self.state = version, "ready"

    def publish(self):
        self.store.put("keyed.servers", self.id, {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state, "coldLeftMs": 0,
            "sequence": self.sequence, "born": self.born})

    def extra_headers(self):
        return f"Mimosaledge-Server-Load: {self.running},0,64\r\n"

    async def handle(self, line, headers, body, writer, peer):
        attempt = headers.get("mimosaledge-attempt-id", "")
        after = int(headers.get("last-event-id", 0))
        self.record.write(f"{self.id} ({self.version}) runs {attempt} after event {after}")
        self.running += 1
        try:
            writer.write((
                f"HTTP/1.1 200 OK\r\nMimosaledge-Attempt-Id: {attempt}\r\n"
                "Mimosaledge-Server-Seal: 3e1b.07\r\nContent-Type: text/event-stream\r\n"
                f"{self.extra_headers()}Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(after + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                event = f"id: {number}\ndata: {self.version}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


class Stream:
    """A client's stream, which it takes up again when it breaks."""

    def __init__(self, name, gateways, machines, record, pause=lambda: 0.3):
        """`pause` returns the time to wait before the next try."""
        self.name, self.gateways, self.record = name, gateways, record
        self.machines, self.pause = machines, pause
        self.last, self.first_attempt, self.versions, self.complete = 0, None, [], False
        self.refused = 0
        # For each try: its time, whether it takes the stream up, whether events came.
        self.tries = []

    async def run(self):
        end = self.record.now() + DEADLINE_S
        for number in range(12):
            left_s = end - self.record.now()
            if left_s < 0.5:
                return
            await self.attempt(f"{self.name}-{number}", left_s)
            if self.complete:
                return
            await asyncio.sleep(self.pause())

    async def attempt(self, attempt, left_s):
        machine = random.choice(list(self.machines))
        headers = {
            "X-Api-Key": "key-1", "Mimosaledge-Attempt-Id": attempt, "Content-Length": "0",
            "Mimosaledge-Deadline-Ms": str(int(left_s * 1000)), "Mimosaledge-Model-Id": "m",
            "Mimosaledge-Token-Usage": "730,80",
            "Mimosaledge-Prompt-Prefix":
                f"5c1e07a2:119,{zlib.crc32(self.name.encode()):x}:580,1:31",
        }
        if self.last:
            headers |= {"Last-Event-Id": str(self.last), "Resumes": self.first_attempt}
        writer, before = None, self.last
        at = self.record.now()
        try:
            reader, writer = await asyncio.open_connection(
                *self.gateways.client_address(machine))
            lines = [f"POST /chat/{self.name} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            head = await read_head(reader)
            if head is None or " 200 " not in head[0]:
                self.refused += 1
                return
            while True:
                size = int(await reader.readline(), 16)
                chunk = (await reader.readexactly(size + 2))[:-2].decode()
                if size == 0:
                    self.complete = True
                    return
                for event in chunk.split("\n\n")[:-1]:
                    self.take(event, attempt)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.tries.append((at, before > 0, self.last > before))
            if writer:
                writer.close()

    def take(self, event, attempt):
        lines = dict(line.split(": ", 1) for line in event.split("\n"))
        self.last = int(lines["id"])
        self.first_attempt = self.first_attempt or attempt
        if not self.versions or self.versions[-1] != lines["data"]:
            self.versions.append(lines["data"])
            if len(self.versions) > 1:
                self.record.write(f"{self.name}: event {self.last} is of {self.versions[-1]}, "
                                  f"those before of {self.versions[-2]}")
