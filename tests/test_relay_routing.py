"""Retries of one statement, in virtual time."""

import pytest

from citronwood.errors import StatementRefusedError
from citronwood.relay import routing as routing_module
from citronwood.relay.routing import FIRST_BACKOFF_S, Router, SessionContext
from citronwood.relay.view import PrimaryView
from tests.virtual_time import run_virtually

TIMEOUT_S = 2.0


def test_statement_that_no_server_accepts_is_retried_with_backoff():
    # Guards against retries at a constant interval. In a simulated day, requests at 97
    # VMs waited for a primary and asked for its position every 30 ms, 43,112 times in
    # total.
    attempts = []

    async def scenario(loop):
        router = Router(SessionContext(None, PrimaryView(), None, None, None))
        deadline = loop.time() + TIMEOUT_S
        with pytest.raises(StatementRefusedError):
            while True:
                attempts.append(loop.time())
                await router.wait_before_retry(deadline, "it is no primary")

    run_virtually(scenario, routing_module)
    assert len(attempts) <= 13
    # The last attempt starts shortly before the deadline.
    assert attempts[-1] >= TIMEOUT_S - 2 * FIRST_BACKOFF_S


def test_change_of_primary_ends_the_backoff():
    view = PrimaryView()

    async def scenario(loop):
        router = Router(SessionContext(None, view, None, None, None))
        router.trace.retries = 5
        loop.call_later(0.02, view.suspend)
        await router.wait_before_retry(loop.time() + TIMEOUT_S, "it is no primary")
        return loop.time()

    assert run_virtually(scenario, routing_module) == pytest.approx(0.02)
