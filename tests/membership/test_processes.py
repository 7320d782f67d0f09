"""Real processes behind a datagram switch, and faults between them."""

import os
import signal
import socket

import pytest

from lilacwalk.membership.messages import seal, unseal
from lilacwalk.testing.scenario import BadScriptError, play, read
from tests.conftest import ROOT
from tests.membership.conftest import datagram, gossip_update, names

SOON = 15.0  # seconds: a failure, never a wait


def test_a_third_killed_at_once_is_declared_dead_by_all_and_rejoins(running):
    rig = running(12, sites=("recife", "natal", "caruaru"), seeds=2)
    gone = ["n1", "n4", "n7", "n10"]
    rig.kill(*gone)
    rig.wait(lambda: rig.settled(), SOON, "those left hold equal and true views")
    assert {rig.healths(name)["n0"] for name in gone} == {"dead"}
    shown = rig.show("n0")
    assert shown["conclusion"] == "whole"
    assert shown["lost"] == 4
    rig.start(*gone)
    rig.wait(rig.settled, SOON, "settled with those that are back")


def test_a_leave_is_announced_before_the_end_and_is_no_crash(running):
    rig = running(6)
    assert rig.leave("n4") == [0]
    rig.wait(lambda: set(rig.healths("n4").values()) == {"left"}, SOON, "all know that it left")
    assert all(rig.show(name)["counts"].get("dead", 0) == 0 for name in rig.up())


def test_a_state_is_gossiped_to_all_and_draining_members_are_counted(running):
    rig = running(5)
    rig.tell("n1", "leaving")
    rig.tell("n2", "leaving")
    rig.wait(
        lambda: all(rig.show(name)["leaving"] == 2 for name in rig.up()),
        SOON,
        "leaving are counted",
    )


def test_a_process_stopped_for_longer_than_a_suspicion_refutes_and_declares_nobody_dead(running):
    rig = running(6)
    rig.stop("n2")
    rig.wait(lambda: set(rig.healths("n2").values()) == {"dead"}, SOON, "given up")
    rig.resume("n2")
    rig.wait(rig.settled, SOON, "back")
    assert rig.show("n2")["counts"].get("dead", 0) == 0


def test_both_sides_of_a_partition_know_which_they_are_and_find_each_other(running):
    rig = running(9, sites=("recife", "natal", "caruaru"))
    recife, others = names(9)[:3], names(9)[3:]
    rig.cut(recife, others)
    rig.wait(
        lambda: all(rig.show(name)["conclusion"] == "minority" for name in recife), SOON, "minority"
    )
    rig.wait(lambda: all(rig.show(name)["conclusion"] == "whole" for name in others), SOON, "whole")
    assert all(row["cut"] for row in rig.show("n8")["members"] if row["site"] == "recife")
    rig.heal()
    rig.wait(rig.settled, SOON, "one fleet again")


def test_two_processes_under_one_name_are_reported_and_one_yields(make_rig):
    rig = make_rig(4)
    rig.add("twin", seeds=["n0"], configured_name="n2")
    rig.start(*names(4))
    rig.wait(rig.settled, SOON, "settled")
    rig.start("twin")
    rig.wait(lambda: "change=yielded" in rig.log("twin"), SOON, "the later one yields")
    assert rig.show("twin")["reason"] == "another process holds this name"
    rig.wait(lambda: rig.settled(names(4)), SOON, "the others settle on the first")


def test_a_full_disk_takes_nothing_from_the_view_and_is_logged_once(running):
    rig = running(4)
    rig.wait(lambda: rig.show("n2")["store"] == "kept", SOON, "kept")
    life = rig.show("n2")["life"]
    rig.kill("n2")
    rig.fill("n2")
    rig.start("n2")
    rig.wait(rig.settled, SOON, "settled on a full disk")
    rig.wait(lambda: rig.show("n2")["store"] == "not-kept", SOON, "named")
    assert rig.show("n2")["life"] > life
    rig.fill("n2", False)
    rig.wait(lambda: rig.show("n2")["store"] == "kept", SOON, "tried again")
    assert rig.log("n2").count("state=not-kept") == 1


def test_a_store_that_cannot_be_opened_takes_nothing_from_the_view(make_rig):
    rig = make_rig(3)
    (rig.processes["n1"].directory / "store").write_text("a file where a directory should be")
    rig.start(*names(3))
    rig.wait(rig.settled, SOON, "settled")
    rig.wait(lambda: rig.show("n1")["store"] == "not-kept", SOON, "named")


def test_with_every_seed_down_the_stored_members_are_found(running):
    rig = running(4)
    rig.wait(
        lambda: "members" in (rig.show("n2") or {}) and rig.show("n2")["store"] == "kept",
        SOON,
        "kept",
    )
    rig.wait(lambda: has_kept_members(rig, "n2"), 20, "whom it knows is on the disk")
    rig.kill("n0", "n2")
    rig.start("n2")
    rig.wait(lambda: rig.settled(["n1", "n2", "n3"]), SOON, "found without the seed")


def has_kept_members(rig, name):
    store = rig.processes[name].directory / "store"
    return any(b"members" in each.read_bytes() for each in store.iterdir())


def test_a_key_is_replaced_in_operation_without_a_lost_member(running):
    rig = running(4)
    old, new = rig.key.read_text().strip(), "ab" * 32
    for keys in ((old, new), (new, old), (new,)):
        rig.write_keys(*keys)
        for name in names(4):  # one after the other: in between, both keys are in use
            rig.processes[name].popen.send_signal(signal.SIGHUP)
            line = f"event=fleet_reloaded seeds={0 if name == 'n0' else 1} keys={len(keys)}"
            count = rig.log(name).count(line)
            rig.wait(
                lambda name=name, line=line, count=count: rig.log(name).count(line) > count
                or count,
                SOON,
                "reloaded",
            )
    rig.wait(rig.settled, SOON, "settled with the new key")
    assert all(rig.show(name)["counts"].get("dead", 0) == 0 for name in names(4))


def test_foreign_datagrams_are_counted_and_change_nothing(running):
    rig = running(3)
    key = bytes.fromhex(rig.key.read_text().strip())
    good = seal(datagram(sender="stranger", updates=(gossip_update("ghost", metadata=False),)), key)
    assert unseal(good, (key,))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        wrong = [
            b"",
            bytes(65_507),
            seal(datagram(), bytes(32)),
            *(good[:at] for at in range(len(good))),
        ]
        for data in wrong:
            sock.sendto(data, rig.processes["n1"].listen_address)
        rig.wait(
            lambda: "why=long" in rig.log("n1") and "why=seal" in rig.log("n1"),
            SOON,
            "logged",
        )
    assert rig.settled()
    assert "ghost" not in str(rig.show("n1"))


def test_a_key_file_that_others_may_read_ends_the_start_with_2(make_rig):
    rig = make_rig(1)
    os.chmod(rig.key, 0o644)
    rig.start("n0", wait=False)
    assert rig.processes["n0"].popen.wait(SOON) == 2
    rig.wait(lambda: "expected mode 0600" in rig.log("n0"), SOON, "says why")


def test_lost_duplicated_delayed_and_reordered_datagrams_lose_no_member(running):
    rig = running(8)
    for name in names(8):
        rig.impair(name, loss=0.05, double=0.1, delay=0.002, jitter=0.02)
    rig.kill("n3")
    rig.wait(lambda: set(rig.healths("n3").values()) == {"dead"}, SOON, "known to all")
    assert all(
        healths == "alive"
        for name in names(8)
        if name != "n3"
        for healths in rig.healths(name).values()
    )
    rig.heal()
    rig.wait(rig.settled, SOON, "settled")


# Scenarios


def test_a_scenario_names_the_line_that_did_not_hold(tmp_path, capsys):
    script = tmp_path / "x.drill"
    script.write_text(
        "members 3\nprobe-interval 100ms\nstart all\nexpect settled within 10s\n"
        "expect health dead n1 within 300ms\nexpect health alive n1 within 1s\n"
    )
    assert not play(read(str(script)), quiet=True)
    out = capsys.readouterr().out
    assert f"{script}:5: not held: expect health dead n1 within 300ms" in out
    assert "2 of 3" in out


def test_all_errors_of_a_script_are_reported_at_once(tmp_path):
    script = tmp_path / "x.drill"
    script.write_text(
        "members many\nexplode n1\nexpect settled\nkill nobody\nloss 30 n1\nwait 5\n" "members 3\n"
    )
    with pytest.raises(BadScriptError) as error:
        read(str(script))
    lines = [line.split(":")[1] for line in str(error.value).splitlines()]
    assert lines == ["1", "2", "3", "4", "5", "6", "7"]


def test_the_scenario_of_the_readme_holds():
    assert play(read(str(ROOT / "drills/crash.drill")), quiet=True)


def test_a_member_with_a_wrong_or_jumping_clock_stays_and_declares_nobody_dead(make_rig):
    rig = make_rig(4)
    rig.set_clock("n1", -24 * 3600.0)
    rig.set_clock("n2", 0.0)
    rig.start(*rig.processes)
    rig.wait(rig.settled, 15, "settled")
    lives = {row["name"]: row["life"] for row in rig.show("n0")["members"]}
    assert (
        23 * 3_600_000 < lives["n3"] - lives["n1"] < 25 * 3_600_000
    )  # milliseconds: it is off indeed
    rig.set_clock("n2", 3600.0)
    seen = rig.show("n0")["digest"]
    rig.kill("n1")
    rig.wait(lambda: set(rig.healths("n1").values()) == {"dead"}, 15, "n1 known as lost")
    rig.set_clock("n1", -48 * 3600.0)
    rig.start("n1")
    rig.wait(rig.settled, 15, "settled with an older clock")
    assert rig.show("n0")["digest"] != seen
    assert all(rig.show(name)["present"] == 4 for name in rig.up())


def test_script_commands_that_need_users_or_routers_are_refused_without_them(tmp_path):
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
