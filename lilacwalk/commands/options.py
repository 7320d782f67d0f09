"""Options that several commands share, and functions that load the operator's file for commands."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, NoReturn

import click

if TYPE_CHECKING:
    from lilacwalk.operator.schema import OperatorConfig

EXIT_UNUSABLE = 2  # the command line or a file is invalid, or an address cannot be used
EXIT_EXPECTATION_FAILED = 3  # an expectation of a scenario or an experiment is not met

operator_file_option = click.option(
    "--file",
    "operator_file",
    metavar="FILE",
    type=click.Path(dir_okay=False),
    help="operator's file (example: deploy/lilacwalk.conf)",
)
settings_option = click.option(
    "--config",
    "settings_file",
    metavar="FILE",
    envvar="ROUTER_CONFIG",
    type=click.Path(dir_okay=False),
    help="process configuration as JSON (default: the file named by ROUTER_CONFIG)",
)
log_level_option = click.option(
    "--log-level",
    default="info",
    show_default=True,
    type=click.Choice(["debug", "info", "warning", "error"]),
    help="lowest level of the log lines that are written",
)
running_file_option = click.option(
    "--file",
    "operator_file",
    metavar="FILE",
    required=True,
    type=click.Path(dir_okay=False),
    help="operator's file; for a query, the file of the running program",
)
json_option = click.option("--json", "as_json", is_flag=True, help="print the whole result as JSON")


def exit_unusable(message: object) -> NoReturn:
    """Prints a message to standard error and exits with code 2."""
    print(message, file=sys.stderr)
    sys.exit(EXIT_UNUSABLE)


def load_with_block(operator_file: str, block_name: str) -> OperatorConfig:
    """Loads an operator's file that must contain a block.

    Raises:
        UnusableFileError: the file is invalid or cannot be read, or the block is missing.
    """
    from lilacwalk.operator.errors import UnusableFileError
    from lilacwalk.operator.loader import load_operator_file
    from lilacwalk.operator.syntax import Problem

    config = load_operator_file(operator_file)
    if config is None or getattr(config, block_name) is None:
        article = "an" if block_name[0] in "aeiou" else "a"
        problem = Problem(1, "file", f"{article} {block_name} block")
        raise UnusableFileError.from_problems(operator_file, [problem])
    return config


def require_config(operator_file: str, block_name: str) -> OperatorConfig:
    """Loads an operator's file that must contain a block; on an error, exits with code 2."""
    from lilacwalk.operator.errors import UnusableFileError

    try:
        return load_with_block(operator_file, block_name)
    except UnusableFileError as error:
        exit_unusable(error)


def require_block(operator_file: str, block_name: str, *, needs_socket: bool = False) -> Any:
    """Returns one block of an operator's file; if it is missing, exits with code 2.

    Args:
        operator_file: the file's path.
        block_name: the keyword of the block.
        needs_socket: whether the block must also set the path of an admin socket.
    """
    block = getattr(require_config(operator_file, block_name), block_name)
    if needs_socket and block.socket is None:
        exit_unusable(f"{operator_file}:1: {block_name}: expected a socket in this block")
    return block


def query_or_exit(socket_path: str, query_line: str) -> Any:
    """Returns the answer of a program's admin socket; without an answer, exits with code 2."""
    from lilacwalk.protocols.admin_socket import query

    try:
        answer = query(socket_path, query_line)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or error
        exit_unusable(f"lilacwalk: no answer from the admin socket {socket_path}: {reason}")
    if isinstance(answer, dict) and "error" in answer:
        exit_unusable(f"lilacwalk: {answer['error']}")
    return answer
