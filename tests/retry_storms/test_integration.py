"""Retry storms at a real app server process with clients that retry, and `storms show`."""

import subprocess
import sys

import pytest

from lilacwalk.protocols.admin_socket import query
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.retrying_clients import RetryBehaviour, RetryingClients
from tests.conftest import ROOT

MAX_WAIT = 25.0  # seconds; a longer wait fails the test
EXECUTION_SECONDS = 0.02  # the single core completes fifty requests a second


@pytest.fixture
def node():
    process_fleet = ProcessFleet(1, 500, "serve", has_store=False)
    server = process_fleet.add("n0")
    server.cpus = 1
    server.extra_statements = f"storms {{\n    socket {server.directory}/storms\n}}\n"
    server.executor = StandInExecutor(1, lambda _group, _body: EXECUTION_SECONDS)
    process_fleet.start("n0")
    process_fleet.wait(
        lambda: "event=executor_up" in process_fleet.log("n0"), MAX_WAIT, "executor up"
    )
    yield process_fleet
    process_fleet.end()


def status(process_fleet):
    """Returns the answer of the damper's admin socket to `show`."""
    return query(f"{process_fleet.processes['n0'].directory}/storms", "show")


def stall(process_fleet, clients, seconds):
    """Waits until the node has a baseline, then stops its process for a time and resumes it."""
    process_fleet.wait(
        lambda: status(process_fleet)["usual_tries"] > 10, MAX_WAIT, "baseline learned"
    )
    process_fleet.stop("n0")
    stopped_at = clients.now
    process_fleet.wait(lambda: clients.now > stopped_at + seconds, MAX_WAIT, "end of the stall")
    process_fleet.resume("n0")


def test_a_storm_of_clients_that_ignore_retry_after_is_damped_and_ends_with_its_cause(node):
    # Half of the core's capacity: a busy machine has less, and with a load near its capacity no
    # baseline is learned.
    clients = RetryingClients(
        lambda: node.address("n0"),
        25.0,
        20,
        RetryBehaviour(honours_retry_after=False, marks_retries=False),
        1,
    )
    try:
        stall(node, clients, 6.0)
        node.wait(lambda: "stage=damped" in node.log("n0"), MAX_WAIT, "storm detected")
        assert status(node)["first"] < status(node)["tries"]
        node.wait(lambda: status(node)["stage"] == "usual", MAX_WAIT, "end of the storm")
        assert status(node)["shed_budget"] + status(node)["shed_late"] > 0
    finally:
        clients.end()


def test_overload_by_first_attempts_alone_keeps_the_normal_stage_and_rejects_no_retries(node):
    clients = RetryingClients(
        lambda: node.address("n0"), 100.0, 20, RetryBehaviour(max_attempts=1), 2
    )
    try:
        node.wait(lambda: clients.now > 8.0, MAX_WAIT, "8 s of overload")
        assert status(node)["stage"] == "usual"
        assert not status(node)["shed_budget"]
        assert sum(clients.counts.completed.values()) > 100
    finally:
        clients.end()


def run_storms_show(path):
    return subprocess.run(
        [sys.executable, "-B", "-m", "lilacwalk", "storms", "show", "--file", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )


def test_show_prints_the_stage_and_reports_a_missing_block(node, tmp_path):
    result = run_storms_show(node.processes["n0"].operator_file_path)
    assert result.returncode == 0
    assert result.stdout.startswith(("usual: ", "refilling: "))
    (tmp_path / "operator-file").write_text("")
    result = run_storms_show(tmp_path / "operator-file")
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


def disk_state(process_fleet):
    """Returns the node's reported disk state; it is empty if the store is in order."""
    report = process_fleet.show("n0")
    return (
        next(row["disk"] for row in report["members"] if row["name"] == "n0")
        if report
        else "unknown"
    )


def test_a_full_disk_in_a_storm_rejects_only_requests_with_an_effect_and_the_storm_ends(
    node_with_store,
):
    clients = RetryingClients(
        lambda: node_with_store.address("n0"),
        20.0,
        20,
        RetryBehaviour(honours_retry_after=False, marks_retries=False),
        3,
    )
    swap_clients = RetryingClients(
        lambda: node_with_store.address("n0"), 4.0, 4, RetryBehaviour(), 4, "swap"
    )
    try:
        stall(node_with_store, clients, 5.0)
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
        first_second = int(clients.now) + 1
        node_with_store.wait(
            lambda: clients.now > first_second + 3, MAX_WAIT, "two full seconds measured"
        )
        assert (
            sum(clients.counts.completed[second] for second in (first_second, first_second + 1))
            > 10
        )
        assert not sum(
            swap_clients.counts.completed[second] for second in (first_second, first_second + 1)
        )
        node_with_store.set_disk_full("n0", False)
        node_with_store.wait(
            lambda: disk_state(node_with_store) == "", MAX_WAIT, "store in order again"
        )
        completed_before = sum(swap_clients.counts.completed.values())
        node_with_store.wait(
            lambda: sum(swap_clients.counts.completed.values()) > completed_before,
            MAX_WAIT,
            "requests with an effect completed again",
        )
        assert max(node_with_store.processes["n0"].executor.run_counts.values()) == 1
    finally:
        clients.end()
        swap_clients.end()


def test_clients_are_served_after_each_of_ten_crashes(node):
    clients = RetryingClients(
        lambda: node.address("n0"), 20.0, 20, RetryBehaviour(attempt_timeout=0.5), 5
    )
    try:
        for start_count in range(2, 12):
            completed_before = sum(clients.counts.completed.values())
            node.wait(
                lambda completed_before=completed_before: sum(clients.counts.completed.values())
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
        clients.end()


def test_clients_that_obey_retry_after_are_given_different_times(node):
    clients = RetryingClients(
        lambda: node.address("n0"),
        30.0,
        30,
        RetryBehaviour(request_timeout=20.0, attempt_timeout=4.0),
        6,
    )
    try:
        stall(node, clients, 6.0)
        node.wait(
            lambda: sum(clients.counts.retry_after_times.values()) > 100, MAX_WAIT, "100 rejections"
        )
        node.wait(lambda: status(node)["stage"] == "usual", MAX_WAIT, "end of the storm")
        retry_after_times = clients.counts.retry_after_times
        # Fewer than half of the retry-after times end within the same tenth of a second.
        assert max(retry_after_times.values()) < 0.5 * sum(retry_after_times.values())
    finally:
        clients.end()
