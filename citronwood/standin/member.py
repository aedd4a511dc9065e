"""Stand-in for a backend server: MySQL protocol in front of SQLite."""

import asyncio
import logging
from pathlib import Path
from typing import Any

from mysql_mimic.stream import ConnectionClosed, MysqlStream

from citronwood.mysql.server import MysqlService
from citronwood.standin.connection import MemberConnection, PacketReader
from citronwood.standin.group import Member
from citronwood.standin.session import MemberSession

log = logging.getLogger(__name__)


class MemberService(MysqlService):
    """TCP service of a member; ``record_bytes`` names a file for received bytes."""

    def __init__(self, member: Member, record_bytes: str | None, **kwargs: Any) -> None:
        super().__init__(
            make_handler=self._new_session,
            address=member.options.host,
            port=member.options.port,
            **kwargs,
        )
        self._member = member
        self._recording = Path(record_bytes).open("ab") if record_bytes else None

    def _new_session(self, connection_id: int, host: str = "") -> MemberSession:
        return MemberSession(self._member, connection_id, host)

    async def handle_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one client until it disconnects or is killed."""
        self._last_connection_id += 1
        host, port = writer.get_extra_info("peername")[:2]
        session = self._new_session(self._last_connection_id, f"{host}:{port}")
        task = asyncio.current_task()
        assert task is not None

        def kill() -> None:
            writer.transport.abort()
            task.cancel()

        session.on_kill = kill
        # Not at_eof(), which is false while the buffer holds an unread COM_QUIT.
        session.is_disconnected = lambda: (
            getattr(reader, "_eof", False) or writer.transport.is_closing()
        )
        stream = MysqlStream(PacketReader(reader, self._recording), writer)
        connection = MemberConnection(self._member, stream, session)
        try:
            await connection._start()
        except (ConnectionError, ConnectionClosed, asyncio.IncompleteReadError):
            log.debug("standin: client %d disconnected", session.connection_id)
        except TimeoutError:
            log.info("standin: client did not finish its login in time")
        finally:
            await session.close()
            writer.close()
