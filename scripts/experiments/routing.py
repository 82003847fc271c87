"""Compares the routing policies under the same seeded load with shared prompt prefixes."""
from serving_load import count_outcomes, count_reasons, engine_sum, log, quantile, start_cluster

POLICIES = {"round_robin": "roundRobin", "least_loaded": "leastLoaded", "two_choices": "twoChoices",
            "affinity": "affinity"}
CAPACITY = 8
PREFIXES_PER_ENGINE = 4
CACHED_PREFIXES = 6


def add_options(parser):
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--share", type=float, default=0.6, help="offered load as a share of the capacity")


def measure(options, policy):
    cluster = start_cluster(
        options, entry={"routingPolicy": policy}, agent={"limit": CAPACITY},
        engine={"capacity": CAPACITY, "tokenGap": 20, "firstToken": 250, "prefixHit": 0.2,
                "prefixCache": CACHED_PREFIXES})
    try:
        engines = sum(cluster.preset["engines"])
        rate = options.share * engines * CAPACITY / 0.8
        extra = {"chatShare": 1, "readShare": 0, "actionShare": 0, "prefixes": engines * PREFIXES_PER_ENGINE}
        cluster.load_result(cluster.start_load("warm", rate=rate, seconds=8, **{**extra, "seed": 77}))
        before = [engine_sum(cluster, f) for f in ("prefixHits", "prefixMisses")]
        result = cluster.load_result(cluster.start_load("load", rate=rate, seconds=options.seconds, **extra))
        hits, misses = (engine_sum(cluster, f) - b for f, b in zip(("prefixHits", "prefixMisses"), before))
    finally:
        cluster.stop()
    ratio = hits / max(1, hits + misses)
    log(f"{policy}: {count_outcomes([result])}, {count_reasons([result])}, first token p50 "
        f"{quantile(result, 'first_token_s', 'p50')} p95 {quantile(result, 'first_token_s', 'p95')} s, "
        f"prefix hit ratio {ratio:.2f}")
    return result, ratio


def run(options):
    table, passed = {}, True
    for name, policy in POLICIES.items():
        result, ratio = measure(options, policy)
        table[f"first_token_p95_s_{name}"] = quantile(result, "first_token_s", "p95")
        table[f"prefix_hit_ratio_{name}"] = round(ratio, 3)
        table[f"refused_{name}"] = result["refused"]
        passed = passed and result["wrong_answers"] == 0 and result["failed"] == 0
    others = [table[f"first_token_p95_s_{n}"] for n in POLICIES if n != "affinity"]
    return table, passed and table["first_token_p95_s_affinity"] <= min(others)
