"""Members of a fleet in simulated time. Times are in tenths of a ms unless a name ends with `_ms`.

Each member runs the real `Membership`. The simulated links lose, delay and duplicate datagrams, and
can be cut.

A seed gives the same events on every machine: nothing depends on a clock or on hash order.

Assumptions: a datagram takes `delay` plus up to `jitter`, datagrams are lost independently of each
other, and a member handles a datagram in zero simulated time. The effects of a queue, a slow
interpreter or a full buffer are measured with processes (`testing/fleet.py`), not here."""

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
    """A process of the simulated fleet, which runs one member.

    Attributes:
        name: the member's name. An appended ' distinguishes a second process under the same name.
        site: the member's site.
        address: host and port, from which the process sends and at which it receives.
        membership: the state machine of the member; None if the process is not running.
        is_paused: whether the process is suspended; arriving datagrams are then buffered.
        buffered: datagrams in the socket buffer of a paused process.
        next_wake_at: time of the next scheduled tick; 1 << 62 if there is none.
        clock_offset_ms: offset of the member's wall clock from simulated time.
        persisted_state: incarnation and known members when the process was killed, if it was.
        sent_count: number of datagrams sent.
        sent_bytes: bytes sent with protocol headers, if the fleet counts them.
        events: membership events that the member has reported.
    """

    name: str
    site: str
    address: tuple[str, int]
    membership: Membership | None = None
    is_paused: bool = False
    buffered: list[Datagram] = field(default_factory=list)
    next_wake_at: int = 1 << 62
    clock_offset_ms: int = 0
    persisted_state: tuple[int, list[GossipUpdate]] | None = None
    sent_count: int = 0
    sent_bytes: int = 0
    events: list[MembershipEvent] = field(default_factory=list)


class SimulatedFleet:
    """A fleet of members that exchange datagrams over simulated links."""

    def __init__(
        self,
        seed: int,
        interval: int = 10_000,
        delay: int = 5,
        jitter: int = 10,
        loss: float = 0.0,
        duplication: float = 0.0,
        max_members: int = 2_000,
        forget_after: int = 36_000_000,
        count_bytes: bool = False,
        membership_type: Callable[..., Membership] = Membership,
        max_buffered: int = 1_000,
    ) -> None:
        """Creates a fleet without members.

        Args:
            seed: seed of all random numbers.
            interval: probe interval.
            delay: one-way network delay.
            jitter: maximum additional delay.
            loss: probability that a datagram is lost.
            duplication: probability that a datagram is duplicated.
            max_members: maximum number of members in a view.
            forget_after: time after which a member removes an absent member from its view.
            count_bytes: whether sent bytes are counted, for which each datagram is encoded.
            membership_type: the class `Membership`, or a variant of it.
            max_buffered: number of datagrams that the socket buffer of a paused process holds.
        """
        self.rng = random.Random(seed)
        self.interval, self.delay, self.jitter = interval, delay, jitter
        self.loss, self.duplication, self.max_members, self.forget_after, self.count_bytes = (
            loss,
            duplication,
            max_members,
            forget_after,
            count_bytes,
        )
        self.membership_type, self.max_buffered = membership_type, max_buffered
        self.now, self.sequence_number = 0, 0
        self.event_heap: list[tuple] = []  # (time, sequence number, action, arguments)
        self.nodes: dict[str, Node] = {}
        self.nodes_by_address: dict[tuple[str, int], Node] = {}
        self.cut_links: set[tuple[str, str]] = set()  # (sender, receiver): names of nodes
        # Additional loss probability of datagrams from and to a node, by its name.
        self.loss_by_node: dict[str, float] = {}

    # Members

    def add(
        self,
        name: str,
        site: str = "s",
        seeds: Iterable[str] = (),
        clock_offset_ms: int = 0,
        address: tuple[str, int] | None = None,
        restores_state: bool = False,
        state: NodeState = NodeState.READY,
    ) -> Node:
        """Starts a process under this name, in place of a process that runs under it.

        Args:
            name: see `Node`.
            site: the member's site.
            seeds: names of nodes that the member contacts first; the nodes must exist.
            clock_offset_ms: offset of the member's wall clock from simulated time.
            address: host and port; by default, those of an earlier process, or unused ones.
            restores_state: whether the member starts with its persisted state.
            state: the node state that the member announces.
        """
        node = self.nodes.get(name)
        if node is None:
            node = self.nodes[name] = Node(
                name, site, address or ("10.0.0.1", 1_000 + len(self.nodes))
            )
        elif address is not None:
            self.nodes_by_address.pop(node.address, None)
            node.address = address
        self.nodes_by_address[node.address] = node
        node.clock_offset_ms, node.is_paused, node.buffered = clock_offset_ms, False, []
        incarnation, members = (
            node.persisted_state if restores_state and node.persisted_state else (0, [])
        )
        seed_addresses = tuple(self.nodes[seed].address for seed in seeds)
        config = MemberConfig(
            node.name.split("'")[0],
            site,
            node.address,
            seed_addresses,
            self.interval,
            self.forget_after,
            0.34,
            self.max_members,
        )
        node.membership = self.membership_type(
            config,
            random.Random(self.rng.getrandbits(64)),
            self.now,
            WALL_CLOCK_START_MS + self.now // 10 + clock_offset_ms,
            incarnation,
            members,
        )
        node.membership.update_metadata(self.now, state=state)
        node.next_wake_at = 1 << 62
        self._schedule_tick(node, self.now + self.rng.randrange(self.interval // 10 + 1))
        return node

    def kill(self, name: str) -> None:
        """Ends a member's process without a leave message; its next one may restore the state."""
        node = self.nodes[name]
        if node.membership is not None:
            node.persisted_state = (
                node.membership.identity.incarnation,
                [member.update() for member in node.membership.view.known()],
            )
        node.membership, node.buffered = None, []

    def pause(self, name: str) -> None:
        """Suspends a process until `resume`; arriving datagrams are buffered."""
        self.nodes[name].is_paused = True

    def resume(self, name: str) -> None:
        """Resumes a paused process, which then receives the buffered datagrams."""
        node = self.nodes[name]
        node.is_paused = False
        buffered, node.buffered = node.buffered, []
        for datagram in buffered:
            self._schedule(self.now, self._arrive, node, datagram)
        self._schedule_tick(node, self.now)

    def leave(self, name: str) -> None:
        """Makes a member announce that it leaves, and ends its process."""
        node = self.nodes[name]
        node.membership.leave()
        self._apply_outputs(node)
        node.membership = None

    # Links

    def cut(self, sources: Iterable[str], destinations: Iterable[str], both: bool = True) -> None:
        """Cuts the links from all sources to all destinations; with `both`, also the reverse."""
        for source in sources:
            for destination in destinations:
                self.cut_links.add((source, destination))
                if both:
                    self.cut_links.add((destination, source))

    def heal(self) -> None:
        """Restores all links that are cut."""
        self.cut_links.clear()

    # Simulated time and its events

    def _schedule(self, time: int, action: Callable, *arguments) -> None:
        self.sequence_number += 1
        heapq.heappush(self.event_heap, (time, self.sequence_number, action, arguments))

    def _schedule_tick(self, node: Node, time: int) -> None:
        time = max(time, self.now)
        if time < node.next_wake_at:
            node.next_wake_at = time
            self._schedule(time, self._tick, node, node.membership, time)

    def _tick(self, node: Node, membership: Membership, time: int) -> None:
        if node.membership is not membership or membership is None or node.next_wake_at != time:
            return
        node.next_wake_at = 1 << 62
        if node.is_paused:
            return
        membership.tick(self.now)
        self._apply_outputs(node)

    def _arrive(self, node: Node, datagram: Datagram) -> None:
        if node.membership is None:
            return
        if node.is_paused:
            if len(node.buffered) < self.max_buffered:
                node.buffered.append(datagram)
            return
        node.membership.receive(datagram, self.now)
        self._apply_outputs(node)

    def _apply_outputs(self, node: Node) -> None:
        membership = node.membership
        for send in membership.take_datagrams():
            self._send(node, send.address, send.datagram)
        node.events += membership.take_events()
        self._schedule_tick(node, membership.next_deadline())

    def _send(self, node: Node, to: tuple[str, int], datagram: Datagram) -> None:
        node.sent_count += 1
        if self.count_bytes:
            node.sent_bytes += len(encode(datagram)) + HEADER_BYTES
        destination = self.nodes_by_address.get(to)
        if destination is None or (node.name, destination.name) in self.cut_links:
            return
        source_loss, destination_loss = (
            self.loss_by_node.get(node.name, 0.0),
            self.loss_by_node.get(destination.name, 0.0),
        )
        delivery_probability = (1 - self.loss) * (1 - source_loss) * (1 - destination_loss)
        copies = (
            0
            if self.rng.random() >= delivery_probability
            else 1 + (self.rng.random() < self.duplication)
        )
        for _ in range(copies):
            self._schedule(
                self.now + self.delay + self.rng.randint(0, self.jitter),
                self._arrive,
                destination,
                datagram,
            )

    def run(self, duration: int) -> None:
        """Runs the simulation for `duration`."""
        until = self.now + duration
        while self.event_heap and self.event_heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.event_heap)
            action(*arguments)
        self.now = until

    def run_until(self, condition: Callable[[], bool], timeout: int, step: int = 0) -> int | None:
        """Runs until the condition holds, and returns the simulated time that this took.

        The condition is checked every `step`, by default a tenth of the probe interval. Returns
        None if it does not hold within `timeout`.
        """
        started_at, step = self.now, step or self.interval // 10
        while self.now - started_at <= timeout:
            if condition():
                return self.now - started_at
            self.run(step)
        return None

    # Actual state, and the members' views of it

    def running_nodes(self) -> list[Node]:
        """Returns the nodes whose process runs and is not paused."""
        return [
            node
            for node in self.nodes.values()
            if node.membership is not None and not node.is_paused
        ]

    def present_names(self, node: Node) -> set[str]:
        """Returns the names of the members that are present in the node's view."""
        return {member.name for member in node.membership.view.present}

    def all_settled(self) -> bool:
        """Whether the views of all running nodes are equal and correct.

        Their digests are equal, exactly the running members are present, and none is suspected.
        """
        nodes = self.running_nodes()
        running_names = {node.membership.name for node in nodes}
        first_digest = nodes[0].membership.view.digest
        return all(node.membership.view.digest == first_digest for node in nodes) and all(
            {member.name for member in node.membership.view.present} == running_names
            and not node.membership.failure_detector.suspicions
            for node in nodes
        )

    def absent_from_all_views(self, *names: str) -> bool:
        """Whether none of these members is present in the view of any running node."""
        return all(not self.present_names(node) & set(names) for node in self.running_nodes())
