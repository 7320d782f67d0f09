"""Records that are not yet as durable as requested, and their acknowledgements. No I/O."""

from __future__ import annotations

from collections import deque

import msgspec

from lilacwalk.storage.operations import Acknowledgement


class PendingRecord(msgspec.Struct, frozen=True):
    """A record that is not acknowledged yet."""

    sequence: int
    appended_at: int
    token: object


class AcknowledgementQueue:
    """Pending records by sequence number, and acknowledgements that are not reported yet.

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
        """Time at which the oldest pending record was appended; None if no record is pending."""
        return self._pending[0].appended_at if self._pending else None

    def add(self, sequence: int, token: object, now: int) -> None:
        """Adds a record to be acknowledged once it is as durable as requested."""
        self._pending.append(PendingRecord(sequence, now, token))

    def report(self, token: object, *, is_persisted: bool) -> None:
        """Adds the acknowledgement of a record, to be returned by the next `take`."""
        self._acknowledgements.append(Acknowledgement(token, is_persisted))

    def acknowledge(self, up_to: int) -> None:
        """Acknowledges the pending records up to this sequence number as persisted."""
        while self._pending and self._pending[0].sequence <= up_to:
            self.report(self._pending.popleft().token, is_persisted=True)

    def fail_pending(self) -> None:
        """Acknowledges all pending records as not persisted."""
        for record in self._pending:
            self.report(record.token, is_persisted=False)
        self._pending.clear()

    def take(self) -> list[Acknowledgement]:
        """Returns the acknowledgements since the last call."""
        acknowledgements, self._acknowledgements = self._acknowledgements, []
        return acknowledgements
