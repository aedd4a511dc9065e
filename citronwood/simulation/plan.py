"""Plan of a run: its size, its settings and its troubles, drawn from one seed."""

import random
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, TypedDict

import msgspec

from citronwood.errors import SettingsError

START_S = 6.0
TROUBLE_SPAN_S = 14.0
# A trouble begins near an earlier one with this probability.
NEAR_SHARE = 0.7
NEAR_S = 3.0
MAX_TROUBLES = 8
MAX_VMS = 60
SERVERS = 3


class Trouble(NamedTuple):
    """Disturbance of a run.

    ``target`` chooses among the machines or servers that the kind can meet, and
    ``variant`` among the variants of the kind. ``for_s`` is its duration.
    """

    kind: str
    at: float
    for_s: float
    target: int
    variant: int


class Plan(NamedTuple):
    """Everything that a run depends on."""

    seed: int
    vms: int
    sync_replicas: int
    callers: int
    troubles: tuple[Trouble, ...]


class _TroubleRecord(TypedDict):
    kind: str
    at: float
    for_s: float
    target: int
    variant: int


class _PlanRecord(TypedDict):
    seed: int
    vms: int
    sync_replicas: int
    callers: int
    troubles: list[_TroubleRecord]


# Kinds of troubles with the range of their duration.
KINDS: dict[str, tuple[float, float]] = {
    "vm_kill": (0.3, 3.0),
    "all_vms_kill": (0.3, 2.0),
    "vm_pause": (0.3, 7.0),
    "leader_kill": (0.3, 5.0),
    "leader_pause": (0.3, 7.0),
    "vm_stop": (0.5, 3.0),
    "vm_clock": (0.0, 0.0),
    "store_down": (0.5, 6.0),
    "store_loses_answers": (0.5, 4.0),
    "store_refuses_vms": (0.5, 7.0),
    "store_restored": (0.3, 3.0),
    "cut_vm": (0.5, 6.0),
    "cut_vm_from_store": (0.5, 6.0),
    "cut_vm_from_server": (0.5, 6.0),
    "cut_primary_from_replicas": (0.5, 6.0),
    "cut_primary_from_vms": (0.5, 6.0),
    "reset_connections": (0.0, 0.0),
    "silence_connections": (0.0, 0.0),
    "slow_link": (0.5, 5.0),
    "primary_crash": (0.5, 8.0),
    "replica_crash": (0.5, 8.0),
    "server_empty": (0.5, 5.0),
    "replica_lost": (3.0, 8.0),
    "replica_deaf": (1.0, 8.0),
    "server_busy": (0.5, 4.0),
    "primary_drain": (7.5, 10.0),
    "replica_drain": (7.5, 10.0),
    "server_unlisted": (2.0, 8.0),
    "foreign_entry": (1.0, 10.0),
    "promote_late": (1.0, 6.0),
    "promote_answer_lost": (1.0, 6.0),
}
# Troubles that leave the VMs, their links and the store alone.
SERVER_KINDS = frozenset(
    {
        "replica_crash",
        "replica_deaf",
        "primary_drain",
        "replica_drain",
        "server_busy",
        "foreign_entry",
    }
)


# Some runs draw their troubles from these alone: replicas that acknowledge
# commits fail together only if most troubles concern servers.
FOCUSED_KINDS = (
    "primary_crash",
    "primary_drain",
    "replica_crash",
    "replica_deaf",
    "replica_drain",
    "replica_lost",
    "server_busy",
    "server_empty",
    "server_unlisted",
    "cut_primary_from_replicas",
    "vm_kill",
    "all_vms_kill",
)
FOCUSED_SHARE = 0.4
# Other runs have restores of the store from a copy among troubles that change the
# leader, the primary or what a VM knows of them.
RESTORE_KINDS = (
    "vm_kill",
    "all_vms_kill",
    "leader_kill",
    "leader_pause",
    "vm_stop",
    "store_loses_answers",
    "cut_vm",
    "cut_vm_from_store",
    "primary_crash",
    "primary_drain",
    "promote_late",
    "promote_answer_lost",
)
RESTORE_SHARE = 0.3
MAX_RESTORES = 2
# Troubles beside the restores. A restore alone does no harm: a token is given out twice
# only if a leader changed before it, and primaries before and after it.
MIN_BESIDE_RESTORES = 3


def draw_plan(seed: int) -> Plan:
    """Draw a plan from a seed."""
    source = random.Random(seed)
    share = source.random()
    kinds: Sequence[str] = sorted(KINDS)
    restores, fewest = 0, 1
    if share < FOCUSED_SHARE:
        kinds = FOCUSED_KINDS
    elif share < FOCUSED_SHARE + RESTORE_SHARE:
        kinds = RESTORE_KINDS
        restores, fewest = source.randint(1, MAX_RESTORES), MIN_BESIDE_RESTORES
    times: list[float] = []
    troubles = []
    for index in range(restores + source.randint(fewest, MAX_TROUBLES - restores)):
        if times and source.random() < NEAR_SHARE:
            at = source.choice(times) + source.uniform(-NEAR_S, NEAR_S)
        else:
            at = START_S + source.random() * TROUBLE_SPAN_S
        at = min(max(START_S, at), START_S + TROUBLE_SPAN_S)
        times.append(at)
        kind = "store_restored" if index < restores else source.choice(kinds)
        troubles.append(
            Trouble(
                kind,
                round(at, 3),
                round(source.uniform(*KINDS[kind]), 3),
                source.randrange(1000),
                source.randrange(1000),
            )
        )
    return Plan(
        seed=seed,
        vms=source.choice((3, 3, 3, 4, 5)),
        sync_replicas=source.choice((0, 1, 1, 1, 2)),
        callers=source.randint(4, 8),
        troubles=tuple(sorted(troubles, key=lambda each: each.at)),
    )


def read_plan(path: Path) -> Plan:
    """Read a plan from a file; raises ``SettingsError`` with all findings."""
    try:
        record = msgspec.json.decode(path.read_bytes(), type=_PlanRecord)
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from None
    troubles = tuple(Trouble(**trouble) for trouble in record["troubles"])
    plan = Plan(
        seed=record["seed"],
        vms=record["vms"],
        sync_replicas=record["sync_replicas"],
        callers=record["callers"],
        troubles=troubles,
    )
    findings = [
        f"{path}: troubles[{index}].kind: {trouble.kind!r} is none of {sorted(KINDS)}"
        for index, trouble in enumerate(plan.troubles)
        if trouble.kind not in KINDS
    ]
    if not 1 <= plan.vms <= MAX_VMS:
        findings.append(f"{path}: vms: {plan.vms} is not between 1 and {MAX_VMS}")
    if not 0 <= plan.sync_replicas < SERVERS:
        findings.append(f"{path}: sync_replicas: use 0 to {SERVERS - 1}")
    if findings:
        raise SettingsError(findings)
    return plan


def write_plan(path: Path, plan: Plan) -> None:
    """Write a plan to a file that can be replayed."""
    record = {
        **plan._asdict(),
        "troubles": [trouble._asdict() for trouble in plan.troubles],
    }
    path.write_bytes(msgspec.json.format(msgspec.json.encode(record)) + b"\n")
