"""The app server with an announce block in the operator's own file: what routers on BGP see of its life."""

import signal
import socket
import subprocess
import sys
import tomllib

import pytest

from tests.bgp.conftest import orders, peer_block
from tests.conftest import PATIENCE, ROOT, Site, plain

SERVICE = "192.0.2.10/32"


@pytest.fixture
def make_site(tmp_path):
    sites = []

    def make(router, more="", **handed):
        site = Site(tmp_path, **handed).start()
        sites.append(site)
        site.event_loop.event_queue.post(
            site.event_loop.subsystems.apply_bgp, orders(peer_block(router.address) + more)
        )
        return site

    yield make
    for each in sites:
        if each.event_loop.subsystems.bgp is not None:
            each.event_loop.subsystems.bgp.end(PATIENCE)
        each.end()


def test_a_node_is_announced_once_its_kernel_is_up_and_warm_and_not_before(make_site, make_router):
    router = make_router()
    site = make_site(router)
    router.wait_count("end_of_rib", 2)
    assert not router.held
    site.kernel = site.link()
    router.wait_held(SERVICE)


def test_a_cold_start_is_announced_only_when_it_has_warmed_up(make_site, make_router):
    router = make_router()
    rules = {"rules": {"drain_grace_ms": 100.0, "tip_multiple": 8.0, "warm_up_ms": 6000.0}}
    site = make_site(router, settings=rules)
    site.kernel = site.link("booting")  # a second of the warm-up is left
    router.wait_count("end_of_rib", 2)
    up = router.wait_count("up").at
    router.wait_held(SERVICE)
    assert router.wait_count("announced").at - up > 0.5


def test_a_lost_kernel_link_makes_it_less_wanted_then_withdrawn_until_it_is_back(
    make_site, make_router
):
    router = make_router()
    site = make_site(router)
    link = site.link()
    router.wait_held(SERVICE)
    site.kernel_port.close()
    link.sock.close()
    router.wait_held()
    assert (
        router.events[-1].message.withdrawn and router.count("announced") == 2
    )  # less wanted in between


def test_a_drain_withdraws_first_and_closes_its_listener_only_when_that_has_spread(
    make_site, make_router
):
    router = make_router()
    site = make_site(router, settings={"rules": {"drain_grace_ms": 300.0, "tip_multiple": 8.0}})
    site.kernel = site.link()
    router.wait_held(SERVICE)
    asker = site.router()
    asker.submit(1)
    ident = site.kernel.expect("SCHED")[0][1]
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    router.wait_held()
    late = site.router()  # what still comes is taken: the listener is open
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


def test_a_session_lost_in_the_drain_does_not_hold_its_listener_beyond_the_grace(
    make_site, make_router
):
    router = make_router()
    site = make_site(router)
    site.kernel = site.link()
    router.wait_held(SERVICE)
    router.drop()
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    site.thread.join(PATIENCE)
    assert not site.thread.is_alive() and not router.held


def test_a_defect_in_the_speaker_leaves_the_app_server_serving(make_site, make_router):
    router = make_router()
    site = make_site(router)
    site.kernel = site.link()
    router.wait_held(SERVICE)

    def fail():
        raise RuntimeError("a defect, made here")

    site.event_loop.subsystems.bgp.speaker.inbox.put((fail,))
    router.wait_held()
    asker = site.router()
    asker.submit(1)
    ident = site.kernel.expect("SCHED")[0][1]
    site.kernel.tell(f"REAP 1 {ident} success 1 2", b"ok")
    assert asker.answer()[1] == "done"
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    site.thread.join(PATIENCE)
    assert not site.thread.is_alive()


def test_a_block_that_comes_and_goes_with_the_file_starts_and_ends_the_speaker(
    make_site, make_router
):
    router = make_router()
    site = make_site(router)
    site.kernel = site.link()
    router.wait_held(SERVICE)
    site.event_loop.event_queue.post(site.event_loop.subsystems.apply_bgp, None)
    router.wait_count("notification")
    router.wait_held()
    site.event_loop.event_queue.post(
        site.event_loop.subsystems.apply_bgp, orders(peer_block(router.address))
    )
    router.wait_held(SERVICE)


def spawned(site, own):
    """The app server as a process, with this operator's file."""
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
            str(own),
        ],
        stderr=subprocess.PIPE,
        cwd=ROOT,
        text=True,
    )
    return site


def test_as_a_process_it_announces_reads_its_file_again_and_leaves_in_order(tmp_path, make_router):
    router, own = make_router(), tmp_path / "own.conf"
    text = (
        "announce {\n as 65010\n router-id 127.0.0.1\n next-hop 127.0.0.1\n ready-for 10ms\n"
        " propagation 50ms\n graceful-shutdown 10ms\n%s" + peer_block(router.address) + "}\n"
    )
    own.write_text(text % f" service {SERVICE}\n")
    site = spawned(Site(tmp_path), own)
    try:
        site.kernel = site.link()
        router.wait_held(SERVICE)
        own.write_text("announce {\n as wrong\n}\n")
        site.process.send_signal(signal.SIGHUP)
        for line in site.process.stderr:
            if "reload_failed" in line:
                break
        assert "wrong: expected a whole number" in line
        own.write_text(text % " service 192.0.2.11/32\n")
        site.process.send_signal(signal.SIGHUP)
        router.wait_held("192.0.2.11/32")
        site.process.send_signal(signal.SIGTERM)
        router.wait_held()
        assert site.process.wait(PATIENCE) == 0
        assert router.wait_count("notification").message.subcode == 2
    finally:
        site.end()
        site.process.wait()
        site.process.stderr.close()


def test_a_wrong_file_ends_a_start_with_2_and_every_fault(tmp_path):
    own = tmp_path / "own.conf"
    own.write_text("announce {\n as wrong\n ready-for 3\n}\n")
    site = spawned(Site(tmp_path), own)
    _, told = site.process.communicate(timeout=PATIENCE)
    site.end()
    assert site.process.returncode == 2
    assert f"{own}:2: wrong: expected" in told and f"{own}:3: 3: expected" in told


def test_what_run_starts_announces_nothing_and_loads_nothing_for_it(tmp_path):
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


def test_the_commented_example_is_a_file_that_reads(tmp_path):
    from lilacwalk.operator.loader import parse_operator_file

    lines = (ROOT / "deploy/lilacwalk.conf").read_text().splitlines()
    start = lines.index("# announce {")
    text = "\n".join(
        line.removeprefix("#") for line in lines[start:] if "Devices on poor" not in line
    )
    made = parse_operator_file(text, "example")
    assert made.announce.as_ == 65010 and made.announce.peer[0].max_prefixes == 1000
    assert made.edge.window == 16 and made.edge.tls.mutual
    assert (
        made.fleet.site == "recife"
        and len(made.fleet.seed) == 2
        and made.sites.bear == ("any-one",)
    )
    assert made.store.unpersisted_effects == "refused" and made.storms.retry_ratio == 0.1
