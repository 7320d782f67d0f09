"""`lilacwalk experiment`: runs, reports, lists and compares experiments in the simulator."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from lilacwalk.commands.options import EXIT_EXPECTATION_FAILED, exit_unusable

if TYPE_CHECKING:
    from lilacwalk.experiments.config import Experiment

MAX_ERROR_CHARACTERS = 300  # shown from the end of another revision's standard error


@click.group()
def experiment() -> None:
    """Run experiments in simulated time: the real controller, simulated servers and clients."""


file_argument = click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
folder_option = click.option(
    "--results",
    "folder",
    metavar="DIR",
    default="found",
    show_default=True,
    type=click.Path(file_okay=False),
    help="directory in which the result of each run is stored",
)
processes_option = click.option(
    "--processes",
    type=click.IntRange(1, 64),
    default=os.cpu_count() or 1,
    show_default="cores",
    help="number of simulations that run at the same time",
)


def load_experiment(path: str) -> tuple[Experiment, list[Any]]:
    """Returns an experiment and its planned runs.

    If the file is invalid or a library is not installed, exits with code 2.
    """
    try:
        from lilacwalk.experiments import planner, runner
    except ImportError as error:
        exit_unusable(f"lilacwalk: {error}: install the packages in requirements-experiments.txt")
    from lilacwalk.operator.errors import UnusableFileError

    try:
        definition = runner.read_experiment(path)
        return definition, list(planner.plan_runs(definition))
    except UnusableFileError as error:
        exit_unusable(error)
    except planner.BadValueError as error:
        exit_unusable(f"{path}: {error}")


def run_missing(
    definition: Experiment, planned_runs: list[Any], folder: str, processes: int
) -> tuple[dict, list[str]]:
    """Simulates the runs that have no stored result.

    Returns:
        The results by cell, and a message for each unmet expectation.
    """
    from lilacwalk.experiments import planner, runner

    with click.progressbar(length=len(planned_runs), label="runs", file=sys.stderr) as progress_bar:

        def advance(_planned: object, _is_new: object) -> None:
            progress_bar.update(1)

        results = runner.load_or_run(
            planned_runs, Path(folder), runner.revision(), processes, advance
        )
    results_by_cell = runner.estimates_by_cell(planned_runs, results)
    return results_by_cell, planner.find_unmet_expectations(definition, results_by_cell)


def format_table(results_by_cell: dict, measure_names: tuple[str, ...]) -> str:
    """Returns the results as an aligned table with a header."""
    width = max([len(str(cell)) for cell in results_by_cell], default=0)
    lines = [f"{'cell':<{width}}  " + "  ".join(f"{name:>24}" for name in measure_names)]
    lines += [
        f"{cell!s:<{width}}  " + "  ".join(f"{measures[name]!s:>24}" for name in measure_names)
        for cell, measures in results_by_cell.items()
    ]
    return "\n".join(lines)


@experiment.command()
@file_argument
@folder_option
@processes_option
def run(path: str, folder: str, processes: int) -> None:
    """Simulate the runs of FILE that have no stored result, and print a table of all results.

    Exit codes: 0 all expectations of FILE are met, 2 FILE is invalid, 3 an expectation is not met.
    """
    definition, planned_runs = load_experiment(path)
    results_by_cell, unmet = run_missing(definition, planned_runs, folder, processes)
    print(definition.question)
    print(format_table(results_by_cell, ("share", "worst", "wasted", "tries", "breaches")))
    for expectation in unmet:
        print(f"not as expected: {expectation}")
    sys.exit(EXIT_EXPECTATION_FAILED if unmet else 0)


@experiment.command()
@file_argument
@folder_option
@click.option(
    "--to",
    "target",
    metavar="FILE",
    required=True,
    type=click.Path(dir_okay=False),
    help="HTML page to write; it loads nothing from the network",
)
@processes_option
def report(path: str, folder: str, target: str, processes: int) -> None:
    """Simulate the runs of FILE that have no stored result, and write a report of all results."""
    definition, planned_runs = load_experiment(path)
    results_by_cell, unmet = run_missing(definition, planned_runs, folder, processes)
    from lilacwalk.experiments import charts, runner

    page = charts.render_page(
        Path(path).stem,
        definition,
        planned_runs,
        results_by_cell,
        unmet,
        Path(folder),
        runner.revision(),
    )
    Path(target).write_text(page, encoding="utf-8")
    print(f"{target}: {len(results_by_cell)} cells, {definition.seeds} seeds")


@experiment.command(name="list")
@file_argument
@folder_option
def list_(path: str, folder: str) -> None:
    """List the runs of FILE, and whether this revision of the program has stored their results."""
    from lilacwalk.experiments import runner

    _, planned_runs = load_experiment(path)
    revision = runner.revision()
    stored_count = 0
    for planned in planned_runs:
        is_stored = runner.load_measures(Path(folder), planned.digest, revision) is not None
        stored_count += is_stored
        print(f"{'kept   ' if is_stored else 'missing'} seed {planned.seed} {planned.cell}")
    print(f"{stored_count} of {len(planned_runs)} kept by {revision}")


@experiment.command()
@file_argument
@click.argument("revision", metavar="COMMIT")
@folder_option
@processes_option
@click.option("--measure", default="share", show_default=True, help="measure to compare")
def compare(path: str, revision: str, folder: str, processes: int, measure: str) -> None:
    """Compare this program with COMMIT of its repository, cell by cell, paired by seed."""
    definition, planned_runs = load_experiment(path)
    from lilacwalk.experiments import planner, runner

    current = runner.load_or_run(planned_runs, Path(folder), runner.revision(), processes)
    measures = next(iter(current.values()))
    if measure not in measures:
        message = f"--measure: expected one of {', '.join(sorted(measures))}, got {measure}"
        raise click.UsageError(message)
    earlier = run_revision(path, revision, processes)
    for cell in planner.list_cells(definition):
        cell_runs = [planned for planned in planned_runs if planned.cell == cell]
        earlier_by_seed = {
            planned.seed: earlier[planned.digest][measure]
            for planned in cell_runs
            if earlier.get(planned.digest)
        }
        current_by_seed = {planned.seed: current[planned.digest][measure] for planned in cell_runs}
        difference, verdict = planner.compare_by_seed(earlier_by_seed, current_by_seed)
        print(f"{cell}: {measure} {difference} against {revision}: {verdict}")


def run_revision(path: str, revision: str, processes: int) -> dict[str, Any]:
    """Runs an experiment with another revision of this program and returns the results by digest.

    If the revision cannot be checked out or cannot run the experiment, exits with code 2.
    """
    from lilacwalk.experiments import runner

    with tempfile.TemporaryDirectory() as directory:
        folder = Path(directory) / "results"
        tree = Path(directory) / "tree"
        with git_worktree(revision, tree):
            completed = subprocess.run(
                [
                    *(sys.executable, "-B", "-m", "lilacwalk", "experiment", "run"),
                    str(Path(path).resolve()),
                    *("--results", str(folder)),
                    *("--processes", str(processes)),
                ],
                cwd=tree,
                env=os.environ | {"PYTHONPATH": str(tree)},
                capture_output=True,
                text=True,
                check=False,
            )
            if completed.returncode not in (0, EXIT_EXPECTATION_FAILED):
                reason = completed.stderr.strip()[-MAX_ERROR_CHARACTERS:]
                exit_unusable(f"lilacwalk: revision {revision} cannot run {path}: {reason}")
            results = {}
            for file in folder.glob("*.parquet"):
                digest, program_revision = file.stem.split("-", 1)
                results[digest] = runner.load_measures(folder, digest, program_revision)
            return results


@contextmanager
def git_worktree(revision: str, tree: Path) -> Iterator[None]:
    """Checks a revision out into a git worktree, and removes the worktree afterwards.

    If the revision cannot be checked out, exits with code 2.
    """
    from lilacwalk.experiments import runner

    git = ["git", "-C", str(runner.ROOT), "worktree"]
    added = subprocess.run(
        [*git, "add", "--detach", str(tree), revision], capture_output=True, text=True, check=False
    )
    if added.returncode:
        exit_unusable(f"lilacwalk: cannot check out {revision}: {added.stderr.strip()}")
    try:
        yield
    finally:
        subprocess.run([*git, "remove", "--force", str(tree)], capture_output=True, check=False)
