"""Result rows of the benchmarks and their output."""

import json
from pathlib import Path
from typing import NamedTuple


class Row(NamedTuple):
    """One measured value; ``bound`` is its target, None if it has none.

    The bound is an upper one if ``at_most`` is true, a lower one otherwise.
    ``baseline`` is the same measure without the proxy or with a simpler method.
    """

    measure: str
    value: float
    unit: str
    bound: float | None = None
    at_most: bool = True
    baseline: float | None = None

    @property
    def passed(self) -> bool:
        """Whether the value meets its bound."""
        if self.bound is None:
            return True
        return self.value <= self.bound if self.at_most else self.value >= self.bound


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile, infinity if there are no values."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def print_table(rows: list[Row]) -> None:
    """Print a table of the rows."""
    print(f"{'measure':52} {'value':>10} {'target':>10} {'baseline':>10}  verdict")
    for row in rows:
        sign = "<=" if row.at_most else ">="
        bound = "-" if row.bound is None else f"{sign} {row.bound:g}"
        baseline = "-" if row.baseline is None else f"{row.baseline:.3g}"
        verdict = "-" if row.bound is None else ("ok" if row.passed else "FAILED")
        name = f"{row.measure} ({row.unit})"
        print(f"{name:52} {row.value:10.3f} {bound:>10} {baseline:>10}  {verdict}")


def write_json(rows: list[Row], path: Path) -> None:
    """Write the rows as JSON."""
    documents = [{**row._asdict(), "passed": row.passed} for row in rows]
    path.write_text(json.dumps(documents, indent=2) + "\n")
