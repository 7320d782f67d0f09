"""Devices over the link, through the whole app server on loopback."""

import resource
import socket
import ssl
import struct
import subprocess
import sys
import threading
import time
from datetime import UTC, datetime, timedelta

import pytest
from click.testing import CliRunner

from lilacwalk.commands import lilacwalk
from lilacwalk.edge import frames
from lilacwalk.edge.frames import Hello, Refused
from lilacwalk.testing.lossy_proxy import LinkConditions, Proxy
from lilacwalk.testing.proxy_client import ProxyClient

PATIENCE = 10.0


def test_an_exchange_of_a_device_is_run_once_and_answered_once(make_site):
    site = make_site()
    device = site.device()
    found = device.outcome(device.ask("look", b"hello"), PATIENCE)
    assert (found.word, found.body) == (0, b"<hello>") and sum(site.kernel.ran.values()) == 1
    assert device.machine.doubled == 0


def test_devices_and_routers_are_served_beside_each_other(make_site):
    site = make_site()
    device, proxy_client = site.device(), ProxyClient(site.event_loop.listener.address)
    for each in range(20):
        number, tag = device.ask("look", b"%d" % each), proxy_client.ask("look")
        assert device.outcome(number, PATIENCE).word == 0 and proxy_client.answer(tag)[1] == "done"
    proxy_client.end()


def test_a_link_reset_before_the_acknowledgement_gets_the_same_answer_again(make_site):
    hold = threading.Event()
    site = make_site(result=lambda group, body: hold.wait(PATIENCE) and b"made once" or b"")
    device = site.device()
    number = device.ask("move", b"x")
    while not site.inside(lambda each: each.counts["asked"]):
        pass
    device.drop()
    hold.set()
    found = device.outcome(number, PATIENCE)
    assert (found.word, found.body) == (0, b"made once")
    assert device.connections == 2 and sum(site.kernel.ran.values()) == 1


def test_through_a_link_that_stalls_and_resets_each_has_one_answer_and_no_effect_twice(make_site):
    site = make_site()
    proxy = Proxy(
        site.address,
        LinkConditions(delay=0.005, jitter=0.005, to_bad=0.02, stall=(0.05, 0.2), reset=0.02),
        5,
    )
    devices = [site.device(b"t%d" % each, proxy.address, seed=each) for each in range(20)]
    asked = [
        (device, device.ask("move", b"%d/%d" % (at, turn), 4_000))
        for turn in range(10)
        for at, device in enumerate(devices)
    ]
    words = [device.outcome(number, 20.0).word for device, number in asked]
    assert (
        set(words) <= {0, 1, 2} and words.count(0) > 100
    )  # some the controller denies: they never ran
    assert max(site.kernel.ran.values()) == 1 and proxy.resets > 0
    bodies = [device.machine.outcomes[number].body for device, number in asked]
    assert len({body for body in bodies if body}) == words.count(0)  # each its own
    proxy.end()


def test_a_link_that_stalls_in_the_middle_of_a_reply_and_resumes_brings_it_whole_and_once(
    make_site,
):
    site = make_site(result=lambda group, body: b"r" * 4_000)
    proxy = Proxy(site.address, LinkConditions(delay=0.01, jitter=0.0, rate=20_000, to_bad=0.0), 1)
    device = site.device(address=proxy.address)
    device.outcome(device.ask("look", b"first"), PATIENCE)
    number, carried = device.ask("move", b"x"), proxy.bytes
    while proxy.bytes < carried + 2_000:  # the ask went up, and part of the answer came down
        pass
    proxy.stall(1.0)
    began = time.monotonic()
    found = device.outcome(number, PATIENCE)
    assert len(found.body) == 4_000 and time.monotonic() - began > 0.9
    assert (
        device.connections == 1
        and device.machine.doubled == 0
        and max(site.kernel.ran.values()) == 1
    )
    proxy.end()


def test_a_node_that_restarted_says_so_and_a_mutating_exchange_is_not_run_by_guess(
    make_site, tmp_path
):
    first = make_site(work=lambda group, body: 60.0)
    device = first.device()
    number = device.ask("move", b"x")
    look = device.ask("look", b"y")
    while first.inside(lambda each: each.counts["asked"]) < 2:
        pass
    second = make_site()
    device.machine.token = second.token()
    device.address = second.address
    device.drop()
    assert device.outcome(number, PATIENCE).word == 2  # it may have run: said at once
    assert device.outcome(look, PATIENCE).word == 0
    assert list(second.kernel.ran.values()) == [1]


def test_a_thousand_that_trickle_do_not_take_the_place_of_those_that_ask(make_site):
    """Each sends a byte and is silent: no HELLO. Those that ask are let in, the silent ones make room."""
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (8_192, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
    )
    site = make_site("connections 2000", "hello 1s", "arrivals 100000")
    trickling = []
    for _ in range(1_000):
        sock = socket.create_connection(site.address, PATIENCE)
        sock.sendall(b"\0")
        trickling.append(sock)
    devices = [site.device(b"good%d" % each) for each in range(100)]
    for each in devices:
        assert each.outcome(each.ask("look", b"x"), PATIENCE).word == 0
    for sock in trickling:  # each was told why before it was closed
        sock.settimeout(PATIENCE)
        stream, told = frames.Stream(65_536), []
        try:
            while chunk := sock.recv(4_096):
                told += stream.feed(chunk)
        except ConnectionResetError:
            pass
        assert not told or isinstance(told[0], Refused)
        sock.close()
    assert site.inside(lambda each: len(each.connections)) == 100


@pytest.mark.parametrize(
    "sent",
    [
        struct.pack("!I", 3_000_000_000),
        struct.pack("!I", 0),
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack("!I", 2_000) + b"\x81" * 2_000,
        struct.pack("!I", 1) + b"\x00",
    ],
)
def test_what_is_no_frame_is_refused_by_name_and_nobody_else_notices(make_site, sent):
    site = make_site()
    good = site.device()
    good.outcome(good.ask("look", b"x"), PATIENCE)
    with socket.create_connection(site.address, PATIENCE) as sock:
        sock.sendall(sent)
        [told] = frames.Stream(65_536).feed(sock.recv(4_096))
        assert isinstance(told, Refused)
        assert sock.recv(100) == b""
    assert good.outcome(good.ask("look", b"x"), PATIENCE).word == 0 and good.connections == 1


def test_a_drain_answers_all_tells_where_it_stands_and_closes(make_site):
    hold = threading.Event()
    site = make_site(result=lambda group, body: hold.wait(PATIENCE) and b"late" or b"")
    device = site.device()
    number = device.ask("move", b"x")
    while not site.inside(lambda each: each.counts["asked"]):
        pass
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    with device.changed:
        assert device.changed.wait_for(lambda: device.machine.leaving is not None, PATIENCE)
    assert device.machine.leaving.open == 1 and device.machine.leaving.come_back > 0
    hold.set()
    assert device.outcome(number, PATIENCE).body == b"late"
    site.thread.join(PATIENCE)
    assert not site.thread.is_alive()


def test_a_reader_that_takes_nothing_pins_no_buffer_and_its_answers_stay_in_its_session(make_site):
    site = make_site("buffer 4KB", "window 64", result=lambda group, body: b"r" * 4_000)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect(site.address)
    sock.sendall(frames.encode(Hello(1, site.token(), b"", 0, 1_000)))
    while not site.inside(lambda each: list(each.sessions)):
        pass
    site.inside(  # a small buffer of the system's, so that it cannot take all of it
        lambda _: [
            each.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            for each in site.edge.wires.values()
        ]
    )
    for number in range(1, 2_001):
        sock.sendall(frames.encode(frames.Ask(number, "look", b"", 60_000, 0)))
        while site.inside(lambda each: sum(len(one.open) for one in each.sessions)) > 32:
            pass
        unsent = site.inside(lambda each: max(one.unsent for one in each.connections.values()))
        assert unsent <= 4_000 + 8_200
        if (
            site.inside(
                lambda each: max((one.unsent for one in each.connections.values()), default=0)
            )
            > 4_000
        ):
            break
    else:
        pytest.fail("the system took everything")
    sock.close()


# Identity


def authority(tmp_path):
    """A certificate authority and what it signs, made here."""
    import ipaddress

    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec
    from cryptography.x509.oid import NameOID

    def named(text):
        return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])

    top = ec.generate_private_key(ec.SECP256R1())

    def sign(name, file, key=None, is_authority=False, days=1):
        key = key or ec.generate_private_key(ec.SECP256R1())
        now = datetime.now(UTC)
        made = (
            x509.CertificateBuilder()
            .subject_name(named(name))
            .issuer_name(named("test"))
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
        certificate = made.sign(top, hashes.SHA256())
        pem, private = tmp_path / f"{file}.pem", tmp_path / f"{file}.key"
        pem.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        private.touch(mode=0o600)
        private.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return str(pem), str(private)

    sign("test", "top", top, True)
    return sign, str(tmp_path / "top.pem")


def test_over_tls_a_certificate_names_the_device_and_is_renewed_without_dropping_sessions(
    make_site, tmp_path
):
    sign, top = authority(tmp_path)
    sign("edge", "edge")
    sign("till-7", "device")
    site = make_site(
        "tls {",
        f" certificate {tmp_path}/edge.pem",
        f" key {tmp_path}/edge.key",
        f" authority {top}",
        " mutual yes",
        "}",
    )
    client = ssl.create_default_context(cafile=top)
    client.load_cert_chain(f"{tmp_path}/device.pem", f"{tmp_path}/device.key")
    device = site.device(token=b"", tls=client, server_name="127.0.0.1")
    assert device.outcome(device.ask("look", b"a"), PATIENCE).body == b"<a>"
    assert site.inside(lambda each: [one.device for one in each.sessions]) == [b"till-7"]
    sign("edge-renewed", "edge")
    site.event_loop.event_queue.post(site.event_loop.subsystems.apply, site.orders)
    stranger = ssl.create_default_context(cafile=top)
    with pytest.raises((ssl.SSLError, ConnectionError)):
        with stranger.wrap_socket(
            socket.create_connection(site.address, PATIENCE), server_hostname="127.0.0.1"
        ) as sock:
            sock.sendall(frames.encode(Hello(1, b"", b"", 0, 1)))
            if not sock.recv(100):
                raise ConnectionError
    again = site.device(token=b"", tls=client, server_name="127.0.0.1")
    assert again.outcome(again.ask("look", b"b"), PATIENCE).body == b"<b>"
    assert (
        device.outcome(device.ask("look", b"c"), PATIENCE).body == b"<c>"
        and device.connections == 1
    )


@pytest.mark.parametrize(
    "spoil, told",
    [
        (lambda path: path.chmod(0o644), "others than its owner may read it"),
        (lambda path: path.write_text("abcd\n"), "hexadecimal digits or more"),
        (lambda path: path.write_text("secret words\n"), "non-hexadecimal"),
        (lambda path: path.unlink(), "No such file"),
    ],
)
def test_check_tells_of_secrets_that_cannot_be_used(tmp_path, spoil, told):
    path, own = tmp_path / "secrets", tmp_path / "own.conf"
    path.touch(mode=0o600)
    path.write_text("00" * 32)
    own.write_text(f"edge {{\n listen 127.0.0.1:0\n secrets {path}\n}}\n")
    words = ["check", "--file", str(own)]
    assert CliRunner().invoke(lilacwalk, words, env={"ROUTER_CONFIG": ""}).exit_code == 0
    spoil(path)
    found = CliRunner().invoke(lilacwalk, words, env={"ROUTER_CONFIG": ""})
    assert found.exit_code == 2 and told in found.output


@pytest.mark.parametrize("days, code", [(1, 0), (-1, 2)])
def test_check_tells_of_a_certificate_whose_time_is_over_and_a_key_of_another(tmp_path, days, code):
    sign, _ = authority(tmp_path)
    sign("edge", "edge", days=days)
    sign("other", "other")
    secrets, own = tmp_path / "secrets", tmp_path / "own.conf"
    secrets.touch(mode=0o600)
    secrets.write_text("00" * 32)
    text = f"edge {{\n listen 127.0.0.1:0\n secrets {secrets}\n tls {{\n  certificate {tmp_path}/edge.pem\n"
    for key, expected in (("edge", code), ("other", 2)):
        own.write_text(f"{text}  key {tmp_path}/{key}.key\n }}\n}}\n")
        found = CliRunner().invoke(
            lilacwalk, ["check", "--file", str(own)], env={"ROUTER_CONFIG": ""}
        )
        assert found.exit_code == expected


def test_the_command_makes_a_token_and_asks_with_it(make_site):
    site = make_site()
    made = CliRunner().invoke(lilacwalk, ["device", "token", str(site.path), "tablet"])
    address = f"127.0.0.1:{site.address[1]}"
    told = subprocess.run(
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
            made.output.strip(),
        ],
        capture_output=True,
        text=True,
        timeout=PATIENCE,
    )
    assert told.returncode == 0 and told.stdout == "outcome=completed come_back_ms=0 body='<hi>'\n"
    refused = CliRunner().invoke(lilacwalk, ["device", "ask", address, "look", "--token", "00"])
    assert refused.exit_code == 5


def test_what_a_device_sends_late_by_its_own_clock_counts_from_its_reading(make_site):
    site = make_site()
    device = site.device()
    began = time.monotonic()
    assert device.outcome(device.ask("look", b"x", 1_500), PATIENCE).word == 0
    assert time.monotonic() - began < 1.5
