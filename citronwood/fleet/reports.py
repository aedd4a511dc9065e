"""Status and explain records exchanged between VMs for the operator API."""

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from citronwood.backend.gateway import Gateway
from citronwood.deadline import deadline_in
from citronwood.errors import CitronwoodError
from citronwood.fleet.api import Membership
from citronwood.inner.messages import GatewayStatus, StatusReport, VmState
from citronwood.inner.rpc import Caller, Rpc
from citronwood.operator.http import own_records
from citronwood.operator.records import Records

log = logging.getLogger(__name__)

Document = dict[str, Any]

REPORT_TIMEOUT_S = 1.0
# Only the newest records are sent, to keep a report well below the message size limit.
MAX_RECORDS = 1000
MAX_PEERS_AT_ONCE = 16


class FleetReports:
    """Collects reports from all live VMs and answers requests of other VMs."""

    def __init__(
        self,
        rpc: Rpc,
        membership: Membership,
        records: Records,
        gateways: Callable[[], dict[str, Gateway]],
    ) -> None:
        self._rpc = rpc
        self._membership = membership
        self._records = records
        self._gateways = gateways
        self._terms: dict[str, int] = {}
        rpc.on_call(GatewayStatus, self._on_gateway_status)

    @property
    def terms(self) -> dict[str, int]:
        """Terms of the groups as last reported by their gateways."""
        return dict(self._terms)

    async def groups(self) -> Document:
        """Return the status of every group, from the gateway with the highest term."""
        newest: Document = {}
        for report in [self._own_report(None), *await self._fetch_peer_reports(None)]:
            for name, group in report["groups"].items():
                other = newest.get(name)
                if other is None or group["term"] > other["term"]:
                    newest[name] = group
        self._terms.update({name: group["term"] for name, group in newest.items()})
        return newest

    async def peer_records(
        self, kind: str | None, account: str | None
    ) -> list[Document]:
        """Return explain records of the other VMs, of one kind and account if given."""
        selected = []
        for report in await self._fetch_peer_reports(account):
            selected += [
                entry for entry in report["records"] if kind in (None, entry["kind"])
            ]
        return selected

    async def _fetch_peer_reports(self, account: str | None) -> list[Document]:
        own = self._membership.own.name
        peers = [vm for vm in self._membership.live if vm.name != own]
        concurrency = asyncio.Semaphore(MAX_PEERS_AT_ONCE)
        reports = await asyncio.gather(
            *(self._fetch_report(vm, account, concurrency) for vm in peers)
        )
        return [peer_report for peer_report in reports if peer_report is not None]

    async def _fetch_report(
        self, vm: VmState, account: str | None, concurrency: asyncio.Semaphore
    ) -> Document | None:
        async with concurrency:
            try:
                report = await self._rpc.call(
                    vm.url,
                    GatewayStatus(account),
                    StatusReport,
                    deadline_in(REPORT_TIMEOUT_S),
                )
            except CitronwoodError as error:
                log.info(
                    "operator: fetching the report of %s failed: %s", vm.name, error
                )
                return None
        document: Document = json.loads(report.document)
        return document

    async def _on_gateway_status(
        self, message: GatewayStatus, caller: Caller
    ) -> StatusReport:
        report = self._own_report(message.account)
        return StatusReport(json.dumps(report).encode())

    def _own_report(self, account: str | None) -> Document:
        name = self._membership.own.name
        records = own_records(self._records, name, None, account)
        records.sort(key=lambda record: record["at"])
        return {
            "groups": {
                group: _describe_group(gateway, name)
                for group, gateway in self._gateways().items()
            },
            "records": records[-MAX_RECORDS:],
        }


def _describe_group(gateway: Gateway, vm: str) -> Document:
    view = gateway.view
    primary = view.primary
    return {
        "reported_by": vm,
        "term": view.highest_term,
        "primary": None if primary is None else primary.member,
        "open_transactions": gateway.open_transactions,
        "members": {
            status.member: {
                "role": status.role,
                "term": status.term,
                "received": status.received,
                "applied": status.applied,
                "leaving": view.is_leaving(status),
                "silent_ms": round(status.silent_s * 1000),
            }
            for status in view.statuses
        },
    }
