"""Retry storms at a real app server process with clients that retry, and `storms show`."""

import subprocess
import sys

import pytest

from lilacwalk.protocols.admin_socket import query
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.retrying_clients import RetryBehaviour, RetryingClients
from tests.conftest import ROOT

MAX_WAIT = 25.0  # seconds: the test fails after it
WORK = 0.02  # seconds of one execution: fifty a second on the single core


@pytest.fixture
def node():
    rig = ProcessFleet(1, 500, "serve", has_store=False)
    server = rig.add("n0")
    server.cpus = 1
    server.extra_statements = f"storms {{\n    socket {server.directory}/storms\n}}\n"
    server.executor = StandInExecutor(1, lambda _group, _body: WORK)
    rig.start("n0")
    rig.wait(lambda: "event=executor_up" in rig.log("n0"), MAX_WAIT, "executor up")
    yield rig
    rig.end()


def status(rig):
    return query(f"{rig.processes['n0'].directory}/storms", "show")


def stall(rig, crowd, seconds):
    """Waits until the node has a baseline, then stops its process for a time and resumes it."""
    rig.wait(lambda: status(rig)["usual_tries"] > 10, MAX_WAIT, "baseline learned")
    rig.stop("n0")
    stopped_at = crowd.now
    rig.wait(lambda: crowd.now > stopped_at + seconds, MAX_WAIT, "end of the stall")
    rig.resume("n0")


def test_a_storm_of_clients_that_ignore_retry_after_is_damped_and_ends_with_its_cause(node):
    # Half of the core's capacity: a busy machine has less, and with a load near its capacity no
    # baseline is learned.
    crowd = RetryingClients(
        lambda: node.address("n0"),
        25.0,
        20,
        RetryBehaviour(honours_retry_after=False, marks_retries=False),
        1,
    )
    try:
        stall(node, crowd, 6.0)
        node.wait(lambda: "stage=damped" in node.log("n0"), MAX_WAIT, "storm detected")
        assert status(node)["first"] < status(node)["tries"]
        node.wait(lambda: status(node)["stage"] == "usual", MAX_WAIT, "end of the storm")
        assert status(node)["shed_budget"] + status(node)["shed_late"] > 0
    finally:
        crowd.end()


def test_overload_by_first_attempts_alone_keeps_the_normal_stage_and_rejects_no_retries(node):
    crowd = RetryingClients(
        lambda: node.address("n0"), 100.0, 20, RetryBehaviour(max_attempts=1), 2
    )
    try:
        node.wait(lambda: crowd.now > 8.0, MAX_WAIT, "8 s of overload")
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


def test_show_prints_the_stage_and_reports_a_missing_block(node, tmp_path):
    result = run_show(node.processes["n0"].operator_file_path)
    assert result.returncode == 0
    assert result.stdout.startswith(("usual: ", "refilling: "))
    (tmp_path / "operator-file").write_text("")
    result = run_show(tmp_path / "operator-file")
    assert result.returncode == 2
    assert "expected a storms block" in result.stderr


@pytest.fixture
def node_with_store(node):
    """Returns the same node after a restart with a store."""
    server = node.processes["n0"]
    node.leave("n0")
    server.extra_statements += f"store {{\n    directory {server.directory}/kept\n}}\n"
    node.start("n0")
    node.wait(lambda: node.log("n0").count("event=executor_up") == 2, MAX_WAIT, "executor up again")
    node.wait(lambda: disk_state(node) == "", MAX_WAIT, "store in order")
    return node


def disk_state(rig):
    view = rig.show("n0")
    return (
        next(row["disk"] for row in view["members"] if row["name"] == "n0") if view else "unknown"
    )


def test_a_full_disk_in_a_storm_rejects_only_effects_and_the_storm_ends(node_with_store):
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
        node_with_store.set_disk_full("n0")
        node_with_store.wait(
            lambda: "stage=damped" in node_with_store.log("n0"), MAX_WAIT, "storm detected"
        )
        node_with_store.wait(
            lambda: disk_state(node_with_store) == "full", MAX_WAIT, "full disk reported"
        )
        node_with_store.wait(
            lambda: status(node_with_store)["stage"] == "usual",
            MAX_WAIT,
            "end of the storm with a full disk",
        )
        second = int(crowd.now) + 1
        node_with_store.wait(lambda: crowd.now > second + 3, MAX_WAIT, "two full seconds measured")
        assert sum(crowd.counts.completed[at] for at in (second, second + 1)) > 10
        assert not sum(effects.counts.completed[at] for at in (second, second + 1))
        node_with_store.set_disk_full("n0", False)
        node_with_store.wait(
            lambda: disk_state(node_with_store) == "", MAX_WAIT, "store in order again"
        )
        completed_before = sum(effects.counts.completed.values())
        node_with_store.wait(
            lambda: sum(effects.counts.completed.values()) > completed_before,
            MAX_WAIT,
            "effects completed again",
        )
        assert max(node_with_store.processes["n0"].executor.run_counts.values()) == 1
    finally:
        crowd.end()
        effects.end()


def test_clients_are_served_after_each_of_ten_crashes(node):
    crowd = RetryingClients(
        lambda: node.address("n0"), 20.0, 20, RetryBehaviour(attempt_timeout=0.5), 5
    )
    try:
        for start_count in range(2, 12):
            completed_before = sum(crowd.counts.completed.values())
            node.wait(
                lambda completed_before=completed_before: sum(crowd.counts.completed.values())
                > completed_before + 5,
                MAX_WAIT,
                "five more requests completed",
            )
            node.kill("n0")
            node.start("n0", wait=False)
            node.wait(
                lambda start_count=start_count: node.log("n0").count("event=executor_up")
                == start_count,
                MAX_WAIT,
                "executor up again",
            )
        node.wait(lambda: status(node)["stage"] == "usual", MAX_WAIT, "normal stage")
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
        node.wait(
            lambda: sum(crowd.counts.retry_after_times.values()) > 100, MAX_WAIT, "100 rejections"
        )
        node.wait(lambda: status(node)["stage"] == "usual", MAX_WAIT, "end of the storm")
        return_times = crowd.counts.retry_after_times
        # Fewer than half of the clients are told to return within the same tenth of a second.
        assert max(return_times.values()) < 0.5 * sum(return_times.values())
    finally:
        crowd.end()
