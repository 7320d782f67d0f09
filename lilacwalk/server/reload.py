"""Reloads the configuration on SIGHUP, without interrupting requests and executions."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from lilacwalk.server.operator_config import OperatorConfigReader
from lilacwalk.server.process_config import (
    ConfigurationError,
    decode_addresses,
    read_configuration,
)

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop

log = logging.getLogger(__name__)


def reload_configuration(
    event_loop: EventLoop, path: str, read_operator_config: OperatorConfigReader | None = None
) -> None:
    """Applies the operator's file and the addresses of the executor, dependency and registry.

    Other changes to the process configuration take effect at the next start. If the process
    configuration or the operator's file is invalid, the error is logged and no address changes. If
    a block of a valid operator's file cannot be used, the blocks before it have been applied.

    Args:
        event_loop: The event loop, in whose thread this function is called.
        path: The path of the process configuration.
        read_operator_config: Reads the operator's file; None if there is none.
    """
    try:
        new_addresses = decode_addresses(read_configuration(path))
        if read_operator_config is not None:
            event_loop.subsystems.apply(read_operator_config())
    except ConfigurationError as error:
        log.warning("event=reload_failed detail=%r", str(error))
        return
    moved = []
    for name, client in (
        ("kernel", event_loop.executor_client),
        ("index", event_loop.dependency_calls.client),
        ("directory", event_loop.registry),
    ):
        if new_addresses.get(name) != client.address:
            client.set_address(new_addresses.get(name))
            moved.append(name)
    log.info("event=reloaded moved=%s", ",".join(moved) or "none")
    # A registry at a new address lists this server only after it has received a report.
    event_loop.decision_applier.next_report_at = event_loop.now
