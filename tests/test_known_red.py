"""The list of known failures, and the plugin that keeps them from failing CI."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KNOWN_RED_PATH, read_entries

ROOT = Path(__file__).parent.parent
ENTRY = """Explanation: of the list.

{test}
  command: make test
  fails: {fails}
  seen: it failed
  issue: 9
"""
MODULE = """
import pytest

def test_fails():
    assert False

@pytest.mark.parametrize("number", [0, 1])
def test_has_parameters(number):
    assert number

def test_passes():
    pass
"""


def run_pytest(*arguments):
    plugins = ("-p", "tests.known_red", "-p", "no:cacheprovider")
    command = [sys.executable, "-m", "pytest", *plugins, *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=50)


@pytest.fixture
def run_with_list(tmp_path):
    def run_sample(*listed, workers=0, fails="always"):
        tests = tmp_path / "tests"
        tests.mkdir()
        (tests / "test_sample.py").write_text(MODULE)
        list_path = tmp_path / "known.txt"
        entries = (
            ENTRY.format(test=f"tests/test_sample.py::{test}", fails=fails)
            for test in listed
        )
        list_path.write_text("\n".join(entries))
        rootdir = ("--rootdir", str(tmp_path), "-n", str(workers))
        return run_pytest(str(tests), "--known-red", str(list_path), *rootdir)

    return run_sample


def test_every_entry_names_an_existing_test():
    """Guards against an entry whose test was removed, or whose name is misspelt."""
    entries, findings = read_entries(KNOWN_RED_PATH.read_text())
    assert not findings
    if entries:
        completed = run_pytest("--collect-only", *(entry.test for entry in entries))
        assert completed.returncode == 0, completed.stdout + completed.stderr


@pytest.mark.parametrize("workers", [0, 2])
def test_listed_tests_run_and_are_printed(run_with_list, workers):
    """Guards against skipped listed tests, and entries for tests that pass again."""
    completed = run_with_list(
        "test_fails", "test_has_parameters[0]", "test_passes", workers=workers
    )
    assert completed.returncode == 0, completed.stdout
    failed = "known red, failed: tests/test_sample.py::"
    reason = "fails always; issue 9: it failed"
    assert f"{failed}test_fails ({reason})" in completed.stdout
    assert f"{failed}test_has_parameters[0]" in completed.stdout
    passes = "known red, now passes, take it out: tests/test_sample.py::test_passes"
    assert passes in completed.stdout


def test_test_that_fails_sometimes_stays_listed(run_with_list):
    """Guards against removing an entry because its flaky test passed once."""
    listed = "test_fails", "test_has_parameters[0]", "test_passes"
    completed = run_with_list(*listed, fails="sometimes")
    assert completed.returncode == 0, completed.stdout
    assert (
        "known red, passed this time: tests/test_sample.py::test_pass"
        in completed.stdout
    )
    assert "take it out" not in completed.stdout


def test_test_that_is_not_listed_fails_the_run(run_with_list):
    """Guards against an entry that also covers tests which are not listed."""
    completed = run_with_list("test_fails", "test_has_parameters[1]")
    assert completed.returncode == 1
    assert "test_has_parameters[0]" in completed.stdout
    assert "1 failed" in completed.stdout


def test_malformed_entries_are_findings():
    """Guards against an entry without the facts that reproduce its fault."""
    text = ENTRY.format(test="tests/test_sample.py::test_fails", fails="always")
    entries, findings = read_entries(text)
    assert [entry.issue for entry in entries] == ["9"]
    assert not findings
    entries, findings = read_entries(text.replace("  seen: it failed\n", ""))
    assert (entries, findings) == ([], ["line 3: seen missing"])
    assert read_entries(text.replace("seen", "saw"))[1] == [
        "line 6: neither a test id nor a field of an entry",
        "line 3: seen missing",
    ]
    assert read_entries(text.replace("always", "often"))[1] == [
        "line 3: fails must be always or sometimes"
    ]
    assert read_entries("x tests/a.py::b")[1]


def test_malformed_list_fails_the_run(tmp_path):
    """Guards against a run that ignores a malformed list."""
    list_path = tmp_path / "known.txt"
    list_path.write_text("tests/test_sample.py::test_fails\n")
    module = tmp_path / "test_sample.py"
    module.write_text(MODULE)
    completed = run_pytest(str(module), "--known-red", str(list_path))
    assert completed.returncode not in (0, 1)
    assert "command, fails, seen, issue missing" in completed.stdout + completed.stderr
