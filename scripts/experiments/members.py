"""Measures the cost of membership and the time to detect killed entry instances, under datagram loss between zones."""
import os
import random
import time
import urllib.request

from harness import Cluster, log, wait_until

WINDOW_SECONDS = 12
SETTLE_LIMIT_SECONDS = 60
DETECT_LIMIT_SECONDS = 30
LOSS_SHARE = 0.1
KILLS = 4
OBSERVERS = 8


def add_options(parser):
    parser.add_argument("--members", type=int, default=8)
    parser.add_argument("--loss", type=float, default=LOSS_SHARE)


def run(options):
    zones = 3
    entries = [options.members // zones + (1 if z < options.members % zones else 0) for z in range(zones)]
    cluster = Cluster(options.preset, options.seed, uses_relay=True, entries=entries, controls=[0, 0, 0],
                      engines=[1, 1, 1], services=[0, 0, 0])
    cluster.role_settings["entry"] = {"controls": []}
    try:
        return measure(cluster, options)
    finally:
        cluster.stop()


def metrics(entry):
    try:
        with urllib.request.urlopen(f"http://{entry.settings['httpAddress']}/metrics", timeout=3) as answer:
            lines = answer.read().decode().splitlines()
    except OSError:
        return {}
    return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines
            if line and not line.startswith("#")}


def cpu_seconds(process):
    fields = open(f"/proc/{process.handle.pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(process):
    for line in open(f"/proc/{process.handle.pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024


def total(samples, name):
    return sum(sample.get(name, 0) for sample in samples)


def measure(cluster, options):
    cluster.define_processes()
    cluster.start_all()
    live = list(cluster.entries)
    expected_peers = options.members - 1
    wait_until(lambda: all(metrics(e).get("egret_members_live") == expected_peers for e in live),
               SETTLE_LIMIT_SECONDS, "every member lists all others as live")
    log(f"all {options.members} members list each other as live")
    if options.loss:
        cluster.set_datagram_loss(options.loss)
    before = [metrics(e) for e in live]
    cpu_before = [cpu_seconds(e) for e in live]
    began = time.monotonic()
    time.sleep(WINDOW_SECONDS)
    seconds = time.monotonic() - began
    cpu_used = sum(cpu_seconds(e) for e in live) - sum(cpu_before)
    after = [metrics(e) for e in live]
    control_bytes = sum(total(after, n) - total(before, n) for n in (
        "egret_datagram_sent_bytes_total", "egret_datagram_received_bytes_total"))
    false_suspicions = total(after, "egret_member_suspicions_total") - total(before, "egret_member_suspicions_total")
    memory = sum(resident_mb(e) for e in live) / len(live)
    detected = time_detection(cluster, live, options)
    missed = sum(1 for d in detected if d is None)
    detection_times = sorted(d for d in detected if d is not None)
    table = {
        "members": options.members, "loss": options.loss,
        "control_bytes_per_node_s": round(control_bytes / seconds / options.members),
        "control_core_share": round(cpu_used / seconds / options.members, 5),
        "memory_mb": round(memory, 1),
        "detect_p99_s": round(detection_times[min(len(detection_times) - 1, int(len(detection_times) * 0.99))], 2)
                        if detection_times else None,
        "detect_missed": missed,
        "false_suspicions": int(false_suspicions),
    }
    return table, missed == 0 and false_suspicions == 0


def time_detection(cluster, live, options):
    """Kills entry instances one by one; returns the seconds until each observer dropped each, None past the limit."""
    chooser = random.Random(options.seed)
    detected = []
    for _ in range(min(KILLS, options.members // 2)):
        victim = chooser.choice(live)
        live.remove(victim)
        victim.kill()
        killed_at = time.monotonic()
        waiting = set(chooser.sample(range(len(live)), min(OBSERVERS, len(live))))
        while waiting and time.monotonic() - killed_at < DETECT_LIMIT_SECONDS:
            for i in list(waiting):
                if metrics(live[i]).get("egret_members_live", 1e9) <= len(live) - 1:
                    detected.append(time.monotonic() - killed_at)
                    waiting.discard(i)
            time.sleep(0.05)
        detected += [None] * len(waiting)
    return detected
