"""Callers of a scenario: single requests that can be sent again, and a steady load through the ready daemons."""

import http.client
import json
import threading
import time

from fleet import CALL_LIMIT_S, TOKEN, http_json

READINESS_INTERVAL_S = 0.1


class Call:
    """One sending of a request in its own thread."""

    def __init__(self, fleet, vm, pipeline, key, prompt, timeout_ms):
        self.key = key
        self.prompt = prompt
        self.runs_before = fleet.runs().get(key, 0)
        self.kind = None  # answered, not_run, unknown, or lost when there was no whole answer
        self.body = None
        headers = {"Authorization": f"Bearer {TOKEN}", "Idempotency-Key": key, "Request-Timeout-Ms": str(timeout_ms)}
        self._thread = threading.Thread(target=self._run, args=(vm, pipeline, headers, timeout_ms), daemon=True)
        self._thread.start()

    def _run(self, vm, pipeline, headers, timeout_ms):
        body = json.dumps({"prompt": self.prompt, "key": self.key})
        try:
            status, self.body = http_json(vm.caller_port, "POST", f"/v1/pipelines/{pipeline}", body, headers, timeout_ms / 1000 + 5)
            self.kind = "answered" if status == 200 else self.body["outcome"]
        except (OSError, http.client.HTTPException, TypeError, KeyError):
            self.kind = "lost"

    def wait(self):
        self._thread.join()
        return self.kind


class SteadyLoad:
    """Streamed requests at a fixed rate to the daemons that are ready, as a balancer would send them."""

    def __init__(self, fleet, pipeline, rate):
        self._fleet = fleet
        self._pipeline = pipeline
        self._interval = 1 / rate
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._ready = []
        self.counts = {"answered": 0, "refused": 0, "cut": 0, "failed": 0, "wrong": 0, "unreached": 0}
        self.examples = []
        self._threads = [threading.Thread(target=run, daemon=True) for run in (self._watch, self._send)]
        self._calls = []
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads + self._calls:
            thread.join()

    def _watch(self):
        while not self._stop.is_set():
            ready = []
            for vm in list(self._fleet.vms.values()):
                try:
                    if vm.process and self._fleet.is_ready(vm):
                        ready.append(vm)
                except (OSError, http.client.HTTPException):
                    continue
            self._ready = ready
            time.sleep(READINESS_INTERVAL_S)

    def _send(self):
        number = 0
        while not self._stop.is_set():
            ready = self._ready
            if ready:
                call = threading.Thread(target=self._call, args=(ready[number % len(ready)], number), daemon=True)
                self._calls.append(call)
                call.start()
                number += 1
            time.sleep(self._interval)

    def _call(self, vm, number):
        ending = "cut"
        detail = ""
        connection = self._connection(vm)
        try:
            try:
                connection.connect()
            except OSError:
                ending = "unreached"
                return
            ending, detail = self._exchange(connection, number)
        except (OSError, http.client.HTTPException) as failure:
            detail = f"{failure!r} {getattr(failure, 'partial', b'')!r}"
        finally:
            connection.close()
            with self._lock:
                self.counts[ending] += 1
                if ending in ("cut", "wrong", "failed"):
                    self.examples.append(f"{vm.name} request {number} {ending}: {detail[-300:]}")

    @staticmethod
    def _connection(vm):
        return http.client.HTTPConnection("127.0.0.1", vm.caller_port, timeout=CALL_LIMIT_S)

    def _exchange(self, connection, number):
        """Returns how the call ended, and what to show of it."""
        prompt = f"load {number}"
        connection.request("POST", f"/v1/pipelines/{self._pipeline}", json.dumps({"prompt": prompt}),
                           {"Authorization": f"Bearer {TOKEN}", "Accept": "text/event-stream"})
        response = connection.getresponse()
        text = response.read().decode()
        return self._judge(response.status, text, prompt), text

    @staticmethod
    def _judge(status, text, prompt):
        if status != 200:
            return "refused"
        received = ""
        results = {}
        for event in text.split("\n\n"):
            name = "event: done" in event
            data = event.partition("data: ")[2]
            document = json.loads(data) if data else {}
            received += document.get("text", "")
            results = document.get("results", results)
            if name:
                whole = document["byteCount"] == len(received)
                own = all(result["echo"] == prompt for result in results.values() if isinstance(result, dict))
                return "answered" if whole and own and results else "wrong"
        return "cut"
