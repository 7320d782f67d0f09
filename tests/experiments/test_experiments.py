"""Tests of experiments: reading files, storing and resuming runs, reports and conclusions."""

import random
import subprocess
import sys

import pytest

from lilacwalk.experiments import planner, runner
from lilacwalk.operator.loader import UnusableFileError
from tests.conftest import ROOT


def run_experiment_command(*words, **options):
    return subprocess.run(
        [sys.executable, "-B", "-m", "lilacwalk", "experiment", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        **options,
    )


def test_runs_cover_the_grid_of_cells_and_complete_each_seed_before_the_next(make_experiment_file):
    experiment = runner.read_experiment(make_experiment_file())
    runs = list(planner.plan_runs(experiment))
    assert [(each.seed, str(each.cell)) for each in runs[:5]] == [
        (1, "load=0.4 decides=design"),
        (1, "load=0.4 decides=fixed"),
        (1, "load=2 decides=design"),
        (1, "load=2 decides=fixed"),
        (2, "load=0.4 decides=design"),
    ]
    assert len({each.digest for each in runs}) == 8


@pytest.mark.parametrize(
    ("more", "message"),
    [
        ("seeds 4", "seeds: expected once"),
        ("vary lod {\n    values 1\n}", "lod: expected"),
        ("expect share {\n    when load=0.4\n}", "expect: expected least or most"),
        ("expect share {\n    least 1\n    when load=7\n}", "expect: expected when NAME=VALUE"),
        ("vary load {\n    values 3\n}", "vary: expected load once"),
        ("fault quake {\n    at 1s\n    time 1s\n}", "fault: expected one of"),
    ],
)
def test_error_in_a_file_is_reported_with_the_file_name_and_the_expectation(
    make_experiment_file, more, message
):
    with pytest.raises(UnusableFileError) as error:
        runner.read_experiment(make_experiment_file(more=more))
    assert message in str(error.value) and "small.exp:" in str(error.value)


@pytest.mark.parametrize("loads", ("0.4 much", "0.4 -1", "0.4 99"))
def test_invalid_value_of_a_varied_setting_is_rejected(make_experiment_file, loads):
    with pytest.raises(planner.BadValueError):
        list(planner.plan_runs(runner.read_experiment(make_experiment_file(loads=loads))))
    assert run_experiment_command("run", make_experiment_file(loads=loads)).returncode == 2


def test_stored_runs_are_not_repeated_and_a_partial_experiment_resumes_to_the_same_result(
    make_experiment_file, tmp_path
):
    runs = list(planner.plan_runs(runner.read_experiment(make_experiment_file())))
    revision = runner.revision()
    new_flags = []
    uninterrupted = runner.load_or_run(
        runs, tmp_path / "whole", revision, 1, lambda _run, is_new: new_flags.append(is_new)
    )
    runner.load_or_run(runs[:3], tmp_path / "half", revision, 1)
    # The incomplete file of a killed run is removed before the experiment is resumed.
    (tmp_path / "half" / f"{runs[4].digest}-{revision}.parquet").write_bytes(b"torn")
    (tmp_path / "half" / f"{runs[4].digest}-{revision}.parquet").unlink()
    resumed = runner.load_or_run(
        runs, tmp_path / "half", revision, 2, lambda _run, is_new: new_flags.append(is_new)
    )
    assert resumed == uninterrupted and new_flags.count(False) == 3 and new_flags.count(True) == 13
    assert runner.load_series(tmp_path / "half", runs[7].digest, revision) == runner.load_series(
        tmp_path / "whole", runs[7].digest, revision
    )


def test_results_of_another_revision_are_not_used(make_experiment_file, tmp_path):
    runs = list(
        planner.plan_runs(runner.read_experiment(make_experiment_file(loads="0.4", seeds=1)))
    )
    runner.load_or_run(runs, tmp_path, "older", 1)
    assert runner.load_measures(tmp_path, runs[0].digest, "older")
    assert runner.load_measures(tmp_path, runs[0].digest, "newer") is None


def test_concurrent_runs_in_one_folder_give_the_same_output_and_leave_no_partial_files(
    make_experiment_file, tmp_path
):
    command_line = [
        sys.executable,
        "-B",
        "-m",
        "lilacwalk",
        "experiment",
        "run",
        make_experiment_file(),
        "--results",
        str(tmp_path / "both"),
        "--processes",
        "1",
    ]
    processes = [
        subprocess.Popen(
            command_line, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )
        for _ in range(2)
    ]
    outputs = [each.communicate(timeout=60)[0] for each in processes]
    assert [each.returncode for each in processes] == [0, 0] and outputs[0] == outputs[1]
    assert (
        not list((tmp_path / "both").glob("*.new"))
        and len(list((tmp_path / "both").iterdir())) == 8
    )


def test_unmet_expectation_is_reported_with_exit_code_3(make_experiment_file, tmp_path):
    path = make_experiment_file(
        loads="0.4", seeds=1, more="expect share {\n    least 1.5\n    when decides=fixed\n}"
    )
    completed = run_experiment_command(
        "run", path, "--results", str(tmp_path / "r"), "--processes", "1"
    )
    assert completed.returncode == 3
    assert "not as expected: share of load=0.4 decides=fixed" in completed.stdout
    assert "decides=design: " not in completed.stdout
    listed = run_experiment_command("list", path, "--results", str(tmp_path / "r"))
    assert "2 of 2 kept" in listed.stdout


def test_report_is_one_page_without_external_resources(make_experiment_file, tmp_path):
    page = tmp_path / "page.html"
    completed = run_experiment_command(
        "report",
        make_experiment_file(),
        "--results",
        str(tmp_path / "r"),
        "--to",
        str(page),
        "--processes",
        "2",
    )
    assert completed.returncode == 0, completed.stderr
    text = page.read_text()
    assert text.count("<svg") == 5 and "load=2 decides=fixed" in text and "does it hold?" in text
    assert "src=" not in text and "<script" not in text


def test_interval_contains_the_mean_and_is_narrower_with_more_seeds():
    rng = random.Random(1)
    few, many = ([rng.gauss(1, 0.2) for _ in range(count)] for count in (5, 80))
    narrow, wide = planner.estimate_mean(many), planner.estimate_mean(few)
    assert (
        narrow.low < narrow.mean < narrow.high and wide.high - wide.low > narrow.high - narrow.low
    )
    assert planner.estimate_mean(few) == planner.estimate_mean(reversed(few))


def test_difference_is_reported_only_when_the_interval_excludes_zero():
    shares = {seed: 0.5 + 0.01 * (seed % 3) for seed in range(12)}
    assert (
        planner.compare_by_seed(shares, {seed: value + 0.1 for seed, value in shares.items()})[1]
        == "more"
    )
    assert (
        planner.compare_by_seed(shares, {seed: value - 0.1 for seed, value in shares.items()})[1]
        == "less"
    )
    noise = {seed: value + (0.05 if seed % 2 else -0.05) for seed, value in shares.items()}
    assert planner.compare_by_seed(shares, noise)[1].startswith("no difference")
    assert "too few" in planner.compare_by_seed({1: 0.1, 2: 0.1}, {1: 0.9, 2: 0.9})[1]
    assert planner.compare_by_seed({1: 0.1}, {2: 0.9})[1] == "no seed in common"


def test_shipped_experiment_files_can_be_read():
    for path in sorted((ROOT / "experiments").glob("*.exp")):
        experiment = runner.read_experiment(str(path))
        assert experiment.question and list(planner.plan_runs(experiment))
