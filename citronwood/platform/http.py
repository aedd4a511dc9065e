"""Client of the platform's service over HTTP.

Every value is stored in an envelope with the random id of its update and the ids of
the updates before it, so that a writer whose answer was lost can tell whether its
update took effect, even when others have updated the object since.
"""

import asyncio
import json
import logging
import random
import secrets
from collections import OrderedDict
from collections.abc import Collection, Mapping
from time import monotonic
from types import TracebackType
from typing import Any, NamedTuple, Self

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from yarl import URL

from citronwood.deadline import has_passed, time_left
from citronwood.decisions import log_state
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from citronwood.metrics import Metrics
from citronwood.platform.api import Versioned, Vm
from citronwood.platform.budget import BudgetStatus, CallBudget

log = logging.getLogger(__name__)

MAX_VALUE_BYTES = 1_000_000
MAX_ENVELOPE_BYTES = 2_000
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
MIN_ATTEMPT_S = 0.02
KEEPALIVE_S = 5.0
# Share of the time left that one attempt may use, so that a connection that went
# silent leaves time for another one.
ATTEMPT_SHARE = 0.5
# Time that the answer to a watch may take after the end of the poll.
WATCH_GRACE_SHARE = 0.25
KEPT_UPDATE_IDS = 16
KEPT_HISTORIES = 64


class _Answer(NamedTuple):
    """``repeated`` tells that an earlier attempt had no answer."""

    status: int
    body: dict[str, Any]
    repeated: bool = False


class _History(NamedTuple):
    """Ids of the last updates of an object, newest last."""

    version: int
    update_ids: tuple[str, ...]


class _AttemptError(Exception):
    """One attempt failed; it may have taken effect."""


class PlatformStatus(NamedTuple):
    """What the status report shows of the client."""

    budget: BudgetStatus
    calls: dict[str, int]
    failures: dict[str, int]


class HttpPlatformClient:
    """Implements ``PlatformClient``; use it as an asynchronous context manager.

    Parameters
    ----------
    url : str
        Base URL of the service.
    metrics : Metrics
        Receives counts and durations by operation and kind.
    budget : CallBudget, optional
        Limit of all calls, first attempts and retries.
    urgent : collection of str
        Calls that go before others in the budget, as operation and kind (``put.plan``).
    """

    def __init__(
        self,
        url: str,
        metrics: Metrics,
        budget: CallBudget | None = None,
        urgent: Collection[str] = (),
    ) -> None:
        self._url = URL(url)
        self._metrics = metrics
        self._budget = budget or CallBudget()
        self._urgent = urgent
        self._pooled: ClientSession | None = None
        self._fresh: ClientSession | None = None
        self._failing_since: float | None = None
        self._calls: dict[str, int] = {}
        self._failures: dict[str, int] = {}
        self._histories: OrderedDict[tuple[str, str], _History] = OrderedDict()

    @property
    def status(self) -> PlatformStatus:
        """Budget and calls by operation and kind."""
        return PlatformStatus(
            self._budget.status, dict(self._calls), dict(self._failures)
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    async def get(self, kind: str, name: str, deadline: float) -> Versioned:
        """Return an object or raise ``ObjectNotFoundError``."""
        call = _Call("GET", f"get.{kind}", _object_path(kind, name))
        answer = await self._retry(call, deadline)
        if answer.status == 404:
            raise ObjectNotFoundError(f"{kind}/{name} does not exist")
        return self._unwrap(kind, name, answer.body)

    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        expected_version: int,
        deadline: float,
    ) -> int:
        """Replace an object and return its new version.

        When later updates followed before a lost answer was settled, the returned
        version is the lowest one that the update can have.
        """
        base = await self._base_history(kind, name, expected_version, deadline)
        update_id = secrets.token_hex(8)
        update = _Update(kind, name, update_id, expected_version, base, deadline)
        body = {
            "value": {"update_id": update_id, "earlier": list(base), "value": value},
            "expected_version": expected_version,
        }
        data = json.dumps(body).encode()
        if len(data) > MAX_VALUE_BYTES - MAX_ENVELOPE_BYTES:
            raise PlatformError(
                f"{kind}/{name}: {len(data)} bytes exceed the limit of the store"
            )
        version = await self._update(update, data)
        self._remember(kind, name, _History(version, (*base, update_id)))
        return version

    async def delete(
        self, kind: str, name: str, expected_version: int, deadline: float
    ) -> None:
        """Delete an object if it still has this version."""
        query = {"expected_version": str(expected_version)}
        path = _object_path(kind, name)
        call = _Call("DELETE", f"delete.{kind}", path, query)
        answer = await self._retry(call, deadline)
        # After a lost answer a conflict with version 0 means that the object is gone,
        # which is what the caller asked for.
        if answer.status == 409 and (actual := _version(answer)) != 0:
            raise VersionConflictError(kind, name, expected_version, actual)

    async def watch(
        self, kind: str, name: str, after_version: int, deadline: float
    ) -> Versioned | None:
        """Wait for a version above ``after_version``; None at the deadline.

        Makes one attempt. The poll ends before the deadline, so that a service that
        is silent can be told from an object that does not change.
        """
        label = f"watch.{kind}"
        await self._take_call(label, deadline)
        left_s = time_left(deadline)
        poll_ms = int(left_s * (1 - WATCH_GRACE_SHARE) * 1000)
        query = {"after": str(after_version), "timeout_ms": str(poll_ms)}
        call = _Call("GET", label, f"v1/watch/{kind}/{name}", query)
        try:
            answer = await self._timed(call, left_s, fresh=False)
        except _AttemptError as error:
            raise PlatformUnavailableError(f"watch of {kind}/{name}: {error}") from None
        if answer.status == 204:
            return None
        return self._unwrap(kind, name, answer.body)

    async def list_vms(self, deadline: float) -> list[Vm]:
        """Return the platform's list of VMs, which lags."""
        answer = await self._retry(_Call("GET", "list_vms", "v1/vms"), deadline)
        try:
            return [Vm(**vm) for vm in answer.body["vms"]]
        except (KeyError, TypeError):
            raise PlatformUnavailableError("the list of VMs is malformed") from None

    async def _base_history(
        self, kind: str, name: str, expected: int, deadline: float
    ) -> tuple[str, ...]:
        if expected == 0:
            return ()
        history = self._histories.get((kind, name))
        if history is None or history.version != expected:
            found = await self.get(kind, name, deadline)
            if found.version != expected:
                raise VersionConflictError(kind, name, expected, found.version)
            history = self._histories[kind, name]
        return history.update_ids[-KEPT_UPDATE_IDS:]

    async def _update(self, update: "_Update", data: bytes) -> int:
        """Send a conditional update until it is known whether it took effect."""
        path = _object_path(update.kind, update.name)
        call = _Call("PUT", f"put.{update.kind}", path, data=data)
        answer = await self._retry(call, update.deadline)
        version = _version(answer)
        if answer.status != 409:
            return version
        # Every conflict is settled, also one without a lost answer: HTTP libraries
        # and intermediaries may repeat a PUT on their own.
        return await self._settle(update, version, answer.repeated)

    async def _settle(self, update: "_Update", actual: int, repeated: bool) -> int:
        """Find out by reading whether a conflict was caused by the update itself."""
        kind, name = update.kind, update.name
        try:
            found = await self.get(kind, name, update.deadline)
        except ObjectNotFoundError:
            raise PlatformUnavailableError(
                f"{kind}/{name} was deleted before a lost answer could be settled"
            ) from None
        update_ids = self._histories[kind, name].update_ids
        if update.update_id in update_ids:
            self._metrics.count("platform.settled")
            newest = update_ids[-1] == update.update_id
            return found.version if newest else update.expected + 1
        # After a lost answer the history is conclusive only if it reaches back to the
        # base of the update.
        if not repeated:
            conclusive = True
        elif update.base:
            conclusive = update.base[-1] in update_ids
        else:
            conclusive = len(update_ids) <= KEPT_UPDATE_IDS
        if conclusive:
            raise VersionConflictError(kind, name, update.expected, actual)
        raise PlatformUnavailableError(
            f"{kind}/{name} changed too often to settle a lost answer"
        )

    async def _retry(self, call: "_Call", deadline: float) -> _Answer:
        """Repeat a call until it is answered or the deadline is near."""
        backoff = _Backoff(deadline)
        fresh = False
        while True:
            await self._take_call(call.label, deadline)
            timeout_s = max(MIN_ATTEMPT_S, time_left(deadline) * ATTEMPT_SHARE)
            try:
                answer = await self._timed(call, timeout_s, fresh)
                return answer._replace(repeated=fresh)
            except _AttemptError as error:
                await backoff.wait(f"{call.label}: {error}")
            # All pooled connections may have gone silent together.
            fresh = True

    async def _take_call(self, label: str, deadline: float) -> None:
        if not await self._budget.take(deadline, label in self._urgent):
            self._metrics.count("platform.over_budget")
            raise PlatformUnavailableError(
                f"{label}: no call is left in the budget before the deadline"
            )

    async def _timed(self, call: "_Call", timeout_s: float, fresh: bool) -> _Answer:
        label = call.label
        self._calls[label] = self._calls.get(label, 0) + 1
        self._metrics.count(f"platform.calls.{label}")
        started = monotonic()
        try:
            answer = await self._send(call, timeout_s, fresh)
            self._note_reachable(None, label)
            return answer
        except _AttemptError as error:
            self._note_reachable(str(error), label)
            self._failures[label] = self._failures.get(label, 0) + 1
            self._metrics.count(f"platform.failures.{label}")
            raise
        finally:
            self._metrics.timing(f"platform.{label}", (monotonic() - started) * 1000)

    def _note_reachable(self, failure: str | None, label: str) -> None:
        """Log when calls begin to fail, and when one is answered again."""
        now = monotonic()
        if failure is not None and self._failing_since is None:
            self._failing_since = now
            message = f"platform: the service gives no answer: {failure}"
            log_state(log, "dependency", "lost", message, call=label)
        elif failure is None and self._failing_since is not None:
            away_ms = round((now - self._failing_since) * 1000)
            self._failing_since = None
            message = f"platform: the service answers again after {away_ms} ms"
            log_state(log, "dependency", "regained", message, call=label, ms=away_ms)

    async def _send(self, call: "_Call", timeout_s: float, fresh: bool) -> _Answer:
        try:
            async with self._session(fresh).request(
                call.method,
                self._url / call.path,
                params=call.query,
                data=call.data,
                timeout=ClientTimeout(total=timeout_s),
            ) as response:
                content = await response.read()
                return _checked(response.status, content)
        except TimeoutError:
            raise _AttemptError("no answer in time") from None
        except (ClientError, OSError, ValueError) as error:
            raise _AttemptError(str(error) or type(error).__name__) from None

    def _session(self, fresh: bool) -> ClientSession:
        """Return the session with pooled or with new connections."""
        if fresh:
            if self._fresh is None:
                self._fresh = _open_session(TCPConnector(force_close=True))
            return self._fresh
        if self._pooled is None:
            self._pooled = _open_session(TCPConnector(keepalive_timeout=KEEPALIVE_S))
        return self._pooled

    def _unwrap(self, kind: str, name: str, body: dict[str, Any]) -> Versioned:
        try:
            envelope, version = body["value"], int(body["version"])
            update_ids = (*envelope["earlier"], envelope["update_id"])
            value = envelope["value"]
        except (KeyError, TypeError):
            raise PlatformUnavailableError(
                f"{kind}/{name} is malformed in the store"
            ) from None
        self._remember(kind, name, _History(version, update_ids))
        return Versioned(value, version)

    def _remember(self, kind: str, name: str, history: _History) -> None:
        key = (kind, name)
        known = self._histories.get(key)
        if known is None or history.version >= known.version:
            self._histories[key] = history
        self._histories.move_to_end(key)
        if len(self._histories) > KEPT_HISTORIES:
            self._histories.popitem(last=False)


def _open_session(connector: TCPConnector) -> ClientSession:
    session = ClientSession(connector=connector)
    # The library repeats calls on its own when a connection was dropped; such calls
    # would not be counted in the budget.
    session._retry_connection = False
    return session


class _Call(NamedTuple):
    method: str
    label: str
    path: str
    query: Mapping[str, str] = {}
    data: bytes | None = None


class _Update(NamedTuple):
    kind: str
    name: str
    update_id: str
    expected: int
    base: tuple[str, ...]
    deadline: float


class _Backoff:
    """Exponential delays with full jitter, so that VMs do not retry together."""

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline
        self._limit_s = FIRST_BACKOFF_S

    async def wait(self, reason: str) -> None:
        """Wait before the next attempt or raise ``PlatformUnavailableError``."""
        # Jitter spreads retries; it needs no secure random numbers.
        delay_s = random.uniform(0, self._limit_s)
        self._limit_s = min(MAX_BACKOFF_S, self._limit_s * 2)
        if has_passed(self._deadline - delay_s - MIN_ATTEMPT_S):
            raise PlatformUnavailableError(reason)
        log.debug("%s; next attempt in %.2f s", reason, delay_s)
        await asyncio.sleep(delay_s)


def _object_path(kind: str, name: str) -> str:
    return f"v1/objects/{kind}/{name}"


def _version(answer: _Answer) -> int:
    version = answer.body.get("version")
    if not isinstance(version, int):
        raise PlatformUnavailableError("the service answered without a version")
    return version


def _checked(status: int, content: bytes) -> _Answer:
    if status == 413:
        raise PlatformError("the store refused the value: it is too large")
    if status not in (200, 204, 404, 409):
        raise _AttemptError(f"the service answered {status}")
    body = json.loads(content) if content else {}
    if not isinstance(body, dict):
        raise ValueError("the answer is not an object")
    return _Answer(status, body)
