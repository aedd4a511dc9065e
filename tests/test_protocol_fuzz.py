"""Malformed input from a client must not crash the process or affect other clients."""

import asyncio
import struct

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from mysql_mimic.types import Capabilities

from citronwood.mysql.packets import parse_change_user, parse_login
from tests.callers import login_packet, open_raw, running_entry

FUZZ = settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
FRAMED_PAYLOADS = st.binary(max_size=80).map(
    lambda payload: struct.pack("<I", len(payload)) + payload
)
COMMANDS = st.lists(
    st.tuples(
        st.sampled_from([0x00, 0x02, 0x03, 0x11, 0x16, 0x17, 0x18, 0x19, 0x1A, 0x1F]),
        st.binary(max_size=60),
    ).map(lambda command: bytes((command[0],)) + command[1]),
    max_size=8,
)
LOGINS = st.one_of(
    st.binary(max_size=200),
    FRAMED_PAYLOADS,
    st.tuples(st.integers(0, 120), st.binary(max_size=40)).map(
        lambda prefix_and_tail: (
            login_packet()[: prefix_and_tail[0]] + prefix_and_tail[1]
        )
    ),
)


async def check_other_clients(entry):
    client = await open_raw(entry.port)
    assert (await client.command(0x0E))[0] == 0
    client.close()


@FUZZ
@given(logins=st.lists(LOGINS, min_size=1, max_size=8))
def test_malformed_login(logins):
    async def scenario():
        async with running_entry() as entry:
            for data in logins:
                reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
                await reader.readexactly(4)
                writer.write(struct.pack("<I", len(data) | 1 << 24) + data)
                writer.write_eof()
                await asyncio.wait_for(reader.read(), 3)
                writer.close()
            await check_other_clients(entry)
            await asyncio.sleep(0)
            assert entry.executor.requests == []

    asyncio.run(scenario())


@FUZZ
@given(commands=COMMANDS, tail=st.binary(max_size=30))
def test_malformed_commands(commands, tail):
    async def scenario():
        async with running_entry() as entry:
            client = await open_raw(entry.port)
            await client.prepare("SELECT ?, ?")
            for command in commands:
                await client.send(command)
            client.writer.write(tail)
            client.writer.write_eof()
            await asyncio.wait_for(client.reader.read(), 3)
            client.close()
            await check_other_clients(entry)

    asyncio.run(scenario())


def test_error_that_quotes_invalid_text_is_answered():
    """Guards against a connection that breaks because its error cannot be encoded."""

    async def scenario():
        async with running_entry() as entry:
            client = await open_raw(entry.port)
            answer = await client.command(0x02, b"no\xaf")
            assert answer[0] == 0xFF
            assert b"no?" in answer
            assert (await client.command(0x0E))[0] == 0
            client.close()

    asyncio.run(scenario())


@FUZZ
@given(
    values=st.binary(max_size=60),
    types=st.lists(st.tuples(st.integers(0, 255), st.integers(0, 255)), max_size=3),
)
def test_malformed_parameters(values, types):
    async def scenario():
        async with running_entry() as entry:
            client = await open_raw(entry.port)
            statement, _ = await client.prepare("SELECT ?, ?")
            answer = await asyncio.wait_for(
                client.execute(statement, types, [values]), 3
            )
            if answer[0] not in (0x00, 0xFF):
                await client.result_rows(answer)
            assert (await client.command(0x0E))[0] == 0

    asyncio.run(scenario())


@given(
    st.binary(max_size=200)
    | st.binary(max_size=60).map(lambda suffix: b"\0" * 32 + suffix),
    st.integers(0, (1 << 32) - 1),
)
@example(b"\xff" * 32 + b"a\0\xfa", (1 << 32) - 1)
def test_parsers_terminate_on_any_input(data, capabilities):
    # Guards against the endless loop of the protocol library, which searched for a
    # terminating zero after a length that exceeded the data.
    for parse in (
        lambda: parse_login(Capabilities(capabilities), data),
        lambda: parse_change_user(data),
    ):
        try:
            parse()
        except Exception as error:
            assert type(error).__name__ == "MysqlError"
