"""Stand-ins for the platform's store, backend servers and callers."""

import asyncio
import json
from itertools import count
from typing import NamedTuple

from aiohttp import web

from citronwood.errors import (
    ObjectNotFoundError,
    PlatformUnavailableError,
    StoreRestoredError,
    VersionConflictError,
)
from citronwood.platform.api import ANY_VERSION, Listing, VersionedObject
from citronwood.relay.clock import now

# Versions of the store count on from here with each restore from a copy.
GENERATION_SPAN = 10**12
# Longer than the longest message of a caller, to which the relay adds a position.
MAX_LINE_BYTES = 1 << 21
# Kinds whose writers write their objects again after a restore.
FOREIGN_KINDS = ("config", "servers")


class StoreCopy(NamedTuple):
    """Content of a store at one moment."""

    version: int
    objects: dict[str, dict[str, VersionedObject]]


class MemoryStore:
    """Store in memory.

    The next ``answers_to_lose`` writes are executed, but their answers are lost. All
    calls fail while the store is ``unavailable``. A version is the generation of the
    store, the number of its restores, times ``GENERATION_SPAN``, plus a revision, which
    goes back with each restore.
    """

    def __init__(self):
        self.version = 1
        self.objects = {}
        self.unavailable = False
        self.answers_to_lose = 0
        self.calls = []

    async def get(self, kind, name, deadline):
        self._start_call("get", kind)
        stored = self.objects.get(kind, {}).get(name)
        if stored is None:
            version = self.generation * GENERATION_SPAN
            raise ObjectNotFoundError(f"{kind}/{name}", version)
        return stored

    async def put(self, kind, name, value, expected_version, deadline):
        self._start_call("put", kind)
        await asyncio.sleep(0)
        objects = self.objects.setdefault(kind, {})
        self._check_generation(kind, name, expected_version)
        missing = self.generation * GENERATION_SPAN
        actual = objects[name].version if name in objects else missing
        is_expected = actual == expected_version
        if expected_version == ANY_VERSION:
            is_expected = actual > missing
        if not is_expected:
            raise VersionConflictError(kind, name, expected_version, actual)
        self.version += 1
        # Encoded as JSON, because the platform stores only JSON values.
        objects[name] = VersionedObject(json.loads(json.dumps(value)), self.version)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise PlatformUnavailableError("lost")
        return self.version

    async def delete(self, kind, name, expected_version, deadline):
        self._start_call("delete", kind)
        objects = self.objects.get(kind, {})
        if name not in objects:
            return
        actual = objects[name].version
        if expected_version:
            self._check_generation(kind, name, expected_version)
        if expected_version and actual != expected_version:
            raise VersionConflictError(kind, name, expected_version, actual)
        del objects[name]
        self.version += 1

    async def list_objects(self, kind, deadline, stale_ok=False):
        self._start_call("list", kind)
        return Listing(dict(self.objects.get(kind, {})), self.version)

    def put_directly(self, kind, name, value):
        """Write an object on behalf of the operator or a backend server."""
        self.version += 1
        self.objects.setdefault(kind, {})[name] = VersionedObject(value, self.version)

    @property
    def generation(self):
        """Number of restores from a copy."""
        return self.version // GENERATION_SPAN

    def copy(self):
        """Return a copy for ``restore``."""
        objects = {kind: dict(stored) for kind, stored in self.objects.items()}
        return StoreCopy(self.version, objects)

    def restore(self, copy, writes_again=True):
        """Go back to a copy; the operator and the servers then write again.

        Without ``writes_again``, the caller writes their objects later.
        """
        lost = {kind: self.objects.get(kind, {}) for kind in FOREIGN_KINDS}
        generation = self.generation + 1
        first = generation * GENERATION_SPAN
        self.version = first + copy.version % GENERATION_SPAN
        self.objects = {
            kind: {
                name: VersionedObject(
                    stored.value, first + stored.version % GENERATION_SPAN
                )
                for name, stored in objects.items()
            }
            for kind, objects in copy.objects.items()
        }
        for kind, objects in lost.items() if writes_again else ():
            for name, stored in objects.items():
                self.put_directly(kind, name, stored.value)

    def _check_generation(self, kind, name, expected):
        """Refuse an update that names a version of an earlier generation."""
        if expected != ANY_VERSION and expected // GENERATION_SPAN < self.generation:
            missing = self.generation * GENERATION_SPAN
            raise StoreRestoredError(kind, name, expected, missing)

    def _start_call(self, call, kind):
        self.calls.append((call, kind))
        if self.unavailable:
            raise PlatformUnavailableError("away")


class StoreAccess:
    """One VM's access to a store.

    It records the VM's calls, which fail while it is ``unavailable``.
    """

    def __init__(self, store):
        self._store = store
        self.unavailable = False
        self.calls = []

    def __getattr__(self, name):
        async def call(kind, *call_arguments, **options):
            self.calls.append((name, kind))
            if self.unavailable:
                raise PlatformUnavailableError("away")
            return await getattr(self._store, name)(kind, *call_arguments, **options)

        return call


class StoreServer:
    """The store over HTTP, as the platform's documentation describes it.

    The next ``answers_to_lose`` writes are executed, but their answers are never sent.
    The next ``calls_to_delay`` writes are executed with a delay of 0.6 s.
    ``refusal_statuses`` lists the status codes with which the next calls are refused.
    All answers name the generation of the store, which counts its restores from a copy,
    or have ``generation_text`` instead, if that is set; "" leaves the header out.
    ``after_answer`` is called once after the next answer.
    """

    def __init__(self):
        self.store = MemoryStore()
        self.answers_to_lose = 0
        self.calls_to_delay = 0
        self.refusal_statuses = []
        self.generation_text = None
        self.after_answer = None
        # JSON texts of further objects, listed after the others.
        self.foreign_items = []
        self.address = ""
        self.page_size = 500
        self._runner = None

    async def __aenter__(self):
        application = web.Application()
        application.on_response_prepare.append(self._add_generation)
        application.router.add_route("*", "/api/objects/{kind}", self._handle_kind)
        application.router.add_route(
            "*", "/api/objects/{kind}/{name}", self._handle_object
        )
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        await self._runner.cleanup()

    async def _add_generation(self, request, response):
        text = self.generation_text
        if text is None:
            text = str(self.store.generation)
        if text:
            response.headers["Store-Era"] = text
        if self.after_answer is not None:
            call, self.after_answer = self.after_answer, None
            call()

    def _to_version(self, revision):
        """Return the version for a revision that a call names; 0 stays 0."""
        if revision == ANY_VERSION:
            return revision
        return self.store.generation * GENERATION_SPAN + revision

    async def _handle_kind(self, request):
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        kind = request.match_info["kind"]
        if request.method == "POST":
            body = await request.json()
            return await self._put(kind, body["meta"]["name"], body, 0)
        after = request.query.get("after", "")
        objects = self.store.objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        items = [
            _encode_object(name, objects[name]) for name in names[: self.page_size]
        ]
        more = len(names) > self.page_size
        texts = [json.dumps(item).encode() for item in items]
        if not more:
            texts += self.foreign_items
        end = json.dumps(
            {"more": more, "store_revision": self.store.version % GENERATION_SPAN}
        )
        body = b'{"items": [%s], %s' % (b", ".join(texts), end[1:].encode())
        return web.Response(body=body, content_type="application/json")

    async def _handle_object(self, request):
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        kind, name = request.match_info["kind"], request.match_info["name"]
        if request.method == "PUT":
            body = await request.json()
            expected = body["meta"].get("revision", ANY_VERSION)
            return await self._put(kind, name, body, expected)
        stored = self.store.objects.get(kind, {}).get(name)
        if stored is None:
            return web.json_response({}, status=404)
        if request.method == "DELETE":
            revision = int(request.query.get("revision", "0"))
            expected = self._to_version(revision) if revision else 0
            try:
                await self.store.delete(kind, name, expected, 0.0)
            except VersionConflictError:
                return web.json_response(_encode_object(name, stored), status=409)
        return web.json_response(_encode_object(name, stored))

    def _refusal(self):
        if self.store.unavailable:
            return web.json_response({}, status=503)
        if not self.refusal_statuses:
            return None
        return web.json_response({}, status=self.refusal_statuses.pop(0))

    async def _put(self, kind, name, body, expected):
        if self.calls_to_delay:
            self.calls_to_delay -= 1
            await asyncio.sleep(0.6)
        try:
            version = self._to_version(expected)
            await self.store.put(kind, name, body["spec"], version, 0.0)
        except VersionConflictError:
            stored = self.store.objects.get(kind, {}).get(name)
            status = 404 if stored is None else 409
            current = {} if stored is None else _encode_object(name, stored)
            return web.json_response(current, status=status)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            await asyncio.sleep(30)
        return web.json_response(_encode_object(name, self.store.objects[kind][name]))


def _encode_object(name, stored):
    meta = {
        "name": name,
        "revision": stored.version % GENERATION_SPAN,
        "created": 1,
        "finalizers": [],
        "deleting": False,
    }
    return {"meta": meta, "spec": stored.value, "status": None}


class Group:
    """Group of backend servers that share one log, without replication delay."""

    def __init__(self, name, size=3, zones=("z1",)):
        self.name = name
        self.term = 1
        # Number of the last write in the log.
        self.number = 0
        self.servers = [
            TextProtocolServer(self, f"{name}-{index}", zones[index % len(zones)])
            for index in range(size)
        ]
        self.servers[0].is_primary = True
        self.data = {}
        self.writes = []
        self.promotions = []
        # By promotion: the number of the group's writes that the server lacked.
        self.lost_writes = []

    async def __aenter__(self):
        for server in self.servers:
            await server.start()
        return self

    async def __aexit__(self, *_):
        for server in self.servers:
            await server.stop()

    def register(self, store):
        """Write the entries of all running servers."""
        for server in self.servers:
            if server.running:
                store.put_directly("servers", server.id, server.entry())

    async def promote(self, group, server_id, holder, fence, deadline):
        """Promote a server; stands in for the platform's call."""
        self.promotions.append((now(), server_id, holder, fence))
        chosen = next(member for member in self.servers if member.id == server_id)
        if not chosen.running:
            return False
        if not chosen.is_primary:
            lost = chosen.missing_writes
            self.lost_writes.append(lost)
            self.term += 1
            self.number -= lost
            chosen.term = self.term
            for server in self.servers:
                server.missing_writes -= lost
                server.is_primary = server is chosen or (
                    server.is_primary and server.is_deaf
                )
            for server in self.servers:
                server.receive_rest()
        return True


class TextProtocolServer:
    """Backend server that speaks the platform's text protocol."""

    def __init__(self, group, server_id, zone="z1"):
        self.group = group
        self.id = server_id
        self.zone = zone
        self.is_primary = False
        self.running = False
        self.is_behind = False
        # Whether status requests find no free slot.
        self.is_busy = False
        # Number of the group's last writes that this server has not received.
        self.missing_writes = 0
        # Whether the server receives nothing from the primary.
        self.is_deaf = False
        self.is_draining = False
        # Term of the newest log entry.
        self.term = 1
        self.born = 1
        # Instead of answering the next ``answers_to_lose`` statements of callers, the
        # server executes them and closes the connection.
        self.answers_to_lose = 0
        # The next ``settings_to_fail`` changes of a connection's variables or prepared
        # statements are made, but answered with FAILED.
        self.settings_to_fail = 0
        # If set, an event that statements of callers wait for before they run.
        self.may_answer = None
        self.statements = []
        # By request id: the variables of the connection when the statement ran.
        self.variables = {}
        self.accounts = []
        self.port = 0
        self._server = None
        self._writers = set()
        self._signatures = count(1)

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.running = True
        self.receive_rest()

    async def stop(self):
        self.running = False
        if self._server is not None:
            self._server.close()
        for writer in [*self._writers]:
            writer.transport.abort()

    async def start_empty(self):
        """Start again under the same id, without the log."""
        self.born += 1
        self.is_primary = False
        self.missing_writes = self.group.number
        self.term = 0
        await self.start()

    def receive_rest(self):
        """Receive what this server lacks from the primary, if there is one."""
        primary = next((s for s in self.group.servers if s.is_primary), None)
        if self.is_deaf or not self.running or primary is None or not primary.running:
            return
        self.missing_writes = primary.missing_writes
        self.term = primary.term

    def entry(self):
        """Return the server's object in the store."""
        return {
            "service": self.group.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "state": "draining" if self.is_draining else "ready",
            "slots": 5,
            "db_role": "primary" if self.is_primary else "replica",
            "born": self.born,
            "seq": 1,
        }

    async def _serve(self, reader, writer):
        if not self.running:
            # Accepted just before the server was stopped.
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await self._session(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _session(self, reader, writer):
        line = (await reader.readuntil(b"\r\n")).decode().strip()
        _, group, account, expected_server = line.split(" ")
        if (group, expected_server) != (self.group.name, self.id):
            writer.write(b"ERROR MISROUTED no\r\n")
            return
        self.accounts.append(account)
        session = _ServerSession()
        writer.write(f"READY I {self._position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            if line == "BYE":
                return
            _, request_id, text = line.split(" ", 2)
            self.statements.append((request_id, text))
            self.variables[request_id] = dict(session.variables)
            if self.may_answer is not None and request_id != "-":
                await self.may_answer.wait()
            result = self._run(session, text)
            if self.answers_to_lose and request_id != "-":
                self.answers_to_lose -= 1
                return
            state = f"READY {session.state} {self._position()}\r\n"
            writer.write((result + state).encode())

    def _position(self):
        return f"{self.term}.{self.group.number - self.missing_writes}"

    def _run(self, session, text):
        if text == "STATUS" and self.is_busy:
            return "ERROR BUSY slots\r\n"
        if text == "STATUS" or text.startswith("STEPDOWN"):
            if text != "STATUS" and int(text.split(" ")[1]) > self.group.term:
                self.is_primary = False
            role = "primary" if self.is_primary else "replica"
            position = self._position()
            row = f"{role} {self.group.term} {position} 0 0 0 1"
            return f"ROW {row}\r\nDONE -\r\n"
        if text.startswith("AFTER "):
            if self.is_behind:
                return "ERROR LAGGING behind\r\n"
            text = text.split(" ", 2)[2]
        verb, _, parameters = text.partition(" ")
        result = getattr(self, f"_{verb.lower()}")(session, parameters)
        if self.settings_to_fail and verb in ("SET", "RESET", "PREPARE"):
            self.settings_to_fail -= 1
            return "ERROR FAILED overheated\r\n"
        return result

    def _done(self):
        return f"DONE {self.id}.{next(self._signatures)}\r\n"

    def _begin(self, session, parameters):
        if not parameters and not self.is_primary:
            return "ERROR READONLY no primary\r\n"
        session.state = "T"
        return self._done()

    def _commit(self, session, parameters):
        if session.writes and not self.is_primary:
            session.end_transaction()
            return "ERROR READONLY no primary\r\n"
        for item, value in session.writes:
            self._apply(item, value)
        session.end_transaction()
        return self._done()

    def _rollback(self, session, parameters):
        session.end_transaction()
        return self._done()

    def _read(self, session, parameters):
        return f"ROW {self.group.data.get(parameters, '')}\r\n{self._done()}"

    def _write(self, session, parameters):
        if not self.is_primary:
            return "ERROR READONLY no primary\r\n"
        item, _, value = parameters.partition(" ")
        if session.state == "T":
            session.writes.append((item, value))
        else:
            self._apply(item, value)
        return self._done()

    def _apply(self, item, value):
        self.group.number += 1
        for server in self.group.servers:
            if server is not self and (server.is_deaf or not server.running):
                server.missing_writes += 1
        self.group.data[item] = value
        self.group.writes.append((item, value))

    def _set(self, session, parameters):
        name, _, value = parameters.partition(" ")
        session.variables[name] = value
        return self._done()

    def _reset(self, session, parameters):
        session.prepared.clear()
        session.variables.clear()
        return self._done()

    def _prepare(self, session, parameters):
        name, kind, _ = parameters.split(" ", 2)
        session.prepared[name] = kind
        return self._done()

    def _execute(self, session, parameters):
        name, _, arguments = parameters.partition(" ")
        kind = session.prepared.get(name)
        if kind is None:
            return "ERROR NOSTMT none\r\n"
        run = self._write if kind == "WRITE" else self._read
        return run(session, arguments)


class _ServerSession:
    def __init__(self):
        self.state = "I"
        self.writes = []
        self.prepared = {}
        self.variables = {}

    def end_transaction(self):
        self.state = "I"
        self.writes = []


class Caller:
    """Caller that speaks the text protocol."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._ids = count(1)

    @classmethod
    async def connect(cls, port, database="shop", key="key-1", host="127.0.0.1"):
        reader, writer = await asyncio.open_connection(host, port)
        caller = cls(reader, writer)
        writer.write(f"START {database} {key}\r\n".encode())
        first = await caller.read_line()
        if not first.startswith("READY"):
            writer.close()
            raise ConnectionRefusedError(first)
        return caller

    async def read_line(self):
        return (await self._reader.readuntil(b"\r\n")).decode()[:-2]

    async def execute(self, text):
        """Return the lines of the answer before READY, and the transaction state."""
        self._writer.write(f"QUERY r{next(self._ids)} {text}\r\n".encode())
        lines = []
        while True:
            line = await self.read_line()
            if line.startswith("READY "):
                return lines, line.split(" ")[1]
            lines.append(line)

    def close(self):
        self._writer.close()


def configuration(
    version=1,
    kind="read_your_writes",
    keys=("key-1",),
    max_conns=60,
    sync_replicas=0,
    statement_timeout_ms=2000,
    **tenant,
):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r1",
                "host": "shop",
                "kind": kind,
                "timeout_ms": statement_timeout_ms,
                "service": "orders",
                "max_staleness_ms": 1500,
                "allow_anonymous": False,
            }
        ],
        "services": [
            {"name": "orders", "max_conns": max_conns, "sync_replicas": sync_replicas}
        ],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {
                "name": "acme",
                "api_keys": list(keys),
                "rate_per_s": 1000,
                "burst": 1000,
                **tenant,
            }
        ],
    }
