"""When and how a node is announced, under simulated time."""

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
from tests.bgp.conftest import (
    PEER_AS,
    SECOND,
    announce_config,
    make_speaker_state,
    peer_block,
    update,
)

LAST_RESORT_BLOCK = "    last-resort {\n        med 9000\n        prepend 5\n    }\n"
MS = 10  # in tenths of a millisecond


class PolicyHarness:
    """An announcement policy under simulated time, with the levels that it decided and when."""

    def __init__(self, more="", **changed):
        self.now = 1_000_000
        self.policy = AnnouncementPolicy(announce_config(more, **changed), self.now)
        self.levels = []
        self.decide()

    def decide(self):
        self.next_check = self.policy.decide(self.now).next_check
        if not self.levels or self.levels[-1][1] is not self.policy.level:
            self.levels.append((self.now, self.policy.level))

    def set_status(self, state, ms=0):
        self.policy.set_node_status(state, self.now)
        self.decide()
        return self.wait(ms)

    def wait(self, ms):
        end = self.now + ms * MS
        while self.next_check is not None and self.next_check <= end:
            assert self.next_check > self.now  # the next check must lie in the future
            self.now = self.next_check
            self.decide()
        self.now = end
        return self

    @property
    def level(self):
        return self.policy.level


def test_node_is_announced_after_being_ready_for_the_ready_time():
    harness = (
        PolicyHarness()
        .set_status(NodeStatus.COLD, 500)
        .set_status(NodeStatus.WARMING, 500)
        .set_status(NodeStatus.READY, 19)
    )
    assert harness.level is Level.NONE
    assert harness.wait(1).level is Level.NORMAL


@pytest.mark.parametrize("state", [NodeStatus.COLD, NodeStatus.WARMING, NodeStatus.GONE])
def test_node_that_restarts_or_is_gone_is_withdrawn_at_once(state):
    assert PolicyHarness().set_status(NodeStatus.READY, 100).set_status(state).level is Level.NONE


def test_sick_node_gets_lower_preference_then_is_withdrawn_and_recovers_after_well_after():
    harness = PolicyHarness().set_status(NodeStatus.READY, 100).set_status(NodeStatus.SICK)
    assert harness.level is Level.LESS_WANTED
    assert harness.set_status(NodeStatus.READY, 49).level is Level.LESS_WANTED
    assert harness.wait(1).level is Level.NORMAL
    assert harness.set_status(NodeStatus.SICK, 99).level is Level.LESS_WANTED
    assert harness.wait(1).level is Level.NONE
    assert harness.set_status(NodeStatus.READY, 49).level is Level.NONE
    assert harness.wait(1).level is Level.NORMAL


def test_node_that_alternates_between_sick_and_ready_is_withdrawn():
    harness = PolicyHarness().set_status(NodeStatus.READY, 100)
    for _ in range(4):
        harness.set_status(NodeStatus.SICK, 20).set_status(NodeStatus.READY, 10)
    assert harness.set_status(NodeStatus.SICK).level is Level.NONE


def test_node_standing_still_keeps_its_level_until_less_wanted_after():
    harness = PolicyHarness(less_wanted_after="30ms")
    harness.set_status(NodeStatus.READY, 100).set_status(NodeStatus.STANDING_STILL, 29)
    assert harness.level is Level.NORMAL
    assert harness.wait(1).level is Level.LESS_WANTED


def test_last_resort_applies_to_a_sick_node_unless_it_stands_still_or_was_never_ready():
    harness = (
        PolicyHarness(LAST_RESORT_BLOCK)
        .set_status(NodeStatus.READY, 100)
        .set_status(NodeStatus.SICK, 150)
    )
    assert harness.level is Level.LAST_RESORT
    assert harness.set_status(NodeStatus.STANDING_STILL).level is Level.NONE
    assert PolicyHarness(LAST_RESORT_BLOCK).set_status(NodeStatus.SICK, 500).level is Level.NONE
    assert (
        PolicyHarness(LAST_RESORT_BLOCK)
        .set_status(NodeStatus.READY, 100)
        .set_status(NodeStatus.SICK, 500)
        .set_status(NodeStatus.READY, 60)
        .level
        is Level.NORMAL
    )


def test_drain_lowers_preference_then_withdraws_for_good_and_the_listener_may_close_later():
    harness = PolicyHarness().set_status(NodeStatus.READY, 100)
    harness.policy.leave(harness.now, None)
    drain_started_at = harness.now
    harness.decide()
    assert harness.level is Level.LEAVING
    harness.wait(30)
    assert (
        harness.level is Level.NONE
        and harness.policy.listener_may_close_at == drain_started_at + 80 * MS
    )
    for state in (NodeStatus.READY, NodeStatus.COLD, NodeStatus.READY, NodeStatus.SICK):
        assert harness.set_status(state, 1000).level is Level.NONE


@pytest.mark.parametrize(
    "more, ms, level", [("", 50, Level.LESS_WANTED), (LAST_RESORT_BLOCK, 150, Level.LAST_RESORT)]
)
def test_drain_does_not_raise_the_preference_of_a_sick_node(more, ms, level):
    harness = PolicyHarness(more).set_status(NodeStatus.READY, 100).set_status(NodeStatus.SICK, ms)
    harness.policy.leave(harness.now, None)
    harness.decide()
    assert harness.level is level
    assert harness.wait(30).level is Level.NONE


@pytest.mark.parametrize(
    "grace, phase_ms, listener_ms", [(500, 30, 80), (60, 10, 60), (50, 0, 50), (20, 0, 50)]
)
def test_short_grace_shortens_the_graceful_shutdown_phase_but_not_the_propagation_time(
    grace, phase_ms, listener_ms
):
    harness = PolicyHarness().set_status(NodeStatus.READY, 100)
    drain_started_at = harness.now
    harness.policy.leave(drain_started_at, drain_started_at + grace * MS)
    harness.decide()
    harness.wait(1000)
    withdrawn_at = next(
        at for at, level in harness.levels if level is Level.NONE and at >= drain_started_at
    )
    assert (
        withdrawn_at - drain_started_at,
        harness.policy.listener_may_close_at - drain_started_at,
    ) == (
        phase_ms * MS,
        listener_ms * MS,
    )


def test_node_flapping_for_a_minute_is_announced_at_most_4_times_and_again_once_stable():
    harness = PolicyHarness()
    for _ in range(300):
        harness.set_status(NodeStatus.READY, 100).set_status(NodeStatus.COLD, 100)
    announced_at = [at for at, level in harness.levels if level is Level.NORMAL]
    assert 1 <= len(announced_at) <= 4
    assert harness.policy.penalty.suppressed and harness.policy.penalty.value <= 48_000
    stable_since = harness.now
    harness.set_status(NodeStatus.READY, 60_000)
    last_change = harness.levels[-1]
    assert (
        last_change[1] is Level.NORMAL
        and 25 * SECOND <= last_change[0] - stable_since <= 30 * SECOND
    )  # `longest` limits the suppression to 30 s
    assert all(
        level is Level.NONE for at, level in harness.levels if stable_since <= at < last_change[0]
    )


def test_node_flapping_too_fast_to_be_announced_is_suppressed():
    harness = PolicyHarness(ready_for="200ms")
    for _ in range(20):
        harness.set_status(NodeStatus.READY, 100).set_status(NodeStatus.COLD, 100)
    assert (
        harness.set_status(NodeStatus.READY, 1000).level is Level.NONE
        and "damped" in harness.policy.reason
    )


def test_withdrawal_is_never_damped():
    harness = PolicyHarness().set_status(NodeStatus.READY, 100)
    for _ in range(10):
        harness.policy.penalty.add(1000, harness.now)
    assert harness.set_status(NodeStatus.COLD).level is Level.NONE


def test_penalty_halves_per_half_life_regardless_of_when_it_is_read():
    read_often, read_at_the_end = (
        Penalty(Damping(half_life=SECOND, longest=10 * SECOND)) for _ in range(2)
    )
    for each in (read_often, read_at_the_end):
        each.add(4000, 0)
    for now in range(0, 2 * SECOND, 777):
        read_often.is_suppressed(now)
    assert read_at_the_end.value_at(SECOND) == 2000 and math.isclose(
        read_often.value_at(2 * SECOND), 1000
    )
    reuse_at = read_at_the_end.reuse_at()
    assert (
        read_at_the_end.is_suppressed(reuse_at - 1)
        and not read_at_the_end.is_suppressed(reuse_at)
        and read_often.is_suppressed(reuse_at - 1)
    )


states = st.lists(
    st.tuples(
        st.sampled_from([each for each in NodeStatus if each is not NodeStatus.GONE]),
        st.integers(0, 400),
    ),
    max_size=40,
)


@given(states, st.booleans())
def test_only_a_node_that_stayed_ready_is_announced_in_any_sequence_of_states(
    steps, has_last_resort
):
    harness, ready_since, is_leaving = (
        PolicyHarness(LAST_RESORT_BLOCK if has_last_resort else ""),
        None,
        False,
    )
    for state, ms in steps:
        previous_level = harness.level
        harness.levels = []
        step_started_at = harness.now
        if not is_leaving:
            ready_since = (
                (ready_since if ready_since is not None else step_started_at)
                if state is NodeStatus.READY
                else None
            )
            is_leaving = state is NodeStatus.LEAVING
        harness.set_status(state, ms)
        for at, level in harness.levels[:]:
            if level > previous_level:
                assert ready_since is not None and not is_leaving, (state, level)
                assert previous_level is not Level.NONE or at >= ready_since + 20 * MS
            previous_level = level
        if is_leaving:
            assert (
                harness.now < step_started_at + 30 * MS
                or harness.level is Level.NONE
                or state is not NodeStatus.LEAVING
            )
        if state in (NodeStatus.COLD, NodeStatus.WARMING) and not is_leaving:
            assert harness.level is Level.NONE


def test_lowered_level_sets_med_prepending_community_and_local_preference():
    config = announce_config(peer_block() + LAST_RESORT_BLOCK)
    service, peer = config.service[0], config.peer[0]
    normal, less_wanted, last_resort, leaving = (
        service_attributes(config, service, peer, level)
        for level in (Level.NORMAL, Level.LESS_WANTED, Level.LAST_RESORT, Level.LEAVING)
    )
    assert (normal.path_length, normal.med, normal.communities) == (1, None, ())
    assert (less_wanted.path_length, less_wanted.med, less_wanted.communities) == (
        3,
        77,
        (GRACEFUL_SHUTDOWN,),
    )
    assert (last_resort.path_length, last_resort.med) == (6, 9000)
    assert (leaving.path_length, leaving.communities) == (1, (GRACEFUL_SHUTDOWN,))
    internal_config = announce_config(peer_block("127.0.0.1:1790", 65010) + LAST_RESORT_BLOCK)
    assert [
        service_attributes(
            internal_config, internal_config.service[0], internal_config.peer[0], level
        ).local_pref
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
def test_node_status_follows_from_the_facts(change, state):
    assert node_status(READY._replace(**change), 100) is state


# With peers


class SpeakerHarness:
    """A speaker without sockets, and a peer whose messages the test sends."""

    def __init__(self, more="", **changed):
        self.now, self.state = 1_000_000, make_speaker_state(more, **changed)
        self.peer = next(iter(self.state.peers.values()))

    def up(self):
        """Establishes the session, after waiting for a connection attempt if there is none."""
        if not self.peer.primary.number:
            self.tick(SECOND)
        link, address = self.peer.primary.number, self.peer.peer.address
        self.state.connected(address, link, self.now)
        for data in (
            messages.encode(
                messages.Open(
                    PEER_AS, 9, "127.0.0.20", Capabilities(families=((1, 1),), as4=PEER_AS)
                )
            ),
            messages.encode(messages.Keepalive()),
        ):
            [(kind, body)] = messages.Stream().feed(data)
            self.state.message(address, link, kind, body, self.now)
        return self

    def tick(self, time=0):
        end = self.now + time
        while (due := self.state.next_due()) is not None and due <= end:
            self.now = max(due, self.now)
            self.state.tick(self.now)
        self.now = end
        self.state.tick(self.now)
        return self

    def sent(self):
        """Routes announced (`+`), withdrawn (`-`) and Cease subcodes sent since the last call."""
        sent = []
        for action in self.state.take_actions():
            if action.kind is ActionKind.SEND:
                for kind, body in messages.Stream().feed(action.value):
                    if kind == 2:
                        decoded = messages.decode(2, body, NegotiatedCapabilities(as4=True))
                        sent += ["+"] * len(decoded.announced) + ["-"] * len(decoded.withdrawn)
                    elif kind == 3:
                        sent.append(f"cease/{body[1]}")
        return sent


def test_session_lost_before_the_drains_withdrawal_gets_no_routes_when_reestablished_after_it():
    harness = SpeakerHarness().up()
    harness.state.set_node_status(NodeStatus.READY, harness.now)
    assert harness.tick(100 * MS).sent() == ["+"]
    harness.state.leave(harness.now, harness.now + 500 * MS)
    harness.state.connection_lost(
        harness.peer.peer.address, harness.peer.primary.number, harness.now, "reset"
    )
    assert "+" in harness.sent()  # the announcement at lower preference, sent before the loss
    harness.tick(40 * MS).up()
    assert harness.tick(5 * SECOND).sent() == []


@pytest.mark.parametrize("wait", [0, 10])
def test_session_reestablished_before_the_drains_withdrawal_gets_the_graceful_shutdown_community(
    wait,
):
    harness = SpeakerHarness(graceful_shutdown="1s").up()
    harness.state.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    harness.state.leave(harness.now, None)
    harness.state.connection_lost(
        harness.peer.peer.address, harness.peer.primary.number, harness.now, "reset"
    )
    harness.tick(500 * MS).sent()
    assert harness.up().sent() == ["+"] and harness.peer.adj_rib_out[
        harness.state.config.service[0].prefix
    ].communities == (GRACEFUL_SHUTDOWN,)
    assert harness.tick(SECOND).sent() == ["-"]


def test_session_lost_after_the_drains_withdrawal_gets_no_routes_when_reestablished():
    harness = SpeakerHarness().up()
    harness.state.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    harness.state.leave(harness.now, None)
    assert harness.tick(60 * MS).sent() == ["+", "-"]
    harness.state.connection_lost(
        harness.peer.peer.address, harness.peer.primary.number, harness.now, "reset"
    )
    harness.tick(SECOND).up()
    assert harness.tick(SECOND).sent() == []


def test_stalled_process_does_not_end_sessions_for_messages_that_it_could_not_read():
    """After a stall the hold time has passed although messages of the peer may wait unread."""
    harness = SpeakerHarness().up()
    harness.state.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    harness.now += 60 * SECOND  # as after SIGSTOP and SIGCONT, or a jump of the clock
    harness.state.tick(harness.now)
    assert harness.peer.established and harness.sent() == []
    harness.state.message(
        harness.peer.peer.address, harness.peer.primary.number, 4, b"", harness.now
    )
    harness.state.flushed(harness.peer.peer.address, harness.peer.primary.number, harness.now)
    assert harness.tick(SECOND).peer.established
    assert (
        harness.tick(30 * SECOND).peer.downs == 1
    )  # ends later, because the peer sends nothing more


def test_reload_adds_and_removes_services_and_peers_and_keeps_unchanged_sessions():
    harness = SpeakerHarness().up()
    harness.state.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    two_services_and_peers = (
        "    service 192.0.2.11/32\n" + peer_block() + peer_block("127.0.0.1:1791")
    )
    assert harness.state.reconfigure(announce_config(two_services_and_peers), harness.now) == [
        "peer-127.0.0.1:1791",
        "services",
    ]
    assert harness.sent() == ["+"] and harness.peer.established and len(harness.state.peers) == 2
    assert harness.state.reconfigure(announce_config(peer_block()), harness.now) == [
        "peer-127.0.0.1:1791",
        "services",
    ]
    assert harness.sent() == ["-"] and harness.peer.established
    assert harness.state.reconfigure(
        announce_config(peer_block("127.0.0.1:1790", 65021)), harness.now
    ) == ["peer-127.0.0.1:1790"]
    assert harness.sent() == ["-", "cease/6"]
    assert harness.state.reconfigure(announce_config(), harness.now) == ["peer-127.0.0.1:1790"]


def test_reload_does_not_undo_a_drain():
    harness = SpeakerHarness().up()
    harness.state.set_node_status(NodeStatus.READY, harness.now)
    harness.tick(100 * MS).sent()
    harness.state.leave(harness.now, None)
    harness.tick(60 * MS).sent()
    harness.state.reconfigure(
        announce_config("    service 192.0.2.11/32\n" + peer_block()), harness.now
    )
    assert harness.tick(5 * SECOND).sent() == []


def test_route_without_import_policy_is_refused_and_the_speakers_end_withdraws_and_sends_cease():
    harness = SpeakerHarness().up()
    harness.state.set_node_status(NodeStatus.READY, harness.now)
    address, link = harness.peer.peer.address, harness.peer.primary.number
    harness.state.message(address, link, 2, update("10.0.0.0/8")[19:], harness.now)
    [row] = harness.state.received_routes(address)
    assert row["refused"] == "no import policy"  # RFC 8212
    harness.tick(100 * MS).sent()
    harness.state.end(harness.now)
    assert harness.sent() == ["-", "cease/2"] and harness.state.ended
