"""Tests of app servers as fleet members: their gossiped state, and the fleet commands."""

import signal
import subprocess
import sys

import pytest

from lilacwalk.commands import lilacwalk as commands
from lilacwalk.membership.messages import NODE_STATE_NAMES, NodeState
from lilacwalk.testing.proxy_client import ProxyClient
from tests.conftest import ROOT, AppServerHarness
from tests.membership.conftest import member_names

TIMEOUT_SECONDS = 15.0  # limit of each wait; exceeding it fails the test


def state_of(fleet, name, observer):
    """Returns the state of the member `name` in the view of the member `observer`."""
    return {row["name"]: row["state"] for row in fleet.show(observer)["members"]}.get(name)


@pytest.fixture
def server_fleet(make_process_fleet):
    """Makes settled fleets of app servers, each with its own executor."""

    def make(count, **options):
        fleet = make_process_fleet(count, kind="serve", **options)
        fleet.start(*member_names(count))
        fleet.wait(fleet.settled, TIMEOUT_SECONDS, "settled")
        return fleet

    return make


def test_app_servers_report_their_state_and_metrics_to_each_other(server_fleet):
    fleet = server_fleet(3)
    fleet.wait(
        lambda: all(state_of(fleet, name, "n0") == "ready" for name in member_names(3)),
        TIMEOUT_SECONDS,
        "all are ready",
    )
    row = next(row for row in fleet.show("n1")["members"] if row["name"] == "n0")
    assert row["cores"] == 2
    assert row["p_a"] == 1.0
    assert row["revision"]


def test_a_lost_executor_is_reported_as_stalled_and_a_drain_as_draining_then_left(server_fleet):
    fleet = server_fleet(3)
    fleet.wait(lambda: state_of(fleet, "n2", "n0") == "ready", TIMEOUT_SECONDS, "ready")
    fleet.processes["n2"].executor.end()
    fleet.wait(
        lambda: state_of(fleet, "n2", "n0") == "standing-still",
        TIMEOUT_SECONDS,
        "lost executor reported",
    )
    fleet.processes["n1"].popen.terminate()
    fleet.wait(
        lambda: state_of(fleet, "n1", "n0") == "leaving",
        TIMEOUT_SECONDS,
        "reported before the listener closes",
    )
    assert fleet.processes["n1"].popen.wait(TIMEOUT_SECONDS) == 0
    fleet.wait(
        lambda: fleet.healths("n1")["n0"] == "left",
        TIMEOUT_SECONDS,
        "recorded as left, not as dead",
    )
    assert "event=drain_started" in fleet.log("n1")
    assert "draining_members=0" in fleet.log("n1")


def test_an_app_server_that_starts_to_drain_logs_how_many_others_are_draining(server_fleet):
    fleet = server_fleet(3)
    fleet.processes["n1"].popen.terminate()
    fleet.wait(
        lambda: state_of(fleet, "n1", "n2") == "leaving", TIMEOUT_SECONDS, "n2 sees n1 drain"
    )
    fleet.processes["n2"].popen.terminate()
    fleet.wait(
        lambda: "draining_members=1" in fleet.log("n2"),
        TIMEOUT_SECONDS,
        "n2 logs a draining member",
    )


def test_a_crashed_app_server_is_declared_dead_and_the_others_keep_serving(server_fleet):
    fleet = server_fleet(3)
    fleet.kill("n1")
    fleet.wait(lambda: fleet.settled(["n0", "n2"]), TIMEOUT_SECONDS, "settled without n1")
    port = int(
        next(word for word in fleet.log("n0").split() if word.startswith("listen=")).split(":")[1]
    )
    client = ProxyClient(("127.0.0.1", port))
    assert client.answer(client.send_request("look"))[1] == "done"
    client.end()


def test_a_reload_removes_adds_and_changes_the_fleet_block_but_ignores_an_invalid_file(
    server_fleet,
):
    fleet = server_fleet(3)
    member = fleet.processes["n2"]
    original_text = member.operator_file_path.read_text()
    member.operator_file_path.write_text("")
    member.popen.send_signal(signal.SIGHUP)
    fleet.wait(lambda: fleet.healths("n2", ["n0"])["n0"] == "left", TIMEOUT_SECONDS, "n2 has left")
    member.seeds = ("n1",)
    fleet.write_operator_file(member)
    member.popen.send_signal(signal.SIGHUP)
    fleet.wait(fleet.settled, TIMEOUT_SECONDS, "n2 has joined through another seed")
    member.operator_file_path.write_text(original_text)
    member.popen.send_signal(signal.SIGHUP)
    fleet.wait(
        lambda: "event=fleet_reloaded" in fleet.log("n2"),
        TIMEOUT_SECONDS,
        "changed seeds are applied",
    )
    member.operator_file_path.write_text(
        original_text.replace("probe-interval 100ms", "probe-interval soon")
    )
    member.popen.send_signal(signal.SIGHUP)
    fleet.wait(
        lambda: "event=reload_failed" in fleet.log("n2"),
        TIMEOUT_SECONDS,
        "an invalid file is rejected",
    )
    assert fleet.settled()


def test_without_a_fleet_block_no_membership_subsystem_or_module_is_loaded(tmp_path):
    harness = AppServerHarness(tmp_path).start()
    harness.accept_executor_link()
    assert harness.event_loop.subsystems.membership is None
    assert harness.event_loop.subsystems.may_withdraw
    harness.end()
    script = (
        "import sys, lilacwalk.commands.serve;"
        "print([name for name in sys.modules if name.startswith(('lilacwalk.membership', "
        "'lilacwalk.failover',"
        " 'lilacwalk.storage', 'lilacwalk.retry_storms',"
        " 'lilacwalk.server.integrations.persistence'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_an_unhealthy_node_withdraws_its_routes_only_if_withdrawal_is_allowed():
    """Covers the announcement policy; test_minimum_healthy covers which nodes may withdraw."""
    from lilacwalk.bgp.announcement_policy import AnnouncementPolicy, Level, NodeStatus
    from tests.bgp.conftest import announce_config

    policy = AnnouncementPolicy(announce_config("peer 127.0.0.1:1 {\n as 65020\n}\n"), 0)
    policy.set_node_status(NodeStatus.READY, 0)
    assert policy.decide(100_000).level is Level.NORMAL
    policy.set_withdrawal_allowed(False)
    policy.set_node_status(NodeStatus.SICK, 100_000)
    decision = policy.decide(500_000)
    assert decision.level is Level.LESS_WANTED
    assert "withdrawal is not allowed" in decision.reason
    policy.set_withdrawal_allowed(True)
    assert policy.decide(500_001).level is Level.NONE
    policy.set_withdrawal_allowed(False)
    assert policy.decide(600_000).level is Level.NONE  # stays withdrawn until it is healthy
    policy.set_node_status(NodeStatus.LEAVING, 600_000)
    assert policy.decide(600_000).level is Level.NONE


def test_a_draining_node_withdraws_its_routes_even_if_withdrawal_is_not_allowed():
    from lilacwalk.bgp.announcement_policy import AnnouncementPolicy, Level, NodeStatus
    from tests.bgp.conftest import announce_config

    policy = AnnouncementPolicy(announce_config("peer 127.0.0.1:1 {\n as 65020\n}\n"), 0)
    policy.set_node_status(NodeStatus.READY, 0)
    policy.decide(100_000)
    policy.set_withdrawal_allowed(False)
    policy.leave(100_000, None)
    assert policy.decide(200_000).level is Level.NONE


# The command line


def test_show_ping_events_and_watch_print_the_view_of_the_running_member(running_fleet):
    from click.testing import CliRunner

    fleet = running_fleet(3)
    operator_file = str(fleet.processes["n0"].operator_file_path)

    def run_command(*words):
        return CliRunner().invoke(
            commands, ["fleet", *words, "--file", operator_file], standalone_mode=True
        )

    assert "n0 of recife: whole" in run_command("show").output
    assert "health" in run_command("show").output
    assert '"conclusion": "whole"' in run_command("show", "--json").output
    assert "joined" in run_command("events").output
    assert "answered=True" in run_command("ping", "n2").output
    fleet.kill("n2")
    assert run_command("ping", "n2").exit_code == 4
    assert run_command("ping", "nobody").exit_code == 2
    assert "n0 of recife" in run_command("watch", "--times", "1").output


def test_check_rejects_a_missing_key_file_and_prints_the_settings_of_a_valid_block(tmp_path):
    from click.testing import CliRunner

    operator_file = tmp_path / "own"
    operator_file.write_text(
        f"fleet {{\n site recife\n listen 127.0.0.1:1\n key {tmp_path}/key\n"
        " seed 127.0.0.1:2\n}\n"
    )
    result = CliRunner().invoke(
        commands, ["check", "--file", str(operator_file)], env={"ROUTER_CONFIG": None}
    )
    assert result.exit_code == 2
    key = tmp_path / "key"
    key.write_text("00" * 32)
    key.chmod(0o600)
    result = CliRunner().invoke(
        commands, ["check", "--file", str(operator_file)], env={"ROUTER_CONFIG": None}
    )
    assert result.exit_code == 0
    assert "keys=1" in result.output
    assert "site=recife" in result.output


def test_every_error_of_a_fleet_block_is_reported_with_its_line():
    from lilacwalk.operator.loader import UnusableFileError, parse_operator_file

    with pytest.raises(UnusableFileError) as error:
        parse_operator_file(
            "fleet {\n site re cife\n listen 0.0.0.0:1\n seed 127.0.0.1:2\n seed 127.0.0.1:2\n"
            " withdraw-share 2\n probe-interval 1ms\n}\n",
            "f",
        )
    text = str(error.value)
    assert "f:2: cife" in text
    assert "f:6: 2" in text
    assert "f:7: 1ms" in text
    assert "f:1: fleet: expected key" in text


def test_gossiped_node_states_have_the_names_of_the_bgp_node_statuses():
    from lilacwalk.bgp.announcement_policy import NodeStatus

    assert [status.value for status in NodeStatus] == [
        NODE_STATE_NAMES[state] for state in NodeState
    ]


def test_a_member_ends_within_two_seconds_of_sigterm(running_fleet):
    import time

    fleet = running_fleet(4)
    fleet.kill("n1", "n2")  # only n0 still runs and can receive that n3 leaves
    started_at = time.monotonic()
    assert fleet.leave("n3") == [0]
    assert time.monotonic() - started_at < 2.0
