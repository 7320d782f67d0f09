"""The RESP parser."""

import pytest

from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.resp import RespParser, encode_array

MESSAGES = [
    [b"SUBMIT", b"7", b"read", b"i=1,m=2", b"a\r\nb*3$"],
    [b"PROBE", b"8", b""],
    [b"x" * 70],  # longer than the maximum of 64 bytes
]


ENCODED = b"".join(encode_array(*parts) for parts in MESSAGES)


def parse(chunks):
    parser = RespParser(8, 64, 1000)
    return [
        [None if part is None else bytes(part) for part in message]
        for chunk in chunks
        for message in parser.feed(chunk)
    ]


@pytest.mark.parametrize("split", range(len(ENCODED) + 1))
def test_a_stream_parses_the_same_wherever_it_is_split_and_a_part_that_is_too_long_is_skipped(
    split,
):
    expected = [MESSAGES[0], MESSAGES[1], [None]]
    assert parse([ENCODED[:split], ENCODED[split:]]) == expected


def test_a_stream_parses_the_same_byte_by_byte():
    assert parse([ENCODED[i : i + 1] for i in range(len(ENCODED))]) == parse([ENCODED])


@pytest.mark.parametrize(
    "malformed",
    [
        b"PING\r\n",
        b"*0\r\n",
        b"*9\r\n",
        b"*-1\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n+ok\r\n",
        b"*1\r\n$1\r\nxx\r\n",
        b"*1\r\n$99999\r\n",
        b"*" + b"1" * 40,
        b"*1\n$1\nx\n",
        b"*\r\n",
        b"*1\r\n$1x\r\n",
    ],
)
def test_broken_framing_raises_a_framing_error(malformed):
    with pytest.raises(FramingError):
        parse([malformed])
