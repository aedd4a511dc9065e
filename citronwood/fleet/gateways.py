"""Gateways that this VM runs for database groups."""

import asyncio
import logging
from collections.abc import Callable, Mapping

from result import Err, Result

from citronwood.backend.answers import refuse_stopped
from citronwood.backend.api import Reply, Request
from citronwood.backend.connection import Login
from citronwood.backend.gateway import Gateway, open_gateway
from citronwood.backend.host import Host
from citronwood.config.api import ConfigSource
from citronwood.config.model import Group
from citronwood.deadline import deadline_in, has_passed
from citronwood.errors import Refusal
from citronwood.fleet.api import Membership
from citronwood.fleet.placement import GatewayChoice
from citronwood.inner.messages import VmState
from citronwood.metrics import Metrics
from citronwood.operator.records import Records
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

RECONCILE_INTERVAL_S = 0.1
# The choice of gateways for hundreds of groups yields to other tasks after each time
# slice, so that requests are not delayed.
MAX_SLICE_S = 0.005
# A gateway is retired only after its role has been at another VM for this long, so that
# a briefly suspect peer does not cause connections to be closed and opened again.
RETIRE_AFTER_S = 2.0
RETIRE_TIMEOUT_S = 15.0
NO_GATEWAY_RANK = 1000


class GatewayHost:
    """Executor for all database groups of which this VM is a gateway."""

    def __init__(
        self,
        membership: Membership,
        config: ConfigSource,
        login: Login,
        records: Records,
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._last_live: tuple[VmState, ...] = ()
        self._last_groups: Mapping[str, Group] = {}
        self._own_groups: list[str] = []
        self._config = config
        self._login = login
        self._records = records
        self._metrics = metrics
        self._gateways: dict[str, Gateway] = {}
        self._definitions: dict[str, Group] = {}
        # By session id: the gateway that runs its open transaction.
        self._sessions: dict[str, Gateway] = {}
        self._retire_at: dict[str, float] = {}
        self._retiring: set[asyncio.Task[None]] = set()
        self._primary_changes: dict[str, asyncio.Task[bool]] = {}
        self._task: asyncio.Task[None] | None = None
        self.gateway_choice = GatewayChoice(membership)

    @property
    def gateways(self) -> dict[str, Gateway]:
        """Running gateways by group."""
        return dict(self._gateways)

    def start(self) -> None:
        """Start and retire gateways as membership and configuration change."""
        self._task = asyncio.create_task(self._run(), name="gateway-host")

    async def stop(self, deadline: float) -> None:
        """Finish in-flight requests until the deadline and close all connections."""
        await cancel_tasks([self._task])
        for group in list(self._gateways):
            self._retire(group, deadline)
        if self._retiring:
            await asyncio.wait(self._retiring)

    async def execute(self, request: Request) -> Result[Reply, Refusal]:
        """Run one statement, if this VM is a gateway of the group."""
        gateway = self._sessions.get(request.session_id)
        if gateway is None or not request.in_transaction:
            gateway = self._gateways.get(request.group)
        if gateway is None:
            reason = f"this VM is no gateway of group {request.group}"
            return Err(refuse_stopped(request, reason))
        outcome = await gateway.execute(request)
        self._track_transaction(request, gateway, outcome)
        return outcome

    async def end_session(self, session_id: str) -> None:
        """Roll back the session's open transaction and release its connection."""
        gateway = self._sessions.pop(session_id, None)
        if gateway is not None:
            await gateway.end_session(session_id)

    def _track_transaction(
        self, request: Request, gateway: Gateway, outcome: Result[Reply, Refusal]
    ) -> None:
        if isinstance(outcome, Err):
            if outcome.err_value.transaction_lost:
                self._sessions.pop(request.session_id, None)
        elif outcome.ok_value.in_transaction:
            self._sessions[request.session_id] = gateway
        else:
            self._sessions.pop(request.session_id, None)

    async def _run(self) -> None:
        while True:
            try:
                await self._reconcile()
            except Exception:
                # One group that cannot be opened must not stop the others.
                log.exception("gateway: starting or retiring gateways failed")
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    async def _reconcile(self) -> None:
        groups = self._config.current.groups
        await self._choose_groups(groups)
        for name in self._own_groups:
            self._retire_at.pop(name, None)
            await self._ensure_gateway(name, groups[name])
        for name in set(self._gateways).difference(self._own_groups):
            if name in groups:
                self._retire_if_due(name)
            else:
                self._retire(name, deadline_in(RETIRE_TIMEOUT_S))

    async def _choose_groups(self, groups: Mapping[str, Group]) -> None:
        """Update the groups of this VM if the live VMs or the groups changed."""
        live, own = self._membership.live, self._membership.own.name
        if live is self._last_live and groups is self._last_groups:
            return
        chosen, slice_deadline = [], deadline_in(MAX_SLICE_S)
        for name in groups:
            if any(vm.name == own for vm in self.gateway_choice.gateways(name)):
                chosen.append(name)
            if has_passed(slice_deadline):
                await asyncio.sleep(0)
                slice_deadline = deadline_in(MAX_SLICE_S)
        self._last_live, self._last_groups, self._own_groups = live, groups, chosen

    async def _ensure_gateway(self, name: str, group: Group) -> None:
        gateway = self._gateways.get(name)
        if gateway is None:
            gateway = self._open(name, group)
            self._gateways[name] = gateway
            gateway.start()
            log.info("gateway: serving group %s", name)
        elif self._definitions[name] != group:
            await gateway.update(group)
        self._definitions[name] = group
        self._start_primary_change(name, group, gateway)

    def _start_primary_change(self, name: str, group: Group, gateway: Gateway) -> None:
        """Start a planned change of primary, if the group is still in the plan's term.

        Only the gateway of rank 0 starts it, and not while its own attempt runs.
        """
        wanted = group.primary_change
        primary = gateway.view.live_primary
        if wanted is None or primary is None or primary.term != wanted.term:
            return
        if primary.member == wanted.member or self._rank_of(name)() != 0:
            return
        running = self._primary_changes.get(name)
        if running is None or running.done():
            change = gateway.change_primary(wanted.member)
            self._primary_changes[name] = asyncio.create_task(change)

    def _open(self, name: str, group: Group) -> Gateway:
        membership = self._membership
        host = Host(
            vm=membership.own.name,
            login=self._login,
            promotion_rank=self._rank_of(name),
            records=self._records,
            metrics=self._metrics,
            is_dead=membership.is_dead,
            peers=lambda: [vm.name for vm in membership.live],
            weight=self._weight,
        )
        return open_gateway(name, group, host)

    def _rank_of(self, group: str) -> Callable[[], int]:
        """Return a function that returns this VM's current rank for a group."""

        def rank() -> int:
            own = self._membership.own.name
            chosen = [vm.name for vm in self.gateway_choice.gateways(group)]
            return chosen.index(own) if own in chosen else NO_GATEWAY_RANK

        return rank

    def _weight(self, account: str) -> float:
        definition = self._config.current.accounts.get(account)
        return 1.0 if definition is None else float(definition.weight)

    def _retire_if_due(self, name: str) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self._retire_at.setdefault(name, now + RETIRE_AFTER_S):
            self._retire(name, deadline_in(RETIRE_TIMEOUT_S))

    def _retire(self, name: str, deadline: float) -> None:
        gateway = self._gateways.pop(name)
        self._definitions.pop(name, None)
        self._retire_at.pop(name, None)
        log.info("gateway: no longer serving group %s", name)
        task = asyncio.create_task(self._stop_gateway(gateway, deadline))
        self._retiring.add(task)
        task.add_done_callback(self._retiring.discard)

    async def _stop_gateway(self, gateway: Gateway, deadline: float) -> None:
        await gateway.stop(deadline)
        session_ids = [key for key, value in self._sessions.items() if value is gateway]
        for session_id in session_ids:
            del self._sessions[session_id]
