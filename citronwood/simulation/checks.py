"""The users' rules, each a pure function over what was seen.

A check returns the violations of its rule. The name of a rule is that of the users'
page on rules; the docstring says which sentence it judges.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from citronwood.relay.leadership import LEADER_LEASE_S
from citronwood.simulation.history import (
    PROMISES,
    Disturbance,
    History,
    PromoteCall,
    Violation,
    acknowledged,
)
from citronwood.simulation.network import STORE_HOST

# "Reads, writes and COMMIT are forwarded to a member."
FORWARDED = ("READ", "WRITE", "COMMIT")
# From the users' pages: a machine is in touch if it was undisturbed for so long.
CONTACT_S = 4.0
# "The sender was on a disrupted link in the last ``thaw_slack_ms``."
THAW_SLACK_S = 0.3


class Bounds(NamedTuple):
    """Bounds and settings of the run that the checks need."""

    sync_replicas: dict[str, int]
    drain_s: float
    recovery_s: float
    # Time from which on nothing is disturbed any more, and the end of the run.
    calm_from: float
    ended_at: float
    # Whether only backend servers and their entries were disturbed.
    is_fleet_calm: bool


Check = Callable[[History, Bounds], Iterator[Violation]]


def check_lost(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge LOST: an acknowledged commit is in the log of the promoted server."""
    known = acknowledged(history)
    for promoted in history.promoted:
        if not bounds.sync_replicas.get(promoted.group, 0):
            continue
        for commit in history.commits:
            request = known.get(commit.entry.commit)
            if (
                request is not None
                and commit.group == promoted.group
                and commit.at < promoted.at
                and commit.entry.commit not in promoted.commits
            ):
                text = (
                    f"commit {commit.entry.commit} at {commit.server} was acknowledged "
                    f"at {request.ended_at:.3f}; {promoted.server} lacked it"
                )
                yield Violation("LOST", promoted.at, text)


def check_twice(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge TWICE: a write takes effect once for one attempt of a client."""
    last_commits = {promoted.group: promoted for promoted in history.promoted}
    counts: Counter[str] = Counter()
    for commit in history.commits:
        last = last_commits.get(commit.group)
        is_kept = (
            last is None or commit.at >= last.at or commit.entry.commit in last.commits
        )
        if is_kept:
            counts.update(request_id for request_id, _, _ in commit.entry.writes)
    for request_id, count in counts.items():
        if count > 1:
            yield Violation("TWICE", 0.0, f"{request_id} took effect {count} times")


def check_refused(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge REFUSED: nothing is kept of what the client was promised not to be kept."""
    committed = {
        request_id: commit
        for commit in history.commits
        for request_id, _, _ in commit.entry.writes
    }
    for request in history.requests:
        if request.code not in PROMISES:
            continue
        for request_id in request.writes:
            commit = committed.get(request_id)
            if commit is not None:
                text = (
                    f"{request.id} got {request.result}, {commit.server} committed it"
                )
                yield Violation("REFUSED", request.ended_at, text)


def check_mixed(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge MIXED: a success has the server's signature for it, and its rows."""
    signed = {
        (run.id, f"DONE {run.signature}", run.rows)
        for run in history.runs
        if run.signature is not None
    }
    for request in history.requests:
        verb = request.text.split(" ")[0]
        if (
            request.succeeded
            and verb in FORWARDED
            # The COMMIT of a transaction that ran nothing has no server.
            and (verb != "COMMIT" or request.writes)
            and (request.id, request.result, request.rows) not in signed
        ):
            text = f"{request.id} {request.text}: {request.result} is not signed"
            yield Violation("MIXED", request.ended_at, text)


def check_unasked(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge UNASKED: a server runs only what a client has sent, unchanged."""
    sent = {request.id: request.text for request in history.requests}
    for run in history.runs:
        if sent.get(run.id) != run.text:
            text = f"{run.server} ran {run.id} {run.text[:40]}, which was not sent"
            yield Violation("UNASKED", run.at, text)


def check_stale(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge STALE on primary routes: a read sees all commits acknowledged before.

    Commits that a promotion has rolled back do not count.
    """
    known = acknowledged(history)
    by_item: dict[tuple[str, str], list[tuple[float, str]]] = {}
    for commit in history.commits:
        request = known.get(commit.entry.commit)
        if request is None:
            continue
        rolled_back = any(
            promoted.group == commit.group
            and commit.at < promoted.at
            and commit.entry.commit not in promoted.commits
            for promoted in history.promoted
        )
        if not rolled_back:
            for _, item, _ in commit.entry.writes:
                by_item.setdefault((commit.group, item), []).append(
                    (request.ended_at, commit.entry.commit)
                )
    requests = {request.id: request for request in history.requests}
    for run in history.runs:
        verb, _, item = run.text.partition(" ")
        request = requests.get(run.id)
        if verb != "READ" or request is None or not request.succeeded:
            continue
        for acknowledged_at, commit_id in by_item.get((run.group, item), ()):
            if acknowledged_at < request.sent_at and commit_id not in run.seen:
                text = f"{run.id} at {run.server} lacked {commit_id} of {item}"
                yield Violation("STALE", request.ended_at, text)


def check_fences(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge ONE: fencing tokens do not decrease and are not shared by holders."""
    newest, holder = 0, ""
    for call in history.promote_calls:
        if call.fence < newest or (call.fence == newest and call.holder != holder):
            text = f"{call.holder} promoted with {call.fence} after {holder}, {newest}"
            yield Violation("ONE", call.at, text)
        if call.fence >= newest:
            newest, holder = call.fence, call.holder


def check_turns(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge ONE: holders in touch do not take turns inside a lease.

    They do if a holder promotes, another one does and then the first again. The users
    give no figure for the lease, so it is the one that the leader's lease has.
    """
    last_calls: dict[str, PromoteCall] = {}
    for index, call in enumerate(history.promote_calls):
        earlier = last_calls.get(call.holder)
        last_calls[call.holder] = call
        if earlier is None or call.at >= earlier.at + LEADER_LEASE_S:
            continue
        turns = [
            other
            for other in history.promote_calls[:index]
            if other.holder != call.holder and earlier.at <= other.at
        ]
        in_touch = all(
            _is_in_touch(history, each.host, each.at)
            for each in (earlier, call, *turns[:1])
        )
        if turns and in_touch:
            text = (
                f"{call.holder} promoted at {earlier.at:.3f}, {turns[0].holder} at "
                f"{turns[0].at:.3f}, and {call.holder} again"
            )
            yield Violation("ONE", call.at, text)


def _is_in_touch(history: History, host: str, at: float) -> bool:
    """Whether a machine, its links and the store were undisturbed for some time."""
    return not any(
        disturbance.ended_at >= at - CONTACT_S
        and disturbance.began_at <= at
        and not {host, STORE_HOST}.isdisjoint((disturbance.host, disturbance.peer))
        for disturbance in history.disturbances
    )


def check_old_primary(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge ONE: an old primary commits nothing that a caller is told of.

    Not counted if the VM that sent the request to commit, or its link to the primary,
    was disturbed shortly before it sent it, or from then until the commit.
    """
    known = acknowledged(history)
    for commit in history.commits:
        request = known.get(commit.entry.commit)
        if request is None:
            continue
        newer = [
            promoted
            for promoted in history.promoted
            if promoted.group == commit.group
            and promoted.server != commit.server
            and promoted.term > commit.entry.term
            and promoted.at < commit.at
        ]
        is_held_up = any(
            disturbance.ended_at >= commit.sent_at - THAW_SLACK_S
            and disturbance.began_at <= commit.at
            and _concerns_link(disturbance, commit.sender, commit.host)
            for disturbance in history.disturbances
        )
        if newer and not is_held_up:
            text = (
                f"{commit.entry.commit} was committed at {commit.server} in term "
                f"{commit.entry.term} and acknowledged at {request.ended_at:.3f}; "
                f"{newer[0].server} led term {newer[0].term} from {newer[0].at:.3f}"
            )
            yield Violation("ONE", commit.at, text)


def _concerns_link(disturbance: Disturbance, sender: str, receiver: str) -> bool:
    """Whether a machine that sends, or its link to a receiver, was disturbed."""
    ends = disturbance.host, disturbance.peer
    return ends in ((sender, ""), (sender, receiver), (receiver, sender))


def check_drain(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge DRAIN: no request reaches a server later than the bound after its report.

    Judged only while the VMs and the store are in touch all the time. A report counts
    until a process that does not drain takes the place of the one that does.
    """
    if not bounds.is_fleet_calm:
        return
    for drained in history.drained:
        ends = [
            restarted.at
            for restarted in history.restarted
            if restarted.server == drained.server and restarted.at > drained.at
        ]
        end = min(ends, default=math.inf)
        for run in history.runs:
            is_late = drained.at + bounds.drain_s < run.at < end
            if run.server == drained.server and is_late:
                text = f"{run.id} reached {run.server}, draining since {drained.at:.3f}"
                yield Violation("DRAIN", run.at, text)


def check_recover(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Judge RECOVER: a quarter of the requests is served some time after the end.

    Only requests that need a server count. VMs answer the others themselves, also while
    a group has no primary.
    """
    late = [
        request
        for request in history.requests
        if request.sent_at >= bounds.calm_from + bounds.recovery_s
        and request.text.split(" ")[0] in FORWARDED
    ]
    served = sum(request.succeeded for request in late)
    if not late or served * 4 < len(late):
        text = f"{served} of {len(late)} requests served after the recovery time"
        yield Violation("RECOVER", bounds.ended_at, text)


CHECKS: tuple[Check, ...] = (
    check_lost,
    check_twice,
    check_refused,
    check_mixed,
    check_unasked,
    check_stale,
    check_fences,
    check_turns,
    check_old_primary,
    check_drain,
    check_recover,
)


def find_violations(history: History, bounds: Bounds) -> list[Violation]:
    """Return all violations of all rules."""
    return [violation for check in CHECKS for violation in check(history, bounds)]
