"""Explicit transactions, each on its own backend connection."""

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
from citronwood.backend.connection import Answer
from citronwood.backend.group import GroupView
from citronwood.backend.idempotency import (
    RequestKey,
    digest_of,
    find_record,
    insert_record,
    refuse_committed,
)
from citronwood.backend.primary import Lease, PrimaryAccess
from citronwood.backend.writes import Writer
from citronwood.deadline import deadline_in
from citronwood.errors import ConnectionLostError, Refusal

Outcome = Result[Reply, Refusal]

DEADLOCK = 1213
ROLLBACK_S = 1.0


class Transaction:
    """Open transaction of a session."""

    def __init__(self, lease: Lease, account: str, key: str | None) -> None:
        self.lease = lease
        self.account = account
        self.key = key
        self.statements: list[str] = []
        self.leaves_state = ""


class Transactions:
    """The open transactions of a gateway by session."""

    def __init__(self, view: GroupView, access: PrimaryAccess, writer: Writer) -> None:
        self._view = view
        self._access = access
        self._writer = writer
        self._open: dict[str, Transaction] = {}

    @property
    def count(self) -> int:
        """Number of open transactions."""
        return len(self._open)

    def has(self, session_id: str) -> bool:
        """Whether the session has a transaction here."""
        return session_id in self._open

    async def end_session(self, session_id: str) -> None:
        """Roll back what the session has left open."""
        transaction = self._open.get(session_id)
        if transaction is None:
            return
        try:
            await transaction.lease.connection.run("ROLLBACK", deadline_in(ROLLBACK_S))
        except (ConnectionLostError, MySQLError):
            transaction.lease.connection.close()
        self._end(session_id)

    async def execute(self, request: Request, floor: Position | None) -> Outcome:
        """Run a statement that begins, ends or belongs to a transaction."""
        transaction = self._open.get(request.session_id)
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
        if request.kind is StatementKind.ROLLBACK and _ends(request.sql):
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
                self._open[request.session_id] = Transaction(
                    lease, request.account, request.idempotency_key
                )
            if outcome is not None:
                return outcome
            await self._access.wait_refused(lease)

    async def _try_begin(self, request: Request, lease: Lease) -> Outcome | None:
        """Begin; None when another connection must be tried."""
        refusal = request.refusal()
        if refusal is not None:
            return Err(refusal)
        key = request.idempotency_key
        try:
            if key is not None and await self._was_committed(request, lease, key):
                position = await self._writer.confirm_position(lease, request.deadline)
                return None if position is None else Err(refuse_committed())
            answer = await lease.connection.run(request.sql, request.deadline)
        except ConnectionLostError:
            # A transaction that has run no statement has no effect.
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
            return Err(self._refuse(request.session_id, error))
        transaction.leaves_state += request.sql if "@" in request.sql else ""
        if not answer.in_transaction:
            return await self._finish_implicitly(request, lease, answer)
        return Ok(make_reply(answer, lease.member, False, None))

    async def _finish_implicitly(
        self, request: Request, lease: Lease, answer: Answer
    ) -> Outcome:
        """Acknowledge a statement that has committed the transaction, such as DDL."""
        self._end(request.session_id, request.sql)
        if answer.position is not None and not await wait_for_majority(
            self._view, lease.member, answer.position, request.deadline
        ):
            return Err(refuse_unknown())
        return Ok(make_reply(answer, lease.member, False, answer.position))

    def _refuse(self, session_id: str, error: MySQLError) -> Refusal:
        if is_refused(error):
            self._abandon(session_id)
            return refuse_lost_transaction("the primary has changed")
        refusal = refuse_failed(error)
        if refusal.code == DEADLOCK:
            # The server has rolled back the transaction, not just the statement.
            self._abandon(session_id)
            return refusal._replace(transaction_lost=True)
        return refusal

    async def _commit(self, request: Request, transaction: Transaction) -> Outcome:
        lease, deadline = transaction.lease, request.deadline
        async with self._access.writing():
            try:
                if transaction.key is not None:
                    await insert_record(lease.connection, _keyed(transaction), deadline)
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
                return await self._settle(request, transaction)
            except MySQLError as error:
                self._abandon(request.session_id)
                if is_refused(error):
                    return Err(refuse_lost_transaction("the primary has changed"))
                return Err(refuse_failed(error)._replace(transaction_lost=True))
            self._end(request.session_id, transaction.leaves_state)
            position = answer.position
            if position is None or await wait_for_majority(
                self._view, lease.member, position, deadline
            ):
                return Ok(make_reply(answer, lease.member, False, position))
            return await self._settle(request, transaction)

    async def _refuse_commit(
        self, request: Request, transaction: Transaction, error: MySQLError
    ) -> Outcome:
        """Roll back after the record could not be written."""
        self._abandon(request.session_id)
        if is_refused(error):
            return Err(refuse_lost_transaction("the primary has changed"))
        outcome = await self._settle(request, transaction)
        return Err(refuse_committed()) if isinstance(outcome, Ok) else outcome

    async def _settle(self, request: Request, transaction: Transaction) -> Outcome:
        """Find out from the record whether a transaction was committed."""
        if transaction.key is None:
            return Err(refuse_unknown())
        while True:
            try:
                lease = await self._access.lease(
                    request.account, request.deadline, patient=True
                )
            except TimeoutError:
                return Err(refuse_unknown())
            try:
                return await self._look_up(request, transaction, lease)
            except (ConnectionLostError, MySQLError):
                await self._access.wait_refused(lease)
            finally:
                self._access.release(lease)

    async def _look_up(
        self, request: Request, transaction: Transaction, lease: Lease
    ) -> Outcome:
        """Claim the key on the primary, and give the claim up again.

        A claim waits for an earlier transaction that is still open, so one that
        succeeds proves that the record neither exists nor will.
        """
        keyed, deadline = _keyed(transaction), request.deadline
        await lease.connection.run("BEGIN", deadline)
        try:
            await insert_record(lease.connection, keyed, deadline)
            claimed = True
        except MySQLError as error:
            if is_refused(error):
                raise
            claimed = False
        await lease.connection.run("ROLLBACK", deadline)
        if claimed:
            return Err(refuse_lost_transaction("it was not committed"))
        if await find_record(lease.connection, keyed.account, keyed.key, deadline):
            position = await self._writer.confirm_position(lease, deadline)
            if position is not None:
                return Ok(empty_reply(lease.member, position))
        return Err(refuse_unknown())

    def _abandon(self, session_id: str) -> None:
        self._open[session_id].lease.connection.close()
        self._end(session_id)

    def _end(self, session_id: str, sql: str = "") -> None:
        transaction = self._open.pop(session_id)
        self._access.end_transaction(transaction.lease, sql)


def _keyed(transaction: Transaction) -> RequestKey:
    assert transaction.key is not None
    digest = digest_of(transaction.statements)
    return RequestKey(transaction.account, transaction.key, digest)


def _ends(rollback: str) -> bool:
    """Whether this is not ROLLBACK TO SAVEPOINT."""
    return " TO " not in f" {rollback.upper()} "
