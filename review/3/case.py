"""A stream goes on at another software version, at a daemon that has not heard yet that there is one."""

import asyncio
import os
import random
import re
import sys
import time

sys.path.insert(0, __file__.rsplit("/", 2)[0] + "/lib")

import bed as beds  # noqa: E402
from bed import TROUBLE, ZONES  # noqa: E402

CRASH_ONLY = os.environ.get("TROUBLE") == "crash"  # a control: the store answers all daemons
DAEMONS = 6
TURNED_AWAY = 2  # of 6, share 0.33
RUNNERS = 4
PER_SECOND = 80
DEADLINE_MS = 6000
CYCLES = 3
ALONE_S = 21  # for which the old version has been the only one
SILENT_S = 9
NEW_AFTER_S = 0.05
CRASH_AFTER_S = 0.55


class VersionedRunner(beds.StreamRunner):
    """Writes its software version into each event."""

    EVENTS = 20
    GAP_S = 0.1

    async def run(self, request, reader, writer):
        self.note_run(request)
        writer.write(beds.response(200, {**self.headers(request), **self.stamp(request), "Content-Type": "text/event-stream",
                                         "Transfer-Encoding": "chunked"}, length=False))
        for number in range(int(request.headers.get("last-event-id", 0)) + 1, self.EVENTS + 1):
            event = f"id: {number}\ndata: {self.version} {self.id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.GAP_S)
        writer.write(b"0\r\n\r\n")
        return True


class Stream:
    """One stream of a client, which takes it up once at another daemon after it was broken off."""

    def __init__(self, bed):
        self.bed = bed
        self.events = []  # (id, version)
        self.tries = []
        self.began_as = None

    async def play(self):
        end = time.monotonic() + DEADLINE_MS / 1000
        daemons = random.sample(self.bed.daemons, 2)
        headers = {"X-Cassiarelay-Model": "m", "X-Cassiarelay-Token-Counts": "100,20",
                   "X-Cassiarelay-Prompt-Prefix": f"{random.getrandbits(32):08x}:80,{random.getrandbits(32):08x}:20"}
        for daemon in daemons:
            more = {"Last-Event-Id": self.events[-1][0], "Resumes": self.began_as} if self.events else {}
            answer = await self.bed.send(daemon, "/ask/x", max(1, int((end - time.monotonic()) * 1000)), {**headers, **more})
            found = [(int(number), version) for number, version in re.findall(r"id: (\d+)\ndata: (\S+) ", answer.body.decode())]
            if answer.status == 200 and found and not self.began_as:
                self.began_as = answer.request_id
            self.events += found if answer.status == 200 else []
            self.tries.append(f"{answer.request_id} at {daemon.name}: {answer.status}, {len(found)} events"
                              f"{' of ' + found[0][1] if found else ''}, {answer.end}")
            if answer.end == "whole" and answer.status == 200:
                return

    @property
    def versions(self):
        return {version for _, version in self.events}


async def script(bed):
    bed.services = [{"name": "model", "maxConns": 500, "coldStartS": 0.0, "coldPerS": 0.0}]
    bed.routes = [{"name": "ask", "prefix": "/ask/", "service": "model", "kind": "stream", "timeoutMs": DEADLINE_MS,
                   "targetLatencyMs": 2000, "priority": 0, "maxAttempts": 2, "resumable": True, "sticky": True, "gapAimMs": 300}]
    await bed.publish_configuration()
    for number in range(RUNNERS):
        await bed.add_runner(VersionedRunner(bed, "model", ZONES[number % 3], version="v1"))
    await bed.start_daemons(DAEMONS, doors=True)
    release = asyncio.create_task(releases(bed))
    streams, tasks = [], []
    while not release.done():
        streams.append(Stream(bed))
        tasks.append(asyncio.create_task(streams[-1].play()))
        await asyncio.sleep(random.expovariate(PER_SECOND))
    await release
    await asyncio.gather(*tasks)
    if not bed.check_running():
        raise beds.CannotRun("a daemon ended")
    return judge(bed, streams)


async def releases(bed):
    """The first runner of a new version starts, and crashes a moment later."""
    for cycle in range(CYCLES):
        await asyncio.sleep(ALONE_S)
        turned_away = random.sample(bed.daemons, TURNED_AWAY)
        if TROUBLE and not CRASH_ONLY:
            for daemon in turned_away:
                bed.doors[daemon.name].silent = True
            bed.record(f"the store is silent for {', '.join(daemon.name for daemon in turned_away)}")
        await asyncio.sleep(NEW_AFTER_S)
        new = await bed.add_runner(VersionedRunner(bed, "model", ZONES[cycle % 3], version=f"v{cycle + 2}"))
        bed.record(f"{new.id} of {new.version} starts")
        await asyncio.sleep(CRASH_AFTER_S)
        if TROUBLE:
            bed.record(f"{new.id} crashes, {new.running} streams run there")
            await new.stop()
        else:
            bed.record(f"{new.id} drains")
            new.state = "draining"
            await bed.store.put(new.key, new.document())
        await asyncio.sleep(3.6)  # three heartbeat intervals
        await bed.store.remove(new.key)
        await asyncio.sleep(max(0, SILENT_S - 3.6 - CRASH_AFTER_S - NEW_AFTER_S))
        if not TROUBLE:
            await new.stop()
        bed.runners.remove(new)
        for daemon in turned_away:
            bed.doors[daemon.name].silent = False
    await asyncio.sleep(1)


def judge(bed, streams):
    """ORDER: more than two streams hold events from runners of two software versions."""
    joined = [stream for stream in streams if len(stream.versions) > 1]
    for stream in joined:
        bed.record(f"ORDER: one stream of {' and '.join(sorted(stream.versions))}: {'; '.join(stream.tries)}")
    whole = sum(len(stream.events) >= VersionedRunner.EVENTS for stream in streams)
    again = [stream for stream in streams if len(stream.tries) > 1]
    bed.record(f"streams {len(streams)}, whole {whole}, taken up again {len(again)}")
    bed.record(f"streams that hold events from runners of two software versions: {len(joined)}")
    if whole < len(streams) / 2:
        raise beds.CannotRun("fewer than half of the streams were served")
    return len(joined) > 2


beds.play(__file__.rsplit("/", 1)[0], script)
