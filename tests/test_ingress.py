"""Bounded reader and budgets of callers, without a network."""

import asyncio
import os
from itertools import pairwise

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from citronwood.errors import MessageError
from citronwood.ingress.acceptor import listen
from citronwood.ingress.budget import (
    FREE_REFUSALS,
    HANDLING_COPIES,
    MAX_TRACKED_ADDRESSES,
    MIB,
    MIN_IDLE_S,
    REFUSAL_DELAY_S,
    REFUSAL_WINDOW_S,
    ByteBudget,
    ConnectionBudget,
    HandlingBudget,
    Limits,
    RefusalPacer,
    Refused,
    derive_limits,
    find_misfits,
)
from citronwood.ingress.messages import MessageBuffer
from citronwood.ingress.stream import (
    ANSWER_TIMEOUT_S,
    MESSAGE_TIMEOUT_S,
    TURN_MESSAGES,
    CallerStream,
    Ingress,
)
from citronwood.metrics import Metrics
from tests.fleet_helpers import eventually

LIMIT = 64
LINES = st.lists(
    st.text(alphabet="ab\r\n ", max_size=LIMIT).map(lambda text: text.encode()),
    max_size=12,
)


def read_all(pieces):
    """Feed pieces, taking all messages after each; None is an oversized one."""
    buffer = MessageBuffer(LIMIT)
    messages, peak = [], 0
    for piece in pieces:
        buffer.feed(piece)
        peak = max(peak, len(buffer) - len(piece))
        try:
            while (message := buffer.take()) is not None:
                messages.append(message)
        except MessageError:
            return [*messages, None], peak
    return messages, peak


@given(data=st.binary(max_size=600) | LINES.map(b"\r\n".join), cuts=st.data())
@settings(deadline=None)
def test_any_split_of_the_bytes_gives_the_same_messages(data, cuts):
    # Guards against an end of a message that is missed because it arrives in two
    # pieces, and against a buffer that grows beyond one message.
    places = sorted(cuts.draw(st.sets(st.integers(0, len(data)))))
    bounds = [0, *places, len(data)]
    pieces = [data[a:b] for a, b in pairwise(bounds)]
    expected = []
    *lines, rest = data.split(b"\r\n")
    for line in lines:
        expected.append(line.decode("latin-1") if len(line) <= LIMIT else None)
        if expected[-1] is None:
            break
    # The CR at the end may belong to the end of a message.
    if None not in expected and len(rest) - 1 > LIMIT:
        expected.append(None)
    messages, peak = read_all(pieces)
    assert messages == expected
    assert peak <= LIMIT + 1


@given(
    sizes=st.lists(st.integers(0, 400), max_size=30),
    cuts=st.lists(st.integers(1, 50), min_size=1),
)
def test_pipelined_messages_are_taken_one_by_one(sizes, cuts):
    # Guards against a message that is lost or repeated when others wait behind it.
    buffer = MessageBuffer(400)
    data = b"".join(b"x" * size + b"\r\n" for size in sizes)
    position = 0
    for index in range(len(data)):
        step = cuts[index % len(cuts)]
        buffer.feed(memoryview(data)[position : position + step])
        position += step
    taken = []
    while buffer.first_size >= 0:
        taken.append(len(buffer.take()))
    assert taken == sizes
    assert len(buffer) == 0


@given(
    st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 50)), max_size=40),
    st.integers(1, 100),
)
def test_bytes_are_counted_by_connection(changes, limit):
    # Guards against a total that drifts, so that reading stays paused for good.
    budget, held = ByteBudget(limit), {}
    for key, count in changes:
        budget.set(key, count)
        held[key] = count
    assert budget.total == sum(held.values())
    closed = budget.find_largest(limit)
    assert sum(n for key, n in held.items() if key not in closed) <= limit
    for key in held:
        budget.set(key, 0)
    assert budget.total == 0


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 40)), max_size=60))
def test_long_statements_fit_the_limit_and_none_waits_for_ever(steps):
    limit = 100 * HANDLING_COPIES
    budget, running, waiting = HandlingBudget(limit), set(), []
    for key, size in steps:
        if key in running or key in waiting:
            admitted = budget.release(key)
            running.discard(key)
            waiting = [other for other in waiting if other not in (key, *admitted)]
            running.update(admitted)
        elif budget.take(key, size):
            running.add(key)
        else:
            waiting.append(key)
        assert budget.total <= limit
        assert running or not waiting
    while running:
        running.update(budget.release(running.pop()))
    assert budget.total == 0


def test_statement_larger_than_the_limit_is_admitted_alone():
    budget = HandlingBudget(10)
    assert budget.take("a", 100)
    assert not budget.take("b", 1)
    assert budget.release("a") == ["b"]


def test_connection_idle_longest_is_closed_for_a_new_one():
    # Guards against the close of a session in a transaction, and of one that has just
    # been opened.
    budget = ConnectionBudget(3)
    for key in "abc":
        assert budget.admit(0.0) is None
        budget.begin(key, 0.0)
        budget.set_started(key)
    budget.set_idle("b", 1.0)
    budget.set_idle("a", 2.0)
    assert budget.admit(1.5) is Refused.REFUSED
    assert budget.admit(1.0 + MIN_IDLE_S) == "b"
    budget.remove("b")
    assert budget.open == 3
    budget.set_busy("a")
    assert budget.admit(100.0) is Refused.REFUSED


def test_connection_without_a_first_message_is_closed_before_sessions():
    budget = ConnectionBudget(2)
    for key in "ab":
        budget.admit(0.0)
        budget.begin(key, 5.0)
    budget.set_started("a")
    budget.set_idle("a", 0.0)
    assert budget.admit(5.0 + MIN_IDLE_S) == "b"


def test_refusals_are_delayed_after_many_to_one_address():
    pacer = RefusalPacer()
    delays = {pacer.delay_s("a", 0.1 * n) for n in range(FREE_REFUSALS)}
    assert delays == {0.0}
    assert pacer.delay_s("a", 3.0) == REFUSAL_DELAY_S
    assert pacer.delay_s("b", 3.0) == 0.0
    assert pacer.delay_s("a", 3.0 + REFUSAL_WINDOW_S) == 0.0
    for number in range(MAX_TRACKED_ADDRESSES + 5):
        pacer.delay_s(f"c{number}", 20.0)
    assert len(pacer._refused_at) == MAX_TRACKED_ADDRESSES


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"), [(152, 3080), (552, 8192), (0, 0), (152, 600)]
)
def test_limits_fit_the_memory_and_the_descriptors(memory_mb, descriptors):
    limits = derive_limits(memory_mb, descriptors)
    parts = limits.buffered_bytes + limits.handled_bytes + limits.unsent_bytes
    assert limits.handled_bytes >= HANDLING_COPIES * MIB
    if memory_mb:
        assert parts < (memory_mb - 80) * MIB
    if descriptors:
        assert 10 * (limits.connections + limits.peers) <= 7 * (descriptors - 200)


def test_settings_that_do_not_fit_are_found():
    assert find_misfits(552, 8192) == []
    assert find_misfits(152, 3080) == []
    assert any("memory of 90 MB" in text for text in find_misfits(90, 3080))
    assert any("240 connections" in text for text in find_misfits(552, 600))
    assert any("the system allows" in text for text in find_misfits(552, 1 << 24))


class Crowd:
    """Listener with small limits whose statements answer with ``answer``."""

    def __init__(self, **limits):
        defaults = Limits(50, 50, 1 << 20, 1 << 24, 1 << 20)
        self.metrics = Metrics()
        self.ingress = Ingress(defaults._replace(**limits), self.metrics)
        self.streams = []
        self.messages = 0
        self.answer = b"ok\r\n"

    async def __aenter__(self):
        self.acceptor = await listen(
            "127.0.0.1", 0, 64, lambda: CallerStream(self.ingress, self._serve, MIB),
            self.ingress.connections, self.ingress.evict, self.metrics, "callers",
        )  # fmt: skip
        return self

    async def __aexit__(self, *_):
        self.acceptor.close()

    async def _serve(self, stream):
        self.streams.append(stream)
        try:
            while await stream.read_message() is not None:
                self.messages += 1
                stream.write(self.answer)
                await stream.drain()
        except OSError:
            return

    async def connect(self, data=b""):
        reader, writer = await asyncio.open_connection(*self.acceptor.address)
        writer.write(data)
        return reader, writer

    def closed(self, reason):
        return self.metrics.counters.get(f"callers.closed.{reason}", 0)


@pytest.fixture(params=[asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def run(request):
    return request.param


def test_message_that_does_not_end_is_given_up_at_its_deadline(run):
    async def scenario():
        async with Crowd() as crowd:
            reader, writer = await crowd.connect(b"a\r\nQUER")
            await reader.readline()
            await eventually(lambda: crowd.ingress.message_deadlines)
            now = next(iter(crowd.ingress.message_deadlines.values()))
            crowd.ingress.check(now - MESSAGE_TIMEOUT_S / 2)
            assert crowd.closed("slow_message") == 0
            crowd.ingress.check(now)
            assert crowd.closed("slow_message") == 1
            writer.close()

    run(scenario())


def test_answer_that_is_not_read_is_given_up_at_its_deadline(run):
    async def scenario():
        async with Crowd(unsent_bytes=1 << 26) as crowd:
            crowd.answer = b"v" * (16 << 20)
            _, writer = await crowd.connect(b"a\r\n")
            await eventually(lambda: crowd.ingress.answer_deadlines)
            crowd.ingress.check(asyncio.get_running_loop().time())
            assert crowd.closed("slow_reader") == 0
            now = next(iter(crowd.ingress.answer_deadlines.values()))
            crowd.ingress.check(now + ANSWER_TIMEOUT_S)
            assert crowd.closed("slow_reader") == 1
            await eventually(lambda: crowd.ingress.connections.open == 0)
            assert crowd.ingress.unsent.total == 0
            writer.close()

    run(scenario())


def test_connection_that_holds_the_most_is_closed_when_pausing_does_not_help(run):
    async def scenario():
        async with Crowd(buffered_bytes=300_000) as crowd:
            _, small = await crowd.connect(b"v" * 10_000)
            _, large = await crowd.connect(b"v" * 900_000)
            await eventually(lambda: crowd.ingress.buffered.is_exceeded)
            crowd.ingress.check(0.0)
            assert crowd.closed("buffered") == 0
            crowd.ingress.check(1.0)
            assert crowd.closed("buffered") == 1
            await eventually(lambda: crowd.ingress.connections.open == 1)
            # The other connection goes on.
            small.write(b"\r\n" * 2)
            await eventually(lambda: crowd.ingress.buffered.total == 0)
            for writer in (small, large):
                writer.close()

    run(scenario())


def test_all_bytes_are_released_with_the_connections(run):
    # Guards against counts that stay, so that later callers are closed for nothing.
    async def scenario():
        async with Crowd() as crowd:
            opened = [
                await crowd.connect(b"v" * size + os.urandom(8).hex().encode() + end)
                for size in (10, 5_000, 200_000)
                for end in (b"", b"\r\n", b"\r\nw" * 3000)
            ]
            await eventually(lambda: len(crowd.streams) == len(opened))
            for _, writer in opened:
                writer.transport.abort()
            await eventually(lambda: crowd.ingress.connections.open == 0)
            ingress = crowd.ingress
            totals = [ingress.buffered.total, ingress.handled.total]
            assert [*totals, ingress.unsent.total] == [0, 0, 0]
            assert not ingress.message_deadlines
            assert not ingress.answer_deadlines

    run(scenario())


def test_pipelined_messages_do_not_hold_up_other_connections(run):
    # Guards against a process that does nothing else while it handles 20,000 messages
    # of one caller which need no server.
    async def scenario():
        async with Crowd() as crowd:
            crowd.answer = b""
            _, writer = await crowd.connect(b"\r\n" * 20_000)
            most = 0
            while crowd.messages < 20_000:
                before = crowd.messages
                await asyncio.sleep(0)
                most = max(most, crowd.messages - before)
            assert most <= 10 * TURN_MESSAGES
            writer.close()

    run(scenario())
