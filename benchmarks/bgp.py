"""What the speaker can do and what it costs: `python -m benchmarks.bgp`, about two minutes."""

from __future__ import annotations

import bisect
import gc
import random
import resource
import subprocess
import sys
import threading
import time

from benchmarks.table import Table, quantile
from lilacwalk.bgp import messages
from lilacwalk.bgp.announcement_policy import NodeStatus
from lilacwalk.bgp.attributes import SEQUENCE, Attributes
from lilacwalk.bgp.capabilities import NegotiatedCapabilities
from lilacwalk.bgp.prefixes import Afi, Prefix
from lilacwalk.bgp.routes import AdjRibIn
from lilacwalk.bgp.speaker_io import Speaker
from lilacwalk.bgp.trie import Trie
from lilacwalk.event_queue import EventQueue
from lilacwalk.operator.loader import parse_operator_file
from lilacwalk.server.startup import SWITCH_INTERVAL, build
from lilacwalk.testing.bgp_router import BgpRouter, RouterBehaviour
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.proxy_client import ProxyClient
from lilacwalk.testing.site_settings import make_process_config


def prefixes(count: int, seed: int = 1) -> list[tuple[int, int]]:
    """Lengths as a full table has them: mostly 24, then 22, 20, 16."""
    rng, found = random.Random(seed), {}
    while len(found) < count:
        length = rng.choices((24, 23, 22, 21, 20, 19, 16), (60, 8, 11, 5, 5, 4, 7))[0]
        found[rng.getrandbits(32) >> (32 - length) << (32 - length), length] = None
    return list(found)


def updates(count: int) -> list[bytes]:
    """A table with about six prefixes to each set of attributes, as routers pack them."""
    rng, rows, found = random.Random(2), prefixes(count), []
    for at in range(0, count, 6):
        path = tuple(rng.randrange(1, 400_000) for _ in range(rng.randrange(2, 6)))
        attributes = Attributes(
            as_path=((SEQUENCE, path),),
            next_hop=bytes((127, 0, 0, 20)),
            med=at % 50,
            communities=(rng.getrandbits(32), rng.getrandbits(32)),
        )
        found += messages.announcements(
            [Prefix(Afi.IPV4, *row) for row in rows[at : at + 6]], attributes, True, False
        )
    return found


def timed(work) -> float:
    began = time.perf_counter()
    work()
    return time.perf_counter() - began


def decoding(table: Table, count: int) -> None:
    pieces = updates(count)
    data, agreed = b"".join(pieces), NegotiatedCapabilities(as4=True)
    held = AdjRibIn(count)
    framed = timed(lambda: sum(1 for _ in messages.Stream().feed(data)))
    bodies = [body for _, body in messages.Stream().feed(data)]
    decoded = timed(lambda: [messages.decode(2, body, agreed) for body in bodies])
    records = [messages.decode(2, body, agreed) for body in bodies]
    stored = timed(lambda: [held.announce(*each.reachable[0]) for each in records])
    total = len(bodies)
    table.rows(
        f"{count:,} prefixes in {total:,} UPDATEs",
        ("step", "UPDATEs/s", "prefixes/s"),
        [
            (name, int(total / took), int(count / took))
            for name, took in (
                ("framing", framed),
                ("decoding", decoded),
                ("into the Adj-RIB-In", stored),
                ("all three", framed + decoded + stored),
            )
        ],
    )


class Sorted:
    """Two sorted lists: the plain way to walk and to look under a prefix."""

    def __init__(self) -> None:
        self.keys, self.values = [], []

    def set(self, bits: int, length: int, value: object) -> None:
        at = bisect.bisect_left(self.keys, (bits, length))
        if at < len(self.keys) and self.keys[at] == (bits, length):
            self.values[at] = value
        else:
            self.keys.insert(at, (bits, length))
            self.values.insert(at, value)

    def longest(self, bits: int) -> object:
        for length in range(32, -1, -1):
            key = (bits >> (32 - length) << (32 - length), length)
            at = bisect.bisect_left(self.keys, key)
            if at < len(self.keys) and self.keys[at] == key:
                return self.values[at]
        return None

    def covered(self, bits: int, length: int) -> list:
        end = bits + (1 << (32 - length))
        low, high = (bisect.bisect_left(self.keys, (each, 0)) for each in (bits, end))
        return self.values[low:high]


class Plain:
    """A dict, asked once a length for the longest match, and whole for what lies under a prefix."""

    def __init__(self) -> None:
        self.rows: dict[tuple[int, int], object] = {}

    def set(self, bits: int, length: int, value: object) -> None:
        self.rows[bits, length] = value

    def longest(self, bits: int) -> object:
        for length in range(32, -1, -1):
            if (
                found := self.rows.get((bits >> (32 - length) << (32 - length), length))
            ) is not None:
                return found
        return None

    def covered(self, bits: int, length: int) -> list:
        shift = 32 - length
        return [
            value
            for (key, own), value in self.rows.items()
            if own >= length and key >> shift == bits >> shift
        ]


def structures(table: Table, count: int) -> None:
    """The sorted list is filled in order, and its insertions measured on the last thousand: each moves
    half."""
    rng, rows, lines = random.Random(3), prefixes(count), []
    asked = [rng.choice(rows)[0] | rng.getrandbits(8) for _ in range(20_000)]
    under = [rng.getrandbits(32) >> 20 << 20 for _ in range(200)]
    for name, make in (("trie", lambda: Trie(Afi.IPV4)), ("dict", Plain), ("sorted list", Sorted)):
        gc.collect()
        before, made = resident(), make()
        last = rows
        if name == "sorted list":
            last = rows[-1_000:]
            made.keys = sorted(rows[:-1_000])
            made.values = [1] * len(made.keys)
        filled = timed(
            lambda made=made, last=last: [made.set(bits, length, 1) for bits, length in last]
        )
        size = (resident() - before) * 1_000_000 / count
        looked = timed(lambda made=made: [made.longest(each) for each in asked])
        few = under if name != "dict" or count < 100_000 else under[:10]
        walked = timed(lambda made=made, few=few: [list(made.covered(each, 12)) for each in few])
        lines.append(
            (
                name,
                filled / len(last) * 1e6,
                looked / len(asked) * 1e6,
                walked / len(few) * 1e6,
                size,
            )
        )
        del made
    table.rows(
        f"structures at {count:,} prefixes",
        ("structure", "insert us", "longest us", "all under a /12 us", "bytes a prefix"),
        lines,
    )


def resident() -> float:
    """MB."""
    with open("/proc/self/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1000


ORDERS = (
    "announce {{\n as 65010\n router-id 127.0.0.1\n next-hop 127.0.0.1\n service 192.0.2.10/32\n"
    " ready-for 10ms\n{peers}}}\n"
)


def orders(routers: list[BgpRouter], more: str = ""):
    peers = "".join(
        f" peer 127.0.0.1:{each.address[1]} {{\n  as {each.behaviour.asn}\n  connect-retry 100ms\n"
        f"{more} }}\n"
        for each in routers
    )
    return parse_operator_file(ORDERS.format(peers=peers), "benchmark").announce


def sessions(table: Table, count: int) -> None:
    routers = [BgpRouter(RouterBehaviour(asn=65_100 + each)) for each in range(count)]
    before, threads = resident(), threading.active_count()
    speaker = Speaker(orders(routers), 1)
    began = time.perf_counter()
    speaker.start()
    for each in routers:
        each.wait_count("up")
    up = time.perf_counter() - began
    took = []
    for turn in range(20):
        began = time.monotonic()
        speaker.set_node_status(NodeStatus.READY if turn % 2 == 0 else NodeStatus.COLD)
        speaker.state.announcement_policy.penalty.value = (
            0.0  # damping is not what is measured here
        )
        speaker.state.announcement_policy.penalty.suppressed = False
        wanted = turn // 2 + 1
        for each in routers:
            took.append(
                each.wait_count("announced" if turn % 2 == 0 else "withdrawn", wanted).at - began
            )
    withdrawn = [each for at, each in enumerate(took) if at // count % 2]
    announced = [each for at, each in enumerate(took) if at // count % 2 == 0]
    table.rows(
        f"{count} peers at one speaker, the routers in the same process",
        ("what", "median ms", "99th ms"),
        [
            ("all sessions up", up * 1000, up * 1000),
            (
                "state to withdrawal at a router",
                quantile(withdrawn, 0.5) * 1000,
                quantile(withdrawn, 0.99) * 1000,
            ),
            (
                "state to announcement, 10 ms of them ready-for",
                quantile(announced, 0.5) * 1000,
                quantile(announced, 0.99) * 1000,
            ),
        ],
    )
    table.say(
        f"{threading.active_count() - threads} threads and {resident() - before:.1f} MB more, "
        "of both sides\n"
    )
    speaker.end()
    for each in routers:
        each.end()


def beside(table: Table, seconds: float) -> None:
    """The app server under steady load, with and without a speaker that a peer keeps busy."""
    lines = []
    for name in ("off", "on, one quiet peer", "on, a peer that tells 100,000 prefixes"):
        out = subprocess.run(
            [sys.executable, "-m", "benchmarks.bgp", "--beside", name, str(seconds)],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        lines.append((name, *map(float, out)))
    table.rows(
        "the app server's passes, 300 exchanges a second",
        ("speaker", "median us", "99th us", "resident MB", "completed"),
        lines,
    )


def one_beside(name: str, seconds: float) -> None:
    sys.setswitchinterval(SWITCH_INTERVAL)
    kernel = StandInExecutor(cores=4, work=lambda group, body: 0.002)
    router = BgpRouter(RouterBehaviour(sends=[]))
    event_loop, parts = build(make_process_config(kernel.address), EventQueue())
    took: list[float] = []
    drained = event_loop.take_items

    def drain():
        items = drained()
        took.append(time.perf_counter())
        return items

    event_loop.take_items = drain
    passes: list[float] = []

    def run():
        event_loop.schedule(event_loop.now, event_loop.run_housekeeping, event_loop.now)
        while not event_loop.has_ended:
            event_loop.run_iteration()
            passes.append(time.perf_counter() - took[-1])

    if name != "off":
        event_loop.subsystems.apply_bgp(orders([router], "  max-prefixes 1000000\n"))
    threading.Thread(target=run, daemon=True).start()
    for part in parts:
        part.start()
    if name != "off":
        router.wait_held("192.0.2.10/32")
    feed = updates(100_000) if "100,000" in name else []
    proxy_clients = [ProxyClient(event_loop.listener.address) for _ in range(8)]
    before, until, sent, told = len(passes), time.monotonic() + seconds, 0, 0
    began = time.monotonic()
    while (now := time.monotonic()) < until:
        while sent < (now - began) * 300:
            proxy_clients[sent % 8].ask("look")
            sent += 1
        told_by_now = int(min(1.0, (now - began) / seconds) * len(feed))
        if told_by_now > told:
            router.send(b"".join(feed[told:told_by_now]))
            told = told_by_now
        time.sleep(0.003)
    words = [
        word
        for proxy_client in proxy_clients
        for rows in list(proxy_client.answers.values())
        for _, word, _ in rows
    ]
    done = words.count("done")
    rows = passes[before:]
    print(quantile(rows, 0.5) * 1e6, quantile(rows, 0.99) * 1e6, resident(), done)


def main() -> None:
    if sys.argv[1:2] == ["--beside"]:
        one_beside(sys.argv[2], float(sys.argv[3]))
        return
    quick = "--quick" in sys.argv
    table = Table("bgp")
    table.say(f"# The BGP speaker, Python {sys.version.split()[0]}\n")
    decoding(table, 20_000 if quick else 500_000)
    for count in (10_000,) if quick else (10_000, 1_000_000):
        structures(table, count)
    sessions(table, 10 if quick else 100)
    beside(table, 2.0 if quick else 8.0)
    table.say(f"peak resident {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000:.0f} MB")
    if not quick:
        table.write()


if __name__ == "__main__":
    main()
