"""The speaker on loopback with test routers that behave, misbehave and restart."""

import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from lilacwalk.bgp import messages
from lilacwalk.bgp.admin import create_admin_socket
from lilacwalk.bgp.announcement_policy import NodeStatus
from lilacwalk.bgp.attributes import GRACEFUL_SHUTDOWN
from lilacwalk.bgp.capabilities import GracefulRestart
from lilacwalk.bgp.peer import Action, ActionKind
from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.bgp.speaker_io import Bounds
from lilacwalk.commands import lilacwalk
from lilacwalk.protocols.admin_socket import query
from lilacwalk.testing.bgp_router import WAIT_TIMEOUT, encode_announcements
from tests.bgp.conftest import PEER_AS, announce_config, peer_block, update

SERVICE = "192.0.2.10/32"
ROOT = Path(__file__).parents[2]


def config_with_peers(*routers, more="", peer=(), **changed):
    blocks = "".join(peer_block(each.address, each.behaviour.asn, *peer) for each in routers)
    return announce_config(blocks + more, **changed)


def wait_until(speaker, predicate):
    """Repeats a query in the speaker's thread until its result is true."""
    deadline = time.monotonic() + WAIT_TIMEOUT
    while not speaker.query(predicate, WAIT_TIMEOUT):
        assert time.monotonic() < deadline


def test_service_is_announced_to_every_peer_and_withdrawn_before_the_listener_may_close(
    make_router, make_speaker
):
    routers, withdrawal_sent = [make_router(), make_router(asn=65021)], threading.Event()
    waits_before_close = []
    speaker = make_speaker(
        config_with_peers(*routers),
        on_withdrawal_sent=lambda wait: (waits_before_close.append(wait), withdrawal_sent.set()),
    )
    speaker.set_node_status(NodeStatus.READY)
    for router in routers:
        router.wait_for_routes(SERVICE)
    speaker.leave(5000)
    assert withdrawal_sent.wait(WAIT_TIMEOUT) and 0 < waits_before_close[0] <= 500
    for router in routers:
        router.wait_for_routes()
        announced_communities = [
            each.message.reachable[0][0].communities
            for each in router.events
            if each.kind == "announced"
        ]
        assert announced_communities == [(), (GRACEFUL_SHUTDOWN,)]


def test_ipv6_service_is_announced_over_an_ipv4_session(make_router, make_speaker):
    router = make_router()
    config = config_with_peers(
        router, more="    service 2001:db8::10/128 {\n        next-hop ::1\n    }\n"
    )
    make_speaker(config).set_node_status(NodeStatus.READY)
    router.wait_for_routes(SERVICE, "2001:db8::10/128")


def test_router_that_connects_late_or_reconnects_gets_the_routes(make_router, make_speaker):
    router = make_router(connections_to_reject=3)
    make_speaker(config_with_peers(router)).set_node_status(NodeStatus.READY)
    router.wait_for_routes(SERVICE)
    router.drop()
    router.wait_count("up", 2)
    router.wait_for_routes(SERVICE)


@pytest.mark.parametrize(
    "invalid_bytes, code",
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", (1, 1)),
        (messages.MARKER + b"\0\x13\x09", (1, 3)),
        (messages.frame(2, b"\0\0\0\x20"), (3, 1)),
        (messages.frame(2, b"\0\0\0\0\x21"), (3, 10)),
    ],
)
def test_invalid_bytes_end_only_that_session_with_the_right_code(
    make_router, make_speaker, invalid_bytes, code
):
    bad, good = make_router(initial_messages=[invalid_bytes]), make_router(asn=65021)
    make_speaker(config_with_peers(bad, good)).set_node_status(NodeStatus.READY)
    notification = bad.wait_count("notification").message
    assert (notification.code, notification.subcode) == code
    good.wait_for_routes(SERVICE)
    assert good.session_count == 1


def test_session_is_closed_for_a_peer_above_max_prefixes_and_kept_for_a_peer_at_max_prefixes(
    make_router, make_speaker
):
    too_many_routes = encode_announcements(100_000, PEER_AS)
    bad, good = (
        make_router(initial_messages=too_many_routes),
        make_router(asn=65021, initial_messages=encode_announcements(100_000, 65021)),
    )
    config = announce_config(
        peer_block(bad.address) + peer_block(good.address, 65021, "max-prefixes 100000")
    )
    speaker = make_speaker(config)
    speaker.set_node_status(NodeStatus.READY)
    assert (bad.wait_count("notification").message.subcode) == 1
    good.wait_for_routes(SERVICE)
    wait_until(speaker, lambda each: len(each.peers[good.address].adj_rib_in) == 100_000)
    assert good.count("lost") == 0


def test_peer_that_stops_reading_is_disconnected_when_the_send_buffer_is_full(
    make_router, make_speaker
):
    services = "".join(f"    service 198.51.{each >> 8}.{each & 255}/32\n" for each in range(20))
    router = make_router(reads_when_established=False)
    speaker = make_speaker(
        config_with_peers(router, more=services), bounds=Bounds(send_buffer=2_000)
    )
    speaker.set_node_status(NodeStatus.READY)
    wait_until(speaker, lambda each: each.peers[router.address].adj_rib_out)

    def fill(each):
        """Sends 100 messages, so that repeated calls fill the socket's buffer."""
        peer = each.peers[router.address]
        if peer.established_link is not None:
            each.actions += [
                Action(ActionKind.SEND, peer.established_link.number, messages.end_of_rib(1))
                for _ in range(100)
            ]

    while router.session_count == 1:
        speaker.query(fill)
    ended = speaker.query(lambda each: each.peers[router.address].last_end)
    assert ended.reason == "stopped reading" and not speaker.ended.is_set()


def test_peer_sending_single_bytes_is_understood_and_delays_no_other_peer(
    make_router, make_speaker
):
    slow, good = make_router(byte_interval=0.002), make_router(asn=65021)
    make_speaker(config_with_peers(slow, good)).set_node_status(NodeStatus.READY)
    good.wait_for_routes(SERVICE)
    slow.wait_for_routes(SERVICE)


def test_connection_collision_leaves_one_session(make_router, make_speaker):
    router = make_router(host="127.0.0.7")
    speaker = make_speaker(
        config_with_peers(router, peer=["mode both"], more="    listen 127.0.0.1:0\n")
    )
    router.connect(speaker.listener.getsockname())
    speaker.set_node_status(NodeStatus.READY)
    router.wait_for_routes(SERVICE)
    status = speaker.query(lambda each: each.status())
    assert [each["state"] for each in status["peers"]] == ["established"]


def test_unknown_host_is_rejected_and_a_passive_peer_must_connect_itself(make_router, make_speaker):
    router = make_router(host="127.0.0.7")
    speaker = make_speaker(
        config_with_peers(router, peer=["mode passive"], more="    listen 127.0.0.1:0\n")
    )
    speaker.set_node_status(NodeStatus.READY)
    stranger = socket.create_connection(speaker.listener.getsockname(), WAIT_TIMEOUT)
    assert stranger.recv(100)[18:21] == b"\3\6\5"
    assert router.session_count == 0
    router.connect(speaker.listener.getsockname())
    router.wait_for_routes(SERVICE)


@pytest.mark.parametrize("is_ready_again", [False, True])
def test_stale_route_at_the_peer_after_a_crash_is_removed_by_the_first_end_of_rib(
    make_router, make_speaker, is_ready_again
):
    router = make_router(
        keeps_stale_routes=True, graceful_restart=GracefulRestart(30, families=((1, 1, True),))
    )
    config = config_with_peers(router, more="    graceful-restart {\n        time 30s\n    }\n")
    first = make_speaker(config)
    first.set_node_status(NodeStatus.READY)
    router.wait_for_routes(SERVICE)
    crash(first)
    router.wait(lambda: router.stale_prefixes, "a stale route")
    second = make_speaker(config)
    if is_ready_again:
        second.set_node_status(NodeStatus.READY)
    opened = router.wait_count("open", 2).message
    [keeps_forwarding_state] = {flag for _, _, flag in opened.capabilities.restart.families}
    assert (
        keeps_forwarding_state is False and opened.capabilities.restart.restarted
    )  # a node that has just started claims no forwarding state
    router.wait_count("end_of_rib", 4)
    router.wait_for_routes(*([SERVICE] if is_ready_again else []))


def crash(speaker):
    """Ends the speaker as an internal error would: without withdrawal or Cease."""

    def fail():
        raise RuntimeError("injected by the test")

    speaker.inbox.put((fail,))
    assert speaker.ended.wait(WAIT_TIMEOUT)


def test_internal_error_of_the_speaker_closes_its_sessions_and_removes_its_routes(
    make_router, make_speaker
):
    router = make_router()
    speaker = make_speaker(config_with_peers(router))
    speaker.set_node_status(NodeStatus.READY)
    router.wait_for_routes(SERVICE)
    crash(speaker)
    router.wait_for_routes()
    assert speaker.failed


def test_over_200_restarts_no_route_is_announced_while_the_node_is_not_ready(
    make_router, make_speaker
):
    rng, router = random.Random(7), make_router()
    config = config_with_peers(router, ready_for="2ms", suppress="900000", reuse="800000")
    for _ in range(200):
        sessions = router.count("up")
        speaker = make_speaker(config)
        for state in rng.sample(
            [NodeStatus.COLD, NodeStatus.WARMING, NodeStatus.STANDING_STILL, NodeStatus.SICK], 2
        ):
            speaker.set_node_status(state)
        router.wait(lambda least=sessions: router.count("up") > least, "a session")
        speaker.query(lambda each: None)
        assert not router.routes
        speaker.set_node_status(NodeStatus.READY)
        router.wait_for_routes(SERVICE)
        if rng.random() < 0.4:
            speaker.set_node_status(NodeStatus.COLD)
            router.wait_for_routes()
            announced_before = router.count("announced")
            speaker.set_node_status(NodeStatus.WARMING)
            speaker.query(lambda each: None)
            assert router.count("announced") == announced_before
        if rng.random() < 0.3:
            crash(speaker)
        else:
            speaker.end()
        router.wait_for_routes()


def test_admin_socket_and_bgp_command_report_sessions_and_routes(
    make_router, make_speaker, tmp_path
):
    router = make_router(initial_messages=[update("10.0.0.0/8")])
    path, operator_file = str(tmp_path / "bgp.sock"), tmp_path / "own.conf"
    text = (
        f"announce {{\n as 65010\n router-id 127.0.0.1\n next-hop 127.0.0.1\n service {SERVICE}\n"
        f" socket {path}\n policy all {{\n term accept {{\n longest-path 9\n }}\n }}\n"
        + peer_block(router.address, PEER_AS, "import all")
        + "}\n"
    )
    operator_file.write_text(text)
    from lilacwalk.operator.loader import load_operator_file

    speaker = make_speaker(load_operator_file(str(operator_file)).announce)
    admin_socket = create_admin_socket(speaker, path)
    admin_socket.start()
    assert os.stat(path).st_mode & 0o777 == 0o600
    speaker.set_node_status(NodeStatus.READY)
    router.wait_for_routes(SERVICE)
    wait_until(speaker, lambda each: len(each.peers[router.address].adj_rib_in) == 1)

    def run(*words):
        return CliRunner().invoke(
            lilacwalk, ["bgp", words[0], "--file", str(operator_file), *words[1:]]
        )

    status = run("show").output
    assert (
        "state=established" in status
        and "received_ipv4=1" in status
        and f"prefix={SERVICE}" in status
    )
    assert "level=normal" in status and "reason='ready'" in status
    name = f"127.0.0.1:{router.address[1]}"
    assert run("received", name).output == f"prefix=10.0.0.0/8 used=True path='{PEER_AS}'\n"
    assert run("route", "10.9.0.0/16").output == f"peer={name} prefix=10.0.0.0/8 path_length=1\n"
    assert run("received", "nobody").exit_code == run("route", "x").exit_code == 2
    assert query(path, "sing")["error"].startswith("ask:")
    with pytest.raises(OSError):  # the path of a running admin socket is not taken over
        create_admin_socket(speaker, path)
    admin_socket.close()
    assert run("show").exit_code == 2
    (tmp_path / "bgp.sock").touch()
    os.unlink(path)


def test_decode_command_reads_captured_messages_from_a_file_or_hexadecimal_input(tmp_path):
    notification = messages.encode(messages.Notification(6, 2, b"\2hi"))
    captured = update("10.0.0.0/8") + messages.end_of_rib(2) + notification
    path = tmp_path / "captured"
    path.write_bytes(captured)
    from_file = CliRunner().invoke(lilacwalk, ["bgp", "decode", str(path)])
    assert from_file.exit_code == 0 and from_file.output.splitlines() == [
        f"message=update announced=10.0.0.0/8 next_hop=127.0.0.20 path='{PEER_AS}' origin=0 "
        "med=None local_pref=None communities=none",
        "message=update end_of_rib=ipv6",
        "message=notification reason=cease/shutdown text='hi' data=026869",
    ]
    from_hexadecimal = CliRunner().invoke(
        lilacwalk, ["bgp", "decode", "--hex"], input=captured.hex()
    )
    assert from_hexadecimal.output == from_file.output
    truncated = CliRunner().invoke(lilacwalk, ["bgp", "decode"], input=captured[:-1])
    assert truncated.exit_code == 2 and "unfinished message" in truncated.output


class AnnounceProcess:
    """`lilacwalk announce` as a process."""

    def __init__(self, tmp_path, router, more=""):
        self.operator_file = tmp_path / "own.conf"
        self.write(router, more)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lilacwalk", "announce", "--file", str(self.operator_file)],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    def write(self, router, more=""):
        self.operator_file.write_text(
            "announce {\n as 65010\n router-id 127.0.0.1\n next-hop 127.0.0.1\n ready-for 10ms\n"
            f" service {SERVICE}\n{more}\n" + peer_block(router.address) + "}\n"
        )

    def send_line(self, line):
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()


@pytest.fixture
def announce_process(tmp_path, make_router):
    processes = []

    def make(more=""):
        router = make_router()
        processes.append(AnnounceProcess(tmp_path, router, more))
        return processes[-1], router

    yield make
    for each in processes:
        if each.process.poll() is None:
            each.process.kill()
        each.process.wait()
        each.process.stderr.close()


@pytest.mark.parametrize("ends", ["end of input", "SIGTERM"])
def test_announce_command_follows_states_on_its_input_and_ends_with_a_cease(announce_process, ends):
    command, router = announce_process()
    for word in ("cold", "nonsense", "warming", "ready"):
        command.send_line(word)
    router.wait_for_routes(SERVICE)
    if ends == "SIGTERM":
        command.process.send_signal(signal.SIGTERM)
    else:
        command.process.stdin.close()
    assert router.wait_count("notification").message.subcode == 2
    order = [each.kind for each in router.events if each.kind in ("withdrawn", "notification")]
    assert order == ["withdrawn", "notification"]
    assert command.process.wait(WAIT_TIMEOUT) == 0
    assert "event=unknown_state" in command.process.stderr.read()


def test_announce_command_reloads_on_sighup_and_keeps_the_old_configuration_if_the_new_is_invalid(
    announce_process,
):
    command, router = announce_process()
    command.send_line("ready")
    router.wait_for_routes(SERVICE)
    command.write(router, " service 192.0.2.11/32\n")
    command.process.send_signal(signal.SIGHUP)
    router.wait_for_routes(SERVICE, "192.0.2.11/32")
    command.operator_file.write_text("announce {\n as none\n}\n")
    command.process.send_signal(signal.SIGHUP)
    for line in command.process.stderr:
        if "reload_failed" in line:
            break
    assert "none: expected" in line
    command.send_line("leaving")
    router.wait_for_routes()
    assert router.session_count == 1


def test_announce_command_without_a_valid_file_exits_with_2(tmp_path):
    operator_file = tmp_path / "own.conf"
    for text in ("", "announce {\n as x\n hold-time 1s\n}\n"):
        operator_file.write_text(text)
        result = CliRunner().invoke(lilacwalk, ["announce", "--file", str(operator_file)])
        assert result.exit_code == 2


def test_clock_jump_ends_no_session(make_router, make_speaker):
    router, clock_offset_ns = make_router(hold_time=3), [0]
    speaker = make_speaker(
        config_with_peers(router), clock=lambda: time.monotonic_ns() + clock_offset_ns[0]
    )
    speaker.set_node_status(NodeStatus.READY)
    router.wait_for_routes(SERVICE)
    clock_offset_ns[0] = 3600 * 10**9
    speaker.query(lambda each: None)
    router.send(messages.encode(messages.Keepalive()))
    keepalives_before = router.count("keepalive")
    router.wait(
        lambda: router.count("keepalive") > keepalives_before + 1, "keepalives after the jump"
    )
    assert router.session_count == 1 and Prefix.of(SERVICE) in router.routes
