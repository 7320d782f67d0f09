"""Parts for the speaker's stories: orders from text, a machine with its time by hand, a speaker on
loopback."""

import random
from itertools import count

import pytest

from lilacwalk.bgp import messages
from lilacwalk.bgp.attributes import SEQUENCE, Attributes
from lilacwalk.bgp.capabilities import Capabilities
from lilacwalk.bgp.messages import Keepalive, Open
from lilacwalk.bgp.peer import Do, Peering
from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.bgp.speaker_io import Speaker
from lilacwalk.bgp.speaker_state import Speaking
from lilacwalk.operator.loader import parse_operator_file
from lilacwalk.testing.bgp_router import BgpRouter, RouterBehaviour

SECOND = 10_000
US, THEM = 65_010, 65_020
BASE = """
announce {
    as 65010
    router-id 127.0.0.1
    next-hop 127.0.0.1
    service 192.0.2.10/32
    ready-for 20ms
    hold-time 9s
    graceful-shutdown 30ms
    propagation 50ms
    sick {
        less-wanted-after 0ms
        withdraw-after 100ms
        well-after 50ms
        med 77
        prepend 2
    }
    damping {
        half-life 5s
        suppress 3000
        reuse 750
        longest 30s
    }
%s
}
"""


def orders(more="", **changed):
    """The base file with more statements in its block; a keyword given anew takes the base's place."""
    lines = BASE % more
    for keyword, word in changed.items():
        name = keyword.replace("_", "-")
        old = next(line for line in lines.splitlines() if line.strip().startswith(name + " "))
        lines = lines.replace(old, f"    {name} {word}")
    return parse_operator_file(lines, "test").announce


def peer_block(address="127.0.0.1:1790", asn=THEM, *more):
    host, port = address if isinstance(address, tuple) else address.rsplit(":", 1)
    base = {"connect-retry": "50ms", "idle-hold": "50ms"} | dict(
        line.split(" ", 1) for line in more
    )
    extra = "".join(f"        {keyword} {word}\n" for keyword, word in base.items())
    return f"    peer {host}:{port} {{\n        as {asn}\n{extra}    }}\n"


class Machine:
    """One peer's machine: what it does is taken apart into what was sent on which link."""

    def __init__(self, *peer, more="", claims=(False, True), start=True):
        self.now = 1_000_000
        self.orders = orders(peer_block("127.0.0.1:1790", THEM, *peer) + more)
        self.peering = Peering(
            self.orders, self.orders.peer[0], count(1), random.Random(1), self.now, lambda: claims
        )
        self.sent, self.closed, self.connects, self.logs = [], [], [], []
        if start:
            self.peering.start(self.now)
            self.take()

    def take(self):
        for action in self.peering.taken():
            if action.do is Do.SEND:
                self.sent += [
                    (action.link, *each) for each in messages.Stream(65_535).feed(action.about)
                ]
            elif action.do is Do.CLOSE:
                self.closed.append(action.link)
            elif action.do is Do.CONNECT:
                self.connects.append(action.link)
            else:
                self.logs.append(action.about)
        return self

    def kinds(self, link=None):
        return [kind for number, kind, _ in self.sent if link in (None, number)]

    def notified(self, link=None):
        """code and subcode of the last NOTIFICATION, or None."""
        found = [body for number, kind, body in self.sent if kind == 3 and link in (None, number)]
        return (found[-1][0], found[-1][1]) if found else None

    def say(self, data, link=None):
        number = self.connects[-1] if link is None else link
        for kind, body in messages.Stream(65_535).feed(data):
            self.peering.message(number, kind, body, self.now)
        return self.take()

    def open(self, link=None, asn=THEM, hold=9, router_id="127.0.0.20", **able):
        able = {"families": ((1, 1), (2, 1)), "as4": asn, "refresh": True} | able
        return self.say(messages.encode(Open(asn, hold, router_id, Capabilities(**able))), link)

    def keepalive(self, link=None):
        return self.say(messages.encode(Keepalive()), link)

    def connected(self):
        self.peering.connected(self.connects[-1], self.now)
        return self.take()

    def up(self, **opened):
        """From a start to Established."""
        self.connected().open(**opened)
        return self.keepalive()

    def wait(self, time):
        """Every timer on the way fires at its own time."""
        end = self.now + time
        while (due := self.peering.due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.peering.tick(self.now)
            self.take()
        self.now = end
        return self

    @property
    def state(self):
        return self.peering.main.session.state.name


def route(asn=THEM, **more):
    return Attributes(
        **({"as_path": ((SEQUENCE, (asn,)),), "next_hop": bytes((127, 0, 0, 20))} | more)
    )


def update(*prefixes, attributes=None):
    rows = [Prefix.of(each) for each in prefixes]
    return b"".join(messages.announcements(rows, attributes or route(), True, False))


@pytest.fixture
def make_router():
    routers = []

    def make(state=lambda: "", host="127.0.0.1", **behaviour):
        routers.append(BgpRouter(RouterBehaviour(**behaviour), host, state))
        return routers[-1]

    yield make
    for each in routers:
        each.end()


@pytest.fixture
def make_speaker():
    speakers = []

    def make(made, **more):
        speakers.append(Speaker(made, 1, **more))
        speakers[-1].start()
        return speakers[-1]

    yield make
    for each in speakers:
        each.end()


def speaking(more="", peers=("127.0.0.1:1790",), **changed):
    made = orders("".join(peer_block(each) for each in peers) + more, **changed)
    machine = Speaking(made, 1, 1_000_000)
    machine.start(1_000_000)
    machine.taken()
    return machine
