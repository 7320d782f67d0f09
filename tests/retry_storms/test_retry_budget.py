"""The retry budget and the clients' fair shares of it."""

from lilacwalk.retry_storms.retry_budget import MIN_BUDGET, RetryBudget


def test_an_aggressive_client_spends_only_its_own_share_of_the_budget():
    budget = RetryBudget(0.1, 0)
    for index in range(40):
        for _ in range(10):
            budget.request_completed("swap")
        budget.try_spend("swap", index % 10)  # ten clients that retry rarely
        for _ in range(20):
            budget.try_spend("swap", "aggressive")
    spent = budget.spent_by_client
    assert spent["aggressive"] < sum(
        count for client, count in spent.items() if client != "aggressive"
    )


def test_retries_add_no_more_than_the_budget_ratio_to_the_load():
    budget = RetryBudget(0.1, 0)
    admitted = 0
    for index in range(1_000):
        budget.request_completed("swap")
        admitted += budget.try_spend("swap", index % 7)
    assert admitted <= 0.1 * 1_000 + MIN_BUDGET
