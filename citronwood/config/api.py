"""Interface through which other packages read the configuration."""

from typing import Protocol

from citronwood.config.model import Configuration


class ConfigSource(Protocol):
    """The configuration in force on this VM."""

    @property
    def current(self) -> Configuration:
        """The newest configuration this VM knows."""
        ...

    @property
    def may_serve(self) -> bool:
        """Whether requests may run.

        False while this VM has no configuration, is cut off from the fleet or may have
        missed a version.
        """
        ...

    @property
    def validation_age_ms(self) -> int | None:
        """Time since the version in force was last confirmed to be the newest.

        None if it has never been confirmed.
        """
        ...

    async def wait_for(self, version: int, deadline: float) -> bool:
        """Wait for this version or a newer one; return False at the deadline."""
        ...


class FixedConfig:
    """Configuration that never changes, for tests and tools."""

    def __init__(self, config: Configuration) -> None:
        self._config = config

    @property
    def current(self) -> Configuration:
        """The configuration."""
        return self._config

    @property
    def may_serve(self) -> bool:
        """Always True."""
        return True

    @property
    def validation_age_ms(self) -> int | None:
        """Always zero."""
        return 0

    async def wait_for(self, version: int, deadline: float) -> bool:
        """Return at once whether the version is high enough."""
        return self._config.version >= version
