"""`lilacwalk sites`: computes failover plans; shows and controls a running node's failover."""

from __future__ import annotations

import json
import sys
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import click

from lilacwalk.commands.fleet import query_fleet
from lilacwalk.commands.options import (
    exit_unusable,
    json_option,
    require_block,
    running_file_option,
)

if TYPE_CHECKING:
    from lilacwalk.failover.config import FailoverConfig

EXIT_NOT_SURVIVABLE = 3
MAX_SITE_LOAD = 1e6  # cores
RELEASE_SECONDS = 60  # validity of a gossiped release


@click.group()
def sites() -> None:
    """Compute failover plans, or show and control the failover of the running node."""


def parse_losses(words: tuple[str, ...], config: FailoverConfig) -> dict[str, float]:
    """Returns the lost share of each site, from words of the form SITE or SITE:PART.

    Raises:
        click.UsageError: a site is not in the file, or a share is not above 0 and at most 1.
    """
    known_sites = {site.name for site in config.site}
    losses = {}
    for word in words:
        name, _, share_word = word.partition(":")
        if name not in known_sites:
            names = ", ".join(sorted(known_sites))
            message = f"--lose: expected a site of the file ({names}), got {name}"
            raise click.UsageError(message)
        lost_share = parse_share(share_word)
        if lost_share is None:
            message = (
                f"--lose: expected a share above 0 and at most 1 after {name}:, got {share_word}"
            )
            raise click.UsageError(message)
        losses[name] = lost_share
    return losses


def parse_share(word: str) -> float | None:
    """Returns the lost share of a site; 1 for an empty word, None for an invalid one."""
    try:
        share = float(word) if word else 1.0
    except ValueError:
        return None
    return share if 0 < share <= 1 else None


def read_loads(path: str, config: FailoverConfig) -> dict[str, float]:
    """Returns the highest load of each site in a capture.

    Each line of a capture contains a site and its load in cores.

    Raises:
        click.UsageError: a line is not of this form, or its site is not in the operator's file.
    """
    known_sites = {site.name for site in config.site}
    loads: dict[str, float] = {}
    with open(path, encoding="utf-8") as file:
        for number, line in enumerate(file, 1):
            words = line.split("#")[0].split()
            if not words:
                continue
            load = parse_load(words[1]) if len(words) == 2 else None
            if load is None or words[0] not in known_sites:
                message = (
                    f"{path}:{number}: expected a site of the operator's file "
                    f"({', '.join(sorted(known_sites))}) and its load in cores, got {line.strip()}"
                )
                raise click.UsageError(message)
            loads[words[0]] = max(load, loads.get(words[0], 0.0))
    return loads


def parse_load(word: str) -> float | None:
    """Returns a load in cores; None for an invalid word."""
    try:
        load = float(word)
    except ValueError:
        return None
    return load if 0 <= load < MAX_SITE_LOAD else None


@sites.command()
@running_file_option
@click.option(
    "--lose",
    multiple=True,
    metavar="SITE[:PART]",
    help="site to lose, or the share PART of it; repeat for sites that are lost together",
)
@click.option(
    "--load",
    "capture",
    type=click.Path(exists=True, dir_okay=False),
    help="lines of SITE LOAD, in place of the loads in the operator's file",
)
@click.option(
    "--report",
    type=click.Path(file_okay=False),
    help="directory for an HTML page with a chart and a Parquet file",
)
@json_option
def plan(
    operator_file: str,
    lose: tuple[str, ...],
    capture: str | None,
    report: str | None,
    as_json: bool,
) -> None:
    """Compute the failover plan for the loss of sites, and whether the plan holds.

    A plan shows the sites that take the load, the rejected requests and the binding constraint.
    Without --lose, there is a plan for each loss that the file requires to be survivable.

    Exit codes: 0 the plan holds for each such loss, 2 the file or an option is invalid, 3 the plan
    does not hold for one of these losses.
    """
    config = require_block(operator_file, "sites")
    loads = read_loads(capture, config) if capture else {}
    descriptions, survivable = evaluate_losses(config, loads, parse_losses(lose, config))
    if as_json:
        print(json.dumps(descriptions[0] if lose else descriptions, indent=2))
    else:
        for description in descriptions:
            print(format_plan(description))
    if report is not None:
        write_report(report, descriptions)
    sys.exit(0 if survivable else EXIT_NOT_SURVIVABLE)


def evaluate_losses(
    config: FailoverConfig, loads: dict[str, float], chosen_losses: dict[str, float]
) -> tuple[list[dict[str, Any]], bool]:
    """Computes the plan for the chosen losses; without any, a plan for each required failure.

    The operator's file states which failures are required to be survivable.

    Returns:
        The descriptions of the plans, and whether all required failures among them are survivable.
    """
    from lilacwalk.failover.plan_report import describe_plan
    from lilacwalk.failover.planner import configured_capacities, plan_failover, required_failures

    capacities = configured_capacities(config)
    for name, load in loads.items():
        capacities[name] = replace(capacities[name], load=load)
    required = [frozenset(names) for names in required_failures(config)]
    scenarios = (
        [chosen_losses]
        if chosen_losses
        else [dict.fromkeys(names, 1.0) for names in required_failures(config)]
    )
    descriptions = []
    survivable = True
    for losses in scenarios:
        failover_plan = plan_failover(config, capacities, losses)
        descriptions.append(describe_plan(config, capacities, failover_plan))
        if frozenset(losses) in required:
            survivable = survivable and failover_plan.is_sufficient
    return descriptions, survivable


def write_report(directory: str, descriptions: list[dict[str, Any]]) -> None:
    """Writes the HTML report; if a library is not installed, exits with code 2."""
    from lilacwalk.experiments.site_report import write_table_and_page

    try:
        print(f"report={write_table_and_page(directory, descriptions)}", file=sys.stderr)
    except ImportError as error:
        exit_unusable(f"lilacwalk: {error}: run pip install 'lilacwalk[experiments]'")


def format_bar(share: float, width: int = 30) -> str:
    """Returns a bar of `width` characters that is filled up to the share."""
    return ("#" * round(min(1.0, share) * width)).ljust(width, ".")


def format_plan(description: dict[str, Any]) -> str:
    """Returns a plan as lines: the result, then sites, request classes and shared dependencies."""
    lines = [
        f"loss of {' and '.join(description['lost'])}: "
        f"{'plan holds' if description['holds'] else 'plan DOES NOT HOLD'}, "
        f"binding constraint: {description['binding']}, more cores: {description['more_cores']}"
    ]
    shares = description["shares"]
    for name, utilisation in description["utilisation"].items():
        taken = f"  takes {shares[name]:.0%} of the lost load" if name in shares else ""
        lines.append(f"  {name:<14} {format_bar(utilisation)} {utilisation:4.0%}{taken}")
    for name, share in description["refused"].items():
        lines.append(f"  class {name:<14} rejected {share:.1%}")
    for name, calls in description["calls"].items():
        lines.append(
            f"  shared {name:<13} {calls['made']:g} of {calls['limit']:g} calls per second"
        )
    return "\n".join(lines)


def print_status(status: dict[str, Any], *, as_json: bool) -> None:
    """Prints the failover state of the running node."""
    if as_json:
        print(json.dumps(status, indent=2))
        return
    print(
        f"{status['name']} of {status['site']}: {status['conclusion']}, "
        f"takes failover traffic from {', '.join(status['stands_in_for']) or 'no site'}"
    )
    for site in status["sites"]:
        print_site(site)
    if status["guests"].get("active"):
        print_failover_traffic(status["guests"])
    if status["plan"] is not None:
        rejected = [
            f"{name} {share:.0%}" for name, share in status["plan"]["refused"].items() if share
        ]
        print(
            f"  plan: binding constraint {status['plan']['binding']}, "
            f"rejected: {', '.join(rejected) or 'none'}"
        )


def print_site(site: dict[str, Any]) -> None:
    """Prints a site's recovery stage, the share of its load that it takes, and its condition."""
    held = f", held for another {site['held_for_s']} s" if site["held_for_s"] else ""
    is_excluded = site["away_for_s"] and site["share"] < 1
    excluded = f", excluded for another {site['away_for_s']} s" if is_excluded else ""
    print(
        f"  {site['site']:<14} {site['stage']:<8} "
        f"{format_bar(site['share'], 20)} {site['share']:4.0%}  "
        f"{site['standing']}, {site['there']} of {site['known']} members reachable"
        f"{held}{excluded}: {site['why']}"
    )
    if site["stand_ins"]:
        print(f"  {'':<14} failover nodes: {', '.join(site['stand_ins'])}")


def print_failover_traffic(traffic: dict[str, Any]) -> None:
    """Prints the load offered to this node, and the rate and rejected share of each flow."""
    print(
        f"  this node: offered load {traffic['wanted']:g} cores, admitted up to {traffic['room']:g}"
    )
    for flow in traffic["flows"]:
        if flow["rate"]:
            print(
                f"    {flow['group']:<14} from {flow['from']:<12} {flow['rate']:8.1f} per second, "
                f"{flow['refused']:.0%} rejected"
            )


@sites.command()
@running_file_option
@json_option
def show(operator_file: str, as_json: bool) -> None:
    """Show each site's recovery stage, load share and the reason, as seen by the running node."""
    print_status(query_fleet(operator_file, "sites"), as_json=as_json)


def send_command(verb: str, operator_file: str, site: str, seconds: int) -> None:
    """Sends an operator command to the running node and prints the failover state after it."""
    print_status(query_fleet(operator_file, f"sites {verb} {site} {seconds}"), as_json=False)


seconds_option = click.option(
    "--for",
    "seconds",
    type=click.IntRange(1, 24 * 3600),
    default=600,
    show_default=True,
    help="seconds until the command expires",
)


@sites.command()
@running_file_option
@click.argument("site")
@seconds_option
def drain(operator_file: str, site: str, seconds: int) -> None:
    """Move all load off SITE, even if it is healthy. The command is gossiped to all members."""
    send_command("drain", operator_file, site, seconds)


@sites.command()
@running_file_option
@click.argument("site")
@seconds_option
def hold(operator_file: str, site: str, seconds: int) -> None:
    """Stop the recovery of SITE unless it is healthy. The command is gossiped to all members."""
    send_command("hold", operator_file, site, seconds)


@sites.command()
@running_file_option
@click.argument("site")
def release(operator_file: str, site: str) -> None:
    """End a drain or a hold of SITE. The command is gossiped to all members."""
    send_command("release", operator_file, site, RELEASE_SECONDS)
