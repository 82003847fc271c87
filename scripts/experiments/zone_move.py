"""Takes a zone out and brings it back under the customers' mix of requests."""
import time

from serving_load import count_outcomes, count_reasons, log, promote_document, quantile, start_cluster, wait_until

ZONE_INDEX = 1
FIRST_TOKEN_TARGET_S = 0.55
TOKEN_GAP_TARGET_S = 0.036
WORK_AFTER_OUT_LIMIT_S = 3.0


def add_options(parser):
    parser.add_argument("--rate", type=float, default=40)
    parser.add_argument("--off", action="store_true",
                        help="kill and restart the zone's agents instead of taking the zone out")


def zone_states(cluster):
    return {n: s for n, s in cluster.engine_states().items() if n.startswith(f"engine-{ZONE_INDEX}-")}


def last_request_start(cluster):
    """Returns the monotonic time of the last request start at an engine of the zone."""
    now = time.monotonic()
    return max(now - s["sinceStart"] for s in zone_states(cluster).values())


def move_out(cluster, options):
    if options.off:
        for agent in cluster.agents:
            if agent.name.startswith(f"agent-engine-{ZONE_INDEX}-"):
                agent.kill()
    else:
        promote_document(cluster, zonesOut=[cluster.preset["zones"][ZONE_INDEX][0]])


def move_back(cluster, options):
    if options.off:
        for agent in cluster.agents:
            if agent.name.startswith(f"agent-engine-{ZONE_INDEX}-"):
                agent.start()
    else:
        promote_document(cluster)


def run(options):
    cluster = start_cluster(options)
    try:
        load = cluster.start_load("load", rate=options.rate, seconds=24)
        time.sleep(6)
        taken_out_at = time.monotonic()
        move_out(cluster, options)
        log("zone is taken out")
        time.sleep(7)
        work_after_out = max(0.0, last_request_start(cluster) - taken_out_at)
        started = sum(s["started"] for s in zone_states(cluster).values())
        brought_back_at = time.monotonic()
        move_back(cluster, options)
        log("zone is brought back; its engines started requests until "
            f"{work_after_out:.2f} s after the zone was taken out")
        wait_until(lambda: sum(s["started"] for s in zone_states(cluster).values()) > started, 15,
                   "engines of the zone start requests again")
        seconds_to_reuse = time.monotonic() - brought_back_at
        result = cluster.load_result(load)
        actions = cluster.action_counts(["load"])
    finally:
        cluster.stop()
    log(f"reasons for requests without a complete answer: {count_reasons([result])}")
    table = {"first_token_p95_s": quantile(result, "first_token_s", "p95"),
             "token_gap_p95_s": quantile(result, "token_gap_s", "p95"),
             "work_after_out_s": round(work_after_out, 2), "seconds_to_reuse": round(seconds_to_reuse, 2),
             **count_outcomes([result]),
             "cut_off": result["open"] + count_reasons([result]).get("stream-without-end", 0),
             **actions}
    passed = (table["first_token_p95_s"] <= FIRST_TOKEN_TARGET_S
              and table["token_gap_p95_s"] <= TOKEN_GAP_TARGET_S
              and table["work_after_out_s"] <= WORK_AFTER_OUT_LIMIT_S
              and not any(table[k] for k in ("failed", "wrong_answers", "cut_off", "actions_twice",
                                             "actions_lost", "false_refusals")))
    return table, passed
