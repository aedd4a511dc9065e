"""Choice of a gateway, retries and sessions of the router, with fake executors."""

import asyncio

import pytest
from result import Err, Ok

from citronwood.backend.api import Reply, Request, StatementKind
from citronwood.deadline import deadline_in
from citronwood.errors import ErrorCode, Outcome, Refusal
from citronwood.fleet.placement import choose_gateways
from citronwood.fleet.routing import BEGIN_ATTEMPT_TIMEOUT_S, GroupRouter
from citronwood.inner.messages import VmState

NOT_RUN = Refusal(ErrorCode.NOT_RUN, "not run")
UNKNOWN = Refusal(ErrorCode.OUTCOME_UNKNOWN, "unknown", Outcome.UNKNOWN)
OVERLOADED = Refusal(ErrorCode.OVERLOADED, "overloaded")
TRANSACTION_LOST = UNKNOWN._replace(transaction_lost=True)


class FakeMembership:
    """Membership of three VMs, of which ``own`` is no gateway of group g."""

    def __init__(self):
        vms = [VmState(f"vm{i}", 1, 1, f"url{i}", f"d{i}", "live", 1) for i in range(3)]
        self.gateways = choose_gateways("g", vms)
        self.own = next(vm for vm in vms if vm not in self.gateways)
        self.live = tuple(vms)
        self.dead = set()

    def is_dead(self, name):
        return name in self.dead


class FakeExecutor:
    """Executor that returns its answers in order, and then always the last one.

    None stands for an answer that does not arrive.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests, self.ended_sessions = [], []

    async def execute(self, request):
        self.requests.append(request)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            await asyncio.sleep(30)
        return Err(answer) if isinstance(answer, Refusal) else Ok(answer)

    async def end_session(self, session_id):
        self.ended_sessions.append(session_id)


def reply(in_transaction=False):
    return Reply((), None, 1, 0, None, in_transaction, "m1", False)


def request(kind, key=None, in_transaction=False, seconds=2.0):
    return Request(
        "s", "a", "r", "g", "x", kind, None, None, key, in_transaction,
        deadline_in(seconds),
    )  # fmt: skip


def make_router(first, second):
    membership = FakeMembership()
    executors = {
        membership.gateways[0].name: first,
        membership.gateways[1].name: second,
    }
    router = GroupRouter(
        membership, FakeExecutor(NOT_RUN), lambda vm: executors[vm.name]
    )
    return router, membership


@pytest.mark.parametrize(
    ("kind", "key", "refusal", "repeated"),
    [
        (StatementKind.WRITE, None, NOT_RUN, True),
        (StatementKind.WRITE, None, UNKNOWN, False),
        (StatementKind.WRITE, "k", UNKNOWN, True),
        (StatementKind.READ, None, UNKNOWN, True),
        (StatementKind.BEGIN, "k", UNKNOWN, False),
    ],
)
def test_only_safe_retries_go_to_the_next_gateway(kind, key, refusal, repeated):
    # Guards against a second execution of a write without an idempotency key.
    second = FakeExecutor(reply())
    router, _ = make_router(FakeExecutor(refusal), second)
    outcome = asyncio.run(router.execute(request(kind, key)))
    assert isinstance(outcome, Ok) is repeated
    assert len(second.requests) == int(repeated)


def test_overloaded_gateways_are_tried_once():
    # Guards against a caller that waits up to its deadline but cannot be served.
    first, second = FakeExecutor(OVERLOADED), FakeExecutor(OVERLOADED)
    router, _ = make_router(first, second)
    outcome = asyncio.run(router.execute(request(StatementKind.WRITE, seconds=30)))
    assert outcome.err_value.code == ErrorCode.OVERLOADED
    assert len(first.requests) == len(second.requests) == 1


def test_statement_is_retried_past_an_overloaded_gateway():
    # Guards against a refusal while the other gateway of the group has capacity.
    router, _ = make_router(FakeExecutor(OVERLOADED), FakeExecutor(reply()))
    outcome = asyncio.run(router.execute(request(StatementKind.WRITE)))
    assert isinstance(outcome, Ok)


def test_begin_waits_long_only_after_all_gateways_were_tried():
    # Guards against a BEGIN that is refused because it is not served within the short
    # attempts with which every gateway is first tried.
    first, second = (
        FakeExecutor(OVERLOADED, reply(in_transaction=True)),
        FakeExecutor(OVERLOADED),
    )
    router, _ = make_router(first, second)
    begin = request(StatementKind.BEGIN, seconds=30)
    outcome = asyncio.run(router.execute(begin))
    assert isinstance(outcome, Ok)
    assert first.requests[0].deadline <= deadline_in(BEGIN_ATTEMPT_TIMEOUT_S)
    assert second.requests[0].deadline <= deadline_in(BEGIN_ATTEMPT_TIMEOUT_S)
    assert first.requests[1].deadline == begin.deadline


def test_statement_on_a_failed_gateway_is_unknown_at_once():
    # Guards against a caller that waits up to its deadline for a dead gateway.
    router, membership = make_router(FakeExecutor(None), FakeExecutor(reply()))

    async def scenario():
        running = asyncio.create_task(router.execute(request(StatementKind.WRITE)))
        await asyncio.sleep(0.1)
        membership.live = tuple(
            vm for vm in membership.live if vm != membership.gateways[0]
        )
        membership.dead.add(membership.gateways[0].name)
        async with asyncio.timeout(1):
            return await running

    refusal = asyncio.run(scenario()).err_value
    assert refusal.outcome is Outcome.UNKNOWN


def test_every_in_flight_statement_is_monitored():
    # Guards against statements that are not checked because the shared timer stopped
    # with an earlier statement, and against a failure that ends the statements of
    # other gateways.
    class SlowExecutor(FakeExecutor):
        async def execute(self, request):
            self.requests.append(request)
            await asyncio.sleep(0.5)
            return Ok(reply())

    first, second = FakeExecutor(reply()), SlowExecutor()
    router, membership = make_router(first, second)

    async def scenario():
        await router.execute(request(StatementKind.WRITE))
        await asyncio.sleep(0.3)
        first.answers = [None]
        failing = asyncio.create_task(router.execute(request(StatementKind.WRITE)))
        await asyncio.sleep(0)
        other = membership.gateways[1], second
        succeeding = asyncio.create_task(
            router._attempt(request(StatementKind.WRITE), *other)
        )
        await asyncio.sleep(0.05)
        membership.live = tuple(
            vm for vm in membership.live if vm != membership.gateways[0]
        )
        membership.dead.add(membership.gateways[0].name)
        async with asyncio.timeout(0.3):
            refusal = (await failing).err_value
        return refusal, await succeeding

    refusal, outcome = asyncio.run(scenario())
    assert refusal.outcome is Outcome.UNKNOWN
    assert isinstance(outcome, Ok)


def test_cancelled_caller_cancels_its_statement():
    # Guards against a forwarded statement that continues without its caller, and
    # against a cancellation that is mistaken for a failure of the gateway.
    ended = []

    class BlockedExecutor(FakeExecutor):
        async def execute(self, request):
            try:
                await asyncio.sleep(30)
            finally:
                ended.append(request)

    router, _ = make_router(BlockedExecutor(), BlockedExecutor())

    async def scenario():
        running = asyncio.create_task(router.execute(request(StatementKind.WRITE)))
        await asyncio.sleep(0.05)
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running

    asyncio.run(scenario())
    assert len(ended) == 1


@pytest.mark.parametrize("answer", [reply(in_transaction=True), TRANSACTION_LOST])
def test_gateway_is_notified_of_the_end_of_a_session_it_may_hold(answer):
    # Guards against a transaction that stays open after a BEGIN without an answer.
    first = FakeExecutor(answer)
    router, _ = make_router(first, FakeExecutor(reply()))

    async def scenario():
        await router.execute(request(StatementKind.BEGIN))
        await router.end_session("s")

    asyncio.run(scenario())
    assert first.ended_sessions == ["s"]


def test_transaction_stays_with_its_gateway():
    # Guards against statements of a transaction that run outside it.
    first, second = FakeExecutor(reply(in_transaction=True)), FakeExecutor(reply())
    router, membership = make_router(first, second)

    async def scenario():
        await router.execute(request(StatementKind.BEGIN))
        membership.live = tuple(
            vm for vm in membership.live if vm != membership.gateways[0]
        )
        membership.live += (membership.gateways[0],)
        await router.execute(request(StatementKind.WRITE, in_transaction=True))
        lost = request(StatementKind.WRITE, in_transaction=True)
        return await router.execute(lost._replace(session_id="other"))

    outcome = asyncio.run(scenario())
    assert len(first.requests) == 2
    assert not second.requests
    assert outcome.err_value.transaction_lost


@pytest.mark.parametrize("answer", [NOT_RUN, None])
def test_waiting_statement_is_refused_when_its_key_is_withdrawn(answer):
    # Guards against a statement that waits for a gateway, or for a connection to it,
    # and runs seconds after its key was withdrawn.
    first = FakeExecutor(answer)
    router, _ = make_router(first, FakeExecutor(answer))
    withdrawn = []

    async def scenario():
        waiting = request(StatementKind.WRITE, seconds=5.0)._replace(
            check_refusal=lambda: withdrawn[0] if withdrawn else None
        )
        running = asyncio.create_task(router.execute(waiting))
        await asyncio.sleep(0.2)
        withdrawn.append(Refusal(ErrorCode.KEY_WITHDRAWN, "withdrawn"))
        async with asyncio.timeout(1):
            refusal = (await running).err_value
        sent = len(first.requests)
        await asyncio.sleep(0.3)
        assert len(first.requests) == sent
        return refusal

    refusal = asyncio.run(scenario())
    assert refusal.code == (9004 if answer else 9002)
