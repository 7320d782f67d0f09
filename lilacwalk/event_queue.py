"""The queue through which other threads pass work to the event loop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from queue import SimpleQueue


@dataclass(frozen=True, slots=True)
class Callback:
    """A handler with its arguments, called in the event loop's thread."""

    handler: Callable[..., object]
    arguments: tuple

    def __call__(self) -> None:
        """Calls the handler."""
        self.handler(*self.arguments)


@dataclass(frozen=True, slots=True)
class ComponentFailure:
    """Reports the failure of a component without which the process cannot continue."""

    reason: str


class EventQueue(SimpleQueue):
    """An unbounded queue with one consumer; any thread and any signal handler may add items.

    Each producer has to limit the number of its own queued items.
    """

    def post(self, handler: Callable[..., object], *arguments: object) -> None:
        """Queues a call of `handler` with these arguments for the event loop."""
        self.put(Callback(handler, arguments))

    def fail(self, reason: str) -> None:
        """Reports the failure of an essential component; the event loop then ends the process."""
        self.put(ComponentFailure(reason))
