"""Starts and stops the processes of a fleet on loopback: platform, targets and daemons."""

import http.client
import json
import pathlib
import random
import signal
import socket
import subprocess
import time

from links import Links

TOKEN = "demo-token"
TOKEN_SHA256 = "7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c"
OPERATOR_TOKEN = "scenario-operator-token"
DOMAINS = ("medina", "hann", "ouakam")
READY_LIMIT_S = 30
CALL_LIMIT_S = 15
FIRST_PORT = 10000  # those below belong to well-known services
given_ports = set()


def http_json(port, method, path, body=None, headers=None, timeout=CALL_LIMIT_S, address="127.0.0.1"):
    """Returns (status, parsed body or text)."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        text = response.read().decode()
        try:
            return response.status, json.loads(text)
        except ValueError:
            return response.status, text
    finally:
        connection.close()


def client_ports():
    """First port of the range that the system gives to connections of clients."""
    with open("/proc/sys/net/ipv4/ip_local_port_range") as settings:
        return int(settings.read().split()[0])


def free_port():
    """A port that no client's connection can take before the process that is to listen on it has started."""
    while True:
        port = random.randrange(FIRST_PORT, client_ports())
        if port in given_ports:
            continue
        with socket.socket() as listener:
            try:
                listener.bind(("127.0.0.1", port))
            except OSError:
                continue
        given_ports.add(port)
        return port


def wait_until(condition, what, limit_s=READY_LIMIT_S):
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise AssertionError(f"still not true after {limit_s} s: {what}")


class Vm:
    """One daemon with its ports; a replacement has new ports and a new id."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.caller_port, self.operator_port, self.peer_port, self.published_port = (free_port() for _ in range(4))
        self.process = None
        self.leaving = False

    def entry(self):
        return {"vm": self.name, "address": "127.0.0.1", "peerPort": self.published_port, "region": "cap-vert",
                "failureDomain": self.domain, "leaving": self.leaving}


class Fleet:
    """The processes of one test. Every process that it starts is ended by close()."""

    def __init__(self, build, work):
        self.build = pathlib.Path(build).resolve()
        self.work = pathlib.Path(work)
        self.processes = []
        self.vms = {}
        self.targets = []
        self.exceptions = []
        self.defaults = {}
        self.pipelines = []
        self.organisations = [{"name": "crewing-agency", "tokenSha256": [TOKEN_SHA256]}]
        self.platform_port = None
        self.links = Links(self)

    def start_process(self, name, command):
        output = open(self.work / f"{name}.out", "wb")
        process = subprocess.Popen([str(part) for part in command], stdout=output, stderr=subprocess.STDOUT)
        self.processes.append(process)
        return process

    def output_lines(self, name, count):
        path = self.work / f"{name}.out"
        wait_until(lambda: len(path.read_text().splitlines()) >= count, f"{name} has started")
        return path.read_text().splitlines()[:count]

    def start_platform(self):
        self.start_process("platform", [self.build / "tests/standins/standin-platform"])
        self.platform_port = int(self.output_lines("platform", 1)[0])

    def start_targets(self, pool, count, options=()):
        """One process hosts the pool; its targets are spread over the failure domains."""
        self.start_process(pool, [self.build / "tests/standins/standin-target", "--count", count, *options])
        for index, port in enumerate(self.output_lines(pool, count)):
            self.targets.append({"target": f"{pool}-{index}", "pool": pool, "address": "127.0.0.1", "port": int(port),
                                 "failureDomain": DOMAINS[index % len(DOMAINS)]})

    def start_vm(self, name, domain):
        vm = Vm(name, domain)
        self.vms[name] = vm
        self.links.open(vm)
        settings = {
            "vm": name, "region": "cap-vert", "failureDomain": domain,
            "callers": {"address": "127.0.0.1", "port": vm.caller_port},
            "operators": {"address": "127.0.0.1", "port": vm.operator_port, "token": OPERATOR_TOKEN},
            "peers": {"address": "127.0.0.1", "port": vm.peer_port},
            "platform": {"address": "127.0.0.1", "port": self.platform_port},
            "cellSecret": "scenario-cell-secret-0"}
        path = self.work / f"{name}.json"
        path.write_text(json.dumps(settings))
        vm.process = self.start_process(name, [self.build / "src/app/cassiarelayd/cassiarelayd", "--settings", path])
        return vm

    def put(self, key, document):
        status, answer = http_json(self.platform_port, "PUT", f"/v1/kv/cassiarelay/{key}", json.dumps(document))
        assert status == 200, answer
        return int(answer)

    def publish_config(self):
        return self.put("config", {"defaults": self.defaults, "organisations": self.organisations,
                                   "pipelines": self.pipelines, "exceptions": self.exceptions})

    def publish_vms(self):
        return self.put("vms", {"vms": [vm.entry() for vm in self.vms.values()]})

    def publish_targets(self):
        return self.put("targets", {"targets": self.targets})

    def is_ready(self, vm):
        return vm.process.poll() is None and http_json(vm.operator_port, "GET", "/readyz")[0] == 200

    def wait_ready(self, vm):
        wait_until(lambda: self.is_ready(vm), f"{vm.name} is ready")

    def status(self, vm):
        return http_json(vm.operator_port, "GET", "/admin/v1/status", None, {"Authorization": f"Bearer {OPERATOR_TOKEN}"})[1]

    def target_stats(self, path="/stats", domain=None, pool=None):
        """What each matching target tells at path; a dead target is left out."""
        stats = []
        for target in self.targets:
            if (domain and target["failureDomain"] != domain) or (pool and target["pool"] != pool):
                continue
            try:
                stats.append(http_json(target["port"], "GET", path)[1])
            except (OSError, http.client.HTTPException):
                continue
        return stats

    def runs(self):
        """Runs by the callers' key over all targets."""
        totals = {}
        for runs in self.target_stats("/runs"):
            for key, count in runs.items():
                totals[key] = totals.get(key, 0) + count
        return totals

    def close(self):
        self.links.close()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
