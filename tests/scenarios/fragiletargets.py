"""Targets that crash when they run a bad request, and come back in the ways that the users describe."""

import asyncio
import json
import random
import socket
import struct
import threading
import time
from dataclasses import dataclass, field

from fleet import DOMAINS, free_port

EVENTS = 16
EVENT_S = 0.03
START_S = 0.02
CALL_S = 0.03
BAD_PROMPT = "CRASH"
BAD_PART = "bad0bad0"  # of a prompt
FRAMINGS = ("length", "chunks", "close")
SENT_BEFORE_CRASH = (0, 1, 1.5, 3, 3.5)  # head and parts of the answer; the head counts as one
TIME_IN_TOUCH_S = 3.0  # stableWindowMs
# way: seconds until the target listens again, seconds until the store tells it, new id, new port
RETURNS = {
    "late": ((1.5, 4.5), (1.5, 4.5), True, True),
    "at-once": ((0.02, 0.2), (1.0, 3.0), True, False),
    "same-id": ((0.05, 0.5), (0.5, 2.0), False, False),
}


@dataclass
class Culprit:
    """What bad requests have in common, and what targets saw of it."""

    arrivals: list = field(default_factory=list)  # (time, request id)
    crashes: list = field(default_factory=list)

    def late_arrivals(self, allowed_crashes):
        """Arrivals later than the time that daemons have to stop them."""
        if len(self.crashes) < allowed_crashes:
            return 0
        limit = sorted(self.crashes)[allowed_crashes - 1] + TIME_IN_TOUCH_S
        return sum(at > limit for at, _ in self.arrivals)


class FragileTarget:
    """One incarnation of a target: it has a listener of its own, which is gone after a crash."""

    def __init__(self, service, name, port, domain, born):
        self.service = service
        self.name = name
        self.port = port
        self.domain = domain
        self.born = born
        self.is_down = False
        self.writers = set()
        self.unframed_streams = set()  # of sound requests
        self.server = None

    def record(self):
        return {"target": self.name, "pool": self.service.name, "port": self.port, "failureDomain": self.domain, "born": self.born}

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, reuse_address=True)

    def go_down(self, by_reset):
        """Closes the listener and all connections at once. Without length or chunks, only a part of an event shows that more was due."""
        self.is_down = True
        self.server.close()
        for writer in self.unframed_streams:
            writer.write(b"id: ")
        for writer in self.writers:
            if by_reset:
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
            else:
                writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.is_down:
                await self.answer(await read_request(reader), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.unframed_streams.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        path, headers, body = request
        request_id = headers.get("x-cassiarelay-request-id", "")
        own = f"X-Cassiarelay-Request-Id: {request_id}\r\nX-Cassiarelay-Instance-Load: {len(self.writers)},0,64\r\n"
        if headers.get("x-cassiarelay-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected\r\n{own}X-Cassiarelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        prompt = json.loads(body).get("prompt", "") if body else ""
        culprits = self.service.culprits_of(prompt, headers)
        for culprit in culprits:
            culprit.arrivals.append((time.monotonic(), request_id))
        await asyncio.sleep(START_S)
        own += f"X-Cassiarelay-Response-Stamp: {self.name}.{request_id}\r\n"
        if self.service.streams:
            last = int(headers.get("last-event-id", "0") or 0)
            parts = [f"id: {number}\nevent: {self.name}\ndata: {prompt}\n\n" for number in range(last + 1, EVENTS + 1)]
            await self.send(writer, own + "Content-Type: text/event-stream\r\n", parts, EVENT_S, culprits)
        else:
            text = json.dumps({"path": path, "echo": prompt})
            await self.send(writer, own + "Content-Type: application/json\r\n", [text[:5], text[5:]], CALL_S, culprits)

    async def send(self, writer, fields, parts, pause_s, culprits):
        framing = self.service.random.choice(FRAMINGS)
        crash_at = self.service.random.choice([sent for sent in SENT_BEFORE_CRASH if sent < len(parts)]) if culprits else None
        for number, part in enumerate([None, *parts]):
            if crash_at is not None and number >= crash_at:
                if number > crash_at:
                    writer.write(framed(part[:len(part) // 2], framing))
                self.service.crash(self, culprits)
                return
            if part is None:
                size = sum(len(text) for text in parts)
                writer.write(f"HTTP/1.1 200 OK\r\n{fields}{framing_fields(framing, size)}\r\n".encode())
                if framing == "close" and self.service.streams and not culprits:
                    self.unframed_streams.add(writer)
            else:
                await asyncio.sleep(pause_s)
                writer.write(framed(part, framing))
            await writer.drain()
            if self.is_down:
                raise ConnectionError("the target has crashed")
        if framing == "chunks":
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        if framing == "close":
            writer.close()
            raise ConnectionError("the answer ends with its connection")


class FragileService:
    """The targets of one service, and what happens to them when they crash."""

    def __init__(self, targets, name, count, streams, ways):
        self.name = name
        self.streams = streams
        self.ways = ways
        self.random = random.Random(f"{name} {count}")
        self.crashes_without_cause = 0
        self._targets = targets
        self._numbers = iter(range(count, 1_000_000))
        self.alive = [FragileTarget(self, f"{name}-{index}", free_port(), DOMAINS[index % len(DOMAINS)], 1) for index in range(count)]

    def culprits_of(self, prompt, headers):
        parts = [part.split(":")[0] for part in headers.get("x-cassiarelay-prompt-prefix", "").split(",")]
        keys = [prompt] * (prompt == BAD_PROMPT) + [part for part in parts[:-1] if part == BAD_PART]
        return [self._targets.culprits.setdefault(key, Culprit()) for key in keys]

    def crash(self, target, culprits=()):
        if target.is_down:
            return
        for culprit in culprits:
            culprit.crashes.append(time.monotonic())
        if not culprits:
            self.crashes_without_cause += 1
        target.go_down(self.random.random() < 0.5)
        self.alive.remove(target)
        asyncio.get_running_loop().create_task(self._bring_back(target))

    async def _bring_back(self, target):
        listens, listed, has_new_id, has_new_port = RETURNS[self.random.choice(self.ways)]
        listens_after = self.random.uniform(*listens)
        listed_after = max(listens_after, self.random.uniform(*listed))
        name = f"{self.name}-{next(self._numbers)}" if has_new_id else target.name
        port = free_port() if has_new_port else target.port
        back = FragileTarget(self, name, port, target.domain, target.born + 1)
        await asyncio.sleep(listens_after)
        await back.listen()
        self.alive.append(back)
        await asyncio.sleep(listed_after - listens_after)
        await asyncio.to_thread(self._targets.publish, target, back)


class FragileTargets:
    """All fragile services of a scenario, on a thread of their own."""

    def __init__(self, fleet):
        self.culprits = {}
        self._fleet = fleet
        self._services = []
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def start_service(self, name, count, streams, ways):
        service = FragileService(self, name, count, streams, ways)
        self._services.append(service)
        for target in service.alive:
            asyncio.run_coroutine_threadsafe(target.listen(), self._loop).result()
            self._fleet.publish_target(target.record())

    def publish(self, gone, back):
        if gone.name != back.name:
            self._fleet.remove_target(gone.name)
        self._fleet.publish_target(back.record())

    def crash_some(self, service_name, count):
        """Crashes targets that have done nothing wrong."""
        async def crash():
            for service in self._services:
                if service.name == service_name:
                    for target in service.random.sample(service.alive, min(count, len(service.alive))):
                        service.crash(target)
        asyncio.run_coroutine_threadsafe(crash(), self._loop).result()


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0].split()[1], headers, body


def framing_fields(framing, size):
    return {"length": f"Content-Length: {size}\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "close": "Connection: close\r\n"}[framing]


def framed(text, framing):
    data = text.encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n" if framing == "chunks" else data
