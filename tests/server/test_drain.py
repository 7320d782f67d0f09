"""Draining: requests received before the end get a response, and the process ends in time."""

import os
import signal
import time

import pytest

from lilacwalk.protocols.resp import encode_array
from tests.conftest import (
    PEER_TIMEOUT_SECONDS,
    finish_execution,
    next_dispatched_id,
    wait_until_processed,
)


def test_a_drain_answers_all_received_requests_and_ends_in_time_despite_further_signals(
    make_harness,
):
    harness = make_harness().spawn()
    executor = harness.accept_executor_link()
    proxy, idle_proxy = harness.connect_proxy(), harness.connect_proxy()
    proxy.submit(1, i="00000000000000aa")
    proxy.submit(2, i="00000000000000bb")
    executor.receive("SCHED"), executor.receive("SCHED")
    started_at = time.monotonic()
    harness.process.send_signal(signal.SIGTERM)
    harness.process.send_signal(signal.SIGTERM)
    # This signal requests a reload of the configuration file, which has not changed.
    harness.process.send_signal(signal.SIGHUP)
    executor.send("REAP 1 00000000000000aa success 1 1", b"a")
    statuses = {
        response[0]: response[1] for response in (proxy.receive_response() for _ in range(3))
    }
    assert statuses[1] == "done"
    assert statuses[0] == "closing"
    assert statuses[2] in ("later", "error")
    assert proxy.receive_response() is None
    assert idle_proxy.receive_response()[:2] == (0, "closing")
    assert harness.process.wait(PEER_TIMEOUT_SECONDS) == 0
    assert time.monotonic() - started_at < 1.5


def test_a_second_start_of_a_drain_does_not_change_its_end_time(make_harness):
    harness = make_harness(stop_ms=60_000).start()
    harness.accept_executor_link()
    proxy, stop_times = harness.connect_proxy(), []
    for tag in (b"1", b"2"):
        harness.event_loop.event_queue.post(harness.event_loop.drain.start)
        proxy.send(b"PROBE", tag)
        while (response := proxy.receive_response())[0] != int(tag):
            pass
        stop_times.append(harness.event_loop.drain.stop_at)
        assert tag == b"1" or response[1] == "sick"
    assert stop_times[0]
    assert stop_times[0] == stop_times[1]


def test_a_drain_ends_once_all_proxies_have_disconnected(make_harness):
    harness = make_harness(stop_ms=60_000).spawn()
    harness.accept_executor_link()
    proxy = harness.connect_proxy()
    proxy.send(b"PROBE", b"1")
    assert proxy.receive_response()[1] == "healthy"
    harness.process.send_signal(signal.SIGTERM)
    assert proxy.receive_response()[:2] == (0, "closing")
    proxy.sock.close()
    assert harness.process.wait(PEER_TIMEOUT_SECONDS) == 0


def test_a_partial_request_during_a_drain_is_answered_when_it_is_complete(
    make_harness,
):
    harness = make_harness(
        stop_ms=10_000, limits={"message_timeout": 100_000, "half_close_linger": 100_000}
    ).start()
    harness.executor, (proxy, idle_proxy) = (
        harness.accept_executor_link(),
        [harness.connect_proxy() for _ in range(2)],
    )
    for peer in (proxy, idle_proxy):
        wait_until_processed(peer)
    request = proxy.encode_submit(2)
    proxy.sock.sendall(encode_array(b"PROBE", b"1") + request[:-40])
    assert proxy.receive_response()[:2] == (1, "healthy")
    harness.event_loop.event_queue.post(harness.event_loop.drain.start)
    for peer in (proxy, idle_proxy):
        assert peer.receive_response()[:2] == (0, "closing")
    assert idle_proxy.receive_response() is None
    proxy.sock.sendall(request[-40:])
    assert proxy.receive_response()[:2] == (2, "later")
    assert proxy.receive_response() is None
    harness.thread.join(PEER_TIMEOUT_SECONDS)
    assert harness.event_loop.has_ended


@pytest.mark.parametrize("sends_log_line", [False, True])
def test_sigterm_before_the_executor_is_up_starts_a_drain(make_harness, sends_log_line):
    harness = make_harness().spawn()
    executor = harness.accept_executor_link(ready=False)
    if sends_log_line:
        executor.send("DMESG 1 starting")  # the executor sends this between OPEN and BOOTED
    proxy = harness.connect_proxy()
    proxy.submit(1)
    assert proxy.receive_response()[:2] == (1, "later")
    harness.process.send_signal(signal.SIGTERM)
    assert proxy.receive_response()[:2] == (0, "closing")
    assert proxy.receive_response() is None
    proxy.sock.close()
    assert harness.process.wait(PEER_TIMEOUT_SECONDS) == 0


def send_probes_forever(proxy):
    while True:
        proxy.sock.sendall(encode_array(b"PROBE", b"1") * 500)


@pytest.mark.parametrize("reads", [True, False])
def test_a_drain_ends_in_time_despite_a_proxy_that_never_closes_or_reads(make_harness, reads):
    harness = make_harness().spawn()
    harness.executor = harness.accept_executor_link()
    proxy, stuck_proxy = harness.connect_proxy(), harness.connect_proxy()
    wait_until_processed(stuck_proxy)
    if not reads:
        stuck_proxy.sock.settimeout(0.5)
        # The unread responses fill the buffers of both sides.
        with pytest.raises((TimeoutError, ConnectionError)):
            send_probes_forever(stuck_proxy)
    proxy.submit(1)
    running_id, started_at = next_dispatched_id(harness), time.monotonic()
    harness.process.send_signal(signal.SIGTERM)
    assert proxy.receive_response()[:2] == (0, "closing")
    finish_execution(harness, 1, running_id, b"x" * 4096)
    assert proxy.receive_response()[1::2] == ("done", b"x" * 4096)
    assert harness.process.wait(PEER_TIMEOUT_SECONDS) == 0
    # stop_ms is 1.5 s; with unread responses, the exit of the process may take longer on a busy
    # machine.
    assert time.monotonic() - started_at < (1.5 if reads else 2.0)


def fill_pipe(descriptor):
    while True:
        os.write(descriptor, b"\n" * 4096)


def test_a_log_that_nobody_reads_delays_neither_responses_nor_the_drain(make_harness):
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with pytest.raises(BlockingIOError):
        fill_pipe(write_end)
    os.set_blocking(write_end, True)  # a blocking pipe is the server's standard error
    harness = make_harness().spawn(write_end)
    os.close(write_end)
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    wait_until_processed(proxy)
    assert os.read(read_end, 1 << 20).strip() == b""  # the pipe has room again
    proxy.submit(1)
    running_id = next_dispatched_id(harness)
    harness.process.send_signal(signal.SIGTERM)
    assert proxy.receive_response()[:2] == (0, "closing")
    finish_execution(harness, 1, running_id)
    assert proxy.receive_response()[:2] == (1, "done")
    proxy.sock.close()
    assert harness.process.wait(PEER_TIMEOUT_SECONDS) == 0
    with open(read_end) as log:
        lines = log.read().splitlines()
    assert "event=log_lines_dropped count=2" in lines[0]
    assert any("event=drain_started" in line for line in lines)
