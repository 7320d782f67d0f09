"""Decides which retries are admitted in a storm. No I/O.

Each completed request of a class adds a fraction of a retry to the class's budget, and each
admitted retry takes one. Retries thus add no more than this fraction to the load, however many
clients retry.

Idle cores admit retries beyond the budget: their allowance grows in each step without a queue, and
is halved in each step with one. This adds no load to busy cores. Without the allowance, a backlog
of clients that obey their retry-after times would wait while cores are idle.

Clients share a budget. While less than `MIN_BUDGET` is left of it, it admits no retries of a client
that has recently spent more than twice the mean, so that aggressive clients use up only their own
share.
"""

from __future__ import annotations

from collections.abc import Hashable

SECOND = 10_000  # tenths of a ms
BUDGET_TIME = 5.0  # a budget holds at most the retries that completions add in this many seconds
MIN_BUDGET = 3.0  # retries that every budget can hold, for classes with few requests
MAX_CLIENTS = 4_096  # clients whose spending is tracked; the one that spent least is removed first
SPENDING_HALF_LIFE = 5 * SECOND
NEGLIGIBLE_SPENDING = 0.05  # retries; clients that spent fewer are removed
# Growth of the idle allowance per step without a queue, as a fraction of the step's completions and
# in addition to one retry. The allowance grows from 0 to all completions in half a minute.
IDLE_GROWTH = 0.02
FAIR_SHARE_FACTOR = 2.0  # fair share of a client, relative to the mean spending of clients
RATE_WINDOW = 5  # seconds over which completions are averaged


class RetryBudget:
    """Tracks the budgets of request classes and the spending of clients. Owned by the damper.

    Attributes:
        admitted: retries admitted so far.
        refused: retries refused so far.
        spent_by_client: retries admitted recently, with exponential decay.
    """

    def __init__(self, ratio: float, now: int) -> None:
        """`ratio`: retries added to a budget for each completed request."""
        self.admitted = 0
        self.refused = 0
        self.spent_by_client: dict[Hashable, float] = {}
        self._ratio = ratio
        self._decayed_at = now
        self._budgets: dict[Hashable, float] = {}  # by request class
        # completions per second by request class, which limit its budget
        self._completion_rates: dict[Hashable, float] = {}
        self._idle_allowance = 0.0  # retries a step that idle cores admit beyond the budget
        self._idle_left = 0.0  # part of `_idle_allowance` left in the current step

    def request_completed(self, request_class: Hashable) -> None:
        """Adds the ratio to the budget of the class, up to the budget's limit."""
        rate = self._completion_rates.get(request_class, 0.0)
        limit = max(MIN_BUDGET, BUDGET_TIME * self._ratio * rate)
        budget = self._budgets.get(request_class, MIN_BUDGET)
        self._budgets[request_class] = min(limit, budget + self._ratio)
        self._completion_rates[request_class] = rate + 1 / RATE_WINDOW  # decays in `tick`

    def try_spend(self, request_class: Hashable, client: Hashable) -> bool:
        """Takes one retry from the class's budget, or else from the allowance of idle cores.

        Returns:
            Whether the retry is admitted.
        """
        budget = self._budgets.get(request_class, MIN_BUDGET)
        if budget >= 1 and (budget >= MIN_BUDGET or self._is_below_fair_share(client)):
            self._budgets[request_class] = budget - 1
        elif self._idle_left >= 1:
            self._idle_left -= 1
        else:
            self.refused += 1
            return False
        self._count_spending(client)
        self.admitted += 1
        return True

    def _is_below_fair_share(self, client: Hashable) -> bool:
        """Returns whether the client has spent less than its fair share."""
        spent = self.spent_by_client
        mean = sum(spent.values()) / max(1, len(spent))
        return spent.get(client, 0.0) < FAIR_SHARE_FACTOR * max(1.0, mean)

    def _count_spending(self, client: Hashable) -> None:
        spent = self.spent_by_client
        spent[client] = spent.get(client, 0.0) + 1
        if len(spent) > MAX_CLIENTS:
            del spent[min(spent, key=spent.__getitem__)]

    def end_step(self, has_queue: bool, completions: float) -> None:
        """Sets the allowance of idle cores for the next step.

        Args:
            has_queue: whether requests wait for a core.
            completions: requests that the cores complete in a step.
        """
        if has_queue:
            self._idle_allowance /= 2
        else:
            grown = self._idle_allowance + 1 + IDLE_GROWTH * completions
            self._idle_allowance = min(completions, grown)
        self._idle_left = self._idle_allowance

    def tick(self, now: int) -> None:
        """Decays the spending of clients and the completion rates."""
        elapsed = now - self._decayed_at
        self._decayed_at = now
        decay = 2.0 ** (-elapsed / SPENDING_HALF_LIFE)
        self.spent_by_client = {
            client: remaining
            for client, count in self.spent_by_client.items()
            if (remaining := count * decay) > NEGLIGIBLE_SPENDING
        }
        rate_decay = max(0.0, 1 - elapsed / (RATE_WINDOW * SECOND))
        self._completion_rates = {
            request_class: rate * rate_decay
            for request_class, rate in self._completion_rates.items()
        }
