"""Runs the deployed programs on loopback, with small stand-ins for engines, clients and the operator.

The programs are started with the `run` commands of deploy/system.toml. Their settings are filled in
from deploy/settings.json.in, with the fields of the DEPLOY page. Stand-ins speak the PROTOCOL page.
"""
import http.client
import json
import os
import pathlib
import queue
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {"revokeMs": 5000, "drainMs": 2000, "graceS": 8, "version_ms": 8000, "retryBudgetRatio": 0.2,
          "budgetSlack": 104, "budgetWindowS": 10, "coldOverrun": 1.5, "catchUpS": 4}
ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}


class CannotRun(Exception):
    """The case can't run here, for example because a program is missing."""


def role_commands():
    """Returns the command of each role of deploy/system.toml."""
    commands = {}
    role = None
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if found := re.match(r"\[roles\.(\w+)\]", line):
            role = found.group(1)
        elif found := re.match(r'run = "(.*)"', line):
            commands[role] = found.group(1)
    return commands


class Record:
    """The record of a run: one line per event, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


class Process:
    """One deployed program."""

    def __init__(self, deployment, role, name, settings):
        self.deployment, self.name = deployment, name
        config = deployment.folder / f"{name}.json"
        config.write_text(json.dumps(settings, indent=1))
        command = role_commands()[role].split()
        command = [str(config) if word == "/etc/egretpulley/local.toml" else word for word in command]
        self.command = command
        self.handle = None

    def start(self):
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is missing: run the build of deploy/system.toml")
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.handle = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                       stdin=subprocess.DEVNULL)
        self.deployment.record.write(f"start {self.name}")

    def signal(self, number):
        if self.handle.poll() is None:
            self.handle.send_signal(number)
            self.deployment.record.write(f"{signal.Signals(number).name} to {self.name}")

    def end(self):
        if self.handle and self.handle.poll() is None:
            self.handle.send_signal(signal.SIGCONT)
            self.handle.kill()
            self.handle.wait()


def free_ports(addresses, count):
    """Returns a port from which `count` ports are free on all addresses."""
    for first in range(20000 + os.getpid() % 9000, 60000, count + 3):
        sockets = []
        try:
            for address in addresses:
                for port in range(first, first + count):
                    sock = socket.socket()
                    sockets.append(sock)
                    sock.bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun("no free ports")


class Deployment:
    """A small deployment. Every machine has a loopback address of its own."""

    def __init__(self, record, registries=1, gateways=1, stagers=0, tolerated=0):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="egret-review-"))
        net = f"127.{60 + os.getpid() % 100}.{time.time_ns() // 1000000 % 250}"
        self.registry_ips = [f"{net}.{1 + i}" for i in range(registries)]
        self.gateway_ips = [f"{net}.{41 + i}" for i in range(gateways)]
        self.stager_ips = [f"{net}.{81 + i}" for i in range(stagers)]
        self.engine_ips = [f"{net}.{121 + i}" for i in range(20)]
        self.operator_ip = f"{net}.250"
        every = self.registry_ips + self.gateway_ips + self.stager_ips
        self.base = free_ports(every, 20)
        self.control_port, self.client_port, self.ready_port, self.app_port = (
            self.base + 16, self.base + 17, self.base + 18, self.base + 19)
        self.tolerated = tolerated
        self.processes = {}
        self.standins = []
        for i, ip in enumerate(self.registry_ips):
            self.add("registry", f"registry-{i}", ip, i)
        for i, ip in enumerate(self.gateway_ips):
            self.add("gateway", f"gateway-{i}", ip, i)

    def add(self, role, name, ip, number, **extra):
        zone = list(ZONES)[number % len(ZONES)]
        settings = {
            "instance": name, "zone": zone, "region": ZONES[zone], "address": ip,
            "linkPorts": [self.base, self.base + 15],
            "seeds": [f"{each}:{self.control_port}" for each in self.registry_ips[:3]],
            "isFirstStart": True, "toleratedLosses": self.tolerated,
            "clientAddress": "", "readinessAddress": "", "operatorAddress": "", "engineAddress": "",
            "engineService": "", "linkMbps": 1000.0, "processorShare": 0.25, "memoryMb": 260,
            "fileDescriptors": 4100, "dataFolder": "",
            "bounds": {"revoke": BOUNDS["revokeMs"], "drain": BOUNDS["drainMs"],
                       "stopGrace": BOUNDS["graceS"], "version": BOUNDS["version_ms"],
                       "retryRatio": BOUNDS["retryBudgetRatio"], "retrySlack": BOUNDS["budgetSlack"],
                       "retryWindow": BOUNDS["budgetWindowS"], "coldOverrun": BOUNDS["coldOverrun"],
                       "catchUp": BOUNDS["catchUpS"]},
            "admission": {"start": 0.9, "width": 0.3},
            "regions": [{"zone": z, "region": r} for z, r in ZONES.items()],
            "clusterKey": "6f1d0c2b9a8e7f65544332211000ffeeddccbbaa99887766554433221100a5c3"}
        if role == "registry":
            settings["operatorAddress"] = f"{ip}:{self.control_port}"
            settings["dataFolder"] = str(self.folder / f"{name}-data")
            os.makedirs(settings["dataFolder"])
        elif role == "gateway":
            settings["clientAddress"] = f"{ip}:{self.client_port}"
            settings["readinessAddress"] = f"{ip}:{self.ready_port}"
        settings.update(extra)
        self.processes[name] = Process(self, role, name, settings)
        return self.processes[name]

    def start(self):
        for process in self.processes.values():
            process.start()

    def end(self):
        for standin in self.standins:
            standin.stop()
        for process in self.processes.values():
            process.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator and the platform.

    def call(self, method, path, body=None, number=None, timeout=1.0):
        """Calls a registry once; returns (status, body) or (0, reason)."""
        ip = self.registry_ips[0 if number is None else number]
        connection = http.client.HTTPConnection(ip, self.control_port, timeout=timeout,
                                                source_address=(self.operator_ip, 0))
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data, {"Content-Type": "application/json"} if data else {})
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except OSError as error:
            return 0, str(error)
        except http.client.HTTPException as error:
            return 0, repr(error)
        finally:
            connection.close()

    def order(self, method, path, body=None, limit=20.0, timeout=1.0):
        """Sends an order to one registry after the other until it is acknowledged."""
        end = time.monotonic() + limit
        number = 0
        while time.monotonic() < end:
            status, text = self.call(method, path, body, number % len(self.registry_ips), timeout)
            if 200 <= status < 300:
                self.record.write(f"operator: {path} acknowledged by registry-{number % len(self.registry_ips)}")
                return True
            if status in (400, 409, 412, 413, 422):
                self.record.write(f"operator: {path} refused with {status} {text}")
                return False
            number += 1
            time.sleep(0.1)
        return False

    def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        for ip in self.gateway_ips:
            while True:
                try:
                    connection = http.client.HTTPConnection(ip, self.ready_port, timeout=1)
                    connection.request("GET", "/egretpulley/readyz")
                    if connection.getresponse().status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise CannotRun("a gateway isn't ready")
                time.sleep(0.1)


class Request:
    """A request as a stand-in read it."""

    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers, self.body = headers, body

    def get(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


def read_request(stream):
    """Reads one request from a buffered stream; None at its end."""
    line = stream.readline(65536)
    if not line:
        return None
    headers = []
    while True:
        raw = stream.readline(65536)
        if raw in (b"\r\n", b""):
            break
        name, _, value = raw.decode("latin-1").partition(":")
        if not name:
            raise ValueError("bad header name")
        # Blanks around the colon are insignificant (RFC 2616, section 2.1).
        headers.append((name.strip(), value.strip()))
    request = Request(line.decode("latin-1").strip(), headers, b"")
    if (request.get("Transfer-Encoding") or "").lower() == "chunked":
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            part = stream.read(size)
            stream.readline()
            if size == 0:
                break
            request.body += part
    else:
        request.body = stream.read(int(request.get("Content-Length") or 0))
    return request


class HttpStandin:
    """A server with one thread per connection. `handle(request, connection)` sends the answer."""

    def __init__(self, address, handle):
        self.address, self.handle = address, handle
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(128)
        self.stopped = False
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.stopped = True
        self.listener.close()

    def accept(self):
        while not self.stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while not self.stopped:
                request = read_request(stream)
                if request is None or self.handle(request, connection) is False:
                    break
        except (OSError, ValueError):
            pass
        finally:
            try:
                stream.close()
                connection.close()
            except OSError:
                pass


def answer(connection, status, body=b"", headers=()):
    text = f"HTTP/1.1 {status} {http.client.responses.get(status, 'X')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    connection.sendall((text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)


class Upstream:
    """An engine of a plain service: announces itself, runs requests, echoes their ids."""

    def __init__(self, deployment, number, service, handle=None, zone=None, work_s=0.0, slots=6):
        self.deployment, self.service, self.work_s, self.slots = deployment, service, work_s, slots
        self.ip = deployment.engine_ips[number]
        self.address = (self.ip, deployment.app_port)
        self.id = f"i-{number:02d}{int(time.time() * 1000) % 1000000:06d}"
        self.zone = zone or list(ZONES)[number % len(ZONES)]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beats = True
        self.runs = []  # (time, attempt id, request)
        self.run_handler = handle or self.sound
        self.lock = threading.Lock()
        self.server = HttpStandin(self.address, self.on_request)
        deployment.standins.append(self)
        threading.Thread(target=self.announce, daemon=True).start()

    def stop(self):
        self.beats = False
        self.server.stop()

    def announcement(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.address[1]}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    def announce(self):
        number = 0
        while self.beats:
            status, _ = self.deployment.call("POST", f"/egretpulley/Instances.Heartbeat/{self.id}",
                                             self.announcement(), number % len(self.deployment.registry_ips))
            if status == 200:
                time.sleep(1.2)
            else:
                number += 1
                time.sleep(0.05)

    def on_request(self, request, connection):
        attempt = request.get("Attempt-Id")
        expected = request.get("Expect-Instance")
        if expected and expected != self.id:
            return answer(connection, 421, b"", [("Attempt-Id", attempt or "")])
        return self.run_handler(self, request, connection)

    def stamp(self):
        return f"{self.id}.{len(self.runs)}"

    def ran(self, request):
        with self.lock:
            self.runs.append((time.monotonic(), request.get("Attempt-Id"), request))
        self.deployment.record.write(f"{self.id} runs {request.get('Attempt-Id')} {request.method} {request.target}")

    @staticmethod
    def sound(self, request, connection):
        self.ran(request)
        time.sleep(self.work_s)
        answer(connection, 200, b"done " + (request.get("Attempt-Id") or "").encode(),
               [("Attempt-Id", request.get("Attempt-Id") or ""), ("Server-Stamp", self.stamp())])


def config(version, routes, services, tenants=()):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            **({"tenants": list(tenants)} if tenants else {})}


def route(name, prefix, service, kind, timeout=800, attempts=1, **extra):
    return {"name": name, "host": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout,
            "latencyGoalMs": 100, "priority": 2, "service": service, "maxAttempts": attempts,
            "public": False, "sticky": False, "resumable": False, "allowedRegions": [], **extra}


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False,
            "coldStartS": 0.0, "coldPerS": 0.0}


def send(ip, port, data, timeout=10.0):
    """Sends raw bytes on a new channel and returns all that comes back until it ends."""
    with socket.create_connection((ip, port), timeout=timeout) as channel:
        channel.sendall(data)
        received = b""
        try:
            while part := channel.recv(65536):
                received += part
        except OSError:
            pass
        return received


class SlowPath:
    """A network path to `target` that delivers everything, also the end of a channel, `delay_s` later."""

    def __init__(self, deployment, address, target, delay_s):
        self.target, self.delay_s = target, delay_s
        self.address = address
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(16)
        deployment.standins.append(self)
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.listener.close()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.relay, args=(near,), daemon=True).start()

    def relay(self, near):
        try:
            far = socket.create_connection(self.target)
        except OSError:
            near.close()
            return
        threading.Thread(target=self.copy, args=(near, far, self.delay_s), daemon=True).start()
        self.copy(far, near, 0.0)

    @staticmethod
    def copy(source, sink, delay_s):
        """Copies bytes and the end of the stream, each `delay_s` after it came."""
        arrived = queue.Queue()

        def read():
            while True:
                try:
                    part = source.recv(65536)
                except OSError:
                    part = b""
                arrived.put((time.monotonic(), part))
                if not part:
                    return

        threading.Thread(target=read, daemon=True).start()
        while True:
            at, part = arrived.get()
            time.sleep(max(0.0, at + delay_s - time.monotonic()))
            try:
                if not part:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(part)
            except OSError:
                return
