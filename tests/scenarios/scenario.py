"""The verbs and conditions of scenarios; see README.md."""

import shlex
import signal
import time

from callers import Call, SteadyLoad
from fleet import DOMAINS, http_json, wait_until

STAGE = {"kind": "call", "path": "/run"}
PIPELINES = [
    {"name": "booking", "priorityClass": 0, "stages": [{"name": "book", "pool": "bookings", "repeatable": False, **STAGE}]},
    {"name": "stock", "priorityClass": 1, "stages": [{"name": "look-up", "pool": "stock", **STAGE}]},
    {"name": "agreement", "priorityClass": 0, "stages": [
        {"name": "encode", "pool": "stock", **STAGE},
        {"name": "draft", "pool": "models", "path": "/v1/completions", "kind": "generate", "model": "dossier-7b", "maxTokens": 64}]},
]
COMPARE = {"=": lambda a, b: a == b, "<=": lambda a, b: a <= b, ">=": lambda a, b: a >= b}
QUIET_S = 1.0


class Scenario:
    """One run of a script. Each method named verb_* is a verb; its arguments are the words of the line."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.calls = {}
        self.sent = {}
        self.load = None
        self.replaced = 0
        fleet.pipelines = PIPELINES

    def run(self, text):
        for number, line in enumerate(text.splitlines(), 1):
            words = shlex.split(line, comments=True)
            if not words:
                continue
            started = time.monotonic()
            try:
                getattr(self, "verb_" + words[0].replace("-", "_"))(*words[1:])
            except AssertionError as failure:
                raise AssertionError(f"line {number}: {line.strip()}: {failure}") from failure
            print(f"{time.monotonic() - started:7.2f} s  {line.strip()}", flush=True)

    def vms(self, names):
        return [self.fleet.vms[name] for name in names.split(",")]

    # start platform | start targets POOL COUNT OPTIONS... | start vms COUNT | start load PIPELINE RATE
    def verb_start(self, what, *words):
        if what == "platform":
            self.fleet.start_platform()
        elif what == "targets":
            self.fleet.start_targets(words[0], int(words[1]), words[2:])
        elif what == "vms":
            self.start_vms(int(words[0]))
        elif what == "load":
            self.load = SteadyLoad(self.fleet, words[0], float(words[1]))
        else:
            raise AssertionError(f"cannot start {what}")

    def start_vms(self, count):
        for index in range(count):
            self.fleet.start_vm(f"vm-{index}", DOMAINS[index % len(DOMAINS)])
        self.fleet.publish_config()
        self.fleet.publish_targets()
        self.fleet.publish_vms()
        for vm in self.fleet.vms.values():
            self.fleet.wait_ready(vm)

    # publish default NAME VALUE | publish domain-out NAME | publish domain-in NAME
    def verb_publish(self, what, *words):
        if what == "default":
            self.fleet.defaults[words[0]] = int(words[1])
        elif what == "domain-out":
            self.fleet.exceptions.append({"match": {"failureDomain": words[0]}, "set": {"out": True}, "reason": "scenario"})
        elif what == "domain-in":
            self.fleet.exceptions = [entry for entry in self.fleet.exceptions if entry["match"] != {"failureDomain": words[0]}]
        if self.fleet.vms:
            self.fleet.publish_config()

    # send REQUEST PIPELINE VM TIMEOUT_MS
    def verb_send(self, request, pipeline, vm, timeout_ms="10000"):
        self.sent[request] = (pipeline, timeout_ms)
        self.calls.setdefault(request, []).append(
            Call(self.fleet, self.fleet.vms[vm], pipeline, request, f"prompt of {request}", int(timeout_ms)))

    # resend REQUEST VM
    def verb_resend(self, request, vm):
        self.verb_send(request, self.sent[request][0], vm, self.sent[request][1])

    def verb_pause(self, names):
        for vm in self.vms(names):
            vm.process.send_signal(signal.SIGSTOP)

    def verb_resume(self, names):
        for vm in self.vms(names):
            vm.process.send_signal(signal.SIGCONT)

    def verb_kill(self, names):
        for vm in self.vms(names):
            vm.process.kill()
            vm.process.wait()

    # shut-down VM: graceful, published as leaving first; the process has to end by itself
    def verb_shut_down(self, name):
        vm = self.fleet.vms[name]
        vm.leaving = True
        self.fleet.publish_vms()
        vm.process.send_signal(signal.SIGTERM)
        wait_until(lambda: vm.process.poll() is not None, f"{name} has ended")
        assert vm.process.returncode == 0, f"{name} ended with {vm.process.returncode}"

    # replace VM: takes a VM off the list and starts a blank one under a new id
    def verb_replace(self, name):
        old = self.fleet.vms.pop(name)
        self.replaced += 1
        new = self.fleet.start_vm(f"new-{self.replaced}", old.domain)
        self.fleet.publish_vms()
        self.fleet.wait_ready(new)

    # cut VM,VM... VM,VM... | heal
    def verb_cut(self, left, right):
        self.fleet.links.cut(left.split(","), right.split(","))

    def verb_heal(self):
        self.fleet.links.heal()

    # platform ok|stale|down
    def verb_platform(self, mode):
        http_json(self.fleet.platform_port, "POST", "/fault", f'{{"mode": "{mode}"}}')

    # fault DOMAIN NAME: sets a fault of every target of a failure domain
    def verb_fault(self, domain, name):
        for target in self.fleet.targets:
            if target["failureDomain"] == domain:
                http_json(target["port"], "POST", "/fault", f'{{"{name}": true}}')

    # wait-for SECONDS | wait-for CONDITION...: until it holds
    def verb_wait_for(self, *words):
        if len(words) == 1 and words[0].endswith("s") and words[0][:-1].isdigit():
            time.sleep(int(words[0][:-1]))
        elif words[0] == "serving":
            self.wait_serving(*words[1:])
        else:
            wait_until(lambda: self.holds(*words)[0], " ".join(words))

    # Opaque keys are granted only some time after the granters started; each try uses a key of its own.
    def wait_serving(self, pipeline, vm):
        tries = []

        def served():
            tries.append(None)
            call = Call(self.fleet, self.fleet.vms[vm], pipeline, f"probe-{vm}-{len(tries)}", "probe", 2000)
            return call.wait() == "answered"

        wait_until(served, f"{pipeline} is served by {vm}")

    def verb_expect(self, *words):
        holds, seen = self.holds(*words)
        assert holds, f"seen: {seen}"

    def holds(self, what, *words):
        """Returns whether the condition holds, and what was seen."""
        return getattr(self, "condition_" + what.replace("-", "_"))(*words)

    # runs REQUEST OPERATOR COUNT
    def condition_runs(self, request, operator, count):
        seen = self.fleet.runs().get(request, 0)
        return COMPARE[operator](seen, int(count)), seen

    # ending REQUEST KIND,KIND...: of its last sending
    def condition_ending(self, request, kinds):
        call = self.calls[request][-1]
        return call.wait() in kinds.split(","), f"{call.kind} {call.body}"

    # at-most-once: no key has run twice, and no not_run is contradicted by a run
    def condition_at_most_once(self):
        runs = self.fleet.runs()
        doubled = [f"{key} ran {runs[key]} times" for key in self.calls if runs.get(key, 0) > 1]
        for key, calls in self.calls.items():
            kinds = [call.wait() for call in calls]
            if runs.get(key, 0) > 0 and set(kinds) == {"not_run"}:
                doubled.append(f"{key} ran although every answer said not_run")
            doubled += [f"{key} not_run after it had run" for call in calls if call.kind == "not_run" and call.runs_before > 0]
        return not doubled, doubled

    # same-answer REQUEST: every answered sending got the same results
    def condition_same_answer(self, request):
        answers = [call.body["results"] for call in self.calls[request] if call.wait() == "answered"]
        return len(answers) > 0 and all(answer == answers[0] for answer in answers), answers

    # quiet DOMAIN: no attempt begins there while the load goes on | busy DOMAIN
    def condition_quiet(self, domain):
        return self.attempts_grow(domain) == 0, "attempts go on"

    def condition_busy(self, domain):
        return self.attempts_grow(domain) > 0, "no attempts"

    def attempts_grow(self, domain):
        before = sum(stats["attempts"] for stats in self.fleet.target_stats(domain=domain))
        time.sleep(QUIET_S)
        return sum(stats["attempts"] for stats in self.fleet.target_stats(domain=domain)) - before

    # overruns = 0: work that cold targets were given above their bound
    def condition_overruns(self, operator, count):
        seen = sum(stats["coldOverruns"] for stats in self.fleet.target_stats())
        return COMPARE[operator](seen, int(count)), seen

    # deaths OPERATOR COUNT: of targets
    def condition_deaths(self, operator, count):
        stats = self.fleet.target_stats()
        seen = sum(entry["deaths"] for entry in stats)
        all_told = len(stats) == len(self.fleet.targets)
        return all_told and COMPARE[operator](seen, int(count)), f"{seen} deaths, {len(stats)} targets told"

    # revision VM,... KEY OPERATOR NUMBER
    def condition_revision(self, names, key, operator, number):
        seen = [self.fleet.status(vm)["revisions"][f"cassiarelay/{key}"] for vm in self.vms(names)]
        return all(COMPARE[operator](revision, int(number)) for revision in seen), seen

    # load ENDING OPERATOR COUNT: ends the load first
    def condition_load(self, ending, operator, count):
        self.load.stop()
        return COMPARE[operator](self.load.counts[ending], int(count)), f"{self.load.counts} {self.load.examples[:3]}"

    # ready VM
    def condition_ready(self, name):
        return self.fleet.is_ready(self.fleet.vms[name]), "not ready"
