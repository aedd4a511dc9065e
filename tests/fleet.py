"""A whole fleet of real processes: platform, database members and entries."""

import asyncio
import json
import os
import re
import subprocess
import sys
import time
import urllib.error
import urllib.request
from hashlib import sha1

import asyncmy

from citronwood.config.keys import key_digest
from citronwood.deadline import deadline_in
from citronwood.metrics import Metrics
from citronwood.mysql.auth import scramble_matches
from citronwood.platform.http import HttpPlatformClient
from citronwood.standin.connection import LOGIN_MARKER
from tests.processes import free_port

ACCOUNT, KEY, ROUTE = "demo", "demo-key-of-the-tests", "demo"
TOKEN = "operator-token-of-the-tests"
SECRET = "fleet-secret-of-the-tests-0123456789"
TABLE = (
    "CREATE TABLE pledges (id INTEGER PRIMARY KEY AUTO_INCREMENT,"
    " household VARCHAR(80), food VARCHAR(80))"
)
DOMAINS = ("seattle", "portland", "spokane")


class Fleet:
    """Platform stand-in, one group of three members, and several entries.

    An entry is the process of one VM. Three callbacks take a port and may return that
    of a fault proxy in front of it: ``link`` for the port of a member,
    ``platform_link`` for the platform's port as used by the named entry, and
    ``inner_link`` for the port on which the named entry listens for its peers.
    ``slots`` is the number of share slots, by default that of the entries.
    ``limits`` are (rate, burst) by account, ``keys`` are additional keys by id that all
    accounts have, and ``settings`` are settings of all entries.
    """

    def __init__(
        self,
        processes,
        directory,
        entries=2,
        slots=None,
        link=lambda port: port,
        platform_link=lambda name, port: port,
        inner_link=lambda name, port: port,
        limits=None,
        keys=None,
        settings=None,
    ):
        self.processes = processes
        self._directory = directory
        self._platform_link = platform_link
        self._inner_link = inner_link
        self._rates = {ACCOUNT: (10_000, 20_000)} | (limits or {})
        self._settings = settings or {}
        self._keys = {"k1": KEY} | (keys or {})
        self.inner_urls = {}
        self.platform_port = free_port()
        self.platform = processes.start(
            "standin-platform", "--port", self.platform_port
        )
        self.member_ports = {f"m{i + 1}": free_port() for i in range(3)}
        self.members = {name: self.start_member(name) for name in self.member_ports}
        self._linked_ports = {
            name: link(port) for name, port in self.member_ports.items()
        }
        self.entries = {}
        self.ports = {}
        self.operator_ports = {}
        processes.wait_for_ports(self.platform_port, *self.member_ports.values())
        self.put_configuration(slots or entries)
        for index in range(entries):
            self.start_entry(f"vm{index + 1:02}", DOMAINS[index % 3])
        processes.wait_for_ports(*self.ports.values())
        processes.checks.append(self.check_members_received_no_key)

    @property
    def operator_url(self):
        name = next(iter(self.entries))
        return f"http://127.0.0.1:{self.operator_ports[name]}"

    def start_member(self, name, *options):
        port = self.member_ports[name]
        arguments = ["--name", name, "--data-dir", self._directory / name]
        if name != "m1":
            arguments += ["--follow", f"127.0.0.1:{self.member_ports['m1']}"]
        received_path = self._directory / f"{name}.bytes"
        arguments += ["--record-bytes", received_path, *options]
        return self.processes.start("standin-member", "--port", port, *arguments)

    async def set_member(self, name, setting, value):
        """Change a setting of a running member stand-in."""
        connection = await asyncmy.connect(
            host="127.0.0.1",
            port=self.member_ports[name],
            user="proxy",
            password="proxy",
        )
        await run(connection, f"CALL standin_set('{setting}', {value})")
        connection.close()

    def recorded_bytes(self):
        """Return all bytes that the members have received."""
        return b"".join(path.read_bytes() for path in self._directory.glob("*.bytes"))

    def check_members_received_no_key(self):
        """Fail if a member received a key, a digest of a key or a login with a key."""
        recorded = self.recorded_bytes()
        logins = re.findall(LOGIN_MARKER + b"(.{20})(.{20})", recorded, re.DOTALL)
        assert logins, "no login was recorded"
        for name, key in self._keys.items():
            digest = key_digest(key)
            digests = sha1(key.encode()).digest(), bytes.fromhex(digest)
            secrets = [key.encode(), *digests, *(d.hex().encode() for d in digests)]
            assert not any(secret in recorded for secret in secrets), (
                f"a member received key {name}"
            )
            for nonce, scramble in logins:
                assert not scramble_matches(digest, scramble, nonce), (
                    f"a member received a login with key {name}"
                )

    def put_configuration(self, slots):
        members = {
            name: {"host": "127.0.0.1", "port": port, "failure_domain": DOMAINS[i]}
            for i, (name, port) in enumerate(self._linked_ports.items())
        }
        keys = {name: key_digest(key) for name, key in self._keys.items()}
        accounts = {
            name: {"rate": rate, "burst": burst, "keys": keys}
            for name, (rate, burst) in self._rates.items()
        }
        document = {
            "share_slots": slots,
            "accounts": accounts,
            "groups": {"pledges": {"database": "demo", "members": members}},
            "routes": {ROUTE: {"group": "pledges"}},
        }
        asyncio.run(self._store(document))

    async def _store(self, document):
        url = f"http://127.0.0.1:{self.platform_port}"
        async with HttpPlatformClient(url, Metrics()) as client:
            await client.put("config", "current", document, 0, deadline_in(10))

    def platform_call(self, method, path, body=None):
        return call(method, f"http://127.0.0.1:{self.platform_port}{path}", body)

    def operator_call(self, method, path, body=None, name=None):
        port = self.operator_ports[name or next(iter(self.entries))]
        return call(method, f"http://127.0.0.1:{port}{path}", body, TOKEN)

    def start_entry(self, name, domain, stdout=None, **changes):
        """Add a VM to the platform's list and start its process."""
        port, inner_port, operator_port = free_port(), free_port(), free_port()
        url = f"tcp://127.0.0.1:{self._inner_link(name, inner_port)}"
        listed_vm = {"url": url, "failure_domain": domain}
        self.platform_call("PUT", f"/standin/vms/{name}", listed_vm)
        platform_port = self._platform_link(name, self.platform_port)
        settings = {
            "vm-name": name,
            "failure-domain": domain,
            "listen-port": port,
            "inner-port": inner_port,
            "operator-port": operator_port,
            "advertised-url": url,
            "platform-url": f"http://127.0.0.1:{platform_port}",
            "backend-password": "proxy",
            "fleet-secret": SECRET,
            "operator-token": TOKEN,
            "log-level": "warning",
            "drain-s": "3",
        }
        settings |= self._settings | changes
        self.inner_urls[name] = url
        flags = [part for k, v in settings.items() for part in (f"--{k}", v)]
        self.ports[name], self.operator_ports[name] = port, operator_port
        with self.log_path(name).open("ab") as output:
            self.entries[name] = self.processes.start(
                "entry", *flags, stdout=stdout or output
            )

    def log_path(self, name):
        """Return the log file of an entry and of earlier entries with its name."""
        return self._directory / f"{name}.log"

    def unlist_entry(self, name):
        """Remove a VM from the platform's list; return its process."""
        self.platform_call("DELETE", f"/standin/vms/{name}")
        del self.ports[name], self.operator_ports[name], self.inner_urls[name]
        return self.entries.pop(name)

    def is_running(self, name):
        return self.entries[name].poll() is None

    def set_faults(self, **faults):
        """Set the faults of the platform; all other faults are cleared."""
        status, answer = self.platform_call("PUT", "/standin/faults", faults)
        assert status == 200, answer

    def confirm(self, intent):
        """Plan and confirm an intent; return the plan and the confirm's answer."""
        status, plan = self.operator_call("POST", "/v1/plans", intent)
        assert status == 201, plan
        self._keys.update(plan["secrets"])
        status, answer = self.operator_call("POST", f"/v1/plans/{plan['id']}/confirm")
        assert status in (200, 202), answer
        return plan, answer

    async def connect(self, name=None, **changes):
        login = {"user": ACCOUNT, "password": KEY, "database": ROUTE}
        options = login | {"autocommit": True} | changes
        port = self.ports[name or next(iter(self.entries))]
        return await asyncmy.connect(host="127.0.0.1", port=port, **options)


def run_cli(fleet, *arguments):
    """Run a CLI command against the first entry; return its exit code and output."""
    environment = os.environ | {
        "CITRONWOOD_OPERATOR_URL": fleet.operator_url,
        "CITRONWOOD_OPERATOR_TOKEN": TOKEN,
    }
    command = [sys.executable, "-m", "citronwood", *arguments]
    completed = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=20
    )
    return completed.returncode, completed.stdout + completed.stderr


def call(method, url, body=None, token=None):
    """Make one HTTP request; return the status and the JSON body."""
    headers = {"Content-Type": "application/json"}
    if token is not None:
        headers["Authorization"] = f"Bearer {token}"
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=20) as answer:
            payload = answer.read()
            return answer.status, json.loads(payload) if payload else None
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b"null")


async def run(connection, sql):
    """Run one statement and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall()


def wait_until(check, timeout_s=10.0):
    """Repeat a check until it is true."""
    deadline = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < deadline, "condition not reached in time"
        time.sleep(0.05)
