"""The gateways that watch the list are cut from the store; the others go on
sending to a process that leaves."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / "standins-2"))
import standins as vh  # noqa: E402

# The disruption: three of nine gateways are cut from the store for 12 s.
GATEWAYS, CUT, CUT_S = 9, 3, 12.0
DRAIN_MS, PER_SECOND = 2000, 90
CUT_AT_S, LENGTH_S = 8.0, 14.0


async def main(record, work, gateways):
    net = vh.fresh_network()
    store = await vh.Store(f"{net}.1", record).start()
    processes = []
    for number in range(4):
        process = vh.Engine(f"{net}.{10 + number}", f"p-{number}", "api",
                            record)
        processes.append(await process.start())
    routes = [vh.route("/read/", "unsafe", "api", attempts=1, timeout_ms=600,
                       objective_ms=100, sticky=False)]
    await store.put("op", "config", vh.config(3, routes))
    for process in processes:
        await store.put("servers", process.name, process.row())
    ips = [f"{net}.{100 + number}" for number in range(GATEWAYS)]
    doors = []
    port = vh.free_ports(ips, 6)
    for number, ip in enumerate(ips):
        doors.append(await vh.Door(f"{net}.{50 + number}", store).start())
        gateways.append(vh.Gateway(
            ip, f"edge-{number}", ("north", "south", "east")[number % 3],
            doors[-1].address, ips[:3], work, port))
        await gateways[-1].start()
    for gateway in gateways:
        await gateway.until_ready()
    await asyncio.sleep(3)
    for door in doors:
        door.reads_list = False

    sent_to = {}
    loop = asyncio.get_running_loop()
    began = loop.time()
    acked = None

    async def one(request, gateway):
        record.write("sent", id=request, to=gateway.name)
        answer = await vh.call(gateway.front, "/read/2f", request,
                               deadline_ms=600)
        record.write("answered", id=request, status=answer.status)

    async def operate():
        """What the operator and the platform do, and the cut."""
        nonlocal acked
        await asyncio.sleep(CUT_AT_S - 0.1)
        # A process leaves, and the configuration changes.
        await store.put("servers", "p-3", processes[3].row("draining"))
        await store.put("op", "config", vh.config(9, routes))
        await asyncio.sleep(0.1)
        watching = [i for i, door in enumerate(doors) if door.reads_list]
        record.write("watching", gateways=watching)
        if len(watching) != CUT:
            raise vh.CannotRun(f"{watching} watch the list")
        if vh.TROUBLE:
            for i in watching:
                doors[i].is_cut = True
            record.write("cut", gateways=watching)
        await asyncio.sleep(0.02)
        # The next process leaves: the store has taken that now.
        await store.put("servers", "p-2", processes[2].row("draining"))
        acked = record.now_ms()
        record.write("leaves", engine="p-2", acked_at_ms=acked)
        return watching

    # What arrives at the process that leaves.
    late = []
    plain = record.write

    def watch(what, **fields):
        plain(what, **fields)
        if (what == "arrives" and fields["engine"] == "p-2"
                and acked is not None):
            after = record.now_ms() - acked
            if after > DRAIN_MS:
                late.append((after, fields["id"]))

    record.write = watch
    operating = asyncio.create_task(operate())
    calls = []
    for number in range(int(LENGTH_S * PER_SECOND)):
        due = began + number / PER_SECOND
        await asyncio.sleep(max(0, due - loop.time()))
        if operating.done() and operating.exception():
            raise operating.exception()
        index = random.randrange(GATEWAYS)
        request = f"{random.getrandbits(64):016x}"
        sent_to[request] = index
        calls.append(asyncio.create_task(one(request, gateways[index])))
    await asyncio.gather(*calls)
    watching = await operating
    # Machines that were cut are not in touch, and not bound.
    return [f"DRAIN: {request} reached p-2 through {gateways[index].name} "
            f"{after} ms after the store had taken that it leaves "
            f"(bound {DRAIN_MS} ms)"
            for after, request in late
            for index in [sent_to[request]] if index not in watching]


vh.run_case(HERE / "record.txt", main)
