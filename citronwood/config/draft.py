"""Draft of a configuration, and the base class of the intents that change it."""

from typing import Any, ClassVar, NamedTuple

from pydantic import BaseModel, ConfigDict

Document = dict[str, Any]


class Finding(NamedTuple):
    """Reason why an intent is invalid; ``place`` is the dotted path to the value."""

    place: str
    message: str


class Draft:
    """Configuration document that intents change, with their findings and warnings.

    ``terms`` are the known current terms by database group. ``secrets`` are the secrets
    of new keys, by ``account/key_id``.
    """

    def __init__(self, document: Document, terms: dict[str, int]) -> None:
        self.document = document
        self.terms = terms
        self.findings: list[Finding] = []
        self.warnings: list[str] = []
        self.secrets: dict[str, str] = {}

    def section(self, name: str) -> Document:
        """Return the ``accounts``, ``groups`` or ``routes`` of the document."""
        section: Document = self.document[name]
        return section

    def add_finding(self, place: str, message: str) -> None:
        """Add a reason why the intent is invalid."""
        self.findings.append(Finding(place, message))


class Intent(BaseModel):
    """Base class of intents.

    ``existing`` maps each field that names an existing object to the section of the
    object, ``new`` each field that names an object to be created.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)
    existing: ClassVar[dict[str, str]] = {}
    new: ClassVar[dict[str, str]] = {}

    def apply(self, draft: Draft) -> None:
        """Change the document; ``existing`` and ``new`` have been checked before."""
        raise NotImplementedError

    def changed_fields(self) -> Document:
        """Return the fields that the request contains.

        Leaves out ``kind``, the fields in ``existing`` and all fields not given.
        """
        excluded = {"kind", *self.existing}
        fields = self.model_dump(mode="json", exclude_unset=True)
        return {k: v for k, v in fields.items() if k not in excluded}
