"""Stand-in member processes, and a synchronous client for them."""

import asyncio
import time
from contextlib import suppress

import asyncmy

from tests.processes import free_port


class Client:
    """One connection to a member, for synchronous tests."""

    def __init__(
        self, port, user="proxy", password="proxy", timeout_s=8, **connect_options
    ):
        self._loop = asyncio.new_event_loop()
        self._timeout_s = timeout_s
        connect_options = {"autocommit": True, "database": "demo"} | connect_options
        self._raw = self.run_awaitable(
            asyncmy.connect(
                host="127.0.0.1",
                port=port,
                user=user,
                password=password,
                **connect_options,
            )
        )

    def run_awaitable(self, awaitable):
        """Run the loop of this client until the awaitable is done."""
        return self._loop.run_until_complete(
            asyncio.wait_for(awaitable, self._timeout_s)
        )

    def start(self, sql, args=None):
        """Create the task of a statement, for ``finish``.

        The statement is sent by the next method that runs the loop of this client.
        """
        return self._loop.create_task(self._query(sql, args))

    def finish(self, task):
        return self.run_awaitable(task)

    async def _query(self, sql, args):
        async with self._raw.cursor() as cursor:
            await cursor.execute(sql, args)
            self.rowcount, self.lastrowid = cursor.rowcount, cursor.lastrowid
            return await cursor.fetchall()

    def run(self, sql, args=None):
        """Run a statement and return its rows."""
        return self.run_awaitable(self._query(sql, args))

    def write(self, sql, args=None):
        """Run a write and return its position as term and LSN."""
        self.run(sql, args)
        return self.position()

    def position(self):
        """Return the position of the last write, from the message of its OK packet."""
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
        """Wait until the status has the expected values, and return the status."""
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
            self.run_awaitable(asyncio.sleep(0))
        self._loop.close()


class Group:
    """Member processes: m1 is the primary, the others (m2, m3 ...) are replicas.

    The replicas connect to ``primary_address`` if given, for example a proxy in front
    of m1, and to m1 itself otherwise.
    """

    def __init__(self, processes, folder, size=3, options=(), primary_address=None):
        self._processes = processes
        self._folder = folder
        self._options = options
        self._primary_address = primary_address
        self.ports = [free_port() for _ in range(size)]
        # The last process of each member, which may have ended.
        self.member_processes = [None] * size
        self._clients = []
        for index in range(size):
            self.start(index)

    def start(self, index):
        """Start a member, or restart it with its data directory.

        A restarted m1 is fenced until it is promoted.
        """
        role = ["--primary"]
        if index:
            role = ["--follow", self._primary_address or f"127.0.0.1:{self.ports[0]}"]
        self.member_processes[index] = self._processes.start(
            "standin-member", "--port", self.ports[index], "--name", f"m{index + 1}",
            "--data-dir", self._folder / f"m{index + 1}", *role, *self._options,
            port=self.ports[index],
        )  # fmt: skip

    def kill(self, index):
        self.member_processes[index].kill()
        self.member_processes[index].wait()

    def client(self, index=0, **client_options):
        client = Client(self.ports[index], **client_options)
        self._clients.append(client)
        return client

    def address(self, index):
        return f"127.0.0.1:{self.ports[index]}"

    def close(self):
        """Close the clients; ``Processes.stop_all`` ends the members."""
        for client in self._clients:
            client.close()
