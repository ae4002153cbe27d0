"""LOST: streams that clients take up again after most machines were killed at once."""

import asyncio, json, os, signal, sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import standin as s

MACHINES, STREAMS, NEW, EVENTS, INTERVAL_S = 9, 240, 40, 50, 0.1
DEADLINE_MS, TRIES = 15000, 3
# KILLED=all kills the ninth machine as well; all are back after DOWN_S.
KILL_ALL, DOWN_S, CONTACT_S = os.environ.get("KILLED") == "all", 1.0, 3.0


async def stream(server, run, writer):
    """Sends the events after `Last-Event-Id`, as a resumable route allows."""
    writer.write(s.stream_head(server, run))
    for number in range(int(run["headers"].get("last-event-id", 0)) + 1, EVENTS + 1):
        data = f"id: {number}\ndata: {server.version} {server.ident}\n\n".encode()
        writer.write(s.chunk(data))
        await writer.drain()
        await asyncio.sleep(INTERVAL_S)
    writer.write(b"0\r\n\r\n")


async def read_events(reader, seen):
    """Appends the events to `seen` until the stream ends; returns whether it is complete."""
    try:
        while size := int(await reader.readline() or b"-1", 16):
            if size < 0:
                return False
            data = (await reader.readexactly(size + 2)).decode()
            for event in data.strip().split("\n\n"):
                lines = dict(it.split(": ", 1) for it in event.strip().split("\n"))
                seen.append((int(lines["id"]), lines["data"].split()[0]))
        return True
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return False


class Client:
    def __init__(self, number, record):
        self.name, self.record, self.seen, self.writer = f"c{number:03}", record, [], None
        self.tries, self.end = 0, 0

    async def attempt(self, gateway, headers):
        """One client attempt; returns its status (0: none) and whether the stream is complete."""
        self.tries += 1
        ident = f"{self.name}-{self.tries}"
        left = DEADLINE_MS if self.tries == 1 else int((self.end - s.time.monotonic()) * 1000)
        if self.tries == 1:
            self.end = s.time.monotonic() + DEADLINE_MS / 1000
        headers = {"Mimosaledge-Attempt-Id": ident, "Mimosaledge-Deadline-Ms": left,
                   "X-Api-Key": "key-1", "Mimosaledge-Model-Id": "m",
                   "Mimosaledge-Token-Usage": "1460,80",
                   "Mimosaledge-Prompt-Prefix": f"a:800,{abs(hash(self.name)):x}:100", **headers}
        self.record(f"{ident} sent to {gateway.ip} {headers.get('Last-Event-Id', '')}")
        try:
            reader, self.writer, head = await s.open_request(
                (gateway.ip, 8227), "POST", "/chat/2f", headers, b"prompt")
            status = int(head[0].split()[1]) if head else 0
            complete = status == 200 and await read_events(reader, self.seen)
            self.writer.close()
        except (OSError, asyncio.TimeoutError):
            head, status, complete = None, 0, False
        wait = float(head[1].get("retry-after", 0.2)) if head else 0.2
        self.record(f"{ident} answered {status} complete={complete} events={len(self.seen)}")
        return status, complete, wait

    async def take_up(self, gateway):
        """Takes the stream up at another machine; returns whether it goes on there."""
        for _ in range(TRIES):
            before = len(self.seen)
            status, _, wait = await self.attempt(
                gateway, {"Last-Event-Id": self.seen[-1][0], "Resumes": f"{self.name}-1"})
            if status == 200:
                return len(self.seen) > before
            await asyncio.sleep(wait)
        return False


async def case(work, record, trouble, gateways):
    store, net = s.Store(), s.network()
    await store.start(net + "200")
    route = s.route("chat", "streaming", "model", timeoutMs=15000, latencyGoalMs=600,
                    maxAttempts=2, sticky=True, resumable=True)
    await store.put("keyed.op", "config", s.config(1, [route], {"firm": ["key-1"]}))
    for number, version in enumerate(["v1", "v1", "v2", "v2"]):
        server = s.Server(store, record, f"i-{number}", "model", stream, version)
        await server.start(net + "100")
    addresses = [f"{net}{10 + number}" for number in range(MACHINES)]
    for ip in addresses:
        gateways.append(s.Gateway(work, store, ip, addresses[:3], record))
        await gateways[-1].start(True)
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(5)  # all machines are in touch

    survivor, killed = gateways[-1], gateways[:-1]
    clients = [Client(number, record) for number in range(STREAMS)]
    first = [asyncio.create_task(client.attempt(killed[number % len(killed)], {}))
             for number, client in enumerate(clients)]
    await asyncio.sleep(2)
    if trouble:
        for gateway in gateways if KILL_ALL else killed:
            gateway.signal(signal.SIGKILL)
    else:  # the clients' connections break, the machines live on
        for client in clients:
            s.reset(client.writer)
    await asyncio.wait(first)
    if trouble and KILL_ALL:
        await asyncio.sleep(DOWN_S)
        for gateway in gateways:
            await gateway.start(False)
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(CONTACT_S)  # the machines are in touch again
    begun = [it for it in clients if it.seen and len(it.seen) < EVENTS]
    fresh = [Client(900 + number, record) for number in range(NEW)]
    alive = gateways if KILL_ALL else [survivor]
    again = [asyncio.create_task(it.take_up(alive[number % len(alive)]))
             for number, it in enumerate(begun)]
    new = [asyncio.create_task(it.attempt(alive[number % len(alive)], {}))
           for number, it in enumerate(fresh)]
    went_on = sum(await asyncio.gather(*again))
    began = sum(status == 200 for status, _, _ in await asyncio.gather(*new))
    mixed = sum(len({version for _, version in it.seen}) > 1 for it in clients)
    share, new_share = went_on / max(len(begun), 1), began / NEW
    record(f"taken up {len(begun)}, went on {went_on} ({share:.2f}); "
           f"new {NEW}, began {began} ({new_share:.2f}); two versions in one stream: {mixed}")
    print(f"taken up {len(begun)} went on {went_on} new {NEW} began {began} mixed {mixed}")
    if len(begun) < 12 or not began:
        raise RuntimeError("too few streams")
    return share < new_share / 2


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
