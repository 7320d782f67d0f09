"""Validates statements against configuration records and builds the records.

Besides its fields, a record type may define:

- `ARGUMENTS`: the fields that the words after the block's keyword set, in order;
- `INLINE`: the fields that may follow the arguments on the same line, as pairs of field name and
  value;
- `ORDERED`: keywords whose statements are stored in the field `lines` in the order of the file.
  Each item of `lines` is a pair: the value that `ORDERED` gives for the keyword, and the record of
  the statement;
- `faults()`: a method that returns the errors that involve several fields, as pairs of keyword and
  expected value.
"""

from __future__ import annotations

import typing
from dataclasses import dataclass, field

from msgspec import Struct

from lilacwalk.operator.errors import InvalidWordError
from lilacwalk.operator.field_schema import (
    FieldSchema,
    check_bounds,
    convert_word,
    field_schemas,
)
from lilacwalk.operator.syntax import Problem, Statement

ORDERED_FIELD = "lines"


@dataclass(slots=True)
class _BlockState:
    """The fields, values and statements of a block while it is being read."""

    record: type[Struct]
    opener: Statement | None  # None for the file itself
    schemas: dict[str, FieldSchema]
    values: dict[str, object] = field(default_factory=dict)
    statements_by_keyword: dict[str, Statement] = field(default_factory=dict)
    ordered_items: list[tuple[object, Struct | None]] = field(default_factory=list)

    @property
    def arguments(self) -> tuple[str, ...]:
        return getattr(self.record, "ARGUMENTS", ())

    @property
    def inline(self) -> tuple[str, ...]:
        return getattr(self.record, "INLINE", ())

    @property
    def ordered(self) -> dict[str, object]:
        return getattr(self.record, "ORDERED", {})

    @property
    def line(self) -> int:
        """The line at which a problem of the whole block is reported."""
        return self.opener.line if self.opener is not None else 1

    @property
    def keyword(self) -> str:
        """The block's keyword; `file` for the file itself."""
        return self.opener.keyword if self.opener is not None else "file"

    def statement_schema(self, keyword: str) -> FieldSchema | None:
        """Returns the field that a statement with this keyword sets; None if there is none."""
        schema = self.schemas.get(keyword)
        if schema is None or schema.name in (*self.arguments, ORDERED_FIELD):
            return None
        return schema

    def known_keywords(self) -> list[str]:
        return [*self.ordered, *(word for word in self.schemas if self.statement_schema(word))]

    def ordered_record(self) -> type[Struct]:
        """Returns the record type of an ordered statement: the second type of a pair in `lines`."""
        hints = typing.get_type_hints(self.record)
        pair = typing.get_args(hints[ORDERED_FIELD])[0]
        return typing.get_args(pair)[1]


class BlockReader:
    """Reads the blocks of one file and collects all problems, so that they are reported together.

    Attributes:
        problems: the problems of all blocks read so far.
    """

    def __init__(self) -> None:
        """Creates a reader without problems."""
        self.problems: list[Problem] = []

    def read_block(
        self, record: type[Struct], statements: list[Statement], opener: Statement | None
    ) -> Struct | None:
        """Builds a record from a block.

        Returns None if a statement of the block is invalid or a required one is missing. A record
        whose `faults()` finds errors is returned; these errors are added to `problems`.

        Args:
            record: the record's type.
            statements: the statements within the block.
            opener: the statement that opened the block; None for the file itself.
        """
        problem_count = len(self.problems)
        block = _BlockState(record, opener, field_schemas(record))
        if opener is not None:
            self._read_arguments(block, opener)
        for statement in statements:
            self._read_statement(block, statement)
        if block.ordered:
            block.values[ORDERED_FIELD] = tuple(block.ordered_items)
        self._check_required(block)
        if len(self.problems) > problem_count:
            return None
        instance = record(**block.values)
        self._check_record(block, instance)
        return instance

    def _report(self, line: int, word: str, expected: str) -> None:
        self.problems.append(Problem(line, word, expected))

    def _read_arguments(self, block: _BlockState, opener: Statement) -> None:
        """Reads the arguments after a block's keyword, then the inline pairs."""
        schemas_by_name = {schema.name: schema for schema in block.schemas.values()}
        words = list(opener.words)
        for name in block.arguments:
            if not words:
                expected = f"an argument ({name.replace('_', '-')})"
                self._report(opener.line, opener.keyword, expected)
                return
            self._set_value(block, schemas_by_name[name], opener.line, words.pop(0))
        while len(words) > 1 and words[0] in block.inline:
            name = words.pop(0)
            self._set_value(block, schemas_by_name[name], opener.line, words.pop(0))
        if words:
            self._report(opener.line, words[0], self._expected_after_arguments(block, opener))

    @staticmethod
    def _expected_after_arguments(block: _BlockState, opener: Statement) -> str:
        if block.inline:
            return f"{' or '.join(block.inline)}, followed by a number"
        if opener.block is None:
            return "the end of the line"
        return "no further word before {"

    def _read_statement(self, block: _BlockState, statement: Statement) -> None:
        keyword = statement.keyword
        if keyword in block.ordered:
            item = self._read_nested_block(block.ordered_record(), statement)
            block.ordered_items.append((block.ordered[keyword], item))
            return
        schema = block.statement_schema(keyword)
        if schema is None:
            self._report(statement.line, keyword, "one of " + ", ".join(block.known_keywords()))
            return
        earlier = block.statements_by_keyword.get(keyword)
        if earlier is not None and not (schema.repeated and schema.block):
            self._report(
                statement.line, keyword, f"once, but line {earlier.line} has this keyword too"
            )
            return
        block.statements_by_keyword[keyword] = statement
        if schema.block is not None:
            self._read_block_statement(block, schema, schema.block, statement)
        else:
            self._read_value_statement(block, schema, statement)

    def _read_nested_block(self, record: type[Struct], statement: Statement) -> Struct | None:
        return self.read_block(record, statement.block or [], statement)

    def _read_block_statement(
        self, block: _BlockState, schema: FieldSchema, record: type[Struct], statement: Statement
    ) -> None:
        if statement.block is None and not getattr(record, "ARGUMENTS", ()):
            self._report(
                statement.line, statement.keyword, "a block after the keyword, opened by {"
            )
            return
        instance = self._read_nested_block(record, statement)
        if schema.repeated:
            earlier = block.values.get(schema.name, ())
            block.values[schema.name] = (*earlier, instance) if instance is not None else earlier
        elif instance is not None:
            block.values[schema.name] = instance

    def _read_value_statement(
        self, block: _BlockState, schema: FieldSchema, statement: Statement
    ) -> None:
        if statement.block is not None:
            self._report(statement.line, statement.keyword, "a value without a block")
        elif not statement.words:
            self._report(statement.line, statement.keyword, "a value after the keyword")
        elif schema.repeated:
            block.values[schema.name] = tuple(self._convert_words(schema, statement))
        elif len(statement.words) > 1:
            self._report(statement.line, statement.words[1], "the end of the line")
        else:
            self._set_value(block, schema, statement.line, statement.words[0])

    def _convert_words(self, schema: FieldSchema, statement: Statement) -> list[object]:
        values = []
        for word in statement.words:
            try:
                values.append(convert_word(schema, word))
            except InvalidWordError as error:
                self._report(statement.line, word, error.expected)
        return values

    def _set_value(self, block: _BlockState, schema: FieldSchema, line: int, word: str) -> None:
        try:
            block.values[schema.name] = check_bounds(schema, convert_word(schema, word))
        except InvalidWordError as error:
            self._report(line, word, error.expected)

    def _check_required(self, block: _BlockState) -> None:
        for keyword, schema in block.schemas.items():
            is_present = (
                schema.name in block.values
                or schema.name in block.arguments
                or keyword in block.statements_by_keyword
            )
            if schema.required and not is_present:
                self._report(block.line, block.keyword, f"{keyword} in this block")

    def _check_record(self, block: _BlockState, instance: Struct) -> None:
        """Reports the errors that the record's `faults()` finds."""
        for keyword, expected in getattr(instance, "faults", list)():
            statement = block.statements_by_keyword.get(keyword)
            self._report(statement.line if statement else block.line, keyword, expected)
