"""What an operator may ask of the running speaker."""

from __future__ import annotations

from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.bgp.speaker_io import Speaker
from lilacwalk.bgp.speaker_state import SpeakerState
from lilacwalk.protocols.admin_socket import AdminSocket


def answer(line: str, speaking: SpeakerState) -> object:
    words = line.split()
    if words == ["show"]:
        return speaking.shown()
    if len(words) == 2 and words[0] == "received":
        named = [address for address, peer in speaking.peers.items() if peer.name == words[1]]
        return speaking.received(named[0]) if named else {"error": f"no peer {words[1]}"}
    if len(words) == 2 and words[0] == "route":
        try:
            return speaking.holding(Prefix.of(words[1]))
        except ValueError as error:
            return {"error": str(error)}
    return {"error": "ask: show, received PEER, route PREFIX"}


def create_admin_socket(speaker: Speaker, path: str) -> AdminSocket:
    """Raises OSError."""
    return AdminSocket(
        path, lambda line: speaker.query(lambda speaking: answer(line, speaking)), "bgp-answering"
    )
