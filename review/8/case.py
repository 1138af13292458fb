"""One server sends one answer without end, in small chunks; callers of other services wait."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "src-2"))
import rig as base  # noqa: E402

CHUNK = b"4\r\ntok \r\n"
EVENTS = 20
TROUBLE_S = 20


class Engine(base.Server):
    """Streams 20 events; a faulty one never ends its second event, until its caller closes."""

    faulty = False

    async def answer(self, request, reader, writer):
        identity = request.get("X-Attempt-Id")
        self.runs.append(request)
        self.record.line("run by %s: id=%s" % (self.instance, identity))
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\n\r\n"
                      % (identity, self.seal(request))).encode())
        for number in range(1, EVENTS + 1):
            if self.faulty and number == 2:
                await self.send_without_end(writer)
            event = b"id: %d\ndata: tok tok tok tok tok\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")

    async def send_without_end(self, writer):
        self.record.line("%s begins an event that it never ends" % self.instance)
        writer.write(b"c\r\nid: 2\ndata: \r\n")
        sent = 0
        try:
            while True:
                writer.write(CHUNK * 100)
                await writer.drain()
                sent += 100
        finally:
            self.record.line("%s sent %d chunks of 4 bytes" % (self.instance, sent))


async def stream(rig, gateway, identity):
    headers = ["X-Model: m", "X-Token-Counts: 800,100", "X-Prompt-Prefix: %x:800" % (0x5c1e07a2 + int(identity[7:]))]
    try:
        answer = await asyncio.wait_for(base.exchange(
            gateway.front, base.request("POST", b"/gen/x", identity, 25000, b"hello", headers)), 18)
        rig.record.line("stream %s at %s: %s, %d bytes" % (
            identity, gateway.node, answer and answer.status, len(answer.body) if answer else 0))
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        rig.record.line("stream %s at %s: %r" % (identity, gateway.node, error))


async def play(rig):
    await rig.start(gateways=3, app=3, pool=0)
    for number in range(3):
        await rig.add_server("i-pool-%d" % number, "pool", "z%d" % (number + 1), Engine)
    await asyncio.sleep(2)
    callers = base.Callers(rig)
    callers.start()
    await asyncio.sleep(3)
    rig.servers[3].faulty = base.TROUBLE
    rig.record.line("trouble: %s" % base.TROUBLE)
    streams = []
    for number in range(TROUBLE_S * 2):
        streams.append(asyncio.ensure_future(
            stream(rig, rig.gateways[number % 3], "stream-%d" % number)))
        await asyncio.sleep(0.5)
    await callers.stop()
    broken = callers.breaks_config()
    for gateway in rig.gateways:
        rig.record.line("%s ready: %s, running: %s" % (
            gateway.node, await gateway.is_ready(), gateway.process.poll() is None))
    return broken


base.main(FOLDER, play)
