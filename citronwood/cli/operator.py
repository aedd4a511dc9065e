"""Operator commands: ``plan``, ``confirm``, ``status`` and ``explain``."""

import json
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from citronwood.cli.client import (
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_USAGE,
    Document,
    OperatorCommand,
    client_options,
    describe_change,
)
from citronwood.cli.intent import (
    SHORT_FORMS,
    UsageError,
    parse_short_form,
    usage_of,
)
from citronwood.operator.diagnosis import diagnose_request, parse_decision_lines


class PlanCommand(OperatorCommand):
    """Create a plan from an intent."""

    name = "plan"
    description = "Create a plan from an intent; apply it with confirm."
    help = "The intent is a JSON file (- for standard input) or a short form:\n" + (
        "\n".join(f"  {usage_of(form)}" for form in SHORT_FORMS)
    )
    arguments = [
        argument("intent", "JSON file, - or the name of a short form"),
        argument("values", "values of a short form", optional=True, multiple=True),
    ]
    options = client_options()

    def handle(self) -> int:
        """Send the intent and print the plan."""
        try:
            intent = _read_intent(self.argument("intent"), self.argument("values"))
        except UsageError as error:
            self.print_error(str(error))
            return EXIT_USAGE
        return self.call_and_print("POST", "v1/plans", intent)

    def print_body(self, body: Document) -> None:
        """Print changes, warnings, secrets, expiry and the confirm command."""
        self.print_line(f"plan {body['id']} for version {body['base_version']}")
        for change in body["changes"]:
            self.print_line(f"  {describe_change(change)}")
        for warning in body["warnings"]:
            self.print_line(f"  warning: {warning}")
        for key, secret in body["secrets"].items():
            self.print_line(f"  secret of {key} (shown only now): {secret}")
        self.print_line(f"expires at {_format_timestamp(body['expires_at'])}")
        self.print_line(f"to apply it: citronwood confirm {body['id']}")


class ConfirmCommand(OperatorCommand):
    """Apply a plan."""

    name = "confirm"
    description = "Apply exactly one plan; repeating the command is safe."
    arguments = [argument("plan", "id of the plan")]
    options = client_options()

    def handle(self) -> int:
        """Confirm the plan and print whether it is in force."""
        return self.call_and_print("POST", f"v1/plans/{self.argument('plan')}/confirm")

    def print_body(self, body: Document) -> None:
        """Print the version and the VMs that have not adopted it yet."""
        suffix = " before" if body["repeated"] else ""
        self.print_line(
            f"plan {body['plan']} was applied{suffix}, version {body['version']}"
        )
        if body["in_force"]:
            self.print_line("in force on every live VM")
        else:
            self.print_line(f"not yet in force on: {', '.join(body['behind'])}")


class StatusCommand(OperatorCommand):
    """Show the status of a VM and its fleet."""

    name = "status"
    description = "Show the fleet, the groups, calls to the platform and counters."
    options = client_options()

    def handle(self) -> int:
        """Print the status."""
        return self.call_and_print("GET", "v1/status")

    def print_body(self, body: Document) -> None:
        """Print all sections of the status."""
        validated = body["config_validated_ms_ago"]
        age = "never" if validated is None else f"{validated} ms ago"
        self.print_line(
            f"VM {body['vm']['name']}: {_describe_serving(body['may_serve'])}"
        )
        self.print_line(
            f"configuration version {body['config_version']}, validated {age}"
        )
        self.print_line("fleet:")
        for vm in body["fleet"]:
            self.print_line(
                f"  {vm['name']}  {vm['failure_domain']}  {vm['status']}"
                f"  version {vm['config_version']}"
            )
        self.print_line("groups:")
        for name, group in body["groups"].items():
            self._show_group(name, group)
        self._show_platform(body["platform"])
        self.print_line("counters:")
        for name, count in sorted(body["counters"].items()):
            self.print_line(f"  {name}: {count}")
        self._show_histograms(body["histograms"])

    def _show_group(self, name: str, group: Document) -> None:
        self.print_line(
            f"  {name}: primary {group.get('primary')}, term {group.get('term')}"
        )
        for member, details in group.get("members", {}).items():
            self.print_line(f"    {member}: {_format_pairs(details)}")

    def _show_platform(self, platform: Document) -> None:
        self.print_line("platform calls:")
        self.print_line(f"  budget: {_format_pairs(platform['budget'])}")
        for kind, count in sorted(platform["calls"].items()):
            failed = platform["failures"].get(kind, 0)
            self.print_line(f"  {kind}: {count}, {failed} failed")

    def _show_histograms(self, histograms: Document) -> None:
        bounds = histograms["bounds_ms"]
        self.print_line("statements (p50 and p99 are upper bounds in ms):")
        for entry in histograms["statements"]:
            counts = entry["counts"]
            self.print_line(
                f"  {entry['account']} {entry['class']}: {sum(counts)},"
                f" p50 {_quantile_bound(counts, bounds, 0.5)},"
                f" p99 {_quantile_bound(counts, bounds, 0.99)}"
            )


class ExplainCommand(OperatorCommand):
    """Show recorded events of the fleet, or explain one request."""

    name = "explain"
    description = "Show recorded events, or explain one request from log files."
    help = (
        "Without arguments, print the last refusals, changes of primary and plans that"
        " the fleet recorded. With the id of a request and log files of VMs, explain"
        " the request from the files alone."
    )
    arguments = [
        argument("request", "id of a request, as in its error message", optional=True),
        argument("files", "log files of VMs", optional=True, multiple=True),
    ]
    options = [
        option("kind", None, "only events of this kind", flag=False),
        option("account", None, "only events of this client account", flag=False),
        *client_options(),
    ]

    def handle(self) -> int:
        """Print the records or the log lines of a request, oldest first."""
        if self.argument("request"):
            return self._explain_request(
                self.argument("request"), self.argument("files")
            )
        filters = {name: self.option(name) for name in ("kind", "account")}
        query = {name: value for name, value in filters.items() if value}
        return self.call_and_print("GET", "v1/explain", query=query)

    def _explain_request(self, request: str, file_names: list[str]) -> int:
        """Print the log lines about a request and the cause of its outcome."""
        log_lines: list[str] = []
        for file_name in file_names:
            try:
                log_lines += Path(file_name).read_text(errors="replace").splitlines()
            except OSError as error:
                self.print_error(f"{file_name}: cannot be read: {error}")
                return EXIT_USAGE
        if not file_names:
            self.print_error(
                "name the log files of the VMs after the id of the request"
            )
            return EXIT_USAGE
        diagnosis = diagnose_request(request, parse_decision_lines(log_lines))
        for line in diagnosis.lines:
            self.print_line(
                f"{line.at.isoformat(timespec='milliseconds')} {line.vm} {line.event}"
                f" {line.outcome}: {line.message} ({_format_pairs(line.inputs)})"
            )
        self.print_line(f"cause: {diagnosis.cause}")
        return EXIT_OK if diagnosis.lines else EXIT_REFUSED

    def print_body(self, body: Document) -> None:
        """Print one record per line."""
        for record in body["records"]:
            self.print_line(
                f"{_format_timestamp(record['at'])} {record['vm']} {record['kind']}:"
                f" {_format_pairs(record['details'])}"
            )
        if not body["records"]:
            self.print_line("no events are recorded")


def _read_intent(source: str, values: list[str]) -> Any:
    if source in SHORT_FORMS:
        return parse_short_form(source, values)
    if values:
        forms = ", ".join(SHORT_FORMS)
        raise UsageError(f"{source}: not a short form; there are {forms}")
    try:
        text = sys.stdin.read() if source == "-" else Path(source).read_text()
        return json.loads(text)
    except (OSError, ValueError) as error:
        raise UsageError(f"{source}: cannot be read as JSON: {error}") from None


def _format_timestamp(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")


def _describe_serving(may_serve: bool) -> str:
    return "serves" if may_serve else "refuses requests, cut off from the fleet"


def _format_pairs(details: Any) -> str:
    if not isinstance(details, dict):
        return str(details)
    return ", ".join(f"{name} {value}" for name, value in details.items())


def _quantile_bound(counts: list[int], bounds: list[float], quantile: float) -> str:
    total = 0
    for count, bound in zip(counts, bounds, strict=False):
        total += count
        if total >= quantile * sum(counts):
            return f"{bound:g}"
    return f"above {bounds[-1]:g}"
