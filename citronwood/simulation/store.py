"""Model of the platform's store and of its call to promote a server.

From the users' pages: "Its responses are linearizable. A single revision counter
increases with each change." "A 503 response means that nothing was done." "A call that
receives no response may have been executed, or may be executed seconds later if its
condition still holds." Watches are not modelled; the relay uses none.

"In a drill the store may be away for a moment and come back from a copy some seconds
old. Revisions go back and are given out again. The header ``Store-Era``, in all its
answers, rises by one each time."
"""

import asyncio
import json
import random
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from aiohttp import web

from citronwood.simulation.history import History, PromoteCall
from citronwood.simulation.servers import HEARTBEAT_S, PROMOTION_S, Server

ANSWER_S = 0.004
LATE_S = 2.0
# "Removed after three heartbeat intervals of silence."
ENTRY_LIFETIME_S = 3 * HEARTBEAT_S
PAGE_SIZE = 500
GENERATION_HEADER = "Store-Era"
# Older than the oldest copy that a drill restores.
COPY_LIFETIME_S = 10.0


class Copy(NamedTuple):
    """Content of the store at a time."""

    at: float
    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]


class Store:
    """Objects by kind and name.

    ``is_down`` and ``refuses`` (hosts) make calls fail with 503, ``lost_share`` is the
    share of calls whose answer never comes, some of them executed late. ``texts`` are
    JSON texts of objects that another writer has made unreadable. ``generation`` counts
    the restores from a copy.
    """

    def __init__(self, source: random.Random, time: Callable[[], float]) -> None:
        self._random = source
        self._time = time
        self.revision = 100
        self.generation = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.is_down = False
        self.refuses: set[str] = set()
        self.lost_share = 0.0
        self.texts: list[str] = []
        self._written_at: dict[str, float] = {}
        self._copies: deque[Copy] = deque()

    async def start(self, host: str, port: int) -> None:
        """Serve calls."""
        application = web.Application()
        application.router.add_route("*", "/api/objects/{kind}", self._handle)
        application.router.add_route("*", "/api/objects/{kind}/{name}", self._handle)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()

    def write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object."""
        self.revision += 1
        kept = self.objects.setdefault(kind, {})
        meta = {
            "name": name,
            "revision": self.revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        kept[name] = {"meta": meta, "spec": spec, "status": None}
        return kept[name]

    def write_server(self, server: str, entry: dict[str, Any] | None) -> None:
        """Write the entry of a server, or remove it."""
        if self.is_down:
            return
        if entry is None:
            self.remove("servers", server)
        else:
            self.write("servers", server, entry)
            self._written_at[server] = self._time()

    def expire_entries(self) -> None:
        """Remove the entries of servers that have been silent for too long."""
        for server, at in list(self._written_at.items()):
            if self._time() >= at + ENTRY_LIFETIME_S:
                del self._written_at[server]
                self.remove("servers", server)

    def keep_copy(self) -> None:
        """Keep a copy of the content, and drop those that are too old.

        Objects are replaced as a whole, so the copy shares them.
        """
        objects = {kind: dict(kept) for kind, kept in self.objects.items()}
        self._copies.append(Copy(self._time(), self.revision, objects))
        while self._copies[0].at < self._time() - COPY_LIFETIME_S:
            self._copies.popleft()

    def restore(self, at: float) -> None:
        """Return to the newest copy that was kept until a time, or to the oldest one.

        The copy may be older than an earlier restore, and then has what that one lost.
        Entries of servers are as silent as if they had just been written.
        """
        kept = [copy for copy in self._copies if copy.at <= at] or [self._copies[0]]
        self.revision = kept[-1].revision
        self.objects = {
            kind: dict(objects) for kind, objects in kept[-1].objects.items()
        }
        self.generation += 1
        self._written_at = dict.fromkeys(self.objects["servers"], self._time())

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        response = await self._answer(request)
        response.headers[GENERATION_HEADER] = str(self.generation)
        return response

    async def _answer(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        if self.is_down or request.remote in self.refuses:
            return web.json_response({}, status=503)
        body = await request.json() if request.can_read_body else {}
        if self._random.random() < self.lost_share:
            if self._random.random() < 0.5:
                await asyncio.sleep(self._random.random() * LATE_S)
                self._execute(request, body)
            await asyncio.Event().wait()
        return self._execute(request, body)

    def _execute(self, request: web.Request, body: dict[str, Any]) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info.get("name", "")
        objects = self.objects.setdefault(kind, {})
        if request.method == "GET" and not name:
            return self._list(kind, request.query.get("after", ""))
        meta = body.get("meta", {})
        if request.method == "POST":
            name = meta["name"]
            if name in objects:
                return web.json_response(objects[name], status=409)
            return web.json_response(self.write(kind, name, body["spec"]), status=201)
        if name not in objects:
            return web.json_response({}, status=404)
        expected = meta.get("revision", request.query.get("revision"))
        is_current = expected in (None, "") or (
            int(expected) == objects[name]["meta"]["revision"]
        )
        if request.method == "GET" or not is_current:
            status = 200 if request.method == "GET" else 409
            return web.json_response(objects[name], status=status)
        if request.method == "DELETE":
            self.remove(kind, name)
            return web.json_response({})
        if objects[name]["spec"] != body["spec"]:
            self.write(kind, name, body["spec"])
        return web.json_response(objects[name])

    def _list(self, kind: str, after: str) -> web.Response:
        objects = self.objects[kind]
        names = sorted(name for name in objects if name > after)
        more = len(names) > PAGE_SIZE
        items = [json.dumps(objects[name]) for name in names[:PAGE_SIZE]]
        if kind == "servers" and not more:
            items += self.texts
        end = json.dumps({"more": more, "store_revision": self.revision})
        text = f'{{"items": [{", ".join(items)}], {end[1:]}'
        return web.Response(text=text, content_type="application/json")


class Cloud:
    """The platform's call that promotes a server.

    ``is_late`` delays the effect of calls, and ``loses_answers`` their answers.
    """

    def __init__(
        self, servers: dict[str, Server], history: History, time: Callable[[], float]
    ) -> None:
        self._servers = servers
        self._history = history
        self._time = time
        self.is_late = False
        self.loses_answers = False

    async def start(self, host: str, port: int) -> None:
        """Serve calls."""
        application = web.Application()
        application.router.add_post("/promote", self._promote)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._history.promote_calls.append(
            PromoteCall(
                self._time(),
                body["id"],
                request.headers["Duty-Holder"],
                int(request.headers["Fencing-Token"]),
                request.remote or "",
            )
        )
        server = self._servers.get(body["id"])
        if server is None or server.group.name != body["service"]:
            return web.json_response({}, status=404)
        if not server.machine.is_running:
            return web.json_response({}, status=409)
        delay_s = PROMOTION_S * (4 if self.is_late else 1)
        asyncio.get_running_loop().call_later(delay_s, server.promote)
        if self.loses_answers:
            await asyncio.Event().wait()
        return web.json_response({})
