"""Session of a client: login, checks before each statement, and dispatch."""

import logging

from mysql_mimic.errors import MysqlError

from citronwood.backend.api import StatementKind
from citronwood.decisions import current_request, log_request
from citronwood.errors import ErrorCode
from citronwood.mysql.access import Access
from citronwood.mysql.codes import MysqlCode
from citronwood.mysql.handler import StatementResult
from citronwood.mysql.local import hex_encode_binary_strings, may_contain_binary
from citronwood.mysql.local_statements import IDEMPOTENCY_KEY, REQUEST_ID, LocalAnswers
from citronwood.mysql.requests import EntryServices, GroupRequests
from citronwood.mysql.state import LastError, SessionState
from citronwood.mysql.statement import Statement, classify

log = logging.getLogger(__name__)

# A transaction is rolled back after this idle time, because it holds locks and one of
# the few connections to the primary.
TRANSACTION_IDLE_TIMEOUT_S = 60.0

__all__ = ["CallerSession", "EntryServices"]


class CallerSession:
    """Handler of one client's connection."""

    __slots__ = (
        "_answers",
        "_closing",
        "_peer",
        "_requests",
        "_services",
        "_state",
        "access",
    )

    def __init__(self, services: EntryServices) -> None:
        self.access = Access(services.config)
        self._services = services
        self._peer = ""
        self._closing = False
        self._answers = LocalAnswers(self)
        self._reset_state()

    def _reset_state(self) -> None:
        self._state = SessionState()
        self._requests = GroupRequests(self._services, self)

    @property
    def requests(self) -> GroupRequests:
        """Requests to the database group."""
        return self._requests

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open, or has failed and awaits its ROLLBACK."""
        return self._requests.in_transaction or self._requests.failed

    @property
    def autocommit(self) -> bool:
        """Whether statements outside a transaction commit on their own."""
        return self._state.autocommit

    @property
    def closing(self) -> bool:
        """Whether the connection must be closed after the current response."""
        return self._closing

    @property
    def state(self) -> SessionState:
        """Variables of the session."""
        return self._state

    def connected(self, connection_id: int, peer: str) -> None:
        """Store the connection id and the client's address."""
        self._peer = peer
        self._answers.connection_id = connection_id

    async def find_key_digests(self, username: str) -> list[str] | None:
        """Return the digests of the account's keys, None if it has none."""
        return self.access.find_key_digests(username)

    def allows_anonymous(self, username: str, database: str | None) -> bool:
        """Whether the database names an open route."""
        return self.access.allows_anonymous(database)

    def on_key_accepted(self, username: str, digest: str | None) -> None:
        """Store the account and its key."""
        self.access.log_in(username, digest)

    async def login_failed(self, username: str) -> None:
        """Count a wrong key and wait before the error is sent."""
        self._services.metrics.count("entry.login_failed")
        await self._services.login_backoff.delay(self._peer, username)

    def check_login(self, username: str, database: str | None) -> None:
        """Raise ``MysqlError`` if the VM is cut off or the route may not be used."""
        access_refusal = self.access.isolation_refusal()
        if access_refusal is not None:
            raise self.refusal(access_refusal.code, access_refusal.message)
        if database:
            self.access.check_route(database)

    async def open(self, username: str, database: str | None) -> None:
        """Select the route that the login names as the database, if any."""
        if database:
            self.access.select(database)

    async def use(self, database: str) -> None:
        """Select the route of the following statements."""
        if self.in_transaction and database != self.access.route:
            raise MysqlError(
                "The route cannot be changed in a transaction; end it first",
                MysqlCode.NOT_IN_TRANSACTION,
            )
        self.access.select(database)

    def expire_transaction(self, idle_s: float) -> bool:
        """Fail the transaction of a client that is idle or has lost access.

        The client's statements are refused until it sends ROLLBACK.
        """
        requests = self._requests
        if not requests.in_transaction:
            return False
        if idle_s < TRANSACTION_IDLE_TIMEOUT_S and requests.has_access():
            return False
        requests.fail_transaction()
        return True

    async def release_transaction(self) -> None:
        """Roll back the transaction that has expired."""
        await self._requests.end()

    async def reset(self) -> None:
        """Roll back the transaction and discard variables and positions."""
        await self._requests.end()
        self._reset_state()

    async def close(self) -> None:
        """Roll back the transaction and release its backend connection."""
        await self._requests.end()

    async def run(self, sql: str, attributes: dict[str, str]) -> StatementResult:
        """Run one statement with its query attributes."""
        if REQUEST_ID in attributes:
            self._requests.set_request_id(attributes[REQUEST_ID])
        self._requests.begin_request()
        try:
            result = await self._run(sql, attributes)
        except MysqlError as error:
            self._state.last_error = LastError(error.code, error.msg)
            raise
        return result

    async def _run(self, sql: str, attributes: dict[str, str]) -> StatementResult:
        if may_contain_binary(sql):
            sql = _with_hexadecimal_literals(sql)
        statement = classify(sql)
        if statement.kind is StatementKind.ROLLBACK:
            return await self._requests.rollback(sql)
        if self.access.refusal() is not None:
            await self.check_access()
        self._check_statement(statement)
        if IDEMPOTENCY_KEY in attributes:
            self._requests.set_idempotency_key(attributes[IDEMPOTENCY_KEY])
        answer = await self._answers.answer(sql, statement)
        if answer is not None:
            return answer
        self._state.last_error = None
        if statement.kind is StatementKind.BEGIN:
            return await self._requests.begin(sql)
        if statement.kind is StatementKind.COMMIT:
            return await self._requests.commit(sql)
        if statement.uses_session or statement.words[0] == "SHOW":
            sql = self._answers.substitute(sql, statement)
        if not self._requests.in_transaction and not self._state.autocommit:
            await self._requests.begin("BEGIN")
        return await self._requests.forward(sql, statement.kind)

    def _check_statement(self, statement: Statement) -> None:
        if self._requests.failed:
            raise self.refusal(
                ErrorCode.TRANSACTION_FAILED,
                "The transaction has failed and this statement did not run; send"
                " ROLLBACK",
            )
        if statement.refusal is not None:
            raise MysqlError(statement.refusal, MysqlCode.NOT_SUPPORTED)
        if not statement.words:
            raise MysqlError("Query was empty", MysqlCode.EMPTY_QUERY)

    async def check_access(self) -> None:
        """Raise ``MysqlError`` if the client may no longer run requests."""
        access_refusal = self.access.refusal()
        if access_refusal is None:
            return
        if access_refusal.code == ErrorCode.KEY_WITHDRAWN:
            await self._requests.end()
            self._reset_state()
            self._closing = True
        elif access_refusal.code == ErrorCode.VM_ISOLATED:
            self._closing = not self.in_transaction
        raise self.refusal(access_refusal.code, access_refusal.message)

    def refusal(self, code: int, message: str, logged: bool = False) -> MysqlError:
        """Record a refusal and return the error for the client.

        ``logged`` is True if the component that refused has already logged it.
        """
        self._services.metrics.count(f"entry.refused.{int(code)}")
        request_id = current_request.get()
        if not logged:
            config = self._services.config
            log_request(
                log,
                "refusal",
                "refused",
                f"entry: {message}",
                account=self.access.account,
                route=self.access.route,
                code=int(code),
                config_version=config.current.version,
                config_age_ms=config.validation_age_ms,
            )
        # The limiter records its own refusals, with rate and burst.
        if code != ErrorCode.RATE_LIMITED:
            self._services.records.add(
                "refusal", account=self.access.account, code=int(code), message=message
            )
        return MysqlError(
            f"{message} (request {request_id})" if request_id else message, code
        )


def _with_hexadecimal_literals(sql: str) -> str:
    converted = hex_encode_binary_strings(sql)
    if converted is None:
        raise MysqlError("The statement is not valid utf8mb4", MysqlCode.INVALID_TEXT)
    return converted
