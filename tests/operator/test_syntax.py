"""Lines are split into words and statements; syntax errors are reported."""

import pytest

from lilacwalk.operator.syntax import split_words


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("announce {\n as 1\n", "f:1: announce: expected a closing } for this block"),
        ("}\n", "f:1: }: expected no } here, because no block is open"),
        ("a { b\n", "f:1: {: expected { only at the end of a line"),
        ("announce{\n}\n", "f:1: announce{: expected a space before {"),
        ("x 'y\n", "expected a closing '"),
        ("{\n}\n", "f:1: {: expected a keyword"),
        ("} }\n", "f:1: }: expected } on a line of its own"),
        ("a {\n" * 12 + "}\n" * 12, "expected at most 8 levels of nested blocks"),
    ],
)
def test_unbalanced_braces_and_quotes_are_reported(text, message, problems_of):
    assert any(message in problem for problem in problems_of(text))


def test_words_are_split_with_the_quoting_rules_of_a_shell():
    assert split_words('a \'b c\' d\\ e "f\\"g" h#i # j').words == ["a", "b c", "d e", 'f"g', "h#i"]
    assert split_words("k '{'").unquoted == [True, False]
