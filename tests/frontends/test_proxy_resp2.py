"""The front end for proxies: tags, the limit of open requests, logs of malformed messages."""

from lilacwalk.log import KeyValueFormatter
from tests.conftest import execute_request


def test_a_request_over_the_open_request_limit_gets_an_error(make_harness):
    harness = make_harness(limits={"max_open_requests": 2}).start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    proxy.sock.sendall(b"".join(proxy.encode_submit(tag) for tag in (1, 2, 3)))
    assert proxy.receive_response()[:2] == (3, "error")
    for event_number in (1, 2):
        words, _ = harness.executor.receive("SCHED")
        harness.executor.send(f"REAP {event_number} {words[1]} success 1 0", b"")
    assert [proxy.receive_response()[:2] for _ in range(2)] == [(1, "done"), (2, "done")]


def test_a_tag_used_twice_ends_its_connection_before_either_request_is_answered(harness):
    proxy, other_proxy = harness.connect_proxy(), harness.connect_proxy()
    proxy.submit(1)
    words, _ = harness.executor.receive("SCHED")
    proxy.submit(1)
    assert harness.executor.receive("PREEMPT")[0][1] == words[1]
    harness.executor.send(f"REAP 1 {words[1]} success 1 1", b"x")
    assert proxy.receive_response() is None
    assert execute_request(harness, other_proxy, 1, 2)[2][:2] == (1, "done")


def test_malformed_messages_are_logged_at_a_decreasing_rate_with_the_peer_address(harness, caplog):
    proxy = harness.connect_proxy()
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
