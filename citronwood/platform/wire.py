"""The platform's text protocol between callers, the relay and backend servers.

Each message is one line: a message type and its fields, separated by spaces and
terminated by CR LF. The last field extends to the end of the line. Lines are decoded
as Latin-1, so that every byte value is preserved.
"""

import asyncio
import socket
import struct
from typing import Any, NamedTuple, Protocol

from citronwood.deadline import timeout_at
from citronwood.errors import (
    BackendUnavailableError,
    ConnectionLostError,
    MessageError,
    ServerFullError,
)
from citronwood.relay.model import Position
from citronwood.relay.statement import (
    Answer,
    Failure,
    Reason,
    ServerStatus,
    Statement,
    TransactionState,
    Verb,
)

MAX_MESSAGE_BYTES = 1 << 20
# An answer with more rows is malformed; its connection is closed.
MAX_ROWS = 10_000
# Request id of statements that the relay issues itself.
RELAY_REQUEST_ID = "-"
NO_POSITION = "-"
_ENCODING = "latin-1"
# The kernel closes a connection whose sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 3000

_REASON_BY_CODE = {
    "BUSY": Reason.OVERLOADED,
    "LAGGING": Reason.BEHIND,
    "READONLY": Reason.READ_ONLY,
    "MISROUTED": Reason.WRONG_SERVER,
    "TOOMANY": Reason.TOO_MANY_CONNECTIONS,
    "NOSTMT": Reason.UNKNOWN_STATEMENT,
    "FAILED": Reason.FAILED,
    "TIMEOUT": Reason.TIMED_OUT,
    "ABORTED": Reason.ABORTED,
    "UNKNOWN": Reason.OUTCOME_UNKNOWN,
    "NOAUTH": Reason.UNKNOWN_KEY,
    "NODB": Reason.UNKNOWN_DATABASE,
    "MALFORMED": Reason.MALFORMED,
    "TOOLARGE": Reason.TOO_LONG,
}
_CODE_BY_REASON = {reason: code for code, reason in _REASON_BY_CODE.items()}
_STATE_BY_LETTER = {
    "I": TransactionState.IDLE,
    "T": TransactionState.OPEN,
    "E": TransactionState.FAILED,
}
_LETTER_BY_STATE = {state: letter for letter, state in _STATE_BY_LETTER.items()}


class Start(NamedTuple):
    """First message of a caller; ``key`` is empty for anonymous callers."""

    database: str
    key: str


async def read_line(reader: asyncio.StreamReader) -> str | None:
    """Return the next line without CR LF; None at the end of the stream.

    Raises ``MessageError`` when the line is too long.
    """
    try:
        data = await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError:
        raise MessageError("oversized", "line") from None
    return data[:-2].decode(_ENCODING)


def parse_start(line: str) -> Start:
    """Parse a caller's first message or raise ``MessageError``."""
    _reject_control_characters(line)
    fields = line.split(" ")
    if len(fields) not in (2, 3) or fields[0] != "START" or not fields[1]:
        raise MessageError("malformed", "no START")
    return Start(fields[1], fields[2] if len(fields) == 3 else "")


def parse_query(line: str) -> Statement | None:
    """Parse a message after the first one; None for the end of the session.

    Raises ``MessageError`` with a reason and a detail.
    """
    if line == "BYE":
        return None
    message_type, _, rest = line.partition(" ")
    request_id, _, text = rest.partition(" ")
    if message_type != "QUERY" or not request_id or request_id == RELAY_REQUEST_ID:
        raise MessageError("malformed", "no QUERY")
    _reject_control_characters(line)
    verb, _, arguments = text.partition(" ")
    name, _, value = arguments.partition(" ")
    parse = _PARSERS.get(verb)
    statement = None if parse is None else parse(request_id, text, name, value)
    if statement is None:
        raise MessageError("malformed", f"statement {verb[:20]}")
    return statement


def _reject_control_characters(line: str) -> None:
    if "\r" in line or "\n" in line or "\0" in line:
        raise MessageError("malformed", "control character")


def _parse_begin(request_id: str, text: str, name: str, value: str) -> Statement | None:
    if text == "BEGIN":
        return Statement(request_id, Verb.BEGIN, text)
    if text == "BEGIN READ":
        return Statement(request_id, Verb.BEGIN_READ_ONLY, text)
    return None


def _parse_commit_or_rollback(
    request_id: str, text: str, name: str, value: str
) -> Statement | None:
    verbs = {"COMMIT": Verb.COMMIT, "ROLLBACK": Verb.ROLLBACK}
    verb = verbs.get(text)
    return None if verb is None else Statement(request_id, verb, text)


def _parse_read(request_id: str, text: str, name: str, value: str) -> Statement | None:
    return Statement(request_id, Verb.READ, text) if name else None


def _parse_write(request_id: str, text: str, name: str, value: str) -> Statement | None:
    return Statement(request_id, Verb.WRITE, text) if name else None


def _parse_set(request_id: str, text: str, name: str, value: str) -> Statement | None:
    return Statement(request_id, Verb.SET, text, name, value) if name else None


def _parse_prepare(
    request_id: str, text: str, name: str, value: str
) -> Statement | None:
    kind, _, shape = value.partition(" ")
    if not name or kind not in ("READ", "WRITE"):
        return None
    return Statement(request_id, Verb.PREPARE, text, name, shape, kind == "WRITE")


def _parse_execute(
    request_id: str, text: str, name: str, value: str
) -> Statement | None:
    return Statement(request_id, Verb.EXECUTE, text, name, value) if name else None


def _parse_deallocate(
    request_id: str, text: str, name: str, value: str
) -> Statement | None:
    return Statement(request_id, Verb.DEALLOCATE, text, name) if name else None


_PARSERS = {
    "BEGIN": _parse_begin,
    "COMMIT": _parse_commit_or_rollback,
    "ROLLBACK": _parse_commit_or_rollback,
    "READ": _parse_read,
    "WRITE": _parse_write,
    "SET": _parse_set,
    "PREPARE": _parse_prepare,
    "EXECUTE": _parse_execute,
    "DEALLOC": _parse_deallocate,
}


def encode_ready(state: TransactionState, position: Position | None) -> bytes:
    """Encode READY, after which the caller may send its next statement."""
    position_text = (
        NO_POSITION if position is None else f"{position.term}.{position.number}"
    )
    return f"READY {_LETTER_BY_STATE[state]} {position_text}\r\n".encode(_ENCODING)


def encode_failure(failure: Failure) -> bytes:
    """Encode a failure as an ERROR message."""
    message = failure.message.replace("\r", " ").replace("\n", " ")
    return f"ERROR {_CODE_BY_REASON[failure.reason]} {message}\r\n".encode(_ENCODING)


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer: its rows and result, or its failure, then READY."""
    if answer.failure is not None:
        body = encode_failure(answer.failure)
    else:
        rows = "".join(f"ROW {row}\r\n" for row in answer.rows)
        result = f"{rows}DONE {answer.signature or '-'}\r\n"
        body = result.encode(_ENCODING)
    return body + encode_ready(answer.state, answer.position)


def parse_position(text: str) -> Position | None:
    """Parse a log position; None for ``NO_POSITION``."""
    if text == NO_POSITION:
        return None
    term, _, number = text.partition(".")
    try:
        return Position(int(term), int(number))
    except ValueError:
        raise MessageError("malformed", f"position {text[:40]}") from None


class WireConnection:
    """Connection to a backend server; implements ``ServerConnection``."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._closed = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        return not (self._closed or self._reader.at_eof() or self._writer.is_closing())

    async def start(self, group: str, account: str, server: str) -> None:
        """Send START and await READY or raise ``BackendUnavailableError``."""
        self._writer.write(f"START {group} {account} {server}\r\n".encode(_ENCODING))
        line = await read_line(self._reader)
        if line is None:
            raise BackendUnavailableError(f"{server} closed the connection")
        if line.startswith("ERROR TOOMANY"):
            raise ServerFullError(f"{server} has no room for a connection")
        if not line.startswith("READY "):
            raise BackendUnavailableError(f"{server} answered {line[:80]}")

    async def run(
        self, request_id: str, text: str, deadline: float, after: Position | None = None
    ) -> Answer:
        """Run a statement given as text."""
        prefix = "" if after is None else f"AFTER {after.term}.{after.number} "
        line = f"QUERY {request_id} {prefix}{text}\r\n"
        if not self.is_open:
            self.abort()
            raise ConnectionLostError("the connection is closed", sent=False)
        try:
            async with timeout_at(deadline):
                self._writer.write(line.encode(_ENCODING))
                return await self._read_answer()
        except TimeoutError:
            failure = "no answer in time"
        except (OSError, MessageError) as error:
            failure = str(error)
        except BaseException:
            self.abort()
            raise
        self.abort()
        raise ConnectionLostError(failure, sent=True)

    async def execute(
        self,
        request_id: str,
        name: str,
        arguments: str,
        deadline: float,
        after: Position | None = None,
    ) -> Answer:
        """Run a prepared statement."""
        text = f"EXECUTE {name} {arguments}" if arguments else f"EXECUTE {name}"
        return await self.run(request_id, text, deadline, after)

    async def begin(
        self, read_only: bool, deadline: float, after: Position | None = None
    ) -> Answer:
        """Begin a transaction."""
        text = "BEGIN READ" if read_only else "BEGIN"
        return await self.run(RELAY_REQUEST_ID, text, deadline, after)

    async def rollback(self, deadline: float) -> Answer:
        """Roll the transaction back."""
        return await self.run(RELAY_REQUEST_ID, "ROLLBACK", deadline)

    async def set_variable(self, name: str, value: str, deadline: float) -> Answer:
        """Set a session variable."""
        return await self.run(RELAY_REQUEST_ID, f"SET {name} {value}", deadline)

    async def prepare(
        self, name: str, writes: bool, shape: str, deadline: float
    ) -> Answer:
        """Prepare a statement."""
        kind = "WRITE" if writes else "READ"
        return await self.run(
            RELAY_REQUEST_ID, f"PREPARE {name} {kind} {shape}", deadline
        )

    async def reset(self, deadline: float) -> Answer:
        """Clear session variables and prepared statements."""
        return await self.run(RELAY_REQUEST_ID, "RESET", deadline)

    async def status(self, deadline: float) -> ServerStatus | None:
        """Return the server's status; None if it reports none, as when it is busy."""
        return _parse_status(await self.run(RELAY_REQUEST_ID, "STATUS", deadline))

    async def step_down(self, term: int, deadline: float) -> ServerStatus | None:
        """Demote the server if it is the primary of a lower term; return its status."""
        return _parse_status(
            await self.run(RELAY_REQUEST_ID, f"STEPDOWN {term}", deadline)
        )

    def abort(self) -> None:
        """Close the connection at once and discard undelivered data."""
        if self._closed:
            return
        self._closed = True
        raw_socket = self._writer.get_extra_info("socket")
        if raw_socket is not None and raw_socket.fileno() >= 0:
            # Reset the connection: a statement that is still in the send buffer would
            # otherwise be delivered and run later.
            linger = struct.pack("ii", 1, 0)
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport = self._writer.transport
        transport.abort()

    async def _read_answer(self) -> Answer:
        rows: list[str] = []
        signature: str | None = None
        failure: Failure | None = None
        while True:
            line = await read_line(self._reader)
            if line is None:
                raise MessageError("closed", "the server closed the connection")
            message_type, _, rest = line.partition(" ")
            if message_type == "READY":
                if signature is None and failure is None:
                    raise MessageError("malformed", "READY without a result")
                letter, _, position = rest.partition(" ")
                state = _STATE_BY_LETTER.get(letter)
                if state is None:
                    raise MessageError("malformed", f"state {letter[:20]}")
                return Answer(
                    tuple(rows), signature, failure, state, parse_position(position)
                )
            if signature is not None or failure is not None:
                raise MessageError("malformed", f"{message_type[:20]} after the result")
            if message_type == "ROW" and len(rows) < MAX_ROWS:
                rows.append(rest)
            elif message_type == "DONE":
                signature = rest
            elif message_type == "ERROR":
                failure = _parse_failure(rest)
            else:
                raise MessageError("malformed", f"message {message_type[:20]}")


def _parse_failure(text: str) -> Failure:
    code, _, message = text.partition(" ")
    reason = _REASON_BY_CODE.get(code)
    if reason is None:
        # With an unknown code the statement may have run; ``FAILED`` does not exclude
        # that.
        return Failure(Reason.FAILED, text[:200])
    return Failure(reason, message)


def _parse_status(answer: Answer) -> ServerStatus | None:
    if answer.failure is not None or len(answer.rows) != 1:
        return None
    fields = answer.rows[0].split(" ")
    try:
        role, term, received, _, lag_ms, busy, connections = fields[:7]
        position = parse_position(received)
        if position is None:
            return None
        return ServerStatus(
            is_primary=role == "primary",
            term=int(term),
            received=position,
            lag_s=float(lag_ms) / 1000,
            busy_slots=int(busy),
            connections=int(connections),
        )
    except (ValueError, MessageError):
        return None


async def connect(
    host: str, port: int, group: str, account: str, server: str, deadline: float
) -> WireConnection:
    """Connect to a backend server or raise ``BackendUnavailableError``."""
    try:
        async with timeout_at(deadline):
            reader, writer = await asyncio.open_connection(
                host, port, limit=MAX_MESSAGE_BYTES
            )
            configure_socket(writer)
            connection = WireConnection(reader, writer)
            try:
                await connection.start(group, account, server)
            except BaseException:
                connection.abort()
                raise
    except (
        OSError,
        TimeoutError,
        MessageError,
        # An address or a name that cannot be used; ValueError includes UnicodeError.
        ValueError,
        OverflowError,
    ) as error:
        raise BackendUnavailableError(f"{server}: {type(error).__name__}") from None
    return connection


class _HasSocket(Protocol):
    def get_extra_info(self, name: str) -> Any: ...


def configure_socket(connection: _HasSocket) -> None:
    """Limit the time until the peer acknowledges data; disable Nagle's algorithm."""
    raw_socket = connection.get_extra_info("socket")
    if raw_socket is not None:
        raw_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
