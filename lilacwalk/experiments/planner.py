"""Runs of an experiment, their measures, and statistics over seeds.

The module has no side effects: an experiment gives the same cells in the same order, and the same intervals,
wherever it runs."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from itertools import product

import msgspec

from lilacwalk.emulator.simulation import SECOND, Result
from lilacwalk.experiments.config import Experiment, Scenario
from lilacwalk.operator.field_schema import check_bounds, convert_word, field_schemas
from lilacwalk.operator.units import parse_flag

# Bootstrap samples per interval; with more, its ends move by less than a hundredth of its width.
RESAMPLE_COUNT = 2_000
MIN_SEED_COUNT = 5  # with fewer seeds in common, no conclusion is drawn from a comparison


class BadValueError(Exception):
    """A value of a varied setting is invalid; the text names the setting, the value and what was expected."""


@dataclass(frozen=True, slots=True)
class Cell:
    """A combination of values of the varied settings, as written in the file."""

    values: tuple[tuple[str, str], ...]

    def __str__(self) -> str:
        return " ".join(f"{name}={value}" for name, value in self.values) or "as it stands"


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """A simulation run of an experiment: a cell with a seed."""

    cell: Cell
    seed: int
    scenario: Scenario
    digest: str  # digest of everything that the result depends on, except the program


def apply_cell(scenario: Scenario, cell: Cell) -> Scenario:
    """Returns the scenario with the cell's values, which are parsed and checked like statements of the file.
    Raises BadValueError if a value is invalid."""
    schemas, new_values = field_schemas(Scenario), {}
    for name, word in cell.values:
        try:
            if name != "faults":
                new_values[name] = check_bounds(schemas[name], convert_word(schemas[name], word))
            elif not parse_flag(word):
                new_values["fault"] = ()
        except ValueError as error:
            raise BadValueError(f"{name}: {word}: expected {error}") from None
    return msgspec.structs.replace(scenario, **new_values)


def cells(experiment: Experiment) -> list[Cell]:
    names = [each.what for each in experiment.vary]
    return [
        Cell(tuple(zip(names, words, strict=True)))
        for words in product(*(each.values for each in experiment.vary))
    ]


def plays(experiment: Experiment) -> Iterator[PlannedRun]:
    """Yields the runs of all cells for one seed before those of the next seed, so that an aborted experiment
    leaves complete seeds. Raises BadValueError if a cell has an invalid value."""
    scenarios = [(cell, apply_cell(experiment.scenario, cell)) for cell in cells(experiment)]
    for seed in range(1, experiment.seeds + 1):
        for cell, scenario in scenarios:
            text = msgspec.json.encode((scenario, seed))
            yield PlannedRun(cell, seed, scenario, blake2b(text, digest_size=10).hexdigest())


def compute_measures(scenario: Scenario, result: Result) -> dict[str, float]:
    """Returns the measures of a run. `share` is the weight of the requests completed within their objective
    over the weight of all requests created, without the first 2 s. `after` is the same from 2 s after the end
    of the last fault; 1 if there are no faults."""
    rows = result.stats_by_second.values()
    request_count = max(1, sum(row.wished for row in rows))
    answer_count = max(1, result.completed + result.denied + result.terminated)
    ends = [(each.at + each.time) // SECOND + 2 for each in scenario.fault]
    after = max(ends, default=0)
    samples = result.samples or [None]
    return {
        "share": result.share(2),
        "worst": result.worst(),
        "after": result.share(after) if after else 1.0,
        "wasted": result.wasted,
        "tries": sum(row.tries for row in rows) / request_count,
        "denied": result.denied / answer_count,
        "breaches": float(len(result.breaches)),
        "busy": sum(each.busy for each in samples if each) / len(samples),
        "p_a": sum(each.p_a for each in samples if each) / len(samples),
        "calls": float(result.dependency_call_count),
    }


@dataclass(frozen=True, slots=True)
class Figure:
    """Mean of a measure over seeds, with its confidence interval."""

    mean: float
    # Ends of the interval that contains the mean of 95 in 100 such samples of seeds.
    low: float
    high: float
    count: int

    def __str__(self) -> str:
        return f"{self.mean:.3f} ({self.low:.3f} to {self.high:.3f})"


def interval(values: Iterable[float], seed: int = 1) -> Figure:
    """Mean and 95% confidence interval by bootstrap (Efron, 1979): means of samples drawn with replacement."""
    ordered = sorted(values)
    if not ordered:
        return Figure(float("nan"), float("nan"), float("nan"), 0)
    rng = random.Random(seed)
    means = sorted(
        sum(rng.choices(ordered, k=len(ordered))) / len(ordered) for _ in range(RESAMPLE_COUNT)
    )
    return Figure(
        sum(ordered) / len(ordered),
        means[int(0.025 * RESAMPLE_COUNT)],
        means[int(0.975 * RESAMPLE_COUNT)],
        len(ordered),
    )


def compared(baseline: Mapping[int, float], candidate: Mapping[int, float]) -> tuple[Figure, str]:
    """Returns the interval of the difference `candidate` - `baseline`, paired by seed, and a conclusion as
    text."""
    common_seeds = sorted(baseline.keys() & candidate.keys())
    difference = interval(candidate[seed] - baseline[seed] for seed in common_seeds)
    if not common_seeds:
        return difference, "no seed in common"
    if len(common_seeds) < MIN_SEED_COUNT:
        verdict = f"{len(common_seeds)} seeds are too few to say"
    elif difference.low > 0:
        verdict = "more"
    elif difference.high < 0:
        verdict = "less"
    else:
        verdict = "no difference that these seeds show"
    return difference, verdict


def unmet(experiment: Experiment, results: Mapping[Cell, Mapping[str, Figure]]) -> list[str]:
    """Returns a message for each cell in which an expectation is not met. An expectation is not met in a cell
    without results."""
    problems = []
    for each in experiment.expect:
        for cell in cells(experiment):
            if not set(each.when) <= {f"{name}={value}" for name, value in cell.values}:
                continue
            figure = results.get(cell, {}).get(each.measure)
            if figure is None or not figure.count:
                problems.append(f"{each.measure} of {cell}: no results")
            elif each.least is not None and figure.mean < each.least:
                problems.append(
                    f"{each.measure} of {cell}: {figure.mean:.3f}, at least {each.least:g} expected"
                )
            elif each.most is not None and figure.mean > each.most:
                problems.append(
                    f"{each.measure} of {cell}: {figure.mean:.3f}, at most {each.most:g} expected"
                )
    return problems
