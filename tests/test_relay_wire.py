"""Text protocol: parsing, encoding and lost answers."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citronwood.errors import (
    BackendUnavailableError,
    ConnectionLostError,
    MessageError,
)
from citronwood.platform.wire import connect as connect_server
from citronwood.platform.wire import (
    encode_answer,
    parse_position,
    parse_query,
    parse_start,
    read_line,
)
from citronwood.relay.model import Position
from citronwood.relay.statement import (
    Answer,
    Failure,
    Reason,
    TransactionState,
    Verb,
)
from tests.relay_standins import Group


@pytest.mark.parametrize(
    ("line", "verb", "name", "value"),
    [
        ("QUERY a1 BEGIN", Verb.BEGIN, "", ""),
        ("QUERY a1 BEGIN READ", Verb.BEGIN_READ_ONLY, "", ""),
        ("QUERY a1 COMMIT", Verb.COMMIT, "", ""),
        ("QUERY a1 READ x", Verb.READ, "", ""),
        ("QUERY a1 WRITE x some data", Verb.WRITE, "", ""),
        ("QUERY a1 SET zone a b", Verb.SET, "zone", "a b"),
        ("QUERY a1 PREPARE s1 WRITE q2c", Verb.PREPARE, "s1", "q2c"),
        ("QUERY a1 EXECUTE s1 x data", Verb.EXECUTE, "s1", "x data"),
        ("QUERY a1 DEALLOC s1", Verb.DEALLOCATE, "s1", ""),
    ],
)
def test_statements_are_parsed(line, verb, name, value):
    statement = parse_query(line)
    assert (statement.verb, statement.name, statement.value) == (verb, name, value)
    assert statement.text == line.removeprefix("QUERY a1 ")


@pytest.mark.parametrize(
    "line",
    [
        "QUERY - READ x",
        "QUERY a1 AFTER 3.1 READ x",
        "QUERY a1 STATUS",
        "QUERY a1 STEPDOWN 9",
        "QUERY a1 PAUSE 9",
        "QUERY a1 RESET",
        "QUERY a1 BEGIN WRITE",
        "QUERY a1 COMMIT now",
        "QUERY a1 READ ",
        "QUERY a1 READ x\nQUERY b2 WRITE x y",
        "QUERY a1 READ x\rQUERY b2 WRITE x y",
        "QUERY a1 WRITE x \0",
        "START shop",
        "",
    ],
)
def test_lines_that_callers_may_not_send_are_refused(line):
    # Guards against a second statement hidden in a line, and against statements that
    # only the relay may send to a server.
    with pytest.raises(MessageError):
        parse_query(line)


@given(st.text(st.characters(max_codepoint=255)))
def test_any_line_is_parsed_or_refused(line):
    try:
        statement = parse_query(line)
    except MessageError:
        return
    assert statement is None or statement.text in line


def test_start_needs_a_database():
    assert parse_start("START shop k1") == ("shop", "k1")
    assert parse_start("START shop") == ("shop", "")
    for line in ("START", "START ", "STOP shop", "START a b c"):
        with pytest.raises(MessageError):
            parse_start(line)


def test_positions_are_parsed():
    assert parse_position("3.12") == Position(3, 12)
    assert parse_position("-") is None
    with pytest.raises(MessageError):
        parse_position("x.1")


def test_answers_are_encoded():
    answer = Answer(("a", "b"), "sig", None, TransactionState.OPEN, Position(3, 4))
    assert encode_answer(answer) == b"ROW a\r\nROW b\r\nDONE sig\r\nREADY T 3.4\r\n"
    failure = Failure(Reason.OUTCOME_UNKNOWN, "lost\r\nREADY I -")
    encoded = encode_answer(Answer(failure=failure))
    assert encoded == b"ERROR UNKNOWN lost  READY I -\r\nREADY I -\r\n"


async def _read(data):
    reader = asyncio.StreamReader(limit=100)
    reader.feed_data(data)
    reader.feed_eof()
    return await read_line(reader)


def test_lines_that_are_too_long_or_incomplete():
    assert asyncio.run(_read(b"BYE\r\n")) == "BYE"
    assert asyncio.run(_read(b"BY")) is None
    with pytest.raises(MessageError):
        asyncio.run(_read(b"x" * 200 + b"\r\n"))


def test_lost_answer_makes_a_connection_unusable():
    # Guards against reading a late answer as that of the next statement.
    async def scenario():
        async with Group("orders") as group:
            server = group.servers[0]
            deadline = asyncio.get_running_loop().time() + 5
            connection = await connect_server(
                "127.0.0.1", server.port, "orders", "acme", server.id, deadline
            )
            server.answers_to_lose = 1
            with pytest.raises(ConnectionLostError) as lost:
                await connection.run("r1", "WRITE x 1", deadline)
            assert lost.value.sent
            assert not connection.is_open
            with pytest.raises(ConnectionLostError) as closed:
                await connection.run("r2", "WRITE x 2", deadline)
            assert not closed.value.sent

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("host", "port"),
    [("a" * 64, 1), ("a..b", 1), ("127.0.0.1", 65536), ("127.0.0.1", -1)],
)
def test_unusable_address_is_an_unavailable_server(host, port):
    # Guards against an error that ends the whole step in which a server is asked.
    async def scenario():
        deadline = asyncio.get_running_loop().time() + 1.0
        with pytest.raises(BackendUnavailableError):
            await connect_server(host, port, "orders", "-", "s1", deadline)

    asyncio.run(scenario())


@pytest.mark.parametrize("rounds", range(8))
def test_stopped_server_of_the_tests_answers_on_no_connection(rounds):
    # Guards against a stand-in that goes on answering on a connection which it had just
    # accepted when it was stopped: it was then promoted again and again, in vain.
    async def scenario():
        group = Group("orders")
        server = group.servers[0]
        await server.start()
        connect = asyncio.open_connection("127.0.0.1", server.port)
        connecting = asyncio.create_task(connect)
        for _ in range(rounds):
            await asyncio.sleep(0)
        await server.stop()
        with pytest.raises((OSError, asyncio.IncompleteReadError)):
            reader, writer = await connecting
            writer.write(b"START orders - orders-0\r\nQUERY - STATUS\r\n")
            await asyncio.wait_for(reader.readuntil(b"\r\n"), 5.0)

    asyncio.run(scenario())
