"""Document that intents change, and what comes up on the way."""

from typing import Any, ClassVar, NamedTuple

from pydantic import BaseModel, ConfigDict

Document = dict[str, Any]


class Finding(NamedTuple):
    """One reason why an intent is invalid, with its place."""

    place: str
    message: str


class Draft:
    """Document that an intent changes, with what comes up on the way.

    ``terms`` are the current terms of the database groups, as far as they are known.
    """

    def __init__(self, document: Document, terms: dict[str, int]) -> None:
        self.document = document
        self.terms = terms
        self.findings: list[Finding] = []
        self.warnings: list[str] = []
        self.secrets: dict[str, str] = {}

    def section(self, name: str) -> Document:
        """Return the accounts, groups or routes."""
        section: Document = self.document[name]
        return section

    def find(self, place: str, message: str) -> None:
        """Add a finding."""
        self.findings.append(Finding(place, message))


class Intent(BaseModel):
    """Base of all intents.

    ``existing`` maps fields to the section that must contain their value, ``new`` to
    the section that must not.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)
    existing: ClassVar[dict[str, str]] = {}
    new: ClassVar[dict[str, str]] = {}

    def apply(self, draft: Draft) -> None:
        """Change the document; the names in ``existing`` and ``new`` are checked."""
        raise NotImplementedError

    def changed_fields(self) -> Document:
        """Return the fields that the operator has given, without the names."""
        names = {"kind", *self.existing}
        given = self.model_dump(mode="json", exclude_unset=True)
        return {k: v for k, v in given.items() if k not in names}
