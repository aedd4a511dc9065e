"""Protocol details that drivers depend on, checked with raw packets."""

import asyncio
import datetime
import socket
import ssl
import struct

import aiomysql
import asyncmy
import pymysql
import pytest
import uvloop
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from citronwood.backend.api import Column, Reply
from citronwood.deadline import deadline_in
from citronwood.mysql import connection as connection_module
from citronwood.mysql import responses
from citronwood.mysql.results import binary_row, result_column
from tests.callers import (
    CLIENT_FLAGS,
    ID_COLUMN,
    RawClient,
    error_code,
    login_packet,
    open_raw,
    running_entry,
)
from tests.fleet_helpers import eventually
from tests.test_session import connect, run

READ = "SELECT id FROM t"


def lenenc(data):
    assert len(data) < 251
    return bytes((len(data),)) + data


PARAMETERS = [
    # type, flags, wire format, literal
    (1, 0, struct.pack("<b", -5), " -5"),
    (1, 0x80, b"\xfb", "251"),
    (2, 0, struct.pack("<h", -300), " -300"),
    (3, 0x80, struct.pack("<I", 1 << 31), "2147483648"),
    (8, 0, struct.pack("<q", -(1 << 63)), " -9223372036854775808"),
    (8, 0x80, struct.pack("<Q", (1 << 64) - 1), "18446744073709551615"),
    (4, 0, struct.pack("<f", 1.5), "1.5e0"),
    (5, 0, struct.pack("<d", -0.1), " -0.1e0"),
    (253, 0, lenenc("O'Hé\\".encode()), "'O''Hé\\\\'"),
    (254, 0, lenenc(b"\xff\x00'"), "x'ff0027'"),
    (252, 0, lenenc(b"abc"), "x'616263'"),
    (246, 0, lenenc(b"-12.50"), " -12.50"),
    (10, 0, struct.pack("<BHBB", 4, 2024, 2, 29), "'2024-02-29'"),
    (12, 0, b"\0", "'0000-00-00'"),
    (
        12,
        0,
        struct.pack("<BHBBBBBI", 11, 2024, 1, 2, 3, 4, 5, 60),
        "'2024-01-02 03:04:05.000060'",
    ),
    (11, 0, struct.pack("<BBIBBB", 8, 1, 2, 3, 4, 5), "'-51:04:05'"),
    (11, 0, b"\0", "'00:00:00'"),
    (6, 0, b"", "NULL"),
]


def test_parameters_of_every_type_become_literals():
    # Guards against lost quotes, bytes, dates and decimals, which are faults of the
    # protocol library.
    async def scenario(entry):
        client = await open_raw(entry.port)
        placeholders = ", ".join(["?"] * (len(PARAMETERS) + 1))
        sql = f"INSERT INTO t VALUES ({placeholders}, '?', `?`) -- ?"
        statement, count = await client.prepare(sql)
        assert count == len(PARAMETERS) + 1
        types = [(p[0], p[1]) for p in PARAMETERS] + [(253, 0)]
        values = [p[2] for p in PARAMETERS]
        literals = ", ".join([p[3] for p in PARAMETERS] + ["NULL"])
        for new_params_bound in (True, False):
            # Types are sent with the first execution only.
            answer = await client.execute(
                statement, types, values, [count - 1], new_params_bound
            )
            assert answer[:3] == b"\0\x01\x07"
        expected = f"INSERT INTO t VALUES ({literals}, '?', `?`) -- ?"
        assert entry.executor.executed_sql == [expected] * 2

    run(scenario)


def test_idempotency_key_as_query_attribute():
    async def scenario(entry):
        # With CLIENT_QUERY_ATTRIBUTES, each query starts with its attributes.
        client = await open_raw(entry.port, CLIENT_FLAGS | 1 << 27)
        name = b"citronwood_idempotency_key"
        attribute = b"\x01\x01\0\x01\xfd\0" + lenenc(name) + lenenc(b"key-1")
        sql = b"INSERT INTO t VALUES (1)"
        await client.command(0x03, attribute + sql)
        await client.command(0x03, b"\0\x01" + sql)
        keys = [request.idempotency_key for request in entry.executor.requests]
        assert keys == ["key-1", None]
        assert entry.executor.executed_sql == [sql.decode()] * 2

    run(scenario)


def test_client_chooses_between_found_and_changed_rows():
    # An ORM reports a lost update if fewer rows are counted than it addressed.
    async def scenario(entry):
        reply = Reply((), None, 3, 0, None, False, "m1", False, changed_rows=1)
        entry.executor.outcomes["UPDATE t SET a = 1"] = reply
        # The flag 2 is CLIENT_FOUND_ROWS.
        for flags, count in ((CLIENT_FLAGS, 1), (CLIENT_FLAGS | 2, 3)):
            client = await open_raw(entry.port, flags)
            assert (await query(client, "UPDATE t SET a = 1"))[1] == count

    run(scenario)


def test_long_data_and_reset():
    async def scenario(entry):
        client = await open_raw(entry.port)
        statement, _ = await client.prepare("INSERT INTO t VALUES (?)")
        chunk = struct.pack("<IH", statement, 0) + b"a'" * 3
        await client.send(b"\x18" + chunk)
        await client.send(b"\x18" + chunk)
        await client.execute(statement, [(253, 0)], [])
        assert entry.executor.executed_sql == [
            "INSERT INTO t VALUES ('" + "a''" * 6 + "')"
        ]
        # Together more than MAX_PACKET_BYTES.
        for _ in range(30):
            await client.send(b"\x18" + struct.pack("<IH", statement, 0) + b"x" * 50000)
        assert error_code(await client.execute(statement, [(253, 0)], [])) == 1153
        assert (await client.command(0x1A, struct.pack("<I", statement)))[0] == 0
        await client.execute(statement, [(253, 0)], [lenenc(b"z")])
        assert entry.executor.executed_sql[-1] == "INSERT INTO t VALUES ('z')"

    run(scenario)


@pytest.mark.parametrize(
    ("type_code", "text", "wire"),
    [
        (1, b"-3", b"\xfd"),
        (1, b"200", b"\xc8"),
        (8, b"18446744073709551615", b"\xff" * 8),
        (3, b"-1", b"\xff" * 4),
        (5, b"0.5", struct.pack("<d", 0.5)),
        (246, b"1.50", b"\x041.50"),
        (252, b"\xff\0", b"\x02\xff\0"),
        (10, b"2024-02-29", struct.pack("<BHBB", 4, 2024, 2, 29)),
        (12, b"0000-00-00 00:00:00", struct.pack("<BHBB", 4, 0, 0, 0)),
        (
            12,
            b"2024-01-02 03:04:05.6",
            struct.pack("<BHBBBBBI", 11, 2024, 1, 2, 3, 4, 5, 600000),
        ),
        (11, b"-51:04:05", struct.pack("<BBIBBB", 8, 1, 2, 3, 4, 5)),
    ],
)
def test_value_in_the_binary_protocol(type_code, text, wire):
    column = Column("a", type_code, False)
    encoders = [result_column(column)] * 2
    assert binary_row((text, None), (column,) * 2, encoders) == b"\0\x08" + wire


def test_prepared_read_returns_rows():
    async def scenario(entry):
        client = await open_raw(entry.port)
        statement, _ = await client.prepare(READ)
        rows = await client.result_rows(await client.execute(statement, [], []))
        assert rows == [b"\0\0" + struct.pack("<q", 1) + b"\x03Ito"]

    run(scenario)


def test_long_statement_is_refused_and_the_connection_stays_usable():
    async def scenario(entry):
        session_client = await connect(entry)
        for size in (1 << 20, (1 << 24) + 100, 3 << 24):
            assert (
                await session_client.error_code("SELECT '" + "x" * size + "'") == 1153
            )
        await session_client(READ)
        client = await open_raw(entry.port)
        # An unsupported command leaves the connection usable too.
        assert error_code(await client.command(0x0D)) == 1047
        assert (await client.command(0x0E))[0] == 0

    run(scenario)


def test_change_user_checks_the_new_key():
    async def scenario(entry):
        client = await open_raw(entry.port)
        change = b"\x11anonymous\0\0open\0\xff\0mysql_native_password\0"
        for user, password, database, code in (
            (b"anonymous", b"", b"open", None),
            (b"demo", b"", b"demo", 1045),
        ):
            payload = change.replace(b"anonymous", user).replace(b"open", database)
            await client.send(payload)
            assert (await client.read())[0] == 0xFE
            await client.send(password, 2)
            answer = await client.read()
            if code is None:
                assert answer[0] == 0
            else:
                assert error_code(answer) == code
        # After a refused change of user, the old account must not stay logged in.
        assert await client.reader.read() == b""

    run(scenario)


def test_reset_connection_rolls_back_and_clears_variables():
    async def scenario(entry):
        client = await open_raw(entry.port)
        await client.command(0x03, b"BEGIN")
        await client.command(0x03, b"SET @a = 1")
        answer = await client.command(0x1F)
        # Only the flag for autocommit is set: no transaction is open.
        assert struct.unpack("<H", answer[3:5])[0] == 2
        assert len(entry.executor.ended_sessions) == 1
        count = await client.command(0x03, b"SELECT @a")
        assert await client.result_rows(count) == [b"\xfb"]

    run(scenario)


def test_status_flags_follow_the_transaction():
    async def scenario(entry):
        client = await open_raw(entry.port)
        flags = []
        for sql in (b"BEGIN", b"COMMIT", b"SET autocommit = 0", b"SET autocommit = 1"):
            answer = await client.command(0x03, sql)
            flags.append(struct.unpack("<H", answer[3:5])[0])
        # 1 stands for an open transaction, 2 for autocommit.
        assert flags == [3, 2, 0, 2]

    run(scenario)


@pytest.mark.parametrize("flags", [CLIENT_FLAGS, CLIENT_FLAGS | 1 << 24])
def test_result_packets_have_sequence_numbers_and_status_flags(flags):
    # Guards against a cached header with the status of another transaction state, and
    # against sequence numbers that do not wrap to zero after 255.
    wide = "SELECT wide FROM t"
    columns = tuple(Column(f"c{number}", 253, False) for number in range(300))
    deprecates_eof = bool(flags & 1 << 24)  # CLIENT_DEPRECATE_EOF

    async def scenario(entry):
        client = await open_raw(entry.port, flags)

        async def read_status_flags(sql):
            await client.send(b"\x03" + sql.encode())
            status_flags, sequence = [], 1
            while len(status_flags) < (1 if deprecates_eof else 2):
                header = await client.reader.readexactly(4)
                assert header[3] == sequence & 0xFF
                sequence += 1
                packet = await client.reader.readexactly(header[0] | header[1] << 8)
                if packet[0] == 0xFE:
                    status_flags.append(packet[3])
            return status_flags, sequence

        for transaction, status in ((False, 2), (True, 3), (False, 2)):
            if transaction:
                await client.command(0x03, b"BEGIN")
            wide_reply = Reply(
                columns,
                entry.executor.rows([[(b"x",) * 300]]),
                0,
                0,
                None,
                transaction,
                "m1",
                True,
            )
            entry.executor.outcomes[wide] = wide_reply
            status_flags, sequence = await read_status_flags(wide)
            assert status_flags == [status] * len(status_flags)
            # Column count, definitions, one row, and one or two end packets.
            assert sequence - 1 == 1 + 300 + 1 + len(status_flags)
            assert set((await read_status_flags(READ))[0]) == {status}
            if transaction:
                await client.command(0x03, b"COMMIT")

    run(scenario)


def test_result_whose_header_fails_is_closed():
    """Guards against rows, and their backend connection, that are never closed."""

    class Rows:
        closed = False

        def __aiter__(self):
            return self

        async def __anext__(self):
            raise AssertionError("no row is read")

        async def aclose(self):
            self.closed = True

    async def scenario():
        rows = Rows()
        unencodable = ID_COLUMN._replace(name="no text \udcaf")
        async with running_entry() as entry:
            entry.executor.outcomes[READ] = Reply(
                (unencodable,), rows, 0, 0, None, False, "m1", True
            )
            client = await open_raw(entry.port)
            assert (await client.command(0x03, READ.encode()))[0] == 0xFF
            assert rows.closed
            client.close()

    asyncio.run(scenario())


def test_slow_client_limits_buffered_rows():
    # Without backpressure the VM would buffer 100,000 rows.
    produced = 0

    async def produce_rows():
        nonlocal produced
        for _ in range(200):
            produced += 500
            yield [(b"x" * 100,)] * 500

    async def scenario(entry):
        rows = produce_rows()
        reply = Reply((ID_COLUMN,), rows, 0, 0, None, False, "m1", True)
        entry.executor.outcomes[READ] = reply
        client = await open_raw(entry.port)
        await client.send(b"\x03" + READ.encode())
        # The client's stream reader buffers at most twice its limit of 64 KiB. The rest
        # of the 60,000 rows, about 6 MB, allows for the VM's and the sockets' buffers.
        await asyncio.sleep(0.5)
        assert produced < 60_000
        received = await client.result_rows(await client.read())
        assert len(received) == 100_000

    run(scenario)


def test_client_that_never_reads_is_disconnected(monkeypatch):
    # An unfinished result occupies a backend connection.
    monkeypatch.setattr(responses, "SEND_TIMEOUT_S", 0.3)

    async def scenario(entry):
        batches = [[(b"x" * 1000,)] * 500] * 100
        rows = entry.executor.rows(batches)
        entry.executor.outcomes[READ] = Reply(
            (ID_COLUMN,), rows, 0, 0, None, False, "m1", True
        )
        client = await open_raw(entry.port)
        await client.send(b"\x03" + READ.encode())
        await asyncio.sleep(1)
        assert (entry.executor.closed_results, entry.service.connections) == (1, 0)

    run(scenario)


def test_client_that_disconnects_during_a_result_releases_it():
    async def scenario(entry):
        batches = [[(b"x" * 1000,)] * 500] * 100
        entry.executor.outcomes[READ] = Reply(
            (ID_COLUMN,), entry.executor.rows(batches), 0, 0, None, False, "m1", True
        )
        client = await open_raw(entry.port)
        await client.send(b"\x03" + READ.encode())
        await client.read()
        client.writer.transport.abort()
        await asyncio.sleep(0.3)
        assert (entry.executor.closed_results, entry.service.connections) == (1, 0)
        assert len(entry.executor.ended_sessions) == 1

    run(scenario)


def test_login_that_never_finishes_is_closed(monkeypatch):
    monkeypatch.setattr(connection_module, "LOGIN_TIMEOUT_S", 0.2)

    async def scenario(entry):
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        writer.write(login_packet()[:20])
        await asyncio.wait_for(reader.read(), 2)
        assert await asyncio.wait_for(reader.read(), 2) == b""

    run(scenario)


def test_wrong_sequence_number_closes_the_connection():
    # Guards against the fault of the protocol library, which goes on reading and takes
    # the payload for packet headers.
    async def scenario(entry):
        client = await open_raw(entry.port)
        await client.send(b"\x03" + READ.encode(), sequence=5)
        assert error_code(await client.read()) == 1835
        assert await client.reader.read() == b""
        assert entry.executor.requests == []

    run(scenario)


def server_context(tmp_path):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "localhost")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    path = tmp_path / "server.pem"
    encoding = serialization.Encoding.PEM
    path.write_bytes(
        certificate.public_bytes(encoding)
        + key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(path)
    return context


def client_context():
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_tls(tmp_path, runner):
    # Uses PyMySQL, because asyncmy's upgrade to TLS fails in the client under uvloop.
    def call(port, **options):
        login = {"user": "demo", "password": "demo-key", "database": "demo"}
        connection = pymysql.connect(host="127.0.0.1", port=port, **login, **options)
        with connection.cursor() as cursor:
            cursor.execute(READ)
            rows = cursor.fetchall()
        connection.close()
        return rows

    async def scenario(entry):
        context = client_context()
        # Guards against a race in the upgrade to TLS that lost the first TLS message.
        for _ in range(50):
            rows = await asyncio.to_thread(call, entry.port, ssl=context)
            assert rows == ((1, "Ito"),)
        # Clients without TLS are still served.
        assert await asyncio.to_thread(call, entry.port) == ((1, "Ito"),)

    run(scenario, runner, ssl=server_context(tmp_path))


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_tls_message_that_arrives_with_the_request_is_not_lost(tmp_path, runner):
    # Clients do not wait between the request for TLS and their first TLS message.
    async def scenario(entry):
        incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        tls = client_context().wrap_bio(incoming, outgoing)
        with pytest.raises(ssl.SSLWantReadError):
            tls.do_handshake()
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        client = RawClient(reader, writer)
        await client.read()
        request = login_packet()[:32]
        # 0x800 is CLIENT_SSL.
        request = struct.pack("<I", login_flags(request) | 0x800) + request[4:]
        writer.write(struct.pack("<I", 32 | 1 << 24) + request + outgoing.read())
        while True:
            incoming.write(await asyncio.wait_for(reader.read(65536), 3))
            try:
                tls.do_handshake()
                break
            except ssl.SSLWantReadError:
                writer.write(outgoing.read())

    run(scenario, runner, ssl=server_context(tmp_path))


def login_flags(packet):
    return struct.unpack("<I", packet[:4])[0]


async def query(client, sql):
    """Return the rows of a result, or else the OK or error packet."""
    answer = await client.command(0x03, sql.encode())
    is_result = answer[0] not in (0x00, 0xFF)
    return await client.result_rows(answer) if is_result else answer


async def error_before_close(client, sql):
    """Return the error of a statement and the bytes until the connection closes."""
    code = error_code(await query(client, sql))
    return code, await client.reader.read()


def test_many_clients_can_connect_at_once():
    # Guards against clients that wait for seconds, or forever, when all clients of a VM
    # that has failed reconnect at once.
    async def scenario(entry):
        # The event loop accepts none of them until all have connected.
        client_sockets = [
            socket.create_connection(("127.0.0.1", entry.port), timeout=1.0)
            for _ in range(500)
        ]
        await eventually(lambda: entry.service.connections == len(client_sockets))
        for client_socket in client_sockets:
            client_socket.close()

    run(scenario)


def test_drain_finishes_running_statements_and_transactions():
    async def scenario(entry):
        idle, busy, transaction_client = [await open_raw(entry.port) for _ in range(3)]
        await query(transaction_client, "BEGIN")
        gate = entry.executor.blocked_until[READ] = asyncio.Event()
        statement = asyncio.create_task(query(busy, READ))
        await asyncio.sleep(0.1)
        draining = asyncio.create_task(entry.service.drain(deadline_in(5)))
        await asyncio.sleep(0.1)
        with pytest.raises(OSError):
            await asyncio.open_connection("127.0.0.1", entry.port)
        # The error says that the statement did not run; after a plain close the
        # outcome would be unknown.
        assert await error_before_close(idle, "INSERT INTO t VALUES (1)") == (1053, b"")
        await query(transaction_client, "INSERT INTO t VALUES (2)")
        gate.set()
        assert await statement == [b"\x011\x03Ito"]
        assert await error_before_close(busy, READ) == (1053, b"")
        await query(transaction_client, "COMMIT")
        assert await error_before_close(transaction_client, READ) == (1053, b"")
        for client in (idle, busy, transaction_client):
            client.close()
        await asyncio.wait_for(draining, 1)
        assert entry.service.connections == 0
        assert entry.executor.executed_sql == [
            "BEGIN",
            READ,
            "INSERT INTO t VALUES (2)",
            "COMMIT",
        ]

    run(scenario)


def test_drain_rolls_back_idle_transactions_at_the_deadline():
    async def scenario(entry):
        client, busy = await open_raw(entry.port), await open_raw(entry.port)
        await query(client, "BEGIN")
        gate = entry.executor.blocked_until[READ] = asyncio.Event()
        statement = asyncio.create_task(query(busy, READ))
        await asyncio.sleep(0.1)
        draining = asyncio.create_task(entry.service.drain(deadline_in(0.2)))
        await asyncio.sleep(0.4)
        assert await error_before_close(client, "COMMIT") == (1053, b"")
        # The deadline does not interrupt a running statement.
        assert not statement.done()
        gate.set()
        assert await statement == [b"\x011\x03Ito"]
        await draining
        assert len(entry.executor.ended_sessions) == 2

    run(scenario)


@pytest.mark.parametrize("driver", [asyncmy, aiomysql])
def test_driver_gets_an_error_for_a_statement_that_did_not_run(driver):
    async def scenario(entry):
        login = {"user": "demo", "password": "demo-key", "db": "demo"}
        connection = await driver.connect(host="127.0.0.1", port=entry.port, **login)
        draining = asyncio.create_task(entry.service.drain(deadline_in(0.1)))
        await asyncio.sleep(0.2)
        with pytest.raises(driver.OperationalError) as caught:
            async with connection.cursor() as cursor:
                await cursor.execute(READ)
        # asyncmy detects the closed connection before it sends the statement.
        assert caught.value.args[0] in (1053, 2006)
        assert entry.executor.requests == []
        connection.close()
        await draining

    run(scenario)
