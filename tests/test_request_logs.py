"""Explanation of failed requests by id, from log files of real processes."""

import asyncio
import json
import os
import re
from contextlib import contextmanager, suppress
from pathlib import Path
from signal import SIGSTOP

import pytest
from asyncmy.errors import MySQLError

from citronwood.backend.seats import data_connections
from citronwood.config.model import Group
from tests.fleet import (
    ACCOUNT,
    KEY,
    SECRET,
    TABLE,
    TOKEN,
    Fleet,
    run,
    run_cli,
    wait_until,
)

REQUEST_ID = re.compile(r"\(request ([^)]+)\)")
LOG_SETTINGS = {"log-level": "info"}
# Data connections of one gateway to one member.
MEMBER_CONNECTIONS = data_connections(Group(database="demo", members={}))
CLIENT_COUNT = 4 * MEMBER_CONNECTIONS
# Part of a statement that the database quotes in its error message.
QUOTED_SQL_TEXT = "text_of_a_caller"
# Enough to exceed the rate limit on log lines.
STATEMENT_COUNT = 2_000
MAX_MEMORY_GROWTH_BYTES = 16 << 20


@pytest.fixture
def fleet(processes, tmp_path):
    return Fleet(processes, tmp_path, limits={"small": (1, 1)}, settings=LOG_SETTINGS)


async def error_code_and_request_id(statement):
    """Return the error code and request id of a statement that fails."""
    with pytest.raises(MySQLError) as caught:
        await statement
    code, message = caught.value.args[:2]
    return code, REQUEST_ID.search(message)[1]


def explain(fleet, request_id):
    """Return the output of the explain command that docs/OPERATIONS.md describes."""
    logs = [str(fleet.log_path(name)) for name in fleet.ports]
    code, output = run_cli(fleet, "explain", request_id, *logs)
    assert code == 0, output
    return output


def log_lines(fleet, event):
    """Return the log lines of an event from all VMs, as objects."""
    texts = [fleet.log_path(name).read_text() for name in fleet.ports]
    lines = [json.loads(line) for text in texts for line in text.splitlines()]
    return [line for line in lines if line.get("event") == event]


def test_request_over_its_rate(fleet):
    """Guards against a refusal whose rate and burst are not in the logs."""

    async def scenario():
        await run(await fleet.connect(), TABLE)
        clients = [await fleet.connect("vm02", user="small") for _ in range(8)]
        reads = [run(client, "SELECT COUNT(*) FROM pledges") for client in clients]
        outcomes = await asyncio.gather(*reads, return_exceptions=True)
        return [outcome for outcome in outcomes if isinstance(outcome, MySQLError)]

    errors = asyncio.run(scenario())
    assert {error.args[0] for error in errors} == {9003}
    for error in errors:
        output = explain(fleet, REQUEST_ID.search(error.args[1])[1])
        assert "small was over its rate at vm02: no token in time" in output
        assert "1.0 requests a second with a burst of 1" in output


def test_unknown_outcome_across_a_change_of_primary(fleet):
    """Guards against missing a cause that only another VM has logged."""

    async def scenario():
        connection = await fleet.connect("vm02")
        await run(connection, TABLE)
        await run(connection, "SET @citronwood_request_id = 'trace-7'")
        # The write is sent to a primary that neither runs nor refuses it.
        fleet.members["m1"].send_signal(SIGSTOP)
        code_and_id = await error_code_and_request_id(
            run(connection, "INSERT INTO pledges (food) VALUES ('rice')")
        )
        await asyncio.to_thread(
            wait_until,
            lambda: any(
                line["outcome"] == "done" for line in log_lines(fleet, "primary_change")
            ),
        )
        return code_and_id

    assert asyncio.run(scenario()) == (9002, "trace-7")
    output = explain(fleet, "trace-7")
    assert "unknown whether the statement ran" in output
    assert "because the primary m1 was being replaced at term 2" in output


def open_transactions(fleet, name):
    """Return the number of open transactions of a VM's gateway.

    Zero if the VM has no report of its own on the group.
    """
    _, status = fleet.operator_call("GET", "/v1/status", name=name)
    group = status["groups"]["pledges"]
    return group["open_transactions"] if group["reported_by"] == name else 0


async def wait_for_local_gateway(fleet, name, connection):
    """Wait until a VM runs the statements of its clients on its own gateway.

    Until its gateway has seats on the members, which reserve its share of their
    connections, the VM forwards the statements to another VM.
    """
    served_locally = False
    async with asyncio.timeout(10):
        while not served_locally:
            await run(connection, "BEGIN")
            served_locally = (
                await asyncio.to_thread(open_transactions, fleet, name) == 1
            )
            await run(connection, "ROLLBACK")


def test_request_that_times_out_in_an_overload(fleet):
    """Guards against a timeout error that does not say what the request waited for."""

    async def scenario():
        first, *others = [await fleet.connect("vm01") for _ in range(CLIENT_COUNT)]
        await run(first, TABLE)
        await wait_for_local_gateway(fleet, "vm01", first)
        # Open transactions hold all connections, so that the INSERT times out.
        open_tasks = [asyncio.create_task(run(client, "BEGIN")) for client in others]
        await asyncio.to_thread(
            wait_until, lambda: open_transactions(fleet, "vm01") == MEMBER_CONNECTIONS
        )
        timed_out = await error_code_and_request_id(
            run(first, "INSERT INTO pledges (food) VALUES ('rice')")
        )
        await asyncio.gather(*open_tasks, return_exceptions=True)
        return timed_out

    code, request_id = asyncio.run(scenario())
    assert code == 9001
    output = explain(fleet, request_id)
    in_use = f"all {MEMBER_CONNECTIONS} connections of vm01 to m1 were in use"
    assert in_use in output, output


def test_explain_fails_for_a_request_id_without_log_lines(fleet):
    """Guards against an explanation that no log line supports."""
    log = str(fleet.log_path("vm01"))
    code, output = run_cli(fleet, "explain", "no-such-id", log)
    assert code == 1
    assert "No line names request no-such-id" in output


def resident_bytes(process):
    """Return the resident memory of a process."""
    pages = Path(f"/proc/{process.pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


@contextmanager
def full_pipe():
    """Yield the write end of a full pipe."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)
    yield writer
    os.close(reader)
    os.close(writer)


def test_blocked_log_output_delays_no_request(fleet):
    """Guards against a VM that blocks on its log output, in requests or at its stop."""

    async def scenario():
        connections = [await fleet.connect("vm03") for _ in range(8)]
        await run(connections[0], TABLE)
        before = resident_bytes(fleet.entries["vm03"])
        for _ in range(STATEMENT_COUNT // len(connections)):
            async with asyncio.timeout(5):
                await asyncio.gather(
                    *(
                        run(client, "SELECT COUNT(*) FROM pledges")
                        for client in connections
                    )
                )
        return resident_bytes(fleet.entries["vm03"]) - before

    with full_pipe() as stdout:
        fleet.start_entry("vm03", "spokane", stdout=stdout)
        fleet.processes.wait_for_ports(fleet.ports["vm03"])
        assert asyncio.run(scenario()) < MAX_MEMORY_GROWTH_BYTES
        fleet.entries["vm03"].terminate()
        assert fleet.entries["vm03"].wait(timeout=20) == 0


def test_no_secret_is_logged(fleet):
    """Guards against keys, and statements quoted in errors, in the logs."""

    async def scenario():
        await run(await fleet.connect(), TABLE)
        with pytest.raises(MySQLError):
            await fleet.connect("vm02", password="wrong-" + KEY)
        with pytest.raises(MySQLError):
            await run(await fleet.connect(), f"SELECT 1 FROM nothing_{QUOTED_SQL_TEXT}")
        _, plan = await asyncio.to_thread(
            fleet.operator_call,
            "POST",
            "/v1/plans",
            {"kind": "grant_key", "account": ACCOUNT, "key_id": "k2"},
        )
        (granted_key,) = plan["secrets"].values()
        await asyncio.to_thread(
            fleet.operator_call, "POST", f"/v1/plans/{plan['id']}/confirm"
        )
        await asyncio.to_thread(
            wait_until,
            lambda: any(
                line["inputs"]["version"] > 1
                for line in log_lines(fleet, "configuration")
            ),
        )
        return granted_key

    granted_key = asyncio.run(scenario())
    for name in fleet.ports:
        text = fleet.log_path(name).read_text()
        assert text
        for secret in (KEY, SECRET, TOKEN, QUOTED_SQL_TEXT, granted_key):
            assert secret not in text
