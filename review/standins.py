"""Stand-ins for the cases of this review: store, platform call, servers, callers.

Everything runs in one process on loopback addresses. The programs under test run as
processes of their own, started with the command in ``deploy/system.toml``. Where the
users' pages are silent, the stand-ins behave like a sound store, server or client.
"""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "target" / "deps"))

from aiohttp import web  # noqa: E402

GRACE_S = 6.0
RESTART_DELAY_S = 0.5
PROMOTE_S = 0.3
HEARTBEAT_S = 1.2
HANDSHAKE_S = 0.012
METRICS_PORT = 9464
TIME_LIMIT_S = 112.0


class Record:
    """Lines of ``record.txt``, each with the seconds since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self._file = path.open("w")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self._file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


class Store:
    """The platform's store: objects by kind and name, with one revision counter.

    Each VM has an entrance (a port) of its own. ``refused`` names the VMs that get a
    503. ``lose_late`` is called with (vm, method, kind, name) of each write; it returns
    the seconds after which a write whose answer is lost is executed, or None.
    """

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 1
        self.refused = set()
        self.lose_late = lambda *_: None
        self.writes = Counter()
        self._runners = []

    async def open_entrance(self, vm):
        application = web.Application(client_max_size=1 << 21)
        application.router.add_route(
            "*", "/api/objects/{kind}", lambda request: self._handle(vm, request)
        )
        application.router.add_route(
            "*", "/api/objects/{kind}/{name}", lambda request: self._handle(vm, request)
        )
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners.append(runner)
        return _address_of(site)

    async def close(self):
        for runner in self._runners:
            await runner.cleanup()

    def put(self, kind, name, spec):
        """Write an object on behalf of the operator or a server."""
        objects = self.objects.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return
        self.revision += 1
        created = objects[name]["meta"]["created"] if name in objects else self.revision
        objects[name] = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }

    def remove(self, kind, name):
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1

    async def _handle(self, vm, request):
        await asyncio.sleep(0.004)
        if vm in self.refused:
            return web.json_response({}, status=503)
        kind, name = request.match_info["kind"], request.match_info.get("name")
        if request.method == "GET":
            return self._read(kind, name, request.query.get("after", ""))
        body = await request.json() if request.method != "DELETE" else {}
        if request.method == "POST":
            name = body["meta"]["name"]
        expected = body.get("meta", {}).get("revision")
        if request.method == "DELETE" and "revision" in request.query:
            expected = int(request.query["revision"])
        self.writes[vm] += 1
        delay_s = self.lose_late(vm, request.method, kind, name)
        if delay_s is None:
            return self._write(vm, request.method, kind, name, expected, body)
        self.record.write(
            f"store: {request.method} {kind}/{name} of {vm} is executed in "
            f"{delay_s} s, its answer is lost"
        )
        asyncio.get_running_loop().call_later(
            delay_s, self._write, vm, request.method, kind, name, expected, body
        )
        await asyncio.sleep(30)
        return web.json_response({}, status=503)

    def _read(self, kind, name, after):
        objects = self.objects.get(kind, {})
        if name is not None:
            if name not in objects:
                return web.json_response({}, status=404)
            return web.json_response(objects[name])
        names = sorted(known for known in objects if known > after)
        return web.json_response(
            {
                "items": [objects[known] for known in names[:500]],
                "more": len(names) > 500,
                "store_revision": self.revision,
            }
        )

    def _write(self, vm, method, kind, name, expected, body):
        objects = self.objects.setdefault(kind, {})
        stored = objects.get(name)
        if method == "POST":
            if stored is not None:
                return web.json_response(stored, status=409)
        elif stored is None:
            return web.json_response({}, status=404)
        elif expected is not None and stored["meta"]["revision"] != expected:
            return web.json_response(stored, status=409)
        if kind != "citronwood-fleet":
            self.record.write(f"store: {method} {kind}/{name} of {vm} executed")
        if method == "DELETE":
            self.remove(kind, name)
            return web.json_response(stored)
        self.put(kind, name, body["spec"])
        return web.json_response(objects[name])


class Commit:
    """Entry of a log."""

    def __init__(self, number, term, request_id, item, data):
        self.number = number
        self.term = term
        self.request_id = request_id
        self.item = item
        self.data = data


class Member:
    """Backend server: a log, slots, and the text protocol."""

    def __init__(self, service, member_id, log=()):
        self.service = service
        self.id = member_id
        self.log = list(log)
        self.applied = len(self.log)
        self.term = service.term
        self.is_primary = False
        self.running = False
        self.draining = False
        self.lag_s = service.lag_s
        # While set, the replica receives nothing from the primary.
        self.receives_nothing = False
        # Share of the statements that the member runs and answers with FAILED.
        self.failing_share = 0.0
        self.slots = asyncio.Semaphore(service.slots)
        self.busy = 0
        self.waiting = 0
        self.connections = set()
        self._seq = 0
        self._server = None
        self._heartbeat = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.running = True
        self.born = int(time.time() * 1000)
        self._heartbeat = asyncio.create_task(self._beat())

    def announce(self):
        self._seq += 1
        self.service.store.put(
            "servers",
            self.id,
            {
                "service": self.service.name,
                "address": f"127.0.0.1:{self.port}",
                "zone": "z1",
                "version": "v1",
                "slots": self.service.slots,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0,
                "db_role": "primary" if self.is_primary else "replica",
                "seq": self._seq,
                "born": self.born,
            },
        )

    async def _beat(self):
        while True:
            self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """End without a word; the entry expires after three heartbeats."""
        self.running = False
        self._heartbeat.cancel()
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.service.store.remove, "servers", self.id)

    def leave(self):
        """End after draining."""
        self.crash()
        self.service.members.remove(self)

    @property
    def position(self):
        return f"{self.term}.{self.applied}"

    def _has(self, text):
        term, _, number = text.partition(".")
        if int(term) != self.term:
            return self.term > int(term)
        return self.applied >= int(number)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await self._session(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _session(self, reader, writer):
        fields = (await reader.readuntil(b"\r\n")).decode().strip().split(" ")
        who = fields[2] if len(fields) > 2 else ""
        if fields[1] != self.service.name or (len(fields) > 3 and fields[3] != self.id):
            writer.write(b"ERROR MISROUTED no\r\n")
            return
        if len(self.connections) > self.service.max_conns:
            writer.write(b"ERROR TOOMANY full\r\n")
            return
        if not await self._work(HANDSHAKE_S):
            writer.write(b"ERROR BUSY full\r\n")
            return
        session = _Session()
        writer.write(f"READY I {self.position}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            if line == "BYE" or not self.running:
                return
            _, request_id, text = line.split(" ", 2)
            result = await self._run(session, who, request_id, text)
            writer.write(f"{result}READY {session.state} {self.position}\r\n".encode())
            await writer.drain()

    async def _work(self, seconds, seen=None):
        """Occupy a slot; False when too many wait for one.

        ``seen`` gets the position at which a read runs.
        """
        if self.waiting >= self.service.queue:
            return False
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        if seen is not None:
            seen += [self.position, self.applied]
        try:
            await asyncio.sleep(seconds)
        finally:
            self.busy -= 1
            self.slots.release()
        return True

    def _status(self):
        role = "primary" if self.is_primary else "replica"
        lag_ms = int(self.lag_s * 1000)
        received = f"{self.term}.{len(self.log)}"
        row = f"{role} {self.term} {received} {self.term} {lag_ms} {self.busy} "
        return f"ROW {row}{len(self.connections)}\r\nDONE -\r\n"

    async def _run(self, session, who, request_id, text):
        record = self.service.record
        if text == "STATUS":
            # It occupies a slot and answers BUSY when there is none.
            if self.slots.locked():
                return "ERROR BUSY slots\r\n"
            return self._status()
        if text.startswith("STEPDOWN "):
            if self.is_primary and int(text.split(" ")[1]) > self.term:
                record.write(f"{self.id}: steps down")
                self.is_primary = False
                self.announce()
            return self._status()
        after = ""
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        verb, _, rest = text.partition(" ")
        if verb in ("SET", "RESET", "PREPARE", "DEALLOC"):
            return self._fail_some(session, self._setting(session, verb, rest))
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return "ERROR NOSTMT none\r\n"
            verb = session.prepared[name]
        if session.state == "E" and verb != "ROLLBACK":
            return "ERROR MALFORMED failed\r\n"
        if after and not self._has(after):
            return "ERROR LAGGING behind\r\n"
        run = getattr(self, f"_{verb.lower()}")
        if request_id != "-":
            self.service.values.setdefault(request_id, []).append(dict(session.values))
        return self._fail_some(session, await run(session, who, request_id, rest))

    def _fail_some(self, session, result):
        if not self.failing_share or result.startswith("ERROR"):
            return result
        if random.random() >= self.failing_share:
            return result
        if session.state == "T":
            session.state = "E"
        return f"ERROR FAILED {self.id}\r\n"

    def _setting(self, session, verb, rest):
        if verb == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
        elif verb == "RESET":
            session.values.clear()
            session.prepared.clear()
        elif verb == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            session.prepared[name] = kind
        return "DONE -\r\n"

    def _signature(self, request_id):
        return f"DONE {self.id}.{request_id}.{random.getrandbits(48):x}\r\n"

    async def _begin(self, session, who, request_id, rest):
        if not rest and not self.is_primary:
            return f"ERROR READONLY {self.id}\r\n"
        session.state, session.plain = "T", not rest
        session.writes = []
        return "DONE -\r\n"

    async def _rollback(self, session, who, request_id, rest):
        session.state, session.writes = "I", []
        return "DONE -\r\n"

    async def _read(self, session, who, request_id, rest):
        self.service.record.write(f"{self.id}: {request_id} READ {rest} arrives")
        self.service.note_arrival(request_id, self)
        seen = []
        if not await self._work(self.service.work_s, seen):
            return "ERROR BUSY queue\r\n"
        position, applied = seen
        data = ""
        for commit in reversed(self.log[:applied]):
            if commit.item == rest:
                data = commit.data
                break
        self.service.record.write(
            f"{self.id}: {request_id} READ {rest} run for {who} at {position}"
        )
        self.service.note_run(request_id)
        return f"ROW {data}\r\n{self._signature(request_id)}"

    async def _write(self, session, who, request_id, rest):
        item, _, data = rest.partition(" ")
        if not self.is_primary:
            return f"ERROR READONLY {self.id}\r\n"
        self.service.note_arrival(request_id, self)
        if not await self._work(self.service.work_s):
            return "ERROR BUSY queue\r\n"
        if not self.is_primary or not self.running:
            return f"ERROR READONLY {self.id}\r\n"
        if session.state == "T":
            session.writes.append((request_id, item, data))
        else:
            await self._append([(request_id, item, data)])
        self.service.note_run(request_id)
        return self._signature(request_id)

    async def _commit(self, session, who, request_id, rest):
        self.service.note_arrival(request_id, self)
        writes, session.writes, session.state = session.writes, [], "I"
        if not await self._work(self.service.work_s):
            return "ERROR BUSY queue\r\n"
        if writes and not self.is_primary:
            return f"ERROR READONLY {self.id}\r\n"
        if writes:
            await self._append(writes)
        self.service.note_run(request_id)
        return self._signature(request_id)

    async def _append(self, writes):
        for request_id, item, data in writes:
            number = len(self.log) + 1
            commit = Commit(number, self.term, request_id, item, data)
            self.log.append(commit)
            self.applied = number
            self.service.record.write(
                f"{self.id}: {request_id} WRITE {item} {data} committed as "
                f"{self.position}"
            )
        if self.service.sync_replicas:
            await self.service.wait_until_received(self, len(self.log))

    def follow(self, primary):
        """Copy the primary's log; called every few milliseconds."""
        if self.receives_nothing or not primary.running or primary.term < self.term:
            return
        if self.term < primary.term:
            # What the new primary had not received is rolled back.
            self.term = primary.term
            common = 0
            for mine, theirs in zip(self.log, primary.log, strict=False):
                if mine is not theirs:
                    break
                common += 1
            del self.log[common:]
            self.applied = min(self.applied, common)
        missing = primary.log[len(self.log) :]
        if not missing:
            return
        self.log.extend(missing)
        number = len(self.log)
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self._apply, self.term, number)

    def _apply(self, term, number):
        if term == self.term and number <= len(self.log):
            self.applied = max(self.applied, number)


class _Session:
    def __init__(self):
        self.state = "I"
        self.values = {}
        self.plain = False
        self.writes = []
        self.prepared = {}


class Service:
    """A primary and its replicas."""

    def __init__(
        self,
        record,
        store,
        name,
        size=3,
        work_s=0.011,
        lag_s=0.02,
        sync_replicas=0,
        slots=5,
        queue=40,
        max_conns=76,
    ):
        self.record = record
        self.store = store
        self.name = name
        self.work_s = work_s
        self.lag_s = lag_s
        self.sync_replicas = sync_replicas
        self.slots = slots
        self.queue = queue
        self.max_conns = max_conns
        self.term = 1
        # Request ids with the time of arrival and of the run at a member.
        self.arrived = {}
        self.ran = {}
        # Request ids with the time and the member of the last arrival.
        self.reached = {}
        # By request id: the session values of the member's connection at each run.
        self.values = {}
        self.promotions = []
        self._ids = 0
        self.members = [self._new_member() for _ in range(size)]
        self.members[0].is_primary = True
        self._task = None
        self._received = asyncio.Event()

    def _new_member(self, log=()):
        self._ids += 1
        return Member(self, f"i-{self.name}-{self._ids}", log)

    async def start(self):
        for member in self.members:
            await member.start()
        self._task = asyncio.create_task(self._replicate())

    async def add_member(self):
        """Start a new replica, whose log is copied from the primary."""
        member = self._new_member(self.primary.log)
        member.term = self.primary.term
        await member.start()
        self.members.append(member)
        return member

    @property
    def primary(self):
        leading = [member for member in self.members if member.is_primary]
        return max(leading or self.members, key=lambda member: member.term)

    def note_arrival(self, request_id, member):
        now = self.record.now()
        self.arrived.setdefault(request_id, now)
        self.reached[request_id] = (now, member)

    def note_run(self, request_id):
        self.ran.setdefault(request_id, self.record.now())

    async def _replicate(self):
        while True:
            primary = self.primary
            for member in self.members:
                if member is not primary and member.running and not member.is_primary:
                    member.follow(primary)
            self._received.set()
            self._received = asyncio.Event()
            await asyncio.sleep(0.002)

    async def wait_until_received(self, primary, number):
        """Wait until one replica has received the primary's log up to a number."""
        while not any(
            member is not primary
            and member.running
            and member.term == primary.term
            and len(member.log) >= number
            for member in self.members
        ):
            await self._received.wait()

    def promote(self, member_id):
        """Apply the platform's call; False when the member is not running."""
        chosen = next((one for one in self.members if one.id == member_id), None)
        if chosen is None or not chosen.running:
            return False
        if not chosen.is_primary:
            asyncio.get_running_loop().call_later(PROMOTE_S, self._lead, chosen)
        return True

    def _lead(self, chosen):
        if not chosen.running:
            return
        self.term = max(member.term for member in self.members) + 1
        old = [member for member in self.members if member.is_primary]
        chosen.is_primary, chosen.term = True, self.term
        chosen.applied = len(chosen.log)
        self.record.say(f"{chosen.id}: leads {self.name} at {chosen.position}")
        self.promotions.append((self.record.now(), chosen, list(chosen.log)))
        chosen.announce()
        for member in old:
            asyncio.get_running_loop().call_later(1.0, self._demote, member)

    def _demote(self, member):
        if member.is_primary and member is not self.primary:
            member.is_primary = False
            if member.running:
                member.announce()

    def close(self):
        for member in self.members:
            if member.running:
                member.crash()


class Cloud:
    """The platform's call ``POST /promote``."""

    def __init__(self, record, services):
        self.record = record
        self.services = {service.name: service for service in services}
        self._runner = None

    async def start(self):
        application = web.Application()
        application.router.add_post("/promote", self._handle)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return _address_of(site)

    async def _handle(self, request):
        body = await request.json()
        holder = request.headers["Duty-Holder"]
        token = request.headers["Fencing-Token"]
        self.record.say(f"cloud: promote {body['id']} by {holder}, token {token}")
        service = self.services.get(body["service"])
        done = service is not None and service.promote(body["id"])
        return web.json_response({}, status=200 if done else 409)

    async def close(self):
        await self._runner.cleanup()


class Vm:
    """A machine with the program that the deploy file names."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = f"front-z1-{index + 1}"
        self.ip = fleet.ips[index]
        self.process = None
        self.store_address = ""
        self._log = None

    @property
    def address(self):
        return self.ip, self.fleet.ports["front"]

    def write_settings(self, bootstrap):
        fleet = self.fleet
        first = fleet.ports["inner"]
        lines = [
            f"node={self.name}",
            "role=entry",
            "machine_class=front",
            "serves=front",
            f"ip={self.ip}",
            "zone=z1",
            "region=r1",
            "zones.z1=r1",
            f"listen.front={self.ip}:{fleet.ports['front']}",
            f"listen.ready={self.ip}:{fleet.ports['ready']}",
            f"port_range={first},{first + 15}",
            "seeds=",
            f"bootstrap={'true' if bootstrap else 'false'}",
            "counts_as_loss=false",
            "limits.cpu_share=0.731",
            "limits.cores=1",
            "limits.memory_mb=222",
            "limits.max_fds=1570",
            "discovery=platform",
            "entry=vip",
            "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,recover,sql,tenants,quota,platform",
            "bounds.contact_ms=4000",
            "bounds.drain_ms=7000",
            "bounds.grace_s=6",
            "bounds.loss_slack_ms=200",
            "bounds.config_apply_ms=3000",
            "bounds.require_fencing=false",
            f"platform.address={self.store_address}",
            "platform.form=objects",
            "platform.writes_per_s=400",
            "platform.reads_per_s=2000",
            "platform.history_s=20",
            "platform.max_value_bytes=1048576",
            f"cloud.address={fleet.cloud_address}",
            "cloud.rate_per_s=50.0",
            "cloud.duties=failover",
            "cloud.duty_per_s=50.0",
        ]
        path = Path(fleet.folder.name) / f"{self.name}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, bootstrap=False):
        settings = self.write_settings(bootstrap)
        if self._log is None:
            self._log = (Path(fleet_logs(self.fleet)) / f"{self.name}.log").open("ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CITRONWOOD_SETTINGS"] = str(settings)
        self.process = await asyncio.create_subprocess_exec(
            *self.fleet.command,
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self.fleet.record.write(f"platform: {self.name} starts")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.fleet.ports["ready"]
            )
        except OSError:
            return False
        try:
            writer.write(
                b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.process.returncode is None and await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f"{self.name} is not ready")

    async def terminate(self):
        """Send SIGTERM, and SIGKILL after the grace period; return after the end."""
        self.fleet.record.say(f"platform: SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            self.fleet.record.say(f"platform: SIGKILL to {self.name}")
            self.process.kill()
            await self.process.wait()
        self.fleet.record.say(
            f"platform: {self.name} has ended with {self.process.returncode}"
        )

    async def restart(self):
        """Stop the process as planned; the platform starts it again."""
        await self.terminate()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()
        await self.wait_until_ready()

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def fleet_logs(fleet):
    """Return the folder for the programs' logs: a kept one if REVIEW_LOGS is set."""
    folder = os.environ.get("REVIEW_LOGS")
    if folder:
        Path(folder).mkdir(parents=True, exist_ok=True)
    return folder or fleet.folder.name


class NotRunError(Exception):
    """The case could not run."""


class Fleet:
    """VMs, the platform and the services of one small deployment."""

    def __init__(self, record, vm_count, services, store):
        self.record = record
        self.store = store
        self.services = services
        self.cloud = Cloud(record, services)
        self.folder = tempfile.TemporaryDirectory(prefix="citronwood-review-")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split()
        net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self.ips = [f"{net}.{10 + index}" for index in range(vm_count)]
        self.ports = self._choose_ports()
        self.cloud_address = ""
        self.vms = [Vm(self, index) for index in range(vm_count)]

    def _choose_ports(self):
        for _ in range(100):
            base = random.randint(20_000, 30_000)
            ports = {"front": base, "ready": base + 1, "inner": base + 2}
            if all(
                _is_free(ip, port)
                for ip in self.ips
                for port in (*ports.values(), METRICS_PORT)
            ):
                return ports
        raise NotRunError("no free ports")

    async def start(self, configuration):
        self.cloud_address = await self.cloud.start()
        for service in self.services:
            await service.start()
        self.store.put("config", "main", configuration)
        for vm in self.vms:
            vm.store_address = await self.store.open_entrance(vm.name)
        for vm in self.vms:
            await vm.start(bootstrap=True)
        for vm in self.vms:
            await vm.wait_until_ready()

    async def stop(self):
        for vm in self.vms:
            await vm.kill()
        for service in self.services:
            service.close()
        await self.cloud.close()
        await self.store.close()
        self.folder.cleanup()


def _address_of(site):
    port = site._server.sockets[0].getsockname()[1]
    return f"127.0.0.1:{port}"


def _is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def configuration_of(routes, services, keys, version=7):
    """Return ``config/main``.

    ``routes`` are (database, service, kind, timeout in ms, staleness in ms), ``keys``
    maps accounts to their key.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{database}",
                "host": database,
                "path_prefix": "/",
                "kind": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 200,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
                "allow_anonymous": False,
                **({} if stale_ms is None else {"max_staleness_ms": stale_ms}),
            }
            for database, service, kind, timeout_ms, stale_ms in routes
        ],
        "services": [
            {
                "name": service.name,
                "health_path": "/healthz",
                "max_conns": service.max_conns,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": service.sync_replicas,
            }
            for service in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tx_idle_ms": 3000,
        },
        "tenants": [
            {"name": account, "api_keys": [key], "priority": 1}
            for account, key in keys.items()
        ],
    }


class Answer:
    """Answer to one statement; ``code`` is "" after success, "CLOSED" without one."""

    def __init__(self, code, rows=(), detail=""):
        self.code = code
        self.rows = rows
        self.detail = detail

    @property
    def is_success(self):
        return self.code == ""


class Caller:
    """Session of a client at one VM."""

    _ids = random.Random()

    def __init__(self, record, vm, database, key):
        self.record = record
        self.vm = vm
        self.database = database
        self.key = key
        self.state = "I"
        self._reader = self._writer = None

    @property
    def is_open(self):
        return self._writer is not None and not self._reader.at_eof()

    async def open(self):
        """Open the session; return whether it is ready."""
        try:
            self._reader, self._writer = await asyncio.open_connection(
                *self.vm.address, limit=1 << 20
            )
            self._writer.write(f"START {self.database} {self.key}\r\n".encode())
            line = await asyncio.wait_for(self._reader.readuntil(b"\r\n"), 2.0)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return False
        if not line.startswith(b"READY"):
            self.close()
            return False
        return True

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    @staticmethod
    def new_id():
        return f"{Caller._ids.getrandbits(64):016x}"

    async def query(self, text, timeout_s=5.0, request_id=None):
        request_id = request_id or self.new_id()
        self.record.write(f"client at {self.vm.name}: {request_id} {text} sent")
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            answer = await asyncio.wait_for(self._read_answer(), timeout_s)
        except TimeoutError:
            self.close()
            answer = Answer("NONE")
        except (OSError, asyncio.IncompleteReadError, AttributeError):
            self.close()
            answer = Answer("CLOSED")
        self.record.write(
            f"client at {self.vm.name}: {request_id} answered "
            f"{answer.code or 'DONE'} {' '.join(answer.rows)} {answer.detail}"
        )
        return answer

    async def _read_answer(self):
        rows, code, detail = [], "NONE", ""
        while True:
            line = (await self._reader.readuntil(b"\r\n")).decode()[:-2]
            kind, _, rest = line.partition(" ")
            if kind == "ROW":
                rows.append(rest)
            elif kind == "DONE":
                code = ""
            elif kind == "ERROR":
                code, _, detail = rest.partition(" ")
            elif kind == "READY":
                self.state = rest.split(" ")[0]
                return Answer(code, rows, detail)


async def _run_limited(case, record, with_trouble):
    """Run a case; SIGTERM and the time limit end it and all that it has started."""
    task = asyncio.create_task(case(record, with_trouble))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await asyncio.wait_for(task, TIME_LIMIT_S)
    except TimeoutError:
        raise NotRunError("the time limit was reached") from None
    except asyncio.CancelledError:
        raise NotRunError("ended by a signal") from None


def run_case(folder, case):
    """Run a case and return the exit code: 1 broken, 0 held, 2 could not run.

    ``case`` is a coroutine function of the record and whether there is trouble; it
    returns the list of breaches that it saw.
    """
    record = Record(Path(folder) / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble: {'yes' if with_trouble else 'no'}")
    try:
        breaches = asyncio.run(_run_limited(case, record, with_trouble))
    except NotRunError as error:
        record.say(f"could not run: {error}")
        return 2
    except Exception as error:
        record.say(f"could not run: {error!r}")
        return 2
    else:
        for breach in breaches[:20]:
            record.say(f"BROKEN: {breach}")
        record.say(f"{len(breaches)} breaches")
        return 1 if breaches else 0
    finally:
        record.close()


__all__ = [
    "GRACE_S",
    "Answer",
    "Caller",
    "Fleet",
    "NotRunError",
    "Record",
    "Service",
    "Store",
    "configuration_of",
    "run_case",
]
