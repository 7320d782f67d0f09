"""Tests of the finite state machine of one connection and of `PeerState`, which manages a peer's
connections (RFC 4271 sections 6 and 8).
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lilacwalk.bgp import messages
from lilacwalk.bgp.capabilities import Capabilities, GracefulRestart
from lilacwalk.bgp.errors import BgpError
from lilacwalk.bgp.messages import Keepalive, Notification, Open, Refresh
from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.bgp.session import TABLE, Event, Session, SessionAction, SessionConfig, State, Timer
from lilacwalk.testing.bgp_router import encode_announcements
from tests.bgp.conftest import OUR_AS, PEER_AS, SECOND, PeerHarness, route, update

OPEN, UPDATE, NOTIFICATION, KEEPALIVE = 1, 2, 3, 4
OPEN_OF_PEER = messages.encode(Open(PEER_AS, 9, "127.0.0.20", Capabilities(as4=PEER_AS)))


def make_session(**config):
    config = {
        "asn": OUR_AS,
        "router_id": "127.0.0.1",
        "peer_as": PEER_AS,
        "hold": 9 * SECOND,
        "connect_retry": SECOND,
        "idle_hold": SECOND,
        "delay_open": 0,
        "passive": False,
    } | config
    return Session(
        SessionConfig(**config), Capabilities(families=((1, 1),), as4=OUR_AS), random.Random(1), 0
    )


def test_table_has_a_row_for_every_event_in_every_state_and_a_method_for_every_step():
    assert all(set(TABLE[state]) == set(Event) for state in State)
    steps = {step for each in TABLE.values() for names, _ in each.values() for step in names}
    assert all(hasattr(Session, "_" + step) for step in steps)


events = st.one_of(
    st.sampled_from(list(Event)),
    st.integers(0, 300 * SECOND),
    st.binary(max_size=40),
    st.sampled_from(
        [
            OPEN_OF_PEER,
            messages.encode(Keepalive()),
            messages.encode(Notification(6, 2)),
            update("10.0.0.0/8"),
            messages.encode(Refresh(1, 1)),
        ]
    ),
)


@settings(max_examples=300)
@given(
    st.lists(events, max_size=30),
    st.booleans(),
    st.sampled_from([0, SECOND]),
    st.sampled_from([0, 3, 9]),
)
def test_any_sequence_of_events_keeps_the_state_machine_consistent(steps, passive, delay, hold):
    session, now = make_session(passive=passive, delay_open=delay, hold=hold * SECOND), 0
    is_up = False
    for each in steps:
        if isinstance(each, Event):
            if each in (Event.OPEN, Event.OPEN_WITH_DELAY, Event.UPDATE):
                continue  # these need a message, so that only bytes (below) lead to them
            actions = session.event(each, now)
        elif isinstance(each, int):
            now += each
            actions = session.tick(now)
        else:
            try:
                received = list(messages.Stream().feed(each))
                actions = [
                    action
                    for kind, body in received
                    for action in session.received(kind, body, now)
                ]
            except BgpError as error:
                actions = session.decode_failed(error, now)
        for action, value in actions:
            if action is SessionAction.UP:
                assert not is_up
                is_up = True
            elif action is SessionAction.DOWN:
                assert value.was_up == is_up
                is_up = False
            elif action is SessionAction.ROUTES:
                assert is_up
            elif action is SessionAction.SEND:
                assert value[18] in (OPEN, NOTIFICATION, KEEPALIVE)
        assert is_up == (session.state is State.ESTABLISHED)
        if session.state is State.IDLE:
            assert set(session.timers) <= {Timer.IDLE_HOLD}
        if session.state in (State.OPEN_SENT, State.OPEN_CONFIRM):
            assert Timer.HOLD in session.timers  # the wait for the peer is limited
        assert all(time >= 0 for time in session.timers.values())


def test_established_session_sends_keepalives_within_a_third_of_the_hold_time():
    harness = PeerHarness().up()
    assert harness.state == "ESTABLISHED" and harness.kinds()[:2] == [OPEN, KEEPALIVE]
    for _ in range(8):
        before = harness.kinds().count(KEEPALIVE)
        harness.wait(3 * SECOND).receive_keepalive()
        harness.peer.flushed(harness.connects[-1], harness.now)
        assert harness.kinds().count(KEEPALIVE) > before
    assert harness.state == "ESTABLISHED"


@pytest.mark.parametrize("hold, negotiated", [(0, 0), (3, 3), (9, 9), (60, 9)])
def test_smaller_hold_time_is_negotiated_and_zero_disables_the_hold_timer(hold, negotiated):
    harness = PeerHarness().up(hold=hold)
    assert harness.peer.primary.session.hold_time == negotiated * SECOND
    harness.wait((negotiated or 600) * SECOND + SECOND)
    assert harness.notified() == ((4, 0) if negotiated else None) and harness.peer.established == (
        not negotiated
    )


@pytest.mark.parametrize("hold", [1, 2])
def test_hold_times_of_one_and_two_seconds_are_rejected(hold):
    assert PeerHarness().connected().receive_open(hold=hold).notified() == (2, 6)


@pytest.mark.parametrize(
    "opened, code",
    [
        ({"asn": 65099}, (2, 2)),
        ({"asn": 65099, "as4": PEER_AS}, None),
        ({"router_id": "127.0.0.1"}, None),
    ],
)
def test_as_number_of_an_open_must_match_but_an_external_router_id_may_equal_ours(opened, code):
    harness = PeerHarness().connected().receive_open(**opened)
    assert harness.notified() == code and harness.state == ("IDLE" if code else "OPEN_CONFIRM")


def test_session_without_the_first_keepalive_ends_after_the_hold_time():
    harness = PeerHarness().connected().receive_open().wait(9 * SECOND)
    assert harness.notified() == (4, 0) and harness.peer.downs == 0


def test_session_ends_after_four_minutes_without_an_open():
    harness = PeerHarness().connected().wait(239 * SECOND)
    assert harness.state == "OPEN_SENT"
    assert harness.wait(SECOND).notified() == (4, 0)


def test_with_hold_time_zero_a_session_without_the_first_keepalive_ends_after_four_minutes():
    assert PeerHarness().connected().receive_open(hold=0).wait(240 * SECOND).notified() == (4, 0)


def test_session_ends_if_the_peer_reads_nothing_for_two_hold_times_though_it_sends():
    """A peer that sends but does not read would keep our routes after we withdraw them."""
    harness = PeerHarness().up()
    for _ in range(9):
        harness.wait(2 * SECOND).receive_keepalive()
    assert harness.notified() == (8, 0)
    harness = PeerHarness().up()
    for _ in range(20):
        harness.wait(2 * SECOND).receive_keepalive()
        harness.peer.flushed(harness.connects[-1], harness.now)
    assert harness.state == "ESTABLISHED"


@pytest.mark.parametrize(
    "prepare, message, code",
    [
        (lambda harness: harness.connected(), Keepalive(), (5, 1)),
        (lambda harness: harness.connected(), Refresh(1, 1), (5, 1)),
        (
            lambda harness: harness.connected().receive_open(),
            Open(PEER_AS, 9, "127.0.0.20", Capabilities(as4=PEER_AS)),
            (5, 2),
        ),
        (
            lambda harness: harness.up(),
            Open(PEER_AS, 9, "127.0.0.20", Capabilities(as4=PEER_AS)),
            (5, 3),
        ),
    ],
)
def test_unexpected_message_is_reported_with_the_state(prepare, message, code):
    harness = prepare(PeerHarness())
    assert harness.receive(messages.encode(message)).notified() == code and harness.state == "IDLE"


def test_notification_is_never_answered_with_a_notification():
    for prepare in (
        PeerHarness.connected,
        lambda harness: harness.connected().receive_open(),
        PeerHarness.up,
    ):
        harness = prepare(PeerHarness())
        harness.receive(messages.encode(Notification(2, 7)))
        assert harness.notified() is None and harness.state == "IDLE"


def test_idle_hold_time_doubles_after_failures_but_not_after_refused_connections():
    harness, idle_times = PeerHarness("idle-hold 1s"), []
    for _ in range(5):
        harness.connected().receive(messages.encode(Notification(6, 5)))
        failed_at = harness.now
        harness.now = harness.peer.next_due()
        harness.peer.tick(harness.now)
        harness.drain_actions()
        idle_times.append(harness.now - failed_at)
    assert all(
        0.75 * SECOND * 2**n <= idle_time <= SECOND * 2**n for n, idle_time in enumerate(idle_times)
    )
    harness = PeerHarness("connect-retry 100ms")
    for _ in range(20):
        attempts = len(harness.connects)
        harness.peer.connection_lost(harness.connects[-1], harness.now, "refused")
        harness.drain_actions().wait(SECOND // 10)
        assert len(harness.connects) > attempts


def test_unanswered_connection_attempt_is_replaced_after_the_connect_retry_time():
    harness = PeerHarness().wait(SECOND // 20)
    assert harness.closed == harness.connects[:1] and len(harness.connects) == 2
    harness.peer.connected(harness.connects[0], harness.now)  # after the speaker gave it up
    assert harness.drain_actions().closed.count(harness.connects[0]) == 2 and not harness.sent


def test_delay_open_waits_for_the_peers_open_or_the_timer():
    harness = PeerHarness("delay-open 1s").connected()
    assert not harness.sent
    assert harness.receive_open().kinds() == [OPEN, KEEPALIVE] and harness.state == "OPEN_CONFIRM"
    assert PeerHarness("delay-open 1s").connected().wait(SECOND).kinds() == [OPEN]


@pytest.mark.parametrize(
    "prepare, cease",
    [
        (lambda harness: harness, None),
        (lambda harness: harness.connected(), (6, 2)),
        (lambda harness: harness.connected().receive_open(), (6, 2)),
        (lambda harness: harness.up(), (6, 2)),
        (lambda harness: harness.up().receive(messages.encode(Notification(6, 4))), None),
    ],
)
def test_stop_sends_cease_if_connected_and_never_reconnects(prepare, cease):
    harness = prepare(PeerHarness())
    notified_before = harness.notified()
    harness.peer.stop(harness.now, text="going")
    harness.drain_actions()
    assert harness.state == "IDLE" and harness.notified() == (cease or notified_before)
    attempts = len(harness.connects)
    harness.wait(600 * SECOND)
    assert len(harness.connects) == attempts and harness.peer.next_due() is None


# Connection collisions


def collide(mode="both"):
    """Returns a harness with a connection of each side, and the numbers of ours and of theirs."""
    harness = PeerHarness(f"mode {mode}", more="    listen 127.0.0.1:0\n")
    harness.connected()
    theirs = harness.peer.accepted(harness.now)
    harness.drain_actions()
    assert theirs and harness.kinds(theirs) == [OPEN]
    return harness, harness.connects[-1], theirs


@pytest.mark.parametrize("router_id, stays", [("127.0.0.20", "theirs"), ("126.0.0.1", "ours")])
@pytest.mark.parametrize("first", ["ours", "theirs"])
def test_collision_keeps_the_connection_opened_by_the_higher_identifier(router_id, stays, first):
    harness, ours, theirs = collide()
    links = [ours, theirs] if first == "ours" else [theirs, ours]
    for link in links:
        harness.receive_open(link, router_id=router_id)
    kept_link, closed_link = (ours, theirs) if stays == "ours" else (theirs, ours)
    assert (
        harness.notified(closed_link) == (6, 7)
        and harness.notified(kept_link) is None
        and harness.closed == [closed_link]
    )
    harness.receive_keepalive(kept_link)
    assert harness.peer.established and harness.peer.secondary is None
    harness.wait(5 * SECOND)
    assert harness.peer.established and len(harness.connects) == 1


def test_second_connection_during_an_established_session_is_rejected():
    harness, ours, theirs = collide()
    harness.receive_open(ours).receive_keepalive(ours).receive_open(theirs)
    assert harness.notified(theirs) == (6, 7) and harness.peer.established
    assert harness.peer.established_link.number == ours


def test_second_connection_replaces_the_session_of_a_peer_with_graceful_restart():
    harness, ours, theirs = collide()
    harness.receive_open(
        ours, restart=GracefulRestart(10, families=((1, 1, True),))
    ).receive_keepalive(ours)
    harness.receive_open(
        theirs, restart=GracefulRestart(10, True, families=((1, 1, True),))
    ).receive_keepalive(theirs)
    assert (
        harness.peer.established_link.number == theirs
        and harness.closed == [ours]
        and harness.notified() is None
    )


def test_remaining_connection_continues_after_the_other_is_lost():
    harness, ours, theirs = collide()
    harness.peer.connection_lost(theirs, harness.now)
    assert harness.drain_actions().peer.secondary is None
    assert harness.receive_open(ours).receive_keepalive(ours).peer.established


def test_connection_of_an_active_only_peer_and_a_third_connection_are_rejected():
    assert PeerHarness().peer.accepted(0) == 0  # mode active
    harness, _, _ = collide()
    assert harness.peer.accepted(harness.now) == 0  # a third connection


# Received routes and refreshes


def test_exceeding_max_prefixes_ends_the_session_with_the_limit_in_the_data():
    harness = PeerHarness("max-prefixes 100").up()
    for data in encode_announcements(101, PEER_AS):
        harness.receive(data)
    assert harness.notified() == (6, 1)
    [body] = [body for _, kind, body in harness.sent if kind == NOTIFICATION]
    assert body[2:] == b"\0\1\1" + (100).to_bytes(4, "big") and len(harness.peer.adj_rib_in) == 0


def test_allowed_100_000_prefixes_are_stored_and_dropped_with_the_session():
    harness = PeerHarness("max-prefixes 100000").up()
    for data in encode_announcements(100_000, PEER_AS):
        harness.receive(data)
    assert len(harness.peer.adj_rib_in) == 100_000 and harness.state == "ESTABLISHED"
    harness.peer.connection_lost(harness.connects[-1], harness.now)
    assert len(harness.peer.adj_rib_in) == 0


def test_malformed_routes_are_withdrawn_and_logged_when_their_count_is_a_power_of_two():
    harness = PeerHarness().up()
    malformed = update("10.0.0.0/8", attributes=route(next_hop=b"\0\0\0\0"))
    harness.receive(update("10.0.0.0/8"))
    assert len(harness.peer.adj_rib_in) == 1
    for _ in range(5):
        harness.receive(malformed)
    assert len(harness.peer.adj_rib_in) == 0 and harness.state == "ESTABLISHED"
    assert [each["count"] for each in harness.logs if each["event"] == "bgp_fault"] == [1, 2, 4]


GRACEFUL_RESTART_BLOCK = "    graceful-restart {\n        time 10s\n        stale 20s\n    }\n"


def establish_session_with_received_routes(**more):
    """An established session with two routes, and the peer's graceful restart capability."""
    harness = PeerHarness("max-prefixes 50", more=GRACEFUL_RESTART_BLOCK)
    restart_capability = GracefulRestart(
        5, notification=more.pop("notification", False), families=((1, 1, True),)
    )
    return harness.up(restart=restart_capability).receive(
        update("10.0.0.0/8", "11.0.0.0/8")
    ), restart_capability


def test_routes_of_a_restarting_peer_are_kept_until_its_end_of_rib():
    harness, restart_capability = establish_session_with_received_routes()
    harness.peer.connection_lost(harness.connects[-1], harness.now)
    assert len(harness.drain_actions().peer.adj_rib_in) == 2
    harness.wait(SECOND).up(restart=restart_capability).receive(update("10.0.0.0/8"))
    assert len(harness.peer.adj_rib_in) == 2 and harness.peer.adj_rib_in.stale(1) == 1
    harness.receive(messages.end_of_rib(1))
    assert [str(prefix) for prefix, _ in harness.peer.adj_rib_in.tries[1].walk()] == ["10.0.0.0/8"]


@pytest.mark.parametrize("ends", ["time", "other start", "hard reset", "notification"])
def test_stale_routes_are_dropped_on_expiry_lost_forwarding_state_hard_reset_or_notification(ends):
    """In the case "other start" the peer restarts and has lost its forwarding state."""
    harness, restart_capability = establish_session_with_received_routes(
        notification=ends == "hard reset"
    )
    if ends in ("time", "other start"):
        harness.peer.connection_lost(harness.connects[-1], harness.now)
        harness.drain_actions()
        if ends == "time":
            harness.wait(6 * SECOND)
        else:
            harness.wait(SECOND).up(restart=GracefulRestart(5, families=((1, 1, False),)))
    else:
        harness.receive(messages.encode(Notification(6, 9 if ends == "hard reset" else 4)))
    assert len(harness.peer.adj_rib_in) == 0


def test_enhanced_refresh_is_answered_between_markers_and_removes_routes_not_resent():
    """Type 5 is ROUTE-REFRESH; its subtype 1 marks the beginning and 2 the end (RFC 7313)."""
    harness = PeerHarness().up(enhanced_refresh=True)
    harness.peer.set_routes({Prefix.of("192.0.2.10/32"): route(OUR_AS)})
    harness.drain_actions().sent.clear()
    harness.receive(messages.encode(Refresh(1, 1)))
    assert [(kind, body[2]) for _, kind, body in harness.sent if kind == 5] == [(5, 1), (5, 2)]
    assert harness.kinds() == [5, UPDATE, 5]
    harness.receive(update("10.0.0.0/8", "11.0.0.0/8")).receive(messages.encode(Refresh(1, 1, 1)))
    harness.receive(update("11.0.0.0/8")).receive(messages.encode(Refresh(1, 1, 2)))
    assert [str(prefix) for prefix, _ in harness.peer.adj_rib_in.tries[1].walk()] == ["11.0.0.0/8"]


def test_refresh_requests_are_answered_at_most_once_per_second():
    harness = PeerHarness().up()
    harness.peer.set_routes({Prefix.of("192.0.2.10/32"): route(OUR_AS)})
    harness.drain_actions().sent.clear()
    harness.receive(messages.encode(Refresh(1, 1)) * 500)
    assert harness.kinds() == [UPDATE]
    assert harness.wait(SECOND - 1).kinds().count(UPDATE) == 1
    assert harness.wait(1).kinds().count(UPDATE) == 2
    assert harness.wait(3 * SECOND).kinds().count(UPDATE) == 2


def test_withdrawals_are_sent_before_announcements_and_unchanged_routes_not_at_all():
    harness = PeerHarness().up()
    first, second = Prefix.of("192.0.2.10/32"), Prefix.of("192.0.2.11/32")
    harness.peer.set_routes({first: route(OUR_AS)})
    harness.drain_actions().sent.clear()
    harness.peer.set_routes({second: route(OUR_AS)})
    harness.peer.set_routes({second: route(OUR_AS)})
    bodies = [body for _, _, body in harness.drain_actions().sent]
    assert [
        messages.decode(UPDATE, body, harness.peer.established_link.session.negotiated)
        for body in bodies
    ] == [messages.Update((first,)), messages.Update((), ((route(OUR_AS), (second,)),))]


@pytest.mark.parametrize(
    "ours, theirs, code",
    [("customer", 0, None), ("customer", 3, (2, 11)), ("peer", 4, None), ("provider", None, None)],
)
def test_incompatible_roles_are_rejected(ours, theirs, code):
    assert PeerHarness(f"role {ours}").connected().receive_open(role=theirs).notified() == code


def test_strict_role_rejects_an_open_without_a_role():
    assert PeerHarness("role peer", "strict-role yes").connected().receive_open().notified() == (
        2,
        11,
    )
