"""`lilacwalk fleet`: the membership view; a member beside any other program; scenarios."""

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
EXIT_EXPECTATION_FAILED = 3
HOST_CHECK_SECONDS = 1.0  # how soon the command notices that the host ended by itself


@click.group()
def fleet() -> None:
    """The view of the fleet that members keep: ask one, be one, play a drill."""


def query_fleet(operator_file: str, question: str) -> Any:
    """The answer of the running member's admin socket."""
    block = require_block(operator_file, "fleet", needs_socket=True)
    return query_or_exit(block.socket, question)


def format_table(rows: list[dict], columns: tuple[str, ...]) -> str:
    """Rows as aligned text under a header."""
    lines = [list(columns), *([str(row[name]) for name in columns] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def format_summary(view: dict) -> str:
    """What a node concludes about itself, in a line."""
    return (
        f"{view['name']} of {view['site']}: {view['conclusion']} ({view['reason']}), "
        f"{'settled' if view['settled'] else 'not settled'}, digest {view['digest']}, "
        f"store {view['store']}, leaving {view['leaving']}"
    )


@fleet.command()
@running_file_option
@json_option
def show(operator_file: str, as_json: bool) -> None:
    """Members with state, life, age of what is known and who said so; what this node concludes."""
    view = query_fleet(operator_file, "show")
    if as_json:
        print(json.dumps(view, indent=2))
        return
    print(format_summary(view))
    print(format_table(view["members"], MEMBER_COLUMNS))


@fleet.command()
@running_file_option
@click.option("--every", default=1.0, show_default=True, help="seconds between two looks")
@click.option("--times", default=0, help="looks, then the end; 0: until Ctrl-C")
def watch(operator_file: str, every: float, times: int) -> None:
    """A line whenever what this node concludes, or who is there, has changed."""
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
    """Prints the summary and the members that changed, if anything did."""
    health = health_by_member(view)
    previous_health = health_by_member(previous_view) if previous_view is not None else {}
    is_same = previous_view is not None and (
        health == previous_health
        and all(view[key] == previous_view[key] for key in ("conclusion", "reason", "settled"))
    )
    if is_same:
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
    """Health and state of each member of a view."""
    return {member["name"]: (member["health"], member["state"]) for member in view["members"]}


@fleet.command()
@running_file_option
@json_option
def events(operator_file: str, as_json: bool) -> None:
    """The last changes, with their cause and who said so."""
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
    help="Probe MEMBER now, from the running node; exit 4 where it does not answer within a "
    "probe interval."
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
    """Be a member beside any other program.

    States come as lines on standard input: cold, warming, ready, sick, standing-still, leaving.
    End of input changes nothing. SIGTERM tells the others that it leaves and ends with 0; SIGHUP
    reads the file again.
    """
    start_logging(getattr(logging, log_level.upper()))
    config = require_config(operator_file, "fleet")
    if config.fleet.name is None:
        exit_unusable(f"{operator_file}:1: fleet: expected name in this block")
    states = NodeStateInput(stops_at_end_of_input=False)
    host, socket = open_member(config)
    host.start()
    if socket is not None:
        socket.start()
    states.start()
    apply_states(states, host, operator_file)
    host.leave()
    if socket is not None:
        socket.close()
    sys.exit(1 if host.failed else 0)


def open_member(config: OperatorConfig) -> tuple[FleetHost, Any]:
    """The member's host and its admin socket, if the file names one; neither is started.

    With a sites block the member also plans failover, which the log and `lilacwalk sites show`
    tell. Ends the command with 2 where a key or an address cannot be used.
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
            answer_others = None
        else:
            host = FleetHost(config.fleet, on_evaluate=site_failover.evaluate)
            answer_others = partial(answer_admin_query, host=host, site_failover=site_failover)
        if config.fleet.socket is None:
            return host, None
        return host, admin_socket(host, config.fleet.socket, answer_others)
    except FleetError as error:
        exit_unusable(f"lilacwalk: {error}")
    except OSError as error:
        exit_unusable(f"lilacwalk: cannot listen: {error.strerror or error}")


def ignore_plan(_plan: object) -> None:
    """A member without an app server has no traffic to apply a plan to."""


def apply_states(states: NodeStateInput, host: FleetHost, operator_file: str) -> None:
    """Hands node states to the member until a stop is asked for or the host has ended."""
    from lilacwalk.membership.messages import NODE_STATES_BY_NAME

    accepted = [name for name in NODE_STATES_BY_NAME if name != "gone"]
    while not host.stopped.is_set():
        word = states.next(timeout=HOST_CHECK_SECONDS)
        if word is None:
            continue
        if word is Control.STOP:
            return
        if word is Control.RELOAD:
            reload_member(host, operator_file)
        elif word in accepted:
            host.update_metadata(NODE_STATES_BY_NAME[word])
        else:
            states.report_unknown(word, accepted)


def reload_member(host: FleetHost, operator_file: str) -> None:
    """Reads the file again; a file that cannot be used changes nothing."""
    from lilacwalk.membership.host import FleetError
    from lilacwalk.operator.errors import UnusableFileError

    try:
        host.reload(load_with_block(operator_file, "fleet").fleet)
    except (UnusableFileError, FleetError) as error:
        log.warning({"event": "reload_failed", "detail": str(error)})


@fleet.command()
@click.argument("script", type=click.Path(exists=True, dir_okay=False))
@click.option("--seed", default=None, type=int, help="instead of the script's")
@click.option(
    "--keep", type=click.Path(file_okay=False), help="keep files and logs of the processes here"
)
@click.option("--quiet", is_flag=True, help="the verdict alone")
def drill(script: str, seed: int | None, keep: str | None, quiet: bool) -> None:
    """Play SCRIPT: real processes, faults between them, and what they believed.

    Exit codes: 0 all expectations held; 3 one did not; 2 the script cannot be used.
    """
    from lilacwalk.testing.scenario import BadScriptError, play, read

    try:
        scenario = read(script)
    except BadScriptError as error:
        exit_unusable(error)
    sys.exit(0 if play(scenario, seed, keep, quiet) else EXIT_EXPECTATION_FAILED)
