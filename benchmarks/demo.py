"""The demonstration of ``make demo``, with every component in its own process.

It is outside the package because it starts processes, which no citronwood command
does. The clients use an unmodified PyMySQL; the operator uses the command line.
"""

import os
import re
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any

import pymysql
from pymysql.connections import Connection
from pymysql.err import MySQLError

from tests.fleet import ACCOUNT, KEY, ROUTE, TABLE, TOKEN, Fleet
from tests.processes import Processes

PRIMARY = "m1"
KEY_ID = "k1"
# Targets for a failover and for a configuration change (docs/design.md).
FAILOVER_LIMIT_S = 2.0
IN_FORCE_LIMIT_S = 3.0
STOP_TIMEOUT_S = 10.0
COMMAND_TIMEOUT_S = 20.0


class Demo:
    """Scenario whose steps print their result and whether it met the guarantees."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._first, self._second = sorted(fleet.ports)
        self.failed_checks: list[str] = []

    def run(self) -> None:
        """Run all steps."""
        with (
            closing(self._connect(self._first)) as first,
            closing(self._connect(self._second)) as second,
        ):
            _execute(first, TABLE)
            self._write_and_read_elsewhere(first)
            self._freeze_primary(first, second)
            self._withdraw_key({self._first: first, self._second: second})
        self._stop_vms()

    def _connect(self, vm: str) -> Connection:
        return pymysql.connect(
            host="127.0.0.1",
            port=self._fleet.ports[vm],
            user=ACCOUNT,
            password=KEY,
            database=ROUTE,
            autocommit=True,
        )

    def _check(self, passed: bool, text: str) -> None:
        print(text if passed else f"BROKEN: {text}", flush=True)
        if not passed:
            self.failed_checks.append(text)

    def _read_households(self) -> list[str]:
        """Read the table in a new session on the second VM."""
        with closing(self._connect(self._second)) as connection:
            rows = _execute(connection, "SELECT household FROM pledges ORDER BY id")
        return [row[0] for row in rows]

    def _write_and_read_elsewhere(self, first: Connection) -> None:
        started = monotonic()
        _execute(first, _pledge("Ito", "rice"))
        written = monotonic()
        households = self._read_households()
        self._check(
            households == ["Ito"],
            f"{self._first} acknowledged a write after {_ms(written - started)};"
            f" a new session on {self._second} read {households}"
            f" after {_ms(monotonic() - written)}",
        )

    def _freeze_primary(self, first: Connection, second: Connection) -> None:
        """Freeze the primary until a new one acknowledges a write; repeat the write.

        A frozen primary cannot notice the failover. The repeated write has the same
        idempotency key and must not be executed again.
        """
        process = self._fleet.members[PRIMARY]
        process.send_signal(signal.SIGSTOP)
        started = monotonic()
        _write_once(first, "pledge-2", _pledge("Sato", "tea"))
        elapsed = monotonic() - started
        process.send_signal(signal.SIGCONT)
        self._check(
            elapsed <= FAILOVER_LIMIT_S,
            f"primary {PRIMARY} was cut off; {self._first} acknowledged the next write"
            f" after {_ms(elapsed)}, with a new primary",
        )
        _write_once(second, "pledge-2", _pledge("Sato", "tea"))
        households = self._read_households()
        self._check(
            households == ["Ito", "Sato"],
            f"{PRIMARY} is back and the write was repeated on {self._second} with its"
            f" idempotency key; a new session there read {households}",
        )

    def _withdraw_key(self, connections: dict[str, Connection]) -> None:
        plan = self._run_command("plan", "withdraw-key", ACCOUNT, KEY_ID)
        print(plan.strip(), flush=True)
        match = re.search(r"citronwood confirm (\S+)", plan)
        assert match is not None, plan
        started = monotonic()
        output = self._run_command("confirm", match[1])
        elapsed = monotonic() - started
        refused = [vm for vm, session in connections.items() if _is_refused(session)]
        self._check(
            "in force on every live VM" in output
            and len(refused) == len(connections)
            and elapsed <= IN_FORCE_LIMIT_S,
            f"the key was withdrawn everywhere {_ms(elapsed)} after the command was"
            f" started; connected callers are refused at {refused}",
        )

    def _run_command(self, *arguments: str) -> str:
        """Run an operator command and return its output."""
        completed = subprocess.run(
            [sys.executable, "-m", "citronwood", *arguments],
            env=os.environ
            | {
                "CITRONWOOD_OPERATOR_URL": self._fleet.operator_url,
                "CITRONWOOD_OPERATOR_TOKEN": TOKEN,
            },
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
        return completed.stdout

    def _stop_vms(self) -> None:
        codes = {}
        for vm, process in self._fleet.entries.items():
            process.terminate()
            codes[vm] = process.wait(STOP_TIMEOUT_S)
        self._check(
            set(codes.values()) == {0}, f"the VMs stopped with exit codes {codes}"
        )


def _pledge(household: str, food: str) -> str:
    return f"INSERT INTO pledges (household, food) VALUES ('{household}', '{food}')"


def _execute(connection: Connection, sql: str) -> tuple[Any, ...]:
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return tuple(cursor.fetchall())


def _write_once(connection: Connection, key: str, sql: str) -> None:
    """Run a write with an idempotency key, which is valid for this write only."""
    with connection.cursor() as cursor:
        cursor.execute("SET @citronwood_idempotency_key = %s", (key,))
        cursor.execute(sql)


def _is_refused(connection: Connection) -> bool:
    try:
        _execute(connection, "SELECT COUNT(*) FROM pledges")
    except MySQLError:
        return True
    return False


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:.0f} ms"


@contextmanager
def open_fleet() -> Iterator[Fleet]:
    """Run two VMs, a group of three members and the platform stand-in."""
    processes = Processes()
    with TemporaryDirectory(prefix="citronwood-demo-") as folder:
        try:
            yield Fleet(processes, Path(folder))
        finally:
            processes.stop_all()


def main() -> int:
    """Run the demonstration; return 0 if every check passed."""
    with open_fleet() as fleet:
        demo = Demo(fleet)
        demo.run()
    print("a promise was broken" if demo.failed_checks else "all promises were kept")
    return 1 if demo.failed_checks else 0


if __name__ == "__main__":
    sys.exit(main())
