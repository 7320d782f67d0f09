"""Fixtures: the device service without sockets, and an app server with its edge in this process."""

import secrets as random_secrets
import threading
from queue import SimpleQueue

import pytest

from lilacwalk.edge import frames
from lilacwalk.edge.client.device import Device
from lilacwalk.edge.config import EdgeConfig
from lilacwalk.edge.device_service import ActionType, DeviceRequestClass, DeviceService
from lilacwalk.edge.frames import Answer, Ask, Got, Hello, Refused, Welcome
from lilacwalk.edge.tokens import DEVICE, Tokens
from lilacwalk.event_queue import EventQueue
from lilacwalk.operator.loader import parse_operator_file
from lilacwalk.overload.model import Effect
from lilacwalk.server.startup import build
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.site_settings import make_process_config

SECOND = 10_000  # in tenths of a millisecond, the unit of `now` and of durations
START = 1_800_000_000 * SECOND
SECRET = bytes(range(32))
REQUEST_CLASSES = {
    "look": DeviceRequestClass(Effect.IDEMPOTENT, 2 * SECOND),
    "swap": DeviceRequestClass(Effect.DEDUPLICATED, 4 * SECOND),
    "move": DeviceRequestClass(Effect.NON_IDEMPOTENT, 4 * SECOND),
}


class ServiceHarness:
    """The device service without sockets.

    Each connection is identified by a number. The bytes that the service sends are decoded to
    frames.
    """

    def __init__(self, **config):
        self.now = START
        self.tokens = Tokens([SECRET], b"n1")
        base = {"listen": ("127.0.0.1", 0), "secrets": ""}
        self.config = EdgeConfig(**(base | config))
        self.service = DeviceService(self.config, REQUEST_CLASSES, self.tokens, 7, self.now)
        self.streams, self.received, self.closed, self.submitted, self.cancelled = (
            {},
            {},
            [],
            [],
            [],
        )
        self.os_accepts_bytes_at_once = True
        self.last_connection_number = 0

    def collect(self):
        """Performs the service's actions and records them in the lists of this harness."""
        while actions := self.service.take_actions():
            for action in actions:
                number = action.connection
                if action.type is ActionType.SEND:
                    stream = self.streams.setdefault(number, frames.Stream(1 << 20))
                    self.received.setdefault(number, []).extend(stream.feed(action.payload))
                    if self.os_accepts_bytes_at_once:
                        self.service.bytes_sent(number, len(action.payload), self.now)
                elif action.type is ActionType.CLOSE:
                    self.closed.append(number)
                elif action.type is ActionType.SUBMIT:
                    self.submitted.append((action.session, action.number, action.payload))
                elif action.type is ActionType.CLIENT_GONE:
                    self.cancelled.append(action.number)
        return self

    def open(self, address=b"\x7f\0\0\1", identity=b""):
        self.last_connection_number += 1
        self.is_admitted = self.service.connection_opened(
            self.last_connection_number, address, identity, self.now
        )
        self.collect()
        return self.last_connection_number

    def token(self, name=b"tablet", until=1_900_000_000):
        return self.tokens.make(DEVICE, name, until)

    def hello(
        self, session=b"", got=0, window=16, token=None, steady=False, name=b"tablet", number=None
    ):
        """Sends HELLO, on a new connection unless one is given; returns the connection's number."""
        number = self.open() if number is None else number
        self.send(
            number,
            Hello(1, self.token(name) if token is None else token, session, got, window, steady),
        )
        return number

    def send(self, number, *frames_sent):
        for each in frames_sent:
            self.service.frame_received(number, each, self.now)
        return self.collect()

    def welcome(self, number):
        """Returns the WELCOME frame that this connection received, or None."""
        return next(
            (each for each in self.received.get(number, []) if isinstance(each, Welcome)), None
        )

    def refused(self, number):
        """Returns the reason in the REFUSED frame that this connection received, or None."""
        return next(
            (each.reason for each in self.received.get(number, []) if isinstance(each, Refused)),
            None,
        )

    def answers(self, number):
        """Returns the ANSWER frames that this connection received."""
        return [each for each in self.received.get(number, []) if isinstance(each, Answer)]

    def disconnect(self, number):
        self.service.connection_closed(number, self.now)
        return self.collect()

    def answer(self, index=-1, word=0, body=b"ok", come_back=0):
        """Answers the submitted request at this index, by default the last one."""
        session, number, _ = self.submitted[index]
        self.service.send_answer(session, number, word, body, come_back, self.now)
        return self.collect()

    def wait(self, time):
        """Advances the time; each timer on the way fires at its own time."""
        end = self.now + time
        while (due := self.service.due()) <= end:
            self.now = max(self.now, due)
            self.service.tick(self.now)
            self.collect()
        self.now = end
        return self


def ask(number, group="look", body=b"hello", wait=0, got=0, **more):
    return Ask(number, group, body, wait, got, **more)


__all__ = ["ask", "Got"]


class EdgeSite:
    """An app server in this process with its edge and a stand-in for the executor.

    If `blocks_before` is given, the server starts with these blocks of the operator's file and
    opens its store, and a reload then adds the edge.
    """

    def __init__(
        self,
        tmp_path,
        block="",
        work=lambda group, body: 0.0,
        result=lambda group, body: b"<" + body + b">",
        cores=2,
        blocks_before=None,
        **given,
    ):
        self.path = tmp_path / "secrets"
        self.path.touch(mode=0o600)
        self.secret = random_secrets.token_bytes(32)
        self.path.write_text(self.secret.hex() + "\n")
        self.executor = StandInExecutor(cores, work, result)
        edge = f"edge {{\n listen 127.0.0.1:0\n secrets {self.path}\n customer devices\n{block}}}\n"
        self.event_loop, parts = build(
            make_process_config(self.executor.address, **given), EventQueue()
        )
        subsystems = self.event_loop.subsystems
        self.config = parse_operator_file((blocks_before or "") + edge, "test")
        subsystems.apply(
            self.config if blocks_before is None else parse_operator_file(blocks_before, "test")
        )
        self.thread = threading.Thread(target=self.event_loop.run, daemon=True)
        self.parts, self.devices = parts, []
        for each in [self.thread, *parts]:
            each.start()
        if blocks_before is not None:
            while not self.call_in_event_loop(lambda _: subsystems.persistence.store):
                pass
            self.call_in_event_loop(lambda _: subsystems.apply(self.config))
        self.edge = subsystems.devices.edge
        self.address = self.edge.address
        while not self.call_in_event_loop(lambda event_loop: event_loop.executor.is_ready):
            pass

    def token(self, name=b"tablet"):
        return Tokens([self.secret], b"").make(DEVICE, name, 1_900_000_000)

    def device(self, name=b"tablet", address=None, token=None, **more):
        self.devices.append(
            Device(address or self.address, self.token(name) if token is None else token, **more)
        )
        return self.devices[-1]

    def call_in_event_loop(self, function):
        """Calls `function` with the event loop, in the event loop's thread."""
        answers = SimpleQueue()
        self.event_loop.event_queue.post(lambda: answers.put(function(self.event_loop)))
        return answers.get(timeout=10.0)

    def call_in_edge_thread(self, function):
        """Calls `function` with the device service, in the edge's thread."""
        answers = SimpleQueue()
        self.edge.post(lambda: answers.put(function(self.edge.service)))
        return answers.get(timeout=10.0)

    def end(self):
        for each in self.devices:
            each.end()
        if self.thread.is_alive():
            self.event_loop.event_queue.post(setattr, self.event_loop, "has_ended", True)
            self.thread.join(10.0)
        self.edge.end()
        for part in self.parts:
            part.close()
        self.executor.end()


@pytest.fixture
def harness():
    return ServiceHarness()


@pytest.fixture
def make_site(tmp_path):
    sites = []

    def make(*block, **more):
        sites.append(EdgeSite(tmp_path, "".join(f" {line}\n" for line in block), **more))
        return sites[-1]

    yield make
    for each in sites:
        each.end()
