"""Interface that limits the requests of client accounts by rate and burst."""

from typing import Protocol

from result import Ok, Result

from citronwood.errors import Refusal


class Limiter(Protocol):
    """Admits requests within the rate and burst of their client account."""

    async def acquire(self, account: str, deadline: float) -> Result[None, Refusal]:
        """Take one token, waiting at most until the deadline, or return a refusal."""
        ...


class Unlimited:
    """Limiter that admits every request, for tests and tools."""

    async def acquire(self, account: str, deadline: float) -> Result[None, Refusal]:
        """Admit the request."""
        return Ok(None)
