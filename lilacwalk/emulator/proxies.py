"""Who brings exchanges: routers with their habits, and the clients behind them.

Assumed: a router knows the app servers by a list that is `late` behind the truth, takes each wish to one of
them by its habit, and on a denial or a loss to another, as its budget and the wish's patience allow. A client
whose wish was not granted comes again itself, after the time that it was told or its own, until its patience
is over. Wishes come by a Poisson process; a burst raises its rate; an outlet (one router in so many) may be
many times as busy as the others.

Habits of choice: `random`; `two` (the less busy of two drawn ones, Mitzenmacher, 2001); `least` (outstanding
here); `subject` (by the key's hash, on the next that is listed if it is gone)."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from lilacwalk.emulator.events import EventQueue
from lilacwalk.emulator.server import COMPLETED, DENIED, LOST, Reply, Server, Try
from lilacwalk.overload.model import Effect, RequestClass

SECOND = 10_000
CHOICES = ("random", "two", "least", "subject")


@dataclass(frozen=True, slots=True)
class Habits:
    """Times in tenths of a ms."""

    choice: str = "two"
    tries: int = 3  # of one wish in one walk
    budget: float = 0.2  # further tries for each wish, on the average
    marks: bool = True  # says that it asks again
    heeds: bool = True  # asks no other where it is told so, and its clients come back when told
    returns: int = 1  # times that a client comes again after a walk that failed
    away: int = SECOND // 2  # where nothing was told
    late: int = SECOND  # the list behind the truth
    link: int = 5  # to an app server, one way


@dataclass(eq=False, slots=True)
class Wish:
    number: int
    group: RequestClass
    born: int
    until: int
    work: int
    router: Router
    walks: int = 0
    tries: int = 0
    asked: list[Server] = field(default_factory=list)  # in this walk


@dataclass(slots=True)
class Second:
    """Of the wishes born in one second."""

    wished: int = 0
    granted: int = 0
    in_time: int = 0
    benefit: float = 0.0  # granted in time
    wanted: float = 0.0
    tries: int = 0
    refused: int = 0  # given up on after a denial
    lost: int = 0  # after a loss, a termination or silence


@dataclass(eq=False, slots=True)
class Router:
    """`draw`: (group, work, patience) of the next wish. `rate`: wishes a second, by the time."""

    number: int
    events: EventQueue
    rng: random.Random
    habits: Habits
    servers: Callable[[int], list[Server]]  # as they were listed at a time
    draw: Callable[[random.Random], tuple[RequestClass, int, int]]
    rate: Callable[[int], float]
    seconds: dict[int, Second]
    busy: dict[Server, int] = field(default_factory=dict)
    purse: float = 10.0
    wishes: int = 0

    def begin(self) -> None:
        self._next()

    def _next(self) -> None:
        rate = self.rate(self.events.now)
        if rate <= 0:  # looked at again: a scenario may begin without traffic
            self.events.after(SECOND // 10, self._next)
            return
        self.events.after(max(1, round(self.rng.expovariate(rate) * SECOND)), self._wish)

    def _wish(self) -> None:
        self._next()
        group, work, patience = self.draw(self.rng)
        now = self.events.now
        self.wishes += 1
        wish = Wish(self.number << 32 | self.wishes, group, now, now + patience, work, self)
        second = self._second(wish)
        second.wished += 1
        second.wanted += group.weight
        self.purse = min(100.0, self.purse + self.habits.budget)
        self._walk(wish)

    def _second(self, wish: Wish) -> Second:
        return self.seconds.setdefault(wish.born // SECOND, Second())

    # One walk

    def _walk(self, wish: Wish) -> None:
        wish.walks += 1
        wish.asked = []
        self._try(wish)

    def _try(self, wish: Wish) -> None:
        now = self.events.now
        server = self._choose(wish)
        if server is None or now >= wish.until:
            self._failed(wish, Reply(LOST))
            return
        wish.asked.append(server)
        wish.tries += 1
        self._second(wish).tries += 1
        self.busy[server] = self.busy.get(server, 0) + 1
        ask = Try(
            wish.group,
            wish.number,
            self.number,
            wish.work,
            wish.until - now - self.habits.link,
            lambda ask, reply: self.events.after(
                self.habits.link, self._replied, wish, ask, server, reply
            ),
            retry=self.habits.marks and wish.tries > 1,
        )
        self.events.after(self.habits.link, server.take, ask)
        self.events.put(wish.until, self._given_up, wish, ask, server)

    def _choose(self, wish: Wish) -> Server | None:
        there = [
            each
            for each in self.servers(self.events.now - self.habits.late)
            if each not in wish.asked
        ]
        if not there:
            return None
        if self.habits.choice == "subject":
            return max(
                there,
                key=lambda each: blake2b(
                    f"{wish.number >> 6} {each.name}".encode(), digest_size=8
                ).digest(),
            )
        if self.habits.choice == "least":
            least = min(self.busy.get(each, 0) for each in there)
            there = [each for each in there if self.busy.get(each, 0) == least]
        elif self.habits.choice == "two" and len(there) > 1:
            return min(self.rng.sample(there, 2), key=lambda each: self.busy.get(each, 0))
        return self.rng.choice(there)

    def _given_up(self, wish: Wish, ask: Try, server: Server) -> None:
        """Nothing came in time: silence, or a link that is cut."""
        if not ask.sent:
            ask.sent = 1
            self.busy[server] -= 1
            server.gone(ask)
            self._second(wish).lost += 1

    def _replied(self, wish: Wish, ask: Try, server: Server, reply: Reply) -> None:
        if ask.sent:
            return  # given up on before
        ask.sent = 1
        self.busy[server] -= 1
        now = self.events.now
        if reply.word == COMPLETED:
            second = self._second(wish)
            second.granted += 1
            if now - wish.born <= wish.group.latency_objective:
                second.in_time += 1
                second.benefit += wish.group.weight
            return
        unsafe = reply.word != DENIED and wish.group.effect is Effect.NON_IDEMPOTENT
        further = not unsafe and wish.tries < self.habits.tries * wish.walks and self.purse >= 1
        if further and not (reply.not_elsewhere and self.habits.heeds):
            self.purse -= 1
            self._try(wish)
        else:
            self._failed(wish, reply, unsafe)

    def _failed(self, wish: Wish, reply: Reply, unsafe: bool = False) -> None:
        """The client comes again, or is done with it."""
        now = self.events.now
        wait = reply.come_back if reply.come_back and self.habits.heeds else self.habits.away
        if not unsafe and wish.walks <= self.habits.returns and now + wait < wish.until:
            self.events.after(wait, self._walk, wish)
            return
        second = self._second(wish)
        if reply.word == DENIED:
            second.refused += 1
        else:
            second.lost += 1
