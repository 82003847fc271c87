"""A calm day of the users' platform: real gateways, registries and stagers against a stand-in
deployment that plays engines, services, the origin, the operator and clients."""
import json
import os
import pathlib
import shutil
import tempfile
import time

import harness
from harness import Process, free_port, say

ZONES = 3
PREFIX = "127.31"
BOUNDS = {"revoke": 5000, "drain": 2000, "stopGrace": 8000, "version": 8000, "retryRatio": 0.2,
          "retrySlack": 104, "retryWindow": 10, "coldOverrun": 1.5}
# Clients' requests a second, engines of each zone and gateways; a stand-in engine has 8 places.
SIZES = {"tejedora": (60, 3, 8), "urrutia": (100, 5, 8)}


def add_options(parser):
    parser.add_argument("--seconds", type=int, default=16)


class Day:
    """The processes of one run in a folder of their own."""

    def __init__(self, options):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="egret-calm-"))
        self.rate, self.engines, self.gateways = SIZES[options.preset]
        self.options = options
        self.ports = {name: free_port("127.0.0.1") for name in ("link", "operator", "client",
                                                               "upstream")}
        self.processes = []

    def node(self, name, kind, number, **extra):
        zone = f"z{number % ZONES}"
        return {"instance": name, "zone": zone, "region": zone,
                "address": f"{PREFIX}.{kind}.{number + 1}",
                "linkPorts": [self.ports["link"], self.ports["link"] + 1],
                "seeds": [f"{PREFIX}.1.{i + 1}:{self.ports['operator']}" for i in range(ZONES)],
                "isFirstStart": True, "bounds": BOUNDS, "clusterKey": harness.CLUSTER_KEY,
                "regions": [{"zone": f"z{i}", "region": f"z{i}"} for i in range(ZONES)], **extra}

    def add(self, program, name, settings):
        process = Process(self, program, name, settings)
        process.start()
        self.processes.append(process)
        return process

    def start(self):
        for i in range(ZONES):
            self.add("egret-registry", f"registry{i}", self.node(
                f"registry{i}", 1, i, dataFolder=str(self.folder / f"data{i}"),
                operatorAddress=f"{PREFIX}.1.{i + 1}:{self.ports['operator']}"))
        gateways = [self.add("egret-gateway", f"gateway{i}", self.node(
            f"gateway{i}", 2, i, clientAddress=f"{PREFIX}.2.{i + 1}:{self.ports['client']}",
            readinessAddress=f"{PREFIX}.2.{i + 1}:{self.ports['operator']}"))
            for i in range(self.gateways)]
        for i in range(ZONES * self.engines):
            self.add("egret-stager", f"stager{i}", self.node(
                f"stager{i}", 3, i, engineService="llm",
                engineAddress=f"{PREFIX}.3.{i + 1}:{self.ports['upstream']}"))
        return gateways

    def play(self):
        result = self.folder / "result.json"
        standin = self.add("egret-standin", "deployment", {
            "instance": "deployment", "role": "deployment", "httpAddress": "127.0.0.1:0",
            "seed": self.options.seed,
            "deployment": {"prefix": PREFIX, "linkPort": self.ports["link"],
                           "operatorPort": self.ports["operator"],
                           "clientPort": self.ports["client"],
                           "upstreamPort": self.ports["upstream"], "zones": ZONES,
                           "gateways": self.gateways, "enginesPerZone": self.engines,
                           "rate": self.rate, "duration": self.options.seconds * 1000,
                           "resultFile": str(result)}})
        status = standin.wait(self.options.seconds + 90)
        return json.loads(result.read_text()) if status is not None and result.exists() else None

    def stop(self):
        for process in self.processes:
            process.signal(15)
        for process in self.processes:
            if process.wait(12) is None:
                process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def processor_seconds(process):
    fields = pathlib.Path(f"/proc/{process.handle.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_megabytes(process):
    for line in pathlib.Path(f"/proc/{process.handle.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


def run(options):
    day = Day(options)
    try:
        gateways = day.start()
        time.sleep(0.5)
        say(f"{len(day.processes)} processes are up")
        row = day.play()
        if row is None:
            say("the stand-in deployment gave no result")
            return {}, False
        spent = sum(processor_seconds(gateway) for gateway in gateways)
        row["processor_us_per_request"] = round(spent * 1e6 / max(1, row["asked"]))
        row["memory_mb_entry"] = round(max(peak_megabytes(gateway) for gateway in gateways), 1)
    finally:
        day.stop()
    held = (row["served_share"] >= 0.95 and row["rollout_s"] >= 0
            and not any(row[name] for name in ("twice", "mixed", "false_refusals",
                                               "damaged_loads")))
    return row, held
