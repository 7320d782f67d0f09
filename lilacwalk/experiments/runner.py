"""Runs simulations in processes and stores each result in a file of its own.

Files are not overwritten, stored runs are not repeated, and two runs in one folder do not interfere. A file
is named by the digest of its scenario and seed and by the program's revision, so that a changed program never
uses results of an older one. Imports pyarrow, so app servers must not import this module."""

from __future__ import annotations

import os
import platform
import subprocess
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from hashlib import blake2b
from pathlib import Path

import pyarrow
from pyarrow import parquet

from lilacwalk.emulator.simulation import play
from lilacwalk.experiments.planner import Cell, Figure, PlannedRun, compute_measures, interval
from lilacwalk.operator.block_reader import BlockReader
from lilacwalk.operator.loader import UnusableFileError, read_text
from lilacwalk.operator.syntax import parse_statements

ROOT = Path(__file__).parent.parent.parent
SERIES = ("second", "wished", "granted", "in_time", "benefit", "wanted", "tries", "refused", "lost")


def read(path: str):
    """Reads an Experiment. Raises UnusableFileError with every problem of the file, one per line."""
    from lilacwalk.experiments.config import Experiment

    statements, faults = parse_statements(read_text(path))
    reader = BlockReader()
    experiment = reader.read_block(Experiment, statements, None)
    if problems := [*faults, *reader.problems]:
        raise UnusableFileError.from_problems(path, problems)
    return experiment


def revision() -> str:
    """Digest of the program's files, including uncommitted changes."""
    digest = blake2b(digest_size=6)
    for part in ("decisions", "emulator"):
        for path in sorted((ROOT / "lilacwalk" / part).glob("*.py")):
            digest.update(path.name.encode() + path.read_bytes())
    return digest.hexdigest()


def commit() -> str:
    """Commit of the repository that holds the program, or "" outside of a repository."""
    try:
        completed = subprocess.run(
            ["git", "-C", str(ROOT), "rev-parse", "--short", "HEAD"], capture_output=True, text=True
        )
    except OSError:
        return ""
    return completed.stdout.strip() if completed.returncode == 0 else ""


def run_and_store(task: tuple[PlannedRun, str, str]) -> tuple[str, dict[str, float]]:
    """Runs a simulation and stores its result atomically; called in a worker process."""
    planned, folder, made_by = task
    result = play(planned.scenario.build(), planned.seed)
    figures = compute_measures(planned.scenario, result)
    rows = {name: [] for name in SERIES}
    for second, row in result.stats_by_second.items():
        for name in SERIES:
            rows[name].append(second if name == "second" else getattr(row, name))
    metadata = {
        "cell": str(planned.cell),
        "seed": str(planned.seed),
        "digest": planned.digest,
        "revision": made_by,
        "python": platform.python_version(),
        "pyarrow": pyarrow.__version__,
        "machine": platform.machine(),
        "breaches": repr(result.breaches[:20]),
        **{f"figure.{name}": repr(value) for name, value in figures.items()},
    }
    table = pyarrow.table(rows).replace_schema_metadata(metadata)
    path = Path(folder) / f"{planned.digest}-{made_by}.parquet"
    new_path = path.with_suffix(f".{os.getpid()}.new")
    parquet.write_table(table, new_path)
    try:
        os.link(new_path, path)  # fails if another run has stored the same result already
    except FileExistsError:
        pass
    new_path.unlink()
    return planned.digest, figures


def kept(folder: Path, digest: str, made_by: str) -> dict[str, float] | None:
    """Returns the measures of a stored run, or None if it is not stored or cannot be read."""
    path = folder / f"{digest}-{made_by}.parquet"
    try:
        metadata = parquet.read_schema(path).metadata
    except (OSError, pyarrow.ArrowInvalid):
        return None
    start = b"figure."
    return {
        name.removeprefix(start).decode(): float(value)
        for name, value in metadata.items()
        if name.startswith(start)
    }


def series(folder: Path, digest: str, made_by: str) -> dict[str, list]:
    return parquet.read_table(folder / f"{digest}-{made_by}.parquet").to_pydict()


def run(
    plays: Iterable[PlannedRun],
    folder: Path,
    made_by: str,
    processes: int,
    on_play: Callable[[PlannedRun, bool], None] = lambda planned, new: None,
) -> dict[str, dict[str, float]]:
    """Returns the measures of each run by digest; simulates only runs without a stored result. `on_play` is
    called for each run, with True if it was simulated and False if its result was read from storage."""
    folder.mkdir(parents=True, exist_ok=True)
    results: dict[str, dict[str, float]] = {}
    missing = []
    for planned in plays:
        if (figures := kept(folder, planned.digest, made_by)) is not None:
            results[planned.digest] = figures
            on_play(planned, False)
        else:
            missing.append(planned)
    if not missing:
        return results
    if processes == 1:
        for planned in missing:
            results[planned.digest] = run_and_store((planned, str(folder), made_by))[1]
            on_play(planned, True)
        return results
    with ProcessPoolExecutor(processes) as pool:
        by_digest = {planned.digest: planned for planned in missing}
        for digest, figures in pool.map(
            run_and_store, [(planned, str(folder), made_by) for planned in missing]
        ):
            results[digest] = figures
            on_play(by_digest[digest], True)
    return results


def gathered(
    plays: Iterable[PlannedRun], results: dict[str, dict[str, float]]
) -> dict[Cell, dict[str, Figure]]:
    values: dict[Cell, dict[str, list[float]]] = {}
    for planned in plays:
        for name, value in results.get(planned.digest, {}).items():
            values.setdefault(planned.cell, {}).setdefault(name, []).append(value)
    return {
        cell: {name: interval(row) for name, row in rows.items()} for cell, rows in values.items()
    }


def interpreter() -> str:
    return f"{platform.python_implementation()} {platform.python_version()} on {sys.platform}"
