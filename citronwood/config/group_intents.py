"""Intents on database groups and their members."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from citronwood.config.draft import Document, Draft, Intent
from citronwood.config.model import Name

Port = Annotated[int, Field(ge=1, le=65535)]
MaxConnections = Annotated[int, Field(ge=5, le=100_000)]
SlotCount = Annotated[int, Field(ge=1, le=15)]


class MemberAddress(BaseModel):
    """Backend server of a new group."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str
    port: Port
    failure_domain: str


class CreateGroup(Intent):
    """Create a database group."""

    kind: Literal["create_group"]
    name: Name
    database: str
    members: dict[Name, MemberAddress]
    max_connections: MaxConnections = 75
    slots: SlotCount = 5
    new = {"name": "groups"}

    def apply(self, draft: Draft) -> None:
        """Add the group."""
        draft.section("groups")[self.name] = self.model_dump(exclude={"kind", "name"})


class ChangeGroup(Intent):
    """Change the given fields of a database group.

    The defaults only make the fields optional: a field that is not given stays
    unchanged.
    """

    kind: Literal["change_group"]
    group: Name
    database: str = ""
    max_connections: MaxConnections = 75
    slots: SlotCount = 5
    existing = {"group": "groups"}

    def apply(self, draft: Draft) -> None:
        """Change the group."""
        draft.section("groups")[self.group].update(self.changed_fields())


class RemoveGroup(Intent):
    """Remove a database group that no route uses."""

    kind: Literal["remove_group"]
    group: Name
    existing = {"group": "groups"}

    def apply(self, draft: Draft) -> None:
        """Remove the group."""
        del draft.section("groups")[self.group]


class _MemberIntent(Intent):
    existing = {"group": "groups"}

    def _members(self, draft: Draft) -> Document:
        group = getattr(self, "group")  # noqa: B009 - declared by the subclasses
        members: Document = draft.section("groups")[group]["members"]
        return members


class AddMember(_MemberIntent):
    """Add a backend server to a group."""

    kind: Literal["add_member"]
    group: Name
    member: Name
    host: str
    port: Port
    failure_domain: str

    def apply(self, draft: Draft) -> None:
        """Add the member."""
        members = self._members(draft)
        if self.member in members:
            draft.add_finding("member", f"group {self.group} already has {self.member}")
        fields = self.model_dump(exclude={"kind", "group", "member"})
        members[self.member] = fields


class ChangeMember(_MemberIntent):
    """Change the given fields of a member; other fields stay unchanged.

    A ``leaving`` member gets no new statements.
    """

    kind: Literal["change_member"]
    group: Name
    member: Name
    host: str = ""
    port: Port = 1
    failure_domain: str = ""
    leaving: bool = False

    def apply(self, draft: Draft) -> None:
        """Change the member."""
        member = self._members(draft).get(self.member)
        if member is None:
            draft.add_finding(
                "member", f"group {self.group} has no member {self.member}"
            )
            return
        fields = self.changed_fields()
        fields.pop("member")
        member.update(fields)


class RemoveMember(_MemberIntent):
    """Remove a backend server from a group."""

    kind: Literal["remove_member"]
    group: Name
    member: Name

    def apply(self, draft: Draft) -> None:
        """Remove the member."""
        member = self._members(draft).pop(self.member, None)
        group = draft.section("groups")[self.group]
        if (group.get("primary_change") or {}).get("member") == self.member:
            group["primary_change"] = None
        if member is None:
            draft.add_finding(
                "member", f"group {self.group} has no member {self.member}"
            )
        elif not member.get("leaving"):
            draft.warnings.append(
                f"member {self.member} was not marked as leaving; its statements"
                " in flight are interrupted"
            )


class ChangePrimary(Intent):
    """Make another member of a group its primary."""

    kind: Literal["change_primary"]
    group: Name
    member: Name
    existing = {"group": "groups"}

    def apply(self, draft: Draft) -> None:
        """Request the change, valid only in the group's current term."""
        group = draft.section("groups")[self.group]
        member = group["members"].get(self.member)
        if member is None:
            draft.add_finding(
                "member", f"group {self.group} has no member {self.member}"
            )
        elif member.get("leaving"):
            draft.add_finding("member", f"member {self.member} is leaving")
        term = draft.terms.get(self.group)
        if term is None:
            draft.add_finding(
                "group", f"the current term of group {self.group} is unknown"
            )
            return
        group["primary_change"] = {"member": self.member, "term": term}
