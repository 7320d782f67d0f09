"""Derives the node's status from facts that the event loop already has."""

from __future__ import annotations

from typing import NamedTuple

from lilacwalk.bgp.announcement_policy import NodeStatus


class Facts(NamedTuple):
    """The facts that determine the node's status."""

    booted: bool  # the executor has been connected at least once since this process started
    # Time at which the warm-up after a cold start ends, in tenths of a millisecond; 0 without one.
    warm_at: int
    linked: bool  # the executor is connected and its pending messages have been read
    healthy: bool  # according to the overload controller
    leaving: bool
    failed: bool = False


def node_status(facts: Facts, now: int) -> NodeStatus:
    """Returns the status that follows from the facts at `now`.

    A lost executor link counts as standing still, as an admitted request could not be started. The
    link is often restored within 20 ms; the announcement policy withdraws the node only after
    `withdraw-after`, by default 2 s.
    """
    if facts.failed:
        return NodeStatus.GONE
    if facts.leaving:
        return NodeStatus.LEAVING
    if not facts.booted:
        return NodeStatus.COLD
    if not facts.linked:
        return NodeStatus.STANDING_STILL
    if now < facts.warm_at:
        return NodeStatus.WARMING
    return NodeStatus.READY if facts.healthy else NodeStatus.SICK
