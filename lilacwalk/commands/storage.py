"""`lilacwalk storage`: shows, checks, compacts and exports a store."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from lilacwalk.commands.options import (
    exit_unusable,
    json_option,
    query_or_exit,
    require_block,
    running_file_option,
)

if TYPE_CHECKING:
    from lilacwalk.storage.recovery import RecoveryResult

EXIT_INCOMPLETE = 3
NS_PER_TENTH_OF_MS = 100_000
TENTHS_OF_MS_PER_SECOND = 10_000


@click.group()
def storage() -> None:
    """Show, check, compact or export the store, whose content survives a crash."""


def recover_store(directory: str) -> RecoveryResult:
    """Returns the data that a start would recover from a store, without writing to the store.

    If the directory does not exist or cannot be read, exits with code 2.
    """
    from lilacwalk.storage.disk import Directory
    from lilacwalk.storage.recovery import recover

    if not Path(directory).is_dir():  # `Directory` would create the directory
        exit_unusable(f"lilacwalk: cannot read the store {directory}: no such directory")
    try:
        disk = Directory(directory)
        return recover(disk.list_files(), disk.read)
    except OSError as error:
        exit_unusable(f"lilacwalk: cannot read the store {directory}: {error.strerror}")


def summarize(recovered: RecoveryResult, now: int) -> dict[str, Any]:
    """Returns a summary of a store, with the keys that `lilacwalk storage check --json` prints.

    Args:
        recovered: data that a start would recover.
        now: Unix time in tenths of a millisecond.
    """
    from lilacwalk.storage.state import Table, clock_set_back

    rows = recovered.state.rows.values()
    names = {int(table): table.name.lower() for table in Table}
    counts = Counter(names.get(row.table, str(row.table)) for row in rows)
    return {
        "rows": len(recovered.state),
        "over": sum(bool(row.expires_at and row.expires_at <= now) for row in rows),
        "tables": dict(sorted(counts.items())),
        "next": recovered.next_sequence,
        "whole": recovered.is_complete and not recovered.truncations,
        "told": recovered.warnings,
        "snapshot": recovered.snapshot,
        "log_bytes": recovered.log_bytes,
        "clock_set_back_s": clock_set_back(rows, now) // TENTHS_OF_MS_PER_SECOND,
    }


def unix_time_tenths_of_ms() -> int:
    """Returns Unix time in tenths of a millisecond, the unit in stored rows."""
    return time.time_ns() // NS_PER_TENTH_OF_MS


@storage.command()
@running_file_option
@json_option
def show(operator_file: str, as_json: bool) -> None:
    """Show the running program's store: state, size, and the rule for effects not persisted."""
    block = require_block(operator_file, "store", needs_socket=True)
    status = query_or_exit(block.socket, "show")
    if as_json:
        print(json.dumps(status, indent=2))
        return
    for name, value in status.items():
        print(f"{name.replace('_', ' '):<12} {value}")


@storage.command(
    help="Read a store as at a start, without writing, and check whether it is complete. Exit "
    "codes: 0 complete, 2 the store cannot be read, 3 data is truncated or missing."
)
@running_file_option
@json_option
def check(operator_file: str, as_json: bool) -> None:
    """Prints a summary of a store and whether it is complete."""
    recovered = recover_store(require_block(operator_file, "store").directory)
    summary = summarize(recovered, unix_time_tenths_of_ms())
    if as_json:
        print(json.dumps(summary, indent=2))
    else:
        print_summary(summary)
    sys.exit(0 if summary["whole"] else EXIT_INCOMPLETE)


def print_summary(summary: dict[str, Any]) -> None:
    """Prints the summary of a store as one line, then each warning as a line."""
    tables = " ".join(f"{name}={count}" for name, count in summary["tables"].items())
    print(
        f"rows={summary['rows']} over={summary['over']} "
        f"whole={'yes' if summary['whole'] else 'no'} "
        f"next={summary['next']} log_bytes={summary['log_bytes']} "
        f"clock_set_back_s={summary['clock_set_back_s']} {tables}"
    )
    for warning in summary["told"]:
        print(warning)


@storage.command(
    help="Rewrite a store without its expired rows. No running program may have the store open."
)
@running_file_option
@click.option("--node", required=True, help="name of the app server that owns the store")
def compact(operator_file: str, node: str) -> None:
    """Rewrites a store without its expired rows."""
    from lilacwalk.storage.compaction import compact as compact_store
    from lilacwalk.storage.disk import Directory
    from lilacwalk.storage.ownership import OwnershipError

    path = require_block(operator_file, "store").directory
    try:
        disk = Directory(path)
        disk.claim(node)
        result = compact_store(disk, unix_time_tenths_of_ms())
    except OwnershipError as error:
        exit_unusable(f"lilacwalk: {error}")
    except OSError as error:
        exit_unusable(
            f"lilacwalk: cannot compact the store: {error.filename or path}: {error.strerror}"
        )
    print(
        f"rows={result.row_count} bytes_before={result.bytes_before} "
        f"bytes_after={result.bytes_after}"
    )


@storage.command()
@running_file_option
@click.argument("target", type=click.Path(dir_okay=False, writable=True))
def export(operator_file: str, target: str) -> None:
    """Export all rows to the Parquet file TARGET. Requires the extra `experiments`."""
    recovered = recover_store(require_block(operator_file, "store").directory)
    try:
        from lilacwalk.experiments.store_export import export_rows
    except ImportError as error:
        exit_unusable(f"lilacwalk: {error}: install the packages in requirements-experiments.txt")
    print(f"rows={export_rows(recovered.state, target)}")
