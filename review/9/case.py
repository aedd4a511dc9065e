"""One replica receives nothing, the other one is lost, and the primary crashes."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "fleet2"))

from world import (  # noqa: E402
    Caller,
    CannotRunError,
    Cloud,
    Fleet,
    Member,
    Store,
    configuration,
    find_lost_commits,
    has_trouble,
    route,
    run_case,
    tenant,
)

SUBNET = "127.83.9"
ZONES = ["pnw-sea", "pnw-pdx", "pnw-spk"]
DEAF_S = 6.0
CRASH_S = 7.0


async def call(record, host, port, answers, stop, number):
    """Write every 0.1 s on one session; connect again when it ends."""
    caller = Caller(record, host, port, "dbpledge", "key1", f"caller{number}")
    count = 0
    while not stop.is_set():
        count += 1
        try:
            if not caller.is_open:
                await caller.connect()
            request_id, result, _ = await caller.query(
                f"WRITE item{number}.{count} data"
            )
            answers[request_id] = result
        except (OSError, TimeoutError):
            caller.close()
        await asyncio.sleep(0.1)
    caller.close()


async def main(record):
    store, members, group = Store(record), {}, []
    await store.start("127.0.0.1")
    cloud = Cloud(record, members)
    await cloud.start("127.0.0.1")
    for number, zone in enumerate(ZONES):
        member = Member(store, record, group, f"i-{number}", "127.0.0.1", zone)
        member.is_primary = number == 0
        member.sync_replicas = 1
        members[member.id] = member
        await member.start()
    primary, lagging, lost_replica = group
    store.write(
        "config",
        "main",
        configuration(
            7, [route("dbpledge", "primary")], [tenant(1), tenant(2)], sync_replicas=1
        ),
    )
    fleet = Fleet(record, store, cloud, SUBNET, ZONES)
    stop, answers = asyncio.Event(), {}
    tasks = []
    try:
        names = [fleet.start(number) for number in (1, 2, 3)]
        if not await fleet.wait_ready(names, 20):
            raise CannotRunError("the fleet did not become ready")
        for number in range(6):
            host = fleet.hosts[names[number % 3]]
            calling = call(record, host, fleet.ports[0], answers, stop, number)
            tasks.append(asyncio.create_task(calling))
        await asyncio.sleep(6)
        if not primary.commits:
            raise CannotRunError("no write was committed before")
        started = time.monotonic()

        async def at(second):
            await asyncio.sleep(max(0.0, started + second - time.monotonic()))

        if has_trouble():
            lagging.deaf = True
            record("replica", lagging.id, "receives nothing from now on")
            await at(2.0)
            lost_replica.stop()
            await at(3.0)
            primary.stop()
            await at(DEAF_S)
            lagging.hear_again()
            await at(3.0 + CRASH_S)
            await primary.restart()
        await at(16.0)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        stop.set()
        for task in tasks:
            task.cancel()
        fleet.close()
        for member in group:
            member.close()
        await asyncio.sleep(0.1)
    lost = find_lost_commits(record, group, answers)
    ok = sum(1 for result in answers.values() if result and "DONE" in result)
    summary = (
        f"{len(answers)} writes, {ok} acknowledged; promoted: "
        f"{[member.id for member in group if member.promotions]}; {len(lost)} "
        "acknowledged writes were not in the log of a promoted server"
    )
    record(summary)
    print(summary)
    return bool(lost)


run_case(FOLDER, main)
