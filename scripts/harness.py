"""Runs a cluster of egretpulley processes and stand-ins on loopback, for the demo and the experiments."""
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("EGRET_BUILD", ROOT / "build"))
CLUSTER_KEY = "5a" * 32
OPERATOR_TOKEN = "operator-token"
MODEL = "assistant"
REGION_PAIR_RATE = 2500000  # bytes per second in each direction: 20 Mbit/s
REGION_LATENCY_MS = 3

PRESETS = {
    "tejedora": {
        "environment": "tejedora", "service": "enrolment", "prefix": "/enrolment",
        "action": "/enrolment/registrations", "read": "/enrolment/status/1",
        "zones": [("guadalajara-1", "guadalajara"), ("mexico-1", "mexico"), ("monterrey-1", "monterrey")],
        "entries": [3, 3, 2], "controls": [2, 2, 1], "engines": [3, 3, 3], "services": [1, 1, 1],
    },
    "urrutia": {
        "environment": "urrutia", "service": "lockers", "prefix": "/lockers",
        "action": "/lockers/unlocks", "read": "/lockers/status/1",
        "zones": [("bilbao-1", "bilbao"), ("santander-1", "santander"), ("oviedo-1", "oviedo")],
        "entries": [3, 3, 2], "controls": [2, 2, 1], "engines": [6, 5, 5], "services": [1, 1, 1],
    },
}


def build():
    """Installs missing packages, configures and builds."""
    subprocess.run([ROOT / "scripts" / "install-packages"], check=True)
    if not (BUILD / "build.ninja").exists():
        subprocess.run(["cmake", "-S", ROOT, "-B", BUILD, "-G", "Ninja"], check=True,
                       stdout=subprocess.DEVNULL)
    subprocess.run(["ninja", "-C", BUILD, "--quiet"], check=True, stdout=sys.stderr)


def log(text):
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def free_port(address):
    """Returns a port that is free for TCP and UDP at an address."""
    for _ in range(100):
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
            tcp.bind((address, 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind((address, port))
                    return port
                except OSError:
                    continue
    raise RuntimeError(f"no port of {address} is free for both TCP and UDP")


def get_json(endpoint, path, timeout=2.0, headers=None):
    """GETs JSON; returns None when the request fails or the body is not JSON."""
    try:
        request = urllib.request.Request(f"http://{endpoint}{path}", headers=headers or {})
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return json.loads(answer.read())
    except (OSError, ValueError):
        return None


def post_json(endpoint, path, body):
    """POSTs JSON and returns the JSON answer; raises when the request fails or the answer is not JSON."""
    request = urllib.request.Request(f"http://{endpoint}{path}", data=json.dumps(body).encode(),
                                     headers={"Content-Type": "application/json"}, method="POST")
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.loads(answer.read())


def wait_until(condition, timeout, description):
    """Polls until condition() is true and returns its value; raises after `timeout` seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise RuntimeError(f"condition not met within {timeout} s: {description}")


class Process:
    """A process with its settings file and log file."""

    def __init__(self, cluster, program, name, settings):
        self.program, self.name, self.settings = program, name, settings
        self.config = cluster.folder / f"{name}.json"
        self.log_path = cluster.folder / f"{name}.log"
        self.handle = None

    def start(self):
        self.config.write_text(json.dumps(self.settings, indent=2))
        with open(self.log_path, "ab") as log_file:
            self.handle = subprocess.Popen([BUILD / self.program, "--config", self.config],
                                           stdout=log_file, stderr=log_file, stdin=subprocess.DEVNULL)

    def alive(self):
        return self.handle is not None and self.handle.poll() is None

    def signal(self, number):
        if self.alive():
            self.handle.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.wait(5)

    def wait(self, timeout):
        """Returns the exit status, or None when the process still runs after `timeout` seconds."""
        try:
            return self.handle.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def log_events(self):
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                continue


class Cluster:
    """A cluster configured from a preset; every process uses loopback addresses of its zone."""

    def __init__(self, preset, seed=1, uses_relay=False, **overrides):
        self.preset = {**PRESETS[preset], **overrides}
        self.seed = seed
        self.uses_relay = uses_relay
        self.relay = None
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="egret-"))
        self.entries, self.agents, self.upstreams, self.origins = [], [], [], []
        self.processes = []
        self.customers = ["bakery", "clinic", "workshop"]
        self.role_settings = {}

    # Addresses are 127.(20 + zone).R.N: the second octet identifies the zone, and R
    # comes from the process id, so that concurrent runs use different addresses.
    def address(self, zone, index):
        return f"127.{20 + zone}.{os.getpid() % 250}.{index + 1}"

    def endpoint(self, zone, index):
        address = self.address(zone, index)
        return f"{address}:{free_port(address)}"

    def add_process(self, program, name, settings):
        process = Process(self, program, name, settings)
        self.processes.append(process)
        return process

    def common_settings(self, name, zone, **extra):
        zone_name, region = self.preset["zones"][zone]
        if self.uses_relay:
            extra["trialRelays"] = [{"prefix": self.zone_prefix(z), "via": self.relay.settings["relayAddress"]}
                                    for z in range(len(self.preset["zones"])) if z != zone]
        return {"instance": name, "cluster": "demo", "environment": self.preset["environment"],
                "zone": zone_name, "region": region, "clusterKey": CLUSTER_KEY, **extra}

    def zone_prefix(self, zone):
        return f"127.{20 + zone}."

    def start_relay(self):
        """Starts the relay that carries all traffic between availability zones."""
        zones = [{"prefix": self.zone_prefix(z), "zone": name, "region": region}
                 for z, (name, region) in enumerate(self.preset["zones"])]
        self.relay = self.add_process("egret-standin", "relay", {
            "instance": "relay", "role": "relay", "httpAddress": self.endpoint(101, 0),
            "relayAddress": self.endpoint(101, 1), "relayZones": zones, "seed": self.seed,
            "rate": REGION_PAIR_RATE, "latency": REGION_LATENCY_MS, **self.role_settings.get("relay", {})})
        self.relay.start()

    def post_to_relay(self, path, **body):
        return post_json(self.relay.settings["httpAddress"], path, body)

    def cut(self, zone_a, zone_b, one_way=False):
        """Blocks traffic between two zones, with `one_way` only from the first to the second."""
        self.post_to_relay("/cut", **{"from": zone_a, "to": zone_b, "oneWay": one_way})

    def isolate(self, zone):
        """Blocks traffic between a zone and all others."""
        self.post_to_relay("/cut", **{"from": zone, "to": ""})

    def set_datagram_loss(self, share, zone_a="", zone_b="", one_way=False):
        """Drops a share of the datagrams between two zones, or between all zones."""
        self.post_to_relay("/loss", **{"from": zone_a, "to": zone_b, "share": share, "oneWay": one_way})

    def heal(self):
        """Ends all cuts and datagram losses; stalled connections stay stalled."""
        self.post_to_relay("/heal")

    def silence(self, zone_a="", zone_b=""):
        """Stalls all connections open now without closing them; new connections work."""
        self.post_to_relay("/silence", **{"from": zone_a, "to": zone_b})

    def shape(self, **limits):
        """Sets `rate` (bytes per second of a region pair in each direction) or `latency` (ms one way)."""
        self.post_to_relay("/shape", **limits)

    def region_pair_bytes(self):
        """Returns the bytes carried so far by "region>region"."""
        return get_json(self.relay.settings["httpAddress"], "/stats")["regionPairBytes"]

    def define_processes(self):
        """Assigns names, addresses and settings to all processes; starts only the relay."""
        if self.uses_relay:
            self.start_relay()
        operators = {"operators": [{"name": "ana", "tokenDigest": self.digest(OPERATOR_TOKEN),
                                    "grants": [{"environment": self.preset["environment"],
                                                "role": "administrator"}]}]}
        operators_file = self.folder / "operators.json"
        operators_file.write_text(json.dumps(operators))
        positions = [(zone, i) for zone, count in enumerate(self.preset["entries"])
                     for i in range(count)]
        links = {position: self.endpoint(*position) for position in positions}
        controls = [links[(z, i)] for z, i in positions if i < self.preset["controls"][z]]
        for zone, i in positions:
            name = f"entry-{zone}-{i}"
            data = str(self.folder / f"data-{name}") if i < self.preset["controls"][zone] else ""
            settings = {"common": self.common_settings(name, zone, linkAddress=links[(zone, i)], dataFolder=data),
                        "httpAddress": self.endpoint(zone, i), "entries": list(links.values()),
                        "controls": controls, "operatorsFile": str(operators_file)}
            settings.update(self.role_settings.get("entry", {}))
            self.entries.append(self.add_process("egret-entry", name, settings))
        for kind, counts in (("engine", self.preset["engines"]), ("service", self.preset["services"])):
            for zone, count in enumerate(counts):
                for i in range(count):
                    self.define_upstream(kind, zone, i, [links[p] for p in positions if p[0] == zone])

    def define_upstream(self, kind, zone, i, zone_entries):
        name = f"{kind}-{zone}-{i}"
        index = 10 + i if kind == "engine" else 100 + i
        upstream = self.endpoint(zone, index)
        standin = {"instance": name, "role": kind, "httpAddress": upstream,
                   "recordFile": str(self.folder / f"{name}.record")}
        standin.update(self.role_settings.get(kind, {}))
        self.upstreams.append(self.add_process("egret-standin", name, standin))
        agent = {"common": self.common_settings(f"agent-{name}", zone, linkAddress=self.endpoint(zone, index)),
                 "entries": zone_entries, "upstream": upstream, "kind": kind,
                 "service": self.preset["service"] if kind == "service" else "",
                 "weightsFolder": str(self.folder / f"weights-{name}")}
        agent.update(self.role_settings.get("agent", {}))
        self.agents.append(self.add_process("egret-agent", f"agent-{name}", agent))

    def add_origin(self, name, **extra):
        folder = self.folder / "origin"
        folder.mkdir(exist_ok=True)
        settings = {"instance": name, "role": "origin", "httpAddress": self.endpoint(100, len(self.origins)),
                    "weightsFolder": str(folder), **extra}
        process = self.add_process("egret-standin", name, settings)
        self.origins.append(process)
        process.start()
        return process

    def digest(self, text):
        return subprocess.run([BUILD / "egretctl", "digest", text], check=True,
                              capture_output=True, text=True).stdout.strip()

    def publish(self, seed, size, chunk_bytes):
        """Publishes random weights of `size` bytes at the origin; returns their version, as printed by egretctl."""
        path = self.folder / f"model-{seed}.bin"
        path.write_bytes(random.Random(seed).randbytes(size))
        out = subprocess.run([BUILD / "egretctl", "manifest", "--file", path, "--model", MODEL,
                              "--chunk-bytes", str(chunk_bytes), "--out", self.folder / "origin"],
                             check=True, capture_output=True, text=True)
        return out.stdout.strip()

    def start_all(self):
        for process in self.upstreams + self.entries + self.agents:
            process.start()
        for entry in self.entries:
            wait_until(lambda e=entry: self.healthy(e), 15, f"{entry.name} answers health checks")
        for i, entry in enumerate(self.entries):
            wait_until(lambda i=i: self.status(i), 20, f"{entry.name} accepts the operator's token")

    def healthy(self, entry):
        if not entry.alive():
            raise RuntimeError(f"{entry.name} exited; end of its log: {entry.log_path.read_text()[-800:]}")
        try:
            with urllib.request.urlopen(f"http://{entry.settings['httpAddress']}/healthz", timeout=1):
                return True
        except OSError:
            return False

    def document(self, version, **extra):
        p = self.preset
        document = {
            "environment": p["environment"],
            "weights": {"model": MODEL, "version": version,
                        "sources": [f"http://{o.settings['httpAddress']}" for o in self.origins],
                        "requiredReplicas": sum(p["engines"])},
            "zonesOut": [],
            "customers": [{"name": c, "keyDigest": self.digest(f"key-{c}")} for c in self.customers],
            "services": [{"name": p["service"], "prefix": p["prefix"], "protectedPaths": [p["action"]],
                          "outcomePath": "/outcomes"}],
            "objectives": [
                {"route": MODEL, "kind": "success", "target": 0.999},
                {"route": MODEL, "kind": "firstToken", "threshold": 550, "target": 0.95},
                {"route": MODEL, "kind": "tokenGap", "threshold": 36, "target": 0.95},
                {"route": p["service"], "kind": "success", "target": 0.999}],
        }
        document.update(extra)
        return document

    def run_egretctl(self, *words, entry=0, check=True):
        command = [BUILD / "egretctl", *words, "--entry", self.entries[entry].settings["httpAddress"],
                   "--token", OPERATOR_TOKEN, "--environment", self.preset["environment"]]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        if check and done.returncode != 0:
            raise RuntimeError(f"egretctl {words} failed: {done.stdout}{done.stderr}")
        return done

    def submit_and_promote(self, document, entry=0):
        """Submits a document and promotes it; returns the production revision."""
        path = self.folder / "document.json"
        path.write_text(json.dumps(document))
        self.run_egretctl("submit", "--file", str(path), entry=entry)
        return json.loads(self.run_egretctl("promote", entry=entry).stdout)["revision"]

    def status(self, entry=0):
        return get_json(self.entries[entry].settings["httpAddress"], "/admin/v1/status",
                        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"})

    def engine_states(self):
        """Returns the status of every live engine stand-in by name."""
        out = {}
        for upstream in self.upstreams:
            if upstream.settings["role"] == "engine" and upstream.alive():
                out[upstream.name] = get_json(upstream.settings["httpAddress"], "/status") or {}
        return out

    def count_replicas(self, version):
        return sum(1 for s in self.engine_states().values() if s.get("version") == version)

    def engines_ready(self, version, count):
        """True when every live entry instance reports at least `count` ready engines with a version."""
        for i, entry in enumerate(self.entries):
            status = self.status(i) if entry.alive() else None
            if entry.alive() and (status is None or sum(
                    1 for u in status["upstreams"] if u["servedVersion"] == version
                    and u["state"] == "ready") < count):
                return False
        return True

    def origin_bytes(self):
        return sum((get_json(o.settings["httpAddress"], "/stats") or {}).get("bytesOut", 0)
                   for o in self.origins if o.alive())

    def start_load(self, name, rate, seconds, **extra):
        settings = {"targets": [e.settings["httpAddress"] for e in self.entries],
                    "keys": [f"key-{c}" for c in self.customers], "model": MODEL, "rate": rate,
                    "duration": int(seconds * 1000), "seed": self.seed, "readPath": self.preset["read"],
                    "actionPath": self.preset["action"], "keyPrefix": name,
                    "recordFile": str(self.folder / f"{name}.actions"), **extra}
        process = Process(self, "egret-load", name, settings)
        process.config.write_text(json.dumps(settings))
        process.handle = subprocess.Popen([BUILD / "egret-load", "--config", process.config],
                                          stdout=subprocess.PIPE, stderr=sys.stderr, text=True)
        self.processes.append(process)
        return process

    def load_result(self, process):
        out, _ = process.handle.communicate(timeout=600)
        return json.loads(out.splitlines()[-1])

    def action_counts(self, load_names):
        """Compares the outcomes that clients received with the actions that the services recorded."""
        runs = {}
        for upstream in self.upstreams:
            record = pathlib.Path(upstream.settings.get("recordFile", ""))
            if upstream.settings["role"] == "service" and record.is_file():
                for key in record.read_text().split():
                    runs[key] = runs.get(key, 0) + 1
        counts = {"actions_once": 0, "actions_twice": 0, "actions_lost": 0, "false_refusals": 0}
        counts["actions_twice"] = sum(1 for n in runs.values() if n > 1)
        counts["actions_once"] = sum(1 for n in runs.values() if n == 1)
        outcomes_by_key = {}
        for name in load_names:
            path = self.folder / f"{name}.actions"
            for line in path.read_text().splitlines():
                key, outcome = line.split(" ", 1)
                outcomes_by_key.setdefault(key, []).append(outcome)
        for key, outcomes in outcomes_by_key.items():
            ran = runs.get(key, 0) > 0
            # "not-run" covers every request under the key; "not-sent" covers only the request that received it.
            counts["actions_lost"] += "done" in outcomes and not ran
            counts["false_refusals"] += ran and ("not-run" in outcomes or set(outcomes) == {"not-sent"})
        return counts

    def stop(self):
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            if process.handle is not None:
                process.wait(5)
        if os.environ.get("EGRET_KEEP"):
            log(f"logs and data are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def print_table(rows):
    width = max(len(str(k)) for k in rows)
    for key, value in rows.items():
        print(f"  {key:<{width}}  {value}")
