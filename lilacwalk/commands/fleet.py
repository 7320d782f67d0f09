"""`lilacwalk fleet`: queries a member, runs a member beside another program, runs scenarios."""

from __future__ import annotations

import json
import logging
import sys
import time
from functools import partial
from typing import TYPE_CHECKING, Any

import click

from lilacwalk.commands.node_states import Control, NodeStateInput
from lilacwalk.commands.options import (
    EXIT_EXPECTATION_FAILED,
    exit_unusable,
    json_option,
    load_with_block,
    log_level_option,
    query_or_exit,
    require_block,
    require_config,
    running_file_option,
)
from lilacwalk.log import start_logging

if TYPE_CHECKING:
    from lilacwalk.membership.host import FleetHost
    from lilacwalk.operator.schema import OperatorConfig

log = logging.getLogger(__name__)
MEMBER_COLUMNS = ("name", "site", "address", "health", "state", "disk", "age_ms", "life", "by")
EXIT_NO_ANSWER = 4
HOST_CHECK_SECONDS = 1.0  # time until a host that has failed is noticed


@click.group()
def fleet() -> None:
    """Query a member of the fleet, run a member, or run a fault-injection scenario."""


def query_fleet(operator_file: str, query_line: str) -> Any:
    """Returns the answer of the running member; without an answer, exits with code 2."""
    block = require_block(operator_file, "fleet", needs_socket=True)
    return query_or_exit(block.socket, query_line)


def format_table(rows: list[dict], columns: tuple[str, ...]) -> str:
    """Returns the rows as an aligned table with a header."""
    lines = [list(columns), *([str(row[name]) for name in columns] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def format_summary(view: dict) -> str:
    """Returns a node's conclusion about its view as one line."""
    return (
        f"{view['name']} of {view['site']}: {view['conclusion']} ({view['reason']}), "
        f"{'settled' if view['settled'] else 'not settled'}, digest {view['digest']}, "
        f"store {view['store']}, leaving {view['leaving']}"
    )


@fleet.command()
@running_file_option
@json_option
def show(operator_file: str, as_json: bool) -> None:
    """Show the members and the running node's conclusion about its view.

    The columns life and by are the member's incarnation and the member that reported its health.
    """
    view = query_fleet(operator_file, "show")
    if as_json:
        print(json.dumps(view, indent=2))
        return
    print(format_summary(view))
    print(format_table(view["members"], MEMBER_COLUMNS))


@fleet.command()
@running_file_option
@click.option("--every", default=1.0, show_default=True, help="seconds between two queries")
@click.option("--times", default=0, help="number of queries; 0: until Ctrl-C")
def watch(operator_file: str, every: float, times: int) -> None:
    """Print a line whenever the running node's conclusion or the health of a member changes."""
    previous_view = None
    count = 0
    try:
        while True:
            view = query_fleet(operator_file, "show")
            print_view_changes(previous_view, view)
            previous_view = view
            count += 1
            if count == times:
                return
            time.sleep(every)
    except KeyboardInterrupt:
        return


def print_view_changes(previous_view: dict | None, view: dict) -> None:
    """Prints the summary and the changed members, if anything has changed."""
    health = health_by_member(view)
    previous_health = health_by_member(previous_view) if previous_view is not None else {}
    is_unchanged = previous_view is not None and (
        health == previous_health
        and all(view[key] == previous_view[key] for key in ("conclusion", "reason", "settled"))
    )
    if is_unchanged:
        return
    print(time.strftime("%H:%M:%S"), format_summary(view), flush=True)
    if previous_view is None:
        return
    for name in sorted(health.keys() | previous_health.keys()):
        before = previous_health.get(name, ("unknown", ""))
        after = health.get(name, ("forgotten", ""))
        if before != after:
            print(f"  {name}: {' '.join(before)} -> {' '.join(after)}", flush=True)


def health_by_member(view: dict) -> dict[str, tuple[str, str]]:
    """Returns the health and the state of each member of a view."""
    return {member["name"]: (member["health"], member["state"]) for member in view["members"]}


@fleet.command()
@running_file_option
@json_option
def events(operator_file: str, as_json: bool) -> None:
    """List recent membership changes with their cause and the member that reported them."""
    changes = query_fleet(operator_file, "events")
    if as_json:
        print(json.dumps(changes, indent=2))
        return
    for change in changes:
        print(
            f"{change['ago_ms'] / 1000:9.3f} s ago  {change['what']:<13} {change['name']:<16} "
            f"by {change['by'] or 'nobody'}: {change['why']}"
        )


@fleet.command(
    help="Probe MEMBER from the running node. Exit code 4 if it does not answer within a probe "
    "interval."
)
@running_file_option
@click.argument("member")
def ping(operator_file: str, member: str) -> None:
    """Probes a member from the running node and prints the result."""
    result = query_fleet(operator_file, f"ping {member}")
    print(" ".join(f"{name}={value}" for name, value in result.items()))
    sys.exit(0 if result["answered"] else EXIT_NO_ANSWER)


@fleet.command()
@running_file_option
@log_level_option
def run(operator_file: str, log_level: str) -> None:
    """Run a member of the fleet beside another program.

    Node states are read from standard input, one per line: cold, warming, ready, sick,
    standing-still, leaving. The end of input changes nothing. On SIGTERM, the member announces to
    the others that it leaves, and the exit code is 0. SIGHUP reloads the file.
    """
    start_logging(getattr(logging, log_level.upper()))
    config = require_config(operator_file, "fleet")
    if config.fleet.name is None:
        exit_unusable(f"{operator_file}:1: fleet: expected a name in this block")
    state_input = NodeStateInput(stops_at_end_of_input=False)
    host, socket = open_member(config)
    host.start()
    if socket is not None:
        socket.start()
    state_input.start()
    apply_states(state_input, host, operator_file)
    host.leave()
    if socket is not None:
        socket.close()
    sys.exit(1 if host.failed else 0)


def open_member(config: OperatorConfig) -> tuple[FleetHost, Any]:
    """Creates the member's host and, if the file sets its path, the admin socket.

    Neither is started. With a sites block the member also plans failover; the log and
    `lilacwalk sites show` report the plan. If the key, an address or the path of the admin socket
    cannot be used, exits with code 2.
    """
    from lilacwalk.membership.admin import admin_socket
    from lilacwalk.membership.host import FleetError, FleetHost

    site_failover = None
    if config.sites is not None:
        from lilacwalk.server.integrations.site_failover import (
            SiteFailoverIntegration,
            answer_admin_query,
        )

        site_failover = SiteFailoverIntegration(config.sites, ignore_plan)
    try:
        if site_failover is None:
            host = FleetHost(config.fleet, on_evaluate=None)
            answer_site_query = None
        else:
            host = FleetHost(config.fleet, on_evaluate=site_failover.evaluate)
            answer_site_query = partial(answer_admin_query, host=host, site_failover=site_failover)
        if config.fleet.socket is None:
            return host, None
        return host, admin_socket(host, config.fleet.socket, answer_site_query)
    except FleetError as error:
        exit_unusable(f"lilacwalk: {error}")
    except OSError as error:
        host_name, port = config.fleet.listen
        exit_unusable(
            f"lilacwalk: cannot listen on {host_name}:{port} or open the admin socket "
            f"{config.fleet.socket or '(none)'}: {error.strerror or error}"
        )


def ignore_plan(_plan: object) -> None:
    """Ignores a plan: a member without an app server has no traffic to which it could apply."""


def apply_states(state_input: NodeStateInput, host: FleetHost, operator_file: str) -> None:
    """Passes node states to the member until a stop is requested or the host has stopped."""
    from lilacwalk.membership.messages import NODE_STATES_BY_NAME

    accepted_names = [name for name in NODE_STATES_BY_NAME if name != "gone"]
    while not host.stopped.is_set():
        entry = state_input.next(timeout=HOST_CHECK_SECONDS)
        if entry is None:
            continue
        if entry is Control.STOP:
            return
        if entry is Control.RELOAD:
            reload_member(host, operator_file)
        elif entry in accepted_names:
            host.update_metadata(NODE_STATES_BY_NAME[entry])
        else:
            state_input.report_unknown(entry, accepted_names)


def reload_member(host: FleetHost, operator_file: str) -> None:
    """Reloads the operator's file; if it is invalid, the member keeps its configuration."""
    from lilacwalk.membership.host import FleetError
    from lilacwalk.operator.errors import UnusableFileError

    try:
        host.reload(load_with_block(operator_file, "fleet").fleet)
    except (UnusableFileError, FleetError) as error:
        log.warning({"event": "reload_failed", "detail": str(error)})


@fleet.command()
@click.argument("script", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--seed",
    default=None,
    type=int,
    help="seed of the random draws, in place of the seed in SCRIPT",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    help="directory in which the files and logs of the processes are kept",
)
@click.option(
    "--quiet", is_flag=True, help="print only the failed expectations and the final count"
)
def drill(script: str, seed: int | None, keep: str | None, quiet: bool) -> None:
    """Run the fault-injection scenario SCRIPT with real processes, and check its expectations.

    Exit codes: 0 all expectations are met, 2 SCRIPT is invalid, 3 an expectation is not met.
    """
    from lilacwalk.testing.scenario import BadScriptError, play, read

    try:
        scenario = read(script)
    except BadScriptError as error:
        exit_unusable(error)
    sys.exit(0 if play(scenario, seed, keep, quiet) else EXIT_EXPECTATION_FAILED)
