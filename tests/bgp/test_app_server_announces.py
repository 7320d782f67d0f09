"""The app server with an announce block in the operator's file, as BGP routers see it."""

import signal
import socket
import subprocess
import sys
import tomllib

import pytest

from tests.bgp.conftest import announce_config, peer_block
from tests.conftest import PEER_TIMEOUT_SECONDS, ROOT, AppServerHarness, format_address

SERVICE = "192.0.2.10/32"


@pytest.fixture
def make_harness(tmp_path):
    harnesses = []

    def make(router, extra_blocks="", **process_config):
        harness = AppServerHarness(tmp_path, **process_config).start()
        harnesses.append(harness)
        harness.event_loop.event_queue.post(
            harness.event_loop.subsystems.apply_bgp,
            announce_config(peer_block(router.address) + extra_blocks),
        )
        return harness

    yield make
    for harness in harnesses:
        if harness.event_loop.subsystems.bgp is not None:
            harness.event_loop.subsystems.bgp.end(PEER_TIMEOUT_SECONDS)
        harness.end()


def test_node_is_announced_only_once_its_executor_is_connected(make_harness, make_router):
    router = make_router()
    harness = make_harness(router)
    router.wait_count("end_of_rib", 2)
    assert not router.routes
    harness.executor = harness.accept_executor_link()
    router.wait_for_routes(SERVICE)


def test_node_is_announced_after_a_cold_start_only_once_it_has_warmed_up(make_harness, make_router):
    router = make_router()
    rules = {"rules": {"drain_grace_ms": 100.0, "tip_multiple": 8.0, "warm_up_ms": 6000.0}}
    harness = make_harness(router, settings=rules)
    harness.executor = harness.accept_executor_link("booting")  # one second of the warm-up remains
    router.wait_count("end_of_rib", 2)
    up_at = router.wait_count("up").at
    router.wait_for_routes(SERVICE)
    assert router.wait_count("announced").at - up_at > 0.5


def test_lost_executor_link_lowers_the_preference_then_withdraws(make_harness, make_router):
    router = make_router()
    harness = make_harness(router)
    executor = harness.accept_executor_link()
    router.wait_for_routes(SERVICE)
    harness.executor_listener.close()
    executor.sock.close()
    router.wait_for_routes()
    # The second announcement lowered the preference.
    assert router.events[-1].message.withdrawn and router.count("announced") == 2


def test_drain_withdraws_first_and_closes_the_listener_after_the_propagation_time(
    make_harness, make_router
):
    router = make_router()
    harness = make_harness(
        router, settings={"rules": {"drain_grace_ms": 300.0, "tip_multiple": 8.0}}
    )
    harness.executor = harness.accept_executor_link()
    router.wait_for_routes(SERVICE)
    proxy = harness.connect_proxy()
    proxy.submit(1)
    request_id = harness.executor.receive("SCHED")[0][1]
    harness.event_loop.event_queue.post(harness.event_loop.drain.start)
    router.wait_for_routes()
    late_proxy = harness.connect_proxy()  # the listener is still open
    late_proxy.send(b"PROBE", b"1", b"x=0")
    assert late_proxy.receive_response()[1] == "sick"
    harness.executor.send(f"REAP 1 {request_id} success 1 2", b"ok")
    assert proxy.receive_response()[1] == "done"
    assert late_proxy.receive_response()[1] == "closing"
    withdrawn_at = router.wait_count("withdrawn").at
    harness.thread.join(PEER_TIMEOUT_SECONDS)
    assert router.wait_count("notification").message.subcode == 2
    assert router.wait_count("notification").at - withdrawn_at > 0.05  # the propagation time
    assert not harness.thread.is_alive()


def test_session_lost_before_a_drain_does_not_keep_the_app_server_from_ending(
    make_harness, make_router
):
    router = make_router()
    harness = make_harness(router)
    harness.executor = harness.accept_executor_link()
    router.wait_for_routes(SERVICE)
    router.drop()
    harness.event_loop.event_queue.post(harness.event_loop.drain.start)
    harness.thread.join(PEER_TIMEOUT_SECONDS)
    assert not harness.thread.is_alive() and not router.routes


def test_app_server_keeps_serving_after_an_internal_error_of_the_speaker(make_harness, make_router):
    router = make_router()
    harness = make_harness(router)
    harness.executor = harness.accept_executor_link()
    router.wait_for_routes(SERVICE)

    def fail():
        raise RuntimeError("injected by the test")

    harness.event_loop.subsystems.bgp.speaker.inbox.put((fail,))
    router.wait_for_routes()
    proxy = harness.connect_proxy()
    proxy.submit(1)
    request_id = harness.executor.receive("SCHED")[0][1]
    harness.executor.send(f"REAP 1 {request_id} success 1 2", b"ok")
    assert proxy.receive_response()[1] == "done"
    harness.event_loop.event_queue.post(harness.event_loop.drain.start)
    harness.thread.join(PEER_TIMEOUT_SECONDS)
    assert not harness.thread.is_alive()


def test_reload_with_and_without_an_announce_block_starts_and_ends_the_speaker(
    make_harness, make_router
):
    router = make_router()
    harness = make_harness(router)
    harness.executor = harness.accept_executor_link()
    router.wait_for_routes(SERVICE)
    harness.event_loop.event_queue.post(harness.event_loop.subsystems.apply_bgp, None)
    router.wait_count("notification")
    router.wait_for_routes()
    harness.event_loop.event_queue.post(
        harness.event_loop.subsystems.apply_bgp, announce_config(peer_block(router.address))
    )
    router.wait_for_routes(SERVICE)


def spawn(harness, operator_file):
    """Starts the app server as a process with this operator's file."""
    with socket.create_server(("127.0.0.1", 0)) as free_port_socket:
        harness.address = free_port_socket.getsockname()
    import json

    harness.config_path.write_text(
        json.dumps(harness.process_config | {"listen": format_address(harness.address)})
    )
    harness.process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lilacwalk",
            "serve",
            "--config",
            str(harness.config_path),
            "--file",
            str(operator_file),
        ],
        stderr=subprocess.PIPE,
        cwd=ROOT,
        text=True,
    )
    return harness


def test_app_server_process_announces_reloads_on_sighup_and_withdraws_on_sigterm(
    tmp_path, make_router
):
    router, operator_file = make_router(), tmp_path / "own.conf"
    text = (
        "announce {\n as 65010\n router-id 127.0.0.1\n next-hop 127.0.0.1\n ready-for 10ms\n"
        " propagation 50ms\n graceful-shutdown 10ms\n%s" + peer_block(router.address) + "}\n"
    )
    operator_file.write_text(text % f" service {SERVICE}\n")
    harness = spawn(AppServerHarness(tmp_path), operator_file)
    try:
        harness.executor = harness.accept_executor_link()
        router.wait_for_routes(SERVICE)
        operator_file.write_text("announce {\n as wrong\n}\n")
        harness.process.send_signal(signal.SIGHUP)
        for line in harness.process.stderr:
            if "reload_failed" in line:
                break
        assert "wrong: expected a whole number" in line
        operator_file.write_text(text % " service 192.0.2.11/32\n")
        harness.process.send_signal(signal.SIGHUP)
        router.wait_for_routes("192.0.2.11/32")
        harness.process.send_signal(signal.SIGTERM)
        router.wait_for_routes()
        assert harness.process.wait(PEER_TIMEOUT_SECONDS) == 0
        assert router.wait_count("notification").message.subcode == 2
    finally:
        harness.end()
        harness.process.wait()
        harness.process.stderr.close()


def test_start_with_an_invalid_operator_file_exits_with_2_and_reports_every_error(tmp_path):
    operator_file = tmp_path / "own.conf"
    operator_file.write_text("announce {\n as wrong\n ready-for 3\n}\n")
    harness = spawn(AppServerHarness(tmp_path), operator_file)
    _, output = harness.process.communicate(timeout=PEER_TIMEOUT_SECONDS)
    harness.end()
    assert harness.process.returncode == 2
    assert (
        f"{operator_file}:2: wrong: expected" in output
        and f"{operator_file}:3: 3: expected" in output
    )


def test_default_deployment_announces_nothing_and_loads_no_bgp_or_edge_modules(tmp_path):
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert "--file deploy/lilacwalk.conf" in deploy["run"]
    code = (
        "import sys\nfrom lilacwalk.commands import serve\n"
        "assert serve.operator_config_reader('deploy/lilacwalk.conf')() is None\n"
        "off = ('lilacwalk.bgp', 'lilacwalk.edge', 'msgspec', 'cbor2')\n"
        "heavy = [name for name in sys.modules if name.startswith(off)]\n"
        "assert not heavy, heavy\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=ROOT)


def test_commented_examples_in_the_operator_file_are_valid(tmp_path):
    from lilacwalk.operator.loader import parse_operator_file

    lines = (ROOT / "deploy/lilacwalk.conf").read_text().splitlines()
    start = lines.index("# announce {")
    text = "\n".join(line.removeprefix("#") for line in lines[start:])
    operator_config = parse_operator_file(text, "example")
    assert (
        operator_config.announce.as_ == 65010
        and operator_config.announce.peer[0].max_prefixes == 1000
    )
    assert operator_config.edge.window == 16 and operator_config.edge.tls.mutual
    assert (
        operator_config.fleet.site == "recife"
        and len(operator_config.fleet.seed) == 2
        and operator_config.sites.bear == ("any-one",)
    )
    assert (
        operator_config.store.unpersisted_effects == "refused"
        and operator_config.storms.retry_ratio == 0.1
    )
