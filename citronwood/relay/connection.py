"""Connections to backend servers with the session settings applied to them."""

import hashlib
from collections.abc import Awaitable
from time import monotonic
from typing import TYPE_CHECKING, Protocol

from citronwood.errors import ConnectionLostError
from citronwood.relay.clock import now
from citronwood.relay.model import Position
from citronwood.relay.statement import (
    NOT_RUN,
    RUN_AND_FAILED,
    Answer,
    Reason,
    ServerConnection,
    Statement,
    TransactionState,
    Verb,
)

if TYPE_CHECKING:
    from citronwood.relay.admission import Permit
    from citronwood.relay.pool import ServerPool

# A connection that holds this many prepared statements is closed instead of reused.
MAX_PREPARED_PER_CONNECTION = 200


class PreparedStatement:
    """Statement that a session has prepared."""

    def __init__(self, shape: str, writes: bool) -> None:
        self.shape = shape
        self.writes = writes
        digest = hashlib.blake2b(f"{writes} {shape}".encode(), digest_size=8)
        # Sessions that prepare the same statement share its name on a connection.
        self.name = f"c{digest.hexdigest()}"


class SessionSettings:
    """Variables and prepared statements of a caller's session."""

    def __init__(self) -> None:
        self.variables: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}


class LeasedConnection(Protocol):
    """Connection to a backend server while a session uses it.

    All statements raise ``ConnectionLostError`` when no complete answer arrives before
    the deadline (monotonic seconds). ``asked_at`` is a time (of ``relay.clock``) before
    the last statement was sent to the server, and ``floor`` the position that the log
    of a replica has to hold for the session's reads; None at the primary. ``via`` is
    the address of the VM that holds the connection, empty for this one.
    """

    asked_at: float
    floor: Position | None
    via: str

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        ...

    async def run(
        self,
        statement: Statement,
        settings: SessionSettings,
        deadline: float,
        after: Position | None = None,
    ) -> Answer:
        """Run a statement with the session's variables set."""
        ...

    async def begin(
        self, settings: SessionSettings, read_only: bool, deadline: float
    ) -> Answer:
        """Begin a transaction with the session's variables set."""
        ...

    async def roll_back(self, deadline: float) -> Answer:
        """Roll back the transaction."""
        ...

    def release(self) -> None:
        """Give back the connection, which is lost or has no open transaction."""
        ...

    def discard(self) -> None:
        """Close the connection, which is lost or may have an open transaction."""
        ...


class PooledConnection:
    """Connection to a backend server and the session settings applied to it.

    Implements ``LeasedConnection``.
    """

    def __init__(self, raw: ServerConnection, account: str, pool: "ServerPool") -> None:
        self.raw = raw
        self.account = account
        self.asked_at = now()
        self.floor: Position | None = None
        self.via = ""
        self.in_transaction = False
        # Right to run a single statement, where statements need one.
        self.permit: Permit | None = None
        # Set when the connection was closed while in use.
        self.is_aborted = False
        self.opened_at = self.used_at = monotonic()
        self._pool = pool
        self._variables: dict[str, str] = {}
        self._prepared: set[str] = set()

    @property
    def server(self) -> str:
        """Id of the backend server."""
        return self._pool.server.id

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        return self.raw.is_open

    @property
    def is_reusable(self) -> bool:
        """Whether another session may use the connection."""
        return self.raw.is_open and len(self._prepared) < MAX_PREPARED_PER_CONNECTION

    def matches(self, settings: SessionSettings) -> bool:
        """Whether the session's variables are already set on the connection."""
        return self._variables == settings.variables

    async def run(
        self,
        statement: Statement,
        settings: SessionSettings,
        deadline: float,
        after: Position | None = None,
    ) -> Answer:
        """Run a statement with the session's variables set."""
        if self.in_transaction:
            self._pool.warm_up.take()
        permit = self.permit or await self._pool.admit_started(self, deadline)
        try:
            answer = await self._pool.measure(
                self._run(statement, settings, deadline, after), permit
            )
        finally:
            if permit is not None and permit is not self.permit:
                permit.release()
        if self.is_aborted:
            # An answer that was received at that moment must not be passed on: the
            # commits of this VM have been named to the leader without it.
            raise ConnectionLostError("the connection was closed", sent=True)
        if self._pool.on_commit is not None and _has_committed(
            statement, settings, answer
        ):
            self._pool.on_commit(self._pool.server.group, answer.position)
        return answer

    async def _run(
        self,
        statement: Statement,
        settings: SessionSettings,
        deadline: float,
        after: Position | None,
    ) -> Answer:
        self.asked_at = now()
        failed_answer = await self._run_setup(self._apply_variables(settings, deadline))
        if failed_answer is not None:
            return failed_answer
        if statement.verb is not Verb.EXECUTE:
            return await self.raw.run(statement.id, statement.text, deadline, after)
        prepared = settings.prepared[statement.name]
        for _ in range(2):
            failed_answer = await self._run_setup(self._prepare(prepared, deadline))
            if failed_answer is not None:
                return failed_answer
            answer = await self.raw.execute(
                statement.id, prepared.name, statement.value, deadline, after
            )
            failure = answer.failure
            if failure is None or failure.reason is not Reason.UNKNOWN_STATEMENT:
                break
            # The server does not know the statement any more; prepare it again once.
            self._prepared.discard(prepared.name)
            if answer.state is TransactionState.FAILED:
                break
        return answer

    async def begin(
        self,
        settings: SessionSettings,
        read_only: bool,
        deadline: float,
    ) -> Answer:
        """Begin a transaction with the session's variables set."""
        self.asked_at = now()
        failed_answer = await self._run_setup(self._apply_variables(settings, deadline))
        if failed_answer is not None:
            return failed_answer
        return await self.raw.begin(read_only, deadline, self.floor)

    async def roll_back(self, deadline: float) -> Answer:
        """Roll back the transaction."""
        return await self.raw.rollback(deadline)

    def return_permit(self) -> None:
        """Let another statement run until this connection is used again."""
        if self.permit is not None:
            self.permit.release()
            self.permit = None

    def release(self) -> None:
        """Give the connection back to its pool."""
        self._pool.release(self)

    def discard(self) -> None:
        """Close the connection and tell its pool."""
        self._pool.discard(self)

    async def _run_setup(self, step: Awaitable[Answer | None]) -> Answer | None:
        """Await a step before the statement and return its answer if it failed.

        If the connection is lost meanwhile, the statement itself was not sent. After a
        failure of a step that the server may have run, the variables are unknown. The
        connection is closed then, and counts as lost if another attempt may succeed.
        """
        try:
            answer = await step
        except ConnectionLostError as error:
            raise ConnectionLostError(str(error), sent=False) from error
        if answer is None or answer.failure is None:
            return None
        if answer.failure.reason in NOT_RUN:
            return answer
        self.raw.abort()
        if answer.failure.reason not in RUN_AND_FAILED:
            return answer
        text = f"the session's settings are unknown: {answer.failure.message}"
        raise ConnectionLostError(text, sent=False)

    async def _apply_variables(
        self, settings: SessionSettings, deadline: float
    ) -> Answer | None:
        target = settings.variables
        if self._variables == target:
            return None
        if self._variables.keys() - target.keys():
            answer = await self.raw.reset(deadline)
            if answer.failure is not None:
                return answer
            self._variables.clear()
            self._prepared.clear()
        for name, value in target.items():
            if self._variables.get(name) != value:
                answer = await self.raw.set_variable(name, value, deadline)
                if answer.failure is not None:
                    return answer
                self._variables[name] = value
        return None

    async def _prepare(
        self, prepared: PreparedStatement, deadline: float
    ) -> Answer | None:
        if prepared.name in self._prepared:
            return None
        answer = await self.raw.prepare(
            prepared.name, prepared.writes, prepared.shape, deadline
        )
        if answer.failure is not None:
            return answer
        self._prepared.add(prepared.name)
        return None


def _has_committed(
    statement: Statement, settings: SessionSettings, answer: Answer
) -> bool:
    """Whether the answer acknowledges a commit, of a transaction or a single write."""
    if answer.failure is not None or answer.state is not TransactionState.IDLE:
        return False
    if statement.verb is Verb.EXECUTE:
        return settings.prepared[statement.name].writes
    return statement.verb in (Verb.WRITE, Verb.COMMIT)
