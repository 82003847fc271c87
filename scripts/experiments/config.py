"""Checks the history of concurrent operators' changes while control leaders are killed and paused."""
import http.client
import json
import random
import signal
import threading
import time

from harness import OPERATOR_TOKEN, Cluster, log, wait_until

OPERATORS = 4
POLL_SECONDS = 0.02
RESTART_CHANGES = 13000
RESTART_CLIENTS = 32
RETRY_LIMIT_SECONDS = 30


def add_options(parser):
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--controls", type=int, choices=(1, 5), default=5,
                        help="number of control instances; 1 disables replication")
    parser.add_argument("--restart-changes", type=int, default=RESTART_CHANGES,
                        help="changes added to the log before the timed restart; 0 skips the restart")


def run(options):
    overrides = {"engines": [0, 0, 0], "services": [0, 0, 0]}
    if options.controls == 1:
        overrides["controls"] = [1, 0, 0]
    cluster = Cluster(options.preset, options.seed, **overrides)
    try:
        cluster.define_processes()
        cluster.start_all()
        wait_until(lambda: members(cluster), 20, "a control leader is elected")
        return Trial(cluster, options).run()
    finally:
        cluster.stop()


def send_request(entry, method, path, body=None, headers=None, timeout=5.0, drop_answer=False):
    """Sends a request; returns status, headers and JSON body. The status is 0 without a readable answer.

    With drop_answer the connection is closed shortly after the request, with the answer unread.
    """
    connection = http.client.HTTPConnection(entry.settings["httpAddress"], timeout=timeout)
    try:
        connection.request(method, path, body=body,
                           headers={"Authorization": f"Bearer {OPERATOR_TOKEN}", **(headers or {})})
        if drop_answer:
            time.sleep(0.005)
            return 0, {}, {}
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, dict(answer.getheaders()), json.loads(text or b"{}")
    except (OSError, ValueError, http.client.HTTPException):
        return 0, {}, {}
    finally:
        connection.close()


def members(cluster):
    for entry in cluster.entries:
        if entry.alive():
            status, _, body = send_request(entry, "GET", "/admin/v1/members", timeout=2)
            if status == 200:
                return body
    return None


def leader_of(cluster):
    body = members(cluster)
    return next((e for e in cluster.entries
                 if body and e.settings["common"]["linkAddress"] == body["leader"]), None)


class Trial:
    """One run: concurrent operators, failures of leaders, sampled revisions and the recorded history."""

    def __init__(self, cluster, options):
        self.cluster, self.options = cluster, options
        self.random = random.Random(options.seed)
        self.lock = threading.Lock()
        self.operations = []  # (kind, request id, expected, began, ended, outcome)
        self.samples = {e.name: [] for e in cluster.entries}
        self.outages = {e.name: [] for e in cluster.entries}
        self.completed = self.attempted = 0
        self.gave_up = False
        self.changed_answers = 0
        self.stopping = False

    def run(self):
        threads = [threading.Thread(target=self.sample_revisions, args=(e,)) for e in self.cluster.entries]
        operators = [threading.Thread(target=self.run_operator, args=(n,)) for n in range(OPERATORS)]
        for thread in threads + operators:
            thread.start()
        self.inject_failures()
        for thread in operators:
            thread.join()
        time.sleep(2)
        audit = self.read_audit()
        restart = self.measure_restart() if self.options.restart_changes else None
        self.stopping = True
        for thread in threads:
            thread.join()
        return self.evaluate(audit, restart)

    # --- operators ---

    def run_operator(self, number):
        chooser = random.Random(self.options.seed * 1000 + number)
        while True:
            with self.lock:
                if self.completed >= self.options.changes or self.gave_up:
                    return
                self.attempted += 1
                change = self.attempted
            if self.make_change(chooser, number, change):
                with self.lock:
                    self.completed += 1

    def make_change(self, chooser, number, change):
        """Replaces the trial revision and promotes the new one; true when both changes were accepted."""
        base = f"/admin/v1/environments/{self.cluster.preset['environment']}"
        expected = self.read_revision(chooser, base + "/trial", "read-trial")
        document = self.cluster.document("0" * 64)
        document["weights"]["sources"] = ["http://127.0.0.1:9"]
        document["weights"]["requiredReplicas"] = change
        revision = self.send_change(chooser, "submit", base + "/trial", json.dumps(document), expected,
                                    f"submit-{number}-{change}")
        if revision is None:
            return False
        expected = self.read_revision(chooser, base + "/production", "read-production")
        promoted = self.send_change(chooser, "promote", base + "/production",
                                    json.dumps({"revision": revision}), expected, f"promote-{number}-{change}")
        return promoted is not None

    def read_revision(self, chooser, path, kind):
        end = time.monotonic() + RETRY_LIMIT_SECONDS
        while time.monotonic() < end:
            began = time.monotonic()
            status, headers, _ = send_request(chooser.choice(self.cluster.entries), "GET", path)
            if status in (200, 404):
                revision = int(headers["ETag"].strip('"')) if status == 200 else 0
                self.record_operation(kind, "", 0, began, revision)
                return revision
            time.sleep(0.05)
        return 0

    def send_change(self, chooser, kind, path, body, expected, request_id):
        """Sends a change until answered; returns the accepted revision, or None when refused or unanswered."""
        headers = {"If-Match": f'"{expected}"', "Idempotency-Key": request_id}
        began = time.monotonic()
        drop_answer = chooser.random() < 0.3
        while time.monotonic() < began + RETRY_LIMIT_SECONDS:
            status, _, answer = send_request(chooser.choice(self.cluster.entries), "PUT", path, body,
                                             headers, drop_answer=drop_answer)
            drop_answer = False
            if status in (200, 412):
                revision = answer["revision"] if status == 200 else None
                self.record_operation(kind, request_id, expected, began, revision)
                # Every entry instance must answer a repeated request with the first answer.
                repeated_status, _, repeated = send_request(chooser.choice(self.cluster.entries), "PUT", path, body,
                                                            headers)
                if repeated_status in (200, 412) and (repeated_status, repeated) != (status, answer):
                    with self.lock:
                        self.changed_answers += 1
                return revision
            time.sleep(0.05)
        self.record_operation(kind, request_id, expected, began, "unknown")
        self.gave_up = True
        return None

    def record_operation(self, kind, request_id, expected, began, outcome):
        with self.lock:
            self.operations.append((kind, request_id, expected, began, time.monotonic(), outcome))

    # --- injected failures and revisions in force ---

    def inject_failures(self):
        for share, fault in ((0.25, "kill"), (0.5, "pause"), (0.75, "kill")):
            while self.completed < self.options.changes * share and not self.gave_up:
                time.sleep(0.02)
            victim = leader_of(self.cluster)
            if victim is None or self.gave_up:
                continue
            log(f"injecting {fault} of the leader {victim.name} after {self.completed} changes")
            began = time.monotonic()
            if fault == "kill":
                victim.kill()
                time.sleep(3)
                victim.start()
                wait_until(lambda e=victim: self.cluster.healthy(e), 20, f"{victim.name} answers health checks")
            else:
                victim.signal(signal.SIGSTOP)
                time.sleep(4)
                victim.signal(signal.SIGCONT)
            self.outages[victim.name].append((began, time.monotonic() + 1))

    def sample_revisions(self, entry):
        while not self.stopping:
            status, _, body = send_request(entry, "GET", "/admin/v1/status", timeout=1)
            if status == 200 and "revision" in body:
                self.samples[entry.name].append((time.monotonic(), body["revision"]))
            time.sleep(POLL_SECONDS)

    # --- restart ---

    def measure_restart(self):
        """Fills the log and restarts a follower; returns the seconds until the revision in force is back there.

        Returns None when fewer than the configured changes were answered.
        """
        path = f"/admin/v1/environments/{self.cluster.preset['environment']}/trial"
        document = self.cluster.document("0" * 64)
        document["weights"]["sources"] = ["http://127.0.0.1:9"]
        body = json.dumps(document)
        answered = [0] * RESTART_CLIENTS

        def fill_log(number):
            entry = self.cluster.entries[number % len(self.cluster.entries)]
            connection = http.client.HTTPConnection(entry.settings["httpAddress"], timeout=10)
            for i in range(self.options.restart_changes // RESTART_CLIENTS + 1):
                try:
                    connection.request("PUT", path, body=body, headers={
                        "Authorization": f"Bearer {OPERATOR_TOKEN}", "If-Match": '"0"',
                        "Idempotency-Key": f"fill-{number}-{i}"})
                    answer = connection.getresponse()
                    answer.read()
                    answered[number] += 1 if answer.status in (200, 412) else 0
                except (OSError, http.client.HTTPException):
                    connection.close()

        began = time.monotonic()
        senders = [threading.Thread(target=fill_log, args=(n,)) for n in range(RESTART_CLIENTS)]
        for thread in senders:
            thread.start()
        for thread in senders:
            thread.join()
        log(f"{sum(answered)} changes to fill the log were answered in {time.monotonic() - began:.1f} s")
        leader = leader_of(self.cluster)
        follower = next(e for e in self.cluster.entries
                        if e is not leader and e.settings["common"]["dataFolder"])
        target = self.cluster.status(self.cluster.entries.index(leader)).get("revision")
        began = time.monotonic()
        follower.kill()
        follower.start()
        started = time.monotonic()
        follower_index = self.cluster.entries.index(follower)
        wait_until(lambda: (self.cluster.status(follower_index) or {}).get("revision") == target, 30,
                   "the restarted follower has the revision in force")
        ended = time.monotonic()
        self.outages[follower.name].append((began, ended))
        reads = [e for e in follower.log_events() if e.get("event") == "control log is read"]
        log(f"log entry of the restarted follower about its control log: {reads[-1] if reads else 'not logged'}")
        return round(ended - started, 3) if sum(answered) >= self.options.restart_changes else None

    # --- checks of the history ---

    def read_audit(self):
        records, after = [], 0
        while True:
            status, _, body = 0, {}, {}
            for entry in self.cluster.entries:
                status, _, body = send_request(entry, "GET", f"/admin/v1/audit/{after}")
                if status == 200:
                    break
            if status != 200 or not body:
                return records
            records += body
            after = body[-1]["index"]

    def evaluate(self, audit, restart):
        outcomes = {o[1]: o[5] for o in self.operations if o[1]}
        accepted = {i: r for i, r in outcomes.items() if isinstance(r, int)}
        recorded = {}
        for record in audit:
            if record["accepted"] and record["requestId"]:
                recorded.setdefault(record["requestId"], []).append(record["revision"])
        lost = sum(1 for i, r in accepted.items() if r not in recorded.get(i, []))
        twice = sum(1 for r in recorded.values() if len(r) > 1) + self.changed_answers
        times, never_reached = self.activation_times(accepted)
        table = {
            "accepted": sum(1 for i in accepted if i.startswith("promote")),
            "accepted_submits": sum(1 for i in accepted if i.startswith("submit")),
            "refused": sum(1 for r in outcomes.values() if r is None),
            "unknown": sum(1 for r in outcomes.values() if r == "unknown"),
            "in_force_p50_s": quantile(times, 0.5), "in_force_p99_s": quantile(times, 0.99),
            "in_force_max_s": round(max(times), 3) if times else None,
            "never_in_force": never_reached, "lost": lost, "reverted": self.reversals(),
            "applied_twice": twice, "history_faults": self.history_violations(),
            "restart_seconds_at_13000":
                restart if self.options.restart_changes >= RESTART_CHANGES else None,
        }
        passed = (table["lost"] == 0 and table["reverted"] == 0 and table["applied_twice"] == 0
                  and table["history_faults"] == 0 and never_reached == 0 and table["unknown"] == 0
                  and table["in_force_p99_s"] is not None and table["in_force_p99_s"] <= 2.0
                  and (restart is None or restart < 1.0))
        return table, passed

    def activation_times(self, accepted):
        """Returns the seconds from each promotion's answer until the last reachable instance had the revision in
        force, and the number of times that an instance never reached it."""
        ended = {o[1]: o[4] for o in self.operations}
        times, never_reached = [], 0
        for request_id, revision in accepted.items():
            if not request_id.startswith("promote"):
                continue
            answered_at, slowest = ended[request_id], 0.0
            for name, samples in self.samples.items():
                reached = next((t for t, r in samples if r >= revision), None)
                last = reached if reached is not None else time.monotonic()
                if any(down < last and up > answered_at for down, up in self.outages[name]):
                    continue
                if reached is None:
                    never_reached += 1
                else:
                    slowest = max(slowest, reached - answered_at)
            times.append(max(slowest, 0.0))
        return times, never_reached

    def reversals(self):
        return sum(1 for samples in self.samples.values()
                   for (_, before), (_, after) in zip(samples, samples[1:]) if after < before)

    def history_violations(self):
        """Counts violations of linearizability of a compare-and-set register with growing revisions."""
        violations = 0
        for kind, reader in (("submit", "read-trial"), ("promote", "read-production")):
            accepted = [o for o in self.operations if o[0] == kind and isinstance(o[5], int)]
            # At most one change is accepted per expected revision.
            expected_revisions = [o[2] for o in accepted]
            violations += len(expected_revisions) - len(set(expected_revisions))
            reads = [o for o in self.operations if o[0] == reader]
            # A change has a higher revision than every operation that ended before the change
            # began; a read has the same or a higher one.
            operations = sorted(accepted + reads, key=lambda o: o[3])
            for later in operations:
                highest_before = max((o[5] for o in operations if o[4] < later[3]), default=0)
                is_behind = later[5] < highest_before if later[0] == reader else later[5] <= highest_before
                violations += 1 if is_behind else 0
        return violations


def quantile(values, share):
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)
