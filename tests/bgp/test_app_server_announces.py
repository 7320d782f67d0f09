"""The app server with an announce block in the operator's file, as BGP routers see it."""

import signal
import socket
import subprocess
import sys
import tomllib

import pytest

from tests.bgp.conftest import announce_config, peer_block
from tests.conftest import PATIENCE, ROOT, Site, plain

SERVICE = "192.0.2.10/32"


@pytest.fixture
def make_site(tmp_path):
    sites = []

    def make(router, more="", **handed):
        site = Site(tmp_path, **handed).start()
        sites.append(site)
        site.event_loop.event_queue.post(
            site.event_loop.subsystems.apply_bgp, announce_config(peer_block(router.address) + more)
        )
        return site

    yield make
    for each in sites:
        if each.event_loop.subsystems.bgp is not None:
            each.event_loop.subsystems.bgp.end(PATIENCE)
        each.end()


def test_node_is_announced_only_once_its_executor_is_connected(make_site, make_router):
    router = make_router()
    site = make_site(router)
    router.wait_count("end_of_rib", 2)
    assert not router.routes
    site.kernel = site.link()
    router.wait_for_routes(SERVICE)


def test_node_is_announced_after_a_cold_start_only_once_it_has_warmed_up(make_site, make_router):
    router = make_router()
    rules = {"rules": {"drain_grace_ms": 100.0, "tip_multiple": 8.0, "warm_up_ms": 6000.0}}
    site = make_site(router, settings=rules)
    site.kernel = site.link("booting")  # one second of the warm-up remains
    router.wait_count("end_of_rib", 2)
    up = router.wait_count("up").at
    router.wait_for_routes(SERVICE)
    assert router.wait_count("announced").at - up > 0.5


def test_lost_executor_link_lowers_the_preference_then_withdraws(make_site, make_router):
    router = make_router()
    site = make_site(router)
    link = site.link()
    router.wait_for_routes(SERVICE)
    site.kernel_port.close()
    link.sock.close()
    router.wait_for_routes()
    assert (
        router.events[-1].message.withdrawn and router.count("announced") == 2
    )  # the second one lowered the preference


def test_drain_withdraws_first_and_closes_the_listener_after_the_propagation_time(
    make_site, make_router
):
    router = make_router()
    site = make_site(router, settings={"rules": {"drain_grace_ms": 300.0, "tip_multiple": 8.0}})
    site.kernel = site.link()
    router.wait_for_routes(SERVICE)
    asker = site.router()
    asker.submit(1)
    ident = site.kernel.expect("SCHED")[0][1]
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    router.wait_for_routes()
    late = site.router()  # the listener is still open
    late.say(b"PROBE", b"1", b"x=0")
    assert late.answer()[1] == "sick"
    site.kernel.tell(f"REAP 1 {ident} success 1 2", b"ok")
    assert asker.answer()[1] == "done"
    assert late.answer()[1] == "closing"
    withdrawn = router.wait_count("withdrawn").at
    site.thread.join(PATIENCE)
    assert router.wait_count("notification").message.subcode == 2
    assert router.wait_count("notification").at - withdrawn > 0.05  # the propagation time
    assert not site.thread.is_alive()


def test_session_lost_during_a_drain_does_not_delay_the_listeners_close_beyond_the_grace(
    make_site, make_router
):
    router = make_router()
    site = make_site(router)
    site.kernel = site.link()
    router.wait_for_routes(SERVICE)
    router.drop()
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    site.thread.join(PATIENCE)
    assert not site.thread.is_alive() and not router.routes


def test_app_server_keeps_serving_after_an_internal_error_of_the_speaker(make_site, make_router):
    router = make_router()
    site = make_site(router)
    site.kernel = site.link()
    router.wait_for_routes(SERVICE)

    def fail():
        raise RuntimeError("injected by the test")

    site.event_loop.subsystems.bgp.speaker.inbox.put((fail,))
    router.wait_for_routes()
    asker = site.router()
    asker.submit(1)
    ident = site.kernel.expect("SCHED")[0][1]
    site.kernel.tell(f"REAP 1 {ident} success 1 2", b"ok")
    assert asker.answer()[1] == "done"
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    site.thread.join(PATIENCE)
    assert not site.thread.is_alive()


def test_reload_with_and_without_an_announce_block_starts_and_ends_the_speaker(
    make_site, make_router
):
    router = make_router()
    site = make_site(router)
    site.kernel = site.link()
    router.wait_for_routes(SERVICE)
    site.event_loop.event_queue.post(site.event_loop.subsystems.apply_bgp, None)
    router.wait_count("notification")
    router.wait_for_routes()
    site.event_loop.event_queue.post(
        site.event_loop.subsystems.apply_bgp, announce_config(peer_block(router.address))
    )
    router.wait_for_routes(SERVICE)


def spawn(site, operator_file):
    """Starts the app server as a process with this operator's file."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        site.address = free.getsockname()
    import json

    site.path.write_text(json.dumps(site.handed | {"listen": plain(site.address)}))
    site.process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lilacwalk",
            "serve",
            "--config",
            str(site.path),
            "--file",
            str(operator_file),
        ],
        stderr=subprocess.PIPE,
        cwd=ROOT,
        text=True,
    )
    return site


def test_app_server_process_announces_reloads_on_sighup_and_withdraws_on_sigterm(
    tmp_path, make_router
):
    router, operator_file = make_router(), tmp_path / "own.conf"
    text = (
        "announce {\n as 65010\n router-id 127.0.0.1\n next-hop 127.0.0.1\n ready-for 10ms\n"
        " propagation 50ms\n graceful-shutdown 10ms\n%s" + peer_block(router.address) + "}\n"
    )
    operator_file.write_text(text % f" service {SERVICE}\n")
    site = spawn(Site(tmp_path), operator_file)
    try:
        site.kernel = site.link()
        router.wait_for_routes(SERVICE)
        operator_file.write_text("announce {\n as wrong\n}\n")
        site.process.send_signal(signal.SIGHUP)
        for line in site.process.stderr:
            if "reload_failed" in line:
                break
        assert "wrong: expected a whole number" in line
        operator_file.write_text(text % " service 192.0.2.11/32\n")
        site.process.send_signal(signal.SIGHUP)
        router.wait_for_routes("192.0.2.11/32")
        site.process.send_signal(signal.SIGTERM)
        router.wait_for_routes()
        assert site.process.wait(PATIENCE) == 0
        assert router.wait_count("notification").message.subcode == 2
    finally:
        site.end()
        site.process.wait()
        site.process.stderr.close()


def test_start_with_an_invalid_file_exits_with_2_and_reports_every_error(tmp_path):
    operator_file = tmp_path / "own.conf"
    operator_file.write_text("announce {\n as wrong\n ready-for 3\n}\n")
    site = spawn(Site(tmp_path), operator_file)
    _, output = site.process.communicate(timeout=PATIENCE)
    site.end()
    assert site.process.returncode == 2
    assert (
        f"{operator_file}:2: wrong: expected" in output
        and f"{operator_file}:3: 3: expected" in output
    )


def test_default_deployment_announces_nothing_and_loads_no_bgp_modules(tmp_path):
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


def test_commented_example_in_the_operator_file_is_valid(tmp_path):
    from lilacwalk.operator.loader import parse_operator_file

    lines = (ROOT / "deploy/lilacwalk.conf").read_text().splitlines()
    start = lines.index("# announce {")
    text = "\n".join(
        line.removeprefix("#") for line in lines[start:] if "Devices on poor" not in line
    )
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
