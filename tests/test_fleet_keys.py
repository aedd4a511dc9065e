"""A withdrawn key is refused at every VM of a real fleet, even at isolated VMs."""

import asyncio
from time import monotonic

import pytest
from asyncmy.errors import MySQLError

from citronwood.backend.seats import data_connections
from citronwood.config.model import Group
from citronwood.fleet.placement import rank
from tests.faults import FaultProxy
from tests.fleet import ACCOUNT, TABLE, Fleet, run

pytestmark = pytest.mark.realtime

WITHDRAWAL_LIMIT_S = 3.0
CUT_FROM_PLATFORM = ("vm03", "vm04")
CUT_FROM_PEERS = ("vm04",)


class FaultProxies:
    """Fault proxies in front of the platform and of the entries, by entry name."""

    def __init__(self):
        self.platform = {}
        self.inner = {}

    def to_platform(self, name, port):
        self.platform[name] = FaultProxy(port)
        return self.platform[name].port

    def to_entry(self, name, port):
        self.inner[name] = FaultProxy(port)
        return self.inner[name].port

    def cut(self, fault):
        for name in CUT_FROM_PLATFORM:
            fault(self.platform[name])
        for name in CUT_FROM_PEERS:
            fault(self.inner[name])

    def close(self):
        for proxy in (*self.platform.values(), *self.inner.values()):
            proxy.close()


@pytest.fixture
def fault_proxies():
    created = FaultProxies()
    yield created
    created.close()


async def call_until(fleet, name, end, results, refusals, reconnects):
    """Run statements at one entry; record the times of results and error codes.

    With ``reconnects``, each statement uses a new connection.
    """
    connection = None
    while monotonic() < end:
        try:
            if connection is None:
                connection = await fleet.connect(name)
            await run(connection, "SELECT COUNT(*) FROM pledges")
            results.append((monotonic(), name))
            if reconnects:
                connection.close()
                connection = None
        except (MySQLError, OSError) as error:
            refusals.add((name, error.args[0]))
            if connection is not None:
                connection.close()
            connection = None
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.02)


async def login_code(fleet, name):
    """Return the error code of a login, None if it succeeds."""
    try:
        connection = await fleet.connect(name)
    except MySQLError as error:
        return error.args[0]
    connection.close()
    return None


def freeze(proxy):
    proxy.freeze(new_connections=True)


@pytest.mark.parametrize("fault", [FaultProxy.cut, freeze])
def test_withdrawn_key_is_refused_at_every_entry(
    processes, tmp_path, fault_proxies, fault
):
    # Fails when an entry that cannot learn of the withdrawal continues to serve, and
    # when a caller that connected before the withdrawal keeps its access.
    fleet = Fleet(
        processes,
        tmp_path,
        4,
        None,
        platform_link=fault_proxies.to_platform,
        inner_link=fault_proxies.to_entry,
    )
    intent = {"kind": "withdraw_key", "account": ACCOUNT, "key_id": "k1"}
    results, refusals = [], set()

    async def scenario():
        await run(await fleet.connect("vm01"), TABLE)
        end = monotonic() + 5.0
        callers = [
            asyncio.create_task(
                call_until(fleet, name, end, results, refusals, reconnects)
            )
            for name in fleet.entries
            for reconnects in (False, True)
        ]
        await asyncio.sleep(1.0)
        fault_proxies.cut(fault)
        withdrawn_at = monotonic()
        # The confirm waits for the isolated entry.
        confirm = asyncio.create_task(asyncio.to_thread(fleet.confirm, intent))
        await asyncio.sleep(withdrawn_at + WITHDRAWAL_LIMIT_S - monotonic())
        codes = await asyncio.gather(
            *(login_code(fleet, name) for name in fleet.entries)
        )
        # Callers at an isolated entry may still wait for an answer.
        _, waiting = await asyncio.wait(callers, timeout=4.0)
        await confirm
        for caller in waiting:
            caller.cancel()
        return withdrawn_at, codes

    withdrawn_at, codes = asyncio.run(scenario())
    assert codes == [1045, 1045, 1045, 9007]
    assert {name for _, name in results} == set(fleet.entries)
    delays = [(at - withdrawn_at, name) for at, name in results]
    assert [delay for delay in delays if delay[0] > WITHDRAWAL_LIMIT_S] == []
    for name in ("vm01", "vm02", "vm03"):
        assert (name, 9004) in refusals


@pytest.mark.parametrize("caller", [0, 2])
def test_queued_statement_is_refused_when_its_key_is_withdrawn(
    processes, tmp_path, caller
):
    # Fails when a statement that waits for a connection at its gateway runs after its
    # key was withdrawn. The caller is at the gateway (rank 0) or another VM (rank 2).
    fleet = Fleet(processes, tmp_path, 3, keys={"k2": "other-key-of-the-tests"})
    names = rank("gateway/pledges", fleet.entries)
    intent = {"kind": "withdraw_key", "account": ACCOUNT, "key_id": "k2"}
    connections = data_connections(Group(database="demo", members={}))

    async def insert(connection):
        try:
            await run(connection, "INSERT INTO pledges (household) VALUES ('late')")
        except MySQLError as error:
            return error.args[0]

    async def scenario():
        # An entry that became a gateway while the fleet was incomplete releases the
        # role and its connections after 2 s.
        await asyncio.sleep(3.0)
        setup = await fleet.connect(names[0])
        await run(setup, TABLE)
        other = await fleet.connect(names[caller], password="other-key-of-the-tests")
        holders = [await fleet.connect(names[0]) for _ in range(connections)]
        for holder in holders:
            await run(holder, "BEGIN")
        waiting = asyncio.create_task(insert(other))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        await asyncio.to_thread(fleet.confirm, intent)
        for holder in holders:
            await run(holder, "ROLLBACK")
        code = await waiting
        await asyncio.sleep(1.0)
        return code, await run(setup, "SELECT COUNT(*) FROM pledges")

    code, rows = asyncio.run(scenario())
    assert rows == ((0,),)
    assert code == 9004
