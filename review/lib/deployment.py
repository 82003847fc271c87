"""Starts the programs of the deploy file on loopback addresses, with settings like those of a small
deployment, and records what a case sends, receives and runs."""
import atexit
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
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"revoke": 5000, "drain": 2000, "stopGrace": 8, "version": 8000, "retryRatio": 0.2,
          "retrySlack": 104, "retryWindow": 10, "coldOverrun": 1.5}
REGIONS = {"santander-a": "cantabria", "pamplona-a": "navarra", "vigo-a": "galicia"}
KEY = "6f1d0c2b9a8e7f65544332211000ffeeddccbbaa99887766554433221100a5c3"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class Record:
    """Writes lines with the time since the start of the case to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        print(line, flush=True)


class Deployment:
    """The processes of one case. `registry_settings` and the like return the settings that the
    platform would write; `start` runs the command of the deploy file with them."""

    def __init__(self, case_folder):
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="egret-review-"))
        self.roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.processes = {}
        self.network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.last_host = 9
        self.link_port, self.operator_port, self.client_port, self.ready_port, self.app_port = \
            self.free_ports(5)
        atexit.register(self.stop_all)
        for each in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
            signal.signal(each, lambda *_: sys.exit(NOT_RUN))
        signal.alarm(118)

    def free_ports(self, count):
        """Returns ports that are free on the addresses of this deployment; ports are the same on
        all machines. The 15 ports after the first one are left free too."""
        ports, sockets = [], []
        while len(ports) < count:
            each = socket.socket()
            each.bind((self.network + ".9", 0))
            sockets.append(each)
            port = each.getsockname()[1]
            if port < 65500 and (not ports or not ports[0] <= port <= ports[0] + 15):
                ports.append(port)
        for each in sockets:
            each.close()
        return ports

    def new_address(self):
        self.last_host += 1
        return f"{self.network}.{self.last_host}"

    def common_settings(self, name, zone, address, seeds, first_start):
        return {"instance": name, "zone": zone, "region": REGIONS[zone], "address": address,
                "linkPorts": [self.link_port, self.link_port + 15], "seeds": seeds,
                "isFirstStart": first_start, "toleratedLosses": 1, "linkMbps": 1000.0,
                "processorShare": 0.3, "bounds": BOUNDS, "clusterKey": KEY,
                "regions": [{"zone": z, "region": r} for z, r in REGIONS.items()]}

    def registry(self, name, zone, address, seeds, first_start=True):
        settings = self.common_settings(name, zone, address, seeds, first_start)
        settings["operatorAddress"] = f"{address}:{self.operator_port}"
        settings["dataFolder"] = str(self.folder / f"data-{name}")
        return self.start("registry", name, settings)

    def gateway(self, name, zone, address, seeds):
        settings = self.common_settings(name, zone, address, seeds, False)
        settings["clientAddress"] = f"{address}:{self.client_port}"
        settings["readinessAddress"] = f"{address}:{self.ready_port}"
        settings["processorShare"] = 0.25
        return self.start("gateway", name, settings)

    def stager(self, name, zone, address, seeds, service):
        settings = self.common_settings(name, zone, address, seeds, False)
        settings["engineAddress"] = f"{address}:{self.app_port}"
        settings["engineService"] = service
        settings["linkMbps"] = 7.3
        return self.start("stager", name, settings)

    def start(self, role, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        command = self.roles[role]["run"].replace("/etc/egretpulley/local.toml", str(path)).split()
        if not (ROOT / command[0]).exists():
            self.record(f"{command[0]} is missing: run the build line of deploy/system.toml first")
            sys.exit(NOT_RUN)
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL)
        self.record(f"started {name} ({role}) at {settings['address']}")
        return self.processes[name]

    def run(self, name, arguments):
        """Starts a stand-in."""
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(arguments, cwd=ROOT, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL)
        return self.processes[name]

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record(f"killed {name}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record(f"sent {signal.Signals(number).name} to {name}")

    def remove_disk(self, name):
        shutil.rmtree(self.folder / f"data-{name}", ignore_errors=True)
        self.record(f"the disk of {name} is empty now")

    def log_of(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def stop_all(self):
        signal.alarm(0)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def http(address, port, method, path, body=b"", headers=None, timeout=1.0, deadline=None):
    """Sends one request on a new connection; returns (status, headers, body), or (None, reason, b"")
    without an answer within `timeout` seconds."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": f"{address}:{port}", "Connection": "close", **(headers or {})}
    if data or method != "GET":
        fields["Content-Length"] = str(len(data))
        fields.setdefault("Content-Type", "application/json")
    lines += [f"{name}: {value}" for name, value in fields.items()]
    until = time.monotonic() + timeout
    answer = b""
    try:
        with socket.create_connection((address, port), timeout=timeout) as connection:
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            while time.monotonic() < until:
                connection.settimeout(max(0.001, until - time.monotonic()))
                part = connection.recv(65536)
                if not part:
                    return parse_answer(answer)
                answer += part
                parsed = parse_answer(answer)
                if parsed[0] is not None and parsed[3]:
                    return parsed
    except OSError as error:
        return None, str(error), b"", False
    return None, "no answer in time", answer, False


def parse_answer(answer):
    head, separator, body = answer.partition(b"\r\n\r\n")
    if not separator:
        return None, "closed without an answer", answer, False
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    status = int(lines[0].split()[1])
    if "content-length" in fields:
        return status, fields, body, len(body) >= int(fields["content-length"])
    if fields.get("transfer-encoding") == "chunked":
        return status, fields, body, body.endswith(b"0\r\n\r\n")
    return status, fields, body, True
