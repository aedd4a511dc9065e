"""Helpers for tests with several VMs in one process."""

import asyncio
from contextlib import asynccontextmanager

from citronwood.inner.rpc import Rpc
from citronwood.metrics import Metrics

SECRET = b"secret of the tests"


def run(coroutine, timeout=14.0):
    """Run a coroutine with a timeout, so that a hang shows its traceback."""

    async def limited():
        async with asyncio.timeout(timeout):
            return await coroutine

    return asyncio.run(limited())


def make_rpc(name, secret=SECRET, url="tcp://127.0.0.1:0"):
    rpc = Rpc(name, secret, Metrics())
    rpc.start(url)
    return rpc


@asynccontextmanager
async def rpcs(*names):
    opened = [make_rpc(name) for name in names]
    try:
        yield opened
    finally:
        for rpc in opened:
            await rpc.close()


async def eventually(condition, timeout=5.0):
    async with asyncio.timeout(timeout):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)
