"""Services that a VM provides to the gateways that it hosts."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from citronwood.backend.connection import Login
from citronwood.metrics import Metrics
from citronwood.operator.records import Records


class Host(NamedTuple):
    """VM that hosts a gateway.

    ``promotion_rank`` returns the VM's place in the order in which the group's gateways
    try to promote a member; zero tries first. ``weight`` returns the weight of a client
    account in the queue for connections. ``peers`` returns the VMs that may hold a seat
    (see seats.py); ``is_dead`` tells whether one of them has failed.
    """

    vm: str
    login: Login
    promotion_rank: Callable[[], int]
    records: Records
    metrics: Metrics
    is_dead: Callable[[str], bool] = lambda _: False
    peers: Callable[[], Iterable[str]] = tuple
    weight: Callable[[str], float] = lambda _: 1.0
