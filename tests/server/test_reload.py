"""Reloading the configuration while requests are in flight."""

import json
import signal
import socket

import pytest

from lilacwalk.server import startup
from lilacwalk.server.reload import reload_configuration
from tests.conftest import (
    PEER_TIMEOUT_SECONDS,
    finish_execution,
    format_address,
    next_dispatched_id,
    wait_until_processed,
)


def test_executions_continue_when_a_reload_changes_executor_and_dependency(make_harness):
    harness = make_harness().spawn()
    executor = harness.accept_executor_link()
    proxy = harness.connect_proxy()
    proxy.submit(1, "look", i="00000000000000aa")
    executor.receive("SCHED")
    executor.send("IOREQ 1 00000000000000aa 1", b"?")
    old_dependency = harness.accept_dependency_connection()
    old_dependency.receive("GET")
    harness.replace_listeners("kernel", "index")
    harness.process.send_signal(signal.SIGHUP)
    executor = harness.accept_executor_link()
    assert executor.open_words == ["OPEN", "1"]
    # A call in progress gets its result over the old connection.
    old_dependency.send("00000000000000aa HIT 1", b"!")
    assert executor.receive("IODONE") == (["IODONE", "00000000000000aa", "1"], b"!")
    executor.send("IOREQ 2 00000000000000aa 1", b"2")
    new_dependency = harness.accept_dependency_connection()
    assert new_dependency.receive("GET")[1] == b"2"
    harness.config_path.write_text("{")
    # The file is incomplete, so that the reload fails and the current configuration stays in use.
    harness.process.send_signal(signal.SIGHUP)
    harness.process.send_signal(signal.SIGHUP)
    new_dependency.send("00000000000000aa HIT 1", b"!")
    assert executor.receive("IODONE")
    executor.send("REAP 3 00000000000000aa success 9 1", b"r")
    assert proxy.receive_response()[1::2] == ("done", b"r")


def test_a_new_registry_gets_a_report_immediately_after_the_reload(make_harness):
    # The interval of 60 s between reports is longer than the test.
    harness = make_harness(limits={"report_interval": 600_000}).start()
    harness.accept_executor_link()
    assert harness.registry.recv(100) == b"alive n1 passing"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as new_registry:
        new_registry.bind(("127.0.0.1", 0))
        new_registry.settimeout(PEER_TIMEOUT_SECONDS)
        harness.process_config["directory"] = format_address(new_registry.getsockname())
        harness.replace_listeners()
        harness.event_loop.event_queue.post(
            reload_configuration, harness.event_loop, harness.config_path
        )
        assert new_registry.recv(100) == b"alive n1 passing"


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
    make_harness, capsys, change
):
    harness = make_harness()
    harness.config_path.write_text(json.dumps(harness.process_config | change))
    assert startup.serve(str(harness.config_path)) == 2
    error = capsys.readouterr().err
    assert error.startswith("lilacwalk: ")
    assert error.count("\n") == 1
    if "settings" in change:
        return  # a reload does not apply the settings
    harness.start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    harness.event_loop.event_queue.post(
        reload_configuration, harness.event_loop, str(harness.config_path)
    )
    wait_until_processed(proxy)
    proxy.submit(1)
    finish_execution(harness, 1, next_dispatched_id(harness))
    assert proxy.receive_response()[:2] == (1, "done")
