"""All entries are replaced one after the other while callers go on.

The size of the fleet is the option ``--entries``; 18 need ``--timeout 150``.
"""

import asyncio
from time import monotonic

from asyncmy.errors import MySQLError

from tests.fleet import DOMAINS, TOKEN, Fleet, call, run
from tests.fleet_callers import (
    LOST,
    NOT_CONNECTED,
    PAUSE_S,
    SHUTDOWN,
    Report,
    Session,
    offer,
    repeat,
    worst_excess,
)
from tests.processes import wait_for_port

OTHER_KEY = "other-key-of-the-tests"
WITHDRAWAL = {"kind": "withdraw_key", "account": "demo", "key_id": "k2"}
# Rate and burst; "big" offers three times its rate, "steady" half of it.
BIG, BIG_OFFERED_PER_S = (40, 20), 120
STEADY, STEADY_OFFERED_PER_S = (100, 50), 50
LIMIT_S = 3.0
WRITERS, KEYED, TRANSACTIONS = 6, 3, 2
APPLY_LAG_MS = 50
# Answers that tell a caller to use another VM.
ENDED = (SHUTDOWN, NOT_CONNECTED, *LOST)
SETUP_S, STOP_S = 1.0, 30.0


class Counters:
    """One row for each caller, which counts its acknowledged writes up.

    A row that is behind shows a lost write or a read that is not its own; a row that
    is ahead a write that ran although it was refused, or twice.
    """

    def __init__(self, fleet, report):
        self._fleet = fleet
        self._report = report
        self.done = {}

    async def create(self, rows):
        connection = await self._fleet.connect()
        await run(
            connection, "CREATE TABLE counters (id INTEGER PRIMARY KEY, a INT, b INT)"
        )
        for row in range(rows):
            await run(connection, f"INSERT INTO counters VALUES ({row}, 0, 0)")
        self.done = dict.fromkeys(range(rows), 0)
        connection.close()

    def _session(self):
        return Session(self._fleet, self._report, "demo")

    async def _check(self, session, row):
        found = await session.run(f"SELECT a, b FROM counters WHERE id = {row}")
        if found != ((self.done[row],) * 2,):
            self._report.fail(f"row {row}", self.done[row], found)

    def writer(self, row):
        session = self._session()
        sql = f"UPDATE counters SET a = a + 1, b = b + 1 WHERE id = {row}"

        async def work():
            await session.write(sql)
            self.done[row] += 1
            await self._check(session, row)

        return work

    def keyed_writer(self, row):
        first, second = self._session(), self._session()
        sql = f"UPDATE counters SET a = a + 1, b = b + 1 WHERE id = {row}"

        async def work():
            key = f"row {row} write {self.done[row]}"
            for session in (first, second):
                await session.write(f"SET @citronwood_idempotency_key = '{key}'", sql)
            self.done[row] += 1
            await self._check(second, row)

        return work

    def transactions(self, row):
        session = self._session()
        statements = [
            f"UPDATE counters SET {column} = {column} + 1 WHERE id = {row}"
            for column in ("a", "b")
        ]

        async def work():
            await session.transact(statements, 0.005)
            self.done[row] += 1
            await self._check(session, row)

        return work

    async def found(self):
        connection = await self._fleet.connect()
        rows = await run(connection, "SELECT id, a, b FROM counters ORDER BY id")
        return rows, tuple((row, done, done) for row, done in self.done.items())


class KeyProbe:
    """Uses a key at entries in turn, in new connections and in old ones."""

    def __init__(self, fleet, report):
        self._fleet = fleet
        self._report = report
        self._kept = {}
        self.refused = set()
        self.admitted = []

    async def work(self):
        for name in list(self._fleet.ports):
            kept = self._kept.pop(name, None)
            if kept is not None and kept._stream_broken:
                kept = None
            if kept is not None and not await self._try(name, kept):
                kept.close()
                kept = None
            opened = await self._open(name)
            if opened is not None:
                await self._try(name, opened)
                if kept is None:
                    self._kept[name] = opened
                else:
                    opened.close()
            if kept is not None:
                self._kept[name] = kept
            await asyncio.sleep(PAUSE_S)

    async def _open(self, name):
        try:
            return await self._fleet.connect(name, password=OTHER_KEY, autocommit=None)
        except (OSError, KeyError, MySQLError) as error:
            self._refused(name, error)
            return None

    async def _try(self, name, connection):
        try:
            await run(connection, "SELECT COUNT(*) FROM counters")
        except MySQLError as error:
            self._refused(name, error)
            return False
        self.admitted.append((monotonic(), name))
        return True

    def _refused(self, name, error):
        code = error.args[0]
        if code in (1045, 9004):
            self.refused.add((name, code))
        elif isinstance(error, MySQLError) and code not in ENDED:
            self._report.fail(f"key at {name}", *error.args)


async def withdraw(fleet):
    """Withdraw the key; return when the confirm that succeeded was sent.

    A plan is refused while a VM that has just started has an older configuration.
    """
    while True:
        operator = f"http://127.0.0.1:{fleet.operator_ports[max(fleet.entries)]}"
        status, plan = await asyncio.to_thread(
            call, "POST", f"{operator}/v1/plans", WITHDRAWAL, TOKEN
        )
        sent = monotonic()
        if status == 201:
            path = f"{operator}/v1/plans/{plan['id']}/confirm"
            status, _ = await asyncio.to_thread(call, "POST", path, None, TOKEN)
        if status in (200, 202):
            return sent
        await asyncio.sleep(0.1)


async def replace(fleet, name, successor, domain, times):
    """Stop one entry by plan and start a VM of another name in its place.

    The platform's list follows when the process has ended.
    """
    started = monotonic()
    process = fleet.entries[name]
    process.terminate()
    await asyncio.to_thread(process.wait, STOP_S)
    assert process.returncode == 0
    stopped = monotonic()
    await asyncio.to_thread(fleet.stop_entry, name)
    await asyncio.to_thread(fleet.start_entry, successor, domain)
    await asyncio.to_thread(wait_for_port, fleet.ports[successor])
    times.append((started, stopped - started, monotonic() - stopped))


def test_rolling_replacement_cuts_and_refuses_nothing(processes, tmp_path, entries):
    # Fails when a planned stop ends a connection with a statement in flight, gives up
    # a transaction, refuses with another code than 1053, loses a write, runs one twice
    # or lets a session read less than it has written; when a VM that takes over spends
    # tokens again, or honours a withdrawn key.
    report, times = Report(), []
    fleet = Fleet(
        processes,
        tmp_path,
        entries,
        limits={"big": BIG, "steady": STEADY},
        keys={"k2": OTHER_KEY},
    )
    counters, probe = Counters(fleet, report), KeyProbe(fleet, report)
    intervals = {"big": [], "steady": []}

    async def scenario():
        for member in fleet.member_ports:
            await fleet.set_member(member, "apply_lag_ms", APPLY_LAG_MS)
        makers = (
            [counters.writer] * WRITERS
            + [counters.keyed_writer] * KEYED
            + [counters.transactions] * TRANSACTIONS
        )
        await counters.create(len(makers))
        stopped = asyncio.Event()
        sql = "SELECT COUNT(*) FROM counters"
        callers = [
            repeat(make(row), f"{make.__name__} {row}", stopped, report)
            for row, make in enumerate(makers)
        ]
        callers += [
            repeat(probe.work, "key", stopped, report),
            offer(
                fleet,
                "big",
                sql,
                BIG_OFFERED_PER_S,
                60,
                stopped,
                report,
                intervals["big"],
            ),
            offer(
                fleet,
                "steady",
                sql,
                STEADY_OFFERED_PER_S,
                8,
                stopped,
                report,
                intervals["steady"],
            ),
        ]
        tasks = [asyncio.create_task(caller) for caller in callers]
        await asyncio.sleep(SETUP_S)
        started = monotonic()
        withdrawn = None
        for number, name in enumerate(list(fleet.entries)):
            if number == entries // 2:
                withdrawn = asyncio.create_task(withdraw(fleet))
            successor = f"vm{number + 101}"
            await replace(fleet, name, successor, DOMAINS[number % 3], times)
        withdrawn_at = await withdrawn
        await asyncio.sleep(max(SETUP_S, withdrawn_at + LIMIT_S + 1.0 - monotonic()))
        stopped.set()
        await asyncio.gather(*tasks)
        return monotonic() - started, withdrawn_at, await counters.found()

    took_s, withdrawn_at, (found, expected) = asyncio.run(scenario())
    print(f"\n{entries} entries replaced in {took_s:.1f} s", dict(report.counts))
    for user in ("demo", "steady", "big"):
        print("slowest statements:", *report.slowest(user), sep="\n  ")
    print("stop, start:", [tuple(round(one, 2) for one in all_) for all_ in times])
    last = max(at for at, _ in probe.admitted) - withdrawn_at
    print(f"withdrawn key admitted last {last:.2f} s after the confirm was sent")
    excess = worst_excess(intervals["big"], *BIG)
    print(f"excess over the bound of 'big': {excess:.1f} of {len(intervals['big'])}")
    assert report.failures == []
    assert found == expected
    assert min(counters.done.values()) > 10
    refused = {key for key in report.counts if "refused" in key}
    assert refused <= {"big refused 9003"}
    assert len(intervals["big"]) > BIG[0] * took_s / 2
    assert excess <= 0
    assert last <= LIMIT_S
    assert {code for _, code in probe.refused} == {1045, 9004}
    assert report.counts["told to connect again"] > 0
