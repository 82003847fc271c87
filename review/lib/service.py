"""Stand-in of a plain service: announces itself, answers each request once, and counts its runs."""
import http.server
import json
import threading
import time

from deployment import http as call


class Service:
    """One upstream. `registries`: operator addresses (IP, port) to which it announces itself."""

    def __init__(self, deployment, service, zone, registries, kind="plain"):
        self.deployment, self.service, self.zone, self.registries = \
            deployment, service, zone, registries
        self.address = deployment.new_address()
        self.id = "i-" + self.address.replace(".", "")
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (time, Attempt-Id)
        self.is_stopped = False
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                self.do_POST()

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.rfile.read(length)
                attempt = self.headers.get("Attempt-Id", "")
                if self.path == "/healthz":
                    self.reply(200, attempt, {"Instance-Id": owner.id}, b"")
                    return
                if not attempt:
                    self.reply(400, attempt, {"Not-Executed": "1"}, b"")
                    return
                if self.headers.get("Expect-Instance", owner.id) != owner.id:
                    self.reply(421, attempt, {"Not-Executed": "1"}, b"")
                    return
                owner.runs.append((time.monotonic(), attempt))
                self.reply(200, attempt, {"Server-Stamp": f"{owner.id}.{attempt}"},
                           f"answer to {attempt}".encode())

            def reply(self, status, attempt, fields, body):
                self.send_response_only(status)
                for name, value in {"Attempt-Id": attempt, **fields,
                                    "Content-Length": str(len(body))}.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(body)

        self.server = http.server.ThreadingHTTPServer((self.address, deployment.app_port), Handler)
        self.server.daemon_threads = True
        self.server.handle_error = lambda *_: None  # a caller that closed its connection
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def announce(self):
        """Sends a heartbeat every 1.2 s; moves on to the next registry when one doesn't answer."""
        at = 0
        while not self.is_stopped:
            self.sequence += 1
            beat = {"service": self.service, "address": f"{self.address}:{self.deployment.app_port}",
                    "zone": self.zone, "version": "v1", "slots": 6, "state": "ready",
                    "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}
            for _ in self.registries:
                address, port = self.registries[at % len(self.registries)]
                if call(address, port, "POST", f"/egretpulley/Instances.Heartbeat/{self.id}",
                        beat)[0] == 200:
                    break
                at += 1
            time.sleep(1.2)


class Operator:
    """Sends orders to the registries as the pages say: to any of them, and the same order to the
    next one after a failure, a 5xx or a second without an answer."""

    def __init__(self, deployment, registries):
        self.deployment, self.registries, self.record = deployment, registries, deployment.record

    def order(self, what, path, body=b"", limit=4.0, first=0):
        """Sends an order until it is acknowledged; returns the time of the acknowledgement."""
        until = time.monotonic() + limit
        at = first
        while time.monotonic() < until:
            address, port = self.registries[at % len(self.registries)]
            answer = call(address, port, "POST", path, body)
            if answer[0] is not None and 200 <= answer[0] < 300:
                self.record(f"{what}: acknowledged by {address}")
                return time.monotonic()
            self.record(f"{what}: no acknowledgement from {address}: {answer[0] or answer[1]}")
            at += 1
            time.sleep(0.1)
        self.record(f"{what}: not acknowledged within {limit} s")
        return None

    def read_back(self):
        """Reads the configuration at each registry; returns the versions that came."""
        versions = []
        for address, port in self.registries:
            status, reason, body, _ = call(address, port, "GET", "/egretpulley/Config.Read")
            if status == 200:
                versions.append(json.loads(body)["version"])
                self.record(f"Config.Read at {address}: version {versions[-1]}")
            else:
                self.record(f"Config.Read at {address}: {status or reason}")
        return versions


def configuration(version, service, extra=None):
    return {"version": version,
            "routes": [{"name": "r-1", "host": "lockers.example", "pathPrefix": "/unlock/",
                        "kind": "non_idempotent", "timeoutMs": 800, "latencyGoalMs": 100,
                        "priority": 2, "service": service, "maxAttempts": 1, "public": False,
                        "sticky": False, "resumable": False, "allowedRegions": []}],
            "services": [{"name": service, "healthPath": "/healthz", "maxConnections": 51,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}]
            + (extra or []),
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "guest", "apiKeys": ["guestkey0001"], "priority": 1,
                         "allowedRegions": []}]}


def client_request(deployment, gateway, number):
    """Sends one request of a client; returns its id and status."""
    attempt = f"{number:016x}"
    status, _, body, _ = call(gateway, deployment.client_port, "POST", "/unlock/1", b"open",
                              {"Host": "lockers.example", "Attempt-Id": attempt,
                               "Deadline-Ms": "600", "Authorization": "Bearer guestkey0001"})
    return attempt, status, body


def wait_until(condition, limit):
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.05)
    return False
