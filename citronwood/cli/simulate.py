"""``citronwood simulate``: play, search and replay simulated runs of the relay."""

import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument, option

from citronwood.cli.client import EXIT_OK, EXIT_REFUSED, EXIT_USAGE
from citronwood.errors import SettingsError
from citronwood.simulation.plan import draw_plan, read_plan, write_plan
from citronwood.simulation.runner import Result, run_plan
from citronwood.simulation.search import Batch, Finding, breaks, search, shrink

PROGRESS_RUNS = 50


class _SimulateCommand(Command):
    """Options and output that the commands share."""

    def _print(self, text: str) -> None:
        # Without the tags that the output of a command may have.
        print(text)

    def _fail(self, error: SettingsError) -> int:
        for finding in error.findings:
            self.line_error(finding)
        return EXIT_USAGE

    def _number(self, name: str) -> int:
        """Return the value of an option; raises ``SettingsError``."""
        value = self.option(name)
        if value is None or not value.isascii() or not value.isdigit():
            raise SettingsError([f"--{name}: {value!r} is not a whole number"])
        return int(value)

    def _report(self, result: Result) -> int:
        if self.option("json"):
            self._print(json.dumps(_to_document(result)))
        else:
            plan = result.plan
            self._print(
                f"seed {plan.seed}: {plan.vms} VMs, "
                f"sync_replicas {plan.sync_replicas}, {len(plan.troubles)} troubles"
            )
            for trouble in plan.troubles:
                self._print(f"  {trouble.at:7.3f} {trouble.kind} for {trouble.for_s} s")
            self._print(
                f"{result.served} of {result.requests} requests served, "
                f"{result.promotions} promotions, history {result.digest}"
            )
            for violation in result.violations:
                self._print(f"{violation.rule} at {violation.at:.3f}: {violation.text}")
        return EXIT_REFUSED if result.violations else EXIT_OK


class SimulateRunCommand(_SimulateCommand):
    """Play the run of one seed."""

    name = "simulate run"
    description = (
        "Play one run of the relay in virtual time; exits with 1 if a rule broke."
    )
    options = [
        option("seed", None, "seed of the run", flag=False, default="0"),
        option("json", None, "print JSON"),
    ]

    def handle(self) -> int:
        """Play the run and print what was seen."""
        try:
            seed = self._number("seed")
        except SettingsError as error:
            return self._fail(error)
        return self._report(run_plan(draw_plan(seed)))


class SimulateReplayCommand(_SimulateCommand):
    """Play the plan of a file."""

    name = "simulate replay"
    description = "Play the plan of a file again; exits with 1 if a rule broke."
    arguments = [argument("file", "plan that search or shrink has written")]
    options = [
        option("log", None, "print the log lines of the VMs with the virtual time"),
        option("json", None, "print JSON"),
    ]

    def handle(self) -> int:
        """Play the plan and print what was seen."""
        try:
            plan = read_plan(Path(self.argument("file")))
        except SettingsError as error:
            return self._fail(error)
        result = run_plan(plan)
        if self.option("log"):
            for line in result.log:
                self._print(line)
        return self._report(result)


class SimulateShrinkCommand(_SimulateCommand):
    """Reduce the plan of a file."""

    name = "simulate shrink"
    description = "Reduce the plan of a file to the troubles that break the same rule."
    arguments = [
        argument("file", "plan that breaks a rule"),
        argument("output", "file for the reduced plan"),
    ]

    def handle(self) -> int:
        """Reduce the plan and write it."""
        try:
            plan = read_plan(Path(self.argument("file")))
        except SettingsError as error:
            return self._fail(error)
        rules = frozenset(each.rule for each in run_plan(plan).violations)
        if not rules:
            return self._fail(
                SettingsError([f"{self.argument('file')}: breaks no rule"])
            )
        reduced = shrink(plan, breaks(rules))
        write_plan(Path(self.argument("output")), reduced)
        self._print(
            f"{len(reduced.troubles)} of {len(plan.troubles)} troubles are left"
        )
        return EXIT_OK


class SimulateSearchCommand(_SimulateCommand):
    """Search for runs that break a rule."""

    name = "simulate search"
    description = "Play runs of consecutive seeds; exits with 1 if a rule broke."
    options = [
        option("minutes", None, "how long to search", flag=False, default="1"),
        option("jobs", None, "number of processes", flag=False, default="2"),
        option("seed", None, "first seed", flag=False, default="0"),
        option("output", None, "folder for the plans that break a rule", flag=False),
        option("json", None, "print JSON"),
    ]

    def handle(self) -> int:
        """Search, print the progress, and write what was found."""
        try:
            seconds = 60.0 * self._number("minutes")
            jobs, seed = max(1, self._number("jobs")), self._number("seed")
            output = Path(self.option("output")) if self.option("output") else None
            if output is not None and not output.is_dir():
                raise SettingsError([f"--output: {output} is not a folder"])
        except SettingsError as error:
            return self._fail(error)
        totals = _Totals()
        try:
            for batch in search(seed, seconds, jobs):
                totals.add(batch)
                for finding in batch.findings:
                    self._keep(finding, output)
                if totals.runs % PROGRESS_RUNS == 0:
                    print(totals.describe(), file=sys.stderr)
        except KeyboardInterrupt:
            print("stopped; what was found is kept", file=sys.stderr)
        if self.option("json"):
            self._print(json.dumps(totals.to_document()))
        else:
            self._print(totals.describe())
        return EXIT_REFUSED if totals.findings else EXIT_OK

    def _keep(self, finding: Finding, output: Path | None) -> None:
        first = finding.violations[0]
        print(
            f"seed {finding.plan.seed}: {finding.rules}: {first.text}", file=sys.stderr
        )
        if output is not None:
            write_plan(output / f"seed-{finding.plan.seed}.json", finding.plan)


class _Totals:
    """Sums over the batches of a search."""

    def __init__(self) -> None:
        self.runs = 0
        self.requests = 0
        self.findings: list[Finding] = []
        self._pairs: Counter[tuple[str, tuple[str, str]]] = Counter()

    def add(self, batch: Batch) -> None:
        """Add a batch."""
        self.runs += batch.runs
        self.requests += batch.simulated_requests
        self.findings += batch.findings
        self._pairs += batch.pairs

    def describe(self) -> str:
        """Return a line with the totals."""
        rules = Counter(finding.rules for finding in self.findings)
        broken = ", ".join(
            f"{rule} in {count}" for rule, count in sorted(rules.items())
        )
        return (
            f"{self.runs} runs, {self.requests} requests, {len(self._pairs)} pairs "
            f"of a trouble and a step, rules broken: {broken or 'none'}"
        )

    def to_document(self) -> dict[str, Any]:
        """Return the totals as a JSON document."""
        return {
            "runs": self.runs,
            "requests": self.requests,
            "pairs": len(self._pairs),
            "findings": [
                {"seed": finding.plan.seed, "rules": finding.rules.split(",")}
                for finding in self.findings
            ],
        }


def _to_document(result: Result) -> dict[str, Any]:
    return {
        "seed": result.plan.seed,
        "served": result.served,
        "requests": result.requests,
        "promotions": result.promotions,
        "digest": result.digest,
        "violations": [violation._asdict() for violation in result.violations],
    }


def simulate_commands() -> list[Command]:
    """Return the commands."""
    return [
        SimulateRunCommand(),
        SimulateReplayCommand(),
        SimulateShrinkCommand(),
        SimulateSearchCommand(),
    ]
