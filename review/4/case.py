"""Engines spoil single events of a few answers; callers lose a sound event."""

import asyncio
import random
import re
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / "standins-2"))
import standins as vh  # noqa: E402

# The disruption: a third of the engines spoil 2 of 100 answers, twice for
# 5.5 s.
ENGINES, GARBLING, SHARE = 9, 3, 0.0224
FROM_S, FOR_S, LENGTH_S = (4.0, 12.0), 5.5, 20.0
PER_SECOND = 82


class GarblingEngine(vh.Engine):
    """An engine that, while it is told to, spoils one event of an answer: the
    bytes of its lines are wrong, so that they are no event any more. All else
    is sent as by a sound engine."""

    is_garbling = False
    spoiled = {}

    def chunks(self, request, after):
        chunks = super().chunks(request, after)
        if not self.is_garbling or random.random() >= SHARE:
            return chunks
        at = random.randrange(len(chunks))
        events = re.findall(rb".+?\n\n", chunks[at], re.DOTALL)
        spoiled = random.randrange(len(events))
        number = after + at * self.per_chunk + spoiled + 1
        events[spoiled] = bytes(
            byte if byte == 10 else byte ^ 0x95 for byte in events[spoiled])
        self.record.write("spoils", engine=self.name, id=request,
                          event=number)
        self.spoiled.setdefault(request, set()).add(number)
        chunks[at] = b"".join(events)
        return chunks


def judge(request, answer, spoiled):
    """Returns how a stream breaks the rule ORDER; None if it doesn't.

    Only complete streams are judged, and only by the pieces in them: bytes
    that are no piece are passed over. A piece that an engine itself spoiled
    may be lacking."""
    if answer.status != 200 or not answer.is_whole:
        return None
    pieces = [int(n) for n in re.findall(
        rb"id: (\d+)\ndata: word-\d+-of-" + request.encode() + rb"\n\n",
        answer.body)]
    expected = list(range(1, 25))
    if pieces == expected:
        return None
    lacking = sorted(set(expected) - set(pieces) - spoiled)
    if not lacking and pieces == sorted(set(pieces)):
        return None
    return (f"ORDER: the complete stream {request} lacks the pieces {lacking}"
            f"; it has {pieces}; an engine spoiled {sorted(spoiled)}")


async def main(record, work, gateways):
    net = vh.fresh_network()
    store = await vh.Store(f"{net}.1", record).start()
    engines = []
    for number in range(ENGINES):
        kind = GarblingEngine if number < GARBLING else vh.Engine
        engine = kind(f"{net}.{10 + number}", f"i-{number}", "llm", record,
                      ["m0", "m1"])
        # A chunk holds several events, as of an engine that writes what it
        # has made since it wrote last.
        engine.per_chunk, engine.pause_s = 6, 0.06
        engines.append(await engine.start())
    routes = [vh.route("/diag/", "streaming", "llm", resumable=True)]
    await store.put("op", "config", vh.config(3, routes))
    for engine in engines:
        await store.put("servers", engine.name, engine.row())
    seeds = [f"{net}.{100 + number}" for number in range(3)]
    port = vh.free_ports(seeds, 6)
    for ip, name in zip(seeds, ("g1", "g2", "g3")):
        gateways.append(vh.Gateway(ip, name, "north", store.address, seeds,
                                   work, port))
        await gateways[-1].start()
    for gateway in gateways:
        await gateway.until_ready()

    broken, calls = [], []
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def one(request, at):
        record.write("sent", id=request, to=at[0])
        answer = await vh.call(at, "/diag/2f", request,
                               vh.stream_headers("m0", request))
        pieces = re.findall(rb"id: (\d+)\n", answer.body)
        record.write("answered", id=request, status=answer.status,
                     whole=answer.is_whole, pieces=len(pieces))
        spoiled = GarblingEngine.spoiled.get(request, set())
        line = judge(request, answer, spoiled)
        if line:
            broken.append(line)

    for number in range(int(LENGTH_S * PER_SECOND)):
        due = began + number / PER_SECOND
        await asyncio.sleep(max(0, due - loop.time()))
        now = loop.time() - began
        is_on = vh.TROUBLE and any(
            at <= now < at + FOR_S for at in FROM_S)
        for engine in engines[:GARBLING]:
            engine.is_garbling = is_on
        at = random.choice(gateways).front
        request = f"{random.getrandbits(64):016x}"
        calls.append(asyncio.create_task(one(request, at)))
    await asyncio.gather(*calls)
    if sum(1 for call in calls if call.done()) < LENGTH_S * PER_SECOND * 0.9:
        raise vh.CannotRun("too few calls")
    return broken


vh.run_case(HERE / "record.txt", main)
