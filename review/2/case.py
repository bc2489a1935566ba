"""A stream that was handed over to another daemon goes on at another software version after that daemon was killed."""

import asyncio
import random
import re
import sys
import time

sys.path.insert(0, __file__.rsplit("/", 2)[0] + "/lib")

import bed as beds  # noqa: E402
from bed import TROUBLE, ZONES  # noqa: E402

PER_SECOND = 30
DEADLINE_MS = 15000
CYCLES = 2
CALM_S = 10
CUT_S = 9.5
KILL_AFTER_S = 1.5  # the partition has ended
DOWN_S = 1


class VersionedRunner(beds.StreamRunner):
    """Writes its software version into each event."""

    EVENTS = 24
    GAP_S = 0.25

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


async def script(bed):
    bed.services = [{"name": "model", "maxConns": 500, "coldStartS": 0.0, "coldPerS": 0.0}]
    bed.routes = [{"name": "ask", "prefix": "/ask/", "service": "model", "kind": "stream", "timeoutMs": DEADLINE_MS,
                   "targetLatencyMs": 2000, "priority": 0, "maxAttempts": 2, "resumable": True, "gapAimMs": 300}]
    await bed.publish_configuration()
    for number in range(4):
        await bed.add_runner(VersionedRunner(bed, "model", ZONES[number % 3], version=f"v{1 + number % 2}"))
    await bed.start_daemons(3, links=True)
    troubles = asyncio.create_task(partitions(bed))
    tasks = []
    while not troubles.done():
        running = [daemon for daemon in bed.daemons if daemon.process.returncode is None]
        tasks.append(asyncio.create_task(send(bed, random.choice(running))))
        await asyncio.sleep(random.expovariate(PER_SECOND))
    await troubles
    answers = await asyncio.gather(*tasks)
    if not bed.check_running():
        raise beds.CannotRun("a daemon ended")
    return judge(bed, answers)


async def send(bed, daemon):
    answer = await bed.send(daemon, "/ask/x", DEADLINE_MS)
    answer.daemon = daemon
    return answer


async def partitions(bed):
    """One daemon is partitioned from all runners for seconds; when it reaches them again, another daemon is killed."""
    for cycle in range(CYCLES):
        await asyncio.sleep(CALM_S)
        near, other = bed.daemons[cycle], bed.daemons[(cycle + 1) % 3]
        if TROUBLE:
            bed.links[near.name].cut()
            bed.record(f"{near.name} is partitioned from all runners")
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            await bed.links[near.name].mend()
            bed.record(f"{near.name} reaches the runners again")
        await asyncio.sleep(KILL_AFTER_S)
        if TROUBLE:
            bed.record(f"{other.name} is killed")
            other.process.kill()
            await other.process.wait()
            await asyncio.sleep(DOWN_S)
            await bed.start_daemon(other)
    await asyncio.sleep(1)


def judge(bed, answers):
    """ORDER: more than two streams hold events from runners of two software versions, here in one answer."""
    joined = 0
    for answer in answers:
        events = re.findall(r"id: (\d+)\ndata: (\S+) (\S+)", answer.body.decode()) if answer.status == 200 else []
        if len({version for _, version, _ in events}) < 2:
            continue
        joined += 1
        begins = [events[0]] + [event for before, event in zip(events, events[1:]) if event[2] != before[2]]
        bed.record(f"ORDER: {answer.request_id} at {answer.daemon.name}, one answer with status 200, {answer.end}: "
                   + ", then ".join(f"from event {number} on by {runner} of {version}" for number, version, runner in begins))
    whole = sum(answer.status == 200 and answer.end == "whole" for answer in answers)
    bed.record(f"streams {len(answers)}, whole {whole}")
    bed.record(f"answers that hold events from runners of two software versions: {joined}")
    if whole < len(answers) / 2:
        raise beds.CannotRun("fewer than half of the streams were served")
    return joined > 2


beds.play(__file__.rsplit("/", 1)[0], script)
