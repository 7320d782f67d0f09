"""Records that are not yet as durable as configured, and their acknowledgements. No I/O."""

from __future__ import annotations

from collections import deque

import msgspec

from lilacwalk.storage.operations import Acknowledgement


class PendingRecord(msgspec.Struct, frozen=True):
    """A record that is not acknowledged yet.

    Attributes:
        sequence: sequence number of the record in the log.
        appended_at: elapsed time in tenths of a ms.
        token: the writer's identifier of the record, returned in its acknowledgement.
    """

    sequence: int
    appended_at: int
    token: object


class AcknowledgementQueue:
    """Pending records in log order, and acknowledgements that `take` has not returned yet.

    Owned by the journal.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._pending: deque[PendingRecord] = deque()
        self._acknowledgements: list[Acknowledgement] = []

    def __len__(self) -> int:
        """Returns the number of pending records."""
        return len(self._pending)

    @property
    def oldest_at(self) -> int | None:
        """Time at which the oldest pending record was appended; None if no record is pending.

        The time is elapsed time of the store's monotonic clock, in tenths of a ms.
        """
        return self._pending[0].appended_at if self._pending else None

    def add(self, sequence: int, token: object, now: int) -> None:
        """Adds a pending record that was appended at the elapsed time `now`."""
        self._pending.append(PendingRecord(sequence, now, token))

    def add_acknowledgement(self, token: object, *, is_persisted: bool) -> None:
        """Adds the acknowledgement of a record, which the next `take` returns."""
        self._acknowledgements.append(Acknowledgement(token, is_persisted))

    def acknowledge(self, last_sequence: int) -> None:
        """Acknowledges the pending records as persisted, up to and including `last_sequence`."""
        while self._pending and self._pending[0].sequence <= last_sequence:
            self.add_acknowledgement(self._pending.popleft().token, is_persisted=True)

    def fail_pending(self) -> None:
        """Acknowledges all pending records as not persisted."""
        for record in self._pending:
            self.add_acknowledgement(record.token, is_persisted=False)
        self._pending.clear()

    def take(self) -> list[Acknowledgement]:
        """Returns the acknowledgements that were added since the last call."""
        acknowledgements, self._acknowledgements = self._acknowledgements, []
        return acknowledgements
