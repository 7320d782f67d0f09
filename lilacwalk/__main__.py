"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from lilacwalk import __version__
from lilacwalk.lifecycle import serve
from lilacwalk.lifecycle.log import start_logging


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="lilacwalk", description="An app server with an overload controller.")
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")
    config = argparse.ArgumentParser(add_help=False)
    config.add_argument("--config", metavar="FILE", default=os.environ.get("ROUTER_CONFIG"),
                        help="the configuration as JSON (default: the file that ROUTER_CONFIG names)")
    run = commands.add_parser("serve", parents=[config], help="serve until SIGTERM")
    run.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    commands.add_parser("check", parents=[config], help="read the configuration and say what it means")
    commands.add_parser("version", help="print the version")
    return top


def main(arguments: list[str] | None = None) -> int:
    given = parser().parse_args(arguments)
    if given.command == "version":
        print(f"lilacwalk {__version__}")
        return 0
    if not given.config:
        print("lilacwalk: no configuration: give --config or set ROUTER_CONFIG", file=sys.stderr)
        return 2
    if given.command == "check":
        return serve.check(given.config)
    start_logging(getattr(logging, given.log_level.upper()))
    return serve.serve(given.config)


if __name__ == "__main__":
    sys.exit(main())
