"""Tokens that authenticate devices and sessions: a name, an expiry time and a MAC.

The MAC is a truncated HMAC-SHA256 (RFC 2104) and is compared in constant time. Secrets are rotated
with an overlap: tokens are signed with the first secret of the file and verified with all.
"""

from __future__ import annotations

import hmac
import struct
from dataclasses import dataclass

MAC_BYTES = 16  # 128 bits cannot be guessed before a token expires
MIN_SECRET_BYTES = (
    32  # a shorter secret is likely a password, and `credentials.read_secrets` rejects it
)
DEVICE, SESSION = b"d", b"s"  # kinds of tokens


class TokenError(Exception):
    """The token is invalid; the message is the reason.

    The reason is sent to the device if its device token is invalid, not for a session token.

    `unreadable`: the length does not match the format. `unknown`: no secret yields the MAC, as the
    token was signed with another secret, by another node or for another kind, or was guessed.
    `expired`: the expiry time has passed.
    """


@dataclass(frozen=True, slots=True)
class Token:
    """The content of a valid token."""

    kind: bytes
    name: bytes
    expires_at: int  # Unix seconds


class Tokens:
    """Signs and verifies tokens."""

    def __init__(self, secrets: list[bytes], scope_name: bytes) -> None:
        """Creates a signer with these secrets.

        The first one signs, and all verify. `scope_name` is included in the MAC of session tokens,
        so that a session token of another node is rejected.
        """
        if not secrets:
            raise ValueError("at least one secret is required to sign tokens, got none")
        self.secrets, self.scope_name = secrets, scope_name

    def _mac(self, secret: bytes, kind: bytes, body: bytes) -> bytes:
        scope = self.scope_name if kind == SESSION else b""
        return hmac.digest(secret, kind + struct.pack("!H", len(scope)) + scope + body, "sha256")[
            :MAC_BYTES
        ]

    def make(self, kind: bytes, name: bytes, expires_at: int) -> bytes:
        """Returns a token of a kind for a name; `expires_at` is a Unix time in seconds."""
        body = struct.pack("!QB", expires_at, len(name)) + name
        return body + self._mac(self.secrets[0], kind, body)

    def check(self, kind: bytes, raw: bytes, now: int) -> Token:
        """Verifies a token; `now` is the Unix time in seconds.

        All secrets are tried, so that the duration does not reveal which one matched.

        Raises:
            TokenError: The token is invalid.
        """
        if len(raw) < 9 + MAC_BYTES or len(raw) != 9 + raw[8] + MAC_BYTES:
            raise TokenError("unreadable")
        body, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        matches = [
            hmac.compare_digest(self._mac(secret, kind, body), mac) for secret in self.secrets
        ]
        if not any(matches):
            raise TokenError("unknown")
        expires_at = int.from_bytes(body[:8], "big")
        if expires_at <= now:
            raise TokenError("expired")
        return Token(kind, body[9:], expires_at)
