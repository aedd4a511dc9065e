"""HTTP client of the platform's object store, used by the relay."""

import logging
from collections.abc import Callable, Mapping
from time import monotonic
from types import TracebackType
from typing import Any, NamedTuple, Self, TypeVar

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, DummyCookieJar

from citronwood.deadline import deadline_in, time_left
from citronwood.decisions import log_state
from citronwood.errors import (
    MessageError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    StoreRestoredError,
    VersionConflictError,
)
from citronwood.metrics import Metrics
from citronwood.platform.api import ANY_VERSION, Listing, VersionedObject
from citronwood.platform.pages import StoredObject, decode_object, decode_page
from citronwood.versions import MAX_GENERATION, generation_of, make_version, revision_of

log = logging.getLogger(__name__)

# Part of a put's time that is reserved to read the object back after a lost response.
READ_BACK_RESERVE_S = 0.3
MAX_PAGES = 1000
# Also used after the deadline: aiohttp takes a timeout of 0 or less as no timeout.
MIN_CALL_TIMEOUT_S = 0.05
# In all answers of the store; rises by one each time it was restored from a copy.
GENERATION_HEADER = "Store-Era"

_T = TypeVar("_T")


class _Response(NamedTuple):
    status: int
    body: bytes
    generation: int


class HttpObjectStore:
    """Implements ``ObjectStore``; use it as an asynchronous context manager.

    Parameters
    ----------
    address : str
        Host and port of the store.
    metrics : Metrics
        Receives counts and durations of calls.
    """

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._base = f"http://{address}/api/objects"
        self._metrics = metrics
        self._session: ClientSession | None = None
        self._failing_since: float | None = None
        # Newest generation of the store that an answer has named; None before that.
        self._generation: int | None = None

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
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, kind: str, name: str, deadline: float) -> VersionedObject:
        """Return an object or raise ``ObjectNotFoundError``."""
        response = await self._call("GET", f"{kind}/{name}", deadline)
        if response.status == 404:
            raise ObjectNotFoundError(
                f"{kind}/{name} does not exist", make_version(response.generation, 0)
            )
        return self._decode_versioned(response)

    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        expected_version: int,
        deadline: float,
    ) -> int:
        """Replace an object and return its new version."""
        self._check_generation(kind, name, expected_version, self._generation or 0)
        meta: dict[str, Any] = {"name": name, "finalizers": []}
        revision = revision_of(expected_version)
        if expected_version == ANY_VERSION or revision:
            method, path = "PUT", f"{kind}/{name}"
            if expected_version != ANY_VERSION:
                meta["revision"] = revision
        else:
            method, path = "POST", kind
        body = msgspec.json.encode({"meta": meta, "spec": value})
        write_deadline = deadline - min(READ_BACK_RESERVE_S, time_left(deadline) / 2)
        try:
            response = await self._call(method, path, write_deadline, body)
        except PlatformUnavailableError:
            return await self._resolve_outcome(
                kind, name, value, expected_version, deadline
            )
        self._check_generation(kind, name, expected_version, response.generation)
        if response.status == 404 and expected_version == ANY_VERSION:
            raise VersionConflictError(kind, name, expected_version, 0)
        if response.status in (404, 409):
            return await self._resolve_outcome(
                kind, name, value, expected_version, deadline, conflict=True
            )
        return self._decode_versioned(response).version

    async def delete(
        self, kind: str, name: str, expected_version: int, deadline: float
    ) -> None:
        """Delete an object if its version is ``expected_version``; 0 matches any."""
        query = {}
        if expected_version:
            self._check_generation(kind, name, expected_version, self._generation or 0)
            query["revision"] = str(revision_of(expected_version))
        response = await self._call("DELETE", f"{kind}/{name}", deadline, query=query)
        if expected_version:
            self._check_generation(kind, name, expected_version, response.generation)
        if response.status == 409:
            actual = self._decode_versioned(response).version
            raise VersionConflictError(kind, name, expected_version, actual)
        if response.status not in (200, 204, 404):
            raise PlatformUnavailableError(f"delete: status {response.status}")

    async def list_objects(
        self, kind: str, deadline: float, stale_ok: bool = False
    ) -> Listing:
        """Return all objects of a kind."""
        objects: dict[str, VersionedObject] = {}
        query = {"stale_ok": "1"} if stale_ok else {}
        # Return the version of the first page, so that the next listing detects changes
        # made between pages.
        version = None
        for _ in range(MAX_PAGES):
            response = await self._call("GET", kind, deadline, query=query)
            page = self._decode(response, decode_page)
            found = make_version(response.generation, page.store_revision)
            version = found if version is None else version
            if generation_of(version) != response.generation:
                # The pages are not of one content; objects may be in none of them.
                raise PlatformUnavailableError(f"{kind}: restored between two pages")
            for item in page.items:
                if not item.meta.deleting:
                    objects[item.meta.name] = _to_versioned(item, response.generation)
            if not page.more:
                return Listing(objects, version)
            if not page.items:
                raise PlatformError(
                    f"{kind}: a page has no readable name to go on from"
                )
            query["after"] = page.items[-1].meta.name
        raise PlatformError(f"{kind} has more than {MAX_PAGES} pages")

    async def _resolve_outcome(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        expected: int,
        deadline: float,
        conflict: bool = False,
    ) -> int:
        """Read the object to tell whether an update has taken effect.

        ``conflict`` is set if the store refused the update. Raises
        ``VersionConflictError`` if another writer has changed or deleted the object,
        and ``PlatformUnavailableError`` if the update may still take effect.
        """
        try:
            stored = await self.get(
                kind, name, max(deadline, deadline_in(MIN_CALL_TIMEOUT_S))
            )
        except ObjectNotFoundError as error:
            self._check_generation(kind, name, expected, generation_of(error.version))
            if conflict:
                raise VersionConflictError(kind, name, expected, 0) from None
            raise PlatformUnavailableError(f"{kind}/{name}: unknown outcome") from None
        self._check_generation(kind, name, expected, generation_of(stored.version))
        if stored.value == value:
            self._metrics.count("platform.settled")
            log_state(
                log,
                "update",
                "settled",
                f"platform: {kind}/{name} has the update whose answer was lost",
                version=stored.version,
                expected=expected,
            )
            return stored.version
        if expected != ANY_VERSION and stored.version != expected:
            raise VersionConflictError(kind, name, expected, stored.version)
        raise PlatformUnavailableError(f"{kind}/{name}: unknown outcome")

    async def _call(
        self,
        method: str,
        path: str,
        deadline: float,
        body: bytes | None = None,
        query: Mapping[str, str] | None = None,
    ) -> _Response:
        label = f"{method.lower()}.{path.split('/')[0]}"
        started = monotonic()
        try:
            async with self._get_session().request(
                method,
                f"{self._base}/{path}",
                params=query,
                data=body,
                headers={"Content-Type": "application/json"} if body else None,
                timeout=ClientTimeout(
                    total=max(MIN_CALL_TIMEOUT_S, time_left(deadline))
                ),
            ) as response:
                content = await response.read()
                status = response.status
                header = response.headers.get(GENERATION_HEADER)
        except (ClientError, TimeoutError, OSError, ValueError) as error:
            failure = type(error).__name__
        else:
            failure = f"status {status}" if status in (429, 503) else ""
        self._metrics.count(f"platform.calls.{label}")
        self._track_availability(failure, label)
        if failure:
            self._metrics.count(f"platform.failures.{label}")
            raise PlatformUnavailableError(f"{label}: {failure}")
        self._metrics.timing(f"platform.{label}", (monotonic() - started) * 1000)
        return _Response(status, content, self._read_generation(header, label))

    def _read_generation(self, text: str | None, label: str) -> int:
        """Return the generation that an answer names; log the first of a new one."""
        if text is None and self._generation is None:
            return 0
        generation = _parse_generation(text)
        if generation is None:
            self._metrics.count("platform.malformed")
            raise PlatformUnavailableError(f"{label}: malformed generation {text!r}")
        if self._generation is not None and generation > self._generation:
            self._metrics.count("platform.restored")
            message = f"platform: the store was restored, generation {generation}"
            log_state(
                log, "store", "restored", message, call=label, generation=generation
            )
        self._generation = max(generation, self._generation or 0)
        return generation

    def _check_generation(
        self, kind: str, name: str, expected: int, generation: int
    ) -> None:
        """Raise ``StoreRestoredError`` if an expected version is of an earlier one.

        The store compares revisions alone, and the same ones are given out again.
        """
        if expected != ANY_VERSION and generation_of(expected) < generation:
            actual = make_version(generation, 0)
            raise StoreRestoredError(kind, name, expected, actual)

    def _track_availability(self, failure: str, label: str) -> None:
        """Log the start and the end of an outage."""
        now = monotonic()
        if failure and self._failing_since is None:
            self._failing_since = now
            message = f"platform: the store does not respond: {failure}"
            log_state(log, "dependency", "lost", message, call=label)
        elif not failure and self._failing_since is not None:
            outage_ms = round((now - self._failing_since) * 1000)
            self._failing_since = None
            message = f"platform: the store responds again after {outage_ms} ms"
            log_state(log, "dependency", "regained", message, call=label, ms=outage_ms)

    def _get_session(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(cookie_jar=DummyCookieJar())
        return self._session

    def _decode_versioned(self, response: _Response) -> VersionedObject:
        item = self._decode(response, decode_object)
        return _to_versioned(item, response.generation)

    def _decode(self, response: _Response, decode: Callable[[bytes], _T]) -> _T:
        if response.status not in (200, 201, 409):
            raise PlatformUnavailableError(f"status {response.status}")
        try:
            return decode(response.body)
        except MessageError as error:
            self._metrics.count("platform.malformed")
            raise PlatformUnavailableError(f"malformed answer: {error}") from None


def _parse_generation(text: str | None) -> int | None:
    """Return the generation that a header names; None if it is not usable."""
    is_number = text is not None and text.isascii() and text.isdecimal()
    if text is None or not is_number or len(text) > len(str(MAX_GENERATION)):
        return None
    generation = int(text)
    return generation if generation <= MAX_GENERATION else None


def _to_versioned(item: StoredObject, generation: int) -> VersionedObject:
    version = make_version(generation, item.meta.revision)
    return VersionedObject(_as_dict(item.spec), version)


def _as_dict(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}
