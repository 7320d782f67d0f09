"""A substitute for the library of this name: as much of RFC 8949 as the device link uses.

Used only where the library is not installed. Encodes and decodes definite lengths, without tags and
floats; the device link admits nothing else.
"""

from __future__ import annotations

SIMPLE = {20: False, 21: True, 22: None}


class CBORError(Exception):
    """The data cannot be decoded."""


def _head(major: int, value: int) -> bytes:
    if value < 24:
        return bytes((major << 5 | value,))
    for additional, size in ((24, 1), (25, 2), (26, 4), (27, 8)):
        if value < 1 << 8 * size:
            return bytes((major << 5 | additional,)) + value.to_bytes(size, "big")
    raise ValueError(value)


def dumps(value: object) -> bytes:
    """Encodes a value."""
    match value:
        case True | False | None:
            number = next(key for key, each in SIMPLE.items() if each is value)
            return bytes((7 << 5 | number,))
        case int():
            return _head(0, value) if value >= 0 else _head(1, -1 - value)
        case bytes():
            return _head(2, len(value)) + value
        case str():
            data = value.encode()
            return _head(3, len(data)) + data
        case list() | tuple():
            return _head(4, len(value)) + b"".join(map(dumps, value))
        case dict():
            pairs = (dumps(key) + dumps(each) for key, each in value.items())
            return _head(5, len(value)) + b"".join(pairs)
    raise ValueError(value)


def _load(data: bytes, at: int) -> tuple[object, int]:
    major, additional = data[at] >> 5, data[at] & 31
    at += 1
    number = additional
    if 24 <= additional < 28:
        size = 1 << (additional - 24)
        number = int.from_bytes(data[at : at + size], "big")
        at += size
    if major == 7:
        return SIMPLE[additional], at
    if major in (0, 1):
        return (number if major == 0 else -1 - number), at
    if major in (2, 3):
        part = data[at : at + number]
        return (bytes(part) if major == 2 else part.decode()), at + number
    items = []
    for _ in range(number * (major - 3)):
        item, at = _load(data, at)
        items.append(item)
    if major == 4:
        return items, at
    return dict(zip(items[::2], items[1::2], strict=True)), at


def loads(data: bytes) -> object:
    """Decodes one value."""
    try:
        return _load(data, 0)[0]
    except (IndexError, KeyError, TypeError) as error:
        raise CBORError(str(error)) from None
