"""Distribution of the configuration, and the check whether this VM may serve.

The configuration comes from the store or, in an outage of the store, from peers. A
*validation* confirms that a version was the newest one in the store at some time.
Versions only increase, so a VM that holds version V may use a validation of V or of an
older version at time t: there was no version above V at t.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Awaitable, Callable
from hashlib import sha1
from time import monotonic

from pydantic import ValidationError

from citronwood.config.model import Configuration
from citronwood.config.store import (
    CONFIG_KIND,
    CONFIG_NAME,
    from_versioned,
    read_configuration,
)
from citronwood.deadline import deadline_in, has_passed, time_left, timeout_at
from citronwood.decisions import log_state
from citronwood.errors import (
    CitronwoodError,
    PlatformError,
    PlatformUnavailableError,
)
from citronwood.fleet.api import Membership
from citronwood.metrics import Metrics
from citronwood.platform.api import PlatformClient
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

# How long a validation allows a VM to serve. A withdrawn key must stop working within
# 3 s, so an isolated VM must stop serving before that.
VALIDATION_LIFETIME_S = 2.0
# In an outage of the store, a VM serves only if it heard a majority within this time.
MAJORITY_HEARTBEAT_WINDOW_S = 2.0
WATCH_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 1.0
MAX_READ_TIMEOUT_S = 4.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5
# Each watcher makes about one call per second to the store. In a larger fleet the other
# VMs learn of new versions from their peers.
MAX_WATCHERS = 32
NON_WATCHER_CHECK_INTERVAL_S = 0.3
TICK_INTERVAL_S = 0.1
# After a longer pause of the process, heartbeats read from socket buffers may be stale.
# They are ignored until ``DISTRUST_AFTER_PAUSE_S`` after the pause was detected.
MAX_TICK_GAP_S = 0.6
DISTRUST_AFTER_PAUSE_S = 0.5

PeerFetch = Callable[[int], Awaitable[tuple[int, bytes] | None]]
"""Fetches a configuration newer than a version from peers."""


async def _fetch_nothing(after_version: int) -> tuple[int, bytes] | None:
    return None


class ConfigDistributor:
    """Keeps the newest configuration; implements ``ConfigSource``.

    Parameters
    ----------
    platform : PlatformClient
    membership : Membership
    metrics : Metrics
    fetch : callable
        Fetches a newer configuration from peers; called when the store cannot be read.
    """

    def __init__(
        self,
        platform: PlatformClient,
        membership: Membership,
        metrics: Metrics,
        fetch: PeerFetch = _fetch_nothing,
    ) -> None:
        self._platform = platform
        self._membership = membership
        self._metrics = metrics
        self._fetch = fetch
        self._current = Configuration()
        self._json_cache = b""
        self._loaded = False
        self._validated_at: float | None = None
        # Highest version in heartbeats of peers that is newer than the one of this VM,
        # and the time of the last validation of any newer version.
        self._newer_at_peers: tuple[int, float | None] = (0, None)
        self._distrust_until = 0.0
        self._last_tick_at = monotonic()
        self._config_changed = asyncio.Event()
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def current(self) -> Configuration:
        """The newest configuration this VM knows."""
        return self._current

    @property
    def version(self) -> int:
        """Version of ``current``."""
        return self._current.version

    @property
    def loaded(self) -> bool:
        """Whether a configuration was read from the store or a peer."""
        return self._loaded

    @property
    def validation_age_ms(self) -> int | None:
        """Time since the last validation of the version in force, None if none."""
        if self._validated_at is None:
            return None
        return int((monotonic() - self._validated_at) * 1000)

    @property
    def may_serve(self) -> bool:
        """Whether requests may run.

        False while this VM has no configuration, is cut off from the fleet or may have
        missed a version.
        """
        if not self._loaded:
            return False
        now = monotonic()
        if _is_fresh(self._validated_at, now):
            return True
        if self._was_paused(now):
            return False
        if not self._membership.heard_majority(MAJORITY_HEARTBEAT_WINDOW_S):
            return False
        # With a majority in reach, a stale validation means that the store is down. No
        # key can be withdrawn then, but a peer may hold a version this VM has missed.
        newest = max((vm.config_version for vm in self._membership.live), default=0)
        return newest <= self.version and not _is_fresh(self._newer_at_peers[1], now)

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Register a callback for every new configuration."""
        self._callbacks.append(callback)

    async def wait_for(self, version: int, deadline: float) -> bool:
        """Wait for this version or a newer one; return False at the deadline."""
        with contextlib.suppress(TimeoutError):
            async with timeout_at(deadline):
                while self.version < version:
                    await self._config_changed.wait()
        return self.version >= version

    async def start(self, deadline: float) -> bool:
        """Load the configuration and start the background tasks that update it.

        Returns False if neither the store nor a peer answered by the deadline; the VM
        then does not serve until one of them does.
        """
        self._last_tick_at = monotonic()
        self._tasks = [
            asyncio.create_task(self._detect_pauses(), name="config-tick"),
            asyncio.create_task(self._sync_loop(), name="config-follow"),
        ]
        with contextlib.suppress(TimeoutError):
            async with timeout_at(deadline):
                while not self._loaded:
                    await self._config_changed.wait()
        return self._loaded

    async def stop(self) -> None:
        """Stop the background tasks."""
        await cancel_tasks(self._tasks)
        self._tasks = []

    def install_copy(self, version: int, document: bytes) -> bool:
        """Install a peer's copy if it is valid and newer; return whether it was."""
        if self._loaded and version <= self.version:
            return False
        try:
            config = Configuration.model_validate_json(document)
        except ValidationError as error:
            return self._refuse_copy(version, str(error))
        if config.version != version:
            return self._refuse_copy(version, f"it contains version {config.version}")
        self._install(config)
        return True

    def install(self, config: Configuration) -> None:
        """Install a configuration that this VM has written to the store."""
        self._install(config)

    def newer_copy(self, after_version: int) -> tuple[int, bytes] | None:
        """Return the configuration as JSON if it is newer, for a peer to install."""
        if not self._loaded or self.version <= after_version:
            return None
        if not self._json_cache:
            self._json_cache = self._current.model_dump_json().encode()
        return self.version, self._json_cache

    def record_peer_validation(
        self, config_version: int, validation_age_ms: int | None
    ) -> None:
        """Record the version and the validation age in a peer's heartbeat."""
        now = monotonic()
        if validation_age_ms is None or self._was_paused(now):
            return
        validated_at = now - max(0, validation_age_ms) / 1000
        if config_version <= self.version:
            self._record_validation(validated_at)
        else:
            version, last_at = self._newer_at_peers
            newest_at = validated_at if last_at is None else max(last_at, validated_at)
            self._newer_at_peers = (max(version, config_version), newest_at)

    def _was_paused(self, now: float) -> bool:
        """Return whether heartbeats may be stale after a pause of the process."""
        return now < self._distrust_until or now - self._last_tick_at > MAX_TICK_GAP_S

    def _record_validation(self, validated_at: float) -> None:
        if self._loaded and (
            self._validated_at is None or validated_at > self._validated_at
        ):
            self._validated_at = validated_at

    def _refuse_copy(self, version: int, reason: str) -> bool:
        self._metrics.count("config.copies_refused")
        log.warning("copy of version %d from a peer refused: %s", version, reason)
        return False

    def _install(self, config: Configuration) -> None:
        if self._loaded and config.version <= self.version:
            return
        self._current = config
        self._json_cache = b""
        self._loaded = True
        newer_version, newer_at = self._newer_at_peers
        if newer_at is not None and config.version >= newer_version:
            self._record_validation(newer_at)
            self._newer_at_peers = (0, None)
        self._metrics.gauge("config.version", config.version)
        log_state(
            log,
            "configuration",
            "in_force",
            f"version {config.version} is in force",
            version=config.version,
            age_ms=self.validation_age_ms,
        )
        self._config_changed.set()
        self._config_changed = asyncio.Event()
        for callback in self._callbacks:
            try:
                callback(config)
            except Exception:
                # One failing callback must not keep the others on an old version.
                log.exception("callback for version %d failed", config.version)

    def _accept_read(self, config: Configuration, requested_at: float) -> None:
        """Install the store's answer to a request sent at ``requested_at``."""
        self._install(config)
        if config.version < self.version:
            self._metrics.count("config.store_behind")
            log.warning(
                "the store returned version %d, older than version %d in force",
                config.version,
                self.version,
            )
            return
        self._record_validation(requested_at)

    async def _detect_pauses(self) -> None:
        while True:
            now = monotonic()
            if now - self._last_tick_at > MAX_TICK_GAP_S:
                self._distrust_until = now + DISTRUST_AFTER_PAUSE_S
                self._metrics.count("config.pauses")
                log.warning("process was paused for %.1f s", now - self._last_tick_at)
            self._last_tick_at = now
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _sync_loop(self) -> None:
        failures = 0
        while True:
            try:
                await self._sync_once(failures)
                failures = 0
            except PlatformError as error:
                self._metrics.count("config.reads_failed")
                log.info("cannot read the store: %s", error)
                await self._fetch_from_peers()
                # Full jitter: VMs must not retry all at once after an outage.
                max_backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**failures)
                await asyncio.sleep(random.uniform(0, max_backoff_s))
                failures = min(failures + 1, 10)
            except Exception:
                log.exception("unexpected error while reading the configuration")
                await asyncio.sleep(MAX_BACKOFF_S)

    async def _sync_once(self, failures: int) -> None:
        if not _is_fresh(self._validated_at, monotonic()):
            # With a stale validation a watch, which may block, would answer too late.
            # The timeout grows so that a slow store is not mistaken for an outage.
            await self._read(min(MAX_READ_TIMEOUT_S, READ_TIMEOUT_S * 2**failures))
        elif not self._is_watcher() and self._has_half_lifetime_left():
            # The heartbeats of peers bring validations. If all watchers have failed,
            # the jitter lets one VM ask the store first.
            await asyncio.sleep(random.uniform(0.5, 1) * NON_WATCHER_CHECK_INTERVAL_S)
        else:
            await self._watch()

    def _has_half_lifetime_left(self) -> bool:
        return _is_fresh(self._validated_at, monotonic() + VALIDATION_LIFETIME_S / 2)

    async def _read(self, timeout_s: float = READ_TIMEOUT_S) -> None:
        requested_at = monotonic()
        config = await read_configuration(self._platform, deadline_in(timeout_s))
        self._accept_read(config, requested_at)

    async def _watch(self) -> None:
        requested_at = monotonic()
        try:
            newer = await self._platform.watch(
                CONFIG_KIND, CONFIG_NAME, self.version, deadline_in(WATCH_TIMEOUT_S)
            )
        except PlatformUnavailableError as error:
            # The store may answer reads while its watches hang.
            self._metrics.count("config.watches_failed")
            log.info("%s; falling back to a read", error)
            await self._read()
            return
        if newer is None:
            # There was no newer version when the store received the request.
            self._record_validation(requested_at)
            return
        self._accept_read(from_versioned(newer), requested_at)

    def _is_watcher(self) -> bool:
        """Return whether this VM is among the ``MAX_WATCHERS`` that watch the store."""
        names = [vm.name for vm in self._membership.live]
        if len(names) <= MAX_WATCHERS:
            return True
        names.sort(key=lambda name: sha1(name.encode()).digest())
        return self._membership.own.name in names[:MAX_WATCHERS]

    async def _fetch_from_peers(self) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                found = await self._fetch(self.version if self._loaded else -1)
        except (CitronwoodError, TimeoutError) as error:
            log.info("cannot fetch the configuration from peers: %s", error)
            return
        if found is not None:
            self.install_copy(*found)


def _is_fresh(timestamp: float | None, now: float) -> bool:
    return timestamp is not None and now - timestamp <= VALIDATION_LIFETIME_S


def vms_behind(membership: Membership, version: int) -> list[str]:
    """Return the live VMs whose configuration is older than a version."""
    return [vm.name for vm in membership.live if vm.config_version < version]


async def wait_until_in_force(
    membership: Membership, version: int, deadline: float
) -> list[str]:
    """Wait until all live VMs have a version; return those behind at the deadline."""
    while True:
        behind = vms_behind(membership, version)
        if not behind or has_passed(deadline):
            return behind
        await asyncio.sleep(min(0.05, time_left(deadline)))
