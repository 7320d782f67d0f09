"""App servers with a fleet block: what the other members learn of them."""

import signal
import subprocess
import sys

import pytest

from lilacwalk.commands import lilacwalk as commands
from lilacwalk.membership.messages import NODE_STATE_NAMES, NodeState
from lilacwalk.testing.proxy_client import ProxyClient
from tests.conftest import ROOT, Site
from tests.membership.conftest import names

SOON = 15.0


def state_of(rig, name, by):
    return {row["name"]: row["state"] for row in rig.show(by)["members"]}.get(name)


@pytest.fixture
def servers(make_rig):
    """App servers, each with its executor, as members."""

    def make(count, **more):
        rig = make_rig(count, kind="serve", **more)
        rig.start(*names(count))
        rig.wait(rig.settled, SOON, "settled")
        return rig

    return make


def test_app_servers_report_their_state_and_metrics_to_each_other(servers):
    rig = servers(3)
    rig.wait(
        lambda: all(state_of(rig, name, "n0") == "ready" for name in names(3)),
        SOON,
        "all are ready",
    )
    row = next(row for row in rig.show("n1")["members"] if row["name"] == "n0")
    assert row["cores"] == 2
    assert row["p_a"] == 1.0
    assert row["revision"]


def test_a_lost_executor_is_reported_as_stalled_and_a_drain_as_draining_then_left(servers):
    rig = servers(3)
    rig.wait(lambda: state_of(rig, "n2", "n0") == "ready", SOON, "ready")
    rig.processes["n2"].executor.end()
    rig.wait(lambda: state_of(rig, "n2", "n0") == "standing-still", SOON, "lost executor reported")
    rig.processes["n1"].popen.terminate()
    rig.wait(
        lambda: state_of(rig, "n1", "n0") == "leaving", SOON, "reported before the listener closes"
    )
    assert rig.processes["n1"].popen.wait(SOON) == 0
    rig.wait(lambda: rig.healths("n1")["n0"] == "left", SOON, "left, not lost")
    assert "event=drain_started" in rig.log("n1")
    assert "draining_members=0" in rig.log("n1")


def test_two_that_drain_together_know_of_each_other(servers):
    rig = servers(3)
    rig.processes["n1"].popen.terminate()
    rig.wait(lambda: state_of(rig, "n1", "n2") == "leaving", SOON, "known")
    rig.processes["n2"].popen.terminate()
    rig.wait(lambda: "draining_members=1" in rig.log("n2"), SOON, "logged")


def test_a_crashed_app_server_is_declared_dead_and_the_others_serve_on(servers):
    rig = servers(3)
    rig.kill("n1")
    rig.wait(lambda: rig.settled(["n0", "n2"]), SOON, "known to all left")
    port = int(
        next(word for word in rig.log("n0").split() if word.startswith("listen=")).split(":")[1]
    )
    proxy_client = ProxyClient(("127.0.0.1", port))
    assert proxy_client.answer(proxy_client.ask("look"))[1] == "done"
    proxy_client.end()


def test_a_reload_adds_the_block_changes_its_seeds_and_removes_it(servers):
    rig = servers(3)
    last = rig.processes["n2"]
    whole = last.file.read_text()
    last.file.write_text("")
    last.popen.send_signal(signal.SIGHUP)
    rig.wait(lambda: rig.healths("n2", ["n0"])["n0"] == "left", SOON, "out of the view")
    last.seeds = ("n1",)
    rig.write(last)
    last.popen.send_signal(signal.SIGHUP)
    rig.wait(rig.settled, SOON, "in it again, by another seed")
    last.file.write_text(whole)
    last.popen.send_signal(signal.SIGHUP)
    rig.wait(lambda: "event=fleet_reloaded" in rig.log("n2"), SOON, "seeds changed under way")
    last.file.write_text(whole.replace("probe-interval 100ms", "probe-interval soon"))
    last.popen.send_signal(signal.SIGHUP)
    rig.wait(lambda: "event=reload_failed" in rig.log("n2"), SOON, "a bad file changes nothing")
    assert rig.settled()


def test_without_the_block_no_thread_socket_or_module_of_membership_is_loaded(tmp_path):
    site = Site(tmp_path).start()
    site.link()
    assert site.event_loop.subsystems.membership is None
    assert site.event_loop.subsystems.may_withdraw
    site.end()
    code = (
        "import sys, lilacwalk.commands.serve;"
        "print([name for name in sys.modules if name.startswith(('lilacwalk.membership', "
        "'lilacwalk.failover',"
        " 'lilacwalk.storage', 'lilacwalk.retry_storms',"
        " 'lilacwalk.server.integrations.persistence'))])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"


def test_only_nodes_that_may_withdraw_are_withdrawn_as_unhealthy():
    """The announcement policy; the rule itself is in test_minimum_healthy."""
    from lilacwalk.bgp.announcement_policy import Announcing, Level, Node
    from tests.bgp.conftest import orders

    made = Announcing(orders("peer 127.0.0.1:1 {\n as 65020\n}\n"), 0)
    made.told(Node.READY, 0)
    assert made.decide(100_000).level is Level.NORMAL
    made.floor(False)
    made.told(Node.SICK, 100_000)
    held = made.decide(500_000)
    assert held.level is Level.LESS_WANTED
    assert "may go" in held.reason
    made.floor(True)
    assert made.decide(500_001).level is Level.NONE
    made.floor(False)
    assert made.decide(600_000).level is Level.NONE  # gone stays gone until well
    made.told(Node.LEAVING, 600_000)
    assert made.decide(600_000).level is Level.NONE


def test_a_drain_withdraws_without_regard_to_the_minimum_of_healthy_members():
    from lilacwalk.bgp.announcement_policy import Announcing, Level, Node
    from tests.bgp.conftest import orders

    made = Announcing(orders("peer 127.0.0.1:1 {\n as 65020\n}\n"), 0)
    made.told(Node.READY, 0)
    made.decide(100_000)
    made.floor(False)
    made.leave(100_000, None)
    assert made.decide(200_000).level is Level.NONE


# The command line


def test_show_ping_events_and_watch_print_what_the_running_member_knows(running):
    from click.testing import CliRunner

    rig = running(3)
    own = str(rig.processes["n0"].file)

    def said(*words):
        return CliRunner().invoke(commands, ["fleet", *words, "--file", own], standalone_mode=True)

    assert "n0 of recife: whole" in said("show").output
    assert "health" in said("show").output
    assert '"conclusion": "whole"' in said("show", "--json").output
    assert "joined" in said("events").output
    assert "answered=True" in said("ping", "n2").output
    rig.kill("n2")
    assert said("ping", "n2").exit_code == 4
    assert said("ping", "nobody").exit_code == 2
    assert "n0 of recife" in said("watch", "--times", "1").output


def test_check_reports_an_unusable_key_and_prints_what_the_block_means(tmp_path):
    from click.testing import CliRunner

    own = tmp_path / "own"
    own.write_text(
        f"fleet {{\n site recife\n listen 127.0.0.1:1\n key {tmp_path}/key\n"
        " seed 127.0.0.1:2\n}\n"
    )
    found = CliRunner().invoke(commands, ["check", "--file", str(own)], env={"ROUTER_CONFIG": None})
    assert found.exit_code == 2
    key = tmp_path / "key"
    key.write_text("00" * 32)
    key.chmod(0o600)
    found = CliRunner().invoke(commands, ["check", "--file", str(own)], env={"ROUTER_CONFIG": None})
    assert found.exit_code == 0
    assert "keys=1" in found.output
    assert "site=recife" in found.output


def test_every_error_of_a_block_is_reported_with_its_line():
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


def test_member_states_have_the_words_of_the_node_states():
    from lilacwalk.bgp.announcement_policy import Node

    assert [node.value for node in Node] == [NODE_STATE_NAMES[state] for state in NodeState]


def test_a_process_that_gets_sigterm_ends_within_two_seconds(running):
    import time

    rig = running(4)
    rig.kill("n1", "n2")  # nobody answers its leave but one
    began = time.monotonic()
    assert rig.leave("n3") == [0]
    assert time.monotonic() - began < 2.0
