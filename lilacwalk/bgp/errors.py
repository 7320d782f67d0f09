"""Error codes and subcodes of NOTIFICATION messages (RFC 4271 section 6; RFC 4486, 5492, 7313,
8538, 9234).
"""

from __future__ import annotations

from enum import IntEnum


class Code(IntEnum):
    """Error codes."""

    HEADER = 1
    OPEN = 2
    UPDATE = 3
    HOLD_TIMER = 4
    STATE_MACHINE = 5
    CEASE = 6
    ROUTE_REFRESH = 7  # RFC 7313 section 5
    SEND_HOLD_TIMER = 8  # RFC 9687 section 3


class Header(IntEnum):
    """Subcodes of Message Header Error."""

    NOT_SYNCHRONIZED = 1
    BAD_LENGTH = 2
    BAD_TYPE = 3


class OpenFault(IntEnum):
    """Subcodes of OPEN Message Error."""

    VERSION = 1
    PEER_AS = 2
    ROUTER_ID = 3
    OPTIONAL_PARAMETER = 4
    HOLD_TIME = 6
    CAPABILITY = 7  # RFC 5492 section 5
    ROLE_MISMATCH = 11  # RFC 9234 section 4.2


class UpdateFault(IntEnum):
    """Subcodes of UPDATE Message Error."""

    ATTRIBUTE_LIST = 1
    UNKNOWN_WELL_KNOWN = 2
    MISSING_WELL_KNOWN = 3
    FLAGS = 4
    LENGTH = 5
    ORIGIN = 6
    NEXT_HOP = 8
    OPTIONAL = 9
    NETWORK = 10
    AS_PATH = 11


class Cease(IntEnum):
    """Subcodes of Cease (RFC 4486 section 3; hard reset: RFC 8538 section 3)."""

    MAX_PREFIXES = 1
    SHUTDOWN = 2
    DECONFIGURED = 3
    RESET = 4
    REJECTED = 5
    OTHER_CHANGE = 6
    COLLISION = 7
    OUT_OF_RESOURCES = 8
    HARD_RESET = 9


SUBCODES: dict[int, type[IntEnum]] = {
    Code.HEADER: Header,
    Code.OPEN: OpenFault,
    Code.UPDATE: UpdateFault,
    Code.CEASE: Cease,
}
# Subcodes of Finite State Machine Error, by the state in which an unexpected message was received
# (RFC 6608 section 3).
UNEXPECTED_IN = {"OPEN_SENT": 1, "OPEN_CONFIRM": 2, "ESTABLISHED": 3}


class BgpError(Exception):
    """An error that ends the session; the peer receives a NOTIFICATION with this code, subcode and
    data. `text` is for logs and status reports, and is not sent.
    """

    def __init__(self, code: int, subcode: int = 0, data: bytes = b"", text: str = "") -> None:
        super().__init__(f"{reason(code, subcode)}: {text}" if text else reason(code, subcode))
        self.code, self.subcode, self.data, self.text = code, subcode, data, text


def reason(code: int, subcode: int) -> str:
    """Returns the names of a code and a subcode as `code/subcode`.

    An unknown code is written as `code_` and its number, followed by the number of the subcode. An
    unknown subcode of a known code is written as its number, or left out with the slash if it is 0.
    """
    try:
        name = Code(code).name.lower()
    except ValueError:
        return f"code_{code}/{subcode}"
    try:
        return f"{name}/{SUBCODES[code](subcode).name.lower()}"
    except (KeyError, ValueError):
        return f"{name}/{subcode}" if subcode else name
