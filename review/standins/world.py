"""A small deployment on loopback addresses: a store, engines and gateways.

The store and the callers live in this process; each engine and each gateway is
a process of its own.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http11
from store import Store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "callers.example"
PORTS = {"front": 8149, "readiness": 8141, "control": 8144,
         "directory": 8143, "metrics": 9100, "beats": 7380, "tunnels": 7395}
ZONES = ["sala-norte", "sala-sur", "sala-este"]


def fresh_ip():
    """Finds a loopback address on which all of a gateway's ports are free."""
    while True:
        ip = ".".join(["127"] + [str(random.randint(1, 250)) for _ in "abc"])
        try:
            for port in PORTS.values():
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as one:
                        one.bind((ip, port))
            return ip
        except OSError:
            continue


def free_port(ip):
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


def settings(name, zone, ip, seeds, store):
    """Fills deploy/settings.toml as for the small site calor-andino."""
    at = lambda port: f"{ip}:{PORTS[port]}"
    regions = "\n".join(f'"{one}" = "cusco"' for one in ZONES)
    seeds = ",".join(f'"{one}:{PORTS["control"]}"' for one in seeds)
    return f"""
instance = "{name}"
data_centre = "{zone}"
[regions]
{regions}
[callers]
requests = "{at('front')}"
ready = "{at('readiness')}"
addresses = "{at('directory')}"
metrics = "{at('metrics')}"
stop_s = 8
[peers]
heartbeats = "{at('beats')}"
state = "{at('control')}"
tunnels = "{at('tunnels')}"
seeds = [{seeds}]
strength = 0.25
link_mbps = 1000.0
[platform]
store = "{store}"
[retry]
ratio = 0.2
slack = 56
window_s = 10
[lease]
quiet_ms = 3000
[loads]
window_s = 5
"""


def route(path, kind, service, resumable=False, attempts=1, timeout_ms=15000,
          objective_ms=1500):
    return {
        "name": path, "host": HOST, "path_prefix": path, "kind": kind,
        "timeout_ms": timeout_ms, "objective_ms": objective_ms,
        "priority": 0, "service": service, "attempts": attempts,
        "sticky": kind == "streaming", "resumable": resumable,
        "gap_objective_ms": 400,
    }


def config(version, routes, models):
    model = lambda name: {
        "name": name, "weights_mb": 72700.0, "load_s": 4.2, "adapters": 0,
        "adapter_mb": 66.0, "warm_s": 0.4, "disk_s": 0.84,
    }
    engine = {
        "slots": 64, "kv_capacity": 254071, "weights_mb": 220000.0,
        "adapter_slots": 5, "loads_per_s": 2.1,
        "models": [model(name) for name in models],
    }
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": "asesor-llm", "health_path": "/healthz",
             "max_conns": 370, "engine": engine},
            {"name": "control-api", "health_path": "/healthz",
             "max_conns": 110},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


class World:
    """Everything that a script starts; `end` ends all of it."""

    def __init__(self, folder, record):
        self.folder, self.record = folder, open(record, "w", buffering=1)
        self.store = Store()
        self.children = {}  # name -> Popen
        self.engines = {}  # id -> row of the store
        self.gateways = {}  # name -> address
        self.began = time.time()

    def note(self, text):
        self.record.write(f"{time.time() - self.began:8.3f} {text}\n")

    async def start_store(self):
        ip = fresh_ip()
        port = free_port(ip)
        self.server = await asyncio.start_server(self.store.serve, ip, port)
        self.store_address = f"{ip}:{port}"
        self.note(f"the store serves at {self.store_address}")

    def child(self, name, words, env=None, log=None):
        out = open(os.path.join(self.folder, log or f"{name}.log"), "ab")
        kept = {"PATH": os.environ["PATH"], "PYTHONDONTWRITEBYTECODE": "1"}
        env = {**kept, **(env or {})}
        self.children[name] = subprocess.Popen(
            words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=out,
            stderr=out)

    def start_engine(self, name, program, service, models, env=None,
                     version="v1", slots=64, zone=None, ip=None, port=None):
        """Starts a server and writes its row."""
        ip = ip or fresh_ip()
        port = port or free_port(ip)
        log = os.path.join(self.folder, f"{name}.runs")
        words = [sys.executable, os.path.join(HERE, program), name, ip,
                 str(port), log, *models]
        self.child(name, words, env)
        zone = zone or ZONES[len(self.engines) % len(ZONES)]
        self.engines[name] = {
            "service": service, "address": f"{ip}:{port}", "zone": zone,
            "version": version, "slots": slots, "state": "ready",
            "cold_left_ms": 0, "phase": "both", "seq": 1,
            "models": [{"name": m, "version": 1, "adapters": []}
                       for m in models],
        }
        self.note(f"server {name} ({service}) serves at {ip}:{port}")

    def list_engine(self, name, **changes):
        """Writes a server's row."""
        self.engines[name].update(changes)
        self.store.put("servers", name, self.engines[name])
        if changes:
            self.note(f"servers/{name} is written with {changes}")

    async def until_listening(self, name):
        ip, port = self.engines[name]["address"].split(":")
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(ip, int(port))
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise Impossible(f"server {name} doesn't listen")

    async def beat(self):
        """Servers write to their rows while they run, every 1.2 s. The row of
        one that stays silent for three times that long is removed."""
        silent = {}
        while True:
            await asyncio.sleep(1.2)
            for name, row in list(self.engines.items()):
                if not self.is_running(name):
                    silent[name] = silent.get(name, 0) + 1
                    if silent[name] == 3:
                        self.store.remove("servers", name)
                        self.note(f"servers/{name} is removed")
                    continue
                if row["models"]:
                    row["models"] = await self.held_models(row)
                row["seq"] += 1
                self.store.put("servers", name, row)

    async def held_models(self, row):
        """Asks an engine what it holds, for its row."""
        ip, port = row["address"].split(":")
        try:
            got = await call(ip, int(port), "GET", "/api/report")
            return json.loads(got.body)["models"]
        except (OSError, ValueError):
            return row["models"]

    def is_running(self, name):
        child = self.children.get(name)
        return child is not None and child.poll() is None

    def start_gateway(self, name, zone, ip, seeds):
        """Starts a gateway with the command of the deploy file."""
        path = os.path.join(self.folder, f"{name}.toml")
        with open(path, "w") as file:
            file.write(settings(name, zone, ip, seeds, self.store_address))
        program = os.path.join(ROOT, "target/release/valehold-instance")
        if not os.path.exists(program):
            raise Impossible(f"{program} isn't built")
        self.child(name, [program, "gateway"], {"VALEHOLD_CONFIG": path})
        self.gateways[name] = ip
        self.note(f"gateway {name} starts at {ip}")

    async def start_gateways(self, count):
        ips = [fresh_ip() for _ in range(count)]
        for number, ip in enumerate(ips):
            zone = ZONES[number % len(ZONES)]
            self.start_gateway(f"edge-{number + 1}", zone, ip, ips[:3])
        for name in list(self.gateways):
            await self.until_ready(name)

    async def until_ready(self, name):
        ip = self.gateways[name]
        for _ in range(300):
            try:
                got = await call(ip, PORTS["readiness"], "GET", "/api/readyz")
                if got.status == 200:
                    self.note(f"gateway {name} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise Impossible(f"gateway {name} doesn't become ready")

    def signal(self, name, what):
        self.children[name].send_signal(what)
        self.note(f"{what.name} to {name}")

    def end(self):
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
        self.note("all processes have ended")

    def runs(self, name):
        """What a server wrote of its runs."""
        path = os.path.join(self.folder, f"{name}.runs")
        if not os.path.exists(path):
            return []
        with open(path) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]


class Impossible(Exception):
    """The case can't run."""


class Got:
    """An answer as a caller has it."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers = status, headers
        self.body, self.is_whole = body, is_whole


async def call(ip, port, method, path, headers=(), body=b"", on_head=None):
    """Makes a request on a connection of its own. Status 0: no answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        said = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        said += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            said.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(said) + "\r\n\r\n").encode() + body)
        await writer.drain()
        read = await http11.read_head(reader)
        if read is None:
            return Got(0, {}, b"", False)
        first, answered = read
        if on_head:
            on_head(first, answered)
        body, is_whole = await http11.read_body(reader, answered, to_end=True)
        return Got(int(first[1]), answered, body, is_whole)
    except ConnectionError:
        return Got(0, {}, b"", False)
    finally:
        writer.close()


def run_case(play, folder_of_case, limit_s=100):
    """Plays a case, ends all of its processes, and exits with its code."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(folder, os.path.join(folder_of_case, "record.txt"))
        loop = asyncio.new_event_loop()
        try:
            playing = asyncio.wait_for(play(world), limit_s)
            code = loop.run_until_complete(playing)
        except Exception as error:  # whatever it is, the case didn't run
            world.note(f"the case couldn't run: {error!r}")
            code = 2
        finally:
            world.end()
        world.note(f"exit {code}")
    sys.stdout.flush()
    # Tasks that still wait for connections are of no interest any more.
    os._exit(code)
