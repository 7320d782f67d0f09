"""From what the deciding thread knows anyway to the node's state. Nothing is asked of the controller for
it."""

from __future__ import annotations

from typing import NamedTuple

from lilacwalk.bgp.announcement_policy import NodeStatus


class Facts(NamedTuple):
    booted: bool  # the kernel has been up in this life
    warm_at: int  # when a cold start is over; 0: it was none
    linked: bool  # commands reach the kernel now, and all it had to say has been read
    healthy: bool  # as the controller says
    leaving: bool
    failed: bool = False


def node_status(facts: Facts, now: int) -> NodeStatus:
    """A lost link counts as standing still: nothing that is admitted could be started. That it is often back
    within 20 ms is for the hysteresis of what is announced, not for this."""
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
