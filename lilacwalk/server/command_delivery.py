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

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop

log = logging.getLogger(__name__)

GAUGE_POLL_PREFIX = "g"  # the tag of a gauge poll is this prefix and the number of the poll


class CommandDelivery:
    """Sends commands to the executor, and stores those that it is not known to have read.

    The executor responds to commands in the order in which it reads them, so the response to a
    numbered gauge poll acknowledges all commands that were sent before the poll.

    If the link is lost before that, the executor may or may not have read a command. The command is
    then sent again over the next link only if reading it twice does no harm. Otherwise nothing is
    sent, and the request is unconfirmed: its execution either exists and reports its end, or the
    request is failed at its deadline.

    Owns the send buffer of the ready link and the number of gauge polls. The commands of a request
    are stored in its `InFlightRequest`.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        """Creates a delivery without a link."""
        self._event_loop = event_loop
        self._send_buffer: SendBuffer | None = None  # None: no link is ready
        self.gauge_polls = 0  # number of gauge polls sent over all links

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
        is_repeatable = entry.request.request_class.effect is Effect.IDEMPOTENT
        data = encode_dispatch(entry.id, entry.class_name, entry.body)
        self._add(entry, data, is_repeatable=is_repeatable)

    def cancel(self, entry: InFlightRequest) -> None:
        """Has the executor interrupt the execution of a request."""
        self._add(entry, encode_cancel(entry.id), is_repeatable=True)

    def send_call_result(self, entry: InFlightRequest, body: bytes) -> None:
        """Sends the result of the dependency call that the execution waits for."""
        self._add(entry, encode_call_result(entry.id, body), is_repeatable=True)

    def skip_call(self, entry: InFlightRequest) -> None:
        """Has the execution continue without the call that it requested last."""
        data = encode_skip_call(entry.id, entry.call_event_number)
        self._add(entry, data, is_repeatable=True)

    def request_gauges(self) -> None:
        """Sends a gauge poll; the response also acknowledges all commands sent earlier.

        Has no effect while no link is ready.
        """
        if self._send_buffer is not None:
            self.gauge_polls += 1
            tag = f"{GAUGE_POLL_PREFIX}{self.gauge_polls}"
            self._event_loop.send(self._send_buffer, encode_gauge_request(tag))

    def _add(self, entry: InFlightRequest, data: bytes, *, is_repeatable: bool) -> None:
        command = PendingCommand(data, is_repeatable)
        entry.pending_commands.append(command)
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
        """Drops the commands that were sent before a gauge poll, as the executor has read them."""
        for entry in self._event_loop.requests.in_flight.by_id.values():
            if entry.pending_commands:
                entry.pending_commands = [
                    command
                    for command in entry.pending_commands
                    if command.polls_before is None or command.polls_before >= poll
                ]

    def event_received(self, entry: InFlightRequest) -> None:
        """Drops all commands of a request whose execution has continued, and so has read them."""
        entry.pending_commands.clear()
        entry.is_unconfirmed = False

    def link_lost(self) -> None:
        """Stores further commands until the next link is ready.

        The executor cannot have read the commands that did not leave this process as a whole.
        """
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
            command for command in commands if command.is_repeatable or not command.may_be_read
        ]
        for command in entry.pending_commands:
            entry.commands_resent = entry.commands_resent or command.may_be_read
            command.polls_before = None
            self._send(command)
        return len(entry.pending_commands) == len(commands)
