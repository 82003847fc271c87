"""Measures the answers that clients receive when engine streams break, end wrongly, stall or carry the answer to
another request."""
import time

from serving_load import (count_outcomes, count_reasons, engine_sum, entry_counters, inject_faults, log, quantile,
                          start_cluster)

FAULTS = {"breakStreams": 6, "wrongEnds": 6, "crossAnswers": 6}


def run(options):
    cluster = start_cluster(options, agent={"slowStart": False})
    try:
        load = cluster.start_load("load", rate=30, seconds=12, chatShare=1, readShare=0, actionShare=0, tokens=32)
        time.sleep(2)
        for name, count in FAULTS.items():
            for engine in ("engine-0-0", "engine-1-0"):
                inject_faults(cluster, engine, **{name: count // 2})
            time.sleep(2.5)
        inject_faults(cluster, "engine-2-0", stallMs=1000)
        result = cluster.load_result(load)
        counters = entry_counters(cluster)
        resumed = engine_sum(cluster, "resumed")
    finally:
        cluster.stop()
    log(f"reasons for requests without a complete answer: {count_reasons([result])}")
    table = {**count_outcomes([result]), "faults": sum(FAULTS.values()), "resumed": resumed,
             "retried": counters["requests_retried_total"], "crossed": counters["answers_crossed_total"],
             "retry_share": round(counters["requests_retried_total"]
                                  / max(1, counters["requests_first_sent_total"]), 4),
             "first_token_p95_s": quantile(result, "first_token_s", "p95")}
    passed = table["wrong_answers"] == 0 and table["failed"] == 0 and table["retry_share"] <= 0.1
    return table, passed
