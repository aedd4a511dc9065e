"""The platform's list of backend servers, with entries that are missing for a while."""

import logging
from collections.abc import Iterable

from citronwood.decisions import log_state
from citronwood.relay.clock import now
from citronwood.relay.evacuations import Evacuations
from citronwood.relay.model import BackendServer
from citronwood.relay.servers import Servers

log = logging.getLogger(__name__)

# A server missing from the list is dropped after this time. Entries that expired during
# an outage of the store are back within two seconds after the outage.
MISSING_SERVER_GRACE_S = 2.5


class ServerList:
    """Applies the list of servers and the evacuations to the connection pools."""

    def __init__(self, servers: Servers, evacuations: Evacuations) -> None:
        self._servers = servers
        self._evacuations = evacuations
        self._listed: dict[str, BackendServer] = {}
        self._missing_since: dict[str, float] = {}
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """Whether a list was read."""
        return self._is_known

    def update(self, servers: Iterable[BackendServer]) -> None:
        """Apply the newest list."""
        listed = {entry.id: entry for entry in servers}
        time_now = now()
        for server in self._listed:
            if server not in listed:
                self._missing_since.setdefault(server, time_now)
        for server in listed:
            self._missing_since.pop(server, None)
        self._listed = {**self._listed, **listed}
        self._is_known = True
        self.drop_missing()

    def drop_missing(self) -> None:
        """Drop servers and evacuations that have been missing for too long."""
        self._evacuations.end_missing()
        cutoff = now() - MISSING_SERVER_GRACE_S
        for server, since in list(self._missing_since.items()):
            if since <= cutoff:
                del self._missing_since[server]
                self._listed.pop(server, None)
                log_state(
                    log,
                    "server",
                    "gone",
                    f"gateway: dropped server {server}, missing from the list",
                )
        self.apply()

    def apply(self) -> None:
        """Apply the known list with the evacuations that are in force now."""
        self._servers.replace(map(self._evacuations.mark, self._listed.values()))

    def abort_evacuated(self) -> None:
        """Abort the transactions in evacuated failure domains whose time has passed."""
        aborted = self._servers.abort(self._evacuations.has_to_abort)
        if aborted:
            log_state(
                log,
                "evacuation",
                "aborted",
                f"gateway: closed {aborted} connections to evacuated servers",
                connections=aborted,
            )
