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


def test_a_proxy_that_stops_reading_is_disconnected_and_delays_no_other(make_site):
    site = make_site(limits={"send_buffer_bytes": 4_096, "socket_buffer_bytes": 4_096}).start()
    site.kernel, stuck, other = site.link(), site.router(), site.router()
    with pytest.raises((ConnectionResetError, BrokenPipeError)):  # before all probes are sent
        send_probes(stuck)
    assert execute_request(site, other, 1, 1)[2][:2] == (1, "done")


def test_a_response_that_fits_into_the_socket_buffer_starts_no_writer_thread(site):
    proxy = site.router()
    assert execute_request(site, proxy, 1, 1, b"x" * 4096)[2][:2] == (1, "done")
    assert not {"proxy-writer", "executor-writer"} & {each.name for each in threading.enumerate()}


@pytest.mark.parametrize("name", ["proxy-reader", "proxy-writer"])
def test_a_thread_that_cannot_be_started_closes_only_its_connection(make_site, monkeypatch, name):
    site = make_site(limits={"socket_buffer_bytes": 4_096}).start()
    site.kernel = site.link()
    start, refused_threads = threading.Thread.start, []

    def refuse_first_thread(thread):
        if thread.name == name and not refused_threads:
            refused_threads.append(thread)
            raise RuntimeError("can't start new thread")  # noqa: TRY003 - the interpreter's message
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", refuse_first_thread)
    proxy = site.router()
    with pytest.raises((ConnectionResetError, BrokenPipeError)):
        send_probes(proxy)
    assert refused_threads
    assert execute_request(site, site.router(), 1, 1)[2][:2] == (1, "done")
