"""VMs, ledgers and a faulty network in virtual time, with a check of the bound."""

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
from citronwood.platform.api import Versioned, Vm

ACCOUNT = "acct"


class Store:
    """One object with versions that checks the weights, and a list of VMs."""

    def __init__(self):
        self.value = None
        self.version = 0
        self.names = []
        self.lose_answer = False

    async def get(self, kind, name, deadline):
        await asyncio.sleep(0)
        if self.value is None:
            raise ObjectNotFoundError("none")
        return Versioned(self.value, self.version)

    async def put(self, kind, name, value, expected_version, deadline):
        await asyncio.sleep(0)
        if expected_version != self.version:
            raise VersionConflictError(kind, name, expected_version, self.version)
        self.value = value
        self.version += 1
        for account in ("a", "b", "c", "d", ACCOUNT):
            assert weight(value["claims"], account) <= 1, "weights of all claims"
        if self.lose_answer:
            raise PlatformUnavailableError("the answer was lost")
        return self.version

    async def list_vms(self, deadline):
        return [Vm(name, "", "", "live") for name in self.names]


def weight(claims, account):
    slots = [
        Slot(int(number), one["epoch"], tuple(one["counts"]))
        for number, one in claims.items()
    ]
    held = [one for one in slots if one.position(account) is not None]
    return sum((Fraction(1, one.divisor) for one in held), Fraction(0))


@types.coroutine
def _sleep(seconds):
    yield seconds


class World:
    """Every admission is checked against all windows that end with it."""

    def __init__(self, burst, rate, slots, vms, offsets):
        account = Account(rate=rate, burst=burst)
        self.current = Configuration(share_slots=slots, accounts={ACCOUNT: account})
        self.burst, self.rate = burst, rate
        self.now = 1000.0
        self.offsets = offsets
        self.admitted = []
        self.network = []
        self._epoch = 0
        # Ledger of the even and of the odd share slots, and ledgers without answer.
        self.halves = [0, 1]
        self.down = set()
        self.ledgers = [self._ledger() for _ in range(2)]
        self.store = Store()
        self._random = random.Random(vms)
        # Checks of slot keepers that wait, with the end of the wait.
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

    def change_count(self, count):
        self.current = self.current.model_copy(update={"share_slots": count})

    def check(self, vm):
        """Let a slot keeper check its claim, or go on after its wait."""
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
        return self.now + self.offsets[vm % len(self.offsets)]

    def ledger_clock(self, ledger):
        return self.now + self.offsets[-1 - ledger] * 2

    def advance(self, seconds):
        self.now += seconds

    def restart_vm(self, vm):
        self._checks.pop(vm, None)
        self.vms[vm] = self._vm(self.vms[vm][0].partition("/")[0])
        self.check(vm)

    def move_slot(self, vm, other):
        """Stand for the platform: ``vm`` is gone, ``other`` reclaims its slot."""
        if self.vms[other][1].slot is not None or self.vms[vm][1].slot is None:
            return
        self._checks.pop(vm, None)
        self.store.names.remove(self.vms[vm][0].partition("/")[0])
        self.check(other)
        self.vms[vm] = self._vm(f"new{self._epoch}")
        self.store.names.append(f"new{self._epoch - 1}")

    def restart_ledger(self, ledger):
        self.ledgers[ledger] = self._ledger()

    def ask_halves(self, vm, wanted, ahead=0):
        """Delegate to the VM's own ledger, and ask both for tokens."""
        own = self.halves[self.vms[vm][1].half(ACCOUNT)]
        self.ask(vm, own, wanted, ahead)
        self.ask(vm, 1 - own, wanted, ahead, lend=False)

    def ask(self, vm, ledger, wanted, ahead=0, lend=True):
        name, shares, _ = self.vms[vm]
        now = self.vm_clock(vm)
        demand = Demand({ACCOUNT: wanted}, {ACCOUNT: ahead})
        message = shares.compose(f"l{ledger}", [ACCOUNT] * lend, demand, now)
        self.network.append(("request", name, shares, ledger, message, now, None))

    def deliver(self, index, keep=False):
        if not self.network:
            return
        index %= len(self.network)
        entry = self.network[index]
        if not keep:
            del self.network[index]
        kind, name, shares, ledger, message, sent_at, answer = entry
        if ledger in self.down:
            shares.no_answer(f"l{ledger}")
        elif kind == "request":
            clock = self.ledger_clock(ledger)
            answer = self.ledgers[ledger].handle(name, message, clock)
            self.network.append(
                ("answer", name, shares, ledger, message, sent_at, answer)
            )
        else:
            shares.apply(f"l{ledger}", message, answer, sent_at)

    def lose(self, index):
        if self.network:
            del self.network[index % len(self.network)]

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
