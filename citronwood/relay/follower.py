"""Keeps the feeds of a VM up to date, from the store or from another VM."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from citronwood.deadline import deadline_in, timeout_at
from citronwood.decisions import log_state
from citronwood.errors import (
    CallFailedError,
    DeadlineExceededError,
    MessageError,
    PeerUnavailableError,
    PlatformError,
)
from citronwood.inner.rpc import Caller, Rpc
from citronwood.platform.api import ObjectStore
from citronwood.relay.clock import now
from citronwood.relay.evacuations import StoreContact
from citronwood.relay.feeds import Feed
from citronwood.relay.messages import AskFeed, FeedAnswer

log = logging.getLogger(__name__)

STORE_CALL_TIMEOUT_S = 0.8
FETCH_TIMEOUT_S = 0.6
# Interval at which the leader reads the store. A VM that knows of no recent read uses
# it too, lengthened by ``scale_interval``. The interval adds to the time until a change
# is in force on all VMs.
POLL_INTERVAL_S = 0.6
# A VM reads the store itself when no VM in contact with it has done so for this time.
SOURCE_STALE_S = 1.8


# After so many copies of a version, the VMs that ask are sent to one of those that have
# a copy, because a few hundred copies hold up a VM for a second.
MAX_DIRECT_COPIES = 8


class _Source(NamedTuple):
    """VM with the most recent reads of the store, the versions found, and the time."""

    url: str
    versions: dict[str, int]
    polled_at: float


class _Holders(NamedTuple):
    """VMs that got a copy of a version from this one."""

    version: int
    urls: list[str]


class FeedFollower:
    """Updates all feeds.

    Parameters
    ----------
    is_leader : callable
        Returns whether this VM is the leader, which reads the store for all VMs.
    scale_interval : callable
        Lengthens a read interval in a large fleet, to limit the reads of all VMs.
    """

    def __init__(
        self,
        feeds: Iterable[Feed[Any]],
        store: ObjectStore,
        is_leader: Callable[[], bool],
        scale_interval: Callable[[float], float],
    ) -> None:
        self._feeds = {feed.kind: feed for feed in feeds}
        self._store = store
        self._is_leader = is_leader
        self._scale_interval = scale_interval
        self._source = _Source("", {}, -1e9)
        # By kind: the latest time at which this VM's copy was that of the source.
        self._confirmed_at: dict[str, float] = {}
        self._contact = StoreContact()
        self._holders: dict[str, _Holders] = {}
        self._behind = asyncio.Event()
        self._rpc: Rpc | None = None

    @property
    def versions(self) -> dict[str, int]:
        """Known versions by kind."""
        return {kind: feed.version for kind, feed in self._feeds.items()}

    @property
    def current_at(self) -> float:
        """Latest time at which the feeds are known to have matched the store."""
        polled_at = min(
            feed.polled_at for feed in self._feeds.values() if feed.read_by_all
        )
        # The source may be a VM of a previous version, which does not read all kinds.
        is_confirmed = all(
            kind in self._source.versions
            for kind, feed in self._feeds.items()
            if feed.read_by_all
        )
        if not is_confirmed or any(feed.read_by_all for feed in self._outdated()):
            return polled_at
        return max(polled_at, self._source.polled_at)

    @property
    def is_source_stale(self) -> bool:
        """Whether no VM in contact with this one has read the store lately."""
        return now() > self._source.polled_at + SOURCE_STALE_S

    @property
    def is_contact_lost(self) -> bool:
        """Whether the store and the VMs that read it are known to be out of reach.

        A VM that has heard of newer objects and could not get them knows that it does
        not have the last ones.
        """
        return self._contact.is_lost and not self._outdated()

    def known_at(self, kind: str) -> float:
        """Return the latest time at which a feed is known to have matched the store."""
        return max(self._feeds[kind].polled_at, self._confirmed_at.get(kind, -1e9))

    def _confirm(self) -> None:
        """Record which feeds match what the source found in the store."""
        for kind, feed in self._feeds.items():
            if 0 < self._source.versions.get(kind, 0) <= feed.version:
                self._confirmed_at[kind] = self._source.polled_at

    def _outdated(self) -> list[Feed[Any]]:
        """Return the feeds of which another VM has a newer version."""
        versions = self._source.versions
        return [
            feed
            for kind, feed in self._feeds.items()
            if feed.version < versions.get(kind, 0)
        ]

    def start(self, rpc: Rpc) -> None:
        """Start to serve and make calls between VMs."""
        rpc.on_call(AskFeed, self._on_ask_feed)
        self._rpc = rpc

    def note_source(self, url: str, versions: dict[str, int], polled_at: float) -> None:
        """Record the versions that another VM found in the store at ``polled_at``."""
        if polled_at > self._source.polled_at:
            self._source = _Source(url, versions, polled_at)
            if not self.is_source_stale:
                self._contact.note_heard()
            self._confirm()
            if self._outdated():
                self._behind.set()

    async def run(self) -> None:
        """Update the feeds periodically, without end."""
        polled_at = -1e9
        while True:
            self._behind.clear()
            if self._is_poll_due(polled_at):
                polled_at = now()
                for feed in self._feeds.values():
                    if feed.read_by_all or self._is_leader():
                        await self._poll(feed)
            else:
                await self._poll_unknown_to_source()
            try:
                async with timeout_at(
                    deadline_in(POLL_INTERVAL_S * random.uniform(0.9, 1.0))
                ):
                    await self._behind.wait()
            except TimeoutError:
                continue
            await self.fetch()

    async def fetch(self) -> None:
        """Fetch newer versions from the VM that has them, or else from the store."""
        source = self._source
        for feed in self._outdated():
            await self._fetch_from(source.url, feed)
            if feed.version < source.versions[feed.kind] and feed.read_by_all:
                await self._poll(feed)
        self._confirm()

    async def _poll_unknown_to_source(self) -> None:
        """Read the kinds that the VMs of a previous version do not read."""
        versions = self._source.versions
        for kind, feed in self._feeds.items():
            is_due = now() >= feed.polled_at + self._scale_interval(POLL_INTERVAL_S)
            if versions and kind not in versions and feed.read_by_all and is_due:
                await self._poll(feed)

    def _is_poll_due(self, polled_at: float) -> bool:
        if self._is_leader():
            return True
        if not self.is_source_stale:
            return False
        scaled_s = self._scale_interval(POLL_INTERVAL_S)
        return scaled_s <= POLL_INTERVAL_S or now() >= polled_at + scaled_s

    async def _poll(self, feed: Feed[Any]) -> None:
        asked_at = now()
        try:
            await feed.poll(self._store, deadline_in(STORE_CALL_TIMEOUT_S))
            self._contact.note_heard()
        except PlatformError as error:
            self._contact.note_failed(asked_at)
            log_state(log, "feed", "failed", f"platform: {error}")

    async def _fetch_from(self, url: str, feed: Feed[Any]) -> None:
        if self._rpc is None:
            return
        try:
            answer = await self._ask(self._rpc, url, AskFeed(feed.kind, False))
            feed.receive(answer.version, answer.objects)
            if answer.ask:
                copy = await self._ask(self._rpc, answer.ask, AskFeed(feed.kind, True))
                feed.receive(copy.version, copy.objects)
            if feed.version < self._source.versions.get(feed.kind, 0):
                answer = await self._ask(self._rpc, url, AskFeed(feed.kind, True))
                feed.receive(answer.version, answer.objects)
        except (
            PeerUnavailableError,
            DeadlineExceededError,
            CallFailedError,
            MessageError,
        ) as error:
            message = f"fleet: cannot fetch {feed.kind} from another VM: {error}"
            log_state(log, "feed", "failed", message)

    async def _ask(self, rpc: Rpc, url: str, message: AskFeed) -> FeedAnswer:
        return await rpc.call(url, message, FeedAnswer, deadline_in(FETCH_TIMEOUT_S))

    async def _on_ask_feed(self, message: AskFeed, caller: Caller) -> FeedAnswer:
        feed = self._feeds.get(message.kind)
        if feed is None:
            return FeedAnswer(0, b"")
        holders = self._holders.get(feed.kind)
        if holders is None or holders.version != feed.version:
            holders = self._holders[feed.kind] = _Holders(feed.version, [])
        if not message.here and len(holders.urls) >= MAX_DIRECT_COPIES:
            return FeedAnswer(0, b"", random.choice(holders.urls))
        if len(holders.urls) < MAX_DIRECT_COPIES:
            holders.urls.append(caller.url)
        return FeedAnswer(feed.version, feed.encode())
