"""Stand-in for the platform's service: a versioned object store and a list of VMs.

Paths under ``/v1`` are the service; paths under ``/standin`` inject faults, register
VMs and return the number of calls.
"""

import asyncio
import contextlib
import json
import logging
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Any, Literal, NamedTuple
from weakref import WeakSet

from aiohttp import web
from aiomisc import Service
from pydantic import BaseModel, ConfigDict, ValidationError

log = logging.getLogger(__name__)

MAX_VALUE_BYTES = 1_000_000
MAX_BODY_BYTES = 2 * MAX_VALUE_BYTES
MAX_WATCH_S = 60.0
MAX_RECORDED_CALLS = 100_000
MAX_VM_LIST_SNAPSHOTS = 1000

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults(BaseModel):
    """Injected faults.

    ``down`` refuses each call with status 503. ``lose_answers`` is the number of
    changes that will take effect without a response (-1: all). ``refuse_for_s`` closes
    all connections and, for that time, the listening socket. ``silent_watches`` delays
    watches, and ``freeze`` delays all later calls on the connections used so far, by
    ``MAX_WATCH_S``, which is longer than clients wait.
    """

    model_config = ConfigDict(extra="forbid")

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    silent_watches: bool = False
    freeze: bool = False
    refuse_for_s: float = 0.0


class ListedVm(BaseModel):
    """Entry of the list of VMs, without the name."""

    model_config = ConfigDict(extra="forbid")

    url: str
    failure_domain: str
    status: Literal["live", "leaving"] = "live"


class Call(NamedTuple):
    """Recorded call; ``kind`` as in ``StandinPlatform.counts``, ``at`` is monotonic."""

    at: float
    kind: str


class _VersionConflict(Exception):  # noqa: N818 - internal control flow
    def __init__(self, version: int) -> None:
        super().__init__(version)
        self.version = version


class Store:
    """Objects by kind and name; versions keep rising after a deletion."""

    def __init__(self) -> None:
        self._values: dict[tuple[str, str], Any] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._changed = asyncio.Event()

    def get(self, kind: str, name: str) -> tuple[Any, int] | None:
        """Return the value and its version, None if there is no object."""
        key = (kind, name)
        if key not in self._values:
            return None
        return self._values[key], self._versions[key]

    def _check(self, key: tuple[str, str], expected: int) -> None:
        actual = self._versions[key] if key in self._values else 0
        if actual != expected:
            raise _VersionConflict(actual)

    def put(self, kind: str, name: str, value: Any, expected: int) -> int:
        """Write an object if it has the expected version (0: none exists)."""
        key = (kind, name)
        self._check(key, expected)
        self._values[key] = value
        self._versions[key] = self._versions.get(key, 0) + 1
        self._notify()
        return self._versions[key]

    def delete(self, kind: str, name: str, expected: int) -> None:
        """Delete an object if it has the expected version."""
        key = (kind, name)
        self._check(key, expected)
        self._values.pop(key, None)
        self._versions[key] = self._versions.get(key, 0) + 1
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(
        self, kind: str, name: str, after: int, timeout_s: float
    ) -> tuple[Any, int] | None:
        """Return the object once its version is above ``after``, None on timeout.

        A deletion is not reported.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while True:
                    found = self.get(kind, name)
                    if found is not None and found[1] > after:
                        return found
                    await self._changed.wait()
        return None


class VmList:
    """List of VMs that readers see with a lag of ``lag_s``."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self._current: dict[str, ListedVm] = {}
        self._snapshots: deque[tuple[float, dict[str, ListedVm]]] = deque(
            [(0.0, {})], maxlen=MAX_VM_LIST_SNAPSHOTS
        )

    def set(self, name: str, vm: ListedVm | None) -> None:
        """Add, replace or (None) remove a VM."""
        self._current = {k: v for k, v in self._current.items() if k != name}
        if vm is not None:
            self._current[name] = vm
        self._snapshots.append((monotonic(), self._current))

    def visible(self) -> list[dict[str, str]]:
        """Return the list as it was ``lag_s`` ago, as far as snapshots are kept."""
        visible_before = monotonic() - self.lag_s
        visible = self._snapshots[0][1]
        for at, vms in self._snapshots:
            if at <= visible_before:
                visible = vms
        return [{"name": name, **vm.model_dump()} for name, vm in visible.items()]


class StandinPlatform:
    """Platform service with fault injection."""

    def __init__(self, host: str, port: int) -> None:
        self.faults = Faults()
        self.vms = VmList()
        self.calls: deque[Call] = deque(maxlen=MAX_RECORDED_CALLS)
        self._counts: Counter[str] = Counter()
        self._address = (host, port)
        self._connections: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._frozen: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._runner: web.AppRunner | None = None
        self._store: Store | None = None
        self._reopen_task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return f"http://{self._address[0]}:{self._address[1]}"

    @property
    def store(self) -> Store:
        """Object store of the service."""
        assert self._store is not None
        return self._store

    @property
    def counts(self) -> dict[str, int]:
        """Number of calls by operation and kind, such as ``get.config``."""
        return dict(self._counts)

    async def start(self) -> None:
        """Open the store and listen."""
        self._store = Store()
        await self.listen()

    async def listen(self) -> None:
        """Start to listen, also again after ``refuse_connections``."""
        if self._runner is not None:
            return
        self._runner = web.AppRunner(
            self._application(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.01,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, *self._address)
        await site.start()
        # If the system chose the port, the next ``listen`` uses the same one.
        self._address = self._runner.addresses[0][:2]

    async def refuse_connections(self) -> None:
        """Close the listening socket and all connections; keep the objects."""
        if self._runner is not None:
            runner, self._runner = self._runner, None
            await runner.cleanup()

    async def stop(self) -> None:
        """Stop the service."""
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        await self.refuse_connections()

    def _application(self) -> web.Application:
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._apply_faults]
        )
        objects = "/v1/objects/{kind}/{name}"
        app.add_routes(
            [
                web.get(objects, self._get),
                web.put(objects, self._put),
                web.delete(objects, self._delete),
                web.get("/v1/watch/{kind}/{name}", self._watch),
                web.get("/v1/vms", self._list_vms),
                web.put("/standin/faults", self._set_faults),
                web.put("/standin/lag", self._set_lag),
                web.put("/standin/vms/{name}", self._set_vm),
                web.delete("/standin/vms/{name}", self._remove_vm),
                web.get("/standin/calls", self._get_calls),
            ]
        )
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        self._count(request)
        if self._record_connection(request):
            await asyncio.sleep(MAX_WATCH_S)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return _error_response(503, "the service is down")
        response = await handler(request)
        if request.method in ("PUT", "DELETE") and self._consume_lost_answer():
            _drop_connection(request)
        return response

    def freeze(self) -> None:
        """Hold back later calls on the connections used so far; new ones work."""
        self._frozen.update(self._connections)

    def _record_connection(self, request: web.Request) -> bool:
        """Record the connection of a call; return whether it is frozen."""
        if request.transport is None:
            return False
        self._connections.add(request.transport)
        return request.transport in self._frozen

    def _count(self, request: web.Request) -> None:
        if request.path.startswith("/v1/vms"):
            kind = "list_vms"
        else:
            watch = request.path.startswith("/v1/watch/")
            operation = "watch" if watch else request.method.lower()
            kind = f"{operation}.{request.match_info.get('kind', '')}"
        self._counts[kind] += 1
        self.calls.append(Call(monotonic(), kind))

    def _consume_lost_answer(self) -> bool:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        return self.faults.lose_answers < 0

    async def _get(self, request: web.Request) -> web.Response:
        found = self.store.get(*_object_key(request))
        if found is None:
            return _error_response(404, "no such object")
        return _object_response(*found)

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.json()
        value, expected = body["value"], int(body["expected_version"])
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            return _error_response(
                413, f"values are limited to {MAX_VALUE_BYTES} bytes"
            )
        try:
            version = self.store.put(*_object_key(request), value, expected)
        except _VersionConflict as conflict:
            return web.json_response({"version": conflict.version}, status=409)
        return web.json_response({"version": version})

    async def _delete(self, request: web.Request) -> web.Response:
        expected = int(request.query["expected_version"])
        try:
            self.store.delete(*_object_key(request), expected)
        except _VersionConflict as conflict:
            return web.json_response({"version": conflict.version}, status=409)
        return web.Response(status=204)

    async def _watch(self, request: web.Request) -> web.Response:
        if self.faults.silent_watches:
            await asyncio.sleep(MAX_WATCH_S)
        timeout_s = min(MAX_WATCH_S, int(request.query["timeout_ms"]) / 1000)
        after = int(request.query["after"])
        found = await self.store.watch(*_object_key(request), after, timeout_s)
        if self.faults.silent_watches:
            # A watch that was pending when the fault was set goes silent as well.
            await asyncio.sleep(MAX_WATCH_S)
        return web.Response(status=204) if found is None else _object_response(*found)

    async def _list_vms(self, request: web.Request) -> web.Response:
        return web.json_response({"vms": self.vms.visible()})

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = Faults.model_validate_json(await request.read())
        except ValidationError as error:
            return _error_response(400, str(error))
        self.faults = faults
        if faults.freeze:
            self.freeze()
        log.info("injected faults set to %s", faults.model_dump(exclude_defaults=True))
        if faults.refuse_for_s > 0:
            self._reopen_task = asyncio.create_task(
                self._refuse_connections_for(faults.refuse_for_s)
            )
        return web.json_response(faults.model_dump())

    async def _refuse_connections_for(self, seconds: float) -> None:
        # Lets the response to the request that set the fault go out first.
        await asyncio.sleep(0.05)
        await self.refuse_connections()
        await asyncio.sleep(seconds)
        self.faults.refuse_for_s = 0.0
        await self.listen()

    async def _set_lag(self, request: web.Request) -> web.Response:
        self.vms.lag_s = float((await request.json())["lag_ms"]) / 1000
        return web.Response(status=204)

    async def _set_vm(self, request: web.Request) -> web.Response:
        try:
            vm = ListedVm.model_validate_json(await request.read())
        except ValidationError as error:
            return _error_response(400, str(error))
        self.vms.set(request.match_info["name"], vm)
        return web.Response(status=204)

    async def _remove_vm(self, request: web.Request) -> web.Response:
        self.vms.set(request.match_info["name"], None)
        return web.Response(status=204)

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts)


def _object_key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _object_response(value: Any, version: int) -> web.Response:
    return web.json_response({"value": value, "version": version})


def _error_response(status: int, message: str) -> web.Response:
    return web.json_response({"error": message}, status=status)


def _drop_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


class StandinPlatformService(Service):  # type: ignore[misc]
    """Service that runs the platform stand-in in a process."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._platform = StandinPlatform(host, port)

    async def start(self) -> None:
        """Listen."""
        await self._platform.start()
        log.info("platform stand-in listening on %s", self._platform.url)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening."""
        await self._platform.stop()
