"""Commands of operators: ``plan``, ``confirm``, ``status`` and ``explain``."""

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
from citronwood.operator.story import read_lines, tell_story


class PlanCommand(OperatorCommand):
    """Make a plan from an intent."""

    name = "plan"
    description = "Turn an intent into a plan, to be confirmed."
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
            self.complain(str(error))
            return EXIT_USAGE
        return self.run_call("POST", "v1/plans", intent)

    def show(self, body: Document) -> None:
        """Print changes, warnings, secrets, expiry and the command to confirm."""
        self.say(f"plan {body['id']} for version {body['base_version']}")
        for change in body["changes"]:
            self.say(f"  {describe_change(change)}")
        for warning in body["warnings"]:
            self.say(f"  warning: {warning}")
        for key, secret in body["secrets"].items():
            self.say(f"  secret of {key} (shown only now): {secret}")
        self.say(f"expires at {_wall_clock(body['expires_at'])}")
        self.say(f"to apply it: citronwood confirm {body['id']}")


class ConfirmCommand(OperatorCommand):
    """Apply a plan."""

    name = "confirm"
    description = "Apply exactly one plan; a repeat is safe."
    arguments = [argument("plan", "id of the plan")]
    options = client_options()

    def handle(self) -> int:
        """Confirm and tell whether the plan is in force."""
        return self.run_call("POST", f"v1/plans/{self.argument('plan')}/confirm")

    def show(self, body: Document) -> None:
        """Print the version and the VMs that are behind."""
        again = " before" if body["repeated"] else ""
        self.say(f"plan {body['plan']} was applied{again}, version {body['version']}")
        if body["in_force"]:
            self.say("in force on every live VM")
        else:
            self.say(f"not yet in force on: {', '.join(body['behind'])}")


class StatusCommand(OperatorCommand):
    """Show a VM and the fleet."""

    name = "status"
    description = "Show the fleet, the groups, calls to the platform and counters."
    options = client_options()

    def handle(self) -> int:
        """Print the status."""
        return self.run_call("GET", "v1/status")

    def show(self, body: Document) -> None:
        """Print one section after the other."""
        validated = body["config_validated_ms_ago"]
        age = "never" if validated is None else f"{validated} ms ago"
        self.say(f"VM {body['vm']['name']}: {_serving(body['may_serve'])}")
        self.say(f"configuration version {body['config_version']}, validated {age}")
        self.say("fleet:")
        for vm in body["fleet"]:
            self.say(
                f"  {vm['name']}  {vm['failure_domain']}  {vm['status']}"
                f"  version {vm['config_version']}"
            )
        self.say("groups:")
        for name, group in body["groups"].items():
            self._show_group(name, group)
        self._show_platform(body["platform"])
        self.say("counters:")
        for name, count in sorted(body["counters"].items()):
            self.say(f"  {name}: {count}")
        self._show_histograms(body["histograms"])

    def _show_group(self, name: str, group: Document) -> None:
        self.say(f"  {name}: primary {group.get('primary')}, term {group.get('term')}")
        for member, details in group.get("members", {}).items():
            self.say(f"    {member}: {_pairs(details)}")

    def _show_platform(self, platform: Document) -> None:
        self.say("platform calls:")
        self.say(f"  budget: {_pairs(platform['budget'])}")
        for kind, count in sorted(platform["calls"].items()):
            failed = platform["failures"].get(kind, 0)
            self.say(f"  {kind}: {count}, {failed} failed")

    def _show_histograms(self, histograms: Document) -> None:
        bounds = histograms["bounds_ms"]
        self.say("statements (p50 and p99 are upper bounds in ms):")
        for entry in histograms["statements"]:
            counts = entry["counts"]
            self.say(
                f"  {entry['account']} {entry['class']}: {sum(counts)},"
                f" p50 {_quantile(counts, bounds, 0.5)},"
                f" p99 {_quantile(counts, bounds, 0.99)}"
            )


class ExplainCommand(OperatorCommand):
    """Show what the fleet did and why."""

    name = "explain"
    description = "Show recorded events, or the story of one request from log files."
    help = (
        "Without arguments the fleet is asked for its last refusals, changes of primary"
        " and plans. With the id of a request and log files of VMs, the story of the"
        " request is told from the files alone."
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
        """Print the records or the story, oldest first."""
        if self.argument("request"):
            return self._tell(self.argument("request"), self.argument("files"))
        filters = {name: self.option(name) for name in ("kind", "account")}
        query = {name: value for name, value in filters.items() if value}
        return self.run_call("GET", "v1/explain", query=query)

    def _tell(self, request: str, names: list[str]) -> int:
        """Print what log files tell about a request."""
        texts: list[str] = []
        for name in names:
            try:
                texts += Path(name).read_text(errors="replace").splitlines()
            except OSError as error:
                self.complain(f"{name}: cannot be read: {error}")
                return EXIT_USAGE
        if not names:
            self.complain("name the log files of the VMs after the id")
            return EXIT_USAGE
        story = tell_story(request, read_lines(texts))
        for line in story.lines:
            self.say(
                f"{line.at.isoformat(timespec='milliseconds')} {line.vm} {line.event}"
                f" {line.outcome}: {line.message} ({_pairs(line.inputs)})"
            )
        self.say(f"cause: {story.cause}")
        return EXIT_OK if story.lines else EXIT_REFUSED

    def show(self, body: Document) -> None:
        """Print one record a line."""
        for record in body["records"]:
            self.say(
                f"{_wall_clock(record['at'])} {record['vm']} {record['kind']}:"
                f" {_pairs(record['details'])}"
            )
        if not body["records"]:
            self.say("no events are recorded")


def _read_intent(first: str, values: list[str]) -> Any:
    if first in SHORT_FORMS:
        return parse_short_form(first, values)
    if values:
        forms = ", ".join(SHORT_FORMS)
        raise UsageError(f"{first}: not a short form; there are {forms}")
    try:
        text = sys.stdin.read() if first == "-" else Path(first).read_text()
        return json.loads(text)
    except (OSError, ValueError) as error:
        raise UsageError(f"{first}: cannot be read as JSON: {error}") from None


def _wall_clock(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")


def _serving(may_serve: bool) -> str:
    return "serves" if may_serve else "refuses requests, cut off from the fleet"


def _pairs(details: Any) -> str:
    if not isinstance(details, dict):
        return str(details)
    return ", ".join(f"{name} {value}" for name, value in details.items())


def _quantile(counts: list[int], bounds: list[float], share: float) -> str:
    total = 0
    for count, bound in zip(counts, bounds, strict=False):
        total += count
        if total >= share * sum(counts):
            return f"{bound:g}"
    return f"above {bounds[-1]:g}"
