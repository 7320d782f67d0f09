"""The README and the pages on architecture and on-call name only what exists in the tree."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PATH = re.compile(
    r"(?<![\w/.])((?:lilacwalk|benchmarks|tests|deploy|docs|drills|experiments)/[\w./-]*)"
)
MODULE = re.compile(r"python -m ((?:lilacwalk|benchmarks)[\w.]*)")


@pytest.mark.parametrize("page", ["README.md", "docs/architecture.md", "docs/on-call.md"])
def test_every_path_and_module_that_the_page_names_exists(page):
    text = (ROOT / page).read_text()
    paths = {match.rstrip(".") for match in PATH.findall(text)}
    modules = {match.replace(".", "/") for match in MODULE.findall(text)}
    missing = sorted(
        [path for path in paths if not (ROOT / path).exists()]
        + [
            module
            for module in modules
            if not (ROOT / module).is_dir() and not (ROOT / f"{module}.py").is_file()
        ]
    )
    assert paths
    assert not missing, f"{page} names paths or modules that do not exist: {missing}"
