"""Procedures of the group interface (``CALL ...``) and ``SHOW GROUP STATUS``."""

import re
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import NamedTuple

from mysql_mimic.errors import MysqlError
from mysql_mimic.types import ColumnType

from citronwood.backend.api import Column
from citronwood.errors import ErrorCode
from citronwood.standin.group import Member, Status
from citronwood.standin.store import Entry, Role

WRONG_ARGUMENT = 1210
UNKNOWN_PROCEDURE = 1305
DIVERGENT = 3101
MAX_FETCH_BYTES = 4 << 20

_CALL = re.compile(r"\s*CALL\s+(\w+)\s*\((.*)\)\s*;?\s*$", re.I | re.S)
_ARGUMENT = re.compile(r"\s*(?:'([^']*)'|\"([^\"]*)\"|(-?\d+))\s*(?:,|$)")
_TEXT_FIELDS = {"member", "role"}

IsGone = Callable[[], bool]
Table = tuple[list[Column], list[tuple[object, ...]]]


class Fetch(NamedTuple):
    """Arguments of ``group_fetch``."""

    term: int
    after_term: int
    after_lsn: int
    limit: int
    timeout_ms: int


def integer(name: str) -> Column:
    """Return an integer column."""
    return Column(name, ColumnType.LONGLONG, False)


def text(name: str) -> Column:
    """Return a text column."""
    return Column(name, ColumnType.VAR_STRING, False)


STATUS_COLUMNS = [
    text(name) if name in _TEXT_FIELDS else integer(name) for name in Status._fields
]


def status_table(member: Member) -> Table:
    """Return the result of ``SHOW GROUP STATUS``."""
    return STATUS_COLUMNS, [tuple(member.status())]


async def run_call(member: Member, sql: str, is_gone: IsGone) -> Table:
    """Run a ``CALL`` statement; waits end early when the client has left."""
    match = _CALL.match(sql)
    if match is None:
        raise MysqlError("CALL needs a procedure and its arguments", 1064)
    name, arguments = match.group(1).lower(), _arguments(match.group(2))
    procedure = _PROCEDURES.get(name)
    if procedure is None:
        raise MysqlError(f"PROCEDURE {name} does not exist", UNKNOWN_PROCEDURE)
    count, function = procedure
    if len(arguments) != count:
        raise MysqlError(f"{name} takes {count} arguments", WRONG_ARGUMENT)
    return await function(member, arguments, is_gone)


def _arguments(source: str) -> list[str]:
    found, position = [], 0
    source = source.strip()
    while position < len(source):
        match = _ARGUMENT.match(source, position)
        if match is None:
            raise MysqlError(
                f"Arguments must be literals, found {source[position:][:40]}", 1064
            )
        found.append(next(part for part in match.groups() if part is not None))
        position = match.end()
    return found


def _integers(arguments: list[str]) -> list[int]:
    try:
        return [int(argument) for argument in arguments]
    except ValueError as error:
        raise MysqlError(f"Not an integer: {error}", WRONG_ARGUMENT) from error


async def _wait(member: Member, arguments: list[str], is_gone: IsGone) -> Table:
    term, received, applied, timeout_ms = _integers(arguments)
    deadline = monotonic() + timeout_ms / 1000
    store = member.store
    while (store.term, store.received.lsn, store.applied.lsn) == (
        term,
        received,
        applied,
    ):
        if not await member.wait_change_for(deadline - monotonic(), is_gone):
            break
    return status_table(member)


async def _fence(member: Member, arguments: list[str], is_gone: IsGone) -> Table:
    member.fence(_integers(arguments)[0])
    return status_table(member)


async def _promote(member: Member, arguments: list[str], is_gone: IsGone) -> Table:
    member.promote(_integers(arguments)[0])
    return status_table(member)


async def _follow(member: Member, arguments: list[str], is_gone: IsGone) -> Table:
    member.follow(_integers(arguments[:1])[0], arguments[1])
    return status_table(member)


async def _fetch(member: Member, arguments: list[str], is_gone: IsGone) -> Table:
    """Return a first row with the state of the primary, then log entries."""
    fetch = Fetch(*_integers(arguments))
    started, store = monotonic(), member.store
    deadline = started + fetch.timeout_ms / 1000
    _check_fetch(member, fetch)
    while store.received.lsn <= fetch.after_lsn:
        if not await member.wait_change_for(deadline - monotonic(), is_gone):
            break
        _check_fetch(member, fetch)
    entries = _limit_bytes(store.entries_after(fetch.after_lsn, fetch.limit))
    waited_us = int((monotonic() - started) * 1e6)
    head = (store.received.term, store.received.lsn, str(waited_us).encode())
    columns = [integer("term"), integer("lsn"), Column("body", ColumnType.BLOB, True)]
    return columns, [head, *entries]


def _check_fetch(member: Member, fetch: Fetch) -> None:
    store = member.store
    if store.role is not Role.PRIMARY or store.term != fetch.term:
        raise MysqlError(
            f"This member is {store.role.value} in term {store.term}, not primary in"
            f" term {fetch.term}",
            ErrorCode.STALE_TERM,
        )
    if store.term_at(fetch.after_lsn) != fetch.after_term:
        raise MysqlError("The replica's log diverges from this one", DIVERGENT)


def _limit_bytes(entries: list[Entry]) -> list[Entry]:
    total = 0
    for index, entry in enumerate(entries):
        total += len(entry.body)
        if total > MAX_FETCH_BYTES and index:
            return entries[:index]
    return entries


async def _terms(member: Member, arguments: list[str], is_gone: IsGone) -> Table:
    if member.store.role is not Role.PRIMARY or member.store.term != int(arguments[0]):
        raise MysqlError("Not the primary of this term", ErrorCode.STALE_TERM)
    columns = [integer("term"), integer("first_lsn"), integer("last_lsn")]
    return columns, [tuple(run) for run in member.store.term_runs()]


async def _set(member: Member, arguments: list[str], is_gone: IsGone) -> Table:
    name, value = arguments[0], _integers(arguments[1:])[0]
    if name == "stall_ms":
        member.stalled_until = monotonic() + value / 1000
    elif name == "leaving":
        member.leaving = bool(value)
        member.notify()
    elif name in ("apply_lag_ms", "answer_delay_ms", "connect_delay_ms"):
        setattr(member, name, value)
        member.notify()
    elif name == "max_connections":
        member.max_connections = value
    else:
        raise MysqlError(f"Unknown setting '{name}'", WRONG_ARGUMENT)
    return status_table(member)


_PROCEDURES: dict[
    str, tuple[int, Callable[[Member, list[str], IsGone], Awaitable[Table]]]
] = {
    "group_wait": (4, _wait),
    "group_fence": (1, _fence),
    "group_promote": (1, _promote),
    "group_follow": (2, _follow),
    "group_fetch": (5, _fetch),
    "group_terms": (1, _terms),
    "standin_set": (2, _set),
}
