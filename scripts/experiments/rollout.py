"""Rolls out a new weights version to every engine under live requests, with low bandwidth between regions."""
import json
import time

from harness import Cluster, log, wait_until

MIB = 1 << 20
CHUNK_BYTES = 131072
ORIGIN_RATE = 4 * MIB
FIRST_BYTES = MIB
ENGINES = [14, 13, 13]
COPIES = {"swarm": 1, "tree": 3, "origin": sum(ENGINES)}
SETTLE_SECONDS = 8
BOUND_LIMIT = 1.3
COPIES_LIMIT = 1.25


def add_options(parser):
    parser.add_argument("--policy", choices=sorted(COPIES), default="swarm")
    parser.add_argument("--model-mib", type=int, default=16)
    parser.add_argument("--load-rate", type=int, default=40)


def run(options):
    cluster = Cluster(options.preset, options.seed, uses_relay=True, engines=ENGINES)
    cluster.role_settings["agent"] = {"weightsPolicy": options.policy}
    try:
        return measure(cluster, options)
    finally:
        cluster.stop()


def lower_bound(size, pair_rate):
    """Returns the least seconds for any policy: the origin sends one copy, and each pair of regions carries
    in each direction the third of a copy that the sending region fetched; see docs/design/weights.md."""
    return max(size / ORIGIN_RATE, size / 3 / pair_rate)


def content_digest(cluster, version):
    return json.loads((cluster.folder / "origin" / f"{version}.manifest").read_text())["digest"]


def pair_sums(before, after):
    """Returns the bytes of each pair of regions, summed over both directions."""
    sums = {}
    for direction, count in after.items():
        regions = sorted(direction.split(">"))
        if regions[0] != regions[1]:
            key = "-".join(regions)
            sums[key] = sums.get(key, 0) + count - before.get(direction, 0)
    return sums


def wait_for_rollout(cluster, versions, required, limit):
    """Waits until all replicas serve the second version; returns the seconds, None past the limit, and the
    number of engine states seen with another content than their version's."""
    digests = {v: content_digest(cluster, v) for v in versions}
    began, wrong = time.monotonic(), 0
    while time.monotonic() - began < limit:
        states = cluster.engine_states().values()
        wrong += sum(1 for s in states if s.get("version")
                     and digests.get(s["version"]) != s.get("contentDigest"))
        if sum(1 for s in states if s.get("version") == versions[1]) >= required:
            return time.monotonic() - began, wrong
        time.sleep(0.1)
    return None, wrong


def measure(cluster, options):
    required, size = sum(ENGINES), options.model_mib * MIB
    cluster.define_processes()
    cluster.add_origin("origin", rate=ORIGIN_RATE)
    versions = [cluster.publish(1, FIRST_BYTES, CHUNK_BYTES), cluster.publish(2, size, CHUNK_BYTES)]
    cluster.start_all()
    log(f"{len(cluster.processes)} processes are up, policy {options.policy}")
    cluster.submit_and_promote(cluster.document(versions[0]))
    wait_until(lambda: cluster.engines_ready(versions[0], required), 90, "all engines serve the first version")

    baseline = cluster.load_result(cluster.start_load("quiet", options.load_rate, SETTLE_SECONDS))
    expected = COPIES[options.policy] * size / ORIGIN_RATE
    load = cluster.start_load("busy", options.load_rate, expected * 1.5 + 4)
    time.sleep(1)
    origin_before, pairs_before = cluster.origin_bytes(), cluster.region_pair_bytes()
    cluster.submit_and_promote(cluster.document(versions[1]))
    seconds, wrong = wait_for_rollout(cluster, versions, required, expected * 3 + 30)
    replicas = cluster.count_replicas(versions[1])
    copies = (cluster.origin_bytes() - origin_before) / size
    sums = pair_sums(pairs_before, cluster.region_pair_bytes())
    during = cluster.load_result(load)
    bound = lower_bound(size, cluster.relay.settings["rate"])
    table = {
        "policy": options.policy, "replicas": replicas, "replicas_required": required,
        "origin_copies": round(copies, 3),
        "seconds_to_replicas": None if seconds is None else round(seconds, 2),
        "bound_s": round(bound, 2),
        "time_over_bound": None if seconds is None else round(seconds / bound, 2),
        "region_pair_copies_max": round(max(sums.values()) / size, 3) if sums else None,
        "first_token_p95_s": during["first_token_s"].get("p95"),
        "first_token_p95_s_without": baseline["first_token_s"].get("p95"),
        "token_gap_p95_s": during["token_gap_s"].get("p95"),
        "token_gap_p95_s_without": baseline["token_gap_s"].get("p95"),
        "mixed_or_partial": wrong, "whole": during["whole"] + baseline["whole"],
        "failed": during["failed"] + baseline["failed"], "refused": during["refused"] + baseline["refused"],
        "wrong_answers": during["wrong_answers"] + baseline["wrong_answers"],
    }
    if seconds is None:
        log("time_over_bound is null: not all replicas served the version within the limit")
    log(f"reasons for incomplete requests before and during the rollout: {baseline['reasons']} {during['reasons']}")
    passed = (replicas >= required and wrong == 0 and table["wrong_answers"] == 0
              and seconds is not None and copies <= COPIES_LIMIT
              and seconds / bound <= BOUND_LIMIT)
    return table, passed
