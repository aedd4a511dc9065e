"""Operator API with a stand-in platform and a fake membership."""

import asyncio
import contextlib
from time import monotonic

import pytest
from aiohttp import ClientSession

from citronwood.config.distribution import ConfigDistributor
from citronwood.config.plan import Planner
from citronwood.deadline import deadline_in
from citronwood.metrics import Metrics
from citronwood.operator import http
from citronwood.operator.http import OperatorApi, OperatorSources
from citronwood.operator.records import Records
from citronwood.platform.budget import CallBudget
from citronwood.platform.http import HttpPlatformClient
from citronwood.standin.platform import StandinPlatform
from tests.test_distribution import FakeMembership, vm_state

TOKEN = "operator-token"
ACCOUNT = {"kind": "create_account", "name": "pantry", "rate": 5, "burst": 5}


class Fixture:
    def __init__(self, platform, api, session, membership, records):
        self.platform = platform
        self.membership = membership
        self.records = records
        self.url = api.url
        self.session = session

    async def call(self, method, path, body=None, token=TOKEN):
        headers = {"Authorization": f"Bearer {token}"}
        async with self.session.request(
            method, self.url + path, json=body, headers=headers
        ) as response:
            return response.status, await response.json()


@contextlib.asynccontextmanager
async def running_api():
    platform = StandinPlatform("127.0.0.1", 0)
    await platform.start()
    metrics = Metrics()
    client = HttpPlatformClient(platform.url, metrics, CallBudget(100, 100))
    membership = FakeMembership(("vm1",))
    records = Records()
    config = ConfigDistributor(client, membership, metrics)

    def report_version(_):
        membership.own = vm_state("vm1", config.version)
        membership.live = (membership.own, *membership.live[1:])

    config.on_change(report_version)
    await config.start(deadline_in(2))

    async def peer_records(kind, account):
        return [{"at": 0.0, "vm": "vm2", "kind": "refusal", "details": {}}]

    async def groups():
        return {"pledges": {"primary": "m1", "term": 3, "members": {}}}

    sources = OperatorSources(
        Planner(client, on_applied=config.install),
        config,
        membership,
        metrics,
        records,
        lambda: client.status,
        groups,
        peer_records,
    )
    api = OperatorApi(sources, TOKEN, "127.0.0.1", 0)
    await api.start()
    async with ClientSession() as session:
        try:
            yield Fixture(platform, api, session, membership, records)
        finally:
            await api.stop()
            await config.stop()
            await client.close()
            await platform.stop()


def test_intent_is_planned_confirmed_and_in_force():
    async def scenario():
        async with running_api() as api:
            status, plan = await api.call("POST", "/v1/plans", ACCOUNT)
            assert (status, plan["changes"][0]["place"]) == (201, "accounts.pantry")
            path = f"/v1/plans/{plan['id']}"
            assert (await api.call("GET", path))[1]["applied"] is False
            status, answer = await api.call("POST", path + "/confirm")
            assert (status, answer["in_force"], answer["repeated"]) == (
                200,
                True,
                False,
            )
            assert (await api.call("POST", path + "/confirm"))[1]["repeated"]
            assert (await api.call("GET", path))[1]["applied"] is True
            _, config = await api.call("GET", "/v1/config")
            assert (config["version"], list(config["accounts"])) == (1, ["pantry"])

    asyncio.run(scenario())


def test_vm_installs_its_own_plan_without_reading_the_store():
    async def scenario():
        async with running_api() as api:
            _, plan = await api.call("POST", "/v1/plans", ACCOUNT)
            api.platform.faults.silent_watches = True
            started = monotonic()
            await api.call("POST", f"/v1/plans/{plan['id']}/confirm")
            assert monotonic() - started < 0.4
            assert (await api.call("GET", "/v1/config"))[1]["version"] == 1

    asyncio.run(scenario())


def test_secret_is_only_in_the_answer_to_its_intent():
    async def scenario():
        async with running_api() as api:
            batch = [ACCOUNT, {"kind": "grant_key", "account": "pantry"}]
            body = {"kind": "batch", "intents": batch}
            _, plan = await api.call("POST", "/v1/plans", body)
            (secret,) = plan["secrets"].values()
            for path in (f"/v1/plans/{plan['id']}", "/v1/config", "/v1/explain"):
                assert secret not in str(await api.call("GET", path))

    asyncio.run(scenario())


def test_errors_contain_findings_and_conflicting_changes():
    async def scenario():
        async with running_api() as api:
            invalid = {"kind": "set_rate", "account": "nobody", "rate": 0, "burst": 1}
            status, error = await api.call("POST", "/v1/plans", invalid)
            assert (status, error["error"]) == (422, "invalid_intent")
            assert {f["place"] for f in error["findings"]} == {"rate", "account"}
            plans = [
                (await api.call("POST", "/v1/plans", ACCOUNT | {"name": name}))[1]
                for name in ("a", "b")
            ]
            first, second = (f"/v1/plans/{plan['id']}/confirm" for plan in plans)
            await api.call("POST", first)
            status, error = await api.call("POST", second)
            assert (status, error["error"]) == (409, "moved")
            assert error["plans"] == [plans[0]["id"]]
            assert error["moved"][0]["place"] == "accounts.a"
            assert (await api.call("POST", "/v1/plans/p1-0/confirm"))[0] == 404

    asyncio.run(scenario())


def test_confirm_names_the_vms_that_are_behind(monkeypatch):
    monkeypatch.setattr(http, "IN_FORCE_TIMEOUT_S", 0.2)

    async def scenario():
        async with running_api() as api:
            api.membership.live = (*api.membership.live, vm_state("vm2", 0))
            _, plan = await api.call("POST", "/v1/plans", ACCOUNT)
            path = f"/v1/plans/{plan['id']}/confirm"
            status, answer = await api.call("POST", path)
            assert (status, answer["behind"]) == (202, ["vm2"])

    asyncio.run(scenario())


def test_outage_during_a_confirm_is_reported_as_unknown(monkeypatch):
    monkeypatch.setattr(http, "STORE_TIMEOUT_S", 0.3)

    async def scenario():
        async with running_api() as api:
            _, plan = await api.call("POST", "/v1/plans", ACCOUNT)
            path = f"/v1/plans/{plan['id']}/confirm"
            api.platform.faults.down = True
            status, error = await api.call("POST", path)
            assert (status, error["error"]) == (503, "outcome_unknown")
            assert (await api.call("POST", "/v1/plans", ACCOUNT))[0] == 503
            api.platform.faults.down = False
            assert (await api.call("POST", path))[0] == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("token", ["", "wrong", TOKEN + "x", "é"])
def test_token_is_required_except_for_health(token):
    async def scenario():
        async with running_api() as api:
            for path in ("/v1/status", "/v1/config", "/v1/explain", "/v1/nothing"):
                assert (await api.call("GET", path, token=token))[0] == 401
            assert (await api.call("GET", "/v1/health", token=token))[0] == 200

    asyncio.run(scenario())


def test_status_and_explain_cover_this_vm_and_the_fleet():
    async def scenario():
        async with running_api() as api:
            api.records.add("refusal", account="pantry", code=9003)
            api.records.add("refusal", account="other", code=9003)
            _, status = await api.call("GET", "/v1/status")
            assert status["groups"]["pledges"]["term"] == 3
            assert status["platform"]["budget"]["calls_per_s"] == 100
            assert status["platform"]["calls"]["get.config"] >= 1
            assert [vm["name"] for vm in status["fleet"]] == ["vm1"]
            path = "/v1/explain?kind=refusal&account=pantry"
            _, explained = await api.call("GET", path)
            assert [record["vm"] for record in explained["records"]] == ["vm2", "vm1"]
            assert (await api.call("GET", "/v1/nothing"))[0] == 404

    asyncio.run(scenario())
