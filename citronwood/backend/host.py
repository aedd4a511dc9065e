"""What the gateway of a database group gets from the VM that hosts it."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from citronwood.backend.connection import Login
from citronwood.metrics import Metrics
from citronwood.operator.records import Records


class Host(NamedTuple):
    """The VM of a gateway, as the gateway sees it.

    ``rank`` is the place of the VM among the gateways of the group, zero for the first,
    ``weight`` the weight of a client account in the queue for connections. ``peers``
    names the VMs that may hold a seat, so that ``is_dead`` can be asked about them.
    """

    vm: str
    login: Login
    rank: Callable[[], int]
    records: Records
    metrics: Metrics
    is_dead: Callable[[str], bool] = lambda _: False
    peers: Callable[[], Iterable[str]] = tuple
    weight: Callable[[str], float] = lambda _: 1.0
