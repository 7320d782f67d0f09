"""Encoding and decoding of messages, and the error code that the RFC assigns to each malformed
input.
"""

import struct
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacwalk.bgp import attributes as codec
from lilacwalk.bgp import messages, prefixes
from lilacwalk.bgp.attributes import SEQUENCE, SET, Attributes, Severity, Type
from lilacwalk.bgp.capabilities import Capabilities, GracefulRestart, NegotiatedCapabilities
from lilacwalk.bgp.errors import BgpError
from lilacwalk.bgp.messages import (
    Keepalive,
    Notification,
    Open,
    Refresh,
    Stream,
    Update,
    decode,
    frame,
)
from lilacwalk.bgp.prefixes import Afi, Prefix
from tests.bgp.conftest import route

NEGOTIATED = NegotiatedCapabilities(families=(Afi.IPV4, Afi.IPV6), as4=True)
asns = st.integers(1, 2**32 - 1)
v4 = st.builds(
    lambda bits, length: Prefix(Afi.IPV4, bits >> (32 - length) << (32 - length), length),
    st.integers(0, 2**32 - 1),
    st.integers(0, 32),
)
v6 = st.builds(
    lambda bits, length: Prefix(Afi.IPV6, bits >> (128 - length) << (128 - length), length),
    st.integers(0, 2**128 - 1),
    st.integers(0, 128),
)
as_number_lists = st.lists(asns, min_size=1, max_size=5).map(tuple)
paths = st.lists(st.tuples(st.sampled_from([SET, SEQUENCE]), as_number_lists), max_size=3).map(
    tuple
)
attribute_sets = st.builds(
    Attributes,
    origin=st.integers(0, 2),
    as_path=paths,
    next_hop=st.just(bytes((127, 0, 0, 9))),
    med=st.none() | st.integers(0, 2**32 - 1),
    atomic=st.booleans(),
    aggregator=st.none() | st.tuples(asns, st.just(b"\1\2\3\4")),
    communities=st.lists(st.integers(0, 2**32 - 1), max_size=4).map(tuple),
    large=st.lists(st.tuples(asns, asns, asns), max_size=2, unique=True).map(tuple),
    only_to_customer=st.none() | asns,
)


def decode_one(data, negotiated=NEGOTIATED, internal=False):
    [(kind, body)] = Stream(messages.MAX_EXTENDED_SIZE).feed(data)
    return decode(kind, body, negotiated, internal)


@given(
    st.builds(
        Open,
        asns,
        st.sampled_from([0, 3, 65535]),
        st.just("10.0.0.1"),
        st.builds(
            Capabilities,
            families=st.just(((1, 1), (2, 1))),
            as4=asns,
            refresh=st.booleans(),
            extended=st.booleans(),
            enhanced_refresh=st.booleans(),
            role=st.none() | st.integers(0, 4),
            restart=st.none()
            | st.builds(
                GracefulRestart,
                st.integers(0, 4095),
                st.booleans(),
                st.booleans(),
                st.just(((1, 1, True),)),
            ),
        ),
    )
)
def test_open_with_capabilities_round_trips(message):
    message = Open(message.capabilities.as4, message.hold, message.router_id, message.capabilities)
    assert decode_one(messages.encode(message)) == message


@given(attribute_sets, st.lists(v4, min_size=1, max_size=40, unique=True))
def test_announcement_round_trips_when_split_at_any_byte(attributes, rows):
    data, found = b"".join(messages.announcements(rows, attributes, True, False)), []
    stream = Stream()
    for at in range(0, len(data), 7):
        found += [decode(kind, body, NEGOTIATED) for kind, body in stream.feed(data[at : at + 7])]
    assert [prefix for each in found for prefix in each.announced] == rows
    assert all(each.reachable[0][0] == attributes for each in found)


@given(attribute_sets, st.lists(v6, min_size=1, max_size=20, unique=True))
def test_ipv6_routes_round_trip_through_mp_reach_and_mp_unreach(attributes, rows):
    attributes = replace(attributes, next_hop=b"\x20\x01" + bytes(13) + b"\1")
    [update] = [decode_one(each) for each in messages.announcements(rows, attributes, True, False)]
    assert update.reachable == ((attributes, tuple(rows)),)
    [gone] = [decode_one(each) for each in messages.withdrawals(rows)]
    assert gone == Update(tuple(rows))


def test_many_prefixes_fill_messages_up_to_the_maximum_size():
    rows = [Prefix(Afi.IPV4, each << 8, 24) for each in range(5000)]
    for max_size in (messages.MAX_SIZE, messages.MAX_EXTENDED_SIZE):
        encoded = list(messages.announcements(rows, route(), True, False, max_size))
        assert (
            all(max_size - 4 <= len(each) <= max_size for each in encoded[:-1])
            and len(encoded[-1]) <= max_size
        )
        assert [prefix for each in encoded for prefix in decode_one(each).announced] == rows


@given(st.binary(max_size=200), st.sampled_from([1, 2, 3, 4, 5, 9]), st.booleans(), st.booleans())
def test_any_message_body_decodes_or_raises_a_bgp_error(body, kind, as4, internal):
    try:
        decode(kind, body, NegotiatedCapabilities(families=(1, 2), as4=as4), internal)
    except BgpError as error:
        assert 1 <= error.code <= 8


@given(st.lists(st.binary(max_size=60), max_size=5), st.booleans())
def test_any_bytes_are_messages_or_a_bgp_error_and_at_most_one_message_is_buffered(
    chunks, with_marker
):
    stream = Stream()
    try:
        for chunk in chunks:
            for kind, body in stream.feed(b"\xff" * 16 * with_marker + chunk):
                decode(kind, body, NEGOTIATED)
    except BgpError:
        pass
    assert len(stream.rest) <= messages.MAX_SIZE + 100


@given(st.binary(max_size=120))
def test_any_attribute_bytes_are_decoded_recorded_as_fault_or_raise_an_update_error(raw):
    body = b"\0\0" + struct.pack("!H", len(raw)) + raw + b"\x08\x0a"
    try:
        update = decode(2, body, NEGOTIATED)
        assert update.reachable or update.withdrawn == (Prefix.of("10.0.0.0/8"),)
    except BgpError as error:
        assert error.code == 3


def encode_attribute(flags, kind, value):
    return codec.encode_attribute(flags, kind, value)


VALID_ATTRIBUTES = {
    Type.ORIGIN: (0x40, b"\0"),
    Type.AS_PATH: (0x40, b"\2\1" + struct.pack("!I", 65020)),
    Type.NEXT_HOP: (0x40, bytes((127, 0, 0, 20))),
}


def update_body(kind=None, flags=0x40, value=b"", drop=False, extra=b"", rows=b"\x08\x0a"):
    """Body of an UPDATE for 10.0.0.0/8, with one attribute replaced or dropped, and extra bytes."""
    parts = (
        {**VALID_ATTRIBUTES} if kind is None or drop else {**VALID_ATTRIBUTES, kind: (flags, value)}
    )
    if drop:
        del parts[kind]
    raw = (
        b"".join(
            encode_attribute(*[parts[each][0], each, parts[each][1]]) for each in sorted(parts)
        )
        + extra
    )
    return b"\0\0" + struct.pack("!H", len(raw)) + raw + rows


PREFIX_10 = (Prefix.of("10.0.0.0/8"),)


@pytest.mark.parametrize(
    "kind, flags, value, severity",
    [
        (Type.ORIGIN, 0x40, b"\3", Severity.WITHDRAW),
        (Type.ORIGIN, 0x40, b"", Severity.WITHDRAW),
        (Type.ORIGIN, 0xC0, b"\0", Severity.WITHDRAW),
        (Type.AS_PATH, 0x40, b"\2\2\0\0\0\1", Severity.WITHDRAW),
        (Type.AS_PATH, 0x40, b"\7\1\0\0\0\1", Severity.WITHDRAW),
        (Type.AS_PATH, 0x40, b"\2\0", Severity.WITHDRAW),
        (Type.AS_PATH, 0x40, b"\2\1\0\0\0\0", Severity.WITHDRAW),  # AS 0
        (Type.NEXT_HOP, 0x40, b"\0\0\0\0", Severity.WITHDRAW),
        (Type.NEXT_HOP, 0x40, b"\1", Severity.WITHDRAW),
        (Type.NEXT_HOP, 0x40, bytes((224, 0, 0, 1)), Severity.WITHDRAW),
        (Type.MED, 0x80, b"\0", Severity.WITHDRAW),
        (Type.MED, 0x40, b"\0\0\0\1", Severity.WITHDRAW),
        (Type.LOCAL_PREF, 0x40, b"\0\0\0\1", Severity.DISCARD),  # received from an external peer
        (Type.ATOMIC_AGGREGATE, 0x40, b"x", Severity.DISCARD),
        (Type.AGGREGATOR, 0xC0, b"x", Severity.DISCARD),
        (Type.AGGREGATOR, 0xC0, bytes(8), Severity.DISCARD),
        (Type.COMMUNITIES, 0xC0, b"123", Severity.WITHDRAW),
        (Type.COMMUNITIES, 0xC0, b"", Severity.WITHDRAW),
        (Type.ORIGINATOR_ID, 0x80, b"1", Severity.DISCARD),
        (Type.CLUSTER_LIST, 0x80, b"1", Severity.DISCARD),
        (Type.EXTENDED_COMMUNITIES, 0xC0, b"1", Severity.WITHDRAW),
        (Type.LARGE_COMMUNITIES, 0xC0, b"1", Severity.WITHDRAW),
        (Type.ONLY_TO_CUSTOMER, 0xC0, b"1", Severity.WITHDRAW),
    ],
)
def test_each_malformed_attribute_has_the_severity_of_rfc_7606(kind, flags, value, severity):
    update = decode(2, update_body(kind, flags, value), NEGOTIATED)
    assert [(each.severity, each.kind) for each in update.faults] == [(severity, kind)]
    if severity is Severity.WITHDRAW:
        assert update.withdrawn == PREFIX_10 and not update.reachable
    else:
        assert update.announced == PREFIX_10 and update.reachable[0][0].local_pref is None


@pytest.mark.parametrize("kind", [Type.ORIGIN, Type.AS_PATH, Type.NEXT_HOP])
def test_route_without_a_mandatory_attribute_is_treated_as_withdrawn(kind):
    assert decode(2, update_body(kind, drop=True), NEGOTIATED).withdrawn == PREFIX_10


def test_first_of_repeated_attributes_is_used():
    update = decode(2, update_body(extra=encode_attribute(0x40, Type.ORIGIN, b"\2")), NEGOTIATED)
    assert update.reachable[0][0].origin == 0 and update.faults[0].severity is Severity.DISCARD


MP_REACH_VALUE = struct.pack("!HBB", 2, 1, 16) + bytes(15) + b"\1\0"


@pytest.mark.parametrize(
    "body, code",
    [
        (
            update_body(extra=encode_attribute(0x40, 99, b"x")),
            (3, 2),
        ),  # unknown attribute flagged as well-known
        (update_body(extra=encode_attribute(0x80, Type.MP_REACH, b"\0\2")), (3, 9)),
        (
            update_body(
                extra=encode_attribute(0x80, Type.MP_REACH, struct.pack("!HBB", 2, 1, 7) + bytes(9))
            ),
            (3, 9),
        ),
        (update_body(extra=encode_attribute(0x80, Type.MP_UNREACH, b"\0")), (3, 9)),
        (update_body(extra=2 * encode_attribute(0x80, Type.MP_UNREACH, b"\0\2\1")), (3, 1)),
        (
            update_body(extra=b"\x80\x0e\xff" + MP_REACH_VALUE),
            (3, 9),
        ),  # MP_REACH_NLRI with a length past the end
        (update_body(rows=b"\x21\0\0\0\0\0"), (3, 10)),
        (update_body(rows=b"\x20\x0a"), (3, 10)),
        (
            update_body(
                extra=encode_attribute(0x80, Type.MP_REACH, MP_REACH_VALUE + b"\x81" + bytes(17))
            ),
            (3, 10),
        ),
        (b"\0\7\x08\x0a", (3, 1)),
        (b"\0\7\x08\x0a\0\0", (3, 1)),
        (b"\0\0\0\7\0\0", (3, 1)),
        (b"\0\0", (1, 2)),
        (
            b"\0\0" + struct.pack("!H", 4) + encode_attribute(0x40, Type.ORIGIN, b"\3"),
            (3, 1),
        ),  # fault in an UPDATE without routes
    ],
)
def test_errors_that_leave_the_affected_routes_unknown_end_the_session(body, code):
    with pytest.raises(BgpError) as error:
        decode(2, body, NEGOTIATED)
    assert (error.value.code, error.value.subcode) == code


def test_truncated_attribute_withdraws_only_the_routes_of_its_update():
    update = decode(2, update_body(extra=b"\x80\x04\xff\0"), NEGOTIATED)
    assert (
        update.withdrawn == PREFIX_10 and update.faults[0].text == "truncated: got 1 of 255 bytes"
    )


def test_unknown_transitive_attributes_are_kept_as_partial_and_others_dropped():
    update = decode(
        2,
        update_body(extra=encode_attribute(0xC0, 200, b"x") + encode_attribute(0x80, 201, b"y")),
        NEGOTIATED,
    )
    assert update.reachable[0][0].others == ((0xE0, 200, b"x"),)


OPEN_FIELDS = struct.pack("!BHHI", 4, 65020, 9, 1)


@pytest.mark.parametrize(
    "body, code",
    [
        (struct.pack("!BHHIB", 3, 65020, 9, 1, 0), (2, 1)),  # version 3
        (struct.pack("!BHHIB", 4, 0, 9, 1, 0), (2, 2)),  # AS 0
        (struct.pack("!BHHIB", 4, 1, 1, 1, 0), (2, 6)),  # hold time of 1 s
        (struct.pack("!BHHIB", 4, 1, 2, 1, 0), (2, 6)),  # hold time of 2 s
        (struct.pack("!BHHIB", 4, 1, 9, 0, 0), (2, 3)),  # router ID 0.0.0.0
        (OPEN_FIELDS + b"\5", (2, 0)),
        (OPEN_FIELDS + b"\3\2\4x", (2, 0)),
        (OPEN_FIELDS + b"\4\1\2xx", (2, 4)),
        (OPEN_FIELDS + b"\4\2\2\1\5", (2, 4)),
        (b"", (1, 2)),
        (OPEN_FIELDS + b"\x08\2\6\x41\4\0\0\0\0", (2, 2)),  # AS 0 in the four-octet AS capability
        (OPEN_FIELDS + b"\x08\2\6\x09\1\0\x09\1\1", (2, 11)),
    ],
)
def test_each_error_in_an_open_has_its_subcode(body, code):
    with pytest.raises(BgpError) as error:
        decode(1, body)
    assert (error.value.code, error.value.subcode) == code


def test_open_with_unknown_capabilities_and_extended_parameters_is_decoded():
    parameters = b"\2\0\6\x7f\4abcd"
    opened = decode(1, OPEN_FIELDS + b"\xff\xff" + struct.pack("!H", len(parameters)) + parameters)
    assert opened.capabilities.unknown == ((127, b"abcd"),)


@pytest.mark.parametrize(
    "received, code, data",
    [
        (b"\xff" * 15 + b"\0\0\x13\4", (1, 1), b""),  # invalid marker
        (b"\xff" * 16 + b"\0\x12\4", (1, 2), b"\0\x12"),  # shorter than a header
        (b"\xff" * 16 + b"\x10\x01\2", (1, 2), b"\x10\x01"),  # 4097 bytes
        (b"\xff" * 16 + b"\0\x14\4\0", (1, 2), b"\0\x14"),  # KEEPALIVE with a body
        (b"\xff" * 16 + b"\0\x13\7", (1, 3), b"\7"),  # unknown type
        (b"\xff" * 16 + b"\0\x16\2" + bytes(3), (1, 2), b"\0\x16"),  # UPDATE too short
    ],
)
def test_each_invalid_header_has_its_subcode_and_data(received, code, data):
    with pytest.raises(BgpError) as error:
        list(Stream().feed(received))
    assert (error.value.code, error.value.subcode, error.value.data) == (*code, data)


def test_path_sent_with_as_trans_to_a_two_octet_peer_is_reconstructed_from_as4_path():
    attributes = route(as_path=((SEQUENCE, (65020, 4_200_000_000, 7)),))
    [data] = messages.announcements([Prefix.of("10.0.0.0/8")], attributes, False, False)
    decoded = decode_one(data, NegotiatedCapabilities(families=(1,)))
    assert decoded.reachable[0][0].as_path == attributes.as_path
    merged = codec.ParsedAttributes(
        {"as_path": ((SEQUENCE, (9, 23456, 7)),), "as4_path": ((SEQUENCE, (70000, 7)),)}
    )
    codec.merge_four_octet_attributes(merged)
    assert merged.values["as_path"] == ((SEQUENCE, (9, 70000, 7)),)


@pytest.mark.parametrize("message", [Keepalive(), Notification(6, 2, b"\4gone"), Refresh(1, 1, 2)])
def test_short_messages_round_trip(message):
    assert decode_one(messages.encode(message)) == message


def test_shutdown_text_is_cut_between_characters_and_unprintable_ones_are_replaced():
    data = messages.shutdown_data("ß" * 200)
    assert data[0] == 254 and Notification(6, 2, data).text == "ß" * 127
    assert Notification(6, 2, b"\5a\nb\xff\0").text == "a.b\ufffd."


@given(st.lists(v4, max_size=20))
def test_prefixes_round_trip_and_bits_beyond_the_length_are_cleared(rows):
    assert prefixes.decode(b"".join(map(prefixes.encode, rows)), Afi.IPV4) == rows
    assert prefixes.decode(b"\x09\x0a\xff", Afi.IPV4) == [Prefix.of("10.128.0.0/9")]


def test_end_of_rib_is_decoded_and_routes_of_families_not_negotiated_are_ignored():
    assert [decode_one(messages.end_of_rib(afi)).end_of_rib for afi in (1, 2)] == [1, 2]
    rows = [Prefix.of("2001:db8::/32")]
    [data] = messages.announcements(rows, route(next_hop=b"\x20" + bytes(14) + b"\1"), True, False)
    assert decode_one(data, NegotiatedCapabilities(families=(1,), as4=True)) == Update()


def test_keepalive_frame_has_marker_length_and_type():
    assert frame(4, b"") == b"\xff" * 16 + b"\0\x13\4"
