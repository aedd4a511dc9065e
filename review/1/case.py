"""A primary with ``sync_replicas`` 1 crashes while one replica receives nothing."""

import asyncio
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
READING_SESSIONS = 60
WRITING_SESSIONS = 3
WARM_UP_S = 4.0
# The replica receives nothing for 6 s; the primary crashes in the middle of that.
RECEIVES_NOTHING_S = 6.0
CRASH_AFTER_S = 2.5
END_AFTER_S = 10.0


async def read_on(record, vm, stop):
    """Read without pauses, as users do who all open the route list at once."""
    caller = Caller(record, vm, "routes", KEY)
    while not stop.is_set():
        if not caller.is_open and not await caller.open():
            await asyncio.sleep(0.2)
            continue
        answer = await caller.query(f"READ {random.getrandbits(8):x}")
        if not answer.is_success:
            await asyncio.sleep(0.05)
    caller.close()


async def write_on(record, vm, number, acknowledged, stop):
    """Write one item after the other; keep the ids of acknowledged writes."""
    caller = Caller(record, vm, "pledges", KEY)
    while not stop.is_set():
        if not caller.is_open and not await caller.open():
            await asyncio.sleep(0.2)
            continue
        request_id = caller.new_id()
        answer = await caller.query(
            f"WRITE w{number} {random.getrandbits(32):x}", request_id=request_id
        )
        if answer.is_success:
            acknowledged[request_id] = record.now()
        await asyncio.sleep(0.1)
    caller.close()


async def case(record, with_trouble):
    store = Store(record)
    service = Service(record, store, "almsdb1", work_s=0.033, sync_replicas=1)
    fleet = Fleet(record, 3, [service], store)
    routes = [
        ("pledges", service.name, "primary", 1000, None),
        ("routes", service.name, "read_your_writes", 1000, 2500),
    ]
    acknowledged, stop, tasks = {}, asyncio.Event(), []
    try:
        await fleet.start(configuration_of(routes, [service], {"a": KEY}))
        for index in range(READING_SESSIONS):
            vm = fleet.vms[index % len(fleet.vms)]
            tasks.append(asyncio.create_task(read_on(record, vm, stop)))
        for index in range(WRITING_SESSIONS):
            vm = fleet.vms[index % len(fleet.vms)]
            tasks.append(
                asyncio.create_task(write_on(record, vm, index, acknowledged, stop))
            )
        await asyncio.sleep(WARM_UP_S)
        primary, current, behind = service.members
        if with_trouble:
            record.say(f"{behind.id} receives nothing for {RECEIVES_NOTHING_S} s")
            behind.receives_nothing = True
            await asyncio.sleep(CRASH_AFTER_S)
            record.say(
                f"{primary.id} crashes; {current.id} has received "
                f"{len(current.log)}, {behind.id} {len(behind.log)} commits"
            )
            primary.crash()
            await asyncio.sleep(RECEIVES_NOTHING_S - CRASH_AFTER_S)
            behind.receives_nothing = False
        await asyncio.sleep(END_AFTER_S - RECEIVES_NOTHING_S)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    record.say(f"{len(acknowledged)} writes acknowledged")
    return find_breaches(service, acknowledged)


def find_breaches(service, acknowledged):
    """Return the commits acknowledged before a promote that its member lacks."""
    breaches = []
    for promoted_at, member, log in service.promotions:
        held = {commit.request_id for commit in log}
        breaches += [
            f"write {request_id}, acknowledged {at:.3f}, is not in the log of "
            f"{member.id}, which leads from {promoted_at:.3f} on"
            for request_id, at in acknowledged.items()
            if at < promoted_at and request_id not in held
        ]
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
