"""A simulated node: a damper, and cores that complete a fixed number of requests a second."""

import random

from lilacwalk.retry_storms.config import RetryStormConfig
from lilacwalk.retry_storms.damper import Attempt, RetryStormDamper
from lilacwalk.retry_storms.metrics import SECOND, STEP_TIME
from lilacwalk.retry_storms.stages import Stage


class Node:
    """A simulated node.

    Attributes:
        passed: number of attempts that the damper passed on.
        rejected: number of attempts that the damper rejected.
    """

    def __init__(self, completion_rate=100, **config):
        self.now = 0
        self.completion_rate = completion_rate
        self.request_count = 0
        self.damper = RetryStormDamper(RetryStormConfig(**config), SECOND, random.Random(1), 0)
        self.passed = 0
        self.rejected = 0

    def step(self, first=0, retries=0, completed=None, queue_delay=None, clients=50, aggressive=0):
        """Simulates half a second with these counts of attempts; returns how many were passed on.

        Args:
            first: first attempts.
            retries: retries, spread over `clients` clients.
            completed: completed requests; by default as many as the cores can complete.
            queue_delay: by default the time to complete the requests left over from this step.
            clients: number of clients.
            aggressive: retries of one further client.
        """
        capacity = self.completion_rate // 2 if completed is None else completed
        passed = []
        for index in range(first + retries + aggressive):
            is_first = index < first
            self.request_count += is_first
            fingerprint = self.request_count if is_first else index % 20 - 20
            client = 999 if index >= first + retries else index % clients
            attempt = Attempt(fingerprint, "swap", client, not is_first, 2 * SECOND, False)
            if self.damper.evaluate_request(attempt, self.now) is None:
                passed.append(fingerprint)
            else:
                self.rejected += 1
        self.passed += len(passed)
        for fingerprint in passed[:capacity]:
            self.damper.request_completed(fingerprint, "swap")
        self.now += STEP_TIME
        backlog_delay = int(max(0, len(passed) - capacity) * SECOND / self.completion_rate)
        self.damper.tick(self.now, backlog_delay if queue_delay is None else queue_delay)
        return len(passed)

    @property
    def stage(self):
        return self.damper.stage_machine.stage


def normal_node(**config):
    """Returns a node in the normal stage that has learned its baseline."""
    node = Node(**config)
    for _ in range(30):
        node.step(first=40, retries=2)
    assert node.stage is Stage.NORMAL
    assert not node.rejected
    return node
