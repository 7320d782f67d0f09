"""The queue through which other threads pass work to the event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from queue import Empty, SimpleQueue
from typing import Protocol


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


class InputSource(Protocol):
    """A client whose input the event loop processes in turns with that of other clients.

    Attributes:
        is_queued: Whether it waits for its next turn; written by the event loop's thread alone.
        is_suspect: Whether its last messages were invalid, so that others are processed first.
        has_unprocessed_input: Whether another turn is needed.
    """

    is_queued: bool
    is_suspect: bool

    @property
    def has_unprocessed_input(self) -> bool:
        """See the attributes of the class."""
        ...

    def process_input(self, max_messages: int, /) -> int:
        """Processes at most `max_messages` messages, and returns their number."""
        ...


class Signal(Enum):
    """Items of the queue that carry no work."""

    WAKE_UP = auto()  # the work is in another queue


@dataclass(frozen=True, slots=True)
class ClientCallback(Callback):
    """A callback whose number of copies in the queue depends on what clients do."""


QueueItem = Callback | ComponentFailure | InputSource
# Up to this number, queued items are taken in the order of their arrival.
MAX_ORDERED_ITEMS = 64


class EventQueue(SimpleQueue):
    """An unbounded queue with one consumer; any thread and any signal handler may add items.

    Each producer has to limit the number of its own queued items. Items are taken in order, unless
    many are queued: then those of clients do not delay the others. Urgent callbacks are taken
    first.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        super().__init__()
        self._urgent_callbacks: deque[Callback] = deque()
        # Owned by the consumer: items that have arrived and are not taken yet, in order, or, if
        # there are many, by whether they are caused by clients.
        self._arrived: deque[QueueItem] = deque()
        self._platform_items: deque[QueueItem] = deque()
        self._client_callbacks: deque[QueueItem] = deque()

    def post(self, handler: Callable[..., object], *arguments: object) -> None:
        """Queues a call of `handler` with these arguments for the event loop."""
        self.put(Callback(handler, arguments))

    def post_for_client(self, handler: Callable[..., object], *arguments: object) -> None:
        """Queues a call that a client has caused, such as by connecting."""
        self.put(ClientCallback(handler, arguments))

    def post_urgent(self, handler: Callable[..., object], *arguments: object) -> None:
        """Queues a call before all other items, for a request of the platform such as a stop."""
        self._urgent_callbacks.append(Callback(handler, arguments))
        self.put(Signal.WAKE_UP)

    def announce_input(self, source: InputSource) -> None:
        """Announces that `source` has received input."""
        self.put(source)

    def fail(self, reason: str) -> None:
        """Reports the failure of an essential component; the event loop then ends the process."""
        self.put(ComponentFailure(reason))

    def take(self, max_items: int, timeout_seconds: float) -> list[QueueItem]:
        """Takes the urgent callbacks, and then at most `max_items` other items.

        If many items are queued, takes at most `max_items` callbacks of each kind, those of clients
        last, and then all announcements of input, which cost little. Waits for at most
        `timeout_seconds`, and returns an empty list if nothing has been queued.
        """
        is_ordered = not (self._platform_items or self._client_callbacks)
        is_empty = is_ordered and not self._arrived
        self._receive(timeout_seconds if is_empty else 0)
        items = _pop(self._urgent_callbacks, len(self._urgent_callbacks))
        if is_ordered and len(self._arrived) <= MAX_ORDERED_ITEMS:
            return items + _pop(self._arrived, max_items)
        inputs = self._sort_arrived()
        items += _pop(self._platform_items, max_items)
        items += _pop(self._client_callbacks, max_items)
        return items + inputs

    def _sort_arrived(self) -> list[InputSource]:
        """Distributes the callbacks that have arrived, and returns the announcements of input."""
        inputs: list[InputSource] = []
        while self._arrived:
            item = self._arrived.popleft()
            if isinstance(item, ClientCallback):
                self._client_callbacks.append(item)
            elif isinstance(item, Callback | ComponentFailure):
                self._platform_items.append(item)
            else:
                inputs.append(item)
        return inputs

    def _receive(self, timeout_seconds: float) -> None:
        """Moves all items that other threads have added to `_arrived`; waits for the first one."""
        try:
            item = self.get(timeout=timeout_seconds)
            while True:
                if item is not Signal.WAKE_UP:
                    self._arrived.append(item)
                item = self.get_nowait()
        except Empty:
            pass


def _pop(items: deque, max_items: int) -> list:
    return [items.popleft() for _ in range(min(max_items, len(items)))]
