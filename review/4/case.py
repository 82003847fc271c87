import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import BROKEN, DISRUPTED, HELD, NOT_RUN, REGIONS, Deployment, http
from service import Operator, Service, client_request, configuration, wait_until

FREEZE_S = 4.0
EVACUATE_S, MAX_STRETCH_S, CONTACT_S = 5.0, 5.0, 3.0

d = Deployment(pathlib.Path(__file__).parent)
zones = list(REGIONS)
cores = [d.new_address() for _ in range(3)]
seeds = [f"{each}:{d.operator_port}" for each in cores]
registries = [(each, d.operator_port) for each in cores]
gateway = d.new_address()
for number, address in enumerate(cores):
    d.registry(f"core-{number + 1}", zones[number], address, seeds)
d.gateway("edge-1", zones[0], gateway, seeds)
operator = Operator(d, registries)
if not operator.order("configuration 1", "/egretpulley/Config.Replace",
                      configuration(1, "taquilla"), limit=10):
    sys.exit(NOT_RUN)
evacuated = Service(d, "taquilla", zones[0], registries)
other = Service(d, "taquilla", zones[1], registries)


def request(number):
    return client_request(d, gateway, number)[1]


numbers = iter(range(1, 10**6))
if not wait_until(lambda: request(next(numbers)) == 200 and evacuated.runs, 15):
    sys.exit(NOT_RUN)
zone = zones[0]


def begin():
    return operator.order(f"Evacuations.Begin/{zone}", f"/egretpulley/Evacuations.Begin/{zone}")


def finish(first=0):
    return operator.order(f"Evacuations.Finish/{zone}", f"/egretpulley/Evacuations.Finish/{zone}",
                          first=first)


def leads(address):
    return b"egret_leads 1" in http(address, d.link_port + 1, "GET", "/")[2]


if not begin():
    sys.exit(NOT_RUN)
time.sleep(6)
# A follower of the control quorum freezes; the operator's order goes to it first.
frozen = next(number for number, address in enumerate(cores) if not leads(address))
name = f"core-{frozen + 1}"
frozen_at = time.monotonic()
if DISRUPTED:
    d.signal(name, signal.SIGSTOP)
time.sleep(0.2)
if not finish(first=frozen):
    sys.exit(NOT_RUN)
time.sleep(1.0)
operator.registries = [each for each in registries if each[0] != cores[frozen]]
acknowledged_at = begin()
if not acknowledged_at:
    sys.exit(NOT_RUN)
time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
if DISRUPTED:
    d.signal(name, signal.SIGCONT)
thawed_at = time.monotonic()
judged_from = max(acknowledged_at + EVACUATE_S + MAX_STRETCH_S, thawed_at + CONTACT_S)
d.record(f"the zone is evacuated; requests count from "
         f"{judged_from - d.record.start:.3f} on, for 15 s")
time.sleep(max(0.0, judged_from + 0.5 - time.monotonic()))
sent = 0
while time.monotonic() < judged_from + 15.5:
    request(next(numbers))
    sent += 1
    time.sleep(0.1)
late = [run for run in evacuated.runs if run[0] > judged_from]
d.record(f"{sent} requests sent; upstream in {zones[1]} ran "
         f"{len([run for run in other.runs if run[0] > judged_from])}, upstream in the evacuated "
         f"{zone} ran {len(late)}")
if late:
    d.record(f"RULE BROKEN: {len(late)} requests reached the evacuated zone, the first "
             f"{late[0][0] - acknowledged_at:.3f} s after the evacuation was acknowledged")
    sys.exit(BROKEN)
sys.exit(HELD)
