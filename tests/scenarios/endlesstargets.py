"""Faulty targets that send bytes which are no answer, without end, in the head or the body, until their caller closes."""

import asyncio
import itertools
import threading

from fleet import DOMAINS, free_port
from gateways import request_id_of, stamped_head

CHUNK = b"x" * 65536
CHUNK_PAUSE_S = 0.1
LINE = b"X-Filler: " + b"x" * 1000 + b"\r\n"


class EndlessTargets:
    """Targets of one service; each serves all of its connections from one thread."""

    numbers = itertools.count()

    def __init__(self, fleet, service, count, part):
        self._part = part
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        for _ in range(count):
            number = next(self.numbers)
            target = {"target": f"endless-{number}", "pool": service, "port": free_port(),
                      "failureDomain": DOMAINS[number % len(DOMAINS)]}
            asyncio.run_coroutine_threadsafe(
                asyncio.start_server(lambda reader, writer, name=target["target"]: self._serve(name, reader, writer), "127.0.0.1",
                                     target["port"]), self._loop).result()
            fleet.publish_target(target)

    async def _serve(self, name, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_id = request_id_of(head)
            writer.write(b"HTTP/1.1 200 OK\r\n")
            if self._part == "body" and request_id:
                writer.write(stamped_head(name, request_id).encode())
            while True:
                writer.write(LINE if self._part == "head" else CHUNK)
                await writer.drain()
                await asyncio.sleep(CHUNK_PAUSE_S)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
