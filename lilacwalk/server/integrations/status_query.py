"""Answers `show` on the admin socket of an integration whose state the event loop owns."""

from __future__ import annotations

from collections.abc import Callable
from queue import Empty, SimpleQueue

from lilacwalk.event_queue import EventQueue

STATUS_TIMEOUT = 3.0  # seconds


def answer_show(query: str, event_queue: EventQueue, status: Callable[[], dict]) -> object:
    """Answers the query `show` with the result of `status`, called in the event loop's thread.

    Called in the admin socket's thread. Returns an error for any other query, and if the event loop
    does not answer within `STATUS_TIMEOUT`.
    """
    if query.split() != ["show"]:
        return {"error": "unknown query, expected: show"}
    answers: SimpleQueue[dict] = SimpleQueue()
    event_queue.post(lambda: answers.put(status()))
    try:
        return answers.get(timeout=STATUS_TIMEOUT)
    except Empty:
        return {"error": f"the event loop did not answer within {STATUS_TIMEOUT:g} s"}
