"""Random combinations of faults must not break the guarantees of a group."""

import asyncio
import random
from contextlib import suppress

import pytest

from citronwood.backend.api import Reply
from citronwood.deadline import deadline_in
from citronwood.errors import BackendError, Outcome
from tests.group_cluster import History, run, wait_until

MEMBERS = ("m1", "m2", "m3")
SEEDS = tuple(range(1, 3))


class FaultInjector:
    """Injects random faults, one at a time; the effects of one may outlast it."""

    def __init__(self, cluster, gateways, seed):
        self._cluster = cluster
        self._gateways = gateways
        self._random = random.Random(seed)

    async def run(self, faults):
        for _ in range(faults):
            fault = self._random.choice(
                [self._kill, self._freeze, self._cut_link, self._freeze_link,
                 self._delay_link, self._change_primary, self._fence]
            )  # fmt: skip
            member = self._random.choice(MEMBERS)
            print("fault", fault.__name__, member)
            await fault(member)
            await asyncio.sleep(self._random.uniform(0.0, 0.6))

    async def _pause(self):
        await asyncio.sleep(self._random.uniform(0.1, 1.2))

    async def _kill(self, member):
        self._cluster.kill(member)
        await self._pause()
        self._cluster.start(member)

    async def _freeze(self, member):
        self._cluster.freeze(member)
        await self._pause()
        self._cluster.unfreeze(member)

    async def _cut_link(self, member):
        self._cluster.proxies[member].cut()
        await self._pause()
        self._cluster.proxies[member].heal()

    async def _freeze_link(self, member):
        self._cluster.proxies[member].freeze(
            new_connections=self._random.random() < 0.5
        )
        await self._pause()
        self._cluster.proxies[member].heal()

    async def _delay_link(self, member):
        self._cluster.proxies[member].delay(0.0, self._random.uniform(0.01, 0.3))
        await self._pause()
        self._cluster.proxies[member].heal()

    async def _change_primary(self, member):
        await self._random.choice(self._gateways).change_primary(member)

    async def _fence(self, member):
        term = self._gateways[0].view.highest_term + 1
        with suppress(BackendError):
            control = self._gateways[0]._controls[member]
            await control.fence(term, deadline_in(1.0))


async def run_session(gateway, session_number, stop):
    """Insert and read in one session, which must see its own rows.

    The rows have negative numbers, which no ``History`` inserts or checks.
    """
    floor, acknowledged, number = None, 0, 0
    while not stop.is_set():
        number += 1
        sql = f"INSERT INTO w (n) VALUES ({session_number * -100_000 - number})"
        written = await run(gateway, sql, "write", 2.0)
        if isinstance(written, Reply):
            acknowledged, floor = acknowledged + 1, written.position
        low, high = session_number * -100_000 - 99_999, session_number * -100_000
        sql = f"SELECT COUNT(*) FROM w WHERE n BETWEEN {low} AND {high}"
        seen = await run(gateway, sql, "read", 2.0, floor=floor)
        if isinstance(seen, Reply) and floor is not None:
            assert int(seen.rows[0][0]) >= acknowledged, (
                "a session missed its own write"
            )
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults(start_cluster, seed):
    """Guards against combinations of faults that lose, repeat or hide a write."""
    cluster = start_cluster(proxied=True)

    async def scenario():
        unkeyed, keyed, stop = History(), History(), asyncio.Event()
        keyed.start_at(1_000_000)
        async with cluster.gateways(2) as gateways:
            sessions = [
                asyncio.create_task(run_session(gateway, number + 1, stop))
                for number, gateway in enumerate(gateways)
            ]
            async with (
                unkeyed.load(gateways, writers=1, timeout_s=4.0),
                keyed.load(gateways, writers=1, timeout_s=4.0, keyed=True),
            ):
                await FaultInjector(cluster, gateways, seed).run(6)
                await asyncio.sleep(0.5)
            stop.set()
            await asyncio.gather(*sessions)
            await wait_until(lambda: gateways[0].view.live_primary is not None)
            for history in (unkeyed, keyed):
                await history.check(gateways[0])
                print(
                    len(history.numbers(None)),
                    *(len(history.numbers(outcome)) for outcome in Outcome),
                )
                assert history.numbers(None)

    asyncio.run(scenario())
