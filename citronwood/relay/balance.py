"""Choice of the server for a read, among all servers of a group that may serve it.

Load pattern: many VMs send reads of uneven demand to a few servers with a few slots
each. Only the owner of a server knows its load; the other VMs know what its last answer
said. A VM sends a read with the longest wait that it accepts, and the owner declines a
read that would wait for longer. Some servers fail a part of their requests while they
are healthy.

All times are of the monotonic clock.
"""

import logging
import math
import random
from collections.abc import Callable, Iterable
from enum import Enum
from time import monotonic
from typing import NamedTuple

from citronwood.decisions import log_state
from citronwood.errors import ConnectionLostError
from citronwood.metrics import Metrics
from citronwood.relay.pool import ServerPool
from citronwood.relay.server_load import INITIAL_MEAN_S, ServerLoad
from citronwood.relay.statement import Answer, Reason, Urgency

log = logging.getLogger(__name__)

# Cost of using another failure domain: a round trip at the default one-way latency of
# 1 ms, and half as much for the bytes, which some operators pay for.
CROSSING_COST_S = 0.003
# A server is asked first with this limit for the wait. A longer wait costs more than
# crossing to another domain. It is below the time of a statement divided by four slots,
# so that a read is declined where all slots are busy.
FIRST_MAX_WAIT_S = 0.003
# A read is declined at most this often, because each time costs a message between VMs.
MAX_DECLINES = 2
# The weight of a load report halves in this time. It is ignored from the maximum age.
REPORT_HALF_LIFE_S = 0.25
MAX_REPORT_AGE_S = 2.0
# After a report, the number of statements at a server returns to its average within
# about the time of a statement; the average is kept for the half-life above. With the
# newest report alone, the model's busiest server had 1.15 times the mean load, and 51 %
# of the reads crossed domains, instead of 1.07 and 35 %.
SNAPSHOT_HALF_LIFE_S = 0.02
# Weight of the newest report in this average.
REPORT_WEIGHT = 0.1
# Cost of a failed read, which is run again. It is below the mean time of a statement,
# because other servers are overloaded when a server that fails some reads is avoided.
FAILURE_COST_S = 0.01
# Time constant of the share of failed answers, and the number of good answers that is
# assumed in addition, so that a single failure does not count as a share of 1.
FAILURE_WINDOW_S = 3.0
ASSUMED_GOOD_ANSWERS = 4.0
# After so many failures in a row, a server is left out for a time, then gets one read.
FAILURES_IN_A_ROW = 3
LEFT_OUT_S = 1.0
# Time until the next such read if the first one was declined or at fault itself.
TRIAL_INTERVAL_S = 0.1
# A replica that was behind is left out for about the time in which commits arrive.
BEHIND_S = 0.1
# A read that has failed runs at another server if at least this much time is left.
MIN_RERUN_S = 0.05


class Result(Enum):
    """What the end of a read says about its server."""

    GOOD = "good"
    FAILED = "failed"
    # Nothing: it was not sent, or may have ended for a reason of the caller.
    UNKNOWN = "unknown"


# With these reasons the server is at fault. With ``FAILED``, the statement may be,
# unless another server runs it. The other reasons are those of malformed statements or
# of servers in another role.
_FAULTS = frozenset({Reason.TIMED_OUT, Reason.OVERLOADED})


def judge(answer: Answer) -> Result:
    """Return what an answer to a read says about its server."""
    if answer.failure is None:
        return Result.GOOD
    return Result.FAILED if answer.failure.reason in _FAULTS else Result.UNKNOWN


def judge_loss(error: ConnectionLostError) -> Result:
    """Return what a lost connection says about the server.

    Before the statement was sent, the session's settings may have been at fault.
    """
    return Result.FAILED if error.sent else Result.UNKNOWN


class Candidate(NamedTuple):
    """Server that may serve a read.

    ``load`` is its present load if this VM knows it, as its owner. A suspect server is
    used after all others.
    """

    server: str
    slots: int
    is_in_own_domain: bool
    is_primary: bool
    is_suspect: bool
    load: ServerLoad | None


class Choice(NamedTuple):
    """Chosen server, and the longest wait to accept there; None accepts any."""

    server: str
    max_wait_s: float | None


def expected_wait_s(
    pool: ServerPool, account: str, urgency: Urgency, arriving: int = 0
) -> float:
    """Return the expected wait for a slot of a server whose owner this VM is.

    ``arriving`` is the number of accepted reads that have not got a connection yet.
    """
    load = pool.server_load
    if load.waiting and load.waiting >= arriving:
        return pool.expected_wait_s(account, urgency)
    return load._replace(waiting=max(load.waiting, arriving)).expected_wait_s


class _Known:
    """What this VM knows about one server."""

    def __init__(self) -> None:
        self.load: ServerLoad | None = None
        self.load_at = -math.inf
        # Moving average of the reported numbers of running and waiting statements.
        self.ahead = 0.0
        # Start times of this VM's reads that have not ended.
        self.sent: list[float] = []
        # Reads that this VM accepts as the owner, until they have a connection.
        self.arriving = 0
        self.answers = 0.0
        self.failures = 0.0
        self.counted_at = 0.0
        self.failed_in_a_row = 0
        self.left_out_until = 0.0
        self.trial_sent_at: float | None = None
        self.behind_until: dict[str, float] = {}

    def decay(self, time: float) -> None:
        """Reduce the weight of older answers."""
        factor = math.exp((self.counted_at - time) / FAILURE_WINDOW_S)
        self.answers *= factor
        self.failures *= factor
        self.counted_at = time

    @property
    def is_failing(self) -> bool:
        """Whether the server has to pass a trial before it is used as others."""
        return self.failed_in_a_row >= FAILURES_IN_A_ROW


class _Report(NamedTuple):
    """Statements at a server per slot, their mean time, and the weight of this.

    The weight is 1 for what is known exactly, and 0 for what is not known. ``newest``
    is the number of statements that the newest report still proves.
    """

    occupancy: float
    newest: float
    mean_s: float
    weight: float


class _Estimate(NamedTuple):
    """Estimated load of a candidate.

    ``weight`` is as in ``_Report``. A slot may be free although a wait is expected,
    because that is a mean.
    """

    candidate: Candidate
    weight: float
    may_be_free: bool
    wait_s: float
    cost_s: float


class ReadBalance:
    """Knowledge of this VM about the servers' loads, and the choice by it.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time.
    """

    def __init__(
        self,
        metrics: Metrics,
        clock: Callable[[], float] = monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._rng = rng or random.Random()
        self._known: dict[str, _Known] = {}

    # Choice.

    def choose(
        self, candidates: Iterable[Candidate], attempts: "ReadAttempts"
    ) -> Choice | None:
        """Return the server for the next attempt; None if only the primary may serve.

        The primary is chosen only while it is expected to have a free slot.
        """
        time = self._clock()
        allowed = [
            candidate
            for candidate in candidates
            if candidate.server not in attempts.excluded
            and not self._is_behind(candidate.server, attempts.database, time)
        ]
        if all(candidate.is_primary for candidate in allowed):
            return None
        estimates = self._estimate(allowed, time)
        declined = attempts.declined
        free = [
            estimate
            for estimate in estimates
            if not estimate.candidate.is_primary or estimate.may_be_free
        ]
        healthy = [one for one in free if not self._is_last(one)] or free
        usable = [one for one in healthy if one.candidate.server not in declined]
        if len(declined) >= MAX_DECLINES or not usable:
            return Choice(self._shortest_wait(estimates, declined), None)
        for estimate in free:
            server = estimate.candidate.server
            if server not in declined and self._is_due_for_trial(server, time):
                return self._with_limit(estimate, healthy, declined)
        best = min(self._draw(usable), key=lambda one: one.cost_s)
        return self._with_limit(best, healthy, declined)

    def _with_limit(
        self,
        chosen: _Estimate,
        alternatives: list[_Estimate],
        declined: dict[str, float],
    ) -> Choice:
        """Add the limit: the wait from which another server would be the better one."""
        server = chosen.candidate.server
        if chosen.candidate.is_primary:
            return Choice(server, 0.0)
        others = [
            declined.get(other.candidate.server, other.wait_s)
            for other in alternatives
            if other.candidate.server != server
            and not (other.candidate.is_primary and other.candidate.server in declined)
        ]
        if not others:
            return Choice(server, None)
        return Choice(server, max(FIRST_MAX_WAIT_S, min(others) + CROSSING_COST_S))

    def _shortest_wait(
        self, estimates: list[_Estimate], declined: dict[str, float]
    ) -> str:
        """Return the replica at which a read waits for the shortest time."""

        def rank(estimate: _Estimate) -> tuple[bool, float]:
            wait_s = declined.get(estimate.candidate.server, estimate.wait_s)
            if not estimate.candidate.is_in_own_domain:
                wait_s += CROSSING_COST_S
            return self._is_last(estimate), wait_s

        replicas = [one for one in estimates if not one.candidate.is_primary]
        return min(replicas, key=rank).candidate.server

    def _draw(self, estimates: list[_Estimate]) -> list[_Estimate]:
        """Leave out all but two of the servers about which nothing is known.

        Otherwise all VMs would choose the same server of those with equal costs.
        """
        unknown = [
            estimate
            for estimate in estimates
            if not estimate.weight and not estimate.candidate.is_in_own_domain
        ]
        if len(unknown) > 2:
            drawn = self._rng.sample(unknown, 2)
            kept = [one for one in estimates if one not in unknown or one in drawn]
        else:
            kept = list(estimates)
        self._rng.shuffle(kept)
        return kept

    def _estimate(self, candidates: list[Candidate], time: float) -> list[_Estimate]:
        reports = [self._report(candidate, time) for candidate in candidates]
        total = sum(report.weight for report in reports)
        # Assumed as far as a report is old: the mean of what is known of the others.
        mean_s = occupancy = 0.0
        for report in reports:
            mean_s += report.mean_s * report.weight / total if total else 0.0
            occupancy += report.occupancy * report.weight / total if total else 0.0
        estimates = []
        for candidate, report in zip(candidates, reports, strict=True):
            slots, weight = max(1, candidate.slots), report.weight
            ahead = (weight * report.occupancy + (1 - weight) * occupancy) * slots
            if candidate.load is None:
                ahead += self._sent_since_report(candidate.server)
            slot_time_s = (report.mean_s or mean_s or INITIAL_MEAN_S) / slots
            if candidate.is_primary:
                # No reads wait there, whatever is known of the replicas. One slot is
                # kept for writes as long as reads need not wait elsewhere.
                ahead = min(ahead, float(slots)) + 1
            wait_s = max(0.0, ahead + 1 - slots) * slot_time_s
            cost_s = wait_s
            if not candidate.is_in_own_domain:
                cost_s += CROSSING_COST_S
            if cost_s:
                # VMs with equally old reports would otherwise choose the same server.
                cost_s += self._rng.random() * (1 - weight) * slot_time_s
            cost_s += self._failure_share(candidate.server, time) * FAILURE_COST_S
            may_be_free = report.newest < slots - 0.5
            estimates.append(_Estimate(candidate, weight, may_be_free, wait_s, cost_s))
        return estimates

    def _report(self, candidate: Candidate, time: float) -> _Report:
        """Return what is known about the load of a server, and its weight."""
        load = candidate.load
        if load is not None:
            newest = load.running + load.waiting
            return _Report(_occupancy(load), newest, load.mean_ms / 1000, 1.0)
        known = self._known.get(candidate.server)
        age_s = math.inf if known is None else time - known.load_at
        if known is None or known.load is None or age_s >= MAX_REPORT_AGE_S:
            return _Report(0.0, 0.0, 0.0, 0.0)
        load, newest_weight = known.load, 0.5 ** (age_s / SNAPSHOT_HALF_LIFE_S)
        newest = load.running + load.waiting
        ahead = known.ahead + (newest - known.ahead) * newest_weight
        weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        return _Report(
            ahead / load.slots, newest * newest_weight, load.mean_ms / 1000, weight
        )

    def _sent_since_report(self, server: str) -> int:
        known = self._known.get(server)
        if known is None:
            return 0
        return sum(sent_at >= known.load_at for sent_at in known.sent)

    def _failure_share(self, server: str, time: float) -> float:
        known = self._known.get(server)
        if known is None or not known.failures:
            return 0.0
        known.decay(time)
        return known.failures / (known.answers + ASSUMED_GOOD_ANSWERS)

    def _is_last(self, estimate: _Estimate) -> bool:
        """Whether a server is used only if there is no other one."""
        known = self._known.get(estimate.candidate.server)
        return estimate.candidate.is_suspect or (known is not None and known.is_failing)

    def _is_due_for_trial(self, server: str, time: float) -> bool:
        known = self._known.get(server)
        return (
            known is not None
            and known.is_failing
            and time >= known.left_out_until
            and known.trial_sent_at is None
        )

    def _is_behind(self, server: str, database: str, time: float) -> bool:
        known = self._known.get(server)
        return known is not None and time < known.behind_until.get(database, 0.0)

    # Knowledge.

    def note_load(self, server: str, load: ServerLoad) -> None:
        """Store the load that the owner of a server has reported."""
        if not _is_valid(load):
            self._metrics.count("reads.malformed_load")
            log_state(
                log,
                "balance",
                "malformed_load",
                f"gateway: ignored the reported load of {server}",
                server=server,
            )
            return
        known = self._get(server)
        time, ahead = self._clock(), load.running + load.waiting
        if time - known.load_at >= MAX_REPORT_AGE_S:
            known.ahead = ahead
        known.ahead += REPORT_WEIGHT * (ahead - known.ahead)
        known.load, known.load_at = load, time

    def note_sent(self, server: str) -> float:
        """Count a read that is sent to a server; return the time."""
        known, time = self._get(server), self._clock()
        known.sent.append(time)
        if self._is_due_for_trial(server, time):
            known.trial_sent_at = time
        return time

    def note_ended(self, server: str, sent_at: float, result: Result) -> None:
        """Count the end of a read."""
        known, time = self._get(server), self._clock()
        known.sent.remove(sent_at)
        if known.trial_sent_at == sent_at:
            known.trial_sent_at = None
            if result is Result.UNKNOWN:
                known.left_out_until = time + TRIAL_INTERVAL_S
        if result is Result.UNKNOWN:
            return
        known.decay(time)
        known.answers += 1
        if result is Result.GOOD:
            if known.is_failing:
                text = f"gateway: {server} has served a read and is used again"
                log_state(log, "balance", "used_again", text, server=server)
            known.failed_in_a_row = 0
            return
        known.failures += 1
        known.failed_in_a_row += 1
        # Reads that were sent before do not prolong the time.
        if known.is_failing and sent_at >= known.left_out_until:
            known.left_out_until = time + LEFT_OUT_S
            self._metrics.count("reads.left_out")
            log_state(
                log,
                "balance",
                "left_out",
                f"gateway: {server} failed {known.failed_in_a_row} reads in a row",
                server=server,
                failed_share=round(self._failure_share(server, time), 3),
            )

    def note_behind(self, server: str, database: str) -> None:
        """Leave out a replica for a database's reads until it may have caught up."""
        known = self._get(server)
        known.behind_until[database] = self._clock() + BEHIND_S

    def note_served(self, candidate: Candidate) -> None:
        """Count a read that a server has served."""
        if candidate.is_primary:
            self._metrics.count("reads.at_primary")
        if not candidate.is_in_own_domain:
            self._metrics.count("reads.in_other_domain")

    def forget(self, servers: Iterable[str]) -> None:
        """Drop what is known about servers that have left or were replaced."""
        for server in servers:
            known = self._known.get(server)
            if known is not None and not known.sent and not known.arriving:
                del self._known[server]

    # Decision of the owner.

    def present_load(self, pool: ServerPool) -> ServerLoad:
        """Return the load of a server whose owner this VM is."""
        load = pool.server_load
        arriving = self._get(pool.server.id).arriving
        return load._replace(waiting=max(load.waiting, arriving))

    def accepts(self, pool: ServerPool, account: str, urgency: Urgency) -> float | None:
        """Return None if a read may run here, else its expected wait."""
        limit_s = urgency.max_wait_s
        if limit_s is None:
            return None
        server = pool.server.id
        wait_s = expected_wait_s(pool, account, urgency, self._get(server).arriving)
        if wait_s <= limit_s:
            return None
        reason = "wait" if limit_s else "no_free_slot"
        self._metrics.count(f"reads.declined.{reason}")
        log_state(
            log,
            "balance",
            "declined",
            f"gateway: declined a read at {server}",
            server=server,
            reason=reason,
            expected_wait_ms=round(wait_s * 1000, 1),
            max_wait_ms=round(limit_s * 1000, 1),
        )
        return wait_s

    def begin_arrival(self, server: str) -> None:
        """Count an accepted read until it has a connection, which takes a while."""
        self._get(server).arriving += 1

    def end_arrival(self, server: str) -> None:
        """Count the end of the wait for a connection."""
        self._get(server).arriving -= 1

    def _get(self, server: str) -> _Known:
        known = self._known.get(server)
        if known is None:
            known = self._known[server] = _Known()
        return known


class ReadAttempts:
    """Attempts to run one read or to begin one transaction.

    Servers in ``excluded`` are not tried again; those in ``declined`` (with the
    expected wait) only without a limit. Without ``balance``, nothing is counted.
    """

    def __init__(self, balance: ReadBalance | None, database: str = "") -> None:
        self.excluded: set[str] = set()
        self.declined: dict[str, float] = {}
        # Server at which the read has run and failed.
        self.failed_at = ""
        self.database = database
        self._balance = balance
        self._running: tuple[Candidate, float] | None = None

    def start(self, candidate: Candidate) -> None:
        """Count an attempt at a server."""
        self.finish(Result.UNKNOWN)
        if self._balance is not None:
            sent_at = self._balance.note_sent(candidate.server)
            self._running = candidate, sent_at

    def set_aside(self) -> "ReadAttempts | None":
        """Return the running attempt, whose server has failed, to end it later.

        The server is not tried again; servers that have declined may be asked again.
        """
        if self._running is None:
            return None
        first = ReadAttempts(self._balance, self.database)
        first._running, self._running = self._running, None
        self.failed_at = first._running[0].server
        self.excluded.add(self.failed_at)
        self.declined.clear()
        return first

    def finish(self, result: Result, served: bool = False) -> None:
        """Count the end of the attempt, if one runs."""
        running, self._running = self._running, None
        if running is None or self._balance is None:
            return
        candidate, sent_at = running
        self._balance.note_ended(candidate.server, sent_at, result)
        if served:
            self._balance.note_served(candidate)

    def note_declined(self, server: str, wait_s: float) -> None:
        """Record that a server would serve the read only after a wait."""
        self.declined[server] = wait_s
        self.finish(Result.UNKNOWN)

    def note_behind(self, has_own_commit: bool) -> None:
        """Record that the replica of the attempt was behind.

        That it lacks the session's last commit says nothing about other sessions.
        """
        if self._running is not None and self._balance is not None:
            if not has_own_commit:
                self._balance.note_behind(self._running[0].server, self.database)
            self.finish(Result.UNKNOWN)


def _occupancy(load: ServerLoad) -> float:
    return (load.running + load.waiting) / max(1, load.slots)


def _is_valid(load: ServerLoad) -> bool:
    return (
        load.slots > 0
        and load.running >= 0
        and load.waiting >= 0
        and math.isfinite(load.mean_ms)
        and load.mean_ms > 0
    )
