"""When a node is announced and how: the states of a node against simulated time."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacwalk.bgp import messages
from lilacwalk.bgp.announcement_policy import (
    AnnouncementPolicy,
    Level,
    NodeStatus,
    service_attributes,
)
from lilacwalk.bgp.attributes import GRACEFUL_SHUTDOWN
from lilacwalk.bgp.capabilities import Capabilities, NegotiatedCapabilities
from lilacwalk.bgp.config import Damping
from lilacwalk.bgp.damping import Penalty
from lilacwalk.bgp.peer import ActionKind
from lilacwalk.bgp.readiness import Facts, node_status
from tests.bgp.conftest import SECOND, THEM, announce_config, make_speaker_state, peer_block, update

LAST = "    last-resort {\n        med 9000\n        prepend 5\n    }\n"
MS = 10


class PolicyHarness:
    """A node's life: what level held from when to when."""

    def __init__(self, more="", **changed):
        self.now = 1_000_000
        self.machine = AnnouncementPolicy(announce_config(more, **changed), self.now)
        self.levels = []
        self.decide()

    def decide(self):
        self.next_check = self.machine.decide(self.now).next_check
        if not self.levels or self.levels[-1][1] is not self.machine.level:
            self.levels.append((self.now, self.machine.level))

    def set_status(self, state, ms=0):
        self.machine.set_node_status(state, self.now)
        self.decide()
        return self.wait(ms)

    def wait(self, ms):
        end = self.now + ms * MS
        while self.next_check is not None and self.next_check <= end:
            assert self.next_check > self.now  # no time that passes nothing
            self.now = self.next_check
            self.decide()
        self.now = end
        return self

    @property
    def level(self):
        return self.machine.level


def test_a_node_is_announced_once_it_has_been_ready_for_long_enough():
    harness = (
        PolicyHarness()
        .set_status(NodeStatus.COLD, 500)
        .set_status(NodeStatus.WARMING, 500)
        .set_status(NodeStatus.READY, 19)
    )
    assert harness.level is Level.NONE
    assert harness.wait(1).level is Level.NORMAL


@pytest.mark.parametrize("state", [NodeStatus.COLD, NodeStatus.WARMING, NodeStatus.GONE])
def test_a_node_that_starts_anew_or_is_gone_is_withdrawn_at_once(state):
    assert PolicyHarness().set_status(NodeStatus.READY, 100).set_status(state).level is Level.NONE


def test_a_sick_node_is_less_wanted_then_withdrawn_and_well_again_only_after_a_while():
    harness = PolicyHarness().set_status(NodeStatus.READY, 100).set_status(NodeStatus.SICK)
    assert harness.level is Level.LESS_WANTED
    assert harness.set_status(NodeStatus.READY, 49).level is Level.LESS_WANTED
    assert harness.wait(1).level is Level.NORMAL
    assert harness.set_status(NodeStatus.SICK, 99).level is Level.LESS_WANTED
    assert harness.wait(1).level is Level.NONE
    assert harness.set_status(NodeStatus.READY, 49).level is Level.NONE
    assert harness.wait(1).level is Level.NORMAL


def test_a_node_that_swings_between_sick_and_well_is_withdrawn_all_the_same():
    harness = PolicyHarness().set_status(NodeStatus.READY, 100)
    for _ in range(4):
        harness.set_status(NodeStatus.SICK, 20).set_status(NodeStatus.READY, 10)
    assert harness.set_status(NodeStatus.SICK).level is Level.NONE


def test_standing_still_for_a_moment_changes_nothing_where_the_file_gives_it_one():
    harness = PolicyHarness(less_wanted_after="30ms")
    harness.set_status(NodeStatus.READY, 100).set_status(NodeStatus.STANDING_STILL, 29)
    assert harness.level is Level.NORMAL
    assert harness.wait(1).level is Level.LESS_WANTED


def test_the_last_resort_stands_for_a_sick_node_never_for_one_that_stands_still_or_never_was_ready():
    harness = PolicyHarness(LAST).set_status(NodeStatus.READY, 100).set_status(NodeStatus.SICK, 150)
    assert harness.level is Level.LAST_RESORT
    assert harness.set_status(NodeStatus.STANDING_STILL).level is Level.NONE
    assert PolicyHarness(LAST).set_status(NodeStatus.SICK, 500).level is Level.NONE
    assert (
        PolicyHarness(LAST)
        .set_status(NodeStatus.READY, 100)
        .set_status(NodeStatus.SICK, 500)
        .set_status(NodeStatus.READY, 60)
        .level
        is Level.NORMAL
    )


def test_a_drain_is_less_wanted_then_withdrawn_then_the_listener_may_close_and_nothing_comes_back():
    harness = PolicyHarness().set_status(NodeStatus.READY, 100)
    harness.machine.leave(harness.now, None)
    began = harness.now
    harness.decide()
    assert harness.level is Level.LEAVING
    harness.wait(30)
    assert harness.level is Level.NONE and harness.machine.listener_may_close_at == began + 80 * MS
    for state in (NodeStatus.READY, NodeStatus.COLD, NodeStatus.READY, NodeStatus.SICK):
        assert harness.set_status(state, 1000).level is Level.NONE


@pytest.mark.parametrize(
    "more, ms, level", [("", 50, Level.LESS_WANTED), (LAST, 150, Level.LAST_RESORT)]
)
def test_a_sick_node_that_leaves_is_no_more_wanted_for_it(more, ms, level):
    harness = PolicyHarness(more).set_status(NodeStatus.READY, 100).set_status(NodeStatus.SICK, ms)
    harness.machine.leave(harness.now, None)
    harness.decide()
    assert harness.level is level
    assert harness.wait(30).level is Level.NONE


@pytest.mark.parametrize(
    "grace, less_wanted, listener", [(500, 30, 80), (60, 10, 60), (50, 0, 50), (20, 0, 50)]
)
def test_a_short_grace_takes_from_the_time_of_being_less_wanted_never_from_the_spreading(
    grace, less_wanted, listener
):
    harness = PolicyHarness().set_status(NodeStatus.READY, 100)
    began = harness.now
    harness.machine.leave(began, began + grace * MS)
    harness.decide()
    harness.wait(1000)
    gone = next(at for at, level in harness.levels if level is Level.NONE and at >= began)
    assert (gone - began, harness.machine.listener_may_close_at - began) == (
        less_wanted * MS,
        listener * MS,
    )


def test_a_node_that_flaps_every_100_ms_for_a_minute_is_announced_a_handful_of_times_and_then_proves_itself():
    harness = PolicyHarness()
    for _ in range(300):
        harness.set_status(NodeStatus.READY, 100).set_status(NodeStatus.COLD, 100)
    announced = [at for at, level in harness.levels if level is Level.NORMAL]
    assert 1 <= len(announced) <= 4
    assert harness.machine.penalty.suppressed and harness.machine.penalty.value <= 48_000
    since = harness.now
    harness.set_status(NodeStatus.READY, 60_000)
    back = harness.levels[-1]
    assert back[1] is Level.NORMAL and 25 * SECOND <= back[0] - since <= 30 * SECOND  # `longest`
    assert all(level is Level.NONE for at, level in harness.levels if since <= at < back[0])


def test_one_that_flaps_too_fast_to_be_announced_is_held_back_for_it_as_well():
    harness = PolicyHarness(ready_for="200ms")
    for _ in range(20):
        harness.set_status(NodeStatus.READY, 100).set_status(NodeStatus.COLD, 100)
    assert (
        harness.set_status(NodeStatus.READY, 1000).level is Level.NONE
        and "damped" in harness.machine.reason
    )


def test_a_withdrawal_is_never_damped():
    harness = PolicyHarness().set_status(NodeStatus.READY, 100)
    for _ in range(10):
        harness.machine.penalty.add(1000, harness.now)
    assert harness.set_status(NodeStatus.COLD).level is Level.NONE


def test_the_penalty_halves_in_its_half_life_whatever_the_times_it_is_asked_at():
    asked, alone = (Penalty(Damping(half_life=SECOND, longest=10 * SECOND)) for _ in range(2))
    for each in (asked, alone):
        each.add(4000, 0)
    for now in range(0, 2 * SECOND, 777):
        asked.is_suppressed(now)
    assert alone.value_at(SECOND) == 2000 and math.isclose(asked.value_at(2 * SECOND), 1000)
    free = alone.reuse_at()
    assert (
        alone.is_suppressed(free - 1)
        and not alone.is_suppressed(free)
        and asked.is_suppressed(free - 1)
    )


states = st.lists(
    st.tuples(
        st.sampled_from([each for each in NodeStatus if each is not NodeStatus.GONE]),
        st.integers(0, 400),
    ),
    max_size=40,
)


@given(states, st.booleans())
def test_whatever_the_order_of_states_only_a_steady_ready_node_becomes_announced(order, last):
    harness, ready_since, left = PolicyHarness(LAST if last else ""), None, False
    for state, ms in order:
        before = harness.level
        harness.levels = []
        began = harness.now
        if not left:
            ready_since = (
                (ready_since if ready_since is not None else began)
                if state is NodeStatus.READY
                else None
            )
            left = state is NodeStatus.LEAVING
        harness.set_status(state, ms)
        for at, level in harness.levels[:]:
            if level > before:
                assert ready_since is not None and not left, (state, level)
                assert before is not Level.NONE or at >= ready_since + 20 * MS
            before = level
        if left:
            assert (
                harness.now < began + 30 * MS
                or harness.level is Level.NONE
                or state is not NodeStatus.LEAVING
            )
        if state in (NodeStatus.COLD, NodeStatus.WARMING) and not left:
            assert harness.level is Level.NONE


def test_less_wanted_is_said_in_every_way_that_routers_know():
    made = announce_config(peer_block() + LAST)
    service, peer = made.service[0], made.peer[0]
    normal, less, last, leaving = (
        service_attributes(made, service, peer, level)
        for level in (Level.NORMAL, Level.LESS_WANTED, Level.LAST_RESORT, Level.LEAVING)
    )
    assert (normal.path_length, normal.med, normal.communities) == (1, None, ())
    assert (less.path_length, less.med, less.communities) == (3, 77, (GRACEFUL_SHUTDOWN,))
    assert (last.path_length, last.med) == (6, 9000)
    assert (leaving.path_length, leaving.communities) == (1, (GRACEFUL_SHUTDOWN,))
    inside = announce_config(peer_block("127.0.0.1:1790", 65010) + LAST)
    assert [
        service_attributes(inside, inside.service[0], inside.peer[0], level).local_pref
        for level in (Level.NORMAL, Level.LESS_WANTED, Level.LEAVING)
    ] == [100, 0, 0]


READY = Facts(booted=True, warm_at=0, linked=True, healthy=True, leaving=False)


@pytest.mark.parametrize(
    "change, state",
    [
        ({}, NodeStatus.READY),
        ({"booted": False, "linked": False}, NodeStatus.COLD),
        ({"warm_at": 200}, NodeStatus.WARMING),
        ({"warm_at": 50}, NodeStatus.READY),
        ({"linked": False}, NodeStatus.STANDING_STILL),
        ({"healthy": False}, NodeStatus.SICK),
        ({"leaving": True, "booted": False}, NodeStatus.LEAVING),
        ({"failed": True, "leaving": True}, NodeStatus.GONE),
    ],
)
def test_the_nodes_state_is_read_from_what_the_deciding_thread_knows(change, state):
    assert node_status(READY._replace(**change), 100) is state


# Together with peers


class SpeakerHarness:
    """A whole speaker without sockets, beside a peer that answers by hand."""

    def __init__(self, more="", **changed):
        self.now, self.machine = 1_000_000, make_speaker_state(more, **changed)
        self.peer = next(iter(self.machine.peers.values()))

    def up(self):
        if not self.peer.primary.number:
            self.tick(SECOND)
        link, address = self.peer.primary.number, self.peer.peer.address
        self.machine.connected(address, link, self.now)
        for data in (
            messages.encode(
                messages.Open(THEM, 9, "127.0.0.20", Capabilities(families=((1, 1),), as4=THEM))
            ),
            messages.encode(messages.Keepalive()),
        ):
            [(kind, body)] = messages.Stream().feed(data)
            self.machine.message(address, link, kind, body, self.now)
        return self

    def tick(self, time=0):
        end = self.now + time
        while (due := self.machine.next_due()) is not None and due <= end:
            self.now = max(due, self.now)
            self.machine.tick(self.now)
        self.now = end
        self.machine.tick(self.now)
        return self

    def sent(self):
        """What was announced (`+`), withdrawn (`-`) and notified since it was asked last."""
        found = []
        for action in self.machine.take_actions():
            if action.kind is ActionKind.SEND:
                for kind, body in messages.Stream().feed(action.value):
                    if kind == 2:
                        each = messages.decode(2, body, NegotiatedCapabilities(as4=True))
                        found += ["+"] * len(each.announced) + ["-"] * len(each.withdrawn)
                    elif kind == 3:
                        found.append(f"cease/{body[1]}")
        return found


def test_a_session_dropped_in_a_drain_before_its_withdrawal_gets_nothing_when_it_is_back():
    harness = SpeakerHarness().up()
    harness.machine.set_node_status(NodeStatus.READY, harness.now)
    assert harness.tick(100 * MS).sent() == ["+"]
    harness.machine.leave(harness.now, harness.now + 500 * MS)
    harness.machine.connection_lost(
        harness.peer.peer.address, harness.peer.primary.number, harness.now, "reset"
    )
    assert "+" in harness.sent()  # less wanted, before the loss
    harness.tick(40 * MS).up()
    assert harness.tick(5 * SECOND).sent() == []


@pytest.mark.parametrize("wait", [0, 10])
def test_a_session_that_comes_back_within_the_drains_first_part_learns_that_it_is_less_wanted(wait):
    harness = SpeakerHarness(graceful_shutdown="1s").up()
    harness.machine.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    harness.machine.leave(harness.now, None)
    harness.machine.connection_lost(
        harness.peer.peer.address, harness.peer.primary.number, harness.now, "reset"
    )
    harness.tick(500 * MS).sent()
    assert harness.up().sent() == ["+"] and harness.peer.adj_rib_out[
        harness.machine.config.service[0].prefix
    ].communities == (GRACEFUL_SHUTDOWN,)
    assert harness.tick(SECOND).sent() == ["-"]


def test_a_session_dropped_after_the_withdrawal_left_gets_nothing_when_it_is_back():
    harness = SpeakerHarness().up()
    harness.machine.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    harness.machine.leave(harness.now, None)
    assert harness.tick(60 * MS).sent() == ["+", "-"]
    harness.machine.connection_lost(
        harness.peer.peer.address, harness.peer.primary.number, harness.now, "reset"
    )
    harness.tick(SECOND).up()
    assert harness.tick(SECOND).sent() == []


def test_a_process_that_stood_still_gives_nobody_up_for_what_it_could_not_hear():
    harness = SpeakerHarness().up()
    harness.machine.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    harness.now += 60 * SECOND  # a stop and a continue, or a clock that leapt
    harness.machine.tick(harness.now)
    assert harness.peer.established and harness.sent() == []
    harness.machine.message(
        harness.peer.peer.address, harness.peer.primary.number, 4, b"", harness.now
    )
    harness.machine.flushed(harness.peer.peer.address, harness.peer.primary.number, harness.now)
    assert harness.tick(SECOND).peer.established
    assert harness.tick(30 * SECOND).peer.downs == 1  # but in the end for what it did not say


def test_a_new_file_adds_and_removes_services_and_peers_without_ending_the_sessions_that_stay():
    harness = SpeakerHarness().up()
    harness.machine.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    two = "    service 192.0.2.11/32\n" + peer_block() + peer_block("127.0.0.1:1791")
    assert harness.machine.reconfigure(announce_config(two), harness.now) == [
        "peer-127.0.0.1:1791",
        "services",
    ]
    assert harness.sent() == ["+"] and harness.peer.established and len(harness.machine.peers) == 2
    assert harness.machine.reconfigure(announce_config(peer_block()), harness.now) == [
        "peer-127.0.0.1:1791",
        "services",
    ]
    assert harness.sent() == ["-"] and harness.peer.established
    assert harness.machine.reconfigure(
        announce_config(peer_block("127.0.0.1:1790", 65021)), harness.now
    ) == ["peer-127.0.0.1:1790"]
    assert harness.sent() == ["-", "cease/6"]
    assert harness.machine.reconfigure(announce_config(), harness.now) == ["peer-127.0.0.1:1790"]


def test_a_drain_under_way_is_not_undone_by_a_new_file():
    harness = SpeakerHarness().up()
    harness.machine.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    harness.machine.leave(harness.now, None)
    harness.tick(60 * MS).sent()
    harness.machine.reconfigure(
        announce_config("    service 192.0.2.11/32\n" + peer_block()), harness.now
    )
    assert harness.tick(5 * SECOND).sent() == []


def test_the_end_withdraws_all_and_says_why_and_what_was_received_is_shown():
    harness = SpeakerHarness().up()
    harness.machine.set_node_status(NodeStatus.READY, harness.now)
    address, link = harness.peer.peer.address, harness.peer.primary.number
    harness.machine.message(address, link, 2, update("10.0.0.0/8")[19:], harness.now)
    [row] = harness.machine.received_routes(address)
    assert row["refused"] == "no import policy"  # RFC 8212
    harness.tick(100 * MS).sent()
    harness.machine.end(harness.now)
    assert harness.sent() == ["-", "cease/2"] and harness.machine.ended
