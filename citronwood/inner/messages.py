"""Messages between VMs.

Times on the wire are milliseconds left, because clocks of different VMs are never
compared; the receiver turns them into a deadline at once.
"""

from typing import NamedTuple

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20


class Envelope(NamedTuple):
    """Frame around every message.

    ``incarnation`` tells the sender's process from earlier ones of the same name.
    ``call_id`` is zero for messages without an answer; an answer repeats the call id
    of its request.
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
    """Answer to a call that was not processed, or that failed on the way."""

    not_run: bool
    reason: str


class Reconnect(NamedTuple):
    """Ask a peer to replace its connection to the sender, which hears nothing."""


class ExecuteStatement(NamedTuple):
    """Ask a gateway to run a statement.

    ``key`` is (key id, version of the configuration in which the key was valid).
    ``request_id`` names the statement in the logs.
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

    ``error`` is (code, message, outcome, transaction_lost), a column has the fields of
    ``citronwood.backend.api.Column``. When ``more`` is set the
    receiver fetches the other rows with ``MoreRows``.
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
    """Ask a gateway for the next rows of a result, or to drop the rest."""

    result_id: int
    drop: bool


class RowChunk(NamedTuple):
    """Answer to ``MoreRows``."""

    rows: list[tuple[bytes | None, ...]]
    more: bool
    error: tuple[int, str, str, bool] | None


class EndSession(NamedTuple):
    """Tell a gateway that a session has ended."""

    session_id: str


class SessionEnded(NamedTuple):
    """Answer to ``EndSession``."""


class VmState(NamedTuple):
    """What a VM knows of one VM of the fleet."""

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
    ``live``. The others travel in ``counters``, which maps configuration versions to
    process ids and the low 16 bits of their counters. ``wanted`` asks for the entries
    of processes that the sender does not know.
    ``vouch_age_ms`` is the time since the platform's store last confirmed
    ``config_version`` as the newest, None when that never happened.
    ``answer_wanted`` asks a VM that was not heard for a while for its own entry.
    ``watch`` asks the receiver to watch the sender. ``suspects`` maps process ids to
    the low bits of the last known counters of VMs that were found silent.
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
    """Delegate the share slot of a VM to a ledger and ask for tokens.

    ``ledger_epoch`` and ``stamp_us`` echo the ledger's last answer (0 at first);
    ``slot`` is None for a VM without a share slot, which still may ask for tokens.
    ``sequence`` rises with every message of this VM. ``levels`` are the tokens that
    the VM hands over with its share of each account, 0 where the share was delegated
    before. ``wanted`` are tokens for waiting requests, ``ahead`` for expected ones.
    ``settled`` names grants that are used up, with the tokens that are given back.
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
    """Tell a ledger at once which grants are used up, as ``LendShares.settled`` does.

    It may be lost; the next ``LendShares`` repeats it.
    """

    ledger_epoch: int
    settled: dict[int, int]


class TokenGrants(NamedTuple):
    """Answer to ``LendShares``.

    ``granted`` maps accounts to (grant id, tokens, time left in milliseconds); the time
    left counts from the moment at which the VM sent its request. ``retry_ms``
    is the time until more tokens are expected, for accounts that received less than
    they wanted.
    """

    ledger_epoch: int
    stamp_us: int
    granted: dict[str, list[tuple[int, int, int]]]
    retry_ms: dict[str, int]


class GatewayStatus(NamedTuple):
    """Ask a VM for its part of the status report."""

    account: str | None


class StatusReport(NamedTuple):
    """Answer to ``GatewayStatus``; ``document`` is JSON."""

    document: bytes
