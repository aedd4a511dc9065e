"""Open transactions during a planned stop of their gateway on another VM."""

import asyncio
from time import monotonic

import pytest
from asyncmy.errors import MySQLError

from tests.fleet import Fleet, run, wait_until

ENTRIES = 4
DRAIN_S = 3.0
# Longer than a gateway without open transactions takes to stop.
MAX_IDLE_STOP_S = 2.0
# Callers do not wait for a VM that has announced its stop.
MAX_REPORT_DELAY_S = 1.0
UNKNOWN, FAILED = 9002, 9005


def reported_group(fleet, name):
    """Return the group status that a gateway reports, None if the VM is no gateway."""
    _, status = fleet.operator_call("GET", "/v1/status", name=name)
    group = status["groups"]["pledges"]
    return group if group["reported_by"] == name else None


def gateways(fleet):
    """Return the group status that each gateway reports, by VM name."""
    reported_groups = {name: reported_group(fleet, name) for name in fleet.entries}
    return {name: group for name, group in reported_groups.items() if group is not None}


def gateway_with_transaction(fleet):
    """Return the name of the gateway that has the only open transaction."""
    (name,) = [
        n for n, reported in gateways(fleet).items() if reported["open_transactions"]
    ]
    return name


class Transfer:
    """Transaction that changes two rows, to detect partial commits."""

    def __init__(self, connection):
        self.connection = connection
        self.codes = []

    async def begin(self):
        await run(self.connection, "BEGIN")
        await run(self.connection, "UPDATE counters SET n = n + 1 WHERE id = 1")

    async def finish(self):
        await self._run_and_record("UPDATE counters SET n = n + 1 WHERE id = 2")
        await self._run_and_record("COMMIT")

    async def _run_and_record(self, sql):
        try:
            await run(self.connection, sql)
            self.codes.append(0)
        except MySQLError as error:
            self.codes.append(error.args[0])


async def open_transfer(fleet):
    """Open a transaction at a VM that is no gateway; return it and its gateway."""
    # VMs that became gateways before they knew the others release the role later.
    await asyncio.to_thread(wait_until, lambda: len(gateways(fleet)) == 2)
    name = next(name for name in fleet.entries if name not in gateways(fleet))
    connection = await fleet.connect(name)
    await run(connection, "CREATE TABLE counters (id INTEGER PRIMARY KEY, n INT)")
    await run(connection, "INSERT INTO counters VALUES (1, 0), (2, 0)")
    transfer = Transfer(connection)
    await transfer.begin()
    victim = gateway_with_transaction(fleet)
    assert victim != name
    return transfer, victim


async def read_counters(fleet):
    connection = await fleet.connect(max(fleet.entries, key=fleet.is_running))
    rows = await run(connection, "SELECT n FROM counters ORDER BY id")
    return tuple(n for (n,) in rows)


@pytest.fixture
def fleet(processes, tmp_path):
    return Fleet(processes, tmp_path, ENTRIES)


def test_transaction_finishes_while_its_gateway_stops(fleet):
    # Fails when a planned stop aborts the transactions of other VMs.
    async def scenario():
        transfer, victim = await open_transfer(fleet)
        fleet.entries[victim].terminate()
        await asyncio.sleep(MAX_IDLE_STOP_S)
        assert fleet.entries[victim].poll() is None
        # Other sessions are not blocked meanwhile.
        other = await fleet.connect(other_gateway(fleet, victim))
        assert await run(other, "SELECT n FROM counters WHERE id = 1") == ((0,),)
        await transfer.finish()
        # On a failure, the printed term shows whether the primary has changed.
        assert transfer.codes == [0, 0], gateways(fleet)
        await asyncio.to_thread(wait_until, lambda: not fleet.is_running(victim))
        assert fleet.entries[victim].returncode == 0
        assert await read_counters(fleet) == (1, 1)
        await transfer.begin()
        await transfer.finish()
        assert transfer.codes == [0] * 4

    asyncio.run(scenario())


def other_gateway(fleet, victim):
    return next(name for name in gateways(fleet) if name != victim)


def test_transaction_that_outlasts_its_gateway_is_reported_as_failed(fleet):
    # Fails when a transaction is partially applied, when its caller gets another error
    # than TRANSACTION_FAILED, or when the session cannot continue after ROLLBACK.
    async def scenario():
        transfer, victim = await open_transfer(fleet)
        started = monotonic()
        fleet.entries[victim].terminate()
        await asyncio.to_thread(wait_until, lambda: not fleet.is_running(victim))
        assert monotonic() - started >= DRAIN_S
        assert fleet.entries[victim].returncode == 0
        finish_started = monotonic()
        await transfer.finish()
        assert transfer.codes == [FAILED, FAILED]
        assert monotonic() - finish_started < MAX_REPORT_DELAY_S
        await run(transfer.connection, "ROLLBACK")
        assert await read_counters(fleet) == (0, 0)
        transfer.codes.clear()
        await transfer.begin()
        await transfer.finish()
        assert transfer.codes == [0, 0]
        assert await read_counters(fleet) == (1, 1)

    asyncio.run(scenario())


def test_commit_at_the_deadline_is_atomic(fleet):
    # Fails when a COMMIT at the end of the drain time is applied in part, or when its
    # answer does not match what was applied.
    async def scenario():
        transfer, victim = await open_transfer(fleet)
        started = monotonic()
        fleet.entries[victim].terminate()
        await asyncio.sleep(started + DRAIN_S - monotonic())
        await transfer.finish()
        return transfer.codes[-1], await read_counters(fleet)

    code, counters = asyncio.run(scenario())
    print(f"commit at the deadline: code {code}, rows {counters}")
    assert code in (0, UNKNOWN, FAILED)
    assert counters in {0: [(1, 1)], FAILED: [(0, 0)]}.get(code, [(0, 0), (1, 1)])
