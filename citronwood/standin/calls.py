"""Procedures of the group (``CALL ...``) and ``SHOW GROUP STATUS``."""

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

ER_WRONG_ARGUMENTS = 1210
ER_SP_DOES_NOT_EXIST = 1305
ER_LOG_DIVERGED = 3101
# Limits the total size of the entries in one response of ``group_fetch``. A larger
# first entry is sent alone.
MAX_FETCH_BYTES = 4 << 20

_CALL = re.compile(r"\s*CALL\s+(\w+)\s*\((.*)\)\s*;?\s*$", re.I | re.S)
_ARGUMENT = re.compile(r"\s*(?:'([^']*)'|\"([^\"]*)\"|(-?\d+))\s*(?:,|$)")
_TEXT_FIELDS = {"member", "role"}

IsDisconnected = Callable[[], bool]
ResultSet = tuple[list[Column], list[tuple[object, ...]]]


class FetchArguments(NamedTuple):
    """Arguments of ``group_fetch``."""

    term: int
    after_term: int
    after_lsn: int
    limit: int
    timeout_ms: int


def integer_column(name: str) -> Column:
    """Return an integer column."""
    return Column(name, ColumnType.LONGLONG, False)


def text_column(name: str) -> Column:
    """Return a text column."""
    return Column(name, ColumnType.VAR_STRING, False)


STATUS_COLUMNS = [
    text_column(name) if name in _TEXT_FIELDS else integer_column(name)
    for name in Status._fields
]


def status_result_set(member: Member) -> ResultSet:
    """Return the result of ``SHOW GROUP STATUS``."""
    return STATUS_COLUMNS, [tuple(member.status())]


async def run_call(
    member: Member, sql: str, is_disconnected: IsDisconnected
) -> ResultSet:
    """Run a ``CALL`` statement; waits end early when the client disconnects."""
    match = _CALL.match(sql)
    if match is None:
        raise MysqlError("CALL needs a procedure and its arguments", 1064)
    name, arguments = match.group(1).lower(), _parse_arguments(match.group(2))
    procedure = _PROCEDURES.get(name)
    if procedure is None:
        raise MysqlError(f"PROCEDURE {name} does not exist", ER_SP_DOES_NOT_EXIST)
    argument_count, function = procedure
    if len(arguments) != argument_count:
        raise MysqlError(f"{name} takes {argument_count} arguments", ER_WRONG_ARGUMENTS)
    return await function(member, arguments, is_disconnected)


def _parse_arguments(source: str) -> list[str]:
    parsed, position = [], 0
    source = source.strip()
    while position < len(source):
        match = _ARGUMENT.match(source, position)
        if match is None:
            raise MysqlError(
                f"Arguments must be literals, found {source[position:][:40]}", 1064
            )
        parsed.append(next(part for part in match.groups() if part is not None))
        position = match.end()
    return parsed


def _parse_integers(arguments: list[str]) -> list[int]:
    try:
        return [int(argument) for argument in arguments]
    except ValueError as error:
        raise MysqlError(f"Not an integer: {error}", ER_WRONG_ARGUMENTS) from error


async def _wait(
    member: Member, arguments: list[str], is_disconnected: IsDisconnected
) -> ResultSet:
    """Return the status once it differs from the given term and LSNs, or on timeout."""
    term, received, applied, timeout_ms = _parse_integers(arguments)
    deadline = monotonic() + timeout_ms / 1000
    store = member.store
    while (store.term, store.received.lsn, store.applied.lsn) == (
        term,
        received,
        applied,
    ):
        if not await member.poll_status_change(deadline - monotonic(), is_disconnected):
            break
    return status_result_set(member)


async def _fence(
    member: Member, arguments: list[str], is_disconnected: IsDisconnected
) -> ResultSet:
    member.fence(_parse_integers(arguments)[0])
    return status_result_set(member)


async def _promote(
    member: Member, arguments: list[str], is_disconnected: IsDisconnected
) -> ResultSet:
    member.promote(_parse_integers(arguments)[0])
    return status_result_set(member)


async def _follow(
    member: Member, arguments: list[str], is_disconnected: IsDisconnected
) -> ResultSet:
    member.follow(_parse_integers(arguments[:1])[0], arguments[1])
    return status_result_set(member)


async def _fetch(
    member: Member, arguments: list[str], is_disconnected: IsDisconnected
) -> ResultSet:
    """Return a header row (term and LSN of the log's end, wait in us), then entries.

    Waits for an entry after the given one, for the given timeout at most.
    """
    fetch = FetchArguments(*_parse_integers(arguments))
    started, store = monotonic(), member.store
    deadline = started + fetch.timeout_ms / 1000
    _check_fetch(member, fetch)
    while store.received.lsn <= fetch.after_lsn:
        if not await member.poll_status_change(deadline - monotonic(), is_disconnected):
            break
        _check_fetch(member, fetch)
    entries = _limit_bytes(store.entries_after(fetch.after_lsn, fetch.limit))
    waited_us = int((monotonic() - started) * 1e6)
    header = (store.received.term, store.received.lsn, str(waited_us).encode())
    columns = [
        integer_column("term"),
        integer_column("lsn"),
        Column("body", ColumnType.BLOB, True),
    ]
    return columns, [header, *entries]


def _check_fetch(member: Member, fetch: FetchArguments) -> None:
    store = member.store
    if store.role is not Role.PRIMARY or store.term != fetch.term:
        raise MysqlError(
            f"This member is {store.role.value} in term {store.term}, not primary in"
            f" term {fetch.term}",
            ErrorCode.STALE_TERM,
        )
    if store.term_at(fetch.after_lsn) != fetch.after_term:
        raise MysqlError("The replica's log diverges from this one", ER_LOG_DIVERGED)


def _limit_bytes(entries: list[Entry]) -> list[Entry]:
    total = 0
    for index, entry in enumerate(entries):
        total += len(entry.body)
        if total > MAX_FETCH_BYTES and index:
            return entries[:index]
    return entries


async def _terms(
    member: Member, arguments: list[str], is_disconnected: IsDisconnected
) -> ResultSet:
    """Return the range of LSNs of each term, for a replica whose log diverges."""
    if member.store.role is not Role.PRIMARY or member.store.term != int(arguments[0]):
        raise MysqlError("Not the primary of this term", ErrorCode.STALE_TERM)
    columns = [
        integer_column("term"),
        integer_column("first_lsn"),
        integer_column("last_lsn"),
    ]
    return columns, [tuple(run) for run in member.store.term_runs()]


async def _set_option(
    member: Member, arguments: list[str], is_disconnected: IsDisconnected
) -> ResultSet:
    name, value = arguments[0], _parse_integers(arguments[1:])[0]
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
        raise MysqlError(f"Unknown setting '{name}'", ER_WRONG_ARGUMENTS)
    return status_result_set(member)


_PROCEDURES: dict[
    str, tuple[int, Callable[[Member, list[str], IsDisconnected], Awaitable[ResultSet]]]
] = {
    "group_wait": (4, _wait),
    "group_fence": (1, _fence),
    "group_promote": (1, _promote),
    "group_follow": (2, _follow),
    "group_fetch": (5, _fetch),
    "group_terms": (1, _terms),
    "standin_set": (2, _set_option),
}
