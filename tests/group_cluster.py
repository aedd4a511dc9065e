"""A database group of real member processes, with gateways in the test process."""

import asyncio
import signal
import time
from contextlib import asynccontextmanager
from itertools import count
from typing import NamedTuple

import asyncmy

from citronwood.backend.api import Reply, Request, StatementKind
from citronwood.backend.connection import Login
from citronwood.backend.gateway import open_gateway
from citronwood.backend.host import Host
from citronwood.backend.member import MemberStatus
from citronwood.config.model import Group, Member
from citronwood.deadline import deadline_in
from citronwood.errors import Outcome, Refusal
from citronwood.metrics import Metrics
from citronwood.operator.records import Records
from tests.faults import FaultProxy
from tests.processes import free_port, wait_for_port

LOGIN = Login("proxy", "proxy")
_sessions = count(1)


# A group definition for tests that start no members.
GROUP = Group(
    database="demo",
    members={
        f"m{i}": Member(host="127.0.0.1", port=i, failure_domain="d") for i in (1, 2, 3)
    },
)


def make_status(**fields):
    """Return a recent status of the replica m2 with other values for some fields."""
    now = time.monotonic()
    base = MemberStatus("m2", 2, 2, 10, 2, 9, "replica", 5, 20, False, now, now)
    return base._replace(**fields)


class Cluster:
    """Processes of the members m1 (the first primary), m2 and m3.

    With ``proxied`` the gateways connect to the members through the fault proxies
    ``proxies``, and m2 and m3 replicate from m1 through the fault proxy
    ``replication``.
    """

    def __init__(self, processes, folder, *options, proxied=False, **definition):
        self._processes = processes
        self._folder = folder
        self._options = options
        self.real_ports = [free_port() for _ in range(3)]
        self.ports = self.real_ports
        self._replication_port = self.real_ports[0]
        self.proxies = {}
        if proxied:
            self.proxies = {
                f"m{i + 1}": FaultProxy(p) for i, p in enumerate(self.ports)
            }
            self.replication = FaultProxy(self.real_ports[0])
            self.ports = [proxy.port for proxy in self.proxies.values()]
            self._replication_port = self.replication.port
        self.running = {}
        for index in range(3):
            self.start(f"m{index + 1}")
        for port in self.real_ports:
            wait_for_port(port)
        self.group = Group(
            database="demo",
            members={
                f"m{i + 1}": Member(
                    host="127.0.0.1", port=self.ports[i], failure_domain=f"d{i}"
                )
                for i in range(3)
            },
            **definition,
        )

    def close(self):
        if self.proxies:
            for proxy in (*self.proxies.values(), self.replication):
                proxy.close()

    def start(self, name):
        index = int(name[1]) - 1
        role = (
            ["--follow", f"127.0.0.1:{self._replication_port}"]
            if index
            else ["--primary"]
        )
        self.running[name] = self._processes.start(
            "standin-member", "--port", self.real_ports[index], "--name", name,
            "--data-dir", self._folder / name, *role, *self._options,
        )  # fmt: skip

    def kill(self, name):
        self.running[name].kill()
        self.running[name].wait()

    def freeze(self, name):
        self.running[name].send_signal(signal.SIGSTOP)

    def unfreeze(self, name):
        self.running[name].send_signal(signal.SIGCONT)

    def open(self, name="vm1", rank=0, **options):
        host = Host(name, LOGIN, lambda: rank, Records(), Metrics())._replace(**options)
        gateway = open_gateway("g", self.group, host)
        gateway.records = host.records
        gateway.metrics = host.metrics
        gateway.start()
        return gateway

    @asynccontextmanager
    async def gateways(self, number=1, **options):
        """Start gateways vm1, vm2 and so on, and create the table ``w``."""
        opened = [self.open(f"vm{i + 1}", i, **options) for i in range(number)]
        try:
            created = await run(opened[0], CREATE, "write")
            assert isinstance(created, Reply), created
            yield opened
        finally:
            await asyncio.gather(*(g.stop(deadline_in(0.5)) for g in opened))

    async def command(self, name, sql):
        """Run a statement on a member without a gateway."""
        connection = await asyncmy.connect(
            host="127.0.0.1", port=self.real_ports[int(name[1]) - 1],
            user="proxy", password="proxy", database="demo", autocommit=True,
        )  # fmt: skip
        try:
            async with connection.cursor() as cursor:
                await cursor.execute(sql)
                return await cursor.fetchall()
        finally:
            connection.close()


CREATE = "CREATE TABLE IF NOT EXISTS w (id INTEGER PRIMARY KEY AUTO_INCREMENT, n INT)"


async def run(gateway, sql, kind, timeout_s=8.0, session=None, **fields):
    """Run one statement; return the reply with ``rows`` as a list, or the refusal.

    ``fields`` are further fields of the request. Without ``session`` the statement runs
    in a new session.
    """
    request = Request(
        session_id=session or f"s{next(_sessions)}", account="a", route="r",
        group="g", sql=sql, kind=StatementKind(kind), floor=None, max_age_ms=None,
        idempotency_key=None, in_transaction=False, deadline=deadline_in(timeout_s),
    )  # fmt: skip
    outcome = await gateway.execute(request._replace(**fields))
    if outcome.is_err():
        return outcome.err_value
    reply = outcome.ok_value
    if reply.rows is not None:
        reply = reply._replace(
            rows=[row async for batch in reply.rows for row in batch]
        )
    return reply


async def wait_until(condition, timeout_s=8.0):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition was never met"
        await asyncio.sleep(0.01)


class Write(NamedTuple):
    """Answer to one write, when it arrived and how long the write waited for it."""

    at: float
    waited_s: float
    answer: Reply | Refusal


class History:
    """Inserts numbered rows and checks which of them the group has kept."""

    def __init__(self):
        self._numbers = count(1)
        self.writes = {}

    def start_at(self, number):
        self._numbers = count(number)

    async def write(self, gateway, timeout_s=8.0, keyed=False):
        number = next(self._numbers)
        sql = f"INSERT INTO w (n) VALUES ({number})"
        key = f"key-{number}" if keyed else None
        started = time.monotonic()
        answer = await run(gateway, sql, "write", timeout_s, idempotency_key=key)
        now = time.monotonic()
        self.writes[number] = Write(now, now - started, answer)
        return answer

    async def write_until(self, gateway, stop, **options):
        while not stop.is_set():
            await self.write(gateway, **options)
            await asyncio.sleep(0.002)

    @asynccontextmanager
    async def load(self, gateways, writers=3, **options):
        """Write in the background during the context."""
        stop = asyncio.Event()
        tasks = [
            asyncio.create_task(self.write_until(gateway, stop, **options))
            for gateway in gateways
            for _ in range(writers)
        ]
        try:
            yield
        finally:
            stop.set()
            await asyncio.gather(*tasks)

    def numbers(self, outcome):
        """Return the numbers of the writes with this outcome (None: acknowledged)."""
        return {
            number
            for number, write in self.writes.items()
            if (write.answer.outcome if isinstance(write.answer, Refusal) else None)
            == outcome
        }

    async def check(self, gateway):
        """Check that acknowledged rows exist once and refused rows do not exist.

        Rows of writes with an unknown outcome may exist, but only once.
        """
        answer = await run(gateway, "SELECT n FROM w", "read")
        assert isinstance(answer, Reply), answer
        found = [int(row[0]) for row in answer.rows if int(row[0]) in self.writes]
        repeated = {n: self.writes[n] for n in found if found.count(n) > 1}
        assert not repeated, f"a write ran twice: {repeated}"
        assert self.numbers(None) <= set(found), "an acknowledged write is lost"
        assert not self.numbers(Outcome.NOT_RUN) & set(found), "a refused write has run"
        assert not self.numbers(Outcome.FAILED)
        return found
