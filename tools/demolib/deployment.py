"""A deployment on loopback: stand-ins, instances, and how to reach them."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse
import urllib.request

PROFILES = {
    "kigali": {
        "zones": ["gikondo", "kacyiru", "remera"],
        "feeds": "records",
        "documents": "certificates",
    },
    "ljubljana": {
        "zones": ["hall-a", "hall-b", "hall-c"],
        "feeds": "dispatch",
        "documents": "documents",
    },
}
FEED_TARGETS = 15
DOCUMENT_TARGETS = 4
INSTANCES = 7
FEEDS_VIP = "10.1.0.1:443"
DOCUMENTS_VIP = "10.2.0.1:443"
CANARY_IP = "10.9.0.1"
PEER_KEY = "loopback demo key, not a secret"


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def http(method, address, path, body=None, timeout=5, **query):
    url = f"http://{address}{path}"
    if query:
        url += "?" + urllib.parse.urlencode(query)
    data = body.encode() if body is not None else (b"" if method == "POST" else None)
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


class Instance:
    """One chicoryd with its addresses."""

    def __init__(self, number, zone_index, zone, net):
        self.number = number
        self.zone = zone
        self.zone_index = zone_index
        self.ip = f"{net}.{zone_index + 1}.{number}"
        self.packets = f"{self.ip}:{free_port(self.ip, socket.SOCK_DGRAM)}"
        self.peers = f"{self.ip}:{free_port(self.ip)}"
        self.admin = f"{self.ip}:{free_port(self.ip)}"
        self.advertise_packets = self.packets
        self.advertise_peers = self.peers
        self.process = None

    def listed(self):
        return {
            "id": self.number,
            "zone": self.zone,
            "packets": self.advertise_packets,
            "peers": self.advertise_peers,
            "admin": self.admin,
        }


class Deployment:
    """Everything that one demo starts, and stops again."""

    def __init__(self, arguments):
        self.arguments = arguments
        self.profile = PROFILES[arguments.profile]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="chicory-demo-"))
        self.bin = pathlib.Path(arguments.build)
        self.processes = []
        self.instances = {}
        self.next_number = 1
        # Two demos at once must not race for the same free ports.
        self.net = f"127.{os.getpid() % 250 + 1}"
        self.targets = []
        self.extra_rules = 0
        self.canary_port = 0
        self.version = 0

    # --- processes ---------------------------------------------------------

    def start_process(self, name, *words):
        log = open(self.folder / f"{name}.log", "wb")
        process = subprocess.Popen([str(self.bin / words[0]), *words[1:]], stdout=subprocess.PIPE if name.startswith("standin") else log, stderr=log)
        self.processes.append(process)
        return process

    def read_lines(self, process):
        """The lines that a stand-in prints until it is ready."""
        found = []
        for raw in process.stdout:
            line = raw.decode().strip()
            found.append(line)
            if line.startswith("port="):
                return found
        raise RuntimeError(f"{process.args[0]} ended with {process.wait()}")

    def start_standins(self):
        arguments = self.arguments
        lag = 60000 if "list-lag" in arguments.scenario else 1000
        lines = self.read_lines(self.start_process("standin-platform", "standin-platform", "--list-lag-ms", str(lag)))
        self.platform = "127.0.0.1:" + lines[-1].split("=")[1]
        feeds, documents = self.profile["feeds"], self.profile["documents"]
        lines = self.read_lines(
            self.start_process(
                "standin-fabric", "standin-fabric",
                "--service", f"{feeds}={FEEDS_VIP}@{FEED_TARGETS}", "--service", f"{documents}={DOCUMENTS_VIP}@{DOCUMENT_TARGETS}",
                "--feeds", str(arguments.flows), "--requests", str(arguments.requests),
                "--idempotent", str(arguments.idempotent), "--seed", str(arguments.seed),
            )
        )
        self.fabric = lines[0].split("=")[1]
        self.fabric_control = "127.0.0.1:" + lines[-1].split("=")[1]
        ips = lambda count, first: ",".join(f"{self.net}.{i % 3 + 1}.{first + i}" for i in range(count))
        lines = self.read_lines(
            self.start_process(
                "standin-backend", "standin-backend", "--fabric", self.fabric, "--seed", str(arguments.seed),
                "--service", f"{feeds}={ips(FEED_TARGETS, 100)}", "--service", f"{documents}={ips(DOCUMENT_TARGETS, 150)}",
            )
        )
        self.backend_control = "127.0.0.1:" + lines[-1].split("=")[1]
        for line in lines[:-1]:
            service, address = line.split("=", 1)[1].split(" ")
            zone = self.profile["zones"][int(address.split(".")[2]) - 1]
            self.targets.append({"service": service, "address": address, "zone": zone})
        lines = self.read_lines(self.start_process("standin-wire", "standin-wire"))
        self.wire_control = "127.0.0.1:" + lines[-1].split("=")[1]

    # --- instances ---------------------------------------------------------

    def new_instance(self, zone_index):
        instance = Instance(self.next_number, zone_index, self.profile["zones"][zone_index], self.net)
        self.next_number += 1
        relayed = json.loads(http("POST", self.wire_control, "/relay", packets=instance.packets, peers=instance.peers))
        instance.advertise_packets = relayed["packets"]
        instance.advertise_peers = relayed["peers"]
        self.instances[instance.number] = instance
        return instance

    def settings_of(self, instance):
        seeds = [it for it in self.instances.values() if it.number != instance.number and it.process is not None][:3]
        lines = [
            "[instance]", f"id = {instance.number}", f'zone = "{instance.zone}"',
            f'packets = "{instance.packets}"', f'peers = "{instance.peers}"', f'admin = "{instance.admin}"',
            f'advertise_packets = "{instance.advertise_packets}"', f'advertise_peers = "{instance.advertise_peers}"',
            "[fabric]", f'address = "{self.fabric}"',
            "[platform]", f'servers = ["{self.platform}"]',
            "[peers]", f'key = "{PEER_KEY}"',
        ]
        for seed in seeds:
            lines += ["[[peers.seeds]]"] + [f"{key} = {json.dumps(value)}" for key, value in seed.listed().items()]
        return "\n".join(lines) + "\n"

    def start_instance(self, instance):
        path = self.folder / f"instance-{instance.number}.toml"
        path.write_text(self.settings_of(instance))
        command = ["chicoryd", "run", str(path)]
        if self.arguments.baseline != "none":
            command += ["--baseline", self.arguments.baseline]
        instance.process = self.start_process(f"instance-{instance.number}", *command)

    def add_to_fabric(self, instance):
        http("POST", self.fabric_control, "/control", do="add", id=instance.number, at=instance.packets)

    def remove_from_fabric(self, instance):
        http("POST", self.fabric_control, "/control", do="remove", id=instance.number)

    def publish_list(self):
        body = {str(it.number): it.listed() for it in self.instances.values()}
        http("POST", self.platform, "/control/instances", body=json.dumps(body))

    def status(self, instance):
        try:
            return json.loads(http("GET", instance.admin, "/status", timeout=1))
        except OSError:
            return None

    def metrics(self, instance):
        try:
            text = http("GET", instance.admin, "/metrics", timeout=1)
        except OSError:
            return {}
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line and not line.startswith("#")}

    def wait_live(self, instances, homes, timeout=15):
        """Waits until these are live, hear each other and may run requests."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            states = [self.status(it) for it in instances]
            if all(it and it["state"] == "live" and it["homes"] >= homes and it["lease"] for it in states):
                return True
            time.sleep(0.1)
        return False

    # --- rules -------------------------------------------------------------

    def rule_file(self):
        feeds, documents = self.profile["feeds"], self.profile["documents"]
        out = []
        for service in (feeds, documents):
            out += ["[[services]]", f'name = "{service}"', "slots = 2", "connections = 2000"]
            for target in self.targets:
                if target["service"] == service and not target.get("absent"):
                    out += ["[[services.targets]]", f'address = "{target["address"]}"', f'zone = "{target["zone"]}"']
                    if target.get("drain"):
                        out += ["drain = true"]
        for number in range(self.extra_rules % 7):
            out += ["[[rules]]", f'name = "blocked network {number}"', "[rules.when]", f'sources = ["192.168.{self.extra_rules % 200 + number}.0/24"]', "[rules.then]", "refuse = true"]
        if self.canary_port:
            out += ["[[rules]]", 'name = "canary"', "[rules.when]", f'destinations = ["{CANARY_IP}/32"]', f'ports = ["1000-{self.canary_port}"]', "[rules.then]", f'service = "{documents}"']
        out += ["[[rules]]", 'name = "feeds"', "[rules.when]", 'destinations = ["10.1.0.0/16"]', 'ports = "443"', "[rules.then]", f'service = "{feeds}"']
        out += ["[[rules]]", 'name = "documents"', "[rules.when]", 'destinations = ["10.2.0.0/16"]', 'ports = "443"', "[rules.then]", f'service = "{documents}"']
        return "\n".join(out) + "\n"

    def submit(self):
        path = self.folder / "rules.toml"
        path.write_text(self.rule_file())
        done = subprocess.run([str(self.bin / "chicoryctl"), "--json", "--platform", self.platform, "submit", str(path)], capture_output=True, text=True, check=False)
        if done.returncode == 0:
            self.version = json.loads(done.stdout)["version"]
        return done.returncode

    def rewrite_rules(self):
        """A new rule set with a port that only it opens, for the canaries."""
        self.extra_rules += 1
        self.canary_port = 1000 + self.extra_rules
        code = self.submit()
        if code == 0:
            http("POST", self.fabric_control, "/control", do="canary", port=self.canary_port)
        return code

    # --- faults ------------------------------------------------------------

    def kill(self, instance):
        instance.process.send_signal(signal.SIGKILL)
        instance.process.wait()
        # The fabric notices a dead instance after a moment, as a health check does.
        time.sleep(0.3)
        self.forget(instance)

    def forget(self, instance):
        self.remove_from_fabric(instance)
        del self.instances[instance.number]
        self.publish_list()

    def stop_gracefully(self, instance, timeout=40):
        instance.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        self.remove_from_fabric(instance)
        code = instance.process.wait(timeout)
        del self.instances[instance.number]
        self.publish_list()
        return code

    def backend(self, target, verb):
        http("POST", self.backend_control, "/control", target=target, do=verb)

    # --- end ---------------------------------------------------------------

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        if not self.arguments.verbose:
            for path in self.folder.iterdir():
                path.unlink()
            os.rmdir(self.folder)
        else:
            print(f"logs are in {self.folder}")
