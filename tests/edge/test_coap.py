"""CoAP: the codec, the message layer, bodies in pieces, whose address is whose, and the whole over a bad
link."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from lilacwalk.commands import lilacwalk
from lilacwalk.edge.client.coap import CoapDevice
from lilacwalk.edge.coap import messages
from lilacwalk.edge.coap.address_validation import Proof
from lilacwalk.edge.coap.blocks import Block, BlockError, Incoming, piece
from lilacwalk.edge.coap.messages import Message, MessageError, Option, Type
from lilacwalk.edge.coap.reliability import EXCHANGE_LIFETIME, NON_LIFETIME, Reliability, Timeout
from lilacwalk.edge.coap.service import CoapServing
from lilacwalk.edge.config import EdgeConfig
from lilacwalk.edge.device_service import Do
from lilacwalk.edge.tokens import DEVICE, Tokens
from lilacwalk.testing.lossy_proxy import LinkConditions, UdpProxy
from tests.edge.conftest import GROUPS, SECOND, SECRET, START

HERE, THERE = ("127.0.0.1", 5000), ("127.0.0.1", 5001)
POST, ACK, CON, NON, RST = messages.POST, Type.ACK, Type.CON, Type.NON, Type.RST
PATIENCE = 10.0

optioned = st.lists(st.tuples(st.integers(0, 3000), st.binary(max_size=300)), max_size=5).map(
    lambda rows: tuple(sorted(rows, key=lambda each: each[0]))
)
wholes = st.builds(
    Message,
    st.sampled_from(Type),
    st.sampled_from([1, 2, 5, 68, 69, 132, 160]),
    st.integers(0, 65535),
    st.binary(max_size=8),
    optioned,
    st.binary(max_size=50),
)


@given(wholes)
def test_a_message_comes_back_as_it_was(message):
    assert messages.decode(messages.encode(message)) == message


@given(st.binary(max_size=60))
def test_any_bytes_are_a_message_or_a_message_error(data):
    try:
        messages.decode(data)
    except MessageError as error:
        assert error.mid is None or 0 <= error.mid < 65536


@pytest.mark.parametrize(
    "data, rejected",
    [
        (b"", False),
        (b"\x80\x01\0\1", False),
        (b"\x49\2\0\1" + bytes(9), True),
        (b"\x42\2\0\1x", True),
        (b"\x40\0\0\1x", True),
        (b"\x40\2\0\1\xff", True),
        (b"\x40\2\0\1\xf0", True),
        (b"\x40\2\0\1\x0f", True),
        (b"\x40\2\0\1\xd0", True),
        (b"\x40\2\0\1\x05ab", True),
        (b"\x40\x20\0\1", True),
        (b"\x60\2\0\1\xff", False),
        (b"\x40\2\0\1" + b"\x10" * 40, True),
    ],
)
def test_what_is_no_message_is_rejected_where_it_may_be_and_else_ignored(data, rejected):
    with pytest.raises(MessageError) as error:
        messages.decode(data)
    assert (error.value.mid is not None) is rejected


class World:
    def __init__(self, proven=True, **orders):
        self.now, self.mid = START, 0
        self.tokens = Tokens([SECRET], b"n1")
        self.orders = EdgeConfig(**({"listen": ("127.0.0.1", 0), "secrets": ""} | orders))
        self.serving = CoapServing(self.orders, GROUPS, self.tokens, 7, self.now)
        self.sent, self.asks = [], []
        self.proven = proven

    def take(self):
        """What was sent since, as messages."""
        sent = []
        for action in self.serving.taken():
            if action.do is Do.DATAGRAM:
                sent.append(messages.decode(action.about[1]))
            elif action.do is Do.ASK:
                self.asks.append((action.session, action.about))
        self.sent += sent
        return sent

    def say(self, message, address=HERE):
        if self.proven:
            self.serving.proof.proven[address] = self.now + 10**9
        self.serving.datagram(address, messages.encode(message), self.now)
        return self.take()

    def request(
        self, group="look", payload=b"hello", kind=CON, options=(), queries=(), token=None, mid=None
    ):
        self.mid += 1
        made = self.tokens.make(DEVICE, b"tablet", 1_900_000_000) if token is None else token
        fixed = [(Option.URI_PATH, b"x"), (Option.URI_PATH, group.encode()), (Option.DEVICE, made)]
        fixed += [(Option.URI_QUERY, each) for each in queries]
        return Message(
            kind,
            POST,
            mid or self.mid,
            b"tk",
            tuple(sorted([*fixed, *options], key=lambda each: each[0])),
            payload,
        )

    def answer(self, at=-1, word=0, body=b"ok", come_back=0):
        self.serving.answered(self.asks[at][0], word, body, come_back, self.now)
        return self.take()

    def wait(self, time):
        end = self.now + time
        while (due := self.serving.due()) <= end:
            self.now = max(self.now, due)
            self.serving.tick(self.now)
        self.now = end
        return self.take()


def test_an_answer_that_is_there_at_once_rides_on_the_acknowledgement():
    world = World()
    assert world.say(world.request(queries=[b"w=1000", b"k=key"])) == []
    assert (world.asks[0][1].ask.key, world.asks[0][1].wait) == ("key", SECOND)
    assert world.answer() == [Message(ACK, messages.CHANGED, 1, b"tk", (), b"ok")]


def test_a_late_one_comes_by_itself_until_it_is_acknowledged():
    world = World()
    world.say(world.request())
    assert world.wait(SECOND) == [Message(ACK, 0, 1)]
    [separate] = world.answer()
    assert (separate.type, separate.code, separate.payload) == (CON, messages.CHANGED, b"ok")
    again = world.wait(4 * SECOND)
    assert again and all(each == separate for each in again)
    assert world.say(Message(ACK, 0, separate.mid)) == [] and world.wait(100 * SECOND) == []
    assert world.serving.idle


def test_a_separate_answer_nobody_acknowledges_is_given_up_after_four_more_and_kept_for_who_asks_again():
    world = World(repeat_window=300 * SECOND)
    world.say(world.request("move"))
    world.wait(SECOND)
    world.answer()
    assert len(world.wait(200 * SECOND)) == 4 and world.serving.counts["lost"] == 1
    assert world.say(world.request("move"))[0].payload == b"ok" and len(world.asks) == 1


@pytest.mark.parametrize("when", ["before", "after", "acknowledged"])
def test_a_doubled_request_is_one_exchange_and_gets_the_same_reply(when):
    world = World()
    request = world.request("move")
    world.say(request)
    if when == "acknowledged":
        [first] = world.wait(SECOND)
    if when == "after":
        [first] = world.answer()
    again = world.say(request)
    assert len(world.asks) == 1 and again == ([] if when == "before" else [first])


def test_a_message_id_used_after_its_lifetime_is_a_new_exchange():
    world = World(repeat_window=SECOND)
    world.say(world.request("move", mid=9))
    world.answer()
    world.wait(EXCHANGE_LIFETIME - SECOND)
    world.say(world.request("move", mid=9))
    assert len(world.asks) == 1
    world.wait(2 * SECOND)
    world.say(world.request("move", mid=9))
    assert len(world.asks) == 2
    world.say(world.request("look", kind=NON, mid=10))
    world.wait(NON_LIFETIME + 1)
    world.say(world.request("look", kind=NON, mid=10))
    assert len(world.asks) == 4


def test_a_device_that_asks_anew_is_joined_or_answered_and_one_that_has_its_answer_means_it():
    world = World()
    world.say(world.request("move"))
    world.say(world.request("move"), THERE)  # its address changed with the network
    assert len(world.asks) == 1 and len(world.answer()) == 2
    world.say(world.request("move"))
    assert len(world.asks) == 1
    late = World()
    late.say(late.request("move"))
    late.wait(SECOND)
    [separate] = late.answer()
    late.say(Message(ACK, 0, separate.mid))
    late.say(late.request("move"))
    assert len(late.asks) == 2


@pytest.mark.parametrize(
    "word, code, age",
    [(0, messages.CHANGED, None), (1, messages.TOO_MANY, b"\2"), (2, messages.INTERNAL, None)],
)
def test_the_three_answers_have_their_codes_and_a_denial_its_time_to_come_back(word, code, age):
    world = World()
    world.say(world.request())
    [reply] = world.answer(word=word, body=b"", come_back=15_000)
    assert reply.code == code and reply.first(Option.MAX_AGE) == age


@pytest.mark.parametrize(
    "spoil, code",
    [
        (dict(group="nobody"), messages.NOT_FOUND),
        (dict(token=b"x" * 40), messages.UNAUTHORIZED),
        (dict(queries=[b"w=soon"]), messages.BAD_REQUEST),
        (dict(queries=[b"z=1"]), messages.BAD_REQUEST),
        (dict(options=[(9, b"x")]), messages.BAD_OPTION),
        (dict(payload=b"x" * 3_000), messages.TOO_LARGE),
        (dict(options=[(Option.BLOCK1, b"\x0f")]), messages.BAD_REQUEST),
        (dict(options=[(Option.BLOCK1, b"\x18")]), messages.INCOMPLETE),
        (dict(options=[(Option.BLOCK2, b"\x16")]), messages.INCOMPLETE),
    ],
)
def test_what_is_wrong_with_a_request_is_said_by_its_code(spoil, code):
    world = World()
    assert [each.code for each in world.say(world.request(**spoil))] == [code] and not world.asks


@pytest.mark.parametrize("kind", [CON, NON])
def test_a_class_of_answers_that_is_not_wanted_is_not_sent(kind):
    world = World()
    world.say(world.request(kind=kind, options=[(Option.NO_RESPONSE, b"\2")]))
    assert world.answer() == ([Message(ACK, 0, 1)] if kind is CON else [])
    world.say(world.request(payload=b"b", kind=kind, options=[(Option.NO_RESPONSE, b"\2")]))
    assert world.answer(word=2)[0].code == messages.INTERNAL


def test_a_ping_is_answered_and_an_answer_to_nothing_rejected():
    world = World()
    assert world.say(Message(CON, 0, 7)) == [Message(RST, 0, 7)]
    assert world.say(Message(CON, messages.CONTENT, 8, b"t")) == [Message(RST, 0, 8)]
    assert world.say(Message(NON, messages.CONTENT, 8, b"t")) == []


# Bodies in pieces


def test_a_body_in_pieces_is_put_together_and_a_doubled_piece_changes_nothing():
    world, body = World(), random.Random(1).randbytes(1_500)
    for number, at in enumerate((0, 512, 512, 1_024)):
        block = Block(at // 512, at < 1_024, 512)
        made = world.request(
            "move",
            body[at : at + 512],
            options=[(Option.BLOCK1, block.encoded()), (Option.REQUEST_TAG, b"a")],
        )
        sent = world.say(made)
        assert [each.code for each in sent] == ([messages.CONTINUE] if number < 3 else [])
    assert world.asks[0][1].ask.body == body and world.serving.blocks.bytes == 0


def test_a_long_answer_is_given_in_pieces():
    world, body = World(), random.Random(1).randbytes(3_000)
    world.say(world.request())
    [first] = world.answer(body=body)
    found, block = first.payload, Block.of(first.first(Option.BLOCK2))
    while block.more:
        block = Block(block.number + 1, False, block.size)
        [reply] = world.say(world.request(payload=b"", options=[(Option.BLOCK2, block.encoded())]))
        found, block = found + reply.payload, Block.of(reply.first(Option.BLOCK2))
    assert found == body and len(world.asks) == 1


@pytest.mark.parametrize("order, incomplete", [([1], True), ([0, 2], True), ([0, 1, 3], True)])
def test_a_piece_out_of_its_place_ends_the_body(order, incomplete):
    incoming = Incoming(4, 10_000, 2_048, 30 * SECOND)
    with pytest.raises(BlockError) as error:
        for number in order:
            incoming.add(("a",), Block(number, True, 64), b"x" * 64, 0)
    assert error.value.incomplete is incomplete and incoming.bytes == 0


def test_bodies_under_way_are_bounded_in_count_bytes_size_and_time():
    incoming = Incoming(4, 1_000, 300, 30 * SECOND)
    for name in range(20):
        incoming.add((name,), Block(0, True, 256), b"x" * 256, 0)
    assert incoming.bytes <= 1_000 and len(incoming.parts) <= 4
    with pytest.raises(BlockError) as error:
        incoming.add((19,), Block(1, True, 256), b"x" * 256, 0)
    assert not error.value.incomplete
    assert incoming.tick(31 * SECOND) == len(incoming.parts) + 2 and incoming.bytes == 0


@given(st.binary(max_size=5_000), st.sampled_from([16, 64, 1024]))
def test_the_pieces_of_an_answer_are_the_answer(body, size):
    found, number = b"", 0
    while True:
        block, part = piece(body, Block(number, False, size), size)
        found, number = found + part, number + 1
        if not block.more:
            break
    assert found == body and piece(body, Block(number + 1, False, size), size) is None


# Whose address is whose


def test_an_address_not_proven_gets_a_mark_no_larger_than_it_asked_and_leaves_no_trace():
    world = World(proven=False)
    request = world.request()
    [reply] = world.say(request)
    assert reply.code == messages.UNAUTHORIZED and len(messages.encode(reply)) <= len(
        messages.encode(request)
    )
    assert (
        not world.asks
        and not world.serving.reliability.seen
        and not world.serving.reliability.endpoints
    )
    echo = reply.first(Option.ECHO)
    world.say(
        world.request(options=[(Option.ECHO, echo)]), THERE
    )  # another's mark is worth nothing
    assert not world.asks
    world.say(world.request(options=[(Option.ECHO, echo)]))
    world.say(world.request(payload=b"next"))
    assert len(world.asks) == 2
    tiny = Message(CON, POST, 1, b"12345678")
    assert world.say(tiny, ("127.0.0.1", 9)) == []  # the mark would be larger than that


def test_marks_grow_old_and_proven_addresses_are_bounded():
    proof = Proof(b"s" * 32, 60 * SECOND, 600 * SECOND, 3)
    mark = proof.mark(HERE, START)
    assert not proof.check(HERE, mark, START + 62 * SECOND) and proof.check(
        HERE, mark, START + SECOND
    )
    assert proof.check(HERE, None, START + 599 * SECOND) and not proof.check(
        HERE, None, START + 700 * SECOND
    )
    for port in range(10):
        address = ("127.0.0.1", port)
        assert proof.check(address, proof.mark(address, START), START)
    assert len(proof.proven) == 3


def test_a_flood_of_spoofed_sources_costs_no_memory_and_one_small_reply_each():
    world = World(proven=False)
    for port in range(2_000):
        world.say(world.request(), ("10.0.0.1", port))
    assert not world.serving.reliability.endpoints and len(world.sent) == 2_000 and not world.asks


# The message layer


def test_one_message_is_out_at_a_time_and_the_next_follows_its_acknowledgement():
    layer = Reliability(10, 100, 4, random.Random(1))
    assert layer.send("a", 1, b"1", "one", 0) == b"1" and layer.send("a", 2, b"2", "two", 0) is None
    assert layer.acknowledged("a", 9, 100) == (None, None)
    assert layer.acknowledged("a", 1, 100) == ("one", b"2") and layer.acknowledged("a", 2, 200) == (
        "two",
        None,
    )


def test_endpoints_messages_and_queues_are_bounded():
    layer = Reliability(10, 100, 4, random.Random(1))
    for each in range(1_000):
        layer.duplicate(each, 1, True, 0)
        layer.endpoint(each, 0)
        layer.send("busy", each, b"x", each, 0)
    assert len(layer.seen) == 100 and len(layer.endpoints) <= 11
    assert len(layer.endpoints["busy"].queue) == 4 and layer.forgotten == 900


def test_the_timeout_follows_the_link_both_ways_and_forgets():
    rng, timeout = random.Random(1), Timeout(0)
    for _ in range(20):
        timeout.measured(2_000, 1, 0)
    fast = timeout.first(0, rng)
    assert fast < SECOND
    for _ in range(20):
        timeout.measured(60_000, 2, 0)  # weak: it was sent again
    slow = timeout.first(0, rng)
    assert slow > 3 * SECOND
    timeout.measured(10, 4, 0)  # nobody knows which copy that answers
    assert timeout.first(0, rng) > 3 * SECOND
    for turn in range(1, 8):
        timeout.first(turn * 17 * SECOND, rng)
    assert abs(timeout.overall - 2 * SECOND) < SECOND


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(wholes | st.none(), st.integers(0, 3), st.integers(0, 40 * SECOND)), max_size=25
    ),
    st.booleans(),
)
def test_whatever_comes_each_request_read_is_answered_at_most_once_and_all_tables_stay_small(
    order, proven
):
    world = World(proven=proven, sessions=4, in_hand=3, kept=2_000, kept_each=1_000)
    for message, port, time in order:
        if message is None:
            message = world.request("move", options=[(Option.BLOCK1, b"\x08")] if port == 3 else ())
        world.say(message, ("127.0.0.1", port))
        if world.asks and time % 2:
            world.answer(time % len(world.asks), word=time % 3, body=b"r" * (time % 900))
        world.wait(time)
    serving = world.serving
    assert len(serving.open) <= 3 and serving.size <= 2_000 and len(serving.reliability.seen) <= 16
    for request, _ in world.asks:
        serving.answered(request, 0, b"", 0, world.now)
    assert not serving.open and serving.counts["answered"] >= len(world.asks)


# Through the whole app server


@pytest.fixture
def coap(make_site):
    def make(**more):
        site = make_site("coap 127.0.0.1:0", **more)
        return site, site.edge.datagrams.getsockname()

    return make


def test_an_exchange_over_coap_is_run_once_with_long_bodies_both_ways(coap):
    site, address = coap(result=lambda group, body: body * 2)
    device = CoapDevice(address, site.token())
    body = random.Random(2).randbytes(1_900)
    assert device.ask("look", body, 5_000).body == body * 2
    assert device.ask("look", b"", 5_000, confirm=False).word == 0
    assert sum(site.kernel.ran.values()) == 2
    with pytest.raises(ValueError, match=r"4\.04"):
        device.ask("nobody")
    device.end()


def test_over_a_link_that_loses_doubles_and_reorders_no_effect_comes_twice(coap):
    site, address = coap()
    weather = LinkConditions(delay=0.002, jitter=0.01, to_bad=0.2, to_good=0.5)
    proxy = UdpProxy(address, weather, 3, loss=0.6, double=1.0)  # what is not lost comes twice
    devices = [CoapDevice(proxy.address, site.token(b"c%d" % each), each) for each in range(8)]

    def work(device):
        outcomes = []
        for turn in range(3):
            try:
                outcomes.append(device.ask("move", b"%d" % turn, 8_000).word)
            except TimeoutError:
                outcomes.append(None)
        device.end()
        return outcomes

    with ThreadPoolExecutor(8) as pool:
        words = [word for row in pool.map(work, devices) for word in row]
    assert words.count(0) > 6 and max(site.kernel.ran.values()) == 1
    assert (
        proxy.lost > 0
        and proxy.doubled > 0
        and site.inside(lambda _: site.edge.coap.counts["duplicates"]) > 0
    )
    proxy.end()


def test_a_drain_answers_what_is_in_hand_and_says_unavailable_to_the_rest(coap):
    hold = threading.Event()
    site, address = coap(result=lambda group, body: hold.wait(PATIENCE) and b"late" or b"")
    device, other = (CoapDevice(address, site.token(name), 1) for name in (b"a", b"b"))
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(device.ask, "move", b"x", 8_000)
        while not site.inside(lambda _: site.edge.coap.counts["asked"]):
            pass
        site.event_loop.event_queue.post(site.event_loop.drain.start)
        while not site.inside(lambda _: site.edge.coap.shut):
            pass
        late = other.ask("look", b"y", 2_000)
        assert late.word == 1 and late.come_back >= 1_000
        hold.set()
        assert asked.result().body == b"late"
    site.thread.join(PATIENCE)
    assert not site.thread.is_alive()
    device.end(), other.end()


def test_the_command_asks_over_coap(coap):
    site, address = coap()
    told = CliRunner().invoke(
        lilacwalk,
        [
            "device",
            "ask",
            f"127.0.0.1:{address[1]}",
            "look",
            "--body",
            "hi",
            "--coap",
            "--token",
            site.token().hex(),
        ],
    )
    assert told.output == "outcome=completed come_back_ms=0 body='<hi>'\n" and told.exit_code == 0
