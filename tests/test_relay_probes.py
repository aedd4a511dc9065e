"""Status probes of servers that do not report a status."""

import asyncio
from types import SimpleNamespace

import pytest

from citronwood.errors import BackendUnavailableError, ServerFullError
from citronwood.relay import probes as probes_module
from citronwood.relay.probes import MAX_FULL_S, Probes

SERVER = SimpleNamespace(host="10.0.0.1", port=1, group="g", id="s1")


class _Clock:
    def __init__(self, monkeypatch):
        self.time = 100.0
        monkeypatch.setattr(probes_module, "now", lambda: self.time)


def _probes(error):
    async def connect(*arguments):
        raise error

    servers = SimpleNamespace(get=lambda _: SimpleNamespace(server=SERVER))
    return Probes(servers, connect, None, None)


@pytest.mark.parametrize(
    "error, is_alive",
    [(ServerFullError("full"), True), (BackendUnavailableError("no answer"), False)],
)
def test_server_without_room_for_a_connection_is_not_silent(
    monkeypatch, error, is_alive
):
    # Guards against a change of primary because the connections of VMs that have lost
    # power hold all places of a server. In a simulated day, a healthy primary was
    # replaced 2 s after the return of all VMs, and 149 statements found no primary.
    clock = _Clock(monkeypatch)
    probes = _probes(error)
    assert asyncio.run(probes.status("s1", clock.time + 1)) is None
    assert probes.answered_within("s1", 0.5) == is_alive


def test_server_that_refuses_connections_for_long_counts_as_silent(monkeypatch):
    # Guards against a primary that refuses all connections and is never replaced.
    clock = _Clock(monkeypatch)
    probes = _probes(ServerFullError("full"))
    for _ in range(20):
        asyncio.run(probes.status("s1", clock.time + 1))
        clock.time += 0.25
    assert clock.time > 100.0 + MAX_FULL_S
    assert not probes.answered_within("s1", 0.5)
