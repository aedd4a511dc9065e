"""Model of the backend servers, from the users' page on the wire ("Members").

A server has a log of commits. "Each commit that writes is assigned the next number.
Replicas receive the commit over the network." With ``sync_replicas`` n, "the commit is
acknowledged once" n replicas have received it. A promoted server "leads the next term
with what it had received and nothing more. Replicas that were ahead are rolled back."
"""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

from citronwood.simulation.history import (
    Commit,
    Drained,
    Entry,
    History,
    Promoted,
    Restarted,
    Run,
)
from citronwood.simulation.machine import Machine
from citronwood.simulation.network import SENT_AT, Network

REPLICATION_DELAY_S = 0.02
SYNC_INTERVAL_S = 0.1
HEARTBEAT_S = 1.2
PROMOTION_S = 0.3
HANDSHAKE_S = 0.012
WORK_S = 0.005
SLOTS = 5
# "The old primary continues until STEPDOWN, or until a second after it can reach the
# new primary."
OLD_PRIMARY_S = 1.0
MAX_CONNECTIONS = 124


class Outcome(NamedTuple):
    """Result line of a statement and its rows."""

    line: str
    rows: tuple[str, ...] = ()


class Group:
    """Servers of one database group, present and past."""

    def __init__(
        self,
        name: str,
        sync_replicas: int,
        network: Network,
        history: History,
        write_entry: Callable[[str, dict[str, Any] | None], None],
        time_ms: Callable[[], int],
    ) -> None:
        self.name = name
        self.sync_replicas = sync_replicas
        self.network = network
        self.history = history
        self.write_entry = write_entry
        self.time_ms = time_ms
        self.servers: list[Server] = []
        self.signatures = count(1)

    def newest_term(self) -> int:
        """Return the newest term of all servers."""
        return max(server.term for server in self.servers)

    def running(self) -> list["Server"]:
        """Return the servers that run."""
        return [server for server in self.servers if server.machine.is_running]


class Server:
    """Backend server on a machine of its own."""

    def __init__(self, group: Group, server_id: str, machine: Machine, port: int):
        self.group = group
        self.id = server_id
        self.machine = machine
        self.port = port
        self.term = 1
        self.is_primary = False
        self.log: list[Entry] = []
        self.is_deaf = False
        self.is_draining = False
        self.is_busy = False
        self.reaches_store = True
        self.born = 0
        self._seq = 0
        self._heartbeat_at = 0.0
        self._following_since: float | None = None
        self._connections = 0
        self._received = asyncio.Event()

    @property
    def position(self) -> tuple[int, int]:
        """Term and number of the last entry."""
        if not self.log:
            return (min(self.term, 1), 0)
        return self.log[-1].term, self.log[-1].number

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start the process, with the log that the server has."""
        self.born = self.group.time_ms()
        self._seq = 0
        self._connections = 0
        self._received = asyncio.Event()
        if self.is_draining:
            self.is_draining = False
            self.group.history.restarted.append(Restarted(self._now(), self.id))
        # "A primary that crashed comes back with its log, as a replica if another
        # member was promoted."
        if self.group.newest_term() > self.term:
            self.is_primary = False
        context = self.machine.start()
        loop.create_task(self._run(), context=context)

    def crash(self) -> None:
        """End the process; its connections are reset."""
        self.machine.end()
        self.group.network.end_process(self.machine)

    def lose_log(self) -> None:
        """Forget everything, as a server that starts again under its id may."""
        self.log = []
        self.term = 0
        self.is_primary = False

    def drain(self) -> None:
        """Report that the server is about to leave."""
        self.is_draining = True
        self._report()
        self.group.history.drained.append(Drained(self._now(), self.id))

    def promote(self) -> None:
        """Lead the next term with what was received."""
        if self.is_primary or not self.machine.is_running:
            return
        self.term = self.group.newest_term() + 1
        self.is_primary = True
        commits = frozenset(entry.commit for entry in self.log)
        self.group.history.promoted.append(
            Promoted(self._now(), self.id, self.group.name, self.term, commits)
        )
        self._report()

    def step_down(self, term: int) -> None:
        """Become a replica if this is a primary of a lower term."""
        if self.is_primary and term > self.term:
            self.is_primary = False
            self.term = term
            self._report()

    def _now(self) -> float:
        return self.group.network.time()

    async def _run(self) -> None:
        host = self.machine.host
        await asyncio.start_server(self._serve, host, self.port, limit=1 << 21)
        self._report()
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S)
            if self._now() >= self._heartbeat_at + HEARTBEAT_S:
                self._report()
            if self.is_primary:
                self._follow_newer()
            if self.is_primary:
                self._send_log()

    def _report(self) -> None:
        self._heartbeat_at = self._now()
        if not self.reaches_store:
            return
        self._seq += 1
        entry = {
            "service": self.group.name,
            "address": f"{self.machine.host}:{self.port}",
            "zone": "z1",
            "version": "1",
            "slots": SLOTS,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "born": self.born,
            "db_role": "primary" if self.is_primary else "replica",
        }
        self.group.write_entry(self.id, entry)

    # Replication.

    def _reaches(self, other: "Server") -> bool:
        hosts = self.machine.host, other.machine.host
        return not self.group.network.is_cut(*hosts) and not other.is_deaf

    def _follow_newer(self) -> None:
        """Become a replica some time after this server can reach a newer primary."""
        newer = any(
            other.is_primary and other.term > self.term and other._reaches(self)
            for other in self.group.running()
        )
        if not newer:
            self._following_since = None
            return
        if self._following_since is None:
            self._following_since = self._now()
        if self._now() >= self._following_since + OLD_PRIMARY_S:
            self._following_since = None
            self.is_primary = False
            self._report()

    def _send_log(self) -> None:
        for other in self.group.running():
            if other is not self and not other.is_primary and self._reaches(other):
                loop = asyncio.get_running_loop()
                loop.call_later(
                    REPLICATION_DELAY_S, other._receive, self, len(self.log)
                )

    def _receive(self, primary: "Server", length: int) -> None:
        """Take the log of a primary up to a length; roll back what it lacks."""
        if (
            not self.machine.is_running
            or self.is_primary
            or primary.term < self.term
            or not primary._reaches(self)
        ):
            return
        sent = primary.log[:length]
        if self.log[: len(sent)] == sent and primary.term == self.term:
            return
        self.term = primary.term
        self.log = sent
        primary._received.set()

    async def _replicate(self, entry: Entry) -> None:
        """Return once enough replicas have received an entry."""
        self._send_log()
        while True:
            self._received.clear()
            holders = [
                other
                for other in self.group.servers
                if other is not self and entry in other.log
            ]
            if len(holders) >= self.group.sync_replicas:
                return
            await self._received.wait()

    # Sessions.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        try:
            await self._session(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._connections -= 1
            writer.close()

    async def _session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        words = (await _read_line(reader)).split(" ")
        expected = words[3] if len(words) > 3 else self.id
        if words[0] != "START" or (words[1], expected) != (self.group.name, self.id):
            writer.write(f"ERROR MISROUTED {self.id}\r\n".encode("latin-1"))
            return
        if self._connections > MAX_CONNECTIONS:
            writer.write(f"ERROR TOOMANY {self.id}\r\n".encode("latin-1"))
            return
        await asyncio.sleep(HANDSHAKE_S)
        session = _Session(self, words[2], writer)
        writer.write(session.ready())
        while (line := await _read_line(reader)) != "BYE":
            _, request_id, text = line.split(" ", 2)
            outcome = await session.run(request_id, text)
            rows = "".join(f"ROW {row}\r\n" for row in outcome.rows)
            answer = f"{rows}{outcome.line}\r\n".encode("latin-1")
            writer.write(answer + session.ready())

    def status(self) -> str:
        """Return the row that STATUS gives."""
        role = "primary" if self.is_primary else "replica"
        term, number = self.position
        return f"{role} {self.term} {term}.{number} {self.term} 0 0 {self._connections}"

    async def commit(
        self,
        commit_id: str,
        writes: list[tuple[str, str, str]],
        sender: str,
        sent_at: float,
    ) -> None:
        """Append a commit and return once it may be acknowledged."""
        entry = Entry(self.term, self.position[1] + 1, commit_id, tuple(writes))
        self.log.append(entry)
        self.group.history.commits.append(
            Commit(
                self._now(),
                self.id,
                self.group.name,
                entry,
                self.machine.host,
                sender,
                sent_at,
            )
        )
        await self._replicate(entry)

    def read(self, item: str) -> tuple[str, frozenset[str]]:
        """Return an item's data, and the commits that have written it."""
        data, seen = "none", []
        for entry in self.log:
            for _, written, value in entry.writes:
                if written == item:
                    data = value
                    seen.append(entry.commit)
        return data, frozenset(seen)


class _Session:
    """Session of a connection to a server."""

    def __init__(
        self, server: Server, account: str, writer: asyncio.StreamWriter
    ) -> None:
        self._server = server
        self._account = account
        self._writer = writer
        self._state = "I"
        self._writes: list[tuple[str, str, str]] = []
        self._is_read_only = False

    def ready(self) -> bytes:
        """Return the line that ends an answer."""
        term, number = self._server.position
        return f"READY {self._state} {term}.{number}\r\n".encode("latin-1")

    async def run(self, request_id: str, text: str) -> Outcome:
        """Run a statement."""
        server = self._server
        after = None
        original = text
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = tuple(int(part) for part in position.split("."))
            original = text
        verb, _, rest = text.partition(" ")
        if verb == "STATUS":
            if server.is_busy:
                return Outcome(f"ERROR BUSY {server.id}")
            return Outcome("DONE -", (server.status(),))
        if verb == "STEPDOWN":
            server.step_down(int(rest))
            return Outcome("DONE -", (server.status(),))
        if verb in ("SET", "PREPARE", "DEALLOC", "RESET"):
            return Outcome("DONE -")
        if verb == "ROLLBACK":
            self._end()
            return Outcome(self._sign())
        if after is not None and server.position < after:
            return self._fail("LAGGING")
        if verb == "BEGIN":
            if rest != "READ" and not server.is_primary:
                return self._fail("READONLY")
            self._state, self._is_read_only = "T", rest == "READ"
            return Outcome(self._sign())
        await asyncio.sleep(WORK_S)
        outcome, seen = await self._run_data(request_id, verb, rest)
        words = outcome.line.split(" ")
        server.group.history.runs.append(
            Run(
                server._now(),
                server.id,
                server.group.name,
                request_id,
                original,
                self._account,
                words[1] if words[0] == "DONE" else None,
                outcome.rows,
                seen,
            )
        )
        return outcome

    async def _run_data(
        self, request_id: str, verb: str, rest: str
    ) -> tuple[Outcome, frozenset[str]]:
        server = self._server
        nothing: frozenset[str] = frozenset()
        if verb == "READ":
            data, seen = server.read(rest)
            return Outcome(self._sign(), (data,)), seen
        if verb == "COMMIT":
            if self._writes and not server.is_primary:
                self._end()
                return Outcome(f"ERROR READONLY {server.id}"), nothing
            writes = self._writes
            self._end()
            if writes:
                await self._commit(request_id, writes)
            return Outcome(self._sign()), nothing
        if not server.is_primary or self._is_read_only:
            return self._fail("READONLY"), nothing
        item, _, data = rest.partition(" ")
        if self._state == "T":
            self._writes.append((request_id, item, data))
        else:
            await self._commit(request_id, [(request_id, item, data)])
        return Outcome(self._sign()), nothing

    async def _commit(
        self, request_id: str, writes: list[tuple[str, str, str]]
    ) -> None:
        # A caller's next request is sent only after the answer to this one.
        sender, _ = self._writer.get_extra_info("peername")
        sent_at = self._writer.get_extra_info(SENT_AT)
        await self._server.commit(request_id, writes, sender, sent_at)

    def _end(self) -> None:
        self._state, self._writes, self._is_read_only = "I", [], False

    def _fail(self, code: str) -> Outcome:
        if self._state == "T" and code == "READONLY":
            self._state, self._writes = "E", []
        return Outcome(f"ERROR {code} {self._server.id}")

    def _sign(self) -> str:
        return f"DONE {self._server.id}.{next(self._server.group.signatures)}"


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
