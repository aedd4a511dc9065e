"""Settings of the entry process, from flags and environment variables.

The setting ``drain_s`` has the flag ``--drain-s`` and the variable
``CITRONWOOD_DRAIN_S``. The flag takes precedence.
"""

import os
from collections.abc import Iterator, Mapping
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import AnyHttpUrl, Field, SecretStr, ValidationError
from pydantic_settings import BaseSettings, EnvSettingsSource, SettingsConfigDict

from citronwood.errors import SettingsError

ENV_PREFIX = "CITRONWOOD_"
MIN_FLEET_SECRET_LENGTH = 32
MIN_TOKEN_LENGTH = 16
# Variables with the same prefix that are no settings; the client commands read them.
CLIENT_VARIABLES = ("CITRONWOOD_OPERATOR_URL",)
EXIT_CODE_INVALID = 2

Port = Annotated[int, Field(ge=1, le=65535)]
VmName = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
_INNER_URL = r"tcp://[0-9a-fA-F.:\[\]]+:[0-9]{1,5}"
InnerUrl = Annotated[str, Field(pattern=f"^{_INNER_URL}$")]
InnerUrls = Annotated[str, Field(pattern=f"^({_INNER_URL}(,{_INNER_URL})*)?$")]


class Settings(BaseSettings):
    """Settings of one VM."""

    model_config = SettingsConfigDict(
        env_prefix=ENV_PREFIX, extra="forbid", frozen=True
    )

    vm_name: VmName = Field(description="name of this VM in the platform's list")
    failure_domain: VmName = Field(description="failure domain of this VM")
    listen_host: str = Field(
        "127.0.0.1", description="IP address to listen on for callers"
    )
    listen_port: Port = Field(3306, description="TCP port to listen on for callers")
    inner_host: str = Field(
        "127.0.0.1", description="IP address to listen on for other VMs"
    )
    inner_port: Port = Field(7300, description="TCP port to listen on for other VMs")
    advertised_url: InnerUrl | None = Field(
        None,
        description="address for other VMs, tcp://IP:PORT, if not the inner address",
    )
    seeds: InnerUrls = Field(
        "",
        description="addresses of some other VMs, tcp://IP:PORT,..., to start while"
        " the platform's service is down",
    )
    operator_host: str = Field(
        "127.0.0.1", description="IP address of the operator API"
    )
    operator_port: Port = Field(7400, description="TCP port of the operator API")
    platform_url: AnyHttpUrl = Field(description="URL of the platform's service")
    backend_user: str = Field("proxy", description="user on the backend servers")
    backend_password: SecretStr = Field(description="password of the backend user")
    fleet_secret: SecretStr = Field(description="secret shared by all VMs")
    operator_token: SecretStr = Field(description="token of the operator API")
    metrics_host: str = Field("127.0.0.1", description="IP address of the metrics page")
    metrics_port: Port | None = Field(
        None, description="TCP port of the metrics page; not served if unset"
    )
    tls_certificate: Path | None = Field(None, description="certificate file (PEM)")
    tls_key: Path | None = Field(None, description="private key file (PEM)")
    statsd_host: str | None = Field(None, description="host of the statsd server")
    statsd_port: Port = Field(8125, description="UDP port of the statsd server")
    log_format: Literal["plain", "json"] = Field(
        "json", description="log format, json or plain"
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        "info", description="log level: debug, info, warning or error"
    )
    drain_s: Annotated[float, Field(ge=0, le=3600)] = Field(
        30.0, description="seconds that a planned stop waits for running requests"
    )
    platform_calls_per_s: Annotated[float, Field(gt=0, le=1000)] = Field(
        3.0, description="maximum rate of calls to the platform's service"
    )
    platform_burst: Annotated[int, Field(ge=1, le=1000)] = Field(
        12, description="maximum burst of calls to the platform's service"
    )
    memory_mb: Annotated[float, Field(ge=0)] = Field(
        0.0, description="memory of the process in MB, 0 if it is not limited"
    )
    max_descriptors: Annotated[int, Field(ge=0)] = Field(
        0, description="file descriptors of the process, 0 for the limit of the system"
    )


class LoadedSettings(NamedTuple):
    """Settings and the source of each: a flag, a variable or the default."""

    settings: Settings
    sources: dict[str, str]


def flag_of(name: str) -> str:
    """Return the flag of a setting."""
    return "--" + name.replace("_", "-")


def variable_of(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENV_PREFIX + name.upper()


def load_settings(flags: Mapping[str, str | None]) -> LoadedSettings:
    """Return the settings or raise ``SettingsError`` with all errors.

    Parameters
    ----------
    flags : mapping
        Values from the command line by name of the setting, None if not given.
    """
    flag_values = {name: value for name, value in flags.items() if value is not None}
    variables = EnvSettingsSource(Settings)()
    values = {**variables, **flag_values}
    findings = list(_unknown_variable_findings())
    settings: Settings | None = None
    try:
        settings = Settings(**flag_values)  # type: ignore[arg-type]
    except ValidationError as error:
        findings += _field_findings(error)
    findings += _cross_field_findings(values)
    if findings or settings is None:
        raise SettingsError(findings)
    sources = {
        name: _source(name, flag_values, variables)
        for name in type(settings).model_fields
    }
    return LoadedSettings(settings, sources)


def describe_settings(loaded: LoadedSettings) -> list[tuple[str, str, str]]:
    """Return name, value and source of each setting; secrets are masked."""
    return [
        (name, _display_value(getattr(loaded.settings, name)), loaded.sources[name])
        for name in type(loaded.settings).model_fields
    ]


def _display_value(value: Any) -> str:
    return "-" if value is None else str(value)


def _flag_and_variable(name: str) -> str:
    return f"{flag_of(name)} ({variable_of(name)})"


def _source(
    name: str, flag_values: Mapping[str, Any], variables: Mapping[str, Any]
) -> str:
    if name in flag_values:
        return f"flag {flag_of(name)}"
    if name in variables:
        return f"variable {variable_of(name)}"
    return "default"


def _field_findings(error: ValidationError) -> Iterator[str]:
    # Leaves out the input value, which may be a secret.
    for detail in error.errors(include_url=False, include_input=False):
        name = str(detail["loc"][0])
        if detail["type"] == "missing":
            yield f"{_flag_and_variable(name)}: is required"
        else:
            yield f"{_flag_and_variable(name)}: {detail['msg']}"


def _unknown_variable_findings() -> Iterator[str]:
    known_variables = {variable_of(name) for name in Settings.model_fields}
    known_variables.update(CLIENT_VARIABLES)
    for variable in sorted(os.environ):
        if variable.startswith(ENV_PREFIX) and variable not in known_variables:
            yield f"{variable}: there is no such setting"


def _cross_field_findings(values: Mapping[str, Any]) -> Iterator[str]:
    """Yield errors that the types of the settings do not detect."""
    for name in ("listen_host", "inner_host", "operator_host"):
        yield from _address_findings(name, values.get(name))
    yield from _port_findings(values)
    yield from _tls_findings(values)
    for name, length in (
        ("fleet_secret", MIN_FLEET_SECRET_LENGTH),
        ("operator_token", MIN_TOKEN_LENGTH),
    ):
        if name in values and len(values[name]) < length:
            yield f"{_flag_and_variable(name)}: must have at least {length} characters"


def _address_findings(name: str, value: str | None) -> Iterator[str]:
    if value is None:
        return
    try:
        ip_address(value)
    except ValueError:
        yield f"{_flag_and_variable(name)}: must be an IP address"


def _port_findings(values: Mapping[str, Any]) -> Iterator[str]:
    name_by_port: dict[str, str] = {}
    for name in ("listen_port", "inner_port", "operator_port"):
        value = str(values.get(name, Settings.model_fields[name].default))
        if value in name_by_port:
            yield (
                f"{_flag_and_variable(name)}: is the same as"
                f" {flag_of(name_by_port[value])}"
            )
        name_by_port[value] = name


def _tls_findings(values: Mapping[str, Any]) -> Iterator[str]:
    pair = ("tls_certificate", "tls_key")
    present = [name for name in pair if values.get(name)]
    if len(present) == 1:
        (missing,) = set(pair) - set(present)
        yield f"{_flag_and_variable(missing)}: is required with {flag_of(present[0])}"
    for name in present:
        if not Path(values[name]).is_file():
            yield f"{_flag_and_variable(name)}: there is no such file"
