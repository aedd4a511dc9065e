"""Plans: an intent against one version of the configuration, to be confirmed.

A plan is kept in the platform's store, so that any VM can confirm it. Plans share a
fixed number of store objects (slots): a new plan takes a slot whose plan has expired,
so that old plans need no separate removal and their number stays bounded.
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
from citronwood.config.intent import apply_intent, shape_findings
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
from citronwood.platform.api import PlatformClient, Versioned

log = logging.getLogger(__name__)

PLAN_LIFETIME_S = 900.0
PLAN_SLOTS = 128
SLOT_ATTEMPTS = 16
# Clocks of VMs may differ; a slot is reused only when its plan has expired on all.
CLOCK_TOLERANCE_S = 60.0
MAX_APPLIED_PLANS = 100


class Change(NamedTuple):
    """One changed place; None stands for a missing value."""

    place: str
    old: Any
    new: Any


class Plan(BaseModel):
    """What a confirm applies; times are wall-clock times."""

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
    """New plan with the secrets it grants, which are not stored."""

    plan: Plan
    secrets: dict[str, str]


class Applied(NamedTuple):
    """A confirmed plan is part of the configuration at this version.

    ``repeated`` is set when the plan had been applied before.
    """

    version: int
    repeated: bool


class Rejection(NamedTuple):
    """A plan was not applied: ``unknown``, ``expired``, ``moved`` or ``behind``.

    ``moved`` lists the changes since the base of the plan, ``plans`` the plans that
    made them.
    """

    reason: str
    message: str
    moved: tuple[Change, ...] = ()
    plans: tuple[str, ...] = ()


def _all_follow(version: int) -> list[str]:
    return []


class Planner:
    """Makes and confirms plans.

    Parameters
    ----------
    platform : PlatformClient
    terms : callable
        Returns the current terms of the database groups, as far as they are known.
    clock : callable
        Wall-clock time.
    on_applied : callable, optional
        Gets every configuration that a plan put in force, so that this VM and its
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
        behind: Callable[[int], list[str]] = _all_follow,
    ) -> None:
        self._platform = platform
        self._terms = terms
        self._clock = clock
        self._on_applied = on_applied
        self._behind = behind

    async def propose(
        self, intent: Any, deadline: float
    ) -> Result[Proposal, list[Finding]]:
        """Store and return the plan of an intent, or all findings."""
        base = await read_configuration(self._platform, deadline)
        draft = Draft(to_document(base), self._terms())
        apply_intent(intent, draft)
        result = _validated(draft, base)
        if isinstance(result, Err):
            return result
        changes = tuple(find_changes(to_document(base), to_document(result.ok_value)))
        if not changes:
            return Err([Finding("", "the intent changes nothing")])
        old_warnings = set(find_warnings(base))
        new_warnings = [
            w for w in find_warnings(result.ok_value) if w not in old_warnings
        ]
        now = self._clock()
        plan = Plan(
            id="",
            base_version=base.version,
            intent=_describe(intent),
            changes=changes,
            warnings=(*draft.warnings, *new_warnings),
            created_at=now,
            expires_at=now + PLAN_LIFETIME_S,
            document=to_document(result.ok_value),
        )
        return Ok(Proposal(await self._store(plan, deadline), draft.secrets))

    async def load(self, plan_id: str, deadline: float) -> Plan | None:
        """Return a plan, None if it is unknown or was removed."""
        slot = plan_id.split("-")[0]
        try:
            found = await self._platform.get(PLAN_KIND, slot, deadline)
        except ObjectNotFoundError:
            return None
        plan = _parse_plan(found.value)
        return plan if plan is not None and plan.id == plan_id else None

    async def confirm(
        self, plan_id: str, deadline: float
    ) -> Result[Applied, Rejection]:
        """Apply a plan if nothing has changed since it was made.

        Raises ``PlatformUnavailableError`` when it is unknown whether the plan was
        applied; a repeat is safe.
        """
        current = await read_configuration(self._platform, deadline)
        if plan_id in current.applied_plans:
            return Ok(Applied(current.version, repeated=True))
        plan = await self.load(plan_id, deadline)
        rejection = self._reject(plan_id, plan, current)
        if rejection is not None:
            return Err(rejection)
        assert plan is not None
        try:
            version = await self._apply(plan, deadline)
        except VersionConflictError:
            return await self._explain_conflict(plan, deadline)
        log.info("plan %s applied as version %d", plan_id, version)
        return Ok(Applied(version, repeated=False))

    async def _apply(self, plan: Plan, deadline: float) -> int:
        applied = [*plan.document["applied_plans"], plan.id][-MAX_APPLIED_PLANS:]
        document = {**plan.document, "applied_plans": applied}
        version = await self._platform.put(
            CONFIG_KIND, CONFIG_NAME, document, plan.base_version, deadline
        )
        if self._on_applied is not None:
            self._on_applied(from_versioned(Versioned(document, version)))
        return version

    async def _explain_conflict(
        self, plan: Plan, deadline: float
    ) -> Result[Applied, Rejection]:
        current = await read_configuration(self._platform, deadline)
        if plan.id in current.applied_plans:
            # Another confirm of the same plan was faster.
            return Ok(Applied(current.version, repeated=True))
        return Err(_moved(plan, current))

    def _reject(
        self, plan_id: str, plan: Plan | None, current: Configuration
    ) -> Rejection | None:
        if plan is None:
            return Rejection(
                "unknown", f"there is no plan {plan_id}; it may have expired long ago"
            )
        if current.version != plan.base_version:
            return _moved(plan, current)
        if self._clock() >= plan.expires_at:
            return Rejection("expired", "the plan has expired; make a new one")
        # Majorities are sure to share a member only between neighbouring sets of
        # members, so that no VM may be two changes of members behind.
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
        # The choice of slots needs no secure random numbers; the id has them.
        for number in random.sample(range(PLAN_SLOTS), SLOT_ATTEMPTS):
            slot = f"p{number}"
            version = await self._free_version(slot, deadline)
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

    async def _free_version(self, slot: str, deadline: float) -> int | None:
        """Return the version at which a slot may be taken, None if it is in use."""
        try:
            found = await self._platform.get(PLAN_KIND, slot, deadline)
        except ObjectNotFoundError:
            return 0
        plan = _parse_plan(found.value)
        if plan is None or plan.expires_at + CLOCK_TOLERANCE_S < self._clock():
            return found.version
        return None


def find_changes(old: Any, new: Any, place: str = "") -> Iterator[Change]:
    """Yield the places at which two documents differ."""
    if not (isinstance(old, dict) and isinstance(new, dict)):
        if old != new:
            yield Change(place, old, new)
        return
    for key in sorted(old.keys() | new.keys()):
        if place == "" and key == "applied_plans":
            continue
        inner = f"{place}.{key}" if place else key
        yield from find_changes(old.get(key), new.get(key), inner)


def _changes_members(plan: Plan) -> bool:
    for change in plan.changes:
        match change.place.split("."):
            case ["groups", _, "members", _] | ["groups", _, "members", _, "host"]:
                return True
            case ["groups", _, "members", _, "port"]:
                return True
    return False


def _moved(plan: Plan, current: Configuration) -> Rejection:
    base_plans = set(plan.document["applied_plans"])
    plans = tuple(p for p in current.applied_plans if p not in base_plans)
    return Rejection(
        "moved",
        f"the configuration is at version {current.version}, the plan was made for"
        f" {plan.base_version}; make a new one",
        tuple(find_changes(_base_document(plan), to_document(current))),
        plans,
    )


def _base_document(plan: Plan) -> dict[str, Any]:
    """Return the document that the plan was made for, by undoing its changes."""
    base = deepcopy(plan.document)
    for change in plan.changes:
        *parents, last = change.place.split(".")
        section = base
        for parent in parents:
            section = section[parent]
        if change.old is None:
            section.pop(last, None)
        else:
            section[last] = change.old
    return base


def _validated(
    draft: Draft, base: Configuration
) -> Result[Configuration, list[Finding]]:
    findings = list(draft.findings)
    try:
        new = Configuration.model_validate({**draft.document, "version": base.version})
    except ValidationError as error:
        return Err(findings + shape_findings(error))
    findings += find_violations(base, new)
    return Err(findings) if findings else Ok(new)


def _parse_plan(value: Any) -> Plan | None:
    try:
        return Plan.model_validate(value)
    except ValidationError:
        log.warning("a stored plan is malformed and is ignored")
        return None


def _describe(intent: Any) -> str:
    if intent.get("kind") == "batch":
        return "; ".join(_describe(part) for part in intent["intents"])
    fields = " ".join(f"{k}={v}" for k, v in intent.items() if k != "kind")
    return f"{intent['kind']} {fields}"
