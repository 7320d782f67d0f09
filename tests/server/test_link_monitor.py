"""Whether the executor reads its link, as judged by the responses to gauge polls.

Times are in tenths of a millisecond.
"""

import pytest

from lilacwalk.server.link_monitor import LinkMonitor


@pytest.fixture
def monitor():
    """A monitor that has seen 50 polls answered after 5 each; the last one was sent at 5,000."""
    monitor = LinkMonitor()
    for number in range(1, 51):
        monitor.poll_sent(number, number * 100)
        monitor.poll_answered(number, number * 100 + 5)
    return monitor


def test_a_link_is_responsive_before_the_first_response():
    monitor = LinkMonitor()
    monitor.poll_sent(1, 0)
    assert monitor.is_responsive(10_000)


def test_a_link_is_unresponsive_while_its_oldest_poll_is_answered_later_than_usual(monitor):
    monitor.poll_sent(51, 6_000)
    assert monitor.is_responsive(6_010)
    assert not monitor.is_responsive(6_020)
    monitor.poll_sent(52, 6_020)
    assert not monitor.is_responsive(6_020)
    monitor.poll_answered(51, 6_025)
    assert monitor.is_responsive(6_025)


def test_a_response_also_answers_earlier_polls(monitor):
    monitor.poll_sent(51, 6_000)
    monitor.poll_sent(52, 6_100)
    monitor.poll_answered(52, 6_105)
    assert monitor.is_responsive(9_000)


def test_an_executor_that_always_responds_slowly_is_responsive(monitor):
    """Guards against holding all commands of an executor whose responses take long."""
    for number in range(51, 101):
        monitor.poll_sent(number, number * 1_000)
        monitor.poll_answered(number, number * 1_000 + 300)
    monitor.poll_sent(101, 200_000)
    assert monitor.is_responsive(200_300)


def test_polls_of_a_lost_link_do_not_count_on_the_next_one(monitor):
    monitor.poll_sent(51, 6_000)
    monitor.link_lost()
    assert monitor.is_responsive(9_000)
