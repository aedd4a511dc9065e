"""Plans: changes to one version of the configuration that an operator has to confirm.

Plans are kept in the platform's store, so that any VM can confirm them. They share a
fixed number of store objects, called slots. A new plan overwrites a slot whose plan has
expired, so the number of plans stays bounded without a cleanup task.
"""

import logging
import random
import secrets
import time
from collections.abc import Callable, Iterator
from copy import deepcopy
from typing import Any, NamedTuple

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from citronwood.config.check import find_violations, find_warnings
from citronwood.config.draft import Draft, Finding
from citronwood.config.intent import apply_intent, schema_findings
from citronwood.config.model import Configuration
from citronwood.config.store import (
    CONFIG_KIND,
    CONFIG_NAME,
    PLAN_KIND,
    from_versioned,
    read_configuration,
    to_document,
)
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformError,
    VersionConflictError,
)
from citronwood.platform.api import PlatformClient, VersionedObject

log = logging.getLogger(__name__)

PLAN_LIFETIME_S = 900.0
PLAN_SLOTS = 128
MAX_SLOT_ATTEMPTS = 16
# A slot is reused only after its plan has expired by the clocks of all VMs, which may
# differ by this much.
MAX_CLOCK_SKEW_S = 60.0
# Older plans are forgotten: repeating the confirm of one is then rejected.
MAX_APPLIED_PLANS = 100


class Change(NamedTuple):
    """Old and new value at a path of the document; None means that there is none."""

    place: str
    old: Any
    new: Any


class Plan(BaseModel):
    """Stored plan; ``document`` is the configuration that a confirm puts in force.

    Times are wall-clock times.
    """

    model_config = ConfigDict(frozen=True)

    id: str
    base_version: int
    intent: str
    changes: tuple[Change, ...]
    warnings: tuple[str, ...]
    created_at: float
    expires_at: float
    document: dict[str, Any]


class Proposal(NamedTuple):
    """New plan and the secrets of its new keys, which are not stored."""

    plan: Plan
    secrets: dict[str, str]


class AppliedPlan(NamedTuple):
    """Version of a configuration that contains a confirmed plan.

    ``repeated`` is True if the plan had already been applied.
    """

    version: int
    repeated: bool


class Rejection(NamedTuple):
    """Why a plan was not applied: ``unknown``, ``expired``, ``moved`` or ``behind``.

    The reason ``moved`` means that the configuration has changed since the plan's base
    version. The field ``moved`` lists these changes, ``plans`` the ids of the plans
    that made them. ``behind`` means that a plan to change members must wait until all
    live VMs have its base version.
    """

    reason: str
    message: str
    moved: tuple[Change, ...] = ()
    plans: tuple[str, ...] = ()


def _no_vms_behind(version: int) -> list[str]:
    return []


class Planner:
    """Creates and confirms plans.

    Parameters
    ----------
    platform : PlatformClient
    terms : callable
        Returns the known current terms by database group.
    clock : callable
        Returns the wall-clock time in seconds.
    on_applied : callable, optional
        Called with each configuration that this VM writes, so that this VM and its
        peers need not wait for a slow store.
    behind : callable, optional
        Returns the live VMs whose configuration is older than a version.
    """

    def __init__(
        self,
        platform: PlatformClient,
        terms: Callable[[], dict[str, int]] = dict,
        clock: Callable[[], float] = time.time,
        on_applied: Callable[[Configuration], None] | None = None,
        behind: Callable[[int], list[str]] = _no_vms_behind,
    ) -> None:
        self._platform = platform
        self._terms = terms
        self._clock = clock
        self._on_applied = on_applied
        self._behind = behind

    async def propose(
        self, intent: Any, deadline: float
    ) -> Result[Proposal, list[Finding]]:
        """Create and store the plan of an intent, or return all findings."""
        base = await read_configuration(self._platform, deadline)
        draft = Draft(to_document(base), self._terms())
        apply_intent(intent, draft)
        result = _validate_draft(draft, base)
        if isinstance(result, Err):
            return result
        changes = tuple(diff_documents(to_document(base), to_document(result.ok_value)))
        if not changes:
            return Err([Finding("", "the intent changes nothing")])
        old_warnings = set(find_warnings(base))
        new_warnings = [
            text for text in find_warnings(result.ok_value) if text not in old_warnings
        ]
        now = self._clock()
        plan = Plan(
            id="",
            base_version=base.version,
            intent=_describe_intent(intent),
            changes=changes,
            warnings=(*draft.warnings, *new_warnings),
            created_at=now,
            expires_at=now + PLAN_LIFETIME_S,
            document=to_document(result.ok_value),
        )
        return Ok(Proposal(await self._store(plan, deadline), draft.secrets))

    async def load(self, plan_id: str, deadline: float) -> Plan | None:
        """Return a plan, None if it is unknown or its slot was reused."""
        slot = plan_id.split("-")[0]
        try:
            slot_object = await self._platform.get(PLAN_KIND, slot, deadline)
        except ObjectNotFoundError:
            return None
        plan = _parse_plan(slot_object.value)
        return plan if plan is not None and plan.id == plan_id else None

    async def confirm(
        self, plan_id: str, deadline: float
    ) -> Result[AppliedPlan, Rejection]:
        """Apply a plan if its base version is still in force.

        Raises ``PlatformUnavailableError`` if it is unknown whether the plan was
        applied. Confirming a plan twice is safe.
        """
        current = await read_configuration(self._platform, deadline)
        if plan_id in current.applied_plans:
            return Ok(AppliedPlan(current.version, repeated=True))
        plan = await self.load(plan_id, deadline)
        rejection = self._find_rejection(plan_id, plan, current)
        if rejection is not None:
            return Err(rejection)
        assert plan is not None
        try:
            version = await self._apply(plan, deadline)
        except VersionConflictError:
            return await self._resolve_conflict(plan, deadline)
        log.info("plan %s applied as version %d", plan_id, version)
        return Ok(AppliedPlan(version, repeated=False))

    async def _apply(self, plan: Plan, deadline: float) -> int:
        applied = [*plan.document["applied_plans"], plan.id][-MAX_APPLIED_PLANS:]
        document = {**plan.document, "applied_plans": applied}
        version = await self._platform.put(
            CONFIG_KIND, CONFIG_NAME, document, plan.base_version, deadline
        )
        if self._on_applied is not None:
            self._on_applied(from_versioned(VersionedObject(document, version)))
        return version

    async def _resolve_conflict(
        self, plan: Plan, deadline: float
    ) -> Result[AppliedPlan, Rejection]:
        current = await read_configuration(self._platform, deadline)
        if plan.id in current.applied_plans:
            # A concurrent confirm of the same plan was faster.
            return Ok(AppliedPlan(current.version, repeated=True))
        return Err(_conflict_rejection(plan, current))

    def _find_rejection(
        self, plan_id: str, plan: Plan | None, current: Configuration
    ) -> Rejection | None:
        if plan is None:
            return Rejection(
                "unknown", f"there is no plan {plan_id}; it may have expired long ago"
            )
        if current.version != plan.base_version:
            return _conflict_rejection(plan, current)
        if self._clock() >= plan.expires_at:
            return Rejection("expired", "the plan has expired; make a new one")
        # Majorities are certain to overlap only if the sets of members differ by one
        # change, so no VM may be two membership changes behind.
        behind = self._behind(plan.base_version) if _changes_members(plan) else []
        if behind:
            return Rejection(
                "behind",
                f"members may only change when version {plan.base_version} is in force"
                f" everywhere; behind are {', '.join(behind)}; repeat the confirm",
            )
        return None

    async def _store(self, plan: Plan, deadline: float) -> Plan:
        """Store a plan under a new id in a free slot."""
        # Only the id must be unpredictable, not the slot.
        for number in random.sample(range(PLAN_SLOTS), MAX_SLOT_ATTEMPTS):
            slot = f"p{number}"
            version = await self._version_if_free(slot, deadline)
            if version is None:
                continue
            stored = plan.model_copy(update={"id": f"{slot}-{secrets.token_hex(8)}"})
            try:
                await self._platform.put(
                    PLAN_KIND, slot, stored.model_dump(mode="json"), version, deadline
                )
            except VersionConflictError:
                continue
            return stored
        raise PlatformError("too many plans are waiting for a confirm; try again later")

    async def _version_if_free(self, slot: str, deadline: float) -> int | None:
        """Return the object version of a free slot, None if the slot is in use."""
        try:
            slot_object = await self._platform.get(PLAN_KIND, slot, deadline)
        except ObjectNotFoundError:
            return 0
        plan = _parse_plan(slot_object.value)
        if plan is None or plan.expires_at + MAX_CLOCK_SKEW_S < self._clock():
            return slot_object.version
        return None


def diff_documents(old: Any, new: Any, place: str = "") -> Iterator[Change]:
    """Yield the values, except ``applied_plans``, that differ between documents."""
    if not (isinstance(old, dict) and isinstance(new, dict)):
        if old != new:
            yield Change(place, old, new)
        return
    for key in sorted(old.keys() | new.keys()):
        if place == "" and key == "applied_plans":
            continue
        key_place = f"{place}.{key}" if place else key
        yield from diff_documents(old.get(key), new.get(key), key_place)


def _changes_members(plan: Plan) -> bool:
    for change in plan.changes:
        match change.place.split("."):
            case ["groups", _, "members", _] | ["groups", _, "members", _, "host"]:
                return True
            case ["groups", _, "members", _, "port"]:
                return True
    return False


def _conflict_rejection(plan: Plan, current: Configuration) -> Rejection:
    base_plans = set(plan.document["applied_plans"])
    plans = tuple(
        other_id for other_id in current.applied_plans if other_id not in base_plans
    )
    return Rejection(
        "moved",
        f"the configuration is at version {current.version}, the plan was made for"
        f" {plan.base_version}; make a new one",
        tuple(diff_documents(_base_document(plan), to_document(current))),
        plans,
    )


def _base_document(plan: Plan) -> dict[str, Any]:
    """Return the document at the plan's base version, by reverting its changes."""
    base = deepcopy(plan.document)
    for change in plan.changes:
        *parents, last_key = change.place.split(".")
        section = base
        for parent in parents:
            section = section[parent]
        if change.old is None:
            section.pop(last_key, None)
        else:
            section[last_key] = change.old
    return base


def _validate_draft(
    draft: Draft, base: Configuration
) -> Result[Configuration, list[Finding]]:
    findings = list(draft.findings)
    try:
        new = Configuration.model_validate({**draft.document, "version": base.version})
    except ValidationError as error:
        return Err(findings + schema_findings(error))
    findings += find_violations(base, new)
    return Err(findings) if findings else Ok(new)


def _parse_plan(value: Any) -> Plan | None:
    try:
        return Plan.model_validate(value)
    except ValidationError:
        log.warning("ignoring a malformed stored plan")
        return None


def _describe_intent(intent: Any) -> str:
    if intent.get("kind") == "batch":
        return "; ".join(_describe_intent(part) for part in intent["intents"])
    fields = " ".join(f"{k}={v}" for k, v in intent.items() if k != "kind")
    return f"{intent['kind']} {fields}"
