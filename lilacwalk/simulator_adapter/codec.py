"""Converts lines of the simulator's protocol to and from records."""

from __future__ import annotations

from collections.abc import Mapping

from lilacwalk import settings
from lilacwalk.errors import LilacwalkError
from lilacwalk.overload.model import Outcome, Request, ServerSettings
from lilacwalk.settings import (
    TENTHS_PER_MILLISECOND,
    read_choice,
    read_integer,
    read_number,
    tenths_rounded_down,
    tenths_rounded_up,
)

OUTCOMES = {
    "100": Outcome.OK,
    "301": Outcome.ERROR,
    "302": Outcome.REJECTED,
    "303": Outcome.TIMED_OUT,
    "304": Outcome.UNREACHABLE,
    "305": Outcome.CONNECTION_LOST,
    "306": Outcome.CANCELLED,
    "307": Outcome.NOT_EXECUTED,
}


class WireError(LilacwalkError):
    """A line does not follow the protocol.

    Attributes:
        problem: Why the line is invalid.
        line: The number of the line, or None if it is not known yet.
    """

    def __init__(self, *, problem: str, line: int | None = None) -> None:
        """Formats the error message from the problem and, if known, the number of the line."""
        super().__init__(problem if line is None else f"line {line}: {problem}")
        self.problem = problem
        self.line = line


def parse_fields(parts: list[str]) -> dict[str, str]:
    """Parses `name=value` words.

    Raises:
        WireError: A word is not of this form.
    """
    fields = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator or not name:
            raise WireError(problem=f"expected name=value, got '{part}'")
        fields[name] = value
    return fields


def read_flag(fields: Mapping[str, str], name: str) -> bool:
    """Returns whether a flag is set; a missing flag is not set."""
    return fields.get(name, "0") in ("1", "true")


def nest_fields(fields: Mapping[str, str]) -> dict:
    """Converts fields whose names are dotted paths to nested data.

    A path `a.x` becomes the element `x` of a dict `a`. If a top-level dict has an element `count`,
    it becomes a list of that length with the elements `0`, `1` and so on. A value with commas also
    becomes a list.

    Raises:
        WireError: A path such as `a.x` is given although `a` has a plain value.
        SettingsError: A count is not a number.
    """
    nested: dict = {}
    for path, value in fields.items():
        *parents, last = path.split(".")
        section = nested
        for name in parents:
            section = section.setdefault(name, {})
            if not isinstance(section, dict):
                raise WireError(problem=f"{path}: expected fields in {name}, got {section}")
        section[last] = value.split(",") if "," in value else value
    for name, section in nested.items():
        if isinstance(section, dict) and "count" in section:
            count = read_integer(section, "count")
            nested[name] = [section.get(str(index), {}) for index in range(count)]
    return nested


def decode_server_settings(fields: Mapping[str, str]) -> ServerSettings:
    """Decodes the fields of a `start` message.

    Raises:
        WireError: A path is given although its parent has a plain value.
        SettingsError: A setting is missing or invalid.
    """
    seed = read_integer(fields, "nonce64", 0)
    return settings.decode_server_settings(nest_fields(fields), seed)


def decode_request(
    fields: Mapping[str, str],
    server: ServerSettings,
    time_ms: float,
    duplicate_of: Request | None,
) -> Request:
    """Decodes the fields of an `incoming` message; the request is read at `time_ms`.

    Raises:
        SettingsError: A field is missing or invalid.
    """
    classes_by_name = {each.name: each for each in server.request_classes}
    request_class = read_choice(fields, "class", classes_by_name)
    tenant_name = fields.get("owner", "0")
    tenant = next((each for each in server.tenants if each.name == tenant_name), None)
    arrived_ms = time_ms - read_number(fields, "backlog_time_ms", 0.0)
    read_at = tenths_rounded_up(time_ms)
    ttl_ms = read_number(fields, "ttl_ms", 0.0)
    if ttl_ms > 0:
        deadline = tenths_rounded_down(time_ms + ttl_ms)
    else:
        deadline = max(tenths_rounded_down(arrived_ms) + request_class.timeout, read_at)
    return Request(
        request_class=request_class,
        arrived_at=tenths_rounded_up(arrived_ms),
        read_at=read_at,
        deadline=deadline,
        memory_kb=read_number(fields, "footprint", 0.0),
        tenant=tenant,
        work_hint=tenths_rounded_up(read_number(fields, "hint_ms", 0.0)),
        is_retry=read_flag(fields, "retry"),
        client=read_integer(fields, "neighbour", 0),
        duplicate_of=duplicate_of,
    )


def decode_outcome(fields: Mapping[str, str]) -> Outcome:
    """Decodes the outcome of an execution or of a dependency call.

    Raises:
        SettingsError: The outcome is missing or unknown.
    """
    return read_choice(fields, "disposition", OUTCOMES)


def parse_gauges(text: str) -> dict[str, float]:
    """Parses `name:value` pairs that are joined by commas.

    Raises:
        WireError: A pair is not of this form.
        SettingsError: A value is not a finite number.
    """
    gauges = {}
    for part in text.split(",") if text else []:
        name, separator, value = part.partition(":")
        if not separator:
            raise WireError(problem=f"expected a gauge as name:value, got '{part}'")
        gauges[name] = read_number({name: value}, name)
    return gauges


def format_ms(time: int) -> str:
    """Formats a time in tenths of a millisecond as milliseconds with one decimal."""
    return f"{time / TENTHS_PER_MILLISECOND:.1f}"
