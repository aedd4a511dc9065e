"""Encoding of the fleet's state, for the store and for other VMs."""

from typing import Any, NotRequired, TypedDict

import msgspec

from citronwood.errors import MessageError
from citronwood.relay.holders import Holder
from citronwood.relay.model import Position
from citronwood.relay.view import FleetState, GroupState

# A position in a log: term and number.
_PositionRecord = tuple[int, int]


class _HolderRecord(TypedDict):
    started_at: int
    received: _PositionRecord


class _GroupRecord(TypedDict):
    primary: str
    term: int
    changing: bool
    change: int
    # Absent where replicas do not acknowledge commits.
    holders: NotRequired[dict[str, _HolderRecord]]
    began_at: NotRequired[_PositionRecord]
    newest_commit: NotRequired[_PositionRecord]
    uncertain: NotRequired[bool]


class _StateRecord(TypedDict):
    edition: int
    leader: str
    leader_url: str
    leader_process: int
    fence: int
    renewal: str
    secret: str
    groups: dict[str, _GroupRecord]
    absent: dict[str, int]
    restored: NotRequired[bool]


def encode_state(state: FleetState) -> bytes:
    """Encode a state to send it to other VMs."""
    return msgspec.json.encode(to_record(state))


def encode_group(group: GroupState) -> bytes:
    """Encode the state of a group to send it to another VM."""
    return msgspec.json.encode(_to_group_record(group))


def decode_group(data: bytes) -> GroupState:
    """Decode the state of a group sent by another VM; raises ``MessageError``."""
    try:
        return _from_group_record(msgspec.json.decode(data, type=_GroupRecord))
    except msgspec.DecodeError as error:
        raise MessageError("malformed", str(error)) from None


def decode_state(data: bytes) -> FleetState:
    """Decode a state sent by another VM; raises ``MessageError``."""
    try:
        return _from_record(msgspec.json.decode(data, type=_StateRecord))
    except msgspec.DecodeError as error:
        raise MessageError("malformed", str(error)) from None


def to_record(state: FleetState) -> dict[str, Any]:
    """Return a state as a value for the store."""
    groups = {name: _to_group_record(group) for name, group in state.groups.items()}
    return {**state._asdict(), "groups": groups}


def _to_group_record(group: GroupState) -> dict[str, Any]:
    record: dict[str, Any] = {
        "primary": group.primary,
        "term": group.term,
        "changing": group.changing,
        "change": group.change,
    }
    if group.holders:
        record["holders"] = {
            server: {"started_at": holder.started_at, "received": [*holder.received]}
            for server, holder in group.holders.items()
        }
    if group.began_at is not None:
        record["began_at"] = [*group.began_at]
    if group.newest_commit is not None:
        record["newest_commit"] = [*group.newest_commit]
    if group.uncertain:
        record["uncertain"] = True
    return record


def _from_group_record(record: _GroupRecord) -> GroupState:
    holders = {
        server: Holder(holder["started_at"], Position(*holder["received"]))
        for server, holder in record.get("holders", {}).items()
    }
    began_at, commit = record.get("began_at"), record.get("newest_commit")
    return GroupState(
        primary=record["primary"],
        term=record["term"],
        changing=record["changing"],
        change=record["change"],
        holders=holders,
        began_at=None if began_at is None else Position(*began_at),
        newest_commit=None if commit is None else Position(*commit),
        uncertain=record.get("uncertain", False),
    )


def from_value(value: dict[str, Any]) -> FleetState:
    """Return the state of a value of the store; raises ``MessageError``."""
    try:
        return _from_record(msgspec.convert(value, _StateRecord))
    except msgspec.ValidationError as error:
        raise MessageError("malformed", str(error)) from None


def _from_record(record: _StateRecord) -> FleetState:
    groups = {
        name: _from_group_record(group) for name, group in record["groups"].items()
    }
    return FleetState(
        edition=record["edition"],
        leader=record["leader"],
        leader_url=record["leader_url"],
        leader_process=record["leader_process"],
        fence=record["fence"],
        renewal=record["renewal"],
        secret=record["secret"],
        groups=groups,
        absent=record["absent"],
        restored=record.get("restored", False),
    )
