"""The short form of the benchmarks, whose verdicts do not depend on the machine."""

import json
import subprocess
import sys

import pytest


@pytest.mark.timeout(120)
def test_short_form_keeps_its_bounds(tmp_path):
    """Guards against a broken bound, and against a baseline that does not run.

    A baseline whose calls all failed was once taken for one that refuses everything.
    """
    path = tmp_path / "bench.json"
    command = [sys.executable, "-m", "benchmarks", "--short", "--json", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stdout + done.stderr
    rows = {row["measure"]: row for row in json.loads(path.read_text())}
    assert rows["wait of accounts within their rate, p99"]["baseline"] < 1000
    worst = rows["worst-served account, of its entitlement"]
    assert worst["value"] > worst["baseline"]
