"""A member fails part of its requests: do sessions keep their own values?"""

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
SERVICES = 3
# Sessions that set a value of their own, and sessions that set none.
SETTING_SESSIONS = 6
PLAIN_SESSIONS = 6
WARM_UP_S = 3.0
# One of nine members runs its requests and fails this share of them.
FAILING_SHARE = 0.45
FAILING_S = 6.5
END_AFTER_S = 12.0


async def use_session(record, vm, sets_value, expected, stop):
    """Read on one session after the other; keep the values that each has set."""
    while not stop.is_set():
        caller = Caller(record, vm, "pledges", KEY)
        if not await caller.open():
            await asyncio.sleep(0.1)
            continue
        values = {}
        if sets_value:
            value = f"user{random.randrange(1000)}"
            answer = await caller.query(f"SET app {value}")
            if not answer.is_success:
                caller.close()
                continue
            values = {"app": value}
        for _ in range(5):
            request_id = caller.new_id()
            expected[request_id] = values
            answer = await caller.query(
                f"READ {random.getrandbits(8):x}", request_id=request_id
            )
            if answer.code in ("CLOSED", "NONE") or stop.is_set():
                break
            await asyncio.sleep(random.uniform(0.01, 0.05))
        caller.close()


async def case(record, with_trouble):
    store = Store(record)
    services = [
        Service(record, store, f"almsdb{number + 1}") for number in range(SERVICES)
    ]
    fleet = Fleet(record, 3, services, store)
    service = services[0]
    routes = [("pledges", service.name, "primary", 1000, None)]
    expected, stop, tasks = {}, asyncio.Event(), []
    try:
        await fleet.start(configuration_of(routes, services, {"a": KEY}))
        for index in range(SETTING_SESSIONS + PLAIN_SESSIONS):
            vm = fleet.vms[index % len(fleet.vms)]
            sets_value = index < SETTING_SESSIONS
            tasks.append(
                asyncio.create_task(use_session(record, vm, sets_value, expected, stop))
            )
        await asyncio.sleep(WARM_UP_S)
        if with_trouble:
            member = service.primary
            record.say(f"{member.id} fails {FAILING_SHARE} of its requests")
            member.failing_share = FAILING_SHARE
            await asyncio.sleep(FAILING_S)
            member.failing_share = 0.0
            record.say(f"{member.id} fails no request any more")
        await asyncio.sleep(END_AFTER_S - FAILING_S)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    return [
        f"{request_id} ran with {values}, its session has set {expected[request_id]}"
        for request_id, runs in service.values.items()
        for values in runs
        if values != expected[request_id]
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
