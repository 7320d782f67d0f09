"""Derives the keywords of a block from its configuration record.

A record is a frozen `msgspec.Struct`, and each of its fields corresponds to a keyword. A field of a
record type is a block; a tuple of records is a block that may occur several times. The annotations
of a field specify its unit, which is the format of its word, and its bounds.
"""

from __future__ import annotations

import types
import typing
from dataclasses import dataclass, field

import msgspec
from msgspec import Meta, Struct

from lilacwalk.operator.errors import InvalidWordError
from lilacwalk.operator.units import (
    CONVERTERS_BY_UNIT,
    parse_flag,
    parse_integer,
    parse_number,
)

UNITS_BY_TYPE = {bool: "flag", int: "whole", float: "number"}
CONVERTERS_BY_PLAIN_UNIT = {"flag": parse_flag, "whole": parse_integer, "number": parse_number}


@dataclass(slots=True)
class FieldSchema:
    """How one field of a record is written in the operator's file."""

    name: str
    keyword: str
    type: object
    required: bool
    units: list[str] = field(default_factory=list)  # from the outermost annotation to the innermost
    block: type[Struct] | None = None  # the record's type, if the field is a block
    repeated: bool = False  # whether the field holds a tuple of any number of values


def field_schemas(record: type[Struct]) -> dict[str, FieldSchema]:
    """Returns the schemas of a record's fields by keyword."""
    schemas = {}
    for struct_field in msgspec.structs.fields(record):
        keyword = struct_field.name.rstrip("_").replace("_", "-")
        schema = FieldSchema(
            struct_field.name, keyword, struct_field.type, required=struct_field.required
        )
        _read_annotation(struct_field.type, schema)
        schemas[schema.keyword] = schema
    return schemas


def _read_annotation(annotation: object, schema: FieldSchema) -> None:
    """Adds units, keyword and block to the schema from all levels of the annotation."""
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is typing.Annotated:
        for metadata in arguments[1:]:
            _read_metadata(metadata, schema)
        _read_annotation(arguments[0], schema)
    elif origin in (types.UnionType, typing.Union):
        for member in arguments:
            _read_annotation(member, schema)
    elif origin is tuple:
        schema.repeated = len(arguments) == 2 and arguments[1] is Ellipsis
        if schema.repeated:
            _read_annotation(arguments[0], schema)
    elif isinstance(annotation, type) and issubclass(annotation, Struct):
        schema.block = annotation
    elif annotation in UNITS_BY_TYPE:
        schema.units.append(UNITS_BY_TYPE[annotation])


def _read_metadata(metadata: object, schema: FieldSchema) -> None:
    extra = metadata.extra or {} if isinstance(metadata, Meta) else {}
    schema.keyword = extra.get("keyword", schema.keyword)
    if "unit" in extra:
        schema.units.append(extra["unit"])


def convert_word(schema: FieldSchema, word: str) -> object:
    """Converts a word by the field's unit, without checking the bounds.

    Raises:
        InvalidWordError: the word does not have the form that the unit requires.
    """
    unit = next((unit for unit in schema.units if unit in CONVERTERS_BY_UNIT), None)
    if unit is not None:
        return CONVERTERS_BY_UNIT[unit](word)
    plain_unit = schema.units[0] if schema.units else ""
    return CONVERTERS_BY_PLAIN_UNIT.get(plain_unit, str)(word)


def check_bounds(schema: FieldSchema, value: object) -> object:
    """Returns the value, converted to the field's type.

    Raises:
        InvalidWordError: the value is outside the bounds of the field.
    """
    try:
        return msgspec.convert(value, schema.type)
    except msgspec.ValidationError as error:
        raise InvalidWordError(expected=_expected_from_error(schema, str(error))) from error
    except TypeError:
        # msgspec does not support the type. `convert_word` has checked the form of the word; the
        # bounds are not checked.
        return value


def _expected_from_error(schema: FieldSchema, message: str) -> str:
    """Returns what a validation message of msgspec expects, worded for the operator."""
    if "matching regex" in message:
        alternatives = message.split("(")[1].split(")")[0]
        return "one of " + alternatives.replace("|", ", ")
    expected = message.removeprefix("Expected ").split(" - ")[0].replace("`", "")
    if "duration" in schema.units:
        expected += " (in tenths of a millisecond)"
    return expected
