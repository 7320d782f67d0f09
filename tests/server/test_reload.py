"""Reloading the configuration while requests are in flight."""

import json
import signal
import socket

import pytest

from lilacwalk.server import startup as serve
from lilacwalk.server.reload import reload_configuration
from tests.conftest import (
    PEER_TIMEOUT_SECONDS,
    finish_execution,
    format_address,
    next_dispatched,
    wait_until_processed,
)


def test_executions_continue_when_a_reload_changes_executor_and_dependency(make_site):
    site = make_site().spawn()
    executor = site.link()
    proxy = site.router()
    proxy.submit(1, "look", i="00000000000000aa")
    executor.receive("SCHED")
    executor.send("IOREQ 1 00000000000000aa 1", b"?")
    old_dependency = site.calls()
    old_dependency.receive("GET")
    site.move("kernel", "index")
    site.process.send_signal(signal.SIGHUP)
    executor = site.link()
    assert executor.open_words == ["OPEN", "1"]
    # A call in progress gets its result over the old connection.
    old_dependency.send("00000000000000aa HIT 1", b"!")
    assert executor.receive("IODONE") == (["IODONE", "00000000000000aa", "1"], b"!")
    executor.send("IOREQ 2 00000000000000aa 1", b"2")
    new_dependency = site.calls()
    assert new_dependency.receive("GET")[1] == b"2"
    site.path.write_text("{")
    # The file is incomplete, so that the reload fails and the current configuration stays.
    site.process.send_signal(signal.SIGHUP)
    site.process.send_signal(signal.SIGHUP)
    new_dependency.send("00000000000000aa HIT 1", b"!")
    assert executor.receive("IODONE")
    executor.send("REAP 3 00000000000000aa success 9 1", b"r")
    assert proxy.receive_response()[1::2] == ("done", b"r")


def test_a_new_registry_gets_a_report_at_once(make_site):
    site = make_site(limits={"report_interval": 600_000}).start()
    site.link()
    assert site.catalog.recv(100) == b"alive n1 passing"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as catalog:
        catalog.bind(("127.0.0.1", 0))
        catalog.settimeout(PEER_TIMEOUT_SECONDS)
        site.handed["directory"] = format_address(catalog.getsockname())
        site.move()
        site.event_loop.event_queue.post(reload_configuration, site.event_loop, site.path)
        assert catalog.recv(100) == b"alive n1 passing"


@pytest.mark.parametrize(
    "change",
    [
        {"kernel": "kernel.internal:7300"},
        {"index": "a..b:80"},
        {"directory": "127.0.0.1:99999"},
        {"settings": {"classes": [{"name": "g", "hard_limit_ms": 0}]}},
        {"settings": {"classes": [{"name": "g", "hard_limit_ms": 1e308}]}},
        {"settings": {"classes": [{"name": "g", "hard_limit_ms": 100, "aim_ms": -5}]}},
    ],
)
def test_an_invalid_configuration_prints_one_line_at_start_and_changes_nothing_at_reload(
    make_site, capsys, change
):
    site = make_site()
    site.path.write_text(json.dumps(site.handed | change))
    assert serve.serve(str(site.path)) == 2
    error = capsys.readouterr().err
    assert error.startswith("lilacwalk: ")
    assert error.count("\n") == 1
    if "settings" in change:
        return  # a reload does not apply the settings
    site.start()
    site.kernel, proxy = site.link(), site.router()
    site.event_loop.event_queue.post(reload_configuration, site.event_loop, str(site.path))
    wait_until_processed(proxy)
    proxy.submit(1)
    finish_execution(site, 1, next_dispatched(site))
    assert proxy.receive_response()[:2] == (1, "done")
