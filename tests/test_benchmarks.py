"""Short benchmarks, whose verdicts do not depend on the speed of the machine."""

import json
import subprocess
import sys

import pytest


@pytest.mark.timeout(120)
def test_short_benchmarks_meet_their_bounds(tmp_path):
    """Guards against a missed bound, and against a baseline that does not run.

    If all calls of a baseline fail, they only count as refused requests.
    """
    path = tmp_path / "bench.json"
    command = [sys.executable, "-m", "benchmarks", "--short", "--json", str(path)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=110)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    rows = {row["measure"]: row for row in json.loads(path.read_text())}
    assert rows["wait of accounts within their rate, p99"]["baseline"] < 1000
    worst = rows["worst-served account, of its entitlement"]
    assert worst["value"] > worst["baseline"]
