"""Operator commands against a running API."""

import asyncio
import json
import re

import pytest
from cleo.testers.application_tester import ApplicationTester

from citronwood.cli.application import create_application
from citronwood.cli.intent import SHORT_FORMS, UsageError, parse_short_form
from citronwood.config.intent import INTENT_KINDS
from tests.test_operator_api import TOKEN, running_api
from tests.test_relay_records import SETTINGS
from tests.test_settings import REQUIRED


@pytest.fixture
def command(monkeypatch):
    """Return a coroutine function that runs a command line against an API.

    It returns the exit code, the output and the error output. Its attribute
    ``run_sync`` runs a command line without an API.
    """

    def run(line):
        tester = ApplicationTester(create_application())
        tester.application.catch_exceptions(False)
        code = tester.execute(line)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    async def run_async(api, line):
        monkeypatch.setenv("CITRONWOOD_OPERATOR_URL", api.url)
        monkeypatch.setenv("CITRONWOOD_OPERATOR_TOKEN", TOKEN)
        return await asyncio.to_thread(run, line)

    run_async.run_sync = run
    return run_async


def test_plan_and_confirm(command):
    async def scenario():
        async with running_api() as api:
            code, out, _ = await command(api, "plan create-account pantry 50 10")
            assert code == 0
            assert "accounts.pantry: add" in out
            assert "warning: account pantry has no key yet" in out
            confirm = re.search(r"citronwood (confirm \S+)", out)[1]
            code, out, _ = await command(api, confirm)
            assert (code, "in force on every live VM" in out) == (0, True)
            code, out, _ = await command(api, confirm)
            assert (code, "was applied before" in out) == (0, True)
            code, out, _ = await command(api, "plan grant-key pantry --json")
            (secret,) = json.loads(out)["secrets"].values()
            assert len(secret) == 40

    asyncio.run(scenario())


def test_refusals_are_printed_with_the_invalid_fields(command, tmp_path):
    async def scenario():
        async with running_api() as api:
            code, _, error = await command(api, "plan set-rate nobody 0 x")
            assert code == 1
            for place in ("rate", "burst", "account"):
                assert f"  {place}: " in error
            first = await command(api, "plan create-account a 5 5 --json")
            path = tmp_path / "intent.json"
            path.write_text(
                json.dumps(
                    {"kind": "create_account", "name": "b", "rate": 1, "burst": 1}
                )
            )
            second = await command(api, f"plan {path} --json")
            ids = [json.loads(out)["id"] for _, out, _ in (first, second)]
            await command(api, f"confirm {ids[0]}")
            code, _, error = await command(api, f"confirm {ids[1]}")
            assert code == 1
            assert f"applied since: {ids[0]}" in error
            assert "changed since: accounts.a: add" in error

    asyncio.run(scenario())


def test_status_and_explain(command):
    async def scenario():
        async with running_api() as api:
            api.records.add("refusal", account="<b>pantry", code=9003)
            code, out, _ = await command(api, "status")
            assert code == 0
            for part in ("VM vm1: serves", "pledges: primary m1", "get.config: "):
                assert part in out
            code, out, _ = await command(api, "explain --kind refusal")
            # Guards against values that cleo interprets as markup.
            assert "account <b>pantry, code 9003" in out
            code, out, _ = await command(api, "explain --json")
            assert len(json.loads(out)["records"]) == 2

    asyncio.run(scenario())


def test_unreachable_api_is_reported(command):
    code, _, error = command.run_sync("status --url http://127.0.0.1:9")
    assert (code, "cannot call" in error) == (1, True)
    # The plan may have been applied although no response arrived.
    code, _, _ = command.run_sync("confirm p1-0 --url http://127.0.0.1:9")
    assert code == 3


def test_usage_error_shows_the_short_form(command):
    code, _, error = command.run_sync("plan withdraw-key pantry")
    assert (code, "withdraw-key ACCOUNT KEY_ID" in error) == (2, True)
    assert command.run_sync("plan no-such-form a b")[0] == 2
    assert command.run_sync("plan /no/such/file")[0] == 2


def test_short_forms_produce_known_intents():
    assert {form.kind for form in SHORT_FORMS.values()} <= set(INTENT_KINDS)
    intent = parse_short_form("create-group", ["g", "db", "m1=127.0.0.1:3306:seattle"])
    assert intent["members"] == {
        "m1": {"host": "127.0.0.1", "port": "3306", "failure_domain": "seattle"}
    }
    with pytest.raises(UsageError):
        parse_short_form("create-group", ["g", "db", "m1=nowhere"])


def test_check_settings(command, monkeypatch):
    code, _, error = command.run_sync("check-settings --listen-port 0")
    assert code == 2
    assert "--listen-port (CITRONWOOD_LISTEN_PORT):" in error
    assert "--vm-name (CITRONWOOD_VM_NAME): is required" in error
    for name, value in REQUIRED.items():
        monkeypatch.setenv(f"CITRONWOOD_{name.upper()}", value)
    code, out, _ = command.run_sync("check-settings --vm-name vm2")
    assert code == 0
    assert "vm_name = vm2  (flag --vm-name)" in out
    assert REQUIRED["fleet_secret"] not in out
    flags = "--vm-name vm2 --memory-mb 100 --max-descriptors 600"
    code, _, errors = command.run_sync(f"check-settings {flags}")
    assert code == 0
    assert "memory of 100 MB" in errors


def test_node_checks_the_settings_file_of_the_platform(
    command, monkeypatch, tmp_path, capsys
):
    path = tmp_path / "node.conf"
    monkeypatch.setenv("CITRONWOOD_SETTINGS", str(path))
    path.write_text(SETTINGS)
    code, out, _ = command.run_sync("node --check")
    assert code == 0
    assert "failure_domain = z1" in out
    assert "limits.connections = " in out
    path.write_text(SETTINGS + "limits.memory_mb=90\nlimits.max_fds=600\n")
    code, out, errors = command.run_sync("node --check")
    assert code == 0
    assert "limits.connections = 240" in out
    assert "memory of 90 MB" in errors
    assert "240 connections" in errors
    path.write_text(SETTINGS.replace("node=", "nodes=").replace("zone=", "zones="))
    code, _, errors = command.run_sync("node --check")
    assert code == 2
    assert "node: missing" in errors
    assert "zone: missing" in errors
    # Without --check, invalid settings also prevent the start.
    assert command.run_sync("node")[0] == 2
    started = capsys.readouterr().err
    assert "node: missing" in started
    assert "zone: missing" in started
