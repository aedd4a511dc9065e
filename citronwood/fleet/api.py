"""Interface of the fleet membership."""

from typing import Protocol

from citronwood.inner.messages import VmState


class Membership(Protocol):
    """The VMs of the fleet as this VM sees them."""

    @property
    def own(self) -> VmState:
        """State of this VM."""
        ...

    @property
    def live(self) -> tuple[VmState, ...]:
        """VMs that may take roles, this one included, sorted by name.

        A role is, for example, gateway of a database group or ledger of an account.
        """
        ...

    def is_dead(self, name: str) -> bool:
        """Whether the VM is known to have failed or left."""
        ...

    def heard_majority(self, within_s: float) -> bool:
        """Whether a majority of the listed VMs was heard from within this time."""
        ...
