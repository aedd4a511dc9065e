"""Operator API and command line against a running fleet."""

import asyncio
import re
from itertools import pairwise
from time import monotonic

import pytest
from asyncmy.errors import MySQLError

from tests.fleet import ACCOUNT, TABLE, Fleet, run, run_cli, wait_until

MAX_WRITE_GAP_S = 0.3
LEAVING_LIMIT_S = 2.0
# Limit of the account "small".
RATE, BURST = 5, 2
CALLERS = 24


@pytest.fixture
def fleet(processes, tmp_path):
    return Fleet(processes, tmp_path, 3, limits={"small": (RATE, BURST)})


def confirm(fleet, *intent):
    code, output = run_cli(fleet, "plan", *intent)
    assert code == 0, output
    plan = re.search(r"citronwood confirm (\S+)", output)[1]
    code, output = run_cli(fleet, "confirm", plan)
    assert code == 0, output
    assert "in force on every live VM" in output


async def write_until_stopped(connection, stopped, answered, errors):
    while not stopped.is_set():
        try:
            await run(connection, "INSERT INTO pledges (household) VALUES ('x')")
            answered.append(monotonic())
        except MySQLError as error:
            errors.append(error.args)
        await asyncio.sleep(0.005)


def primary(fleet):
    _, status = fleet.operator_call("GET", "/v1/status")
    return status["groups"]["pledges"]["primary"]


def test_planned_change_of_primary_refuses_no_request(fleet):
    # Fails when writes are refused or delayed too long while the primary changes.
    answered, errors = [], []

    async def scenario():
        await run(await fleet.connect(), TABLE)
        stopped = asyncio.Event()
        connections = [await fleet.connect(name) for name in fleet.entries]
        callers = [
            asyncio.create_task(write_until_stopped(client, stopped, answered, errors))
            for client in connections
        ]
        await asyncio.to_thread(confirm, fleet, "change-primary", "pledges", "m2")
        await asyncio.to_thread(wait_until, lambda: primary(fleet) == "m2")
        await asyncio.sleep(0.5)
        stopped.set()
        await asyncio.gather(*callers)

    asyncio.run(scenario())
    assert errors == []
    gaps = [later - previous for previous, later in pairwise(answered)]
    _, output = run_cli(fleet, "explain", "--kind", "primary_change")
    assert "m2" in output
    assert max(gaps) <= MAX_WRITE_GAP_S


def test_explain_shows_refusals_and_status_shows_the_fleet(fleet):
    # Fails when an operator cannot see why requests of an account are refused.
    async def scenario():
        await run(await fleet.connect(), TABLE)
        connections = [
            await fleet.connect("vm02", user="small") for _ in range(CALLERS)
        ]
        started = monotonic()
        # Concurrently, because a single caller is delayed instead of refused.
        outcomes = await asyncio.gather(
            *(run(client, "SELECT COUNT(*) FROM pledges") for client in connections),
            return_exceptions=True,
        )
        elapsed = monotonic() - started
        errors = [outcome for outcome in outcomes if isinstance(outcome, MySQLError)]
        assert {error.args[0] for error in errors} == {9003}
        await asyncio.to_thread(confirm, fleet, "withdraw-key", ACCOUNT, "k1")
        with pytest.raises(MySQLError) as caught:
            await fleet.connect("vm03")
        assert caught.value.args[0] == 1045
        return len(errors), elapsed

    refused, elapsed = asyncio.run(scenario())
    assert CALLERS - refused <= BURST + RATE * elapsed
    # Requests wait 0.5 s for tokens, or up to 2 s after a ledger failed to answer.
    assert refused >= CALLERS - (BURST + RATE * 2.0)
    code, output = run_cli(fleet, "explain", "--account", "small")
    assert code == 0
    lines = [line for line in output.splitlines() if "9003" in line]
    assert len(lines) == refused
    assert all("vm02 refusal" in line for line in lines)
    assert all("rate 5.0, burst 2" in line for line in lines)
    code, output = run_cli(fleet, "status")
    assert code == 0
    assert all(name in output for name in fleet.entries)
    assert "pledges: primary m1" in output


def test_second_of_two_operators_is_told_what_changed(fleet):
    # Fails when a plan based on an older configuration is applied.
    def intent(rate):
        return {"kind": "set_rate", "account": ACCOUNT, "rate": rate, "burst": rate}

    def confirm_at(name, plan):
        path = f"/v1/plans/{plan['id']}/confirm"
        return fleet.operator_call("POST", path, name=name)

    async def race():
        plans = {}
        for name, rate in (("vm01", 700), ("vm02", 800)):
            _, plans[name] = fleet.operator_call(
                "POST", "/v1/plans", intent(rate), name
            )
        return await asyncio.gather(
            *(asyncio.to_thread(confirm_at, name, plans[name]) for name in plans)
        )

    answers = asyncio.run(race())
    assert sorted(status for status, _ in answers) == [200, 409]
    (refusal,) = [body for status, body in answers if status == 409]
    rate = 700 if answers[0][0] == 200 else 800
    assert refusal["error"] == "moved"
    assert any(str(rate) in str(change) for change in refusal["moved"]), refusal
    for name in fleet.entries:
        _, config = fleet.operator_call("GET", "/v1/config", name=name)
        assert config["accounts"][ACCOUNT]["rate"] == rate


@pytest.mark.parametrize("member", ["m1", "m2"])
def test_leaving_member_gets_no_new_work(fleet, tmp_path, member):
    # Fails when a leaving member, the primary (m1) or a replica (m2), still receives
    # statements 2 s after the confirm.
    answered, errors = [], []
    change_intent = {"kind": "change_member", "group": "pledges", "member": member}
    received_path = tmp_path / f"{member}.bytes"

    async def read_until_stopped(connection, stopped):
        while not stopped.is_set():
            await run(connection, "SELECT COUNT(*) FROM pledges")

    async def scenario():
        await run(await fleet.connect(), TABLE)
        stopped = asyncio.Event()
        callers = []
        for name in fleet.entries:
            one, other = await fleet.connect(name), await fleet.connect(name)
            callers.append(write_until_stopped(one, stopped, answered, errors))
            callers.append(read_until_stopped(other, stopped))
        callers = asyncio.gather(*callers)
        await asyncio.sleep(1.0)
        confirmed_at = monotonic()
        await asyncio.to_thread(fleet.confirm, {**change_intent, "leaving": True})
        await asyncio.sleep(confirmed_at + LEAVING_LIMIT_S - monotonic())
        before = received_path.read_bytes()
        await asyncio.sleep(2.0)
        stopped.set()
        await callers
        written = sum(at > confirmed_at + LEAVING_LIMIT_S for at in answered)
        return before, received_path.read_bytes()[len(before) :], written

    before, after, written = asyncio.run(scenario())
    assert before.count(b"pledges") > 50
    assert after, "the member is no longer monitored"
    assert (b"pledges" not in after, errors) == (True, [])
    assert written > 50
