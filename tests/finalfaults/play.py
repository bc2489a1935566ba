#!/usr/bin/env python3
"""Plays final faults on the deployment of teranga-relay with real daemons on loopback, and judges FAULT and RECOVER.

    tests/finalfaults/play.py FIRST_SEED COUNT LOGS

Each seed is one play: gateways, runners and requests in the numbers of the site's sheet, one final fault of all gateways, and what goes
with it. Logs and the record of each play are kept in LOGS. Needs the build of the deploy file.
"""

import asyncio
import contextlib
import itertools
import json
import pathlib
import random
import shutil
import socket
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review/lib-2"))
import cell as cells  # noqa: E402

cells.ZONES = ("medina", "hann", "ouakam")
cells.REGION = "cap-vert"
GATEWAYS = ("medina", "medina", "hann", "hann", "hann", "ouakam")
RECOVER_S = 12.0
FAULT_AT = 8.0
END_AFTER = 18.0  # from the return of the gateways
HANDLE_S = 4.0
IDLE_S = 6.0  # until a runner drops the connection of a gateway that has lost power
COLD_PER_S, COLD_BOUND = 16, 16 * 1.5 + 5
MODELS, OFFICES, MAKERS = 18, 3, 5
STAGES = {"agency-portal": (14, 15.0, 17.0), "fitness-records": (36, 5.7, 3.9), "archive-merge": (54, 3.8, 0.59)}
# name: (requests a second, kind, service, deadline in ms, tokens in, events, body bytes)
CLASSES = {"dossier-assess": (15.5, "stream", "model-pool", 15000, 12000, 64, 12000), "crew-query": (22.8, "stream", "model-pool", 15000, 826, 49, 830),
           "wording-check": (28.5, "stream", "model-pool", 6000, 2368, 4, 2400), "issuance-debit": (16.7, "unsafe", "renewal-office", 2500, 0, 0, 600),
           "status-read": (6.67, "safe", "renewal-office", 2500, 0, 0, 0)}
RESULT_BYTES = {"agency-portal": 800000, "fitness-records": 70000, "archive-merge": 8000}
FAULTS = ("kill", "power")
STORE_TROUBLES = ("none", "503", "429", "reset", "silent", "empty list", "sheds", "slow", "forgets")
EXTRAS = ("cold", "reborn", "stale", "dark", "configuration", "large configuration", "again", "turns", "burst", "quota", "odd entries")


class Store(cells.Store):
    """A store that may be in trouble; pages hold 50 items."""

    trouble = "none"

    async def serve(self, reader, writer):
        try:
            while True:
                head, _ = await cells.read_message(reader)
                trouble = self.trouble
                if trouble == "sheds":
                    trouble = random.choice(("none", "503", "429"))
                if trouble == "reset":
                    writer.transport.abort()
                    return
                if trouble == "silent":
                    await asyncio.sleep(30)
                await asyncio.sleep(0.24 if trouble == "slow" else cells.ANSWER_S)
                status, document = await self.call(head.first.split(" ")[1])
                if trouble in ("503", "429"):
                    status, document = int(trouble), {}
                if trouble == "empty list" and "items" in document:
                    document = {"items": [], "currentRev": self.revision, "truncated": False}
                writer.write(cells.answer_bytes(status, {"Content-Type": "application/json", "Store-Era": "1"}, json.dumps(document).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Runner(cells.Runner):
    """Counts its connections and slots, also those of gateways that have lost power."""

    def __init__(self, cell, service, zone, behave, slots, queue, connections):
        super().__init__(cell, service, zone, behave, slots=slots)
        self.slots, self.queue, self.connections = asyncio.Semaphore(slots), queue, connections
        self.open, self.waiting, self.cold_until, self.arrivals = 0, 0, 0.0, []
        self.held = {}  # bytes by handle

    async def _serve(self, reader, writer):
        if self.open >= self.connections:
            writer.transport.abort()
            return
        self.open += 1
        self.writers.add(writer)
        try:
            while True:
                head, body = await cells.read_message(reader)
                expected = head.get("x-cassiarelay-expect-instance", self.id)
                if expected != self.id:
                    writer.write(cells.answer_bytes(421, self.fields(head, stamped=False), b""))
                elif self.waiting >= self.queue + 1 and self.slots.locked():
                    writer.write(cells.answer_bytes(503, self.fields(head, stamped=False), b""))
                elif not self.bears_arrival():
                    return
                else:
                    self.waiting += 1
                    async with self.slots:
                        self.waiting -= 1
                        await self.behave(self, head, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            if self.cell.power_lost:
                await asyncio.sleep(IDLE_S)
        finally:
            self.open -= 1
            self.writers.discard(writer)
            writer.close()

    def bears_arrival(self):
        now = time.monotonic()
        self.arrivals = [at for at in self.arrivals if at > now - 1] + [now]
        if now < self.cold_until and len(self.arrivals) > COLD_BOUND:
            self.cell.record.line(f"runner {self.id}: {len(self.arrivals)} requests in a second while cold")
            self.cell.cold_crashes += 1
        return True

    def become_cold(self, seconds):
        self.cold_until = time.monotonic() + seconds
        self.entry["coldRemainingMs"] = int(seconds * 1000)
        self.publish()


def configuration(version, more_routes):
    stages = [{"service": name, "after": [index - 1] if index else [], "bytes": RESULT_BYTES[name]} for index, name in enumerate(STAGES)]
    routes = [{"name": name, "host": cells.HOST, "prefix": f"/{name}/", "kind": kind, "timeoutMs": deadline, "targetLatencyMs": 1400,
               "priority": 1, "service": service, "maxAttempts": 2, "stages": stages if name == "dossier-assess" else [], "public": False,
               "sticky": True, "resumable": kind == "stream", "gapAimMs": 300}
              for name, (_, kind, service, deadline, *_) in CLASSES.items()]
    routes += [dict(routes[4], name=f"more-{number}", prefix=f"/more-{number}/") for number in range(more_routes)]
    services = [{"name": "model-pool", "healthPath": "/healthz", "maxConns": 500, "coldStartS": 3, "coldPerS": COLD_PER_S},
                {"name": "renewal-office", "healthPath": "/healthz", "maxConns": 48, "coldStartS": 0, "coldPerS": 0}]
    services += [{"name": name, "healthPath": "/healthz", "maxConns": 500, "coldStartS": 0, "coldPerS": 0,
                  "pieces": {"slots": 1, "queue": 2, "batch": batch, "callMs": 240, "itemMs": item_ms, "headroomMb": room, "handleS": HANDLE_S,
                             "linkMbps": 10000}} for name, (batch, item_ms, room) in STAGES.items()]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": f"tenant-{number}", "apiKeys": [cells.KEY if number == 0 else f"key-{number}"]} for number in range(5)]}


async def work(runner, head, body, writer):
    """What runners of the model service, the office and the stages do."""
    service, path = runner.service, head.first.split(" ")[1]
    if service == "model-pool":
        name = path.split("/")[1]
        await asyncio.sleep(0.05 + CLASSES[name][4] / 112000)
        await runner.stream(head, writer, CLASSES[name][5], 0.02)
    elif service == "renewal-office":
        await asyncio.sleep(random.expovariate(1 / 0.03))
        writer.write(cells.answer_bytes(200, runner.fields(head), b"x" * 800))
    elif path == "/api/stage-free":
        for handle in json.loads(body)["handles"]:
            runner.held.pop(handle, None)
        writer.write(cells.answer_bytes(200, runner.fields(head), b"{}"))
    else:
        items = json.loads(body)["items"]
        now = time.monotonic()
        runner.held = {handle: until for handle, until in runner.held.items() if until > now}
        room = STAGES[service][2] * 1e6 / RESULT_BYTES[service]
        results = []
        for _ in items:
            if len(runner.held) >= room:
                results.append({"reason": "room"})
                continue
            handle = f"127.0.0.1:{runner.port}/{next(runner.cell.handles):x}"
            runner.held[handle] = now + HANDLE_S
            results.append({"handle": handle})
        await asyncio.sleep((240 + STAGES[service][1] * len(items)) / 1000)
        writer.write(cells.answer_bytes(200, dict(runner.fields(head), **{"Content-Type": "application/json"}), json.dumps({"items": results}).encode()))


class Play:
    def __init__(self, seed, folder):
        self.random = random.Random(seed)
        self.seed, self.folder = seed, folder
        self.fault = self.random.choice(FAULTS)
        self.trouble = self.random.choice(STORE_TROUBLES)
        self.trouble_s = self.random.uniform(1, 6)
        self.down_s = self.random.uniform(0.02, 1.7)
        self.extras = {extra for extra in EXTRAS if self.random.random() < 0.25}
        self.results = []  # (time, class, status)
        self.ended = []

    def describe(self):
        return (f"seed={self.seed} fault={self.fault} down_s={self.down_s:.2f} store={self.trouble} trouble_s={self.trouble_s:.1f} "
                f"extras={','.join(sorted(self.extras)) or 'none'}")

    def now(self):
        return time.monotonic() - self.began

    async def run(self):
        cell = self.cell = cells.Cell(self.folder)
        cell.power_lost, cell.cold_crashes, cell.handles = False, 0, itertools.count(1)
        cell.store = Store(cell.record)
        sockets = []
        try:
            await cell.store.start()
            network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"  # not by seed: plays run beside each other
            cell.gateways += [cells.Gateway(f"front-{index + 1}", zone, f"{network}.{index + 1}") for index, zone in enumerate(GATEWAYS)]
            counts = [("model-pool", MODELS, 128, 384, 500), ("renewal-office", OFFICES, 6, 24, 48)]
            counts += [(name, MAKERS, 1, 2, 500) for name in STAGES]
            self.runners = [Runner(cell, service, cells.ZONES[number % 3], work, slots, queue, connections)
                            for service, count, slots, queue, connections in counts for number in range(count)]
            for runner in self.runners:
                await runner.start()
            cell.store.put("op/config", configuration(7, 0))
            await cell.start_gateways()
            self.began = time.monotonic()
            clients = []
            await asyncio.gather(self.traffic(clients), self.platform(sockets), self.watch())
            await asyncio.gather(*clients)
            return await self.judge()
        finally:
            self.over = True
            with contextlib.suppress(OSError):
                shutil.copytree(cell.work.name, self.folder / "logs", dirs_exist_ok=True)
            for dark in sockets:
                dark.close()
            cell.close()

    async def traffic(self, clients):
        self.over, self.back_at = False, None
        number = itertools.count()
        total = sum(figures[0] for figures in CLASSES.values())
        while not self.over and not (self.back_at and self.now() > self.back_at + END_AFTER):
            name = self.random.choices(list(CLASSES), [figures[0] for figures in CLASSES.values()])[0]
            clients.append(asyncio.create_task(self.client(name, next(number))))
            burst = 1.7 if "burst" in self.extras and self.back_at and self.now() < self.back_at + 6 else 1
            await asyncio.sleep(self.random.expovariate(total * burst))
        self.over = True

    async def client(self, name, number):
        _, kind, _, deadline, tokens, events, size = CLASSES[name]
        at, fields = self.now(), {}
        if kind == "stream":
            fields = {"X-Cassiarelay-Model": "m", "X-Cassiarelay-Token-Counts": f"{tokens},{events * 6}",
                      "X-Cassiarelay-Prompt-Prefix": f"{number % 274:08x}:{tokens // 2},{number:08x}:{tokens - tokens // 2}"}
        if name == "dossier-assess":
            fields.update({"X-Cassiarelay-Pieces": "1,1,1", "X-Cassiarelay-Piece-Key": f"{number:012x}"})
        gateway = self.random.choice(self.cell.gateways)
        status = await cells.send(gateway, f"/{name}/x", f"r-{number}", fields, b"x" * size, deadline)
        self.results.append((at, name, status))
        self.cell.record.line(f"client: r-{number} {name} at {gateway.name}, sent {at:.2f}: {status}")

    async def platform(self, sockets):
        store, cell = self.cell.store, self.cell
        await asyncio.sleep(FAULT_AT - 1)
        if "stale" in self.extras or "dark" in self.extras:
            self.leave_stale_entries(sockets)
        if "odd entries" in self.extras:
            store.put("servers/odd 1", b"\xff" * 700000)
            store.put("servers/odd&after=z", {"service": 1})
            store.put("op/odd", b"\xff" * 300000)
        await asyncio.sleep(FAULT_AT - self.now())
        if "configuration" in self.extras or "large configuration" in self.extras:
            store.put("op/config", configuration(9, 3000 if "large configuration" in self.extras else 5))
        await asyncio.sleep(self.random.choice((0.001, 0.05, 0.3)))
        store.trouble = self.trouble if self.trouble != "forgets" else "none"
        if self.trouble == "forgets":
            store.events.clear()
        if "reborn" in self.extras:
            for runner in self.runners:
                store.remove(f"servers/{runner.id}")
                runner.stop_listening()
                await runner.start()
        await self.strike()
        if "again" in self.extras:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            await self.strike()
        if "cold" in self.extras or "reborn" in self.extras:
            for runner in self.runners[:MODELS]:
                runner.become_cold(3.0)
        self.back_at = self.now()
        cell.record.line("platform: all gateways are back")
        await asyncio.sleep(self.trouble_s)
        store.trouble = "none"

    async def strike(self):
        self.cell.power_lost = self.fault == "power"
        self.cell.record.line(f"platform: {self.fault} of all gateways")
        self.is_struck = True
        for gateway in self.cell.gateways:
            gateway.process.kill()
        for gateway in self.cell.gateways:
            gateway.process.wait()
        await asyncio.sleep(self.down_s)
        for gateway in self.cell.gateways:
            self.cell.start_gateway(gateway)
            if "turns" in self.extras:
                await asyncio.sleep(0.7)
        self.is_struck = False
        self.cell.power_lost = False

    def leave_stale_entries(self, sockets):
        for number in range(40):
            service = self.random.choice(("model-pool", "renewal-office", *STAGES))
            dark = socket.socket()
            dark.bind(("127.0.0.1", 0))
            if "dark" in self.extras:  # the queue of new connections is full: opening packets are dropped
                dark.listen(0)
                for _ in range(2):
                    filler = socket.socket()
                    filler.setblocking(False)
                    filler.connect_ex(dark.getsockname())
                    sockets.append(filler)
            sockets.append(dark)
            self.cell.store.put(f"servers/gone-{number}", {"service": service, "address": f"127.0.0.1:{dark.getsockname()[1]}", "zone": "hann",
                                                           "version": "v1", "slots": 48, "state": "ready", "coldRemainingMs": 0, "seq": 1,
                                                           "born": 1})

    async def watch(self):
        """Notes processes that end by themselves, and starts them again as the platform does; limits processor time."""
        self.is_struck = False
        while not self.over:
            await asyncio.sleep(0.05)
            for gateway in self.cell.gateways:
                if not self.is_struck and gateway.process.poll() is not None:
                    self.ended.append((round(self.now(), 2), gateway.name, gateway.process.returncode))
                    self.cell.record.line(f"{gateway.name} ended by itself: {gateway.process.returncode}")
                    self.cell.start_gateway(gateway)
            if "quota" in self.extras:
                for gateway in self.cell.gateways:  # a quarter of a core
                    gateway.process.send_signal(cells.signal.SIGSTOP if int(self.now() * 20) % 2 else cells.signal.SIGCONT)

    async def judge(self):
        if "quota" in self.extras:
            for gateway in self.cell.gateways:
                gateway.process.send_signal(cells.signal.SIGCONT)
        shares = {}
        for name in (*CLASSES, "all"):
            chosen = [(at, status == "200") for at, kind, status in self.results if name in (kind, "all")]
            before = [served for at, served in chosen if 1 < at < FAULT_AT - 3]
            after = [served for at, served in chosen if at > self.back_at + RECOVER_S]
            shares[name] = tuple(round(sum(part) / max(1, len(part)), 3) for part in (before, after))
        first = min((at for at, _, status in self.results if status == "200" and at > self.back_at), default=None)
        ready = sum([await self.cell.is_ready(gateway) for gateway in self.cell.gateways])
        recovered = shares["all"][0] < 0.25 or shares["all"][1] >= 0.25
        weak = [name for name, (before, after) in shares.items() if before >= 0.25 and after < 0.5 * before]
        verdict = ("held" if recovered else "RECOVER") + (" FAULT" if self.ended else "")
        line = (f"{verdict} {self.describe()} first_s={'none' if first is None else round(first - self.back_at, 2)} ready={ready}/6 "
                f"ended={self.ended} cold_crashes={self.cell.cold_crashes} weak={weak} served={shares}")
        self.cell.record.line(line)
        return line


def main():
    first, count, logs = int(sys.argv[1]), int(sys.argv[2]), pathlib.Path(sys.argv[3])
    for seed in range(first, first + count):
        folder = logs / f"play-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        play = Play(seed, folder)
        try:
            print(asyncio.run(asyncio.wait_for(play.run(), 120)), flush=True)
        except Exception as failure:  # the play says nothing of the daemons
            print(f"not played: {play.describe()}: {failure!r}", flush=True)


if __name__ == "__main__":
    main()
