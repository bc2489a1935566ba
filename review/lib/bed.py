"""Test bed of the review: daemons of this project as separate processes, and small stand-ins of the platform's store, of
runners and of clients, all on loopback addresses.

The stand-ins follow PROTOCOL.md. A script brings its one disruption about by itself and checks one rule.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests/scenarios"))

from gateways import render  # noqa: E402  (fills in a settings template as the platform does)

HOST = "desk.example"
KEY = "review-key"
TENANT = "agency"
REGION = "cap-vert"
ZONES = ["medina", "hann", "ouakam"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMON = ROOT / "target/src/app/cassiarelayd/cassiarelayd"
# Bounds of the site teranga-relay.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lossSlackMs": 200, "configApplyMs": 2000, "backMs": 250, "maxStretchMs": 5000, "strictRevoke": False,
          "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "coldOver": 1.5, "coldSlack": 5,
          "evacMs": 5000, "recoverS": 12, "passMs": 120, "againS": 10}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
STATUS_TEXT = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 500: "Internal Server Error",
               503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


class Message:
    """One HTTP message that was read."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body
        self.at = time.monotonic()

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_request(reader):
    """The next request of a connection, or None when it ended."""
    try:
        start, headers = await read_head(reader)
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            async for part in chunks(reader):
                body += part
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return Message(start, headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None


async def chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        part = await reader.readexactly(size)
        await reader.readexactly(2)
        yield part


def response(status, headers=(), body=b"", length=True):
    lines = [f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in dict(headers).items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server on a loopback address; subclasses answer one request after the other on each connection."""

    def __init__(self, address):
        self.address = address
        self.port = None
        self.connections = set()
        self._server = None

    @property
    def endpoint(self):
        return f"{self.address}:{self.port}"

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, self.address, port, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if not await self.answer(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: items, pages and watches, as PROTOCOL.md says."""

    HISTORY_S = 20

    def __init__(self, address):
        super().__init__(address)
        self.revision = 100
        self.items = {}
        self.events = []  # (time, revision, event)
        self.changed = asyncio.Condition()
        self.waiting = set()  # writers of watches that wait
        self.acks = []  # (time, key, what)

    async def put(self, key, document):
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "createdRev": created, "lease": 0}
        self.items[key] = item
        await self._publish(item)

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        await self._publish({"key": key, "revision": self.revision, "removed": True})

    async def _publish(self, event):
        now = time.monotonic()
        self.events = [entry for entry in self.events if entry[0] + self.HISTORY_S > now]
        self.events.append((now, self.revision, event))
        self.acks.append((now, event["key"], "removed" if event.get("removed") else "written"))
        async with self.changed:
            self.changed.notify_all()

    def cut_watches(self):
        """Cuts the watches that are waiting; returns how many."""
        cut = list(self.waiting)
        for writer in cut:
            writer.close()
        return len(cut)

    async def answer(self, request, reader, writer):
        answer = await self.reply(request, writer)
        if answer is None:
            return False
        writer.write(answer)
        return True

    async def reply(self, request, writer, shown=lambda item: item):
        """The answer to a call, with its items as shown; None if its connection was cut."""
        path, _, query = request.target.partition("?")
        arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
        await asyncio.sleep(0.004)
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items if key.startswith(arguments.get("prefix", "")) and key > arguments.get("after", ""))
            document = {"items": [shown(self.items[key]) for key in keys[:500]], "truncated": len(keys) > 500, "currentRev": self.revision}
        elif path == "/api/kv-watch":
            document = await self.watch(int(arguments["after"]), int(arguments["waitMs"]) / 1000, writer)
            if document is None:
                return None
            document["events"] = [shown(event) for event in document["events"]]
        else:
            return response(404, {"Store-Era": 1})
        return response(200, {"Content-Type": "application/json", "Store-Era": 1}, json.dumps(document).encode())

    async def watch(self, after, wait_s, writer):
        end = time.monotonic() + wait_s
        self.waiting.add(writer)
        try:
            while True:
                events = [event for _, revision, event in self.events if revision > after]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "currentRev": self.revision}
                if writer.is_closing():
                    return None
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), min(left, 0.02))
                    except asyncio.TimeoutError:
                        pass
        finally:
            self.waiting.discard(writer)


class Door(Server):
    """An address of the store for one daemon; while it is silent, nothing that was or is asked there is answered.

    With links, it shows the daemon its own way to each runner.
    """

    def __init__(self, store, address, links=None):
        super().__init__(address)
        self.store = store
        self.links = links
        self.silent = False

    def shown(self, item):
        if not self.links or not item["key"].startswith("servers/") or "value" not in item:
            return item
        document = json.loads(base64.b64decode(item["value"]))
        document["address"] = f"{self.links.address}:{document['address'].partition(':')[2]}"
        return dict(item, value=base64.b64encode(json.dumps(document).encode()).decode())

    async def answer(self, request, reader, writer):
        answer = await self.store.reply(request, writer, self.shown)
        if self.silent:
            await asyncio.sleep(3600)
        if answer is None:
            return False
        writer.write(answer)
        return True


class Links:
    """The ways of one daemon to all runners: TCP relays at an address of its own, with the ports of the runners."""

    def __init__(self, address, runners):
        self.address = address
        self.runners = runners
        self.servers = []
        self.writers = set()

    async def mend(self):
        for runner in self.runners:
            self.servers.append(await asyncio.start_server(lambda reader, writer, runner=runner: self._serve(reader, writer, runner),
                                                           self.address, runner.port))

    def cut(self):
        """Resets all connections, and refuses new ones."""
        for server in self.servers:
            server.close()
        self.servers = []
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer, runner):
        try:
            far_reader, far_writer = await asyncio.open_connection(runner.address, runner.port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        self.writers -= {writer, far_writer}

    @staticmethod
    async def _pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()


class Runner(Server):
    """A runner of one service; answers plain requests after its work, and streams on stream routes."""

    numbers = itertools.count(1)
    WORK_S = 0.02

    def __init__(self, bed, service, zone, slots=64, version="1"):
        super().__init__(bed.runner_address)
        self.bed = bed
        self.service = service
        self.zone = zone
        self.slots = slots
        self.version = version
        self.id = f"i-{service}-{next(self.numbers)}"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.more_headers = {}
        self.state = "ready"

    @property
    def key(self):
        return f"servers/{self.id}"

    def document(self):
        return {"service": self.service, "address": self.endpoint, "zone": self.zone, "version": self.version, "slots": self.slots,
                "state": self.state, "coldRemainingMs": 0, "seq": 1, "born": self.born}

    def headers(self, request):
        fields = {"X-Cassiarelay-Instance-Load": f"{self.running},0,{self.slots}", **self.more_headers}
        if "x-cassiarelay-request-id" in request.headers:
            fields["X-Cassiarelay-Request-Id"] = request.headers["x-cassiarelay-request-id"]
        return fields

    def expects_other(self, request):
        return request.headers.get("x-cassiarelay-expect-instance", self.id) != self.id

    async def answer(self, request, reader, writer):
        if request.target.startswith("/healthz"):
            writer.write(response(200 if self.state == "ready" else 503, {**self.headers(request), "X-Cassiarelay-Instance-Id": self.id}))
            return True
        if self.expects_other(request):
            writer.write(response(421, {"X-Cassiarelay-Instance-Id": self.id}))
            return True
        self.running += 1
        try:
            return await self.run(request, reader, writer)
        finally:
            self.running -= 1

    def stamp(self, request):
        return {"X-Cassiarelay-Response-Stamp": f"{self.id}.{request.headers.get('x-cassiarelay-request-id', '')}"}

    def note_run(self, request):
        self.bed.runs.append((time.monotonic(), self, request))

    async def run(self, request, reader, writer):
        self.note_run(request)
        await asyncio.sleep(self.WORK_S)
        writer.write(response(200, {**self.headers(request), **self.stamp(request)}, b"done " + request.headers["x-cassiarelay-request-id"].encode()))
        return True


class StreamRunner(Runner):
    """A model runner: a stream of events, chunked."""

    EVENTS = 8
    GAP_S = 0.02

    async def run(self, request, reader, writer):
        self.note_run(request)
        writer.write(response(200, {**self.headers(request), **self.stamp(request), "Content-Type": "text/event-stream",
                                    "Transfer-Encoding": "chunked"}, length=False))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.EVENTS + 1):
            event = f"id: {number}\ndata: {request.headers['x-cassiarelay-request-id']} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.GAP_S)
        writer.write(b"0\r\n\r\n")
        return True


class StageRunner(Runner):
    """A runner of pieces: one call at a time; remembers for which piece it made each result."""

    results = itertools.count(1)

    def __init__(self, bed, service, zone, call_s, item_s, queue=2):
        super().__init__(bed, service, zone, slots=1)
        self.call_s = call_s
        self.item_s = item_s
        self.queue = queue
        self.slot = asyncio.Lock()
        self.waiting = 0

    def headers(self, request):
        fields = super().headers(request)
        fields["X-Cassiarelay-Instance-Load"] = f"{int(self.slot.locked())},{self.waiting},1"
        return fields

    async def run(self, request, reader, writer):
        if request.target == "/api/stage-free":
            writer.write(response(200, self.headers(request)))
            return True
        if request.target == "/api/report":
            body = json.dumps({"queued": self.waiting, "busy": self.slot.locked(), "freeMb": 1000}).encode()
            writer.write(response(200, {**self.headers(request), "Content-Type": "application/json"}, body))
            return True
        if self.slot.locked() and self.waiting >= self.queue:
            writer.write(response(503, {**self.headers(request), "X-Cassiarelay-Not-Executed": 1}))
            return True
        items = json.loads(request.body)["items"]
        self.waiting += 1
        await self.slot.acquire()
        self.waiting -= 1
        try:
            self.bed.calls.append((time.monotonic(), self, items))
            await asyncio.sleep(self.call_s + self.item_s * len(items))
            answers = []
            for item in items:
                handle = f"{self.endpoint}/{next(self.results):x}"
                self.bed.made[handle] = (item["id"], item["stage"], item["piece"])
                answers.append({"handle": handle})
        finally:
            self.slot.release()
        await self.send(response(200, {**self.headers(request), "Content-Type": "application/json"},
                                 json.dumps({"items": answers}).encode()), reader, writer)
        return True

    async def send(self, text, reader, writer):
        writer.write(text)


class Daemon:
    FRONT, READY, CONTROL = 8600, 8601, 8602

    def __init__(self, name, zone, address):
        self.name = name
        self.zone = zone
        self.address = address
        self.process = None

    def at(self, port):
        return f"{self.address}:{port}"


class Answer:
    def __init__(self, request_id):
        self.request_id = request_id
        self.status = None
        self.headers = {}
        self.body = b""
        self.end = "lost"  # whole, broken or lost
        self.sent_at = None
        self.first_at = None
        self.ended_at = None


class Bed:
    """One fleet with its stand-ins; ends all processes that it started."""

    def __init__(self, case):
        self.folder = pathlib.Path(case).resolve()
        self.network = f"127.{random.randrange(1, 255)}.{random.randrange(255)}"
        self.runner_address = f"{self.network}.200"
        self.store = Store(f"{self.network}.201")
        self.daemons = []
        self.doors = {}  # addresses of the store for one daemon each, by the daemon's name
        self.links = {}  # ways to the runners, by the daemon's name
        self.runners = []
        self.runs = []  # (time, runner, request)
        self.calls = []  # (time, runner, items)
        self.made = {}  # handle: (request, stage, piece)
        self.routes = []
        self.services = []
        self.version = 0
        self.started_at = time.monotonic()
        self.record_file = (self.folder / "record.txt").open("w")
        self.work = tempfile.TemporaryDirectory(prefix="review-")
        self.numbers = itertools.count(1)

    def record(self, text):
        print(f"{time.monotonic() - self.started_at:9.3f} {text}", file=self.record_file, flush=True)

    async def publish_configuration(self):
        self.version += 1
        await self.store.put("op/config", {"version": self.version, "routes": [dict(route, host=HOST) for route in self.routes],
                                           "services": self.services, "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
                                           "limits": LIMITS})

    async def add_runner(self, runner):
        await runner.start()
        self.runners.append(runner)
        await self.store.put(runner.key, runner.document())
        return runner

    def start_daemon(self, daemon):
        seeds = [other.at(Daemon.CONTROL) for other in self.daemons[:3]]
        path = pathlib.Path(self.work.name) / f"{daemon.name}.json"
        path.write_text(render((ROOT / "platform/settings.template").read_text(), {
            "node": daemon.name, "region": REGION, "zone": daemon.zone, "zones": {zone: REGION for zone in ZONES},
            "listen": {"front": daemon.at(Daemon.FRONT), "ready": daemon.at(Daemon.READY), "control": daemon.at(Daemon.CONTROL)},
            "platform": {"address": self.doors.get(daemon.name, self.store).endpoint}, "seeds": seeds, "limits": {"cpuShare": 0.25}, "bounds": BOUNDS}))
        log = (pathlib.Path(self.work.name) / f"{daemon.name}.log").open("ab")
        return self._spawn(daemon, path, log)

    async def _spawn(self, daemon, path, log):
        daemon.process = await asyncio.create_subprocess_exec(str(DAEMON), "--gateway", "--settings", str(path), stdout=log, stderr=log,
                                                              cwd=ROOT, env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp"})

    async def start_daemons(self, count, doors=False, links=False):
        for number in range(count):
            self.daemons.append(Daemon(f"front-{number + 1}", ZONES[number % len(ZONES)], f"{self.network}.{number + 1}"))
        for daemon in self.daemons:
            if links:
                self.links[daemon.name] = Links(f"{self.network}.{100 + self.daemons.index(daemon)}", self.runners)
                await self.links[daemon.name].mend()
            if doors or links:
                self.doors[daemon.name] = Door(self.store, self.store.address, self.links.get(daemon.name))
                await self.doors[daemon.name].start()
            await self.start_daemon(daemon)
        for daemon in self.daemons:
            await self.wait_ready(daemon)

    async def wait_ready(self, daemon):
        for _ in range(200):
            if await self.is_ready(daemon):
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{daemon.name} did not become ready")

    @staticmethod
    async def is_ready(daemon):
        try:
            reader, writer = await asyncio.open_connection(daemon.address, Daemon.READY)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            start, _ = await asyncio.wait_for(read_head(reader), 2)
            writer.close()
            return " 200 " in start + " "
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def check_running(self):
        for daemon in self.daemons:
            if daemon.process.returncode is not None:
                self.record(f"{daemon.name} ended by itself with {daemon.process.returncode}")
                return False
        return True

    def next_id(self):
        return f"{random.getrandbits(40):010x}{next(self.numbers):06x}"

    async def send(self, daemon, path, deadline_ms, headers=None, body=None, method="POST", request_id=None, on_data=None):
        """One client attempt on a new connection."""
        answer = Answer(request_id or self.next_id())
        body = json.dumps({"prompt": f"{random.getrandbits(64):x}"}).encode() if body is None else body
        fields = {"Host": HOST, "X-Cassiarelay-Request-Id": answer.request_id, "X-Cassiarelay-Deadline-Ms": deadline_ms,
                  "Authorization": f"Bearer {KEY}", "Content-Length": len(body), **(headers or {})}
        answer.sent_at = time.monotonic()
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(daemon.address, Daemon.FRONT, limit=1 << 22)
                writer.write((f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
                              + "\r\n").encode() + body)
                start, answer.headers = await read_head(reader)
                answer.status = int(start.split(" ")[1])
                answer.end = "broken"
                if answer.headers.get("transfer-encoding", "").lower() == "chunked":
                    async for part in chunks(reader):
                        answer.first_at = answer.first_at or time.monotonic()
                        answer.body += part
                        if on_data:
                            on_data(answer)
                else:
                    answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
                answer.end = "whole"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass
        finally:
            answer.ended_at = time.monotonic()
            if writer:
                writer.close()
        return answer

    async def close(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()
        for runner in self.runners:
            await runner.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            for log in pathlib.Path(self.work.name).glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self.work.cleanup()
        self.record_file.close()


def play(case, script):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    async def whole():
        bed = Bed(case)
        try:
            bed.record(f"trouble: {'on' if TROUBLE else 'off'}")
            await bed.store.start()
            broken = await script(bed)
            bed.record("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRun, OSError) as failure:
            bed.record(f"the case could not run: {failure}")
            return 2
        finally:
            await bed.close()
    if not DAEMON.is_file():
        print("the program is not built", file=sys.stderr)
        sys.exit(2)
    sys.exit(asyncio.run(whole()))
