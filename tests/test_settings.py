"""Settings from flags and environment variables, and log formats."""

import io
import json
import logging
import os
import socket
import subprocess
import sys

import pytest

from citronwood.errors import SettingsError
from citronwood.logs import configure_logs
from citronwood.settings import describe_settings, load_settings

REQUIRED = {
    "vm_name": "vm1",
    "failure_domain": "seattle",
    "platform_url": "http://127.0.0.1:8500",
    "backend_password": "backend-secret",
    "fleet_secret": "f" * 32,
    "operator_token": "t" * 16,
}


@pytest.fixture(autouse=True)
def clean_environment(monkeypatch):
    for name in list(os.environ):
        if name.startswith("CITRONWOOD_"):
            monkeypatch.delenv(name)


def findings(flags):
    with pytest.raises(SettingsError) as caught:
        load_settings(flags)
    return caught.value.findings


def test_flag_takes_precedence_and_sources_are_reported(monkeypatch):
    monkeypatch.setenv("CITRONWOOD_LISTEN_PORT", "4000")
    monkeypatch.setenv("CITRONWOOD_DRAIN_S", "5")
    loaded = load_settings(REQUIRED | {"listen_port": "4001", "inner_port": None})
    assert loaded.settings.listen_port == 4001
    assert loaded.settings.drain_s == 5
    assert loaded.sources["listen_port"] == "flag --listen-port"
    assert loaded.sources["drain_s"] == "variable CITRONWOOD_DRAIN_S"
    assert loaded.sources["inner_port"] == "default"


def test_all_findings_are_reported_together(monkeypatch, tmp_path):
    monkeypatch.setenv("CITRONWOOD_LISTEN_PRT", "4000")
    monkeypatch.setenv("CITRONWOOD_LOG_LEVEL", "loud")
    flags = REQUIRED | {
        "vm_name": None,
        "listen_port": "70000",
        "inner_host": "example",
        "operator_port": "7300",
        "fleet_secret": "short-secret",
        "tls_key": str(tmp_path / "missing.pem"),
    }
    reported = "\n".join(findings(flags))
    for part in (
        "CITRONWOOD_LISTEN_PRT: there is no such setting",
        "--log-level (CITRONWOOD_LOG_LEVEL):",
        "--vm-name (CITRONWOOD_VM_NAME): is required",
        "--listen-port (CITRONWOOD_LISTEN_PORT):",
        "--inner-host (CITRONWOOD_INNER_HOST): must be an IP address",
        "--operator-port (CITRONWOOD_OPERATOR_PORT): is the same as --inner-port",
        "--fleet-secret (CITRONWOOD_FLEET_SECRET): must have at least 32",
        "--tls-certificate (CITRONWOOD_TLS_CERTIFICATE): is required with",
        "--tls-key (CITRONWOOD_TLS_KEY): there is no such file",
    ):
        assert part in reported
    assert "short-secret" not in reported


def test_entry_with_invalid_settings_starts_nothing():
    """Guards against reporting only the first error, and against starting anyway."""
    with socket.create_server(("127.0.0.1", 0)) as platform:
        port = platform.getsockname()[1]
        url = f"http://127.0.0.1:{port}"
        flags = ["--vm-name", "vm1", "--platform-url", url, "--listen-port", "70000"]
        command = [sys.executable, "-m", "citronwood", "entry", *flags]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30)
        platform.setblocking(False)
        with pytest.raises(BlockingIOError):
            platform.accept()
    assert completed.returncode == 2
    output = completed.stdout + completed.stderr
    for name in ("listen-port", "failure-domain", "backend-password", "fleet-secret"):
        assert f"--{name} (CITRONWOOD_" in output
    assert "Traceback" not in output


def test_secrets_are_masked():
    described = str(describe_settings(load_settings(REQUIRED)))
    assert "vm1" in described
    for name in ("backend_password", "fleet_secret", "operator_token"):
        assert REQUIRED[name] not in described


@pytest.fixture
def root_logger():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield root
    root.handlers[:] = handlers
    root.setLevel(level)


def test_log_lines_have_the_prefix_of_their_component(root_logger):
    stream = io.StringIO()
    handler = configure_logs("plain", "info", stream)
    logging.getLogger("citronwood.config.plan").info("plan %s applied", "p1\nx")
    logging.getLogger("citronwood.backend.group").debug("hidden")
    logging.getLogger("citronwood.backend.group").info("group: primary is m1")
    handler.close()
    first, second = stream.getvalue().splitlines()
    # Guards against a value with a line break, which could forge a log line.
    assert first.endswith("INFO config: plan p1\\nx applied")
    assert second.endswith("INFO group: primary is m1")


def test_json_lines_are_objects(root_logger):
    stream = io.StringIO()
    handler = configure_logs("json", "info", stream)
    try:
        raise ValueError("bad")
    except ValueError:
        logging.getLogger("citronwood.limits").exception("failed")
    handler.close()
    (line,) = stream.getvalue().splitlines()
    fields = json.loads(line)
    assert (fields["component"], fields["level"]) == ("limits", "error")
    assert "ValueError: bad" in fields["traceback"]
