"""Measures the latency that one entry instance adds to the first token and to each token, compared with direct
requests to the engines."""
import os
import pathlib

from serving_load import count_outcomes, count_reasons, log, quantile, start_cluster

TOKENS = 218
RATE = 10


def add_options(parser):
    parser.add_argument("--times", type=float, default=1, help="factor on the request rate of one entry instance")
    parser.add_argument("--seconds", type=float, default=12)


def resident_mb(process):
    for line in pathlib.Path(f"/proc/{process.handle.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return None


def cpu_seconds(process):
    """Returns the CPU time that a process has used."""
    fields = pathlib.Path(f"/proc/{process.handle.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run(options):
    cluster = start_cluster(options, engine={"capacity": 64, "tokenGap": 5, "firstToken": 40, "slowdown": 0.0},
                            agent={"limit": 64, "slowStart": False})
    try:
        rate = RATE * options.times
        entry = cluster.entries[0]
        engines = [u.settings["httpAddress"] for u in cluster.upstreams if u.name.startswith("engine-0-")]
        extra = {"chatShare": 1, "readShare": 0, "actionShare": 0, "tokens": TOKENS}
        entry_targets = [entry.settings["httpAddress"]]
        cluster.load_result(cluster.start_load("warm", rate=rate, seconds=3, targets=entry_targets, **extra))
        memory_start = resident_mb(entry)
        cpu_idle = cpu_seconds(entry)
        direct = cluster.load_result(cluster.start_load("direct", rate=rate, seconds=options.seconds,
                                                        targets=engines, **extra))
        cpu_idle = cpu_seconds(entry) - cpu_idle
        cpu_routed = cpu_seconds(entry)
        routed = cluster.load_result(cluster.start_load("routed", rate=rate, seconds=options.seconds,
                                                        targets=entry_targets, **extra))
        cpu_routed = cpu_seconds(entry) - cpu_routed
        memory_end = resident_mb(entry)
    finally:
        cluster.stop()
    for name, result in (("direct", direct), ("routed", routed)):
        log(f"{name}: {count_outcomes([result])}, {count_reasons([result])}, first token p50 "
            f"{quantile(result, 'first_token_s', 'p50')} p99 {quantile(result, 'first_token_s', 'p99')}, gap p50 "
            f"{quantile(result, 'token_gap_s', 'p50')} p95 {quantile(result, 'token_gap_s', 'p95')}")

    def added_ms(field, name):
        return round(1000 * (routed[field][name] - direct[field][name]), 3)

    table = {"requests_per_s": rate, "tokens_per_s": rate * TOKENS,
             "added_first_token_p50_ms": added_ms("first_token_s", "p50"),
             "added_first_token_p99_ms": added_ms("first_token_s", "p99"),
             "added_per_token_ms": added_ms("token_gap_s", "p50"),
             "entry_core_share": round(cpu_routed / options.seconds, 4),
             "entry_core_share_idle": round(cpu_idle / options.seconds, 4),
             "cpu_us_per_token": round(1e6 * max(0, cpu_routed - cpu_idle) / max(1, routed["whole"] * TOKENS), 1),
             "memory_mb_start": memory_start, "memory_mb_end": memory_end, **count_outcomes([routed])}
    passed = (table["added_first_token_p99_ms"] < 1 and table["added_per_token_ms"] < 0.2
              and routed["failed"] == 0 and routed["wrong_answers"] == 0)
    return table, passed
