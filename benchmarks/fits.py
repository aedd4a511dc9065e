"""Points of a measured slope and their linear fit."""

from statistics import linear_regression
from typing import NamedTuple


class Slope(NamedTuple):
    """A value at several sizes; ``command`` is the part of the benchmark."""

    measure: str
    unit: str
    per: str
    points: list[tuple[float, float]]

    @property
    def fit(self) -> tuple[float, float]:
        """Slope and intercept of the least-squares line."""
        found = linear_regression(
            [float(x) for x, _ in self.points], [float(y) for _, y in self.points]
        )
        return found.slope, found.intercept

    def at(self, size: float) -> float:
        """Value of the line at a size."""
        slope, intercept = self.fit
        return intercept + slope * size


def print_slopes(slopes: list[Slope], **targets: float) -> None:
    """Print points, line and value at the targets, in the form of a table."""
    for one in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in one.points)
        slope, intercept = one.fit
        line = f"{intercept:.4g} + {slope:.4g} * {one.per}"
        target = targets.get(one.per)
        there = "" if target is None else f"; at {target:g}: {one.at(target):.4g}"
        print(f"{one.measure} ({one.unit}) | {points} | {line}{there}")
