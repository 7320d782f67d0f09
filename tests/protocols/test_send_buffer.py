"""Send buffers: peers that do not read, and the writer thread."""

import threading

import pytest

from lilacwalk.protocols.resp import encode_array
from tests.conftest import execute_request


def send_probes(proxy):
    """Sends millions of probes without reading the responses."""
    probes = b"".join(encode_array(b"PROBE", b"%d" % tag) for tag in range(1, 200))
    for _ in range(20_000):
        proxy.sock.sendall(probes)


def test_a_proxy_that_stops_reading_is_disconnected_and_delays_no_other(make_harness):
    harness = make_harness(
        limits={"send_buffer_bytes": 4_096, "socket_buffer_bytes": 4_096}
    ).start()
    harness.executor, stuck_proxy, other_proxy = (
        harness.accept_executor_link(),
        harness.connect_proxy(),
        harness.connect_proxy(),
    )
    with pytest.raises((ConnectionResetError, BrokenPipeError)):  # before all probes have been sent
        send_probes(stuck_proxy)
    assert execute_request(harness, other_proxy, 1, 1)[2][:2] == (1, "done")


def test_a_response_that_fits_into_the_socket_buffer_starts_no_writer_thread(harness):
    proxy = harness.connect_proxy()
    assert execute_request(harness, proxy, 1, 1, b"x" * 4096)[2][:2] == (1, "done")
    assert not {"proxy-writer", "executor-writer"} & {
        thread.name for thread in threading.enumerate()
    }


@pytest.mark.parametrize("name", ["proxy-reader", "proxy-writer"])
def test_a_thread_that_cannot_be_started_closes_only_its_connection(
    make_harness, monkeypatch, name
):
    harness = make_harness(limits={"socket_buffer_bytes": 4_096}).start()
    harness.executor = harness.accept_executor_link()
    start, refused_threads = threading.Thread.start, []

    def refuse_first_thread(thread):
        if thread.name == name and not refused_threads:
            refused_threads.append(thread)
            raise RuntimeError("can't start new thread")  # noqa: TRY003 - the interpreter's message
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", refuse_first_thread)
    proxy = harness.connect_proxy()
    with pytest.raises((ConnectionResetError, BrokenPipeError)):
        send_probes(proxy)
    assert refused_threads
    assert execute_request(harness, harness.connect_proxy(), 1, 1)[2][:2] == (1, "done")
