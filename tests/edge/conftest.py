"""Parts for the devices' stories: a machine by hand, and an app server with its edge between stand-ins."""

import secrets as random_secrets
import threading
from queue import SimpleQueue

import pytest

from lilacwalk.edge import frames
from lilacwalk.edge.client.device import Device
from lilacwalk.edge.config import EdgeConfig
from lilacwalk.edge.device_service import Do, Group, Serving
from lilacwalk.edge.frames import Answer, Ask, Got, Hello, Refused, Welcome
from lilacwalk.edge.tokens import DEVICE, Tokens
from lilacwalk.event_queue import EventQueue
from lilacwalk.operator.loader import parse_operator_file
from lilacwalk.overload.model import Effect
from lilacwalk.server.startup import build
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.site_settings import make_process_config

SECOND = 10_000
START = 1_800_000_000 * SECOND
SECRET = bytes(range(32))
GROUPS = {
    "look": Group(Effect.IDEMPOTENT, 2 * SECOND),
    "swap": Group(Effect.DEDUPLICATED, 4 * SECOND),
    "move": Group(Effect.NON_IDEMPOTENT, 4 * SECOND),
}


class World:
    """The edge's machine; connections are numbers, and what is sent on each is read back as frames."""

    def __init__(self, **orders):
        self.now = START
        self.tokens = Tokens([SECRET], b"n1")
        base = {"listen": ("127.0.0.1", 0), "secrets": ""}
        self.orders = EdgeConfig(**(base | orders))
        self.serving = Serving(self.orders, GROUPS, self.tokens, 7, self.now)
        self.streams, self.read, self.closed, self.asks, self.gone = {}, {}, [], [], []
        self.flowing = True  # what is sent is taken by the system at once
        self.numbers = 0

    def take(self):
        while actions := self.serving.taken():
            for action in actions:
                number = action.connection
                if action.do is Do.SEND:
                    stream = self.streams.setdefault(number, frames.Stream(1 << 20))
                    self.read.setdefault(number, []).extend(stream.feed(action.about))
                    if self.flowing:
                        self.serving.sent(number, len(action.about), self.now)
                elif action.do is Do.CLOSE:
                    self.closed.append(number)
                elif action.do is Do.ASK:
                    self.asks.append((action.session, action.number, action.about))
                elif action.do is Do.GONE:
                    self.gone.append(action.number)
        return self

    def open(self, address=b"\x7f\0\0\1", identity=b""):
        self.numbers += 1
        self.let_in = self.serving.opened(self.numbers, address, identity, self.now)
        self.take()
        return self.numbers

    def token(self, name=b"tablet", until=1_900_000_000):
        return self.tokens.make(DEVICE, name, until)

    def hello(
        self, session=b"", got=0, window=16, token=None, steady=False, name=b"tablet", number=None
    ):
        number = self.open() if number is None else number
        self.say(
            number,
            Hello(1, self.token(name) if token is None else token, session, got, window, steady),
        )
        return number

    def say(self, number, *said):
        for each in said:
            self.serving.frame(number, each, self.now)
        return self.take()

    def welcome(self, number):
        return next((each for each in self.read.get(number, []) if isinstance(each, Welcome)), None)

    def refused(self, number):
        return next(
            (each.reason for each in self.read.get(number, []) if isinstance(each, Refused)), None
        )

    def answers(self, number):
        return [each for each in self.read.get(number, []) if isinstance(each, Answer)]

    def lose(self, number):
        self.serving.closed(number, self.now)
        return self.take()

    def answer(self, at=-1, word=0, body=b"ok", come_back=0):
        session, number, _ = self.asks[at]
        self.serving.answered(session, number, word, body, come_back, self.now)
        return self.take()

    def wait(self, time):
        end = self.now + time
        while (due := self.serving.due()) <= end:
            self.now = max(self.now, due)
            self.serving.tick(self.now)
            self.take()
        self.now = end
        return self


def ask(number, group="look", body=b"hello", wait=0, got=0, **more):
    return Ask(number, group, body, wait, got, **more)


__all__ = ["ask", "Got"]


class EdgeSite:
    """An app server in this process with its edge, a kernel stand-in behind it."""

    def __init__(
        self,
        tmp_path,
        block="",
        work=lambda group, body: 0.0,
        result=lambda group, body: b"<" + body + b">",
        cores=2,
        **given,
    ):
        self.path = tmp_path / "secrets"
        self.path.touch(mode=0o600)
        self.secret = random_secrets.token_bytes(32)
        self.path.write_text(self.secret.hex() + "\n")
        self.kernel = StandInExecutor(cores, work, result)
        text = f"edge {{\n listen 127.0.0.1:0\n secrets {self.path}\n customer devices\n{block}}}\n"
        self.event_loop, parts = build(
            make_process_config(self.kernel.address, **given), EventQueue()
        )
        self.orders = parse_operator_file(text, "test")
        self.event_loop.subsystems.apply(self.orders)
        self.thread = threading.Thread(target=self.event_loop.run, daemon=True)
        self.parts, self.devices = parts, []
        for each in [self.thread, *parts]:
            each.start()
        self.edge = self.event_loop.subsystems.devices.edge
        self.address = self.edge.address
        while not self.decided(lambda event_loop: event_loop.executor.is_ready):
            pass

    def token(self, name=b"tablet"):
        return Tokens([self.secret], b"").make(DEVICE, name, 1_900_000_000)

    def device(self, name=b"tablet", address=None, token=None, **more):
        self.devices.append(
            Device(address or self.address, self.token(name) if token is None else token, **more)
        )
        return self.devices[-1]

    def decided(self, question):
        """Asked of the event loop."""
        answers = SimpleQueue()
        self.event_loop.event_queue.post(lambda: answers.put(question(self.event_loop)))
        return answers.get(timeout=10.0)

    def inside(self, question):
        """Asked of the edge's machine in its own thread."""
        answers = SimpleQueue()
        self.edge.put(lambda: answers.put(question(self.edge.serving)))
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
        self.kernel.end()


@pytest.fixture
def world():
    return World()


@pytest.fixture
def make_site(tmp_path):
    sites = []

    def make(*block, **more):
        sites.append(EdgeSite(tmp_path, "".join(f" {line}\n" for line in block), **more))
        return sites[-1]

    yield make
    for each in sites:
        each.end()
