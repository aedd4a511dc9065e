"""``make bench``: print a table, write JSON, and fail if a value misses its bound."""

import asyncio
import sys
from argparse import ArgumentParser
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.capacity import measure_capacity, measure_short
from benchmarks.groups import measure_gap, measure_replica_share
from benchmarks.limits import measure_limits
from benchmarks.path import measure_memory, measure_path, populate_table
from benchmarks.report import Row, print_table, write_json
from benchmarks.series import Recorder, draw_charts
from tests.fleet import Fleet
from tests.processes import Processes

PARTS = ["path", "memory", "replicas", "gap", "limits", "capacity"]


def main() -> int:
    """Run the selected benchmarks."""
    parser = ArgumentParser(description="Benchmarks of citronwood.")
    parser.add_argument("--json", type=Path, default=Path("build/bench.json"))
    parser.add_argument("--gap-runs", type=int, default=30)
    parser.add_argument("--only", choices=PARTS, action="append")
    parser.add_argument(
        "--short",
        action="store_true",
        help="measure only ratios and counts, in under a minute",
    )
    parser.add_argument(
        "--plot",
        type=Path,
        metavar="FILE",
        help="draw latency, gap and fairness over time as PNG (extra 'plot')",
    )
    arguments = parser.parse_args()
    recorder = Recorder()
    # The capacity benchmark has no bounds to check, so it runs only on request.
    selected = arguments.only or [part for part in PARTS if part != "capacity"]
    if arguments.short:
        rows = measure_short()
    else:
        rows = _measure(selected, arguments.gap_runs, recorder)
    print_table(rows)
    arguments.json.parent.mkdir(parents=True, exist_ok=True)
    write_json(rows, arguments.json)
    if arguments.plot is not None and recorder.charts:
        draw_charts(recorder, arguments.plot)
    return 0 if all(row.passed for row in rows) else 1


def _measure(selected: list[str], gap_runs: int, recorder: Recorder) -> list[Row]:
    rows: list[Row] = []
    with TemporaryDirectory(prefix="citronwood-bench-") as folder:
        rows += _measure_fleet(Path(folder), selected, recorder)
    if "gap" in selected:
        with TemporaryDirectory(prefix="citronwood-bench-") as folder:
            rows += measure_gap(Path(folder), gap_runs, recorder)
    if "limits" in selected:
        rows += measure_limits(recorder)
    if "capacity" in selected:
        rows += measure_capacity()
    return rows


def _measure_fleet(folder: Path, selected: list[str], recorder: Recorder) -> list[Row]:
    parts = {
        "path": measure_path,
        "replicas": measure_replica_share,
        "memory": measure_memory,
    }
    measures = [measure for name, measure in parts.items() if name in selected]
    if not measures:
        return []
    processes = Processes()
    try:
        fleet = Fleet(processes, folder, entries=3)
        asyncio.run(populate_table(fleet))
        return [row for measure in measures for row in measure(fleet, recorder)]
    finally:
        processes.stop_all()


if __name__ == "__main__":
    sys.exit(main())
