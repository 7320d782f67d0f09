"""The RESP parser."""

import pytest

from lilacwalk.limits import Limits
from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.resp import RespParser, encode_array
from tests.conftest import SETTINGS

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


def test_parts_that_together_exceed_the_message_limit_are_skipped():
    parser = RespParser(8, 64, 1000, 100)
    parts = [b"a" * 64, b"b" * 30, b"c" * 7, b"d" * 6]
    (message,) = parser.feed(encode_array(*parts) + encode_array(parts[0])[:-1])
    assert message == [parts[0], parts[1], None, parts[3]]
    assert list(parser.feed(b"\n")) == [[parts[0]]]


def retained_bytes(parser):
    """The size of all buffers that the parser keeps alive."""
    buffers = {id(part.obj): len(part.obj) for part in parser.parts if part is not None}
    return len(parser.unparsed) + sum(buffers.values())


# Guards against memory exhaustion by incomplete messages: their parts, and the chunks that the
# parts were slices of, were retained up to 145 KB a connection (review/6).
@pytest.mark.parametrize("part_size", [0, 1, 63, 255, 2_039, 2_048, 2_049, 16_384])
@pytest.mark.parametrize("chunk_size", [7, 2_048])
def test_an_incomplete_message_retains_at_most_the_message_limit_and_a_partial_part(
    part_size, chunk_size
):
    limits = Limits.from_configuration({"settings": SETTINGS})
    parser = RespParser(
        limits.max_message_parts,
        limits.max_part_bytes,
        limits.max_skipped_bytes,
        limits.max_message_bytes,
    )
    whole_messages = encode_array(b"PROBE", b"1") * 100
    part = b"$%d\r\n%b\r\n" % (part_size, b"x" * part_size)
    stream = whole_messages + b"*8\r\n" + 7 * part + part[:-1]
    # A partial part comes with its length line and its CR LF.
    bound = limits.max_message_bytes + limits.max_part_bytes + 20
    for position in range(0, len(stream), chunk_size):
        list(parser.feed(stream[position : position + chunk_size]))
        assert retained_bytes(parser) <= bound
    assert parser.has_partial_message
