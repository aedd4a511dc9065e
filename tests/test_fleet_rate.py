"""Rate and burst limits of the whole fleet while entries fail and start."""

import asyncio
from time import monotonic

from asyncmy.errors import MySQLError

from tests.fleet import DOMAINS, TABLE, Fleet, run
from tests.fleet_callers import worst_excess

RATE, BURST, OFFERED_PER_S = 100, 50, 500
CALLERS = 32
LOAD_S = 7.0
SQL = "SELECT COUNT(*) FROM pledges"


async def offer(fleet, end, index, intervals):
    """Offer one caller's part of the load; record times of admitted requests.

    A caller whose entry has failed connects to the next entry.
    """
    connection, entry_index = None, index
    while (sent := monotonic()) < end:
        names = sorted(fleet.ports)
        try:
            if connection is None:
                connection = await fleet.connect(
                    names[entry_index % len(names)], user="big"
                )
                sent = monotonic()
            await run(connection, SQL)
            intervals.append((sent, monotonic()))
        except (MySQLError, OSError) as error:
            if error.args[0] != 9003:
                connection, entry_index = None, entry_index + 1
        await asyncio.sleep(sent + CALLERS / OFFERED_PER_S - monotonic())


def test_no_window_exceeds_burst_and_rate(processes, tmp_path):
    # Fails when tokens of a dead entry or of a ledger that moved are spent twice.
    fleet = Fleet(processes, tmp_path, 4, limits={"big": (RATE, BURST)})
    intervals = []

    async def scenario():
        await run(await fleet.connect("vm01"), TABLE)
        end = monotonic() + LOAD_S
        callers = [
            asyncio.create_task(offer(fleet, end, index, intervals))
            for index in range(CALLERS)
        ]
        await asyncio.sleep(1.5)
        for number, victim in enumerate(("vm02", "vm03")):
            fleet.unlist_entry(victim).kill()
            name = f"vm{number + 5:02}"
            await asyncio.to_thread(fleet.start_entry, name, DOMAINS[number])
            await asyncio.sleep(1.5)
        await asyncio.gather(*callers)

    asyncio.run(scenario())
    assert len(intervals) > RATE
    assert worst_excess(intervals, RATE, BURST) <= 0
