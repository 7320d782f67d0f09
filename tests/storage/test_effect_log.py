"""Requests with an effect when a real app server is killed; the executor counts the effects."""

from lilacwalk.protocols.admin_socket import query
from tests.storage.conftest import SOON


def test_request_killed_after_its_answer_is_answered_from_the_persisted_result(make_soak):
    soak = make_soak()
    soak.start()
    assert soak.ask("swap", "a") == ("done", b"did a")
    soak.rig.wait(
        lambda: query(str(soak.socket), "show")["written"] >= 4, SOON, "the result is put down"
    )
    soak.kill()
    soak.start()
    assert soak.ask("swap", "a") == ("done", b"did a")
    assert soak.effects[b"a"] == 1


def test_request_killed_during_execution_fails_when_retried(make_soak):
    """The server has no result, but the request may have had its effect: it must not run again."""
    soak = make_soak(work=0.5)
    soak.start()
    soak.put("swap", "a")
    soak.rig.wait(lambda: soak.effects[b"a"], SOON, "it runs")
    soak.kill()
    soak.server.executor.notices.clear()  # a restarted executor has no state
    soak.start()
    word, _ = soak.ask("swap", "a")
    assert word not in ("done", "later")
    assert soak.effects[b"a"] == 1


def test_duplicate_of_a_non_idempotent_request_is_not_executed_twice(make_soak):
    soak = make_soak(work=0.3)
    soak.start()
    soak.put("move", "m", i="00000000000000aa")
    soak.rig.wait(lambda: soak.effects[b"m"], SOON, "it runs")
    soak.kill()
    soak.server.executor.notices.clear()
    soak.start()
    assert soak.ask("move", "m", i="00000000000000aa")[0] not in ("done", "later")
    assert soak.effects[b"m"] == 1
    assert soak.ask("move", "other")[0] == "done"


def test_no_effect_runs_twice_over_random_kills_and_every_key_gets_an_outcome(make_soak):
    soak = make_soak(seed=3, durability="flushed")
    left, settled = [], {}
    for life in range(8):
        soak.start()
        found = soak.run_until_kill([f"{life}-{at}" for at in range(60)], left)
        left = found.get("", []) + [key for key in found.get("later", [])]
        settled |= {
            key: word
            for word, keys in found.items()
            if word not in ("", "later", "unsent")
            for key in keys
        }
    soak.start()
    for key in left:
        settled[key] = soak.ask("swap", key)[0]
    assert len(settled) > 100
    assert all(settled.values())
    assert max(soak.effects.values()) == 1
    assert all(soak.effects[key.encode()] == 1 for key, word in settled.items() if word == "done")


def test_full_disk_rejects_only_requests_with_an_effect_until_space_is_free(
    make_soak,
):
    soak = make_soak()
    soak.start()
    soak.rig.fill("n0")
    soak.ask("swap", "a")
    soak.rig.wait(lambda: query(str(soak.socket), "show")["state"] == "full", SOON, "told")
    assert soak.ask("swap", "b")[0] == "later"
    assert soak.ask("look", "c")[0] == "done"
    assert not soak.effects[b"b"]
    soak.rig.fill("n0", False)
    soak.rig.wait(lambda: query(str(soak.socket), "show")["state"] == "kept", SOON, "room again")
    assert soak.ask("swap", "b") == ("done", b"did b")
    assert soak.rig.log("n0").count("state=full") == 1


def test_effects_run_unpersisted_on_a_full_disk_where_the_operator_allows_it(make_soak):
    soak = make_soak(unkept="marked")
    soak.start()
    soak.rig.fill("n0")
    words = [soak.ask("swap", f"a{at}")[0] for at in range(5)]
    assert words == ["done"] * 5
    assert "event=effects_unpersisted" in soak.rig.log("n0")
    assert query(str(soak.socket), "show")["unkept"] >= 4


def test_clock_set_back_between_processes_is_logged_and_no_effect_runs_twice(make_soak):
    """Rows from the future count as invalid, so the server might take the duplicate for new."""
    soak = make_soak()
    soak.start()
    assert soak.ask("swap", "a")[0] == "done"
    soak.kill()
    soak.rig.set_clock("n0", -3600.0)
    soak.start()
    assert "state=clock-set-back" in soak.rig.log("n0")
    assert soak.ask("swap", "a", s=0)[0] != "later"
    assert soak.effects[b"a"] == 1
