"""Client side of a VM with a fake executor, and a client that sends raw packets."""

import asyncio
import contextlib
import struct
from typing import NamedTuple

from result import Err, Ok

from citronwood.backend.api import Column, Position, Reply, StatementKind
from citronwood.config.keys import key_digest
from citronwood.config.model import Configuration
from citronwood.errors import Refusal
from citronwood.limits.api import Unlimited
from citronwood.metrics import Metrics
from citronwood.mysql.login_backoff import LoginBackoff
from citronwood.mysql.server import MysqlService
from citronwood.mysql.session import CallerSession, EntryServices
from citronwood.operator.records import Records
from tests.processes import free_port

SECRET = b"fleet secret"
ID_COLUMN = Column("id", 8, True)
NAME_COLUMN = Column("name", 253, False)


def configuration(**overrides):
    account = {"rate": 1000, "burst": 1000}
    document = {
        "version": 1,
        "accounts": {
            "demo": account | {"keys": {"k1": key_digest("demo-key")}},
            "other": account | {"keys": {"k1": key_digest("other-key")}},
        },
        "groups": {
            name: {"database": f"db_{name}", "members": {}} for name in ("g1", "g2")
        },
        "routes": {
            "demo": {"group": "g1"},
            "second": {"group": "g2", "max_read_age_ms": 500},
            "private": {"group": "g2", "accounts": ["other"]},
            "open": {"group": "g1", "open_to_all": True},
        },
    }
    return Configuration.model_validate(document | overrides)


class FakeConfig:
    def __init__(self):
        self.current = configuration()
        self.may_serve = True
        self.validation_age_ms = 0


class FakeExecutor:
    """Executor that records requests and returns canned replies.

    Transactions are only a flag, and reads return one row. ``outcomes`` maps SQL texts
    to a Refusal, an exception or a Reply; ``blocked_until`` maps them to events that
    their execution waits for.
    """

    def __init__(self):
        self.requests = []
        self.ended_sessions = []
        self.outcomes = {}
        self.blocked_until = {}
        self.lsn = 0
        self.closed_results = 0

    async def execute(self, request):
        self.requests.append(request)
        outcome = self.outcomes.get(request.sql)
        if isinstance(outcome, Exception):
            raise outcome
        if isinstance(outcome, Refusal):
            return Err(outcome)
        if request.sql in self.blocked_until:
            await self.blocked_until[request.sql].wait()
        if outcome is not None:
            return Ok(outcome)
        return Ok(self._reply(request))

    def _reply(self, request):
        kind = request.kind
        transaction_open = kind is StatementKind.BEGIN or (
            request.in_transaction
            and kind not in (StatementKind.COMMIT, StatementKind.ROLLBACK)
        )
        position = None
        if kind is StatementKind.COMMIT or (
            kind is StatementKind.WRITE and not request.in_transaction
        ):
            self.lsn += 1
            position = Position(3, self.lsn)
        if kind is StatementKind.READ:
            rows = self.rows([[(b"1", b"Ito")]])
            return Reply(
                (ID_COLUMN, NAME_COLUMN), rows, 0, 0, None, transaction_open, "m1", True
            )
        affected_rows = int(kind is StatementKind.WRITE)
        return Reply(
            (),
            None,
            affected_rows,
            7 * affected_rows,
            position,
            transaction_open,
            "m1",
            False,
        )

    async def rows(self, batches):
        try:
            for batch in batches:
                yield batch
        finally:
            self.closed_results += 1

    async def end_session(self, session_id):
        self.ended_sessions.append(session_id)

    @property
    def executed_sql(self):
        return [request.sql for request in self.requests]


class Entry(NamedTuple):
    service: MysqlService
    port: int
    executor: FakeExecutor
    config: FakeConfig
    services: EntryServices


@contextlib.asynccontextmanager
async def running_entry(executor=None, limiter=None, ssl=None):
    executor = executor or FakeExecutor()
    config = FakeConfig()
    services = EntryServices(
        config,
        executor,
        limiter or Unlimited(),
        Metrics(),
        Records(),
        SECRET,
        LoginBackoff(),
    )
    service = MysqlService(
        lambda _: CallerSession(services),
        ssl=ssl,
        address="127.0.0.1",
        port=free_port(),
    )
    service.set_loop(asyncio.get_running_loop())
    await service.start()
    try:
        yield Entry(service, service.port, executor, config, services)
    finally:
        service.server.close()
        for task in list(service._connections.values()):
            task.cancel()


class RawClient:
    """Client that sends raw packets, including some that drivers never send."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def send(self, payload, sequence=0):
        self.writer.write(struct.pack("<I", len(payload) | sequence << 24) + payload)
        await self.writer.drain()

    async def read(self):
        header = await self.reader.readexactly(4)
        return await self.reader.readexactly(int.from_bytes(header[:3], "little"))

    async def command(self, code, payload=b""):
        await self.send(bytes((code,)) + payload)
        return await self.read()

    async def prepare(self, sql):
        answer = await self.command(0x16, sql.encode())
        assert answer[0] == 0, answer
        statement_id, _, count = struct.unpack("<IHH", answer[1:9])
        for _ in range(count):
            await self.read()
        if count:
            await self.read()
        return statement_id, count

    async def execute(
        self, statement_id, types, values, nulls=(), new_params_bound=True
    ):
        bitmap = bytearray((len(types) + 7) // 8)
        for index in nulls:
            bitmap[index // 8] |= 1 << index % 8
        payload = struct.pack("<IBI", statement_id, 0, 1) + bytes(bitmap)
        payload += bytes((new_params_bound,))
        if new_params_bound:
            payload += b"".join(
                struct.pack("<BB", *type_and_flags) for type_and_flags in types
            )
        return await self.command(0x17, payload + b"".join(values))

    async def result_rows(self, count_packet):
        """Read the rest of a result after its column count; return the row packets."""
        for _ in range(count_packet[0]):
            await self.read()
        await self.read()
        rows = []
        while (packet := await self.read())[0] != 0xFE:
            rows.append(packet)
        return rows

    def close(self):
        self.writer.close()


def error_code(packet):
    assert packet[0] == 0xFF, packet
    return int.from_bytes(packet[1:3], "little")


# PROTOCOL_41, SECURE_CONNECTION, CONNECT_WITH_DB, PLUGIN_AUTH and LONG_PASSWORD.
CLIENT_FLAGS = 0x00000200 | 0x8000 | 0x8 | 0x80000 | 0x1


def login_packet(user=b"anonymous", database=b"open", flags=CLIENT_FLAGS):
    head = struct.pack("<IIB23x", flags, 1 << 24, 45)
    return head + user + b"\0\0" + database + b"\0mysql_native_password\0"


async def open_raw(port, flags=CLIENT_FLAGS):
    """Connect to the open route without a key."""
    client = RawClient(*await asyncio.open_connection("127.0.0.1", port))
    await client.read()
    await client.send(login_packet(flags=flags), 1)
    answer = await client.read()
    assert answer[0] == 0, answer
    return client
