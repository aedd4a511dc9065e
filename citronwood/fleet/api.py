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
        """VMs that may take roles, sorted by name.

        A role is, for example, gateway of a database group or ledger of an account.
        This VM is included only while its own status is ``live``.
        """
        ...

    def is_dead(self, name: str) -> bool:
        """Whether the VM is known to have failed or left."""
        ...

    def heard_majority(self, within_s: float) -> bool:
        """Whether a majority of the fleet was heard from in the last ``within_s``.

        The fleet is this VM and the others on the platform's list. Until a list is
        received, it is this VM and all known VMs that are not dead.
        """
        ...
