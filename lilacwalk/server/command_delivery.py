"""Delivers commands to the executor over links that may be lost."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from lilacwalk.overload.model import Effect
from lilacwalk.protocols.executor_codec import (
    encode_call_result,
    encode_cancel,
    encode_dispatch,
    encode_gauge_request,
    encode_skip_call,
)
from lilacwalk.protocols.send_buffer import SendBuffer, shut_down_socket
from lilacwalk.requests.records import InFlightRequest, PendingCommand
from lilacwalk.server.link_monitor import LinkMonitor

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop

log = logging.getLogger(__name__)

GAUGE_POLL_PREFIX = "g"  # the tag of a gauge poll is this prefix and the number of the poll


class CommandDelivery:
    """Sends commands to the executor, and stores those that it is not known to have read.

    The executor responds to commands in the order in which it reads them, so the response to a
    numbered gauge poll acknowledges all commands that were sent before the poll.

    If the link is lost before that, the executor may or may not have read a command. The command is
    then sent again over the next link only if reading it twice does no harm, or replaced by another
    one. Otherwise nothing is sent, and the request is unconfirmed: its execution either continues
    and reports its next event, or the request is failed at its deadline.

    An executor that stops reading shortly before the link is lost leaves polls unanswered. Commands
    that must not be repeated are held until it responds again, so that few of them get lost.

    Owns the send buffer of the ready link and the number of gauge polls. The commands of a request
    are stored in its `InFlightRequest`.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        """Creates a delivery without a link."""
        self._event_loop = event_loop
        self._send_buffer: SendBuffer | None = None  # None: no link is ready
        self.gauge_polls = 0  # number of gauge polls sent over all links
        self._monitor = LinkMonitor()
        self._has_held_commands = False

    @property
    def is_ready(self) -> bool:
        """Whether there is a link whose replay has been received."""
        return self._send_buffer is not None

    # Commands; without a ready link, they are sent when the next link is ready

    def dispatch(self, entry: InFlightRequest) -> None:
        """Has the executor execute a request.

        The executor ignores a second dispatch of a running request, but would execute a request
        again whose execution has ended in the meantime.
        """
        data = encode_dispatch(entry.id, entry.class_name, entry.body)
        is_idempotent = entry.request.request_class.effect is Effect.IDEMPOTENT
        self._add(entry, PendingCommand(data, replacement=data if is_idempotent else None))

    def cancel(self, entry: InFlightRequest) -> None:
        """Has the executor interrupt the execution of a request."""
        data = encode_cancel(entry.id)
        self._add(entry, PendingCommand(data, replacement=data))

    def send_call_result(self, entry: InFlightRequest, body: bytes) -> None:
        """Sends the result of the dependency call that the execution waits for.

        The message does not name the call, so a second one could be taken for the result of the
        execution's next call. The command to skip the call names it, and replaces the result if the
        class permits that calls are skipped.
        """
        can_skip = entry.request.request_class.skipped_call_weight_share > 0
        replacement = encode_skip_call(entry.id, entry.call_event_number) if can_skip else None
        data = encode_call_result(entry.id, body)
        self._add(entry, PendingCommand(data, replacement=replacement))

    def skip_call(self, entry: InFlightRequest) -> None:
        """Has the execution continue without the call that it requested last."""
        data = encode_skip_call(entry.id, entry.call_event_number)
        self._add(entry, PendingCommand(data, replacement=data))

    def request_gauges(self) -> None:
        """Sends a gauge poll; the response also acknowledges all commands sent earlier.

        Has no effect while no link is ready.
        """
        if self._send_buffer is not None:
            self.gauge_polls += 1
            tag = f"{GAUGE_POLL_PREFIX}{self.gauge_polls}"
            self._event_loop.send(self._send_buffer, encode_gauge_request(tag))
            self._monitor.poll_sent(self.gauge_polls, self._event_loop.now)

    def _add(self, entry: InFlightRequest, command: PendingCommand) -> None:
        """Sends a command unless it, or an earlier command of its request, has to be held."""
        must_hold = (
            not command.is_repeatable and not self._monitor.is_responsive(self._event_loop.now)
        ) or any(not earlier.may_be_read for earlier in entry.pending_commands)
        entry.pending_commands.append(command)
        if must_hold:
            self._has_held_commands = True
        else:
            self._send(command)

    def _send(self, command: PendingCommand) -> None:
        if self._send_buffer is None:
            return
        if self._event_loop.send(self._send_buffer, command.data):
            command.polls_before = self.gauge_polls
            command.end_position = self._send_buffer.appended_bytes
        else:
            # The executor does not read. The command is sent over a new link.
            shut_down_socket(self._send_buffer.sock)

    # Acknowledgement and loss

    def poll_answered(self, poll: int) -> None:
        """Drops the commands that were sent before a gauge poll, as the executor has read them.

        Sends the commands that were held until the executor responds.
        """
        now = self._event_loop.now
        self._monitor.poll_answered(poll, now)
        for entry in self._event_loop.requests.in_flight.by_id.values():
            if entry.pending_commands:
                entry.pending_commands = [
                    command
                    for command in entry.pending_commands
                    if command.polls_before is None or command.polls_before >= poll
                ]

        if self._has_held_commands and self._monitor.is_responsive(now):
            self._send_held_commands()

    def _send_held_commands(self) -> None:
        self._has_held_commands = False
        for entry in self._event_loop.requests.in_flight.by_id.values():
            for command in entry.pending_commands:
                if not command.may_be_read:
                    self._send(command)

    def event_received(self, entry: InFlightRequest) -> None:
        """Drops all commands of a request whose execution has continued, and so has read them."""
        entry.pending_commands.clear()
        entry.is_unconfirmed = False

    def link_lost(self) -> None:
        """Stores further commands until the next link is ready.

        The executor cannot have read the commands that did not leave this process as a whole.
        """
        self._monitor.link_lost()
        send_buffer, self._send_buffer = self._send_buffer, None
        if send_buffer is None:
            return
        for entry in self._event_loop.requests.in_flight.by_id.values():
            for command in entry.pending_commands:
                if command.end_position > send_buffer.offered_bytes:
                    command.polls_before = None

    def link_ready(self, send_buffer: SendBuffer) -> None:
        """Sends the stored commands over a new link, after the replay of the events.

        Commands that the executor may have read and must not read twice are dropped instead.
        """
        self._send_buffer = send_buffer
        self._has_held_commands = False
        entries = self._event_loop.requests.in_flight.by_id.values()
        pending = [entry for entry in entries if entry.pending_commands]
        unconfirmed = [entry for entry in pending if not self._resend(entry)]
        if pending:
            resent_count = len(pending) - len(unconfirmed)
            log.info(
                "event=commands_resent requests=%d unconfirmed=%d", resent_count, len(unconfirmed)
            )
        for entry in unconfirmed:
            self._event_loop.requests.execution_unconfirmed(entry)

    def _resend(self, entry: InFlightRequest) -> bool:
        """Sends the stored commands of a request; returns False if one had to be dropped."""
        commands = entry.pending_commands
        entry.pending_commands = [
            command
            for command in commands
            if not command.may_be_read or command.replacement is not None
        ]
        for command in entry.pending_commands:
            if command.may_be_read:
                entry.commands_resent = True
                command.data = command.replacement
                command.polls_before = None
            self._send(command)
        return len(entry.pending_commands) == len(commands)
