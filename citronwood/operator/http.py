"""Operator API: JSON over HTTP, served by every VM.

An error response is a JSON object with ``error``, ``message`` and ``findings``, a list
of objects with ``place`` and ``message``. A rejected confirm adds ``moved`` and
``plans``, see ``Rejection`` in config/plan.py.
"""

import hmac
import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from ssl import SSLContext
from typing import Any, Protocol

from aiohttp import web
from result import Err

from citronwood.config.distribution import wait_until_in_force
from citronwood.config.draft import Finding
from citronwood.config.model import Configuration
from citronwood.config.plan import Plan, Planner, Rejection
from citronwood.deadline import deadline_in
from citronwood.errors import PlatformError, PlatformUnavailableError
from citronwood.fleet.api import Membership
from citronwood.ingress.http import LimitedSite
from citronwood.inner.messages import VmState
from citronwood.metrics import BUCKET_BOUNDS_MS, Histogram, Metrics
from citronwood.operator.records import Records
from citronwood.platform.http import PlatformStatus

log = logging.getLogger(__name__)

STORE_TIMEOUT_S = 10.0
IN_FORCE_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 1 << 20

Document = dict[str, Any]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_REJECTION_STATUS = {"unknown": 404, "expired": 410, "moved": 409, "behind": 409}


class ConfigState(Protocol):
    """The configuration of this VM and whether the VM may serve."""

    @property
    def current(self) -> Configuration:
        """The newest configuration this VM knows."""
        ...

    @property
    def may_serve(self) -> bool:
        """Whether requests may run.

        False while this VM has no configuration, is cut off from the fleet or may have
        missed a version.
        """
        ...

    @property
    def validation_age_ms(self) -> int | None:
        """Time since the version in force was last confirmed to be the newest.

        None if it has never been confirmed.
        """
        ...


async def _no_groups() -> Document:
    return {}


async def _no_peers(kind: str | None, account: str | None) -> list[Document]:
    return []


@dataclass(frozen=True)
class OperatorSources:
    """Services and callbacks that the operator API uses.

    ``groups`` returns primary, term and members by group, and refreshes the terms that
    the planner uses. ``peer_records`` returns the recorded events of the other VMs,
    filtered by kind and account, in the form that ``own_records`` returns.
    """

    planner: Planner
    config: ConfigState
    membership: Membership
    metrics: Metrics
    records: Records
    platform: Callable[[], PlatformStatus]
    groups: Callable[[], Awaitable[Document]] = field(default=_no_groups)
    peer_records: Callable[[str | None, str | None], Awaitable[list[Document]]] = field(
        default=_no_peers
    )


class OperatorApi:
    """HTTP server of the operator API.

    Parameters
    ----------
    sources : OperatorSources
    token : str
        Bearer token that every request needs, except for the health check.
    """

    def __init__(
        self,
        sources: OperatorSources,
        token: str,
        host: str,
        port: int,
        ssl: SSLContext | None = None,
    ) -> None:
        self._sources = sources
        self._token = token
        self._address = (host, port)
        self._ssl = ssl
        self._runner: web.AppRunner | None = None
        self._site: LimitedSite | None = None

    @property
    def url(self) -> str:
        """Base URL of the API."""
        scheme = "https" if self._ssl else "http"
        return f"{scheme}://{self._address[0]}:{self._address[1]}"

    async def start(self) -> None:
        """Start to listen."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[self._auth_and_error_middleware],
        )
        app.add_routes(
            [
                web.post("/v1/plans", self._propose),
                web.get("/v1/plans/{id}", self._show_plan),
                web.post("/v1/plans/{id}/confirm", self._confirm),
                web.get("/v1/config", self._show_config),
                web.get("/v1/status", self._show_status),
                web.get("/v1/explain", self._explain),
                web.get("/v1/health", self._health),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        self._site = LimitedSite(
            self._runner,
            *self._address,
            self._sources.metrics,
            "operator_port",
            ssl=self._ssl,
        )
        self._address = await self._site.start()
        log.info("API listens on %s", self.url)

    async def stop(self) -> None:
        """Stop listening."""
        if self._site is not None:
            self._site.close()
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _auth_and_error_middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path != "/v1/health" and not self._is_authorized(request):
            self._sources.metrics.count("operator.unauthorized")
            return _error_response(
                401, "unauthorized", "a valid operator token is required"
            )
        try:
            return await handler(request)
        except PlatformUnavailableError as error:
            return _error_response(503, "platform_unavailable", str(error))
        except PlatformError as error:
            return _error_response(502, "platform_failed", str(error))
        except web.HTTPException as error:
            return _error_response(error.status, "request_refused", error.reason)
        except Exception:
            log.exception("%s %s failed", request.method, request.path)
            return _error_response(
                500, "internal", "the request failed; see the log of the VM"
            )

    def _is_authorized(self, request: web.Request) -> bool:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        matches = hmac.compare_digest(token.encode(), self._token.encode())
        return scheme.lower() == "bearer" and matches

    async def _propose(self, request: web.Request) -> web.Response:
        try:
            intent = json.loads(await request.read())
        except ValueError as error:
            return _intent_error([Finding("", f"is not JSON: {error}")])
        # Refreshes the terms of the groups, which a plan to change the primary needs.
        await self._sources.groups()
        result = await self._sources.planner.propose(
            intent, deadline_in(STORE_TIMEOUT_S)
        )
        if isinstance(result, Err):
            return _intent_error(result.err_value)
        plan, secrets = result.ok_value
        log.info("plan %s created: %s", plan.id, plan.intent)
        return _json_response({**_plan_document(plan), "secrets": secrets}, status=201)

    async def _show_plan(self, request: web.Request) -> web.Response:
        plan_id = request.match_info["id"]
        plan = await self._sources.planner.load(plan_id, deadline_in(STORE_TIMEOUT_S))
        if plan is None:
            return _error_response(404, "unknown", f"there is no plan {plan_id}")
        applied = plan.id in self._sources.config.current.applied_plans
        return _json_response({**_plan_document(plan), "applied": applied})

    async def _confirm(self, request: web.Request) -> web.Response:
        plan_id = request.match_info["id"]
        planner = self._sources.planner
        try:
            result = await planner.confirm(plan_id, deadline_in(STORE_TIMEOUT_S))
        except PlatformUnavailableError as error:
            message = f"{error}; the plan may have been applied, a repeat is safe"
            return _error_response(503, "outcome_unknown", message)
        if isinstance(result, Err):
            return _rejection_error(result.err_value)
        version, repeated = result.ok_value
        self._sources.records.add(
            "plan", plan=plan_id, version=version, repeated=repeated
        )
        behind = await wait_until_in_force(
            self._sources.membership, version, deadline_in(IN_FORCE_TIMEOUT_S)
        )
        return _json_response(
            {
                "plan": plan_id,
                "version": version,
                "repeated": repeated,
                "in_force": not behind,
                "behind": behind,
            },
            status=202 if behind else 200,
        )

    async def _show_config(self, _: web.Request) -> web.Response:
        return _json_response(self._sources.config.current.model_dump(mode="json"))

    async def _show_status(self, _: web.Request) -> web.Response:
        sources = self._sources
        return _json_response(
            {
                "vm": _vm_document(sources.membership.own),
                "may_serve": sources.config.may_serve,
                "config_version": sources.config.current.version,
                "config_validated_ms_ago": sources.config.validation_age_ms,
                "fleet": [_vm_document(vm) for vm in sources.membership.live],
                "groups": await sources.groups(),
                "platform": _platform_document(sources.platform()),
                "counters": sources.metrics.counters,
                "histograms": _histograms_document(sources.metrics),
            }
        )

    async def _explain(self, request: web.Request) -> web.Response:
        kind = request.query.get("kind")
        account = request.query.get("account")
        sources = self._sources
        records = own_records(
            sources.records, sources.membership.own.name, kind, account
        )
        records += await sources.peer_records(kind, account)
        return _json_response(
            {"records": sorted(records, key=lambda record: record["at"])}
        )

    async def _health(self, _: web.Request) -> web.Response:
        status = self._sources.membership.own.status
        serves = self._sources.config.may_serve and status == "live"
        document = {"serves": serves, "status": status}
        return _json_response(document, status=200 if serves else 503)


def own_records(
    records: Records, vm: str, kind: str | None, account: str | None
) -> list[Document]:
    """Return the recorded events of this VM; None for kind or account matches all."""
    kinds = records.kinds if kind is None else (kind,)
    return [
        {"at": record.at, "vm": vm, "kind": record.kind, "details": record.details}
        for record_kind in kinds
        for record in records.list(record_kind)
        if account is None or record.details.get("account") == account
    ]


def _json_response(document: Document, status: int = 200) -> web.Response:
    return web.json_response(document, status=status)


def _error_response(status: int, code: str, message: str, **extra: Any) -> web.Response:
    document = {"error": code, "message": message, "findings": []}
    return _json_response({**document, **extra}, status)


def _intent_error(findings: list[Finding]) -> web.Response:
    documents = [finding._asdict() for finding in findings]
    message = f"the intent has {len(documents)} findings"
    return _error_response(422, "invalid_intent", message, findings=documents)


def _rejection_error(rejection: Rejection) -> web.Response:
    return _error_response(
        _REJECTION_STATUS[rejection.reason],
        rejection.reason,
        rejection.message,
        moved=[change._asdict() for change in rejection.moved],
        plans=list(rejection.plans),
    )


def _plan_document(plan: Plan) -> Document:
    document = plan.model_dump(mode="json", exclude={"document", "changes"})
    return {**document, "changes": [change._asdict() for change in plan.changes]}


def _vm_document(vm: VmState) -> Document:
    return vm._asdict()


def _platform_document(status: PlatformStatus) -> Document:
    return {**status._asdict(), "budget": status.budget._asdict()}


def _histograms_document(metrics: Metrics) -> Document:
    return {
        "bounds_ms": list(BUCKET_BOUNDS_MS),
        "statements": [
            {"account": account, "class": kind, "counts": _counts(histogram)}
            for (account, kind), histogram in sorted(metrics.histograms.items())
        ],
        "operations": {
            name: _counts(histogram)
            for name, histogram in sorted(metrics.timings.items())
        },
    }


def _counts(histogram: Histogram) -> list[int]:
    return list(histogram.counts)
