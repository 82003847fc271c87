"""Stand-ins of a model engine with staged weights, and of the origin of weights."""
import hashlib
import http.server
import json
import threading
import time
import urllib.parse

from deployment import http as call

MODEL = "daka510000"
PIECES, PIECE_BYTES, LAYERS, WARMUP_S = 96, 24576, 16, 0.3
LINK_BITS_PER_S = 7.3e6


def piece_bytes(version, piece):
    seed = hashlib.sha256(f"{MODEL}/{version}/{piece}".encode()).digest()
    return seed * (PIECE_BYTES // len(seed))


def digests(version):
    return [hashlib.sha256(piece_bytes(version, each)).hexdigest() for each in range(PIECES)]


class QuietHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass

    def send(self, status, body=b"", fields=None):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response_only(status)
        for name, value in {**(fields or {}), "Content-Length": str(len(data))}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


def serve(address, port, handler):
    server = http.server.ThreadingHTTPServer((address, port), handler, bind_and_activate=False)
    server.daemon_threads = True
    server.allow_reuse_address = True
    server.handle_error = lambda *_: None  # a caller that closed its connection
    server.server_bind()
    server.server_activate()
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.02},
                     daemon=True).start()
    return server


class Origin:
    """The origin of weights, with a link of 7.3 Mbit/s for all callers together. While it is down,
    its port refuses connections and open ones end."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.address, self.port = deployment.new_address(), deployment.app_port
        self.connections = set()
        self.newest = 1  # newest version that was named
        self.link = threading.Lock()
        self.server = None
        owner = self

        class Handler(QuietHandler):
            def setup(self):
                super().setup()
                owner.connections.add(self.connection)

            def finish(self):
                owner.connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                version = int(query.get("version", owner.newest))
                if version <= owner.newest - 2:
                    self.send(410)
                elif version > owner.newest:
                    self.send(404)
                elif url.path.startswith("/egretpulley/manifest/"):
                    self.send(200, {"model": MODEL, "version": version, "chunkBytes": PIECE_BYTES,
                                    "layers": LAYERS, "digests": digests(version)})
                else:
                    with owner.link:
                        time.sleep(PIECE_BYTES * 8 / LINK_BITS_PER_S)
                    self.send(200, piece_bytes(version, int(query["sampleCount"])))

        self.handler = Handler
        self.start()

    def start(self):
        self.server = serve(self.address, self.port, self.handler)

    def stop(self):
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(2)
            except OSError:
                pass


class Engine:
    """One model engine with the staging calls of the pages. It keeps one staged copy per model,
    unchecked, and loads the staged pieces as they are when it accepts an order. While it loads it
    accepts no request. On loopback it can't tell its own machine's calls from others."""

    def __init__(self, deployment, service, zone, registries, address):
        self.deployment, self.service, self.zone = deployment, service, zone
        self.registries, self.address = registries, address
        self.record = deployment.record
        self.id = "i-" + address.replace(".", "")
        self.born = int(time.time() * 1000)
        self.beat_number = 0
        self.lock = threading.RLock()
        self.staged = {each: piece_bytes(1, each) for each in range(PIECES)}
        self.loaded_pieces = dict(self.staged)
        self.version = 1
        self.loading_until = 0.0
        self.next_load = None
        self.sequence = 0
        self.loses_next_order_answer = False
        self.orders = []   # (time, version, pieces of that version when the order was accepted)
        self.runs = []     # (time, Attempt-Id, version, pieces of that version in the layers)
        owner = self

        class Handler(QuietHandler):
            def do_GET(self):
                path = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(path.query))
                if path.path == "/egretpulley/report":
                    self.send(200, owner.report())
                elif path.path.startswith("/egretpulley/stage-get/"):
                    with owner.lock:
                        if "sampleCount" not in query:
                            self.send(200, {"held": sorted(owner.staged)})
                            return
                        data = owner.staged.get(int(query["sampleCount"]))
                    self.send(404 if data is None else 200, data or b"")
                elif path.path == "/healthz":
                    self.send(200, b"", {"Instance-Id": owner.id})
                else:
                    self.send(404)

            def do_PUT(self):
                query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))
                data = self.rfile.read(int(self.headers["Content-Length"]))
                with owner.lock:
                    owner.staged[int(query["sampleCount"])] = data
                self.send(200)

            def do_POST(self):
                data = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                if self.path == "/egretpulley/order":
                    owner.order(self, json.loads(data))
                else:
                    owner.generate(self)

        self.server = serve(address, deployment.app_port, Handler)
        threading.Thread(target=self.announce, daemon=True).start()

    def settle(self):
        """Ends a load whose time has passed."""
        with self.lock:
            if self.next_load and time.monotonic() >= self.loading_until:
                self.version, self.loaded_pieces = self.next_load
                self.next_load = None

    def models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def layers(self):
        if self.next_load is not None:
            return []
        return [{"source": 0, "to": LAYERS, "version": self.version}]

    def report(self):
        self.settle()
        with self.lock:
            return {"phase": "unified", "models": self.models(), "layers": self.layers(),
                    "busy": self.next_load is not None, "sequence": self.sequence, "queued": 0,
                    "active": 0, "kvUsed": 0, "kvTotal": 317000, "handles": 0, "pace": 1.0,
                    "born": self.born}

    def matching(self, pieces, version):
        return sum(pieces.get(each) == piece_bytes(version, each) for each in range(PIECES))

    def order(self, handler, order):
        self.settle()
        if order.get("operation") != "start" or order.get("model") != MODEL:
            handler.send(400)
            return
        version = order["version"]
        with self.lock:
            if self.next_load is not None:
                handler.send(409)
                return
            if version == self.version:
                handler.send(200)
                return
            self.sequence += 1
            self.next_load = (version, dict(self.staged))
            self.loading_until = time.monotonic() + WARMUP_S
            intact = self.matching(self.staged, version)
            self.orders.append((time.monotonic(), version, intact))
        self.record(f"engine accepts the order to load version {version}; "
                    f"{intact} of {PIECES} staged pieces are of that version")
        if self.loses_next_order_answer:
            self.loses_next_order_answer = False
            self.record("the answer to that order is lost")
            time.sleep(5)
            handler.close_connection = True
            return
        handler.send(202)

    def generate(self, handler):
        """Answers a request with a stream of three events."""
        self.settle()
        attempt = handler.headers.get("Attempt-Id", "")
        if handler.headers.get("Expect-Instance", self.id) != self.id:
            handler.send(421, b"", {"Attempt-Id": attempt, "Not-Executed": "1"})
            return
        with self.lock:
            is_loading = self.next_load is not None
            version, intact = self.version, self.matching(self.loaded_pieces, self.version)
        if is_loading:
            handler.send(503, b"", {"Attempt-Id": attempt, "Not-Executed": "1"})
            return
        wanted = handler.headers.get("Expect-Version")
        if wanted and int(wanted) != version:
            handler.send(421, b"", {"Attempt-Id": attempt, "Not-Executed": "1"})
            return
        self.runs.append((time.monotonic(), attempt, version, intact))
        events = "".join(f"id: {n}\ndata: token\n\n" for n in range(1, 4)).encode()
        handler.send(200, events, {"Attempt-Id": attempt, "Server-Stamp": f"{self.id}.{attempt}",
                                   "Content-Type": "text/event-stream",
                                   "Weight-Versions": str(version)})

    def announce(self):
        at = 0
        while True:
            self.settle()
            self.beat_number += 1
            beat = {"service": self.service, "address": f"{self.address}:{self.deployment.app_port}",
                    "zone": self.zone, "version": "v1", "slots": 16, "state": "ready",
                    "coldRemainingMs": 0, "phase": "unified", "models": self.models(),
                    "layers": self.layers(), "sequence": self.beat_number, "born": self.born}
            for _ in self.registries:
                address, port = self.registries[at % len(self.registries)]
                if call(address, port, "POST", f"/egretpulley/Instances.Heartbeat/{self.id}",
                        beat)[0] == 200:
                    break
                at += 1
            time.sleep(1.2)


def model_configuration(version, service, origin):
    return {"version": version,
            "routes": [{"name": "r-1", "host": "assistant.example", "pathPrefix": "/brief/",
                        "kind": "streaming", "timeoutMs": 6000, "latencyGoalMs": 500, "priority": 1,
                        "service": service, "maxAttempts": 2, "public": False, "sticky": True,
                        "resumable": True, "gapTargetMs": 400, "allowedRegions": []}],
            "services": [{"name": service, "healthPath": "/healthz", "maxConnections": 344,
                          "protocol": "h1", "tls": False, "coldStartS": 3.0, "coldPerS": 36.0,
                          "engine": {"slots": 16, "kvCapacityTokens": 317000,
                                     "kvTokenBytes": 262144, "linkMbps": 400000.0, "stride": 5,
                                     "models": [{"name": MODEL, "pace": 1.0, "loadS": 4.0,
                                                 "warmupS": WARMUP_S}],
                                     "sizeMb": 149000.0, "adapterSlots": 8, "loadsPerS": 0.0,
                                     "step_ms": 9.27, "per_seq_ms": 0.0232,
                                     "context_per_k": 0.0322, "read_per_s": 20700.0,
                                     "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0,
                                     "loads_at_once": 8, "delays": [],
                                     "usual": {"prompt": 979, "answer": 92}, "layers": LAYERS,
                                     "layer_mb": 4090.0, "act_bytes": 16384, "pipe_mbps": 0.0,
                                     "chunks": PIECES, "chunkBytes": PIECE_BYTES}},
                         {"name": "oficina", "origin": f"{origin.address}:{origin.port}",
                          "zone": "pamplona-a", "linkMbps": 7.3, "maxConnections": 48}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "guest", "apiKeys": ["guestkey0001"], "priority": 1,
                         "allowedRegions": []}]}


def model_request(deployment, gateway, number, deadline_ms=6000):
    attempt = f"{number:016x}"
    status, _, body, _ = call(gateway, deployment.client_port, "POST", "/brief/1", b"brief",
                              {"Host": "assistant.example", "Attempt-Id": attempt,
                               "Deadline-Ms": str(deadline_ms), "Model": MODEL,
                               "Token-Count": "400,60", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:360",
                               "Authorization": "Bearer guestkey0001"}, timeout=6.0)
    return attempt, status, body
