"""Requests with an effect when a real app server is killed or its disk is full.

The executor counts the effects.
"""

from lilacwalk.protocols.admin_socket import query
from tests.storage.conftest import WAIT_TIMEOUT_SECONDS


def test_request_answered_before_a_kill_is_answered_from_the_persisted_result(make_soak):
    soak = make_soak()
    soak.start()
    assert soak.send_and_wait("swap", "a") == ("done", b"did a")
    soak.process_fleet.wait(
        lambda: query(str(soak.socket), "show")["written"] >= 4,
        WAIT_TIMEOUT_SECONDS,
        "the result is persisted",
    )
    soak.kill()
    soak.start()
    assert soak.send_and_wait("swap", "a") == ("done", b"did a")
    assert soak.effects[b"a"] == 1


def test_request_in_execution_at_a_kill_fails_when_retried_and_is_not_executed_again(make_soak):
    """No result is stored at the kill, but the request may already have had its effect."""
    soak = make_soak(run_time=0.5)
    soak.start()
    soak.send_request("swap", "a")
    soak.process_fleet.wait(
        lambda: soak.effects[b"a"], WAIT_TIMEOUT_SECONDS, "the request is executed"
    )
    soak.kill()
    soak.server.executor.sent_messages.clear()  # a restarted executor has no state
    soak.start()
    outcome, _ = soak.send_and_wait("swap", "a")
    assert outcome not in ("done", "later")
    assert soak.effects[b"a"] == 1


def test_non_idempotent_request_in_execution_at_a_kill_is_not_executed_again_for_a_duplicate(
    make_soak,
):
    soak = make_soak(run_time=0.3)
    soak.start()
    soak.send_request("move", "m", i="00000000000000aa")
    soak.process_fleet.wait(
        lambda: soak.effects[b"m"], WAIT_TIMEOUT_SECONDS, "the request is executed"
    )
    soak.kill()
    soak.server.executor.sent_messages.clear()
    soak.start()
    assert soak.send_and_wait("move", "m", i="00000000000000aa")[0] not in ("done", "later")
    assert soak.effects[b"m"] == 1
    assert soak.send_and_wait("move", "other")[0] == "done"


def test_no_effect_runs_twice_over_random_kills_and_every_key_gets_an_outcome(make_soak):
    soak = make_soak(seed=3, durability="flushed")
    pending, outcomes = [], {}
    for start_number in range(8):
        soak.start()
        keys_by_outcome = soak.run_until_kill(
            [f"{start_number}-{index}" for index in range(60)], pending
        )
        pending = keys_by_outcome.get("", []) + [key for key in keys_by_outcome.get("later", [])]
        outcomes |= {
            key: outcome
            for outcome, keys in keys_by_outcome.items()
            if outcome not in ("", "later", "unsent")
            for key in keys
        }
    soak.start()
    for key in pending:
        outcomes[key] = soak.send_and_wait("swap", key)[0]
    assert len(outcomes) > 100
    assert all(outcomes.values())
    assert max(soak.effects.values()) == 1
    assert all(
        soak.effects[key.encode()] == 1 for key, outcome in outcomes.items() if outcome == "done"
    )


def test_full_disk_rejects_only_requests_with_an_effect_until_space_is_free(
    make_soak,
):
    soak = make_soak()
    soak.start()
    soak.process_fleet.set_disk_full("n0")
    soak.send_and_wait("swap", "a")
    soak.process_fleet.wait(
        lambda: query(str(soak.socket), "show")["state"] == "full",
        WAIT_TIMEOUT_SECONDS,
        "the store reports a full disk",
    )
    assert soak.send_and_wait("swap", "b")[0] == "later"
    assert soak.send_and_wait("look", "c")[0] == "done"
    assert not soak.effects[b"b"]
    soak.process_fleet.set_disk_full("n0", False)
    soak.process_fleet.wait(
        lambda: query(str(soak.socket), "show")["state"] == "kept",
        WAIT_TIMEOUT_SECONDS,
        "the store persists writes again",
    )
    assert soak.send_and_wait("swap", "b") == ("done", b"did b")
    assert soak.process_fleet.log("n0").count("state=full") == 1


def test_effects_run_unpersisted_on_a_full_disk_where_the_operator_allows_it(make_soak):
    soak = make_soak(unkept="marked")
    soak.start()
    soak.process_fleet.set_disk_full("n0")
    outcomes = [soak.send_and_wait("swap", f"a{index}")[0] for index in range(5)]
    assert outcomes == ["done"] * 5
    assert "event=effects_unpersisted" in soak.process_fleet.log("n0")
    assert query(str(soak.socket), "show")["unkept"] >= 4


def test_clock_set_back_before_a_restart_is_logged_and_no_effect_runs_twice(make_soak):
    """Rows written in the future are invalid: without the result, a duplicate looks new."""
    soak = make_soak()
    soak.start()
    assert soak.send_and_wait("swap", "a")[0] == "done"
    soak.kill()
    soak.process_fleet.set_clock("n0", -3600.0)
    soak.start()
    assert "state=clock-set-back" in soak.process_fleet.log("n0")
    assert soak.send_and_wait("swap", "a", s=0)[0] != "later"
    assert soak.effects[b"a"] == 1
