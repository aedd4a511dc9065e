"""Intents: changes to the configuration that an operator can request."""

from collections.abc import Iterator
from typing import Annotated, Any, Literal

from pydantic import Field, TypeAdapter, ValidationError

from citronwood.config.account_intents import (
    ChangeAccount,
    CreateAccount,
    GrantKey,
    RemoveAccount,
    SetRate,
    WithdrawKey,
)
from citronwood.config.draft import Document, Draft, Finding, Intent
from citronwood.config.group_intents import (
    AddMember,
    ChangeGroup,
    ChangeMember,
    ChangePrimary,
    CreateGroup,
    RemoveGroup,
    RemoveMember,
)
from citronwood.config.route_intents import ChangeRoute, CreateRoute, RemoveRoute


class SetShareSlots(Intent):
    """Set the number of share slots, which is the expected number of VMs."""

    kind: Literal["set_share_slots"]
    count: Annotated[int, Field(ge=1, le=10_000)]

    def apply(self, draft: Draft) -> None:
        """Set the number, if there is no client account yet."""
        if draft.document["accounts"]:
            # Each VM holds shares of 1/N of an account's rate. If N changed while there
            # are accounts, the shares could add up to more than the rate.
            draft.add_finding(
                "count", "can only be set while there is no client account"
            )
            return
        draft.document["share_slots"] = self.count


SingleIntent = (
    CreateAccount
    | ChangeAccount
    | SetRate
    | RemoveAccount
    | GrantKey
    | WithdrawKey
    | CreateGroup
    | ChangeGroup
    | RemoveGroup
    | AddMember
    | ChangeMember
    | RemoveMember
    | CreateRoute
    | ChangeRoute
    | RemoveRoute
    | ChangePrimary
    | SetShareSlots
)

_INTENT_ADAPTER: TypeAdapter[SingleIntent] = TypeAdapter(
    Annotated[SingleIntent, Field(discriminator="kind")]
)
_INTENT_CLASSES: dict[str, type[Intent]] = {
    intent.model_fields["kind"].annotation.__args__[0]: intent  # type: ignore[union-attr]
    for intent in SingleIntent.__args__
}
INTENT_KINDS = tuple(_INTENT_CLASSES)


def apply_intent(raw: Any, draft: Draft) -> None:
    """Apply one intent, or several under ``{"kind": "batch", "intents": [...]}``."""
    if isinstance(raw, dict) and raw.get("kind") == "batch":
        _apply_batch(raw, draft)
    else:
        _apply_single(raw, draft, "")


def _apply_batch(raw: Document, draft: Draft) -> None:
    intents = raw.get("intents")
    if not isinstance(intents, list) or not intents:
        draft.add_finding("intents", "must be a list with at least one intent")
        return
    for extra in sorted(set(raw) - {"kind", "intents"}):
        draft.add_finding(extra, "is not a field of a batch")
    for index, intent in enumerate(intents):
        _apply_single(intent, draft, f"intents.{index}.")


def _apply_single(raw: Any, draft: Draft, prefix: str) -> None:
    first_index = len(draft.findings)
    intent: Intent | None = None
    try:
        intent = _INTENT_ADAPTER.validate_python(raw)
    except ValidationError as error:
        draft.findings.extend(
            schema_findings(error, skip=int(_intent_class(raw) is not None))
        )
    # References are checked even if the intent does not match its schema, so that all
    # findings are reported at once.
    draft.findings.extend(_reference_findings(raw, draft))
    if intent is not None and len(draft.findings) == first_index:
        intent.apply(draft)
    draft.findings[first_index:] = [
        Finding(prefix + finding.place, finding.message)
        for finding in draft.findings[first_index:]
    ]


def schema_findings(error: ValidationError, skip: int = 0) -> list[Finding]:
    """Return pydantic's errors as findings.

    ``skip`` drops leading parts of their locations, such as the kind of the intent.
    """
    return [
        Finding(".".join(map(str, detail["loc"][skip:])), detail["msg"])
        for detail in error.errors(include_url=False)
    ]


def _intent_class(raw: Any) -> type[Intent] | None:
    kind = raw.get("kind") if isinstance(raw, dict) else None
    return _INTENT_CLASSES.get(kind) if isinstance(kind, str) else None


def _reference_findings(raw: Any, draft: Draft) -> Iterator[Finding]:
    intent = _intent_class(raw)
    if intent is None:
        return
    for field, section in intent.existing.items():
        name = raw.get(field)
        if isinstance(name, str) and name not in draft.section(section):
            yield Finding(field, f"there is no {section[:-1]} {name}")
    for field, section in intent.new.items():
        name = raw.get(field)
        if isinstance(name, str) and name in draft.section(section):
            yield Finding(field, f"{section[:-1]} {name} already exists")
