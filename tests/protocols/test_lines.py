"""The parser of CR LF lines, some of which are followed by a body."""

import pytest

from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.lines import LineParser

ENCODED_LINES = (
    b"BOOTED steady 12\r\n"
    b"REAP 1 ab success 9 6\r\n\r\nbody\r\n\r\n"
    b"IOREQ 2 ab 0\r\n\r\n"
    b"DMESG 3 hm\r\n"
)


@pytest.mark.parametrize("split", range(len(ENCODED_LINES) + 1))
def test_lines_with_bodies_parse_the_same_wherever_the_stream_is_split(split):
    parser = LineParser(lambda words: words[0] in ("REAP", "IOREQ"), 64, 100)
    messages = [
        (words[0], body if body is None else bytes(body))
        for chunk in (ENCODED_LINES[:split], ENCODED_LINES[split:])
        for words, body in parser.feed(chunk)
    ]
    assert messages == [("BOOTED", None), ("REAP", b"\r\nbody"), ("IOREQ", b""), ("DMESG", None)]


@pytest.mark.parametrize(
    "malformed",
    [
        b"x" * 100,
        b"REAP 1 ab success 9 x\r\n",
        b"REAP 1 2 3 4 1\r\nxyz\r\n",
        b"REAP 1 2 3 4 101\r\n",
    ],
)
def test_malformed_lines_raise_a_framing_error(malformed):
    with pytest.raises(FramingError):
        LineParser(lambda words: words[0] == "REAP", 64, 100).feed(malformed)


@pytest.mark.parametrize("chunk_size", [1, 7, 64, 4_096])
@pytest.mark.parametrize("text", [b"x" * 6_000, b"\r" * 6_000, b"x\r" * 3_000])
def test_a_line_with_the_truncated_prefix_may_have_any_length(chunk_size, text):
    """Guards against a remark of the executor that ends its link at every attempt."""
    parser = LineParser(lambda words: words[0] == "REAP", 64, 100, truncated_prefix=b"DMESG ")
    stream = b"DMESG 7 " + text + b"\r\nREAP 1 ab success 9 2\r\nok\r\n"
    messages = []
    for position in range(0, len(stream), chunk_size):
        messages += parser.feed(stream[position : position + chunk_size])
        assert len(parser.unparsed) <= 64 + 2
    assert [words[:2] for words, _ in messages] == [["DMESG", "7"], ["REAP", "1"]]
    assert bytes(messages[1][1]) == b"ok"


def test_only_lines_with_the_truncated_prefix_may_be_too_long():
    parser = LineParser(lambda words: words[0] == "REAP", 64, 100, truncated_prefix=b"DMESG ")
    with pytest.raises(FramingError):
        parser.feed(b"DMESGS 7 " + b"x" * 100)
