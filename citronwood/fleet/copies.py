"""Copies of the configuration that VMs get from each other."""

import asyncio
import logging
import random

from citronwood.config.distribution import ConfigDistributor
from citronwood.deadline import deadline_in
from citronwood.errors import CitronwoodError
from citronwood.fleet.api import Membership
from citronwood.inner.messages import ConfigurationCopy, FetchConfiguration
from citronwood.inner.rpc import Caller, Rpc

log = logging.getLogger(__name__)

FETCH_S = 0.5
PEERS_ASKED = 3


class ConfigurationCopies:
    """Asks peers for newer versions and answers their questions."""

    def __init__(self, rpc: Rpc, membership: Membership) -> None:
        self._rpc = rpc
        self._membership = membership
        self._config: ConfigDistributor | None = None
        self._fetching: asyncio.Task[None] | None = None

    def serve(self, config: ConfigDistributor) -> None:
        """Answer peers from this configuration and offer it what they send."""
        self._config = config
        self._rpc.serve(FetchConfiguration, self._answer)

    async def fetch(self, after_version: int) -> tuple[int, bytes] | None:
        """Ask a few peers, those with the newest versions first."""
        own = self._membership.own.name
        peers = [vm for vm in self._membership.live if vm.name != own]
        random.shuffle(peers)
        peers.sort(key=lambda vm: vm.config_version, reverse=True)
        for peer in peers[:PEERS_ASKED]:
            found = await self._fetch_from(peer.url, after_version)
            if found is not None:
                return found
        return None

    def fetch_soon(self, url: str) -> None:
        """Fetch a newer version from a peer, unless a fetch is under way."""
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.create_task(self._fetch_and_offer(url))

    async def _fetch_and_offer(self, url: str) -> None:
        assert self._config is not None
        found = await self._fetch_from(url, self._config.version)
        if found is not None:
            self._config.offer(*found)

    async def _fetch_from(
        self, url: str, after_version: int
    ) -> tuple[int, bytes] | None:
        try:
            copy = await self._rpc.call(
                url,
                FetchConfiguration(after_version),
                ConfigurationCopy,
                deadline_in(FETCH_S),
            )
        except CitronwoodError as error:
            log.debug("config: no copy from %s: %s", url, error)
            return None
        return (copy.version, copy.document) if copy.document else None

    async def _answer(
        self, message: FetchConfiguration, caller: Caller
    ) -> ConfigurationCopy:
        assert self._config is not None
        found = self._config.copy(message.after_version)
        if found is None:
            return ConfigurationCopy(self._config.version, b"")
        return ConfigurationCopy(*found)
