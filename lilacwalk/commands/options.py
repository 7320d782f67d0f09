"""Options that several commands share."""

from __future__ import annotations

import sys

import click

own_file = click.option("--file", "own", metavar="FILE", type=click.Path(dir_okay=False),
                        help="the operator's own file (an example: deploy/lilacwalk.conf)")
handed = click.option("--config", metavar="FILE", envvar="ROUTER_CONFIG", type=click.Path(dir_okay=False),
                      help="the configuration as JSON (default: the file that ROUTER_CONFIG names)")
log_level = click.option("--log-level", default="info", show_default=True,
                         type=click.Choice(["debug", "info", "warning", "error"]))
running_file = click.option("--file", "own", metavar="FILE", required=True, type=click.Path(dir_okay=False),
                            help="the operator's own file of the running program")
as_json = click.option("--json", "as_json", is_flag=True, help="the whole answer as JSON")


def answered(path: str, question: str):
    """What the part of the running program that listens there says. Ends the command with 2 where nobody
    does, or where it cannot answer that."""
    from lilacwalk.wire.asking import ask
    try:
        found = ask(path, question)
    except (OSError, ValueError) as error:
        print(f"lilacwalk: nobody answers at {path}: {getattr(error, 'strerror', None) or error}",
              file=sys.stderr)
        sys.exit(2)
    if isinstance(found, dict) and "error" in found:
        print(f"lilacwalk: {found['error']}", file=sys.stderr)
        sys.exit(2)
    return found
