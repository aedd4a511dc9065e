"""Decisions on the limits of a process: pure code, without I/O.

Load pattern: callers that respect no limit open thousands of connections, and send
messages of up to 1 MiB at once, in small pieces, without an end or without reading the
answers. All of them together stay within the memory and the descriptors that the
settings give to the process. The keys are the connections themselves.
"""

import resource
from collections import OrderedDict, deque
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K")

MIB = 1 << 20
# Memory of a process of the platform without callers: 46 MB were measured; the rest is
# for the configuration, connections to servers and fragmentation.
RELAY_BASE_MB = 80.0
# The same for the entry process, which imports more: 93 MB were measured.
ENTRY_BASE_MB = 110.0
# Used when the settings do not name the memory.
DEFAULT_MEMORY_MB = 512.0
# Of the memory beyond the base, the share that callers may use. The rest is for answers
# of servers, whose size is not known in advance, and for fragmentation.
CALLERS_MEMORY_SHARE = 0.75
# Below this, one message of 1 MiB could not be handled beside others.
MIN_CALLERS_BYTES = 16 * MIB
# Stream, task and session of an idle connection, and its small buffers.
CONNECTION_BYTES = 8 * 1024
# Descriptors that the platform asks to keep unused.
RESERVED_DESCRIPTORS = 200
# Shares of the other descriptors. The rest is for connections to backend servers (112
# to each server that a VM owns), to other VMs and to the store, and for files.
CALLERS_DESCRIPTOR_SHARE = 0.6
PEERS_DESCRIPTOR_SHARE = 0.1
MAX_PEER_CONNECTIONS = 2048
# Connections for each of: readiness checks, metrics, the operator API.
SERVICE_CONNECTIONS = 16
MIN_CONNECTIONS = 16
# Half of 2,000 open sessions, as after a restart when two VMs are ready.
USUAL_CONNECTIONS = 1000
# Copies of a statement while it is handled: received line, text, value, encoded line,
# write buffer, and one for the conversion between them.
HANDLING_COPIES = 6
# Connections that have been idle for less than this are not closed for a new one, so
# that a storm of connections does not close sessions that have just been opened.
MIN_IDLE_S = 1.0
# Refusals within the window after which the next ones to this address are delayed.
FREE_REFUSALS = 20
REFUSAL_WINDOW_S = 10.0
REFUSAL_DELAY_S = 0.2
MAX_TRACKED_ADDRESSES = 1024
MAX_DELAYED_REFUSALS = 64


class Limits(NamedTuple):
    """Limits of one process.

    ``connections`` are those of callers, ``peers`` those of other VMs. The byte limits
    hold for all connections together: ``buffered_bytes`` received and not yet handled,
    ``handled_bytes`` for statements that run, with their copies, and ``unsent_bytes``
    of answers that callers have not read.
    """

    connections: int
    peers: int
    buffered_bytes: int
    handled_bytes: int
    unsent_bytes: int


def derive_limits(
    memory_mb: float = 0.0, max_descriptors: int = 0, base_mb: float = RELAY_BASE_MB
) -> Limits:
    """Return the limits for a process; 0 stands for a value that is not known.

    A quarter of the callers' memory is for each kind of bytes, and one for connections.
    """
    quarter = _callers_bytes(memory_mb, base_mb) // 4
    available = _available_descriptors(max_descriptors)
    by_descriptors = int(available * CALLERS_DESCRIPTOR_SHARE)
    by_memory = quarter // CONNECTION_BYTES
    peers = int(available * PEERS_DESCRIPTOR_SHARE)
    return Limits(
        connections=max(MIN_CONNECTIONS, min(by_descriptors, by_memory)),
        peers=max(MIN_CONNECTIONS, min(peers, MAX_PEER_CONNECTIONS)),
        buffered_bytes=quarter,
        handled_bytes=quarter,
        unsent_bytes=quarter,
    )


def find_misfits(
    memory_mb: float, max_descriptors: int, base_mb: float = RELAY_BASE_MB
) -> list[str]:
    """Return a warning for each limit that ordinary callers may reach."""
    warnings = []
    if _callers_bytes(memory_mb, base_mb) == MIN_CALLERS_BYTES:
        warnings.append(
            f"memory of {memory_mb:.0f} MB leaves callers less than"
            f" {MIN_CALLERS_BYTES // MIB} MiB beside the process ({base_mb:.0f} MB)"
        )
    limits = derive_limits(memory_mb, max_descriptors, base_mb)
    if limits.connections < USUAL_CONNECTIONS:
        warnings.append(
            f"callers may open {limits.connections} connections, fewer than"
            f" {USUAL_CONNECTIONS}; their number follows from descriptors and memory"
        )
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if max_descriptors > soft_limit != resource.RLIM_INFINITY:
        warnings.append(
            f"{max_descriptors} descriptors are configured, the system allows"
            f" {soft_limit}"
        )
    return warnings


def _callers_bytes(memory_mb: float, base_mb: float) -> int:
    beyond_base = (memory_mb or DEFAULT_MEMORY_MB) - base_mb
    return max(MIN_CALLERS_BYTES, int(beyond_base * CALLERS_MEMORY_SHARE * MIB))


def _available_descriptors(max_descriptors: int) -> int:
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed == resource.RLIM_INFINITY:
        allowed = 1 << 20
    total = min(max_descriptors or allowed, allowed)
    # Half of a very small number, where the reserve would leave nothing.
    return max(total - RESERVED_DESCRIPTORS, total // 2)


class Refused(Enum):
    """Result of an admission when no connection can be closed for the new one."""

    REFUSED = "refused"


class ConnectionBudget(Generic[K]):
    """Decides whether a new connection is accepted, and which one is closed for it.

    Only connections that are idle can be closed for a new one: first those without a
    complete first message, then the one that has been idle longest. Connections with a
    transaction or a running statement are never listed as idle. The arguments are the
    times for which a connection must have been listed before it is closed.
    """

    def __init__(
        self,
        limit: int,
        min_unstarted_s: float = MIN_IDLE_S,
        min_idle_s: float = MIN_IDLE_S,
    ) -> None:
        self.limit = limit
        self.open = 0
        # In the order in which the connections became idle, which a dict keeps.
        self._unstarted: dict[K, float] = {}
        self._idle: dict[K, float] = {}
        self._candidates = (
            (self._unstarted, min_unstarted_s),
            (self._idle, min_idle_s),
        )

    def admit(self, now: float) -> K | Refused | None:
        """Count a new connection.

        Returns None, the connection to close for it, or ``REFUSED``, in which case the
        new connection is not counted.
        """
        if self.open < self.limit:
            self.open += 1
            return None
        for candidates, min_listed_s in self._candidates:
            key = next(iter(candidates), None)
            if key is not None and now - candidates[key] >= min_listed_s:
                del candidates[key]
                self.open += 1
                return key
        return Refused.REFUSED

    def begin(self, key: K, now: float) -> None:
        """List a connection that has not sent its first message."""
        self._unstarted[key] = now

    def set_idle(self, key: K, now: float) -> None:
        """List a connection as idle outside of a transaction."""
        self._idle[key] = now

    def set_busy(self, key: K) -> None:
        """Take a connection off the list of idle ones."""
        self._idle.pop(key, None)

    def set_started(self, key: K) -> None:
        """Take a connection off the list of those without a first message."""
        self._unstarted.pop(key, None)

    def remove(self, key: K) -> None:
        """Stop counting a connection that has ended."""
        self._idle.pop(key, None)
        self._unstarted.pop(key, None)
        self.open -= 1


class ByteBudget(Generic[K]):
    """Bytes that each connection holds, and the limit for all of them together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self._held: dict[K, int] = {}

    @property
    def is_exceeded(self) -> bool:
        """Whether all connections together hold more than the limit."""
        return self.total > self.limit

    @property
    def has_room(self) -> bool:
        """Whether a quarter of the limit is free, so that reading may go on."""
        return self.total <= self.limit * 3 // 4

    def held(self, key: K) -> int:
        """Return the bytes that a connection holds."""
        return self._held.get(key, 0)

    def set(self, key: K, count: int) -> None:
        """Record how much a connection holds now."""
        self.total += count - self._held.pop(key, 0)
        if count:
            self._held[key] = count

    def find_largest(self, excess_over: int) -> list[K]:
        """Return the connections to close, largest first, to get down to a total."""
        chosen: list[K] = []
        total = self.total
        for key in sorted(self._held, key=self._held.__getitem__, reverse=True):
            if total <= excess_over:
                break
            total -= self._held[key]
            chosen.append(key)
        return chosen


class HandlingBudget(Generic[K]):
    """Admits statements while their copies fit into the limit, in their order."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self._held: dict[K, int] = {}
        self._waiting: OrderedDict[K, int] = OrderedDict()

    def take(self, key: K, size: int) -> bool:
        """Admit a statement of this size, or list it as waiting and return False.

        A statement that is larger than the limit is admitted alone.
        """
        cost = size * HANDLING_COPIES
        if not self._waiting and self._fits(cost):
            self._admit(key, cost)
            return True
        self._waiting[key] = cost
        return False

    def release(self, key: K) -> list[K]:
        """End a statement, or its wait; return those that are admitted now."""
        self._waiting.pop(key, None)
        self.total -= self._held.pop(key, 0)
        admitted: list[K] = []
        while self._waiting:
            first, cost = next(iter(self._waiting.items()))
            if not self._fits(cost):
                break
            del self._waiting[first]
            self._admit(first, cost)
            admitted.append(first)
        return admitted

    def _fits(self, cost: int) -> bool:
        return not self.total or self.total + cost <= self.limit

    def _admit(self, key: K, cost: int) -> None:
        self._held[key] = cost
        self.total += cost


class RefusalPacer:
    """Delays the refusals to addresses that try many unknown keys or databases."""

    def __init__(self) -> None:
        self._refused_at: OrderedDict[str, deque[float]] = OrderedDict()
        self.delayed = 0

    def delay_s(self, address: str, now: float) -> float:
        """Count a refusal and return by how much it is delayed.

        Above ``MAX_TRACKED_ADDRESSES``, the address refused least recently is dropped.
        """
        times = self._refused_at.pop(address, None)
        if times is None:
            times = deque(maxlen=FREE_REFUSALS)
        is_frequent = len(times) == FREE_REFUSALS and now - times[0] < REFUSAL_WINDOW_S
        times.append(now)
        self._refused_at[address] = times
        if len(self._refused_at) > MAX_TRACKED_ADDRESSES:
            self._refused_at.popitem(last=False)
        if is_frequent and self.delayed < MAX_DELAYED_REFUSALS:
            return REFUSAL_DELAY_S
        return 0.0
