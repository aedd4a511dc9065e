"""Configuration and plans as objects of the platform's store."""

from typing import Any

from pydantic import ValidationError

from citronwood.config.model import Configuration
from citronwood.errors import ObjectNotFoundError, PlatformError
from citronwood.platform.api import PlatformClient, VersionedObject

CONFIG_KIND = "config"
CONFIG_NAME = "current"
PLAN_KIND = "plan"
# Calls that an operator waits for. They have priority in the call budget, see
# platform/budget.py.
URGENT_CALLS = frozenset({f"get.{PLAN_KIND}", f"put.{PLAN_KIND}", f"put.{CONFIG_KIND}"})


def to_document(config: Configuration) -> dict[str, Any]:
    """Return the stored form, without the version, which the store assigns."""
    return config.model_dump(mode="json", exclude={"version"})


def from_versioned(found: VersionedObject) -> Configuration:
    """Return the configuration in a store object, with the object's version."""
    try:
        return Configuration.model_validate({**found.value, "version": found.version})
    except (ValidationError, TypeError) as error:
        raise PlatformError(f"the stored configuration is invalid: {error}") from None


async def read_configuration(
    platform: PlatformClient, deadline: float
) -> Configuration:
    """Return the newest configuration, an empty one if none is stored yet."""
    try:
        stored = await platform.get(CONFIG_KIND, CONFIG_NAME, deadline)
    except ObjectNotFoundError:
        return Configuration()
    return from_versioned(stored)
