"""Connections of proxies: the reader thread's flow control and its resources."""

import socket
from pathlib import Path
from queue import Empty

import pytest

from lilacwalk.event_queue import EventQueue
from lilacwalk.limits import CONNECTION_BYTES, Limits
from lilacwalk.protocols.resp import encode_array
from lilacwalk.server import startup
from tests.conftest import PEER_TIMEOUT_SECONDS, execute_request, wait_until_processed


def test_a_message_truncated_by_a_reset_is_not_executed(harness):
    proxy, other_proxy = harness.connect_proxy(), harness.connect_proxy()
    proxy.sock.sendall(proxy.encode_submit(1, i="00000000000000ff")[:-9])
    proxy.reset()
    words, _, response = execute_request(harness, other_proxy, 1, 1)
    assert words[1] != "00000000000000ff"
    assert response[1] == "done"


def test_a_proxy_that_floods_the_server_is_read_no_further_than_two_unprocessed_chunks(
    make_harness,
):
    """Otherwise the messages of one proxy would fill the memory.

    The reader thread needs a credit for each chunk; the event loop returns it after processing.
    """
    event_loop, (listener, *_) = startup.build(make_harness().process_config, EventQueue())
    listener.start()
    flood = b"".join(encode_array(b"PROBE", b"%d" % tag) for tag in range(1, 500))
    with socket.create_connection(listener.address, PEER_TIMEOUT_SECONDS) as flooding_socket:
        flooding_socket.sendall(flood)
        opened = event_loop.event_queue.get(timeout=PEER_TIMEOUT_SECONDS)
        (connection,) = opened.arguments
        for _ in range(2):
            assert event_loop.event_queue.get(timeout=PEER_TIMEOUT_SECONDS) is connection
        with pytest.raises(Empty):
            event_loop.event_queue.get(timeout=0.1)
        assert connection.chunks.qsize() == 2
        opened()
        assert event_loop.event_queue.get_nowait() is connection  # its input can be processed now
        first_chunk = flood[: event_loop.limits.proxy_read_bytes]
        for _ in range(first_chunk.count(b"PROBE") - 2):
            assert connection.process_input(1) == 1
        with pytest.raises(Empty):
            event_loop.event_queue.get(timeout=0.1)
        connection.process_input(8)  # the first chunk has been processed
        assert event_loop.event_queue.get(timeout=PEER_TIMEOUT_SECONDS) is connection
        with pytest.raises(Empty):
            event_loop.event_queue.get(timeout=0.1)
        assert connection.chunks.qsize() == 1  # and another one is being processed
    listener.close()


def test_connection_threads_share_one_heap_and_retain_no_freed_memory(make_harness):
    """With the default settings of malloc, each thread has its own heap and its own cache."""
    harness = make_harness().spawn()
    harness.accept_executor_link()
    process, bodies = (
        Path(f"/proc/{harness.process.pid}"),
        [b"x" * size for size in range(600, 2000, 100)],
    )

    def send_rejected_requests(proxy):
        for tag, body in enumerate(bodies, 1):
            proxy.submit(tag, "nobody", body)
            assert proxy.receive_response()[:2] == (tag, "error")

    send_rejected_requests(harness.connect_proxy())
    resident_before = int((process / "statm").read_text().split()[1])
    proxies = [harness.connect_proxy() for _ in range(100)]
    for proxy in proxies:
        send_rejected_requests(proxy)
    # Both sizes are in pages of 4 KB.
    size, resident = [int(pages) for pages in (process / "statm").read_text().split()[:2]]
    assert size * 4 < 400_000  # KB; a heap per thread would reserve 64 MB for each
    assert (resident - resident_before) * 4 < 2_500


def memory_bytes(pid, name):
    """An entry of /proc/PID/status: VmHWM is the peak of VmRSS, of which RssAnon is a part."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * 1024
    raise ProcessLookupError(pid)


# Guards against memory exhaustion by messages that never end (review/6): each connection retained
# up to 160 KB of its incomplete message.
@pytest.mark.parametrize("part_size", [1_500, 2_039, 16_384])
def test_messages_that_never_end_take_no_more_memory_than_is_planned_for_their_connections(
    make_harness, part_size
):
    memory_mb = 32
    harness = make_harness()
    harness.process_config["limits"] = {"sockets": 384, "memory_mb": memory_mb}
    harness.spawn()
    harness.accept_executor_link()
    limits = Limits.from_configuration(harness.process_config)
    wait_until_processed(harness.connect_proxy())
    pid = harness.process.pid
    resident_before, anonymous_before = memory_bytes(pid, "VmRSS"), memory_bytes(pid, "RssAnon")
    part = b"$%d\r\n%b\r\n" % (part_size, b"x" * part_size)
    endless = b"*8\r\n" + 7 * part + part[:-100]
    clients = [harness.connect_proxy() for _ in range(limits.connection_high_water - 1)]
    for client in clients:
        client.sock.sendall(endless)
    for client in clients:
        # Each client is closed, as its message does not end in time.
        while client.receive_response() is not None:
            pass
    growth = memory_bytes(pid, "VmHWM") - resident_before
    assert growth <= len(clients) * CONNECTION_BYTES
    assert anonymous_before + growth <= memory_mb * 1_000_000
