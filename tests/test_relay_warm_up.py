"""Limit on the requests to a cold server."""

import asyncio
import math

import pytest

from citronwood.platform.api import Listing, VersionedObject
from citronwood.platform.records import decode_rules, decode_servers
from citronwood.relay import warm_up as warm_up_module
from citronwood.relay.warm_up import COLD_FACTOR, COLD_SLACK_PER_S, WarmUp, cold_rate
from tests.fleet_helpers import eventually
from tests.relay_standins import Caller, configuration
from tests.test_relay_fleet import fleet

COLD_PER_S = 10.0
LIMIT = COLD_PER_S * COLD_FACTOR + COLD_SLACK_PER_S


def test_requests_to_a_cold_server_stay_within_the_limit(monkeypatch):
    # Guards against a second with more requests than the limit, of one owner or of many
    # VMs, and against a limit that lets far fewer pass.
    time = 0.0
    monkeypatch.setattr(warm_up_module, "monotonic", lambda: time)
    warm_up = WarmUp()
    warm_up.set_rate(cold_rate(COLD_PER_S, 90, True))
    sent = []
    for step in range(5000):
        time = step / 1000
        if warm_up.delay_s() == 0:
            sent.append(time)
    busiest = max(sum(at <= other < at + 1 for other in sent) for at in sent)
    assert 0.75 * LIMIT <= len(sent) / 5 <= busiest <= LIMIT
    # Statements of open transactions are not refused, but delay others.
    warm_up.take()
    assert warm_up.delay_s() > 0
    assert cold_rate(COLD_PER_S, 90, False) == 0
    assert 90 * cold_rate(COLD_PER_S, 90, None) <= LIMIT
    assert cold_rate(0.0, 90, True) == math.inf


@pytest.mark.parametrize("cold_per_s", [0.0, 1.0])
def test_cold_primary_refuses_and_cold_replica_sends_reads_elsewhere(cold_per_s):
    # Guards against a cold server that gets all requests, against reads that fail
    # although another server can run them, and against a limit that is not configured.
    async def scenario():
        async with fleet(1) as (vms, store, group):
            rules = configuration(version=2)
            rules["services"][0]["cold_per_s"] = cold_per_s
            store.put_directly("config", "main", rules)
            for server in group.servers[:2]:
                entry = {**server.entry(), "cold_remaining_ms": 900.0}
                store.put_directly("servers", server.id, entry)
            servers = vms[0].node._servers
            await eventually(
                lambda: (
                    servers.get(group.servers[0].id).server.cold
                    and vms[0].node.rules.version == 2
                )
            )
            caller = await Caller.connect(vms[0].port)
            writes = [await caller.execute("WRITE x 1") for _ in range(6)]
            refused = [lines for lines, _ in writes if lines[0].startswith("ERROR")]
            if not cold_per_s:
                assert not refused
                return
            assert refused and all(
                lines[0].startswith("ERROR BUSY") and "retry in" in lines[0]
                for lines in refused
            )
            assert len(group.writes) == 6 - len(refused) > 0
            # Reads of other sessions may run at the third server, which is warm.
            caller = await Caller.connect(vms[0].port)
            for _ in range(6):
                lines, _ = await caller.execute("READ x")
                assert lines[0].startswith("ROW")

    asyncio.run(scenario())


def test_cold_servers_and_their_rate_are_decoded():
    rules = configuration()
    rules["services"][0]["cold_per_s"] = 7
    listing = Listing({"main": VersionedObject(rules, 1)}, 1)
    assert decode_rules(listing).cold_rates == {"orders": 7}
    entry = {
        "service": "orders",
        "address": "127.0.0.1:1",
        "zone": "z1",
        "state": "ready",
        "db_role": "replica",
    }
    objects = {
        "warm": VersionedObject(entry, 1),
        "cold": VersionedObject({**entry, "cold_remaining_ms": 1}, 1),
    }
    assert [s.cold for s in decode_servers(Listing(objects, 1))] == [False, True]
