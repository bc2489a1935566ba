"""Gateways on loopback before targets of the users' kind, and callers of their routes."""

import http.client
import itertools
import json
import os
import random
import re
import signal
import subprocess
import threading
import time
import zlib

from callers import SteadyLoad
from fleet import CALL_LIMIT_S, DOMAINS, Fleet, http_json
from targetlinks import TargetLinks

HOST = "desk.example"
KEY = "scenario-caller-key"
ORGANISATION = "crewing-agency"
PATIENCE_MS = 10000
REGION = "cap-vert"
EVENTS = 16
PART_TOKENS = 20  # of one part of a prompt
RESULT_BYTES = 1000000
REUSE_DELAY_S = 2.0  # from the end of a target until its address may be used again
ROOM = 10  # results of RESULT_BYTES that a target holds
ROUTES = [
    {"name": "draft", "prefix": "/draft/", "service": "engine", "kind": "stream", "timeoutMs": 10000, "targetLatencyMs": 2000,
     "priority": 0, "maxAttempts": 2, "resumable": True, "gapAimMs": 500, "stages": [
         {"service": "encode", "after": [], "bytes": RESULT_BYTES},
         {"service": "retrieve", "after": [0], "bytes": 1000}]},
    {"name": "book", "prefix": "/book/", "service": "desk", "kind": "unsafe", "timeoutMs": 8000, "targetLatencyMs": 300,
     "priority": 0, "maxAttempts": 2},
    {"name": "look", "prefix": "/look/", "service": "desk", "kind": "safe", "timeoutMs": 8000, "targetLatencyMs": 300,
     "priority": 1, "maxAttempts": 2},
    {"name": "answer", "prefix": "/answer/", "service": "model", "kind": "stream", "timeoutMs": 8000, "targetLatencyMs": 2000,
     "priority": 0, "maxAttempts": 2, "resumable": True, "gapAimMs": 500},
    {"name": "count", "prefix": "/count/", "service": "counter", "kind": "safe", "timeoutMs": 8000, "targetLatencyMs": 300,
     "priority": 1, "maxAttempts": 2},
    {"name": "sign", "prefix": "/sign/", "service": "office", "kind": "unsafe", "targetLatencyMs": 300, "priority": 0, "maxAttempts": 2},
]
UNSAFE_ROUTES = {route["name"] for route in ROUTES if route["kind"] == "unsafe"}
PIECES = {"slots": 1, "queue": 1, "batch": 8, "callMs": 20, "itemMs": 1, "headroomMb": ROOM * RESULT_BYTES / 1e6, "handleS": 10, "linkMbps": 1000}
SERVICES = [{"name": "engine", "coldPerS": 5}, {"name": "desk", "coldPerS": 5}, {"name": "model", "coldPerS": 5},
            {"name": "counter", "coldPerS": 5}, {"name": "office", "coldPerS": 5},
            {"name": "encode", "coldPerS": 5, "pieces": PIECES}, {"name": "retrieve", "coldPerS": 5, "pieces": PIECES}]
PIECES_WANTED = {"draft": "2,3"}
TARGET_OPTIONS = {"engine": ("--streams", "--tokens", EVENTS), "model": ("--streams", "--tokens", EVENTS), "desk": (), "office": (),
                  "encode": ("--room", ROOM, "--result-ms", PIECES["handleS"] * 1000, "--capacity", 1, "--queue", 1, "--service-ms", 20,
                             "--item-ms", 1),
                  "retrieve": ("--capacity", 1, "--queue", 1, "--service-ms", 20, "--item-ms", 1)}


COLD_TIME = "coldRemainingMs"
# An entry of a target at which nothing listens.
SOUND_ENTRY = {"service": "desk", "address": "127.0.0.1:1", "zone": "medina", "version": "1", "slots": 4, "state": "ready", COLD_TIME: 0,
               "seq": 1, "born": 1}


def target_key(name):
    """Key of the entry of a target in the store."""
    return "servers/" + name


def render(template, fields):
    """Fills in a settings template: values, JSON, and sections over lists and tables."""
    def lookup(name, scope):
        if name == ".":
            return scope[0]["."]
        if name == "@":
            return scope[0]["@"]
        for layer in scope:
            value = layer
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def entries(value):
        pairs = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        for index, (key, entry) in enumerate(pairs):
            yield {".": entry, "@": key, ",": index + 1 < len(pairs), **(entry if isinstance(entry, dict) else {})}

    def expand(text, scope):
        def section(match):
            return "".join(expand(match[2], [layer, *scope]) for layer in entries(lookup(match[1], scope) or []))

        def value(match):
            if match[1] == ",":
                return "," if scope[0][","] else ""
            name, _, form = match[1].partition("|")
            found = lookup(name, scope)
            if form == "json":
                return json.dumps(found)
            return "" if found is None else str(found)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([^}]+)\}\}", value, text)

    return expand(template, [fields])


class Gateway:
    """One daemon. It has an address of its own, so that its ports are those of every VM and free."""

    caller_port, ready_port, peer_port, metrics_port = 8600, 8601, 8602, 9464

    def __init__(self, name, domain, address):
        self.name = name
        self.domain = domain
        self.address = address
        self.process = None

    def endpoint(self, port):
        return f"{self.address}:{port}"

    def connection(self):
        return http.client.HTTPConnection(self.address, self.caller_port, timeout=CALL_LIMIT_S)


class GatewayFleet(Fleet):
    """Fleet of gateways with the users' store; its targets publish themselves there."""

    def __init__(self, build, work):
        super().__init__(build, work)
        self.version = 0
        self.routes = [dict(route, host=HOST) for route in ROUTES]
        self.withdrawn = []
        self.keys = [KEY]
        self.items = {}
        self.target_links = None
        self.own_stores = {}  # of gateways with relays of their own: (port of the store, address of the relays), by name
        self.store_processes = {}  # by name of the gateway
        self.service_processes = {}  # that host all targets of a service, by name
        self.silent_stores = {}  # what is to be written when they answer again, by name of the gateway
        self.template = (self.build.parent / "platform/settings.template").read_text()

    def put_item(self, key, document):
        self.items[key] = document
        self._put(self.platform_port, key, document)
        for name, (port, relay_address) in self.own_stores.items():
            self._write(name, lambda port=port, item=self._behind_relay(document, relay_address): self._put(port, key, item))

    @staticmethod
    def _put(port, key, document):
        status, answer = http_json(port, "PUT", f"/items/{key}", json.dumps(document))
        assert status == 200, answer

    def put_raw(self, key, value):
        """Writes bytes that need not be JSON."""
        status, answer = http_json(self.platform_port, "PUT", f"/items/{key}", value)
        assert status == 200, answer

    @staticmethod
    def _behind_relay(document, relay_address):
        if "address" not in document:
            return document
        return dict(document, address=document["address"].replace("127.0.0.1", relay_address))

    def remove_item(self, key):
        self.items.pop(key, None)
        self._delete(self.platform_port, key)
        for name, (port, _) in self.own_stores.items():
            self._write(name, lambda port=port: self._delete(port, key))

    @staticmethod
    def _delete(port, key):
        status, answer = http_json(port, "DELETE", f"/items/{key}")
        assert status == 200, answer

    def _write(self, name, write):
        if name in self.silent_stores:
            self.silent_stores[name].append(write)
        else:
            write()

    def silence_store(self, name):
        """The store of a gateway with relays of its own keeps its connections and answers nothing."""
        self.silent_stores[name] = []
        self.store_processes[name].send_signal(signal.SIGSTOP)

    def wake_store(self, name):
        self.store_processes[name].send_signal(signal.SIGCONT)
        for write in self.silent_stores.pop(name):
            write()

    def publish_routes(self):
        self.version += 1
        self.put_item("op/config", {"version": self.version, "routes": self.routes, "services": SERVICES,
                                    "tenants": [{"name": ORGANISATION, "apiKeys": self.keys}], "limits": {}})

    def publish_target(self, target, state="ready"):
        self.put_item("servers/" + target["target"], {
            "service": target["pool"], "address": f"127.0.0.1:{target['port']}", "zone": target["failureDomain"],
            "version": target.setdefault("version", "1"),
            "slots": 64, "state": state, "coldRemainingMs": 0, "seq": 1, "born": target.get("born", 1)})

    def remove_target(self, name):
        self.remove_item(f"servers/{name}")

    def take_domain_out(self, domain):
        self.put_item(f"op/evacuate/{domain}", {})

    def take_domain_back(self, domain):
        self.remove_item(f"op/evacuate/{domain}")

    def start_service(self, service, count, options=()):
        self.start_targets(service, count, ("--instance", service, *TARGET_OPTIONS[service], *options))
        self.service_processes[service] = self.processes[-1]
        for target in self.targets:
            if target["pool"] == service:
                self.publish_target(target)

    def reuse_address(self, target, service):
        """Crashes the targets of a service for good; the address of one is given to a new target of another service."""
        self.service_processes[target["pool"]].kill()
        time.sleep(REUSE_DELAY_S)
        taker = {"target": "taker-0", "pool": service, "port": target["port"], "failureDomain": target["failureDomain"]}
        self.start_process("taker", [self.build / "tests/standins/standin-target", "--port", target["port"], "--instance", "taker",
                                     *TARGET_OPTIONS[service]])
        self.output_lines("taker", 1)
        self.targets = [other for other in self.targets if other["pool"] != target["pool"]] + [taker]
        self.publish_target(taker)

    def start_gateways(self, count, behind_relays=False):
        network = f"127.{random.randrange(1, 255)}.{random.randrange(255)}"
        for index in range(count):
            self.vms[f"vm-{index}"] = Gateway(f"vm-{index}", DOMAINS[index % len(DOMAINS)], f"{network}.{index + 1}")
            if behind_relays:
                self.open_relays(f"vm-{index}", f"{network}.{count + index + 1}")
        for vm in self.vms.values():
            self.start_gateway(vm)
        for vm in self.vms.values():
            self.wait_ready(vm)

    def open_relays(self, name, address):
        """Relays between a gateway and all targets; a store of its own tells it their addresses."""
        self.target_links = self.target_links or TargetLinks()
        self.target_links.open(name, address, [target["port"] for target in self.targets])
        self.store_processes[name] = self.start_process(f"store-{name}", [self.build / "tests/standins/standin-platform"])
        port = int(self.output_lines(f"store-{name}", 1)[0])
        self.own_stores[name] = (port, address)
        for key, document in self.items.items():
            self._put(port, key, self._behind_relay(document, address))

    def start_gateway(self, vm):
        path = self.write_settings(vm)
        vm.process = self.start_process(vm.name, [self.build / "src/app/cassiarelayd/cassiarelayd", "--gateway", "--settings", path])

    def start_gateway_unread(self, vm):
        """Starts it with its log going to a pipe whose reader has ended."""
        reader, writer = os.pipe()
        os.close(reader)
        command = [self.build / "src/app/cassiarelayd/cassiarelayd", "--gateway", "--settings", self.write_settings(vm)]
        vm.process = subprocess.Popen([str(part) for part in command], stdout=writer, stderr=writer)
        os.close(writer)
        self.processes.append(vm.process)

    def write_settings(self, vm, shutdown_s=8):
        """Renders the settings of a daemon from the template, as the platform does."""
        seeds = [other.endpoint(other.peer_port) for other in list(self.vms.values())[:3]]
        store_port = self.own_stores[vm.name][0] if vm.name in self.own_stores else self.platform_port
        path = self.work / f"{vm.name}.json"
        path.write_text(render(self.template, {
            "node": vm.name, "region": REGION, "zone": vm.domain, "zones": {domain: REGION for domain in DOMAINS},
            "listen": {"front": vm.endpoint(vm.caller_port), "ready": vm.endpoint(vm.ready_port), "control": vm.endpoint(vm.peer_port)},
            "platform": {"address": f"127.0.0.1:{store_port}"}, "seeds": seeds,
            "limits": {"cpuShare": 0.25},
            "bounds": {"graceS": shutdown_s, "retryBudgetRatio": 0.2, "budgetExtra": 50, "budgetWindowS": 10, "coldOver": 1.5, "coldSlack": 5,
                       "drainMs": 2000, "configApplyMs": 2000}}))
        return path

    def peak_memory_mb(self, name):
        with open(f"/proc/{self.vms[name].process.pid}/status") as status:
            return int(re.search(r"VmHWM:\s*(\d+) kB", status.read())[1]) / 1024

    def is_ready(self, vm):
        return vm.process.poll() is None and http_json(vm.ready_port, "GET", "/api/ready", address=vm.address)[0] == 200


def shared_part(request_id):
    """Id of a prompt part; the many of them spread requests over the engines."""
    return f"{zlib.crc32(request_id.encode()):08x}"


def send_routed(connection, route, request_id, prompt, key=KEY, patience_ms=PATIENCE_MS, more_headers=(), parts=None):
    headers = {"Host": HOST, "X-Cassiarelay-Request-Id": request_id, "X-Cassiarelay-Deadline-Ms": str(patience_ms),
               "Authorization": f"Bearer {key}"}
    if route in PIECES_WANTED:
        headers.update({"X-Cassiarelay-Pieces": PIECES_WANTED[route], "X-Cassiarelay-Piece-Key": "7c1e07a291bd",
                        "X-Cassiarelay-Model": "m", "X-Cassiarelay-Token-Counts": "100,16",
                        "X-Cassiarelay-Prompt-Prefix": f"{shared_part(request_id)}:80,91bd3f06:20"})
    if parts:
        headers.update({"X-Cassiarelay-Model": "m", "X-Cassiarelay-Token-Counts": f"{PART_TOKENS * len(parts)},{EVENTS}",
                        "X-Cassiarelay-Prompt-Prefix": ",".join(f"{part}:{PART_TOKENS}" for part in parts)})
    headers.update(more_headers)
    connection.request("POST", f"/{route}/x", json.dumps({"prompt": prompt}), headers)


def request_id_of(head):
    """The id in the head of a request that a gateway has sent to a target."""
    found = re.search(r"X-Cassiarelay-Request-Id: (\S+)", head, re.I)
    return found and found[1]


def stamped_head(instance, request_id):
    """Fields of the response of a target, without a length."""
    return (f"X-Cassiarelay-Request-Id: {request_id}\r\nX-Cassiarelay-Response-Stamp: {instance}.{request_id}\r\n"
            "Content-Type: text/event-stream\r\n\r\n")


def judge(response, text, request_id, prompt):
    """answered, refused (a promise that nothing ran), failed, or wrong."""
    if response.status in (429, 503, 408, 421):
        return "refused"
    if response.status != 200:
        return "failed"
    stamped = response.getheader("X-Cassiarelay-Response-Stamp", "").endswith("." + request_id)
    if response.getheader("Content-Type") == "text/event-stream":
        ids = [int(number) for number in re.findall(r"^id: (\d+)$", text, flags=re.M)]
        whole = ids == list(range(1, EVENTS + 1))
    else:
        whole = json.loads(text)["echo"] == prompt
    return "answered" if stamped and whole else "wrong"


def stamped_instance(response):
    """The target that made the response; empty for a gateway's own."""
    return response.getheader("X-Cassiarelay-Response-Stamp", "").partition(".")[0]


def says_leaving(response):
    return response.getheader("Server-Leaving") == "1"


class RoutedCall:
    """One sending of a request in its own thread."""

    def __init__(self, vm, route, request_id, key):
        self.route = route
        self.kind = None  # what judge() says, or lost when there was no whole answer
        self.status = None
        self.body = None
        self._thread = threading.Thread(target=self._run, args=(vm, route, request_id, key), daemon=True)
        self._thread.start()

    def _run(self, vm, route, request_id, key):
        connection = vm.connection()
        try:
            send_routed(connection, route, request_id, request_id, key)
            response = connection.getresponse()
            self.body = response.read().decode()
            self.status = response.status
            self.kind = judge(response, self.body, request_id, request_id)
        except (OSError, http.client.HTTPException) as failure:
            self.kind = "lost"
            self.body = repr(failure)
        finally:
            connection.close()

    def wait(self):
        self._thread.join()
        return self.kind


class RoutedLoad(SteadyLoad):
    """Requests of one route at a fixed rate to the gateways that are ready."""

    numbers = itertools.count()

    def __init__(self, fleet, route, rate):
        self._prefix = f"load-{next(self.numbers)}-{route}"
        super().__init__(fleet, route, rate)

    @staticmethod
    def _connection(vm):
        return vm.connection()

    def _exchange(self, connection, number):
        request_id = f"{self._prefix}-{number}"
        send_routed(connection, self._pipeline, request_id, request_id)
        response = connection.getresponse()
        text = response.read().decode()
        return judge(response, text, request_id, request_id), f"{request_id} {response.status} {text}"


class ResumedStream:
    """One stream of a caller that takes it up again at another daemon after it was broken off."""

    def __init__(self, request_id, names_stream=True):
        self.request_id = request_id
        self.names_stream = names_stream  # tells, when it resumes, which request began the stream
        self.events = []  # (id, instance that made the event)
        self.began_as = None  # id of the attempt that brought the first event
        self.resumptions = 0
        self.continued = 0  # resumptions that brought an event
        self.complete = False
        self.served_by = None  # name of the gateway from which events arrive now

    def attempt(self, vm, number, patience_ms):
        attempt_id = f"{self.request_id}-{number}"
        headers = {}
        if self.events:
            self.resumptions += 1
            headers = {"Last-Event-Id": str(self.events[-1][0])}
            if self.names_stream:
                headers["Resumes"] = self.began_as
        before = len(self.events)
        connection = vm.connection()
        try:
            send_routed(connection, "draft", attempt_id, self.request_id, patience_ms=patience_ms, more_headers=headers)
            response = connection.getresponse()
            text = ""
            while response.status == 200:
                part = response.read1()
                if not part:
                    break
                text += part.decode()
                whole, _, text = text.rpartition("\n\n")
                self.take(whole)
                self.served_by = vm.name
            self.complete = bool(self.events) and self.events[-1][0] == EVENTS
        except (OSError, http.client.HTTPException):
            pass
        finally:
            self.served_by = None
            connection.close()
        if len(self.events) > before:
            self.began_as = self.began_as or attempt_id
            self.continued += 1 if headers else 0

    def take(self, text):
        for event in text.split("\n\n"):
            fields = dict(line.split(": ", 1) for line in event.splitlines() if ": " in line)
            if "id" in fields:
                self.events.append((int(fields["id"]), fields["event"]))


class ResumedLoad:
    """Streams at a fixed rate to the ready gateways, by callers that resume what was broken off."""

    attempts = 8
    pause_s = 0.1
    loads = itertools.count()

    def __init__(self, fleet, rate, all_name_streams=True):
        self._fleet = fleet
        self._interval = 1 / rate
        self._all_name_streams = all_name_streams  # else every second caller
        self._stop = threading.Event()
        self._prefix = f"resumed-{next(self.loads)}"
        self._streams = []
        self._threads = []
        self._sender = threading.Thread(target=self._send, daemon=True)
        self._sender.start()

    def stop(self):
        self._stop.set()
        self._sender.join()
        for thread in self._threads:
            thread.join()

    def _send(self):
        for number in itertools.count():
            if self._stop.is_set():
                return
            stream = ResumedStream(f"{self._prefix}-{number}", self._all_name_streams or number % 2 == 0)
            self._streams.append(stream)
            self._threads.append(threading.Thread(target=self._run, args=(stream, number), daemon=True))
            self._threads[-1].start()
            time.sleep(self._interval)

    def _run(self, stream, number):
        deadline = time.monotonic() + PATIENCE_MS / 1000
        for attempt in range(self.attempts):
            vms = [vm for vm in self._fleet.vms.values() if vm.process.poll() is None]
            left_ms = int((deadline - time.monotonic()) * 1000)
            if left_ms <= 0:
                return
            if vms:
                stream.attempt(vms[(number + attempt) % len(vms)], attempt, left_ms)
            if stream.complete:
                return
            time.sleep(self.pause_s)

    def open_streams(self, names):
        """Streams of which events arrive from these gateways now. Their callers take them up again if the gateways are lost."""
        return sum(stream.served_by in names and bool(stream.events) for stream in list(self._streams))

    @property
    def counts(self):
        versions = {target["target"]: target.get("version", "1") for target in self._fleet.targets}
        mixed = [stream for stream in self._streams if len({versions[instance] for _, instance in stream.events}) > 1]
        disordered = [stream for stream in self._streams
                      if [number for number, _ in stream.events] != list(range(1, len(stream.events) + 1))]
        return {"streams": len(self._streams), "complete": sum(stream.complete for stream in self._streams), "mixed": len(mixed),
                "disordered": len(disordered), "resumed": sum(stream.resumptions for stream in self._streams),
                "continued": sum(stream.continued for stream in self._streams),
                "takenUp": sum(stream.resumptions > 0 for stream in self._streams),
                "finished": sum(stream.resumptions > 0 and stream.complete for stream in self._streams)}
