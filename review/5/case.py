import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import BROKEN, DISRUPTED, HELD, NOT_RUN, REGIONS, Deployment
from model import MODEL, Engine, Origin, model_configuration, model_request
from service import Operator, wait_until

VERSION_S, CONTACT_S = 8.0, 3.0
OUTAGE_S = 6.0  # longest time for which the site's days take the origin away

d = Deployment(pathlib.Path(__file__).parent)
zones = list(REGIONS)
cores = [d.new_address() for _ in range(3)]
seeds = [f"{each}:{d.operator_port}" for each in cores]
registries = [(each, d.operator_port) for each in cores]
gateway, side = d.new_address(), d.new_address()


def start_cores(first_start):
    for number, address in enumerate(cores):
        d.registry(f"core-{number + 1}", zones[number], address, seeds, first_start)


start_cores(True)
d.gateway("edge-1", zones[0], gateway, seeds)
origin = Origin(d)
engine = Engine(d, "asistente", zones[0], registries, side)
d.stager("side-1", zones[0], side, seeds, "asistente")
operator = Operator(d, registries)
if not operator.order("configuration 1", "/egretpulley/Config.Replace",
                      model_configuration(1, "asistente", origin), limit=10):
    sys.exit(NOT_RUN)
if not wait_until(lambda: model_request(d, gateway, 1)[1] == 200, 15):
    sys.exit(NOT_RUN)
d.record("a request is served on version 1")
time.sleep(4)
outages = 0
if DISRUPTED:
    for number in range(3):
        d.kill(f"core-{number + 1}")
    time.sleep(0.5)
    start_cores(False)
    origin.stop()
    outages = 1
    d.record("the origin is away")
restarted_at = time.monotonic()
time.sleep(1.0)
origin.newest = 2
named_at = operator.order("version 2", "/egretpulley/version-put", {"model": MODEL, "version": 2})
if not named_at or named_at > restarted_at + 2.9:
    d.record("version 2 was not named in time")
    sys.exit(NOT_RUN)
# The core is stable from CONTACT_S after the restart on.
judged_from = max(named_at, restarted_at + CONTACT_S) + VERSION_S
number, answers = 10, []
while time.monotonic() < judged_from + 3.0:
    since_restart = time.monotonic() - restarted_at
    if DISRUPTED and outages == 1 and since_restart > OUTAGE_S:
        outages = 1.5
        origin.start()
        d.record("the origin is back")
    if outages == 1.5 and since_restart > OUTAGE_S + 1.0:
        outages = 2
        origin.stop()
        d.record("the origin is away again")
    answers.append((time.monotonic(), model_request(d, gateway, number)[1]))
    number += 1
    time.sleep(0.1)
late = [run for run in engine.runs if run[0] > judged_from and run[2] < 2]
d.record(f"answers after the bound: "
         f"{sorted({str(status) for at, status in answers if at > judged_from})}; "
         f"requests run: {len([run for run in engine.runs if run[0] > judged_from])}")
if late:
    d.record(f"RULE BROKEN: {len(late)} requests began on version 1, the first "
             f"{late[0][0] - named_at:.3f} s after version 2 was acknowledged")
    sys.exit(BROKEN)
sys.exit(HELD)
