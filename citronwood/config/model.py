"""The configuration that operators define and all VMs enforce."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

# Account of all callers without a key. Its rate limits them on routes open to all.
ANONYMOUS = "anonymous"

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class Account(_Model):
    """Client account: rate in requests per second, burst in requests.

    ``weight`` is its share of the connections to a database group while accounts wait
    for them. ``keys`` maps key ids to the hexadecimal double SHA-1 digest of their
    secret.
    """

    rate: Annotated[float, Field(gt=0, le=1e6)]
    burst: Annotated[int, Field(ge=1, le=1_000_000)]
    weight: Annotated[int, Field(ge=1, le=100)] = 1
    keys: dict[Name, Annotated[str, Field(pattern=r"^[0-9a-f]{40}$")]] = {}


class Member(_Model):
    """Backend server that is a member of a database group."""

    host: str
    port: Annotated[int, Field(ge=1, le=65535)]
    failure_domain: str
    leaving: bool = False


class PrimaryChange(_Model):
    """Requested change of primary, valid only while the group is at this term.

    Every change of primary raises the term, so a request is executed at most once and
    never reverts a later failover.
    """

    member: Name
    term: Annotated[int, Field(ge=0)]


class Group(_Model):
    """Database group.

    ``slots`` is the maximum number of members. Each slot has an equal part of
    ``max_connections``.
    """

    database: str
    members: dict[Name, Member]
    max_connections: Annotated[int, Field(ge=5, le=100_000)] = 75
    slots: Annotated[int, Field(ge=1, le=15)] = 5
    primary_change: PrimaryChange | None = None


class Route(_Model):
    """Database name that callers use.

    ``accounts`` restricts the route to these client accounts (None: all),
    ``open_to_all`` admits callers without a key, ``max_read_age_ms`` is the maximum
    staleness of reads (None: read-your-writes).
    """

    group: Name
    accounts: tuple[Name, ...] | None = None
    open_to_all: bool = False
    max_read_age_ms: Annotated[int, Field(ge=1, le=86_400_000)] | None = None


class Configuration(_Model):
    """One version of the whole configuration.

    ``share_slots`` is the expected number of VMs, among which the rate of each account
    is divided. ``applied_plans`` holds the ids of the most recently applied plans,
    newest last, to recognize a repeated confirm.
    """

    version: int = 0
    share_slots: Annotated[int, Field(ge=1, le=10_000)] = 18
    accounts: dict[Name, Account] = {}
    groups: dict[Name, Group] = {}
    routes: dict[Name, Route] = {}
    applied_plans: tuple[str, ...] = ()
