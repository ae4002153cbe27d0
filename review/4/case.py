"""LOST: a part of a prompt that crashes each server as it begins to write its answer."""

import asyncio, os, random, sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import standin as s

MACHINES, SERVERS = 6, 9
CONTACT_S, BACK_S, CRASHER_S, SOUND_S, PLAY_S = 3.0, 3.0, 0.25, 0.1, 40.0
# How much of the head has been written when the server crashes: part, none or whole.
WRITTEN = os.environ.get("WRITTEN", "part")


async def case(work, record, trouble, gateways):
    store, net = s.Store(), s.network()
    await store.start(net + "200")
    routes = [s.route("chat", "streaming", "model", timeoutMs=12000, latencyGoalMs=400,
                      sticky=True)]
    await store.put("keyed.op", "config", s.config(1, routes, {"firm": ["key-1"]}))
    arrivals, crashes, background, sound = [], [], set(), []

    async def handle(server, run, writer):
        if "bad:" not in run["headers"]["mimosaledge-prompt-prefix"]:
            writer.write(s.stream_head(server, run))
            for number in range(1, 6):
                await asyncio.sleep(0.05)
                writer.write(s.chunk(f"id: {number}\ndata: x\n\n".encode()))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return
        arrivals.append(run)
        record(f"{run['id']} runs at {server.ident}, sent by {run['from']}")
        await asyncio.sleep(0.06)
        head = s.stream_head(server, run)
        writer.write({"part": head[:40], "none": b"", "whole": head}[WRITTEN])
        await asyncio.sleep(0.02)
        if not server.crash():
            return
        crashes.append(s.time.monotonic())
        record(f"{server.ident} crashes")

        async def come_back():
            await asyncio.sleep(BACK_S)
            await server.start(server.ip)
        background.add(asyncio.create_task(come_back()))

    for number in range(SERVERS):
        await s.Server(store, record, f"i-{number}", "model", handle).start(net + "100")
    addresses = [f"{net}{10 + number}" for number in range(MACHINES)]
    for ip in addresses:
        gateways.append(s.Gateway(work, store, ip, addresses[:3], record))
        await gateways[-1].start(True)
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(CONTACT_S + 1)

    async def send(ident, middle, is_sound):
        gateway, at = random.choice(gateways), s.time.monotonic()
        headers = {"Mimosaledge-Attempt-Id": ident, "Mimosaledge-Deadline-Ms": 12000,
                   "X-Api-Key": "key-1", "Mimosaledge-Model-Id": "m",
                   "Mimosaledge-Token-Usage": "829,80",
                   "Mimosaledge-Prompt-Prefix":
                       f"5c1e07a2:119,{middle}:580,{random.getrandbits(32):x}:130"}
        reply = await s.request((gateway.ip, 8227), "POST", "/chat/2f", headers, ident.encode(), 13)
        record(f"{ident} sent to {gateway.ip} answered {reply['status']}")
        if is_sound:
            sound.append((at, reply["status"] == 200))

    async def repeat(name, interval, seconds, middles, is_sound):
        tasks, end = [], s.time.monotonic() + seconds
        while s.time.monotonic() < end:
            ident = f"{name}-{len(tasks)}"
            tasks.append(asyncio.create_task(send(ident, random.choice(middles), is_sound)))
            await asyncio.sleep(interval)
        await asyncio.gather(*tasks)

    others = [f"{number:x}" for number in range(0xA0, 0xA8)]
    jobs = [repeat("sound", SOUND_S, 8 + PLAY_S, others, True)]
    if trouble:
        async def crashers():
            await asyncio.sleep(8)
            await repeat("crasher", CRASHER_S, PLAY_S, ["bad"], False)
        jobs.append(crashers())
    await asyncio.gather(*jobs)

    # All machines are in touch throughout: nothing is done to them, their links or the store.
    first = crashes[0] if crashes else float("inf")
    last = crashes[min(len(crashes), 5) - 1] if crashes else float("inf")
    before = [served for at, served in sound if at < first - 1]
    then = [served for at, served in sound if at > last + 2 * CONTACT_S]
    late = [it for it in arrivals if len(crashes) > 4 and it["at"] > last + CONTACT_S]
    text = (f"{len(arrivals)} requests with the part reached servers, {len(crashes)} crashes; "
            f"sound requests begun before {sum(before)} of {len(before)}, later than 2 x contactMs "
            f"after the fifth crash {sum(then)} of {len(then)}; requests with the part that "
            f"reached servers later than contactMs after it {len(late)}")
    record(text)
    print(text)
    if len(before) < 20 or (trouble and len(then) < 20):
        raise RuntimeError("too few sound requests")
    return trouble and sum(then) / len(then) < sum(before) / len(before) / 2


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
