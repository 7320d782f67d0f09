"""Fixture that writes the file of a small experiment and returns its path."""

import pytest

TEXT = """question "does it hold?"
scenario {{
    servers 2
    routers 2
    cores 2
    length 4s
    group look {{
        share 1
        work 20ms
        slo 200ms
        timeout 2s
    }}
    fault crash {{
        at 2s
        time 500ms
        share 0.5
    }}
}}
vary load {{
    values {loads}
}}
vary decides {{
    values design fixed
}}
seeds {seeds}
{more}
"""


@pytest.fixture
def make_experiment_file(tmp_path):
    def make(name="small.exp", loads="0.4 2", seeds=2, more=""):
        path = tmp_path / name
        path.write_text(TEXT.format(loads=loads, seeds=seeds, more=more))
        return str(path)

    return make
