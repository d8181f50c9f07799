"""Stand-ins for the scripts of this review: store, engines, clients, gateways.

They speak what the platform's pages say, over loopback, on the real clock, and
behave soundly unless a script tells them otherwise. Python's standard library
only.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/valehold-instance"
HOST = "callers.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: exit 2."""


class Record:
    """Writes to a file what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now_ms(self):
        return round((time.monotonic() - self.began) * 1000)

    def write(self, what, **fields):
        line = {"at_ms": self.now_ms(), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- HTTP/1.1


class Head:
    """The first line and the headers of a message."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_chunks(reader):
    """Yields the chunks of a body; raises if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        yield (await reader.readexactly(size + 2))[:-2]


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding", ""):
        return b"".join([part async for part in read_chunks(reader)])
    return await reader.readexactly(int(head.get("content-length", "0")))


def whole(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def json_answer(value, status="200 OK"):
    body = json.dumps(value).encode()
    return whole(status, {"Content-Type": "application/json"}, body)


class Server:
    """Serves HTTP/1.1 at one address."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.listener = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        try:
            self.listener = await asyncio.start_server(
                self._serve, self.ip, self.port, limit=1 << 20)
        except OSError as error:
            raise CannotRun(f"{self.ip}:{self.port}: {error}") from error
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def stop(self):
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        # The event loop keeps only weak references to tasks.
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                if not await self.answer(head, body, reader, writer):
                    return
        except (ConnectionError, OSError, asyncio.IncompleteReadError,
                ValueError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def answer(self, head, body, reader, writer):
        raise NotImplementedError


# ------------------------------------------------------------------- store


class Store(Server):
    """The platform's store: rows, feeds and transactions."""

    def __init__(self, ip, record):
        super().__init__(ip, 0)
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.began = time.monotonic()

    def now_ms(self):
        return round((time.monotonic() - self.began) * 1000)

    async def put(self, table, key, value):
        """Writes a row (None removes it); the return is the acknowledgement."""
        async with self.changed:
            self.version += 1
            self._write(table, key, value)
            self.changed.notify_all()

    def _write(self, table, key, value):
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if value is None:
            row["gone"] = True
            self.rows.pop((table, key), None)
        else:
            if not isinstance(value, str):
                value = base64.b64encode(json.dumps(value).encode()).decode()
            row["value"] = value
            self.rows[(table, key)] = row
        self.history.append(row)

    def _page(self, rows):
        return json_answer({"rows": rows, "more": False, "ver": self.version,
                            "now_ms": self.now_ms()})

    async def answer(self, head, body, reader, writer):
        method, target, _ = head.first.split(" ", 2)
        path, _, query = target.partition("?")
        query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        await asyncio.sleep(0.004)
        if path == "/api/rows-get":
            rows = [row for (table, _), row in sorted(self.rows.items())
                    if table == query["table"]]
            answer = self._page(rows)
        elif path == "/api/rows-feed":
            answer = await self._feed(query)
        elif path == "/api/rows-tx":
            answer = await self._transact(json.loads(body))
        else:
            answer = whole("404 Not Found", {})
        writer.write(answer)
        await writer.drain()
        return True

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        async with self.changed:
            while True:
                rows = [row for row in self.history
                        if row["table"] == table and row["ver"] > after]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return self._page(rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, value):
        async with self.changed:
            for entry in value.get("expected_count", []):
                row = self.rows.get((entry["table"], entry["key"]))
                if entry["ver"] != (row["ver"] if row else 0):
                    return json_answer({"rows": []}, "412 Precondition Failed")
            self.version += 1
            for entry in value.get("put", []):
                self._write(entry["table"], entry["key"], entry["value"])
            for entry in value.get("remove", []):
                self._write(entry["table"], entry["key"], None)
            self.changed.notify_all()
            return json_answer({"ver": self.version,
                                "now_ms": self.now_ms()})


class Door:
    """A way to the store: a proxy that can be cut. While it is cut, nothing
    passes in either direction and nobody is told, on open connections and new
    ones; what was on its way is lost."""

    def __init__(self, ip, store):
        self.ip, self.store = ip, store
        self.is_cut = False
        self.reads_list = False
        self.listener = None
        self.tasks = set()

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, self.ip, 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        return self

    async def _serve(self, reader, writer):
        # The event loop keeps only weak references to tasks.
        self.tasks.add(asyncio.current_task())
        cut_before = self.is_cut
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.store.ip, self.store.port)
        except OSError:
            writer.close()
            return
        state = {"lost": cut_before}
        pumps = [self._pump(reader, far_writer, state, True),
                 self._pump(far_reader, writer, state, False)]
        try:
            await asyncio.gather(*pumps)
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()
            far_writer.close()

    async def _pump(self, reader, writer, state, is_outward):
        try:
            while data := await reader.read(1 << 16):
                # A connection that lost bytes never goes on.
                state["lost"] = state["lost"] or self.is_cut
                if state["lost"]:
                    continue
                if is_outward and b"table=servers&after" in data:
                    self.reads_list = True
                writer.write(data)
                await writer.drain()
            if not state["lost"] and not self.is_cut:
                writer.close()
        except (ConnectionError, OSError):
            writer.close()


# ------------------------------------------------------------------ engines


def event(number, text):
    return f"id: {number}\ndata: {text}\n\n".encode()


class Engine(Server):
    """A model engine, or a process of a plain service."""

    def __init__(self, ip, name, service, record, models=(), zone="north"):
        super().__init__(ip, 0)
        self.name, self.service, self.record = name, service, record
        self.models, self.zone = list(models), zone
        self.sequence = 0
        self.beats = 0
        self.leaves = False
        # The events of a stream, how many leave in one chunk, and the pause.
        self.events, self.per_chunk, self.pause_s = 24, 1, 0.02
        self.work_s = 0.015

    def row(self, state="ready"):
        self.beats += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 64,
                "state": state, "cold_left_ms": 0, "phase": "both",
                "models": self._models(), "seq": self.beats}

    def _models(self):
        return [{"name": name, "version": 1, "adapters": []}
                for name in self.models]

    async def answer(self, head, body, reader, writer):
        method, target, _ = head.first.split(" ", 2)
        meant = head.get("expect-instance")
        request = head.get("attempt-id")
        named = {"Attempt-Id": request} if request else {}
        if meant is not None and meant != self.name:
            writer.write(whole("421 Misdirected Request",
                               {"Instance-Id": self.name, **named}))
        elif target == "/healthz":
            status = "503 Service Unavailable" if self.leaves else "200 OK"
            writer.write(whole(status, {"Instance-Id": self.name}))
        elif target == "/api/report":
            writer.write(json_answer({
                "phase": "both", "models": self._models(), "busy": False,
                "seq": self.sequence, "queued": 0, "active": 0, "kv_used": 0,
                "kv_total": 254071, "handles": 0, "pending": [],
                "available": {"in_memory": [], "on_disk": []}}))
        elif target == "/api/order":
            writer.write(whole(self.order(json.loads(body)), {}))
        elif request is None:
            writer.write(whole("400 Bad Request", {"Not-Executed": "1"}))
        else:
            self.record.write("arrives", engine=self.name, id=request,
                              after=head.get("last-event-id"))
            return await self.run(request, head, body, reader, writer)
        await writer.drain()
        return True

    def order(self, order):
        self.record.write("order", engine=self.name, **order)
        if order.get("expected_count", self.sequence) != self.sequence:
            return "409 Conflict"
        self.sequence += 1
        if order.get("adapter") is None:
            if order["operation"] == "load":
                self.models.append(order["model"])
            else:
                self.models = [m for m in self.models if m != order["model"]]
        return "202 Accepted"

    def seal(self):
        return f"seal-{self.name}"

    async def run(self, request, head, body, reader, writer):
        if head.get("model") is None:
            await asyncio.sleep(self.work_s)
            answer = json.dumps({"from": self.name, "for": request}).encode()
            writer.write(whole("200 OK", {"Attempt-Id": request,
                                          "Server-Seal": self.seal()}, answer))
            await writer.drain()
            self.record.write("ran", engine=self.name, id=request)
            return True
        after = int(head.get("last-event-id", "0"))
        writer.write("\r\n".join([
            "HTTP/1.1 200 OK", f"Attempt-Id: {request}",
            f"Server-Seal: {self.seal()}", "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked", "", ""]).encode())
        chunks = self.chunks(request, after)
        for chunk in chunks:
            await asyncio.sleep(self.pause_s)
            writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.write("ran", engine=self.name, id=request, after=after)
        return True

    def chunks(self, request, after):
        """Returns the chunks of a stream that goes on after an event."""
        numbers = range(after + 1, self.events + 1)
        events = [event(n, f"word-{n}-of-{request}") for n in numbers]
        step = self.per_chunk
        return [b"".join(events[at:at + step])
                for at in range(0, len(events), step)]


# ------------------------------------------------------------ configuration


def route(prefix, kind, service, **more):
    return {"name": "r" + prefix.strip("/"), "host": HOST,
            "path_prefix": prefix, "kind": kind, "timeout_ms": 15000,
            "objective_ms": 1500, "priority": 0, "service": service,
            "attempts": 2, "sticky": True, "resumable": False,
            "gap_objective_ms": 400, **more}


def config(version, routes, models=("m0", "m1")):
    """A configuration like those of the small sites."""
    spec = [{"name": name, "weights_mb": 72700.0, "load_s": 4.2,
             "adapters": 0, "adapter_mb": 66.0} for name in models]
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/healthz", "max_conns": 370,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kv_capacity": 254071,
                        "weights_mb": 220000.0, "adapter_slots": 5,
                        "loads_per_s": 2.1, "models": spec}},
            {"name": "api", "health_path": "/healthz", "max_conns": 110,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


# ----------------------------------------------------------------- gateways


def fill(template, fields):
    """Fills the platform's template language, as far as the file uses it."""
    token = re.compile(r"\{\{([#^/]?)([^{}]*)\}\}")

    def look(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def render(text, scopes, key="", is_last=True):
        out, at = [], 0
        while True:
            found = token.search(text, at)
            if not found:
                return "".join(out) + text[at:]
            out.append(text[at:found.start()])
            mark, name = found.group(1), found.group(2)
            at = found.end()
            if mark in ("#", "^"):
                end = text.index("{{/" + name + "}}", at)
                inner, at = text[at:end], end + len(name) + 5
                value = look(name, scopes)
                given = value not in (None, False)
                if mark == "^":
                    out.append("" if given else render(inner, scopes))
                elif isinstance(value, (list, dict)):
                    pairs = list(value.items() if isinstance(value, dict)
                                 else enumerate(value))
                    for index, (name_, item) in enumerate(pairs):
                        out.append(render(inner, scopes + [item], name_,
                                          index == len(pairs) - 1))
                elif given:
                    out.append(render(inner, scopes))
            elif name == "@":
                out.append(str(key))
            elif name == ",":
                out.append("" if is_last else ",")
            else:
                name, _, form = name.partition("|")
                value = look(name, scopes)
                if form == "json":
                    out.append(json.dumps(value))
                elif isinstance(value, (list, dict)):
                    out.append(json.dumps(value))
                else:
                    out.append("" if value is None else str(value))

    return render(template, [fields])


BOUNDS = {
    "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
    "lease_ms": 3000, "ceiling_window_s": 5, "contact_ms": 3000,
}


def free_ports(ips, count):
    """Returns the first of some ports in a row that are free at all addresses.
    All machines of a deployment use the same ports."""
    for _ in range(50):
        first = random.randrange(10240, 32000)
        sockets = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = socket.socket(socket.AF_INET, kind)
                        sockets.append(one)
                        one.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise CannotRun("no free ports")


class Gateway:
    """A gateway as a process of its own, as the deploy file runs it."""

    def __init__(self, ip, name, zone, store, seeds, folder, port):
        self.ip, self.name = ip, name
        self.process = None
        self.front = (ip, port)
        self.ready_at = (ip, port + 1)
        self.folder = Path(folder) / name
        self.folder.mkdir()
        fields = {
            "node_name": name, "zone": zone, "region": "here", "ip": ip,
            "zones": {"north": "here", "south": "here", "east": "here"},
            "listen": {"front": f"{ip}:{port}",
                       "readiness": f"{ip}:{port + 1}",
                       "control": f"{ip}:{port + 2}",
                       "directory": f"{ip}:{port + 3}"},
            "port_range": [port + 4, port + 5],
            "seeds": [f"{seed}:{port + 2}" for seed in seeds],
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "cloud_api": {"address": store}, "bounds": BOUNDS,
        }
        template = (ROOT / "deploy/settings.toml").read_text()
        self.settings = self.folder / "boot.yaml"
        self.settings.write_text(fill(template, fields))

    async def start(self):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is not built")
        log = open(self.folder / "log", "ab")
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), "gateway", cwd=ROOT, stdout=log, stderr=log,
            env={**keep, "VALEHOLD_CONFIG": str(self.settings)})
        log.close()

    async def until_ready(self, within_s=10):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended: "
                                f"{(self.folder / 'log').read_text()[-500:]}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready_at)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head.first + " "
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


# ------------------------------------------------------------------ clients


class Answer:
    """What a client got: its status, seal, body, and whether that is whole."""

    def __init__(self, status=None, head=None, body=b"", is_whole=False):
        self.status, self.head = status, head
        self.body, self.is_whole = body, is_whole


async def call(at, path, request, headers=None, body=b"{}", method="POST",
               deadline_ms=15000):
    """Makes one client attempt on a new connection."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
             f"Attempt-Id: {request}", f"Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*at, limit=1 << 20), 1)
        writer.write("\r\n".join(lines).encode() + body)
        head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
        if head is None:
            return answer
        answer.status = int(head.first.split(" ")[1])
        answer.head = head
        until = time.monotonic() + deadline_ms / 1000
        if "chunked" in head.get("transfer-encoding", ""):
            chunks = read_chunks(reader)
            while True:
                left = until - time.monotonic()
                try:
                    answer.body += await asyncio.wait_for(
                        chunks.__anext__(), left)
                except StopAsyncIteration:
                    answer.is_whole = True
                    return answer
        length = int(head.get("content-length", "0"))
        answer.body = await asyncio.wait_for(
            reader.readexactly(length), until - time.monotonic())
        answer.is_whole = True
    except (OSError, ConnectionError, ValueError, asyncio.TimeoutError,
            asyncio.IncompleteReadError):
        pass
    finally:
        if writer:
            writer.close()
    return answer


def stream_headers(model, prompt):
    return {"Model": model, "Token-Count": "700,120",
            "Prompt-Prefix": f"5c1e07a2:200,{prompt}:500"}


def fresh_network():
    """Returns a part of the loopback range that nobody else is likely to use."""
    return f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"


def run_case(record_path, main):
    """Runs a case, and exits with 1 if the rule was broken, 0 if it held, and
    2 if the case could not run."""
    record = Record(record_path)

    async def guarded():
        with tempfile.TemporaryDirectory() as work:
            gateways = []
            try:
                return await asyncio.wait_for(
                    main(record, work, gateways), 115)
            finally:
                for gateway in gateways:
                    await gateway.end()

    try:
        broken = asyncio.run(guarded())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.write("cannot run", error=repr(error))
        print(f"cannot run: {error!r}")
        code = 2
    else:
        for line in broken:
            print(line)
            record.write("broken", line=line)
        code = 1 if broken else 0
        print("the rule was broken" if broken else "the rule held")
    record.write("result", code=code)
    record.close()
    sys.exit(code)
