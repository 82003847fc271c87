"""Checks that no protected action is lost, run twice or falsely refused while processes are killed and paused.

Entry instances, agents and services are killed with SIGKILL and restarted, or
paused with SIGSTOP, in an order drawn from the seed. A fifth of the actions are
sent to two entry instances at once, and each is resent until it is done.
"""
import random
import signal
import time

from harness import Cluster, log, wait_until

CHUNK_BYTES = 65536
MODEL_BYTES = 1 << 20
RATE = 60
SECONDS = 24
FAULT_EVERY_SECONDS = 1.2
PAUSE_SECONDS = 4.0
DOWN_SECONDS = 0.5
DOUBLES_PERCENT = 20


def add_options(parser):
    parser.add_argument("--no-faults", action="store_true", help="run the same load without kills and pauses")
    parser.add_argument("--single-control", action="store_true", help="run one control instance, in the first zone")


def run(options):
    overrides = {"controls": [1, 0, 0]} if options.single_control else {}
    cluster = Cluster(options.preset, options.seed, **overrides)
    try:
        return measure(cluster, options)
    finally:
        cluster.stop()


def measure(cluster, options):
    engines = sum(cluster.preset["engines"])
    cluster.define_processes()
    cluster.add_origin("origin")
    version = cluster.publish(options.seed, MODEL_BYTES, CHUNK_BYTES)
    cluster.start_all()
    cluster.submit_and_promote(cluster.document(version))
    wait_until(lambda: cluster.engines_ready(version, engines), 60, "all engines serve the version")
    load = cluster.start_load("load", rate=RATE, seconds=SECONDS, timeout=5000, resends=8, chatShare=0,
                              readShare=1, actionShare=4, doubles=DOUBLES_PERCENT)
    faults = {} if options.no_faults else inject_faults(cluster, random.Random(options.seed))
    result = cluster.load_result(load)
    outcomes = (cluster.folder / "load.actions").read_text().split()[1::2]
    table = {
        "whole": result["whole"], "refused": result["refused"], "failed": result["failed"],
        "wrong_answers": result["wrong_answers"], **cluster.action_counts(["load"]), **faults,
        **{f"told_{word.replace('-', '_')}": outcomes.count(word) for word in sorted(set(outcomes))},
        "action_latency_p95_s": result["latency_s"]["p95"],
    }
    log(f"reasons for requests without a complete answer: {result['reasons']}")
    passed = all(table[k] == 0 for k in ("wrong_answers", "actions_twice", "actions_lost", "false_refusals"))
    return table, passed


def inject_faults(cluster, chooser):
    """Kills and pauses processes until the load ends, except control instances, which the config experiment covers."""
    services = [p for p in cluster.upstreams if p.settings["role"] == "service"]
    agents = [p for p in cluster.agents if p.settings["kind"] == "service"]
    entries = [p for p in cluster.entries if not p.settings["common"]["dataFolder"]]
    counts = {"kills": 0, "pauses": 0}
    end = time.monotonic() + SECONDS
    paused = []
    while time.monotonic() < end:
        time.sleep(FAULT_EVERY_SECONDS)
        for process, paused_until in list(paused):
            if time.monotonic() >= paused_until:
                process.signal(signal.SIGCONT)
                paused.remove((process, paused_until))
        group = chooser.choice([services, agents, entries])
        process = chooser.choice(group)
        if any(process is p for p, _ in paused):
            continue
        if chooser.random() < 0.5:
            process.kill()
            time.sleep(DOWN_SECONDS)
            process.start()
            counts["kills"] += 1
        else:
            process.signal(signal.SIGSTOP)
            paused.append((process, time.monotonic() + PAUSE_SECONDS))
            counts["pauses"] += 1
    for process, _ in paused:
        process.signal(signal.SIGCONT)
    return counts
