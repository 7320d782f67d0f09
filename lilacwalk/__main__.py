"""Command-line entry point: `lilacwalk COMMAND`."""

from __future__ import annotations

import os
import signal
import sys


def main(arguments: list[str] | None = None) -> int:
    """Runs one command.

    Returns:
        0: success; 1: internal error; 2: the command line, a file or an address is invalid. Some
        commands document further exit codes.
    """
    # Imported here, because SIGTERM may arrive while the commands are being loaded.
    from lilacwalk.commands import lilacwalk

    try:
        lilacwalk.main(arguments, prog_name="lilacwalk")
    except SystemExit as exit_request:
        return int(exit_request.code or 0)
    return 0


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        # The server accepts no connection before it installs its own handler, so exiting is safe.
        signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    sys.exit(main())
