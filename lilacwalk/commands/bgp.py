"""`lilacwalk bgp`: queries the running BGP speaker and decodes captured messages."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, BinaryIO

import click

from lilacwalk.commands.options import (
    EXIT_UNUSABLE,
    exit_unusable,
    json_option,
    query_or_exit,
    running_file_option,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lilacwalk.bgp.messages import Open, Update

READ_CHUNK_BYTES = 65_536
SPEAKER_FIELDS = (
    "as",
    "router_id",
    "node",
    "level",
    "penalty",
    "suppressed",
    "free_in_s",
    "changes",
)
PEER_FIELDS = ("peer", "as", "state", "up_s", "hold_s", "ups", "downs", "updates", "faults")


@click.group()
def bgp() -> None:
    """Query the running BGP speaker, or decode captured messages."""


def query_bgp(operator_file: str, query_line: str) -> Any:
    """Returns the answer of the running speaker; without an answer, exits with code 2."""
    from lilacwalk.operator.errors import UnusableFileError
    from lilacwalk.operator.loader import load_operator_file

    try:
        config = load_operator_file(operator_file)
    except UnusableFileError as error:
        exit_unusable(error)
    if config is None or config.announce is None or config.announce.socket is None:
        exit_unusable(f"{operator_file}:1: file: expected an announce block with a socket")
    return query_or_exit(config.announce.socket, query_line)


def format_pairs(**pairs: object) -> str:
    """Returns the pairs as one line of NAME=VALUE."""
    return " ".join(f"{name}={value}" for name, value in pairs.items())


@bgp.command()
@running_file_option
@json_option
def show(operator_file: str, as_json: bool) -> None:
    """Show sessions, announced routes and why, numbers of received routes, and flap damping."""
    status = query_bgp(operator_file, "show")
    if as_json:
        print(json.dumps(status, indent=2))
        return
    print(format_pairs(**{name: status[name] for name in SPEAKER_FIELDS}))
    print(f"reason={status['reason']!r}")
    print("services=" + ",".join(status["services"]))
    for peer in status["peers"]:
        print_peer(peer)


def print_peer(peer: dict) -> None:
    """Prints the session with a peer and the routes announced to the peer."""
    received = " ".join(f"received_{name}={count}" for name, count in peer["received"].items())
    session = format_pairs(**{name: peer[name] for name in PEER_FIELDS})
    print(session, received, f"last_end={peer['last_end']!r}")
    for announced in peer["told"]:
        communities = ",".join(announced["communities"]) or "none"
        print(
            "  told",
            format_pairs(
                prefix=announced["prefix"],
                med=announced["med"],
                path=announced["path"],
                communities=communities,
            ),
        )


@bgp.command()
@running_file_option
@click.argument("peer")
def received(operator_file: str, peer: str) -> None:
    """List the routes received from PEER, and why a route is not used.

    PEER is the peer's address and port as in the file.
    """
    for received_route in query_bgp(operator_file, f"received {peer}"):
        key = "path" if received_route["used"] else "refused"
        print(
            format_pairs(prefix=received_route["prefix"], used=received_route["used"]),
            f"{key}={received_route[key]!r}",
        )


@bgp.command()
@running_file_option
@click.argument("prefix")
def route(operator_file: str, prefix: str) -> None:
    """Show for each peer the usable route with the longest match for PREFIX."""
    for usable_route in query_bgp(operator_file, f"route {prefix}"):
        print(format_pairs(**usable_route))


@bgp.command(
    help="Print captured messages, one per line, from a file or standard input. Exit code 2 if the "
    "input is not valid."
)
@click.argument("file", type=click.File("rb"), default="-")
@click.option(
    "--as2", is_flag=True, help="AS paths have two-octet AS numbers (a peer without RFC 6793)"
)
@click.option("--internal", is_flag=True, help="the peer has the same AS number as the speaker")
@click.option(
    "--hex", "as_hex", is_flag=True, help="input is hexadecimal digits, with or without spaces"
)
def decode(file: BinaryIO, as2: bool, internal: bool, as_hex: bool) -> None:
    """Prints captured messages; exits with code 2 if the input is not valid."""
    from lilacwalk.bgp import messages
    from lilacwalk.bgp.capabilities import NegotiatedCapabilities
    from lilacwalk.bgp.errors import BgpError
    from lilacwalk.bgp.prefixes import Afi

    stream = messages.Stream(messages.MAX_EXTENDED_SIZE)
    negotiated = NegotiatedCapabilities(families=(Afi.IPV4, Afi.IPV6), as4=not as2)
    failed = False
    try:
        while chunk := file.read(READ_CHUNK_BYTES):
            data = bytes.fromhex(chunk.decode("ascii", "strict")) if as_hex else chunk
            for kind, body in stream.feed(data):
                try:
                    print(format_message(messages.decode(kind, body, negotiated, internal)))
                except BgpError as error:
                    print(f"error {error}")
                    failed = True
    except BgpError as error:
        print(f"error {error}")
        failed = True
    except ValueError as error:
        exit_unusable(f"lilacwalk: cannot decode the input, expected hexadecimal digits: {error}")
    if stream.rest and not failed:
        print(f"error input ends with {len(stream.rest)} bytes of an unfinished message")
        failed = True
    sys.exit(EXIT_UNUSABLE if failed else 0)


def format_message(message: object) -> str:
    """Returns a decoded message as one line."""
    from lilacwalk.bgp.errors import reason
    from lilacwalk.bgp.messages import Keepalive, Notification, Open, Refresh

    match message:
        case Open():
            return format_open(message)
        case Notification():
            return format_pairs(
                message="notification",
                reason=reason(message.code, message.subcode),
                text=repr(message.text),
                data=message.data.hex() or "none",
            )
        case Keepalive():
            return "message=keepalive"
        case Refresh():
            return format_pairs(
                message="refresh", afi=message.afi, safi=message.safi, kind=message.kind
            )
        case _:
            return format_update(message)


def format_open(message: Open) -> str:
    """Returns an OPEN message and its capabilities as one line."""
    capabilities = message.capabilities
    return format_pairs(
        message="open",
        **{"as": message.asn},
        hold_s=message.hold,
        router_id=message.router_id,
        families=",".join(f"{afi}/{safi}" for afi, safi in capabilities.families) or "none",
        as4=capabilities.as4,
        refresh=capabilities.refresh,
        extended=capabilities.extended,
        role=capabilities.role,
        restart_s=capabilities.restart.time if capabilities.restart else None,
        unknown=",".join(str(code) for code, _ in capabilities.unknown) or "none",
    )


def format_update(message: Update) -> str:
    """Returns an UPDATE message and all its routes as one line."""
    from lilacwalk.bgp.prefixes import Afi

    if message.end_of_rib is not None:
        family = Afi(message.end_of_rib).name.lower()
        return format_pairs(message="update", end_of_rib=family)
    fields = [format_pairs(message="update")]
    if message.withdrawn:
        fields.append("withdrawn=" + ",".join(map(str, message.withdrawn)))
    fields += [format_announced(attributes, prefixes) for attributes, prefixes in message.reachable]
    fields += [
        f"fault={f'{fault.kind}: {fault.text}'!r} handled={fault.severity.name.lower()}"
        for fault in message.faults
    ]
    return " ".join(fields)


def format_announced(attributes: Any, prefixes: Iterable[object]) -> str:
    """Returns announced prefixes and their common path attributes as one line."""
    from lilacwalk.bgp.prefixes import address_text

    as_numbers = (str(number) for _, segment in attributes.as_path for number in segment)
    communities = (f"{value >> 16}:{value & 0xFFFF}" for value in attributes.communities)
    return format_pairs(
        announced=",".join(map(str, prefixes)),
        next_hop=address_text(attributes.next_hop),
        path=repr(" ".join(as_numbers)),
        origin=attributes.origin,
        med=attributes.med,
        local_pref=attributes.local_pref,
        communities=",".join(communities) or "none",
    )
