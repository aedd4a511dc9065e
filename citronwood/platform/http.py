"""Client of the platform's service over HTTP.

Every value is stored in an envelope with the random id of its update and the ids of
the preceding updates. A writer whose response was lost can thereby tell whether its
update took effect, even if other writers have updated the object since.
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
from citronwood.platform.api import VersionedObject, Vm
from citronwood.platform.budget import BudgetStatus, CallBudget

log = logging.getLogger(__name__)

# The store refuses larger values with status 413. Requests with a value, which include
# the envelope, stay below this limit by the margin and are otherwise not sent.
MAX_VALUE_BYTES = 1_000_000
VALUE_SIZE_MARGIN_BYTES = 2_000
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
MIN_ATTEMPT_TIMEOUT_S = 0.02
KEEPALIVE_TIMEOUT_S = 5.0
# Share of the remaining time that one attempt may use, so that a connection that
# stopped responding leaves time for a retry on another one.
ATTEMPT_TIMEOUT_SHARE = 0.5
# Share of a watch's time that is reserved for the response after the poll has ended.
WATCH_RESPONSE_SHARE = 0.25
# Number of earlier update ids in an envelope. After more updates by others, the outcome
# of an update whose response was lost cannot be determined.
MAX_UPDATE_IDS = 16
MAX_CACHED_HISTORIES = 64


class _Response(NamedTuple):
    """Response; ``retried`` is set if an earlier attempt got no response."""

    status: int
    body: dict[str, Any]
    retried: bool = False


class _History(NamedTuple):
    """Version of an object and the ids of its last updates, newest last."""

    version: int
    update_ids: tuple[str, ...]


class _AttemptError(Exception):
    """An attempt got no usable response; it may have taken effect."""


class PlatformStatus(NamedTuple):
    """State of the client for the status report."""

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
        Receives call counts and durations, labelled by operation and object kind.
    budget : CallBudget, optional
        Rate limit of all calls, retries included.
    urgent : collection of str
        Labels of calls with priority in the budget: operation and kind (``put.plan``).
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
        self._pooled_session: ClientSession | None = None
        self._unpooled_session: ClientSession | None = None
        self._failing_since: float | None = None
        self._calls: dict[str, int] = {}
        self._failures: dict[str, int] = {}
        self._histories: OrderedDict[tuple[str, str], _History] = OrderedDict()

    @property
    def status(self) -> PlatformStatus:
        """State of the budget, and calls and failures by label."""
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
        for session in (self._pooled_session, self._unpooled_session):
            if session is not None:
                await session.close()

    async def get(self, kind: str, name: str, deadline: float) -> VersionedObject:
        """Return an object or raise ``ObjectNotFoundError``."""
        call = _Call("GET", f"get.{kind}", _object_path(kind, name))
        response = await self._call_with_retries(call, deadline)
        if response.status == 404:
            raise ObjectNotFoundError(f"{kind}/{name} does not exist")
        return self._unwrap_envelope(kind, name, response.body)

    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        expected_version: int,
        deadline: float,
    ) -> int:
        """Replace an object and return its new version.

        If the response was lost and other updates followed before the object was read
        back, the returned version is the lowest one that this update can have.
        """
        base = await self._base_update_ids(kind, name, expected_version, deadline)
        update_id = secrets.token_hex(8)
        update = _Update(kind, name, update_id, expected_version, base, deadline)
        body = {
            "value": {"update_id": update_id, "earlier": list(base), "value": value},
            "expected_version": expected_version,
        }
        data = json.dumps(body).encode()
        if len(data) > MAX_VALUE_BYTES - VALUE_SIZE_MARGIN_BYTES:
            raise PlatformError(
                f"{kind}/{name}: {len(data)} bytes exceed the limit of the store"
            )
        version = await self._conditional_put(update, data)
        self._cache_history(kind, name, _History(version, (*base, update_id)))
        return version

    async def delete(
        self, kind: str, name: str, expected_version: int, deadline: float
    ) -> None:
        """Delete an object if its version is still ``expected_version``."""
        query = {"expected_version": str(expected_version)}
        path = _object_path(kind, name)
        call = _Call("DELETE", f"delete.{kind}", path, query)
        response = await self._call_with_retries(call, deadline)
        # After a lost response, a conflict with version 0 means that the object is
        # gone, as requested.
        if response.status == 409 and (actual := _response_version(response)) != 0:
            raise VersionConflictError(kind, name, expected_version, actual)

    async def watch(
        self, kind: str, name: str, after_version: int, deadline: float
    ) -> VersionedObject | None:
        """Wait for a version above ``after_version``; None at the deadline.

        Makes one attempt. The poll ends before the deadline, which distinguishes an
        unresponsive service from an unchanged object.
        """
        label = f"watch.{kind}"
        await self._acquire_budget(label, deadline)
        remaining_s = time_left(deadline)
        poll_ms = int(remaining_s * (1 - WATCH_RESPONSE_SHARE) * 1000)
        query = {"after": str(after_version), "timeout_ms": str(poll_ms)}
        call = _Call("GET", label, f"v1/watch/{kind}/{name}", query)
        try:
            response = await self._attempt(call, remaining_s, new_connection=False)
        except _AttemptError as error:
            raise PlatformUnavailableError(f"watch of {kind}/{name}: {error}") from None
        if response.status == 204:
            return None
        return self._unwrap_envelope(kind, name, response.body)

    async def list_vms(self, deadline: float) -> list[Vm]:
        """Return the platform's list of VMs, which may be stale."""
        response = await self._call_with_retries(
            _Call("GET", "list_vms", "v1/vms"), deadline
        )
        try:
            return [Vm(**vm) for vm in response.body["vms"]]
        except (KeyError, TypeError):
            raise PlatformUnavailableError("the list of VMs is malformed") from None

    async def _base_update_ids(
        self, kind: str, name: str, expected: int, deadline: float
    ) -> tuple[str, ...]:
        """Return the ids of the last updates up to the version ``expected``."""
        if expected == 0:
            return ()
        history = self._histories.get((kind, name))
        if history is None or history.version != expected:
            stored = await self.get(kind, name, deadline)
            if stored.version != expected:
                raise VersionConflictError(kind, name, expected, stored.version)
            history = self._histories[kind, name]
        return history.update_ids[-MAX_UPDATE_IDS:]

    async def _conditional_put(self, update: "_Update", data: bytes) -> int:
        """Send a conditional update and resolve whether it took effect."""
        path = _object_path(update.kind, update.name)
        call = _Call("PUT", f"put.{update.kind}", path, data=data)
        response = await self._call_with_retries(call, update.deadline)
        version = _response_version(response)
        if response.status != 409:
            return version
        # Resolve every conflict, also without a lost response: HTTP libraries and
        # intermediaries may retry a PUT on their own.
        return await self._resolve_conflict(update, version, response.retried)

    async def _resolve_conflict(
        self, update: "_Update", actual: int, retried: bool
    ) -> int:
        """Read the object to tell whether the update itself caused the conflict."""
        kind, name = update.kind, update.name
        try:
            stored = await self.get(kind, name, update.deadline)
        except ObjectNotFoundError:
            raise PlatformUnavailableError(
                f"{kind}/{name} was deleted before a lost answer could be settled"
            ) from None
        update_ids = self._histories[kind, name].update_ids
        if update.update_id in update_ids:
            self._metrics.count("platform.settled")
            newest = update_ids[-1] == update.update_id
            return stored.version if newest else update.expected + 1
        # After a lost response, the absence of the update's id proves that the update
        # did not take effect only if the history reaches back to the version that the
        # update was based on.
        if not retried:
            conclusive = True
        elif update.base:
            conclusive = update.base[-1] in update_ids
        else:
            conclusive = len(update_ids) <= MAX_UPDATE_IDS
        if conclusive:
            raise VersionConflictError(kind, name, update.expected, actual)
        raise PlatformUnavailableError(
            f"{kind}/{name} changed too often to settle a lost answer"
        )

    async def _call_with_retries(self, call: "_Call", deadline: float) -> _Response:
        """Retry a call with backoff until a response arrives or time runs out."""
        backoff = _Backoff(deadline)
        new_connection = False
        while True:
            await self._acquire_budget(call.label, deadline)
            timeout_s = max(
                MIN_ATTEMPT_TIMEOUT_S, time_left(deadline) * ATTEMPT_TIMEOUT_SHARE
            )
            try:
                response = await self._attempt(call, timeout_s, new_connection)
                return response._replace(retried=new_connection)
            except _AttemptError as error:
                await backoff.wait(f"{call.label}: {error}")
            # All pooled connections may have stopped responding at once.
            new_connection = True

    async def _acquire_budget(self, label: str, deadline: float) -> None:
        if not await self._budget.take(deadline, label in self._urgent):
            self._metrics.count("platform.over_budget")
            raise PlatformUnavailableError(
                f"{label}: no call is left in the budget before the deadline"
            )

    async def _attempt(
        self, call: "_Call", timeout_s: float, new_connection: bool
    ) -> _Response:
        label = call.label
        self._calls[label] = self._calls.get(label, 0) + 1
        self._metrics.count(f"platform.calls.{label}")
        started = monotonic()
        try:
            response = await self._send(call, timeout_s, new_connection)
            self._track_availability(None, label)
            return response
        except _AttemptError as error:
            self._track_availability(str(error), label)
            self._failures[label] = self._failures.get(label, 0) + 1
            self._metrics.count(f"platform.failures.{label}")
            raise
        finally:
            self._metrics.timing(f"platform.{label}", (monotonic() - started) * 1000)

    def _track_availability(self, failure: str | None, label: str) -> None:
        """Log the start and the end of an outage."""
        now = monotonic()
        if failure is not None and self._failing_since is None:
            self._failing_since = now
            message = f"platform: the service does not respond: {failure}"
            log_state(log, "dependency", "lost", message, call=label)
        elif failure is None and self._failing_since is not None:
            outage_ms = round((now - self._failing_since) * 1000)
            self._failing_since = None
            message = f"platform: the service responds again after {outage_ms} ms"
            log_state(log, "dependency", "regained", message, call=label, ms=outage_ms)

    async def _send(
        self, call: "_Call", timeout_s: float, new_connection: bool
    ) -> _Response:
        try:
            async with self._session(new_connection).request(
                call.method,
                self._url / call.path,
                params=call.query,
                data=call.data,
                timeout=ClientTimeout(total=timeout_s),
            ) as http_response:
                content = await http_response.read()
                return _parse_response(http_response.status, content)
        except TimeoutError:
            raise _AttemptError("no answer in time") from None
        except (ClientError, OSError, ValueError) as error:
            raise _AttemptError(str(error) or type(error).__name__) from None

    def _session(self, new_connection: bool) -> ClientSession:
        """Return the pooled session, or the one with a new connection for each call."""
        if new_connection:
            if self._unpooled_session is None:
                self._unpooled_session = _open_session(TCPConnector(force_close=True))
            return self._unpooled_session
        if self._pooled_session is None:
            self._pooled_session = _open_session(
                TCPConnector(keepalive_timeout=KEEPALIVE_TIMEOUT_S)
            )
        return self._pooled_session

    def _unwrap_envelope(
        self, kind: str, name: str, body: dict[str, Any]
    ) -> VersionedObject:
        try:
            envelope, version = body["value"], int(body["version"])
            update_ids = (*envelope["earlier"], envelope["update_id"])
            value = envelope["value"]
        except (KeyError, TypeError):
            raise PlatformUnavailableError(
                f"{kind}/{name} is malformed in the store"
            ) from None
        self._cache_history(kind, name, _History(version, update_ids))
        return VersionedObject(value, version)

    def _cache_history(self, kind: str, name: str, history: _History) -> None:
        key = (kind, name)
        cached = self._histories.get(key)
        if cached is None or history.version >= cached.version:
            self._histories[key] = history
        self._histories.move_to_end(key)
        if len(self._histories) > MAX_CACHED_HISTORIES:
            self._histories.popitem(last=False)


def _open_session(connector: TCPConnector) -> ClientSession:
    session = ClientSession(connector=connector)
    # aiohttp would retry calls on dropped connections by itself, outside of the budget.
    session._retry_connection = False
    return session


class _Call(NamedTuple):
    method: str
    label: str
    path: str
    query: Mapping[str, str] = {}
    data: bytes | None = None


class _Update(NamedTuple):
    """Conditional update; ``base`` has the ids of the updates before it."""

    kind: str
    name: str
    update_id: str
    expected: int
    base: tuple[str, ...]
    deadline: float


class _Backoff:
    """Exponential backoff with full jitter, so that VMs do not retry together."""

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline
        self._limit_s = FIRST_BACKOFF_S

    async def wait(self, reason: str) -> None:
        """Wait before the next attempt or raise ``PlatformUnavailableError``."""
        # Jitter needs no secure random numbers.
        delay_s = random.uniform(0, self._limit_s)
        self._limit_s = min(MAX_BACKOFF_S, self._limit_s * 2)
        if has_passed(self._deadline - delay_s - MIN_ATTEMPT_TIMEOUT_S):
            raise PlatformUnavailableError(reason)
        log.debug("%s; next attempt in %.2f s", reason, delay_s)
        await asyncio.sleep(delay_s)


def _object_path(kind: str, name: str) -> str:
    return f"v1/objects/{kind}/{name}"


def _response_version(response: _Response) -> int:
    version = response.body.get("version")
    if not isinstance(version, int):
        raise PlatformUnavailableError("the service answered without a version")
    return version


def _parse_response(status: int, content: bytes) -> _Response:
    if status == 413:
        raise PlatformError("the store refused the value: it is too large")
    if status not in (200, 204, 404, 409):
        raise _AttemptError(f"the service answered {status}")
    body = json.loads(content) if content else {}
    if not isinstance(body, dict):
        raise ValueError("the answer is not an object")
    return _Response(status, body)
