"""Errors of the membership host."""

from __future__ import annotations

from lilacwalk.errors import LilacwalkError


class FleetError(LilacwalkError):
    """The `fleet` block cannot be used; the message says why."""


class MissingNameError(FleetError):
    """Neither the `fleet` block nor the program gives the member a name."""

    def __init__(self) -> None:
        """Formats the error message."""
        super().__init__("fleet: expected a name in this block")


class KeyFileError(FleetError):
    """The key file cannot be used."""

    def __init__(self, path: str, detail: str, line: int | None = None) -> None:
        """Stores path and line; `detail` ends the message: the fault, or the expected content."""
        place = path if line is None else f"{path}:{line}"
        super().__init__(f"key file {place}: {detail}")
        self.path = path
        self.line = line


class MachineTimeoutError(LilacwalkError, TimeoutError):
    """The state machine's thread did not answer in time."""

    def __init__(self, timeout: float) -> None:
        """Stores the timeout in seconds."""
        super().__init__(f"the membership thread did not answer within {timeout:g} s")
        self.timeout = timeout
