"""Runs the calm-day scenario of the users' platform without faults: gateways, registries and stagers, and
a stand-in for engines, services, the origin, the operator and clients."""
import json
import os
import pathlib
import shutil
import tempfile
import time

import harness
from harness import Process, free_port, log

ZONES = 3
PREFIX = "127.31"
BOUNDS = {"revoke": 5000, "drain": 2000, "stopGrace": 8000, "version": 8000, "retryRatio": 0.2,
          "retrySlack": 104, "retryWindow": 10, "coldOverrun": 1.5}
# Client requests per second, engines per zone, gateways. A stand-in engine runs 8 requests at once.
SIZES = {"tejedora": (60, 3, 8), "urrutia": (100, 5, 8)}


def add_options(parser):
    parser.add_argument("--seconds", type=int, default=16)


class Deployment:
    """The processes of one run, with a temporary folder for their files."""

    def __init__(self, options):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="egret-calm-"))
        self.rate, self.engines, self.gateways = SIZES[options.preset]
        self.options = options
        self.ports = {name: free_port("127.0.0.1") for name in ("link", "operator", "client",
                                                               "upstream")}
        self.processes = []

    def instance_settings(self, name, role_octet, number, **extra):
        zone = f"z{number % ZONES}"
        return {"instance": name, "zone": zone, "region": zone,
                "address": f"{PREFIX}.{role_octet}.{number + 1}",
                "linkPorts": [self.ports["link"], self.ports["link"] + 1],
                "seeds": [f"{PREFIX}.1.{i + 1}:{self.ports['operator']}" for i in range(ZONES)],
                "isFirstStart": True, "bounds": BOUNDS, "clusterKey": harness.CLUSTER_KEY,
                "regions": [{"zone": f"z{i}", "region": f"z{i}"} for i in range(ZONES)], **extra}

    def start_process(self, program, name, settings):
        process = Process(self, program, name, settings)
        process.start()
        self.processes.append(process)
        return process

    def start(self):
        for i in range(ZONES):
            self.start_process("egret-registry", f"registry{i}", self.instance_settings(
                f"registry{i}", 1, i, dataFolder=str(self.folder / f"data{i}"),
                operatorAddress=f"{PREFIX}.1.{i + 1}:{self.ports['operator']}"))
        gateways = [self.start_process("egret-gateway", f"gateway{i}", self.instance_settings(
            f"gateway{i}", 2, i, clientAddress=f"{PREFIX}.2.{i + 1}:{self.ports['client']}",
            readinessAddress=f"{PREFIX}.2.{i + 1}:{self.ports['operator']}"))
            for i in range(self.gateways)]
        for i in range(ZONES * self.engines):
            self.start_process("egret-stager", f"stager{i}", self.instance_settings(
                f"stager{i}", 3, i, engineService="llm",
                engineAddress=f"{PREFIX}.3.{i + 1}:{self.ports['upstream']}"))
        return gateways

    def run_standin(self):
        """Runs the stand-in deployment; returns its result, or None without one."""
        result_path = self.folder / "result.json"
        standin = self.start_process("egret-standin", "deployment", {
            "instance": "deployment", "role": "deployment", "httpAddress": "127.0.0.1:0",
            "seed": self.options.seed,
            "deployment": {"prefix": PREFIX, "linkPort": self.ports["link"],
                           "operatorPort": self.ports["operator"],
                           "clientPort": self.ports["client"],
                           "upstreamPort": self.ports["upstream"], "zones": ZONES,
                           "gateways": self.gateways, "enginesPerZone": self.engines,
                           "rate": self.rate, "duration": self.options.seconds * 1000,
                           "resultFile": str(result_path)}})
        status = standin.wait(self.options.seconds + 90)
        return json.loads(result_path.read_text()) if status is not None and result_path.exists() else None

    def stop(self):
        for process in self.processes:
            process.signal(15)
        for process in self.processes:
            if process.wait(12) is None:
                process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.handle.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_memory_mb(process):
    for line in pathlib.Path(f"/proc/{process.handle.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


def run(options):
    deployment = Deployment(options)
    try:
        gateways = deployment.start()
        time.sleep(0.5)
        log(f"{len(deployment.processes)} processes are up")
        table = deployment.run_standin()
        if table is None:
            log("the stand-in deployment wrote no result")
            return {}, False
        cpu_used = sum(cpu_seconds(gateway) for gateway in gateways)
        table["processor_us_per_request"] = round(cpu_used * 1e6 / max(1, table["asked"]))
        table["memory_mb_entry"] = round(max(peak_memory_mb(gateway) for gateway in gateways), 1)
    finally:
        deployment.stop()
    passed = (table["served_share"] >= 0.95 and table["rollout_s"] >= 0
              and not any(table[name] for name in ("twice", "mixed", "false_refusals",
                                                 "damaged_loads")))
    return table, passed
