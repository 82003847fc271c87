"""An operator's order comes late over a slow path, after newer orders. See claim.txt."""
import http.client
import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import small_deployment as sd  # noqa: E402

DELAY_S = 0.0 if os.environ.get("TROUBLE") == "0" else 2.0
EVACUATE_S = 5.0
ZONE = "zone-b"


def send_once(deployment, record, name, address, order):
    """Sends an order to one node; gives up after a second without a response, as the pages say."""
    connection = http.client.HTTPConnection(*address, timeout=1.0, source_address=(deployment.operator_ip, 0))
    try:
        record.write(f"operator: {order} {ZONE} sent to {name}")
        connection.request("POST", f"/egretpulley/Evacuations.{order}/{ZONE}")
        status = connection.getresponse().status
    except (OSError, http.client.HTTPException):
        status = 0
    finally:
        connection.close()
    record.write(f"operator: {order} {ZONE} " + (f"answered {status} by {name}" if status else
                 f"unanswered by {name} after a second: the channel is closed"))
    return 200 <= status < 300


def order(deployment, record, name, nodes):
    """Sends an order to the nodes in turn until one acknowledges it; at most `ackMs`."""
    end = time.monotonic() + 4.0
    while time.monotonic() < end:
        for node, address in nodes:
            if send_once(deployment, record, node, address, name):
                return time.monotonic()
            time.sleep(0.1)
    raise sd.CannotRun(f"{name} isn't acknowledged")


def main():
    record = sd.Record(HERE / "record.txt")
    deployment = sd.Deployment(record, registries=3, tolerated=1)
    stopping = threading.Event()
    try:
        deployment.start()
        inside = sd.Upstream(deployment, 1, "core", zone=ZONE)
        sd.Upstream(deployment, 0, "core", zone="zone-a")
        document = sd.config(1, [sd.route("r", "/orders/", "core", "non_idempotent")],
                             [sd.plain_service("core")])
        if not deployment.order("POST", "/egretpulley/Config.Replace", document):
            raise sd.CannotRun("the configuration isn't acknowledged")
        deployment.wait_ready()

        def traffic():
            number = 0
            while not stopping.is_set():
                number += 1
                sd.send(deployment.gateway_ips[0], deployment.client_port,
                        (f"POST /orders/{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {number:016x}\r\n"
                         "Deadline-Ms: 1500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").encode(), 3)
                time.sleep(0.02)

        workers = [threading.Thread(target=traffic, daemon=True) for _ in range(4)]
        for worker in workers:
            worker.start()
        time.sleep(3)
        if not inside.runs:
            raise sd.CannotRun("no request reaches the zone before its evacuation")

        direct = [(f"registry-{i}", (ip, deployment.control_port))
                  for i, ip in enumerate(deployment.registry_ips)]
        path = sd.SlowPath(deployment, (deployment.operator_ip, deployment.control_port), direct[1][1], DELAY_S)
        slow_first = [("registry-1", path.address), direct[0], direct[2]]
        order(deployment, record, "Begin", direct)
        time.sleep(2)
        order(deployment, record, "Finish", slow_first)
        acknowledged = order(deployment, record, "Begin", [direct[0], direct[2]])
        time.sleep(EVACUATE_S + 5)
        stopping.set()

        late = [run for run in inside.runs if run[0] > acknowledged + EVACUATE_S]
        record.write(f"requests that reached {ZONE} later than 5 s after its last evacuation was "
                     f"acknowledged, with no order to take it back: {len(late)}")
        print(f"{len(late)} requests in the evacuated zone: " + ("EVAC is broken" if late else "held"))
        record.write("broken" if late else "held")
        return 1 if late else 0
    except Exception as error:  # nothing but a broken rule may end with status 1
        record.write(f"can't run: {error}")
        print(f"can't run: {error}")
        return 2
    finally:
        stopping.set()
        deployment.end()


sys.exit(main())
