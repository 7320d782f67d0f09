"""Output of the membership state machine for its host: datagrams to send and events to log."""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.membership.messages import Address, Datagram


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """A datagram to be sent."""

    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """An event that is reported to operators; `at` in tenths of a millisecond.

    `change` is a value of `member.Change`. Events without a change of a member have values of their
    own, such as `stood-still` (a stall of the local process) and `cut` (a partitioned site).
    """

    at: int
    change: str
    member: str  # for a partition: the site
    reason: str
    reported_by: str
