"""Queries that an operator can send to the running speaker over its admin socket."""

from __future__ import annotations

from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.bgp.speaker_io import Speaker
from lilacwalk.bgp.speaker_state import SpeakerState
from lilacwalk.protocols.admin_socket import AdminSocket


def answer_query(line: str, state: SpeakerState) -> object:
    """Returns the answer to one query line, to be sent as JSON.

    The answer to an invalid query is a dict with the key `error`.
    """
    words = line.split()
    if words == ["show"]:
        return state.status()
    if len(words) == 2 and words[0] == "received":
        addresses = [address for address, peer in state.peers.items() if peer.name == words[1]]
        return (
            state.received_routes(addresses[0])
            if addresses
            else {"error": f"no peer named {words[1]}"}
        )
    if len(words) == 2 and words[0] == "route":
        try:
            return state.usable_routes(Prefix.of(words[1]))
        except ValueError as error:
            return {"error": str(error)}
    return {"error": f"ask: show, received PEER or route PREFIX; got {line!r}"}


def create_admin_socket(speaker: Speaker, path: str) -> AdminSocket:
    """Opens the admin socket at `path`.

    Raises:
        OSError: The socket cannot be opened.
    """
    return AdminSocket(
        path, lambda line: speaker.query(lambda state: answer_query(line, state)), "bgp-answering"
    )
