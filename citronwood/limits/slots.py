"""Claims of share slots in the platform's store.

One object, ``fleet/share-slots``, holds all claims: slot number to VM, epoch and
counts. A count is a value of the configured ``share_slots``; a claim usually has one.
Under a count N an account is divided over min(N, MAX_SHARES) slots with equal weights.
A claim has a share of an account if it has one under each of its counts; the smallest
of these weights applies.

Every conditional update keeps the sum of each account's weights at or below 1, by one
of two conditions that do not depend on the accounts: all claims have a count in common,
so that their weights are at most those under this count; or the sum of 1/divisor over
all claims, with or without a share, is at most 1.

So the VMs can follow a changed ``share_slots`` at different times. The holder of a slot
first uses only the shares that it has under both the old and the new count. It then
stores the new count alone if the conditions allow it, otherwise both counts; the old
one is dropped once every claim has the new one. An increased weight is stored before it
is used, and used only after the longest delegation, when the delegations under the
claims that gave up this weight have ended. Slots with numbers beyond the new count are
released.

The slot of a VM that the platform no longer lists is free, because such a VM has been
removed for good. The list lags behind, so a VM claims a slot only when it is listed
itself; otherwise another VM would treat the claimed slot as free.
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
from citronwood.deadline import deadline_in, timeout_at
from citronwood.decisions import log_state
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformError,
    VersionConflictError,
)
from citronwood.limits.shares import RECLAIM_AFTER_S, Slot, VmShares
from citronwood.limits.weights import divisor_of
from citronwood.platform.api import PlatformClient
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

OBJECT_KIND = "fleet"
OBJECT_NAME = "share-slots"
CALL_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 5.0
# A check reads the claims and at most writes them once, so at any fleet size the checks
# make about 60 calls/s to the platform's store at most.
MAX_FLEET_CHECKS_PER_S = 30
CONFLICT_RETRY_S = 0.5


class _Claim(NamedTuple):
    vm: str
    epoch: int
    counts: tuple[int, ...]


class SlotTable(NamedTuple):
    """Claims of all slots, and the epoch of the latest claim."""

    claims: dict[int, _Claim]
    last_epoch: int

    @classmethod
    def parse(cls, value: dict[str, Any]) -> "SlotTable":
        """Parse the stored form."""
        claims = {
            int(number): _Claim(entry["vm"], entry["epoch"], tuple(entry["counts"]))
            for number, entry in value.get("claims", {}).items()
        }
        return cls(claims, value.get("last_epoch", 0))

    def dump(self) -> dict[str, Any]:
        """Return the stored form."""
        claims = {str(number): entry._asdict() for number, entry in self.claims.items()}
        return {"claims": claims, "last_epoch": self.last_epoch}

    def slot_of(self, vm: str) -> int | None:
        """Return the slot that a VM has claimed; None if it has claimed none."""
        for number, claim in self.claims.items():
            if claim.vm == vm:
                return number
        return None

    def common_counts(self) -> set[int]:
        """Return the counts that all claims have in common."""
        counts = [set(entry.counts) for entry in self.claims.values()]
        return set.intersection(*counts) if counts else set()

    def is_safe(self) -> bool:
        """Whether no account's weights can sum to more than 1."""
        if self.common_counts() or not self.claims:
            return True
        weights = (
            Fraction(1, divisor_of(entry.counts)) for entry in self.claims.values()
        )
        return sum(weights, Fraction(0)) <= 1

    def with_claim(self, number: int, vm: str, target_count: int) -> "SlotTable | None":
        """Return the table with a new claim; None if the weights would exceed 1."""
        epoch = self.last_epoch + 1
        for counts in (
            (target_count,),
            _merge_counts(self.common_counts(), target_count),
        ):
            claims = self.claims | {number: _Claim(vm, epoch, counts)}
            if SlotTable(claims, epoch).is_safe():
                return SlotTable(claims, epoch)
        return None

    def with_count(self, number: int, target_count: int) -> "SlotTable":
        """Return the table with the target count in a claim, alone if that is safe."""
        claim = self.claims[number]
        for counts in ((target_count,), _merge_counts(claim.counts, target_count)):
            claims = self.claims | {number: claim._replace(counts=counts)}
            table = SlotTable(claims, self.last_epoch)
            if table.is_safe():
                break
        return table

    def without(self, numbers: set[int]) -> "SlotTable":
        """Return the table without the claims of some slots."""
        kept = {
            slot_number: entry
            for slot_number, entry in self.claims.items()
            if slot_number not in numbers
        }
        return SlotTable(kept, self.last_epoch)


def _merge_counts(counts: Iterable[int], target_count: int) -> tuple[int, ...]:
    return (*sorted({*counts} - {target_count}), target_count)


class SlotKeeper:
    """Claims a share slot for this VM and keeps the claim up to date."""

    def __init__(
        self, platform: PlatformClient, vm: str, config: ConfigSource, shares: VmShares
    ) -> None:
        self._platform = platform
        self._vm = vm
        self._config = config
        self._shares = shares
        # Epoch of this process's claim. A claim of this VM with another epoch belongs
        # to an earlier process.
        self._epoch: int | None = None
        self._task: asyncio.Task[None] | None = None
        self._claimed = asyncio.Event()

    def start(self) -> None:
        """Start to claim a slot and to check the stored claim regularly."""
        self._task = asyncio.create_task(self._run())

    async def wait_until_claimed(self, deadline: float) -> bool:
        """Wait until a slot is claimed and return True, or False at the deadline."""
        with contextlib.suppress(TimeoutError):
            async with timeout_at(deadline):
                await self._claimed.wait()
        return self._claimed.is_set()

    async def close(self) -> None:
        """Stop, but keep the claim for the next process of this VM."""
        await cancel_tasks([self._task])

    async def release(self) -> None:
        """Release the slot on a planned stop."""
        await self.close()
        self._stop_using()
        try:
            table, version = await self._read()
            number = table.slot_of(self._vm)
            if number is not None:
                await self._write(table.without({number}), version)
        except PlatformError as error:
            log.warning("limits: the share slot could not be released: %s", error)

    async def check(self) -> None:
        """Claim a slot, follow a changed number of slots, or release a surplus slot."""
        target_count = self._config.current.share_slots
        table, version = await self._read()
        number = table.slot_of(self._vm)
        is_own_claim = number is not None and table.claims[number].epoch == self._epoch
        if number is None or self._epoch is None or not is_own_claim:
            self._stop_using()
            await self._claim(table, version, number, target_count)
        elif number >= target_count:
            self._stop_using()
            await self._write(table.without({number}), version)
        else:
            await self._change_count(table, version, number, target_count)

    async def _run(self) -> None:
        while True:
            interval = max(
                CHECK_INTERVAL_S,
                self._config.current.share_slots / MAX_FLEET_CHECKS_PER_S,
            )
            try:
                await self.check()
            except VersionConflictError:
                interval = CONFLICT_RETRY_S
            except PlatformError as error:
                log.info("limits: share slots could not be checked: %s", error)
            await asyncio.sleep(interval * random.uniform(0.5, 1.5))

    def _stop_using(self) -> None:
        if self._shares.slot is not None:
            number = self._shares.slot.number
            message = f"limits: share slot {number} given up"
            log_state(log, "share_slot", "given_up", message, slot=number)
        self._epoch = None
        self._shares.use_slot(None, monotonic())

    async def _claim(
        self, table: SlotTable, version: int, old_number: int | None, target_count: int
    ) -> None:
        vm_names = await self._list_vm_names()
        if self._vm not in vm_names:
            return
        dropped = {
            slot_number
            for slot_number, entry in table.claims.items()
            if entry.vm not in vm_names
        }
        if old_number is not None:
            # Safe, because the quarantine in ``VmShares.use_slot`` outlasts the
            # delegations of this VM's earlier process.
            dropped.add(old_number)
        table = table.without(dropped)
        free = [
            slot_number
            for slot_number in range(target_count)
            if slot_number not in table.claims
        ]
        number = (
            old_number if old_number in free else random.choice(free or [target_count])
        )
        assert number is not None
        claimed_table = (
            table.with_claim(number, self._vm, target_count) if free else None
        )
        if claimed_table is None:
            if dropped:
                # If the claims of removed VMs stayed, they could keep the other VMs
                # from moving to a new count for ever.
                await self._write(table, version)
            return
        await self._write(claimed_table, version)
        self._epoch = claimed_table.last_epoch
        claim = claimed_table.claims[number]
        self._shares.use_slot(Slot(number, claim.epoch, claim.counts), monotonic())
        self._claimed.set()
        message = f"limits: share slot {number} of {target_count} claimed"
        log_state(log, "share_slot", "claimed", message, slot=number, epoch=claim.epoch)

    async def _change_count(
        self, table: SlotTable, version: int, number: int, target_count: int
    ) -> None:
        claim = table.claims[number]
        if target_count not in claim.counts:
            self._shares.use_slot(
                Slot(number, claim.epoch, _merge_counts(claim.counts, target_count)),
                monotonic(),
            )
        else:
            # An earlier update may have been stored although its answer was lost.
            await self._use_stored_claim(table, number)
            if (
                claim.counts != (target_count,)
                and target_count not in table.common_counts()
            ):
                table = await self._without_removed_vms(table)
        changed_table = table.with_count(number, target_count)
        if changed_table.claims != table.claims:
            await self._write(changed_table, version)
            await self._use_stored_claim(changed_table, number)

    async def _without_removed_vms(self, table: SlotTable) -> SlotTable:
        vm_names = await self._list_vm_names()
        if self._vm not in vm_names:
            return table
        dropped = {
            slot_number
            for slot_number, entry in table.claims.items()
            if entry.vm not in vm_names
        }
        return table.without(dropped)

    async def _list_vm_names(self) -> set[str]:
        listed = await self._platform.list_vms(deadline_in(CALL_TIMEOUT_S))
        return {vm.name for vm in listed}

    async def _use_stored_claim(self, table: SlotTable, number: int) -> None:
        """Use the stored claim of a slot, after the longest delegation has passed.

        If its weight increases, other claims may have given up this weight only a
        moment ago, and their shares may still be delegated.
        """
        claim = table.claims[number]
        slot = Slot(number, claim.epoch, claim.counts)
        if slot != self._shares.slot:
            await asyncio.sleep(RECLAIM_AFTER_S)
            self._shares.use_slot(slot, monotonic())

    async def _read(self) -> tuple[SlotTable, int]:
        try:
            stored = await self._platform.get(
                OBJECT_KIND, OBJECT_NAME, deadline_in(CALL_TIMEOUT_S)
            )
        except ObjectNotFoundError:
            return SlotTable({}, 0), 0
        return SlotTable.parse(stored.value), stored.version

    async def _write(self, table: SlotTable, version: int) -> None:
        deadline = deadline_in(CALL_TIMEOUT_S)
        await self._platform.put(
            OBJECT_KIND, OBJECT_NAME, table.dump(), version, deadline
        )
