"""The address of a stage runner that has crashed is used again by a runner of another service, which then gets what was meant for the first."""

import asyncio
import itertools
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from cell import BOUNDS, HOST, KEY, ZONES, Runner, answer_bytes, is_troubled, run_case, send  # noqa: E402

PER_S = 10
STAGE_S = 0.25  # callMs and itemMs together
FIRST_EVENT_S = 3.0
EVENTS = 5
GAP_S = 0.05
CRASHES_AT = (5.0, 13.0, 21.0)
ENTRY_LASTS_S = 3.6  # three heartbeats
LENGTH_S = 29.0


async def case(cell):
    await cell.store.start()
    cell.add_gateways(3)
    sent = set()
    unasked = []
    handles = itertools.count(1)

    async def make_pieces(runner, head, body, writer):
        words = head.first.split(" ")
        if words[1] == "/api/stage-free":
            writer.write(answer_bytes(200, {"X-Cassiarelay-Request-Id": head.get("x-cassiarelay-request-id", "")}, b"{}"))
            return
        await asyncio.sleep(STAGE_S)
        items = [{"handle": f"127.0.0.1:{runner.port}/{next(handles):x}"} for _ in json.loads(body)["items"]]
        writer.write(answer_bytes(200, dict(runner.fields(head), **{"Content-Type": "application/json"}), json.dumps({"items": items}).encode()))

    async def run_model(runner, head, body, writer):
        request = head.get("x-cassiarelay-request-id", "")
        if request not in sent:
            unasked.append(request)
            cell.record.line(f"runner {runner.id} (lm-pool): runs '{head.first}', id {request}, that no client sent; body {body.decode()}")
            writer.write(answer_bytes(200, runner.fields(head), b"x"))
            return
        await asyncio.sleep(FIRST_EVENT_S)
        await runner.stream(head, writer, EVENTS, GAP_S)

    models = [Runner(cell, "lm-pool", ZONES[number % 3], run_model) for number in range(3)]
    stages = [Runner(cell, "fleet-track", ZONES[number % 3], make_pieces, slots=1) for number in range(4)]
    for runner in models + stages:
        await runner.start()
    cell.store.put("op/config", {
        "version": 7, "routes": [{"name": "draft", "host": HOST, "prefix": "/draft/", "kind": "stream", "timeoutMs": 15000,
                                  "targetLatencyMs": 2200, "priority": 1, "service": "lm-pool", "maxAttempts": 2,
                                  "stages": [{"service": "fleet-track", "after": [], "bytes": 8000}],
                                  "public": False, "sticky": True, "resumable": True, "gapAimMs": 200}],
        "services": [{"name": "lm-pool", "healthPath": "/healthz", "maxConns": 300, "coldStartS": 0, "coldPerS": 20},
                     {"name": "fleet-track", "healthPath": "/healthz", "maxConns": 300, "coldStartS": 0, "coldPerS": 0,
                      "pieces": {"slots": 1, "queue": 2, "batch": 22, "callMs": 240, "itemMs": 9.4, "headroomMb": 26, "handleS": 4,
                                 "linkMbps": 10000}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "agency", "apiKeys": [KEY]}]})
    await cell.start_gateways()
    began = time.monotonic()
    counts = {}

    def now():
        return time.monotonic() - began

    async def client(number):
        request = f"draft-{number}"
        sent.add(request)
        status = await send(cell.gateways[number % 3], "/draft/x", request, body=b"x" * 12000, fields={
            "X-Cassiarelay-Model": "m", "X-Cassiarelay-Token-Counts": "6610,55", "X-Cassiarelay-Pieces": "1",
            "X-Cassiarelay-Piece-Key": "7c1e07a291bd", "X-Cassiarelay-Prompt-Prefix": f"5c1e07a2:512,{number:08x}:6098"})
        counts[status] = counts.get(status, 0) + 1

    async def traffic():
        for number in itertools.count():
            if now() > LENGTH_S:
                return
            clients.append(asyncio.create_task(client(number)))
            await asyncio.sleep(1 / PER_S)

    async def reuse():
        for at, gone in zip(CRASHES_AT, stages) if is_troubled() else ():
            await asyncio.sleep(at - now())
            cell.record.line(f"runner {gone.id} (fleet-track) at port {gone.port}: crashes for good")
            gone.stop_listening()
            asyncio.get_running_loop().call_later(ENTRY_LASTS_S, cell.store.remove, f"servers/{gone.id}")
            await asyncio.sleep(BOUNDS["reuseAfterS"])
            new = Runner(cell, "lm-pool", gone.zone, run_model)
            new.port = gone.port
            await new.start()
            cell.record.line(f"runner {new.id} (lm-pool): starts at port {new.port}")

    clients = []
    await asyncio.gather(traffic(), reuse())
    await asyncio.gather(*clients)
    summary = f"requests that a runner ran and no client sent: {len(unasked)}; answers: {counts}"
    cell.record.line(summary)
    print(summary)
    return not unasked


run_case(pathlib.Path(__file__).resolve().parent, case)
