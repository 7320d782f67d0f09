"""The event loop: one thread that owns the controller and the state of all requests.

All other threads pass their events through one queue, so that decisions need no lock. This module
contains the queue, the timers and the steps of an iteration; the events themselves are handled by
the components that `EventLoop` creates.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import NamedTuple

from lilacwalk.errors import LilacwalkError
from lilacwalk.event_queue import Callback, ComponentFailure, EventQueue, QueueItem
from lilacwalk.frontends.proxy_resp2 import ProxyFrontend
from lilacwalk.limits import SECOND, Limits
from lilacwalk.overload.controller import Controller
from lilacwalk.overload.events import Event, ServerStarted, TimerExpired
from lilacwalk.overload.model import ServerSettings
from lilacwalk.protocols.dependency_client import DependencyClient
from lilacwalk.protocols.executor_client import ExecutorClient
from lilacwalk.protocols.proxy_listener import ProxyListener
from lilacwalk.protocols.registry import RegistryReporter
from lilacwalk.protocols.send_buffer import SendBuffer
from lilacwalk.requests.records import Frontend
from lilacwalk.server.clock import Clock
from lilacwalk.server.decision_applier import DecisionApplier
from lilacwalk.server.dependency_calls import DependencyCalls
from lilacwalk.server.drain import Drain
from lilacwalk.server.executor_session import ExecutorSession
from lilacwalk.server.input_scheduler import InputScheduler
from lilacwalk.server.request_lifecycle import RequestLifecycle
from lilacwalk.server.subsystems import Subsystems


class ComponentFailedError(LilacwalkError):
    """A component that this app server requires has failed, so that the process must end."""

    def __init__(self, reason: str) -> None:
        """`reason` is the component's error message."""
        super().__init__(reason)
        self.reason = reason


class Timer(NamedTuple):
    """A handler to call at `due`; timers due at the same time run in the order they were set."""

    due: int  # Unix time in tenths of a millisecond
    order: int  # the number of timers set earlier
    handler: Callable[..., object]
    arguments: tuple


class EventLoop:
    """Takes events from the queue and passes them to the controller in one batch per iteration.

    An iteration takes at most `limits.max_events_per_iteration` items and then processes about
    `limits.max_messages_per_iteration` messages of proxies, so that neither a long queue nor their
    input delays timers. Data sent during an iteration is flushed at its end, with a single flush
    per socket.

    Owns the queue, the order in which proxies are processed, the timers, the time of the current
    iteration (`now`, Unix time in tenths of a millisecond), the controller, the events of its next
    batch and the send buffers to flush. All other state belongs to the components `requests`,
    `executor`, `dependency_calls`, `decision_applier`, `subsystems` and `drain`.
    """

    def __init__(
        self,
        server: ServerSettings,
        limits: Limits,
        clock: Clock,
        event_queue: EventQueue,
        *,
        listener: ProxyListener,
        executor_client: ExecutorClient,
        dependency_client: DependencyClient,
        registry: RegistryReporter,
    ) -> None:
        """Creates the components; no event is handled before `run`."""
        self.server = server
        self.limits = limits
        self.clock = clock
        self.event_queue = event_queue
        self.listener = listener
        self.executor_client = executor_client
        self.registry = registry
        self.now = clock.now()
        self.has_ended = False
        self.controller: Controller | None = None  # None until the executor has been up once
        self.controller_events: list[Event] = []  # the next batch for the controller
        self.warm_up_ends_at = 0  # 0: the executor did not start with cold caches
        self._input_scheduler = InputScheduler()
        self._timers: list[Timer] = []
        self._timer_order = count()
        self._unflushed_buffers: dict[SendBuffer, None] = {}
        self.subsystems = Subsystems(self)
        self.requests = RequestLifecycle(self)
        self.executor = ExecutorSession(self, executor_client)
        self.dependency_calls = DependencyCalls(self, dependency_client)
        self.decision_applier = DecisionApplier(self)
        self.drain = Drain(self)
        self.proxy_frontend = ProxyFrontend(self.requests, listener, limits.max_in_flight)
        self.frontends: list[Frontend] = [self.proxy_frontend]

    def run(self) -> None:
        """Runs until the drain has ended.

        Raises:
            ComponentFailedError: A component that the process requires has failed.
        """
        self.schedule(self.now, self.run_housekeeping, self.now)
        while not self.has_ended:
            self.run_iteration()

    def run_iteration(self) -> None:
        """Waits for events or a timer, handles them and sends the resulting data."""
        items = self.take_items()
        self.now = max(self.now, self.clock.now())
        for item in items:
            if isinstance(item, Callback):
                item()
            elif isinstance(item, ComponentFailure):
                raise ComponentFailedError(item.reason)
            else:
                self._input_scheduler.input_announced(item)
        self._input_scheduler.process(self.limits.max_messages_per_iteration)
        timers = self._timers
        while timers and timers[0].due <= self.now:
            timer = heapq.heappop(timers)
            timer.handler(*timer.arguments)
        if self.controller is not None and self.controller_events:
            events, self.controller_events = self.controller_events, []
            self.controller.process_batch(self.now, events, self.decision_applier)
        unflushed, self._unflushed_buffers = self._unflushed_buffers, {}
        for send_buffer in unflushed:
            send_buffer.flush()
        self.subsystems.report_node_state()

    def take_items(self) -> list[QueueItem]:
        """Takes the queued items, as far as `limits.max_events_per_iteration` allows.

        If there are none, waits for one until the next timer is due, unless input of a proxy is
        left to be processed.
        """
        wait = 0
        if self._input_scheduler.is_idle:
            wait = max(0, self._timers[0].due - self.clock.now()) if self._timers else SECOND
        return self.event_queue.take(self.limits.max_events_per_iteration, wait / SECOND)

    def schedule(self, due: int, handler: Callable[..., object], *arguments: object) -> None:
        """Schedules a call of `handler` in the first iteration at or after `due`."""
        heapq.heappush(self._timers, Timer(due, next(self._timer_order), handler, arguments))

    def send(self, send_buffer: SendBuffer, data: bytes) -> bool:
        """Appends to a send buffer, which is flushed at the end of this iteration.

        Returns:
            False if the buffer is full because the peer does not read.
        """
        self._unflushed_buffers[send_buffer] = None
        return send_buffer.append(data)

    def start_controller(self, *, is_cold: bool, executor_age: int) -> None:
        """Creates the controller after the executor has reported its state for the first time.

        Args:
            is_cold: Whether the executor started with cold caches and is still warming up.
            executor_age: Time since the executor started, in tenths of a millisecond.
        """
        started_at = self.now - (executor_age if is_cold else 0)
        self.warm_up_ends_at = started_at + self.server.warm_up_time if is_cold else 0
        self.controller = Controller(replace(self.server, started_cold=is_cold), started_at)
        self.subsystems.restore_learned_state(self.controller)
        self.controller_events.append(ServerStarted())
        self.drain.notify_controller()

    def set_controller_timer(self, delay: int) -> None:
        """Sets the controller's next timer, and requests new gauges shortly before it expires.

        `delay` is in tenths of a millisecond.
        """
        due = self.now + delay
        self.schedule(due - self.limits.gauge_lead, self.executor.commands.request_gauges)
        self.schedule(due, self._controller_timer_expired)

    def _controller_timer_expired(self) -> None:
        """Adds the event, with the gauges that the executor reported last, to the next batch.

        Does not wait for a late report of gauges.
        """
        gauges = self.executor.gauges
        self.controller_events.append(TimerExpired(gauges.core_use, gauges.run_queue))

    def run_housekeeping(self, due: int) -> None:
        """Does the periodic work: reports, removal of expired keys, closing of idle connections.

        Args:
            due: The time at which this run was due. If it is late by a whole interval, the process
                was stalled, and no connection counts as idle.
        """
        interval = self.limits.housekeeping_interval
        self.schedule(self.now + interval, self.run_housekeeping, self.now + interval)
        if self.controller is not None:
            self._report_to_registry()
            self.subsystems.tick(self.controller)
        for frontend in self.frontends:
            frontend.tick(self.now, self.now - due >= interval)
        self.dependency_calls.close_idle_connections()

    def _report_to_registry(self) -> None:
        """Reports to the service registry if a report is due; also evicts expired cache entries."""
        applier = self.decision_applier
        if self.now >= applier.next_report_at:
            applier.next_report_at = self.now + self.limits.report_interval
            self.registry.report(applier.is_healthy)
            self.requests.result_cache.evict_expired(self.now)
