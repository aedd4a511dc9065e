"""Distribution of the configuration: the store, copies from peers, right to serve.

A *vouch* is the knowledge that a version was the newest one in the store at some
moment. A VM that holds version V and learns that a version up to V was the newest at
time t knows that its own version was in force at t or later.
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
from citronwood.deadline import deadline_in, has_passed, time_left, until
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

# A withdrawn key must stop working within 3 s, so that an isolated VM stops earlier.
VOUCH_LIFETIME_S = 2.0
MAJORITY_WITHIN_S = 2.0
WATCH_S = 1.0
READ_S = 1.0
MAX_READ_S = 4.0
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.5
# All VMs of a small fleet watch the store. In a larger one this many do, each with
# about one call per second; the others get copies from their peers.
MAX_WATCHERS = 32
FOLLOW_CHECK_S = 0.3
TICK_S = 0.1
# A process that was paused longer than this may read old messages from its sockets
# before it reads new ones.
MAX_TICK_GAP_S = 0.6
DISTRUST_AFTER_PAUSE_S = 0.5

PeerFetch = Callable[[int], Awaitable[tuple[int, bytes] | None]]
"""Asks peers for a configuration newer than a version."""


async def _no_peers(after_version: int) -> tuple[int, bytes] | None:
    return None


class ConfigDistributor:
    """Keeps the newest configuration; implements ``ConfigSource``.

    Parameters
    ----------
    platform : PlatformClient
    membership : Membership
    metrics : Metrics
    fetch : callable
        Asks peers for a newer configuration; used when the store does not answer.
    """

    def __init__(
        self,
        platform: PlatformClient,
        membership: Membership,
        metrics: Metrics,
        fetch: PeerFetch = _no_peers,
    ) -> None:
        self._platform = platform
        self._membership = membership
        self._metrics = metrics
        self._fetch = fetch
        self._current = Configuration()
        self._document = b""
        self._loaded = False
        self._vouched_at: float | None = None
        self._newer: tuple[int, float | None] = (0, None)
        self._distrust_until = 0.0
        self._ticked_at = monotonic()
        self._changed = asyncio.Event()
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def current(self) -> Configuration:
        """The newest configuration this VM knows."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the newest configuration this VM knows."""
        return self._current.version

    @property
    def loaded(self) -> bool:
        """Whether a configuration was read from the store or a peer."""
        return self._loaded

    @property
    def vouch_age_ms(self) -> int | None:
        """Time since the version in force was known to be the newest."""
        if self._vouched_at is None:
            return None
        return int((monotonic() - self._vouched_at) * 1000)

    @property
    def may_serve(self) -> bool:
        """Whether requests may run: False while this VM is cut off from the fleet."""
        if not self._loaded:
            return False
        now = monotonic()
        if _is_recent(self._vouched_at, now):
            return True
        if self._was_paused(now):
            return False
        if not self._membership.heard_majority(MAJORITY_WITHIN_S):
            return False
        # A majority without a recent validation means an outage of the store. Nothing
        # can be withdrawn then, but a peer may hold a version that this VM has missed.
        newest = max((vm.config_version for vm in self._membership.live), default=0)
        return newest <= self.version and not _is_recent(self._newer[1], now)

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call back with every new configuration."""
        self._callbacks.append(callback)

    async def wait_for(self, version: int, deadline: float) -> bool:
        """Wait until at least this version is in force; False at the deadline."""
        with contextlib.suppress(TimeoutError):
            async with until(deadline):
                while self.version < version:
                    await self._changed.wait()
        return self.version >= version

    async def start(self, deadline: float) -> bool:
        """Read the configuration and go on watching it.

        Returns False when neither the store nor a peer had answered by the deadline;
        the VM then does not serve until one of them does.
        """
        self._ticked_at = monotonic()
        self._tasks = [
            asyncio.create_task(self._tick(), name="config-tick"),
            asyncio.create_task(self._follow(), name="config-follow"),
        ]
        with contextlib.suppress(TimeoutError):
            async with until(deadline):
                while not self._loaded:
                    await self._changed.wait()
        return self._loaded

    async def stop(self) -> None:
        """Stop watching."""
        await cancel_tasks(self._tasks)
        self._tasks = []

    def offer(self, version: int, document: bytes) -> bool:
        """Take over a copy from a peer if it is newer; tell whether it was."""
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

    def take(self, config: Configuration) -> None:
        """Take over a configuration that this VM has put in force."""
        self._install(config)

    def copy(self, after_version: int) -> tuple[int, bytes] | None:
        """Return the configuration as JSON if it is newer, for ``offer`` of a peer."""
        if not self._loaded or self.version <= after_version:
            return None
        if not self._document:
            self._document = self._current.model_dump_json().encode()
        return self.version, self._document

    def heard_vouch(self, config_version: int, vouch_age_ms: int | None) -> None:
        """Note the version of a peer and the age of its vouch, from a heartbeat."""
        now = monotonic()
        if vouch_age_ms is None or self._was_paused(now):
            return
        vouched_at = now - max(0, vouch_age_ms) / 1000
        if config_version <= self.version:
            self._vouch(vouched_at)
        else:
            version, at = self._newer
            newest_at = vouched_at if at is None else max(at, vouched_at)
            self._newer = (max(version, config_version), newest_at)

    def _was_paused(self, now: float) -> bool:
        """Tell whether messages may be older than they seem, after a pause."""
        return now < self._distrust_until or now - self._ticked_at > MAX_TICK_GAP_S

    def _vouch(self, vouched_at: float) -> None:
        if self._loaded and (self._vouched_at is None or vouched_at > self._vouched_at):
            self._vouched_at = vouched_at

    def _refuse_copy(self, version: int, reason: str) -> bool:
        self._metrics.count("config.copies_refused")
        log.warning("copy of version %d from a peer refused: %s", version, reason)
        return False

    def _install(self, config: Configuration) -> None:
        if self._loaded and config.version <= self.version:
            return
        self._current = config
        self._document = b""
        self._loaded = True
        newer_version, newer_at = self._newer
        if newer_at is not None and config.version >= newer_version:
            self._vouch(newer_at)
            self._newer = (0, None)
        self._metrics.gauge("config.version", config.version)
        log_state(
            log,
            "configuration",
            "in_force",
            f"version {config.version} is in force",
            version=config.version,
            age_ms=self.vouch_age_ms,
        )
        self._changed.set()
        self._changed = asyncio.Event()
        for callback in self._callbacks:
            try:
                callback(config)
            except Exception:
                # One part that fails must not keep the others on an old version.
                log.exception("a part failed to take over version %d", config.version)

    def _note_read(self, config: Configuration, asked_at: float) -> None:
        """Take over what the store returned to a request sent at ``asked_at``."""
        self._install(config)
        if config.version < self.version:
            self._metrics.count("config.store_behind")
            log.warning(
                "the store returned version %d after %d", config.version, self.version
            )
            return
        self._vouch(asked_at)

    async def _tick(self) -> None:
        while True:
            now = monotonic()
            if now - self._ticked_at > MAX_TICK_GAP_S:
                self._distrust_until = now + DISTRUST_AFTER_PAUSE_S
                self._metrics.count("config.pauses")
                log.warning("process was paused for %.1f s", now - self._ticked_at)
            self._ticked_at = now
            await asyncio.sleep(TICK_S)

    async def _follow(self) -> None:
        failures = 0
        while True:
            try:
                await self._follow_once(failures)
                failures = 0
            except PlatformError as error:
                self._metrics.count("config.reads_failed")
                log.info("the store cannot be read: %s", error)
                await self._ask_peers()
                # Full jitter: VMs do not return together after an outage.
                pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**failures)
                await asyncio.sleep(random.uniform(0, pause_s))
                failures = min(failures + 1, 10)
            except Exception:
                log.exception("reading the configuration failed")
                await asyncio.sleep(MAX_PAUSE_S)

    async def _follow_once(self, failures: int) -> None:
        if not _is_recent(self._vouched_at, monotonic()):
            # Without a recent vouch the answer to a watch would come too late. The
            # time allowed grows, so that a slow store is not taken for an outage.
            await self._read(min(MAX_READ_S, READ_S * 2**failures))
        elif not self._watches() and self._is_vouched():
            # The jitter lets one of the VMs read when the watchers have failed.
            await asyncio.sleep(random.uniform(0.5, 1) * FOLLOW_CHECK_S)
        else:
            await self._watch()

    def _is_vouched(self) -> bool:
        return _is_recent(self._vouched_at, monotonic() + VOUCH_LIFETIME_S / 2)

    async def _read(self, seconds: float = READ_S) -> None:
        asked_at = monotonic()
        config = await read_configuration(self._platform, deadline_in(seconds))
        self._note_read(config, asked_at)

    async def _watch(self) -> None:
        asked_at = monotonic()
        try:
            found = await self._platform.watch(
                CONFIG_KIND, CONFIG_NAME, self.version, deadline_in(WATCH_S)
            )
        except PlatformUnavailableError as error:
            # A watch may be silent while the store answers reads.
            self._metrics.count("config.watches_failed")
            log.info("%s; reading instead", error)
            await self._read()
            return
        if found is None:
            # No version above this one existed when the store got the request.
            self._vouch(asked_at)
            return
        self._note_read(from_versioned(found), asked_at)

    def _watches(self) -> bool:
        """Whether this VM is one of those that watch the store."""
        names = [vm.name for vm in self._membership.live]
        if len(names) <= MAX_WATCHERS:
            return True
        names.sort(key=lambda name: sha1(name.encode()).digest())
        return self._membership.own.name in names[:MAX_WATCHERS]

    async def _ask_peers(self) -> None:
        try:
            async with asyncio.timeout(READ_S):
                found = await self._fetch(self.version if self._loaded else -1)
        except (CitronwoodError, TimeoutError) as error:
            log.info("no peer sent its configuration: %s", error)
            return
        if found is not None:
            self.offer(*found)


def _is_recent(at: float | None, now: float) -> bool:
    return at is not None and now - at <= VOUCH_LIFETIME_S


def vms_behind(membership: Membership, version: int) -> list[str]:
    """Return the live VMs whose configuration is older than a version."""
    return [vm.name for vm in membership.live if vm.config_version < version]


async def wait_until_in_force(
    membership: Membership, version: int, deadline: float
) -> list[str]:
    """Wait until all live VMs report a version; return those that are behind."""
    while True:
        behind = vms_behind(membership, version)
        if not behind or has_passed(deadline):
            return behind
        await asyncio.sleep(min(0.05, time_left(deadline)))
