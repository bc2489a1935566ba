"""After the store has cut a waiting watch, runners that leave keep getting requests for longer than drainMs."""

import asyncio
import random
import sys
import time

sys.path.insert(0, __file__.rsplit("/", 2)[0] + "/lib")

import bed as beds  # noqa: E402
from bed import TROUBLE, ZONES  # noqa: E402

PER_SECOND = 60
RUNNERS = 3
LEAVERS = 8
FIRST_S, BETWEEN_S = 5, 8
DRAIN_S = beds.BOUNDS["drainMs"] / 1000
SERVES_ON_S = (DRAIN_S + 0.1, DRAIN_S + 2)  # in turn, after its entry was removed; then it exits


async def script(bed):
    bed.services = [{"name": "desk", "maxConns": 100, "coldPerS": 0.0}]
    bed.routes = [{"name": "look", "prefix": "/look/", "service": "desk", "kind": "safe", "timeoutMs": 2500, "targetLatencyMs": 300,
                   "priority": 1, "maxAttempts": 2},
                  {"name": "book", "prefix": "/book/", "service": "desk", "kind": "unsafe", "timeoutMs": 2500, "targetLatencyMs": 300,
                   "priority": 0, "maxAttempts": 2}]
    await bed.publish_configuration()
    beds.Runner.WORK_S = 0.06
    runners = [await bed.add_runner(beds.Runner(bed, "desk", ZONES[number % 3])) for number in range(RUNNERS)]
    await bed.start_daemons(3)
    left_at = {}
    release = asyncio.create_task(replace(bed, runners, left_at))
    tasks = []
    while not release.done():
        path = random.choice(("/look/x", "/book/x"))
        tasks.append(asyncio.create_task(bed.send(random.choice(bed.daemons), path, 2500)))
        await asyncio.sleep(random.expovariate(PER_SECOND))
    await release
    answers = await asyncio.gather(*tasks)
    if not bed.check_running():
        raise beds.CannotRun("a daemon ended")
    served = sum(answer.status == 200 and answer.end == "whole" for answer in answers)
    bed.record(f"sent {len(answers)}, answered 200 and whole {served}")
    if served < len(answers) / 2:
        raise beds.CannotRun("fewer than half of the requests were served")
    return judge(bed, answers, left_at)


async def replace(bed, runners, left_at):
    """A release: the new runner starts first; the old one never reports draining, its entry is removed and it serves on."""
    await asyncio.sleep(FIRST_S)
    for number in range(LEAVERS):
        runners.append(await bed.add_runner(beds.Runner(bed, "desk", ZONES[number % 3])))
        await asyncio.sleep(3)
        before = random.uniform(0.05, 1.0)
        if TROUBLE:
            bed.record(f"store cuts {bed.store.cut_watches()} waiting watches")
        await asyncio.sleep(before)
        leaver = runners.pop(0)
        await bed.store.remove(leaver.key)
        left_at[leaver] = time.monotonic()
        bed.record(f"the entry of {leaver.id} is removed, {before:.2f} s later")
        serves_on_s = SERVES_ON_S[number % 2]
        await asyncio.sleep(serves_on_s)
        await leaver.stop()
        bed.record(f"{leaver.id} exits")
        await asyncio.sleep(BETWEEN_S - 3 - serves_on_s)
    await asyncio.sleep(1)


def judge(bed, answers, left_at):
    """DRAIN: a request reaches a runner later than drainMs after the store acknowledged that it is gone."""
    sent_at = {answer.request_id: answer.sent_at for answer in answers}
    outcome = {answer.request_id: f"{answer.status}, {answer.end}" for answer in answers}
    late = lost = 0
    for at, runner, request in bed.runs:
        request_id = request.headers["x-cassiarelay-request-id"]
        if runner in left_at and at > left_at[runner] + DRAIN_S:
            late += 1
            lost += outcome[request_id] != "200, whole" and request.target.startswith("/book/")
            bed.record(f"DRAIN: {request_id}, sent by its client {sent_at[request_id] - left_at[runner]:.3f} s after the removal, "
                       f"reached {runner.id} {at - left_at[runner]:.3f} s after it; its client got {outcome[request_id]}")
    bed.record(f"requests that reached a runner later than {DRAIN_S:g} s after its entry was removed: {late}, unsafe ones lost there: {lost}")
    return late > 0


beds.play(__file__.rsplit("/", 1)[0], script)
