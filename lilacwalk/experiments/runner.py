"""Runs simulations in worker processes and stores each result in a file of its own.

Files are not overwritten, stored runs are not repeated, and two processes that use the same folder
do not interfere. The name of a file contains the digest of scenario and seed and the program's
revision, so that a changed program never uses results of an older one. The module imports pyarrow,
so app servers must not import it."""

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
from lilacwalk.experiments.planner import (
    Cell,
    Estimate,
    PlannedRun,
    compute_measures,
    estimate_mean,
)
from lilacwalk.operator.block_reader import BlockReader
from lilacwalk.operator.loader import UnusableFileError, read_text
from lilacwalk.operator.syntax import parse_statements

ROOT = Path(__file__).parent.parent.parent
SERIES_COLUMNS = (
    "second",
    "wished",
    "granted",
    "in_time",
    "benefit",
    "wanted",
    "tries",
    "refused",
    "lost",
)


def read_experiment(path: str):
    """Returns the `Experiment` of the file at `path`.

    Raises:
        UnusableFileError: the file cannot be read or is invalid; the message has a line for each
            problem.
    """
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
    """Returns the short hash of the repository's commit; "" if the program is in no repository."""
    try:
        completed = subprocess.run(
            ["git", "-C", str(ROOT), "rev-parse", "--short", "HEAD"], capture_output=True, text=True
        )
    except OSError:
        return ""
    return completed.stdout.strip() if completed.returncode == 0 else ""


def run_and_store(task: tuple[PlannedRun, str, str]) -> tuple[str, dict[str, float]]:
    """Runs a simulation and stores its result atomically; called in a worker process.

    Args:
        task: the planned run, the folder to store the result in, and the program's revision.

    Returns:
        The digest of the planned run, and its measures.
    """
    planned, folder, program_revision = task
    result = play(planned.scenario.build(), planned.seed)
    measures = compute_measures(planned.scenario, result)
    rows = {name: [] for name in SERIES_COLUMNS}
    for second, row in result.stats_by_second.items():
        for name in SERIES_COLUMNS:
            rows[name].append(second if name == "second" else getattr(row, name))
    metadata = {
        "cell": str(planned.cell),
        "seed": str(planned.seed),
        "digest": planned.digest,
        "revision": program_revision,
        "python": platform.python_version(),
        "pyarrow": pyarrow.__version__,
        "machine": platform.machine(),
        "breaches": repr(result.breaches[:20]),
        **{f"figure.{name}": repr(value) for name, value in measures.items()},
    }
    table = pyarrow.table(rows).replace_schema_metadata(metadata)
    path = Path(folder) / f"{planned.digest}-{program_revision}.parquet"
    new_path = path.with_suffix(f".{os.getpid()}.new")
    parquet.write_table(table, new_path)
    try:
        os.link(new_path, path)  # fails if another process has stored this result
    except FileExistsError:
        pass
    new_path.unlink()
    return planned.digest, measures


def load_measures(folder: Path, digest: str, program_revision: str) -> dict[str, float] | None:
    """Returns the stored measures of a run, or None if they are not stored or cannot be read."""
    path = folder / f"{digest}-{program_revision}.parquet"
    try:
        metadata = parquet.read_schema(path).metadata
    except (OSError, pyarrow.ArrowInvalid):
        return None
    prefix = b"figure."
    return {
        name.removeprefix(prefix).decode(): float(value)
        for name, value in metadata.items()
        if name.startswith(prefix)
    }


def load_series(folder: Path, digest: str, program_revision: str) -> dict[str, list]:
    """Returns the stored results of a run by second, as a list for each column of SERIES_COLUMNS.

    Raises:
        OSError: the file does not exist or cannot be read.
    """
    return parquet.read_table(folder / f"{digest}-{program_revision}.parquet").to_pydict()


def load_or_run(
    planned_runs: Iterable[PlannedRun],
    folder: Path,
    program_revision: str,
    processes: int,
    on_result: Callable[[PlannedRun, bool], None] = lambda planned, is_new: None,
) -> dict[str, dict[str, float]]:
    """Returns the measures of each run, and simulates the runs that have no stored result.

    Args:
        planned_runs: the planned runs.
        folder: directory of the stored results; created if it does not exist.
        program_revision: the program's revision.
        processes: number of worker processes; with 1, this process runs the simulations.
        on_result: called for each run when its measures are known, with True if it was simulated
            and False if it was stored.

    Returns:
        The measures by the digest of the run.
    """
    folder.mkdir(parents=True, exist_ok=True)
    results: dict[str, dict[str, float]] = {}
    missing = []
    for planned in planned_runs:
        if (measures := load_measures(folder, planned.digest, program_revision)) is not None:
            results[planned.digest] = measures
            on_result(planned, False)
        else:
            missing.append(planned)
    if not missing:
        return results
    if processes == 1:
        for planned in missing:
            results[planned.digest] = run_and_store((planned, str(folder), program_revision))[1]
            on_result(planned, True)
        return results
    with ProcessPoolExecutor(processes) as pool:
        by_digest = {planned.digest: planned for planned in missing}
        for digest, measures in pool.map(
            run_and_store, [(planned, str(folder), program_revision) for planned in missing]
        ):
            results[digest] = measures
            on_result(by_digest[digest], True)
    return results


def estimates_by_cell(
    planned_runs: Iterable[PlannedRun], results: dict[str, dict[str, float]]
) -> dict[Cell, dict[str, Estimate]]:
    """Returns the estimates over all seeds, by cell and measure.

    `results`: measures by the digest of the run, as `load_or_run` returns them.
    """
    values: dict[Cell, dict[str, list[float]]] = {}
    for planned in planned_runs:
        for name, value in results.get(planned.digest, {}).items():
            values.setdefault(planned.cell, {}).setdefault(name, []).append(value)
    return {
        cell: {name: estimate_mean(seed_values) for name, seed_values in values_by_measure.items()}
        for cell, values_by_measure in values.items()
    }


def describe_interpreter() -> str:
    """Returns name and version of the Python implementation, and the platform."""
    return f"{platform.python_implementation()} {platform.python_version()} on {sys.platform}"
