"""Tests of statements sent to a VM on which the group's gateway does not run."""

import asyncio

import pytest

from citronwood.backend.api import Request, StatementKind
from citronwood.backend.connection import Login
from citronwood.backend.gateway import open_gateway
from citronwood.backend.host import Host
from citronwood.config.model import Group, Member
from citronwood.deadline import deadline_in
from citronwood.errors import ErrorCode
from citronwood.fleet.gateways import GatewayHost
from citronwood.metrics import Metrics
from citronwood.operator.records import Records


class EmptyMembership:
    """Membership without live VMs."""

    live = ()


def host_without_gateway():
    return GatewayHost(EmptyMembership(), None, None, None, None)


def gateway_not_started():
    """Return a gateway that was never started; it refuses like a stopped one."""
    members = {"m1": Member(host="127.0.0.1", port=1, failure_domain="d1")}
    host = Host("vm1", Login("proxy", "proxy"), lambda: 0, Records(), Metrics())
    return open_gateway("g", Group(database="demo", members=members), host)


def refusal(executor, kind, in_transaction):
    request = Request(
        session_id="s", account="a", route="r", group="g", sql="x", kind=kind,
        floor=None, max_age_ms=None, idempotency_key=None,
        in_transaction=in_transaction, deadline=deadline_in(2.0),
    )  # fmt: skip
    return asyncio.run(executor.execute(request)).err_value


@pytest.mark.parametrize("make", [host_without_gateway, gateway_not_started])
@pytest.mark.parametrize("kind", [StatementKind.WRITE, StatementKind.COMMIT])
def test_statement_of_a_transaction_is_not_to_be_repeated(make, kind):
    """Guards against callers that repeat a COMMIT of a lost transaction."""
    answer = refusal(make(), kind, in_transaction=True)
    assert answer.code == ErrorCode.TRANSACTION_FAILED
    assert answer.transaction_lost


@pytest.mark.parametrize("make", [host_without_gateway, gateway_not_started])
def test_single_statement_goes_to_another_gateway(make):
    """Guards against an error after which the router does not try another gateway."""
    answer = refusal(make(), StatementKind.WRITE, in_transaction=False)
    assert answer.code == ErrorCode.NOT_RUN
    assert not answer.transaction_lost
