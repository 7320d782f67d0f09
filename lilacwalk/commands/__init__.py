"""The command line: one module for each command or group, imported when the command is run."""

from __future__ import annotations

from importlib import import_module

import click

MODULES_BY_COMMAND = {
    "serve": "serve",
    "check": "serve",
    "announce": "announce",
    "bgp": "bgp",
    "device": "device",
    "experiment": "experiment",
    "fleet": "fleet",
    "sites": "sites",
    "storage": "storage",
    "storms": "storms",
    "version": "version",
}


class LazyGroup(click.Group):
    """Imports a command's module when the command is run, so an app server loads no other ones."""

    def list_commands(
        self,
        ctx: click.Context,  # noqa: ARG002  click's signature
    ) -> list[str]:
        """Returns the names of all commands, in the order of the help page."""
        return list(MODULES_BY_COMMAND)

    def get_command(
        self,
        ctx: click.Context,  # noqa: ARG002  click's signature
        cmd_name: str,
    ) -> click.Command | None:
        """Imports the module of a command and returns the command; None if its name is unknown."""
        if cmd_name not in MODULES_BY_COMMAND:
            return None
        module = import_module(f"lilacwalk.commands.{MODULES_BY_COMMAND[cmd_name]}")
        return getattr(module, cmd_name)

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Adds the most similar command name to the error message for an unknown command."""
        try:
            return super().resolve_command(ctx, args)
        except click.UsageError as error:
            import difflib

            if close_names := difflib.get_close_matches(args[0], MODULES_BY_COMMAND, 1):
                error.message += f" Did you mean '{close_names[0]}'?"
            raise


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def lilacwalk() -> None:
    """An app server with an overload controller.

    Exit codes: 0 success; 1 internal error; 2 the command line or a file is invalid, or an address
    cannot be used. The help of a command lists its further exit codes.

    Shell completion: eval "$(_LILACWALK_COMPLETE=bash_source lilacwalk)" (or zsh_source,
    fish_source).
    """
