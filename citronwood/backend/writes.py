"""Single writes, with and without an idempotency key."""

from collections.abc import Mapping

from asyncmy.errors import MySQLError
from result import Err, Ok, Result

from citronwood.backend.answers import (
    empty_reply,
    is_refused,
    make_reply,
    refuse_failed,
    refuse_unknown,
    refuse_without_connection,
)
from citronwood.backend.api import Position, Reply, Request
from citronwood.backend.commit import wait_for_majority
from citronwood.backend.connection import StatementAnswer
from citronwood.backend.group import GroupView
from citronwood.backend.idempotency import (
    RequestKey,
    StoredRequest,
    create_table,
    digest_statements,
    find_record,
    insert_record,
    refuse_other_statement,
    store_answer,
)
from citronwood.backend.member import MemberControl
from citronwood.backend.primary import Lease, PrimaryAccess
from citronwood.deadline import has_passed
from citronwood.errors import BackendError, ConnectionLostError, Refusal

Outcome = Result[Reply, Refusal]


class Writer:
    """Runs writes on the primary and acknowledges them once a majority has them."""

    def __init__(
        self,
        view: GroupView,
        controls: Mapping[str, MemberControl],
        access: PrimaryAccess,
    ) -> None:
        self._view = view
        self._controls = controls
        self._access = access
        self._table_term = -1

    async def run(self, request: Request) -> Outcome:
        """Run a write; only with an idempotency key, retry it after a lost answer."""
        if request.idempotency_key is not None:
            return await self._run_keyed(request, request.idempotency_key)
        while True:
            try:
                lease = await self._access.lease(
                    request.account, request.deadline, check_refusal=request.refusal
                )
            except TimeoutError as error:
                return Err(refuse_without_connection(request, error))
            async with self._access.writing():
                outcome = await self._attempt(lease, request)
            if outcome is not None:
                return outcome
            await self._access.wait_after_refusal(lease)

    async def _attempt(self, lease: Lease, request: Request) -> Outcome | None:
        """Run the statement once; None if the member did not run it."""
        refusal = request.refusal()
        if refusal is not None:
            self._access.release(lease)
            return Err(refusal)
        try:
            answer = await lease.connection.run(request.sql, request.deadline)
        except ConnectionLostError as error:
            self._access.release(lease)
            return Err(refuse_unknown()) if error.sent else None
        except MySQLError as error:
            self._access.release(lease, request.sql)
            return None if is_refused(error) else Err(refuse_failed(error))
        except BaseException:
            self._access.release(lease)
            raise
        if answer.rows is not None:
            answer.rows.notify_end(lambda: self._access.release(lease, request.sql))
        else:
            self._access.release(lease, request.sql)
        return await self._acknowledge(lease, answer, request.deadline)

    async def _acknowledge(
        self, lease: Lease, answer: StatementAnswer, deadline: float
    ) -> Outcome:
        if answer.position is not None and not await wait_for_majority(
            self._view, lease.member, answer.position, deadline
        ):
            return Err(refuse_unknown())
        return Ok(make_reply(answer, lease.member, False, answer.position))

    async def _run_keyed(self, request: Request, key: str) -> Outcome:
        request_key = RequestKey(request.account, key, digest_statements([request.sql]))
        keyed_write = _KeyedWrite(self, request, request_key)
        while True:
            try:
                lease = await self._access.lease(
                    request.account,
                    request.deadline,
                    check_refusal=request.refusal,
                    always_queue=keyed_write.may_have_run,
                )
            except TimeoutError as error:
                return Err(keyed_write.refuse(error))
            async with self._access.writing():
                outcome = await keyed_write.run(lease)
            if outcome is not None:
                return outcome
            await self._access.wait_after_refusal(lease)

    async def ensure_table(self, lease: Lease, deadline: float) -> None:
        """Create the table of request records, once for each term of the primary."""
        if self._table_term != lease.term:
            await create_table(lease.connection, deadline)
            self._table_term = lease.term

    async def confirm_position(self, lease: Lease, deadline: float) -> Position | None:
        """Return a log position that covers everything the leased connection has read.

        A majority holds the log up to this position. None if this is not confirmed in
        time, for example because the primary has changed.
        """
        try:
            status = await self._controls[lease.member].read_status(deadline)
        except (BackendError, MySQLError):
            return None
        position = status.log_position
        if status.term != lease.term or position.term != lease.term:
            return None
        held = await wait_for_majority(self._view, lease.member, position, deadline)
        return position if held else None


class _KeyedWrite:
    """Runs one write under its idempotency key, possibly in several attempts."""

    def __init__(
        self, writer: Writer, request: Request, request_key: RequestKey
    ) -> None:
        self._writer = writer
        self._access = writer._access
        self._request = request
        self._request_key = request_key
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Whether the write may have taken effect."""
        return self._may_have_run

    def refuse(self, error: TimeoutError | None = None) -> Refusal:
        """Return the refusal of a write that is not attempted again."""
        if self._may_have_run:
            return refuse_unknown()
        return refuse_without_connection(self._request, error)

    def _check_refusal(self) -> Refusal | None:
        """Return a refusal if the caller may no longer run the statement.

        The outcome is unknown if an earlier attempt may have run it.
        """
        refusal = self._request.refusal()
        return refuse_unknown() if refusal and self._may_have_run else refusal

    async def run(self, lease: Lease) -> Outcome | None:
        """Make one attempt; None if another attempt is needed."""
        try:
            return await self._run(lease)
        except ConnectionLostError:
            return Err(self.refuse()) if has_passed(self._request.deadline) else None
        except MySQLError as error:
            return None if is_refused(error) else Err(refuse_failed(error))
        finally:
            self._access.release(lease, self._request.sql)

    async def _run(self, lease: Lease) -> Outcome | None:
        deadline, connection = self._request.deadline, lease.connection
        await self._writer.ensure_table(lease, deadline)
        await connection.run("BEGIN", deadline)
        try:
            await insert_record(connection, self._request_key, deadline)
        except MySQLError as error:
            await connection.run("ROLLBACK", deadline)
            if is_refused(error):
                return None
            return await self._answer_duplicate(lease, error)
        # The insert may have waited for the lock of an earlier attempt's transaction.
        # The caller may be refused by now.
        refusal = self._check_refusal()
        if refusal is not None:
            await connection.run("ROLLBACK", deadline)
            return Err(refusal)
        try:
            answer = await connection.run(self._request.sql, deadline)
            if answer.rows is not None:
                await answer.rows.aclose()
            await store_answer(connection, self._request_key, answer, deadline)
        except MySQLError:
            await connection.run("ROLLBACK", deadline)
            raise
        self._may_have_run = True
        committed = await connection.run("COMMIT", deadline)
        position = committed.position
        if position is not None and not await wait_for_majority(
            self._writer._view, lease.member, position, deadline
        ):
            return Err(self.refuse()) if has_passed(deadline) else None
        final = answer._replace(in_transaction=False, rows=None, columns=())
        return Ok(make_reply(final, lease.member, False, position))

    async def _answer_duplicate(
        self, lease: Lease, error: MySQLError
    ) -> Outcome | None:
        request_key, deadline = self._request_key, self._request.deadline
        record = await find_record(
            lease.connection, request_key.account, request_key.key, deadline
        )
        if record is None:
            return Err(refuse_failed(error))
        if record.digest != request_key.digest:
            return Err(refuse_other_statement())
        self._may_have_run = True
        return await self._reply_stored(lease, record)

    async def _reply_stored(
        self, lease: Lease, record: StoredRequest
    ) -> Outcome | None:
        deadline = self._request.deadline
        position = await self._writer.confirm_position(lease, deadline)
        if position is None:
            return Err(self.refuse()) if has_passed(deadline) else None
        stored = record.answer
        return Ok(
            empty_reply(
                lease.member, position, stored.affected_rows, stored.last_insert_id
            )
        )
