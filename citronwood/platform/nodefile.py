"""Settings file that the platform provides to a process: lines of ``a.b=value``."""

from pathlib import Path
from typing import NamedTuple

from citronwood.errors import SettingsError

SETTINGS_VARIABLE = "CITRONWOOD_SETTINGS"


class Address(NamedTuple):
    """Host and port."""

    host: str
    port: int


class NodeSettings(NamedTuple):
    """Settings of one process.

    ``callers`` and ``readiness`` are listening addresses. ``first_inner_port`` is the
    first port of the range that is reserved for traffic between VMs. ``store`` and
    ``promotions`` are the addresses of the platform's object store and of its service
    that promotes backend servers. ``grace_s`` is the time between the stop signal and
    the forced termination. ``processors`` is the processor time of the VM, in cores,
    ``memory_mb`` its memory and ``max_descriptors`` the number of file descriptors of a
    process; 0 if the file does not name them. ``is_first_start`` is set when the whole
    fleet starts for the first time. ``contracts`` names the parts of the platform's
    rules that are in force, and ``evacuation_s`` is the time within which a failure
    domain has to be evacuated; None if the platform does not ask for it.
    """

    name: str
    failure_domain: str
    callers: Address
    readiness: Address
    first_inner_port: int
    store: Address
    promotions: Address
    grace_s: float
    processors: float
    is_first_start: bool = False
    memory_mb: float = 0.0
    max_descriptors: int = 0
    contracts: frozenset[str] = frozenset()
    evacuation_s: float | None = None


def parse_fields(text: str) -> dict[str, str]:
    """Return the fields; comments and lines without ``=`` are ignored."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.lstrip().startswith("#"):
            fields[name.strip()] = value.strip()
    return fields


def load_settings(path: Path) -> NodeSettings:
    """Read the settings file or raise ``SettingsError`` listing all errors."""
    try:
        fields = parse_fields(path.read_text())
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    return parse_settings(fields)


def parse_settings(fields: dict[str, str]) -> NodeSettings:
    """Parse all fields or raise ``SettingsError`` listing all errors."""
    findings: list[str] = []

    def required_text(name: str) -> str:
        if not fields.get(name):
            findings.append(f"{name}: missing")
        return fields.get(name, "")

    def required_address(name: str) -> Address:
        host, _, port = required_text(name).rpartition(":")
        if fields.get(name) and (not host or not port.isdigit()):
            findings.append(f"{name}: not HOST:PORT")
        return Address(host, int(port) if port.isdigit() else 0)

    def optional_number(name: str, default: float) -> float:
        try:
            return float(fields.get(name) or default)
        except ValueError:
            findings.append(f"{name}: not a number")
            return default

    ports = required_text("port_range").split(",")
    evacuation_ms = optional_number("bounds.evacuate_ms", 0.0)
    if fields.get("port_range") and not ports[0].isdigit():
        findings.append("port_range: not FIRST,LAST")
    settings = NodeSettings(
        name=required_text("node"),
        failure_domain=required_text("zone"),
        callers=required_address("listen.front"),
        readiness=required_address("listen.ready"),
        first_inner_port=int(ports[0]) if ports[0].isdigit() else 0,
        store=required_address("platform.address"),
        promotions=required_address("cloud.address"),
        # The default is the grace period in the platform's documentation.
        grace_s=optional_number("bounds.grace_s", 6.0),
        processors=optional_number("limits.cpu_share", 1.0)
        * optional_number("limits.cores", 1.0),
        is_first_start=fields.get("bootstrap") == "true",
        memory_mb=optional_number("limits.memory_mb", 0.0),
        max_descriptors=int(optional_number("limits.max_fds", 0.0)),
        contracts=frozenset(filter(None, fields.get("contracts", "").split(","))),
        evacuation_s=evacuation_ms / 1000 if evacuation_ms else None,
    )
    if findings:
        raise SettingsError(findings)
    return settings
