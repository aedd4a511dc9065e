"""Configuration and backend servers of the platform, as the relay uses them."""

from enum import Enum
from typing import NamedTuple


class Consistency(Enum):
    """Consistency level: how recent the data of a read must be."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded_age"
    READ_YOUR_WRITES = "read_your_writes"


class Role(Enum):
    """Role of a backend server in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Route(NamedTuple):
    """Route of a database name that callers use to a group.

    ``max_age_s`` is the accepted age of a read's data; None requires the newest commit.
    ``priority`` is 0 for the most important routes. ``target_latency_s`` is the time
    within which an operation should be answered.
    """

    database: str
    group: str
    consistency: Consistency
    statement_timeout_s: float
    priority: int
    max_age_s: float | None
    open_to_all: bool
    target_latency_s: float | None = None


class Account(NamedTuple):
    """Client account and its rate limit in operations/s; None means no limit."""

    name: str
    rate: float | None
    burst: float


class Rules(NamedTuple):
    """One version of the configuration.

    ``connection_caps`` has an entry for each group: the maximum number of connections
    to each of its servers, for all VMs together. ``sync_replicas`` has the number of
    replicas that have received a commit of a group before it is acknowledged.
    ``cold_rates`` has the requests/s from which the limit for a cold server of a group
    follows; 0 without a limit.
    """

    version: int
    routes: dict[str, Route]
    accounts: dict[str, Account]
    account_of_key: dict[str, str]
    connection_caps: dict[str, int]
    sync_replicas: dict[str, int]
    transaction_idle_s: float
    cold_rates: dict[str, float] = {}


class BackendServer(NamedTuple):
    """Backend server as described by its own entry in the store.

    ``started_at`` distinguishes a restarted server from the earlier process with the
    same id. ``evacuated`` is set while this VM knows that the server's failure domain
    is evacuated; ``draining`` then is set as well. ``cold`` is set while the server is
    slow after its start.
    """

    id: str
    group: str
    host: str
    port: int
    failure_domain: str
    role: Role
    draining: bool
    slots: int
    started_at: int
    evacuated: bool = False
    cold: bool = False


class Position(NamedTuple):
    """Position in a group's log; positions compare by term first."""

    term: int
    number: int
