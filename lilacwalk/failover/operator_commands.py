"""Operator commands for sites, gossiped to all members with the member metadata.

The newest command for a site applies until it expires. It applies whichever member gossips it, and
thus stays valid if the member that accepted it from the operator stops.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

VERBS = ("hold", "drain", "release")
MAX_COMMANDS = 4  # commands in one member's metadata, which also holds a plan fingerprint
MAX_DURATION_SECONDS = 24 * 3600  # longer holds or drains belong in the operator's file


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """One command for a site. Times are in milliseconds since the Unix epoch."""

    verb: str
    site: str
    issued_at: int
    expires_at: int

    def __str__(self) -> str:
        """Returns the metadata entry that is gossiped."""
        return f"{self.verb} {self.site} {self.issued_at} {self.expires_at}"


def read_command(entry: str) -> OperatorCommand | None:
    """Parses a metadata entry; returns None if it is not a valid command."""
    words = entry.split(" ")
    if len(words) != 4 or words[0] not in VERBS:
        return None
    verb, site, issued_text, expires_text = words
    if not (issued_text.isdecimal() and expires_text.isdecimal()):
        return None
    issued_at = int(issued_text)
    expires_at = int(expires_text)
    if not issued_at <= expires_at <= issued_at + MAX_DURATION_SECONDS * 1000:
        return None
    return OperatorCommand(verb, site, issued_at, expires_at)


def newest_commands(gossiped: Iterable[tuple[str, ...]], now: int) -> dict[str, OperatorCommand]:
    """Returns the newest command for each site, unless it has expired.

    `gossiped` holds the metadata entries of each member. If two commands were issued in the same
    millisecond, all members choose the one whose entry sorts last. `now` is in milliseconds since
    the Unix epoch.
    """
    newest: dict[str, OperatorCommand] = {}
    for entries in gossiped:
        for entry in entries:
            command = read_command(entry)
            if command is None:
                continue
            newest_so_far = newest.get(command.site)
            if newest_so_far is None or _order(command) > _order(newest_so_far):
                newest[command.site] = command
    return {site: command for site, command in newest.items() if command.expires_at > now}


def put_command(entries: tuple[str, ...], command: OperatorCommand, now: int) -> tuple[str, ...]:
    """Returns a member's metadata entries with a command added.

    The command replaces an earlier one for the same site. Expired commands and entries that are not
    commands are removed, and so are the first commands if there are more than `MAX_COMMANDS`. `now`
    is in milliseconds since the Unix epoch.
    """
    others = []
    for entry in entries:
        other = read_command(entry)
        if other is not None and other.site != command.site and other.expires_at > now:
            others.append(other)
    latest = others[-(MAX_COMMANDS - 1) :]
    return tuple(str(each) for each in [*latest, command])


def _order(command: OperatorCommand) -> tuple[int, str]:
    return command.issued_at, str(command)
