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
    rig = running_fleet(12, sites=("recife", "natal", "caruaru"), seeds=2)
    killed = ["n1", "n4", "n7", "n10"]
    rig.kill(*killed)
    rig.wait(lambda: rig.settled(), TIMEOUT_SECONDS, "the others hold equal and correct views")
    assert {rig.healths(name)["n0"] for name in killed} == {"dead"}
    report = rig.show("n0")
    assert report["conclusion"] == "whole"
    assert report["lost"] == 4
    rig.start(*killed)
    rig.wait(rig.settled, TIMEOUT_SECONDS, "settled with the restarted members")


def test_a_member_that_leaves_is_recorded_as_left_and_not_as_dead(running_fleet):
    rig = running_fleet(6)
    assert rig.leave("n4") == [0]
    rig.wait(
        lambda: set(rig.healths("n4").values()) == {"left"},
        TIMEOUT_SECONDS,
        "recorded as left by all",
    )
    assert all(rig.show(name)["counts"].get("dead", 0) == 0 for name in rig.running_names())


def test_a_state_is_gossiped_to_all_and_draining_members_are_counted(running_fleet):
    rig = running_fleet(5)
    rig.send_state("n1", "leaving")
    rig.send_state("n2", "leaving")
    rig.wait(
        lambda: all(rig.show(name)["leaving"] == 2 for name in rig.running_names()),
        TIMEOUT_SECONDS,
        "draining members are counted",
    )


def test_a_process_stopped_for_longer_than_a_suspicion_refutes_and_declares_none_dead(
    running_fleet,
):
    rig = running_fleet(6)
    rig.stop("n2")
    rig.wait(
        lambda: set(rig.healths("n2").values()) == {"dead"}, TIMEOUT_SECONDS, "n2 declared dead"
    )
    rig.resume("n2")
    rig.wait(rig.settled, TIMEOUT_SECONDS, "settled with n2")
    assert rig.show("n2")["counts"].get("dead", 0) == 0


def test_both_sides_of_a_partition_identify_their_side_and_rejoin(running_fleet):
    rig = running_fleet(9, sites=("recife", "natal", "caruaru"))
    recife, others = member_names(9)[:3], member_names(9)[3:]
    rig.cut(recife, others)
    rig.wait(
        lambda: all(rig.show(name)["conclusion"] == "minority" for name in recife),
        TIMEOUT_SECONDS,
        "minority",
    )
    rig.wait(
        lambda: all(rig.show(name)["conclusion"] == "whole" for name in others),
        TIMEOUT_SECONDS,
        "whole",
    )
    assert all(row["cut"] for row in rig.show("n8")["members"] if row["site"] == "recife")
    rig.heal()
    rig.wait(rig.settled, TIMEOUT_SECONDS, "settled as one fleet")


def test_two_processes_under_one_name_are_reported_and_one_yields(make_rig):
    rig = make_rig(4)
    rig.add("twin", seeds=["n0"], configured_name="n2")
    rig.start(*member_names(4))
    rig.wait(rig.settled, TIMEOUT_SECONDS, "settled")
    rig.start("twin")
    rig.wait(lambda: "change=yielded" in rig.log("twin"), TIMEOUT_SECONDS, "the later one yields")
    assert rig.show("twin")["reason"] == "another process holds this name"
    rig.wait(
        lambda: rig.settled(member_names(4)), TIMEOUT_SECONDS, "the others settled on the first one"
    )


def test_a_full_disk_does_not_affect_the_view_and_is_logged_once(running_fleet):
    rig = running_fleet(4)
    rig.wait(lambda: rig.show("n2")["store"] == "kept", TIMEOUT_SECONDS, "members stored")
    incarnation = rig.show("n2")["life"]
    rig.kill("n2")
    rig.set_disk_full("n2")
    rig.start("n2")
    rig.wait(rig.settled, TIMEOUT_SECONDS, "settled with a full disk")
    rig.wait(lambda: rig.show("n2")["store"] == "not-kept", TIMEOUT_SECONDS, "failure reported")
    assert rig.show("n2")["life"] > incarnation
    rig.set_disk_full("n2", False)
    rig.wait(lambda: rig.show("n2")["store"] == "kept", TIMEOUT_SECONDS, "stored at a retry")
    assert rig.log("n2").count("state=not-kept") == 1


def test_a_store_that_cannot_be_opened_does_not_affect_the_view(make_rig):
    rig = make_rig(3)
    (rig.processes["n1"].directory / "store").write_text("a file instead of a directory")
    rig.start(*member_names(3))
    rig.wait(rig.settled, TIMEOUT_SECONDS, "settled")
    rig.wait(lambda: rig.show("n1")["store"] == "not-kept", TIMEOUT_SECONDS, "failure reported")


def test_with_every_seed_down_a_restarted_member_finds_the_stored_members(running_fleet):
    rig = running_fleet(4)
    rig.wait(
        lambda: "members" in (rig.show("n2") or {}) and rig.show("n2")["store"] == "kept",
        TIMEOUT_SECONDS,
        "kept",
    )
    rig.wait(lambda: has_stored_members(rig, "n2"), 20, "the members that it knows are on disk")
    rig.kill("n0", "n2")
    rig.start("n2")
    rig.wait(lambda: rig.settled(["n1", "n2", "n3"]), TIMEOUT_SECONDS, "settled without the seed")


def has_stored_members(rig, name):
    store = rig.processes[name].directory / "store"
    return any(b"members" in file.read_bytes() for file in store.iterdir())


def test_a_key_is_replaced_at_run_time_without_a_lost_member(running_fleet):
    rig = running_fleet(4)
    old_key, new_key = rig.key_path.read_text().strip(), "ab" * 32
    for keys in ((old_key, new_key), (new_key, old_key), (new_key,)):
        rig.write_keys(*keys)
        for name in member_names(4):  # one at a time: meanwhile both keys are in use
            rig.processes[name].popen.send_signal(signal.SIGHUP)
            line = f"event=fleet_reloaded seeds={0 if name == 'n0' else 1} keys={len(keys)}"
            count = rig.log(name).count(line)
            rig.wait(
                lambda name=name, line=line, count=count: rig.log(name).count(line) > count
                or count,
                TIMEOUT_SECONDS,
                "reloaded",
            )
    rig.wait(rig.settled, TIMEOUT_SECONDS, "settled with the new key")
    assert all(rig.show(name)["counts"].get("dead", 0) == 0 for name in member_names(4))


def test_invalid_datagrams_are_logged_and_change_nothing(running_fleet):
    rig = running_fleet(3)
    key = bytes.fromhex(rig.key_path.read_text().strip())
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
            sock.sendto(data, rig.processes["n1"].listen_address)
        rig.wait(
            lambda: "why=long" in rig.log("n1") and "why=seal" in rig.log("n1"),
            TIMEOUT_SECONDS,
            "logged",
        )
    assert rig.settled()
    assert "ghost" not in str(rig.show("n1"))


def test_a_key_file_readable_by_other_users_fails_the_start_with_exit_code_2(make_rig):
    rig = make_rig(1)
    os.chmod(rig.key_path, 0o644)
    rig.start("n0", wait=False)
    assert rig.processes["n0"].popen.wait(TIMEOUT_SECONDS) == 2
    rig.wait(lambda: "expected mode 0600" in rig.log("n0"), TIMEOUT_SECONDS, "the reason is logged")


def test_lost_duplicated_delayed_and_reordered_datagrams_cause_no_false_death(running_fleet):
    """A lost answer may raise a suspicion, which the suspected member has to refute in time."""
    rig = running_fleet(8)
    survivors = [name for name in member_names(8) if name != "n3"]
    for name in member_names(8):
        rig.impair(name, loss=0.05, duplication=0.1, delay=0.002, jitter=0.02)
    rig.kill("n3")
    rig.wait(
        lambda: set(rig.healths("n3").values()) == {"dead"}, TIMEOUT_SECONDS, "declared dead by all"
    )
    for name in survivors:
        assert set(rig.healths(name).values()) <= {"alive", "suspect"}
    rig.heal()
    rig.wait(rig.settled, TIMEOUT_SECONDS, "settled")
    for name in survivors:
        rig.wait(
            lambda name=name: set(rig.healths(name).values()) == {"alive"},
            TIMEOUT_SECONDS,
            "suspicions refuted",
        )
    declared_dead = {
        line.split("member=")[1].split()[0]
        for name in survivors
        for line in rig.log(name).splitlines()
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


def test_members_with_a_wrong_or_jumping_clock_stay_in_the_fleet(make_rig):
    rig = make_rig(4)
    rig.set_clock("n1", -24 * 3600.0)
    rig.set_clock("n2", 0.0)
    rig.start(*rig.processes)
    rig.wait(rig.settled, 15, "settled")
    incarnations = {row["name"]: row["life"] for row in rig.show("n0")["members"]}
    assert (
        23 * 3_600_000 < incarnations["n3"] - incarnations["n1"] < 25 * 3_600_000
    )  # ms: the clock of n1 is a day behind
    rig.set_clock("n2", 3600.0)
    previous_digest = rig.show("n0")["digest"]
    rig.kill("n1")
    rig.wait(lambda: set(rig.healths("n1").values()) == {"dead"}, 15, "n1 declared dead")
    rig.set_clock("n1", -48 * 3600.0)
    rig.start("n1")
    rig.wait(rig.settled, 15, "settled with the clock of n1 two days behind")
    assert rig.show("n0")["digest"] != previous_digest
    assert all(rig.show(name)["present"] == 4 for name in rig.running_names())


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
