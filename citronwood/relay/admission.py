"""Admission of statements at a server: which one runs next, and which is refused.

Load pattern: the callers of all VMs send more statements to a server than its slots can
run, for some seconds. Without a limit the server answers most of them that it is busy,
whatever their priority, and each costs a round trip and a retry. The gate sends the
server only what it can run, in the order of ``admission_order``, and refuses at once
what cannot run in time (``admission_forecast``).
"""

import asyncio
import logging
import random
from collections import Counter, deque
from contextlib import suppress
from time import monotonic

from citronwood.deadline import time_left, timeout_at
from citronwood.decisions import log_request, log_state
from citronwood.errors import BackendUnavailableError, OverloadedError
from citronwood.metrics import Metrics
from citronwood.relay.admission_forecast import AdmissionForecast, GrantClass
from citronwood.relay.admission_order import AdmissionOrder, WaitingRequest
from citronwood.relay.statement import Urgency

log = logging.getLogger(__name__)

# Statements beyond the slots that are sent to the server, so that its slots are in use
# during a round trip.
EXTRA_STATEMENTS = 1
# After the server answered that it is busy, others use it as well; for this long no
# statement is sent beyond its slots.
BUSY_DURATION_S = 1.0
# A request is refused if the forecast exceeds this multiple of its time left, so that
# errors of the forecast within a few percent refuse nothing that can run in time.
REFUSAL_FACTOR = 1.05
# Retry delays are lengthened by a random part of up to this, so that refused callers do
# not return at the same time. The highest priority has a third of it, the next one two
# thirds.
MAX_RETRY_EXTENSION = 0.5
RETRY_PRIORITIES = 3
# Class of the statements of open transactions and leases, which go first.
STARTED = GrantClass(-1, False)


class Permit:
    """Right to run a statement at a server, until it is released."""

    def __init__(
        self,
        gate: "StatementGate",
        account: str,
        grant_class: GrantClass,
        has_connection: bool,
    ) -> None:
        self.account = account
        self.grant_class = grant_class
        self.granted_at = monotonic()
        self.has_connection = has_connection
        self.is_released = False
        self._gate = gate

    def note_connection(self) -> None:
        """Count the statement as one that uses a connection."""
        self._gate.note_connection(self)

    def note_answer(self, is_busy: bool) -> None:
        """Count the server's answer, which is ``is_busy`` if it ran nothing."""
        self._gate.note_answer(self, is_busy)

    def release(self) -> None:
        """Give the permit back; may be called again."""
        self._gate.release(self)


class StatementGate:
    """Limits the statements that run at a server, and orders those that wait.

    Parameters
    ----------
    server : str
        Id of the server.
    slots : int
        Number of statements that the server runs at once.
    """

    def __init__(self, server: str, slots: int, metrics: Metrics) -> None:
        self._server = server
        self._slots = max(1, slots)
        self._metrics = metrics
        self._order = AdmissionOrder()
        self._started: deque[asyncio.Future[Permit]] = deque()
        self._forecast = AdmissionForecast()
        self._running = 0
        # Permits whose statement waits for a connection.
        self._without_connection = 0
        self._lowered_until = 0.0
        self._is_closed = False
        self._refused: Counter[int] = Counter()
        self._granted: Counter[int] = Counter()

    @property
    def limit(self) -> int:
        """Number of statements that may run at once."""
        is_lowered = monotonic() < self._lowered_until
        return self._slots + (0 if is_lowered else EXTRA_STATEMENTS)

    @property
    def running(self) -> int:
        """Number of permits in use."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a permit."""
        return self._order.waiting + len(self._started)

    def expected_wait_s(self, account: str, urgency: Urgency) -> float | None:
        """Return the expected wait of a request that arrives now; None if unknown."""
        if self._running < self.limit and not self.waiting:
            return 0.0
        wait_s = self._forecast_wait_s(account, urgency.priority, is_late=False)
        if wait_s is None or self._earliest_end + wait_s <= urgency.target_at:
            return wait_s
        # It becomes late during its wait, and others that can meet their target will
        # be granted first.
        return self._forecast_wait_s(account, urgency.priority, is_late=True)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; permits in use are not revoked."""
        self._slots = max(1, slots)
        self._grant_waiting()

    async def acquire(self, account: str, deadline: float, urgency: Urgency) -> Permit:
        """Wait for a permit for a single statement, before it has a connection.

        Raises ``OverloadedError`` at once when it would come too late, ``TimeoutError``
        at the deadline and ``BackendUnavailableError`` when the server was replaced.
        """
        if self._is_closed:
            raise BackendUnavailableError(f"{self._server} was replaced")
        granted: asyncio.Future[Permit] = asyncio.get_running_loop().create_future()
        request = WaitingRequest(
            account, urgency.priority, urgency.target_at, deadline, granted
        )
        if self._running < self.limit and not self.waiting:
            self._order.grant_now(request)
            return self._grant_single(request)
        try:
            self._check_forecast(request, urgency)
            return await self._wait(request)
        except OverloadedError as error:
            self._log_refusal(request, error)
            raise

    async def _wait(self, request: WaitingRequest) -> Permit:
        self._order.add(request)
        self._grant_waiting()
        try:
            async with timeout_at(request.deadline):
                return await request.granted
        except BaseException:
            self._order.remove(request)
            self._give_back(request.granted)
            raise

    async def acquire_started(self, deadline: float) -> Permit:
        """Wait for a permit for a statement of a transaction or lease that is open.

        It has a connection and goes first, because what it has begun occupies locks and
        a connection. Raises ``TimeoutError`` at the deadline.
        """
        if not self._started and self._has_room_for_started:
            return self._grant("", STARTED, has_connection=True)
        granted: asyncio.Future[Permit] = asyncio.get_running_loop().create_future()
        self._started.append(granted)
        try:
            async with timeout_at(deadline):
                return await granted
        except BaseException:
            with suppress(ValueError):
                self._started.remove(granted)
            self._give_back(granted)
            raise

    def close(self) -> None:
        """Refuse waiting requests, because the server left the list or was replaced.

        Statements of open transactions and leases may still run.
        """
        self._is_closed = True
        for request in self._order.pop_all():
            if not request.granted.done():
                text = f"{self._server} was replaced"
                request.granted.set_exception(BackendUnavailableError(text))

    def note_connection(self, permit: Permit) -> None:
        """Count a permit whose statement has got a connection."""
        if not permit.has_connection:
            permit.has_connection = True
            self._without_connection -= 1

    def note_answer(self, permit: Permit, is_busy: bool) -> None:
        """Count the server's answer to the statement of a permit."""
        now = monotonic()
        if is_busy:
            self._lowered_until = now + BUSY_DURATION_S
            self._metrics.count("admission.server_busy")
            log_state(
                log,
                "gate",
                "lowered",
                f"gateway: {self._server} is busy by others",
                server=self._server,
                running=self._running,
                slots=self._slots,
            )
            return
        # With more statements than slots, a part of the time was spent in the server's
        # queue.
        in_slot = min(1.0, self._slots / max(1, self._running))
        in_slot_s = (now - permit.granted_at) * in_slot
        self._forecast.note_answer(in_slot_s, permit.grant_class, permit.account, now)

    def release(self, permit: Permit) -> None:
        """Give back a permit."""
        if permit.is_released:
            return
        permit.is_released = True
        self.note_connection(permit)
        self._running -= 1
        self._grant_waiting()

    def report(self) -> None:
        """Update the gauges, and log the refusals since the last call."""
        prefix = f"admission.{self._server}"
        waiting = self._order.waiting_by_priority()
        for priority, number in waiting.items():
            self._metrics.gauge(f"{prefix}.waiting.{priority}", number)
        self._metrics.gauge(f"{prefix}.waiting.started", len(self._started))
        self._metrics.gauge(f"{prefix}.running", self._running)
        if self._refused:
            log_state(
                log,
                "gate",
                "overloaded",
                f"gateway: {self._server} gets more statements than it can run",
                server=self._server,
                refused=dict(sorted(self._refused.items())),
                granted=dict(sorted(self._granted.items())),
                waiting=waiting,
                running=self._running,
                slots=self._slots,
                mean_ms=self._mean_ms,
            )
        self._refused.clear()
        self._granted.clear()

    @property
    def _has_room_for_started(self) -> bool:
        # Statements that wait for a connection may wait for one that started work
        # holds, so they must not keep it from running.
        return self._running - self._without_connection < self.limit

    def _check_forecast(self, request: WaitingRequest, urgency: Urgency) -> None:
        """Raise ``OverloadedError`` if a request that arrives now would be too late."""
        wait_s = self.expected_wait_s(request.account, urgency)
        mean_s = self._forecast.mean_s(monotonic())
        if wait_s is None or mean_s is None:
            return
        left_s = time_left(request.deadline)
        needed_s = wait_s + mean_s
        if needed_s > REFUSAL_FACTOR * left_s:
            raise self._refuse(request, needed_s - left_s)

    def _refuse(self, request: WaitingRequest, excess_s: float) -> OverloadedError:
        """Count a refusal and return its exception."""
        priority = request.priority
        self._refused[priority] += 1
        self._metrics.count(f"admission.refused.{priority}")
        part = (max(0, min(priority, RETRY_PRIORITIES - 1)) + 1) / RETRY_PRIORITIES
        retry_s = excess_s * (1 + random.uniform(0, MAX_RETRY_EXTENSION * part))
        return OverloadedError(retry_s)

    def _log_refusal(self, request: WaitingRequest, error: OverloadedError) -> None:
        log_request(
            log,
            "gate",
            "refused",
            f"gateway: no slot of {self._server} in time",
            server=self._server,
            account=request.account,
            priority=request.priority,
            excess_ms=round(error.excess_s * 1000),
            waiting=self.waiting,
            running=self._running,
            slots=self._slots,
            mean_ms=self._mean_ms,
        )

    @property
    def _mean_ms(self) -> float:
        return round((self._forecast.mean_s(monotonic()) or 0.0) * 1000, 1)

    @property
    def _earliest_end(self) -> float:
        """Time at which a statement that starts now is expected to end."""
        now = monotonic()
        return now + (self._forecast.mean_s(now) or 0.0)

    def _forecast_wait_s(
        self, account: str, priority: int, is_late: bool
    ) -> float | None:
        ahead = len(self._started) + self._order.ahead_of(
            account, priority, is_late, self._earliest_end
        )
        grant_class = GrantClass(priority, is_late)
        return self._forecast.wait_s(
            ahead + 1,
            grant_class,
            account,
            self._order.timely(priority),
            self._slots,
            monotonic(),
        )

    def _grant_single(self, request: WaitingRequest) -> Permit:
        is_late = request.target_at < self._earliest_end
        grant_class = GrantClass(request.priority, is_late)
        return self._grant(request.account, grant_class, has_connection=False)

    def _grant(
        self, account: str, grant_class: GrantClass, has_connection: bool
    ) -> Permit:
        self._running += 1
        if not has_connection:
            self._without_connection += 1
        self._granted[grant_class.priority] += 1
        name = "started" if grant_class == STARTED else grant_class.priority
        self._metrics.count(f"admission.granted.{name}")
        return Permit(self, account, grant_class, has_connection)

    def _grant_waiting(self) -> None:
        while self._started and self._has_room_for_started:
            started = self._started.popleft()
            if not started.done():
                started.set_result(self._grant("", STARTED, has_connection=True))
        while self._running < self.limit and self._order.waiting:
            earliest_end = self._earliest_end
            for request in self._order.pop_hopeless(earliest_end):
                if not request.granted.done():
                    excess_s = earliest_end - request.deadline
                    request.granted.set_exception(self._refuse(request, excess_s))
            next_request = self._order.pop(earliest_end)
            if next_request is not None and not next_request.granted.done():
                permit = self._grant_single(next_request)
                next_request.granted.set_result(permit)

    def _give_back(self, granted: asyncio.Future[Permit]) -> None:
        """Release a permit that was granted just before the wait was given up."""
        if granted.done() and not granted.cancelled() and not granted.exception():
            granted.result().release()
        granted.cancel()
