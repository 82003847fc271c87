"""Helpers of the serving experiments: a cluster with loaded engines, counters of entries and engines, load totals."""
import json
import re
import urllib.request

from harness import Cluster, log, wait_until

MODEL_BYTES = 1 << 20
CHUNK_BYTES = 1 << 18


def start_cluster(options, limits=None, customers=None, **overrides):
    """Starts a cluster and waits until all engines serve one version."""
    cluster = Cluster(options.preset, seed=options.seed)
    for role, settings in overrides.items():
        cluster.role_settings.setdefault(role, {}).update(settings)
    if customers:
        cluster.customers = customers
    cluster.define_processes()
    cluster.add_origin("origin")
    cluster.version = cluster.publish(options.seed, MODEL_BYTES, CHUNK_BYTES)
    cluster.start_all()
    cluster.limits = limits or {}
    promote_document(cluster)
    engines = sum(cluster.preset["engines"])
    wait_until(lambda: cluster.engines_ready(cluster.version, engines), 40, "all engines serve the version")
    return cluster


def promote_document(cluster, **extra):
    """Submits and promotes a document with the cluster's limits; returns the production revision."""
    if cluster.limits:
        extra["limits"] = cluster.limits
    return cluster.submit_and_promote(cluster.document(cluster.version, **extra))


def entry_counters(cluster):
    """Returns the metrics counters summed over all live entry instances."""
    totals = {}
    for entry in cluster.entries:
        if not entry.alive():
            continue
        with urllib.request.urlopen(f"http://{entry.settings['httpAddress']}/metrics", timeout=2) as answer:
            for name, value in re.findall(r"^egret_(\w+) (\d+)$", answer.read().decode(), re.MULTILINE):
                totals[name] = totals.get(name, 0) + int(value)
    return totals


def engine_sum(cluster, field, zone=None):
    """Sums a status field over the engines of one zone, or of all zones."""
    prefix = "engine-" if zone is None else f"engine-{zone}-"
    return sum(status.get(field, 0) for name, status in cluster.engine_states().items()
               if name.startswith(prefix))


def inject_faults(cluster, engine, **faults):
    """Configures faults at an engine stand-in."""
    upstream = next(u for u in cluster.upstreams if u.name == engine)
    request = urllib.request.Request(f"http://{upstream.settings['httpAddress']}/faults",
                                     data=json.dumps(faults).encode(), method="POST")
    urllib.request.urlopen(request, timeout=2).read()


def quantile(result, field, name):
    return None if result[field] is None else round(result[field][name], 4)


def count_reasons(results):
    merged = {}
    for result in results:
        for reason, count in result["reasons"].items():
            merged[reason] = merged.get(reason, 0) + count
    return merged


def count_outcomes(results):
    return {key: sum(r[key] for r in results) for key in ("whole", "refused", "failed", "wrong_answers")}


__all__ = ["count_outcomes", "count_reasons", "engine_sum", "entry_counters", "inject_faults", "log",
           "promote_document", "quantile", "start_cluster", "wait_until"]
