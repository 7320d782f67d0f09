"""Members of a fleet in simulated time: the real `Membership`, an event queue in tenths of a millisecond, and
links that lose, delay and duplicate datagrams and can be cut.

A seed gives the same events on every machine: nothing here depends on a clock or on hash order.

Assumptions: a datagram takes `delay` plus up to `jitter` tenths of a ms, each is lost independently of the
others, and a member handles a datagram in zero simulated time. The effects of a queue, a slow interpreter or
a full buffer are measured with processes (`testing/fleet.py`), not here."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lilacwalk.membership.actions import MembershipEvent
from lilacwalk.membership.config import MemberConfig
from lilacwalk.membership.messages import HEADER_BYTES, Datagram, GossipUpdate, NodeState, encode
from lilacwalk.membership.swim import Membership

WALL_CLOCK_START_MS = 1_800_000_000_000  # Unix time at the start of the simulation


@dataclass(eq=False, slots=True)
class Node:
    name: str
    site: str
    address: tuple[str, int]
    machine: Membership | None = None
    paused: bool = False
    # Datagrams in the socket buffer of a paused process.
    buffered: list[Datagram] = field(default_factory=list)
    next_wake_at: int = 1 << 62
    clock_ms: int = 0  # offset of the member's wall clock from simulated time
    persisted_state: tuple[int, list[GossipUpdate]] | None = None
    sent: int = 0
    sent_bytes: int = 0
    events: list[MembershipEvent] = field(default_factory=list)


class World:
    def __init__(
        self,
        seed: int,
        interval: int = 10_000,
        delay: int = 5,
        jitter: int = 10,
        loss: float = 0.0,
        double: float = 0.0,
        most: int = 2_000,
        forget: int = 36_000_000,
        count_bytes: bool = False,
        machine: Callable[..., Membership] = Membership,
        max_buffered: int = 1_000,
    ) -> None:
        """Times are in tenths of a ms.

        `interval`: probe interval; `loss`, `double`: probabilities that a datagram is lost or duplicated;
        `most`: limit on members in a view; `forget`: time after which an absent member is forgotten;
        `count_bytes`: whether sent bytes are counted; `machine`: class of the members' state machine;
        `max_buffered`: datagrams that the socket buffer of a paused member holds."""
        self.rng = random.Random(seed)
        self.interval, self.delay, self.jitter = interval, delay, jitter
        self.loss, self.double, self.most, self.forget, self.count_bytes = (
            loss,
            double,
            most,
            forget,
            count_bytes,
        )
        self.machine, self.max_buffered = machine, max_buffered
        self.now, self.sequence_number = 0, 0
        self.event_heap: list[tuple] = []
        self.nodes: dict[str, Node] = {}
        self.at_address: dict[tuple[str, int], Node] = {}
        self.cuts: set[tuple[str, str]] = set()  # (from, to): names of members
        # Loss probability of datagrams from and to a member, by its name.
        self.lossy: dict[str, float] = {}

    # Members

    def add(
        self,
        name: str,
        site: str = "s",
        seeds: Iterable[str] = (),
        clock_ms: int = 0,
        address: tuple[str, int] | None = None,
        keep: bool = False,
        state: NodeState = NodeState.READY,
    ) -> Node:
        """Starts a member under this name, and replaces one that runs under it. With `keep`, the member
        starts with its persisted state."""
        node = self.nodes.get(name)
        if node is None:
            node = self.nodes[name] = Node(
                name, site, address or ("10.0.0.1", 1_000 + len(self.nodes))
            )
        elif address is not None:
            self.at_address.pop(node.address, None)
            node.address = address
        self.at_address[node.address] = node
        node.clock_ms, node.paused, node.buffered = clock_ms, False, []
        incarnation, members = node.persisted_state if keep and node.persisted_state else (0, [])
        seed_addresses = tuple(self.nodes[seed].address for seed in seeds)
        config = MemberConfig(
            node.name.split("'")[0],
            site,
            node.address,
            seed_addresses,
            self.interval,
            self.forget,
            0.34,
            self.most,
        )
        node.machine = self.machine(
            config,
            random.Random(self.rng.getrandbits(64)),
            self.now,
            WALL_CLOCK_START_MS + self.now // 10 + clock_ms,
            incarnation,
            members,
        )
        node.machine.update_metadata(self.now, state=state)
        node.next_wake_at = 1 << 62
        self._schedule_tick(node, self.now + self.rng.randrange(self.interval // 10 + 1))
        return node

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        if node.machine is not None:
            node.persisted_state = (
                node.machine.identity.incarnation,
                [member.update() for member in node.machine.view.known()],
            )
        node.machine, node.buffered = None, []

    def pause(self, name: str) -> None:
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.paused = False
        buffered, node.buffered = node.buffered, []
        for datagram in buffered:
            self._schedule(self.now, self._arrive, node, datagram)
        self._schedule_tick(node, self.now)

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        node.machine.leave()
        self._apply_outputs(node)
        node.machine = None

    # Links

    def cut(self, sources: Iterable[str], destinations: Iterable[str], both: bool = True) -> None:
        for source in sources:
            for destination in destinations:
                self.cuts.add((source, destination))
                if both:
                    self.cuts.add((destination, source))

    def heal(self) -> None:
        self.cuts.clear()

    # Time

    def _schedule(self, time: int, action: Callable, *arguments) -> None:
        self.sequence_number += 1
        heapq.heappush(self.event_heap, (time, self.sequence_number, action, arguments))

    def _schedule_tick(self, node: Node, time: int) -> None:
        time = max(time, self.now)
        if time < node.next_wake_at:
            node.next_wake_at = time
            self._schedule(time, self._tick, node, node.machine, time)

    def _tick(self, node: Node, machine: Membership, time: int) -> None:
        if node.machine is not machine or machine is None or node.next_wake_at != time:
            return
        node.next_wake_at = 1 << 62
        if node.paused:
            return
        machine.tick(self.now)
        self._apply_outputs(node)

    def _arrive(self, node: Node, datagram: Datagram) -> None:
        if node.machine is None:
            return
        if node.paused:
            if len(node.buffered) < self.max_buffered:
                node.buffered.append(datagram)
            return
        node.machine.receive(datagram, self.now)
        self._apply_outputs(node)

    def _apply_outputs(self, node: Node) -> None:
        machine = node.machine
        for send in machine.take_datagrams():
            self._send(node, send.address, send.datagram)
        node.events += machine.take_events()
        self._schedule_tick(node, machine.next_deadline())

    def _send(self, node: Node, to: tuple[str, int], datagram: Datagram) -> None:
        node.sent += 1
        if self.count_bytes:
            node.sent_bytes += len(encode(datagram)) + HEADER_BYTES
        destination = self.at_address.get(to)
        if destination is None or (node.name, destination.name) in self.cuts:
            return
        source_loss, destination_loss = (
            self.lossy.get(node.name, 0.0),
            self.lossy.get(destination.name, 0.0),
        )
        delivery_probability = (1 - self.loss) * (1 - source_loss) * (1 - destination_loss)
        copies = (
            0
            if self.rng.random() >= delivery_probability
            else 1 + (self.rng.random() < self.double)
        )
        for _ in range(copies):
            self._schedule(
                self.now + self.delay + self.rng.randint(0, self.jitter),
                self._arrive,
                destination,
                datagram,
            )

    def run(self, time: int) -> None:
        until = self.now + time
        while self.event_heap and self.event_heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.event_heap)
            action(*arguments)
        self.now = until

    def run_until(self, condition: Callable[[], bool], most: int, step: int = 0) -> int | None:
        """Runs until the condition holds. Returns the time taken, or None if it did not hold within `most`."""
        started_at, step = self.now, step or self.interval // 10
        while self.now - started_at <= most:
            if condition():
                return self.now - started_at
            self.run(step)
        return None

    # Actual state, and the members' views of it

    def up(self) -> list[Node]:
        return [
            node for node in self.nodes.values() if node.machine is not None and not node.paused
        ]

    def present_names(self, node: Node) -> set[str]:
        return {member.name for member in node.machine.view.present}

    def all_settled(self) -> bool:
        """Whether all views have the same digest and contain exactly the running members, none of them
        suspected."""
        up = self.up()
        running_names = {node.machine.name for node in up}
        first = up[0].machine.view.digest
        return all(node.machine.view.digest == first for node in up) and all(
            {member.name for member in node.machine.view.present} == running_names
            and not node.machine.failure_detector.suspicions
            for node in up
        )

    def absent_from_all_views(self, *names: str) -> bool:
        return all(not self.present_names(node) & set(names) for node in self.up())
