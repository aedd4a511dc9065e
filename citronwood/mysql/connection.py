"""One client connection: login, commands and results.

The protocol library's own connection class loses affected rows, insert ids and status
flags, continues after a failed login and lets the exception of an abrupt disconnect
escape. ``ServerConnection`` corrects these faults.
"""

import asyncio
import logging
import struct
from collections.abc import Callable
from io import BytesIO
from ssl import SSLContext
from time import monotonic
from typing import Any

from mysql_mimic.charset import CharacterSet
from mysql_mimic.errors import MysqlError
from mysql_mimic.packets import (
    make_column_definition_41,
    make_handshake_v10,
)
from mysql_mimic.stream import ConnectionClosed, MysqlStream

from citronwood.errors import ErrorCode
from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.handler import Handler
from citronwood.mysql.ingress import ClientProtocol
from citronwood.mysql.packets import (
    MAX_PACKET_BYTES,
    LimitedReader,
    OversizedError,
    parse_change_user,
    parse_login,
    peer_address,
)
from citronwood.mysql.parameters import PreparedStatement, bind, read_attributes
from citronwood.mysql.responses import RespondingConnection
from citronwood.mysql.results import (
    binary_row,
    text_row,
)
from citronwood.mysql.tls import start_tls

log = logging.getLogger(__name__)

SERVER_VERSION = "8.0.40-citronwood"
LOGIN_TIMEOUT_S = 10.0
# A client that is disconnected has this long to read the error for its next command
# before the connection is closed. A TLS connection, which cannot be half-closed, is
# closed at once.
DISCONNECT_LINGER_S = 2.0
MAX_PREPARED_STATEMENTS = 1024
TRANSACTION_CHECK_INTERVAL_S = 1.0

_SHUTDOWN_MESSAGE = "This VM is shutting down; connect again"


class ServerConnection(RespondingConnection):
    """One client connection whose statements go to a ``Handler``."""

    def __init__(
        self,
        stream: MysqlStream,
        handler: Handler,
        connection_id: int,
        ssl: SSLContext | None,
        client: ClientProtocol | None = None,
    ) -> None:
        super().__init__(stream, handler, ssl)
        self._client = client
        self.connection_id = connection_id
        self._reader: Any = stream.reader
        self._idle = False
        self._logged_in = False
        self._draining = False
        self._transactions_ended = False
        self._disconnecting = False
        self._transaction_timer: asyncio.TimerHandle | None = None
        self._release_task: asyncio.Task[None] | None = None
        if self._keyed_handler is not None:
            self._keyed_handler.connected(connection_id, peer_address(self._writer))

    async def _start(self) -> None:
        """Serve the client until it disconnects."""
        try:
            async with asyncio.timeout(LOGIN_TIMEOUT_S):
                await self.connection_phase()
        except MysqlError as error:
            await self.stream.write(self.error(msg=error.msg, code=error.code))
            return
        if isinstance(self._reader, LimitedReader):
            self._reader.limit = MAX_PACKET_BYTES
        self._logged_in = True
        if self._client is not None:
            self._client.set_started()
        try:
            await self.command_phase()
        finally:
            await self._handler.close()

    def drain(self) -> None:
        """Disconnect the client once it runs no statement and has no transaction."""
        self._draining = True
        if self._idle and self._may_disconnect():
            self._disconnect()

    def end_transactions(self) -> None:
        """Disconnect the client once it runs no statement; called after ``drain``.

        The disconnect rolls back an open transaction.
        """
        self._transactions_ended = True
        if not self._logged_in:
            self._writer.close()
        elif self._idle:
            self._disconnect()

    def _may_disconnect(self) -> bool:
        if not self._draining:
            return False
        return self._transactions_ended or not self._handler.in_transaction

    def _disconnect(self) -> None:
        """Send the error for the client's next command in advance, then half-close.

        If the client sends a command at this moment, the error says that the command
        did not run; after a plain close, the client would not know the outcome.
        """
        if self._disconnecting:
            return
        self._disconnecting = True
        packet = self.error(msg=_SHUTDOWN_MESSAGE, code=ErrorCode.SERVER_SHUTDOWN)
        self._writer.write(struct.pack("<I", len(packet) | 1 << 24) + packet)
        if self._writer.can_write_eof():
            self._writer.write_eof()
            loop = asyncio.get_running_loop()
            loop.call_later(DISCONNECT_LINGER_S, self._writer.close)
        else:
            self._writer.close()

    async def connection_phase(self) -> None:
        """Send the handshake and check the client's key."""
        self._refresh_status()
        plugin = self.identity_provider.get_default_plugin()
        nonce, state = await plugin.start()
        self.handshake_auth_data, self.handshake_auth_plugin = nonce, plugin.name
        greeting = make_handshake_v10(
            capabilities=self.server_capabilities,
            server_charset=self.server_charset,
            server_version=SERVER_VERSION,
            connection_id=self.connection_id & 0xFFFFFFFF,
            auth_data=nonce,
            status_flags=self.status_flags,
            auth_plugin_name=plugin.name,
        )
        await self.stream.write(greeting)
        response = parse_login(self.server_capabilities, await self.stream.read())
        if response.username is None:
            if self.ssl is None:
                raise MysqlError("TLS is not available", MysqlCode.BAD_HANDSHAKE)
            await start_tls(self._reader.reader, self._writer, self.ssl)
            response = parse_login(self.server_capabilities, await self.stream.read())
            if response.username is None:
                raise MysqlError("Malformed login", MysqlCode.BAD_HANDSHAKE)
        self._set_capabilities(response.capabilities)
        await self._authenticate(
            response.username,
            response.database,
            auth_state=state,
            server_plugin=plugin,
            client_plugin_name=response.plugin,
            auth_response=response.auth_response,
        )

    async def _authenticate(
        self, username: str, database: str | None, **arguments: Any
    ) -> None:
        """Log the user in, or raise an exception that ends the connection."""
        self.session.username = None
        self.session.database = database
        self._refresh_status()
        await self.authenticate(username=username, connect_attrs={}, **arguments)
        self.stream.reset_seq()
        if self.session.username is None:
            # The error has been sent; no commands may follow.
            raise ConnectionClosed
        await self._handler.open(username, database)

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        """Run the library's login and delay the error for a wrong key."""
        stream = self.stream
        try:
            self.stream = _LoginStream(stream)
            await super().authenticate(username, *args, **kwargs)
            final_packet = self.stream.final_packet
        finally:
            self.stream = stream
        if self.session.username is None and self._keyed_handler is not None:
            await self._keyed_handler.login_failed(username)
        await stream.write(final_packet)

    async def command_phase(self) -> None:
        """Serve commands until the client disconnects."""
        while not self._disconnecting:
            if self._may_disconnect():
                self._disconnect()
                break
            if self._keyed_handler is not None and self._keyed_handler.closing:
                return
            data = await self._next_command()
            if data is None:
                return
            if data and not self._disconnecting:
                await self._handle_command(data)
        await self._await_close()

    async def _next_command(self) -> bytes | None:
        """Return the next command, empty if it was too long, None at the end.

        The end is COM_QUIT, a disconnect or an invalid packet.
        """
        self._idle = True
        if self._client is not None and not self._handler.in_transaction:
            self._client.set_idle()
        self._schedule_transaction_check(monotonic())
        try:
            data: bytes = await self.stream.read()
        except ConnectionClosed:
            return None
        except OversizedError as error:
            self._idle = False
            if not self._disconnecting:
                self.stream.seq.value = error.next_sequence
                await self._send_error(error)
            return b""
        except MysqlError as error:
            # Nothing more can be read, because the packet boundary is lost.
            await self._send_error(error)
            return None
        finally:
            self._idle = False
            if self._client is not None:
                self._client.set_busy()
            if self._transaction_timer is not None:
                self._transaction_timer.cancel()
                self._transaction_timer = None
        # 0x01 is COM_QUIT.
        return None if not data or data[0] == 0x01 else data

    def _schedule_transaction_check(self, idle_since: float) -> None:
        """Check an open transaction periodically while its client is idle."""
        if self._keyed_handler is not None and self._keyed_handler.in_transaction:
            loop = asyncio.get_running_loop()
            self._transaction_timer = loop.call_later(
                TRANSACTION_CHECK_INTERVAL_S, self._check_transaction, idle_since
            )

    def _check_transaction(self, idle_since: float) -> None:
        assert self._keyed_handler is not None
        if self._keyed_handler.expire_transaction(monotonic() - idle_since):
            # The reference keeps the task from being garbage-collected.
            self._release_task = asyncio.create_task(
                self._keyed_handler.release_transaction()
            )
            if self._client is not None and self._idle:
                self._client.set_idle()
        self._schedule_transaction_check(idle_since)

    async def _handle_command(self, data: bytes) -> None:
        try:
            await _find_command(data[0])(self, data[1:])
        except MysqlError as error:
            await self._send_error(error)
        except (ConnectionClosed, ConnectionError, TimeoutError):
            raise
        except (struct.error, ValueError, IndexError) as error:
            log.info("entry: malformed command from client: %r", error)
            await self._send_error(
                MysqlError("Malformed command", MysqlCode.MALFORMED_PACKET)
            )
        finally:
            self.stream.reset_seq()

    def error(self, **fields: Any) -> bytes:
        """Return an error packet.

        Messages may quote input of the client that is not valid UTF-8; its invalid
        bytes are replaced.
        """
        valid_text = str(fields.pop("msg", "")).encode(errors="replace").decode()
        packet: bytes = super().error(msg=valid_text, **fields)
        return packet

    async def _send_error(self, error: MysqlError) -> None:
        await self._send(self.error(msg=error.msg, code=error.code))
        self.stream.reset_seq()

    async def _await_close(self) -> None:
        """Discard input until the client closes.

        Closing with unread input would reset the connection, and the client might lose
        the last error.
        """
        while isinstance(self._reader, LimitedReader):
            if not await self._reader.reader.read(1 << 16):
                return

    async def handle_init_db(self, data: bytes) -> None:
        """Answer COM_INIT_DB."""
        await self._handler.use(_decode(data))
        await self._send(self.ok())

    async def handle_ping(self, data: bytes) -> None:
        """Answer COM_PING."""
        self._refresh_status()
        await self._send(self.ok())

    async def handle_query(self, data: bytes) -> None:
        """Answer COM_QUERY."""
        attributes: dict[str, str] = {}
        if self._has_attributes:
            # The usual case is no attributes, in one parameter set.
            if data.startswith(b"\x00\x01"):
                data = data[2:]
            else:
                reader = BytesIO(data)
                attributes = read_attributes(reader)
                data = reader.read()
        result = await self._handler.run(_decode(data), attributes)
        await self._write_result(result, text_row)

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Answer COM_STMT_PREPARE."""
        if len(self.prepared_stmts) >= MAX_PREPARED_STATEMENTS:
            raise MysqlError(
                f"At most {MAX_PREPARED_STATEMENTS} prepared statements can be open",
                MysqlCode.TOO_MANY_STATEMENTS,
            )
        statement = PreparedStatement(_decode(data))
        count = statement.parameter_count
        statement_id = next(self.prepared_stmt_seq) + 1
        self.prepared_stmts[statement_id] = statement
        packets = [struct.pack("<BIHHBH", 0, statement_id, 0, count, 0, 0)]
        if count:
            packets += [_PLACEHOLDER_DEFINITION] * count
            if not self._deprecates_eof:
                packets.append(self.eof())
        self.stream.write_many(packets)
        await self._flush()

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Process COM_STMT_SEND_LONG_DATA, which has no response."""
        if len(data) < 6:
            return
        statement_id, index = struct.unpack("<IH", data[:6])
        statement = self.prepared_stmts.get(statement_id)
        if statement is not None:
            statement.append_long_data(index, data[6:], MAX_PACKET_BYTES)

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Answer COM_STMT_EXECUTE."""
        statement = self._find_prepared(data)
        try:
            sql, attributes = bind(
                statement, data[4:], self._has_attributes, MAX_PACKET_BYTES
            )
        finally:
            statement.clear_long_data()
        result = await self._handler.run(sql, attributes)
        await self._write_result(result, binary_row)

    async def handle_stmt_close(self, data: bytes) -> None:
        """Process COM_STMT_CLOSE, which has no response."""
        if len(data) >= 4:
            self.prepared_stmts.pop(struct.unpack("<I", data[:4])[0], None)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Answer COM_STMT_RESET, which discards the long data of one statement."""
        self._find_prepared(data).clear_long_data()
        await self._send(self.ok())

    async def handle_reset_connection(self, data: bytes) -> None:
        """Answer COM_RESET_CONNECTION."""
        await self._handler.reset()
        self.prepared_stmts.clear()
        self._refresh_status()
        await self._send(self.ok())

    async def handle_change_user(self, data: bytes) -> None:
        """Answer COM_CHANGE_USER; the key is checked with a new nonce."""
        change = parse_change_user(data)
        await self._handler.reset()
        self.prepared_stmts.clear()
        async with asyncio.timeout(LOGIN_TIMEOUT_S):
            try:
                await self._authenticate(
                    change.username,
                    change.database,
                    auth_response=b"",
                    client_plugin_name=None,
                )
            except MysqlError as error:
                await self._send_error(error)
                raise ConnectionClosed from error

    def _find_prepared(self, data: bytes) -> PreparedStatement:
        statement = self.prepared_stmts.get(struct.unpack("<I", data[:4])[0])
        if statement is None:
            raise MysqlError("Unknown prepared statement", MysqlCode.UNKNOWN_STATEMENT)
        assert isinstance(statement, PreparedStatement)
        return statement


class _LoginStream:
    """Stream that holds back the OK or error packet at the end of a login."""

    def __init__(self, stream: MysqlStream) -> None:
        self._stream = stream
        self.final_packet = b""

    async def read(self) -> bytes:
        data: bytes = await self._stream.read()
        return data

    async def write(self, data: bytes) -> None:
        if data[:1] in (b"\x00", b"\xff"):
            self.final_packet = data
        else:
            await self._stream.write(data)


def _find_command(code: int) -> Callable[[ServerConnection, bytes], Any]:
    handler = _COMMANDS.get(code)
    if handler is None:
        raise MysqlError(
            f"Command {code:#04x} is not supported; use queries or prepared statements",
            ErrorCode.UNKNOWN_COMMAND,
        )
    return handler


def _decode(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError:
        # Drivers embed binary values in the text; the session converts them to
        # hexadecimal literals.
        return data.decode(errors="surrogateescape")


_PLACEHOLDER_DEFINITION = make_column_definition_41(
    server_charset=CharacterSet.utf8mb4, name="?"
)
_COMMANDS: dict[int, Callable[[ServerConnection, bytes], Any]] = {
    0x02: ServerConnection.handle_init_db,
    0x03: ServerConnection.handle_query,
    0x0E: ServerConnection.handle_ping,
    0x11: ServerConnection.handle_change_user,
    0x16: ServerConnection.handle_stmt_prepare,
    0x17: ServerConnection.handle_stmt_execute,
    0x18: ServerConnection.handle_stmt_send_long_data,
    0x19: ServerConnection.handle_stmt_close,
    0x1A: ServerConnection.handle_stmt_reset,
    0x1F: ServerConnection.handle_reset_connection,
}
