"""Exchange of configuration copies between VMs."""

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

FETCH_TIMEOUT_S = 0.5
MAX_PEERS_TRIED = 3


class ConfigurationCopies:
    """Fetches newer versions from peers and serves copies to them."""

    def __init__(self, rpc: Rpc, membership: Membership) -> None:
        self._rpc = rpc
        self._membership = membership
        self._config: ConfigDistributor | None = None
        self._fetch_task: asyncio.Task[None] | None = None

    def serve(self, config: ConfigDistributor) -> None:
        """Serve copies of this configuration to peers.

        ``fetch_soon`` installs newer versions in it.
        """
        self._config = config
        self._rpc.on_call(FetchConfiguration, self._on_fetch_configuration)

    async def fetch(self, after_version: int) -> tuple[int, bytes] | None:
        """Return a newer version and its document, None if no peer has one.

        The peers that announce the newest versions are asked first.
        """
        own = self._membership.own.name
        peers = [vm for vm in self._membership.live if vm.name != own]
        random.shuffle(peers)
        peers.sort(key=lambda vm: vm.config_version, reverse=True)
        for peer in peers[:MAX_PEERS_TRIED]:
            newer = await self._fetch_from(peer.url, after_version)
            if newer is not None:
                return newer
        return None

    def fetch_soon(self, url: str) -> None:
        """Fetch a newer version from a peer, unless a fetch is in flight."""
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(self._fetch_and_install(url))

    async def _fetch_and_install(self, url: str) -> None:
        assert self._config is not None
        newer = await self._fetch_from(url, self._config.version)
        if newer is not None:
            self._config.install_copy(*newer)

    async def _fetch_from(
        self, url: str, after_version: int
    ) -> tuple[int, bytes] | None:
        try:
            copy = await self._rpc.call(
                url,
                FetchConfiguration(after_version),
                ConfigurationCopy,
                deadline_in(FETCH_TIMEOUT_S),
            )
        except CitronwoodError as error:
            log.debug("config: fetching a copy from %s failed: %s", url, error)
            return None
        return (copy.version, copy.document) if copy.document else None

    async def _on_fetch_configuration(
        self, message: FetchConfiguration, caller: Caller
    ) -> ConfigurationCopy:
        assert self._config is not None
        newer = self._config.newer_copy(message.after_version)
        if newer is None:
            return ConfigurationCopy(self._config.version, b"")
        return ConfigurationCopy(*newer)
