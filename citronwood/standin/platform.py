"""Stand-in for the platform's service: a store with versions and a list of VMs.

Paths under ``/v1`` are the service; paths under ``/standin`` switch faults, register
VMs and read the counted calls.
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
MAX_KEPT_CALLS = 100_000
MAX_KEPT_VM_LISTS = 1000

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults(BaseModel):
    """Fault switches.

    ``lose_answers`` is the number of answers to changes that are still to be lost
    (-1: all); the change takes effect. ``refuse_for_s`` closes the listening socket
    for a time. ``freeze`` makes the connections of this moment silent for good.
    """

    model_config = ConfigDict(extra="forbid")

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    silent_watches: bool = False
    freeze: bool = False
    refuse_for_s: float = 0.0


class ListedVm(BaseModel):
    """Entry of the list of VMs without its name."""

    model_config = ConfigDict(extra="forbid")

    url: str
    failure_domain: str
    status: Literal["live", "leaving"] = "live"


class Call(NamedTuple):
    """One counted call; ``at`` is monotonic time."""

    at: float
    kind: str


class _Conflict(Exception):  # noqa: N818 - internal control flow
    def __init__(self, version: int) -> None:
        super().__init__(version)
        self.version = version


class Store:
    """Objects by kind and name; versions go on rising after a deletion."""

    def __init__(self) -> None:
        self._values: dict[tuple[str, str], Any] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._changed = asyncio.Event()

    def get(self, kind: str, name: str) -> tuple[Any, int] | None:
        """Return the value and its version, None without an object."""
        key = (kind, name)
        if key not in self._values:
            return None
        return self._values[key], self._versions[key]

    def _check(self, key: tuple[str, str], expected: int) -> None:
        actual = self._versions[key] if key in self._values else 0
        if actual != expected:
            raise _Conflict(actual)

    def put(self, kind: str, name: str, value: Any, expected: int) -> int:
        """Replace an object if it has the expected version."""
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
        """Return the object once its version is above ``after``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while True:
                    found = self.get(kind, name)
                    if found is not None and found[1] > after:
                        return found
                    await self._changed.wait()
        return None


class VmList:
    """List of VMs that readers see with a lag."""

    def __init__(self) -> None:
        self.lag_s = 0.0
        self._current: dict[str, ListedVm] = {}
        self._lists: deque[tuple[float, dict[str, ListedVm]]] = deque(
            [(0.0, {})], maxlen=MAX_KEPT_VM_LISTS
        )

    def set(self, name: str, vm: ListedVm | None) -> None:
        """Add, replace or (None) remove a VM."""
        self._current = {k: v for k, v in self._current.items() if k != name}
        if vm is not None:
            self._current[name] = vm
        self._lists.append((monotonic(), self._current))

    def visible(self) -> list[dict[str, str]]:
        """Return the list as it was before the lag."""
        limit = monotonic() - self.lag_s
        visible = self._lists[0][1]
        for at, vms in self._lists:
            if at <= limit:
                visible = vms
        return [{"name": name, **vm.model_dump()} for name, vm in visible.items()]


class StandinPlatform:
    """The service with its fault switches."""

    def __init__(self, host: str, port: int) -> None:
        self.faults = Faults()
        self.vms = VmList()
        self.calls: deque[Call] = deque(maxlen=MAX_KEPT_CALLS)
        self._counts: Counter[str] = Counter()
        self._address = (host, port)
        self._connections: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._frozen: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._runner: web.AppRunner | None = None
        self._store: Store | None = None
        self._reopening: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return f"http://{self._address[0]}:{self._address[1]}"

    @property
    def store(self) -> Store:
        """The store behind the service."""
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
        """Accept connections (again)."""
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
        # Keeps the port that the system chose, so that listening again uses it.
        self._address = self._runner.addresses[0][:2]

    async def refuse_connections(self) -> None:
        """Close the listening socket and all connections; the objects stay."""
        if self._runner is not None:
            runner, self._runner = self._runner, None
            await runner.cleanup()

    async def stop(self) -> None:
        """Stop the service."""
        if self._reopening is not None:
            self._reopening.cancel()
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
        if self._is_frozen(request):
            await asyncio.sleep(MAX_WATCH_S)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return _error(503, "the service is down")
        response = await handler(request)
        if request.method in ("PUT", "DELETE") and self._takes_answer():
            _drop_connection(request)
        return response

    def freeze(self) -> None:
        """Make the present connections silent for good; new ones work."""
        self._frozen.update(self._connections)

    def _is_frozen(self, request: web.Request) -> bool:
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

    def _takes_answer(self) -> bool:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        return self.faults.lose_answers < 0

    async def _get(self, request: web.Request) -> web.Response:
        found = self.store.get(*_object(request))
        if found is None:
            return _error(404, "no such object")
        return _answer(*found)

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.json()
        value, expected = body["value"], int(body["expected_version"])
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            return _error(413, f"values are limited to {MAX_VALUE_BYTES} bytes")
        try:
            version = self.store.put(*_object(request), value, expected)
        except _Conflict as conflict:
            return web.json_response({"version": conflict.version}, status=409)
        return web.json_response({"version": version})

    async def _delete(self, request: web.Request) -> web.Response:
        expected = int(request.query["expected_version"])
        try:
            self.store.delete(*_object(request), expected)
        except _Conflict as conflict:
            return web.json_response({"version": conflict.version}, status=409)
        return web.Response(status=204)

    async def _watch(self, request: web.Request) -> web.Response:
        if self.faults.silent_watches:
            await asyncio.sleep(MAX_WATCH_S)
        timeout_s = min(MAX_WATCH_S, int(request.query["timeout_ms"]) / 1000)
        after = int(request.query["after"])
        found = await self.store.watch(*_object(request), after, timeout_s)
        if self.faults.silent_watches:
            # A watch that was pending when the switch was set goes silent as well.
            await asyncio.sleep(MAX_WATCH_S)
        return web.Response(status=204) if found is None else _answer(*found)

    async def _list_vms(self, request: web.Request) -> web.Response:
        return web.json_response({"vms": self.vms.visible()})

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = Faults.model_validate_json(await request.read())
        except ValidationError as error:
            return _error(400, str(error))
        self.faults = faults
        if faults.freeze:
            self.freeze()
        log.info("faults are now %s", faults.model_dump(exclude_defaults=True))
        if faults.refuse_for_s > 0:
            self._reopening = asyncio.create_task(self._refuse(faults.refuse_for_s))
        return web.json_response(faults.model_dump())

    async def _refuse(self, seconds: float) -> None:
        # The short wait lets the answer to the request that set the switch leave.
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
            return _error(400, str(error))
        self.vms.set(request.match_info["name"], vm)
        return web.Response(status=204)

    async def _remove_vm(self, request: web.Request) -> web.Response:
        self.vms.set(request.match_info["name"], None)
        return web.Response(status=204)

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts)


def _object(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _answer(value: Any, version: int) -> web.Response:
    return web.json_response({"value": value, "version": version})


def _error(status: int, message: str) -> web.Response:
    return web.json_response({"error": message}, status=status)


def _drop_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


class StandinPlatformService(Service):  # type: ignore[misc]
    """Runs the stand-in in a process of its own."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._platform = StandinPlatform(host, port)

    async def start(self) -> None:
        """Listen."""
        await self._platform.start()
        log.info("platform stand-in listens on %s", self._platform.url)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening."""
        await self._platform.stop()
