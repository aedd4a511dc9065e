"""A planned restart whose answer from the store is lost, and later a new primary."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    Caller,
    Fleet,
    Service,
    Store,
    configuration_of,
    run_case,
)

KEY = "key-of-a"
DATABASE = "pledges"
VMS = 4
SERVICES = 3
# The write whose answer is lost is done this much later.
LATE_S = 5.0
# The store turns one VM away for this time. The primaries are replaced meanwhile.
REFUSED_S = 9.0
RELEASE_GAP_S = 2.0
DRAIN_S = 7.5


class Item:
    """One item of a service: what was acknowledged, and by what time."""

    def __init__(self, service, database):
        self.service = service
        self.database = database
        self.name = f"{random.getrandbits(24):x}"
        self.value = 0
        self.acknowledged = 0
        self.acknowledged_at = 0.0
        self.acknowledged_by = ""


async def write_on(record, vm, item, stop):
    """Write rising values to an item of this VM's own."""
    caller = Caller(record, vm, item.database, KEY)
    while not stop.is_set():
        if not caller.is_open and not await caller.open():
            await asyncio.sleep(0.1)
            continue
        item.value += 1
        value = item.value
        answer = await caller.query(f"WRITE {item.name} {value}")
        if answer.is_success:
            item.acknowledged = value
            item.acknowledged_at = record.now()
            item.acknowledged_by = vm.name
        await asyncio.sleep(0.02)
    caller.close()


async def read_on(record, vm, items, breaches, stop):
    """Read items on a route of kind ``primary`` and compare the values."""
    caller = Caller(record, vm, items[0].database, KEY)
    while not stop.is_set():
        if not caller.is_open and not await caller.open():
            await asyncio.sleep(0.1)
            continue
        item = random.choice(items)
        acknowledged, by = item.acknowledged, item.acknowledged_by
        acknowledged_at, sent_at = item.acknowledged_at, record.now()
        answer = await caller.query(f"READ {item.name}")
        if answer.is_success and int(answer.rows[0] or 0) < acknowledged:
            breaches.append(
                f"read at {vm.name} of {item.service.name} sent {sent_at:.3f} got "
                f"{answer.rows[0] or 'nothing'}, but {acknowledged} was acknowledged "
                f"by {by} at {acknowledged_at:.3f}"
            )
        await asyncio.sleep(0.01)
    caller.close()


async def release(record, service):
    """Replace the primary: the new member starts first, then the old one drains."""
    old = service.primary
    new = await service.add_member()
    await asyncio.sleep(1.0)
    record.say(f"{new.id} has started, {old.id} of {service.name} drains")
    old.draining = True
    old.announce()
    await asyncio.sleep(DRAIN_S)
    old.leave()


async def case(record, with_trouble):
    store = Store(record)
    services = [
        Service(record, store, f"almsdb{number + 1}") for number in range(SERVICES)
    ]
    fleet = Fleet(record, VMS, services, store)
    routes = [
        (f"{DATABASE}{number}", service.name, "primary", 1000, None)
        for number, service in enumerate(services)
    ]
    items = [
        [Item(service, f"{DATABASE}{number}") for _ in range(VMS)]
        for number, service in enumerate(services)
    ]
    late = set()
    # For comparison: LATE=0 or REFUSE=0 leaves out one of the two disruptions.
    with_late = os.environ.get("LATE", "1") != "0"
    with_refusal = os.environ.get("REFUSE", "1") != "0"

    def lose_late(vm, method, kind, name):
        if with_trouble and with_late and vm in late and method == "DELETE":
            late.discard(vm)
            return LATE_S
        return None

    store.lose_late = lose_late
    breaches, stop, tasks, releases = [], asyncio.Event(), [], []
    try:
        await fleet.start(configuration_of(routes, services, {"a": KEY}))
        # A rolling restart. The answers to one write of two VMs each are lost.
        late.update(vm.name for vm in fleet.vms[:2])
        for vm in fleet.vms:
            await vm.restart()
        await asyncio.sleep(LATE_S)
        listed = sorted(store.objects["citronwood-vms"])
        record.say(f"VMs that are listed: {', '.join(listed)}")
        for of_service in items:
            for vm, item in zip(fleet.vms, of_service, strict=True):
                tasks += [
                    asyncio.create_task(write_on(record, vm, item, stop)),
                    asyncio.create_task(
                        read_on(record, vm, of_service, breaches, stop)
                    ),
                ]
        await asyncio.sleep(1.0)
        if with_trouble and with_refusal:
            leader = store.objects["citronwood-fleet"]["state"]["spec"]["leader"]
            turned_away = next(vm.name for vm in fleet.vms[:2] if vm.name != leader)
            record.say(f"the store turns {turned_away} away for {REFUSED_S} s")
            store.refused.add(turned_away)
            asyncio.get_running_loop().call_later(REFUSED_S, store.refused.clear)
        for service in services:
            releases.append(asyncio.create_task(release(record, service)))
            await asyncio.sleep(RELEASE_GAP_S + random.uniform(0.0, 0.5))
        await asyncio.gather(*releases)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
