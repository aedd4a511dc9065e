"""The simulation: machines, network, checks of the rules, and runs of fixed seeds."""

import asyncio
import json
import os
import random
import subprocess
import sys
from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from citronwood.cli.application import create_application
from citronwood.errors import SettingsError
from citronwood.simulation.checks import Bounds, find_violations
from citronwood.simulation.history import (
    Commit,
    Disturbance,
    Drained,
    Entry,
    PromoteCall,
    Promoted,
    Request,
    Restarted,
    Run,
    new_history,
)
from citronwood.simulation.loop import SimulatedLoop
from citronwood.simulation.machine import Machine
from citronwood.simulation.network import STORE_HOST
from citronwood.simulation.plan import Plan, Trouble, draw_plan, read_plan, write_plan
from citronwood.simulation.runner import run_plan
from citronwood.simulation.search import shrink
from citronwood.simulation.store import GENERATION_HEADER, Store

PLANS = Path(__file__).parent / "plans"
SEEDS = range(60)


# Machines and network.


def run_on(machine, coroutine):
    return asyncio.get_running_loop().create_task(coroutine, context=machine.start())


def simulate(scenario):
    loop = SimulatedLoop()
    try:
        return loop.run_until_complete(scenario(loop))
    finally:
        loop.abandon()


def test_nothing_of_a_process_runs_after_its_end():
    async def scenario(loop):
        steps = []

        async def work():
            try:
                while True:
                    steps.append(loop.time())
                    await asyncio.sleep(1.0)
            finally:
                steps.append("cleaned up")

        machine = Machine("m", "10.0.0.1")
        tasks = [run_on(machine, work())]
        await asyncio.sleep(2.5)
        machine.end()
        await asyncio.sleep(2.0)
        assert steps == [0.0, 1.0, 2.0]
        # A new process does not continue the work of the former one.
        tasks.append(run_on(machine, asyncio.sleep(1.0)))
        await asyncio.sleep(2.0)
        assert steps == [0.0, 1.0, 2.0]
        assert [task.done() for task in tasks] == [False, True]

    simulate(scenario)


def test_timers_of_a_paused_machine_are_late():
    async def scenario(loop):
        steps = []

        async def work():
            for _ in range(3):
                await asyncio.sleep(1.0)
                steps.append(loop.time())

        machine = Machine("m", "10.0.0.1")
        task = run_on(machine, work())
        await asyncio.sleep(1.5)
        machine.is_paused = True
        await asyncio.sleep(4.0)
        machine.resume()
        await asyncio.sleep(2.0)
        assert steps == [1.0, 5.5, 6.5]
        assert task.done()

    simulate(scenario)


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def exchange(machine, address, text=b"hello"):
    """Return what a connection from a machine gets back, and the time it took."""
    result = []

    async def call():
        started = asyncio.get_running_loop().time()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(text)
        received = await reader.readexactly(len(text))
        result.append((received, asyncio.get_running_loop().time() - started))
        writer.close()

    await run_on(machine, call())
    return result[0]


def test_data_crosses_the_network_in_order_and_with_a_delay():
    async def scenario(loop):
        await asyncio.start_server(echo, "10.0.0.2", 80)
        text = bytes(range(100))
        received, took_s = await exchange(Machine("m", "10.0.0.1"), ("10.0.0.2", 80))
        assert received == b"hello"
        assert 0.004 < took_s < 0.02
        machine = Machine("n", "10.0.0.3")
        assert (await exchange(machine, ("10.0.0.2", 80), text))[0] == text

    simulate(scenario)


def test_port_without_a_listener_refuses():
    async def scenario(loop):
        with pytest.raises(ConnectionRefusedError):
            await exchange(Machine("m", "10.0.0.1"), ("10.0.0.2", 80))

    simulate(scenario)


def test_cut_holds_data_back_in_one_direction():
    async def scenario(loop):
        await asyncio.start_server(echo, "10.0.0.2", 80)
        machine = Machine("m", "10.0.0.1")
        task = asyncio.create_task(exchange(machine, ("10.0.0.2", 80)))
        await asyncio.sleep(0.004)
        loop.network.cuts.add(("10.0.0.2", "10.0.0.1"))
        await asyncio.sleep(3.0)
        assert not task.done()
        loop.network.cuts.clear()
        assert (await task)[0] == b"hello"

    simulate(scenario)


def test_silent_connection_neither_delivers_nor_ends():
    async def scenario(loop):
        await asyncio.start_server(echo, "10.0.0.2", 80)
        reader, writer = await asyncio.open_connection("10.0.0.2", 80)
        loop.network.silence(lambda connection: True)
        writer.write(b"x")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60.0):
                await reader.read(1)
        assert (await exchange(Machine("m", "10.0.0.1"), ("10.0.0.2", 80)))[0]

    simulate(scenario)


def test_reset_ends_both_ends():
    async def scenario(loop):
        await asyncio.start_server(echo, "10.0.0.2", 80)
        reader, _ = await asyncio.open_connection("10.0.0.2", 80)
        loop.network.reset(lambda connection: True)
        with pytest.raises(ConnectionResetError):
            await reader.read(1)

    simulate(scenario)


# Checks. Each sees a history that just keeps its rule, and one that breaks it.

BOUNDS = Bounds({"g": 1}, 7.0, 12.0, 10.0, 30.0, True)


def request(number, text, result, **change):
    fields = {"sent_at": 1.0, "ended_at": 2.0, "rows": (), "session": 1}
    writes = (f"r{number}",) if text.startswith("WRITE") else ()
    fields.update(id=f"r{number}", text=text, result=result, writes=writes)
    return Request(**{**fields, **change})


def commit(number, at=1.5, server="a"):
    writes = ((f"r{number}", "x", "v"),)
    return Commit(at, server, "g", Entry(1, number, f"r{number}", writes))


def run(number, text, server="a", at=1.5, signature="s1", rows=(), seen=()):
    return Run(
        at, server, "g", f"r{number}", text, "t", signature, rows, frozenset(seen)
    )


def history(**records):
    # A late request keeps RECOVER.
    late = request(99, "READ z", "DONE s99", sent_at=25.0, ended_at=25.1)
    seen = new_history()
    seen.requests.append(late)
    seen.runs.append(run(99, "READ z", server="z", at=25.05, signature="s99"))
    for name, values in records.items():
        getattr(seen, name).extend(values)
    return seen


WRITTEN = {
    "requests": [request(1, "WRITE x v", "DONE s1")],
    "runs": [run(1, "WRITE x v")],
    "commits": [commit(1)],
}
READ = request(2, "READ x", "DONE s2", sent_at=3.0, ended_at=4.0, rows=("v",))


def read_run(seen):
    return run(2, "READ x", at=3.5, signature="s2", rows=("v",), seen=seen)


def promoted(*commits):
    return Promoted(5.0, "b", "g", 2, frozenset(commits))


CASES = {
    "LOST": (
        {**WRITTEN, "promoted": [promoted("r1")]},
        {**WRITTEN, "promoted": [promoted()]},
    ),
    "TWICE": (
        # The first commit was rolled back.
        {
            **WRITTEN,
            "requests": [request(1, "WRITE x v", "ERROR UNKNOWN")],
            "commits": [commit(1), commit(1, at=6.0, server="b")],
            "promoted": [promoted()],
        },
        {**WRITTEN, "commits": [commit(1), commit(1, server="b")]},
    ),
    "REFUSED": (
        {**WRITTEN, "requests": [request(1, "WRITE x v", "ERROR UNKNOWN")]},
        {**WRITTEN, "requests": [request(1, "WRITE x v", "ERROR BUSY")]},
    ),
    "MIXED": (
        WRITTEN,
        {**WRITTEN, "requests": [request(1, "WRITE x v", "DONE s2")]},
    ),
    "UNASKED": (
        WRITTEN,
        {**WRITTEN, "runs": [run(1, "WRITE x v"), run(1, "WRITE x w")]},
    ),
    "STALE": (
        {
            "requests": [*WRITTEN["requests"], READ],
            "runs": [*WRITTEN["runs"], read_run({"r1"})],
            "commits": [commit(1)],
        },
        {
            "requests": [*WRITTEN["requests"], READ],
            "runs": [*WRITTEN["runs"], read_run(())],
            "commits": [commit(1)],
        },
    ),
    "ONE": (
        {
            "promote_calls": [
                PromoteCall(1.0, "a", "vm1", 3),
                PromoteCall(2.0, "b", "vm1", 3),
                PromoteCall(3.0, "b", "vm2", 4),
            ]
        },
        {
            "promote_calls": [
                PromoteCall(1.0, "a", "vm1", 3),
                PromoteCall(2.0, "b", "vm2", 3),
            ]
        },
    ),
    "DRAIN": (
        {
            **WRITTEN,
            "runs": [run(1, "WRITE x v", at=9.0)],
            "drained": [Drained(2, "a")],
        },
        {
            **WRITTEN,
            "runs": [run(1, "WRITE x v", at=9.1)],
            "drained": [Drained(2, "a")],
        },
    ),
    "RECOVER": (
        {
            "requests": [
                request(number, "READ x", "ERROR BUSY", sent_at=24.0)
                for number in range(3)
            ]
        },
        {
            "requests": [
                request(number, "READ x", "ERROR BUSY", sent_at=24.0)
                for number in range(4)
            ]
        },
    ),
}


@pytest.mark.parametrize("rule", CASES)
def test_check_holds_on_a_history_that_just_keeps_its_rule(rule):
    assert find_violations(history(**CASES[rule][0]), BOUNDS) == []


@pytest.mark.parametrize("rule", CASES)
def test_check_fails_on_a_history_that_breaks_its_rule(rule):
    violations = find_violations(history(**CASES[rule][1]), BOUNDS)
    assert {violation.rule for violation in violations} == {rule}


def test_answers_that_need_no_server_do_not_keep_recover():
    # A group without a primary was taken to be served by its VMs' answers to BEGIN.
    failed = [
        request(number, "READ x", "ERROR BUSY", sent_at=24.0) for number in range(4)
    ]
    begun = [
        request(10 + number, "BEGIN", "DONE -", sent_at=24.0) for number in range(4)
    ]
    violations = find_violations(history(requests=failed + begun), BOUNDS)
    assert [violation.rule for violation in violations] == ["RECOVER"]


@pytest.mark.parametrize("restarted_at, is_broken", [(8, False), (9.05, True)])
def test_report_of_a_draining_process_ends_with_it(restarted_at, is_broken):
    # Requests to its successor were taken for late ones.
    records = {
        **WRITTEN,
        "runs": [run(1, "WRITE x v", at=9.02)],
        "drained": [Drained(2, "a")],
        "restarted": [Restarted(1, "a"), Restarted(restarted_at, "a")],
    }
    assert bool(find_violations(history(**records), BOUNDS)) is is_broken


# The parts of ONE that need more than one history of each kind.


def calls(*records):
    """Return calls to promote a server, from times, holders and fencing tokens."""
    return [
        PromoteCall(at, "a", holder, fence, f"10.1.0.{holder[-1]}")
        for at, holder, fence in records
    ]


TURNS = calls((20.0, "vm1", 3), (21.0, "vm2", 4), (22.0, "vm1", 5))


def judge_one(**records):
    return [
        violation
        for violation in find_violations(history(**records), BOUNDS)
        if violation.rule == "ONE"
    ]


def test_lower_fencing_token_breaks_one_also_of_the_same_holder():
    seen = calls((1.0, "vm1", 3), (9.0, "vm1", 2))
    assert [violation.at for violation in judge_one(promote_calls=seen)] == [9.0]


def test_holders_in_touch_must_not_take_turns_inside_a_lease():
    assert [violation.at for violation in judge_one(promote_calls=TURNS)] == [22.0]


@pytest.mark.parametrize(
    "seen",
    [
        calls((20.0, "vm1", 3), (21.0, "vm2", 4), (22.0, "vm2", 4)),
        calls((20.0, "vm1", 3), (21.0, "vm1", 3), (22.0, "vm1", 3)),
        calls((20.0, "vm1", 3), (21.0, "vm2", 4), (22.5, "vm1", 5)),
    ],
    ids=["one change of leader", "one holder", "after the lease"],
)
def test_promotions_that_are_no_turns_inside_a_lease_keep_one(seen):
    assert judge_one(promote_calls=seen) == []


@pytest.mark.parametrize(
    ("disturbance", "is_broken"),
    [
        (Disturbance(17.0, 17.0, "10.1.0.1"), False),
        (Disturbance(10.0, 16.5, "10.1.0.3", "10.1.0.2"), True),
        (Disturbance(10.0, 17.5, "10.1.0.3", "10.1.0.2"), False),
        (Disturbance(10.0, 18.5, STORE_HOST), False),
        (Disturbance(10.0, 15.9, "10.1.0.1"), True),
        (Disturbance(22.1, 23.0, "10.1.0.1"), True),
        (Disturbance(19.0, 23.0, "10.1.0.3"), True),
    ],
)
def test_turns_are_counted_only_of_holders_in_touch(disturbance, is_broken):
    broken = judge_one(promote_calls=TURNS, disturbances=[disturbance])
    assert bool(broken) == is_broken


def commit_of_old_primary(**change):
    """Return records of a commit at a while b leads since 5.0."""
    answered = {"sent_at": 5.9, "ended_at": 6.2, **change.pop("request", {})}
    result = answered.pop("result", "DONE s1")
    late = commit(1, at=6.0)._replace(host="10.2.0.1", sender="10.1.0.1", sent_at=5.99)
    return {
        "requests": [request(1, "WRITE x v", result, **answered)],
        "runs": [run(1, "WRITE x v", at=6.1)],
        "commits": [late._replace(**change)],
        "promoted": [promoted()],
    }


def test_acknowledged_commit_at_the_old_primary_breaks_one():
    broken = judge_one(**commit_of_old_primary())
    assert [violation.at for violation in broken] == [6.0]


@pytest.mark.parametrize(
    "change",
    [
        {"at": 4.9},
        {"server": "b", "entry": Entry(2, 1, "r1", (("r1", "x", "v"),))},
        {"group": "h"},
        {"request": {"result": "ERROR UNKNOWN"}},
        {"request": {"result": None}},
    ],
    ids=["before", "at the new primary", "other group", "unknown", "no answer"],
)
def test_commits_that_are_no_success_at_the_old_primary_keep_one(change):
    assert judge_one(**commit_of_old_primary(**change)) == []


@pytest.mark.parametrize(
    ("disturbance", "is_broken"),
    [
        # Paused, and the commit left within the slack after it; or later.
        (Disturbance(2.0, 5.7, "10.1.0.1"), False),
        (Disturbance(2.0, 5.6, "10.1.0.1"), True),
        # Held up on the way, in either direction of the link.
        (Disturbance(5.995, 6.5, "10.1.0.1", "10.2.0.1"), False),
        (Disturbance(5.995, 6.5, "10.2.0.1", "10.1.0.1"), False),
        # After the commit, on another link, or of another machine.
        (Disturbance(6.01, 7.0, "10.1.0.1", "10.2.0.1"), True),
        (Disturbance(5.0, 7.0, "10.1.0.1", STORE_HOST), True),
        (Disturbance(5.0, 7.0, "10.2.0.1", "10.2.0.2"), True),
        (Disturbance(5.0, 7.0, "10.1.0.2"), True),
    ],
)
def test_only_commits_that_were_held_up_are_not_counted(disturbance, is_broken):
    broken = judge_one(**commit_of_old_primary(), disturbances=[disturbance])
    assert bool(broken) == is_broken


# The store's model.


class _Clock:
    def __init__(self):
        self.at = 0.0

    def __call__(self):
        return self.at


def new_store(clock):
    return Store(random.Random(0), clock)


def test_restored_store_gives_the_same_revisions_out_again():
    clock = _Clock()
    store = new_store(clock)
    store.write("config", "main", {"version": 1})
    store.write_server("i-0", {"seq": 1})
    store.keep_copy()
    clock.at = 1.0
    store.remove("config", "main")
    store.write_server("i-0", {"seq": 2})
    store.write_server("i-1", {"seq": 1})
    lost = store.objects["servers"]["i-1"]["meta"]["revision"]
    store.keep_copy()
    store.restore(0.5)
    assert store.generation == 2
    assert store.objects["config"]["main"]["spec"] == {"version": 1}
    assert store.objects["servers"].keys() == {"i-0"}
    assert store.objects["servers"]["i-0"]["spec"] == {"seq": 1}
    given_out = {store.write("k", str(n), {})["meta"]["revision"] for n in range(3)}
    assert lost in given_out


def test_copy_does_not_see_what_is_written_after_it_or_after_a_restore():
    clock = _Clock()
    store = new_store(clock)
    store.write_server("i-0", {"seq": 1})
    store.keep_copy()
    store.restore(0.0)
    store.write_server("i-1", {"seq": 1})
    store.restore(0.0)
    assert store.objects["servers"].keys() == {"i-0"}
    assert store.generation == 3


def test_entries_that_a_restore_brings_back_expire_again():
    clock = _Clock()
    store = new_store(clock)
    store.write_server("i-0", {"seq": 1})
    store.keep_copy()
    store.write_server("i-0", None)
    clock.at = 2.0
    store.restore(0.0)
    clock.at = 5.0
    store.expire_entries()
    assert store.objects["servers"].keys() == {"i-0"}
    clock.at = 6.0
    store.expire_entries()
    assert not store.objects["servers"]


def test_every_answer_of_the_store_names_its_generation():
    async def scenario(loop):
        store = new_store(loop.time)
        await store.start("10.0.0.2", 80)
        store.write("config", "main", {})
        store.write_server("i-0", {})
        store.keep_copy()
        store.restore(0.0)
        answers = []
        for path in ("config", "config/main", "config/none", "down"):
            store.is_down = path == "down"
            text = f"GET /api/objects/{path} HTTP/1.1\r\nHost: s\r\n\r\n"
            reader, writer = await asyncio.open_connection("10.0.0.2", 80)
            writer.write(text.encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            answers.append((head[0].split(" ")[1], f"{GENERATION_HEADER}: 2" in head))
            writer.close()
        assert answers == [("200", True), ("200", True), ("404", True), ("503", True)]

    simulate(scenario)


# Plans and runs.


@pytest.mark.parametrize("seed", SEEDS)
def test_run_of_a_seed_breaks_no_rule(seed):
    result = run_plan(draw_plan(seed))
    assert result.violations == []
    assert result.served > result.requests / 4


@pytest.mark.parametrize(
    "path", sorted(PLANS.glob("*.json")), ids=lambda path: path.stem
)
def test_plan_that_broke_a_rule_breaks_none(path):
    # docs/simulation.md says which fault each plan has shown.
    assert run_plan(read_plan(path)).violations == []


def test_same_seed_gives_the_same_history_with_other_hashes_of_texts():
    def digest(hash_seed):
        command = [sys.executable, "-m", "citronwood", "simulate", "run", "--json"]
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        completed = subprocess.run(
            [*command, "--seed", "42"], env=environment, capture_output=True, timeout=50
        )
        return json.loads(completed.stdout)["digest"]

    assert digest("1") == digest("2")


def test_plan_survives_a_file(tmp_path):
    path = tmp_path / "plan.json"
    plan = draw_plan(7)
    write_plan(path, plan)
    assert read_plan(path) == plan


@pytest.mark.parametrize(
    ("text", "finding"),
    [
        ("{", "plan.json"),
        ('{"seed": 1}', "vms"),
        (
            '{"seed": 1, "vms": 99, "sync_replicas": 5, "callers": 1, "troubles": '
            '[{"kind": "x", "at": 1, "for_s": 1, "target": 1, "variant": 1}]}',
            "troubles[0].kind",
        ),
    ],
)
def test_malformed_plan_is_refused_with_its_place(tmp_path, text, finding):
    path = tmp_path / "plan.json"
    path.write_text(text)
    with pytest.raises(SettingsError) as error:
        read_plan(path)
    assert finding in str(error.value.findings)


def test_shrinking_keeps_only_the_troubles_that_matter():
    troubles = tuple(
        Trouble(kind, 6.123, 2.2, 17, 9)
        for kind in ("vm_kill", "replica_deaf", "vm_pause", "primary_crash")
    )

    def is_broken(plan):
        kinds = [trouble.kind for trouble in plan.troubles]
        return "replica_deaf" in kinds and "primary_crash" in kinds

    reduced = shrink(Plan(1, 3, 1, 4, troubles), is_broken)
    assert [trouble.kind for trouble in reduced.troubles] == [
        "replica_deaf",
        "primary_crash",
    ]
    assert reduced.troubles[0] == Trouble("replica_deaf", 6.0, 2.0, 5, 3)


def test_command_line_tells_bad_input_from_a_run(tmp_path, capsys):
    application = create_application()
    replay = CommandTester(application.find("simulate replay"))
    assert replay.execute(str(tmp_path / "none.json")) == 2
    seed = CommandTester(application.find("simulate run"))
    assert seed.execute("--seed x") == 2
    assert seed.execute("--seed 3 --json") == 0
    assert json.loads(capsys.readouterr().out)["violations"] == []
