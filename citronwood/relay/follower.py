"""Keeps the feeds of a VM up to date, from the store or from another VM."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from citronwood.deadline import deadline_in, until
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
from citronwood.relay.feeds import Feed
from citronwood.relay.messages import AskFeed, FeedAnswer

log = logging.getLogger(__name__)

CALL_S = 0.8
FETCH_S = 0.6
# Share of the leader or a deputy in the time until a change is in force on all VMs.
POLL_S = 0.6
# When no VM that is heard has read the store for so long, a VM reads it itself.
SOURCE_OLD_S = 1.8


class _Source(NamedTuple):
    """Another VM that has read the store, the versions that it has, and when."""

    url: str
    versions: dict[str, int]
    polled_at: float


class FeedFollower:
    """Follows all feeds.

    Parameters
    ----------
    leads : callable
        Tells whether this VM leads, and so reads the store for the others.
    pace : callable
        Returns the interval for reads of one of many VMs, from that of a few.
    """

    def __init__(
        self,
        feeds: Iterable[Feed[Any]],
        store: ObjectStore,
        leads: Callable[[], bool],
        pace: Callable[[float], float],
    ) -> None:
        self._feeds = {feed.kind: feed for feed in feeds}
        self._store = store
        self._leads = leads
        self._pace = pace
        self._source = _Source("", {}, -1e9)
        self._behind = asyncio.Event()
        self._rpc: Rpc | None = None

    @property
    def versions(self) -> dict[str, int]:
        """Versions by kind."""
        return {kind: feed.version for kind, feed in self._feeds.items()}

    @property
    def current_at(self) -> float:
        """Time at which the feeds were certainly those of the store."""
        polled_at = min(feed.polled_at for feed in self._feeds.values())
        return polled_at if self._is_behind else max(polled_at, self._source.polled_at)

    @property
    def is_source_old(self) -> bool:
        """Whether no VM that this one hears has read the store lately."""
        return now() > self._source.polled_at + SOURCE_OLD_S

    @property
    def _is_behind(self) -> bool:
        return any(
            kind in self._feeds and self._feeds[kind].version < version
            for kind, version in self._source.versions.items()
        )

    def start(self, rpc: Rpc) -> None:
        """Use and serve calls between VMs."""
        rpc.serve(AskFeed, self._on_ask_feed)
        self._rpc = rpc

    def heard(self, url: str, versions: dict[str, int], polled_at: float) -> None:
        """Note that another VM has versions that were those of the store then."""
        if polled_at > self._source.polled_at:
            self._source = _Source(url, versions, polled_at)
            if self._is_behind:
                self._behind.set()

    async def run(self) -> None:
        """Keep up with the store for ever."""
        polled_at = -1e9
        while True:
            self._behind.clear()
            if self._is_poll_due(polled_at):
                polled_at = now()
                for feed in self._feeds.values():
                    await self._poll(feed)
            try:
                async with until(deadline_in(POLL_S * random.uniform(0.9, 1.0))):
                    await self._behind.wait()
            except TimeoutError:
                continue
            await self.fetch()

    async def fetch(self) -> None:
        """Fetch what another VM has newer, from it or else from the store."""
        source = self._source
        for kind, version in source.versions.items():
            feed = self._feeds.get(kind)
            if feed is None or feed.version >= version:
                continue
            await self._fetch_from(source.url, feed)
            if feed.version < version:
                await self._poll(feed)

    def _is_poll_due(self, polled_at: float) -> bool:
        if self._leads():
            return True
        if not self.is_source_old:
            return False
        paced_s = self._pace(POLL_S)
        return paced_s <= POLL_S or now() >= polled_at + paced_s

    async def _poll(self, feed: Feed[Any]) -> None:
        try:
            await feed.poll(self._store, deadline_in(CALL_S))
        except PlatformError as error:
            log_state(log, "feed", "failed", f"platform: {error}")

    async def _fetch_from(self, url: str, feed: Feed[Any]) -> None:
        if self._rpc is None:
            return
        deadline = deadline_in(FETCH_S)
        try:
            answer = await self._rpc.call(url, AskFeed(feed.kind), FeedAnswer, deadline)
            feed.receive(answer.version, answer.objects)
        except (
            PeerUnavailableError,
            DeadlineExceededError,
            CallFailedError,
            MessageError,
        ) as error:
            message = f"fleet: {feed.kind} of another VM: {error}"
            log_state(log, "feed", "failed", message)

    async def _on_ask_feed(self, message: AskFeed, _: Caller) -> FeedAnswer:
        feed = self._feeds.get(message.kind)
        if feed is None:
            return FeedAnswer(0, b"{}")
        return FeedAnswer(feed.version, feed.encode())
