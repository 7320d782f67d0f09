"""Devices over the device link and the app server, on loopback.

Outcome words: 0 completed, 1 denied, 2 terminated. Requests of the class `look` are idempotent,
those of `move` are not.
"""

import resource
import socket
import ssl
import struct
import subprocess
import sys
import threading
import time
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

import pytest
from click.testing import CliRunner

from lilacwalk.commands import lilacwalk
from lilacwalk.edge import frames, session_codec
from lilacwalk.edge.device_service import ActionType, DeviceService
from lilacwalk.edge.duplicate_detector import DENIED, TERMINATED
from lilacwalk.edge.frames import Hello, Refused
from lilacwalk.edge.link import Link
from lilacwalk.edge.session import Session
from lilacwalk.testing.lossy_proxy import LinkConditions, Proxy
from lilacwalk.testing.proxy_client import ProxyClient
from lilacwalk.testing.site_settings import SETTINGS
from tests.edge.conftest import REQUEST_CLASSES, START

TIMEOUT_SECONDS = 10.0
MAX_OPEN = 4  # open requests that the controller admits before it has measured execution times


def test_a_request_is_executed_once_and_answered_once(make_site):
    site = make_site()
    device = site.device()
    outcome = device.outcome(device.ask("look", b"hello"), TIMEOUT_SECONDS)
    assert (outcome.word, outcome.body) == (0, b"<hello>") and sum(
        site.executor.run_counts.values()
    ) == 1
    assert device.session.duplicate_answers == 0


def test_devices_and_proxies_are_served_at_the_same_time(make_site):
    site = make_site()
    device, proxy_client = site.device(), ProxyClient(site.event_loop.listener.address)
    for each in range(20):
        number, tag = device.ask("look", b"%d" % each), proxy_client.send_request("look")
        assert (
            device.outcome(number, TIMEOUT_SECONDS).word == 0
            and proxy_client.answer(tag)[1] == "done"
        )
    proxy_client.end()


def test_after_a_connection_reset_during_execution_the_answer_follows_and_the_request_runs_once(
    make_site,
):
    may_finish = threading.Event()
    site = make_site(
        result=lambda group, body: may_finish.wait(TIMEOUT_SECONDS) and b"made once" or b""
    )
    device = site.device()
    number = device.ask("move", b"x")
    while not site.call_in_edge_thread(lambda each: each.counts["asked"]):
        pass
    device.drop_connection()
    may_finish.set()
    outcome = device.outcome(number, TIMEOUT_SECONDS)
    assert (outcome.word, outcome.body) == (0, b"made once")
    assert device.connections == 2 and sum(site.executor.run_counts.values()) == 1


def test_stalls_and_resets_leave_each_request_one_answer_and_no_repeated_execution(make_site):
    site = make_site()
    proxy = Proxy(
        site.address,
        LinkConditions(delay=0.005, jitter=0.005, good_to_bad=0.02, stall=(0.05, 0.2), reset=0.02),
        5,
    )
    devices = [site.device(b"t%d" % each, proxy.address, seed=each) for each in range(20)]
    requests = [
        (device, device.ask("move", b"%d/%d" % (index, turn), 4_000))
        for turn in range(10)
        for index, device in enumerate(devices)
    ]
    words = [device.outcome(number, 20.0).word for device, number in requests]
    # The controller may deny some requests without executing them.
    assert set(words) <= {0, 1, 2} and words.count(0) > 100
    assert max(site.executor.run_counts.values()) == 1 and proxy.reset_count > 0
    bodies = [device.session.outcomes[number].body for device, number in requests]
    # No two requests got the same answer.
    assert len({body for body in bodies if body}) == words.count(0)
    proxy.end()


def test_an_answer_stalled_partway_is_delivered_whole_and_once(
    make_site,
):
    site = make_site(result=lambda group, body: b"r" * 4_000)
    proxy = Proxy(
        site.address, LinkConditions(delay=0.01, jitter=0.0, rate=20_000, good_to_bad=0.0), 1
    )
    device = site.device(address=proxy.address)
    device.outcome(device.ask("look", b"first"), TIMEOUT_SECONDS)
    number, delivered_before = device.ask("move", b"x"), proxy.delivered_bytes
    # Waits until the request was delivered and part of the answer was.
    while proxy.delivered_bytes < delivered_before + 2_000:
        pass
    proxy.stall(1.0)
    stalled_at = time.monotonic()
    outcome = device.outcome(number, TIMEOUT_SECONDS)
    assert len(outcome.body) == 4_000 and time.monotonic() - stalled_at > 0.9
    assert (
        device.connections == 1
        and device.session.duplicate_answers == 0
        and max(site.executor.run_counts.values()) == 1
    )
    proxy.end()


def test_after_a_restart_only_an_idempotent_request_runs_again_and_others_are_terminated(
    make_site, tmp_path
):
    first = make_site(work=lambda group, body: 60.0)
    device = first.device()
    move_number = device.ask("move", b"x")
    look_number = device.ask("look", b"y")
    while first.call_in_edge_thread(lambda each: each.counts["asked"]) < 2:
        pass
    second = make_site()
    device.session.token = second.token()
    device.address = second.address
    device.drop_connection()
    assert (
        device.outcome(move_number, TIMEOUT_SECONDS).word == 2
    )  # the app server before the restart may have executed it
    assert device.outcome(look_number, TIMEOUT_SECONDS).word == 0
    assert list(second.executor.run_counts.values()) == [1]


def test_a_thousand_silent_connections_do_not_displace_active_devices(make_site):
    """Each of the thousand sends one byte and no HELLO frame, and is closed after a second. If they
    stayed, they would fill the table of connections.
    """
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (8_192, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
    )
    site = make_site("connections 2000", "hello 1s", "arrivals 100000")
    silent_sockets = []
    for _ in range(1_000):
        sock = socket.create_connection(site.address, TIMEOUT_SECONDS)
        sock.sendall(b"\0")
        silent_sockets.append(sock)
    devices = [site.device(b"good%d" % each) for each in range(100)]
    for each in devices:
        assert each.outcome(each.ask("look", b"x"), TIMEOUT_SECONDS).word == 0
    # A connection that received anything before the close received a Refused frame.
    for sock in silent_sockets:
        sock.settimeout(TIMEOUT_SECONDS)
        stream, received = frames.Stream(65_536), []
        try:
            while chunk := sock.recv(4_096):
                received += stream.feed(chunk)
        except ConnectionResetError:
            pass
        assert not received or isinstance(received[0], Refused)
        sock.close()
    assert site.call_in_edge_thread(lambda each: len(each.connections)) == 100


@pytest.mark.parametrize(
    "sent",
    [
        struct.pack("!I", 3_000_000_000),  # length above the limit
        struct.pack("!I", 0),  # length 0
        b"GET / HTTP/1.1\r\n\r\n",  # another protocol
        struct.pack("!I", 2_000) + b"\x81" * 2_000,  # deeply nested arrays
        struct.pack("!I", 1) + b"\x00",  # an integer instead of an array
    ],
)
def test_invalid_frames_are_refused_with_a_reason_and_other_connections_are_not_affected(
    make_site, sent
):
    site = make_site()
    other_device = site.device()
    other_device.outcome(other_device.ask("look", b"x"), TIMEOUT_SECONDS)
    with socket.create_connection(site.address, TIMEOUT_SECONDS) as sock:
        sock.sendall(sent)
        [refusal] = frames.Stream(65_536).feed(sock.recv(4_096))
        assert isinstance(refusal, Refused)
        assert sock.recv(100) == b""
    assert (
        other_device.outcome(other_device.ask("look", b"x"), TIMEOUT_SECONDS).word == 0
        and other_device.connections == 1
    )


def test_a_drain_answers_requests_in_flight_reports_their_number_and_closes(make_site):
    may_finish = threading.Event()
    site = make_site(result=lambda group, body: may_finish.wait(TIMEOUT_SECONDS) and b"late" or b"")
    device = site.device()
    number = device.ask("move", b"x")
    while not site.call_in_edge_thread(lambda each: each.counts["asked"]):
        pass
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    with device.changed:
        assert device.changed.wait_for(lambda: device.session.leaving is not None, TIMEOUT_SECONDS)
    assert device.session.leaving.open == 1 and device.session.leaving.come_back > 0
    may_finish.set()
    assert device.outcome(number, TIMEOUT_SECONDS).body == b"late"
    site.thread.join(TIMEOUT_SECONDS)
    assert not site.thread.is_alive()


def test_the_send_buffer_of_a_device_that_does_not_read_stays_bounded(make_site):
    # The controller must not reject requests, since a rejection has no body and fills no buffer. On
    # a busy machine it rejects those that it expects to end after the latency objective.
    classes = [
        request_class | {"aim_ms": 60_000.0, "hard_limit_ms": 60_000.0}
        for request_class in SETTINGS["classes"]
    ]
    site = make_site(
        "buffer 4KB", "window 64", result=lambda group, body: b"r" * 4_000, classes=classes
    )
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect(site.address)
    sock.sendall(frames.encode(Hello(1, site.token(), b"", 0, 1_000)))
    while not site.call_in_edge_thread(lambda each: list(each.session_table)):
        pass
    # The operating system's send buffer is made small, so that it cannot accept all answers.
    site.call_in_edge_thread(
        lambda _: [
            each.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            for each in site.edge.device_sockets.values()
        ]
    )

    def unsent_bytes(service):
        return max(one.unsent_bytes for one in service.connections.values())

    for number in range(1, 2_001):
        sock.sendall(frames.encode(frames.Ask(number, "look", b"", 60_000, 0)))
        received = open_count = unsent = 0
        # A full send buffer ends the wait, because the server then reads no further requests.
        while unsent <= 4_000 and (received < number or open_count >= MAX_OPEN):
            received, open_count, unsent = site.call_in_edge_thread(
                lambda each: (
                    each.counts["asked"],
                    sum(len(one.open) for one in each.session_table),
                    unsent_bytes(each),
                )
            )
            assert unsent <= 4_000 + 8_200
        if unsent > 4_000:
            break
    else:
        pytest.fail("the operating system accepted all answers")
    for further_number in range(number + 1, number + 33):  # sent without waiting for execution
        sock.sendall(frames.encode(frames.Ask(further_number, "look", b"", 60_000, 0)))
        assert site.call_in_edge_thread(unsent_bytes) <= 4_000 + 8_200
    sock.close()


# Identity


def make_certificate_authority(tmp_path):
    """Returns a function that signs certificates, and the path of the authority's certificate."""
    import ipaddress

    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec
    from cryptography.x509.oid import NameOID

    def name_of(text):
        return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])

    ca_key = ec.generate_private_key(ec.SECP256R1())

    def sign(name, file, key=None, is_authority=False, days=1):
        key = key or ec.generate_private_key(ec.SECP256R1())
        now = datetime.now(UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(name_of(name))
            .issuer_name(name_of("test"))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(days=9))
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
                False,
            )
        )
        certificate = builder.sign(ca_key, hashes.SHA256())
        certificate_path, key_path = tmp_path / f"{file}.pem", tmp_path / f"{file}.key"
        certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_path.touch(mode=0o600)
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return str(certificate_path), str(key_path)

    sign("test", "top", ca_key, True)
    return sign, str(tmp_path / "top.pem")


def test_a_certificate_identifies_the_device_and_is_renewed_without_dropping_sessions(
    make_site, tmp_path
):
    sign, ca_file = make_certificate_authority(tmp_path)
    sign("edge", "edge")
    sign("till-7", "device")
    site = make_site(
        "tls {",
        f" certificate {tmp_path}/edge.pem",
        f" key {tmp_path}/edge.key",
        f" authority {ca_file}",
        " mutual yes",
        "}",
    )
    device_tls = ssl.create_default_context(cafile=ca_file)
    device_tls.load_cert_chain(f"{tmp_path}/device.pem", f"{tmp_path}/device.key")
    device = site.device(token=b"", tls=device_tls, server_name="127.0.0.1")
    assert device.outcome(device.ask("look", b"a"), TIMEOUT_SECONDS).body == b"<a>"
    assert site.call_in_edge_thread(lambda each: [one.device for one in each.session_table]) == [
        b"till-7"
    ]
    sign("edge-renewed", "edge")
    site.event_loop.event_queue.post(site.event_loop.subsystems.apply, site.config)
    without_certificate = ssl.create_default_context(cafile=ca_file)
    with pytest.raises((ssl.SSLError, ConnectionError)):
        with without_certificate.wrap_socket(
            socket.create_connection(site.address, TIMEOUT_SECONDS), server_hostname="127.0.0.1"
        ) as sock:
            sock.sendall(frames.encode(Hello(1, b"", b"", 0, 1)))
            if not sock.recv(100):
                raise ConnectionError
    new_device = site.device(token=b"", tls=device_tls, server_name="127.0.0.1")
    assert new_device.outcome(new_device.ask("look", b"b"), TIMEOUT_SECONDS).body == b"<b>"
    assert (
        device.outcome(device.ask("look", b"c"), TIMEOUT_SECONDS).body == b"<c>"
        and device.connections == 1
    )


@pytest.mark.parametrize(
    "make_unusable, expected_text",
    [
        (lambda secrets: secrets.chmod(0o644), "others than its owner may read it"),
        (lambda secrets: secrets.write_text("abcd\n"), "hexadecimal digits or more"),
        (lambda secrets: secrets.write_text("secret words\n"), "non-hexadecimal"),
        (lambda secrets: secrets.unlink(), "No such file"),
    ],
)
def test_check_reports_an_unusable_secrets_file(tmp_path, make_unusable, expected_text):
    secrets, operator_file = tmp_path / "secrets", tmp_path / "own.conf"
    secrets.touch(mode=0o600)
    secrets.write_text("00" * 32)
    operator_file.write_text(f"edge {{\n listen 127.0.0.1:0\n secrets {secrets}\n}}\n")
    command = ["check", "--file", str(operator_file)]
    assert CliRunner().invoke(lilacwalk, command, env={"ROUTER_CONFIG": ""}).exit_code == 0
    make_unusable(secrets)
    result = CliRunner().invoke(lilacwalk, command, env={"ROUTER_CONFIG": ""})
    assert result.exit_code == 2 and expected_text in result.output


@pytest.fixture
def make_tls_site(make_site, tmp_path):
    """Returns a site whose edge requires TLS, and a function that connects a device to it."""
    sign, ca_file = make_certificate_authority(tmp_path)
    sign("edge", "edge")
    site = make_site("tls {", f" certificate {tmp_path}/edge.pem", f" key {tmp_path}/edge.key", "}")
    device_tls = ssl.create_default_context(cafile=ca_file)
    return site, lambda: site.device(tls=device_tls, server_name="127.0.0.1")


def reset_after(address, data=b""):
    """Connects, sends the data and resets the connection."""
    sock = socket.create_connection(address, TIMEOUT_SECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.sendall(data)
    sock.close()


# Guards against the end of the edge for all devices by one connection that had ended before it was
# accepted: the error of its TLS socket ended the edge's thread (review/8).
@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\n\r\n", b"\x16\x03\x01"])
@pytest.mark.parametrize("is_accepted_before", [False, True])
def test_a_connection_that_is_reset_ends_neither_the_tls_edge_nor_other_connections(
    make_tls_site, data, is_accepted_before
):
    site, connect_device = make_tls_site
    device = connect_device()
    assert device.outcome(device.ask("look", b"a"), TIMEOUT_SECONDS).body == b"<a>"
    if is_accepted_before:
        reset_after(site.address, data)
    else:
        blocked, released = threading.Event(), threading.Event()
        site.edge.post(lambda: (blocked.set(), released.wait(TIMEOUT_SECONDS)))
        assert blocked.wait(TIMEOUT_SECONDS)
        for _ in range(5):
            reset_after(site.address, data)
        released.set()
    assert device.outcome(device.ask("look", b"b"), TIMEOUT_SECONDS).body == b"<b>"
    new_device = connect_device()
    assert new_device.outcome(new_device.ask("look", b"c"), TIMEOUT_SECONDS).body == b"<c>"
    assert device.connections == 1


def test_a_defect_in_handling_the_input_of_one_device_does_not_end_the_connections_of_others(
    make_site, monkeypatch
):
    site = make_site()
    device, other_device = site.device(), site.device(b"other")
    for each in (device, other_device):
        assert each.outcome(each.ask("look", b"a"), TIMEOUT_SECONDS).body == b"<a>"
    frame_received = site.edge.service.frame_received

    def fail_once(number, frame, now):
        if getattr(frame, "body", b"") == b"defect" and not site.edge.defect_throttle.count:
            raise ZeroDivisionError
        frame_received(number, frame, now)

    monkeypatch.setattr(site.edge.service, "frame_received", fail_once)
    number = device.ask("look", b"defect")
    assert other_device.outcome(other_device.ask("look", b"b"), TIMEOUT_SECONDS).body == b"<b>"
    # The device connects again and repeats its request.
    assert device.outcome(number, TIMEOUT_SECONDS).body == b"<defect>"
    assert (device.connections, other_device.connections) == (2, 1)


@pytest.mark.parametrize("days, expected_exit_code", [(1, 0), (-1, 2)])
def test_check_reports_an_expired_certificate_and_a_key_that_does_not_match(
    tmp_path, days, expected_exit_code
):
    sign, _ = make_certificate_authority(tmp_path)
    sign("edge", "edge", days=days)
    sign("other", "other")
    secrets, operator_file = tmp_path / "secrets", tmp_path / "own.conf"
    secrets.touch(mode=0o600)
    secrets.write_text("00" * 32)
    text = (
        f"edge {{\n listen 127.0.0.1:0\n secrets {secrets}\n"
        f" tls {{\n  certificate {tmp_path}/edge.pem\n"
    )
    for key, exit_code in (("edge", expected_exit_code), ("other", 2)):
        operator_file.write_text(f"{text}  key {tmp_path}/{key}.key\n }}\n}}\n")
        result = CliRunner().invoke(
            lilacwalk, ["check", "--file", str(operator_file)], env={"ROUTER_CONFIG": ""}
        )
        assert result.exit_code == exit_code


def test_the_device_command_makes_a_token_and_sends_a_request_with_it(make_site):
    site = make_site()
    token_result = CliRunner().invoke(lilacwalk, ["device", "token", str(site.path), "tablet"])
    address = f"127.0.0.1:{site.address[1]}"
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "lilacwalk",
            "device",
            "ask",
            address,
            "look",
            "--body",
            "hi",
            "--token",
            token_result.output.strip(),
        ],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )
    assert (
        result.returncode == 0 and result.stdout == "outcome=completed come_back_ms=0 body='<hi>'\n"
    )
    with_invalid_token = CliRunner().invoke(
        lilacwalk, ["device", "ask", address, "look", "--token", "00"]
    )
    assert with_invalid_token.exit_code == 5


def test_a_request_with_a_timeout_is_answered_within_it(make_site):
    site = make_site()
    device = site.device()
    asked_at = time.monotonic()
    assert device.outcome(device.ask("look", b"x", 1_500), TIMEOUT_SECONDS).word == 0
    assert time.monotonic() - asked_at < 1.5


# Guards against a listener that nobody serves after a reload (issue 45, and the second review).
def test_a_reload_that_adds_the_edge_beside_a_store_starts_it(make_site, tmp_path):
    site = make_site(blocks_before=f"store {{\n directory {tmp_path}/store\n}}\n")
    device = site.device()
    assert device.outcome(device.ask("look", b"x"), TIMEOUT_SECONDS).body == b"<x>"


# Guards against a second execution after a restart: a duplicate that waited for the first request
# was recovered as a request that had never been executed, and denied (review/9).
def test_a_recovered_duplicate_of_a_request_with_an_effect_is_terminated_and_not_denied(make_site):
    site = make_site()
    sessions = {}
    for name, group in ((b"a", "move"), (b"b", "look")):
        first, second = (
            Session(name + suffix, name, False, 16, Link(), START) for suffix in (b"1", b"2")
        )
        effect = REQUEST_CLASSES[group].effect
        first.open_request(1, effect, START, (group, "devices", ""))
        second.open_request(1, effect, START)  # joined to the first one
        sessions |= {each.ident: session_codec.encode_session(each) for each in (first, second)}
    restarted = DeviceService(site.edge.config, REQUEST_CLASSES, site.edge.service.tokens, 2, START)
    restarted.recover_sessions(sessions, START)
    answers = {}
    frontend = site.event_loop.subsystems.devices
    host = SimpleNamespace(find_earlier_execution=lambda name, *_: (name == "move", None))
    edge = SimpleNamespace(
        send_answer=lambda session, _number, word, *_: answers.update({session.ident: word})
    )
    for action in restarted.take_actions():
        if action.type is ActionType.RECOVER:
            type(frontend).request_recovered(
                SimpleNamespace(host=host, edge=edge, _request_id=frontend._request_id),
                action.session,
                action.number,
                action.payload,
            )
    assert answers == {b"a1": TERMINATED, b"a2": TERMINATED, b"b1": DENIED, b"b2": DENIED}
