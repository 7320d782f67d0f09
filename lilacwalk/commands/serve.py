"""`lilacwalk serve` runs an app server; `lilacwalk check` validates its files."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import click

from lilacwalk.commands.options import log_level_option, operator_file_option, settings_option
from lilacwalk.log import start_logging
from lilacwalk.server import startup
from lilacwalk.server.process_config import OperatorFileError

if TYPE_CHECKING:
    from lilacwalk.server.operator_config import OperatorConfig, OperatorConfigReader


@click.command()
@settings_option
@operator_file_option
@log_level_option
def serve(settings_file: str | None, operator_file: str | None, log_level: str) -> None:
    """Run an app server until SIGTERM; SIGHUP reloads both files."""
    if settings_file is None:
        message = "no configuration: expected --config or the environment variable ROUTER_CONFIG"
        raise click.UsageError(message)
    start_logging(getattr(logging, log_level.upper()))
    sys.exit(startup.serve(settings_file, operator_config_reader(operator_file)))


@click.command(
    help="Validate the configuration, the operator's file or both, as `serve` would, and print the "
    "settings in them."
)
@settings_option
@operator_file_option
def check(settings_file: str | None, operator_file: str | None) -> None:
    """Validates the given files and prints the settings in them."""
    if settings_file is None and operator_file is None:
        message = (
            "no file to check: expected --config, --file or the environment variable ROUTER_CONFIG"
        )
        raise click.UsageError(message)
    exit_code = 0
    if operator_file is not None:
        from lilacwalk.operator.check import check_operator_file

        exit_code = check_operator_file(operator_file)
    if settings_file is not None:
        exit_code = startup.check(settings_file) or exit_code
    sys.exit(exit_code)


def operator_config_reader(path: str | None) -> OperatorConfigReader | None:
    """Returns the function that reads the operator's file at start and at each SIGHUP.

    Returns None if no file is given.
    """
    if path is None:
        return None
    from lilacwalk.operator.errors import UnusableFileError
    from lilacwalk.operator.loader import load_operator_file

    def read() -> OperatorConfig | None:
        try:
            return load_operator_file(path)
        except UnusableFileError as error:
            raise OperatorFileError(str(error)) from error

    return read
