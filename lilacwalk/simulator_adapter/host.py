"""Runs one controller for each simulated server and passes messages to them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lilacwalk.overload.events import (
    CallFinished,
    CallRequested,
    ClientGone,
    DrainStarted,
    Event,
    ExecutionFinished,
    RequestReceived,
    ServerStarted,
    TimerExpired,
)
from lilacwalk.settings import SettingsError, read_number, tenths_rounded_down, tenths_rounded_up
from lilacwalk.simulator_adapter import codec
from lilacwalk.simulator_adapter.codec import WireError
from lilacwalk.simulator_adapter.instance import ServerInstance

START = "start"
HALT = "halt"
EVENTS = frozenset(
    {
        "incoming",
        "tick_due",
        "at_call",
        "timed_out_client",
        "work_done",
        "call_result",
        "terminate_soon",
    }
)


@dataclass(frozen=True, slots=True)
class NumberedLine:
    """A line of the input, with its number from 1 on."""

    number: int
    text: str


class SimulatorHost:
    """Owns the server instances, by their names in the simulator."""

    def __init__(self) -> None:
        """Creates a host without instances."""
        self._instances: dict[str, ServerInstance] = {}

    def process_batch(self, time_ms: float, lines: Sequence[NumberedLine]) -> list[str]:
        """Processes all messages of one simulated time, and returns the lines of the reply.

        If a controller fails, the reply ends with a `die` line, and the events of the
        servers that follow in the batch are not processed.

        Raises:
            WireError: A line does not follow the protocol.
        """
        now = tenths_rounded_up(time_ms)
        batches: dict[str, list[Event]] = {}
        for line in lines:
            try:
                self._decode(line.text, time_ms, batches)
            except (WireError, SettingsError) as error:
                raise WireError(problem=str(error), line=line.number) from error
        reply: list[str] = []
        for name, events in batches.items():
            try:
                self._instances[name].process_batch(now, events, reply)
            except Exception as error:  # noqa: BLE001 - the protocol reports any failure by `die`
                text = " ".join(str(error).split())
                reply.append(f"die who={name} message={type(error).__name__}: {text}")
                return reply
        return reply

    def _decode(self, line: str, time_ms: float, batches: dict[str, list[Event]]) -> None:
        """Decodes a line and adds its event to the batch of the server that the line names.

        A `start` or `halt` line creates or removes the server.
        """
        message, *parts = line.split(" ")
        if message not in (START, HALT) and message not in EVENTS:
            raise WireError(problem=f"unknown message '{message}'")
        fields = codec.parse_fields(parts)
        name = fields.get("who")
        if name is None:
            raise WireError(problem="field 'who' is missing")
        if message == START:
            server = codec.decode_server_settings(fields)
            self._instances[name] = ServerInstance(name, server, tenths_rounded_up(time_ms))
            batches[name] = [ServerStarted()]
        elif message == HALT:
            self._instances.pop(name, None)
            batches.pop(name, None)
        else:
            instance = self._instances.get(name)
            if instance is None:
                raise WireError(problem=f"server '{name}' is not running, expected '{START}' first")
            event = _decode_event(message, instance, fields, time_ms)
            batch = batches.setdefault(name, [])
            if event is not None:
                batch.append(event)


def _decode_event(
    message: str, instance: ServerInstance, fields: Mapping[str, str], time_ms: float
) -> Event | None:
    """Returns the event of a message; None if the message refers to an unknown request.

    A request is unknown if it was never received, or was removed after it finished.
    """
    match message:
        case "incoming":
            return _decode_incoming(instance, fields, time_ms)
        case "tick_due":
            gauges = codec.parse_gauges(fields.get("health_info", ""))
            all_cores = float(instance.server.cores)
            return TimerExpired(gauges.get("core_use", 1.0), gauges.get("on_cores", all_cores))
        case "terminate_soon":
            return DrainStarted(tenths_rounded_down(time_ms + read_number(fields, "ttl_ms")))
        case _:
            return _decode_request_event(message, instance, fields)


def _decode_incoming(
    instance: ServerInstance, fields: Mapping[str, str], time_ms: float
) -> RequestReceived:
    if "rid" not in fields:
        raise WireError(problem="field 'rid' is missing")
    original = instance.find_original(fields, tenths_rounded_up(time_ms))
    request = codec.decode_request(fields, instance.server, time_ms, original)
    instance.add_request(fields, request)
    return RequestReceived(request)


def _decode_request_event(
    message: str, instance: ServerInstance, fields: Mapping[str, str]
) -> Event | None:
    request = instance.find_request(fields)
    event: Event | None = None
    match message:
        case "at_call":
            event = CallRequested(request) if request else None
        case "timed_out_client":
            event = ClientGone(request) if request else None
        case "work_done":
            outcome = codec.decode_outcome(fields)
            event = ExecutionFinished(request, outcome) if request else None
        case "call_result":
            outcome = codec.decode_outcome(fields)
            elapsed = tenths_rounded_up(read_number(fields, "lag_ms", 0.0))
            event = CallFinished(request, outcome, elapsed) if request else None
    return event
