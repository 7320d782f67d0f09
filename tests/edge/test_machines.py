"""The edge's decisions by hand: sessions, repeats, links, rates, tokens, the listener, frames, wheel and
sketch."""

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
from tests.edge.conftest import SECOND, START, World, ask


def test_the_due_time_is_fixed_at_the_first_reading_and_less_what_the_answer_needs(world):
    number = world.hello()
    world.say(number, ask(1, wait=1_000))
    plain = World(estimates=False)
    plain.say(plain.hello(), ask(1, wait=1_000))
    assert plain.asks[0][2].timeout == SECOND
    assert 0 < world.asks[0][2].timeout < SECOND and world.asks[0][2].arrived_at == START
    world.lose(number)
    world.wait(5 * SECOND)
    world.hello(world.welcome(number).session)
    world.say(2, ask(1, wait=1_000, again=True))
    assert len(world.asks) == 1  # a stall and a reconnect stretch nothing


def test_a_slow_link_leaves_less_time_and_a_fast_one_more(world):
    number = world.hello()
    waits = []
    for turn, trip in enumerate((400, 20_000), 1):
        session = world.service.connections[number].session
        for _ in range(30):
            session.link.record_round_trip(trip)
        world.say(number, ask(turn, wait=4_000, group="move"))
        waits.append(world.asks[-1][2].timeout)
    assert waits[0] > 4 * SECOND - 2_000 and waits[1] < 4 * SECOND - 9_000


def test_a_device_that_is_quiet_for_long_does_not_look_like_a_slow_link(world):
    number = world.hello()
    sent = [each for each in world.read[number] if isinstance(each, Ping)]
    world.now += 500
    world.say(number, Pong(sent[0].stamp))
    world.wait(20 * SECOND).say(number, ask(1, wait=1_000))
    assert world.asks[0][2].timeout > SECOND - 1_000
    world.say(number, Pong(5), Pong(START + 10**12))  # an echo of nothing
    assert world.service.connections[number].session.link.mean_round_trip == 500


def test_a_stall_in_an_echo_says_little_of_the_next_frame():
    link = Link()
    for _ in range(20):
        link.record_round_trip(1_000)
    for _ in range(3):
        link.record_round_trip(50_000)
    assert link.delivery_time(500) < 3_000


def test_an_answer_is_kept_until_it_is_acknowledged_and_sent_again_the_same(world):
    first = world.hello()
    world.say(first, ask(1, "move")).answer(body=b"x")
    world.lose(first)
    second = world.hello(world.welcome(first).session)
    assert world.answers(first) == world.answers(second) == [Answer(1, 1, 0, b"x")]
    world.say(second, Got(1)).lose(second)
    third = world.hello(world.welcome(first).session, got=1)
    assert world.answers(third) == [] and world.service.session_table.unacknowledged_bytes == 0


def test_what_came_with_the_last_connection_is_not_sent_on_the_next(world):
    first = world.hello()
    world.say(first, ask(1), ask(2)).answer(0, body=b"a").answer(1, body=b"b")
    world.lose(first)
    second = world.hello(world.welcome(first).session, got=1)
    assert [each.number for each in world.answers(second)] == [2]


@pytest.mark.parametrize("again", [False, True])
def test_a_number_asked_twice_is_one_exchange_whatever_became_of_it(world, again):
    first = world.hello()
    world.say(first, ask(1, "move"), ask(1, "move", again=again))
    assert len(world.asks) == 1
    world.answer()
    world.say(first, ask(1, "move", again=again))
    world.say(first, Got(1), ask(1, "move", again=again))
    assert len(world.asks) == 1 and len(world.answers(first)) == 1


def test_two_connections_at_once_with_one_session_leave_the_newer(world):
    first = world.hello()
    world.say(first, ask(1))
    second = world.hello(world.welcome(first).session)
    assert "taken over" in world.refused(first) and world.closed == [first]
    world.lose(first)
    world.answer()
    assert len(world.answers(second)) == 1 and not world.answers(first)


def test_two_connections_with_a_session_each_are_both_served(world):
    first, second = world.hello(), world.hello()
    world.say(first, ask(1, body=b"a")).say(second, ask(1, body=b"b")).answer(0, body=b"A").answer(
        1, body=b"B"
    )
    assert [each.body for each in world.answers(first) + world.answers(second)] == [b"A", b"B"]


@pytest.mark.parametrize(
    "spoil", ["guessed", "of another node", "of another device", "expired", "cut"]
)
def test_a_session_token_that_does_not_hold_opens_no_session_and_says_so(world, spoil):
    first = world.hello()
    world.say(first, ask(1, "move"))
    token, name = world.welcome(first).session, b"tablet"
    if spoil == "guessed":
        token = token[:-1] + bytes((token[-1] ^ 1,))
    elif spoil == "of another node":
        token = Tokens([bytes(range(32))], b"n2").make(
            SESSION, next(iter(world.service.session_table)).ident, 2**40
        )
    elif spoil == "of another device":
        name = b"phone"
    elif spoil == "expired":
        world.now += 8 * 24 * 3600 * SECOND
    else:
        token = token[:10]
    second = world.hello(token, name=name)
    assert world.welcome(second).resumed is False and world.service.counts["unknown"] == 1
    assert world.welcome(second).session != world.welcome(first).session


@pytest.mark.parametrize(
    "token, why",
    [
        (b"", "unreadable"),
        (b"x" * 40, "unreadable"),
        (Tokens([b"o" * 32], b"").make(DEVICE, b"t", 2**40), "unknown"),
        (Tokens([bytes(range(32))], b"").make(DEVICE, b"t", 5), "expired"),
        (Tokens([bytes(range(32))], b"n1").make(SESSION, b"t", 2**40), "unknown"),
    ],
)
def test_a_device_without_a_good_token_is_refused_by_name(world, token, why):
    number = world.hello(token=token)
    assert why in world.refused(number) and world.closed == [number]


def test_secrets_are_rotated_with_an_overlap():
    old, new = b"o" * 32, b"n" * 32
    made = Tokens([old], b"").make(DEVICE, b"t", 100)
    assert Tokens([new, old], b"").check(DEVICE, made, 50).name == b"t"
    with pytest.raises(TokenError, match="unknown"):
        Tokens([new], b"").check(DEVICE, made, 50)


def test_a_resume_of_a_session_that_nobody_knows_runs_no_mutating_exchange_again(world):
    number = world.hello(b"\0" * 50)
    world.say(number, ask(1, "move", again=True), ask(2, "look", again=True), ask(3, "move"))
    assert [(each.number, each.word) for each in world.answers(number)] == [(1, 2)]
    assert [each for _, each, _ in world.asks] == [2, 3]


# Repeats without a mark


def lost_session(world, group="move", body=b"pay 5", **more):
    first = world.hello()
    world.say(first, ask(1, group, body, **more))
    return first


@pytest.mark.parametrize("group", ["look", "swap", "move"])
def test_a_device_that_lost_its_session_and_asks_again_is_joined_to_what_is_in_hand(world, group):
    first = lost_session(world, group)
    world.lose(first)
    second = world.hello()
    world.say(second, ask(1, group, b"pay 5"))
    assert len(world.asks) == 1
    world.answer(body=b"paid")
    assert world.answers(second) == [Answer(1, 1, 0, b"paid")]


def test_or_answered_from_what_is_kept_while_it_has_not_acknowledged_it(world):
    first = lost_session(world)
    world.answer(body=b"paid").lose(first)
    second = world.hello()
    world.say(second, ask(9, "move", b"pay 5"))
    assert world.answers(second) == [Answer(1, 9, 0, b"paid")] and len(world.asks) == 1


def test_what_it_has_acknowledged_and_asks_again_is_meant(world):
    first = lost_session(world)
    world.answer().say(first, Got(1)).lose(first)
    world.say(world.hello(), ask(1, "move", b"pay 5"))
    assert len(world.asks) == 2


@pytest.mark.parametrize(
    "change", [dict(group="swap"), dict(body=b"pay 6"), dict(subject="x"), dict(customer="c")]
)
def test_another_group_body_subject_or_customer_is_another_request(world, change):
    world.lose(lost_session(world))
    world.say(world.hello(), ask(**({"number": 1, "group": "move", "body": b"pay 5"} | change)))
    assert len(world.asks) == 2


def test_another_device_the_same_session_and_a_later_time_are_other_requests(world):
    first = lost_session(world)
    world.say(first, ask(2, "move", b"pay 5"))
    world.lose(first)
    world.say(world.hello(name=b"phone"), ask(1, "move", b"pay 5"))
    assert len(world.asks) == 3
    world.wait(61 * SECOND).say(world.hello(), ask(1, "move", b"pay 5"))
    assert len(world.asks) == 4


def test_where_numbers_outlive_sessions_they_alone_decide(world):
    first = world.hello(steady=True)
    world.say(first, ask(7, "move", b"pay 5")).lose(first)
    second = world.hello(steady=True)
    world.say(second, ask(7, "move", b"pay 5", again=True), ask(8, "move", b"pay 5"))
    assert [each for _, each, _ in world.asks] == [7, 8]


@pytest.mark.parametrize(
    "word, group, runs", [(1, "move", 2), (2, "move", 1), (2, "look", 2), (0, "look", 1)]
)
def test_a_denied_one_may_run_now_a_terminated_one_only_if_it_may_run_twice(
    world, word, group, runs
):
    first = lost_session(world, group)
    world.answer(word=word).lose(first)
    world.say(world.hello(), ask(1, group, b"pay 5"))
    assert len(world.asks) == runs


def test_switched_off_nothing_is_joined():
    world = World(repeats=False)
    world.lose(lost_session(world))
    world.say(world.hello(), ask(1, "move", b"pay 5"))
    assert len(world.asks) == 2


# Bounds


def test_beyond_its_window_an_ask_is_denied_with_a_time_to_come_back():
    world = World(window=2)
    number = world.hello()
    world.say(number, *[ask(each, body=b"%d" % each) for each in (1, 2, 3)])
    [denied] = world.answers(number)
    assert (denied.number, denied.word) == (3, 1) and denied.come_back > 0 and len(world.asks) == 2


@pytest.mark.parametrize("wrong", [dict(group="nobody"), dict(body=b"x" * 3_000)])
def test_an_ask_that_is_wrong_is_terminated_on_its_number(world, wrong):
    number = world.hello()
    world.say(number, ask(**({"number": 1} | wrong)))
    assert [each.word for each in world.answers(number)] == [2] and not world.asks


def test_the_window_of_the_device_bounds_what_is_sent_and_a_full_connection_what_is_written():
    world = World(window=64)
    number = world.hello(window=2)
    world.say(number, *[ask(each, body=b"%d" % each) for each in range(1, 6)])
    for each in range(5):
        world.answer(each)
    assert len(world.answers(number)) == 2
    world.say(number, Got(1))
    assert len(world.answers(number)) == 3
    slow = World(window=64, buffer=1_000)
    slow.flowing = False
    number = slow.hello(window=64)
    slow.say(number, *[ask(each, body=b"%d" % each) for each in range(1, 11)])
    for each in range(10):
        slow.answer(each, body=b"r" * 400)
    assert len(slow.answers(number)) == 3 and slow.service.connections[number].unsent_bytes < 2_000
    slow.service.bytes_sent(number, slow.service.connections[number].unsent_bytes, slow.now)
    assert len(slow.take().answers(number)) == 6


def test_sessions_are_forgotten_by_what_losing_them_costs():
    world = World(sessions=3)
    for at, group in enumerate(("move", "look", "swap")):
        number = world.hello(name=b"d%d" % at)
        world.say(number, ask(1, group)).answer()
        world.lose(number)
        world.wait(SECOND)
    world.hello(name=b"d3")
    world.hello(name=b"d4")
    assert {each.device for each in world.service.session_table} == {b"d0", b"d3", b"d4"}
    number = world.hello(
        name=b"d5"
    )  # only the unacknowledged effect and live ones are left: that one goes last
    assert world.welcome(number) and len(world.service.session_table) == 3


@pytest.mark.parametrize(
    "group, goodbye, runs",
    [("move", False, 1), ("swap", False, 1), ("look", False, 2), ("move", True, 2)],
)
def test_what_ran_for_a_session_that_is_forgotten_is_not_run_again(group, goodbye, runs):
    world = World(sessions_each=1)
    first = lost_session(world, group)
    world.answer()
    if goodbye:
        world.say(first, Bye())
    world.lose(first)
    second = world.hello()  # takes the only place
    world.say(second, ask(1, group, b"pay 5"))
    assert len(world.asks) == runs
    assert [each.word for each in world.answers(second)] == ([2] if runs == 1 else [])


def test_a_session_in_use_never_makes_room_for_another():
    world = World(sessions=2)
    world.hello(name=b"a"), world.hello(name=b"b")
    assert "no room" in world.refused(world.hello(name=b"c"))


def test_one_device_has_so_many_sessions_and_no_more():
    world = World(sessions_each=2)
    for _ in range(5):
        world.lose(world.hello())
    assert len(world.service.session_table) == 2


def test_answers_kept_for_all_are_bounded_and_the_cheapest_sessions_go():
    world = World(kept=20_000, kept_each=20_000)
    for at in range(30):
        number = world.hello(name=b"d%d" % at)
        world.say(number, ask(1, "move" if at == 0 else "look")).lose(number)
        world.answer(body=b"r" * 1_000)
    assert world.service.session_table.unacknowledged_bytes <= 20_000
    assert b"d0" in {each.device for each in world.service.session_table}


def test_a_device_that_acknowledges_nothing_is_denied_once_its_part_is_full_and_others_are_not():
    world = World(kept_each=3_000, window=64)
    idle, good = world.hello(window=1, name=b"a"), world.hello(name=b"b")
    for number in range(1, 11):
        world.say(idle, ask(number, body=b"%d" % number))
        if len(world.asks) == number:
            world.answer(body=b"r" * 900)
    assert len(world.asks) == 3 and world.service.session_table.unacknowledged_bytes < 6_000
    world.say(good, ask(1, body=b"other"))
    assert len(world.asks) == 4
    for order in range(1, 11):
        world.say(idle, Got(order))
    world.say(idle, ask(11, body=b"again"))
    assert len(world.asks) == 5


def test_a_session_without_a_connection_is_forgotten_after_its_time_and_its_exchange_given_up(
    world,
):
    number = world.hello()
    world.say(number, ask(1)).lose(number)
    world.wait(599 * SECOND)
    assert not world.gone and len(world.service.session_table) == 1
    world.wait(2 * SECOND)
    assert world.gone == [1] and len(world.service.session_table) == 0 and not world.service.links


def test_a_cancelled_exchange_is_given_up_unless_somebody_else_waits_for_it(world):
    first = lost_session(world)
    world.lose(first)
    second = world.hello()
    world.say(second, ask(1, "move", b"pay 5"))
    third = world.hello(world.welcome(first).session)
    world.say(third, Cancel(1))
    assert not world.gone
    world.say(second, ask(2, "look"), Cancel(2))
    assert world.gone == [2]


def test_who_says_nothing_or_trickles_is_refused_and_a_stalled_burst_is_not(world):
    silent = world.open()
    world.wait(7 * SECOND)
    assert world.refused(silent) == "no HELLO in time"
    trickle, bursty = world.hello(name=b"a"), world.hello(name=b"b")
    for second in range(12):
        world.service.bytes_received(trickle, 1, 0, True, world.now)
        if second % 5 == 0:
            world.service.bytes_received(bursty, 2_000, 0, True, world.now)
        world.wait(SECOND)
    assert world.refused(trickle) == "too slow" and world.refused(bursty) is None


def test_the_floor_rises_with_what_a_connection_was_given():
    incoming = FrameProgress()
    incoming.add_bytes(10, 0, True, 0)
    for second in range(1, 30):
        incoming.add_bytes(100, 0, True, second * SECOND)
        if incoming.is_too_slow(64, 60 * SECOND, second * SECOND):
            break
    assert 4 <= second < 9


def test_a_silent_session_is_tried_at_its_links_pace_and_given_up_after_three_beats(world):
    number = world.hello()
    world.wait(31 * SECOND)
    assert any(isinstance(each, Ping) for each in world.read[number])
    world.wait(60 * SECOND)
    assert number in world.closed and len(world.service.session_table) == 1


def test_one_source_may_come_so_often_and_others_are_not_held_for_it():
    world = World(arrivals=20)
    for _ in range(40):
        world.open(b"\x0a\0\0\1")
    assert world.is_admitted is False
    world.open(b"\x0a\0\0\2")
    assert world.is_admitted is True
    world.wait(120 * SECOND)
    world.open(b"\x0a\0\0\1")
    assert world.is_admitted is True


def test_ipv6_sources_are_counted_by_their_network():
    arrivals = ConnectionLimiter(10, 100, 1, 0)
    whys = [
        arrivals.admit(each, bytes.fromhex("20010db80001") + bytes(9) + bytes((each,)), 0)
        for each in range(12)
    ]
    assert whys.count("") == 10


def test_a_drain_is_told_to_who_is_there_and_who_comes_back(world):
    first = world.hello()
    world.say(first, ask(1))
    world.service.start_draining(2 * SECOND)
    world.take()
    assert Leaving(2_000, 1) in world.read[first]
    world.lose(first)
    second = world.hello(world.welcome(first).session)
    assert Leaving(2_000, 1) in world.read[second]
    world.service.stop_accepting()
    world.take()
    assert second not in world.closed
    world.answer()
    world.service.close_idle()
    assert second in world.take().closed


def test_a_goodbye_forgets_what_is_done(world):
    number = world.hello()
    world.say(number, Bye())
    assert number in world.closed and len(world.service.session_table) == 0


# Any order at all: the client's machine against the edge's, over links that break anywhere


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.sampled_from(["ask", "look", "up", "down", "answer", "break", "lose", "stall"]),
        max_size=60,
    ),
    st.integers(0, 2**32),
    st.booleans(),
)
def test_whatever_breaks_each_number_has_one_outcome_and_one_run_at_most(order, seed, forgets):
    rng, world, device = random.Random(seed), World(window=4), None
    device = ClientSession(world.token())
    runs, sent, link, inbound = {}, {}, 0, b""

    def up():
        nonlocal link, inbound
        link, inbound = world.open(), b""
        device.connected()

    def down():
        nonlocal link
        if link:
            world.lose(link)
        link = 0
        device.take_output()

    for each in [*order, "up", *["answer"] * 8, "settle"]:
        if each in ("ask", "look"):
            device.ask("move" if each == "ask" else "look", b"%d" % rng.randrange(3))
        elif each == "up":
            down()
            up()
        elif each in ("down", "break"):
            down()
        elif each == "lose" and forgets:
            device.session = b""
            device.got = 0
            down()
        elif each == "stall":
            world.wait(rng.randrange(5 * SECOND))
        elif each == "answer" and world.asks:
            session, number, about = world.asks.pop(rng.randrange(len(world.asks)))
            runs[id(session), number] = runs.get((id(session), number), 0) + 1
            world.service.send_answer(
                session, number, rng.randrange(2), about.frame.body, 0, world.now
            )
            world.take()
        if each == "settle":
            for _ in range(300):
                if not link or link in world.closed:
                    down()
                    up()
                step(world, device, link, rng, sent)
                for session, number, about in world.asks:
                    world.service.send_answer(session, number, 0, about.frame.body, 0, world.now)
                world.asks.clear()
                world.take()
        elif link:
            step(world, device, link, rng, sent)
    assert not device.unanswered and set(device.outcomes) == set(range(1, device.next_number))
    assert all(count == 1 for count in runs.values())
    assert not world.service.session_table.unacknowledged_bytes or forgets


def step(world, device, link, rng, sent):
    """What either side said so far reaches the other, the device's cut anywhere."""
    stream = sent.setdefault(link, Stream(1 << 16))
    for frame in stream.feed(device.take_output()):
        world.service.frame_received(link, frame, world.now)
    world.take()
    read, world.read[link] = world.read.get(link, []), []
    for frame in read:
        device.frame_received(frame)


# Frames

SAMPLES = [
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


@pytest.mark.parametrize("frame", SAMPLES)
def test_each_frame_comes_back_as_it_was_cut_anywhere(frame):
    data = frames.encode(frame)
    for at in range(len(data)):
        stream = Stream(4_096)
        assert [*stream.feed(data[:at]), *stream.feed(data[at:])] == [frame]


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
def test_what_is_no_frame_has_a_named_error_and_builds_nothing(data):
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
def test_any_bytes_are_a_frame_or_a_frame_error(data):
    try:
        assert frames.encode(frames.decode(data))
    except FrameError:
        pass


def test_a_frame_that_says_three_gigabytes_is_told_from_its_head():
    with pytest.raises(FrameError, match="3000000000"):
        list(Stream(4_096).feed(struct.pack("!I", 3_000_000_000)))


# Structures


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
def test_the_wheel_fires_as_a_heap_would_never_early_and_at_most_a_slot_late(order):
    wheel, now, due = Wheel(START), START, {}
    for name, ahead, step, drops in order:
        if drops:
            assert wheel.cancel(name) == (due.pop(name, None) is not None)
        else:
            wheel.schedule(name, now + ahead)
            due[name] = now + ahead
        asked = wheel.due()
        now += step
        fired = set(wheel.expire(now))
        assert all(due[each] <= now for each in fired)
        assert asked is None or not fired or asked <= now
        for each in fired:
            del due[each]
        assert all(time > now - 100 for time in due.values()) and len(wheel) == len(due)


def test_a_timer_may_be_set_again_while_the_wheel_turns():
    wheel, fired = Wheel(0), []
    wheel.schedule("a", 1_000)
    for name in wheel.expire(10_000):
        fired.append(name)
        if len(fired) < 5:
            wheel.schedule(name, 1_000)
    assert fired == ["a"] * 5


def test_a_heap_and_the_wheel_agree_on_the_order_of_slots():
    rng, wheel, heap = random.Random(3), Wheel(0), []
    for name in range(2_000):
        due = rng.randrange(50_000_000)
        wheel.schedule(name, due)
        heapq.heappush(heap, (-(-due // 100), name))
    slots = dict((name, slot) for slot, name in heap)
    order = [slots[name] for name in wheel.expire(60_000_000)]
    assert order == sorted(order) and len(order) == 2_000


def test_the_sketch_never_counts_too_low_and_seldom_too_high():
    rng, sketch, true = random.Random(1), Sketch(9, 100_000, 0), {}
    for _ in range(30_000):
        key = str(int(rng.paretovariate(0.8))).encode()
        true[key] = true.get(key, 0) + 1
        sketch.add(key, 0)
    over = [sketch.count(key, 0) - count for key, count in true.items()]
    assert min(over) >= 0 and sum(each > 30 for each in over) < len(over) / 100


def test_the_sketch_forgets_by_half_lives():
    sketch = Sketch(9, 1_000, 0)
    sketch.add(b"a", 0, 64.0)
    assert sketch.count(b"a", 3_000) == pytest.approx(8.0)
    sketch.add(b"b", 100_000, 1.0)  # far beyond: the scale is taken back
    assert sketch.count(b"a", 100_000) < 1e-6 and sketch.count(b"b", 100_000) == pytest.approx(1.0)


def test_a_link_learns_its_trip_its_loss_and_its_rate():
    link = Link()
    for _ in range(40):
        link.record_round_trip(500)
    fast = link.delivery_time(500)
    for _ in range(10):
        link.record_loss()
    assert link.delivery_time(500) > fast
    for _ in range(100):
        link.record_round_trip(500)
        link.record_delivery(50_000, 1_000)
    assert link.delivery_time(5_000) < 1_000 and link.throughput > 30_000
    assert SECOND * 3 <= link.heartbeat_interval(30 * SECOND) <= 30 * SECOND
