"""Decides whose input the event loop processes next, so that no client delays the others.

A client that sends more than others waits behind its own input. Each client has its first turn as
soon as it has input after it had none; further turns come after the first turns of all others. A
client that sent invalid messages comes last, until it sends a valid one. Of the messages of an
iteration, a part is reserved for each of these two, so that every client is processed eventually.
"""

from __future__ import annotations

from collections import deque

from lilacwalk.event_queue import InputSource

MESSAGES_PER_TURN = 8
RESERVED_MESSAGES = 8  # of an iteration, for further turns and for suspect clients each
IMMEDIATE_TURNS = 16  # of an iteration, before the events of other components that came later


class InputScheduler:
    """Queues of the clients that wait for a turn; owns their `is_queued`."""

    def __init__(self) -> None:
        """Creates empty queues."""
        self._first_turns: deque[InputSource] = deque()
        self._further_turns: deque[InputSource] = deque()
        self._suspects: deque[InputSource] = deque()
        self._immediate_turns = IMMEDIATE_TURNS

    @property
    def is_idle(self) -> bool:
        """Whether no client waits for a turn."""
        return not (self._first_turns or self._further_turns or self._suspects)

    def input_announced(self, source: InputSource) -> None:
        """Gives a client that has received input its first turn, now or in `process`.

        The first turns of an iteration are given at once, in the order of all events. Does nothing
        if the client waits for a turn already.
        """
        if source.is_queued:
            return
        source.is_queued = True
        if source.is_suspect:
            self._suspects.append(source)
        elif self._immediate_turns:
            self._immediate_turns -= 1
            self._process_turn(source, MESSAGES_PER_TURN)
        else:
            self._first_turns.append(source)

    def process(self, max_messages: int) -> None:
        """Has clients process about this number of messages, in the order of their turns.

        Called once in each iteration.
        """
        self._immediate_turns = IMMEDIATE_TURNS
        remaining = max_messages
        for turns in (self._suspects, self._further_turns):
            remaining -= self._process_turns(turns, min(RESERVED_MESSAGES, remaining))
        for turns in (self._first_turns, self._further_turns, self._suspects):
            remaining -= self._process_turns(turns, remaining)

    def _process_turns(self, turns: deque[InputSource], max_messages: int) -> int:
        """Processes turns of one queue, and returns the number of messages."""
        processed = 0
        while turns and processed < max_messages:
            source = turns.popleft()
            processed += self._process_turn(
                source, min(MESSAGES_PER_TURN, max_messages - processed)
            )
        return processed

    def _process_turn(self, source: InputSource, max_messages: int) -> int:
        """Processes a turn, and queues the client again if it has more input.

        Returns the number of messages; a turn without any counts as one if it is not the last.
        """
        messages = source.process_input(max_messages)
        if not source.has_unprocessed_input:
            source.is_queued = False
            return messages
        (self._suspects if source.is_suspect else self._further_turns).append(source)
        return max(1, messages)
