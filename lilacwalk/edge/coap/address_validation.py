"""Whose address is whose (RFC 9175 section 2): a source that has echoed a mark of ours is there; until then
nothing is done for it, and nothing larger than what it sent goes to it. The mark needs no memory: it is made
from the address and a time by a secret of this process."""

from __future__ import annotations

import hmac
from collections import OrderedDict
from collections.abc import Hashable

MAC_BYTES, TIMESTAMP_BYTES = 8, 4  # bytes; the stamp in seconds of this process's clock
SECOND = 10_000


class AddressValidator:
    def __init__(
        self, secret: bytes, echo_lifetime: int, validation_lifetime: int, max_validated: int
    ) -> None:
        """A mark is good for `fresh`, an address proven for `holds` (tenths of a ms); `most` are remembered,
        the others are asked again."""
        self.secret, self.echo_lifetime, self.validation_lifetime, self.max_validated = (
            secret,
            echo_lifetime,
            validation_lifetime,
            max_validated,
        )
        self.validated_until: OrderedDict[Hashable, int] = OrderedDict()

    def make_echo(self, address: tuple, now: int) -> bytes:
        timestamp = (now // SECOND & 0xFFFFFFFF).to_bytes(TIMESTAMP_BYTES, "big")
        return timestamp + self._mac(address, timestamp)

    def _mac(self, address: tuple, timestamp: bytes) -> bytes:
        return hmac.digest(self.secret, timestamp + repr(address).encode(), "sha256")[:MAC_BYTES]

    def validate(self, address: tuple, echo: bytes | None, now: int) -> bool:
        """Whether this source is where it says; an echo that is good proves it."""
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
