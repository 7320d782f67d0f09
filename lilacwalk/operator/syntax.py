r"""Splits the operator's file into statements; independent of the keywords.

A statement is one line: a keyword followed by words. `{` at the end of a line opens a block, and
`}` on a line of its own closes it. `#` at the start of a word begins a comment. Quoting follows the
shell: characters in '...' are literal, "..." supports the escapes \" and \\, and a backslash
outside of quotes makes the next character literal. The parser accepts any text: it returns the
statements together with all syntax errors.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lilacwalk.operator.errors import InvalidWordError

MAX_BLOCK_DEPTH = 8  # limit on nested blocks; bounds the recursion of code that reads statements


@dataclass(slots=True)
class Statement:
    """One statement, with the statements of its block if it opens one; lines count from 1."""

    line: int
    keyword: str
    words: list[str]
    block: list[Statement] | None = None
    last_line: int = 0  # line of the closing brace; 0 if there is none

    def __str__(self) -> str:
        """Returns the keyword and the words on one line, without quotes."""
        return " ".join([self.keyword, *self.words])


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One error in a file: the offending word and what was expected. Problems sort by line."""

    line: int
    word: str
    expected: str


@dataclass(slots=True)
class SplitLine:
    """The words of one line, without their quotes."""

    words: list[str] = field(default_factory=list)
    # for each word, whether it is free of quotes and backslashes; only then can it be a brace
    unquoted: list[bool] = field(default_factory=list)

    def is_brace(self, index: int, brace: str) -> bool:
        """Whether the word at `index` is this brace and is not quoted."""
        return self.words[index] == brace and self.unquoted[index]


def split_words(line: str) -> SplitLine:
    """Splits one line into its words.

    Raises:
        InvalidWordError: a quote is not closed, or the line ends with a backslash.
    """
    return _LineSplitter(line).split()


class _LineSplitter:
    """State of splitting one line: the position in it and the word being read."""

    def __init__(self, line: str) -> None:
        self._line = line
        self._position = 0
        self._result = SplitLine()
        self._start_word()

    def split(self) -> SplitLine:
        while self._position < len(self._line):
            character = self._next_character()
            if character in " \t":
                self._finish_word()
            elif character == "#" and not self._in_word:
                break
            elif character in "'\"":
                self._read_quoted(character)
            elif character == "\\":
                self._read_escaped()
            else:
                self._text += character
                self._in_word = True
        self._finish_word()
        return self._result

    def _start_word(self) -> None:
        self._text = ""
        self._in_word = False
        self._quoted = False

    def _finish_word(self) -> None:
        if self._in_word:
            self._result.words.append(self._text)
            self._result.unquoted.append(not self._quoted)
        self._start_word()

    def _next_character(self) -> str:
        """Advances by one character and returns it; empty at the end of the line."""
        character = self._line[self._position : self._position + 1]
        self._position += 1
        return character

    def _read_quoted(self, quote: str) -> None:
        self._in_word = True
        self._quoted = True
        while (character := self._next_character()) != quote:
            if not character:
                raise InvalidWordError(expected=f"a closing {quote}")
            if character == "\\" and quote == '"' and self._at_escapable_character():
                character = self._next_character()
            self._text += character

    def _at_escapable_character(self) -> bool:
        return self._line[self._position : self._position + 1] in ('"', "\\")

    def _read_escaped(self) -> None:
        character = self._next_character()
        if not character:
            raise InvalidWordError(expected="a character after \\")
        self._text += character
        self._in_word = True
        self._quoted = True


def parse_statements(text: str) -> tuple[list[Statement], list[Problem]]:
    """Returns the top-level statements of a text and all syntax errors."""
    parser = _StatementParser()
    for number, line in enumerate(text.splitlines(), 1):
        parser.add_line(number, line)
    parser.finish()
    return parser.statements, parser.problems


class _StatementParser:
    """State of parsing a text: the statements read so far and the blocks that are still open."""

    def __init__(self) -> None:
        self.statements: list[Statement] = []
        self.problems: list[Problem] = []
        self._open_blocks: list[Statement] = []
        # number of open blocks beyond MAX_BLOCK_DEPTH, whose statements are skipped
        self._skipped_depth = 0

    def add_line(self, number: int, line: str) -> None:
        try:
            split_line = split_words(line)
        except InvalidWordError as error:
            self._report(number, line.strip().split()[0], error.expected)
            return
        if not split_line.words:
            return
        if split_line.is_brace(0, "}"):
            self._close_block(number, split_line.words)
        else:
            self._add_statement(number, split_line)

    def finish(self) -> None:
        for statement in self._open_blocks:
            self._report(statement.line, statement.keyword, "a closing } for this block")

    def _report(self, line: int, word: str, expected: str) -> None:
        self.problems.append(Problem(line, word, expected))

    def _close_block(self, number: int, words: list[str]) -> None:
        if len(words) > 1:
            self._report(number, words[1], "} on a line of its own")
        if self._skipped_depth:
            self._skipped_depth -= 1
        elif not self._open_blocks:
            self._report(number, "}", "no } here, because no block is open")
        else:
            self._open_blocks.pop().last_line = number

    def _add_statement(self, number: int, split_line: SplitLine) -> None:
        opens_block = split_line.is_brace(-1, "{")
        words = split_line.words[:-1] if opens_block else split_line.words
        self._check_braces(number, words, split_line.unquoted)
        if not words:
            self._report(number, "{", "a keyword before {")
            words = ["{"]
        if self._skipped_depth:
            self._skipped_depth += opens_block
            return
        statement = Statement(number, words[0], words[1:])
        siblings = self._open_blocks[-1].block if self._open_blocks else self.statements
        siblings.append(statement)
        if opens_block:
            self._open_block(statement)

    def _check_braces(self, number: int, words: list[str], unquoted: list[bool]) -> None:
        """Reports the first brace in a place where braces are not allowed."""
        for word, is_unquoted in zip(words, unquoted, strict=False):
            if not is_unquoted:
                continue
            if word in ("{", "}"):
                self._report(
                    number, word, "{ only at the end of a line, } only on a line of its own"
                )
                return
            if word.endswith("{") or word.startswith("}"):
                self._report(number, word, "a space before {, and } on a line of its own")
                return

    def _open_block(self, statement: Statement) -> None:
        statement.block = []
        if len(self._open_blocks) < MAX_BLOCK_DEPTH:
            self._open_blocks.append(statement)
            return
        expected = f"at most {MAX_BLOCK_DEPTH} levels of nested blocks"
        self._report(statement.line, statement.keyword, expected)
        self._skipped_depth = 1
