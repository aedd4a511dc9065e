"""Routing of statements to the gateways of their groups."""

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

# A request that may be repeated is retried on another gateway after this time.
ATTEMPT_TIMEOUT_S = 2.5
# BEGIN first waits this long for a connection at each gateway, and only then up to its
# deadline. About ten statements run within this time, so a gateway with spare
# connections provides one.
BEGIN_ATTEMPT_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.1
LIVENESS_CHECK_INTERVAL_S = 0.1
# Once the caller may no longer run a statement, its gateway has this long to refuse it.
# A gateway notices within 0.5 s that the key of a waiting write was withdrawn and can
# tell that the write has not run; the VM of the caller could only report that the
# outcome is unknown.
REFUSAL_TIMEOUT_S = 0.6


_Target = tuple[VmState, Executor]
_PendingResult = Coroutine[Any, Any, Result[Reply, Refusal]]


class _Attempt:
    """A statement in flight to the gateway of another VM."""

    __slots__ = ("abort_reason", "refusal_deadline", "request", "timeout", "vm")

    def __init__(self, request: Request, vm: VmState) -> None:
        self.request = request
        self.vm = vm
        self.timeout: asyncio.Timeout
        self.abort_reason: str | None = None
        self.refusal_deadline: float | None = None

    def abort(self, reason: str) -> None:
        """Stop waiting for the answer."""
        self.abort_reason = reason
        self.timeout.reschedule(0.0)


class GroupRouter:
    """Executor that routes statements to the gateways of their groups.

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
        self._candidates_by_group: dict[str, tuple[list[VmState], list[_Target]]] = {}
        # By session id: the gateway that has, or may have, its open transaction.
        self._sessions: dict[str, _Target] = {}
        self._end_notices: set[asyncio.Future[None]] = set()
        self._attempts: set[_Attempt] = set()
        self._timer: asyncio.TimerHandle | None = None

    def execute(self, request: Request) -> _PendingResult:
        """Run one statement on a gateway of its group."""
        if request.in_transaction:
            return self._continue_transaction(request)
        return self._try_gateways(request)

    async def end_session(self, session_id: str) -> None:
        """End the session at the gateway of its open transaction, if it has one."""
        target = self._sessions.pop(session_id, None)
        if target is None:
            return
        notice = target[1].end_session(session_id)
        if self._has_ended(target[0]):
            # The gateway's process is not expected to answer, so the caller does not
            # wait. The gateway is still notified, in case it only seems to have ended.
            task = asyncio.ensure_future(notice)
            self._end_notices.add(task)
            task.add_done_callback(self._end_notices.discard)
        else:
            await notice

    async def _continue_transaction(self, request: Request) -> Result[Reply, Refusal]:
        target = self._sessions.get(request.session_id)
        if target is None or self._has_ended(target[0]):
            vm = None if target is None else target[0]
            self._log_attempt("transaction_lost", vm, "the gateway is gone")
            message = "Not run: the gateway of the transaction is gone"
            return Err(
                Refusal(ErrorCode.TRANSACTION_FAILED, message, transaction_lost=True)
            )
        outcome = await self._attempt(request, *target)
        self._track_transaction(request, target, outcome)
        return outcome

    async def _try_gateways(self, request: Request) -> Result[Reply, Refusal]:
        backoff_s = MIN_BACKOFF_S
        outcome: Result[Reply, Refusal] | None = None
        short_attempts = request.kind is StatementKind.BEGIN
        while True:
            for target in self._candidates(request.group):
                refusal = request.refusal()
                if refusal is not None:
                    return Err(refusal)
                attempt = _with_attempt_deadline(request, short_attempts)
                outcome = await self._attempt(attempt, *target)
                if not isinstance(outcome, Err) or not _may_retry(request, outcome):
                    self._track_transaction(request, target, outcome)
                    return outcome
                if has_passed(request.deadline):
                    return outcome
                self._log_attempt("retried", target[0], outcome.err_value.message)
            if outcome is not None and _is_overloaded(outcome) and not short_attempts:
                # The same overloaded gateways would not serve the request in time.
                return outcome
            short_attempts = False
            await asyncio.sleep(min(backoff_s, time_left(request.deadline)))
            if has_passed(request.deadline):
                return _no_live_gateway(request) if outcome is None else outcome
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _candidates(self, group: str) -> list[_Target]:
        """Return the group's gateways, nearest first.

        The order is this VM, then VMs of its failure domain, then the others.
        """
        chosen = self._choice.gateways(group)
        cached = self._candidates_by_group.get(group)
        if cached is None or cached[0] is not chosen:
            ordered = sorted(chosen, key=self._locality)
            cached = chosen, [(vm, self._executor(vm)) for vm in ordered]
            self._candidates_by_group[group] = cached
        return cached[1]

    def _locality(self, vm: VmState) -> tuple[bool, bool]:
        other_domain = vm.failure_domain != self._own.failure_domain
        return vm.name != self._own.name, other_domain

    def _executor(self, vm: VmState) -> Executor:
        return self._local if self._is_own(vm) else self._remote(vm)

    def _is_own(self, vm: VmState) -> bool:
        return vm.name == self._own.name

    def _attempt(
        self, request: Request, vm: VmState, executor: Executor
    ) -> _PendingResult:
        if self._is_own(vm):
            return executor.execute(request)
        return self._forward(request, vm, executor)

    async def _forward(
        self, request: Request, vm: VmState, executor: Executor
    ) -> Result[Reply, Refusal]:
        attempt = _Attempt(request, vm)
        try:
            async with asyncio.timeout(None) as attempt.timeout:
                self._monitor(attempt)
                return await executor.execute(request)
        except TimeoutError:
            if attempt.abort_reason is None:
                raise
            self._log_attempt("given_up", vm, attempt.abort_reason)
            message = f"{attempt.abort_reason} while the statement was under way"
            return Err(refuse_unanswered(request, message))
        finally:
            self._attempts.discard(attempt)

    def _log_attempt(self, outcome: str, vm: VmState | None, reason: str) -> None:
        """Log the outcome of an attempt at one gateway that returned no reply."""
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

    def _monitor(self, attempt: "_Attempt") -> None:
        """Check an attempt periodically until it ends; all attempts share one timer."""
        self._attempts.add(attempt)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                LIVENESS_CHECK_INTERVAL_S, self._check_attempts
            )

    def _check_attempts(self) -> None:
        self._timer = None
        for attempt in [*self._attempts]:
            if self._has_ended(attempt.vm):
                attempt.abort("the gateway failed")
            elif attempt.request.refusal() is None:
                continue
            elif attempt.refusal_deadline is None:
                attempt.refusal_deadline = deadline_in(REFUSAL_TIMEOUT_S)
                continue
            elif has_passed(attempt.refusal_deadline):
                # No refusal has arrived: the request may still be waiting for a
                # connection to the gateway.
                attempt.abort("the caller may no longer run it")
            else:
                continue
            self._attempts.discard(attempt)
        if self._attempts:
            # Restarts the timer and adds the removed attempt again.
            self._monitor(self._attempts.pop())

    def _has_ended(self, vm: VmState) -> bool:
        """Whether the VM's process is dead or another one has replaced it."""
        for live_vm in self._membership.live:
            if live_vm.name == vm.name:
                return live_vm.incarnation != vm.incarnation
        return self._membership.is_dead(vm.name)

    def _track_transaction(
        self,
        request: Request,
        target: _Target,
        outcome: Result[Reply, Refusal],
    ) -> None:
        if isinstance(outcome, Err):
            if outcome.err_value.transaction_lost:
                # A BEGIN without an answer may have opened a transaction, so the
                # gateway must be notified when the session ends.
                self._sessions[request.session_id] = target
        elif outcome.ok_value.in_transaction:
            self._sessions[request.session_id] = target
        else:
            self._sessions.pop(request.session_id, None)


def _with_attempt_deadline(request: Request, short_attempts: bool) -> Request:
    """Return the request with the deadline of one attempt at one gateway."""
    if _is_idempotent(request):
        attempt_deadline = min(deadline_in(ATTEMPT_TIMEOUT_S), request.deadline)
        return request._replace(deadline=attempt_deadline)
    if short_attempts:
        # The shorter deadline limits the wait for a connection at the gateway. The
        # answer is awaited until the deadline of the request, because a BEGIN without
        # an answer may not be repeated.
        attempt_deadline = min(deadline_in(BEGIN_ATTEMPT_TIMEOUT_S), request.deadline)
        return request._replace(
            deadline=attempt_deadline, answer_deadline=request.deadline
        )
    return request


def _no_live_gateway(request: Request) -> Result[Reply, Refusal]:
    message = f"Not run: no gateway of group {request.group} is live"
    return Err(Refusal(ErrorCode.NOT_RUN, message))


def _is_idempotent(request: Request) -> bool:
    if request.kind is StatementKind.READ:
        return True
    is_write = request.kind is StatementKind.WRITE
    return is_write and request.idempotency_key is not None


def _is_overloaded(outcome: Result[Reply, Refusal]) -> bool:
    return isinstance(outcome, Err) and outcome.err_value.code == ErrorCode.OVERLOADED


def _may_retry(request: Request, outcome: Err[Refusal]) -> bool:
    refusal = outcome.err_value
    if refusal.outcome is Outcome.UNKNOWN:
        return _is_idempotent(request)
    return refusal.outcome is Outcome.NOT_RUN and refusal.code in (
        ErrorCode.NOT_RUN,
        ErrorCode.OVERLOADED,
    )
