"""A model engine as a process of its own: engine.py ID ADDRESS PORT LOG MODEL...

It runs streams of EVENTS events, one each GAP seconds, and closes none early.
Each UNFRAMED-th of its answers has neither a length nor chunks and ends with
its connection; all others come in chunks.

It takes one order at a time, with `expected_count`, and loads a model in LOAD_S
seconds. It has room for WEIGHTS_MB, each model being MODEL_MB; if it is ordered
to load beyond that, it falls: the process ends. Reports are 100 ms old. Its log
has one line for each order and each event of a run.
"""

import asyncio
import json
import os
import sys
import time

import http11

ID, ADDRESS, PORT, LOG = sys.argv[1:5]
EVENTS = int(os.environ.get("EVENTS", "60"))
GAP = float(os.environ.get("GAP", "0.1"))
UNFRAMED = int(os.environ.get("UNFRAMED", "0"))
LOAD_S = float(os.environ.get("LOAD_S", "4.2"))
UNLOAD_S = float(os.environ.get("UNLOAD_S", "0.2"))
WEIGHTS_MB = float(os.environ.get("WEIGHTS_MB", "220000"))
MODEL_MB = float(os.environ.get("MODEL_MB", "72700"))
LAG_S = 0.1

models = set(sys.argv[5:])
taken = 0  # orders
busy = None  # the model that is loaded or unloaded now
answers = 0
running = 0
reports = []  # (time, report), the oldest first
log = open(LOG, "a", buffering=1)


def note(**what):
    what = {"at": round(time.time(), 3), "engine": ID, **what}
    log.write(json.dumps(what) + "\n")


def report():
    held = [{"name": m, "version": 1, "adapters": []} for m in sorted(models)]
    return {
        "phase": "both", "models": held, "busy": busy is not None,
        "seq": taken, "queued": 0, "active": running, "kv_used": 0,
        "kv_total": 254071, "handles": 0, "pending": [],
        "available": {"in_memory": [], "on_disk": []},
    }


async def keep_reports():
    while True:
        reports.append((time.monotonic(), report()))
        while len(reports) > 1 and reports[1][0] < time.monotonic() - LAG_S:
            reports.pop(0)
        await asyncio.sleep(0.01)


async def carry_out(operation, model):
    global busy
    await asyncio.sleep(LOAD_S if operation == "load" else UNLOAD_S)
    (models.add if operation == "load" else models.discard)(model)
    busy = None
    note(done=operation, model=model, holds=sorted(models))


def order(call):
    """Takes an order. Returns the answer's status."""
    global taken, busy
    operation, model = call["operation"], call["model"]
    if "owner" not in call or "fencing_token" not in call:
        return 400
    if operation not in ("load", "unload") or call.get("adapter"):
        return 400
    if busy is not None or call.get("expected_count", taken) != taken:
        return 409
    if (operation == "load") == (model in models):
        return 200
    held_mb = len(models) * MODEL_MB
    if operation == "load" and held_mb + MODEL_MB > WEIGHTS_MB:
        note(fell=model, holds=sorted(models), held_mb=held_mb,
             ordered_mb=MODEL_MB, weights_mb=WEIGHTS_MB, order=call)
        return None
    taken += 1
    busy = model
    asyncio.get_running_loop().create_task(carry_out(operation, model))
    return 202


async def run(writer, headers):
    """Runs a request. Returns whether the connection may be used again."""
    global answers, running
    attempt = headers.get("attempt-id", "")
    model = headers.get("model", "")
    if headers.get("expect-instance", ID) != ID or model not in models:
        said = [("Attempt-Id", attempt)]
        writer.write(http11.answer(421, "Misdirected Request", b"", said))
        return True
    answers += 1
    unframed = UNFRAMED > 0 and answers % UNFRAMED == 0
    first = int(headers.get("last-event-id", "0")) + 1
    note(run=attempt, unframed=unframed, first=first, last=EVENTS)
    running += 1
    try:
        said = [("Attempt-Id", attempt), ("Server-Seal", f"seal.{attempt}"),
                ("Content-Type", "text/event-stream")]
        if not unframed:
            said.append(("Transfer-Encoding", "chunked"))
        writer.write(http11.head(200, "OK", said))
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(GAP)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if not unframed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            note(run=attempt, event=number)
        if not unframed:
            writer.write(b"0\r\n\r\n")
        note(run=attempt, ended=True)
        return not unframed
    finally:
        running -= 1


async def serve(reader, writer):
    try:
        while (read := await http11.read_head(reader)) is not None:
            (method, target, _), headers = read
            body, _ = await http11.read_body(reader, headers)
            path = target.split("?")[0]
            if path == "/api/report":
                kind = [("Content-Type", "application/json")]
                text = json.dumps(reports[0][1]).encode()
                writer.write(http11.answer(200, "OK", text, kind))
            elif path == "/healthz":
                said = [("Instance-Id", ID)]
                writer.write(http11.answer(200, "OK", b"", said))
            elif path == "/api/order":
                if headers.get("expect-instance", ID) != ID:
                    writer.write(http11.answer(421, "Misdirected Request"))
                else:
                    call = json.loads(body)
                    status = order(call)
                    note(order=call, status=status)
                    if status is None:
                        os._exit(1)
                    writer.write(http11.answer(status, "-"))
            elif not await run(writer, headers):
                break
            await writer.drain()
    except (ConnectionError, asyncio.CancelledError):
        pass  # the other side left
    finally:
        writer.close()


async def main():
    reports.append((time.monotonic(), report()))
    keeping = asyncio.create_task(keep_reports())
    server = await asyncio.start_server(serve, ADDRESS, int(PORT))
    async with server:
        await asyncio.gather(server.serve_forever(), keeping)


asyncio.run(main())
