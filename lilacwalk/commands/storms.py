"""`lilacwalk storms`: queries the detection and damping of retry storms."""

from __future__ import annotations

import json

import click

from lilacwalk.commands.options import (
    json_option,
    query_or_exit,
    require_block,
    running_file_option,
)


@click.group()
def storms() -> None:
    """Query the detection and damping of retry storms."""


@storms.command()
@running_file_option
@json_option
def show(operator_file: str, as_json: bool) -> None:
    """Show the damping stage, attempts and retries against the baseline, and rejections."""
    block = require_block(operator_file, "storms", needs_socket=True)
    status = query_or_exit(block.socket, "show")
    if as_json:
        print(json.dumps(status, indent=2))
        return
    print(f"{status['stage']}: {status['why']} (for {status['since_ms'] / 1000:.1f} s)")
    print(
        f"attempts {status['tries']:g} per second (baseline {status['usual_tries']:g}), "
        f"first attempts {status['first']:g} per second, retries {status['repeats']:.0%} of the "
        f"attempts (baseline {status['usual_repeats']:.0%})"
    )
    print(
        f"completions {status['completed']:g} per second, expected response time "
        f"{status['line_ms']} ms, connects {status['connects']:g} per second "
        f"(baseline {status['usual_connects']:g}), periodicity {status['bunched']:g}"
    )
    print(
        f"passed to the controller {status['passed']}, rejected: beyond the retry budget "
        f"{status['shed_budget']}, too late {status['shed_late']}; "
        f"retries admitted by the budget {status['retries_paid']}"
    )
