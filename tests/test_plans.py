"""Plans and their confirmation, with concurrent operators and lost answers."""

import asyncio
from itertools import pairwise

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)
from result import Err, Ok

from citronwood.config import plan as plan_module
from citronwood.config.keys import key_digest
from citronwood.config.plan import PLAN_LIFETIME_S, Planner
from citronwood.config.store import read_configuration
from citronwood.deadline import deadline_in
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformUnavailableError,
    VersionConflictError,
)
from citronwood.platform.api import VersionedObject


class FakeStore:
    """Store that can lose or delay updates of the configuration and their answers.

    ``faults`` are the faults of the next updates of the configuration, in order.
    Requests that match ``pause_at`` wait until ``resume`` is set.
    """

    def __init__(self):
        self.objects = {}
        self.history = []
        self.faults = []
        self.resume = asyncio.Event()
        self.pause_at = None

    async def pause_before(self, request):
        if self.pause_at == request:
            await self.resume.wait()

    async def get(self, kind, name, deadline):
        await self.pause_before(f"get {kind}")
        if (kind, name) not in self.objects:
            raise ObjectNotFoundError(name)
        return self.objects[kind, name]

    async def put(self, kind, name, value, expected, deadline):
        fault = self.faults.pop(0) if self.faults and kind == "config" else None
        await self.pause_before(f"put {kind}")
        if fault == "not_sent":
            raise PlatformUnavailableError("not sent")
        stored = self.objects.get((kind, name))
        actual = stored.version if stored else 0
        if actual != expected:
            raise VersionConflictError(kind, name, expected, actual)
        self.objects[kind, name] = VersionedObject(value, actual + 1)
        if kind == "config":
            self.history.append(value)
        if fault == "answer_lost":
            raise PlatformUnavailableError("answer lost")
        return actual + 1


def short_deadline():
    return deadline_in(5)


LOOP = asyncio.new_event_loop()


def run(coroutine):
    # A new loop for each step would take most of the time of the test.
    return LOOP.run_until_complete(coroutine)


def member(port, domain="seattle"):
    return {"host": "127.0.0.1", "port": port, "failure_domain": domain}


SETUP = {
    "kind": "batch",
    "intents": [
        {"kind": "set_share_slots", "count": 3},
        {"kind": "create_account", "name": "pantry", "rate": 50, "burst": 10},
        {"kind": "grant_key", "account": "pantry"},
        {
            "kind": "create_group",
            "name": "pledges",
            "database": "pledges",
            "members": {f"m{n}": member(n, f"domain{n}") for n in (1, 2, 3)},
        },
        {"kind": "create_route", "name": "pledges", "group": "pledges"},
    ],
}


async def apply(planner, intent):
    proposal = (await planner.propose(intent, short_deadline())).ok_value
    assert proposal is not None, intent
    result = await planner.confirm(proposal.plan.id, short_deadline())
    assert isinstance(result, Ok), result
    return proposal


def prepare_planner(**options):
    store = FakeStore()
    planner = Planner(store, **options)
    run(apply(planner, SETUP))
    return store, planner


def findings_of(planner, intent):
    result = run(planner.propose(intent, short_deadline()))
    assert isinstance(result, Err), result
    return {finding.place: finding.message for finding in result.err_value}


def test_secret_is_returned_once_and_only_its_digest_is_stored():
    store = FakeStore()
    proposal = run(apply(Planner(store), SETUP))
    (secret,) = proposal.secrets.values()
    assert len(secret) == 40
    assert secret not in str(store.objects)
    config = run(read_configuration(store, short_deadline()))
    assert config.accounts["pantry"].keys == {"k1": key_digest(secret)}


def test_all_findings_are_reported_with_their_place():
    _, planner = prepare_planner()
    batch = [
        {"kind": "set_rate", "account": "nobody", "rate": -1, "burst": 5},
        {"kind": "create_route", "name": "pledges", "group": "nowhere"},
        {"kind": "no_such_kind"},
        {"kind": ["list"]},
        {"kind": "withdraw_key", "account": "pantry", "key_id": "k7"},
    ]
    findings = findings_of(planner, {"kind": "batch", "intents": batch})
    assert set(findings) == {
        "intents.0.rate",
        "intents.0.account",
        "intents.1.name",
        "intents.1.group",
        "intents.2.",
        "intents.3.",
        "intents.4.key_id",
    }
    for malformed in (None, [], "x", {"kind": "batch"}):
        assert findings_of(planner, malformed)


@pytest.mark.parametrize(
    ("intent", "place"),
    [
        ({"kind": "remove_group", "group": "pledges"}, "routes.pledges.group"),
        (
            {"kind": "change_group", "group": "pledges", "max_connections": 20},
            "groups.pledges.max_connections",
        ),
        (
            {"kind": "add_member", "group": "pledges", "member": "m4", **member(1)},
            "groups.pledges.members.m4",
        ),
        ({"kind": "set_share_slots", "count": 5}, "count"),
        ({"kind": "change_primary", "group": "pledges", "member": "m2"}, "group"),
        ({"kind": "set_rate", "account": "pantry", "rate": 50, "burst": 10}, ""),
    ],
)
def test_intent_that_breaks_a_rule_is_refused(intent, place):
    _, planner = prepare_planner()
    assert list(findings_of(planner, intent)) == [place]


def test_two_members_cannot_change_in_one_plan():
    # Guards against lost writes: the majorities before and after might not overlap.
    _, planner = prepare_planner()
    intents = [
        {"kind": "add_member", "group": "pledges", "member": f"m{n}", **member(n)}
        for n in (4, 5)
    ]
    findings = findings_of(planner, {"kind": "batch", "intents": intents})
    assert list(findings) == ["groups.pledges.members"]
    replacement = [intents[0], {"kind": "remove_member", "group": "pledges"}]
    replacement[1]["member"] = "m1"
    findings = findings_of(planner, {"kind": "batch", "intents": replacement})
    assert list(findings) == ["groups.pledges.members"]


def test_members_change_only_when_no_vm_is_behind():
    # Guards against a VM that counts majorities among the members of two plans ago.
    behind = []
    _, planner = prepare_planner(behind=lambda version: behind)
    behind.append("vm7")
    run(apply(planner, set_rate(7)))
    intent = {"kind": "add_member", "group": "pledges", "member": "m4", **member(4)}
    plan = run(planner.propose(intent, short_deadline())).ok_value.plan
    rejection = run(planner.confirm(plan.id, short_deadline())).err_value
    assert rejection.reason == "behind"
    assert "vm7" in rejection.message
    behind.clear()
    assert isinstance(run(planner.confirm(plan.id, short_deadline())), Ok)


def test_change_of_primary_is_bound_to_the_term():
    store, planner = prepare_planner(terms=lambda: {"pledges": 7})
    intent = {"kind": "change_primary", "group": "pledges", "member": "m2"}
    run(apply(planner, intent))
    change = (
        run(read_configuration(store, short_deadline()))
        .groups["pledges"]
        .primary_change
    )
    assert (change.member, change.term) == ("m2", 7)


def test_warnings_name_the_risks_of_a_change():
    _, planner = prepare_planner()
    batch = [
        {"kind": "withdraw_key", "account": "pantry", "key_id": "k1"},
        {"kind": "change_route", "route": "pledges", "open_to_all": True},
        {"kind": "remove_member", "group": "pledges", "member": "m1"},
    ]
    result = run(planner.propose({"kind": "batch", "intents": batch}, short_deadline()))
    warnings = " ".join(result.ok_value.plan.warnings)
    for part in ("no key left", "without a key", "2 members", "not marked as leaving"):
        assert part in warnings


def test_rejection_reports_conflicting_changes():
    _, planner = prepare_planner()
    late_plan = run(planner.propose(set_rate(5), short_deadline())).ok_value.plan
    other_plan = run(apply(planner, set_rate(6))).plan
    rejection = run(planner.confirm(late_plan.id, short_deadline())).err_value
    assert (rejection.reason, rejection.plans) == ("moved", (other_plan.id,))
    assert rejection.moved == (("accounts.pantry.rate", 50.0, 6.0),)


def test_slots_of_expired_plans_are_reused(monkeypatch):
    # Guards against unconfirmed plans that accumulate in the store.
    now = [1000.0]
    store, planner = prepare_planner(clock=lambda: now[0])
    monkeypatch.setattr(plan_module, "PLAN_SLOTS", 4)
    monkeypatch.setattr(plan_module, "MAX_SLOT_ATTEMPTS", 4)
    for _ in range(5):
        # Expires the plans of the previous round and the one of ``prepare_planner``,
        # which may use one of the four slots.
        now[0] += PLAN_LIFETIME_S + plan_module.MAX_CLOCK_SKEW_S + 1
        for number in range(4):
            run(planner.propose(set_rate(number + 1), short_deadline()))
    # The four slots, and the slot of the plan of ``prepare_planner`` if it is another.
    assert len([kind for kind, _ in store.objects if kind == "plan"]) <= 5


def set_rate(value):
    return {"kind": "set_rate", "account": "pantry", "rate": value, "burst": 10}


class PlanMachine(RuleBasedStateMachine):
    """Operators confirm plans concurrently, with lost updates and answers."""

    plans = Bundle("plans")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store, self.planner = prepare_planner(clock=lambda: self.now)
        self.confirmed_ids = set()
        self.refused_ids = set()
        self.attempted_ids = set()
        self.versions = [1]

    @rule(target=plans, value=st.integers(1, 1000))
    def propose(self, value):
        result = run(self.planner.propose(set_rate(value), short_deadline()))
        if isinstance(result, Err):
            assert result.err_value[0].message == "the intent changes nothing"
            return None
        return result.ok_value.plan

    @rule(
        plans=st.lists(plans, min_size=1, max_size=3),
        faults=st.lists(st.sampled_from(["answer_lost", "not_sent", None])),
        pause_at=st.sampled_from(["get plan", "put config"]),
    )
    def confirm_together(self, plans, faults, pause_at):
        plans = [plan for plan in plans if plan is not None]
        self.store.faults = list(faults)

        async def race():
            self.store.resume = asyncio.Event()
            self.store.pause_at = pause_at
            tasks = [
                asyncio.create_task(self.planner.confirm(plan.id, short_deadline()))
                for plan in plans
            ]
            for _ in range(5):
                await asyncio.sleep(0)
            self.store.resume.set()
            return await asyncio.gather(*tasks, return_exceptions=True)

        for plan, result in zip(plans, run(race()), strict=True):
            self.attempted_ids.add(plan.id)
            self.record(plan, result)
        self.store.faults = []
        self.store.pause_at = None

    def record(self, plan, result):
        if isinstance(result, Ok):
            self.confirmed_ids.add(plan.id)
        elif isinstance(result, Err):
            reason = result.err_value.reason
            # Another plan may have reused the slot of an expired one.
            assert reason == "moved" or self.is_expired(plan)
            assert reason in ("moved", "expired", "unknown")
            self.refused_ids.add(plan.id)
        else:
            assert isinstance(result, PlatformUnavailableError), result

    def is_expired(self, plan):
        return self.now >= plan.expires_at

    @rule(plan=consumes(plans))
    def repeat_until_answered(self, plan):
        if plan is None:
            return
        was_applied = plan.id in self.applied_ids()
        base_is_current = self.version() == plan.base_version
        result = run(self.planner.confirm(plan.id, short_deadline()))
        self.attempted_ids.add(plan.id)
        self.record(plan, result)
        accepted = was_applied or (base_is_current and not self.is_expired(plan))
        assert isinstance(result, Ok) == accepted
        if accepted:
            assert result.ok_value.repeated == was_applied

    @rule(seconds=st.sampled_from([1.0, PLAN_LIFETIME_S / 2]))
    def pass_time(self, seconds):
        self.now += seconds

    def applied_ids(self):
        return self.store.objects["config", "current"].value["applied_plans"]

    def version(self):
        return self.store.objects["config", "current"].version

    @invariant()
    def applied_plans_are_those_that_were_confirmed(self):
        applied_ids = self.applied_ids()
        assert len(applied_ids) == len(set(applied_ids))
        assert self.confirmed_ids <= set(applied_ids)
        assert not self.refused_ids & set(applied_ids)
        # The first id is that of the plan of ``prepare_planner``.
        assert set(applied_ids[1:]) <= self.attempted_ids

    @invariant()
    def versions_rise_and_each_applies_one_plan(self):
        version = self.version()
        assert version >= self.versions[-1]
        self.versions.append(version)
        ids = [document["applied_plans"] for document in self.store.history]
        assert len(ids) == version
        for earlier, later in pairwise(ids):
            assert later[:-1] == earlier


TestPlanMachine = PlanMachine.TestCase
TestPlanMachine.settings = settings(
    max_examples=30, stateful_step_count=15, deadline=None
)
