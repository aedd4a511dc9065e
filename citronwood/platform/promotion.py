"""HTTP client with which the leader has the platform promote a backend server."""

import logging

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, DummyCookieJar

from citronwood.deadline import time_left
from citronwood.decisions import log_state
from citronwood.errors import PlatformUnavailableError
from citronwood.platform.nodefile import Address

log = logging.getLogger(__name__)


class HttpPromotion:
    """Implements ``Promotion`` of ``citronwood.relay.succession`` over HTTP."""

    def __init__(self, address: Address) -> None:
        self._url = f"http://{address.host}:{address.port}/promote"

    async def __call__(
        self, group: str, server: str, holder: str, fence: int, deadline: float
    ) -> bool:
        """Promote the server; False if the platform refuses (status 400, 404, 409).

        ``holder`` is the name of the VM that leads and ``fence`` its fencing token.
        Raises ``PlatformUnavailableError`` when the outcome is unknown.
        """
        # The platform calls a database group a service.
        body = msgspec.json.encode({"service": group, "id": server})
        headers = {
            "Content-Type": "application/json",
            "Duty-Holder": holder,
            "Fencing-Token": str(fence),
        }
        # A session for each call, so that its connection is closed if the caller is
        # cancelled.
        async with ClientSession(cookie_jar=DummyCookieJar()) as session:
            try:
                async with session.post(
                    self._url,
                    data=body,
                    headers=headers,
                    # aiohttp takes a timeout of 0 or less as no timeout.
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
