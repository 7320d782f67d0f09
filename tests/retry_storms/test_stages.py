"""Changes of the damping stage, and their hysteresis."""

from lilacwalk.retry_storms.stages import Stage
from tests.retry_storms.conftest import normal_node


def test_stage_changes_with_missing_completions_new_completions_a_storm_and_normal_load():
    node = normal_node()
    stages = []
    for steps, step_arguments in (
        (8, dict(first=40, retries=60, completed=0)),
        (4, dict(first=40, retries=150)),
        (30, dict(first=40, retries=2)),
    ):
        for _ in range(steps):
            node.step(**step_arguments)
            if not stages or stages[-1] is not node.stage:
                stages.append(node.stage)
    assert stages == [Stage.NORMAL, Stage.SILENT, Stage.RECOVERING, Stage.DAMPED, Stage.NORMAL]


def test_single_steps_neither_start_nor_end_the_damped_stage():
    node = normal_node()
    node.step(first=40, retries=150)
    node.step(first=40, retries=2)
    assert node.stage is Stage.NORMAL
    for _ in range(6):
        node.step(first=40, retries=150)
    for _ in range(2):
        node.step(first=40, retries=0)
    assert node.stage is Stage.DAMPED
