"""The verbs and conditions that only scenarios of gateways have."""

import json
import signal
import socket
import threading
import time

from crashloads import CrashLoad
from cutload import CutLoad
from endlesstargets import EndlessTargets
from fleet import http_json, wait_until
from foreigntargets import ForeignTargets
from fragiletargets import BAD_PROMPT, FragileTargets
from gateways import KEY, SOUND_ENTRY, UNSAFE_ROUTES, ResumedLoad, RoutedCall, RoutedLoad, target_key
from lateload import LateLoad
from oddentries import odd_entries
from scenario import COMPARE, Scenario


STREAMING_SERVICES = {"model"}
MISDIRECTED_ENTRIES = 5


class GatewayScenario(Scenario):
    """One run of a script with gateways before the users' kind of targets."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self.fragile = FragileTargets(fleet)
        self.side_loads = []
        self.late_load = None

    # start platform | start service NAME COUNT OPTIONS... | start fragile-service NAME COUNT WAY,... | start gateways COUNT
    # start endless-service NAME COUNT head|body | start side-load ROUTE RATE
    # start load ROUTE RATE | start resumed-load RATE [half-unnamed] | start crash-load ROUTE RATE
    # start gateways-behind-relays COUNT | start cut-load ROUTE,... RATE
    def verb_start(self, what, *words):
        if what == "platform":
            self.fleet.start_platform()
            self.fleet.publish_routes()
        elif what == "service":
            self.fleet.start_service(words[0], int(words[1]), words[2:])
        elif what == "fragile-service":
            self.fragile.start_service(words[0], int(words[1]), words[0] in STREAMING_SERVICES, words[2].split(","))
        elif what == "endless-service":
            EndlessTargets(self.fleet, words[0], int(words[1]), words[2])
        elif what == "foreign-service":
            ForeignTargets(self.fleet, words[0], words[1])
        elif what == "side-load":
            self.side_loads.append(RoutedLoad(self.fleet, words[0], float(words[1])))
        elif what == "crash-load":
            self.load = CrashLoad(self.fleet, self.fragile, words[0], float(words[1]))
        elif what == "gateways":
            self.fleet.start_gateways(int(words[0]))
        elif what == "gateways-behind-relays":
            self.fleet.start_gateways(int(words[0]), behind_relays=True)
        elif what == "cut-load":
            self.load = CutLoad(self.fleet, words[0].split(","), float(words[1]))
        elif what == "load":
            self.load = RoutedLoad(self.fleet, words[0], float(words[1]))
        elif what == "resumed-load":
            self.load = ResumedLoad(self.fleet, float(words[0]), all_name_streams="half-unnamed" not in words)
        else:
            raise AssertionError(f"cannot start {what}")

    # publish route-out NAME | route-in NAME | key-out KEY | key-in KEY | domain-out NAME | domain-in NAME | leaving TARGET | gone TARGET
    # publish odd-entries SERVICE (whose entries they resemble) | misdirected SERVICE TARGET
    def verb_publish(self, what, name, *words):
        if what == "route-out":
            self.fleet.withdrawn = [route for route in self.fleet.routes if route["name"] == name]
            self.fleet.routes = [route for route in self.fleet.routes if route["name"] != name]
            self.fleet.publish_routes()
        elif what == "route-in":
            self.fleet.routes += [route for route in self.fleet.withdrawn if route["name"] == name]
            self.fleet.publish_routes()
        elif what == "key-out":
            self.fleet.keys.remove(name)
            self.fleet.publish_routes()
        elif what == "key-in":
            self.fleet.keys.append(name)
            self.fleet.publish_routes()
        elif what == "domain-out":
            self.fleet.take_domain_out(name)
        elif what == "domain-in":
            self.fleet.take_domain_back(name)
        elif what == "leaving":
            self.fleet.publish_target(self.target(name), "draining")
        elif what == "gone":
            self.fleet.remove_target(name)
        elif what == "odd-entries":
            for key, value in odd_entries().items():
                self.fleet.put_raw(key, value)
        elif what == "misdirected":
            for number in range(MISDIRECTED_ENTRIES):
                address = f"127.0.0.1:{self.target(words[0])['port']}"
                self.fleet.put_item(target_key(f"misdirected-{number}"), {**SOUND_ENTRY, "service": name, "address": address})
        else:
            raise AssertionError(f"cannot publish {what}")

    def target(self, name):
        return next(target for target in self.fleet.targets if target["target"] == name)

    # send REQUEST ROUTE VM [KEY]
    def verb_send(self, request, route, vm, key=KEY):
        self.calls.setdefault(request, []).append(RoutedCall(self.fleet.vms[vm], route, request, key))

    # limit TARGET RATE|none: requests per second that the target names in its answers
    def verb_limit(self, name, rate):
        limit = None if rate == "none" else float(rate)
        status, answer = http_json(self.target(name)["port"], "POST", "/fault", json.dumps({"rateLimit": limit}))
        assert status == 200, answer

    # say-leaving TARGET: the target says in its answers that it is leaving, and its entry does not
    def verb_say_leaving(self, name):
        status, answer = http_json(self.target(name)["port"], "POST", "/fault", json.dumps({"leaving": True}))
        assert status == 200, answer

    # slow SERVICE FACTOR: what the targets of the service begin from now on takes so many times as long
    def verb_slow(self, service, factor):
        for target in self.fleet.targets:
            if target["pool"] == service:
                status, answer = http_json(target["port"], "POST", "/fault", json.dumps({"slow": float(factor)}))
                assert status == 200, answer

    # refuse TARGET PAUSE_MS: the target turns everything away and asks for a pause
    def verb_refuse(self, name, pause_ms):
        http_json(self.target(name)["port"], "POST", "/fault", json.dumps({"refuse": True, "refusalPauseMs": int(pause_ms)}))

    # brittle SERVICE COUNT|none: with more refusals in a second a target of the service falls over, as it says in its answers
    def verb_brittle(self, service, count):
        limit = None if count == "none" else int(count)
        for target in self.fleet.targets:
            if target["pool"] == service:
                http_json(target["port"], "POST", "/fault", json.dumps({"maxRefusals": limit}))

    # reuse-address TARGET SERVICE: all targets of its service crash for good; its address goes to a new target of the other service
    def verb_reuse_address(self, name, service):
        self.fleet.reuse_address(self.target(name), service)

    # take-port VM caller|ready|peer|metrics SECONDS: another process holds a port of a gateway that was killed
    def verb_take_port(self, name, port, seconds):
        vm = self.fleet.vms[name]
        holder = socket.create_server((vm.address, getattr(vm, f"{port}_port")), reuse_port=False)
        threading.Timer(float(seconds), holder.close).start()

    # restart-unread VM: starts it with its log going to a pipe whose reader has ended
    def verb_restart_unread(self, name):
        vm = self.fleet.vms[name]
        self.fleet.start_gateway_unread(vm)
        self.fleet.wait_ready(vm)

    # version TARGET VERSION: the target publishes this version of its software
    def verb_version(self, name, version):
        target = self.target(name)
        target["version"] = version
        self.fleet.publish_target(target)

    # cut-targets VM,... WAY: these gateways reach no target; their connections are reset, hang, or live on while new ones are refused
    def verb_cut_targets(self, names, way):
        self.cut_off = names.split(",")
        self.fleet.target_links.cut(self.cut_off, way)
        self.load.cut(self.cut_off)

    # mend-targets: ends the last cut
    def verb_mend_targets(self):
        self.fleet.target_links.mend(self.cut_off)
        self.load.mend()

    # crash TARGET: it is back after a second
    def verb_crash(self, name):
        http_json(self.target(name)["port"], "POST", "/fault", json.dumps({"die": True}))

    # send-bad same-request | send-bad part: the crash load sends one request again and again, or requests with one bad part
    def verb_send_bad(self, what):
        assert what in ("same-request", "part"), f"cannot send {what}"
        self.load.send_bad(BAD_PROMPT if what == "same-request" else None)

    # crash-some SERVICE COUNT: targets crash without a cause
    def verb_crash_some(self, service, count):
        self.fragile.crash_some(service, int(count))

    # shut-down VM: the process has to end by itself
    def verb_shut_down(self, name):
        vm = self.fleet.vms[name]
        vm.process.send_signal(signal.SIGTERM)
        wait_until(lambda: vm.process.poll() is not None, f"{name} has ended")
        assert vm.process.returncode == 0, f"{name} ended with {vm.process.returncode}"

    # shut-down-late VM ROUTE,... RATE PATIENCE_MS: callers go on sending until the process has ended
    def verb_shut_down_late(self, name, routes, rate, patience_ms):
        vm = self.fleet.vms[name]
        self.late_load = LateLoad(vm, routes.split(","), float(rate), int(patience_ms))
        vm.process.send_signal(signal.SIGTERM)
        self.late_load.run()
        assert vm.process.returncode == 0, f"{name} ended with {vm.process.returncode}"

    # silence-store VM,...: the stores of these gateways, which have relays of their own, answer nothing | wake-store VM,...
    def verb_silence_store(self, names):
        for name in names.split(","):
            self.fleet.silence_store(name)

    def verb_wake_store(self, names):
        for name in names.split(","):
            self.fleet.wake_store(name)

    # rewrite-settings VM SHUTDOWN_S: the file changes without a signal
    def verb_rewrite_settings(self, name, shutdown_s):
        self.fleet.write_settings(self.fleet.vms[name], int(shutdown_s))

    # restart VM: after it was killed or shut down
    def verb_restart(self, name):
        vm = self.fleet.vms[name]
        self.fleet.start_gateway(vm)
        self.fleet.wait_ready(vm)

    # platform ok|slow|down|forget|take-copy|restore-copy
    def verb_platform(self, mode):
        if mode in ("take-copy", "restore-copy"):
            http_json(self.fleet.platform_port, "POST", "/fault", json.dumps({"copy": mode.split("-")[0]}))
            return
        if mode == "forget":
            http_json(self.fleet.platform_port, "POST", "/fault", '{"forget": true}')
        else:
            super().verb_platform(mode)

    # at-most-once: nothing that may not be repeated has run twice, and nothing that was refused has run
    def condition_at_most_once(self):
        wrong = []
        runs = self.fleet.runs()
        for request, calls in self.calls.items():
            kind = calls[-1].wait()
            count = runs.get(request, 0)
            if count > 1 and calls[-1].route in UNSAFE_ROUTES:
                wrong.append(f"{request} ran {count} times")
            if count > 0 and kind == "refused":
                wrong.append(f"{request} was refused and ran")
        return not wrong, wrong

    # resumed-load FIGURE OPERATOR COUNT: ends the load first
    def condition_resumed_load(self, figure, operator, count):
        self.load.stop()
        seen = self.load.counts
        return COMPARE[operator](seen[figure], int(count)), seen

    # open-streams VM,... OPERATOR COUNT: streams of the resumed load of which events arrive from these gateways now
    def condition_open_streams(self, names, operator, count):
        seen = self.load.open_streams(names.split(","))
        return COMPARE[operator](seen, int(count)), seen

    # most-streams-continue: at least half of the streams that were taken up again came to their end
    def condition_most_streams_continue(self):
        self.load.stop()
        seen = self.load.counts
        return seen["finished"] * 2 >= seen["takenUp"] >= 12, seen

    # late-cut OPERATOR COUNT: requests that came late in a shutdown, reached a target, and ended without its answer
    def condition_late_cut(self, operator, count):
        seen = self.late_load.cut(self.fleet.runs())
        return COMPARE[operator](len(seen), int(count)), (len(seen), len(self.late_load.ends), seen[:3])

    # memory VM,... OPERATOR MB: the most that the processes have had resident
    def condition_memory(self, names, operator, megabytes):
        seen = {name: self.fleet.peak_memory_mb(name) for name in names.split(",")}
        return all(COMPARE[operator](memory, float(megabytes)) for memory in seen.values()), seen

    # status REQUEST OPERATOR STATUS: of its last sending
    def condition_status(self, request, operator, status):
        call = self.calls[request][-1]
        call.wait()
        return COMPARE[operator](call.status, int(status)), call.status

    # logged VM EVENT: the daemon has written a line of this event
    def condition_logged(self, name, event):
        lines = (self.fleet.work / f"{name}.out").read_text()
        return f'event="{event}"' in lines or f"event={event} " in lines, "no such line"

    # late-arrivals CRASHES OPERATOR COUNT: bad requests of one kind that reach targets later than 3 s after that many crashes
    def condition_late_arrivals(self, crashes, operator, count):
        seen = [culprit.late_arrivals(int(crashes)) for culprit in self.fragile.culprits.values()]
        return COMPARE[operator](max(seen, default=0), int(count)), self.load.counts

    # crashes OPERATOR COUNT: by bad requests
    def condition_crashes(self, operator, count):
        seen = sum(len(culprit.crashes) for culprit in self.fragile.culprits.values())
        return COMPARE[operator](seen, int(count)), seen

    # sound-begun OPERATOR SHARE [SECONDS]: sound requests that began at their first attempt, of the last seconds
    def condition_sound_begun(self, operator, share, seconds=None):
        seen = self.load.sound_begun(time.monotonic() - float(seconds) if seconds else 0.0)
        return COMPARE[operator](seen, float(share)), self.load.counts

    # sound-wrong OPERATOR COUNT: sound requests whose whole answer was not theirs; ends the load first
    def condition_sound_wrong(self, operator, count):
        self.load.stop()
        return COMPARE[operator](self.load.ends["sound wrong"], int(count)), self.load.examples[:3]

    # cut-served ROUTE OPERATOR SHARE: how often callers of the gateways that were cut off were served, compared with those of the others
    def condition_cut_served(self, route, operator, share):
        at_cut, at_others = self.load.shares(route)
        return COMPARE[operator](at_cut, float(share) * at_others), (at_cut, at_others, self.load.examples[-3:])

    # others-served ROUTE OPERATOR SHARE: how often callers of the other gateways were served meanwhile
    def condition_others_served(self, route, operator, share):
        return COMPARE[operator](self.load.shares(route)[1], float(share)), self.load.examples[-3:]

    # served OPERATOR SHARE SECONDS: how often callers of all gateways were served in the last seconds
    def condition_served(self, operator, share, seconds):
        seen = self.load.share_since(time.monotonic() - float(seconds))
        return COMPARE[operator](seen, float(share)), (seen, self.load.examples[-3:])

    # cut-load-once: nothing that may not be repeated has run twice, here or elsewhere; ends the load first
    def condition_cut_load_once(self):
        self.load.stop()
        runs = self.fleet.runs()
        twice = [request for request, route in self.load.sent.items() if route in UNSAFE_ROUTES and runs.get(request, 0) > 1]
        return not twice, twice[:3]

    # leaving-obeyed PAIRS: no gateway used a target that it knew to be leaving; so many pairs of the two were seen
    def condition_leaving_obeyed(self, pairs):
        wrong, seen = self.load.sent_to_leaving(), self.load.told_of_leaving()
        return wrong == 0 and seen >= int(pairs), (wrong, seen)

    # service-total SERVICE FIGURE OPERATOR COUNT: like total, over the targets of one service
    def condition_service_total(self, service, figure, operator, count):
        seen = sum(stats.get(figure, 0) for stats in self.fleet.target_stats(pool=service))
        return COMPARE[operator](seen, int(count)), seen

    # total FIGURE OPERATOR COUNT: a figure that targets tell, over all of them
    def condition_total(self, figure, operator, count):
        seen = sum(stats.get(figure, 0) for stats in self.fleet.target_stats())
        return COMPARE[operator](seen, int(count)), seen
