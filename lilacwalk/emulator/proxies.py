"""Simulated source of requests: routers (proxies) with their routing policy, and their clients.

Assumptions: a router selects app servers from a list that is `list_delay` old. It sends each
request to one of them according to its `choice`. After a rejection or a loss it retries on another
one, if its retry budget, `max_attempts` and the request's deadline permit it. Such a series of
attempts is called a round. When a round fails, the client repeats the request after the retry-after
time that it received, or else after its default delay, at most `max_repeats` times and until the
request's deadline. The requests form a Poisson process; a surge raises its rate, and one router (an
outlet) may send many times as many requests as the others.

Choices: `random`; `two` (of two random servers, the one with fewer outstanding attempts of this
router, Mitzenmacher, 2001); `least` (a server with the fewest outstanding attempts of this router);
`subject` (by a hash of the request's subject and the server's name, so that requests for a subject
change to another server only if theirs is not listed or was attempted; 64 consecutive requests of a
router have the same subject)."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from lilacwalk.emulator.events import EventQueue
from lilacwalk.emulator.server import COMPLETED, DENIED, LOST, Attempt, Reply, Server
from lilacwalk.overload.model import Effect, RequestClass

SECOND = 10_000
CHOICES = ("random", "two", "least", "subject")


@dataclass(frozen=True, slots=True)
class RoutingBehavior:
    """Behavior of a router and of its clients. Times are in tenths of a ms."""

    choice: str = "two"  # one of CHOICES
    # After n rounds were started, a request may have had up to n times this number of attempts.
    max_attempts: int = 3
    # Retry tokens added per request; a retry takes one. Limits the mean number of retries.
    budget: float = 0.2
    marks_retries: bool = True  # whether retries are marked as such
    # Whether the router obeys `no_retry_elsewhere`, and its clients the retry-after time.
    honors_retry_after: bool = True
    max_repeats: int = 1  # number of times that a client repeats a request after a failed round
    # Delay before a client repeats a request if it received no retry-after time.
    default_repeat_delay: int = SECOND // 2
    list_delay: int = SECOND  # age of the list of servers
    link_delay: int = 5  # one-way network delay between router and app server


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A request of a client, which may take several attempts. Times are in tenths of a ms."""

    number: int  # unique among all routers
    request_class: RequestClass
    created_at: int
    deadline: int
    work: int  # core time at full speed
    router: Router
    round_count: int = 0  # rounds started
    attempt_count: int = 0  # attempts sent in all rounds
    # Servers attempted in the current round.
    attempted_servers: list[Server] = field(default_factory=list)


@dataclass(slots=True)
class SecondStats:
    """Results of the requests created in one second; attributes are columns of the stored table."""

    wished: int = 0  # requests created
    granted: int = 0  # requests completed
    in_time: int = 0  # requests completed within their latency objective
    benefit: float = 0.0  # total weight of the requests in `in_time`
    wanted: float = 0.0  # total weight of the requests created
    tries: int = 0  # attempts sent
    refused: int = 0  # requests that ended with a rejection
    lost: int = 0  # requests that ended with a loss, a termination or a timeout


@dataclass(eq=False, slots=True)
class Router:
    """Creates requests and sends their attempts to app servers. Times are in tenths of a ms.

    Attributes:
        number: number of the router.
        events: event queue of the simulation.
        rng: random numbers of this router.
        behavior: behavior of the router and its clients.
        servers: returns the servers that were listed at a time.
        draw_request: returns request class, work and timeout of the next request.
        rate: returns the requests per second at a time.
        stats_by_second: results by the second in which the request was created, shared by all
            routers.
        outstanding: number of outstanding attempts by server.
        retry_tokens: retries that the router may send now.
        request_count: number of requests created.
    """

    number: int
    events: EventQueue
    rng: random.Random
    behavior: RoutingBehavior
    servers: Callable[[int], list[Server]]
    draw_request: Callable[[random.Random], tuple[RequestClass, int, int]]
    rate: Callable[[int], float]
    stats_by_second: dict[int, SecondStats]
    outstanding: dict[Server, int] = field(default_factory=dict)
    retry_tokens: float = 10.0
    request_count: int = 0

    def start(self) -> None:
        """Starts to create requests."""
        self._schedule_next_request()

    def _schedule_next_request(self) -> None:
        rate = self.rate(self.events.now)
        if rate <= 0:  # the rate is checked again later: a scenario may begin without traffic
            self.events.after(SECOND // 10, self._schedule_next_request)
            return
        self.events.after(max(1, round(self.rng.expovariate(rate) * SECOND)), self._create_request)

    def _create_request(self) -> None:
        self._schedule_next_request()
        request_class, work, timeout = self.draw_request(self.rng)
        now = self.events.now
        self.request_count += 1
        request = ClientRequest(
            self.number << 32 | self.request_count, request_class, now, now + timeout, work, self
        )
        stats = self._stats(request)
        stats.wished += 1
        stats.wanted += request_class.weight
        self.retry_tokens = min(100.0, self.retry_tokens + self.behavior.budget)
        self._start_round(request)

    def _stats(self, request: ClientRequest) -> SecondStats:
        """Returns the results of the second in which the request was created."""
        return self.stats_by_second.setdefault(request.created_at // SECOND, SecondStats())

    # One round of attempts

    def _start_round(self, request: ClientRequest) -> None:
        request.round_count += 1
        request.attempted_servers = []
        self._send_attempt(request)

    def _send_attempt(self, request: ClientRequest) -> None:
        now = self.events.now
        server = self._choose_server(request)
        if server is None or now >= request.deadline:
            self._on_round_failure(request, Reply(LOST))
            return
        request.attempted_servers.append(server)
        request.attempt_count += 1
        self._stats(request).tries += 1
        self.outstanding[server] = self.outstanding.get(server, 0) + 1
        attempt = Attempt(
            request.request_class,
            request.number,
            self.number,
            request.work,
            request.deadline - now - self.behavior.link_delay,
            lambda attempt, reply: self.events.after(
                self.behavior.link_delay, self._on_reply, request, attempt, server, reply
            ),
            is_retry=self.behavior.marks_retries and request.attempt_count > 1,
        )
        self.events.after(self.behavior.link_delay, server.receive, attempt)
        self.events.put(request.deadline, self._on_timeout, request, attempt, server)

    def _choose_server(self, request: ClientRequest) -> Server | None:
        """Returns a listed server not yet attempted in this round; None if there is none."""
        candidates = [
            server
            for server in self.servers(self.events.now - self.behavior.list_delay)
            if server not in request.attempted_servers
        ]
        if not candidates:
            return None
        if self.behavior.choice == "subject":
            return max(
                candidates,
                key=lambda server: blake2b(
                    f"{request.number >> 6} {server.name}".encode(), digest_size=8
                ).digest(),
            )
        if self.behavior.choice == "least":
            fewest = min(self.outstanding.get(server, 0) for server in candidates)
            candidates = [
                server for server in candidates if self.outstanding.get(server, 0) == fewest
            ]
        elif self.behavior.choice == "two" and len(candidates) > 1:
            return min(
                self.rng.sample(candidates, 2), key=lambda server: self.outstanding.get(server, 0)
            )
        return self.rng.choice(candidates)

    def _on_timeout(self, request: ClientRequest, attempt: Attempt, server: Server) -> None:
        """Handles the deadline of the request: an attempt without a reply is lost."""
        if not attempt.is_settled:
            attempt.is_settled = 1
            self.outstanding[server] -= 1
            server.client_disconnected(attempt)
            self._stats(request).lost += 1

    def _on_reply(
        self, request: ClientRequest, attempt: Attempt, server: Server, reply: Reply
    ) -> None:
        if attempt.is_settled:
            return  # the attempt has timed out
        attempt.is_settled = 1
        self.outstanding[server] -= 1
        now = self.events.now
        if reply.kind == COMPLETED:
            stats = self._stats(request)
            stats.granted += 1
            if now - request.created_at <= request.request_class.latency_objective:
                stats.in_time += 1
                stats.benefit += request.request_class.weight
            return
        may_have_effect = (
            reply.kind != DENIED and request.request_class.effect is Effect.NON_IDEMPOTENT
        )
        may_retry = (
            not may_have_effect
            and request.attempt_count < self.behavior.max_attempts * request.round_count
            and self.retry_tokens >= 1
        )
        if may_retry and not (reply.no_retry_elsewhere and self.behavior.honors_retry_after):
            self.retry_tokens -= 1
            self._send_attempt(request)
        else:
            self._on_round_failure(request, reply, may_have_effect)

    def _on_round_failure(
        self, request: ClientRequest, reply: Reply, may_have_effect: bool = False
    ) -> None:
        """Starts another round after a delay, or counts the request as rejected or lost."""
        now = self.events.now
        delay = (
            reply.retry_after
            if reply.retry_after and self.behavior.honors_retry_after
            else self.behavior.default_repeat_delay
        )
        if (
            not may_have_effect
            and request.round_count <= self.behavior.max_repeats
            and now + delay < request.deadline
        ):
            self.events.after(delay, self._start_round, request)
            return
        stats = self._stats(request)
        if reply.kind == DENIED:
            stats.refused += 1
        else:
            stats.lost += 1
