"""Helpers: configurations from text, a peer under simulated time, and routers and speakers on
loopback.
"""

import random
from itertools import count

import pytest

from lilacwalk.bgp import messages
from lilacwalk.bgp.attributes import SEQUENCE, Attributes
from lilacwalk.bgp.capabilities import Capabilities
from lilacwalk.bgp.messages import Keepalive, Open
from lilacwalk.bgp.peer import ActionKind, PeerState
from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.bgp.speaker_io import Speaker
from lilacwalk.bgp.speaker_state import SpeakerState
from lilacwalk.operator.loader import parse_operator_file
from lilacwalk.testing.bgp_router import BgpRouter, RouterBehaviour

SECOND = 10_000  # in tenths of a millisecond, the unit of `now` and of durations
OUR_AS, PEER_AS = 65_010, 65_020
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


def announce_config(more="", **changed):
    """The base block with further statements; a keyword argument replaces the base's statement."""
    text = BASE % more
    for keyword, value in changed.items():
        name = keyword.replace("_", "-")
        old_line = next(line for line in text.splitlines() if line.strip().startswith(name + " "))
        text = text.replace(old_line, f"    {name} {value}")
    return parse_operator_file(text, "test").announce


def peer_block(address="127.0.0.1:1790", asn=PEER_AS, *statements):
    """A peer block; each further statement is added, or replaces the default of its keyword."""
    host, port = address if isinstance(address, tuple) else address.rsplit(":", 1)
    settings = {"connect-retry": "50ms", "idle-hold": "50ms"} | dict(
        statement.split(" ", 1) for statement in statements
    )
    settings_lines = "".join(f"        {keyword} {value}\n" for keyword, value in settings.items())
    return f"    peer {host}:{port} {{\n        as {asn}\n{settings_lines}    }}\n"


class PeerHarness:
    """A `PeerState` under simulated time; its actions are sorted into sent messages, closes,
    connects and logs.
    """

    def __init__(self, *peer_lines, more="", restart_claims=(False, True), start=True):
        self.now = 1_000_000
        self.config = announce_config(peer_block("127.0.0.1:1790", PEER_AS, *peer_lines) + more)
        self.peer = PeerState(
            self.config,
            self.config.peer[0],
            count(1),
            random.Random(1),
            self.now,
            lambda: restart_claims,
        )
        self.sent, self.closed, self.connects, self.logs = [], [], [], []
        if start:
            self.peer.start(self.now)
            self.drain_actions()

    def drain_actions(self):
        """Takes the peer's actions and sorts them into the lists of this harness."""
        for action in self.peer.take_actions():
            if action.kind is ActionKind.SEND:
                self.sent += [
                    (action.link, *each) for each in messages.Stream(65_535).feed(action.value)
                ]
            elif action.kind is ActionKind.CLOSE:
                self.closed.append(action.link)
            elif action.kind is ActionKind.CONNECT:
                self.connects.append(action.link)
            else:
                self.logs.append(action.value)
        return self

    def kinds(self, link=None):
        """Types of the messages sent, on one connection or on all."""
        return [kind for number, kind, _ in self.sent if link in (None, number)]

    def notified(self, link=None):
        """Code and subcode of the last sent NOTIFICATION, or None."""
        found = [body for number, kind, body in self.sent if kind == 3 and link in (None, number)]
        return (found[-1][0], found[-1][1]) if found else None

    def receive(self, data, link=None):
        """Delivers bytes from the remote peer, by default on the connection that we opened last."""
        number = self.connects[-1] if link is None else link
        for kind, body in messages.Stream(65_535).feed(data):
            self.peer.message(number, kind, body, self.now)
        return self.drain_actions()

    def receive_open(self, link=None, asn=PEER_AS, hold=9, router_id="127.0.0.20", **capabilities):
        capabilities = {"families": ((1, 1), (2, 1)), "as4": asn, "refresh": True} | capabilities
        return self.receive(
            messages.encode(Open(asn, hold, router_id, Capabilities(**capabilities))), link
        )

    def receive_keepalive(self, link=None):
        return self.receive(messages.encode(Keepalive()), link)

    def connected(self):
        self.peer.connected(self.connects[-1], self.now)
        return self.drain_actions()

    def up(self, **opened):
        """Brings the session from its start to Established."""
        self.connected().receive_open(**opened)
        return self.receive_keepalive()

    def wait(self, time):
        """Advances the time; each timer on the way fires at its own time."""
        end = self.now + time
        while (due := self.peer.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.peer.tick(self.now)
            self.drain_actions()
        self.now = end
        return self

    @property
    def state(self):
        return self.peer.primary.session.state.name


def route(asn=PEER_AS, **more):
    """Attributes of a route that this AS originates; keyword arguments add or replace some."""
    return Attributes(
        **({"as_path": ((SEQUENCE, (asn,)),), "next_hop": bytes((127, 0, 0, 20))} | more)
    )


def update(*prefixes, attributes=None):
    """Encoded UPDATE messages that announce these prefixes."""
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

    def make(config, **more):
        speakers.append(Speaker(config, 1, **more))
        speakers[-1].start()
        return speakers[-1]

    yield make
    for each in speakers:
        each.end()


def make_speaker_state(more="", peers=("127.0.0.1:1790",), **changed):
    """A started `SpeakerState` for these peers, whose first actions were taken."""
    config = announce_config("".join(peer_block(each) for each in peers) + more, **changed)
    state = SpeakerState(config, 1, 1_000_000)
    state.start(1_000_000)
    state.take_actions()
    return state
