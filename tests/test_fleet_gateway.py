"""Callers at other entries when a gateway VM is killed or out of connections."""

import asyncio

from asyncmy.errors import MySQLError

from citronwood.backend.seats import data_connections
from citronwood.config.model import Group
from tests.fleet import TABLE, Fleet, run

CALLERS = 8


def reporting_gateways(fleet):
    """Return, by entry, the gateway whose report of the group the entry shows."""
    gateway_by_entry = {}
    for name in fleet.entries:
        _, status = fleet.operator_call("GET", "/v1/status", name=name)
        gateway_by_entry[name] = status["groups"]["pledges"]["reported_by"]
    return gateway_by_entry


async def insert(connection, number, outcomes):
    """Insert a row and record the error code, 0 on success, as its outcome."""
    try:
        await run(connection, f"INSERT INTO pledges (id) VALUES ({number})")
        outcomes[number] = 0
    except MySQLError as error:
        outcomes[number] = error.args[0]


async def write_many(fleet, name, first, stopped, outcomes):
    connection, number = await fleet.connect(name), first
    while not stopped.is_set():
        await insert(connection, number, outcomes)
        number += 1


async def write_with_keys(fleet, name, other, prefix, stopped, acknowledged_keys):
    """Write with idempotency keys; repeat each through another entry."""
    first, second = await fleet.connect(name), await fleet.connect(other)
    number = 0
    while not stopped.is_set():
        key = f"{prefix}-{number}"
        for connection in (first, second):
            await run(connection, f"SET @citronwood_idempotency_key = '{key}'")
            await run(connection, f"INSERT INTO gifts (household) VALUES ('{key}')")
        acknowledged_keys.append(key)
        number += 1


def test_killed_gateway_reports_correct_outcomes(processes, tmp_path):
    # Fails when "not run" is reported for a write that ran, when an acknowledged write
    # is lost, or when a write repeated with its idempotency key runs twice.
    fleet = Fleet(processes, tmp_path, 4)
    outcomes, acknowledged_keys, commit_codes = {}, [], []

    async def scenario():
        setup = await fleet.connect()
        await run(setup, TABLE)
        await run(setup, TABLE.replace("pledges", "gifts"))
        victim = reporting_gateways(fleet)["vm01"]
        callers = [name for name in fleet.entries if name != victim]
        stopped = asyncio.Event()
        tasks = [
            asyncio.create_task(
                write_many(fleet, callers[i % 3], 10_000 * (i + 1), stopped, outcomes)
            )
            for i in range(CALLERS)
        ] + [
            asyncio.create_task(
                write_with_keys(
                    fleet,
                    callers[i],
                    callers[i - 1],
                    f"c{i}",
                    stopped,
                    acknowledged_keys,
                )
            )
            for i in range(3)
        ]
        await asyncio.sleep(1.0)
        # Only one transaction stays open, because the member stand-in lets one write
        # at a time.
        open_connection = await fleet.connect(callers[0])
        await run(open_connection, "BEGIN")
        await run(open_connection, "INSERT INTO pledges (id) VALUES (900000)")
        fleet.entries[victim].kill()
        try:
            await run(open_connection, "COMMIT")
            commit_codes.append(0)
        except MySQLError as error:
            commit_codes.append(error.args[0])
        await asyncio.sleep(3.0)
        stopped.set()
        await asyncio.gather(*tasks)
        reader = await fleet.connect(callers[0])
        rows = await run(reader, "SELECT id FROM pledges")
        return rows, await run(reader, "SELECT household FROM gifts")

    rows, gifts = asyncio.run(scenario())
    ids = {row[0] for row in rows}
    acknowledged = {number for number, code in outcomes.items() if code == 0}
    not_run = {number for number, code in outcomes.items() if code == 9001}
    assert set(outcomes.values()) <= {0, 9001, 9002}
    assert len(acknowledged) > 50
    assert acknowledged <= ids
    assert not not_run & ids
    assert set(commit_codes) <= {0, 9002, 9005}
    assert commit_codes != [0] or 900_000 in ids
    assert commit_codes != [9005] or 900_000 not in ids
    households = [household for (household,) in gifts]
    assert len(households) == len(set(households))
    assert set(acknowledged_keys) <= set(households)
    assert len(acknowledged_keys) > 10


def test_transaction_gets_a_connection_of_the_other_gateway(processes, tmp_path):
    # Fails when BEGIN waits up to its deadline at a gateway without free connections,
    # although the other gateway of the group has some.
    fleet = Fleet(processes, tmp_path)
    connections = 2 * data_connections(Group(database="demo", members={}))

    async def scenario():
        callers = [await fleet.connect("vm01") for _ in range(connections)]
        begun = (run(caller, "BEGIN") for caller in callers)
        return await asyncio.gather(*begun, return_exceptions=True)

    results = asyncio.run(scenario())
    assert not [result for result in results if isinstance(result, Exception)]
