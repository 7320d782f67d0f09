"""Detects duplicate requests of a device that lost its session, without idempotency keys.

Within one session, two requests with different numbers are always two requests. In different
sessions of a device, requests with equal request class, tenant, subject, idempotency key and body
within the window are duplicates; if the device's numbers outlive its sessions (`has_stable_numbers`), the number is
compared in place of the body. Requests are duplicates only while the earlier one is in flight or
its answer has not been acknowledged: a device that sends the request again after it acknowledged
the answer intends a second one. A false positive loses an intended request; a false negative
repeats an effect, and only where the request class allows it. In doubt, requests are therefore
treated as different.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import xxhash

from lilacwalk.edge.frames import Ask
from lilacwalk.overload.model import Effect

# Values of `Answer.word`. A denied request may be retried; a terminated one has failed or may have
# been executed.
COMPLETED, DENIED, TERMINATED = 0, 1, 2


@dataclass(eq=False, slots=True)
class SeenRequest:
    """A request that later requests are compared with."""

    session: object
    number: int
    effect: Effect
    received_at: int
    # COMPLETED, DENIED or TERMINATED; None while the request is in flight.
    outcome: int | None = None


class DuplicateDetector:
    """A bounded table of request fingerprints, oldest first."""

    def __init__(self, max_entries: int, window: int, seed: int) -> None:
        """Creates an empty table of at most `max_entries` requests.

        A request is stored for `window`, in tenths of a millisecond. `seed` is the seed of the
        fingerprints.
        """
        self.max_entries, self.window, self.seed = max_entries, window, seed & (1 << 64) - 1
        self.entries: OrderedDict[int, SeenRequest] = OrderedDict()
        # Fingerprints by session and request number.
        self.fingerprints: dict[tuple[int, int], int] = {}
        # `duplicates` counts detected duplicates, `evicted_early` the entries evicted within the
        # window, whose duplicates are missed.
        self.duplicates = self.evicted_early = 0

    def fingerprint(self, device: bytes, has_stable_numbers: bool, ask: Ask) -> int:
        """Returns a 128-bit hash that is equal for equal requests.

        The seed differs between processes, so that a collision cannot be constructed.
        """
        digest = xxhash.xxh3_128(seed=self.seed)
        parts = [device, ask.group.encode(), ask.customer.encode(), ask.subject.encode()]
        parts += [str(ask.number).encode()] if has_stable_numbers else [ask.key.encode(), ask.body]
        for part in parts:
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return digest.intdigest()

    def find(
        self, fingerprint: int, session: object, effect: Effect, now: int
    ) -> SeenRequest | None:
        """Returns the earlier request that a request with this fingerprint duplicates, or None.

        `session` and `effect` are those of the later request.
        """
        entry = self.entries.get(fingerprint)
        if entry is None or entry.session is session or now - entry.received_at > self.window:
            return None
        if entry.outcome == DENIED:  # the request was not executed, and the device may retry it
            return None
        if entry.outcome == TERMINATED and effect is Effect.IDEMPOTENT:
            return None  # the request may safely be executed again
        self.duplicates += 1
        return entry

    def add(self, fingerprint: int, session: object, number: int, effect: Effect, now: int) -> None:
        """Adds a request, and evicts the oldest ones beyond the limit."""
        self._remove(fingerprint)
        self.entries[fingerprint] = SeenRequest(session, number, effect, now)
        self.fingerprints[id(session), number] = fingerprint
        while len(self.entries) > self.max_entries:
            oldest = next(iter(self.entries))
            self.evicted_early += now - self.entries[oldest].received_at <= self.window
            self._remove(oldest)

    def set_outcome(self, session: object, number: int, outcome: int) -> None:
        """Records the outcome of a request, if it is in the table."""
        fingerprint = self.fingerprints.get((id(session), number))
        if fingerprint is not None:
            self.entries[fingerprint].outcome = outcome

    def remove(self, session: object, number: int) -> None:
        """Removes a request whose answer has been acknowledged or whose session was removed."""
        fingerprint = self.fingerprints.get((id(session), number))
        if fingerprint is not None:
            self._remove(fingerprint)

    def _remove(self, fingerprint: int) -> None:
        entry = self.entries.pop(fingerprint, None)
        if entry is not None:
            del self.fingerprints[id(entry.session), entry.number]

    def remove_expired(self, now: int) -> None:
        """Removes the requests that are older than the window."""
        while self.entries and now - next(iter(self.entries.values())).received_at > self.window:
            self._remove(next(iter(self.entries)))
