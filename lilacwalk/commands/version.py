"""`lilacwalk version`: prints the version."""

from __future__ import annotations

import click

from lilacwalk import __version__


@click.command()
def version() -> None:
    """Print the version."""
    click.echo(f"lilacwalk {__version__}")
