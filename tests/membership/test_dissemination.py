"""Tests of the queue of gossip updates."""

from lilacwalk.membership.dissemination import MAX_QUEUED_UPDATES, GossipQueue
from tests.membership.conftest import gossip_update


def test_changes_precede_metrics_and_are_sent_a_limited_number_of_times_from_a_bounded_queue():
    gossip = GossipQueue()
    gossip.enqueue(gossip_update("metrics"), False)
    gossip.enqueue(gossip_update("change"), True)
    assert [update.name for update in gossip.piggyback(60, 10)] == ["change"]  # only one fits
    transmissions = 0
    while gossip.piggyback(1_000, 10):
        transmissions += 1
    assert 6 <= transmissions <= 9  # λ·ln(11) times, for 10 members
    for index in range(MAX_QUEUED_UPDATES + 5):
        gossip.enqueue(gossip_update(f"x{index}"), True)
    assert len(gossip.items) == MAX_QUEUED_UPDATES
    assert gossip.dropped == 5
