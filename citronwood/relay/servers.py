"""Backend servers of all groups, and the choice of a replica for a read.

Load pattern: reads are spread over a few replicas, of which one may be slow, behind or
unresponsive, while the connections to each are scarce. A replica in this VM's failure
domain is preferred until this VM's queue for it is longer than that for a remote one.
"""

import math
import random
from collections.abc import Callable, Iterable
from time import monotonic

from citronwood.metrics import Metrics
from citronwood.relay.admission import StatementGate
from citronwood.relay.balance import Candidate, ReadAttempts, ReadBalance
from citronwood.relay.model import BackendServer, Position, Role, Rules
from citronwood.relay.pool import ServerPool
from citronwood.relay.statement import ServerConnector
from citronwood.relay.warm_up import cold_rate

# Extra cost of a server, in units of one waiting request: for crossing a failure domain
# and for opening a connection. Each takes about a fifth of the time of a typical read.
REMOTE_COST = 0.4
CONNECT_COST = 0.3
MAX_RANDOM_COST = 0.01
# For this long after it failed a request, a server is deprioritized.
SUSPECT_DURATION_S = 1.0
SUSPECT_COST = 100.0
# Fraction of a server's connections that the VMs share; the rest is for the relay's
# probes and for VMs that have not yet noticed a change in the number of VMs.
SHARED_FRACTION = 0.9
# Bounds of the connections of this VM to one server that may be in use at once. The
# lower one may exceed this VM's share; the server refuses connections beyond its limit.
MIN_CONNECTIONS = 6
MAX_CONNECTIONS = 64


class Servers:
    """Known backend servers with their connection pools.

    With ``schedules_statements``, a gate at each pool orders the statements.
    ``is_primary`` returns whether this VM may use a server as the primary of its group.
    """

    def __init__(
        self,
        connect: ServerConnector,
        failure_domain: str,
        on_commit: Callable[[str, Position | None], None] | None = None,
        schedules_statements: bool = False,
        metrics: Metrics | None = None,
        is_primary: Callable[[BackendServer], bool] = lambda _: True,
        balance: ReadBalance | None = None,
    ) -> None:
        # Set if reads are balanced by the load of the servers.
        self.balance = balance
        self._connect = connect
        self._failure_domain = failure_domain
        self._on_commit = on_commit
        self._schedules_statements = schedules_statements
        self._metrics = metrics or Metrics()
        self._is_primary = is_primary
        self._pools: dict[str, ServerPool] = {}
        # Pools of servers that left the list or were replaced, until unused.
        self._retired: list[ServerPool] = []
        self._groups: dict[str, list[str]] = {}
        self._suspect_until: dict[str, float] = {}
        self._connection_caps: dict[str, int] = {}
        self._cold_rates: dict[str, float] = {}
        self._vm_count = 1
        self._owns: Callable[[BackendServer], bool | None] = lambda _: None

    def get(self, server: str) -> ServerPool | None:
        """Return the pool of a server."""
        return self._pools.get(server)

    def all_pools(self, server: str) -> list[ServerPool]:
        """Return the pools with connections to a server, also to one not listed now."""
        retired = [pool for pool in self._retired if pool.server.id == server]
        known = self._pools.get(server)
        return retired if known is None else [known, *retired]

    def of_group(self, group: str) -> list[BackendServer]:
        """Return the known servers of a group."""
        return [self._pools[member].server for member in self._groups.get(group, ())]

    def others_of_group(self, group: str, server: str) -> list[BackendServer]:
        """Return the known servers of a group but this one."""
        return [other for other in self.of_group(group) if other.id != server]

    def is_draining(self, server: str) -> bool:
        """Whether a known server is about to leave."""
        pool = self._pools.get(server)
        return pool is not None and pool.server.draining

    def is_evacuated(self, server: str) -> bool:
        """Whether a known server is in an evacuated failure domain."""
        pool = self._pools.get(server)
        return pool is not None and pool.server.evacuated

    def abort(self, has_to_abort: Callable[[BackendServer], bool]) -> int:
        """Close all connections to some servers; return how many were in use."""
        pools = [
            pool
            for pool in [*self._pools.values(), *self._retired]
            if has_to_abort(pool.server)
        ]
        in_use = sum(pool.load for pool in pools)
        for pool in pools:
            pool.abort_all()
        return in_use

    def replace(self, servers: Iterable[BackendServer]) -> None:
        """Apply the platform's newest list of servers."""
        listed = {entry.id: entry for entry in servers}
        dropped = []
        for server_id, pool in list(self._pools.items()):
            new = listed.get(server_id)
            if new is None or _is_replaced(pool.server, new):
                pool.close()
                del self._pools[server_id]
                dropped.append(server_id)
                if pool.load:
                    self._retired.append(pool)
        if self.balance is not None:
            self.balance.forget(dropped)
        groups: dict[str, list[str]] = {}
        for server in listed.values():
            existing = self._pools.get(server.id)
            if existing is None:
                limit = self._connection_limit(server)
                gate = None
                if self._schedules_statements:
                    gate = StatementGate(server.id, server.slots, self._metrics)
                new_pool = ServerPool(
                    server,
                    self._connect,
                    limit,
                    self._on_commit,
                    gate,
                    self._is_primary,
                )
                new_pool.resize(limit, self._share(server))
                self._pools[server.id] = new_pool
            else:
                existing.server = server
            pool = self._pools[server.id]
            pool.warm_up.set_rate(self._cold_rate(server))
            groups.setdefault(server.group, []).append(server.id)
        self._groups = groups

    def divide_connections(
        self,
        rules: Rules,
        vm_count: int,
        owns: Callable[[BackendServer], bool | None],
    ) -> None:
        """Divide the configured connection limits among a number of VMs.

        ``owns`` returns whether this VM is the owner of a server, or None if the VMs
        use a server without forwarding.
        """
        self._connection_caps = rules.connection_caps
        self._cold_rates = rules.cold_rates
        self._vm_count = max(1, vm_count)
        self._owns = owns
        for pool in self._pools.values():
            pool.resize(self._connection_limit(pool.server), self._share(pool.server))
            pool.warm_up.set_rate(self._cold_rate(pool.server))

    def mark_suspect(self, server: str) -> None:
        """Deprioritize a server for a while."""
        self._suspect_until[server] = monotonic() + SUSPECT_DURATION_S

    def choose_replica(
        self, group: str, primary: str | None, account: str, excluded: set[str]
    ) -> ServerPool | None:
        """Return the cheapest replica for a read, None if there is no eligible one."""
        best: ServerPool | None = None
        best_cost = 0.0
        for server_id in self._groups.get(group, ()):
            pool = self._pools[server_id]
            server = pool.server
            if server_id == primary or server_id in excluded or server.draining:
                continue
            if server.role is not Role.REPLICA:
                continue
            cost = self._cost(pool, account)
            if best is None or cost < best_cost:
                best, best_cost = pool, cost
        return best

    def choose_balanced(
        self,
        group: str,
        named_primary: str | None,
        primary: str | None,
        attempts: ReadAttempts,
    ) -> tuple[ServerPool, float | None] | None:
        """Return a server for a read, and the longest wait to accept there.

        ``primary`` is None while the named one may not be used. Returns None if only
        the primary may serve the read.
        """
        assert self.balance is not None
        candidates = {}
        for server_id in self._groups.get(group, ()):
            pool = self._pools[server_id]
            server = pool.server
            is_primary = server_id == primary
            is_replica = server.role is Role.REPLICA and server_id != named_primary
            if not server.draining and (is_primary or is_replica):
                candidates[server_id] = self._candidate(pool, is_primary)
        choice = self.balance.choose(candidates.values(), attempts)
        if choice is None:
            return None
        attempts.start(candidates[choice.server])
        return self._pools[choice.server], choice.max_wait_s

    def start_read(self, pool: ServerPool, attempts: ReadAttempts) -> None:
        """Count a read that only the primary may serve."""
        if self.balance is not None:
            attempts.start(self._candidate(pool, is_primary=True))

    def _candidate(self, pool: ServerPool, is_primary: bool) -> Candidate:
        assert self.balance is not None
        server = pool.server
        is_forwarded = self._owns(server) is False
        return Candidate(
            server.id,
            server.slots,
            server.failure_domain == self._failure_domain,
            is_primary,
            self._is_suspect(pool),
            None if is_forwarded else self.balance.present_load(pool),
        )

    def maintain(self) -> None:
        """Close connections that were idle for too long and raise lowered limits."""
        for pool in self._pools.values():
            pool.close_idle()
            pool.grow()
            pool.report()
        self._retired = [pool for pool in self._retired if pool.load]

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()

    def _cost(self, pool: ServerPool, account: str) -> float:
        # The random part spreads reads over servers with the same load.
        cost = pool.load + random.uniform(0.0, MAX_RANDOM_COST)
        if pool.server.failure_domain != self._failure_domain:
            cost += REMOTE_COST
        if not pool.has_idle(account):
            cost += CONNECT_COST
        if self._is_suspect(pool):
            cost += SUSPECT_COST
        return cost

    def _is_suspect(self, pool: ServerPool) -> bool:
        suspect_until = self._suspect_until.get(pool.server.id, 0.0)
        return not pool.is_usable or monotonic() < suspect_until

    def _share(self, server: BackendServer) -> int:
        """Return how many connections to a server this VM may keep.

        That is an equal share, or all of them for the owner and none for other VMs.
        """
        shared = self._connection_caps.get(server.group, 0) * SHARED_FRACTION
        is_owner = self._owns(server)
        if is_owner is None:
            return int(shared / self._vm_count)
        return int(shared) if is_owner else 0

    def _cold_rate(self, server: BackendServer) -> float:
        """Return how many requests/s this VM may send to a server."""
        if not server.cold:
            return math.inf
        rate = self._cold_rates.get(server.group, 0.0)
        return cold_rate(rate, self._vm_count, self._owns(server))

    def _connection_limit(self, server: BackendServer) -> int:
        return min(MAX_CONNECTIONS, max(MIN_CONNECTIONS, self._share(server)))


def _is_replaced(previous: BackendServer, listed: BackendServer) -> bool:
    return (previous.host, previous.port, previous.started_at) != (
        listed.host,
        listed.port,
        listed.started_at,
    )
