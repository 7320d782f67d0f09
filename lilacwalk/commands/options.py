"""Options that several commands share."""

from __future__ import annotations

import click

own_file = click.option("--file", "own", metavar="FILE", type=click.Path(dir_okay=False),
                        help="the operator's own file (an example: deploy/lilacwalk.conf)")
handed = click.option("--config", metavar="FILE", envvar="ROUTER_CONFIG", type=click.Path(dir_okay=False),
                      help="the configuration as JSON (default: the file that ROUTER_CONFIG names)")
log_level = click.option("--log-level", default="info", show_default=True,
                         type=click.Choice(["debug", "info", "warning", "error"]))
