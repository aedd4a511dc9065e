"""Messages between VMs.

Deadlines are sent as the remaining time in milliseconds, because clocks of different
VMs are never compared; the receiver converts it into a local deadline on receipt.
"""

from typing import NamedTuple

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20


class Envelope(NamedTuple):
    """Header and encoded body of a message.

    ``kind`` is the name of the message class. ``incarnation`` distinguishes the process
    of the sender from earlier ones of the same name. ``call_id`` is 0 for a
    notification; an answer has the call id of its call. ``time_left_ms`` is the time
    until the deadline of a call, 0 for notifications and answers.
    """

    version: int
    kind: str
    sender: str
    incarnation: int
    sender_url: str
    call_id: int
    is_reply: bool
    time_left_ms: int
    body: bytes


class CallRefused(NamedTuple):
    """Answer to a call that was not processed (``not_run``) or that failed."""

    not_run: bool
    reason: str


class Reconnect(NamedTuple):
    """Ask a peer to replace its connection to the sender, on which nothing arrives."""


class Ping(NamedTuple):
    """Ask a peer for a sign of life; it answers with ``Pong``."""


class Pong(NamedTuple):
    """Sign of life."""


class ExecuteStatement(NamedTuple):
    """Ask a gateway to run a statement.

    ``kind`` is a value of ``citronwood.backend.api.StatementKind``. ``floor`` is the
    log position (term, lsn) that a member must have applied to serve the statement, and
    ``max_age_ms`` limits the age of its data. ``key`` is (key id, version of the
    configuration in which the key was valid). ``request_id`` identifies the statement
    in the logs.
    """

    session_id: str
    account: str
    route: str
    group: str
    sql: str
    kind: str
    floor: tuple[int, int] | None
    max_age_ms: int | None
    idempotency_key: str | None
    in_transaction: bool
    key: tuple[str, int] | None = None
    request_id: str = ""


class StatementReply(NamedTuple):
    """Answer to ``ExecuteStatement``, with the first rows or an error.

    ``error`` is (code, message, outcome, transaction_lost). A column has the fields of
    ``citronwood.backend.api.Column``. If ``more`` is set, the receiver fetches the
    remaining rows with ``MoreRows``.
    """

    error: tuple[int, str, str, bool] | None
    columns: tuple[tuple[str, int, bool, int, int, int], ...]
    has_rows: bool
    rows: list[tuple[bytes | None, ...]]
    more: bool
    result_id: int
    affected_rows: int
    last_insert_id: int
    position: tuple[int, int] | None
    in_transaction: bool
    served_by: str
    replica: bool
    changed_rows: int | None


class MoreRows(NamedTuple):
    """Ask a gateway for the next rows of a result, or to discard the rest."""

    result_id: int
    drop: bool


class RowChunk(NamedTuple):
    """Answer to ``MoreRows``; ``error`` is as in ``StatementReply``."""

    rows: list[tuple[bytes | None, ...]]
    more: bool
    error: tuple[int, str, str, bool] | None


class EndSession(NamedTuple):
    """Tell a gateway that a session has ended."""

    session_id: str


class SessionEnded(NamedTuple):
    """Answer to ``EndSession``."""


class VmState(NamedTuple):
    """Entry of the membership table: what the sender knows of one VM."""

    name: str
    incarnation: int
    counter: int
    url: str
    failure_domain: str
    status: str
    config_version: int


class Heartbeat(NamedTuple):
    """Membership table and age of the configuration of the sender.

    ``table`` has the entries that the receiver may not know yet, or whose status is not
    ``live``. All others are in ``counters``, which maps configuration versions to
    process ids and the low 16 bits of their heartbeat counters. ``wanted`` requests the
    entries of processes that the sender does not know. ``vouch_age_ms`` is the time
    since the platform's store last confirmed ``config_version`` as the newest, None if
    it never did. ``answer_wanted`` asks the receiver, whose heartbeats have been
    missing for some time, for its own entry. ``watch`` asks the receiver to monitor the
    heartbeats of the sender. ``suspects`` maps process ids of VMs that stopped sending
    heartbeats to the low bits of their last known counters.
    """

    table: list[VmState]
    counters: dict[int, dict[int, int]]
    config_version: int
    vouch_age_ms: int | None
    answer_wanted: bool = False
    wanted: tuple[int, ...] = ()
    watch: bool = False
    suspects: dict[int, int] = {}


class FetchConfiguration(NamedTuple):
    """Ask a peer for its configuration if it is newer than ``after_version``."""

    after_version: int


class ConfigurationCopy(NamedTuple):
    """Answer to ``FetchConfiguration``; ``document`` is JSON, empty if not newer."""

    version: int
    document: bytes


class LendShares(NamedTuple):
    """Delegate the share slot of a VM to a ledger and request tokens.

    ``ledger_epoch`` and ``stamp_us`` echo the last answer of the ledger (0 at first).
    ``slot`` is None for a VM without a share slot, which can still request tokens.
    ``sequence`` increases with every message of this VM. ``levels`` are the tokens that
    the VM transfers with its share of each account, 0 if the share is already
    delegated. A share is 1/``divisor`` of the limits of its account. The ledger ignores
    the slot if it knows a higher ``slot_epoch``, that is, a later claim of the slot.
    ``wanted`` are tokens for waiting requests, ``ahead`` for expected ones.
    ``settled`` maps grants that are used up to the unused tokens that are returned.
    """

    ledger_epoch: int
    stamp_us: int
    sequence: int
    slot: int | None
    slot_epoch: int
    divisor: int
    levels: dict[str, float]
    wanted: dict[str, int]
    ahead: dict[str, int]
    settled: dict[int, int]


class SettleGrants(NamedTuple):
    """Report used-up grants to a ledger at once; same as ``LendShares.settled``.

    The message may be lost; the next ``LendShares`` repeats its content.
    """

    ledger_epoch: int
    settled: dict[int, int]


class TokenGrants(NamedTuple):
    """Answer to ``LendShares``.

    ``granted`` maps accounts to (grant id, tokens, lifetime in milliseconds); the
    lifetime starts when the VM sent its request. ``retry_ms`` is the time until more
    tokens are expected, for accounts that received fewer tokens than requested.
    """

    ledger_epoch: int
    stamp_us: int
    granted: dict[str, list[tuple[int, int, int]]]
    retry_ms: dict[str, int]


class GatewayStatus(NamedTuple):
    """Request the receiver's status report; ``account`` limits its records."""

    account: str | None


class StatusReport(NamedTuple):
    """Answer to ``GatewayStatus``; ``document`` is JSON."""

    document: bytes
