"""Linear fits of values that were measured at several sizes."""

from statistics import linear_regression
from typing import NamedTuple


class Slope(NamedTuple):
    """Points of size and measured value; ``per`` names what the size counts."""

    measure: str
    unit: str
    per: str
    points: list[tuple[float, float]]

    @property
    def fit(self) -> tuple[float, float]:
        """Slope and intercept of the least-squares line."""
        regression = linear_regression(
            [float(x) for x, _ in self.points], [float(y) for _, y in self.points]
        )
        return regression.slope, regression.intercept

    def at(self, size: float) -> float:
        """Return the value of the fitted line at a size."""
        slope, intercept = self.fit
        return intercept + slope * size


def print_slopes(slopes: list[Slope], **targets: float) -> None:
    """Print the points, the fitted line and its value at the target size."""
    for measured in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in measured.points)
        slope, intercept = measured.fit
        line = f"{intercept:.4g} + {slope:.4g} * {measured.per}"
        target = targets.get(measured.per)
        at_target = (
            "" if target is None else f"; at {target:g}: {measured.at(target):.4g}"
        )
        print(f"{measured.measure} ({measured.unit}) | {points} | {line}{at_target}")
