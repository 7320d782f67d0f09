"""Validates source addresses by the Echo option (RFC 9175 section 2).

A source that returns the echo value sent to it can receive at its address. Until then, none of its
requests is processed, and it is not sent more bytes than it sent. Echo values need no state: each
is a timestamp and a MAC of the address and the timestamp with a secret of this process.
"""

from __future__ import annotations

import hmac
from collections import OrderedDict
from collections.abc import Hashable

MAC_BYTES, TIMESTAMP_BYTES = 8, 4  # the timestamp is in seconds of this process's clock
SECOND = 10_000


class AddressValidator:
    """Makes and checks echo values, and remembers validated addresses."""

    def __init__(
        self, secret: bytes, echo_lifetime: int, validation_lifetime: int, max_validated: int
    ) -> None:
        """Creates a validator.

        Args:
            secret: Key of the MACs.
            echo_lifetime: Time for which an echo value is accepted, in tenths of a millisecond.
            validation_lifetime: Time for which an address remains validated, in tenths of a
                millisecond.
            max_validated: Maximum number of validated addresses; beyond it, those validated first
                have to be validated again.
        """
        self.secret, self.echo_lifetime, self.validation_lifetime, self.max_validated = (
            secret,
            echo_lifetime,
            validation_lifetime,
            max_validated,
        )
        self.validated_until: OrderedDict[Hashable, int] = OrderedDict()

    def make_echo(self, address: tuple, now: int) -> bytes:
        """Returns the echo value for an address."""
        timestamp = (now // SECOND & 0xFFFFFFFF).to_bytes(TIMESTAMP_BYTES, "big")
        return timestamp + self._mac(address, timestamp)

    def _mac(self, address: tuple, timestamp: bytes) -> bytes:
        return hmac.digest(self.secret, timestamp + repr(address).encode(), "sha256")[:MAC_BYTES]

    def validate(self, address: tuple, echo: bytes | None, now: int) -> bool:
        """Returns whether the address is validated, by an earlier echo value or by `echo`."""
        valid_until = self.validated_until.get(address)
        if valid_until is not None and now < valid_until:
            return True
        if echo is None or len(echo) != TIMESTAMP_BYTES + MAC_BYTES:
            return False
        timestamp = echo[:TIMESTAMP_BYTES]
        age = (now // SECOND - int.from_bytes(timestamp, "big")) & 0xFFFFFFFF
        if age * SECOND > self.echo_lifetime or not hmac.compare_digest(
            self._mac(address, timestamp), echo[TIMESTAMP_BYTES:]
        ):
            return False
        self.validated_until[address] = now + self.validation_lifetime
        self.validated_until.move_to_end(address)
        while len(self.validated_until) > self.max_validated:
            self.validated_until.popitem(last=False)
        return True
