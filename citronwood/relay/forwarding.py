"""Statements that this VM forwards to the owners of the backend servers.

A read is forwarded whole. For a write, a connection of the owner is leased first, and a
transaction is begun with the lease; nothing has taken effect until the owner has
answered. So when it does not answer, another VM or this one can take its place, and
only what was sent on a leased connection has an unknown outcome.
"""

import asyncio
import logging
from collections.abc import Callable
from itertools import count
from time import monotonic

from citronwood.deadline import deadline_in, has_passed
from citronwood.decisions import current_request, log_state
from citronwood.errors import (
    BackendUnavailableError,
    CallFailedError,
    ConnectionLostError,
    DeadlineExceededError,
    MessageError,
    NoPositionError,
    OverloadedError,
    PeerSilentError,
    PeerUnavailableError,
    ReadDeclinedError,
    ServerFullError,
)
from citronwood.inner.rpc import Rpc
from citronwood.relay.clock import now
from citronwood.relay.connection import SessionSettings
from citronwood.relay.leases import (
    LeaseOutcome,
    decode_answer,
    encode_statement,
)
from citronwood.relay.messages import (
    AskPosition,
    EndLease,
    ForwardedAnswer,
    OpenLease,
    PositionAnswer,
    RunInLease,
)
from citronwood.relay.model import BackendServer, Position, Rules
from citronwood.relay.owners import Owners, PeerHealth
from citronwood.relay.positions import Observation
from citronwood.relay.routing import Use
from citronwood.relay.server_load import ServerLoad
from citronwood.relay.statement import Answer, Statement, TransactionState

log = logging.getLogger(__name__)

# Time without a sign of life before a peer is asked for one, and again before it counts
# as silent. Longer than a VM whose processor time is rationed is held up in one period.
SILENCE_S = 0.15
POSITION_TIMEOUT_S = 0.4
# The answer of an owner that used the whole time of a request may arrive this late.
ANSWER_MARGIN_S = 0.03


class ForwardedConnection:
    """Connection that another VM holds; implements ``LeasedConnection``."""

    def __init__(
        self, forwarding: "Forwarding", url: str, lease: int, asked_at: float
    ) -> None:
        self.asked_at = asked_at
        # The owner bounds the age of reads itself.
        self.floor: Position | None = None
        self.via = url
        self._forwarding = forwarding
        self._url = url
        self._lease = lease
        self._is_held = False
        self._is_single_write = False
        self._first_answer: Answer | ConnectionLostError | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        return self._is_held

    @property
    def lease(self) -> int:
        """Number of the lease."""
        return self._lease

    def note_opened(self, use: Use, answer: ForwardedAnswer) -> None:
        """Apply the answer of the owner, which has run or begun what was asked."""
        if answer.outcome == LeaseOutcome.LOST:
            self._first_answer = ConnectionLostError(answer.detail, sent=False)
        elif answer.outcome == LeaseOutcome.LOST_AFTER_SENDING:
            self._first_answer = ConnectionLostError(answer.detail, sent=True)
        elif use.statement is not None:
            self._first_answer = decode_answer(answer)
        elif use.begin:
            self._first_answer = decode_answer(answer)
            self._is_held = self._first_answer.failure is None
        else:
            self._is_held = self._is_single_write = True

    async def run(
        self,
        statement: Statement,
        settings: SessionSettings,
        deadline: float,
        after: Position | None = None,
    ) -> Answer:
        """Run a statement; a single read has run already."""
        if self._first_answer is not None:
            return self._take_first_answer()
        message = RunInLease(
            self._lease,
            settings.variables,
            encode_statement(statement, settings),
            final=self._is_single_write,
        )
        return await self._call(message, deadline)

    async def begin(
        self, settings: SessionSettings, read_only: bool, deadline: float
    ) -> Answer:
        """Return the answer to the begin, which was sent with the request."""
        return self._take_first_answer()

    async def roll_back(self, deadline: float) -> Answer:
        """Roll back the transaction."""
        return await self._call(RunInLease(self._lease, {}, None, True), deadline)

    def release(self) -> None:
        """End the use; the owner has the connection back unless it is still held."""
        self.discard()

    def discard(self) -> None:
        """Have the owner close the connection if it is still held."""
        if self._is_held:
            self._is_held = False
            self._forwarding.end_lease(self._url, self._lease)

    def _take_first_answer(self) -> Answer:
        answer, self._first_answer = self._first_answer, None
        assert answer is not None
        if isinstance(answer, ConnectionLostError):
            raise answer
        return answer

    async def _call(self, message: RunInLease, deadline: float) -> Answer:
        if not self._is_held:
            raise ConnectionLostError("the connection is closed", sent=False)
        self.asked_at = now()
        try:
            answer = await self._forwarding.run(self._url, message, deadline)
            decoded = decode_answer(answer)
        except MessageError as error:
            self.discard()
            raise ConnectionLostError(f"malformed: {error}", sent=True) from None
        except BaseException:
            self.discard()
            raise
        if message.final or decoded.state is TransactionState.IDLE:
            # The owner has given the connection back.
            self._is_held = False
        return decoded


class Forwarding:
    """Forwards statements to the owners of their servers.

    Parameters
    ----------
    name : str
        Name of this VM.
    is_useful : callable
        Returns whether a server's connections are too few for all VMs.
    note_load : callable
        Called with a server and its load, as its owner has reported it.
    """

    def __init__(
        self,
        name: str,
        owners: Owners,
        rules: Callable[[], Rules | None],
        is_useful: Callable[[str], bool],
        note_load: Callable[[str, ServerLoad], None] | None = None,
    ) -> None:
        self._name = name
        self._owners = owners
        self._rules = rules
        self._is_useful = is_useful
        self._note_load = note_load
        self._health = PeerHealth()
        self._rpc: Rpc | None = None
        self._leases = count(1)

    def start(self, rpc: Rpc) -> None:
        """Start to make calls to other VMs."""
        self._rpc = rpc

    async def open(
        self, server: BackendServer, use: Use, deadline: float
    ) -> ForwardedConnection | None:
        """Return a connection of another VM; None to use one of this VM."""
        refused: Exception | None = None
        for url in self._urls(server):
            connection = ForwardedConnection(self, url, next(self._leases), now())
            try:
                answer = await self._open_at(url, connection, server, use, deadline)
            except OverloadedError as error:
                refused = error
                continue
            if answer is not None:
                try:
                    connection.note_opened(use, answer)
                except MessageError as error:
                    text = f"gateway: malformed answer of {url}: {error}"
                    log_state(log, "forward", "malformed", text)
                    self.end_lease(url, connection.lease)
                    continue
                return connection
            if has_passed(deadline):
                raise TimeoutError("the owner of the server gave no answer in time")
        if refused is not None:
            raise refused
        return None

    def _urls(self, server: BackendServer) -> list[str]:
        """Return the VMs to ask, best first, up to this VM."""
        if self._rpc is None or not self._is_useful(server.group):
            return []
        urls: list[str] = []
        for peer in self._owners.candidates(server):
            if peer.name == self._name:
                break
            heard_at = self._rpc.last_answered_at(peer.url)
            if self._health.update_silence(peer.url, heard_at):
                self._rpc.ping(peer.url)
            if self._health.may_ask(peer.url, server.id):
                urls.append(peer.url)
        return urls

    async def _open_at(
        self,
        url: str,
        connection: ForwardedConnection,
        server: BackendServer,
        use: Use,
        deadline: float,
    ) -> ForwardedAnswer | None:
        """Ask one VM; None if it cannot serve the request."""
        assert self._rpc is not None
        rules = self._rules()
        bounds, statement, urgency = use.bounds, use.statement, use.urgency
        max_wait_s = urgency.max_wait_s
        commit = None if bounds is None else bounds.commit
        max_age_ms = None
        if bounds is not None:
            # Rounded down; the owner counts from the arrival of the message.
            max_age_ms = int((now() - bounds.oldest) * 1000)
        message = OpenLease(
            lease=connection.lease,
            database=use.database,
            account=use.account,
            group=server.group,
            server=server.id,
            rules_version=0 if rules is None else rules.version,
            max_age_ms=max_age_ms,
            after=commit,
            variables=use.settings.variables,
            begin=use.begin,
            statement=None
            if statement is None
            else encode_statement(statement, use.settings),
            priority=urgency.priority,
            target_ms=int((urgency.target_at - monotonic()) * 1000),
            max_wait_ms=None if max_wait_s is None else int(max_wait_s * 1000),
            request=current_request.get(),
        )
        try:
            answer = await self._rpc.call(
                url,
                message,
                ForwardedAnswer,
                deadline,
                answer_deadline=deadline + ANSWER_MARGIN_S,
                silence_s=SILENCE_S,
            )
        except (PeerUnavailableError, PeerSilentError) as error:
            log_state(log, "forward", "silent", f"gateway: {url} is silent: {error}")
            self._health.note_silent(url)
            self.end_lease(url, message.lease)
            return None
        except MessageError as error:
            # Too long for a message between VMs; this VM can send it to the server.
            log_state(log, "forward", "too_long", f"gateway: not forwarded: {error}")
            return None
        except (DeadlineExceededError, CallFailedError) as error:
            log_state(log, "forward", "failed", f"gateway: no answer of {url}: {error}")
            self.end_lease(url, message.lease)
            return None
        except asyncio.CancelledError:
            self.end_lease(url, message.lease)
            raise
        return self._evaluate(url, server, answer)

    def _evaluate(
        self, url: str, server: BackendServer, answer: ForwardedAnswer
    ) -> ForwardedAnswer | None:
        """Return the answer, None if another VM may serve the request, or raise."""
        self._health.note_answered()
        outcome = answer.outcome
        if answer.load is not None and self._note_load is not None:
            self._note_load(server.id, answer.load)
        if outcome == LeaseOutcome.DECLINED:
            raise ReadDeclinedError(answer.excess_ms / 1000)
        if outcome == LeaseOutcome.OVERLOADED:
            raise OverloadedError(answer.excess_ms / 1000)
        if outcome == LeaseOutcome.NO_POSITION:
            raise NoPositionError(answer.detail)
        if outcome == LeaseOutcome.FULL:
            raise ServerFullError(answer.detail)
        if outcome == LeaseOutcome.LEAVING:
            self._health.note_leaving(url)
            return None
        if outcome == LeaseOutcome.UNUSABLE and answer.evacuated:
            # Also a connection of this VM, which does not know it yet, may not be used.
            raise BackendUnavailableError(answer.detail)
        if outcome == LeaseOutcome.UNUSABLE:
            self._health.note_refused(url, server.id)
            return None
        return answer

    async def run(
        self, url: str, message: RunInLease, deadline: float
    ) -> ForwardedAnswer:
        """Run a statement in a lease; raises ``ConnectionLostError``."""
        assert self._rpc is not None
        try:
            answer = await self._rpc.call(
                url,
                message,
                ForwardedAnswer,
                deadline,
                answer_deadline=deadline + ANSWER_MARGIN_S,
            )
        except (PeerUnavailableError, MessageError) as error:
            raise ConnectionLostError(str(error), sent=False) from None
        except (DeadlineExceededError, CallFailedError) as error:
            raise ConnectionLostError(str(error), sent=True) from None
        if answer.outcome == LeaseOutcome.ANSWERED:
            return answer
        sent = answer.outcome != LeaseOutcome.LOST
        raise ConnectionLostError(answer.detail, sent=sent)

    def end_lease(self, url: str, lease: int) -> None:
        """Tell a VM that a lease is not used any more."""
        if self._rpc is not None:
            self._rpc.notify(url, EndLease(lease))

    async def ask_position(self, server: BackendServer) -> Observation | None:
        """Return a position of a primary from its owner; None if it gives none."""
        for url in self._urls(server):
            assert self._rpc is not None
            asked_at = now()
            try:
                answer = await self._rpc.call(
                    url,
                    AskPosition(server.group),
                    PositionAnswer,
                    deadline_in(POSITION_TIMEOUT_S),
                    silence_s=SILENCE_S,
                )
            except (PeerUnavailableError, PeerSilentError):
                self._health.note_silent(url)
                continue
            except (DeadlineExceededError, CallFailedError):
                continue
            if answer.position is not None:
                term, number, age_ms = answer.position
                return Observation(asked_at - age_ms / 1000, Position(term, number))
        return None
