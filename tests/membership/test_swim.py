"""Tests of the datagram handling of a single membership state machine."""

from lilacwalk.membership.messages import Health, MessageType, NodeState
from tests.membership.conftest import SECOND, datagram, gossip_update, make_membership


def test_a_datagram_of_an_earlier_process_changes_nothing_and_is_answered_with_the_newer_claim():
    member = make_membership()
    state_reply = datagram(MessageType.STATE_REPLY, updates=(gossip_update(incarnation=6),))
    member.receive(state_reply, 10)
    member.take_datagrams()
    update = gossip_update("n3", health=Health.ALIVE)
    member.receive(datagram(MessageType.PING, incarnation=5, updates=(update,)), 20)
    assert member.view.get("n3") is None
    assert member.counts["earlier_life"] == 1
    (outgoing,) = member.take_datagrams()
    assert outgoing.datagram.message_type is MessageType.ACK
    assert outgoing.datagram.updates[0].incarnation == 6


def test_an_ack_with_an_unknown_sequence_number_ends_no_probe():
    member = make_membership()
    member.receive(datagram(MessageType.STATE_REPLY, updates=(gossip_update(),)), 10)
    member.tick(SECOND)
    member.receive(datagram(MessageType.ACK, sequence=123), SECOND + 1)
    assert len(member.probes.probes) == 1


def test_relayed_pings_and_state_replies_are_bounded():
    member = make_membership()
    updates = (gossip_update(), gossip_update("n3", port=3))
    member.receive(datagram(MessageType.STATE_REPLY, updates=updates), 10)
    for sequence in range(500):
        member.receive(datagram(MessageType.PING_REQ, target="n3", sequence=sequence), 20)
        member.receive(datagram(MessageType.STATE_REQUEST, sequence=sequence), 20)
    assert len(member.probes.relayed_pings) == 64
    sent_types = [outgoing.datagram.message_type for outgoing in member.take_datagrams()]
    assert sent_types.count(MessageType.STATE_REPLY) == 256
    assert member.counts["syncs_not_answered"] == 244


def test_a_state_change_is_published_at_once_and_metrics_only_periodically():
    member = make_membership()
    member.update_metadata(0, load_permille=100)
    version_before = member.metadata.version
    for index in range(100):
        member.update_metadata(index * 100, load_permille=index)
    assert member.metadata.version == version_before
    member.update_metadata(10_000, state=NodeState.UNHEALTHY)
    assert member.metadata.version == version_before + 1
    assert member.metadata.load_permille == 99
