"""Runs the simulator adapter on standard input and output."""

import io
import sys

from lilacwalk.simulator_adapter.codec import WireError
from lilacwalk.simulator_adapter.session import serve

EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Processes the input until its end; returns the exit status."""
    lines = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    replies = io.TextIOWrapper(
        sys.stdout.buffer, encoding="utf-8", newline="\n", write_through=False
    )
    try:
        serve(lines, replies)
    except WireError as error:
        print(f"lilacwalk: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except UnicodeDecodeError as error:
        print(f"lilacwalk: standard input is not UTF-8: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
