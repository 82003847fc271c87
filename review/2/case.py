import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from deployment import BROKEN, DISRUPTED, HELD, NOT_RUN, REGIONS, Deployment
from service import Operator, Service, client_request, configuration, wait_until

CATCH_UP_S = 4.0   # a replaced machine stops counting as lost when its successor has had this time
CONTACT_S = 3.0

d = Deployment(pathlib.Path(__file__).parent)
zones = list(REGIONS)
addresses = {name: d.new_address() for name in ("core-1", "core-2", "core-3", "core-4")}
gateway = d.new_address()


def at(*names):
    return [(addresses[name], d.operator_port) for name in names]


def seeds(*names):
    return [f"{addresses[name]}:{d.operator_port}" for name in names]


first = ("core-1", "core-2", "core-3")
for name, zone in zip(first, zones):
    d.registry(name, zone, addresses[name], seeds(*first))
registries = at(*first)
d.gateway("edge-1", zones[0], gateway, seeds(*first))
operator = Operator(d, registries)
if not operator.order("configuration 1", "/egretpulley/Config.Replace",
                      configuration(1, "taquilla"), limit=10):
    sys.exit(NOT_RUN)
Service(d, "taquilla", zones[0], registries)
if not wait_until(lambda: client_request(d, gateway, 1)[1] == 200, 10):
    sys.exit(NOT_RUN)
time.sleep(2)

if DISRUPTED:
    # Planned replacement of core-1: the new machine first, then SIGTERM of the old one.
    d.registry("core-4", zones[0], addresses["core-4"], seeds("core-2", "core-3", "core-4"),
               first_start=False)
    time.sleep(CATCH_UP_S + 0.2)
    d.signal("core-1", signal.SIGTERM)
    if not wait_until(lambda: d.processes["core-1"].poll() is not None, 8):
        d.kill("core-1")
    d.record("core-1 has ended and is removed; its successor core-4 has run for more than 4 s")
    time.sleep(CONTACT_S + 0.2)
    registries[:] = at("core-2", "core-3", "core-4")
acknowledged = 2
if not operator.order("configuration 2", "/egretpulley/Config.Replace",
                      configuration(2, "taquilla")):
    sys.exit(NOT_RUN)
d.record(f"a client's request: {client_request(d, gateway, 2)[1]}")
if DISRUPTED:
    # The machine that acknowledged loses its disk and comes back a second later.
    d.kill("core-2")
    d.remove_disk("core-2")
    time.sleep(1.0)
    d.registry("core-2", zones[1], addresses["core-2"], seeds("core-2", "core-3", "core-4"),
               first_start=False)
d.record("all machines run; waiting for 12 s, longer than catchUpS and contactMs together")
time.sleep(12)
operator.order("configuration 3", "/egretpulley/Config.Replace", configuration(3, "taquilla"))
statuses = []
for number in range(10, 20):
    statuses.append(client_request(d, gateway, number)[1])
    time.sleep(0.1)
d.record(f"ten requests of clients: {statuses}")
versions = []
read_until = time.monotonic() + 30
while time.monotonic() < read_until and not versions:
    versions = operator.read_back()
    time.sleep(0.5)
if versions and min(versions) >= acknowledged:
    d.record("the acknowledged configuration was read back")
    sys.exit(HELD)
d.record(f"RULE BROKEN: configuration {acknowledged} was acknowledged and can't be read back; "
         f"versions that came in 30 s: {versions}")
sys.exit(BROKEN)
