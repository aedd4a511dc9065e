"""Choice of the gateway that runs a statement."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Result

from citronwood.backend.answers import refuse_unanswered
from citronwood.backend.api import Executor, Reply, Request, StatementKind
from citronwood.deadline import deadline_in, has_passed, time_left
from citronwood.decisions import may_log, write_request
from citronwood.errors import ErrorCode, Outcome, Refusal
from citronwood.fleet.api import Membership
from citronwood.fleet.placement import GatewayChoice
from citronwood.inner.messages import VmState

log = logging.getLogger(__name__)

# A request that may be repeated is tried on another gateway after this time.
ATTEMPT_S = 2.5
# Wait at each gateway before BEGIN keeps its place at one of them. About
# ten statements long: by then a gateway with connections to spare has given one.
BEGIN_ATTEMPT_S = 0.5
FIRST_PAUSE_S = 0.01
MAX_PAUSE_S = 0.1
CHECK_LIVE_S = 0.1
# A gateway finds within 0.5 s that the key of a waiting write was withdrawn, and can
# tell that it has not run; the entry can only report that the outcome is unknown.
REFUSAL_S = 0.6


_Held = tuple[VmState, Executor]
_Outcome = Coroutine[Any, Any, Result[Reply, Refusal]]


class _Attempt:
    """A statement under way to the gateway of another VM."""

    __slots__ = ("ended", "limit", "refusal_by", "request", "vm")

    def __init__(self, request: Request, vm: VmState) -> None:
        self.request = request
        self.vm = vm
        self.limit: asyncio.Timeout
        self.ended: str | None = None
        self.refusal_by: float | None = None

    def end(self, reason: str) -> None:
        """Stop to wait for the answer."""
        self.ended = reason
        self.limit.reschedule(0.0)


class GroupRouter:
    """Executor that passes statements to the gateways of their groups.

    Parameters
    ----------
    membership : Membership
    local : Executor
        The gateways of this VM.
    remote : callable
        Returns the executor that forwards to a VM.
    choice : GatewayChoice, optional
        Shared with the gateways of this VM.
    """

    def __init__(
        self,
        membership: Membership,
        local: Executor,
        remote: Callable[[VmState], Executor],
        choice: GatewayChoice | None = None,
    ) -> None:
        self._membership = membership
        self._local = local
        self._remote = remote
        self._own = membership.own
        self._choice = choice or GatewayChoice(membership)
        self._ordered: dict[str, tuple[list[VmState], list[_Held]]] = {}
        self._sessions: dict[str, _Held] = {}
        self._notices: set[asyncio.Future[None]] = set()
        self._attempts: set[_Attempt] = set()
        self._timer: asyncio.TimerHandle | None = None

    def execute(self, request: Request) -> _Outcome:
        """Run one statement on a gateway of its group."""
        if request.in_transaction:
            return self._continue_transaction(request)
        return self._try_gateways(request)

    async def end_session(self, session_id: str) -> None:
        """Release what the session holds at the gateway of its transaction."""
        held = self._sessions.pop(session_id, None)
        if held is None:
            return
        work = held[1].end_session(session_id)
        if self._has_ended(held[0]):
            # The caller does not wait for a VM that answers no more; the notice is for
            # one that only seems to have ended.
            task = asyncio.ensure_future(work)
            self._notices.add(task)
            task.add_done_callback(self._notices.discard)
        else:
            await work

    async def _continue_transaction(self, request: Request) -> Result[Reply, Refusal]:
        held = self._sessions.get(request.session_id)
        if held is None or self._has_ended(held[0]):
            vm = None if held is None else held[0]
            self._log_attempt("transaction_lost", vm, "the gateway is gone")
            message = "Not run: the gateway of the transaction is gone"
            return Err(
                Refusal(ErrorCode.TRANSACTION_FAILED, message, transaction_lost=True)
            )
        outcome = await self._attempt(request, *held)
        self._track(request, held, outcome)
        return outcome

    async def _try_gateways(self, request: Request) -> Result[Reply, Refusal]:
        pause_s = FIRST_PAUSE_S
        outcome: Result[Reply, Refusal] | None = None
        asks_all = request.kind is StatementKind.BEGIN
        while True:
            for held in self._candidates(request.group):
                refusal = request.refusal()
                if refusal is not None:
                    return Err(refusal)
                attempt = _limited(request, asks_all)
                outcome = await self._attempt(attempt, *held)
                if not isinstance(outcome, Err) or not _may_repeat(request, outcome):
                    self._track(request, held, outcome)
                    return outcome
                if has_passed(request.deadline):
                    return outcome
                self._log_attempt("retried", held[0], outcome.err_value.message)
            if outcome is not None and _is_overloaded(outcome) and not asks_all:
                # It would not be served in time by trying the same gateways again.
                return outcome
            asks_all = False
            await asyncio.sleep(min(pause_s, time_left(request.deadline)))
            if has_passed(request.deadline):
                return _no_gateway(request) if outcome is None else outcome
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    def _candidates(self, group: str) -> list[_Held]:
        """Return the gateways, this VM first, then those of its failure domain."""
        chosen = self._choice.gateways(group)
        known = self._ordered.get(group)
        if known is None or known[0] is not chosen:
            ordered = sorted(chosen, key=self._distance)
            known = chosen, [(vm, self._executor(vm)) for vm in ordered]
            self._ordered[group] = known
        return known[1]

    def _distance(self, vm: VmState) -> tuple[bool, bool]:
        other_domain = vm.failure_domain != self._own.failure_domain
        return vm.name != self._own.name, other_domain

    def _executor(self, vm: VmState) -> Executor:
        return self._local if self._is_own(vm) else self._remote(vm)

    def _is_own(self, vm: VmState) -> bool:
        return vm.name == self._own.name

    def _attempt(self, request: Request, vm: VmState, executor: Executor) -> _Outcome:
        if self._is_own(vm):
            return executor.execute(request)
        return self._forward(request, vm, executor)

    async def _forward(
        self, request: Request, vm: VmState, executor: Executor
    ) -> Result[Reply, Refusal]:
        attempt = _Attempt(request, vm)
        try:
            async with asyncio.timeout(None) as attempt.limit:
                self._watch(attempt)
                return await executor.execute(request)
        except TimeoutError:
            if attempt.ended is None:
                raise
            self._log_attempt("given_up", vm, attempt.ended)
            message = f"{attempt.ended} while the statement was under way"
            return Err(refuse_unanswered(request, message))
        finally:
            self._attempts.discard(attempt)

    def _log_attempt(self, outcome: str, vm: VmState | None, reason: str) -> None:
        """Log what became of a statement at one gateway, unless it was answered."""
        if not may_log(log, "attempt", outcome):
            return
        write_request(
            log,
            "attempt",
            outcome,
            f"fleet: {reason}",
            gateway=None if vm is None else vm.name,
            gateway_incarnation=None if vm is None else vm.incarnation,
            gateway_dead=vm is not None and self._has_ended(vm),
            live_vms=len(self._membership.live),
        )

    def _watch(self, attempt: "_Attempt") -> None:
        """Check an attempt until it ends; all of them share one timer."""
        self._attempts.add(attempt)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_LIVE_S, self._check_attempts)

    def _check_attempts(self) -> None:
        self._timer = None
        for attempt in [*self._attempts]:
            if self._has_ended(attempt.vm):
                attempt.end("the gateway failed")
            elif attempt.request.refusal() is None:
                continue
            elif attempt.refusal_by is None:
                attempt.refusal_by = deadline_in(REFUSAL_S)
                continue
            elif has_passed(attempt.refusal_by):
                # The message may still wait for a connection to the gateway.
                attempt.end("the caller may no longer run it")
            else:
                continue
            self._attempts.discard(attempt)
        if self._attempts:
            self._watch(self._attempts.pop())

    def _has_ended(self, vm: VmState) -> bool:
        """Whether the VM's process died or was replaced by another."""
        for known in self._membership.live:
            if known.name == vm.name:
                return known.incarnation != vm.incarnation
        return self._membership.is_dead(vm.name)

    def _track(
        self,
        request: Request,
        held: _Held,
        outcome: Result[Reply, Refusal],
    ) -> None:
        if isinstance(outcome, Err):
            if outcome.err_value.transaction_lost:
                # The gateway is told when the caller's side ends the session; a BEGIN
                # without an answer may have opened a transaction.
                self._sessions[request.session_id] = held
        elif outcome.ok_value.in_transaction:
            self._sessions[request.session_id] = held
        else:
            self._sessions.pop(request.session_id, None)


def _limited(request: Request, asks_all: bool) -> Request:
    """Return the request with the deadline of one attempt."""
    if _is_repeatable(request):
        limit = min(deadline_in(ATTEMPT_S), request.deadline)
        return request._replace(deadline=limit)
    if asks_all:
        # A BEGIN without an answer may not be repeated, so the answer is waited for.
        limit = min(deadline_in(BEGIN_ATTEMPT_S), request.deadline)
        return request._replace(deadline=limit, answer_by=request.deadline)
    return request


def _no_gateway(request: Request) -> Result[Reply, Refusal]:
    message = f"Not run: no gateway of group {request.group} is live"
    return Err(Refusal(ErrorCode.NOT_RUN, message))


def _is_repeatable(request: Request) -> bool:
    if request.kind is StatementKind.READ:
        return True
    single = request.kind is StatementKind.WRITE
    return single and request.idempotency_key is not None


def _is_overloaded(outcome: Result[Reply, Refusal]) -> bool:
    return isinstance(outcome, Err) and outcome.err_value.code == ErrorCode.OVERLOADED


def _may_repeat(request: Request, outcome: Err[Refusal]) -> bool:
    refusal = outcome.err_value
    if refusal.outcome is Outcome.UNKNOWN:
        return _is_repeatable(request)
    return refusal.outcome is Outcome.NOT_RUN and refusal.code in (
        ErrorCode.NOT_RUN,
        ErrorCode.OVERLOADED,
    )
