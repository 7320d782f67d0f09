"""Output of the membership state machine for its host: datagrams to send and events to log."""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.membership.messages import Address, Datagram


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """A datagram to send, and the address of the member that receives it."""

    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """An event that is reported to operators; `at` is in tenths of a millisecond.

    `change` is a value of `member.Change`. Other events have words of their own, such as
    `stood-still` (the local process stalled) and `cut` (a site is partitioned).
    """

    at: int
    change: str
    member: str  # name of the member; for a partition, name of the site
    reason: str
    reported_by: str
