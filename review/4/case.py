"""Planned stop of a VM under load: is every request that was taken answered?"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    GRACE_S,
    Caller,
    Fleet,
    Service,
    Store,
    configuration_of,
    run_case,
)

KEY = "key-of-a"
SESSIONS = 40
STOPS = 2
ROUTE_TIMEOUT_S = 1.0
LOSS_AFTER_S = GRACE_S + 1.0
# Pauses of the clients between two requests, drawn anew each time.
PAUSES_S = (0.0, 0.0)


class Request:
    def __init__(self, vm, request_id, sent_at):
        self.vm = vm
        self.id = request_id
        self.sent_at = sent_at
        self.ended_at = None
        self.code = None


async def use_session(record, vm, route, requests, stop):
    """Send requests on one session until it is closed."""
    caller = Caller(record, vm, route, KEY)
    if not await caller.open():
        return
    while not stop.is_set():
        request = Request(vm.name, caller.new_id(), record.now())
        requests.append(request)
        if random.random() < 0.2:
            text = f"WRITE {random.getrandbits(10):x} {random.getrandbits(32):x}"
        else:
            text = f"READ {random.getrandbits(10):x}"
        answer = await caller.query(text, request_id=request.id)
        request.ended_at, request.code = record.now(), answer.code
        if answer.code in ("CLOSED", "NONE"):
            return
        await asyncio.sleep(random.uniform(*PAUSES_S))
    caller.close()


def find_breaches(service, requests, stopped_at):
    """Return the requests that the rule LOST counts, for one stop."""
    breaches = []
    for request in requests:
        if request.code != "CLOSED" or request.id not in service.arrived:
            continue
        if not stopped_at <= request.ended_at <= stopped_at + LOSS_AFTER_S:
            continue
        if request.ended_at - request.sent_at >= ROUTE_TIMEOUT_S:
            continue
        arrived = service.arrived[request.id]
        run = service.ran.get(request.id)
        works_late = run is None or run > stopped_at + GRACE_S * 5 / 6
        if works_late and request.sent_at <= stopped_at + 3.0:
            continue
        breaches.append(
            f"request {request.id} at {request.vm}: sent {request.sent_at:.3f}, "
            f"passed on {arrived:.3f}, run {'-' if run is None else f'{run:.3f}'}, "
            f"closed without an answer {request.ended_at:.3f}, "
            f"{request.ended_at - stopped_at:.2f} s after SIGTERM"
        )
    return breaches


async def case(record, with_trouble):
    store = Store(record)
    service = Service(record, store, "almsdb1", work_s=0.033)
    fleet = Fleet(record, 3, [service], store)
    routes = [("pledges", service.name, "primary", 1000, None)]
    breaches = []
    try:
        await fleet.start(configuration_of(routes, [service], {"a": KEY}))
        for number in range(STOPS):
            vm = fleet.vms[number % len(fleet.vms)]
            requests, stop = [], asyncio.Event()
            sessions = [
                asyncio.create_task(use_session(record, vm, "pledges", requests, stop))
                for _ in range(SESSIONS)
            ]
            await asyncio.sleep(2.0)
            stopped_at = record.now()
            if with_trouble:
                await vm.restart()
            else:
                await asyncio.sleep(GRACE_S + 1.0)
            stop.set()
            await asyncio.gather(*sessions)
            found = find_breaches(service, requests, stopped_at)
            closed = sum(request.code == "CLOSED" for request in requests)
            record.say(
                f"stop {number + 1}: {len(requests)} requests, {closed} sessions "
                f"closed with a request outstanding, {len(found)} breaches"
            )
            breaches += found
    finally:
        await fleet.stop()
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
