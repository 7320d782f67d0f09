"""The operator's file and the command line are compatible with an earlier version.

`data/operator_words.json` and `data/command_words.json` were generated with revision ef429c2 by
`describe_block` and `describe_command`. A renamed or removed keyword or option would invalidate the
files and scripts of operators.
"""

import json
from pathlib import Path

import click

from lilacwalk.commands import lilacwalk
from lilacwalk.operator.field_schema import field_schemas
from lilacwalk.operator.schema import OperatorConfig

DATA = Path(__file__).parent / "data"


def describe_block(record):
    """Returns the keywords of a block and of its nested blocks, as in the data file."""
    fields = field_schemas(record)
    keywords_by_field = {each.name: keyword for keyword, each in fields.items()}
    return {
        "arguments": [keywords_by_field[name] for name in getattr(record, "ARGUMENTS", ())],
        "inline": [keywords_by_field[name] for name in getattr(record, "INLINE", ())],
        "ordered": getattr(record, "ORDERED", {}),
        "keywords": {
            keyword: {
                "needed": each.required,
                "units": each.units,
                "many": each.repeated,
                "block": describe_block(each.block) if each.block is not None else None,
            }
            for keyword, each in fields.items()
        },
    }


def split_paragraphs(text):
    """Returns the paragraphs of a help text without line breaks, since click rewraps the lines."""
    return [" ".join(each.split()) for each in (text or "").split("\n\n")]


def shown_default(option):
    """Returns the default, or the text that the help shows for one that depends on the machine."""
    return option.show_default if isinstance(option.show_default, str) else repr(option.default)


def describe_parameter(parameter, context):
    """Returns the names, type, default and help of one option or argument."""
    is_option = parameter.param_type_name == "option"
    return {
        "kind": parameter.param_type_name,
        "options": [*parameter.opts, "/", *parameter.secondary_opts] if is_option else [],
        "metavar": parameter.make_metavar(context),
        "required": parameter.required,
        "multiple": parameter.multiple,
        "count_of_words": parameter.nargs,
        "variable": parameter.envvar,
        "default": shown_default(parameter) if is_option else "",
        "type": str(parameter.type.to_info_dict()),
        "help": split_paragraphs(getattr(parameter, "help", None)),
    }


def describe_command(command):
    """Returns the options and arguments of a command and of its subcommands."""
    context = click.Context(command)
    description = {
        "help": split_paragraphs(command.help),
        "parameters": [describe_parameter(each, context) for each in command.params],
        "commands": {},
    }
    if isinstance(command, click.Group):
        for name in command.list_commands(context):
            description["commands"][name] = describe_command(command.get_command(context, name))
    return description


def load_expected(name):
    return json.loads((DATA / name).read_text(encoding="utf-8"))


def test_keywords_of_the_operator_file_equal_those_of_the_earlier_version():
    assert describe_block(OperatorConfig) == load_expected("operator_words.json")


def test_command_line_equals_that_of_the_earlier_version():
    assert describe_command(lilacwalk) == load_expected("command_words.json")
