"""Small deployment: the program of the deploy file, started with the stand-ins.

A case exits with 2 if the build is missing or not everything has come up.
"""

import asyncio
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.fleet3.members import Service
from review.fleet3.platform import Cloud, Store

ROOT = Path(__file__).resolve().parents[2]
PASSED_ON = ("PATH", "HOME", "JAVA_HOME", "LANG")
START_TIMEOUT_S = 25.0
METRICS_PORT = 9464
TENANT, KEY = "acme", "k3y-of-acme-41"


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what happened to ``record.txt`` and to standard output."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._began_at:8.3f} s  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


class Node:
    """Process of one machine."""

    def __init__(self, name, host, folder, record):
        self.name = name
        self.host = host
        self.front = (host, _free_port(host))
        self.ready = (host, _free_port(host))
        self.inner_port = _free_port(host)
        self.process = None
        self.ended = 0
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self._record = record

    def start(self):
        if self.process is not None:
            # Only the start of the whole system is a first start.
            text = self.settings.read_text()
            self.settings.write_text(text.replace("bootstrap=true", "bootstrap=false"))
        environment = {
            name: os.environ[name] for name in PASSED_ON if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CITRONWOOD_SETTINGS"] = str(self.settings)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record(f"{self.name} is started")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        """Resident memory of the process, in MiB."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def processor_s(self):
        """Processor time that the process has used."""
        try:
            text = Path(f"/proc/{self.process.pid}/stat").read_text()
        except OSError:
            return 0.0
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    async def is_ready(self, timeout_s=0.8):
        """Ask for readiness as the platform does."""
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()


class Fleet:
    """Machines, store, promotions and one service; an asynchronous context manager."""

    def __init__(self, folder, nodes=3, contracts=(), memory_mb=222, kind="primary"):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="citronwood-review-")
        base = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.store = Store(f"{base}.1")
        self.service = Service("registry", f"{base}.3", self.store, self.record)
        services = {self.service.name: self.service}
        self.cloud = Cloud(f"{base}.2", services, self.record)
        temporary = Path(self._temporary.name)
        self.nodes = [
            Node(f"front-{n + 1}", f"{base}.{10 + n}", temporary, self.record)
            for n in range(nodes)
        ]
        self._contracts = (
            "base,drain,config,cost,recover,sql,tenants,quota,platform".split(",")
            + list(contracts)
        )
        self.memory_mb = memory_mb
        self._kind = kind

    async def __aenter__(self):
        if not (ROOT / "target" / "deps" / "aiohttp").is_dir():
            raise CannotRun("the build of the deploy file is missing")
        await self.store.server.start()
        await self.cloud.server.start()
        self.store.write("config", "main", self.configuration(1))
        for member in self.service.members:
            await member.start()
        for index, node in enumerate(self.nodes):
            node.settings.write_text(self._settings(node, index))
            node.start()
        await self.wait_until_ready()
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            node.kill()
        for member in self.service.members:
            member.stop()
        self.store.server.close()
        self.cloud.server.close()
        self._temporary.cleanup()

    async def wait_until_ready(self):
        give_up_at = time.monotonic() + START_TIMEOUT_S
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > give_up_at:
                    raise CannotRun(f"{node.name} has not come up")
                await asyncio.sleep(0.1)
        self.record("all machines are ready")

    def configuration(self, version):
        """Configuration as the operator writes it."""
        route = {
            "host": "lessons",
            "service": self.service.name,
            "kind": self._kind,
            "timeout_ms": 1000,
            "target_latency_ms": 200,
            "priority": 1,
            "allow_anonymous": False,
        }
        if self._kind != "primary":
            route["max_staleness_ms"] = 1500
        return {
            "version": version,
            "routes": [route],
            "services": [
                {"name": self.service.name, "max_conns": 124, "sync_replicas": 0}
            ],
            "limits": {"tx_idle_ms": 3000},
            "tenants": [
                {"name": TENANT, "api_keys": [KEY], "rate_per_s": 500, "burst": 500}
            ],
        }

    def _settings(self, node, index):
        ports = f"{node.inner_port},{node.inner_port}"
        lines = {
            "node": node.name,
            "role": "entry",
            "machine_class": "front",
            "serves": "front",
            "ip": node.host,
            "zone": f"zone-{index + 1}",
            "region": "region-1",
            "listen.front": f"{node.front[0]}:{node.front[1]}",
            "listen.ready": f"{node.ready[0]}:{node.ready[1]}",
            "port_range": ports,
            "bootstrap": "true",
            "counts_as_loss": "false",
            "limits.cpu_share": "0.731",
            "limits.cores": "1",
            "limits.memory_mb": str(self.memory_mb),
            "limits.max_fds": "2940",
            "heartbeat_ms": "1200",
            "contracts": ",".join(self._contracts),
            "bounds.drain_ms": "7000",
            "bounds.grace_s": "6",
            "bounds.config_apply_ms": "3000",
            "platform.address": self.store.server.address,
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "cloud.address": self.cloud.server.address,
            "cloud.duties": "failover",
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())


def _free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def has_trouble():
    """Whether the case makes its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case):
    """Run a case and exit with 0 (rule held), 1 (rule broken) or 2 (cannot run)."""
    if sys.version_info < (3, 11):
        sys.exit(2)
    try:
        is_broken = asyncio.run(case())
    except CannotRun as error:
        print(f"cannot run: {error}", flush=True)
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held", flush=True)
    sys.exit(1 if is_broken else 0)
