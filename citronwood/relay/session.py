"""Session of a caller: statements, transactions and their outcomes."""

import logging
from time import monotonic

from citronwood.deadline import deadline_in, time_left
from citronwood.decisions import current_request, may_log, write_request
from citronwood.errors import ConnectionLostError, StatementRefusedError
from citronwood.relay.balance import (
    MIN_RERUN_S,
    ReadAttempts,
    Result,
    judge,
    judge_loss,
)
from citronwood.relay.clock import now
from citronwood.relay.connection import (
    LeasedConnection,
    PreparedStatement,
    SessionSettings,
)
from citronwood.relay.model import Account, Position, Route, Rules
from citronwood.relay.pool import ServerPool
from citronwood.relay.routing import (
    LastCommit,
    ReadBounds,
    Router,
    SessionContext,
    Trace,
    Use,
    refusal,
    retry_message,
)
from citronwood.relay.statement import (
    NOT_RUN,
    Answer,
    Failure,
    Reason,
    Statement,
    TransactionState,
    Urgency,
    Verb,
)

log = logging.getLogger(__name__)

ROLLBACK_TIMEOUT_S = 1.0
MAX_VARIABLES = 256
MAX_PREPARED_PER_SESSION = 1024
ANONYMOUS_ACCOUNT = "anonymous"


class _Transaction:
    """Transaction of a session.

    ``pool`` and ``connection`` are set once it has begun at a backend server.
    """

    def __init__(self, route: Route, account: Account, read_only: bool) -> None:
        self.route = route
        self.account = account
        self.read_only = read_only
        self.began_at = now()
        self.pool: ServerPool | None = None
        self.connection: LeasedConnection | None = None
        self.at_primary = False
        self.has_written = False
        self.is_aborted = False


def _urgency(route: Route) -> Urgency:
    """Return how a statement of the route that arrives now ranks."""
    target_s = route.target_latency_s
    if target_s is None:
        target_s = route.statement_timeout_s
    return Urgency(route.priority, deadline_in(target_s))


def _may_rerun(answer: Answer, deadline: float) -> bool:
    """Whether a read that has failed at a server may run at another one."""
    failure = answer.failure
    return (
        failure is not None
        and failure.reason is Reason.FAILED
        and time_left(deadline) > MIN_RERUN_S
    )


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)


class Session:
    """Session of one caller.

    Parameters
    ----------
    database, key : str
        Database name and key of the caller's login; the key may be empty.
    """

    def __init__(self, context: SessionContext, database: str, key: str) -> None:
        self._context = context
        self._router = Router(context)
        self._database = database
        self._key = key
        self._settings = SessionSettings()
        self._transaction: _Transaction | None = None
        self._transaction_failed = False
        self._last_commit = LastCommit(None, 0.0)
        self._last_position: Position | None = None

    @property
    def state(self) -> TransactionState:
        """Transaction state between statements."""
        if self._transaction_failed:
            return TransactionState.FAILED
        if self._transaction is not None:
            return TransactionState.OPEN
        return TransactionState.IDLE

    @property
    def account(self) -> str:
        """Client account of the last statement; empty if it was not identified."""
        return self._router.trace.account

    def check(self, rules: Rules) -> Failure | None:
        """Return why the caller may not use the database; None if it may."""
        try:
            self._authorize(rules)
        except StatementRefusedError as refused:
            return refused.failure
        return None

    async def handle(self, statement: Statement, rules: Rules) -> Answer:
        """Run one statement and return its answer."""
        current_request.set(statement.id)
        self._router.trace = Trace()
        try:
            answer = await self._dispatch(statement, rules)
        except StatementRefusedError as refused:
            answer = Answer(failure=refused.failure)
        self._log_outcome(statement, answer, rules)
        if answer.position is not None:
            self._last_position = answer.position
        return answer._replace(state=self.state, position=self._last_position)

    async def close(self) -> None:
        """End the session and roll back an open transaction."""
        await self._roll_back()

    def abort_transaction(self) -> None:
        """End an open transaction; the caller learns of it with its next statement."""
        if self._transaction is not None:
            self._transaction.is_aborted = True
            self._drop_connection()

    def _log_outcome(self, statement: Statement, answer: Answer, rules: Rules) -> None:
        failure = answer.failure
        outcome = "ok" if failure is None else failure.reason.value
        if not may_log(log, "relayed", outcome):
            return
        trace, view = self._router.trace, self._context.view
        positions = self._context.positions.positions(trace.group)
        newest = positions.newest
        write_request(
            log,
            "relayed",
            outcome,
            f"gateway: {statement.verb.value} ended as {outcome}"
            + ("" if failure is None else f": {failure.message}"),
            database=self._database,
            account=trace.account,
            group=trace.group,
            servers=trace.servers,
            via=trace.via,
            primary=view.named_primary(trace.group),
            floor=trace.floor,
            declined=trace.declined,
            position_age_ms=None if newest is None else _to_ms(now() - newest.asked_at),
            state_version=view.version,
            lease_left_ms=_to_ms(view.valid_until - now()),
            config_version=rules.version,
            duration_ms=_to_ms(monotonic() - trace.statement_started_at),
        )

    async def _dispatch(self, statement: Statement, rules: Rules) -> Answer:
        if self._transaction_failed:
            return await self._handle_in_failed_transaction(statement)
        verb = statement.verb
        if verb in (Verb.SET, Verb.PREPARE, Verb.DEALLOCATE):
            return self._change_settings(statement)
        if verb is Verb.EXECUTE and statement.name not in self._settings.prepared:
            return self._fail(Reason.UNKNOWN_STATEMENT, "no such prepared statement")
        if self._transaction is not None:
            return await self._handle_in_transaction(statement)
        if verb in (Verb.COMMIT, Verb.ROLLBACK):
            raise refusal(Reason.MALFORMED, "no transaction is open")
        route, account = self._authorize(rules)
        deadline = deadline_in(route.statement_timeout_s)
        await self._admit(account, deadline)
        if verb in (Verb.BEGIN, Verb.BEGIN_READ_ONLY):
            read_only = verb is Verb.BEGIN_READ_ONLY
            self._transaction = _Transaction(route, account, read_only)
            return Answer()
        if self._is_write(statement):
            return await self._write(statement, route, account, deadline)
        return await self._read(statement, route, account, deadline)

    async def _handle_in_failed_transaction(self, statement: Statement) -> Answer:
        if statement.verb is Verb.ROLLBACK:
            await self._roll_back()
            return Answer()
        if statement.verb is Verb.COMMIT:
            await self._roll_back()
            raise refusal(Reason.ABORTED, "the transaction was rolled back")
        raise refusal(Reason.MALFORMED, "the transaction has failed")

    def _authorize(self, rules: Rules) -> tuple[Route, Account]:
        route = rules.routes.get(self._database)
        if route is None:
            raise refusal(Reason.UNKNOWN_DATABASE, "no such database")
        self._router.trace.group = route.group
        name = rules.account_of_key.get(self._key) if self._key else None
        if name is not None:
            self._router.trace.account = name
            return route, rules.accounts[name]
        if route.open_to_all:
            return route, Account(ANONYMOUS_ACCOUNT, None, 0)
        raise refusal(Reason.UNKNOWN_KEY, "unknown key")

    async def _admit(self, account: Account, deadline: float) -> None:
        retry_s = await self._context.admission.acquire(account, deadline)
        if retry_s is not None:
            text = retry_message("the account's rate is used up", retry_s)
            raise refusal(Reason.OVERLOADED, text)

    def _change_settings(self, statement: Statement) -> Answer:
        settings = self._settings
        if statement.verb is Verb.SET:
            if len(settings.variables) >= MAX_VARIABLES:
                return self._fail(Reason.MALFORMED, "too many variables")
            settings.variables[statement.name] = statement.value
        elif statement.verb is Verb.PREPARE:
            if len(settings.prepared) >= MAX_PREPARED_PER_SESSION:
                return self._fail(Reason.MALFORMED, "too many prepared statements")
            prepared = PreparedStatement(statement.value, statement.writes)
            settings.prepared[statement.name] = prepared
        else:
            settings.prepared.pop(statement.name, None)
        return Answer()

    def _fail(self, reason: Reason, message: str) -> Answer:
        """Return a failure; an open transaction fails with the statement."""
        if self._transaction is not None:
            self._drop_connection()
            self._transaction_failed = True
        return Answer(failure=Failure(reason, message))

    def _is_write(self, statement: Statement) -> bool:
        if statement.verb is Verb.EXECUTE:
            return self._settings.prepared[statement.name].writes
        return statement.verb is Verb.WRITE

    # Single statements.

    async def _write(
        self, statement: Statement, route: Route, account: Account, deadline: float
    ) -> Answer:
        urgency = _urgency(route)
        use = Use(self._database, account.name, self._settings, None, "", None, urgency)
        while True:
            pool = await self._router.wait_for_primary(route, deadline)
            connection = await self._router.acquire_connection(
                pool, use, ReadAttempts(None), deadline
            )
            if connection is None:
                continue
            try:
                answer = await connection.run(statement, self._settings, deadline)
            except ConnectionLostError as error:
                connection.discard()
                self._router.mark_suspect(pool)
                if error.sent:
                    message = f"the backend server's answer was lost: {error}"
                    raise refusal(Reason.OUTCOME_UNKNOWN, message) from None
                await self._router.wait_before_retry(
                    deadline, "the connection was lost"
                )
                continue
            connection.release()
            if answer.failure is not None and answer.failure.reason in NOT_RUN:
                await self._router.wait_before_retry(deadline, answer.failure.message)
                continue
            self._record_position(route, answer, connection.asked_at, committed=True)
            return answer

    async def _read(
        self, statement: Statement, route: Route, account: Account, deadline: float
    ) -> Answer:
        attempts = ReadAttempts(self._context.servers.balance, self._database)
        try:
            answer = await self._attempt_read(
                statement, route, account, attempts, deadline
            )
            if not _may_rerun(answer, deadline):
                attempts.finish(judge(answer), served=answer.failure is None)
                return answer
            return await self._rerun_read(
                statement, route, account, attempts, answer, deadline
            )
        finally:
            attempts.finish(Result.UNKNOWN)

    async def _rerun_read(
        self,
        statement: Statement,
        route: Route,
        account: Account,
        attempts: ReadAttempts,
        first_answer: Answer,
        deadline: float,
    ) -> Answer:
        """Run a read that has failed at another server; return the better answer.

        Only an answer of another server shows that the first one was at fault, and not
        the statement.
        """
        first = attempts.set_aside()
        if first is None:
            return first_answer
        try:
            answer = await self._attempt_read(
                statement, route, account, attempts, deadline
            )
        except StatementRefusedError:
            return first_answer
        else:
            if answer.failure is not None:
                return first_answer
            first.finish(Result.FAILED)
            attempts.finish(Result.GOOD, served=True)
            return answer
        finally:
            first.finish(Result.UNKNOWN)

    async def _attempt_read(
        self,
        statement: Statement,
        route: Route,
        account: Account,
        attempts: ReadAttempts,
        deadline: float,
    ) -> Answer:
        """Run a read until a server has run it."""
        started_at = now()
        urgency = _urgency(route)
        excluded = attempts.excluded
        while True:
            pool, bounds, max_wait_s = await self._router.choose_reader(
                route, account, started_at, attempts, self._last_commit, deadline
            )
            use = Use(
                self._database,
                account.name,
                self._settings,
                bounds,
                "",
                statement,
                urgency._replace(max_wait_s=max_wait_s),
            )
            connection = await self._router.acquire_connection(
                pool, use, attempts, deadline
            )
            if connection is None:
                continue
            at_primary = bounds is None
            try:
                answer = await connection.run(
                    statement, self._settings, deadline, connection.floor
                )
            except ConnectionLostError as error:
                connection.discard()
                self._router.mark_suspect(pool)
                excluded.add(pool.server.id)
                attempts.finish(judge_loss(error))
                await self._router.wait_before_retry(
                    deadline, f"the answer was lost: {error}"
                )
                continue
            connection.release()
            failure = answer.failure
            if failure is not None and failure.reason in NOT_RUN:
                excluded.add(pool.server.id)
                if failure.reason is Reason.BEHIND and bounds is not None:
                    attempts.note_behind(bounds.commit is not None)
                else:
                    attempts.finish(judge(answer))
                if at_primary and max_wait_s is None:
                    await self._router.wait_before_retry(deadline, failure.message)
                continue
            if at_primary:
                self._record_position(
                    route, answer, connection.asked_at, committed=False
                )
            return answer

    # Transactions.

    async def _handle_in_transaction(self, statement: Statement) -> Answer:
        transaction = self._transaction
        assert transaction is not None
        verb = statement.verb
        if verb is Verb.ROLLBACK:
            await self._roll_back()
            return Answer()
        if verb in (Verb.BEGIN, Verb.BEGIN_READ_ONLY):
            return self._fail(Reason.MALFORMED, "a transaction is open already")
        deadline = deadline_in(transaction.route.statement_timeout_s)
        self._router.trace.account = transaction.account.name
        self._router.trace.group = transaction.route.group
        if transaction.pool is not None:
            self._router.trace.servers.append(transaction.pool.server.id)
        if transaction.connection is not None:
            self._router.trace.via = transaction.connection.via
        try:
            if transaction.is_aborted:
                raise refusal(Reason.ABORTED, "the transaction was rolled back")
            if transaction.connection is None:
                await self._begin_transaction(transaction, deadline)
            return await self._run_in_transaction(transaction, statement, deadline)
        except StatementRefusedError as refused:
            self._drop_connection()
            if verb is Verb.COMMIT:
                self._transaction = None
            else:
                self._transaction_failed = True
            raise refused

    async def _run_in_transaction(
        self, transaction: _Transaction, statement: Statement, deadline: float
    ) -> Answer:
        connection, pool = transaction.connection, transaction.pool
        assert connection is not None
        assert pool is not None
        reason = self._context.evacuations.reason_to_abort(pool.server)
        if reason is not None:
            raise refusal(Reason.ABORTED, f"rolled back: {reason}")
        if not connection.is_open or not self._may_continue(transaction, pool):
            raise refusal(Reason.ABORTED, "the transaction's connection was lost")
        is_commit = statement.verb is Verb.COMMIT
        writes = self._is_write(statement)
        try:
            answer = await connection.run(statement, self._settings, deadline)
        except ConnectionLostError as error:
            self._router.mark_suspect(pool)
            if is_commit and error.sent and transaction.has_written:
                message = f"the answer to the commit was lost: {error}"
                raise refusal(Reason.OUTCOME_UNKNOWN, message) from None
            # The server rolls back the transaction when its connection ends.
            raise refusal(Reason.ABORTED, f"rolled back: {error}") from None
        transaction.has_written = transaction.has_written or writes
        if not is_commit:
            if answer.state is not TransactionState.OPEN:
                self._transaction_failed = True
            return answer
        self._transaction = None
        if answer.state is TransactionState.IDLE:
            connection.release()
        else:
            connection.discard()
        if answer.failure is None and transaction.at_primary:
            wrote = transaction.has_written
            self._record_position(
                transaction.route, answer, connection.asked_at, committed=wrote
            )
        return answer

    def _may_continue(self, transaction: _Transaction, pool: ServerPool) -> bool:
        if not transaction.at_primary:
            return True
        group = transaction.route.group
        return self._context.view.primary_of(group) == pool.server.id

    async def _begin_transaction(
        self, transaction: _Transaction, deadline: float
    ) -> None:
        """Begin the transaction at a backend server."""
        urgency = _urgency(transaction.route)
        balance = self._context.servers.balance if transaction.read_only else None
        attempts = ReadAttempts(balance, self._database)
        try:
            await self._attempt_begin(transaction, attempts, urgency, deadline)
        finally:
            attempts.finish(Result.UNKNOWN)

    async def _attempt_begin(
        self,
        transaction: _Transaction,
        attempts: ReadAttempts,
        urgency: Urgency,
        deadline: float,
    ) -> None:
        """Try servers until one has begun the transaction."""
        route, account = transaction.route, transaction.account
        excluded = attempts.excluded
        while True:
            bounds: ReadBounds | None = None
            max_wait_s: float | None = None
            if transaction.read_only:
                pool, bounds, max_wait_s = await self._router.choose_reader(
                    route,
                    account,
                    transaction.began_at,
                    attempts,
                    self._last_commit,
                    deadline,
                )
            else:
                pool = await self._router.wait_for_primary(route, deadline)
            kind = "read" if transaction.read_only else "write"
            use = Use(
                self._database,
                account.name,
                self._settings,
                bounds,
                kind,
                None,
                urgency._replace(max_wait_s=max_wait_s),
            )
            connection = await self._router.acquire_connection(
                pool, use, attempts, deadline
            )
            if connection is None:
                continue
            try:
                answer = await connection.begin(
                    self._settings, transaction.read_only, deadline
                )
            except ConnectionLostError as error:
                connection.discard()
                self._router.mark_suspect(pool)
                excluded.add(pool.server.id)
                attempts.finish(judge_loss(error))
                await self._router.wait_before_retry(
                    deadline, f"the connection was lost: {error}"
                )
                continue
            if answer.failure is None:
                attempts.finish(Result.GOOD, served=True)
                transaction.pool = pool
                transaction.connection = connection
                transaction.at_primary = bounds is None
                return
            connection.discard()
            excluded.add(pool.server.id)
            if answer.failure.reason is Reason.BEHIND and bounds is not None:
                attempts.note_behind(bounds.commit is not None)
            else:
                attempts.finish(judge(answer))
            if bounds is None and max_wait_s is None:
                await self._router.wait_before_retry(deadline, answer.failure.message)

    async def _roll_back(self) -> None:
        transaction, self._transaction = self._transaction, None
        self._transaction_failed = False
        if transaction is None or transaction.connection is None:
            return
        connection, transaction.connection = transaction.connection, None
        if not connection.is_open:
            connection.discard()
            return
        try:
            answer = await connection.roll_back(deadline_in(ROLLBACK_TIMEOUT_S))
        except ConnectionLostError:
            connection.discard()
            return
        except BaseException:
            connection.discard()
            raise
        if answer.failure is None and answer.state is TransactionState.IDLE:
            connection.release()
        else:
            connection.discard()

    def _drop_connection(self) -> None:
        transaction = self._transaction
        if transaction is None or transaction.connection is None:
            return
        transaction.connection.discard()
        # ``transaction.connection`` keeps the closed connection; with None, the next
        # statement would begin the transaction again.

    def _record_position(
        self,
        route: Route,
        answer: Answer,
        asked_at: float,
        committed: bool,
    ) -> None:
        """Record the log position that an answer of the primary carries."""
        if answer.position is None or answer.failure is not None:
            return
        if committed:
            self._last_commit = LastCommit(answer.position, now())
        positions = self._context.positions.positions(route.group)
        positions.observe(answer.position, asked_at)
