"""Plans the runs of an experiment, and computes their measures and statistics over seeds.

A cell is one combination of values of the varied settings; a run simulates a cell with a seed. The
functions are deterministic: an experiment has the same cells in the same order, and the same
results give the same confidence intervals, on every machine."""

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

# Bootstrap samples per confidence interval. More samples move the ends of an interval by less than
# a hundredth of its width.
RESAMPLE_COUNT = 2_000
MIN_SEED_COUNT = 5  # a comparison of fewer common seeds has no conclusion


class BadValueError(Exception):
    """A value of a varied setting is invalid.

    The message contains the setting, the value and what was expected.
    """


@dataclass(frozen=True, slots=True)
class Cell:
    """A combination of values of the varied settings: pairs of name and value, as in the file."""

    values: tuple[tuple[str, str], ...]

    def __str__(self) -> str:
        return " ".join(f"{name}={value}" for name, value in self.values) or "as it stands"


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """A simulation run of an experiment: a cell with a seed."""

    cell: Cell
    seed: int
    scenario: Scenario  # with the values of the cell
    digest: str  # digest of scenario and seed, which identifies the run in file names


def apply_cell(scenario: Scenario, cell: Cell) -> Scenario:
    """Returns the scenario with the cell's values, parsed and checked like statements of the file.

    Raises:
        BadValueError: a value is invalid.
    """
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


def list_cells(experiment: Experiment) -> list[Cell]:
    """Returns all combinations of values of the varied settings; the last one varies fastest."""
    names = [setting.what for setting in experiment.vary]
    return [
        Cell(tuple(zip(names, words, strict=True)))
        for words in product(*(setting.values for setting in experiment.vary))
    ]


def plan_runs(experiment: Experiment) -> Iterator[PlannedRun]:
    """Yields the runs of an experiment: all cells with one seed, then all cells with the next seed.

    Therefore an aborted experiment has results of all cells for the first seeds.

    Raises:
        BadValueError: a value of a varied setting is invalid.
    """
    scenarios = [(cell, apply_cell(experiment.scenario, cell)) for cell in list_cells(experiment)]
    for seed in range(1, experiment.seeds + 1):
        for cell, scenario in scenarios:
            text = msgspec.json.encode((scenario, seed))
            yield PlannedRun(cell, seed, scenario, blake2b(text, digest_size=10).hexdigest())


def compute_measures(scenario: Scenario, result: Result) -> dict[str, float]:
    """Returns the measures of a run, by the names in MEASURES.

    - `share`: share of weight completed in time (see `Result.share`), without the first 2 s;
    - `worst`: the lowest such share of any 10 s;
    - `after`: the share from 2 s after the end of the last fault; 1 without faults;
    - `wasted`: see `Result`;
    - `tries`: attempts per request;
    - `denied`: rejections as a fraction of all answers;
    - `breaches`: number of violations of the rules;
    - `busy`, `p_a`: means over the samples, see `Sample`;
    - `calls`: number of dependency calls.
    """
    rows = result.stats_by_second.values()
    request_count = max(1, sum(row.wished for row in rows))
    answer_count = max(1, result.completed + result.denied + result.terminated)
    recovery_seconds = [(fault.at + fault.time) // SECOND + 2 for fault in scenario.fault]
    first_recovered = max(recovery_seconds, default=0)
    samples = result.samples or [None]
    return {
        "share": result.share(2),
        "worst": result.worst(),
        "after": result.share(first_recovered) if first_recovered else 1.0,
        "wasted": result.wasted,
        "tries": sum(row.tries for row in rows) / request_count,
        "denied": result.denied / answer_count,
        "breaches": float(len(result.breaches)),
        "busy": sum(sample.busy for sample in samples if sample) / len(samples),
        "p_a": sum(sample.p_a for sample in samples if sample) / len(samples),
        "calls": float(result.dependency_call_count),
    }


@dataclass(frozen=True, slots=True)
class Estimate:
    """Mean of a measure over seeds, with its 95% confidence interval; NaN without values."""

    mean: float
    low: float  # lower end of the interval
    high: float  # upper end of the interval
    count: int  # number of seeds

    def __str__(self) -> str:
        return f"{self.mean:.3f} ({self.low:.3f} to {self.high:.3f})"


def estimate_mean(values: Iterable[float], seed: int = 1) -> Estimate:
    """Returns the mean of the values with its 95% confidence interval.

    The interval is computed by bootstrap (Efron, 1979) from the means of samples that are drawn
    with replacement. `seed` determines these samples; the order of the values has no effect.
    """
    ordered = sorted(values)
    if not ordered:
        return Estimate(float("nan"), float("nan"), float("nan"), 0)
    rng = random.Random(seed)
    means = sorted(
        sum(rng.choices(ordered, k=len(ordered))) / len(ordered) for _ in range(RESAMPLE_COUNT)
    )
    return Estimate(
        sum(ordered) / len(ordered),
        means[int(0.025 * RESAMPLE_COUNT)],
        means[int(0.975 * RESAMPLE_COUNT)],
        len(ordered),
    )


def compare_by_seed(
    baseline: Mapping[int, float], candidate: Mapping[int, float]
) -> tuple[Estimate, str]:
    """Compares the values of a measure in two revisions, paired by seed.

    Args:
        baseline: value by seed.
        candidate: value by seed.

    Returns:
        The estimate of `candidate` - `baseline`, and the conclusion as a text.
    """
    common_seeds = sorted(baseline.keys() & candidate.keys())
    difference = estimate_mean(candidate[seed] - baseline[seed] for seed in common_seeds)
    if not common_seeds:
        return difference, "no seed in common"
    if len(common_seeds) < MIN_SEED_COUNT:
        verdict = f"no conclusion: {len(common_seeds)} seeds are too few, expected {MIN_SEED_COUNT}"
    elif difference.low > 0:
        verdict = "more"
    elif difference.high < 0:
        verdict = "less"
    else:
        verdict = "no difference: the confidence interval contains 0"
    return difference, verdict


def find_unmet_expectations(
    experiment: Experiment, results: Mapping[Cell, Mapping[str, Estimate]]
) -> list[str]:
    """Returns a message for each expectation and each cell in which it is not met.

    In a cell without results, an expectation is not met.
    """
    messages = []
    for expectation in experiment.expect:
        for cell in list_cells(experiment):
            if not set(expectation.when) <= {f"{name}={value}" for name, value in cell.values}:
                continue
            estimate = results.get(cell, {}).get(expectation.measure)
            if estimate is None or not estimate.count:
                messages.append(f"{expectation.measure} of {cell}: no results")
            elif expectation.least is not None and estimate.mean < expectation.least:
                messages.append(
                    f"{expectation.measure} of {cell}: {estimate.mean:.3f}, "
                    f"at least {expectation.least:g} expected"
                )
            elif expectation.most is not None and estimate.mean > expectation.most:
                messages.append(
                    f"{expectation.measure} of {cell}: {estimate.mean:.3f}, "
                    f"at most {expectation.most:g} expected"
                )
    return messages
