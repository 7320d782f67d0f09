"""A real app server and clients that retry: a silence, a storm and its end; the command."""

import subprocess
import sys

import pytest

from lilacwalk.protocols.admin_socket import query
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.retrying_clients import RetryBehaviour, RetryingClients
from tests.conftest import ROOT

SOON = 25.0  # seconds: a failure, never a wait
WORK = 0.02  # of a run on the one core: fifty a second


@pytest.fixture
def node():
    rig = ProcessFleet(1, 500, "serve", store=False)
    server = rig.add("n0")
    server.cpus = 1
    server.extra = f"storms {{\n    socket {server.directory}/storms\n}}\n"
    server.executor = StandInExecutor(1, lambda _group, _body: WORK)
    rig.start("n0")
    rig.wait(lambda: "event=executor_up" in rig.log("n0"), SOON, "up")
    yield rig
    rig.end()


def status(rig):
    return query(f"{rig.processes['n0'].directory}/storms", "show")


def stall(rig, crowd, seconds):
    """Once its usual is known the node stands still for so long, and then goes on."""
    rig.wait(lambda: status(rig)["usual_tries"] > 10, SOON, "the usual is known")
    rig.stop("n0")
    began = crowd.now
    rig.wait(lambda: crowd.now > began + seconds, SOON, "silent for a while")
    rig.resume("n0")


def test_storm_of_clients_that_ignore_retry_after_is_damped_and_ends_with_its_cause(node):
    # Half of what the core completes: on a busy machine it completes less, and near its
    # capacity there is no baseline.
    crowd = RetryingClients(
        lambda: node.address("n0"),
        25.0,
        20,
        RetryBehaviour(honours_retry_after=False, marks_retries=False),
        1,
    )
    try:
        stall(node, crowd, 6.0)
        node.wait(lambda: "stage=damped" in node.log("n0"), SOON, "damped")
        assert status(node)["first"] < status(node)["tries"]
        node.wait(lambda: status(node)["stage"] == "usual", SOON, "over")
        assert status(node)["shed_budget"] + status(node)["shed_late"] > 0
    finally:
        crowd.end()


def test_overload_by_first_attempts_alone_is_left_to_the_controller(node):
    crowd = RetryingClients(
        lambda: node.address("n0"), 100.0, 20, RetryBehaviour(max_attempts=1), 2
    )
    try:
        node.wait(lambda: crowd.now > 8.0, SOON, "overload for a while")
        assert status(node)["stage"] == "usual"
        assert not status(node)["shed_budget"]
        assert sum(crowd.counts.completed.values()) > 100
    finally:
        crowd.end()


def run_show(path):
    return subprocess.run(
        [sys.executable, "-B", "-m", "lilacwalk", "storms", "show", "--file", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )


def test_show_prints_the_stage_and_names_a_missing_block(node, tmp_path):
    found = run_show(node.processes["n0"].file)
    assert found.returncode == 0
    assert found.stdout.startswith(("usual: ", "refilling: "))
    (tmp_path / "own").write_text("")
    found = run_show(tmp_path / "own")
    assert found.returncode == 2
    assert "expected a storms block" in found.stderr


@pytest.fixture
def node_with_store(node):
    """The same node with a store of its own, started anew with it."""
    server = node.processes["n0"]
    node.leave("n0")
    server.extra += f"store {{\n    directory {server.directory}/kept\n}}\n"
    node.start("n0")
    node.wait(lambda: node.log("n0").count("event=executor_up") == 2, SOON, "up with a store")
    node.wait(lambda: disk_state(node) == "", SOON, "its disk keeps")
    return node


def disk_state(rig):
    view = rig.show("n0")
    return (
        next(row["disk"] for row in view["members"] if row["name"] == "n0") if view else "unknown"
    )


def test_disk_that_fills_in_a_storm_rejects_effects_alone_and_the_storm_ends(node_with_store):
    crowd = RetryingClients(
        lambda: node_with_store.address("n0"),
        20.0,
        20,
        RetryBehaviour(honours_retry_after=False, marks_retries=False),
        3,
    )
    effects = RetryingClients(
        lambda: node_with_store.address("n0"), 4.0, 4, RetryBehaviour(), 4, "swap"
    )
    try:
        stall(node_with_store, crowd, 5.0)
        node_with_store.fill("n0")
        node_with_store.wait(lambda: "stage=damped" in node_with_store.log("n0"), SOON, "damped")
        node_with_store.wait(lambda: disk_state(node_with_store) == "full", SOON, "told")
        node_with_store.wait(
            lambda: status(node_with_store)["stage"] == "usual", SOON, "over, with the disk full"
        )
        second = int(crowd.now) + 1
        node_with_store.wait(lambda: crowd.now > second + 3, SOON, "two whole seconds")
        assert sum(crowd.counts.completed[at] for at in (second, second + 1)) > 10
        assert not sum(effects.counts.completed[at] for at in (second, second + 1))
        node_with_store.fill("n0", False)
        node_with_store.wait(
            lambda: disk_state(node_with_store) == "", SOON, "keeps again by itself"
        )
        done = sum(effects.counts.completed.values())
        node_with_store.wait(
            lambda: sum(effects.counts.completed.values()) > done, SOON, "effects are had again"
        )
        assert max(node_with_store.processes["n0"].executor.ran.values()) == 1
    finally:
        crowd.end()
        effects.end()


def test_clients_are_served_after_each_of_ten_crashes(node):
    crowd = RetryingClients(
        lambda: node.address("n0"), 20.0, 20, RetryBehaviour(attempt_timeout=0.5), 5
    )
    try:
        for life in range(2, 12):
            done = sum(crowd.counts.completed.values())
            node.wait(
                lambda done=done: sum(crowd.counts.completed.values()) > done + 5, SOON, "served"
            )
            node.kill("n0")
            node.start("n0", wait=False)
            node.wait(
                lambda life=life: node.log("n0").count("event=executor_up") == life,
                SOON,
                "up again",
            )
        node.wait(lambda: status(node)["stage"] == "usual", SOON, "no storm remains")
    finally:
        crowd.end()


def test_clients_that_obey_retry_after_are_given_different_times(node):
    crowd = RetryingClients(
        lambda: node.address("n0"),
        30.0,
        30,
        RetryBehaviour(request_timeout=20.0, attempt_timeout=4.0),
        6,
    )
    try:
        stall(node, crowd, 6.0)
        node.wait(lambda: sum(crowd.counts.retry_after_times.values()) > 100, SOON, "many are told")
        node.wait(lambda: status(node)["stage"] == "usual", SOON, "over")
        told = crowd.counts.retry_after_times
        assert max(told.values()) < 0.5 * sum(told.values())  # in the fullest tenth of a second
    finally:
        crowd.end()
