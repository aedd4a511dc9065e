"""Simulation of VMs, ledgers and a faulty network in virtual time.

It checks that the admitted requests never exceed the bound of the account.
"""

import asyncio
import random
import types
from fractions import Fraction
from unittest.mock import patch

from citronwood.config.model import Account, Configuration
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformUnavailableError,
    VersionConflictError,
)
from citronwood.limits import slots as slots_module
from citronwood.limits.ledger import Ledger
from citronwood.limits.shares import Demand, Slot, VmShares
from citronwood.limits.slots import SlotKeeper
from citronwood.platform.api import VersionedObject, Vm

ACCOUNT = "acct"


class Store:
    """Platform store with one versioned object and a list of VMs.

    Each write checks that the weights of no account sum to more than 1.
    """

    def __init__(self):
        self.value = None
        self.version = 0
        self.names = []
        self.lose_answer = False

    async def get(self, kind, name, deadline):
        await asyncio.sleep(0)
        if self.value is None:
            raise ObjectNotFoundError("none")
        return VersionedObject(self.value, self.version)

    async def put(self, kind, name, value, expected_version, deadline):
        await asyncio.sleep(0)
        if expected_version != self.version:
            raise VersionConflictError(kind, name, expected_version, self.version)
        self.value = value
        self.version += 1
        for account in ("a", "b", "c", "d", ACCOUNT):
            assert total_weight(value["claims"], account) <= 1, (
                "the weights of the claims sum to more than 1"
            )
        if self.lose_answer:
            raise PlatformUnavailableError("the answer was lost")
        return self.version

    async def list_vms(self, deadline):
        return [Vm(name, "", "", "live") for name in self.names]


def total_weight(claims, account):
    slots = [
        Slot(int(number), claim["epoch"], tuple(claim["counts"]))
        for number, claim in claims.items()
    ]
    sharing = [
        share_slot for share_slot in slots if share_slot.position(account) is not None
    ]
    return sum((Fraction(1, share_slot.divisor) for share_slot in sharing), Fraction(0))


@types.coroutine
def _sleep(seconds):
    yield seconds


class Simulation:
    """VMs, ledgers and messages in flight, with a clock offset for each process.

    Every admission is checked against the bound in all windows that end with it.
    """

    def __init__(self, burst, rate, slots, vms, clock_offsets):
        account = Account(rate=rate, burst=burst)
        self.current = Configuration(share_slots=slots, accounts={ACCOUNT: account})
        self.burst, self.rate = burst, rate
        self.now = 1000.0
        self.clock_offsets = clock_offsets
        self.admitted = []
        self.in_flight = []
        self._epoch = 0
        # Ledgers of the shares at even and at odd positions (``ledger_index``).
        self.assigned_ledgers = [0, 1]
        self.unreachable = set()
        self.ledgers = [self._ledger() for _ in range(2)]
        self.store = Store()
        self._random = random.Random(vms)
        # By VM: the slot keeper's check that is waiting, and when the wait ends.
        self._checks = {}
        self.vms = []
        for vm in range(vms):
            self.store.names.append(f"vm{vm}")
            self.vms.append(self._vm(f"vm{vm}"))
            self.check(vm)

    def _ledger(self):
        self._epoch += 1
        return Ledger(lambda: self.current, epoch=self._epoch)

    def _vm(self, name):
        self._epoch += 1
        shares = VmShares(lambda: self.current)
        keeper = SlotKeeper(self.store, name, self, shares)
        return f"{name}/{self._epoch}", shares, keeper

    def change_slot_count(self, count):
        self.current = self.current.model_copy(update={"share_slots": count})

    def check(self, vm):
        """Let a slot keeper check its claim, or resume its check after a wait.

        The check runs as a coroutine without an event loop. It yields None for each
        ``sleep(0)`` of the store, and the seconds of each sleep in the slots module.
        """
        due, check = self._checks.pop(vm, (0.0, None))
        if due > self.now:
            self._checks[vm] = (due, check)
            return
        check = check or self.vms[vm][2].check()
        names = vars(asyncio) | {"sleep": _sleep}
        with patch.multiple(
            slots_module,
            asyncio=types.SimpleNamespace(**names),
            monotonic=lambda: self.vm_clock(vm),
            random=self._random,
        ):
            try:
                while not (wait := check.send(None)):
                    pass
                self._checks[vm] = (self.now + wait, check)
            except (StopIteration, VersionConflictError):
                pass

    def vm_clock(self, vm):
        return self.now + self.clock_offsets[vm % len(self.clock_offsets)]

    def ledger_clock(self, ledger):
        return self.now + self.clock_offsets[-1 - ledger] * 2

    def advance(self, seconds):
        self.now += seconds

    def restart_vm(self, vm):
        self._checks.pop(vm, None)
        self.vms[vm] = self._vm(self.vms[vm][0].partition("/")[0])
        self.check(vm)

    def move_slot(self, vm, other):
        """Remove ``vm`` from the platform's list, so that ``other`` claims its slot.

        A new VM takes the place of the removed one.
        """
        if self.vms[other][1].slot is not None or self.vms[vm][1].slot is None:
            return
        self._checks.pop(vm, None)
        self.store.names.remove(self.vms[vm][0].partition("/")[0])
        self.check(other)
        self.vms[vm] = self._vm(f"new{self._epoch}")
        self.store.names.append(f"new{self._epoch - 1}")

    def restart_ledger(self, ledger):
        self.ledgers[ledger] = self._ledger()

    def ask_both_ledgers(self, vm, wanted, ahead=0):
        """Delegate to the VM's own ledger, and ask both ledgers for tokens."""
        own = self.assigned_ledgers[self.vms[vm][1].ledger_index(ACCOUNT)]
        self.ask(vm, own, wanted, ahead)
        self.ask(vm, 1 - own, wanted, ahead, delegate=False)

    def ask(self, vm, ledger, wanted, ahead=0, delegate=True):
        name, shares, _ = self.vms[vm]
        now = self.vm_clock(vm)
        demand = Demand({ACCOUNT: wanted}, {ACCOUNT: ahead})
        message = shares.compose(f"l{ledger}", [ACCOUNT] * delegate, demand, now)
        self.in_flight.append(("request", name, shares, ledger, message, now, None))

    def deliver(self, index, duplicate=False):
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        entry = self.in_flight[index]
        if not duplicate:
            del self.in_flight[index]
        kind, name, shares, ledger, message, sent_at, answer = entry
        if ledger in self.unreachable:
            shares.mark_unresponsive(f"l{ledger}")
        elif kind == "request":
            clock = self.ledger_clock(ledger)
            answer = self.ledgers[ledger].handle(name, message, clock)
            self.in_flight.append(
                ("answer", name, shares, ledger, message, sent_at, answer)
            )
        else:
            shares.apply(f"l{ledger}", message, answer, sent_at)

    def lose(self, index):
        if self.in_flight:
            del self.in_flight[index % len(self.in_flight)]

    def take(self, vm, count):
        _, shares, _ = self.vms[vm]
        for _ in range(count):
            if not shares.try_take(ACCOUNT, self.vm_clock(vm)):
                break
            self._admit()

    def _admit(self):
        self.admitted.append(self.now)
        for index, start in enumerate(reversed(self.admitted)):
            bound = self.burst + self.rate * (self.now - start)
            assert index + 1 <= bound + 1e-6, (
                f"{index + 1} admitted in {self.now - start:.3f} s, bound {bound:.3f}"
            )
