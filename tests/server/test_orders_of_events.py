"""Draws orders of events, and checks the rules of the protocol after each of them.

The peers and the rules are those of `model.py`. A longer run draws other examples:
`LILACWALK_EXAMPLES=20000 python -m pytest tests/server/test_orders_of_events.py`.
"""

import logging
import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lilacwalk.overload.model import Outcome
from tests.server.model import (
    DEDUPLICATED,
    GRACE,
    IDEMPOTENT,
    LIFETIME,
    NON_IDEMPOTENT,
    Model,
)

EXAMPLES = int(os.environ.get("LILACWALK_EXAMPLES", "0"))  # 0: the same few examples in each run
SEEDED_EXAMPLES = 600
STEPS = 60
ALL_BYTES = 1_000_000
REQUESTS_BEFORE_DRAIN = 5
CLASS_NAMES = st.sampled_from([IDEMPOTENT, DEDUPLICATED, DEDUPLICATED, NON_IDEMPOTENT])
KEYS = st.sampled_from(["k1", "k2"])
KEY_OF_DRAIN = "k3"
CALL_OUTCOMES = [Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECTION_LOST]


class OrdersOfEvents(RuleBasedStateMachine):
    """One app server; each rule is one event of a peer or of the time."""

    def __init__(self):
        super().__init__()
        self.model = Model()
        self.executor = self.model.executor

    @initialize(may_drain=st.booleans())
    def draw_drain(self, may_drain):
        self.may_drain = may_drain

    # Proxies

    @rule(
        class_name=CLASS_NAMES,
        key=KEYS,
        lifetime=st.sampled_from([0, 200, LIFETIME, LIFETIME]),
        count=st.integers(1, 3),
    )
    def submit(self, class_name, key, lifetime, count):
        """Sends requests that are read together; only the first one may have little time."""
        for number in range(count):
            self.model.submit(class_name, key, lifetime if number == 0 else LIFETIME)

    @precondition(lambda self: self.executor.sock is not None)
    @rule(class_name=CLASS_NAMES, key=KEYS)
    def start(self, class_name, key):
        """Sends a request whose dispatch is read, but not yet acknowledged, by the executor."""
        self.model.submit(class_name, key, LIFETIME)
        self.model.iterate()
        self.executor.read(ALL_BYTES)

    @precondition(lambda self: self.executor.sock is not None)
    @rule(class_name=CLASS_NAMES, key=KEYS)
    def start_with_call(self, class_name, key):
        """Like `start`, and the result of the execution's first call is read as well."""
        self.start(class_name, key)
        if not self._running():
            return
        self.executor.request_call(self._running()[-1])
        self.model.deliver(ALL_BYTES)
        self.model.iterate()
        for call in list(self.model.dependency.calls):
            self.model.end_call(call, Outcome.OK)
        self.model.iterate()
        self.executor.read(ALL_BYTES)

    @precondition(lambda self: self.model.open_attempts)
    @rule(data=st.data())
    def withdraw(self, data):
        self.model.withdraw(data.draw(st.sampled_from(self.model.open_attempts)))

    # The server

    @rule()
    def iterate(self):
        self.model.iterate()

    @rule(duration=st.sampled_from([10, 100, 600, LIFETIME]))
    def advance(self, duration):
        self.model.advance(duration)

    @rule(duration=st.sampled_from([100, 600, 3_000]))
    def stall(self, duration):
        self.model.stall(duration)

    @precondition(lambda self: self.may_drain and len(self.model.by_id) > REQUESTS_BEFORE_DRAIN)
    @rule(queues=st.booleans())
    def drain(self, queues):
        """Starts a drain; if `queues`, an attempt arrives after its grace for a queued original."""
        self.may_drain = False
        if queues:
            for class_name in (NON_IDEMPOTENT, NON_IDEMPOTENT, DEDUPLICATED):
                self.model.submit(class_name, KEY_OF_DRAIN, LIFETIME)
            self.model.iterate()
        self.model.drain()
        self.model.iterate()
        if queues:
            self.model.advance(GRACE + 10)
            self.model.submit(DEDUPLICATED, KEY_OF_DRAIN, LIFETIME)
            self.model.iterate()

    # The executor

    @rule()
    def exchange(self):
        self.model.exchange()

    @precondition(lambda self: self.executor.sock is not None and self.executor.sock.unread)
    @rule(size=st.sampled_from([1, 30, 80, ALL_BYTES, ALL_BYTES]))
    def executor_reads(self, size):
        self.executor.read(size)

    @precondition(lambda self: self.executor.undelivered)
    @rule(size=st.sampled_from([1, 30, 80, ALL_BYTES, ALL_BYTES]))
    def executor_is_read(self, size):
        self.model.deliver(size)

    @rule(data=st.data(), word=st.sampled_from(["success", "success", "failure"]))
    def execution_ends(self, data, word="success"):
        if running := self._running():
            self.executor.end(data.draw(st.sampled_from(running)), word)

    @rule(data=st.data())
    def execution_requests_call(self, data):
        if running := self._running():
            self.executor.request_call(data.draw(st.sampled_from(running)))

    def _running(self):
        """The ids of the executions that do not wait for a call."""
        executions = self.executor.executions.items()
        return [request_id for request_id, each in executions if not each.waits_for_call]

    @rule(size=st.sampled_from([10, 500, 6_000]))
    def executor_makes_a_remark(self, size):
        self.executor.remark(size)

    @rule()
    def responses_arrive(self):
        self.model.responses_arrive()

    @precondition(lambda self: self.executor.sock is not None)
    @rule()
    def link_breaks(self):
        self.model.break_link()

    @precondition(lambda self: self.executor.sock is not None)
    @rule(data=st.data(), steps=st.lists(st.sampled_from("eeccn"), min_size=6, max_size=6))
    def link_is_replaced(self, data, steps):
        """Breaks the link and opens one; executions go on between the steps of its replay."""
        self.model.break_link()
        self.model.iterate()
        self.model.connect()
        for step in steps:
            self.model.iterate()
            self.executor.read(ALL_BYTES)
            if step == "e":
                self.execution_ends(data=data, word="success")
            elif step == "c":
                self.execution_requests_call(data=data)
            self.model.deliver(ALL_BYTES)

    @precondition(lambda self: self.executor.sock is None)
    @rule()
    def link_opens(self):
        self.model.connect()

    # The dependency

    @precondition(lambda self: self.model.dependency.calls)
    @rule(data=st.data(), outcome=st.sampled_from(CALL_OUTCOMES))
    def call_ends(self, data, outcome):
        call = data.draw(st.sampled_from(self.model.dependency.calls))
        self.model.end_call(call, outcome)

    def teardown(self):
        self.model.finish()


def test_the_rules_hold_in_every_order_of_events(caplog):
    """Guards against orders that no other test has: breaks, stalls, duplicates, drains together."""
    caplog.set_level(logging.CRITICAL, logger="lilacwalk")
    run_state_machine_as_test(
        OrdersOfEvents,
        settings=settings(
            max_examples=EXAMPLES or SEEDED_EXAMPLES,
            derandomize=not EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
