"""Demonstration: two VMs, a database group and the platform in one process."""

import asyncio
import logging
import socket
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator, Sequence
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager, contextmanager
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any, NamedTuple

import asyncmy
from aiohttp import ClientSession
from aiomisc import Service
from asyncmy.errors import MySQLError
from result import Ok

from citronwood.backend.connection import Login
from citronwood.config.distribution import wait_until_in_force
from citronwood.config.keys import key_digest
from citronwood.config.model import Configuration
from citronwood.config.plan import Planner
from citronwood.config.store import CONFIG_KIND, CONFIG_NAME, to_document
from citronwood.deadline import deadline_in
from citronwood.fleet.node import Node, NodeOptions
from citronwood.metrics import Metrics
from citronwood.platform.http import HttpPlatformClient
from citronwood.standin.group import Member, MemberOptions
from citronwood.standin.member import MemberService
from citronwood.standin.platform import StandinPlatform
from citronwood.standin.replication import ReplicationService
from citronwood.standin.store import Store
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

HOST = "127.0.0.1"
# Ports that the demo listens on.
PORT_COUNT = 8
ACCOUNT, KEY, ROUTE = "demo", "demo-key", "demo"
LOGIN = Login("proxy", "proxy")
FAILURE_DOMAINS = ("seattle", "portland", "spokane")
CREATE_TABLE_SQL = (
    "CREATE TABLE pledges (id INTEGER PRIMARY KEY AUTO_INCREMENT,"
    " household VARCHAR(80), food VARCHAR(80))"
)
STEP_TIMEOUT_S = 15.0
# The stalled primary does not respond for this long, so that it must be replaced.
PRIMARY_STALL_MS = 6000


class DemoPorts(NamedTuple):
    """TCP ports of the demo: for clients, between the VMs, of the other parts."""

    entries: tuple[int, int]
    inner: tuple[int, int]
    members: tuple[int, int, int]
    platform: int


def _assign_ports(ports: Sequence[int]) -> DemoPorts:
    return DemoPorts(
        entries=(ports[0], ports[1]),
        inner=(ports[2], ports[3]),
        members=(ports[4], ports[5], ports[6]),
        platform=ports[7],
    )


@contextmanager
def _reserve_ports() -> Iterator[list[int]]:
    """Reserve ports that the kernel chooses, for servers that set SO_REUSEADDR.

    A socket that is bound but does not listen keeps others from using its port. The
    option is set after binding, so that the kernel chooses a port nobody has reserved.
    """
    with ExitStack() as stack:
        ports = []
        for _ in range(PORT_COUNT):
            reserving = stack.enter_context(socket.socket())
            reserving.bind((HOST, 0))
            reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            ports.append(reserving.getsockname()[1])
        yield ports


class Demo:
    """Running components of the demonstration."""

    def __init__(self, ports: DemoPorts) -> None:
        self.ports = ports
        self.members: list[Member] = []
        self.nodes: list[Node] = []
        self.platform: HttpPlatformClient
        self._platform_url = ""

    async def open(self, stack: AsyncExitStack) -> None:
        """Start all components and create the table."""
        folder = stack.enter_context(TemporaryDirectory(prefix="citronwood-demo-"))
        await self._start_members(stack, folder)
        await self._start_platform(stack)
        for index in range(2):
            await self._start_node(stack, index)
        await _retry(self._create_table)

    async def connect(self, index: int) -> Any:
        """Connect to a VM as an ordinary client."""
        return await asyncmy.connect(
            host=HOST,
            port=self.ports.entries[index],
            user=ACCOUNT,
            password=KEY,
            database=ROUTE,
            autocommit=True,
        )

    def find_primary(self) -> Member | None:
        """Return the primary with the highest term."""
        primaries = [member for member in self.members if member.is_primary]
        return max(primaries, key=lambda candidate: candidate.store.term, default=None)

    async def _start_members(self, stack: AsyncExitStack, folder: str) -> None:
        primary_address = f"{HOST}:{self.ports.members[0]}"
        for index, port in enumerate(self.ports.members):
            store = Store(f"{folder}/m{index + 1}")
            if index:
                store.bootstrap_replica(primary_address)
            else:
                store.bootstrap_primary()
            options = MemberOptions(f"m{index + 1}", HOST, port, *LOGIN)
            member = Member(options, store)
            self.members.append(member)
            await _start_service(stack, MemberService(member, None))
            _run_in_background(stack, ReplicationService(member).start())

    async def _start_platform(self, stack: AsyncExitStack) -> None:
        platform = StandinPlatform(HOST, self.ports.platform)
        await platform.start()
        stack.push_async_callback(platform.stop)
        self._platform_url = platform.url
        self.platform = await self._open_client(stack)
        async with ClientSession() as session:
            for index, port in enumerate(self.ports.inner):
                vm = {
                    "url": f"tcp://{HOST}:{port}",
                    "failure_domain": FAILURE_DOMAINS[index],
                }
                url = f"{platform.url}/standin/vms/vm{index + 1}"
                (await session.put(url, json=vm)).raise_for_status()
        document = to_document(self._configuration())
        await self.platform.put(
            CONFIG_KIND, CONFIG_NAME, document, 0, deadline_in(STEP_TIMEOUT_S)
        )

    async def _open_client(self, stack: AsyncExitStack) -> HttpPlatformClient:
        """Return a platform client with its own call budget, as every process has."""
        return await stack.enter_async_context(
            HttpPlatformClient(self._platform_url, Metrics())
        )

    def _configuration(self) -> Configuration:
        members = {
            f"m{index + 1}": {
                "host": HOST,
                "port": port,
                "failure_domain": FAILURE_DOMAINS[index],
            }
            for index, port in enumerate(self.ports.members)
        }
        return Configuration.model_validate(
            {
                "share_slots": 2,
                "accounts": {
                    ACCOUNT: {
                        "rate": 1000,
                        "burst": 2000,
                        "keys": {"k1": key_digest(KEY)},
                    }
                },
                "groups": {"pledges": {"database": "demo", "members": members}},
                "routes": {ROUTE: {"group": "pledges"}},
            }
        )

    async def _start_node(self, stack: AsyncExitStack, index: int) -> None:
        options = NodeOptions(
            name=f"vm{index + 1}",
            failure_domain=FAILURE_DOMAINS[index],
            host=HOST,
            port=self.ports.entries[index],
            inner_url=f"tcp://{HOST}:{self.ports.inner[index]}",
            login=LOGIN,
            secret=b"secret of the demo fleet",
            seeds=tuple(f"tcp://{HOST}:{port}" for port in self.ports.inner),
            drain_s=1.0,
        )
        node = Node(options, await self._open_client(stack), Metrics())
        await node.start()
        stack.push_async_callback(node.stop)
        self.nodes.append(node)

    async def _create_table(self) -> None:
        connection = await self.connect(0)
        try:
            async with connection.cursor() as cursor:
                await cursor.execute(CREATE_TABLE_SQL)
        finally:
            connection.close()


async def _start_service(stack: AsyncExitStack, service: Service) -> None:
    service.set_loop(asyncio.get_running_loop())
    stack.push_async_callback(service.stop)
    await service.start()


def _run_in_background(
    stack: AsyncExitStack, coroutine: Coroutine[Any, Any, Any]
) -> None:
    task = asyncio.create_task(coroutine)

    async def cancel() -> None:
        await cancel_tasks([task])

    stack.push_async_callback(cancel)


async def _retry(step: Callable[[], Any]) -> None:
    """Run a step until it succeeds, for at most ``STEP_TIMEOUT_S``.

    Steps fail until the VMs have discovered each other and the members.
    """
    deadline = deadline_in(STEP_TIMEOUT_S)
    while True:
        try:
            await step()
            return
        except (MySQLError, OSError):
            if monotonic() >= deadline:
                raise
            await asyncio.sleep(0.1)


@asynccontextmanager
async def open_demo(first_port: int) -> AsyncIterator[Demo]:
    """Run the components of the demo until the context ends.

    They listen on consecutive ports, or with 0 on ports that the kernel chooses.
    """
    async with AsyncExitStack() as stack:
        if first_port:
            ports: Sequence[int] = range(first_port, first_port + PORT_COUNT)
        else:
            ports = stack.enter_context(_reserve_ports())
        demo = Demo(_assign_ports(ports))
        await demo.open(stack)
        yield demo


async def run_scenario(demo: Demo, show: Callable[[str], None]) -> bool:
    """Demonstrate the guarantees in a few steps; return whether all were kept."""
    first, second = await demo.connect(0), await demo.connect(1)
    all_kept = await _show_write(first, show)
    all_kept &= await _show_failover(demo, first, show)
    all_kept &= await _show_read(demo, show)
    all_kept &= await _show_key_withdrawal(demo, first, second, show)
    first.close()
    second.close()
    return all_kept


async def _show_write(first: Any, show: Callable[[str], None]) -> bool:
    async with first.cursor() as cursor:
        await cursor.execute(
            "INSERT INTO pledges (household, food) VALUES ('Ito', 'rice')"
        )
        show(f"vm1: wrote pledge {cursor.lastrowid}")
        return bool(cursor.rowcount == 1)


async def _show_failover(demo: Demo, first: Any, show: Callable[[str], None]) -> bool:
    primary = demo.find_primary()
    assert primary is not None
    primary.stalled_until = monotonic() + PRIMARY_STALL_MS / 1000
    started = monotonic()
    show(
        f"primary {primary.options.name} no longer responds, but still acts as primary"
    )
    async with first.cursor() as cursor:
        await cursor.execute("SET @citronwood_idempotency_key = 'pledge-2'")
        await cursor.execute(
            "INSERT INTO pledges (household, food) VALUES ('Sato', 'tea')"
        )
    elapsed_ms = (monotonic() - started) * 1000
    new_primary = demo.find_primary()
    name = "nobody" if new_primary is None else new_primary.options.name
    show(f"vm1: next write acknowledged after {elapsed_ms:.0f} ms; primary is {name}")
    return new_primary is not None and new_primary is not primary


async def _show_read(demo: Demo, show: Callable[[str], None]) -> bool:
    connection = await demo.connect(1)
    async with connection.cursor() as cursor:
        await cursor.execute("SELECT household FROM pledges ORDER BY id")
        households = [row[0] for row in await cursor.fetchall()]
    connection.close()
    show(f"vm2: a new session reads {households}")
    return households == ["Ito", "Sato"]


async def _show_key_withdrawal(
    demo: Demo, first: Any, second: Any, show: Callable[[str], None]
) -> bool:
    planner = Planner(demo.platform)
    deadline = deadline_in(STEP_TIMEOUT_S)
    intent = {"kind": "withdraw_key", "account": ACCOUNT, "key_id": "k1"}
    proposal = await planner.propose(intent, deadline)
    assert isinstance(proposal, Ok), proposal
    plan = proposal.ok_value.plan
    for change in plan.changes:
        show(f"plan {plan.id}: {change.place} is removed")
    started = monotonic()
    applied = await planner.confirm(plan.id, deadline)
    assert isinstance(applied, Ok), applied
    behind = await wait_until_in_force(
        demo.nodes[0].membership, applied.ok_value.version, deadline
    )
    elapsed_ms = (monotonic() - started) * 1000
    show(f"version {applied.ok_value.version} is in force after {elapsed_ms:.0f} ms")
    refused = [await _is_refused(first), await _is_refused(second)]
    show(f"connected callers are refused at vm1 and vm2: {refused}")
    return not behind and all(refused)


async def _is_refused(connection: Any) -> bool:
    try:
        async with connection.cursor() as cursor:
            await cursor.execute("SELECT COUNT(*) FROM pledges")
    except MySQLError:
        return True
    return False
