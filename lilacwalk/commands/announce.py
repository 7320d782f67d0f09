"""`lilacwalk announce`: runs a BGP speaker beside another program."""

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
    help="operator's file with an announce block",
)
@log_level_option
def announce(operator_file: str, log_level: str) -> None:
    """Announce services over BGP on behalf of another program.

    Node states are read from standard input, one per line: cold, warming, ready, sick,
    standing-still, leaving. At the end of input or on SIGTERM, all routes are withdrawn, every
    session is closed with a Cease notification (subcode 2), and the exit code is 0. SIGHUP reloads
    the file.
    """
    start_logging(getattr(logging, log_level.upper()))
    sys.exit(run_speaker(operator_file, require_block(operator_file, "announce")))


def run_speaker(operator_file: str, config: BgpConfig) -> int:
    """Runs a speaker until a stop is requested; returns the exit code.

    The end of the speaker's thread is noticed only at the next line or signal.
    """
    from lilacwalk.bgp.admin import create_admin_socket
    from lilacwalk.bgp.speaker_io import Speaker

    admin_socket = None
    try:
        speaker = Speaker(config, int.from_bytes(os.urandom(8), "big"))
        if config.socket is not None:
            admin_socket = create_admin_socket(speaker, config.socket)
    except OSError as error:
        print(
            f"lilacwalk: {operator_file}: cannot open the BGP listener or the admin socket of the "
            f"announce block: {error.strerror or error}",
            file=sys.stderr,
        )
        return EXIT_UNUSABLE
    state_input = NodeStateInput(stops_at_end_of_input=True)
    speaker.start()
    if admin_socket is not None:
        admin_socket.start()
    state_input.start()
    log.info("event=announcing_started peers=%d services=%d", len(config.peer), len(config.service))
    apply_states(state_input, speaker, operator_file)
    speaker.end()
    if admin_socket is not None:
        admin_socket.close()
    return 1 if speaker.failed else 0


def apply_states(state_input: NodeStateInput, speaker: Speaker, operator_file: str) -> None:
    """Passes node states to the speaker until a stop is requested.

    Also returns at the next line or signal after the end of the speaker's thread.
    """
    from lilacwalk.bgp.announcement_policy import NodeStatus

    statuses_by_name = {
        status.value: status for status in NodeStatus if status is not NodeStatus.GONE
    }
    while (entry := state_input.next()) is not Control.STOP and not speaker.ended.is_set():
        if entry is Control.RELOAD:
            reload_speaker(speaker, operator_file)
        elif entry not in statuses_by_name:
            state_input.report_unknown(entry, statuses_by_name)
        elif statuses_by_name[entry] is NodeStatus.LEAVING:
            speaker.leave(None)
        else:
            speaker.set_node_status(statuses_by_name[entry])


def reload_speaker(speaker: Speaker, operator_file: str) -> None:
    """Reloads the operator's file; if it is invalid, the speaker keeps its configuration."""
    from lilacwalk.operator.errors import UnusableFileError

    try:
        speaker.reload(load_with_block(operator_file, "announce").announce)
    except UnusableFileError as error:
        log.warning({"event": "reload_failed", "detail": str(error)})
