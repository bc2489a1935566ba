"""Callers that send bad requests beside sound ones."""

import http.client
import itertools
import random
import threading
import time

from fragiletargets import BAD_PART
from gateways import judge, send_routed

SHARED_PART = "5c1e07a2"


class CrashLoad:
    """Bad requests at random daemons, and sound requests at a fixed rate beside them."""

    bad_pause_s = (0.1, 1.5)
    patience_ms = 6000

    def __init__(self, fleet, targets, route, sound_rate, seed=1):
        self._fleet = fleet
        self._targets = targets
        self._route = route
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._calls = []
        self.begun = []  # (time, whether a sound request began at its first attempt)
        self.ends = {"sound wrong": 0}
        self.examples = []
        self._threads = [threading.Thread(target=self._send_sound, args=(1 / sound_rate,), daemon=True)]
        self._threads[0].start()

    def send_bad(self, prompt=None):
        """Sends bad requests from now on: with this prompt, all alike, or with a bad part, no two alike."""
        self._threads.append(threading.Thread(target=self._send_bad, args=(prompt,), daemon=True))
        self._threads[-1].start()

    def stop(self):
        self._stop.set()
        for thread in self._threads + self._calls:
            thread.join()

    def sound_begun(self, since=0.0):
        with self._lock:
            counted = [begun for at, begun in self.begun if at >= since]
        return sum(counted) / max(1, len(counted))

    @property
    def counts(self):
        late = {name: (len(seen.arrivals), len(seen.crashes), seen.late_arrivals(3), seen.late_arrivals(5))
                for name, seen in self._targets.culprits.items()}
        return {"sound": len(self.begun), "begun": round(self.sound_begun(), 3), "ends": self.ends,
                "bad (arrivals, crashes, late after 3, after 5)": late}

    def _send_sound(self, pause_s):
        while not self._stop.is_set():
            number = next(self._numbers)
            self._start(f"sound-{number}", f"sound {number}", [SHARED_PART, f"{number % 4:08x}", f"f0{number:06x}"])
            time.sleep(pause_s)

    def _send_bad(self, prompt):
        while not self._stop.is_set():
            number = next(self._numbers)
            parts = [SHARED_PART, "00000001"] if prompt else [SHARED_PART, "00000001", BAD_PART]
            self._start(f"bad-{number}", prompt or f"bad {number}", [*parts, f"b0{number:06x}"])
            self._stop.wait(self._random.uniform(*self.bad_pause_s))

    def _start(self, request_id, prompt, parts):
        vms = [vm for vm in self._fleet.vms.values() if vm.process.poll() is None]
        if vms:
            self._calls.append(threading.Thread(target=self._call, args=(self._random.choice(vms), request_id, prompt, parts), daemon=True))
            self._calls[-1].start()

    def _call(self, vm, request_id, prompt, parts):
        connection = vm.connection()
        end = "cut"
        status = 0
        started = time.monotonic()
        try:
            send_routed(connection, self._route, request_id, prompt, patience_ms=self.patience_ms, parts=parts)
            response = connection.getresponse()
            status = response.status
            end = judge(response, response.read().decode(), request_id, prompt)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        kind = request_id.partition("-")[0]
        with self._lock:
            self.ends[f"{kind} {end}"] = self.ends.get(f"{kind} {end}", 0) + 1
            if kind == "sound":
                self.begun.append((started, status == 200))
            if kind == "sound" and end == "wrong":
                self.examples.append(f"{vm.name} {request_id} wrong")
