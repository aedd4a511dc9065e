"""``make bench``: prints one table, writes JSON, fails past a bound."""

import asyncio
import sys
from argparse import ArgumentParser
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.capacity import measure_capacity, measure_short
from benchmarks.groups import measure_gap, measure_replica_share
from benchmarks.limits import measure_limits
from benchmarks.path import fill, measure_memory, measure_path
from benchmarks.report import Row, print_table, write_json
from benchmarks.series import Recorder, draw_charts
from tests.fleet import Fleet
from tests.processes import Processes

PARTS = ["path", "memory", "replicas", "gap", "limits", "capacity"]


def main() -> int:
    """Run the chosen parts."""
    parser = ArgumentParser(description="Benchmarks of citronwood.")
    parser.add_argument("--json", type=Path, default=Path("build/bench.json"))
    parser.add_argument("--gap-runs", type=int, default=30)
    parser.add_argument("--only", choices=PARTS, action="append")
    parser.add_argument(
        "--short", action="store_true", help="ratios and counts only, under a minute"
    )
    parser.add_argument(
        "--plot",
        type=Path,
        metavar="FILE",
        help="draw latency, gap and fairness over time as PNG (extra 'plot')",
    )
    arguments = parser.parse_args()
    recorder = Recorder()
    # The slopes of the capacity page have no bounds and are measured on request.
    wanted = arguments.only or [part for part in PARTS if part != "capacity"]
    if arguments.short:
        rows = measure_short()
    else:
        rows = _measure(wanted, arguments.gap_runs, recorder)
    print_table(rows)
    arguments.json.parent.mkdir(parents=True, exist_ok=True)
    write_json(rows, arguments.json)
    if arguments.plot is not None and recorder.charts:
        draw_charts(recorder, arguments.plot)
    return 0 if all(row.passed for row in rows) else 1


def _measure(wanted: list[str], gap_runs: int, recorder: Recorder) -> list[Row]:
    rows: list[Row] = []
    with TemporaryDirectory(prefix="citronwood-bench-") as folder:
        rows += _measure_fleet(Path(folder), wanted, recorder)
    if "gap" in wanted:
        with TemporaryDirectory(prefix="citronwood-bench-") as folder:
            rows += measure_gap(Path(folder), gap_runs, recorder)
    if "limits" in wanted:
        rows += measure_limits(recorder)
    if "capacity" in wanted:
        rows += measure_capacity()
    return rows


def _measure_fleet(folder: Path, wanted: list[str], recorder: Recorder) -> list[Row]:
    parts = {
        "path": measure_path,
        "replicas": measure_replica_share,
        "memory": measure_memory,
    }
    chosen = [measure for name, measure in parts.items() if name in wanted]
    if not chosen:
        return []
    processes = Processes()
    try:
        fleet = Fleet(processes, folder, entries=3)
        asyncio.run(fill(fleet))
        return [row for measure in chosen for row in measure(fleet, recorder)]
    finally:
        processes.stop_all()


if __name__ == "__main__":
    sys.exit(main())
