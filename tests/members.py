"""Stand-in member processes, and a synchronous client for them."""

import asyncio
import time
from contextlib import suppress

import asyncmy

from tests.processes import free_port


class Client:
    """One connection to a member, for synchronous tests."""

    def __init__(self, port, user="proxy", password="proxy", timeout_s=8, **changes):
        self._loop = asyncio.new_event_loop()
        self._timeout_s = timeout_s
        changes = {"autocommit": True, "database": "demo"} | changes
        self._raw = self._run(
            asyncmy.connect(
                host="127.0.0.1", port=port, user=user, password=password, **changes
            )
        )

    def _run(self, work):
        return self._loop.run_until_complete(asyncio.wait_for(work, self._timeout_s))

    def start(self, sql, args=None):
        """Start a statement and return its task for ``finish``."""
        return self._loop.create_task(self._query(sql, args))

    def finish(self, task):
        return self._run(task)

    async def _query(self, sql, args):
        async with self._raw.cursor() as cursor:
            await cursor.execute(sql, args)
            self.rowcount, self.lastrowid = cursor.rowcount, cursor.lastrowid
            return await cursor.fetchall()

    def run(self, sql, args=None):
        """Run a statement and return its rows."""
        return self._run(self._query(sql, args))

    def write(self, sql, args=None):
        """Run a write and return its position."""
        self.run(sql, args)
        return self.position()

    def position(self):
        text = (self._raw._result.message or b"").decode()
        term, lsn = text.partition("position=")[2].split(":")
        return int(term), int(lsn)

    def status(self):
        return self._status_row(self.run("SHOW GROUP STATUS"))

    def call(self, name, *arguments):
        """Call a procedure that returns the status row."""
        return self._status_row(
            self.run(f"CALL {name}({', '.join(map(repr, arguments))})")
        )

    def _status_row(self, rows):
        names = [
            "member", "term", "log_term", "received", "applied_term", "applied",
            "role", "primary_heard_ms", "data_age_ms", "leaving",
        ]  # fmt: skip
        return dict(zip(names, rows[0], strict=True))

    def wait_for(self, timeout_s=8, **expected):
        """Wait until the status has the expected values."""
        deadline = time.monotonic() + timeout_s
        while True:
            status = self.status()
            if all(status[name] == value for name, value in expected.items()):
                return status
            assert time.monotonic() < deadline, f"{status} never showed {expected}"
            time.sleep(0.02)

    def close(self):
        if self._loop.is_closed():
            return
        with suppress(Exception):
            self._raw.close()
            self._run(asyncio.sleep(0))
        self._loop.close()


class Group:
    """Members m1 (primary), m2 and m3 (replicas)."""

    def __init__(self, processes, folder, size=3, options=(), follow=None):
        self._processes = processes
        self._folder = folder
        self._options = options
        self._follow = follow
        self.ports = [free_port() for _ in range(size)]
        self.running = [None] * size
        self._clients = []
        for index in range(size):
            self.start(index)

    def start(self, index):
        """Start a member; it reuses its data directory after a restart."""
        role = ["--primary"]
        if index:
            role = ["--follow", self._follow or f"127.0.0.1:{self.ports[0]}"]
        self.running[index] = self._processes.start(
            "standin-member", "--port", self.ports[index], "--name", f"m{index + 1}",
            "--data-dir", self._folder / f"m{index + 1}", *role, *self._options,
            port=self.ports[index],
        )  # fmt: skip

    def kill(self, index):
        self.running[index].kill()
        self.running[index].wait()

    def client(self, index=0, **changes):
        client = Client(self.ports[index], **changes)
        self._clients.append(client)
        return client

    def address(self, index):
        return f"127.0.0.1:{self.ports[index]}"

    def close(self):
        for client in self._clients:
            client.close()
