"""The edge without I/O: sessions, duplicates, links, rates, tokens, connection limits, frames,
timer wheel and sketch.

Outcome words: 0 completed, 1 denied, 2 terminated. Requests of the class `look` are idempotent,
those of `swap` are deduplicated by an idempotency key, and those of `move` are not idempotent.
"""

import heapq
import random
import struct

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lilacwalk.edge import frames
from lilacwalk.edge.client.state import ClientSession
from lilacwalk.edge.connection_limiter import ConnectionLimiter
from lilacwalk.edge.frames import (
    Answer,
    Ask,
    Bye,
    Cancel,
    FrameError,
    Got,
    Hello,
    Leaving,
    Ping,
    Pong,
    Stream,
)
from lilacwalk.edge.link import Link
from lilacwalk.edge.rates import FrameProgress
from lilacwalk.edge.sketch import Sketch
from lilacwalk.edge.timer_wheel import Wheel
from lilacwalk.edge.tokens import DEVICE, SESSION, TokenError, Tokens
from tests.edge.conftest import SECOND, START, ServiceHarness, ask


def test_a_timeout_counts_from_the_first_reception_and_is_reduced_by_the_delivery_time(harness):
    number = harness.hello()
    harness.send(number, ask(1, wait=1_000))
    without_estimates = ServiceHarness(estimates=False)
    without_estimates.send(without_estimates.hello(), ask(1, wait=1_000))
    assert without_estimates.submitted[0][2].timeout == SECOND
    assert (
        0 < harness.submitted[0][2].timeout < SECOND and harness.submitted[0][2].arrived_at == START
    )
    harness.disconnect(number)
    harness.wait(5 * SECOND)
    harness.hello(harness.welcome(number).session)
    harness.send(2, ask(1, wait=1_000, again=True))
    assert len(harness.submitted) == 1  # so a stall and a reconnect do not extend the timeout


def test_a_slow_link_shortens_the_timeout_more_than_a_fast_one(harness):
    number = harness.hello()
    timeouts = []
    for request_number, round_trip in enumerate((400, 20_000), 1):
        session = harness.service.connections[number].session
        for _ in range(30):
            session.link.record_round_trip(round_trip)
        harness.send(number, ask(request_number, wait=4_000, group="move"))
        timeouts.append(harness.submitted[-1][2].timeout)
    assert timeouts[0] > 4 * SECOND - 2_000 and timeouts[1] < 4 * SECOND - 9_000


def test_silence_between_requests_does_not_count_as_round_trip(harness):
    number = harness.hello()
    pings = [each for each in harness.received[number] if isinstance(each, Ping)]
    harness.now += 500
    harness.send(number, Pong(pings[0].stamp))
    harness.wait(20 * SECOND).send(number, ask(1, wait=1_000))
    assert harness.submitted[0][2].timeout > SECOND - 1_000
    harness.send(number, Pong(5), Pong(START + 10**12))  # replies to pings that were never sent
    assert harness.service.connections[number].session.link.mean_round_trip == 500


def test_three_stalled_pings_hardly_change_the_delivery_time():
    link = Link()
    for _ in range(20):
        link.record_round_trip(1_000)
    for _ in range(3):
        link.record_round_trip(50_000)
    assert link.delivery_time(500) < 3_000


def test_an_answer_is_kept_and_sent_again_unchanged_until_acknowledged(harness):
    first = harness.hello()
    harness.send(first, ask(1, "move")).answer(body=b"x")
    harness.disconnect(first)
    second = harness.hello(harness.welcome(first).session)
    assert harness.answers(first) == harness.answers(second) == [Answer(1, 1, 0, b"x")]
    harness.send(second, Got(1)).disconnect(second)
    third = harness.hello(harness.welcome(first).session, got=1)
    assert harness.answers(third) == [] and harness.service.session_table.unacknowledged_bytes == 0


def test_an_answer_received_on_the_previous_connection_is_not_sent_again(harness):
    first = harness.hello()
    harness.send(first, ask(1), ask(2)).answer(0, body=b"a").answer(1, body=b"b")
    harness.disconnect(first)
    second = harness.hello(harness.welcome(first).session, got=1)
    assert [each.number for each in harness.answers(second)] == [2]


@pytest.mark.parametrize("again", [False, True])
def test_a_repeated_request_number_is_one_request_in_any_state(harness, again):
    first = harness.hello()
    harness.send(first, ask(1, "move"), ask(1, "move", again=again))
    assert len(harness.submitted) == 1
    harness.answer()
    harness.send(first, ask(1, "move", again=again))
    harness.send(first, Got(1), ask(1, "move", again=again))
    assert len(harness.submitted) == 1 and len(harness.answers(first)) == 1


def test_a_second_connection_for_a_session_replaces_the_first(harness):
    first = harness.hello()
    harness.send(first, ask(1))
    second = harness.hello(harness.welcome(first).session)
    assert "taken over" in harness.refused(first) and harness.closed == [first]
    harness.disconnect(first)
    harness.answer()
    assert len(harness.answers(second)) == 1 and not harness.answers(first)


def test_two_sessions_of_one_device_are_both_served(harness):
    first, second = harness.hello(), harness.hello()
    harness.send(first, ask(1, body=b"a")).send(second, ask(1, body=b"b")).answer(
        0, body=b"A"
    ).answer(1, body=b"B")
    assert [each.body for each in harness.answers(first) + harness.answers(second)] == [b"A", b"B"]


@pytest.mark.parametrize(
    "invalid", ["guessed", "of another node", "of another device", "expired", "cut"]
)
def test_an_invalid_session_token_opens_a_new_session(harness, invalid):
    first = harness.hello()
    harness.send(first, ask(1, "move"))
    token, name = harness.welcome(first).session, b"tablet"
    if invalid == "guessed":
        token = token[:-1] + bytes((token[-1] ^ 1,))
    elif invalid == "of another node":
        token = Tokens([bytes(range(32))], b"n2").make(
            SESSION, next(iter(harness.service.session_table)).ident, 2**40
        )
    elif invalid == "of another device":
        name = b"phone"
    elif invalid == "expired":
        harness.now += 8 * 24 * 3600 * SECOND
    else:
        token = token[:10]
    second = harness.hello(token, name=name)
    assert harness.welcome(second).resumed is False and harness.service.counts["unknown"] == 1
    assert harness.welcome(second).session != harness.welcome(first).session


@pytest.mark.parametrize(
    "token, reason",
    [
        (b"", "unreadable"),
        (b"x" * 40, "unreadable"),
        (Tokens([b"o" * 32], b"").make(DEVICE, b"t", 2**40), "unknown"),
        (Tokens([bytes(range(32))], b"").make(DEVICE, b"t", 5), "expired"),
        (Tokens([bytes(range(32))], b"n1").make(SESSION, b"t", 2**40), "unknown"),
    ],
)
def test_an_invalid_device_token_is_refused_with_its_reason(harness, token, reason):
    number = harness.hello(token=token)
    assert reason in harness.refused(number) and harness.closed == [number]


def test_a_token_of_the_old_secret_is_accepted_until_that_secret_is_removed():
    old, new = b"o" * 32, b"n" * 32
    token = Tokens([old], b"").make(DEVICE, b"t", 100)
    assert Tokens([new, old], b"").check(DEVICE, token, 50).name == b"t"
    with pytest.raises(TokenError, match="unknown"):
        Tokens([new], b"").check(DEVICE, token, 50)


def test_a_non_idempotent_request_repeated_in_an_unknown_session_is_terminated(harness):
    number = harness.hello(b"\0" * 50)
    harness.send(number, ask(1, "move", again=True), ask(2, "look", again=True), ask(3, "move"))
    assert [(each.number, each.word) for each in harness.answers(number)] == [(1, 2)]
    assert [each for _, each, _ in harness.submitted] == [2, 3]


# Duplicates without an idempotency key


def connect_and_ask(harness, group="move", body=b"pay 5", **more):
    """Opens a session, sends request 1 in it, and returns the number of its connection."""
    first = harness.hello()
    harness.send(first, ask(1, group, body, **more))
    return first


@pytest.mark.parametrize("group", ["look", "swap", "move"])
def test_a_duplicate_in_a_new_session_shares_the_request_in_flight(harness, group):
    first = connect_and_ask(harness, group)
    harness.disconnect(first)
    second = harness.hello()
    harness.send(second, ask(1, group, b"pay 5"))
    assert len(harness.submitted) == 1
    harness.answer(body=b"paid")
    assert harness.answers(second) == [Answer(1, 1, 0, b"paid")]


def test_a_duplicate_in_a_new_session_gets_the_unacknowledged_answer(harness):
    first = connect_and_ask(harness)
    harness.answer(body=b"paid").disconnect(first)
    second = harness.hello()
    harness.send(second, ask(9, "move", b"pay 5"))
    assert harness.answers(second) == [Answer(1, 9, 0, b"paid")] and len(harness.submitted) == 1


def test_a_repeated_request_after_acknowledgement_is_executed(harness):
    first = connect_and_ask(harness)
    harness.answer().send(first, Got(1)).disconnect(first)
    harness.send(harness.hello(), ask(1, "move", b"pay 5"))
    assert len(harness.submitted) == 2


@pytest.mark.parametrize(
    "change",
    [
        dict(group="swap"),
        dict(body=b"pay 6"),
        dict(subject="x"),
        dict(customer="c"),
        dict(key="pay 5 again"),
    ],
)
def test_a_different_class_body_subject_tenant_or_key_is_a_different_request(harness, change):
    harness.disconnect(connect_and_ask(harness))
    harness.send(
        harness.hello(), ask(**({"number": 1, "group": "move", "body": b"pay 5"} | change))
    )
    assert len(harness.submitted) == 2


# Guards against a request that is never executed, since it was taken for another one with a key of
# its own and an equal body (the second review's report).
def test_requests_with_keys_of_their_own_are_not_joined_and_one_with_the_same_key_is(harness):
    for key in ("update-1", "update-2", "update-1"):
        connection = harness.hello()
        harness.send(connection, ask(1, "swap", b"one more room", key=key)).disconnect(connection)
    assert [payload.frame.key for _, _, payload in harness.submitted] == ["update-1", "update-2"]


def test_an_equal_request_from_another_device_in_the_same_session_or_after_a_minute_is_executed(
    harness,
):
    first = connect_and_ask(harness)
    harness.send(first, ask(2, "move", b"pay 5"))
    harness.disconnect(first)
    harness.send(harness.hello(name=b"phone"), ask(1, "move", b"pay 5"))
    assert len(harness.submitted) == 3
    harness.wait(61 * SECOND).send(harness.hello(), ask(1, "move", b"pay 5"))
    assert len(harness.submitted) == 4


def test_stable_request_numbers_alone_identify_duplicates(harness):
    first = harness.hello(steady=True)
    harness.send(first, ask(7, "move", b"pay 5")).disconnect(first)
    second = harness.hello(steady=True)
    harness.send(second, ask(7, "move", b"pay 5", again=True), ask(8, "move", b"pay 5"))
    assert [each for _, each, _ in harness.submitted] == [7, 8]


@pytest.mark.parametrize(
    "word, group, runs", [(1, "move", 2), (2, "move", 1), (2, "look", 2), (0, "look", 1)]
)
def test_a_request_repeated_after_a_denial_runs_and_after_a_termination_only_if_idempotent(
    harness, word, group, runs
):
    first = connect_and_ask(harness, group)
    harness.answer(word=word).disconnect(first)
    harness.send(harness.hello(), ask(1, group, b"pay 5"))
    assert len(harness.submitted) == runs


def test_no_duplicates_are_detected_if_switched_off():
    harness = ServiceHarness(repeats=False)
    harness.disconnect(connect_and_ask(harness))
    harness.send(harness.hello(), ask(1, "move", b"pay 5"))
    assert len(harness.submitted) == 2


# Limits


def test_a_request_beyond_the_window_is_denied_with_a_retry_delay():
    harness = ServiceHarness(window=2)
    number = harness.hello()
    harness.send(number, *[ask(each, body=b"%d" % each) for each in (1, 2, 3)])
    [denied] = harness.answers(number)
    assert (
        (denied.number, denied.word) == (3, 1)
        and denied.come_back > 0
        and len(harness.submitted) == 2
    )


@pytest.mark.parametrize("wrong", [dict(group="nobody"), dict(body=b"x" * 3_000)])
def test_an_invalid_request_is_terminated(harness, wrong):
    number = harness.hello()
    harness.send(number, ask(**({"number": 1} | wrong)))
    assert [each.word for each in harness.answers(number)] == [2] and not harness.submitted


def test_the_window_of_the_device_and_the_buffer_limit_bound_the_answers_sent():
    harness = ServiceHarness(window=64)
    number = harness.hello(window=2)
    harness.send(number, *[ask(each, body=b"%d" % each) for each in range(1, 6)])
    for each in range(5):
        harness.answer(each)
    assert len(harness.answers(number)) == 2
    harness.send(number, Got(1))
    assert len(harness.answers(number)) == 3
    slow_harness = ServiceHarness(window=64, buffer=1_000)
    slow_harness.os_accepts_bytes_at_once = False
    number = slow_harness.hello(window=64)
    slow_harness.send(number, *[ask(each, body=b"%d" % each) for each in range(1, 11)])
    for each in range(10):
        slow_harness.answer(each, body=b"r" * 400)
    assert (
        len(slow_harness.answers(number)) == 3
        and slow_harness.service.connections[number].unsent_bytes < 2_000
    )
    slow_harness.service.bytes_sent(
        number, slow_harness.service.connections[number].unsent_bytes, slow_harness.now
    )
    assert len(slow_harness.collect().answers(number)) == 6


def test_the_session_that_costs_least_to_lose_is_evicted_and_connected_ones_stay():
    harness = ServiceHarness(sessions=3)
    for index, group in enumerate(("move", "look", "swap")):
        number = harness.hello(name=b"d%d" % index)
        harness.send(number, ask(1, group)).answer()
        harness.disconnect(number)
        harness.wait(SECOND)
    harness.hello(name=b"d3")
    harness.hello(name=b"d4")
    assert {each.device for each in harness.service.session_table} == {b"d0", b"d3", b"d4"}
    # d3 and d4 are connected, so d0 is evicted, although its non-idempotent request has an
    # unacknowledged answer.
    number = harness.hello(name=b"d5")
    assert harness.welcome(number) and len(harness.service.session_table) == 3


@pytest.mark.parametrize(
    "group, sends_bye, runs",
    [("move", False, 1), ("swap", False, 1), ("look", False, 2), ("move", True, 2)],
)
def test_a_request_of_an_evicted_session_runs_again_only_if_idempotent_or_after_a_bye_frame(
    group, sends_bye, runs
):
    harness = ServiceHarness(sessions_each=1)
    first = connect_and_ask(harness, group)
    harness.answer()
    if sends_bye:
        harness.send(first, Bye())
    harness.disconnect(first)
    second = harness.hello()  # evicts the first session: only one is allowed per device
    harness.send(second, ask(1, group, b"pay 5"))
    assert len(harness.submitted) == runs
    assert [each.word for each in harness.answers(second)] == ([2] if runs == 1 else [])


def test_a_connected_session_is_not_evicted():
    harness = ServiceHarness(sessions=2)
    harness.hello(name=b"a"), harness.hello(name=b"b")
    assert "no room" in harness.refused(harness.hello(name=b"c"))


def test_sessions_per_device_are_bounded():
    harness = ServiceHarness(sessions_each=2)
    for _ in range(5):
        harness.disconnect(harness.hello())
    assert len(harness.service.session_table) == 2


def test_unacknowledged_answers_are_bounded_by_evicting_the_sessions_that_cost_least_to_lose():
    harness = ServiceHarness(kept=20_000, kept_each=20_000)
    for index in range(30):
        number = harness.hello(name=b"d%d" % index)
        harness.send(number, ask(1, "move" if index == 0 else "look")).disconnect(number)
        harness.answer(body=b"r" * 1_000)
    assert harness.service.session_table.unacknowledged_bytes <= 20_000
    assert b"d0" in {each.device for each in harness.service.session_table}


def test_a_device_that_does_not_acknowledge_is_denied_and_others_are_not():
    harness = ServiceHarness(kept_each=3_000, window=64)
    unacknowledging_device, other_device = (
        harness.hello(window=1, name=b"a"),
        harness.hello(name=b"b"),
    )
    for number in range(1, 11):
        harness.send(unacknowledging_device, ask(number, body=b"%d" % number))
        if len(harness.submitted) == number:
            harness.answer(body=b"r" * 900)
    assert (
        len(harness.submitted) == 3 and harness.service.session_table.unacknowledged_bytes < 6_000
    )
    harness.send(other_device, ask(1, body=b"other"))
    assert len(harness.submitted) == 4
    for order in range(1, 11):
        harness.send(unacknowledging_device, Got(order))
    harness.send(unacknowledging_device, ask(11, body=b"again"))
    assert len(harness.submitted) == 5


def test_a_disconnected_session_expires_and_its_request_is_cancelled(
    harness,
):
    number = harness.hello()
    harness.send(number, ask(1)).disconnect(number)
    harness.wait(599 * SECOND)
    assert not harness.cancelled and len(harness.service.session_table) == 1
    harness.wait(2 * SECOND)
    assert (
        harness.cancelled == [1]
        and len(harness.service.session_table) == 0
        and not harness.service.links
    )


def test_a_cancelled_request_is_dropped_unless_a_duplicate_waits_for_it(harness):
    first = connect_and_ask(harness)
    harness.disconnect(first)
    second = harness.hello()
    harness.send(second, ask(1, "move", b"pay 5"))
    third = harness.hello(harness.welcome(first).session)
    harness.send(third, Cancel(1))
    assert not harness.cancelled
    harness.send(second, ask(2, "look"), Cancel(2))
    assert harness.cancelled == [2]


def test_silent_and_slow_connections_are_refused_but_not_one_that_sends_bursts(harness):
    silent = harness.open()
    harness.wait(7 * SECOND)
    assert harness.refused(silent) == "no HELLO in time"
    one_byte_per_second, bursty = harness.hello(name=b"a"), harness.hello(name=b"b")
    for second in range(12):
        harness.service.bytes_received(one_byte_per_second, 1, 0, True, harness.now)
        if second % 5 == 0:
            harness.service.bytes_received(bursty, 2_000, 0, True, harness.now)
        harness.wait(SECOND)
    assert harness.refused(one_byte_per_second) == "too slow" and harness.refused(bursty) is None


def test_the_minimum_rate_rises_with_the_duration_of_a_frame():
    progress = FrameProgress()
    progress.add_bytes(10, 0, True, 0)
    for second in range(1, 30):
        progress.add_bytes(100, 0, True, second * SECOND)
        if progress.is_too_slow(64, 60 * SECOND, second * SECOND):
            break
    assert 4 <= second < 9


def test_a_silent_connection_is_pinged_and_closed_after_three_heartbeats_and_its_session_stays(
    harness,
):
    number = harness.hello()
    harness.wait(31 * SECOND)
    assert any(isinstance(each, Ping) for each in harness.received[number])
    harness.wait(60 * SECOND)
    assert number in harness.closed and len(harness.service.session_table) == 1


def test_the_connection_rate_is_limited_per_source():
    harness = ServiceHarness(arrivals=20)
    for _ in range(40):
        harness.open(b"\x0a\0\0\1")
    assert harness.is_admitted is False
    harness.open(b"\x0a\0\0\2")
    assert harness.is_admitted is True
    harness.wait(120 * SECOND)
    harness.open(b"\x0a\0\0\1")
    assert harness.is_admitted is True


def test_connections_from_one_ipv6_network_share_one_rate_limit():
    limiter = ConnectionLimiter(10, 100, 1, 0)
    reasons = [
        limiter.admit(each, bytes.fromhex("20010db80001") + bytes(9) + bytes((each,)), 0)
        for each in range(12)
    ]
    assert reasons.count("") == 10


def test_a_drain_is_announced_to_connected_and_reconnecting_devices(harness):
    first = harness.hello()
    harness.send(first, ask(1))
    harness.service.start_draining(2 * SECOND)
    harness.collect()
    assert Leaving(2_000, 1) in harness.received[first]
    harness.disconnect(first)
    second = harness.hello(harness.welcome(first).session)
    assert Leaving(2_000, 1) in harness.received[second]
    harness.service.stop_accepting()
    harness.collect()
    assert second not in harness.closed
    harness.answer()
    harness.service.close_idle()
    assert second in harness.collect().closed


def test_a_bye_frame_removes_an_idle_session(harness):
    number = harness.hello()
    harness.send(number, Bye())
    assert number in harness.closed and len(harness.service.session_table) == 0


# Client and service over links that break at any point


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.sampled_from(["ask", "look", "up", "down", "answer", "break", "lose", "stall"]),
        max_size=60,
    ),
    st.integers(0, 2**32),
    st.booleans(),
)
def test_any_order_of_failures_gives_each_request_one_outcome_and_at_most_one_execution(
    steps, seed, loses_session
):
    rng, harness, device = random.Random(seed), ServiceHarness(window=4), None
    device = ClientSession(harness.token())
    run_counts, streams, connection, inbound = {}, {}, 0, b""

    def connect():
        nonlocal connection, inbound
        connection, inbound = harness.open(), b""
        device.connected()

    def disconnect():
        nonlocal connection
        if connection:
            harness.disconnect(connection)
        connection = 0
        device.take_output()

    for each in [*steps, "up", *["answer"] * 8, "settle"]:
        if each in ("ask", "look"):
            device.ask("move" if each == "ask" else "look", b"%d" % rng.randrange(3))
        elif each == "up":
            disconnect()
            connect()
        elif each in ("down", "break"):
            disconnect()
        elif each == "lose" and loses_session:
            device.session = b""
            device.got = 0
            disconnect()
        elif each == "stall":
            harness.wait(rng.randrange(5 * SECOND))
        elif each == "answer" and harness.submitted:
            session, number, submitted = harness.submitted.pop(
                rng.randrange(len(harness.submitted))
            )
            run_counts[id(session), number] = run_counts.get((id(session), number), 0) + 1
            harness.service.send_answer(
                session, number, rng.randrange(2), submitted.frame.body, 0, harness.now
            )
            harness.collect()
        if each == "settle":
            for _ in range(300):
                if not connection or connection in harness.closed:
                    disconnect()
                    connect()
                deliver_frames(harness, device, connection, rng, streams)
                for session, number, submitted in harness.submitted:
                    harness.service.send_answer(
                        session, number, 0, submitted.frame.body, 0, harness.now
                    )
                harness.submitted.clear()
                harness.collect()
        elif connection:
            deliver_frames(harness, device, connection, rng, streams)
    assert not device.unanswered and set(device.outcomes) == set(range(1, device.next_number))
    assert all(count == 1 for count in run_counts.values())
    assert not harness.service.session_table.unacknowledged_bytes or loses_session


def deliver_frames(harness, device, connection, rng, streams):
    """Delivers the frames sent so far, in both directions; `streams` holds one per connection."""
    stream = streams.setdefault(connection, Stream(1 << 16))
    for frame in stream.feed(device.take_output()):
        harness.service.frame_received(connection, frame, harness.now)
    harness.collect()
    received, harness.received[connection] = harness.received.get(connection, []), []
    for frame in received:
        device.frame_received(frame)


# Frames

SAMPLE_FRAMES = [
    Hello(1, b"t", b"s", 3, 16, True),
    Ask(1, "look", b"b", 5, 0),
    Ask(2, "look", b"", 0, 1, key="k"),
    Got(4),
    Ping(5, 6),
    Cancel(1),
    Bye(),
    frames.Welcome(b"s", True, 3, 4, 5, 6),
    Answer(1, 2, 0, b"x"),
    Pong(7),
    Leaving(8, 9),
    frames.Refused("no", 5),
]


@pytest.mark.parametrize("frame", SAMPLE_FRAMES)
def test_each_frame_survives_encoding_and_any_split(frame):
    data = frames.encode(frame)
    for split_at in range(len(data)):
        stream = Stream(4_096)
        assert [*stream.feed(data[:split_at]), *stream.feed(data[split_at:])] == [frame]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x81",
        b"\x9f\x00\xff",
        b"\x81" * 10_000 + b"\x00",
        b"\xc1\x00",
        b"\xfb" + bytes(8),
        b"\x80\x80",
        b"\x5b" + b"\xff" * 8,
        b"\x9b" + b"\xff" * 8,
        cbor2.dumps([99]),
        cbor2.dumps([1, 2]),
        cbor2.dumps([2, -1]),
        cbor2.dumps([2, "1"]),
        cbor2.dumps([2, True]),
        cbor2.dumps([3, 1, 2, 3]),
        b"\x82\x15\x61\xff",
        b"\x00",
        cbor2.dumps([2, 2**60]),
    ],
)
def test_invalid_frames_raise_frame_error(data):
    with pytest.raises(FrameError):
        frames.decode(data)


@given(
    st.binary(max_size=80)
    | st.recursive(
        st.integers(-5, 2**64 - 1)
        | st.binary(max_size=5)
        | st.text(max_size=5)
        | st.booleans()
        | st.none(),
        lambda inner: st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=2), inner, max_size=3),
        max_leaves=20,
    ).map(cbor2.dumps)
)
def test_any_bytes_decode_to_a_frame_or_raise_frame_error(data):
    try:
        assert frames.encode(frames.decode(data))
    except FrameError:
        pass


def test_an_excessive_frame_length_is_rejected_from_the_header():
    with pytest.raises(FrameError, match="3000000000"):
        list(Stream(4_096).feed(struct.pack("!I", 3_000_000_000)))


# Data structures


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 12),
            st.integers(0, 400_000_000) | st.integers(0, 9_000),
            st.integers(0, 3_000_000),
            st.booleans(),
        ),
        max_size=40,
    )
)
def test_a_timer_expires_never_early_and_at_most_one_slot_late(operations):
    wheel, now, due = Wheel(START), START, {}
    for name, delay, elapsed, cancels in operations:
        if cancels:
            assert wheel.cancel(name) == (due.pop(name, None) is not None)
        else:
            wheel.schedule(name, now + delay)
            due[name] = now + delay
        reported_due = wheel.due()
        now += elapsed
        expired = set(wheel.expire(now))
        assert all(due[each] <= now for each in expired)
        assert reported_due is None or not expired or reported_due <= now
        for each in expired:
            del due[each]
        assert all(time > now - 100 for time in due.values()) and len(wheel) == len(due)


def test_a_timer_can_be_rescheduled_while_timers_expire():
    wheel, expired = Wheel(0), []
    wheel.schedule("a", 1_000)
    for name in wheel.expire(10_000):
        expired.append(name)
        if len(expired) < 5:
            wheel.schedule(name, 1_000)
    assert expired == ["a"] * 5


def test_timers_expire_in_the_order_of_slots():
    rng, wheel, heap = random.Random(3), Wheel(0), []
    for name in range(2_000):
        due = rng.randrange(50_000_000)
        wheel.schedule(name, due)
        heapq.heappush(heap, (-(-due // 100), name))
    slots = dict((name, slot) for slot, name in heap)
    order = [slots[name] for name in wheel.expire(60_000_000)]
    assert order == sorted(order) and len(order) == 2_000


def test_the_sketch_never_counts_too_low_and_rarely_too_high():
    rng, sketch, true_counts = random.Random(1), Sketch(9, 100_000, 0), {}
    for _ in range(30_000):
        key = str(int(rng.paretovariate(0.8))).encode()
        true_counts[key] = true_counts.get(key, 0) + 1
        sketch.add(key, 0)
    excesses = [sketch.count(key, 0) - count for key, count in true_counts.items()]
    assert min(excesses) >= 0 and sum(each > 30 for each in excesses) < len(excesses) / 100


def test_sketch_counts_decay_by_half_lives():
    sketch = Sketch(9, 1_000, 0)
    sketch.add(b"a", 0, 64.0)
    assert sketch.count(b"a", 3_000) == pytest.approx(8.0)
    sketch.add(b"b", 100_000, 1.0)  # so much later that the scale is reset
    assert sketch.count(b"a", 100_000) < 1e-6 and sketch.count(b"b", 100_000) == pytest.approx(1.0)


def test_link_estimates_follow_round_trip_loss_and_throughput():
    link = Link()
    for _ in range(40):
        link.record_round_trip(500)
    delivery_time_without_loss = link.delivery_time(500)
    for _ in range(10):
        link.record_loss()
    assert link.delivery_time(500) > delivery_time_without_loss
    for _ in range(100):
        link.record_round_trip(500)
        link.record_delivery(50_000, 1_000)
    assert link.delivery_time(5_000) < 1_000 and link.throughput > 30_000
    assert SECOND * 3 <= link.heartbeat_interval(30 * SECOND) <= 30 * SECOND
