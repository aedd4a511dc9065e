"""Listener for callers (database clients), and the server of readiness checks."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from time import monotonic

from aiohttp import web

from citronwood.deadline import deadline_in
from citronwood.decisions import current_request, log_request, log_state
from citronwood.errors import MessageError
from citronwood.ingress.acceptor import Acceptor, listen
from citronwood.ingress.budget import Limits, derive_limits
from citronwood.ingress.http import LimitedSite
from citronwood.ingress.stream import CallerStream, Ingress, StatementsCrowdedError
from citronwood.metrics import Metrics
from citronwood.platform.nodefile import Address
from citronwood.platform.wire import (
    MAX_MESSAGE_BYTES,
    configure_socket,
    encode_answer,
    encode_failure,
    encode_ready,
    parse_query,
    parse_start,
)
from citronwood.relay.node import RelayNode
from citronwood.relay.session import Session
from citronwood.relay.statement import (
    Answer,
    Failure,
    Reason,
    Statement,
    TransactionState,
    Verb,
)

log = logging.getLogger(__name__)

READY_PATH = "/api/readyz"
# Limits the wait for the first message; callers send it right after connecting.
START_TIMEOUT_S = 3.0
# A caller gives up when its first message is not answered within 2 s.
READY_TIMEOUT_S = 1.2
LISTEN_BACKLOG = 4096
# A stopping process keeps accepting connections until the platform has seen that it is
# not ready: two readiness checks one second apart, plus network latency.
READINESS_PROPAGATION_S = 2.6
# Open transactions are aborted when this share of the grace period has passed.
TRANSACTION_GRACE_SHARE = 0.5
# Time for the answers to the last statements to be written.
LAST_ANSWER_TIMEOUT_S = 0.2
# Part of the grace period that is left for leaving the fleet after the listener has
# stopped.
FLEET_LEAVE_RESERVE_S = 1.0
STOP_POLL_S = 0.05
CONNECTIONS_REFUSAL = encode_failure(
    Failure(Reason.OVERLOADED, "not run, too many connections; retry in 1000 ms")
)
# A session that was answered within this time is kept open at first, because its next
# statement may be on the way.
RECENT_ANSWER_S = 0.05


class _Stop:
    """How far the planned stop of this VM has come.

    Load pattern: callers send the next statement as soon as they have the answer to the
    last one, so that their sessions are hardly ever idle. While ``refuses_operations``
    is set, a statement that begins an operation is refused as not run, and its session
    is closed after that answer. The statements that run by then have the rest of the
    grace period to end. While ``ends_transactions`` is set, open transactions are
    aborted before their next statement.
    """

    def __init__(self) -> None:
        self.refuses_operations = False
        self.ends_transactions = False


class CallerListener:
    """Accepts connections of callers and serves their sessions."""

    def __init__(
        self,
        node: RelayNode,
        address: Address,
        metrics: Metrics,
        limits: Limits | None = None,
    ) -> None:
        self._node = node
        self._address = address
        self._metrics = metrics
        self._ingress = Ingress(limits or derive_limits(), metrics)
        self._server: Acceptor | None = None
        self._connections: set[_CallerConnection] = set()
        self._all_closed = asyncio.Event()
        self._stop = _Stop()

    async def start(self) -> None:
        """Listen for callers."""
        self._ingress.start()
        self._server = await listen(
            self._address.host,
            self._address.port,
            LISTEN_BACKLOG,
            lambda: CallerStream(self._ingress, self._serve, MAX_MESSAGE_BYTES),
            self._ingress.connections,
            self._ingress.evict,
            self._metrics,
            "callers",
            CONNECTIONS_REFUSAL,
        )

    async def stop(self, grace_s: float) -> None:
        """Stop accepting connections and close all open ones within the grace period.

        New connections are accepted and idle ones kept for ``READINESS_PROPAGATION_S``.
        Then each connection is closed between two operations. After
        ``TRANSACTION_GRACE_SHARE`` of the grace period, open transactions are aborted.
        ``FLEET_LEAVE_RESERVE_S`` before its end, the statements that still run get an
        answer without a result, and all connections are closed.
        """
        try:
            await self._stop_sessions(grace_s)
        finally:
            self._ingress.stop()

    async def _stop_sessions(self, grace_s: float) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        deadline = started + grace_s - FLEET_LEAVE_RESERVE_S
        while loop.time() < deadline:
            elapsed_s = loop.time() - started
            if elapsed_s >= READINESS_PROPAGATION_S:
                self._close_server()
                self._stop.refuses_operations = True
                self._stop.ends_transactions = (
                    elapsed_s >= grace_s * TRANSACTION_GRACE_SHARE
                )
                for connection in [*self._connections]:
                    connection.close_if_idle()
                if not self._connections:
                    return
            await asyncio.sleep(STOP_POLL_S)
        self._close_server()
        for connection in [*self._connections]:
            connection.cut()
        if self._connections:
            self._all_closed.clear()
            try:
                async with asyncio.timeout(LAST_ANSWER_TIMEOUT_S):
                    await self._all_closed.wait()
            except TimeoutError:
                left = len(self._connections)
                log_state(log, "callers", "cut", f"entry: {left} sessions are left")

    def _close_server(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(self, stream: CallerStream) -> None:
        with suppress(OSError):
            configure_socket(stream)
        connection = _CallerConnection(
            self._node, stream, self._ingress, self._metrics, self._stop
        )
        self._connections.add(connection)
        try:
            await connection.run()
        except OSError:
            self._metrics.count("callers.disconnected")
        finally:
            self._connections.discard(connection)
            if not self._connections:
                self._all_closed.set()


class _CallerConnection:
    """Connection of one caller."""

    def __init__(
        self,
        node: RelayNode,
        stream: CallerStream,
        ingress: Ingress,
        metrics: Metrics,
        stop: _Stop,
    ) -> None:
        self._node = node
        self._stream = stream
        self._ingress = ingress
        self._metrics = metrics
        self._stop = stop
        self._session: Session | None = None
        self._busy = True
        self._answered_at = 0.0
        # Limits the running statement; it has no deadline until the VM stops.
        self._limit: asyncio.Timeout | None = None
        self._is_cut = False

    def close_if_idle(self) -> None:
        """Close the connection unless a statement runs or a transaction is open.

        While transactions are ended, an open one is aborted; the next statement of its
        caller fails.
        """
        if self._busy:
            return
        if self._session is None or self._session.state is TransactionState.IDLE:
            if monotonic() >= self._answered_at + RECENT_ANSWER_S:
                self._stream.close()
        elif self._stop.ends_transactions:
            self._session.abort_transaction()

    def cut(self) -> None:
        """Close the connection after an answer to the statement that runs."""
        self._is_cut = True
        if self._limit is None:
            self._stream.close()
        else:
            self._limit.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Serve the caller until the session ends."""
        session = await self._start()
        if session is None:
            return
        self._session = session
        try:
            while await self._serve_statement(session):
                await self._stream.drain()
        finally:
            await session.close()

    async def _start(self) -> Session | None:
        """Open the session; None if no valid first message arrives or it is refused."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await self._stream.read_message()
        except TimeoutError:
            return None
        except MessageError as error:
            await self._refuse_message(error)
            return None
        if line is None:
            return None
        self._stream.set_started()
        failure: Failure | None
        try:
            start = parse_start(line)
        except MessageError as error:
            self._metrics.count("callers.malformed")
            failure = Failure(Reason.MALFORMED, str(error))
        else:
            # After a loss of all VMs, callers reach VMs that are about to serve.
            await self._node.wait_until_ready(deadline_in(READY_TIMEOUT_S))
            rules = self._node.rules
            session = self._node.open_session(start.database, start.key)
            if rules is None:
                failure = Failure(Reason.OVERLOADED, "not ready; retry in 1000 ms")
            else:
                failure = session.check(rules)
        if failure is not None:
            log_request(
                log,
                "session",
                failure.reason.value,
                f"entry: a session was refused: {failure.message}",
            )
            if failure.reason in (Reason.UNKNOWN_KEY, Reason.UNKNOWN_DATABASE):
                await self._delay_refusal()
            self._send(encode_failure(failure))
            await self._stream.drain()
            return None
        self._send(encode_ready(session.state, None))
        return session

    async def _delay_refusal(self) -> None:
        """Delay a refusal if there were many to this address."""
        pacer = self._ingress.pacer
        delay_s = pacer.delay_s(self._stream.peer, monotonic())
        if delay_s:
            self._metrics.count("callers.refusals_delayed")
            pacer.delayed += 1
            try:
                await asyncio.sleep(delay_s)
            finally:
                pacer.delayed -= 1

    async def _refuse_message(
        self,
        error: MessageError,
        state: TransactionState = TransactionState.IDLE,
    ) -> None:
        """Answer a message that is too long, and discard the rest of it."""
        self._metrics.count("callers.closed.oversized")
        text = f"not run, the message exceeds {MAX_MESSAGE_BYTES} bytes"
        log_state(
            log,
            "callers",
            "closed_oversized",
            f"entry: a message was refused: {error}",
            peer=self._stream.peer,
        )
        failure = Failure(Reason.TOO_LONG, text)
        self._send(encode_answer(Answer(failure=failure, state=state)))
        await self._stream.discard()

    def _refuse_crowded(self, state: TransactionState) -> None:
        """Answer a long statement that was dropped."""
        self._metrics.count("callers.refused.long_statement")
        text = "not run, too many long statements at once; retry in 1000 ms"
        log_state(log, "callers", "refused_long_statement", f"entry: {text}")
        failure = Failure(Reason.OVERLOADED, text)
        self._send(encode_answer(Answer(failure=failure, state=state)))

    async def _serve_statement(self, session: Session) -> bool:
        """Serve the next statement; False at the end of the session."""
        self._busy = False
        self._answered_at = monotonic()
        # An aborted transaction has nothing to lose either.
        if session.state is not TransactionState.OPEN:
            self._stream.set_idle(self._answered_at)
        try:
            line = await self._read_message(session)
        except StatementsCrowdedError:
            self._refuse_crowded(session.state)
            return True
        except MessageError as error:
            await self._refuse_message(error, session.state)
            return False
        finally:
            self._stream.set_busy()
            self._busy = True
        if line is None:
            return False
        try:
            statement = parse_query(line)
        except MessageError as error:
            self._metrics.count("callers.malformed")
            failure = Failure(Reason.MALFORMED, str(error))
            self._send(encode_answer(Answer(failure=failure, state=session.state)))
            return True
        if statement is None:
            return False
        if self._stop.refuses_operations and session.state is TransactionState.IDLE:
            self._refuse(statement)
            return False
        if self._stop.ends_transactions:
            session.abort_transaction()
        self._send(encode_answer(await self._run_statement(session, statement)))
        return not self._is_cut

    def _refuse(self, statement: Statement) -> None:
        """Refuse a statement because this VM stops."""
        self._metrics.count("callers.refused_at_stop")
        current_request.set(statement.id)
        failure = Failure(Reason.OVERLOADED, "not run, this VM stops; reconnect")
        log_request(log, "statement", "refused", f"entry: {failure.message}")
        self._send(encode_answer(Answer(failure=failure)))

    def _send(self, data: bytes) -> None:
        """Write, or raise ``ConnectionResetError`` if the connection is closed."""
        if self._stream.is_closing():
            raise ConnectionResetError("the connection of the caller is closed")
        self._stream.write(data)

    async def _run_statement(self, session: Session, statement: Statement) -> Answer:
        rules = self._node.rules
        assert rules is not None
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(None) as limit:
                self._limit = limit
                answer = await session.handle(statement, rules)
        except TimeoutError:
            if not limit.expired():
                raise
            # The rollback at the end of the session must not wait for the statement.
            session.abort_transaction()
            failure = _failure_of_cut(statement, session.state)
            answer = Answer(failure=failure, state=session.state)
        finally:
            self._limit = None
        took_ms = (asyncio.get_running_loop().time() - started) * 1000
        outcome = "ok" if answer.failure is None else answer.failure.reason.value
        self._metrics.count(f"statements.{outcome}")
        self._metrics.observe(session.account, statement.verb.value, took_ms)
        return answer

    async def _read_message(self, session: Session) -> str | None:
        """Return the next line; abort the transaction at its idle timeout."""
        rules = self._node.rules
        if session.state is not TransactionState.OPEN or rules is None:
            return await self._stream.read_message()
        reading = asyncio.ensure_future(self._stream.read_message())
        try:
            completed, _ = await asyncio.wait(
                {reading}, timeout=rules.transaction_idle_s
            )
            if not completed:
                session.abort_transaction()
                self._stream.set_idle(monotonic())
            return await reading
        finally:
            reading.cancel()


def _failure_of_cut(statement: Statement, state: TransactionState) -> Failure:
    """Return the answer to a statement that runs when this VM has to end."""
    if statement.verb is Verb.COMMIT or (
        state is TransactionState.IDLE and statement.verb in (Verb.WRITE, Verb.EXECUTE)
    ):
        text = "this VM stops; the statement may have run"
        return Failure(Reason.OUTCOME_UNKNOWN, text)
    # A read changes nothing, and an open transaction is rolled back.
    return Failure(Reason.ABORTED, "this VM stops; nothing was changed")


class ReadinessServer:
    """Tells the platform whether this VM accepts new connections."""

    def __init__(
        self, is_ready: Callable[[], bool], address: Address, metrics: Metrics
    ) -> None:
        self._is_ready = is_ready
        self._metrics = metrics
        self._site: LimitedSite | None = None
        self._address = address
        self._runner: web.AppRunner | None = None
        self._was_ready: bool | None = None

    async def start(self) -> None:
        """Listen for readiness checks."""
        application = web.Application()
        application.router.add_get(READY_PATH, self._handle_check)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        self._site = LimitedSite(
            self._runner,
            self._address.host,
            self._address.port,
            self._metrics,
            "readiness",
        )
        await self._site.start()

    async def close(self) -> None:
        """Stop listening."""
        if self._site is not None:
            self._site.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_check(self, _: web.Request) -> web.Response:
        ready = self._is_ready()
        if ready != self._was_ready:
            self._was_ready = ready
            outcome = "ready" if ready else "not_ready"
            log_state(log, "readiness", outcome, f"entry: this VM is {outcome}")
        return web.json_response({"ready": ready}, status=200 if ready else 503)
