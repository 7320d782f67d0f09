"""The command line: `lilacwalk COMMAND`."""

from __future__ import annotations

import sys

from lilacwalk.commands import lilacwalk


def main(arguments: list[str] | None = None) -> int:
    """Exit codes: 0 done, 1 a defect while running, 2 the command line, a file or an address cannot be
    used."""
    try:
        lilacwalk.main(arguments, prog_name="lilacwalk")
    except SystemExit as end:
        return int(end.code or 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
