"""Startup: invalid configurations, and signals during the start of the process."""

import json
import os
import signal

import pytest

from lilacwalk.event_queue import EventQueue
from lilacwalk.server import startup
from tests.conftest import PEER_TIMEOUT_SECONDS, ProxyClient, execute_request


def test_a_server_without_a_dependency_serves(make_harness):
    harness = make_harness(index=None).start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    assert execute_request(harness, proxy, 1, 1)[2][:2] == (1, "done")


@pytest.mark.parametrize(
    "text",
    [
        None,  # the file does not exist
        "{",
        "[]",
        '{"settings": {"classes": [{"hard_limit_ms": 9}]}, "limits": {"memory_mb": 17}}',
        '{"settings": {}}',
        '{"settings": {"classes": [{}]}}',
    ],
)
def test_a_missing_or_invalid_configuration_file_prints_one_line_and_the_exit_code_is_2(
    tmp_path, capsys, text
):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    assert startup.serve(str(path)) == 2
    error = capsys.readouterr().err
    assert error.startswith("lilacwalk: ")
    assert error.count("\n") == 1


def test_an_address_in_use_raises_a_configuration_error(make_harness):
    process_config = make_harness().process_config
    with pytest.raises(startup.ConfigurationError, match="cannot listen"):
        startup.build(process_config | {"listen": process_config["kernel"]}, EventQueue())


def test_sigterm_just_after_the_listener_opened_starts_a_drain(make_harness, monkeypatch):
    harness, build, proxies = make_harness(), startup.build, []

    def build_and_send_sigterm(*arguments):
        event_loop, components = build(*arguments)
        harness.parts = components  # closed with the harness
        proxies.append(ProxyClient(event_loop.listener.address))
        proxies[0].submit(1)
        os.kill(os.getpid(), signal.SIGTERM)
        return event_loop, components

    monkeypatch.setattr(startup, "build", build_and_send_sigterm)
    harness.config_path.write_text(json.dumps(harness.process_config))
    old_handlers = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP)}
    signal.signal(
        signal.SIGTERM, lambda *_: pytest.fail("SIGTERM arrived before the server set its handler")
    )
    try:
        assert startup.serve(str(harness.config_path)) == 0
    finally:
        for number, handler in old_handlers.items():
            signal.signal(number, handler)
    assert [proxies[0].receive_response()[:2] for _ in range(2)] in (
        [(1, "later"), (0, "closing")],
        [(0, "closing"), (1, "later")],
    )


def test_sigterm_while_modules_load_ends_the_process_cleanly(make_harness, monkeypatch):
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    harness = make_harness().spawn()
    while "click.globals" not in harness.process.stderr.readline():  # most modules load after it
        assert harness.process.poll() is None
    harness.process.send_signal(signal.SIGTERM)
    assert "Traceback" not in harness.process.communicate(timeout=PEER_TIMEOUT_SECONDS)[1]
    assert harness.process.returncode == 0
