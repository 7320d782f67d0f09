"""Messages of proxies: a malformed message is rejected, a framing error ends the connection."""

import pytest

from lilacwalk.protocols.resp import encode_array
from tests.conftest import execute_request


@pytest.mark.parametrize(
    "invalid_fields",
    [
        dict(class_name="nobody"),
        dict(t="stranger"),
        dict(i="xyz"),
        dict(i=None),
        dict(m="much"),
        dict(m=None),
        dict(m="0"),
        dict(m="2000"),
        dict(p="first"),
        dict(p="1"),
        dict(d="nan"),
        dict(d="1e99"),
        dict(s="soon"),
        dict(s=None),
        dict(h="-1"),
        dict(f="two"),
        dict(body=b"x" * 2049),
        dict(body=b"x" * 20_000),
    ],
)
def test_an_invalid_request_gets_an_error_with_its_tag_and_the_next_one_is_served(
    harness, invalid_fields
):
    proxy = harness.connect_proxy()
    proxy.submit(3, **invalid_fields)
    assert proxy.receive_response()[:2] == (3, "error")
    assert execute_request(harness, proxy, 4, 1)[2][:2] == (4, "done")


def test_unknown_verbs_and_incomplete_requests_get_errors_and_unknown_withdrawals_no_response(
    harness,
):
    proxy = harness.connect_proxy()
    proxy.send(b"WITHDRAW", b"9")
    proxy.send(b"SING", b"5")
    proxy.send(b"SUBMIT", b"6", b"read")
    assert [proxy.receive_response()[:2] for _ in range(2)] == [(5, "error"), (6, "error")]


@pytest.mark.parametrize(
    "malformed",
    [b"GET / HTTP/1.1\r\n\r\n", encode_array(b"PROBE", b"zero"), encode_array(b"PROBE")],
)
def test_a_framing_error_ends_its_connection_and_no_other(harness, malformed):
    proxy, other_proxy = harness.connect_proxy(), harness.connect_proxy()
    proxy.sock.sendall(malformed)
    assert proxy.receive_response() is None
    assert execute_request(harness, other_proxy, 1, 1)[2][:2] == (1, "done")
