"""Time series of measured values and their charts."""

from pathlib import Path
from typing import Any

Points = list[tuple[float, float]]


class Recorder:
    """Collects the points of each line of each chart while the benchmarks run."""

    def __init__(self) -> None:
        self._charts: dict[str, dict[str, Points]] = {}

    @property
    def charts(self) -> dict[str, dict[str, Points]]:
        """Return the points of each line by chart."""
        return self._charts

    def add(self, chart: str, line: str, at: float, value: float) -> None:
        """Add one point; ``at`` is a time in seconds or the number of a run."""
        self._charts.setdefault(chart, {}).setdefault(line, []).append((at, value))


def draw_charts(recorder: Recorder, path: Path) -> None:
    """Draw all charts below each other into one PNG file.

    Needs matplotlib, which the extra ``plot`` installs.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    charts = recorder.charts
    figure, axes = pyplot.subplots(
        len(charts), 1, figsize=(10, 3.5 * len(charts)), squeeze=False
    )
    for axis, (chart, lines) in zip(axes[:, 0], charts.items(), strict=True):
        _draw_chart(axis, chart, lines)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _draw_chart(axis: Any, chart: str, lines: dict[str, Points]) -> None:
    for line, points in lines.items():
        ordered = sorted(points)
        axis.plot(
            [at for at, _ in ordered],
            [value for _, value in ordered],
            marker=".",
            linewidth=0.8,
            label=line,
        )
    axis.set_title(chart)
    axis.set_xlabel("run" if "by run" in chart else "seconds")
    axis.set_ylim(bottom=0)
    axis.legend(fontsize="small", loc="upper right")
