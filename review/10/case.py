"""A device's link stalls while its exchanges end: does each get its answer over CoAP?"""

from __future__ import annotations

import os
import selectors
import socket
import threading
import time
from pathlib import Path

import harness

from lilacwalk.edge.coap import messages
from lilacwalk.edge.coap.messages import Message, Option, Type
from lilacwalk.edge.tokens import DEVICE, Tokens

FOLDER = Path(__file__).resolve().parent
SECRET = bytes(range(32))
EXCHANGES = 14
TIMEOUT_MS = 11_000
RUN_SECONDS = {"lot-lookup": 0.05, "sale-record": 3.2}
STALL_SECONDS = 4.0
CLASSES = [
    {
        "name": "lot-lookup",
        "aim_ms": 1100.0,
        "hard_limit_ms": 2700.0,
        "effect": "safe",
        "worth": 1.0,
        "late_worth": 0.0,
    },
    {
        "name": "sale-record",
        "aim_ms": 3400.0,
        "hard_limit_ms": float(TIMEOUT_MS),
        "effect": "unsafe",
        "worth": 3.0,
        "late_worth": 0.5,
    },
]
OPERATOR_FILE = """edge {
    listen EDGE
    coap COAP
    secrets FOLDER/secrets
    customer poti-main
}
"""


class Link:
    """The device's link: passes datagrams on, and holds them back while it stalls."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Starts the thread; `address` is where the device sends to."""
        self.near = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.near.bind(("127.0.0.1", 0))
        self.address = self.near.getsockname()
        self.far = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.far.connect(target)
        self.device: tuple[str, int] | None = None
        self.is_stalled = False
        self.held: list[tuple[bool, bytes]] = []  # to the edge or to the device
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        selector = selectors.DefaultSelector()
        selector.register(self.near, selectors.EVENT_READ)
        selector.register(self.far, selectors.EVENT_READ)
        while True:
            for key, _ in selector.select(0.01):
                data, source = key.fileobj.recvfrom(65_536)
                if key.fileobj is self.near:
                    self.device = source
                self.held.append((key.fileobj is self.near, data))
            while self.held and not self.is_stalled:
                is_to_edge, data = self.held.pop(0)
                if is_to_edge:
                    self.far.send(data)
                elif self.device is not None:
                    self.near.sendto(data, self.device)


class CoapTablet:
    """A device with many exchanges under way; it sends the next request once one is acknowledged.

    That is one outstanding interaction at a time, as RFC 7252 wants it (NSTART is 1).
    """

    def __init__(self, record: harness.Record, address: tuple[str, int], token: bytes) -> None:
        """Starts the thread that receives."""
        self.record, self.token = record, token
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.connect(address)
        self.echo = b""
        self.message_id = int.from_bytes(os.urandom(2), "big")
        self.changed = threading.Condition()
        self.acknowledged: set[int] = set()  # message ids
        self.answers: dict[bytes, str] = {}  # codes by token of the request
        self.echo_wanted: set[bytes] = set()
        threading.Thread(target=self._receive, daemon=True).start()

    def _receive(self) -> None:
        while True:
            try:
                message = messages.decode(self.sock.recv(65_536))
            except ConnectionRefusedError:
                continue
            with self.changed:
                if message.type is Type.ACK:
                    self.acknowledged.add(message.mid)
                if message.is_response:
                    self._response(message)
                self.changed.notify_all()

    def _response(self, message: Message) -> None:
        if message.type is Type.CON:
            self.sock.send(messages.encode(Message(Type.ACK, messages.EMPTY, message.mid)))
        echo = message.first(Option.ECHO)
        if message.code == messages.UNAUTHORIZED and echo is not None:
            self.echo = echo
            self.echo_wanted.add(message.token)
        elif message.token not in self.answers:
            self.answers[message.token] = messages.format_code(message.code)
            self.record(
                f"device has the answer to {message.token!r}: {self.answers[message.token]}"
            )

    def ask(self, token: bytes, body: bytes) -> None:
        """Sends a request, again until it is acknowledged."""
        for _ in range(2):
            self.message_id = self.message_id + 1 & 0xFFFF
            options = [
                (Option.URI_PATH, b"x"),
                (Option.URI_PATH, b"sale-record"),
                (Option.URI_QUERY, b"w=%d" % TIMEOUT_MS),
                (Option.DEVICE, self.token),
            ]
            if self.echo:
                options.append((Option.ECHO, self.echo))
            data = messages.encode(
                Message(Type.CON, messages.POST, self.message_id, token, tuple(options), body)
            )
            with self.changed:
                for _ in range(5):
                    self.sock.send(data)
                    if self.changed.wait_for(lambda: self.message_id in self.acknowledged, 2.0):
                        break
            if token not in self.echo_wanted:
                self.record(f"device asks {token!r} {body!r}")
                return
            self.echo_wanted.discard(token)


def play(record: harness.Record) -> int:
    """Plays the case; returns its exit code."""
    edge, coap = harness.free_address(), harness.free_address()
    operator_file = OPERATOR_FILE.replace("EDGE", harness.format_address(edge))
    operator_file = operator_file.replace("COAP", harness.format_address(coap))
    kernel = harness.Kernel(record, lambda name, _body: RUN_SECONDS[name])
    server = harness.AppServer(
        record,
        kernel,
        harness.settings("coast-auction", CLASSES),
        operator_file=operator_file,
        files={"secrets": SECRET.hex().encode() + b"\n"},
    )
    token = Tokens([SECRET], b"").make(DEVICE, b"tablet", int(time.time()) + 3600)
    tokens = [b"sale%02d" % number for number in range(EXCHANGES)]
    router = harness.Router(record, server.address, 1)
    is_over = threading.Event()

    def send_usual_requests() -> None:
        while not is_over.wait(0.1):
            router.submit("lot-lookup", b"usual", 2700, "poti-main")

    try:
        server.start()
        threading.Thread(target=send_usual_requests).start()
        link = Link(coap)
        tablet = CoapTablet(record, link.address, token)
        for number, each in enumerate(tokens):
            tablet.ask(each, b"sale %d" % number)
        if harness.has_trouble():
            record(f"trouble: the link stalls for {STALL_SECONDS} s")
            link.is_stalled = True
            time.sleep(STALL_SECONDS)
            link.is_stalled = False
            record("the link resumes")
        with tablet.changed:
            # Until the last one is due, with the slack of the settings, and a second more.
            tablet.changed.wait_for(
                lambda: len(tablet.answers) == EXCHANGES, TIMEOUT_MS / 1000 + 1.1
            )
        unanswered = [each.decode() for each in tokens if each not in tablet.answers]
    finally:
        is_over.set()
        server.end()
        kernel.end()
    runs = sum(each[2] == "sale-record" for each in kernel.runs)
    for each in unanswered:
        record(f"device has NO answer to {each}")
    record.both(
        f"{EXCHANGES} exchanges of the device, {runs} runs of them, without an answer: "
        f"{unanswered or 'none'}"
    )
    return harness.BROKEN if unanswered else harness.HELD


if __name__ == "__main__":
    harness.run_case(str(FOLDER), play)
