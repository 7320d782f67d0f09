"""The speaker on loopback, beside routers of our own that behave, misbehave and restart."""

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
from lilacwalk.bgp.admin import answering as answering_at
from lilacwalk.bgp.announcement_policy import Node
from lilacwalk.bgp.attributes import GRACEFUL_SHUTDOWN
from lilacwalk.bgp.capabilities import GracefulRestart
from lilacwalk.bgp.peer import Action, Do
from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.bgp.speaker_io import Bounds
from lilacwalk.commands import lilacwalk
from lilacwalk.protocols.admin_socket import query
from lilacwalk.testing.bgp_router import WAIT_TIMEOUT, table
from tests.bgp.conftest import THEM, orders, peer_block, update

SERVICE = "192.0.2.10/32"
ROOT = Path(__file__).parents[2]


def beside(*routers, more="", peer=(), **changed):
    blocks = "".join(peer_block(each.address, each.behaviour.asn, *peer) for each in routers)
    return orders(blocks + more, **changed)


def until(speaker, question):
    """Asked again and again, each time answered by the speaker's thread between two of its passes."""
    give_up = time.monotonic() + WAIT_TIMEOUT
    while not speaker.ask(question, WAIT_TIMEOUT):
        assert time.monotonic() < give_up


def test_a_service_is_announced_to_every_peer_and_withdrawn_before_the_listener_may_close(
    make_router, make_speaker
):
    routers, listener = [make_router(), make_router(asn=65021)], threading.Event()
    left = []
    speaker = make_speaker(
        beside(*routers), on_listener=lambda wait: (left.append(wait), listener.set())
    )
    speaker.node(Node.READY)
    for router in routers:
        router.wait_held(SERVICE)
    speaker.leave(5000)
    assert listener.wait(WAIT_TIMEOUT) and 0 < left[0] <= 500
    for router in routers:
        router.wait_held()
        told = [
            each.message.reached[0][0].communities
            for each in router.events
            if each.what == "announced"
        ]
        assert told == [(), (GRACEFUL_SHUTDOWN,)]


def test_ipv6_services_go_to_peers_of_either_family(make_router, make_speaker):
    router = make_router()
    made = beside(router, more="    service 2001:db8::10/128 {\n        next-hop ::1\n    }\n")
    make_speaker(made).node(Node.READY)
    router.wait_held(SERVICE, "2001:db8::10/128")


def test_a_router_that_comes_up_late_is_told_then(make_router, make_speaker):
    router = make_router(connections_to_reject=3)
    make_speaker(beside(router)).node(Node.READY)
    router.wait_held(SERVICE)
    router.drop()
    router.wait_count("up", 2)
    router.wait_held(SERVICE)


@pytest.mark.parametrize(
    "broken, code",
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", (1, 1)),
        (messages.MARKER + b"\0\x13\x09", (1, 3)),
        (messages.frame(2, b"\0\0\0\x20"), (3, 1)),
        (messages.frame(2, b"\0\0\0\0\x21"), (3, 10)),
    ],
)
def test_bytes_that_are_no_messages_end_that_session_by_name_and_no_other(
    make_router, make_speaker, broken, code
):
    bad, good = make_router(sends=[broken]), make_router(asn=65021)
    make_speaker(beside(bad, good)).node(Node.READY)
    told = bad.wait_count("notification").message
    assert (told.code, told.subcode) == code
    good.wait_held(SERVICE)
    assert good.sessions == 1


def test_a_peer_that_floods_ends_its_own_session_and_one_that_may_is_held(
    make_router, make_speaker
):
    flood = table(100_000, THEM)
    bad, good = make_router(sends=flood), make_router(asn=65021, sends=table(100_000, 65021))
    made = orders(peer_block(bad.address) + peer_block(good.address, 65021, "max-prefixes 100000"))
    speaker = make_speaker(made)
    speaker.node(Node.READY)
    assert (bad.wait_count("notification").message.subcode) == 1
    good.wait_held(SERVICE)
    until(speaker, lambda each: len(each.peers[good.address].received) == 100_000)
    assert good.count("lost") == 0


def test_a_peer_that_stops_reading_is_cut_off_at_the_outboxes_bound(make_router, make_speaker):
    services = "".join(f"    service 198.51.{each >> 8}.{each & 255}/32\n" for each in range(20))
    router = make_router(reads=False)
    speaker = make_speaker(beside(router, more=services), bounds=Bounds(outbox=2_000))
    speaker.node(Node.READY)
    until(speaker, lambda each: each.peers[router.address].told)

    def fill(
        each,
    ):  # more than the system takes for a socket, as a peer's refreshes would over hours
        peer = each.peers[router.address]
        if peer.up is not None:
            each.actions += [
                Action(Do.SEND, peer.up.number, messages.end_of_rib(1)) for _ in range(100)
            ]

    while router.sessions == 1:
        speaker.ask(fill)
    ended = speaker.ask(lambda each: each.peers[router.address].last_end)
    assert ended.reason == "stopped reading" and not speaker.over.is_set()


def test_a_peer_that_drips_one_byte_at_a_time_is_understood_and_holds_up_nobody(
    make_router, make_speaker
):
    slow, good = make_router(byte_interval=0.002), make_router(asn=65021)
    make_speaker(beside(slow, good)).node(Node.READY)
    good.wait_held(SERVICE)
    slow.wait_held(SERVICE)


def test_two_connections_at_once_leave_one_session(make_router, make_speaker):
    router = make_router(host="127.0.0.7")
    speaker = make_speaker(beside(router, peer=["mode both"], more="    listen 127.0.0.1:0\n"))
    router.connect(speaker.listener.getsockname())
    speaker.node(Node.READY)
    router.wait_held(SERVICE)
    shown = speaker.ask(lambda each: each.shown())
    assert [each["state"] for each in shown["peers"]] == ["established"]


def test_who_is_no_peer_is_turned_away_and_a_passive_peer_is_waited_for(make_router, make_speaker):
    router = make_router(host="127.0.0.7")
    speaker = make_speaker(beside(router, peer=["mode passive"], more="    listen 127.0.0.1:0\n"))
    speaker.node(Node.READY)
    stranger = socket.create_connection(speaker.listener.getsockname(), WAIT_TIMEOUT)
    assert stranger.recv(100)[18:21] == b"\3\6\5"
    assert router.sessions == 0
    router.connect(speaker.listener.getsockname())
    router.wait_held(SERVICE)


@pytest.mark.parametrize("serves", [False, True])
def test_after_a_crash_a_stale_route_at_the_peer_falls_with_the_first_end_of_rib(
    make_router, make_speaker, serves
):
    router = make_router(keep_stale=True, restart=GracefulRestart(30, families=((1, 1, True),)))
    made = beside(router, more="    graceful-restart {\n        time 30s\n    }\n")
    first = make_speaker(made)
    first.node(Node.READY)
    router.wait_held(SERVICE)
    crash(first)
    router.wait(lambda: router.stale, "a stale route")
    second = make_speaker(made)
    if serves:
        second.node(Node.READY)
    opened = router.wait_count("open", 2).message
    [kept] = {flag for _, _, flag in opened.capabilities.restart.families}
    assert (
        kept is False and opened.capabilities.restart.restarted
    )  # a node just begun claims nothing
    router.wait_count("end_of_rib", 4)
    router.wait_held(*([SERVICE] if serves else []))


def crash(speaker):
    """Ends it as a defect would: no withdrawal, no cease."""

    def fail():
        raise RuntimeError("a defect, made here")

    speaker.inbox.put((fail,))
    assert speaker.over.wait(WAIT_TIMEOUT)


def test_a_defect_in_the_speaker_closes_its_sessions_so_that_no_route_stays(
    make_router, make_speaker
):
    router = make_router()
    speaker = make_speaker(beside(router))
    speaker.node(Node.READY)
    router.wait_held(SERVICE)
    crash(speaker)
    router.wait_held()
    assert speaker.failed


def test_over_200_restarts_no_announcement_ever_stands_while_the_node_is_not_ready(
    make_router, make_speaker
):
    rng, router = random.Random(7), make_router()
    made = beside(router, ready_for="2ms", suppress="900000", reuse="800000")
    for _ in range(200):
        sessions = router.count("up")
        speaker = make_speaker(made)
        for state in rng.sample([Node.COLD, Node.WARMING, Node.STANDING_STILL, Node.SICK], 2):
            speaker.node(state)
        router.wait(lambda least=sessions: router.count("up") > least, "a session")
        speaker.ask(lambda each: None)
        assert not router.held
        speaker.node(Node.READY)
        router.wait_held(SERVICE)
        if rng.random() < 0.4:
            speaker.node(Node.COLD)
            router.wait_held()
            count = router.count("announced")
            speaker.node(Node.WARMING)
            speaker.ask(lambda each: None)
            assert router.count("announced") == count
        if rng.random() < 0.3:
            crash(speaker)
        else:
            speaker.end()
        router.wait_held()


def test_what_is_shown_over_the_socket_and_by_the_command(make_router, make_speaker, tmp_path):
    router = make_router(sends=[update("10.0.0.0/8")])
    path, own = str(tmp_path / "bgp.sock"), tmp_path / "own.conf"
    text = (
        f"announce {{\n as 65010\n router-id 127.0.0.1\n next-hop 127.0.0.1\n service {SERVICE}\n"
        f" socket {path}\n policy all {{\n term accept {{\n longest-path 9\n }}\n }}\n"
        + peer_block(router.address, THEM, "import all")
        + "}\n"
    )
    own.write_text(text)
    from lilacwalk.operator.loader import load_operator_file as read

    speaker = make_speaker(read(str(own)).announce)
    answering = answering_at(speaker, path)
    answering.start()
    assert os.stat(path).st_mode & 0o777 == 0o600
    speaker.node(Node.READY)
    router.wait_held(SERVICE)
    until(speaker, lambda each: len(each.peers[router.address].received) == 1)

    def run(*words):
        return CliRunner().invoke(lilacwalk, ["bgp", words[0], "--file", str(own), *words[1:]])

    shown = run("show").output
    assert (
        "state=established" in shown and "received_ipv4=1" in shown and f"prefix={SERVICE}" in shown
    )
    assert "level=normal" in shown and "reason='ready'" in shown
    name = f"127.0.0.1:{router.address[1]}"
    assert run("received", name).output == f"prefix=10.0.0.0/8 used=True path='{THEM}'\n"
    assert run("route", "10.9.0.0/16").output == f"peer={name} prefix=10.0.0.0/8 path_length=1\n"
    assert run("received", "nobody").exit_code == run("route", "x").exit_code == 2
    assert query(path, "sing")["error"].startswith("ask:")
    with pytest.raises(OSError):  # the name of one that answers is not taken from it
        answering_at(speaker, path)
    answering.close()
    assert run("show").exit_code == 2
    (tmp_path / "bgp.sock").touch()
    os.unlink(path)


def test_captured_messages_are_decoded_from_a_file_or_digits(tmp_path):
    last = messages.encode(messages.Notification(6, 2, b"\2hi"))
    good = update("10.0.0.0/8") + messages.end_of_rib(2) + last
    path = tmp_path / "captured"
    path.write_bytes(good)
    told = CliRunner().invoke(lilacwalk, ["bgp", "decode", str(path)])
    assert told.exit_code == 0 and told.output.splitlines() == [
        f"message=update announced=10.0.0.0/8 next_hop=127.0.0.20 path='{THEM}' origin=0 med=None "
        "local_pref=None communities=none",
        "message=update end_of_rib=ipv6",
        "message=notification reason=cease/shutdown text='hi' data=026869",
    ]
    digits = CliRunner().invoke(lilacwalk, ["bgp", "decode", "--hex"], input=good.hex())
    assert digits.output == told.output
    cut = CliRunner().invoke(lilacwalk, ["bgp", "decode"], input=good[:-1])
    assert cut.exit_code == 2 and "unfinished message" in cut.output


class Announcing:
    """`lilacwalk announce` as a process of its own."""

    def __init__(self, tmp_path, router, more=""):
        self.own = tmp_path / "own.conf"
        self.write(router, more)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lilacwalk", "announce", "--file", str(self.own)],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    def write(self, router, more=""):
        self.own.write_text(
            "announce {\n as 65010\n router-id 127.0.0.1\n next-hop 127.0.0.1\n ready-for 10ms\n"
            f" service {SERVICE}\n{more}\n" + peer_block(router.address) + "}\n"
        )

    def say(self, word):
        self.process.stdin.write(word + "\n")
        self.process.stdin.flush()


@pytest.fixture
def announcing(tmp_path, make_router):
    made = []

    def make(more=""):
        router = make_router()
        made.append(Announcing(tmp_path, router, more))
        return made[-1], router

    yield make
    for each in made:
        if each.process.poll() is None:
            each.process.kill()
        each.process.wait()
        each.process.stderr.close()


@pytest.mark.parametrize("ends", ["end of input", "SIGTERM"])
def test_the_command_follows_the_states_on_its_input_and_ends_with_a_cease(announcing, ends):
    command, router = announcing()
    for word in ("cold", "nonsense", "warming", "ready"):
        command.say(word)
    router.wait_held(SERVICE)
    if ends == "SIGTERM":
        command.process.send_signal(signal.SIGTERM)
    else:
        command.process.stdin.close()
    assert router.wait_count("notification").message.subcode == 2
    order = [each.what for each in router.events if each.what in ("withdrawn", "notification")]
    assert order == ["withdrawn", "notification"]
    assert command.process.wait(WAIT_TIMEOUT) == 0
    assert "event=unknown_state" in command.process.stderr.read()


def test_the_command_reads_its_file_again_and_keeps_the_old_one_where_the_new_is_wrong(announcing):
    command, router = announcing()
    command.say("ready")
    router.wait_held(SERVICE)
    command.write(router, " service 192.0.2.11/32\n")
    command.process.send_signal(signal.SIGHUP)
    router.wait_held(SERVICE, "192.0.2.11/32")
    command.own.write_text("announce {\n as none\n}\n")
    command.process.send_signal(signal.SIGHUP)
    for line in command.process.stderr:
        if "reload_failed" in line:
            break
    assert "none: expected" in line
    command.say("leaving")
    router.wait_held()
    assert router.sessions == 1


def test_the_command_without_a_usable_file_ends_with_2_and_every_fault(tmp_path):
    own = tmp_path / "own.conf"
    for text in ("", "announce {\n as x\n hold-time 1s\n}\n"):
        own.write_text(text)
        told = CliRunner().invoke(lilacwalk, ["announce", "--file", str(own)])
        assert told.exit_code == 2


def test_a_clock_that_jumps_ends_no_session(make_router, make_speaker):
    router, ahead = make_router(hold=3), [0]
    speaker = make_speaker(beside(router), clock=lambda: time.monotonic_ns() + ahead[0])
    speaker.node(Node.READY)
    router.wait_held(SERVICE)
    ahead[0] = 3600 * 10**9
    speaker.ask(lambda each: None)
    router.send(messages.encode(messages.Keepalive()))
    sent = router.count("keepalive")
    router.wait(lambda: router.count("keepalive") > sent + 1, "keepalives after the jump")
    assert router.sessions == 1 and Prefix.of(SERVICE) in router.held
