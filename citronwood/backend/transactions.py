"""Explicit transactions, each on a backend connection of its own."""

from asyncmy.errors import MySQLError
from result import Err, Ok, Result

from citronwood.backend.answers import (
    empty_reply,
    is_refused,
    make_reply,
    refuse_failed,
    refuse_lost_transaction,
    refuse_unknown,
    refuse_without_connection,
)
from citronwood.backend.api import Position, Reply, Request, StatementKind
from citronwood.backend.commit import wait_for_majority
from citronwood.backend.connection import StatementAnswer
from citronwood.backend.group import GroupView
from citronwood.backend.idempotency import (
    RequestKey,
    digest_statements,
    find_record,
    insert_record,
    refuse_committed,
)
from citronwood.backend.primary import Lease, PrimaryAccess
from citronwood.backend.writes import Writer
from citronwood.deadline import deadline_in
from citronwood.errors import ConnectionLostError, Refusal

Outcome = Result[Reply, Refusal]

DEADLOCK_CODE = 1213
ROLLBACK_TIMEOUT_S = 1.0


class Transaction:
    """Open transaction of a session.

    With an idempotency key, ``statements`` holds the statements for the digest in the
    record of the key. ``state_sql`` always holds the statements that may leave user
    variables set on the connection.
    """

    def __init__(self, lease: Lease, account: str, key: str | None) -> None:
        self.lease = lease
        self.account = account
        self.key = key
        self.statements: list[str] = []
        self.state_sql = ""


class Transactions:
    """Open transactions of a gateway, by session."""

    def __init__(self, view: GroupView, access: PrimaryAccess, writer: Writer) -> None:
        self._view = view
        self._access = access
        self._writer = writer
        self._by_session: dict[str, Transaction] = {}

    @property
    def count(self) -> int:
        """Number of open transactions."""
        return len(self._by_session)

    def has(self, session_id: str) -> bool:
        """Whether the session has an open transaction at this gateway."""
        return session_id in self._by_session

    async def end_session(self, session_id: str) -> None:
        """Roll back the session's open transaction, if any."""
        transaction = self._by_session.get(session_id)
        if transaction is None:
            return
        try:
            await transaction.lease.connection.run(
                "ROLLBACK", deadline_in(ROLLBACK_TIMEOUT_S)
            )
        except (ConnectionLostError, MySQLError):
            transaction.lease.connection.close()
        self._end(session_id)

    async def execute(self, request: Request, floor: Position | None) -> Outcome:
        """Run a statement that begins, ends or belongs to a transaction."""
        transaction = self._by_session.get(request.session_id)
        if request.kind is StatementKind.BEGIN:
            if transaction is not None:
                # BEGIN commits an open transaction, as in MySQL.
                outcome = await self._commit(request, transaction)
                if isinstance(outcome, Err):
                    return outcome
            return await self._begin(request, floor)
        if transaction is None:
            if request.kind in (StatementKind.ROLLBACK, StatementKind.COMMIT) and (
                request.kind is StatementKind.ROLLBACK or not request.in_transaction
            ):
                return Ok(empty_reply(""))
            return Err(refuse_lost_transaction("its gateway or connection was lost"))
        if request.kind is StatementKind.ROLLBACK and _ends_transaction(request.sql):
            await self.end_session(request.session_id)
            return Ok(empty_reply(transaction.lease.member))
        if request.kind is StatementKind.COMMIT:
            return await self._commit(request, transaction)
        return await self._run(request, transaction)

    async def _begin(self, request: Request, floor: Position | None) -> Outcome:
        while True:
            try:
                lease = await self._access.lease(
                    request.account, request.deadline, floor, True, request.refusal
                )
            except TimeoutError as error:
                return Err(refuse_without_connection(request, error))
            try:
                outcome = await self._try_begin(request, lease)
            except BaseException:
                self._access.end_transaction(lease)
                raise
            if outcome is None or isinstance(outcome, Err):
                self._access.end_transaction(lease)
            else:
                self._by_session[request.session_id] = Transaction(
                    lease, request.account, request.idempotency_key
                )
            if outcome is not None:
                return outcome
            await self._access.wait_after_refusal(lease)

    async def _try_begin(self, request: Request, lease: Lease) -> Outcome | None:
        """Begin a transaction; None if another connection must be tried."""
        refusal = request.refusal()
        if refusal is not None:
            return Err(refusal)
        key = request.idempotency_key
        try:
            if key is not None and await self._was_committed(request, lease, key):
                # The record counts only if a majority holds it.
                position = await self._writer.confirm_position(lease, request.deadline)
                return None if position is None else Err(refuse_committed())
            answer = await lease.connection.run(request.sql, request.deadline)
        except ConnectionLostError:
            # The transaction has run no statement yet, so BEGIN can be repeated.
            return None
        except MySQLError as error:
            return None if is_refused(error) else Err(refuse_failed(error))
        reply = make_reply(answer, lease.member, False, None)
        return Ok(reply._replace(in_transaction=True))

    async def _was_committed(self, request: Request, lease: Lease, key: str) -> bool:
        await self._writer.ensure_table(lease, request.deadline)
        record = await find_record(
            lease.connection, request.account, key, request.deadline
        )
        return record is not None

    async def _run(self, request: Request, transaction: Transaction) -> Outcome:
        lease = transaction.lease
        if transaction.key is not None:
            transaction.statements.append(request.sql)
        try:
            answer = await lease.connection.run(request.sql, request.deadline)
        except ConnectionLostError:
            self._end(request.session_id)
            return Err(refuse_lost_transaction("its connection was lost"))
        except MySQLError as error:
            return Err(self._refuse_statement(request.session_id, error))
        transaction.state_sql += request.sql if "@" in request.sql else ""
        if not answer.in_transaction:
            return await self._finish_implicitly(request, lease, answer)
        return Ok(make_reply(answer, lease.member, False, None))

    async def _finish_implicitly(
        self, request: Request, lease: Lease, answer: StatementAnswer
    ) -> Outcome:
        """Acknowledge a statement that committed implicitly, such as DDL."""
        self._end(request.session_id, request.sql)
        if answer.position is not None and not await wait_for_majority(
            self._view, lease.member, answer.position, request.deadline
        ):
            return Err(refuse_unknown())
        return Ok(make_reply(answer, lease.member, False, answer.position))

    def _refuse_statement(self, session_id: str, error: MySQLError) -> Refusal:
        if is_refused(error):
            self._close_and_end(session_id)
            return refuse_lost_transaction("the primary has changed")
        refusal = refuse_failed(error)
        if refusal.code == DEADLOCK_CODE:
            # On a deadlock MySQL rolls back the whole transaction.
            self._close_and_end(session_id)
            return refusal._replace(transaction_lost=True)
        return refusal

    async def _commit(self, request: Request, transaction: Transaction) -> Outcome:
        lease, deadline = transaction.lease, request.deadline
        async with self._access.writing():
            try:
                if transaction.key is not None:
                    await insert_record(
                        lease.connection, _request_key(transaction), deadline
                    )
            except ConnectionLostError:
                self._end(request.session_id)
                return Err(refuse_lost_transaction("its connection was lost"))
            except MySQLError as error:
                return await self._refuse_commit(request, transaction, error)
            try:
                answer = await lease.connection.run("COMMIT", deadline)
            except ConnectionLostError as error:
                self._end(request.session_id)
                if not error.sent:
                    return Err(refuse_lost_transaction("its connection was lost"))
                return await self._resolve_outcome(request, transaction)
            except MySQLError as error:
                self._close_and_end(request.session_id)
                if is_refused(error):
                    return Err(refuse_lost_transaction("the primary has changed"))
                return Err(refuse_failed(error)._replace(transaction_lost=True))
            self._end(request.session_id, transaction.state_sql)
            position = answer.position
            if position is None or await wait_for_majority(
                self._view, lease.member, position, deadline
            ):
                return Ok(make_reply(answer, lease.member, False, position))
            return await self._resolve_outcome(request, transaction)

    async def _refuse_commit(
        self, request: Request, transaction: Transaction, error: MySQLError
    ) -> Outcome:
        """Refuse a COMMIT whose idempotency record could not be written.

        If a record exists, an earlier transaction with the same key was committed.
        """
        self._close_and_end(request.session_id)
        if is_refused(error):
            return Err(refuse_lost_transaction("the primary has changed"))
        outcome = await self._resolve_outcome(request, transaction)
        return Err(refuse_committed()) if isinstance(outcome, Ok) else outcome

    async def _resolve_outcome(
        self, request: Request, transaction: Transaction
    ) -> Outcome:
        """Determine from the idempotency record whether a transaction was committed."""
        if transaction.key is None:
            return Err(refuse_unknown())
        while True:
            try:
                lease = await self._access.lease(
                    request.account, request.deadline, always_queue=True
                )
            except TimeoutError:
                return Err(refuse_unknown())
            try:
                return await self._probe_record(request, transaction, lease)
            except (ConnectionLostError, MySQLError):
                await self._access.wait_after_refusal(lease)
            finally:
                self._access.release(lease)

    async def _probe_record(
        self, request: Request, transaction: Transaction, lease: Lease
    ) -> Outcome:
        """Insert the idempotency record on the primary and roll the insert back.

        The insert waits for an earlier transaction with the same key that is still
        open. If it succeeds, the record does not exist and will not appear later, so
        the transaction was not committed.
        """
        request_key, deadline = _request_key(transaction), request.deadline
        await lease.connection.run("BEGIN", deadline)
        try:
            await insert_record(lease.connection, request_key, deadline)
            inserted = True
        except MySQLError as error:
            if is_refused(error):
                raise
            inserted = False
        await lease.connection.run("ROLLBACK", deadline)
        if inserted:
            return Err(refuse_lost_transaction("it was not committed"))
        if await find_record(
            lease.connection, request_key.account, request_key.key, deadline
        ):
            position = await self._writer.confirm_position(lease, deadline)
            if position is not None:
                return Ok(empty_reply(lease.member, position))
        return Err(refuse_unknown())

    def _close_and_end(self, session_id: str) -> None:
        self._by_session[session_id].lease.connection.close()
        self._end(session_id)

    def _end(self, session_id: str, sql: str = "") -> None:
        transaction = self._by_session.pop(session_id)
        self._access.end_transaction(transaction.lease, sql)


def _request_key(transaction: Transaction) -> RequestKey:
    assert transaction.key is not None
    digest = digest_statements(transaction.statements)
    return RequestKey(transaction.account, transaction.key, digest)


def _ends_transaction(rollback_sql: str) -> bool:
    """Whether a ROLLBACK ends the transaction, unlike ROLLBACK TO SAVEPOINT."""
    return " TO " not in f" {rollback_sql.upper()} "
