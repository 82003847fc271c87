"""Measures slow start under load: an engine that goes cold unannounced, then a whole zone that restarts cold."""
import time

from serving_load import (count_outcomes, count_reasons, engine_sum, inject_faults, log, quantile, start_cluster,
                          wait_until)

CAPACITY = 8
COLD_ANSWERS = 48
TOKENS = 16
ZONE_INDEX = 1


def add_options(parser):
    parser.add_argument("--off", action="store_true", help="disable slow start")


def agent_limits(cluster):
    """Returns the concurrency limit of every engine's agent as reported by the first entry instance."""
    status = cluster.status(0)
    return {u["agent"]: u["limit"] for u in status["upstreams"] if "engine" in u["agent"]}


def wait_for_full_limits(cluster, agent_names, timeout=60):
    """Waits until the named agents have their full limit; returns the seconds that this took."""
    began = time.monotonic()
    wait_until(lambda: all(agent_limits(cluster).get(n, 0) >= CAPACITY for n in agent_names), timeout,
               "agents reach their full limits")
    return time.monotonic() - began


def run(options):
    cluster = start_cluster(
        options,
        engine={"capacity": CAPACITY, "coldAnswers": COLD_ANSWERS, "tokenGap": 15, "firstToken": 30},
        agent={"limit": CAPACITY, "slowStart": not options.off})
    try:
        engines = sum(cluster.preset["engines"])
        rate = 0.5 * engines * CAPACITY / 0.4
        extra = {"chatShare": 1, "readShare": 0, "actionShare": 0, "tokens": TOKENS}
        load = cluster.start_load("load", rate=rate, seconds=50, **extra)
        agent_names = [f"agent-{u.name}" for u in cluster.upstreams if u.settings["role"] == "engine"]
        first_seconds = wait_for_full_limits(cluster, agent_names)
        after_start = engine_sum(cluster, "limitExceeded")
        log(f"all fresh engines reached their full limits after {first_seconds:.1f} s, "
            f"{after_start} requests started beyond their current capacity")

        began = time.monotonic()
        inject_faults(cluster, "engine-0-0", cold=True)
        wait_until(lambda: agent_limits(cluster).get("agent-engine-0-0", 0) < CAPACITY or options.off, 10,
                   "the cold engine's limit is reduced")
        seconds_to_notice = time.monotonic() - began
        unannounced_seconds = seconds_to_notice + wait_for_full_limits(cluster, ["agent-engine-0-0"])
        after_unannounced = engine_sum(cluster, "limitExceeded")
        log(f"engine went cold unannounced: detected after {seconds_to_notice:.1f} s, full limit restored after "
            f"{unannounced_seconds:.1f} s, {after_unannounced - after_start} requests started beyond its "
            f"current capacity")

        zone = [u for u in cluster.upstreams if u.name.startswith(f"engine-{ZONE_INDEX}-")]
        exceeded_before_kill = sum(s.get("limitExceeded", 0) for n, s in cluster.engine_states().items()
                                   if n.startswith(f"engine-{ZONE_INDEX}-"))
        for upstream in zone:
            upstream.kill()
        time.sleep(2)
        began = time.monotonic()
        for upstream in zone:
            upstream.start()
        time.sleep(2)
        wait_for_full_limits(cluster, [f"agent-{u.name}" for u in zone])
        seconds = time.monotonic() - began
        after_zone = engine_sum(cluster, "limitExceeded") + exceeded_before_kill
        log(f"zone restarted cold: full limits after {seconds:.1f} s, "
            f"{after_zone - after_unannounced} requests started beyond its current capacity")
        result = cluster.load_result(load)
        fallen = engine_sum(cluster, "fallen")
    finally:
        cluster.stop()
    log(f"reasons for requests without a complete answer: {count_reasons([result])}")
    table = {"limit_exceeded": after_start + (after_zone - after_unannounced),
             "limit_exceeded_silent": after_unannounced - after_start,
             "seconds_to_full": round(seconds, 2), "seconds_to_notice_silent": round(seconds_to_notice, 2),
             "seconds_to_full_silent": round(unannounced_seconds, 2),
             "engines_fallen": fallen, **count_outcomes([result]),
             "first_token_p95_s": quantile(result, "first_token_s", "p95")}
    passed = table["limit_exceeded"] == 0 and table["wrong_answers"] == 0 and table["failed"] == 0
    return table, passed
