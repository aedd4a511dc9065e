"""Intents on routes, the database names that callers use."""

from typing import Annotated, Literal

from pydantic import Field

from citronwood.config.draft import Draft, Intent
from citronwood.config.model import Name

ReadAgeMs = Annotated[int, Field(ge=1, le=86_400_000)]


class CreateRoute(Intent):
    """Create a route."""

    kind: Literal["create_route"]
    name: Name
    group: Name
    accounts: tuple[Name, ...] | None = None
    open_to_all: bool = False
    max_read_age_ms: ReadAgeMs | None = None
    existing = {"group": "groups"}
    new = {"name": "routes"}

    def apply(self, draft: Draft) -> None:
        """Add the route."""
        fields = self.model_dump(mode="json", exclude={"kind", "name"})
        draft.section("routes")[self.name] = fields


class ChangeRoute(Intent):
    """Change the given fields of a route; other fields stay unchanged."""

    kind: Literal["change_route"]
    route: Name
    group: Name | None = None
    accounts: tuple[Name, ...] | None = None
    open_to_all: bool = False
    max_read_age_ms: ReadAgeMs | None = None
    existing = {"route": "routes"}

    def apply(self, draft: Draft) -> None:
        """Change the route."""
        draft.section("routes")[self.route].update(self.changed_fields())


class RemoveRoute(Intent):
    """Remove a route."""

    kind: Literal["remove_route"]
    route: Name
    existing = {"route": "routes"}

    def apply(self, draft: Draft) -> None:
        """Remove the route."""
        del draft.section("routes")[self.route]
