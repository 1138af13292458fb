"""One part of a prompt crashes the servers that begin to answer it; the list of parts is long."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "src-2"))
import rig as base  # noqa: E402

SHARED_PARTS = ["%08x:6" % (0x5C1E0000 + n) for n in range(1200)]
POISON = "deadbeef"
MAX_HEADER_BYTES = 16384
ENGINES = 8
REQUESTS = 12
SOUND_EVERY = 4
GAP_S = 1
BACK_AFTER_S = 4


class Engine(base.Server):
    """Streams 20 events; crashes when it begins to answer a prompt with the poisonous part."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.writers = set()
        self.starts = 1

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, request, reader, writer):
        identity = request.get("X-Attempt-Id")
        self.runs.append(request)
        self.record.line("run by %s: id=%s" % (self.instance, identity))
        await asyncio.sleep(0.3)
        if POISON in request.get("X-Prompt-Prefix", ""):
            self.crash()
            raise ConnectionError()
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\n\r\n"
                      % (identity, self.seal(request))).encode())
        for number in range(1, 21):
            event = b"id: %d\ndata: tok\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    def crash(self):
        if not self.server.is_serving():
            return
        self.record.line("%s crashes" % self.instance)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.ensure_future(self.come_back())

    async def come_back(self):
        """The store removes the entry after three check-ins; the next start has another id."""
        await asyncio.sleep(3.6)
        self.store.remove("servers", self.instance)
        await asyncio.sleep(BACK_AFTER_S - 3.6)
        self.starts += 1
        self.instance = "%s.%d" % (self.instance.split(".")[0], self.starts)
        await self.start()
        self.record.line("%s is back" % self.instance)


async def stream(rig, gateway, number, is_poisonous):
    identity = "%s-%d" % ("poison" if is_poisonous else "sound", number)
    last = "%08x:6" % (0x11110000 + number + (0 if is_poisonous else 5000))
    parts = SHARED_PARTS + ([POISON + ":6"] if is_poisonous else []) + [last]
    body = b"prompt %d" % number
    data = base.request("POST", b"/gen/x", identity, 25000, body, [
        "X-Model: m", "X-Token-Counts: 7300,20", "X-Prompt-Prefix: " + ",".join(parts)])
    if len(data) - len(body) > MAX_HEADER_BYTES:
        raise base.CannotRun("the head is longer than the limit")
    try:
        answer = await asyncio.wait_for(base.exchange(gateway.front, data), 18)
        status = "closed" if answer is None else answer.status
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        status = repr(error)
    rig.record.line("stream %s at %s: %s" % (identity, gateway.node, status))


async def play(rig):
    await rig.start(gateways=3, app=3, pool=0)
    for number in range(ENGINES):
        engine = await rig.add_server(
            "i-pool-%d" % number, "pool", "z%d" % (number % 3 + 1), Engine)
        engine.slots = 64
        engine.beat()
    await asyncio.sleep(2)
    callers = base.Callers(rig, per_gateway=4)
    callers.start()
    await asyncio.sleep(2)
    rig.record.line("trouble: %s" % base.TROUBLE)
    streams = [asyncio.ensure_future(stream(rig, rig.gateways[0], 0, False))]
    await asyncio.sleep(2)
    for number in range(REQUESTS):
        streams.append(asyncio.ensure_future(
            stream(rig, rig.gateways[number % 3], number, base.TROUBLE)))
        if number % SOUND_EVERY == 2:
            streams.append(asyncio.ensure_future(
                stream(rig, rig.gateways[number % 3], 1 + number, False)))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(8)
    await callers.stop()
    broken = callers.breaks_config()
    for gateway in rig.gateways:
        rig.record.line("%s ready: %s, running: %s" % (
            gateway.node, await gateway.is_ready(), gateway.process.poll() is None))
    await asyncio.gather(*streams)
    return broken


base.main(FOLDER, play)
