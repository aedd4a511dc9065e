"""Claim of a share slot in one object of the platform's store.

The object ``fleet/share-slots`` holds the claims: slot number to VM, epoch and counts.
Counts are values of ``share_slots``, usually one. Under a count N an account is divided
over min(N, MAX_SHARES) slots with equal weights. A claim has a share of an account if
it has one under each of its counts, with the smallest of these weights.

Every conditional update keeps the weights of each account at or below 1 in sum, by one
of two conditions that do not depend on the accounts: all claims have a count in common
(their weights are then at most those under this count), or the sum of 1/divisor over
all claims, with or without a share, is at most 1.

A changed ``share_slots`` therefore takes effect safely without a common moment. A
holder first uses only what it has under both counts, and then stores the new count
alone if the conditions allow it, otherwise both counts; once every claim has the new
count, the old ones are dropped. A weight that gets larger is stored before it is used,
and used only after the longest delegation, so that delegations under the claims that
made room for it have ended. Slots with numbers beyond the new count are given up.

The slot of a VM that the platform no longer lists is free: such a VM has been removed
for good. Because the list lags, a VM claims a slot only when it is listed itself.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Iterable
from fractions import Fraction
from time import monotonic
from typing import Any, NamedTuple

from citronwood.config.api import ConfigSource
from citronwood.deadline import deadline_in, until
from citronwood.decisions import log_state
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformError,
    VersionConflictError,
)
from citronwood.limits.shares import HOME_AFTER_S, Slot, VmShares
from citronwood.limits.weights import divisor_of
from citronwood.platform.api import PlatformClient
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

KIND = "fleet"
NAME = "share-slots"
CALL_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 5.0
# Checks take at most about 60 calls/s of the platform's store at any fleet size.
CHECKS_PER_S = 30
CONFLICT_RETRY_S = 0.5


class _Claim(NamedTuple):
    vm: str
    epoch: int
    counts: tuple[int, ...]


class SlotTable(NamedTuple):
    """Claims of all slots, and the last epoch that was given out."""

    claims: dict[int, _Claim]
    last_epoch: int

    @classmethod
    def parse(cls, value: dict[str, Any]) -> "SlotTable":
        """Read the stored form."""
        claims = {
            int(number): _Claim(one["vm"], one["epoch"], tuple(one["counts"]))
            for number, one in value.get("claims", {}).items()
        }
        return cls(claims, value.get("last_epoch", 0))

    def dump(self) -> dict[str, Any]:
        """Return the stored form."""
        claims = {str(number): one._asdict() for number, one in self.claims.items()}
        return {"claims": claims, "last_epoch": self.last_epoch}

    def slot_of(self, vm: str) -> int | None:
        """Return the slot that a VM has claimed."""
        for number, claim in self.claims.items():
            if claim.vm == vm:
                return number
        return None

    def common_counts(self) -> set[int]:
        """Return the counts that all claims have."""
        counts = [set(one.counts) for one in self.claims.values()]
        return set.intersection(*counts) if counts else set()

    def is_safe(self) -> bool:
        """Whether the weights of no account can exceed 1 in sum."""
        if self.common_counts() or not self.claims:
            return True
        weights = (Fraction(1, divisor_of(one.counts)) for one in self.claims.values())
        return sum(weights, Fraction(0)) <= 1

    def with_claim(self, number: int, vm: str, wanted: int) -> "SlotTable | None":
        """Return the table with a new claim under a new epoch, None without room."""
        epoch = self.last_epoch + 1
        for counts in ((wanted,), _joined(self.common_counts(), wanted)):
            claims = self.claims | {number: _Claim(vm, epoch, counts)}
            if SlotTable(claims, epoch).is_safe():
                return SlotTable(claims, epoch)
        return None

    def with_count(self, number: int, wanted: int) -> "SlotTable":
        """Return the table with an existing claim moved towards another count."""
        claim = self.claims[number]
        for counts in ((wanted,), _joined(claim.counts, wanted)):
            claims = self.claims | {number: claim._replace(counts=counts)}
            table = SlotTable(claims, self.last_epoch)
            if table.is_safe():
                break
        return table

    def without(self, numbers: set[int]) -> "SlotTable":
        """Return the table without some claims."""
        kept = {key: one for key, one in self.claims.items() if key not in numbers}
        return SlotTable(kept, self.last_epoch)


def _joined(counts: Iterable[int], wanted: int) -> tuple[int, ...]:
    return (*sorted({*counts} - {wanted}), wanted)


class SlotKeeper:
    """Claims and keeps the share slot of this VM."""

    def __init__(
        self, platform: PlatformClient, vm: str, config: ConfigSource, shares: VmShares
    ) -> None:
        self._platform = platform
        self._vm = vm
        self._config = config
        self._shares = shares
        # Epoch of this process's own claim; another one belongs to an earlier process.
        self._epoch: int | None = None
        self._task: asyncio.Task[None] | None = None
        self._claimed = asyncio.Event()

    def start(self) -> None:
        """Start to claim a slot and to follow the store."""
        self._task = asyncio.create_task(self._run())

    async def wait_claimed(self, deadline: float) -> bool:
        """Wait until a slot is claimed; False at the deadline."""
        with contextlib.suppress(TimeoutError):
            async with until(deadline):
                await self._claimed.wait()
        return self._claimed.is_set()

    async def close(self) -> None:
        """Stop, but keep the claim for the next process of this VM."""
        await cancel_tasks([self._task])

    async def release(self) -> None:
        """Give the slot up on a planned stop."""
        await self.close()
        self._stop_using()
        try:
            table, version = await self._read()
            number = table.slot_of(self._vm)
            if number is not None:
                await self._write(table.without({number}), version)
        except PlatformError as error:
            log.warning("limits: the share slot was not released: %s", error)

    async def check(self) -> None:
        """Compare the stored claim with the wanted one and move towards it."""
        wanted = self._config.current.share_slots
        table, version = await self._read()
        number = table.slot_of(self._vm)
        mine = number is not None and table.claims[number].epoch == self._epoch
        if number is None or self._epoch is None or not mine:
            self._stop_using()
            await self._claim(table, version, number, wanted)
        elif number >= wanted:
            self._stop_using()
            await self._write(table.without({number}), version)
        else:
            await self._change_count(table, version, number, wanted)

    async def _run(self) -> None:
        while True:
            interval = max(
                CHECK_INTERVAL_S, self._config.current.share_slots / CHECKS_PER_S
            )
            try:
                await self.check()
            except VersionConflictError:
                interval = CONFLICT_RETRY_S
            except PlatformError as error:
                log.info("limits: share slots could not be read: %s", error)
            await asyncio.sleep(interval * random.uniform(0.5, 1.5))

    def _stop_using(self) -> None:
        if self._shares.slot is not None:
            number = self._shares.slot.number
            message = f"limits: share slot {number} given up"
            log_state(log, "share_slot", "given_up", message, slot=number)
        self._epoch = None
        self._shares.use_slot(None, monotonic())

    async def _claim(
        self, table: SlotTable, version: int, own: int | None, wanted: int
    ) -> None:
        names = await self._list_names()
        if self._vm not in names:
            return
        gone = {key for key, one in table.claims.items() if one.vm not in names}
        if own is not None:
            # The quarantine in VmShares covers the earlier process of this VM.
            gone.add(own)
        table = table.without(gone)
        free = [key for key in range(wanted) if key not in table.claims]
        number = own if own in free else random.choice(free or [wanted])
        assert number is not None
        claimed = table.with_claim(number, self._vm, wanted) if free else None
        if claimed is None:
            if gone:
                # Left in place, they could keep the others from a new count for ever.
                await self._write(table, version)
            return
        await self._write(claimed, version)
        self._epoch = claimed.last_epoch
        claim = claimed.claims[number]
        self._shares.use_slot(Slot(number, claim.epoch, claim.counts), monotonic())
        self._claimed.set()
        message = f"limits: share slot {number} of {wanted} claimed"
        log_state(log, "share_slot", "claimed", message, slot=number, epoch=claim.epoch)

    async def _change_count(
        self, table: SlotTable, version: int, number: int, wanted: int
    ) -> None:
        claim = table.claims[number]
        if wanted not in claim.counts:
            self._shares.use_slot(
                Slot(number, claim.epoch, _joined(claim.counts, wanted)), monotonic()
            )
        else:
            # An update may have taken effect although its answer was lost.
            await self._use(table, number)
            if claim.counts != (wanted,) and wanted not in table.common_counts():
                table = await self._without_gone(table)
        changed = table.with_count(number, wanted)
        if changed.claims != table.claims:
            await self._write(changed, version)
            await self._use(changed, number)

    async def _without_gone(self, table: SlotTable) -> SlotTable:
        names = await self._list_names()
        if self._vm not in names:
            return table
        gone = {key for key, one in table.claims.items() if one.vm not in names}
        return table.without(gone)

    async def _list_names(self) -> set[str]:
        listed = await self._platform.list_vms(deadline_in(CALL_TIMEOUT_S))
        return {vm.name for vm in listed}

    async def _use(self, table: SlotTable, number: int) -> None:
        """Use a slot as it is stored.

        The claims that have made room for a larger weight may have been given up a
        moment ago, while their shares are still delegated.
        """
        claim = table.claims[number]
        slot = Slot(number, claim.epoch, claim.counts)
        if slot != self._shares.slot:
            await asyncio.sleep(HOME_AFTER_S)
            self._shares.use_slot(slot, monotonic())

    async def _read(self) -> tuple[SlotTable, int]:
        try:
            found = await self._platform.get(KIND, NAME, deadline_in(CALL_TIMEOUT_S))
        except ObjectNotFoundError:
            return SlotTable({}, 0), 0
        return SlotTable.parse(found.value), found.version

    async def _write(self, table: SlotTable, version: int) -> None:
        deadline = deadline_in(CALL_TIMEOUT_S)
        await self._platform.put(KIND, NAME, table.dump(), version, deadline)
