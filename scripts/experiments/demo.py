"""Runs the main path end to end: document to answer, version change, zone out and back, planned stop."""
import signal
import subprocess
import time

from harness import BUILD, OPERATOR_TOKEN, Cluster, log, wait_until

CHUNK_BYTES = 65536
MODEL_BYTES = 2 << 20
ORIGIN_RATE = 4 << 20


def run(options):
    cluster = Cluster(options.preset, options.seed)
    try:
        return measure(cluster)
    finally:
        cluster.stop()


def measure(cluster):
    preset = cluster.preset
    engines = sum(preset["engines"])
    cluster.define_processes()
    cluster.add_origin("origin", rate=ORIGIN_RATE)
    versions = [cluster.publish(seed, MODEL_BYTES, CHUNK_BYTES) for seed in (1, 2)]
    cluster.start_all()
    log(f"{len(cluster.processes)} processes are up")

    began = time.monotonic()
    revision = cluster.submit_and_promote(cluster.document(versions[0]))
    log(f"revision {revision} promoted to production")
    wait_until(lambda: cluster.engines_ready(versions[0], engines), 60, "all engines serve the first version")
    first_seconds = time.monotonic() - began
    copies_first = cluster.origin_bytes() / MODEL_BYTES
    log(f"{engines} replicas serve the first version after {first_seconds:.1f} s, "
        f"{copies_first:.2f} copies from the origin")

    load = cluster.start_load("load", rate=40, seconds=24)
    time.sleep(3)
    began = time.monotonic()
    cluster.submit_and_promote(cluster.document(versions[1]))
    log("weights version changed under traffic")
    wait_until(lambda: cluster.count_replicas(versions[1]) == engines, 60, "all engines serve the second version")
    seconds = time.monotonic() - began
    copies = cluster.origin_bytes() / MODEL_BYTES - copies_first
    replicas = cluster.count_replicas(versions[1])
    log(f"{replicas} replicas serve the second version after {seconds:.1f} s, "
        f"{copies:.2f} copies from the origin")

    zone_out = preset["zones"][1][0]
    cluster.submit_and_promote(cluster.document(versions[1], zonesOut=[zone_out]))
    log(f"availability zone {zone_out} is taken out")
    time.sleep(4)
    cluster.submit_and_promote(cluster.document(versions[1]))
    log(f"availability zone {zone_out} is brought back")
    time.sleep(3)

    result = cluster.load_result(load)
    log("stopping one entry instance as planned, under traffic")
    stopping = cluster.entries[-1]
    second_load = cluster.start_load("second", rate=20, seconds=4,
                                     targets=[e.settings["httpAddress"] for e in cluster.entries[:-1]])
    stopping_load = cluster.start_load("own", rate=20, seconds=0.8, keyPrefix="own",
                                       targets=[stopping.settings["httpAddress"]])
    time.sleep(0.9)
    stopping.signal(signal.SIGTERM)
    stopped = stopping.wait(30)
    totals = [result, cluster.load_result(second_load), cluster.load_result(stopping_load)]
    table = {
        "whole": sum(r["whole"] for r in totals), "refused": sum(r["refused"] for r in totals),
        "failed": sum(r["failed"] for r in totals),
        "wrong_answers": sum(r["wrong_answers"] for r in totals),
        **cluster.action_counts(["load", "second", "own"]),
        "cut_off": totals[2]["failed"] + totals[2]["open"] + (0 if stopped == 0 else 1),
        "origin_copies": round(copies, 3), "replicas_whole": replicas, "replicas_required": engines,
        "seconds_to_replicas": round(seconds, 2),
    }
    reasons = {}
    for r in totals:
        for reason, count in r["reasons"].items():
            reasons[reason] = reasons.get(reason, 0) + count
    if reasons:
        log(f"reasons for requests without a complete answer: {reasons}")
    addresses = ",".join(e.settings["httpAddress"] for e in cluster.entries if e.alive())
    report = cluster.folder.parent / "egret-burn-report.html"
    burn = subprocess.run([BUILD / "egretctl", "report", "--entry", addresses, "--token", OPERATOR_TOKEN,
                           "--out", report], capture_output=True, text=True, timeout=30)
    print("\n".join(burn.stdout.splitlines()[:8]))
    log(f"service-level burn of {addresses.count(',') + 1} entry instances: {report}")
    passed = (table["wrong_answers"] == 0 and table["actions_twice"] == 0 and table["actions_lost"] == 0
              and table["false_refusals"] == 0 and table["cut_off"] == 0
              and table["failed"] == 0 and table["replicas_whole"] >= table["replicas_required"])
    return table, passed
