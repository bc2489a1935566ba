"""Callers that go on sending to a gateway while it shuts down, until its process is gone."""

import http.client
import itertools
import threading
import time

from gateways import send_routed

EARLY_S = 3.0  # after the signal; balancers may still send new requests to the gateway


class LateLoad:
    """Requests of some routes in turn, at a fixed rate, on new connections."""

    loads = itertools.count()

    def __init__(self, vm, routes, rate, patience_ms):
        self._vm = vm
        self._routes = routes
        self._interval = 1 / rate
        self._patience_ms = patience_ms
        self._prefix = f"late-{next(self.loads)}"
        self._lock = threading.Lock()
        self.ends = {}  # request id: (seconds after the signal, status, whether the answer was whole)

    def run(self):
        """Sends until the process has ended; call it just after the signal."""
        started = time.monotonic()
        threads = []
        for number in itertools.count():
            if self._vm.process.poll() is not None:
                break
            route = self._routes[number % len(self._routes)]
            threads.append(threading.Thread(target=self._call, args=(f"{self._prefix}-{route}-{number}", route, started), daemon=True))
            threads[-1].start()
            time.sleep(self._interval)
        for thread in threads:
            thread.join()

    def _call(self, request_id, route, started):
        sent_at = time.monotonic() - started
        status, whole = 0, False
        connection = self._vm.connection()
        connection.timeout = self._patience_ms / 1000 + 5
        try:
            send_routed(connection, route, request_id, request_id, patience_ms=self._patience_ms)
            response = connection.getresponse()
            status = response.status
            response.read()
            whole = True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        with self._lock:
            self.ends[request_id] = (sent_at, status, whole)

    def cut(self, runs):
        """Requests that came late, reached a target, and ended without its answer."""
        return [request_id for request_id, (sent_at, status, whole) in self.ends.items()
                if sent_at > EARLY_S and runs.get(request_id, 0) > 0 and (not whole or status != 200)]
