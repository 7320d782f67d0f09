"""The message layer of CoAP without its socket (RFC 7252 section 4).

A duplicate gets the reply to the first copy. Confirmable messages are retransmitted until they are
acknowledged, and at most one per endpoint is outstanding.

The retransmission timeout follows CoCoA: strong estimates come from messages that were sent once,
weak ones from retransmitted messages, whose acknowledgement may belong to any copy. Both are
combined with weights. An estimate without new samples moves back towards the default.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Hashable
from dataclasses import dataclass, field

SECOND = 10_000  # all times are in tenths of a ms
ACK_TIMEOUT, ACK_RANDOM, MAX_RETRANSMIT = 2 * SECOND, 1.5, 4  # RFC 7252 section 4.8
EXCHANGE_LIFETIME, NON_LIFETIME = 247 * SECOND, 145 * SECOND  # section 4.8.2
MIN_TIMEOUT, MAX_TIMEOUT = SECOND // 10, 32 * SECOND
STRONG_WEIGHT, WEAK_WEIGHT = 0.5, 0.25  # CoCoA's weights of a new estimate in the timeout
# CoCoA: after this time without a sample, a timeout moves back towards the default.
ESTIMATE_LIFETIME = 16 * SECOND


class RttEstimate:
    """One of CoCoA's two estimators (RFC 6298).

    The deviation factor is 4 for the strong and 1 for the weak estimator.
    """

    __slots__ = ("deviation", "deviation_factor", "round_trip")

    def __init__(self, deviation_factor: int) -> None:
        self.deviation_factor = deviation_factor
        self.round_trip, self.deviation = 0.0, 0.0

    def add(self, time: int) -> float:
        """Adds a sample, and returns the estimated timeout."""
        if not self.round_trip:
            self.round_trip, self.deviation = float(time), time / 2
        else:
            self.deviation += 0.25 * (abs(self.round_trip - time) - self.deviation)
            self.round_trip += 0.125 * (time - self.round_trip)
        return self.round_trip + self.deviation_factor * self.deviation


class RetransmissionTimeout:
    """The retransmission timeout of one endpoint."""

    __slots__ = ("strong", "timeout", "updated_at", "weak")

    def __init__(self, now: int) -> None:
        self.strong, self.weak = RttEstimate(4), RttEstimate(1)
        self.timeout, self.updated_at = float(ACK_TIMEOUT), now

    def record_acknowledgement(self, time: int, transmissions: int, now: int) -> None:
        """Records the time between a message's first transmission and its acknowledgement.

        Samples with more than three transmissions are ignored, since it is unknown which copy was
        acknowledged.
        """
        if transmissions > 3:
            return
        estimate, weight = (
            (self.strong, STRONG_WEIGHT) if transmissions == 1 else (self.weak, WEAK_WEIGHT)
        )
        self.timeout += weight * (estimate.add(max(1, time)) - self.timeout)
        self.timeout = min(MAX_TIMEOUT, max(MIN_TIMEOUT, self.timeout))
        self.updated_at = now

    def initial(self, now: int, rng: random.Random) -> int:
        """Returns the randomized timeout of a message's first transmission.

        An estimate older than `ESTIMATE_LIFETIME` first moves halfway to the default.
        """
        if now - self.updated_at > ESTIMATE_LIFETIME:
            self.timeout = (self.timeout + ACK_TIMEOUT) / 2
            self.updated_at = now
        return int(self.timeout * rng.uniform(1.0, ACK_RANDOM))

    @staticmethod
    def backoff(timeout: int) -> float:
        """Returns CoCoA's variable back-off factor, by which a retransmission extends the timeout.

        Short timeouts grow faster, long ones slower.
        """
        return 3.0 if timeout < SECOND else 1.5 if timeout > 3 * SECOND else 2.0


@dataclass(eq=False, slots=True)
class OutgoingMessage:
    """A confirmable message that awaits its acknowledgement."""

    mid: int  # message id
    data: bytes
    context: object  # returned to the caller when the message is acknowledged or given up
    transmissions: int = 0
    first_sent_at: int = 0
    timeout: int = 0  # time until the next retransmission
    due: int = 0  # time of the next retransmission
    expires_at: int = 0  # time from which nobody waits for the message any more


@dataclass(eq=False, slots=True)
class Endpoint:
    """State of a remote endpoint."""

    timeout: RetransmissionTimeout
    last_mid: int  # the last message id that was assigned
    in_flight: OutgoingMessage | None = None
    queue: deque = field(default_factory=deque)  # messages that wait while one is in flight
    last_used_at: int = 0


class Reliability:
    """State of the message layer for all endpoints."""

    def __init__(
        self, max_endpoints: int, max_messages: int, max_expired: int, rng: random.Random
    ) -> None:
        """Creates the state.

        Args:
            max_endpoints: Maximum number of endpoints with state.
            max_messages: Maximum number of message ids remembered for duplicate detection;
                `evicted_early` counts those evicted within `NON_LIFETIME`.
            max_expired: Maximum number of expired messages that wait for one endpoint;
                `dropped` counts those dropped beyond it. The caller limits the others.
            rng: Source of random message ids and timeouts.
        """
        self.max_endpoints, self.max_messages, self.max_expired, self.rng = (
            max_endpoints,
            max_messages,
            max_expired,
            rng,
        )
        self.endpoints: OrderedDict[Hashable, Endpoint] = OrderedDict()
        # Time of receipt and reply of each message, by address and message id, oldest first.
        self.seen: OrderedDict[tuple[Hashable, int], tuple[int, bytes | None]] = OrderedDict()
        self.evicted_early = 0
        self.dropped = 0

    def endpoint(self, address: Hashable, now: int) -> Endpoint:
        """Returns the state of an endpoint, created if there is none.

        Beyond the limit, endpoints without a message in flight are evicted, the one unused for
        longest first.
        """
        endpoint = self.endpoints.get(address)
        if endpoint is None:
            endpoint = self.endpoints[address] = Endpoint(
                RetransmissionTimeout(now), self.rng.getrandbits(16)
            )
            while len(self.endpoints) > self.max_endpoints:
                idle = next(
                    (
                        key
                        for key, each in self.endpoints.items()
                        if each.in_flight is None and key != address
                    ),
                    None,
                )
                if idle is None:
                    break
                del self.endpoints[idle]
        self.endpoints.move_to_end(address)
        endpoint.last_used_at = now
        return endpoint

    def next_message_id(self, address: Hashable, now: int) -> int:
        """Returns a new message id for an endpoint."""
        endpoint = self.endpoint(address, now)
        endpoint.last_mid = endpoint.last_mid + 1 & 0xFFFF
        return endpoint.last_mid

    # Incoming messages

    def check_duplicate(
        self, address: Hashable, mid: int, confirmable: bool, now: int
    ) -> tuple[bool, bytes | None]:
        """Records a message; returns whether it is a duplicate, and the reply to the first copy.

        A message is a duplicate if one with the same id was received from the same address less
        than `EXCHANGE_LIFETIME` ago, or `NON_LIFETIME` if it is non-confirmable. The reply is None
        if none has been sent.
        """
        lifetime = EXCHANGE_LIFETIME if confirmable else NON_LIFETIME
        row = self.seen.get((address, mid))
        if row is not None and now - row[0] < lifetime:
            return True, row[1]
        self.seen.pop((address, mid), None)
        self.seen[address, mid] = now, None
        while len(self.seen) > self.max_messages:
            (_, (received_at, _)) = self.seen.popitem(last=False)
            self.evicted_early += now - received_at < NON_LIFETIME
        return False, None

    def record_reply(self, address: Hashable, mid: int, data: bytes) -> None:
        """Records the reply to a received message, to be sent again for its duplicates."""
        row = self.seen.get((address, mid))
        if row is not None:
            self.seen[address, mid] = row[0], data

    # Outgoing messages

    def send(
        self,
        address: Hashable,
        mid: int,
        data: bytes,
        context: object,
        now: int,
        expires_at: int = 0,
    ) -> bytes | None:
        """Starts a confirmable message; returns the bytes to send now, or None if it has to wait.

        A message waits while another one to the same endpoint is outstanding (NSTART is 1). It is
        not dropped before `expires_at`. `context` identifies the message to the caller.
        """
        endpoint = self.endpoint(address, now)
        message = OutgoingMessage(mid, data, context, expires_at=expires_at)
        if endpoint.in_flight is not None:
            endpoint.queue.append(message)
            self._drop_expired(endpoint, now)
            return None
        return self._start(endpoint, message, now)

    def drop_expired(self, address: Hashable, now: int) -> None:
        """Drops the oldest expired messages that wait for an endpoint, beyond their limit."""
        endpoint = self.endpoints.get(address)
        if endpoint is not None:
            self._drop_expired(endpoint, now)

    def _drop_expired(self, endpoint: Endpoint, now: int) -> None:
        expired = [each for each in endpoint.queue if each.expires_at <= now]
        for message in expired[: max(0, len(expired) - self.max_expired)]:
            endpoint.queue.remove(message)
            self.dropped += 1

    def _start(self, endpoint: Endpoint, message: OutgoingMessage, now: int) -> bytes:
        """Makes a message the one in flight, and returns its bytes."""
        endpoint.in_flight = message
        message.transmissions, message.first_sent_at = 1, now
        message.timeout = endpoint.timeout.initial(now, self.rng)
        message.due = now + message.timeout
        return message.data

    def acknowledge(
        self, address: Hashable, mid: int, now: int
    ) -> tuple[object | None, bytes | None]:
        """Handles a received ACK or RST.

        Returns the context of the acknowledged message, or None if none is outstanding with this
        id, and the bytes of the next message to send, if any.
        """
        endpoint = self.endpoints.get(address)
        if endpoint is None or endpoint.in_flight is None or endpoint.in_flight.mid != mid:
            return None, None
        message = endpoint.in_flight
        endpoint.timeout.record_acknowledgement(
            now - message.first_sent_at, message.transmissions, now
        )
        endpoint.in_flight = None
        return message.context, self._send_next(endpoint, now)

    def _send_next(self, endpoint: Endpoint, now: int) -> bytes | None:
        """Returns the bytes of the next queued message, if any, which is then in flight."""
        return self._start(endpoint, endpoint.queue.popleft(), now) if endpoint.queue else None

    def due(self) -> int | None:
        """Returns the time of the next retransmission, or None."""
        return min(
            (each.in_flight.due for each in self.endpoints.values() if each.in_flight is not None),
            default=None,
        )

    def tick(self, now: int) -> list[tuple[Hashable, bytes | None, object | None]]:
        """Handles due retransmissions; returns rows (address, data to send, context).

        If a message is still not acknowledged after all retransmissions, it is given up: the
        context is that message's, and the data is the next message or None. Otherwise the data is
        the message to retransmit, and the context is None.
        """
        rows: list[tuple[Hashable, bytes | None, object | None]] = []
        for address, endpoint in list(self.endpoints.items()):
            message = endpoint.in_flight
            if message is None or message.due > now:
                continue
            if message.transmissions > MAX_RETRANSMIT:
                endpoint.in_flight = None
                rows.append((address, self._send_next(endpoint, now), message.context))
                continue
            message.transmissions += 1
            message.timeout = int(
                min(MAX_TIMEOUT, message.timeout * RetransmissionTimeout.backoff(message.timeout))
            )
            message.due = now + message.timeout
            rows.append((address, message.data, None))
        return rows
