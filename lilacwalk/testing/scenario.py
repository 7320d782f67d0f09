"""Fault-injection scenarios (drills): scripts of faults in a fleet of real processes.

A script has one statement a line, in the syntax of the operator file. Settings precede the steps,
and the steps are carried out in their order.

    members 12               number of members; they are named n0, n1, …
    sites recife natal       the members are divided equally among the sites, in this order
    probe-interval 200ms
    seeds 2                  number of members, from n0 on, that are the seed members of all
    seed 7                   seed of all random draws, such as that of `third` and of lost datagrams
    store no                 members have no store (default: yes)
    kind serve               whole app servers with stand-in executors (default: run)
    announce yes             with kind serve: each member announces a service to a stand-in router
                             of its own
    users 75%                app servers on the sites recife, caruaru and natal (r0, …, c0, …,
                             n0, …) with a failover plan, and users whose load is this share of the
                             capacity of all sites
    users-late 500ms         time until a changed announcement affects the users' requests
    shared 100               with users: swap requests call a dependency of all sites that can bear
                             this number of calls per second
    guest-worth 20%          with users: the benefit of failover traffic relative to home traffic
    kept refused             with users: each member has an effect log; the treatment of requests
                             while it cannot persist effects (refused or marked)

    start WHO                starts processes; with users, the first `start` starts all members and
                             then the users
    kill WHO                 kills processes
    stop WHO                 stops processes with SIGSTOP
    continue WHO             continues stopped processes
    leave WHO                ends processes with SIGTERM; their exit code must be 0
    tell STATE WHO           with kind run: the members report this state
    fill WHO                 simulates full disks
    empty WHO                ends the simulation of full disks
    cut WHO [from WHO]       cuts links in both directions
    mute WHO [to WHO]        cuts links in one direction: datagrams of WHO are lost
    loss 30% WHO             loses this share of the datagrams from and to WHO; replaces a delay
    delay 20ms WHO           delays the datagrams from and to WHO; replaces a loss
    unplug WHO               cuts all links of WHO, including that to its router
    heal                     restores all links and removes losses and delays
    wait 2s
    clock -24h WHO           sets the clock's offset (24h: ahead, 0s: correct again)
    lose WHO                 with users: power failure; ends processes and executors
    back WHO                 with users: starts processes again, with new executors
    slow WHO 3               with users: multiplies the execution time of requests on WHO
    slow-shared 4            with users: multiplies the time of calls to the shared dependency
    order drain SITE 60s     with users: an operator's order: drain, hold or release

    expect settled [WHO] within 10s
    expect health WORD WHO within 8s          in the view of all running members outside of WHO
    expect conclusion WORD WHO within 8s
    expect store WORD WHO within 8s
    expect disk WORD WHO within 8s            in the view of all running members: kept, full, …
    expect announced|withdrawn WHO within 8s  according to the routes of their own routers
    expect stage WORD SITE within 8s          in the view of all running members on other sites
    expect stood-in|home SITE within 8s       some, or no, node of another site announces the
                                              service of SITE
    expect service 95% [SITE] within 10s      share of the offered benefit that is completed, over
                                              two seconds
    hold WORD WHO 5s                          no running member reports another health of WHO in
                                              this time
    hold service 80% [SITE] 5s                share of the offered benefit that is completed, over
                                              this time
    hold denied 5% CLASS 5s                   at most this share of a request class is denied, over
                                              this time
    hold calls 110% 5s                        at most this share of the calls that the dependency
                                              can bear, over this time
    hold once                                 no effect was applied twice so far

WHO: names of members or sites, all, third (a third of the members, drawn once) or rest (the members
not in third).
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lilacwalk.failover.recovery import RecoveryStage
from lilacwalk.operator.loader import UnusableFileError, read_text
from lilacwalk.operator.syntax import Statement, parse_statements
from lilacwalk.operator.units import parse_duration
from lilacwalk.protocols.admin_socket import query
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.site_outage import BENEFIT, SITES, Outage

SECOND = 10_000  # in the unit of `parse_duration`, 0.1 ms
HEALTHS = ("alive", "suspect", "dead", "left", "unknown")
DISKS = ("kept", "full", "read-only", "slow", "failed", "refused", "opening")
CONCLUSIONS = ("alone", "minority", "whole", "unsure")
STORES = ("off", "opening", "kept", "not-kept")
STAGES = tuple(stage.value for stage in RecoveryStage)
STATES = ("cold", "warming", "ready", "sick", "standing-still", "leaving")
ORDERS = ("drain", "hold", "release")
# first words of steps
VERBS = (
    "start",
    "kill",
    "stop",
    "continue",
    "leave",
    "tell",
    "fill",
    "empty",
    "cut",
    "mute",
    "loss",
    "delay",
    "heal",
    "wait",
    "unplug",
    "clock",
    "lose",
    "back",
    "slow",
    "slow-shared",
    "order",
    "expect",
    "hold",
)
# verbs of `Step` that need a script with users
VERBS_WITH_USERS = (
    "lose",
    "back",
    "slow",
    "order",
    "stage",
    "stood_in",
    "home",
    "service",
    "hold_service",
    "hold_denied",
    "hold_once",
    "slow_shared",
    "hold_calls",
)
# verbs of `Step` that need stand-in routers
VERBS_WITH_ROUTERS = ("announced", "withdrawn", "unplug")
SERVICE_WINDOW_SECONDS = 2  # one second has too few requests of the rarest class
MAX_MEMBERS = 64  # one process of 18 MB each, all on one machine


class BadScriptError(Exception):
    """A script is invalid; the message lists its errors as `FILE:LINE: word: expected …`."""


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a script, which the method of `ScenarioRun` named `do_` and `verb` carries out."""

    line: int
    text: str
    verb: str
    targets: tuple[str, ...] = ()  # the words of the first WHO
    peers: tuple[str, ...] = ()  # the words of the second WHO, in `cut` and `mute`
    word: str = ""  # an expected value, a state, a request class or an operator's order
    duration: float = 0.0  # seconds; in `clock` the offset
    # the percentage of `loss`, `service`, `denied` and `calls` as a fraction, or the factor of
    # `slow` and `slow-shared`
    factor: float = 0.0


@dataclass(slots=True)
class Script:
    """The settings and steps of a script; the module's documentation describes the settings."""

    path: str
    members: int = 12
    sites: tuple[str, ...] = ("recife",)
    interval_ms: int = 200
    seeds: int = 1
    seed: int = 1
    store: bool = True
    kind: str = "run"
    announce: bool = False
    user_load: float = 0.0  # share of the capacity of all sites; 0: no users
    route_delay: float = 0.5  # seconds
    # treatment of requests while effects cannot be persisted, `refused` or `marked`; empty: the
    # members have no effect log
    unpersisted_rule: str = ""
    shared: int = 0  # calls per second; 0: no shared dependency
    failover_benefit: float = 1.0  # relative to the benefit of home traffic
    steps: list[Step] = field(default_factory=list)

    @property
    def names(self) -> list[str]:
        """The names of the members, in the order of their creation."""
        if not self.user_load:
            return [f"n{index}" for index in range(self.members)]
        return [
            f"{site[0]}{index}" for site in SITES for index in range(self.members // len(SITES))
        ]

    def site_of(self, index: int) -> str:
        """The site of the member with this index in `names`."""
        return self.sites[index * len(self.sites) // self.members]


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of an expectation."""

    step: Step
    is_met: bool
    seconds: float  # duration of the check
    finding: str = ""  # the deviation from the expectation, or the measured value


def read(path: str) -> Script:
    """Reads a script; raises BadScriptError with all its errors if it is invalid."""
    try:
        statements, syntax_errors = parse_statements(read_text(path))
    except UnusableFileError as error:
        raise BadScriptError(str(error)) from None
    errors = [(error.line, error.word, error.expected) for error in syntax_errors]
    script = Script(path)
    for statement in statements:
        try:
            if statement.block is not None:
                raise WordError(statement.keyword, "a statement without a block")
            if not apply_setting(script, statement):
                script.steps.append(parse_step(statement))
        except WordError as error:
            errors.append((statement.line, error.word, error.expected))
    if script.user_load:
        script.sites, script.kind = SITES, "serve"
        if script.members % len(SITES):
            errors.append((1, "members", f"a multiple of {len(SITES)} in a script with users"))
    if script.announce and script.kind != "serve":
        errors.append((1, "announce", "kind serve in the script"))
    known_names = {*script.names, *script.sites, "all", "third", "rest"}
    for step in script.steps:
        errors += [
            (step.line, name, "a member, a site, all, third or rest")
            for name in (*step.targets, *step.peers)
            if name not in known_names
        ]
        if step.verb in VERBS_WITH_USERS and not script.user_load:
            errors.append((step.line, step.verb, "a script with users"))
        if step.verb in ("slow_shared", "hold_calls") and not script.shared:
            errors.append((step.line, step.verb, "a script with a shared dependency"))
        if step.verb in VERBS_WITH_ROUTERS and not (script.user_load or script.announce):
            errors.append((step.line, step.verb, "a script with users, or announce yes"))
    if len(script.sites) > script.members:
        errors.append((1, "sites", f"at most as many sites as members, {script.members}"))
    if errors:
        raise BadScriptError(
            "\n".join(
                f"{path}:{line}: {word}: expected {expected}"
                for line, word, expected in sorted(errors)
            )
        )
    return script


class WordError(Exception):
    """A word of a statement is invalid; `expected` describes the allowed words."""

    def __init__(self, word: str, expected: str) -> None:
        super().__init__(word)
        self.word, self.expected = word, expected


SETTINGS = (
    "members",
    "sites",
    "probe-interval",
    "seeds",
    "seed",
    "store",
    "kind",
    "announce",
    "users",
    "users-late",
    "kept",
    "shared",
    "guest-worth",
)


def apply_setting(script: Script, statement: Statement) -> bool:
    """Applies a setting to the script; returns false if the statement is not a setting."""
    if statement.keyword not in SETTINGS:
        return False
    if script.steps:
        raise WordError(statement.keyword, "this setting before the first step")
    if not statement.words:
        raise WordError(statement.keyword, "a value after the keyword")
    word = statement.words[0]
    if statement.keyword == "sites":
        script.sites = tuple(statement.words)
    elif statement.keyword == "probe-interval":
        script.interval_ms = int(parse_seconds(word) * 1000)
    elif statement.keyword == "store":
        script.store = require_one_of(word, ("yes", "no")) == "yes"
    elif statement.keyword == "announce":
        script.announce = require_one_of(word, ("yes", "no")) == "yes"
    elif statement.keyword == "users":
        script.user_load = parse_percent(word)
    elif statement.keyword == "guest-worth":
        script.failover_benefit = max(0.01, min(1.0, parse_percent(word)))
    elif statement.keyword == "kept":
        script.unpersisted_rule = require_one_of(word, ("refused", "marked"))
    elif statement.keyword == "users-late":
        script.route_delay = parse_seconds(word)
    elif statement.keyword == "kind":
        script.kind = require_one_of(word, ("run", "serve"))
    else:
        max_value = MAX_MEMBERS if statement.keyword not in ("seed", "shared") else 1 << 31
        if not word.isdecimal() or not 1 <= int(word) <= max_value:
            raise WordError(word, f"a whole number from 1 to {max_value}")
        setattr(script, statement.keyword, int(word))
    return True


def parse_seconds(word: str) -> float:
    """Returns a time such as 200ms in seconds; raises WordError."""
    try:
        return parse_duration(word) / SECOND
    except ValueError as error:
        raise WordError(word, str(error)) from None


def parse_percent(word: str) -> float:
    """Returns a percentage such as 30% as a fraction; raises WordError."""
    number = word.removesuffix("%")
    if not word.endswith("%") or not number.isdecimal() or int(number) > 200:
        raise WordError(word, "a percentage from 0% to 200%, such as 30%")
    return int(number) / 100


def require_one_of(word: str, words: tuple[str, ...]) -> str:
    """Returns `word`; raises WordError if it is not one of `words`."""
    if word not in words:
        raise WordError(word, "one of " + ", ".join(words))
    return word


def require_names(words: list[str], verb: str) -> tuple[str, ...]:
    """Returns `words`; raises WordError if there are none."""
    if not words:
        raise WordError(verb, "names of members or sites, all, third or rest")
    return tuple(words)


def split_at(words: list[str], word: str) -> tuple[list[str], list[str]]:
    """Returns the words before and after `word`; if it is missing, all words are before it."""
    index = words.index(word) if word in words else len(words)
    return words[:index], words[index + 1 :]


def parse_step(statement: Statement) -> Step:
    """Returns the step of a statement; raises WordError if the statement is no valid step."""
    line, text, verb, words = (
        statement.line,
        str(statement),
        statement.keyword,
        list(statement.words),
    )
    if verb in (
        "start",
        "kill",
        "stop",
        "continue",
        "leave",
        "fill",
        "empty",
        "unplug",
        "lose",
        "back",
    ):
        return Step(line, text, verb, require_names(words, verb))
    if verb in ("cut", "mute"):
        targets, peers = split_at(words, "from" if verb == "cut" else "to")
        return Step(line, text, verb, require_names(targets, verb), tuple(peers))
    if verb == "heal" and not words:
        return Step(line, text, verb)
    parsers = {
        "wait": parse_wait,
        "loss": parse_loss,
        "delay": parse_delay,
        "tell": parse_tell,
        "hold": parse_hold,
        "expect": parse_expect,
        "clock": parse_clock,
        "slow": parse_slow,
        "slow-shared": parse_slow_shared,
        "order": parse_order,
    }
    if verb in parsers and words:
        return parsers[verb](line, text, words)
    raise WordError(
        verb,
        "a setting, or a step's verb followed by the words that this step requires (heal: none); "
        "verbs: " + ", ".join(VERBS),
    )


def parse_wait(line: int, text: str, words: list[str]) -> Step:
    return Step(line, text, "wait", duration=parse_seconds(words[0]))


def parse_delay(line: int, text: str, words: list[str]) -> Step:
    return Step(
        line, text, "delay", require_names(words[1:], "delay"), duration=parse_seconds(words[0])
    )


def parse_loss(line: int, text: str, words: list[str]) -> Step:
    return Step(
        line,
        text,
        "loss",
        require_names(words[1:], "loss"),
        factor=min(1.0, parse_percent(words[0])),
    )


def parse_clock(line: int, text: str, words: list[str]) -> Step:
    sign = -1 if words[0].startswith("-") else 1
    return Step(
        line,
        text,
        "clock",
        require_names(words[1:], "clock"),
        duration=sign * parse_seconds(words[0].lstrip("-")),
    )


def parse_slow(line: int, text: str, words: list[str]) -> Step:
    if not words[-1].replace(".", "", 1).isdecimal() or not float(words[-1]):
        raise WordError(words[-1], "a factor above 0, such as 3")
    return Step(line, text, "slow", require_names(words[:-1], "slow"), factor=float(words[-1]))


def parse_slow_shared(line: int, text: str, words: list[str]) -> Step:
    return replace(parse_slow(line, text, ["shared", *words[-1:]]), verb="slow_shared", targets=())


def parse_order(line: int, text: str, words: list[str]) -> Step:
    if len(words) != 3:
        raise WordError(
            "order", "three words after `order`: drain, hold or release, a site and a time"
        )
    return Step(
        line,
        text,
        "order",
        (words[1],),
        word=require_one_of(words[0], ORDERS),
        duration=parse_seconds(words[2]),
    )


def parse_tell(line: int, text: str, words: list[str]) -> Step:
    return Step(
        line, text, "tell", require_names(words[1:], "tell"), word=require_one_of(words[0], STATES)
    )


def parse_hold(line: int, text: str, words: list[str]) -> Step:
    if words == ["once"]:
        return Step(line, text, "hold_once")
    if words[0] in ("service", "denied") and len(words) > 2:
        share, rest, duration = parse_percent(words[1]), words[2:-1], parse_seconds(words[-1])
        if words[0] == "service":
            return Step(line, text, "hold_service", tuple(rest), factor=share, duration=duration)
        if len(rest) != 1:
            raise WordError(" ".join(rest) or "denied", "exactly one request class and then a time")
        return Step(
            line,
            text,
            "hold_denied",
            word=require_one_of(rest[0], tuple(BENEFIT)),
            factor=share,
            duration=duration,
        )
    if words[0] == "calls" and len(words) == 3:
        return Step(
            line,
            text,
            "hold_calls",
            factor=parse_percent(words[1]),
            duration=parse_seconds(words[2]),
        )
    targets, word = require_names(words[1:-1], "hold"), require_one_of(words[0], HEALTHS)
    return Step(line, text, "hold", targets, word=word, duration=parse_seconds(words[-1]))


def parse_expect(line: int, text: str, words: list[str]) -> Step:
    if len(words) < 3 or words[-2] != "within":
        raise WordError(
            words[-1], "`within` and a time at the end of the line, such as `within 8s`"
        )
    subject, rest, within = words[0], words[1:-2], parse_seconds(words[-1])
    if subject == "settled":
        return Step(line, text, "settled", tuple(rest), duration=within)
    if subject in ("announced", "withdrawn", "stood-in", "home"):
        return Step(
            line, text, subject.replace("-", "_"), require_names(rest, subject), duration=within
        )
    if subject == "service" and rest:
        return Step(
            line, text, "service", tuple(rest[1:]), factor=parse_percent(rest[0]), duration=within
        )
    words_by_subject = {
        "health": HEALTHS,
        "conclusion": CONCLUSIONS,
        "store": STORES,
        "stage": STAGES,
        "disk": DISKS,
    }
    if subject not in words_by_subject or not rest:
        raise WordError(
            subject,
            "settled, service, announced, withdrawn, stood-in or home; or health, "
            "conclusion, store, disk or stage, followed by the expected value",
        )
    return Step(
        line,
        text,
        subject,
        require_names(rest[1:], subject),
        word=require_one_of(rest[0], words_by_subject[subject]),
        duration=within,
    )


class ScenarioRun:
    """A run of a script. The methods `do_…` carry out one kind of step each.

    `copy_to` names a directory to which the files and logs of the processes are copied at the end.
    """

    def __init__(
        self, script: Script, seed: int, copy_to: str | None, print_line: Callable[[str], None]
    ) -> None:
        self.script, self.print_line = script, print_line
        self.outage: Outage | None = None
        names = script.names
        if script.user_load:
            self.outage = Outage(
                script.members // len(SITES),
                load=script.user_load,
                seed=seed,
                route_delay=script.route_delay,
                interval_ms=script.interval_ms,
                copy_to=copy_to,
                unpersisted_rule=script.unpersisted_rule,
                dependency_rate=script.shared,
                failover_benefit=script.failover_benefit,
            )
            self.process_fleet = self.outage.process_fleet
        else:
            self.process_fleet = ProcessFleet(
                seed, script.interval_ms, script.kind, copy_to, script.store
            )
            for index, name in enumerate(names):
                process = self.process_fleet.add(name, script.site_of(index), names[: script.seeds])
                if script.announce:
                    process.extra_statements = self.process_fleet.add_router(
                        name, f"192.0.2.{index + 1}/32"
                    )
        self.third = set(random.Random(seed).sample(names, max(1, script.members // 3)))
        self.verdicts: list[Verdict] = []

    def member_names(self, targets: tuple[str, ...]) -> list[str]:
        """The names of the members that the words of a WHO select."""
        selected = []
        for name, process in self.process_fleet.processes.items():
            in_third = name in self.third
            if (
                name in targets
                or process.site in targets
                or "all" in targets
                or ("third" if in_third else "rest") in targets
            ):
                selected.append(name)
        return selected

    def run(self) -> list[Verdict]:
        """Carries out all steps; returns the verdicts on the expectations."""
        for step in self.script.steps:
            self.print_line(
                f"{time.monotonic() - self.process_fleet.created_at:8.2f} s  {step.text}"
            )
            getattr(self, "do_" + step.verb)(step, self.member_names(step.targets))
        return self.verdicts

    # Steps

    def do_start(self, step: Step, names: list[str]) -> None:
        if self.outage is not None and not self.outage.started_at:
            self.outage.start()
        else:
            self.process_fleet.start(*names)

    def do_kill(self, step: Step, names: list[str]) -> None:
        self.process_fleet.kill(*names)

    def do_stop(self, step: Step, names: list[str]) -> None:
        self.process_fleet.stop(*names)

    def do_continue(self, step: Step, names: list[str]) -> None:
        self.process_fleet.resume(*names)

    def do_leave(self, step: Step, names: list[str]) -> None:
        codes = self.process_fleet.leave(*names)
        if any(codes):
            self.verdicts.append(
                Verdict(step, False, 0.0, f"exit codes {codes}, expected 0 from each")
            )

    def do_tell(self, step: Step, names: list[str]) -> None:
        for name in names:
            self.process_fleet.send_state(name, step.word)

    def do_fill(self, step: Step, names: list[str]) -> None:
        for name in names:
            self.process_fleet.set_disk_full(name)

    def do_empty(self, step: Step, names: list[str]) -> None:
        for name in names:
            self.process_fleet.set_disk_full(name, False)

    def peer_names(self, step: Step, names: list[str]) -> list[str]:
        """The members of the second WHO; without one, all members not in `names`."""
        return self.member_names(step.peers) or [
            name for name in self.process_fleet.processes if name not in names
        ]

    def do_cut(self, step: Step, names: list[str]) -> None:
        self.process_fleet.cut(names, self.peer_names(step, names))

    def do_mute(self, step: Step, names: list[str]) -> None:
        self.process_fleet.cut(names, self.peer_names(step, names), both=False)

    def do_loss(self, step: Step, names: list[str]) -> None:
        for name in names:
            self.process_fleet.impair(name, loss=step.factor)

    def do_delay(self, step: Step, names: list[str]) -> None:
        for name in names:
            self.process_fleet.impair(name, delay=step.duration)

    def do_heal(self, step: Step, names: list[str]) -> None:
        self.process_fleet.heal()

    def do_wait(self, step: Step, names: list[str]) -> None:
        time.sleep(step.duration)

    def do_unplug(self, step: Step, names: list[str]) -> None:
        self.process_fleet.unplug(*names)

    def do_clock(self, step: Step, names: list[str]) -> None:
        for name in names:
            self.process_fleet.set_clock(name, step.duration)

    def do_lose(self, step: Step, names: list[str]) -> None:
        self.outage.power_off(*names)

    def do_back(self, step: Step, names: list[str]) -> None:
        self.outage.bring_back(*names)

    def do_slow(self, step: Step, names: list[str]) -> None:
        self.outage.slowdown_factors.update(dict.fromkeys(names, step.factor))

    def do_slow_shared(self, step: Step, names: list[str]) -> None:
        self.outage.dependency.slowdown_factor = step.factor

    def do_order(self, step: Step, names: list[str]) -> None:
        name = next(name for name in self.process_fleet.running_names())
        answer = query(
            self.process_fleet.processes[name].socket,
            f"sites {step.word} {step.targets[0]} {int(step.duration)}",
        )
        if "error" in answer:
            self.record_verdict(Verdict(step, False, 0.0, answer["error"]))

    # Expectations

    def do_settled(self, step: Step, names: list[str]) -> None:
        self.wait_until(
            step,
            lambda: "" if self.process_fleet.settled(names or None) else self.view_deviation(names),
        )

    def do_health(self, step: Step, names: list[str]) -> None:
        self.wait_until(step, lambda: self.health_deviation(step.word, names))

    def do_conclusion(self, step: Step, names: list[str]) -> None:
        self.wait_until(step, lambda: self.state_deviation("conclusion", step.word, names))

    def do_store(self, step: Step, names: list[str]) -> None:
        self.wait_until(step, lambda: self.state_deviation("store", step.word, names))

    def do_announced(self, step: Step, names: list[str]) -> None:
        self.wait_until(step, lambda: self.route_deviation(names, True))

    def do_withdrawn(self, step: Step, names: list[str]) -> None:
        self.wait_until(step, lambda: self.route_deviation(names, False))

    def do_stage(self, step: Step, names: list[str]) -> None:
        self.wait_until(step, lambda: self.stage_deviation(step.targets, step.word))

    def do_stood_in(self, step: Step, names: list[str]) -> None:
        self.wait_until(
            step,
            lambda: ""
            if all(map(self.outage.failover_nodes, step.targets))
            else "no node of another site announces its service",
        )

    def do_home(self, step: Step, names: list[str]) -> None:
        self.wait_until(
            step,
            lambda: ", ".join(
                f"{name} announces the service of {site}"
                for site in step.targets
                for name in self.outage.failover_nodes(site)
            ),
        )

    def do_service(self, step: Step, names: list[str]) -> None:
        started_at = self.outage.now  # seconds since the start of the users

        # Only whole seconds after the start of the step count. The most recent second is left out,
        # as many of its requests are not answered yet.
        def deviation() -> str:
            end = int(self.outage.now) - 1
            if end - SERVICE_WINDOW_SECONDS < started_at:
                return "too few whole seconds since the start of the step"
            return self.service_deviation(end - SERVICE_WINDOW_SECONDS, end, step)

        self.wait_until(step, deviation)

    def do_hold_service(self, step: Step, names: list[str]) -> None:
        first, end = self.wait_for_window(step)
        deviation = self.service_deviation(first, end, step)
        self.record_verdict(
            Verdict(
                step,
                not deviation,
                step.duration,
                deviation or f"{self.outage.benefit_ratio(first, end):.1%}",
            )
        )

    def do_hold_denied(self, step: Step, names: list[str]) -> None:
        ratio = self.outage.denied_ratio(*self.wait_for_window(step), step.word)
        self.record_verdict(
            Verdict(step, ratio <= step.factor, step.duration, f"{ratio:.1%} of {step.word} denied")
        )

    def do_hold_calls(self, step: Step, names: list[str]) -> None:
        count_before, started_at = self.outage.dependency.call_count, time.monotonic()
        time.sleep(step.duration)
        rate = (self.outage.dependency.call_count - count_before) / (time.monotonic() - started_at)
        ratio = rate * self.outage.dependency.slowdown_factor / self.outage.dependency_rate
        self.record_verdict(
            Verdict(
                step,
                ratio <= step.factor,
                step.duration,
                f"{ratio:.0%} of the calls that the dependency can bear: "
                f"{rate:.0f} calls per second",
            )
        )

    def do_hold_once(self, step: Step, names: list[str]) -> None:
        self.record_verdict(
            Verdict(
                step,
                not self.outage.count_duplicate_effects(),
                0.0,
                f"{self.outage.count_duplicate_effects()} effects applied twice",
            )
        )

    def wait_for_window(self, step: Step) -> tuple[int, int]:
        """Waits for the duration of the step, and until most of its requests are answered.

        This takes one second more. Returns the first whole second of the step and the second after
        its last one.
        """
        first = int(self.outage.now) + 1
        end = first + max(1, int(step.duration))
        while self.outage.now < end + 1:
            time.sleep(0.02)
        return first, end

    def do_disk(self, step: Step, names: list[str]) -> None:
        word = "" if step.word == "kept" else step.word
        self.wait_until(step, lambda: self.reported_deviation(names, "disk", word))

    def do_hold(self, step: Step, names: list[str]) -> None:
        started_at = time.monotonic()
        deviation = ""
        while not deviation and time.monotonic() - started_at < step.duration:
            deviation = self.health_deviation(step.word, names)
            time.sleep(0.02)
        self.record_verdict(Verdict(step, not deviation, time.monotonic() - started_at, deviation))

    def wait_until(self, step: Step, find_deviation: Callable[[], str]) -> None:
        """Waits until `find_deviation` returns an empty text, and records the verdict.

        The wait lasts at most for the duration of the step.
        """
        started_at = time.monotonic()
        while (deviation := find_deviation()) and time.monotonic() - started_at < step.duration:
            time.sleep(0.02)
        self.record_verdict(Verdict(step, not deviation, time.monotonic() - started_at, deviation))

    def record_verdict(self, verdict: Verdict) -> None:
        self.verdicts.append(verdict)
        self.print_line(
            f"{time.monotonic() - self.process_fleet.created_at:8.2f} s  "
            + (
                f"held after {verdict.seconds:.2f} s"
                if verdict.is_met
                else f"NOT HELD: {verdict.finding}"
            )
        )

    # Each of these methods describes the deviation from an expectation; the text is empty if there
    # is none.

    def service_deviation(self, first: int, end: int, step: Step) -> str:
        ratio = self.outage.benefit_ratio(first, end, step.targets or SITES)
        return (
            ""
            if ratio >= step.factor
            else f"{ratio:.1%} of the offered benefit, expected at least {step.factor:.1%}"
        )

    def route_deviation(self, names: list[str], is_expected: bool) -> str:
        return ", ".join(
            f"the router of {name} holds {'no' if is_expected else 'a'} route"
            for name in names
            if bool(self.process_fleet.processes[name].router.routes) is not is_expected
        )

    def stage_deviation(self, sites: tuple[str, ...], word: str) -> str:
        for name in self.process_fleet.running_names():
            if self.process_fleet.processes[name].site in sites:
                continue
            try:
                answer = query(self.process_fleet.processes[name].socket, "sites")
            except (OSError, ValueError):
                return f"{name} does not answer"
            for row in answer.get("sites", []):
                if row["site"] in sites and row["stage"] != word:
                    return (
                        f"{name} reports that {row['site']} is {row['stage']} ({row['why']}), "
                        f"expected {word}"
                    )
        return ""

    def health_deviation(self, word: str, names: list[str]) -> str:
        observers = [
            name for name in self.process_fleet.running_names() if name not in names
        ] or self.process_fleet.running_names()
        for name, view in self.process_fleet.all_views(observers).items():
            if view is None:
                return f"{name} does not answer"
            healths = {row["name"]: row["health"] for row in view["members"]}
            for subject in names:
                if subject != name and (health := healths.get(subject, "unknown")) != word:
                    return f"{name} reports that {subject} is {health}, expected {word}"
        return ""

    def reported_deviation(self, names: list[str], field_: str, word: str) -> str:
        for name, view in self.process_fleet.all_views().items():
            if view is None:
                return f"{name} does not answer"
            for row in view["members"]:
                if row["name"] in names and row[field_] != word:
                    return (
                        f"{name} reports that the {field_} of {row['name']} is "
                        f"{row[field_] or 'kept'}, expected {word or 'kept'}"
                    )
        return ""

    def state_deviation(self, field_: str, word: str, names: list[str]) -> str:
        for name, view in self.process_fleet.all_views(names).items():
            if view is None:
                return f"{name} does not answer"
            if view[field_] != word:
                return f"{name} reports {field_} {view[field_]} ({view['reason']}), expected {word}"
        return ""

    def view_deviation(self, names: list[str]) -> str:
        answers = self.process_fleet.all_views(names or None)
        views = [view for view in answers.values() if view is not None]
        if not views:
            return "no member answers"
        present_counts = [view["present"] for view in views]
        distinct_views = len({view["digest"] for view in views})
        unsettled_views = sum(not view["settled"] for view in views)
        return (
            f"{distinct_views} different views, {min(present_counts)} to {max(present_counts)} "
            f"members present, {unsettled_views} views not settled"
        )


def play(
    script: Script,
    seed: int | None = None,
    copy_to: str | None = None,
    quiet: bool = False,
    out=None,
) -> bool:
    """Runs a script and prints its steps and verdicts; returns whether all expectations are met.

    `seed` replaces the seed of the script. `copy_to` names a directory to which the files and logs
    of the processes are copied. With `quiet`, only the unmet expectations and the number of met
    expectations are printed.
    """
    out = out or sys.stdout

    def print_line(text: str) -> None:
        if not quiet:
            print(text, file=out, flush=True)

    scenario_run = ScenarioRun(script, script.seed if seed is None else seed, copy_to, print_line)
    try:
        verdicts = scenario_run.run()
    finally:
        (scenario_run.outage or scenario_run.process_fleet).end()
    width = max([len(verdict.step.text) for verdict in verdicts], default=0)
    print_line(f"\n{'line':>4}  {'expected':<{width}}  took")
    for verdict in verdicts:
        print_line(
            f"{verdict.step.line:>4}  {verdict.step.text:<{width}}  {verdict.seconds:.2f} s"
            f"{'' if verdict.is_met else '  NOT HELD'}"
        )
    unmet = [verdict for verdict in verdicts if not verdict.is_met]
    for verdict in unmet:
        where = f"{script.path}:{verdict.step.line}"
        print(f"{where}: not held: {verdict.step.text}: {verdict.finding}", file=out, flush=True)
    print(
        f"{len(verdicts) - len(unmet)} of {len(verdicts)} expectations held", file=out, flush=True
    )
    return not unmet
