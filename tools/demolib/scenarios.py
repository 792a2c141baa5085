"""What happens to a deployment while it is driven, and the figures."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

from . import deployment as dep

NAMES = ["none", "rules", "kill", "rolling", "drain", "join", "partition", "platform-outage", "restore", "pause", "silent", "shed", "list-lag"]
REWRITE_SECONDS = 1.5
SETTLE_SECONDS = 4
SERVICE_MS = 40
SLOTS = (dep.FEED_TARGETS + dep.DOCUMENT_TARGETS) * 2


def say(text):
    print(time.strftime("%H:%M:%S"), text, file=sys.stderr, flush=True)


class Director:
    """Applies scenarios one after another while load runs."""

    def __init__(self, world, seconds):
        self.world = world
        self.seconds = seconds
        self.end = time.monotonic() + seconds

    def pick(self, n=0):
        return sorted(self.world.instances.values(), key=lambda it: it.number)[n]

    def none(self):
        pass

    def rules(self):
        while time.monotonic() < self.end - 5:
            if self.world.rewrite_rules() != 0:
                say("a submission was not accepted")
            time.sleep(REWRITE_SECONDS)

    def kill(self):
        time.sleep(self.seconds * 0.3)
        victim = self.pick(1)
        say(f"killing instance {victim.number}")
        self.world.kill(victim)

    def rolling(self):
        """Replaces every instance, one after another."""
        for old in sorted(self.world.instances.values(), key=lambda it: it.number):
            fresh = self.world.new_instance(old.zone_index)
            self.world.start_instance(fresh)
            self.world.publish_list()
            if not self.world.wait_live([fresh], 2):
                say(f"instance {fresh.number} did not become live")
            self.world.add_to_fabric(fresh)
            say(f"replacing instance {old.number} by {fresh.number}")
            code = self.world.stop_gracefully(old)
            if code != 0:
                say(f"instance {old.number} ended with {code}")

    def drain(self):
        time.sleep(self.seconds * 0.2)
        feeds = self.world.profile["feeds"]
        victim = next(it for it in self.world.targets if it["service"] == feeds)
        say(f"backend server {victim['address']} drains")
        self.world.backend(victim["address"], "drain")

    def join(self):
        time.sleep(self.seconds * 0.3)
        fresh = self.world.new_instance(0)
        say(f"instance {fresh.number} joins")
        self.world.start_instance(fresh)
        self.world.publish_list()
        self.world.wait_live([fresh], 2)
        self.world.add_to_fabric(fresh)

    def partition(self):
        time.sleep(self.seconds * 0.25)
        zone = 3
        say(f"zone {self.world.profile['zones'][zone - 1]} is cut off")
        self.cut(zone, True)
        time.sleep(self.seconds * 0.35)
        say("the cut is healed")
        self.cut(zone, False)

    def cut(self, zone, on):
        net = f"{self.world.net}.{zone}."
        dep.http("POST", self.world.wire_control, "/cut", net=net if on else "")
        dep.http("POST", self.world.platform, "/control/faults", cut=net if on else "")
        for target in self.world.targets:
            if not on:
                self.world.backend(target["address"], "uncut")
            elif target["address"].startswith(net):
                self.world.backend(target["address"], f"cutoutside:{net}0/24")
            else:
                self.world.backend(target["address"], f"cut:{net}0/24")

    def platform_outage(self):
        time.sleep(self.seconds * 0.2)
        say("the platform is down")
        dep.http("POST", self.world.platform, "/control/faults", down=1)
        time.sleep(self.seconds * 0.6)
        dep.http("POST", self.world.platform, "/control/faults")
        say("the platform is back")

    def restore(self):
        """The platform's service is away for a moment and comes back from a copy of some seconds before."""
        for _ in range(2):
            time.sleep(self.seconds * 0.3)
            dep.http("POST", self.world.platform, "/control/faults", down=1)
            time.sleep(0.5)
            dep.http("POST", self.world.platform, "/control/restore", age_ms=4000)
            dep.http("POST", self.world.platform, "/control/faults")
            say("the platform is back, from a copy four seconds old")

    def pause(self):
        time.sleep(self.seconds * 0.25)
        victim = self.pick(2)
        say(f"instance {victim.number} is paused for longer than its lease")
        victim.process.send_signal(signal.SIGSTOP)
        # The fabric's health check takes a second to notice.
        time.sleep(1)
        self.world.remove_from_fabric(victim)
        time.sleep(4)
        victim.process.send_signal(signal.SIGCONT)
        self.world.add_to_fabric(victim)
        say("it goes on")

    def silent(self):
        time.sleep(self.seconds * 0.2)
        say("a fifth of one backend server's flows go silent")
        self.world.backend(self.world.targets[0]["address"], "silence")

    def shed(self):
        time.sleep(self.seconds * 0.25)
        feeds = self.world.profile["feeds"]
        victims = [it for it in self.world.targets if it["service"] == feeds][:5]
        say("a third of the backend servers shed all")
        for it in victims:
            self.world.backend(it["address"], "shed")
        time.sleep(self.seconds * 0.3)
        for it in victims:
            self.world.backend(it["address"], "unshed")

    def list_lag(self):
        self.rules()


def build(folder):
    for command in (["cmake", "-S", ".", "-B", folder, "-G", "Ninja"], ["cmake", "--build", folder]):
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if done.returncode != 0:
            sys.stderr.write(done.stdout + done.stderr)
            raise SystemExit("the build failed")


def start(world):
    world.start_standins()
    for zone, count in enumerate((3, 2, 2)):
        for _ in range(count):
            world.new_instance(zone)
    if world.submit() != 0:
        raise SystemExit("the first rule set was not accepted")
    world.publish_list()
    for instance in world.instances.values():
        world.start_instance(instance)
    for instance in world.instances.values():
        world.add_to_fabric(instance)
    if not world.wait_live(list(world.instances.values()), dep.INSTANCES):
        raise SystemExit("the instances did not become live")
    # A new owner says "may have run" for one request life after its start.
    time.sleep(5.5)


def drive(world, arguments):
    if arguments.load:
        rate = arguments.load * SLOTS * 1000 / SERVICE_MS
        dep.http("POST", world.fabric_control, "/control", do="rate", value=rate)
    dep.http("POST", world.fabric_control, "/control", do="start")
    world.cpu_before = {it.process.pid: usage(it.process)[0] for it in world.instances.values()}
    director = Director(world, arguments.seconds)
    threads = [threading.Thread(target=getattr(director, name.replace("-", "_"))) for name in arguments.scenario]
    for thread in threads:
        thread.start()
    while time.monotonic() < director.end or any(it.is_alive() for it in threads):
        time.sleep(2)
        stats = json.loads(dep.http("GET", world.fabric_control, "/stats"))
        say(f"flows={stats['flows']} requests={stats['requests']} answered={stats['answered']} broken={stats['broken_by_reset'] + stats['broken_by_silence']} lost={stats['lost']}")
    dep.http("POST", world.fabric_control, "/control", do="stop")
    time.sleep(SETTLE_SECONDS)


def imbalance(targets):
    worst = 1.0
    for service in {it["service"] for it in targets}:
        work = [it["executed"] for it in targets if it["service"] == service]
        if sum(work):
            worst = max(worst, max(work) * len(work) / sum(work))
    return worst


def usage(process):
    """Processor seconds and resident bytes of a running process."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK"), int(fields[21]) * os.sysconf("SC_PAGE_SIZE")


def collect(world, arguments):
    calls = json.loads(dep.http("GET", world.fabric_control, "/stats"))
    backends = json.loads(dep.http("GET", world.backend_control, "/stats"))
    wire = json.loads(dep.http("GET", world.wire_control, "/stats"))
    runs = set(dep.http("GET", world.backend_control, "/runs").split())
    told = {"not_run": set(), "unknown": set()}
    for line in dep.http("GET", world.fabric_control, "/ids").splitlines():
        kind, request = line.split()
        told[kind].add(request)
    figures = {
        "flows": calls["flows"],
        "requests": calls["requests"],
        "broken_flows": calls["broken_by_reset"] + calls["broken_by_silence"] + calls["never_opened"],
        "misrouted": backends["misrouted"],
        "run_twice": backends["run_twice"],
        "false_not_run": len(told["not_run"] & runs),
        "lost_answers": calls["lost"] + calls["crossed"],
        "cut_requests": len(told["unknown"] & runs),
        "imbalance": round(imbalance(backends["targets"]), 3),
        "rule_lag_p99_ms": calls["rule_lag_p99_ms"],
        "drain_last_new_ms": backends["drain_last_new_ms"],
        "control_bytes_per_s_max": wire["bytes_per_s_max"],
    }
    metrics = [world.metrics(it) for it in world.instances.values()]
    total = lambda prefix: int(sum(value for it in metrics for key, value in it.items() if key.startswith(prefix)))
    figures["retries"] = total("chicory_retries_total")
    figures["refusals"] = sum(calls["not_run"].values()) + sum(calls["unknown"].values())
    if arguments.verbose:
        spent = [usage(it.process) for it in world.instances.values()]
        print(json.dumps({"cpu_percent_max": round(max(max(0, cpu - world.cpu_before.get(pid, cpu)) for (cpu, _), pid in zip(spent, (it.process.pid for it in world.instances.values()))) / (arguments.seconds + SETTLE_SECONDS) * 100, 2), "rss_mb_max": round(max(rss for _, rss in spent) / 2**20, 1), "calls": calls, "sheds": sum(it["sheds"] for it in backends["targets"]), "passed_on": total("chicory_packets_passed_on"), "recovered_by_peer": total("chicory_flows_recovered_by_peer"), "recovered_by_target": total("chicory_flows_recovered_by_target"), "recovery_tries": total("chicory_recovery_tries"), "goodput_per_s": round(calls["answered"] / arguments.seconds, 1), "targets": backends["targets"]}))
        for it in metrics:
            print({key: value for key, value in it.items() if value and ("refusals" in key or "retries" in key)})
    return figures


def run(arguments):
    build(arguments.build)
    world = dep.Deployment(arguments)
    try:
        say(f"starting {arguments.profile}")
        start(world)
        drive(world, arguments)
        figures = collect(world, arguments)
    finally:
        world.stop()
    print(" ".join(f"{key}={value}" for key, value in figures.items()))
    never = ("misrouted", "run_twice", "false_not_run")
    return 1 if any(figures[key] for key in never) else 0
