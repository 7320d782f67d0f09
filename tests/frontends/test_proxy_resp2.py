"""The front end for proxies: tags, the limit of open requests, logs of malformed messages."""

from lilacwalk.log import KeyValueFormatter
from tests.conftest import execute_request


def test_a_request_over_the_open_request_limit_gets_an_error(make_site):
    site = make_site(limits={"max_open_requests": 2}).start()
    site.kernel, proxy = site.link(), site.router()
    proxy.sock.sendall(b"".join(proxy.encode_submit(tag) for tag in (1, 2, 3)))
    assert proxy.receive_response()[:2] == (3, "error")
    for event_number in (1, 2):
        words, _ = site.kernel.receive("SCHED")
        site.kernel.send(f"REAP {event_number} {words[1]} success 1 0", b"")
    assert [proxy.receive_response()[:2] for _ in range(2)] == [(1, "done"), (2, "done")]


def test_a_tag_used_twice_ends_its_connection_before_either_request_is_answered(site):
    proxy, other = site.router(), site.router()
    proxy.submit(1)
    words, _ = site.kernel.receive("SCHED")
    proxy.submit(1)
    assert site.kernel.receive("PREEMPT")[0][1] == words[1]
    site.kernel.send(f"REAP 1 {words[1]} success 1 1", b"x")
    assert proxy.receive_response() is None
    assert execute_request(site, other, 1, 2)[2][:2] == (1, "done")


def test_malformed_messages_are_logged_at_a_decreasing_rate_with_the_peer_address(site, caplog):
    proxy = site.router()
    for tag in (1, 2, 3):
        proxy.send(b"SING", b"%d" % tag)
        assert proxy.receive_response()[:2] == (tag, "error")
    lines = [
        KeyValueFormatter().format(record)
        for record in caplog.records
        if "malformed_message" in record.getMessage()
    ]
    assert len(lines) == 2
    peer = f"127.0.0.1:{proxy.sock.getsockname()[1]}"
    assert lines[1].endswith(
        f"event=malformed_message count=2 peer={peer} "
        "reason=\"unknown verb b'SING', expected SUBMIT, WITHDRAW or PROBE\""
    )
