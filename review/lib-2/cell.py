"""A small deployment on loopback: gateways with the settings of the deploy file, a store, runners and clients, for the scripts of cases.

Everything that a script starts ends with Cell.close(). The store, the runners and the clients are written for these cases.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests/scenarios"))
from gateways import render  # noqa: E402  the rendering of settings templates

ZONES = ("kl-a", "kl-b", "kl-c")
REGION = "kl"
HOST = "loans.example"
KEY = "9dnn2ctnfzs989anu6ws"
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lossSlackMs": 200, "configApplyMs": 2000, "backMs": 250, "maxStretchMs": 5000, "strictRevoke": False, "revokeMs": 5000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 54, "coldOver": 1.5, "coldSlack": 5, "evacMs": 5000,
          "recoverS": 12, "passMs": 120, "againS": 10}
MEMORY_MB = 260
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
ANSWER_S = 0.004  # of the store
RESTART_DELAY_S = 0.5
LONGEST_S = 110
# Exit statuses; those of Python itself, as 1 for an exception, must not count as a result.
HELD, BROKEN, NOT_RUN = 10, 11, 12


def free_port(address="127.0.0.1"):
    """A port outside the range that the system gives to connections of clients."""
    first = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    while True:
        port = random.randrange(10000, first)
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
                return port
            except OSError:
                continue


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


class Head:
    """The first line and the fields of a message."""

    def __init__(self, text):
        lines = text.split("\r\n")
        self.first = lines[0]
        self.fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.fields[name.strip().lower()] = value.strip()

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_message(reader):
    """Head and body of a request, or of a response with a length or chunks."""
    head = Head((await reader.readuntil(b"\r\n\r\n")).decode("latin-1")[:-4])
    body = b""
    if "chunked" in head.get("transfer-encoding", "").lower():
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif head.get("content-length"):
        body = await reader.readexactly(int(head.get("content-length")))
    return head, body


def answer_bytes(status, fields, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store as gateways see it: items, pages and watches."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key: (value bytes, revision, created)
        self.revision = 100
        self.events = []  # (revision, event)
        self.changed = asyncio.Event()
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (data, self.revision, created)
        self._event(self._item(key))

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._event({"key": key, "revision": self.revision, "removed": True})

    def _event(self, event):
        self.events.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key):
        data, revision, created = self.items[key]
        return {"key": key, "value": base64.b64encode(data).decode(), "revision": revision, "createdRev": created, "lease": 0}

    async def serve(self, reader, writer):
        try:
            while True:
                head, _ = await read_message(reader)
                await asyncio.sleep(ANSWER_S)
                words = head.first.split(" ")
                status, document = await self.call(words[1]) if len(words) == 3 else (400, {"error": "no request line"})
                if status != 200:
                    self.record.line(f"store: {status} to {head.first}")
                fields = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(answer_bytes(status, fields, json.dumps(document).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, target):
        path, _, query = target.partition("?")
        fields = {name: values[0] for name, values in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page, size = [], 0
            for key in keys[:PAGE_ITEMS]:
                page.append(self._item(key))
                size += len(page[-1]["value"])
                if size >= PAGE_BYTES:
                    break
            return 200, {"items": page, "currentRev": self.revision, "truncated": len(page) < len(keys)}
        if path == "/api/kv-key":
            key = fields.get("key", "")
            return (200, dict(self._item(key), currentRev=self.revision)) if key in self.items else (404, {"error": "none"})
        if path == "/api/kv-watch":
            since = int(after)
            deadline = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
            while True:
                if since > self.revision:
                    return 410, {"error": "no such revision"}
                found = [event for revision, event in self.events if revision > since and event["key"].startswith(prefix)]
                left = deadline - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {"error": "unknown"}


class Gateway:
    def __init__(self, name, zone, address):
        self.name, self.zone, self.address = name, zone, address
        self.ports = {part: free_port(address) for part in ("front", "ready", "control")}
        self.process = None


class Cell:
    """Starts and ends all of it."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.work = tempfile.TemporaryDirectory(prefix="cassiarelay-case-")
        self.store = Store(self.record)
        self.gateways = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self.command = deploy["run"].split()
        self.template = (ROOT / deploy["template"]).read_text()
        self.metrics_port = free_port()
        if not (ROOT / self.command[0]).is_file():
            raise RuntimeError(f"{self.command[0]} is missing: build first")

    def add_gateways(self, count):
        network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        for index in range(count):
            self.gateways.append(Gateway(f"front-{index + 1}", ZONES[index % len(ZONES)], f"{network}.{index + 1}"))

    def start_gateway(self, gateway):
        fields = {
            "node": gateway.name, "role": "gateway", "machineClass": "front", "serves": ["front", "control"], "ip": gateway.address,
            "zone": gateway.zone, "region": REGION, "zones": {zone: REGION for zone in ZONES},
            "listen": {part: f"{gateway.address}:{port}" for part, port in gateway.ports.items()},
            "seeds": [f"{other.address}:{other.ports['control']}" for other in self.gateways[:3]],
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
            "bounds": BOUNDS, "platform": {"address": f"127.0.0.1:{self.store.port}"}}
        path = pathlib.Path(self.work.name) / f"{gateway.name}.json"
        path.write_text(render(self.template, fields))
        command = [str(path) if word == "/etc/cassiarelay/node.json" else word for word in self.command]
        command[0] = str(ROOT / command[0])
        log = open(pathlib.Path(self.work.name) / f"{gateway.name}.log", "ab")
        gateway.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record.line(f"platform: started {gateway.name}")

    async def start_gateways(self):
        for gateway in self.gateways:
            self.start_gateway(gateway)
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    async def wait_ready(self, gateway, limit_s=15):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if await self.is_ready(gateway):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{gateway.name} does not get ready")

    async def is_ready(self, gateway):
        try:
            reader, writer = await asyncio.open_connection(gateway.address, gateway.ports["ready"])
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return head.first.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def close(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        self.work.cleanup()
        self.record.close()


class Runner:
    """A runner that answers a route with a stream. What it does with a request is up to behave(runner, head, body, writer)."""

    numbers = itertools.count(1)

    def __init__(self, cell, service, zone, behave, **entry):
        self.cell, self.service, self.zone, self.behave = cell, service, zone, behave
        self.entry = dict({"version": "v1", "slots": 48, "coldRemainingMs": 0}, **entry)
        self.port = free_port()
        self.server = None
        self.writers = set()
        self.id = None
        self.is_down = False

    async def start(self):
        """Begins a new incarnation."""
        number = next(self.numbers)
        self.id = f"i-{number:04d}"
        self.born = int(time.time() * 1000) + number
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.is_down = False
        self.publish()

    def publish(self):
        self.cell.store.put(f"servers/{self.id}", dict(self.entry, service=self.service, address=f"127.0.0.1:{self.port}", zone=self.zone,
                                                       state="ready", seq=1, born=self.born))

    def stop_listening(self):
        self.is_down = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def crash(self, away_s, entry_lasts_s=3.6):
        """Resets all connections, and comes back as a new incarnation; the store removes the silent entry after three heartbeats."""
        gone = f"servers/{self.id}"
        self.stop_listening()
        asyncio.get_running_loop().call_later(entry_lasts_s, self.cell.store.remove, gone)
        await asyncio.sleep(away_s)
        await self.start()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head, body = await read_message(reader)
                if head.get("x-cassiarelay-expect-instance", self.id) != self.id:
                    writer.write(answer_bytes(421, self.fields(head, stamped=False), b""))
                else:
                    await self.behave(self, head, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def fields(self, head, stamped=True):
        request = head.get("x-cassiarelay-request-id", "")
        fields = {"X-Cassiarelay-Request-Id": request, "X-Cassiarelay-Instance-Id": self.id}
        fields.update({"X-Cassiarelay-Response-Stamp": f"{self.id}.{request}"} if stamped else {"X-Cassiarelay-Not-Executed": "1"})
        return fields

    async def stream(self, head, writer, events, gap_s):
        """Answers with events, from the one after Last-Event-Id on."""
        fields = dict(self.fields(head), **{"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode())
        for number in range(int(head.get("last-event-id", "0")) + 1, events + 1):
            event = f"id: {number}\ndata: {self.id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")


async def send(gateway, path, request, fields=None, body=b"", deadline_ms=15000):
    """One client attempt on a connection of its own; returns the status, or what there was instead of a whole answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(gateway.address, gateway.ports["front"]), 1)
        head = {"Host": HOST, "X-Cassiarelay-Request-Id": request, "X-Cassiarelay-Deadline-Ms": str(deadline_ms),
                "Authorization": f"Bearer {KEY}", "Content-Length": str(len(body)), **(fields or {})}
        writer.write((f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in head.items()) + "\r\n").encode() + body)
        await writer.drain()
        answer, _ = await asyncio.wait_for(read_message(reader), deadline_ms / 1000)
        return answer.first.split(" ")[1]
    except asyncio.TimeoutError:
        return "no answer"
    except (OSError, asyncio.IncompleteReadError):
        return "cut"
    finally:
        if writer:
            writer.close()


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case):
    """Runs the coroutine case(cell); it returns True if the rule held. run.sh turns the exit status into that of the case."""
    try:
        cell = Cell(folder)
    except Exception as failure:  # the case can't run at all
        print(f"could not run: {failure}")
        sys.exit(NOT_RUN)
    try:
        held = asyncio.run(asyncio.wait_for(case(cell), LONGEST_S))
    except Exception as failure:
        cell.record.line(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}")
        sys.exit(NOT_RUN)
    finally:
        cell.close()
    sys.exit(HELD if held else BROKEN)
