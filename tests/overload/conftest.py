"""A fake host of the controller with a manual clock and a sink that records decisions.

Times and durations are in tenths of a millisecond.
"""

import pytest

from lilacwalk.overload.controller import Controller
from lilacwalk.overload.decision_sink import DecisionSink
from lilacwalk.overload.events import (
    ExecutionFinished,
    RequestReceived,
    ServerStarted,
    TimerExpired,
)
from lilacwalk.overload.model import Effect, Outcome, Request, RequestClass, ServerSettings
from lilacwalk.overload.parts import MAXIMUM_TIMER_PERIOD

READ_CLASS = RequestClass(
    "read", weight=1.0, latency_objective=10_000, timeout=30_000, deduplication_window=50_000
)
SERVER = {
    "seed": 1,
    "cores": 2,
    "memory_kb": 1e6,
    "running_memory_factor": 4.0,
    "request_classes": [READ_CLASS],
    "collapse_multiple": 4.0,
    "max_retry_after": 10_000,
    "drain_grace_period": 10_000,
}
DECISIONS = frozenset(name for name in vars(DecisionSink) if not name.startswith("_"))


class FakeHost:
    """Runs a controller with the events that a test supplies, and records its decisions."""

    def __init__(self, **server):
        self.server = ServerSettings(**(SERVER | server))
        self.now = 1_000_000
        self.recorded = []  # (name, *arguments) of each decision
        self.rejected_at = {}
        self.do_not_retry_elsewhere = {}
        self.controller = Controller(self.server, self.now)
        self.process(ServerStarted())

    def __getattr__(self, name):
        if name not in DECISIONS:
            raise AttributeError(name)

        def record(*arguments):
            self.recorded.append((name, *arguments))
            if name == "reject":
                request, _, do_not_retry_elsewhere = arguments
                self.rejected_at[request] = self.now
                self.do_not_retry_elsewhere[request] = do_not_retry_elsewhere

        return record

    def process(self, *events):
        """Passes the events to the controller in one batch."""
        self.controller.process_batch(self.now, list(events), self)

    def receive(self, request_class=None, ttl=30_000, **fields):
        """Passes a new request to the controller and returns it; its deadline is `ttl` from now."""
        request = Request(
            request_class or self.server.request_classes[0],
            fields.pop("arrived_at", self.now),
            self.now,
            self.now + ttl,
            fields.pop("memory_kb", 10.0),
            **fields,
        )
        self.process(RequestReceived(request))
        return request

    def wait(self, duration, core_use=1.0, run_queue=99.0):
        """Advances the clock by `duration`, with timer events that carry these gauges.

        The default gauges show that all cores are busy.
        """
        end = self.now + duration
        while self.now + MAXIMUM_TIMER_PERIOD <= end:
            self.now += MAXIMUM_TIMER_PERIOD
            self.process(TimerExpired(core_use, run_queue))
        self.now = end

    def finish(self, request, outcome=Outcome.OK):
        """Reports the end of a request's execution."""
        self.process(ExecutionFinished(request, outcome))

    def decisions(self, name):
        """Returns the first argument of each decision with this name, usually the request."""
        return [
            decision[1] if len(decision) > 1 else None
            for decision in self.recorded
            if decision[0] == name
        ]

    def responses(self, request):
        """Returns the names of the decisions (reject or fail) that answered the request."""
        return [
            decision[0]
            for decision in self.recorded
            if decision[0] in ("reject", "fail") and decision[1] is request
        ]


@pytest.fixture
def host():
    return FakeHost()


@pytest.fixture
def make_host():
    return FakeHost


@pytest.fixture
def make_class():
    def make(**fields):
        defaults = {
            "name": "default",
            "weight": 1.0,
            "latency_objective": 10_000,
            "timeout": 30_000,
            "deduplication_window": 50_000,
        }
        return RequestClass(**(defaults | fields))

    return make


@pytest.fixture
def deduplicated_class(make_class):
    return make_class(name="deduplicated", effect=Effect.DEDUPLICATED)
