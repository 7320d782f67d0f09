"""State of the drain of a server that is about to stop."""

from __future__ import annotations


class Drain:
    """Owns the two times of a drain, in tenths of a millisecond; both are 0 before a drain."""

    def __init__(self) -> None:
        """Sets both times to 0."""
        self.grace_ends_at = 0  # requests that arrive after this time are rejected
        self.terminate_at = 0  # requests that are still open at this time are terminated

    @property
    def is_active(self) -> bool:
        """Whether a drain has started."""
        return bool(self.terminate_at)

    def begin(self, *, grace_ends_at: int, terminate_at: int) -> None:
        """Starts the drain with these times, in tenths of a millisecond."""
        self.grace_ends_at = grace_ends_at
        self.terminate_at = terminate_at

    def forbids_execution(self, arrived_at: int) -> bool:
        """Whether a request that arrived at this time came after the grace of a drain."""
        return self.is_active and arrived_at > self.grace_ends_at
