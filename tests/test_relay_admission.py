"""Admission at a server that gets more than it can run, without a network.

The load is the first table of docs/hard-load.md at one server, in virtual time.
"""

import asyncio
import random
from collections import Counter, defaultdict
from types import SimpleNamespace

import pytest

from citronwood.backend import queue as queue_module
from citronwood.errors import (
    BackendUnavailableError,
    ConnectionLostError,
    OverloadedError,
)
from citronwood.inner.rpc import Caller
from citronwood.metrics import Metrics
from citronwood.relay import admission as admission_module
from citronwood.relay import connection as connection_module
from citronwood.relay import pool as pool_module
from citronwood.relay import server_load as load_module
from citronwood.relay.admission import StatementGate
from citronwood.relay.connection import SessionSettings
from citronwood.relay.leases import LeaseOutcome, Leases
from citronwood.relay.messages import OpenLease
from citronwood.relay.model import BackendServer, Role
from citronwood.relay.pool import ServerPool
from citronwood.relay.statement import (
    Answer,
    Failure,
    Reason,
    Statement,
    Urgency,
    Verb,
)
from tests.virtual_time import run_virtually

SERVER = BackendServer("s1", "g", "h", 1, "z", Role.PRIMARY, False, 4, 1)
READ = Statement("r", Verb.READ, "READ x")
MODULES = (
    queue_module,
    admission_module,
    connection_module,
    pool_module,
    load_module,
)
# One way, between failure domains.
LATENCY_S = 0.0009
CONNECT_WORK_S = 0.012
SERVER_QUEUE = 32
ACCOUNTS = 24


class Database:
    def __init__(self, name, per_s, work_s, target_s, timeout_s, priority, leased):
        self.name, self.per_s, self.work_s = name, per_s, work_s
        self.target_s, self.timeout_s, self.priority = target_s, timeout_s, priority
        # Fraction of statements that run in transactions or leases of connections.
        self.leased = leased


# Half of the demand of the table meets at the server; it can run 4 s of work a second.
SAVE = Database("quote-save", 31, 0.0045, 0.155, 0.8, 0, 0.45)
LOOKUP = Database("rate-lookup", 55, 0.022, 0.805, 1.5, 2, 0.1)
REPORT = Database("portfolio-report", 148, 0.014, 0.255, 0.8, 1, 0.24)


class Server:
    """Runs statements in slots, with a queue, and answers BUSY beyond it."""

    def __init__(self):
        self.slots = asyncio.Semaphore(SERVER.slots)
        self.waiting = self.busy_answers = 0

    async def occupy(self, work_s):
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(work_s)
        finally:
            self.slots.release()

    async def connect(self, host, port, group, account, server, deadline):
        await asyncio.sleep(2 * LATENCY_S)
        await self.occupy(CONNECT_WORK_S)
        return RawConnection(self)


class RawConnection:
    """``text`` of a statement is its work in seconds."""

    def __init__(self, server):
        self.server, self.is_open = server, True

    async def run(self, request_id, text, deadline, after=None):
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(LATENCY_S)
                if self.server.waiting >= SERVER_QUEUE:
                    self.server.busy_answers += 1
                    await asyncio.sleep(LATENCY_S)
                    return Answer(failure=Failure(Reason.OVERLOADED, "BUSY"))
                await self.server.occupy(float(text))
                await asyncio.sleep(LATENCY_S)
                return Answer()
        except TimeoutError:
            self.is_open = False
            raise ConnectionLostError("no answer", sent=True) from None

    def abort(self):
        self.is_open = False


def pool_of(server, with_gate=True, limit=64):
    gate = StatementGate("s1", SERVER.slots, Metrics()) if with_gate else None
    pool = ServerPool(SERVER, server.connect, limit, gate=gate)
    pool.resize(limit, 100)
    return pool


class Replay:
    def __init__(self, with_gate, bursts=(), hot=(), hot_factor=1.0, seed=5):
        self.seed = seed
        self.with_gate, self.bursts, self.hot = with_gate, bursts, hot
        self.hot_factor = hot_factor
        # Latencies of the answers, by database, or database and account.
        self.answered = defaultdict(list)
        self.sent, self.refusal_s = Counter(), []

    def run(self):
        random.seed(self.seed)
        run_virtually(self._run, *MODULES)
        return self

    def on_time(self, database, account=None):
        """Return the fraction of requests that were answered within the target."""
        key = (database.name, account) if account else database.name
        in_time = [s for s in self.answered[key] if s <= database.target_s]
        return len(in_time) / self.sent[key]

    async def _run(self, loop):
        self.server = Server()
        self.pool = pool_of(self.server, self.with_gate)
        tasks = []
        for database in (SAVE, LOOKUP, REPORT):
            for number in range(ACCOUNTS):
                account = f"{database.name}-{number}"
                per_s = database.per_s / ACCOUNTS
                tasks.append(self._send_all(loop, database, account, per_s))
        await asyncio.gather(*tasks)
        assert self.pool.load == 0

    async def _send_all(self, loop, database, account, per_s):
        # The same load with and without the gate.
        rng = random.Random(f"{self.seed} {account}")
        tasks = []
        while loop.time() < 8.0:
            factor = self.hot_factor if account in self.hot else 1.0
            if database in self.bursts:
                factor *= 2.5
            if not 1.0 < loop.time() < 7.0:
                factor = 1.0
            await asyncio.sleep(rng.expovariate(per_s * factor))
            is_leased = rng.random() < database.leased
            work_s = rng.expovariate(1 / database.work_s)
            request = self._send(loop, database, account, is_leased, work_s)
            tasks.append(asyncio.create_task(request))
        await asyncio.gather(*tasks)

    async def _send(self, loop, database, account, is_leased, work_s):
        keys = (database.name, (database.name, account))
        self.sent.update(keys)
        began_at = loop.time()
        deadline = began_at + database.timeout_s
        urgency = Urgency(database.priority, began_at + database.target_s)
        backoff_s = 0.03
        while loop.time() < deadline - backoff_s:
            asked_at = loop.time()
            try:
                connection = await self.pool.acquire(
                    account, SessionSettings(), deadline, urgency=urgency
                )
            except (TimeoutError, BackendUnavailableError):
                self.refusal_s.append(loop.time() - asked_at)
                break
            if is_leased:
                connection.return_permit()
                await asyncio.sleep(2 * LATENCY_S)
            try:
                statement = READ._replace(text=str(work_s))
                answer = await connection.run(statement, SessionSettings(), deadline)
            except ConnectionLostError:
                connection.discard()
                break
            connection.release()
            if answer.failure is None:
                for key in keys:
                    self.answered[key].append(loop.time() - began_at)
                return
            await asyncio.sleep(backoff_s)
            backoff_s = min(0.25, 2 * backoff_s)


SPENDERS = ("portfolio-report-3", "portfolio-report-7")


def replay_table(with_gate):
    """Replay a burst of the lowest priority, and two accounts at 4.7 times."""
    return Replay(with_gate, (LOOKUP,), SPENDERS, 4.7).run()


def check_table(replay):
    assert replay.server.busy_answers == 0
    assert replay.on_time(SAVE) >= 0.99
    assert replay.on_time(REPORT) >= 0.95
    assert replay.on_time(LOOKUP) >= 0.25
    refusals = sorted(replay.refusal_s)
    assert refusals[int(0.7 * len(refusals))] == 0.0


def test_overload_is_borne_by_the_lowest_priority():
    # Guards against 3,259 of 25,040 statements rejected by servers as full, and a third
    # of the value lost, in a simulated day with these bursts.
    check_table(replay_table(with_gate=True))


def test_overload_without_the_gate():
    # Guards against a replay that passes without the gate.
    with pytest.raises(AssertionError):
        check_table(replay_table(with_gate=False))


def test_lowest_priority_is_served_beside_a_higher_one_beyond_the_capacity():
    # Guards against a priority that gets nothing while a higher one is overloaded.
    replay = Replay(True, (REPORT,)).run()
    assert replay.on_time(LOOKUP) >= 0.25
    assert replay.on_time(SAVE) >= 0.99


@pytest.mark.parametrize("seed", [3, 5])
@pytest.mark.parametrize("database", [REPORT, LOOKUP], ids=lambda each: each.name)
def test_account_at_eight_times_its_rate_delays_only_itself(database, seed):
    # Guards against accounts that lose their turns to one that sends too much. Without
    # the gate, 0.25 and 0.55 of the others' requests are on time.
    hot = [f"{database.name}-{number}" for number in (3, 7)]
    replay = Replay(True, (), hot, 8.0, seed).run()
    others = [f"{database.name}-{number}" for number in range(ACCOUNTS)]
    on_time = [replay.on_time(database, name) for name in others if name not in hot]
    assert sum(on_time) / len(on_time) >= 0.97


# Failures at one gate.


def run_at_gate(scenario, limit=64):
    async def with_pool(loop):
        server = Server()
        pool = pool_of(server, limit=limit)
        await scenario(pool, server)
        assert pool._gate.running == pool._gate.waiting == pool.load == 0

    run_virtually(with_pool, *MODULES)


def acquire(pool, priority=0, wait_s=1.0, account="a", **options):
    now = asyncio.get_running_loop().time()
    urgency = Urgency(priority, now + wait_s / 2)
    return pool.acquire(
        account, SessionSettings(), now + wait_s, urgency=urgency, **options
    )


async def run_once(pool, work_s, **options):
    connection = await acquire(pool, **options)
    deadline = asyncio.get_running_loop().time() + 1.0
    statement = READ._replace(text=str(work_s))
    try:
        await connection.run(statement, SessionSettings(), deadline)
    except ConnectionLostError:
        connection.discard()
        raise
    connection.release()


async def fill(pool):
    """Use the whole limit; return the connections."""
    return [await acquire(pool) for _ in range(5)]


def release_all(connections):
    for connection in connections:
        connection.release()


@pytest.mark.parametrize("is_granted_first", [False, True])
def test_waiter_that_is_cancelled_at_its_grant_leaks_no_permit(is_granted_first):
    async def scenario(pool, server):
        held = await fill(pool)
        waiters = [asyncio.create_task(acquire(pool)) for _ in range(2)]
        await asyncio.sleep(0.01)
        if is_granted_first:
            held.pop().release()
            waiters[0].cancel()
        else:
            waiters[0].cancel()
            held.pop().release()
        with pytest.raises(asyncio.CancelledError):
            await waiters[0]
        (await waiters[1]).release()
        release_all(held)

    run_at_gate(scenario)


def test_accounts_take_turns():
    async def scenario(pool, server):
        held, order = await fill(pool), []

        async def wait(account):
            (await acquire(pool, account=account)).release()
            order.append(account)

        tasks = [asyncio.create_task(wait("hot")) for _ in range(9)]
        await asyncio.sleep(0.01)
        tasks.append(asyncio.create_task(wait("other")))
        await asyncio.sleep(0.01)
        release_all(held)
        await asyncio.gather(*tasks)
        assert order.index("other") <= 2

    run_at_gate(scenario)


def test_lost_connection_returns_its_permit():
    async def refuse(*arguments):
        raise BackendUnavailableError("refused")

    async def scenario(pool, server):
        with pytest.raises(ConnectionLostError):
            await run_once(pool, work_s=5.0)
        pool._connect = refuse
        with pytest.raises(BackendUnavailableError):
            await acquire(pool)

    run_at_gate(scenario)


def test_replaced_server_refuses_its_waiters_at_once():
    # Guards against statements that wait for a server that is gone.
    async def scenario(pool, server):
        held = await fill(pool)
        waiter = asyncio.create_task(acquire(pool))
        await asyncio.sleep(0.01)
        pool.close()
        with pytest.raises(BackendUnavailableError):
            await waiter
        release_all(held)

    run_at_gate(scenario)


def test_slots_that_shrink_are_respected():
    async def scenario(pool, server):
        held = await fill(pool)
        pool.server = SERVER._replace(slots=1)
        waiter = asyncio.create_task(acquire(pool))
        for connection in held[:3]:
            connection.release()
            await asyncio.sleep(0.01)
        assert not waiter.done()
        held[3].release()
        (await waiter).release()
        held[4].release()

    run_at_gate(scenario)


def test_busy_server_lowers_the_limit_for_a_second():
    async def scenario(pool, server):
        server.waiting = SERVER_QUEUE
        await run_once(pool, 0.01)
        server.waiting = 0
        assert pool._gate.limit == SERVER.slots
        await asyncio.sleep(1.01)
        assert pool._gate.limit == SERVER.slots + 1

    run_at_gate(scenario)


def test_nothing_is_refused_because_of_a_stale_mean():
    # Guards against refusals after a pause that was preceded by slow statements.
    async def scenario(pool, server):
        for _ in range(10):
            await run_once(pool, 0.9)
        held = await fill(pool)
        with pytest.raises(OverloadedError):
            await acquire(pool, wait_s=0.5)
        await asyncio.sleep(1.1)
        waiter = asyncio.create_task(acquire(pool, wait_s=0.5))
        await asyncio.sleep(0.01)
        release_all(held)
        (await waiter).release()

    run_at_gate(scenario)


def test_started_work_runs_while_permits_wait_for_its_connections():
    # Guards against statements that wait for a connection of a transaction, whose next
    # statement waits for their permits.
    async def scenario(pool, server):
        held = [await acquire(pool, in_transaction=True) for _ in range(3)]
        held += [await acquire(pool) for _ in range(2)]
        for connection in held:
            connection.return_permit()
        singles = [asyncio.create_task(run_once(pool, 0.01)) for _ in range(5)]
        await asyncio.sleep(0.01)
        deadline = asyncio.get_running_loop().time() + 0.5
        for connection in held:
            await connection.run(
                READ._replace(text="0.01"), SessionSettings(), deadline
            )
            connection.release()
        await asyncio.gather(*singles)

    run_at_gate(scenario, limit=5)


def test_started_work_is_not_sent_to_a_former_primary():
    # Guards against statements that wait at the gate until another primary is
    # promoted, or the VM's lease has ended, and are sent then.
    async def scenario(pool, server):
        started = await acquire(pool, in_transaction=True)
        held = await fill(pool)
        statement = READ._replace(text="0.01")
        deadline = asyncio.get_running_loop().time() + 0.5
        task = asyncio.create_task(started.run(statement, SessionSettings(), deadline))
        await asyncio.sleep(0.01)
        pool._is_primary = lambda _: False
        release_all(held)
        with pytest.raises(ConnectionLostError) as lost:
            await task
        assert not lost.value.sent
        started.discard()

    run_at_gate(scenario)


def test_stopping_owner_answers_waiting_requests_of_other_vms():
    # Guards against permits and connections that a stopping owner keeps.
    async def scenario(pool, server):
        servers = SimpleNamespace(get=lambda _: pool, balance=None)
        view = SimpleNamespace(primary_of=lambda _: "s1")
        leases = Leases(servers, view, None, lambda: None)
        held = await fill(pool)
        deadline = asyncio.get_running_loop().time() + 1.0
        message = OpenLease(1, "d", "a", "g", "s1", 0, None, None, {}, "", None)
        caller = Caller("vm2", 1, "tcp://vm2", deadline)
        answer = asyncio.create_task(leases._on_open(message, caller))
        await asyncio.sleep(0.01)
        leases.stop()
        release_all(held)
        assert (await answer).outcome == LeaseOutcome.LEAVING

    run_at_gate(scenario)
