"""Tests with real processes behind a datagram switch, with faults between them."""

import os
import signal
import socket

import pytest

from lilacwalk.membership.messages import seal, unseal
from lilacwalk.testing.scenario import BadScriptError, play, read
from tests.conftest import ROOT
from tests.membership.conftest import datagram, gossip_update, member_names

TIMEOUT_SECONDS = 15.0  # limit of each wait; exceeding it fails the test


def test_a_third_of_the_fleet_killed_at_once_is_declared_dead_by_all_and_rejoins(running_fleet):
    fleet = running_fleet(12, sites=("recife", "natal", "caruaru"), seeds=2)
    killed = ["n1", "n4", "n7", "n10"]
    fleet.kill(*killed)
    fleet.wait(lambda: fleet.settled(), TIMEOUT_SECONDS, "the others hold equal and correct views")
    assert {fleet.healths(name)["n0"] for name in killed} == {"dead"}
    report = fleet.show("n0")
    assert report["conclusion"] == "whole"
    assert report["lost"] == 4
    fleet.start(*killed)
    fleet.wait(fleet.settled, TIMEOUT_SECONDS, "settled with the restarted members")


def test_a_member_that_leaves_is_recorded_as_left_and_not_as_dead(running_fleet):
    fleet = running_fleet(6)
    assert fleet.leave("n4") == [0]
    fleet.wait(
        lambda: set(fleet.healths("n4").values()) == {"left"},
        TIMEOUT_SECONDS,
        "recorded as left by all",
    )
    assert all(fleet.show(name)["counts"].get("dead", 0) == 0 for name in fleet.running_names())


def test_a_state_is_gossiped_to_all_and_draining_members_are_counted(running_fleet):
    fleet = running_fleet(5)
    fleet.send_state("n1", "leaving")
    fleet.send_state("n2", "leaving")
    fleet.wait(
        lambda: all(fleet.show(name)["leaving"] == 2 for name in fleet.running_names()),
        TIMEOUT_SECONDS,
        "draining members are counted",
    )


def test_a_process_stopped_beyond_the_suspicion_timeout_rejoins_and_declares_none_dead(
    running_fleet,
):
    fleet = running_fleet(6)
    fleet.stop("n2")
    fleet.wait(
        lambda: set(fleet.healths("n2").values()) == {"dead"}, TIMEOUT_SECONDS, "n2 declared dead"
    )
    fleet.resume("n2")
    fleet.wait(fleet.settled, TIMEOUT_SECONDS, "settled with n2")
    assert fleet.show("n2")["counts"].get("dead", 0) == 0


def test_both_sides_of_a_partition_identify_their_side_and_rejoin(running_fleet):
    fleet = running_fleet(9, sites=("recife", "natal", "caruaru"))
    recife, others = member_names(9)[:3], member_names(9)[3:]
    fleet.cut(recife, others)
    fleet.wait(
        lambda: all(fleet.show(name)["conclusion"] == "minority" for name in recife),
        TIMEOUT_SECONDS,
        "minority",
    )
    fleet.wait(
        lambda: all(fleet.show(name)["conclusion"] == "whole" for name in others),
        TIMEOUT_SECONDS,
        "whole",
    )
    assert all(row["cut"] for row in fleet.show("n8")["members"] if row["site"] == "recife")
    fleet.heal()
    fleet.wait(fleet.settled, TIMEOUT_SECONDS, "settled as one fleet")


def test_two_processes_under_one_name_are_reported_and_one_yields(make_process_fleet):
    fleet = make_process_fleet(4)
    fleet.add("twin", seeds=["n0"], configured_name="n2")
    fleet.start(*member_names(4))
    fleet.wait(fleet.settled, TIMEOUT_SECONDS, "settled")
    fleet.start("twin")
    fleet.wait(
        lambda: "change=yielded" in fleet.log("twin"), TIMEOUT_SECONDS, "the later one yields"
    )
    assert fleet.show("twin")["reason"] == "another process holds this name"
    fleet.wait(
        lambda: fleet.settled(member_names(4)),
        TIMEOUT_SECONDS,
        "the others list the first process as n2",
    )


def test_a_full_disk_does_not_affect_the_view_and_is_logged_once(running_fleet):
    fleet = running_fleet(4)
    fleet.wait(lambda: fleet.show("n2")["store"] == "kept", TIMEOUT_SECONDS, "members stored")
    incarnation = fleet.show("n2")["life"]
    fleet.kill("n2")
    fleet.set_disk_full("n2")
    fleet.start("n2")
    fleet.wait(fleet.settled, TIMEOUT_SECONDS, "settled with a full disk")
    fleet.wait(lambda: fleet.show("n2")["store"] == "not-kept", TIMEOUT_SECONDS, "failure reported")
    assert fleet.show("n2")["life"] > incarnation
    fleet.set_disk_full("n2", False)
    fleet.wait(lambda: fleet.show("n2")["store"] == "kept", TIMEOUT_SECONDS, "stored at a retry")
    assert fleet.log("n2").count("state=not-kept") == 1


def test_a_store_that_cannot_be_opened_does_not_affect_the_view(make_process_fleet):
    fleet = make_process_fleet(3)
    (fleet.processes["n1"].directory / "store").write_text("a file instead of a directory")
    fleet.start(*member_names(3))
    fleet.wait(fleet.settled, TIMEOUT_SECONDS, "settled")
    fleet.wait(lambda: fleet.show("n1")["store"] == "not-kept", TIMEOUT_SECONDS, "failure reported")


def test_with_every_seed_down_a_restarted_member_finds_the_stored_members(running_fleet):
    fleet = running_fleet(4)
    fleet.wait(
        lambda: "members" in (fleet.show("n2") or {}) and fleet.show("n2")["store"] == "kept",
        TIMEOUT_SECONDS,
        "store opened and written",
    )
    fleet.wait(lambda: has_stored_members(fleet, "n2"), 20, "the members known to n2 are stored")
    fleet.kill("n0", "n2")
    fleet.start("n2")
    fleet.wait(
        lambda: fleet.settled(["n1", "n2", "n3"]), TIMEOUT_SECONDS, "settled without the seed"
    )


def has_stored_members(fleet, name):
    store = fleet.processes[name].directory / "store"
    return any(b"members" in file.read_bytes() for file in store.iterdir())


def test_a_key_is_replaced_at_run_time_without_a_lost_member(running_fleet):
    fleet = running_fleet(4)
    old_key, new_key = fleet.key_path.read_text().strip(), "ab" * 32
    for keys in ((old_key, new_key), (new_key, old_key), (new_key,)):
        fleet.write_keys(*keys)
        for name in member_names(4):  # one at a time: in between, members use different keys
            fleet.processes[name].popen.send_signal(signal.SIGHUP)
            line = f"event=fleet_reloaded seeds={0 if name == 'n0' else 1} keys={len(keys)}"
            count = fleet.log(name).count(line)
            fleet.wait(
                lambda name=name, line=line, count=count: fleet.log(name).count(line) > count
                or count,
                TIMEOUT_SECONDS,
                "reloaded",
            )
    fleet.wait(fleet.settled, TIMEOUT_SECONDS, "settled with the new key")
    assert all(fleet.show(name)["counts"].get("dead", 0) == 0 for name in member_names(4))


def test_invalid_datagrams_are_logged_and_change_nothing(running_fleet):
    fleet = running_fleet(3)
    key = bytes.fromhex(fleet.key_path.read_text().strip())
    valid = seal(
        datagram(sender="stranger", updates=(gossip_update("ghost", metadata=False),)), key
    )
    assert unseal(valid, (key,))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        invalid = [
            b"",
            bytes(65_507),
            seal(datagram(), bytes(32)),
            *(valid[:length] for length in range(len(valid))),
        ]
        for data in invalid:
            sock.sendto(data, fleet.processes["n1"].listen_address)
        fleet.wait(
            lambda: "why=long" in fleet.log("n1") and "why=seal" in fleet.log("n1"),
            TIMEOUT_SECONDS,
            "logged",
        )
    assert fleet.settled()
    assert "ghost" not in str(fleet.show("n1"))


def test_a_key_file_readable_by_other_users_fails_the_start_with_exit_code_2(make_process_fleet):
    fleet = make_process_fleet(1)
    os.chmod(fleet.key_path, 0o644)
    fleet.start("n0", wait=False)
    assert fleet.processes["n0"].popen.wait(TIMEOUT_SECONDS) == 2
    fleet.wait(
        lambda: "expected mode 0600" in fleet.log("n0"), TIMEOUT_SECONDS, "the reason is logged"
    )


def test_lost_duplicated_delayed_and_reordered_datagrams_cause_no_false_death(running_fleet):
    """A lost answer may raise a suspicion, which the suspected member has to refute in time."""
    fleet = running_fleet(8)
    survivors = [name for name in member_names(8) if name != "n3"]
    for name in member_names(8):
        fleet.impair(name, loss=0.05, duplication=0.1, delay=0.002, jitter=0.02)
    fleet.kill("n3")
    fleet.wait(
        lambda: set(fleet.healths("n3").values()) == {"dead"},
        TIMEOUT_SECONDS,
        "declared dead by all",
    )
    for name in survivors:
        assert set(fleet.healths(name).values()) <= {"alive", "suspect"}
    fleet.heal()
    fleet.wait(fleet.settled, TIMEOUT_SECONDS, "settled")
    for name in survivors:
        fleet.wait(
            lambda name=name: set(fleet.healths(name).values()) == {"alive"},
            TIMEOUT_SECONDS,
            "suspicions refuted",
        )
    declared_dead = {
        line.split("member=")[1].split()[0]
        for name in survivors
        for line in fleet.log(name).splitlines()
        if "event=fleet_member change=dead" in line
    }
    assert declared_dead == {"n3"}


# Scenarios


def test_a_failed_expectation_of_a_scenario_is_reported_with_its_line(tmp_path, capsys):
    script = tmp_path / "x.drill"
    script.write_text(
        "members 3\nprobe-interval 100ms\nstart all\nexpect settled within 10s\n"
        "expect health dead n1 within 300ms\nexpect health alive n1 within 1s\n"
    )
    assert not play(read(str(script)), quiet=True)
    output = capsys.readouterr().out
    assert f"{script}:5: not held: expect health dead n1 within 300ms" in output
    assert "2 of 3" in output


def test_all_errors_of_a_script_are_reported_at_once(tmp_path):
    script = tmp_path / "x.drill"
    script.write_text(
        "members many\nexplode n1\nexpect settled\nkill nobody\nloss 30 n1\nwait 5\n" "members 3\n"
    )
    with pytest.raises(BadScriptError) as error:
        read(str(script))
    lines = [line.split(":")[1] for line in str(error.value).splitlines()]
    assert lines == ["1", "2", "3", "4", "5", "6", "7"]


def test_the_crash_scenario_of_the_readme_succeeds():
    assert play(read(str(ROOT / "drills/crash.drill")), quiet=True)


def test_members_with_a_wrong_or_jumping_clock_stay_in_the_fleet(make_process_fleet):
    fleet = make_process_fleet(4)
    fleet.set_clock("n1", -24 * 3600.0)
    fleet.set_clock("n2", 0.0)
    fleet.start(*fleet.processes)
    fleet.wait(fleet.settled, 15, "settled")
    incarnations = {row["name"]: row["life"] for row in fleet.show("n0")["members"]}
    assert (
        23 * 3_600_000 < incarnations["n3"] - incarnations["n1"] < 25 * 3_600_000
    )  # ms: the clock of n1 is a day behind
    fleet.set_clock("n2", 3600.0)
    previous_digest = fleet.show("n0")["digest"]
    fleet.kill("n1")
    fleet.wait(lambda: set(fleet.healths("n1").values()) == {"dead"}, 15, "n1 declared dead")
    fleet.set_clock("n1", -48 * 3600.0)
    fleet.start("n1")
    fleet.wait(fleet.settled, 15, "settled with the clock of n1 two days behind")
    assert fleet.show("n0")["digest"] != previous_digest
    assert all(fleet.show(name)["present"] == 4 for name in fleet.running_names())


def test_script_commands_that_need_users_or_routers_are_rejected_without_them(tmp_path):
    path = tmp_path / "a.drill"
    path.write_text(
        "members 4\nstart all\nexpect service 95% within 2s\nunplug n1\nslow n1 3\nclock 1x n1\n"
    )
    with pytest.raises(BadScriptError) as raised:
        read(str(path))
    message = str(raised.value)
    assert "a.drill:3: service: expected a script with users" in message
    assert "a.drill:4: unplug: expected a script with users, or announce yes" in message
    assert "a.drill:5: slow: expected a script with users" in message
    assert "a.drill:6: 1x: expected" in message
