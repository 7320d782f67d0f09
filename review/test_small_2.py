"""The faults of the cases 6 to 10 and two more, each in one process and without load.

Each test fails as long as its fault is there; KNOWN-RED.txt has them. Bounds come from the settings
and the operators' pages.
"""

import json
import os
import signal
import socket
import struct
import sys
import threading
import time
from pathlib import Path

import pytest

from lilacwalk.edge.coap import messages
from lilacwalk.edge.coap.messages import Message, Option, Type
from lilacwalk.edge.coap.service import CoapService
from lilacwalk.edge.config import EdgeConfig, Tls
from lilacwalk.edge.device_service import ActionType, DeviceRequestClass, DeviceService
from lilacwalk.edge.duplicate_detector import COMPLETED, DENIED
from lilacwalk.edge.frames import Ask, Hello
from lilacwalk.edge.host import EdgeHost
from lilacwalk.edge.tokens import DEVICE, Tokens
from lilacwalk.event_queue import EventQueue
from lilacwalk.frontends.devices import DeviceFrontend
from lilacwalk.limits import Limits
from lilacwalk.operator.loader import parse_operator_file
from lilacwalk.overload.model import Effect
from lilacwalk.protocols.resp import RespParser
from lilacwalk.server import startup
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.site_settings import make_process_config

SECOND = 10_000  # tenths of a millisecond
START = 1_800_000_000 * SECOND
SECRET = bytes(range(32))
TOKENS = Tokens([SECRET], b"n1")
SOCKET_SLACK = 500  # what PROTOCOL.md adds to each time limit, in tenths of a millisecond
CERTIFICATES = Path(__file__).parent / "8"


def edge_config(**changes):
    """The configuration of an edge, with these changes."""
    return EdgeConfig(**({"listen": ("127.0.0.1", 0), "secrets": ""} | changes))


def test_endless_messages_on_all_connections_fit_into_the_memory():
    """Case 6."""
    memory_mb = 48
    limits = Limits.from_configuration(
        {"limits": {"memory_mb": memory_mb, "sockets": 512}, "settings": {"family_info": {}}}
    )
    parser = RespParser(limits.max_message_parts, limits.max_part_bytes, limits.max_skipped_bytes)
    part = b"$16384\r\n" + b"x" * 16_384 + b"\r\n"
    endless = b"*8\r\n" + 7 * part + part[:-100]
    for at in range(0, len(endless), limits.proxy_read_bytes):
        assert not list(parser.feed(endless[at : at + limits.proxy_read_bytes]))
    retained = len(parser.unparsed) + sum(len(each.obj) for each in parser.parts if each)
    assert limits.connections * retained <= memory_mb * 2**20


@pytest.fixture
def process_state():
    """Restores what `serve` changes in this process."""
    handlers = {each: signal.getsignal(each) for each in (signal.SIGHUP, signal.SIGTERM)}
    stack_size, interval = threading.stack_size(), sys.getswitchinterval()
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)
    threading.stack_size(stack_size)
    sys.setswitchinterval(interval)


@pytest.mark.usefixtures("process_state")
def test_a_drain_counts_from_the_notice_if_the_queue_is_long(tmp_path, monkeypatch):
    """Case 7: the notice is handled a second late, as there is a second's work in the queue."""
    executor = StandInExecutor()
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps(make_process_config(executor.address, stop_ms=1000)))
    built, notices = [], []
    build = startup.build

    def build_and_keep(*arguments):
        event_loop, components = build(*arguments)
        built.append((event_loop, components))
        return event_loop, components

    monkeypatch.setattr(startup, "build", build_and_keep)

    def send_notice():
        while not built or built[0][0].controller is None:
            time.sleep(0.01)
        for _ in range(1000):
            built[0][0].event_queue.post(time.sleep, 0.001)
        notices.append(time.time_ns() // 100_000)
        os.kill(os.getpid(), signal.SIGTERM)

    thread = threading.Thread(target=send_notice)
    thread.start()
    assert startup.serve(str(config_path)) == 0
    thread.join()
    event_loop, components = built[0]
    for each in components:
        each.close()
    executor.end()
    stop_at = notices[0] + event_loop.limits.stop_timeout
    assert event_loop.drain.stop_at <= stop_at + SOCKET_SLACK


def test_a_connection_that_is_reset_before_it_is_accepted_does_not_end_the_tls_edge(tmp_path):
    """Case 8."""
    for name, content in (
        ("secrets", SECRET.hex().encode()),
        ("certificate", (CERTIFICATES / "test-certificate.pem").read_bytes()),
        ("key", (CERTIFICATES / "test-key.pem").read_bytes()),
    ):
        (tmp_path / name).write_bytes(content)
        (tmp_path / name).chmod(0o600)
    config = edge_config(
        secrets=str(tmp_path / "secrets"),
        tls=Tls(certificate=str(tmp_path / "certificate"), key=str(tmp_path / "key")),
    )
    host = EdgeHost(config, {}, "n1", 1, lambda: START, print, print)
    try:
        sock = socket.create_connection(host.address)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        host._accept()
    finally:
        for each in (host.listener, host.wakeup_receiver, host.wakeup_sender):
            each.close()


class FakeFrontend(DeviceFrontend):
    """Resolves recovered requests; the log has the execution of one request."""

    def __init__(self, first_session):
        """`first_session` is the session whose request 1 has begun."""
        self.first_session, self.host, self.edge = first_session, self, self
        self.answers = []

    def find_earlier_execution(self, class_name, _tenant, _key, request_id):
        """Finds the execution by its class or by its request id."""
        is_known = class_name == "move" or request_id == self._request_id(self.first_session, 1)
        return is_known, None

    def send_answer(self, _session, number, word, _body, _come_back):
        """Records the answer."""
        self.answers.append((number, word))


def test_a_repeat_of_a_mutating_request_that_began_is_not_denied_after_a_restart():
    """Case 9."""
    classes = {
        "move": DeviceRequestClass(Effect.NON_IDEMPOTENT, 4 * SECOND),
        "look": DeviceRequestClass(Effect.IDEMPOTENT, 4 * SECOND),
    }
    service = DeviceService(edge_config(), classes, TOKENS, 1, START)
    service.persists_sessions = True
    token = TOKENS.make(DEVICE, b"tablet", 1_900_000_000)
    rows, submitted = {}, []
    asks = (
        (1, Ask(1, "move", b"left-pad 1.3.0", 0, 0)),
        (2, Ask(1, "move", b"left-pad 1.3.0", 0, 0)),
        (2, Ask(2, "look", b"left-pad", 0, 0)),
    )
    for connection, ask in asks:
        if connection not in service.connections:
            service.connection_opened(connection, b"\x7f\0\0\1", b"", START)
            service.frame_received(connection, Hello(1, token, b"", 0, 16, False), START)
        service.frame_received(connection, ask, START)
        for action in service.take_actions():
            if action.type is ActionType.PERSIST:
                rows |= action.payload
            elif action.type is ActionType.SUBMIT:
                submitted.append((action.session, action.payload.frame.group))
    assert [group for _, group in submitted] == ["move", "look"]

    restarted = DeviceService(edge_config(), classes, TOKENS, 2, START)
    restarted.persists_sessions = True
    restarted.recover_sessions(rows, START)
    frontend = FakeFrontend(submitted[0][0])
    for action in restarted.take_actions():
        if action.type is ActionType.RECOVER:
            frontend.request_recovered(action.session, action.number, action.payload)
    assert (1, DENIED) not in frontend.answers


def test_a_reload_that_adds_the_edge_beside_a_store_starts_it(tmp_path):
    """An entry of issue 45: the edge listens, and nobody serves it."""
    (tmp_path / "secrets").write_text(SECRET.hex())
    (tmp_path / "secrets").chmod(0o600)
    store = f"store {{\n    directory {tmp_path}/kept\n}}\n"
    edge = f"edge {{\n    listen 127.0.0.1:0\n    secrets {tmp_path}/secrets\n}}\n"
    executor = StandInExecutor()
    event_loop, components = startup.build(make_process_config(executor.address), EventQueue())
    subsystems = event_loop.subsystems
    subsystems.apply(parse_operator_file(store, "file"))
    thread = threading.Thread(target=event_loop.run, daemon=True)
    thread.start()
    try:
        while subsystems.persistence.store is None:
            time.sleep(0.01)
        reloaded = threading.Event()
        event_loop.event_queue.post(subsystems.apply, parse_operator_file(store + edge, "file"))
        event_loop.event_queue.post(reloaded.set)
        assert reloaded.wait(10)
        assert subsystems.devices.edge.thread.is_alive()
    finally:
        event_loop.event_queue.post(setattr, event_loop, "has_ended", True)
        thread.join()
        subsystems.stop(1.0)
        for each in components:
            each.close()
        executor.end()


def test_requests_with_different_idempotency_keys_are_not_taken_for_duplicates():
    """A device that lost its session asks a second exchange that looks like the first."""
    classes = {"swap": DeviceRequestClass(Effect.DEDUPLICATED, 6 * SECOND)}
    service = DeviceService(edge_config(), classes, TOKENS, 1, START)
    token = TOKENS.make(DEVICE, b"tablet", 1_900_000_000)
    submitted = []
    for connection, key in ((1, "update-1"), (2, "update-2")):
        service.connection_opened(connection, b"\x7f\0\0\1", b"", START)
        service.frame_received(connection, Hello(1, token, b"", 0, 16, False), START)
        ask = Ask(1, "swap", b"lot 7: one more room", 0, 0, key=key)
        service.frame_received(connection, ask, START)
        submitted += [
            action.payload.frame.key
            for action in service.take_actions()
            if action.type is ActionType.SUBMIT
        ]
        service.connection_closed(connection, START)
    assert submitted == ["update-1", "update-2"]


def test_each_coap_request_is_answered_if_many_end_while_the_link_stalls():
    """Case 10."""
    classes = {"swap": DeviceRequestClass(Effect.NON_IDEMPOTENT, 11 * SECOND)}
    service = CoapService(edge_config(), classes, TOKENS, 1, START)
    address, token = ("127.0.0.1", 5683), TOKENS.make(DEVICE, b"tablet", 1_900_000_000)
    now, requests, datagrams = START, [], []

    def collect():
        for action in service.take_actions():
            if action.type is ActionType.SUBMIT:
                requests.append(action.session)
            elif action.type is ActionType.DATAGRAM:
                datagrams.append(messages.decode(action.payload[1]))

    def ask(number, *options):
        path = [(Option.URI_PATH, b"x"), (Option.URI_PATH, b"swap"), (Option.DEVICE, token)]
        message = Message(
            Type.CON, messages.POST, number, b"%04d" % number, (*path, *options), b"%d" % number
        )
        service.datagram_received(address, messages.encode(message), now)
        collect()

    ask(1)
    ask(2, (Option.ECHO, datagrams.pop().first(Option.ECHO)))
    for number in range(3, 16):
        ask(number)
    now += SECOND
    service.tick(now)  # empty acknowledgements
    collect()
    datagrams.clear()
    for request in requests:  # the link stalls: no acknowledgement comes meanwhile
        service.send_answer(request, COMPLETED, b"done", 0, now)
        collect()
    answered = set()
    while datagrams:
        message = datagrams.pop(0)
        answered.add(message.token)
        acknowledgement = Message(Type.ACK, messages.EMPTY, message.mid)
        service.datagram_received(address, messages.encode(acknowledgement), now)
        collect()
    assert len(requests) == 14
    assert answered == {request.message.token for request in requests}
