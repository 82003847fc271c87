import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import BROKEN, DISRUPTED, HELD, NOT_RUN, REGIONS, Deployment
from model import PIECES, MODEL, Engine, Origin, model_configuration, model_request
from service import Operator, wait_until

ORIGIN_DOWN_S = 5.0

d = Deployment(pathlib.Path(__file__).parent)
zones = list(REGIONS)
cores = [d.new_address() for _ in range(3)]
seeds = [f"{each}:{d.operator_port}" for each in cores]
registries = [(each, d.operator_port) for each in cores]
gateway, side = d.new_address(), d.new_address()
for number, address in enumerate(cores):
    d.registry(f"core-{number + 1}", zones[number], address, seeds)
d.gateway("edge-1", zones[0], gateway, seeds)
origin = Origin(d)
engine = Engine(d, "asistente", zones[0], registries, side)
d.stager("side-1", zones[0], side, seeds, "asistente")
operator = Operator(d, registries)
if not operator.order("configuration 1", "/egretpulley/Config.Replace",
                      model_configuration(1, "asistente", origin), limit=10):
    sys.exit(NOT_RUN)
if not wait_until(lambda: model_request(d, gateway, 1)[1] == 200, 15):
    d.record("no request is served at the start")
    sys.exit(NOT_RUN)
d.record("a request is served on version 1")
time.sleep(4)


def name_version(version):
    origin.newest = version
    return operator.order(f"version {version}", "/egretpulley/version-put",
                          {"model": MODEL, "version": version})


engine.loses_next_order_answer = DISRUPTED
name_version(2)
if not wait_until(lambda: len(engine.orders) == 1, 15):
    d.record("version 2 was not ordered")
    sys.exit(NOT_RUN)
if DISRUPTED:
    origin.stop()
    d.record("the origin is down")
    down_since = time.monotonic()
time.sleep(0.4)
name_version(3)
if DISRUPTED:
    time.sleep(max(0.0, down_since + ORIGIN_DOWN_S - time.monotonic()))
    origin.start()
    d.record("the origin is back")
number = 10
until = time.monotonic() + 12
while time.monotonic() < until:
    model_request(d, gateway, number)
    number += 1
    time.sleep(0.25)
for at, version, intact in engine.orders:
    d.record(f"order at {at - d.record.start:.3f}: version {version}, {intact} of {PIECES} pieces of it")
bad = [run for run in engine.runs if run[3] != PIECES]
d.record(f"requests run: {len(engine.runs)}; versions: "
         f"{sorted({(run[2], run[3]) for run in engine.runs})} (version, pieces of it in the layers)")
if bad:
    d.record(f"RULE BROKEN: {len(bad)} requests ran on layers that were taken from pieces of "
             f"another version; the first: {bad[0][1]} at {bad[0][0] - d.record.start:.3f}, "
             f"as version {bad[0][2]} with {bad[0][3]} of {PIECES} pieces of it")
    sys.exit(BROKEN)
if not engine.runs:
    sys.exit(NOT_RUN)
sys.exit(HELD)
