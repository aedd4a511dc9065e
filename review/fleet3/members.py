"""Stand-in of a service: a primary and replicas with a log, as the pages describe."""

import asyncio
import time
from itertools import count

HEARTBEAT_S = 1.2
LINE_LIMIT = 1 << 21


class Service:
    """Members of one service, and the promotions of the platform."""

    def __init__(self, name, host, store, record, size=3, lag_s=0.008, promote_s=0.3):
        self.name = name
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.store = store
        self.record = record
        self.slots, self.max_conns = 5, 124
        self.members = [Member(self, f"i-{n + 1:08x}", host) for n in range(size)]
        self.members[0].is_primary = True
        # Newest commit that was acknowledged to a connection, and its time.
        self.acknowledged = (0, 0)

    @property
    def primary(self):
        leading = [m for m in self.members if m.is_primary and m.is_up]
        return max(leading, key=lambda m: m.term, default=None)

    def promote(self, member_id):
        member = next((m for m in self.members if m.id == member_id), None)
        if member is None or not member.is_up:
            return 409
        if member is not self.primary:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_s, self._lead, member, member.born)
        return 200

    def _lead(self, member, born):
        if not member.is_up or member.born != born:
            return
        member.term = max(m.term for m in self.members) + 1
        member.is_primary = True
        self.record(f"member {member.id} leads term {member.term}, log {member.log}")
        for other in self.members:
            # A former primary that is reached by the new one becomes a replica.
            if other is not member and other.is_up:
                other.is_primary = False
                other.follow(member)
        member.announce()


class Member:
    """One member: its log is the list of (term, number, item, data) of its commits."""

    def __init__(self, service, member_id, host):
        self.service = service
        self.id = member_id
        self.host = host
        self.port = 0
        self.zone = f"zone-{member_id[-1]}"
        self.is_primary = False
        self.is_up = False
        self.term = 1
        self.position = (1, 0)
        self.data = {}
        self.born = 0
        self.seq = 0
        # Rows of the answers to reads of items that begin with "big".
        self.big_rows = []
        self.work_s = 0.005
        self.ran = []
        self._server = None
        self._writers = set()
        self._signatures = count(1)
        self._beat = None
        self._busy = 0

    @property
    def log(self):
        return f"{self.position[0]}.{self.position[1]}"

    def entry(self):
        return {
            "service": self.service.name,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.service.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": self.seq,
            "db_role": "primary" if self.is_primary else "replica",
            "born": self.born,
        }

    def announce(self):
        """Write the member's entry, as it does with each heartbeat and each change."""
        self.seq += 1
        self.service.store.write("servers", self.id, self.entry())

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=LINE_LIMIT
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.announce()
        self._beat = asyncio.create_task(self._heartbeat())
        self.service.record(f"member {self.id} is up, log {self.log}")

    def stop(self):
        """Crash: no connection and no heartbeat is left."""
        self.is_up = False
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in [*self._writers]:
            writer.transport.abort()

    async def start_empty(self):
        """Start again under the same id; it holds and knows nothing of before."""
        self.is_primary = False
        self.term, self.position, self.data = 0, (0, 0), {}
        await self.start()
        primary = self.service.primary
        if primary is not None:
            self.follow(primary)

    def follow(self, primary):
        """Receive the log of the primary, after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.service.lag_s, self._copy, primary, self.born)

    def _copy(self, primary, born):
        if self.is_up and self.born == born and primary.is_up and primary.is_primary:
            self.term, self.position = primary.term, primary.position
            self.data = dict(primary.data)

    async def next_heartbeat(self):
        """Wait until the member has written its entry again."""
        seq = self.seq
        while self.seq == seq:
            await asyncio.sleep(0.01)

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.announce()

    async def _serve(self, reader, writer):
        if not self.is_up:
            writer.transport.abort()
            return
        self._writers.add(writer)
        session = Session()
        try:
            start = (await reader.readuntil(b"\r\n")).decode("latin-1")[:-2].split(" ")
            if start[:2] != ["START", self.service.name] or (
                len(start) > 3 and start[3] != self.id
            ):
                writer.write(b"ERROR MISROUTED no\r\n")
                return
            if len(self._writers) > self.service.max_conns:
                writer.write(b"ERROR TOOMANY no\r\n")
                return
            session.tenant = start[2]
            writer.write(f"READY I {self.log}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n")).decode("latin-1")[:-2]
                if line == "BYE":
                    return
                _, request, text = line.split(" ", 2)
                answer = await self._answer(session, request, text)
                ready = f"READY {session.state} {self.log}\r\n"
                writer.writelines([*answer, ready.encode()])
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, session, request, text):
        verb, _, rest = text.partition(" ")
        if verb == "STATUS":
            return self._status()
        if verb == "STEPDOWN":
            if int(rest) > self.term:
                self.is_primary = False
            return self._status()
        if verb == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
            return [b"DONE -\r\n"]
        if verb == "RESET":
            session.values.clear()
            session.prepared.clear()
            return [b"DONE -\r\n"]
        if verb == "PREPARE":
            name, kind, _ = (rest + " ").split(" ", 2)
            session.prepared[name] = kind
            return [b"DONE -\r\n"]
        after = (0, 0)
        if verb == "AFTER":
            position, text = rest.split(" ", 1)
            term, number = position.split(".")
            after = (int(term), int(number))
            verb, _, rest = text.partition(" ")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return [b"ERROR NOSTMT none\r\n"]
            verb = session.prepared[name]
        if verb == "ROLLBACK":
            session.end()
            return [b"DONE -\r\n"]
        if self._busy >= self.service.slots:
            return [b"ERROR BUSY slots\r\n"]
        if self.position < after:
            return [b"ERROR LAGGING behind\r\n"]
        self._busy += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._busy -= 1
        return self._run(session, request, verb, rest)

    def _run(self, session, request, verb, rest):
        if verb == "READ":
            self.ran.append((time.monotonic(), request, verb, self.position))
            if rest.startswith("big"):
                return [*self.big_rows, self._done()]
            row = self.data.get(rest)
            return [f"ROW {row}\r\n".encode("latin-1")] * (row is not None) + [
                self._done()
            ]
        if verb == "BEGIN":
            if not rest and not self.is_primary:
                return [b"ERROR READONLY no\r\n"]
            session.state = "T"
            return [self._done()]
        if not self.is_primary and (verb == "WRITE" or session.writes):
            session.end()
            return [b"ERROR READONLY no\r\n"]
        self.ran.append((time.monotonic(), request, verb, self.position))
        if verb == "WRITE":
            item, _, data = rest.partition(" ")
            session.writes.append((item, data))
        if verb == "COMMIT" or session.state == "I":
            if session.writes:
                self._commit(session.writes)
            session.end()
        return [self._done()]

    def _commit(self, writes):
        self.position = (self.term, self.position[1] + 1)
        self.data.update(writes)
        for other in self.service.members:
            if other is not self and other.is_up and not other.is_primary:
                other.follow(self)

    def _done(self):
        return f"DONE {self.id}.{next(self._signatures)}\r\n".encode()

    def _status(self):
        if self._busy >= self.service.slots:
            return [b"ERROR BUSY slots\r\n"]
        role = "primary" if self.is_primary else "replica"
        row = f"ROW {role} {self.term} {self.log} 0 0 {self._busy} {len(self._writers)}"
        return [f"{row}\r\nDONE -\r\n".encode()]


class Session:
    """Values, prepared names and the transaction of one connection."""

    def __init__(self):
        self.tenant = ""
        self.state = "I"
        self.values = {}
        self.prepared = {}
        self.writes = []

    def end(self):
        self.state = "I"
        self.writes = []
