"""Reads what the edge and its devices prove their identity with: secrets, keys and certificates."""

from __future__ import annotations

import os
import ssl

from lilacwalk.edge.config import Tls
from lilacwalk.edge.tokens import MIN_SECRET_BYTES
from lilacwalk.errors import LilacwalkError


class EdgeError(LilacwalkError):
    """The configuration cannot be used at the start or a reload; the message says why."""


def read_secrets(path: str) -> list[bytes]:
    """Reads a file with one secret per line.

    Raises:
        EdgeError: The file cannot be read, grants any permission to its group or to others, or
            has no secret or an invalid one.
    """
    try:
        with open(path, encoding="ascii") as file:
            lines = [line.strip() for line in file if line.strip() and not line.startswith("#")]
        secrets = [bytes.fromhex(line) for line in lines]
    except (OSError, ValueError) as error:
        raise EdgeError(f"secrets {path}: {getattr(error, 'strerror', None) or error}") from None
    if not secrets or any(len(each) < MIN_SECRET_BYTES for each in secrets):
        raise EdgeError(
            f"secrets {path}: expected one or more lines, each of {2 * MIN_SECRET_BYTES} hexadecimal "
            f"digits or more, got {len(secrets)} lines of {[2 * len(each) for each in secrets]} digits"
        )
    if os.stat(path).st_mode & 0o077:
        raise EdgeError(f"secrets {path}: others than its owner may read it")
    return secrets


def create_tls_context(tls: Tls) -> ssl.SSLContext:
    """Creates the TLS context of the listener.

    Raises:
        EdgeError: A file cannot be read, certificate and key do not match, or the key
            file grants any permission to its group or to others.
    """
    tls_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    tls_context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        tls_context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority is not None:
            tls_context.load_verify_locations(tls.authority)
        if os.stat(tls.key).st_mode & 0o077:
            raise EdgeError(f"key {tls.key}: others than its owner may read it")
    except (OSError, ssl.SSLError) as error:
        raise EdgeError(f"tls {tls.certificate}, {tls.key}: {error.strerror or error}") from None
    if tls.authority is not None:
        tls_context.verify_mode = ssl.CERT_REQUIRED if tls.mutual else ssl.CERT_OPTIONAL
    return tls_context


def common_name(peer: dict | None) -> bytes:
    """Returns the common name of the peer's verified certificate, or empty if there is none."""
    for part in (peer or {}).get("subject", ()):
        for name, text in part:
            if name == "commonName":
                return text.encode()
    return b""
