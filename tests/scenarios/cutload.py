"""Requests of several routes at gateways of which some are cut off from all targets."""

import collections
import http.client
import itertools
import threading
import time

from callers import SteadyLoad
from gateways import judge, says_leaving, send_routed, stamped_instance

DRAIN_S = 2.0  # from this long after a gateway has passed on that a target is leaving, it sends nothing there
SETTLED_S = 3.0  # from this long after a cut, callers of the gateways that are cut off have to be served


class CutLoad(SteadyLoad):
    """Every request is a first try, sent to the gateways in turn whether they are cut off or not."""

    numbers = itertools.count()

    def __init__(self, fleet, routes, rate):
        self._routes = itertools.cycle(routes)
        self._tries = []  # (sent at, gateway, route, kind, duration)
        self._cuts = []  # [names, began, ended]
        self._answers = []  # (sent at, received at, gateway, instance, whether it is leaving)
        self.sent = {}  # route by request id
        super().__init__(fleet, None, rate)

    def cut(self, names):
        self._cuts.append([set(names), time.monotonic(), None])

    def mend(self):
        self._cuts[-1][2] = time.monotonic()

    def _send(self):
        number = 0
        while not self._stop.is_set():
            vms = list(self._fleet.vms.values())
            call = threading.Thread(target=self._call, args=(vms[number % len(vms)], number), daemon=True)
            self._calls.append(call)
            call.start()
            number += 1
            time.sleep(self._interval)

    def _call(self, vm, number):
        with self._lock:
            route = next(self._routes)
            request_id = f"cut-load-{next(self.numbers)}"
            self.sent[request_id] = route
        sent_at = time.monotonic()
        kind, detail = "failed", ""
        connection = vm.connection()
        try:
            send_routed(connection, route, request_id, request_id, patience_ms=5000)
            response = connection.getresponse()
            detail = response.read().decode()
            kind = judge(response, detail, request_id, request_id)
            self._answers.append((sent_at, time.monotonic(), vm.name, stamped_instance(response), says_leaving(response)))
        except (OSError, http.client.HTTPException) as failure:
            detail = repr(failure)
        finally:
            connection.close()
        with self._lock:
            self.counts[kind] += 1
            self._tries.append((sent_at, vm.name, route, kind, time.monotonic() - sent_at))
            if kind != "answered":
                self.examples.append(f"{vm.name} {request_id} {route} {kind}: {detail[-200:]}")

    def shares(self, route):
        """Served shares of the first tries at the gateways that were cut off, while they were, and at the others meanwhile."""
        counts = collections.Counter()
        for sent_at, name, tried, kind, _ in self._tries:
            for names, began, ended in self._cuts:
                if tried != route or sent_at < began + SETTLED_S or sent_at > (ended or time.monotonic()):
                    continue
                counts[(name in names, "sent")] += 1
                counts[(name in names, "served")] += kind == "answered"
        return tuple(counts[(is_cut, "served")] / max(1, counts[(is_cut, "sent")]) for is_cut in (True, False))

    def sent_to_leaving(self):
        """Requests that were sent to a target by a gateway that had passed on before that it is leaving."""
        told = {}
        for _, received_at, name, instance, is_leaving in self._answers:
            if is_leaving:
                told[name, instance] = min(received_at, told.get((name, instance), received_at))
        return sum(sent_at > told.get((name, instance), sent_at) + DRAIN_S for sent_at, _, name, instance, _ in self._answers)

    def told_of_leaving(self):
        """Pairs of gateways and targets for which that could be seen."""
        return len({(name, instance) for _, _, name, instance, is_leaving in self._answers if is_leaving})

    def share_since(self, since):
        """Served share of the tries that were sent since then."""
        kinds = [kind for sent_at, _, _, kind, _ in self._tries if sent_at >= since]
        return kinds.count("answered") / max(1, len(kinds))
