"""Measures the cost of the swarm's decisions for many replicas, in one process without network."""
import json
import subprocess

from harness import BUILD


def add_options(parser):
    parser.add_argument("--replicas", type=int, default=1200)


def run(options):
    out = subprocess.run([BUILD / "egretctl", "swarm-cost", "--replicas", str(options.replicas)],
                         capture_output=True, text=True, timeout=300)
    table = json.loads(out.stdout.splitlines()[-1])
    return table, out.returncode == 0 and table["whole"]
