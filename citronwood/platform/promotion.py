"""Client of the platform's call to promote a backend server to primary."""

import logging

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, DummyCookieJar

from citronwood.deadline import time_left
from citronwood.decisions import log_state
from citronwood.errors import PlatformUnavailableError
from citronwood.platform.nodefile import Address

log = logging.getLogger(__name__)


class HttpPromotion:
    """Implements ``Promotion`` over HTTP."""

    def __init__(self, address: Address) -> None:
        self._url = f"http://{address.host}:{address.port}/promote"

    async def __call__(
        self, group: str, server: str, holder: str, fence: int, deadline: float
    ) -> bool:
        """Promote the server; False if the platform rejects this server."""
        body = msgspec.json.encode({"service": group, "id": server})
        headers = {
            "Content-Type": "application/json",
            "Duty-Holder": holder,
            "Fencing-Token": str(fence),
        }
        # A separate connection, so that abandoning the call closes it.
        async with ClientSession(cookie_jar=DummyCookieJar()) as session:
            try:
                async with session.post(
                    self._url,
                    data=body,
                    headers=headers,
                    timeout=ClientTimeout(total=max(0.05, time_left(deadline))),
                ) as response:
                    content = await response.read()
                    status = response.status
            except (ClientError, TimeoutError, OSError) as error:
                raise PlatformUnavailableError(
                    f"promote {server}: {type(error).__name__}"
                ) from None
        log_state(
            log,
            "promote",
            str(status),
            f"group: {group}: promotion of {server} returned status {status}",
            fence=fence,
            answer=content[:200].decode("latin-1"),
        )
        if status == 200:
            return True
        if status in (400, 404, 409):
            return False
        raise PlatformUnavailableError(f"promote {server}: status {status}")
