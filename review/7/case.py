"""The store holds one large entry of another writer. After a final fault, no gateway gets through the list of the store any more."""

import asyncio
import itertools
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from cell import HOST, KEY, RESTART_DELAY_S, ZONES, Runner, answer_bytes, is_troubled, run_case, send  # noqa: E402

PER_S = 20
ENTRY_AT = 4.0
ENTRY_KEY = "servers/desk 3 old"
ENTRY_BYTES = 1 << 20  # valueBytes of the platform
KILL_AT = 8.0
RECOVER_S = 12.0  # recoverS
LENGTH_S = 32.0


async def case(cell):
    await cell.store.start()
    cell.add_gateways(3)

    async def behave(runner, head, _, writer):
        await asyncio.sleep(0.03)
        writer.write(answer_bytes(200, runner.fields(head), b"x" * 800))

    runners = [Runner(cell, "loan-desk", ZONES[number % 3], behave, slots=6) for number in range(3)]
    for runner in runners:
        await runner.start()
    cell.store.put("op/config", {
        "version": 7, "routes": [{"name": "look", "host": HOST, "prefix": "/look/", "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 300,
                                  "priority": 2, "service": "loan-desk", "maxAttempts": 2, "stages": [], "public": False}],
        "services": [{"name": "loan-desk", "healthPath": "/healthz", "maxConns": 100, "coldStartS": 0, "coldPerS": 0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "agency", "apiKeys": [KEY]}]})
    await cell.start_gateways()
    began = time.monotonic()
    back_at = None
    results = []  # (time, status)

    def now():
        return time.monotonic() - began

    async def client(number):
        at = now()
        status = await send(cell.gateways[number % 3], "/look/x", f"look-{number}", deadline_ms=1500)
        results.append((at, status))
        cell.record.line(f"client: look-{number} at {cell.gateways[number % 3].name}: {status}")

    async def traffic():
        for number in itertools.count():
            if now() > LENGTH_S:
                return
            clients.append(asyncio.create_task(client(number)))
            await asyncio.sleep(1 / PER_S)

    async def platform():
        nonlocal back_at
        await asyncio.sleep(ENTRY_AT)
        if is_troubled():
            cell.store.put(ENTRY_KEY, b"\xff\xfe" * (ENTRY_BYTES // 2))
            cell.record.line(f"store: another writer has put '{ENTRY_KEY}', {ENTRY_BYTES} bytes that can't be read")
        await asyncio.sleep(KILL_AT - now())
        cell.record.line("platform: all gateways are killed")
        for gateway in cell.gateways:
            gateway.process.kill()
            gateway.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        for gateway in cell.gateways:
            cell.start_gateway(gateway)
        back_at = now()

    clients = []
    await asyncio.gather(traffic(), platform())
    await asyncio.gather(*clients)
    ready = [await cell.is_ready(gateway) for gateway in cell.gateways]
    before = [status == "200" for at, status in results if at < KILL_AT - 2]
    after = [status == "200" for at, status in results if at > back_at + RECOVER_S]
    summary = (f"served before the fault: {sum(before)} of {len(before)}; served later than {RECOVER_S} s after the gateways were back: "
               f"{sum(after)} of {len(after)}; ready at the end: {sum(ready)} of {len(ready)}")
    cell.record.line(summary)
    print(summary)
    return sum(before) * 4 < len(before) or sum(after) * 4 >= len(after)


run_case(pathlib.Path(__file__).resolve().parent, case)
