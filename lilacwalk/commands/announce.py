"""`lilacwalk announce`: the BGP speaker beside any other program."""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING

import click

from lilacwalk.commands.node_states import Control, NodeStateInput
from lilacwalk.commands.options import (
    EXIT_UNUSABLE,
    load_with_block,
    log_level_option,
    require_block,
)
from lilacwalk.log import start_logging

if TYPE_CHECKING:
    from lilacwalk.bgp.config import BgpConfig
    from lilacwalk.bgp.speaker_io import Speaker

log = logging.getLogger(__name__)


@click.command()
@click.option(
    "--file",
    "operator_file",
    metavar="FILE",
    required=True,
    type=click.Path(dir_okay=False),
    help="the operator's own file, with an announce block",
)
@log_level_option
def announce(operator_file: str, log_level: str) -> None:
    """Announce services over BGP for another program.

    Node states come as lines on standard input: cold, warming, ready, sick, standing-still,
    leaving. End of input or SIGTERM withdraws all, ends every session (cease/2) and exits with 0;
    SIGHUP reads the file again.
    """
    start_logging(getattr(logging, log_level.upper()))
    sys.exit(run_speaker(operator_file, require_block(operator_file, "announce")))


def run_speaker(operator_file: str, config: BgpConfig) -> int:
    """Runs a speaker until it is asked to stop or ends by itself; returns the exit code."""
    from lilacwalk.bgp.admin import create_admin_socket as answering_at
    from lilacwalk.bgp.speaker_io import Speaker

    admin_socket = None
    try:
        speaker = Speaker(config, int.from_bytes(os.urandom(8), "big"))
        if config.socket is not None:
            admin_socket = answering_at(speaker, config.socket)
    except OSError as error:
        print(f"lilacwalk: cannot listen: {error.strerror or error}", file=sys.stderr)
        return EXIT_UNUSABLE
    states = NodeStateInput(stops_at_end_of_input=True)
    speaker.start()
    if admin_socket is not None:
        admin_socket.start()
    states.start()
    log.info("event=announcing_started peers=%d services=%d", len(config.peer), len(config.service))
    apply_states(states, speaker, operator_file)
    speaker.end()
    if admin_socket is not None:
        admin_socket.close()
    return 1 if speaker.failed else 0


def apply_states(states: NodeStateInput, speaker: Speaker, operator_file: str) -> None:
    """Hands node states to the speaker until a stop is asked for or the speaker has ended."""
    from lilacwalk.bgp.announcement_policy import NodeStatus

    nodes_by_word = {node.value: node for node in NodeStatus if node is not NodeStatus.GONE}
    while (word := states.next()) is not Control.STOP and not speaker.ended.is_set():
        if word is Control.RELOAD:
            reload_speaker(speaker, operator_file)
        elif word not in nodes_by_word:
            states.report_unknown(word, nodes_by_word)
        elif nodes_by_word[word] is NodeStatus.LEAVING:
            speaker.leave(None)
        else:
            speaker.set_node_status(nodes_by_word[word])


def reload_speaker(speaker: Speaker, operator_file: str) -> None:
    """Reads the file again; a file that cannot be used changes nothing."""
    from lilacwalk.operator.errors import UnusableFileError

    try:
        speaker.reload(load_with_block(operator_file, "announce").announce)
    except UnusableFileError as error:
        log.warning({"event": "reload_failed", "detail": str(error)})
