"""Throughput and cost of the BGP speaker: `python -m benchmarks.bgp`, about two minutes.

It measures the decoding of UPDATEs, data structures for prefixes, sessions with many peers, and the
effect of the speaker on the app server in the same process. `--quick` uses small sizes and writes
no file."""

from __future__ import annotations

import bisect
import gc
import random
import resource
import subprocess
import sys
import threading
import time

from benchmarks.measurement import measure_seconds, resident_mb
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


def generate_prefixes(count: int, seed: int = 1) -> list[tuple[int, int]]:
    """Distinct prefixes, as (bits, length), with lengths as in a full table: mostly 24, then 22,
    20, 16."""
    rng, found = random.Random(seed), {}
    while len(found) < count:
        length = rng.choices((24, 23, 22, 21, 20, 19, 16), (60, 8, 11, 5, 5, 4, 7))[0]
        found[rng.getrandbits(32) >> (32 - length) << (32 - length), length] = None
    return list(found)


def generate_updates(count: int) -> list[bytes]:
    """Encoded UPDATEs of a table with about six prefixes per set of attributes, as routers pack
    them."""
    rng, prefixes, encoded = random.Random(2), generate_prefixes(count), []
    for first in range(0, count, 6):
        path = tuple(rng.randrange(1, 400_000) for _ in range(rng.randrange(2, 6)))
        attributes = Attributes(
            as_path=((SEQUENCE, path),),
            next_hop=bytes((127, 0, 0, 20)),
            med=first % 50,
            communities=(rng.getrandbits(32), rng.getrandbits(32)),
        )
        encoded += messages.announcements(
            [Prefix(Afi.IPV4, *row) for row in prefixes[first : first + 6]], attributes, True, False
        )
    return encoded


def measure_decoding(table: Table, count: int) -> None:
    updates = generate_updates(count)
    data, capabilities = b"".join(updates), NegotiatedCapabilities(as4=True)
    adj_rib_in = AdjRibIn(count)
    framing_time = measure_seconds(lambda: sum(1 for _ in messages.Stream().feed(data)))
    bodies = [body for _, body in messages.Stream().feed(data)]
    decoding_time = measure_seconds(
        lambda: [messages.decode(2, body, capabilities) for body in bodies]
    )
    records = [messages.decode(2, body, capabilities) for body in bodies]
    storing_time = measure_seconds(
        lambda: [adj_rib_in.announce(*update.reachable[0]) for update in records]
    )
    total = len(bodies)
    table.rows(
        f"{count:,} prefixes in {total:,} UPDATEs",
        ("step", "UPDATEs/s", "prefixes/s"),
        [
            (name, int(total / seconds), int(count / seconds))
            for name, seconds in (
                ("framing", framing_time),
                ("decoding", decoding_time),
                ("storing in the Adj-RIB-In", storing_time),
                ("total", framing_time + decoding_time + storing_time),
            )
        ],
    )


class SortedList:
    """Two parallel sorted lists: the simple structure for finding all prefixes within another."""

    def __init__(self) -> None:
        self.keys, self.values = [], []

    def set(self, bits: int, length: int, value: object) -> None:
        index = bisect.bisect_left(self.keys, (bits, length))
        if index < len(self.keys) and self.keys[index] == (bits, length):
            self.values[index] = value
        else:
            self.keys.insert(index, (bits, length))
            self.values.insert(index, value)

    def longest(self, bits: int) -> object:
        for length in range(32, -1, -1):
            key = (bits >> (32 - length) << (32 - length), length)
            index = bisect.bisect_left(self.keys, key)
            if index < len(self.keys) and self.keys[index] == key:
                return self.values[index]
        return None

    def covered(self, bits: int, length: int) -> list:
        end = bits + (1 << (32 - length))
        low, high = (bisect.bisect_left(self.keys, (address, 0)) for address in (bits, end))
        return self.values[low:high]


class PrefixDict:
    """A dict. The longest match takes one lookup per prefix length; the prefixes within another one
    are found by a scan of all entries."""

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
            for (key, key_length), value in self.rows.items()
            if key_length >= length and key >> shift == bits >> shift
        ]


def measure_structures(table: Table, count: int) -> None:
    """Compares the trie with a dict and a sorted list.

    The sorted list is filled in order except for the last thousand prefixes, and only their
    insertions are timed, as each moves half of the list."""
    rng, prefixes, rows = random.Random(3), generate_prefixes(count), []
    addresses = [rng.choice(prefixes)[0] | rng.getrandbits(8) for _ in range(20_000)]
    blocks = [rng.getrandbits(32) >> 20 << 20 for _ in range(200)]
    for name, create in (
        ("trie", lambda: Trie(Afi.IPV4)),
        ("dict", PrefixDict),
        ("sorted list", SortedList),
    ):
        gc.collect()
        memory_before, structure = resident_mb(), create()
        inserted = prefixes
        if name == "sorted list":
            inserted = prefixes[-1_000:]
            structure.keys = sorted(prefixes[:-1_000])
            structure.values = [1] * len(structure.keys)
        insert_time = measure_seconds(
            lambda structure=structure, inserted=inserted: [
                structure.set(bits, length, 1) for bits, length in inserted
            ]
        )
        bytes_per_prefix = (resident_mb() - memory_before) * 1_000_000 / count
        lookup_time = measure_seconds(
            lambda structure=structure: [structure.longest(address) for address in addresses]
        )
        walked_blocks = blocks if name != "dict" or count < 100_000 else blocks[:10]
        walk_time = measure_seconds(
            lambda structure=structure, walked_blocks=walked_blocks: [
                list(structure.covered(address, 12)) for address in walked_blocks
            ]
        )
        rows.append(
            (
                name,
                insert_time / len(inserted) * 1e6,
                lookup_time / len(addresses) * 1e6,
                walk_time / len(walked_blocks) * 1e6,
                bytes_per_prefix,
            )
        )
        del structure
    table.rows(
        f"structures with {count:,} prefixes",
        ("structure", "insert us", "longest match us", "all within a /12 us", "bytes per prefix"),
        rows,
    )


CONFIG_TEMPLATE = (
    "announce {{\n as 65010\n router-id 127.0.0.1\n next-hop 127.0.0.1\n service 192.0.2.10/32\n"
    " ready-for 10ms\n{peers}}}\n"
)


def make_bgp_config(routers: list[BgpRouter], peer_options: str = ""):
    peers = "".join(
        f" peer 127.0.0.1:{router.address[1]} {{\n  as {router.behaviour.asn}\n"
        f"  connect-retry 100ms\n{peer_options} }}\n"
        for router in routers
    )
    return parse_operator_file(CONFIG_TEMPLATE.format(peers=peers), "benchmark").announce


def measure_sessions(table: Table, count: int) -> None:
    routers = [BgpRouter(RouterBehaviour(asn=65_100 + each)) for each in range(count)]
    memory_before, threads_before = resident_mb(), threading.active_count()
    speaker = Speaker(make_bgp_config(routers), 1)
    started_at = time.perf_counter()
    speaker.start()
    for each in routers:
        each.wait_count("up")
    connect_time = time.perf_counter() - started_at
    delays = []
    for change in range(20):
        started_at = time.monotonic()
        speaker.set_node_status(NodeStatus.READY if change % 2 == 0 else NodeStatus.COLD)
        # Damping would delay the announcements.
        speaker.state.announcement_policy.penalty.value = 0.0
        speaker.state.announcement_policy.penalty.suppressed = False
        expected_count = change // 2 + 1
        for each in routers:
            delays.append(
                each.wait_count("announced" if change % 2 == 0 else "withdrawn", expected_count).at
                - started_at
            )
    withdrawn = [each for at, each in enumerate(delays) if at // count % 2]
    announced = [each for at, each in enumerate(delays) if at // count % 2 == 0]
    table.rows(
        f"one speaker with {count} peers, the routers in the same process",
        ("event", "median ms", "99th percentile ms"),
        [
            ("all sessions up", connect_time * 1000, connect_time * 1000),
            (
                "status change to withdrawal at a router",
                quantile(withdrawn, 0.5) * 1000,
                quantile(withdrawn, 0.99) * 1000,
            ),
            (
                "status change to announcement at a router, of which 10 ms are ready-for",
                quantile(announced, 0.5) * 1000,
                quantile(announced, 0.99) * 1000,
            ),
        ],
    )
    table.say(
        f"{threading.active_count() - threads_before} more threads and "
        f"{resident_mb() - memory_before:.1f} MB more, of the speaker and the routers together\n"
    )
    speaker.end()
    for each in routers:
        each.end()


def measure_under_load(table: Table, seconds: float) -> None:
    """The event loop of an app server under constant load: without a speaker, with an idle peer,
    and with a peer that sends 100,000 prefixes."""
    rows = []
    for name in ("off", "on, one idle peer", "on, a peer that sends 100,000 prefixes"):
        figures = subprocess.run(
            [sys.executable, "-m", "benchmarks.bgp", "--beside", name, str(seconds)],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        rows.append((name, *map(float, figures)))
    table.rows(
        "event loop iterations of the app server at 300 requests per second",
        ("speaker", "median us", "99th percentile us", "resident MB", "completed"),
        rows,
    )


def run_under_load(name: str, seconds: float) -> None:
    """Runs one case of `measure_under_load` in this process and prints its figures."""
    sys.setswitchinterval(SWITCH_INTERVAL)
    executor = StandInExecutor(cores=4, run_time=lambda class_name, body: 0.002)
    router = BgpRouter(RouterBehaviour(initial_messages=[]))
    event_loop, components = build(make_process_config(executor.address), EventQueue())
    iteration_starts: list[float] = []
    take_items = event_loop.take_items

    def timed_take_items():
        items = take_items()
        iteration_starts.append(time.perf_counter())
        return items

    event_loop.take_items = timed_take_items
    iteration_times: list[float] = []

    def run():
        event_loop.schedule(event_loop.now, event_loop.run_housekeeping, event_loop.now)
        while not event_loop.has_ended:
            event_loop.run_iteration()
            iteration_times.append(time.perf_counter() - iteration_starts[-1])

    if name != "off":
        event_loop.subsystems.apply_bgp(make_bgp_config([router], "  max-prefixes 1000000\n"))
    threading.Thread(target=run, daemon=True).start()
    for component in components:
        component.start()
    if name != "off":
        router.wait_for_routes("192.0.2.10/32")
    updates = generate_updates(100_000) if "100,000" in name else []
    proxy_clients = [ProxyClient(event_loop.listener.address) for _ in range(8)]
    first_iteration, until, requests_sent, updates_sent = (
        len(iteration_times),
        time.monotonic() + seconds,
        0,
        0,
    )
    started_at = time.monotonic()
    while (now := time.monotonic()) < until:
        while requests_sent < (now - started_at) * 300:
            proxy_clients[requests_sent % 8].send_request("look")
            requests_sent += 1
        updates_due = int(min(1.0, (now - started_at) / seconds) * len(updates))
        if updates_due > updates_sent:
            router.send(b"".join(updates[updates_sent:updates_due]))
            updates_sent = updates_due
        time.sleep(0.003)
    statuses = [
        status
        for proxy_client in proxy_clients
        for answers in list(proxy_client.answers.values())
        for _, status, _ in answers
    ]
    completed = statuses.count("done")
    measured = iteration_times[first_iteration:]
    print(quantile(measured, 0.5) * 1e6, quantile(measured, 0.99) * 1e6, resident_mb(), completed)


def main() -> None:
    if sys.argv[1:2] == ["--beside"]:
        run_under_load(sys.argv[2], float(sys.argv[3]))
        return
    quick = "--quick" in sys.argv
    table = Table("bgp")
    table.say(f"# The BGP speaker, Python {sys.version.split()[0]}\n")
    measure_decoding(table, 20_000 if quick else 500_000)
    for count in (10_000,) if quick else (10_000, 1_000_000):
        measure_structures(table, count)
    measure_sessions(table, 10 if quick else 100)
    measure_under_load(table, 2.0 if quick else 8.0)
    table.say(
        f"peak resident memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000:.0f} MB"
    )
    if not quick:
        table.write()


if __name__ == "__main__":
    main()
