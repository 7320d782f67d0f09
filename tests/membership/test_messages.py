"""Tests of the datagram codec: authentication, size limits, decoding of arbitrary bytes."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacwalk.membership.messages import (
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    MAX_INCARNATION,
    MAX_REFUTATION,
    Datagram,
    DatagramError,
    MessageType,
    authentication_tag,
    seal,
    unseal,
)
from tests.membership.conftest import KEY, datagram, gossip_update

OTHER_KEY = bytes(range(1, 33))


def error_kind(data, *keys):
    with pytest.raises(DatagramError) as error:
        unseal(data, keys or (KEY,))
    return error.value.kind


def test_a_sealed_datagram_is_opened_with_any_of_the_keys():
    sent = datagram(
        updates=(gossip_update(), gossip_update("n3", metadata=False)),
        bucket_digests=bytes(256),
        sequence=7,
    )
    assert unseal(seal(sent, KEY), (OTHER_KEY, KEY)) == sent


def test_a_wrong_key_a_flipped_bit_and_every_truncation_are_rejected():
    data = seal(datagram(updates=(gossip_update(),)), KEY)
    assert error_kind(data, OTHER_KEY) == "seal"
    for index in range(len(data)):
        assert error_kind(data[:index]) in ("short", "seal")
        flipped = bytes([*data[:index], data[index] ^ 1, *data[index + 1 :]])
        assert error_kind(flipped) in ("seal", "format")


def test_a_datagram_that_is_too_long_is_rejected_before_its_tag_is_checked_and_is_not_sealed():
    assert error_kind(bytes(65_507)) == "long"
    with pytest.raises(DatagramError):
        seal(datagram(updates=tuple(gossip_update(f"n{index}") for index in range(64))), KEY)


@pytest.mark.parametrize(
    "body", [b"", b"\xc0", b"\x80", b"\x9d" + b"\x01" * 13, b"\xdd\xff\xff\xff\xff", b"\x91" * 600]
)
def test_an_authenticated_body_that_is_not_a_datagram_raises_a_datagram_error(body):
    assert error_kind(bytes([1]) + authentication_tag(body, KEY) + body) in ("shape", "short")


def test_an_unknown_extra_field_is_rejected():
    fields = list(msgspec.to_builtins(datagram()))
    body = msgspec.msgpack.encode([*fields, 1])
    assert error_kind(bytes([1]) + authentication_tag(body, KEY) + body) == "shape"


@pytest.mark.parametrize(
    "fields",
    [
        {"incarnation": MAX_INCARNATION + 1},
        {"refutation": MAX_REFUTATION + 1},
        {"incarnation": -1},
        {"sender": ""},
        {"sender": "x" * 41},
    ],
)
def test_fields_out_of_range_are_rejected(fields):
    body = msgspec.msgpack.encode(datagram(**fields))
    assert error_kind(bytes([1]) + authentication_tag(body, KEY) + body) == "shape"


def datagram_or_error_kind(data):
    try:
        return unseal(data, (KEY,))
    except DatagramError as error:
        return error.kind


@given(st.binary(max_size=200))
def test_any_bytes_decode_to_a_datagram_or_raise_a_datagram_error(data):
    for received_bytes in (data, bytes([1]) + authentication_tag(data, KEY) + data):
        result = datagram_or_error_kind(received_bytes)
        if isinstance(result, str):
            assert result in ("short", "long", "format", "seal", "shape")
        else:
            assert isinstance(result, Datagram)


def test_a_datagram_with_all_bucket_digests_fits_an_ethernet_frame():
    assert MAX_DATAGRAM_BYTES <= 1_400
    assert (
        len(seal(datagram(MessageType.STATE_REQUEST, bucket_digests=bytes(256)), KEY))
        < MAX_DATAGRAM_BYTES - 200 + HEADER_BYTES
    )
