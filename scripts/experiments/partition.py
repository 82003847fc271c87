"""Isolates zones under load, one after the other, and reconnects them.

Each zone must continue to serve assistant answers and status reads. Protected
actions continue where the quorum for claims is reachable and are refused elsewhere.
"""
import json
import time
import urllib.error
import urllib.request

from harness import Cluster, log, wait_until

CHUNK_BYTES = 65536
MODEL_BYTES = 1 << 20
RATE = 40
ISOLATED_SECONDS = 8
CONNECTED_SECONDS = 4
DOUBLES_PERCENT = 20
DETECT_LIMIT_SECONDS = 20


def add_options(parser):
    parser.add_argument("--no-cut", action="store_true", help="run the same load without a partition")
    parser.add_argument("--single-control", action="store_true", help="run one control instance, in the first zone")


def run(options):
    overrides = {"controls": [1, 0, 0]} if options.single_control else {}
    cluster = Cluster(options.preset, options.seed, uses_relay=True, **overrides)
    try:
        return measure(cluster, options)
    finally:
        cluster.stop()


def measure(cluster, options):
    preset = cluster.preset
    engines = sum(preset["engines"])
    cluster.define_processes()
    cluster.add_origin("origin")
    version = cluster.publish(options.seed, MODEL_BYTES, CHUNK_BYTES)
    cluster.start_all()
    cluster.submit_and_promote(cluster.document(version))
    wait_until(lambda: cluster.engines_ready(version, engines), 60, "all engines serve the version")

    zones = [name for name, _ in preset["zones"]]
    zones_to_isolate = [] if options.no_cut else [zones[-1], zones[1]]
    seconds = CONNECTED_SECONDS + len(zones_to_isolate) * (ISOLATED_SECONDS + CONNECTED_SECONDS)
    load = cluster.start_load("load", rate=RATE, seconds=max(seconds, 12), timeout=5000, doubles=DOUBLES_PERCENT)
    time.sleep(CONNECTED_SECONDS)
    drop_times, reuse_times, refusals = [], [], []
    for zone in zones_to_isolate:
        drop_times.append(isolate_zone(cluster, zone, refusals))
        reuse_times.append(reconnect_zone(cluster, zone, version, engines))
    result = cluster.load_result(load)
    table = {
        "first_token_p95_s": result["first_token_s"]["p95"], "token_gap_p95_s": result["token_gap_s"]["p95"],
        "work_after_out_s": max(drop_times, default=None), "seconds_to_reuse": max(reuse_times, default=None),
        "whole": result["whole"], "refused": result["refused"], "failed": result["failed"],
        "wrong_answers": result["wrong_answers"],
        "cut_off": result["reasons"].get("stream-without-end", 0) + result["open"],
        **cluster.action_counts(["load"]),
        "refusal_s": max((seconds for seconds, _ in refusals), default=None),
    }
    log(f"seconds and outcome of one action in each isolated zone: {refusals}")
    log(f"reasons for requests without a complete answer: {result['reasons']}")
    passed = all(table[k] == 0 for k in ("wrong_answers", "actions_twice", "actions_lost", "false_refusals"))
    return table, passed


def isolate_zone(cluster, zone, refusals):
    """Isolates a zone; returns the seconds until no entry instance outside lists its upstreams as ready."""
    began = time.monotonic()
    cluster.isolate(zone)
    log(f"availability zone {zone} is isolated")
    wait_until(lambda: not receives_work(cluster, zone), DETECT_LIMIT_SECONDS,
               "entry instances outside drop the zone's upstreams")
    seconds = round(time.monotonic() - began, 2)
    refusals.append(send_action(cluster, zone))
    time.sleep(max(0, ISOLATED_SECONDS - (time.monotonic() - began)))
    return seconds


def send_action(cluster, zone):
    """Sends one action to an entry instance of the zone; returns the seconds until the answer and the outcome."""
    entry = next(e for e in cluster.entries if e.settings["common"]["zone"] == zone)
    request = urllib.request.Request(
        f"http://{entry.settings['httpAddress']}{cluster.preset['action']}", method="POST", data=b"{}",
        headers={"Authorization": f"Bearer key-{cluster.customers[0]}", "Idempotency-Key": f"cut-{zone}"})
    began = time.monotonic()
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            outcome = str(answer.status)
    except urllib.error.HTTPError as error:
        outcome = json.loads(error.read()).get("action")
    return round(time.monotonic() - began, 2), outcome


def receives_work(cluster, zone):
    """True while an entry instance outside the zone lists any of its upstreams as ready, or doesn't answer."""
    for i, entry in enumerate(cluster.entries):
        if entry.settings["common"]["zone"] == zone:
            continue
        status = cluster.status(i)
        if status is None or any(u["zone"] == zone and u["state"] == "ready" for u in status["upstreams"]):
            return True
    return False


def reconnect_zone(cluster, zone, version, engines):
    """Ends the isolation; returns the seconds until every entry instance lists all engines as ready."""
    began = time.monotonic()
    cluster.heal()
    log(f"availability zone {zone} is reconnected")
    wait_until(lambda: cluster.engines_ready(version, engines), DETECT_LIMIT_SECONDS,
               "all entry instances list all engines as ready")
    seconds = round(time.monotonic() - began, 2)
    time.sleep(max(0, CONNECTED_SECONDS - seconds))
    return seconds
