"""The fault of each case in small, without time or chance: one test a case, in their order.

They are not part of the default test run. `KNOWN-RED.txt` names them.
"""

import copy
import time

import pytest

from lilacwalk.protocols.resp import encode_array
from tests.conftest import SETTINGS, AppServerHarness, finish_execution

DEDUPLICATED = "once"
MUTATING = "read"


@pytest.fixture
def start(tmp_path):
    """Starts app servers with a connected executor; they are ended after the test."""
    harnesses = []

    def start_one(effect=None, cores=4, limits=None):
        settings = copy.deepcopy(SETTINGS)
        settings["family_info"]["cpus"] = cores
        if effect is not None:
            settings["classes"][0]["effect"] = effect
        harness = AppServerHarness(tmp_path, settings=settings)
        harness.process_config["limits"] = limits or {"sockets": 512}
        harnesses.append(harness)
        harness.start()
        harness.executor = harness.accept_executor_link()
        return harness

    yield start_one
    for harness in harnesses:
        harness.end()


def commands_until_next_poll(executor):
    """Returns the words of all commands up to the second gauge request from now."""
    commands = []
    for _ in range(2):
        while (words := executor.receive_message()[0])[0] != "SYSINFO":
            commands.append(words)
        executor.send(f"INFO {words[1]} 0.1 0")
    return commands


def test_of_three_tries_with_one_key_read_together_one_runs_if_the_first_is_too_late(start):
    """Case 1: after a stall, the first try has expired and two repeats of it have not."""
    harness = start()
    proxy = harness.connect_proxy()
    late = int(time.time() * 1000) - 2000
    tries = [
        proxy.encode_submit(1, DEDUPLICATED, k="key", s=late, d=1000),
        proxy.encode_submit(2, DEDUPLICATED, k="key"),
        proxy.encode_submit(3, DEDUPLICATED, k="key"),
    ]
    harness.event_loop.event_queue.process_in_one_iteration(
        lambda: proxy.sock.sendall(b"".join(tries))
    )
    assert proxy.receive_response()[:2] == (1, "later")
    scheduled = [
        words[1] for words in commands_until_next_poll(harness.executor) if words[0] == "SCHED"
    ]
    assert len(scheduled) == 1


def test_a_mutating_run_that_ends_behind_the_replay_is_not_scheduled_again(start):
    """Case 2: the run ends while the answer to the replay fence is on its way."""
    harness = start(effect="unsafe")
    proxy = harness.connect_proxy()
    proxy.submit(1, MUTATING)
    request_id = harness.executor.receive("SCHED")[0][1]
    harness.executor.reset()
    executor = harness.accept_executor_link(ready=False)
    executor.send("BOOTED steady 9000")
    fence = executor.receive("SYSINFO")[0][1]
    result = f"REAP 1 {request_id} success 3 2\r\nok\r\n"
    executor.sock.sendall(f"INFO {fence} 0.5 1\r\n{result}".encode())
    assert proxy.receive_response()[:2] in ((1, "done"), (1, "error"))
    assert ["SCHED", request_id, MUTATING, "5"] not in commands_until_next_poll(executor)


def test_five_large_results_of_one_iteration_reach_a_router_that_reads(start):
    """Case 3: the results exceed the send buffer of 32 MB and 384 descriptors."""
    harness = start(cores=8, limits={"memory_mb": 32, "sockets": 384})
    proxy = harness.connect_proxy()
    requests = [(b"%d" % tag, f"{tag:016x}") for tag in range(1, 6)]
    for tag, request_id in requests:
        fields = f"i={request_id},s={int(time.time() * 1000)},t=acme,d=50000,m=8.0,p=0.5"
        proxy.sock.sendall(encode_array(b"SUBMIT", tag, b"read", fields.encode(), b"hello"))
        harness.executor.receive("SCHED")
    harness.event_loop.event_queue.process_in_one_iteration(
        *(
            lambda number=number, request_id=request_id: finish_execution(
                harness, number, request_id, b"x" * 4096
            )
            for number, (_, request_id) in enumerate(requests, 1)
        )
    )
    assert [proxy.receive_response()[1] for _ in requests] == ["done"] * 5
