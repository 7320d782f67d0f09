"""The session with the executor: its connection (the link), its events and the commands to it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from lilacwalk.overload.events import ExecutionFinished, ExecutorLinkChanged
from lilacwalk.overload.model import Outcome
from lilacwalk.protocols.executor_client import ExecutorClient
from lilacwalk.protocols.executor_codec import (
    CallRequested,
    CommandRejected,
    ExecutionEnded,
    ExecutorBooted,
    ExecutorEvent,
    GaugesReported,
    encode_gauge_request,
)
from lilacwalk.protocols.send_buffer import SendBuffer
from lilacwalk.requests.records import FinalStatus
from lilacwalk.server.command_delivery import GAUGE_POLL_PREFIX, CommandDelivery

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop

log = logging.getLogger(__name__)

FENCE_PREFIX = "fence"  # the tag of a replay fence is this prefix and the number of the fence
DISPATCH_COMMAND = "SCHED"
CALL_END_COMMANDS = ("IODONE", "NOIO")


class Gauges(NamedTuple):
    """Load of the executor's cores, as last reported."""

    core_use: float  # fraction of the cores that is in use, from 0 to 1
    run_queue: float  # number of runnable requests, including running ones


class ExecutorSession:
    """Handles the events of the executor and the loss of the link to it.

    When a new link has been opened, the executor replays its events. It responds to commands in the
    order in which it reads them. A gauge request sent after the opening is therefore a fence: its
    response shows that all replayed events have been received, and commands may be sent again.

    Owns the send buffer of the current link, the fence and the gauges reported last. The commands
    belong to its `CommandDelivery`.
    """

    def __init__(self, event_loop: EventLoop, client: ExecutorClient) -> None:
        """Registers itself for the callbacks of `client`."""
        self._event_loop = event_loop
        self.commands = CommandDelivery(event_loop)
        self.send_buffer: SendBuffer | None = None  # None: no link
        # Until the first report, all cores count as in use.
        self.gauges = Gauges(1.0, float(event_loop.server.cores))
        self._fence_tag = ""  # empty: no fence is outstanding
        self._fence_count = 0
        client.on_connected = self._connected
        client.on_events = self._handle_events
        client.on_disconnected = self._disconnected

    @property
    def is_ready(self) -> bool:
        """Whether there is a link whose replay has been received."""
        return self.commands.is_ready

    # The link

    def _connected(self, send_buffer: SendBuffer, opening: bytes) -> None:
        self.send_buffer = send_buffer
        self.commands.link_lost()
        self._fence_tag = ""
        self._event_loop.send(send_buffer, opening)

    def _disconnected(self, send_buffer: SendBuffer) -> None:
        send_buffer.close()
        if self.send_buffer is not send_buffer:
            return
        event_loop = self._event_loop
        log.warning("event=executor_link_lost in_flight=%d", len(event_loop.requests.in_flight))
        self.send_buffer = None
        self.commands.link_lost()
        if event_loop.controller is not None:
            event_loop.controller_events.append(ExecutorLinkChanged(False))

    # Events

    def _handle_events(self, send_buffer: SendBuffer, events: list[ExecutorEvent]) -> None:
        for event in events:
            match event:
                case ExecutionEnded():
                    self._execution_ended(event)
                case CallRequested():
                    self._event_loop.dependency_calls.request(
                        event.request_id, event.event_number, event.body
                    )
                case _ if send_buffer is not self.send_buffer:
                    pass  # other events of a lost link are ignored
                case GaugesReported():
                    self._gauges_reported(event)
                case ExecutorBooted():
                    self._executor_booted(event)
                case CommandRejected():
                    self._command_rejected(event)

    def _executor_booted(self, event: ExecutorBooted) -> None:
        """Starts the controller if there is none, and sends the replay fence of the new link."""
        event_loop = self._event_loop
        if event_loop.controller is None:
            log.info("event=executor_up cold=%s age_ms=%d", event.is_cold, event.age // 10)
            event_loop.start_controller(is_cold=event.is_cold, executor_age=event.age)
        self._fence_count += 1
        self._fence_tag = f"{FENCE_PREFIX}{self._fence_count}"
        event_loop.send(self.send_buffer, encode_gauge_request(self._fence_tag))

    def _gauges_reported(self, event: GaugesReported) -> None:
        self.gauges = Gauges(
            core_use=event.values.get("core_use", 1.0),
            run_queue=event.values.get("on_cores", float(self._event_loop.server.cores)),
        )
        tag = event.tag
        if tag[0] == GAUGE_POLL_PREFIX and tag[1:].isdecimal():
            self.commands.poll_answered(int(tag[1:]))
        elif tag == self._fence_tag and not self.is_ready:
            self._replay_ended()

    def _replay_ended(self) -> None:
        """Marks the link as ready and resends the commands that have not been acknowledged."""
        self._fence_tag = ""
        self._event_loop.controller_events.append(ExecutorLinkChanged(True))
        self.commands.link_ready(self.send_buffer)

    def _execution_ended(self, event: ExecutionEnded) -> None:
        event_loop = self._event_loop
        requests = event_loop.requests
        entry = requests.in_flight.by_id.get(event.request_id)
        if entry is None:
            return
        event_loop.dependency_calls.abandon(entry)
        is_completed = event.outcome is Outcome.OK
        if is_completed:
            requests.respond(entry, FinalStatus.COMPLETED, event.result)
        else:
            requests.respond(entry, FinalStatus.FAILED)
        event_loop.controller_events.append(ExecutionFinished(entry.request, event.outcome))
        if event.outcome is Outcome.NOT_EXECUTED:
            requests.release_key(entry)
        caches_result = is_completed and entry.cache_key is not None
        requests.release_request(entry, bytes(event.result) if caches_result else None)

    def _command_rejected(self, event: CommandRejected) -> None:
        """Fails a request whose execution may hang because a command was rejected.

        After a rejected dispatch there is no execution, even if the dispatch was sent twice. If the
        end of a call was sent twice, the executor may reject the second one while the execution
        continues; the request then ends with its execution or at its deadline.
        """
        requests = self._event_loop.requests
        entry = requests.in_flight.by_id.get(event.request_id)
        if entry is None:
            return
        is_dispatch = event.command == DISPATCH_COMMAND
        if not is_dispatch:
            log.error("event=command_rejected command=%s id=%s", event.command, event.request_id)
        elif entry.connection is not None:
            entry.connection.frontend.reject_malformed(
                entry.connection, 0, "the executor rejected the dispatch of the request"
            )
        may_hang = event.command in CALL_END_COMMANDS and not entry.commands_resent
        if not is_dispatch and not may_hang:
            return
        requests.respond(entry, FinalStatus.FAILED)
        self._event_loop.controller_events.append(
            ExecutionFinished(entry.request, Outcome.NOT_EXECUTED)
        )
        if is_dispatch:
            requests.release_key(entry)
        requests.release_request(entry, None)
