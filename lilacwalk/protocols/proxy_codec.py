"""Messages between proxies and this server: decoding of requests, encoding of responses.

On the wire, a message is a RESP array, and times are in milliseconds. In the decoded records, times
are in tenths of a millisecond.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lilacwalk.protocols.errors import FramingError, MalformedMessageError
from lilacwalk.protocols.lines import MAX_REPORTED_CHARACTERS
from lilacwalk.protocols.resp import encode_array
from lilacwalk.requests.records import IncomingRequest
from lilacwalk.settings import tenths_rounded_down, tenths_rounded_up

MIN_MEMORY_KB = 1e-6  # the protocol requires more than 0
MAX_MEMORY_KB = 2_000 - 1e-6  # the protocol requires less than 2,000
MAX_PRIORITY = math.nextafter(1.0, 0.0)  # the protocol requires less than 1
MAX_CLIENT = 2**53
MAX_ARRIVAL_MS = 1e14  # Unix time
MAX_DURATION_MS = 3_600_000.0  # an hour: longer than any client waits
MAX_TAG_DIGITS = 18
ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdef")
SUBMIT_PARTS = 4  # without the body, which is the optional fifth part

CLOSE_REQUEST = encode_array(b"0", b"closing")
"""Requests the proxy to close the connection."""


@dataclass(frozen=True, slots=True)
class Submit:
    """A request; the response carries the tag."""

    tag: int
    incoming: IncomingRequest


@dataclass(frozen=True, slots=True)
class Withdraw:
    """The client no longer waits for the response to the request with this tag."""

    tag: int


@dataclass(frozen=True, slots=True)
class Probe:
    """A health check; the response carries the tag."""

    tag: int


@dataclass(frozen=True, slots=True)
class Malformed:
    """A well-framed but invalid message; the response is `error` and carries the tag."""

    tag: int
    problem: str


ProxyMessage = Submit | Withdraw | Probe | Malformed


def decode_message(parts: list[memoryview | None], max_body_bytes: int) -> ProxyMessage:
    """Decodes the parts of one message; a part that was too long is None.

    Raises:
        FramingError: The message has no valid tag, so no error response can be sent.
    """
    tag_part = bytes(parts[1]) if len(parts) > 1 and parts[1] is not None else b""
    if not tag_part.isdigit() or len(tag_part) > MAX_TAG_DIGITS or int(tag_part) < 1:
        raise FramingError(
            expected=f"a positive tag of at most {MAX_TAG_DIGITS} digits",
            received=tag_part[: MAX_TAG_DIGITS + 1],
        )
    tag = int(tag_part)
    verb = bytes(parts[0]) if parts[0] is not None else b""
    match verb:
        case b"SUBMIT":
            try:
                return Submit(tag, decode_submit(parts, max_body_bytes))
            except MalformedMessageError as error:
                return Malformed(tag, str(error))
        case b"WITHDRAW":
            return Withdraw(tag)
        case b"PROBE":
            return Probe(tag)
        case _:
            return Malformed(
                tag,
                f"unknown verb {verb[:MAX_REPORTED_CHARACTERS]!r}, "
                "expected SUBMIT, WITHDRAW or PROBE",
            )


def decode_submit(parts: list[memoryview | None], max_body_bytes: int) -> IncomingRequest:
    """Decodes a SUBMIT message: verb, tag, request class, fields and, optionally, a body.

    Raises:
        MalformedMessageError: A part or a field is missing, too long or out of range.
    """
    if len(parts) not in (SUBMIT_PARTS, SUBMIT_PARTS + 1):
        raise MalformedMessageError(
            problem=f"SUBMIT has {len(parts)} parts, expected {SUBMIT_PARTS} or {SUBMIT_PARTS + 1}"
        )
    body = parts[4] if len(parts) > SUBMIT_PARTS else memoryview(b"")
    if parts[2] is None or parts[3] is None or body is None or len(body) > max_body_bytes:
        raise MalformedMessageError(
            problem=f"request class, fields or body too long (body limit: {max_body_bytes} bytes)"
        )
    fields = _decode_fields(parts[3])
    request_id = fields.get("i", "")
    if len(request_id) != ID_LENGTH or not HEX_DIGITS.issuperset(request_id):
        raise MalformedMessageError(field="i", problem="is not 16 lower-case hexadecimal digits")
    _decode_number(fields, "p", 0.0, MAX_PRIORITY, 0.0)  # validated, but not used
    return IncomingRequest(
        id=request_id,
        class_name=str(parts[2], "utf-8", "replace"),
        tenant_name=fields.get("t", ""),
        client=int(_decode_number(fields, "f", 0, MAX_CLIENT, 0)),
        arrived_at=tenths_rounded_up(_decode_number(fields, "s", 0, MAX_ARRIVAL_MS)),
        timeout=tenths_rounded_down(_decode_number(fields, "d", -MAX_DURATION_MS, MAX_DURATION_MS))
        if "d" in fields
        else None,
        work_hint=tenths_rounded_up(_decode_number(fields, "h", 0, MAX_DURATION_MS, 0.0)),
        memory_kb=_decode_number(fields, "m", MIN_MEMORY_KB, MAX_MEMORY_KB),
        is_retry=fields.get("r") in ("1", "true"),
        subject=fields.get("o", ""),
        idempotency_key=fields.get("k", ""),
        body=body,
    )


def _decode_fields(part: memoryview) -> dict[str, str]:
    fields: dict[str, str] = {}
    for field in str(part, "utf-8", "replace").split(","):
        name, _, value = field.partition("=")
        fields[name] = value
    return fields


def _decode_number(
    fields: dict[str, str],
    name: str,
    minimum: float,
    maximum: float,
    default: float | None = None,
) -> float:
    """Returns the value of a field; a field without a default is required."""
    text = fields.get(name)
    if text is None and default is not None:
        return default
    try:
        value = float(text)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        raise MalformedMessageError(
            field=name, problem=f"is missing or not a number, expected {minimum} to {maximum}"
        ) from None
    if not (math.isfinite(value) and minimum <= value <= maximum):
        raise MalformedMessageError(
            field=name, problem=f"is {value}, expected {minimum} to {maximum}"
        )
    return value


def encode_response(
    tag: int,
    word: bytes,
    load_report: str,
    body: bytes | memoryview = b"",
    retry_after: int = 0,
    do_not_retry_elsewhere: bool = False,
) -> bytes:
    """Encodes the response to the message with this tag.

    Args:
        tag: Tag of the message.
        word: Status of the message, as a word of the protocol.
        load_report: The field that `encode_load_report` returns.
        body: Body of the response.
        retry_after: In tenths of a millisecond, or 0 to send none.
        do_not_retry_elsewhere: Whether other servers would reject the request as well.
    """
    fields = [load_report] if load_report else []
    if retry_after > 0:
        fields.append(f"w={retry_after / 10:.1f}")
    if do_not_retry_elsewhere:
        fields.append("l=1")
    parts = [b"%d" % tag, word, ",".join(fields).encode()]
    return encode_array(*parts, body) if body else encode_array(*parts)


def encode_load_report(advertised_capacity: float | None) -> str:
    """Encodes the advertised capacity as a field of a response; empty if there is none."""
    return "" if advertised_capacity is None else f"v={advertised_capacity:.4f}"
