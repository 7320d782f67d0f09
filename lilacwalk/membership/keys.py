"""The file of shared keys that authenticate datagrams."""

from __future__ import annotations

import os

from lilacwalk.membership.errors import KeyFileError

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64  # the limit of BLAKE2b
MAX_KEYS = 4  # more than the two that the replacement of a key needs
MAX_FILE_CHARACTERS = 4_096
ACCESS_BY_OTHERS = 0o077


def read_keys(path: str) -> tuple[bytes, ...]:
    """Returns the keys of a file: the first seals datagrams, any of them opens one.

    Raises:
        KeyFileError: the file cannot be read, is accessible to others, or holds no usable keys.
    """
    keys = []
    for number, line in enumerate(_read_lines(path), 1):
        if line and not line.startswith("#"):
            keys.append(_parse_key(path, number, line))
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeyFileError(path, f"expected one to {MAX_KEYS} keys, got {len(keys)}")
    return tuple(keys)


def _read_lines(path: str) -> list[str]:
    try:
        with open(path, encoding="ascii") as file:
            if os.fstat(file.fileno()).st_mode & ACCESS_BY_OTHERS:
                raise KeyFileError(path, "accessible to other users: expected mode 0600")
            return [line.strip() for line in file.read(MAX_FILE_CHARACTERS).splitlines()]
    except OSError as error:
        raise KeyFileError(path, error.strerror or str(error)) from error
    except UnicodeDecodeError as error:
        raise KeyFileError(
            path, f"expected hexadecimal digits, got a byte outside ASCII at offset {error.start}"
        ) from error


def _parse_key(path: str, number: int, line: str) -> bytes:
    try:
        key = bytes.fromhex(line)
    except ValueError as error:
        raise KeyFileError(
            path,
            f"expected an even number of hexadecimal digits, got {len(line)} characters",
            number,
        ) from error
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        expected = f"expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"
        raise KeyFileError(path, f"{expected}, got {len(key)}", number)
    return key
