"""Send buffers: peers that do not read, and the writer thread."""

import copy
import threading

import pytest

from lilacwalk.protocols.resp import encode_array
from tests.conftest import (
    SETTINGS,
    execute_request,
    finish_execution,
    next_dispatched_id,
    wait_until_processed,
)

MAX_OPEN_REQUESTS = 32  # of one connection, as defined by the protocol
MAX_RESULT = b"x" * 4096


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


@pytest.fixture
def small_harness(make_harness):
    """A server with the least memory and descriptors, whose executor has a core per request."""
    settings = copy.deepcopy(SETTINGS)
    settings["family_info"]["cpus"] = MAX_OPEN_REQUESTS
    harness = make_harness(settings=settings)
    harness.process_config["limits"] = {"memory_mb": 32, "sockets": 384}
    harness.start()
    harness.executor = harness.accept_executor_link()
    return harness


def finish_together(harness, proxy, count):
    """Has `count` requests of the proxy end in one iteration, each with the largest result."""
    request_ids = []
    for tag in range(1, count + 1):
        proxy.submit(tag)
        request_ids.append(next_dispatched_id(harness))
    harness.event_loop.event_queue.process_in_one_iteration(
        *(
            lambda number=number, request_id=request_id: finish_execution(
                harness, number, request_id, MAX_RESULT
            )
            for number, request_id in enumerate(request_ids, 1)
        )
    )


@pytest.mark.parametrize("count", [5, MAX_OPEN_REQUESTS])
def test_results_that_become_ready_in_one_iteration_reach_a_proxy_that_reads(small_harness, count):
    """Guards against taking results that were never offered to the socket for unread ones."""
    proxy = small_harness.connect_proxy()
    finish_together(small_harness, proxy, count)
    wait_until_processed(small_harness.connect_proxy())  # nothing is read until all has been sent
    responses = [proxy.receive_response() for _ in range(count)]
    assert {response[1::2] for response in responses} == {("done", MAX_RESULT)}


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
