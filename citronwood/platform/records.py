"""Conversion of the platform's records into the types of the relay.

Terms of the platform: a tenant is a client account, a zone a failure domain, a service
a database group, a route's ``host`` the database name, an entry of ``servers`` a
backend server, an object of ``evacuations`` an evacuated failure domain.
"""

import logging
import re
from ipaddress import IPv4Address
from typing import Annotated, Any, Literal

import msgspec

from citronwood.decisions import log_state
from citronwood.platform.api import Listing
from citronwood.relay.model import (
    Account,
    BackendServer,
    Consistency,
    Role,
    Route,
    Rules,
)

log = logging.getLogger(__name__)

RULES_KIND = "config"
RULES_NAME = "main"
SERVERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"

# Defaults for omitted limits, taken from the platform's examples.
DEFAULT_STATEMENT_TIMEOUT_MS = 1000
DEFAULT_TRANSACTION_IDLE_MS = 3000
DEFAULT_MAX_CONNECTIONS = 75

# Largest integer that JSON implementations keep exactly.
MAX_NUMBER = 2**53 - 1
# Names of groups and servers are fields of the line with which a connection starts.
_NAME_PATTERN = r"^[!-~]+\Z"

_CONSISTENCY = {
    "primary": Consistency.PRIMARY,
    "bounded": Consistency.BOUNDED_AGE,
    "read_your_writes": Consistency.READ_YOUR_WRITES,
}


class _Route(msgspec.Struct):
    # Name of the database.
    host: str
    service: str
    kind: Literal["primary", "bounded", "read_your_writes"] = "primary"
    timeout_ms: float = DEFAULT_STATEMENT_TIMEOUT_MS
    target_latency_ms: float | None = None
    priority: int = 0
    max_staleness_ms: float | None = None
    allow_anonymous: bool = False


class _Service(msgspec.Struct):
    name: str
    # Maximum number of connections to each backend server, over all callers and VMs.
    max_conns: int = DEFAULT_MAX_CONNECTIONS
    # Number of replicas that have received a commit before it is acknowledged.
    sync_replicas: int = 0
    # Requests/s from which the limit for a cold server follows; 0 without a limit.
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    tx_idle_ms: float = DEFAULT_TRANSACTION_IDLE_MS


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    # Counts operations: transactions, and reads or writes outside of a transaction.
    rate_per_s: float | None = None
    burst: float | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
    address: str
    zone: str
    state: Literal["ready", "draining"]
    db_role: Literal["primary", "replica"]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)] = 1
    # Start time in Unix milliseconds; distinguishes servers that reuse an id.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)] = 0
    # Time until the server is as fast as usual.
    cold_remaining_ms: float = 0.0


def decode_rules(listing: Listing) -> Rules | None:
    """Decode the configuration; None if it is missing or malformed."""
    stored = listing.objects.get(RULES_NAME)
    if stored is None:
        return None
    try:
        record = msgspec.convert(stored.value, _Configuration)
    except msgspec.ValidationError as error:
        log_state(
            log, "configuration", "malformed", f"config: malformed, not used: {error}"
        )
        return None
    return Rules(
        version=record.version,
        routes={route.host: _convert_route(route) for route in record.routes},
        accounts={tenant.name: _convert_account(tenant) for tenant in record.tenants},
        account_of_key={
            key: tenant.name for tenant in record.tenants for key in tenant.api_keys
        },
        connection_caps={
            service_record.name: service_record.max_conns
            for service_record in record.services
        },
        sync_replicas={
            service_record.name: service_record.sync_replicas
            for service_record in record.services
        },
        cold_rates={
            service_record.name: service_record.cold_per_s
            for service_record in record.services
        },
        transaction_idle_s=record.limits.tx_idle_ms / 1000,
    )


def decode_servers(listing: Listing) -> list[BackendServer]:
    """Decode the backend servers; malformed entries are left out."""
    servers = []
    for server_id, stored in listing.objects.items():
        server = _decode_server(server_id, stored.value)
        if server is not None:
            servers.append(server)
    return servers


def decode_evacuations(listing: Listing) -> frozenset[str]:
    """Return the evacuated failure domains, by which the objects are named.

    The content of an object does not matter, not even if it is malformed.
    """
    return frozenset(listing.objects)


def _decode_server(server_id: str, value: dict[str, Any]) -> BackendServer | None:
    try:
        if re.match(_NAME_PATTERN, server_id) is None:
            raise ValueError("the id is not a printable word")
        record = msgspec.convert(value, _Server)
        host, port = _parse_address(record.address)
        return BackendServer(
            id=server_id,
            group=record.service,
            host=host,
            port=port,
            failure_domain=record.zone,
            role=Role.PRIMARY if record.db_role == "primary" else Role.REPLICA,
            draining=record.state == "draining",
            slots=record.slots,
            started_at=record.born,
            cold=record.cold_remaining_ms > 0,
        )
    except (msgspec.ValidationError, ValueError) as error:
        log_state(
            log, "server", "malformed", f"gateway: malformed entry {server_id}: {error}"
        )
        return None


def _parse_address(address: str) -> tuple[str, int]:
    """Return host and port; raises ``ValueError`` unless both can be connected to.

    The platform has no name lookups, so a host is an IPv4 address.
    """
    host, _, port = address.rpartition(":")
    parsed = IPv4Address(host)
    if parsed.is_unspecified or parsed.is_multicast:
        raise ValueError(f"{host} is not the address of a server")
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"{port!r} is not a port")
    return host, int(port)


def _convert_route(record: _Route) -> Route:
    max_age_ms, target_ms = record.max_staleness_ms, record.target_latency_ms
    return Route(
        database=record.host,
        group=record.service,
        consistency=_CONSISTENCY[record.kind],
        statement_timeout_s=record.timeout_ms / 1000,
        priority=record.priority,
        max_age_s=None if max_age_ms is None else max_age_ms / 1000,
        open_to_all=record.allow_anonymous,
        target_latency_s=None if target_ms is None else target_ms / 1000,
    )


def _convert_account(record: _Tenant) -> Account:
    rate = record.rate_per_s
    burst = record.burst if record.burst is not None else (rate or 0.0)
    return Account(record.name, rate, burst)
