"""Measures goodput at capacity and at three times capacity, with a small customer beside a large one that bursts."""
from serving_load import count_outcomes, count_reasons, entry_counters, log, quantile, start_cluster

TOKENS = 16
CAPACITY = 4
TOKEN_GAP_MS = 30
FIRST_TOKEN_MS = 60
SLOWDOWN = 0.5
SMALL_RATE = 2.0
DEADLINE_MS = 5000
GOODPUT_TARGET = 0.9


def add_options(parser):
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--off", action="store_true", help="disable admission control and the retry budget")


def capacity_rate(cluster):
    """Returns the requests per second that all engines complete with full batches."""
    seconds = (FIRST_TOKEN_MS + TOKENS * TOKEN_GAP_MS) * (1 + SLOWDOWN) / 1000
    return sum(cluster.preset["engines"]) * CAPACITY / seconds


def run_phase(cluster, name, rate, seconds):
    """Runs the loads of the large and the small customer concurrently.

    Returns both results and the numbers of requests sent first and retried.
    """
    extra = {"chatShare": 1, "readShare": 0, "actionShare": 0, "tokens": TOKENS, "timeout": 2 * DEADLINE_MS}
    before = entry_counters(cluster)
    loads = [cluster.start_load(f"{name}-large", rate=rate - SMALL_RATE, seconds=seconds,
                                keys=["key-large"], **extra),
             cluster.start_load(f"{name}-small", rate=SMALL_RATE, seconds=seconds,
                                keys=["key-small"], **extra)]
    large, small = (cluster.load_result(load) for load in loads)
    after = entry_counters(cluster)
    sent = after["requests_first_sent_total"] - before["requests_first_sent_total"]
    retried = after["requests_retried_total"] - before["requests_retried_total"]
    log(f"{name}: {rate:.0f} requests/s offered: {count_outcomes([large, small])}, {count_reasons([large, small])}, "
        f"first token p95 {quantile(large, 'first_token_s', 'p95')} s, {sent} sent, {retried} retried")
    return large, small, sent, retried


def run(options):
    overrides = {"engine": {"capacity": CAPACITY, "tokenGap": TOKEN_GAP_MS,
                            "firstToken": FIRST_TOKEN_MS, "slowdown": SLOWDOWN},
                 "agent": {"limit": CAPACITY}}
    if options.off:
        overrides["entry"] = {"admission": False, "retryBudget": False}
    cluster = start_cluster(options, limits={"deadline": DEADLINE_MS}, customers=["large", "small", "bakery"],
                            **overrides)
    try:
        rate = capacity_rate(cluster)
        log(f"capacity is {rate:.0f} requests/s")
        cluster.load_result(cluster.start_load("warm", rate=rate * 0.8, seconds=8, chatShare=1, readShare=0,
                                               actionShare=0, tokens=TOKENS, keys=["key-bakery"]))
        at_1x = run_phase(cluster, "1x", rate, options.seconds)
        at_3x = run_phase(cluster, "3x", 3 * rate, options.seconds)
    finally:
        cluster.stop()
    goodput = [sum(r["whole"] for r in phase[:2]) / options.seconds for phase in (at_1x, at_3x)]
    small = at_3x[1]
    table = {
        "capacity_per_s": round(rate, 1),
        "goodput_1x_per_s": round(goodput[0], 2), "goodput_3x_per_s": round(goodput[1], 2),
        "goodput_ratio_3x": round(goodput[1] / goodput[0], 3),
        "small_customer_success_ratio": round(small["whole"] / small["planned"], 3),
        "retry_share": round(at_3x[3] / max(1, at_3x[2]), 4),
        "first_token_p95_s_3x": quantile(at_3x[0], "first_token_s", "p95"),
        "wrong_answers": sum(r["wrong_answers"] for phase in (at_1x, at_3x) for r in phase[:2]),
    }
    passed = (table["goodput_ratio_3x"] >= GOODPUT_TARGET and table["wrong_answers"] == 0
              and table["retry_share"] <= 0.1)
    return table, passed
