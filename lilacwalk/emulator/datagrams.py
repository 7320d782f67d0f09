"""Members of a fleet in simulated time: the real `Membership`, an event queue in tenths of a ms, and links
that lose, delay, double and cut. One seed, and the same events on every machine: nothing here asks a clock
or a hash order.

Assumed: a datagram takes `delay` plus up to `jitter` tenths of a ms, each is lost independently of the
others, a member handles what comes at once. What a queue, a slow interpreter or a full buffer add is
measured with processes (`testing/fleet.py`), not here."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lilacwalk.membership.actions import MembershipEvent
from lilacwalk.membership.config import MemberConfig
from lilacwalk.membership.messages import HEADER_BYTES, Datagram, GossipUpdate, NodeState, encode
from lilacwalk.membership.swim import Membership

WALL = 1_800_000_000_000  # ms of the Unix clock at the world's start


@dataclass(eq=False, slots=True)
class Node:
    name: str
    site: str
    address: tuple[str, int]
    machine: Membership | None = None
    paused: bool = False
    waiting: list[Datagram] = field(
        default_factory=list
    )  # in the socket of a process that stands still
    wake: int = 1 << 62
    clock_ms: int = 0  # how far its wall clock is off
    stored: tuple[int, list[GossipUpdate]] | None = None
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
        most_waiting: int = 1_000,
    ) -> None:
        self.rng = random.Random(seed)
        self.interval, self.delay, self.jitter = interval, delay, jitter
        self.loss, self.double, self.most, self.forget, self.count_bytes = (
            loss,
            double,
            most,
            forget,
            count_bytes,
        )
        self.machine, self.most_waiting = machine, most_waiting
        self.now, self.order = 0, 0
        self.queue: list[tuple] = []
        self.nodes: dict[str, Node] = {}
        self.at_address: dict[tuple[str, int], Node] = {}
        self.cuts: set[tuple[str, str]] = set()  # (from, to): by member
        self.lossy: dict[str, float] = {}  # by member, of what it sends and of what is sent to it

    # Who is there

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
        """Starts a process under this name; one that runs under it already is killed."""
        node = self.nodes.get(name)
        if node is None:
            node = self.nodes[name] = Node(
                name, site, address or ("10.0.0.1", 1_000 + len(self.nodes))
            )
        elif address is not None:
            self.at_address.pop(node.address, None)
            node.address = address
        self.at_address[node.address] = node
        node.clock_ms, node.paused, node.waiting = clock_ms, False, []
        life, members = node.stored if keep and node.stored else (0, [])
        places = tuple(self.nodes[seed].address for seed in seeds)
        orders = MemberConfig(
            node.name.split("'")[0],
            site,
            node.address,
            places,
            self.interval,
            self.forget,
            0.34,
            self.most,
        )
        node.machine = self.machine(
            orders,
            random.Random(self.rng.getrandbits(64)),
            self.now,
            WALL + self.now // 10 + clock_ms,
            life,
            members,
        )
        node.machine.update_metadata(self.now, state=state)
        node.wake = 1 << 62
        self._wake(node, self.now + self.rng.randrange(self.interval // 10 + 1))
        return node

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        if node.machine is not None:
            node.stored = (
                node.machine.identity.incarnation,
                [each.update() for each in node.machine.view.known()],
            )
        node.machine, node.waiting = None, []

    def pause(self, name: str) -> None:
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.paused = False
        waiting, node.waiting = node.waiting, []
        for told in waiting:
            self._at(self.now, self._arrive, node, told)
        self._wake(node, self.now)

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        node.machine.leave()
        self._carry_out(node)
        node.machine = None

    # Links

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        for here in one:
            for there in other:
                self.cuts.add((here, there))
                if both:
                    self.cuts.add((there, here))

    def heal(self) -> None:
        self.cuts.clear()

    # Time

    def _at(self, time: int, action: Callable, *arguments) -> None:
        self.order += 1
        heapq.heappush(self.queue, (time, self.order, action, arguments))

    def _wake(self, node: Node, time: int) -> None:
        time = max(time, self.now)
        if time < node.wake:
            node.wake = time
            self._at(time, self._tick, node, node.machine, time)

    def _tick(self, node: Node, machine: Membership, time: int) -> None:
        if node.machine is not machine or machine is None or node.wake != time:
            return
        node.wake = 1 << 62
        if node.paused:
            return
        machine.tick(self.now)
        self._carry_out(node)

    def _arrive(self, node: Node, told: Datagram) -> None:
        if node.machine is None:
            return
        if node.paused:
            if len(node.waiting) < self.most_waiting:
                node.waiting.append(told)
            return
        node.machine.receive(told, self.now)
        self._carry_out(node)

    def _carry_out(self, node: Node) -> None:
        machine = node.machine
        for send in machine.take_datagrams():
            self._send(node, send.address, send.datagram)
        node.events += machine.take_events()
        self._wake(node, machine.next_deadline())

    def _send(self, node: Node, to: tuple[str, int], told: Datagram) -> None:
        node.sent += 1
        if self.count_bytes:
            node.sent_bytes += len(encode(told)) + HEADER_BYTES
        there = self.at_address.get(to)
        if there is None or (node.name, there.name) in self.cuts:
            return
        own, its = self.lossy.get(node.name, 0.0), self.lossy.get(there.name, 0.0)
        through = (1 - self.loss) * (1 - own) * (1 - its)
        copies = 0 if self.rng.random() >= through else 1 + (self.rng.random() < self.double)
        for _ in range(copies):
            self._at(
                self.now + self.delay + self.rng.randint(0, self.jitter), self._arrive, there, told
            )

    def run(self, time: int) -> None:
        until = self.now + time
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now = until

    def run_until(self, reached: Callable[[], bool], most: int, step: int = 0) -> int | None:
        """How long it took; None where it was not reached in time."""
        began, step = self.now, step or self.interval // 10
        while self.now - began <= most:
            if reached():
                return self.now - began
            self.run(step)
        return None

    # What is true, and who knows it

    def up(self) -> list[Node]:
        return [
            each for each in self.nodes.values() if each.machine is not None and not each.paused
        ]

    def present_names(self, node: Node) -> set[str]:
        return {each.name for each in node.machine.view.present}

    def all_settled(self) -> bool:
        """All digests equal, and what they say is true."""
        up = self.up()
        true = {each.machine.name for each in up}
        first = up[0].machine.view.digest
        return all(each.machine.view.digest == first for each in up) and all(
            {member.name for member in each.machine.view.present} == true
            and not each.machine.failure_detector.suspicions
            for each in up
        )

    def absent_from_all_views(self, *names: str) -> bool:
        return all(not self.present_names(each) & set(names) for each in self.up())
