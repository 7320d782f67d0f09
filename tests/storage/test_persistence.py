"""Learned state, flap damping and device sessions after a real app server is killed."""

import time

from lilacwalk.edge.duplicate_detector import COMPLETED, DENIED, TERMINATED
from lilacwalk.protocols.admin_socket import query
from lilacwalk.storage.state import Table
from tests.storage.conftest import WAIT_TIMEOUT_SECONDS, listen_for_devices, persisted_row


def test_learned_state_is_restored_after_a_kill(make_soak):
    soak = make_soak()
    soak.start()
    for index in range(30):
        soak.send_and_wait("look", f"a{index}")
    soak.process_fleet.wait(
        lambda: query(str(soak.socket), "show")["rows"] >= 1,
        WAIT_TIMEOUT_SECONDS,
        "learned state is persisted",
    )
    soak.kill()
    soak.start()
    assert "event=learned_state_restored" in soak.process_fleet.log("n0")


def test_prefix_of_a_node_that_crashes_repeatedly_while_announced_is_damped(make_soak):
    soak = make_soak()
    announce = soak.process_fleet.add_router("n0", "192.0.2.1/32")
    soak.server.extra_statements += announce.replace(
        "announce {\n",
        "announce {\n    damping {\n        half-life 60s\n" "        longest 300s\n    }\n",
    )
    for _ in range(5):
        soak.start()
        soak.process_fleet.wait(
            lambda: soak.server.router.routes or persisted_row(soak, Table.DAMPING)[1],
            WAIT_TIMEOUT_SECONDS,
            "the prefix is announced or damped",
        )
        if persisted_row(soak, Table.DAMPING)[1]:
            break
        soak.process_fleet.wait(
            lambda: persisted_row(soak, Table.DAMPING)[2],
            WAIT_TIMEOUT_SECONDS,
            "the announcement is persisted",
        )
        soak.kill()
    assert 3 <= soak.server.start_count - 1 <= 4
    assert not soak.server.router.routes


def test_drain_does_not_count_as_a_flap(make_soak):
    soak = make_soak()
    soak.server.extra_statements += soak.process_fleet.add_router("n0", "192.0.2.1/32")
    for _ in range(5):
        soak.start()
        soak.process_fleet.wait(
            lambda: soak.server.router.routes, WAIT_TIMEOUT_SECONDS, "the prefix is announced"
        )
        assert soak.process_fleet.leave("n0") == [0]
    assert "damped" not in soak.process_fleet.log("n0")


def test_device_session_resumes_after_a_kill_and_no_request_runs_or_is_answered_twice(make_soak):
    soak = make_soak(run_time=0.2)
    connect_device = listen_for_devices(soak)
    soak.start()
    device = connect_device()
    try:
        first = device.ask("swap", b"one", 4_000, key="k1")
        assert device.outcome(first, WAIT_TIMEOUT_SECONDS).word == COMPLETED
        second = device.ask("move", b"two", 4_000)
        soak.process_fleet.wait(
            lambda: soak.effects[b"two"], WAIT_TIMEOUT_SECONDS, "the request is executed"
        )
        soak.kill()
        soak.server.executor.sent_messages.clear()
        soak.start()
        assert device.outcome(second, WAIT_TIMEOUT_SECONDS).word == TERMINATED
        assert soak.effects[b"two"] == 1
        assert device.session.welcome.resumed
        third = device.ask("move", b"three", 4_000)
        assert device.outcome(third, WAIT_TIMEOUT_SECONDS).word == COMPLETED
        assert device.session.duplicate_answers == 0
    finally:
        device.end()


def test_each_device_request_gets_one_answer_over_many_kills_and_no_effect_runs_twice(make_soak):
    soak = make_soak(run_time=0.01, seed=5)
    connect_device = listen_for_devices(soak)
    soak.start()
    devices = [connect_device()]
    try:
        outcomes = {}
        for kill_number in range(5):
            numbers = {
                devices[0].ask("move", b"m%d-%d" % (kill_number, index), 4_000): b"m%d-%d"
                % (kill_number, index)
                for index in range(6)
            }
            kill_at = time.monotonic() + soak.rng.uniform(0.0, 0.05)
            soak.process_fleet.wait(
                lambda until=kill_at: time.monotonic() >= until,
                WAIT_TIMEOUT_SECONDS,
                "the random time of the kill",
            )
            soak.kill()
            soak.start()
            for number, body in numbers.items():
                outcomes[body] = devices[0].outcome(number, WAIT_TIMEOUT_SECONDS).word
        assert len(outcomes) == 30
        assert max(soak.effects.values()) == 1
        assert all(
            soak.effects[body] == 1 for body, outcome in outcomes.items() if outcome == COMPLETED
        )
        assert not any(
            soak.effects[body] for body, outcome in outcomes.items() if outcome == DENIED
        )
    finally:
        devices[0].end()
