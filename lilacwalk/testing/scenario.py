"""Fault-injection scenarios (drills): a script of faults between real processes, and the results expected of them.
Statements have the syntax of the operator file, one a line. Settings come first, then the steps in their order.

    members 12               number of members; they are named n0, n1, …
    sites recife natal       the members are divided equally among the sites, in this order
    probe-interval 200ms
    seeds 2                  number of members, from n0 on, that are the seed members of all
    seed 7                   seed of all random draws: `third`, loss, order
    store no                 members have no store (default: yes)
    kind serve               whole app servers with stand-in executors (default: run)
    announce yes             with kind serve: each member announces a service to a stand-in router of its own
    users 75%                app servers on the sites recife, caruaru and natal (r0, …, c0, …, n0, …) with a
                             failover plan, and users whose load is this share of the capacity of all sites
    users-late 500ms         time after which a changed announcement takes effect on the users' requests
    shared 100               with users: swap requests call a dependency of all sites that can bear this number of
                             calls per second
    guest-worth 20%          with users: the benefit of failover traffic relative to that of home traffic
    kept refused             with users: each member has an effect log; the treatment of requests while it cannot
                             persist effects (refused or marked)

    start WHO                kill WHO             stop WHO             continue WHO
    leave WHO                tell STATE WHO       fill WHO             empty WHO
    cut WHO [from WHO]       both directions      mute WHO [to WHO]    one direction: datagrams of WHO
    loss 30% WHO             delay 20ms WHO       heal                 wait 2s
    unplug WHO               cuts the whole link, that to the router too; `heal` restores it
    clock -24h WHO           sets the clock's offset (24h: ahead, 0s: correct again)
    lose WHO                 power failure: ends process and executor    back WHO
    slow WHO 3               makes requests on WHO take longer by a factor
    slow-shared 4            makes calls to the shared dependency take longer by a factor
    order drain SITE 60s     an operator's order: drain, hold or release

    expect settled [WHO] within 10s
    expect health WORD WHO within 8s              in the view of all running members outside of WHO
    expect conclusion WORD WHO within 8s
    expect store WORD WHO within 8s
    expect disk WORD WHO within 8s                in the view of all running members: kept, full, …
    expect announced|withdrawn WHO within 8s      according to the routes of their own routers
    expect stage WORD SITE within 8s              in the view of all running members on other sites
    expect stood-in|home SITE within 8s           some, or no, node of another site announces its service
    expect service 95% [SITE] within 10s          share of the offered benefit, over the last two seconds
    hold WORD WHO 5s                              no running member reports another health in this time
    hold service 80% [SITE] 5s                    share of the offered benefit, over this time
    hold denied 5% CLASS 5s                       at most this share of a request class, over this time
    hold calls 110% 5s                            at most this share of the calls that the dependency can bear
    hold once                                     no effect was applied twice so far

WHO: names of members or sites, all, third (a third of the members, drawn once), rest (the members not in third)."""

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

SECOND = 10_000
HEALTHS = ("alive", "suspect", "dead", "left", "unknown")
DISKS = ("kept", "full", "read-only", "slow", "failed", "refused", "opening")
CONCLUSIONS = ("alone", "minority", "whole", "unsure")
STORES = ("off", "opening", "kept", "not-kept")
STAGES = tuple(each.value for each in RecoveryStage)
STATES = ("cold", "warming", "ready", "sick", "standing-still", "leaving")
ORDERS = ("drain", "hold", "release")
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
WITH_USERS = (
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
WITH_ROUTERS = ("announced", "withdrawn", "unplug")
SERVICE_WINDOW_SECONDS = 2  # one second has too few requests of the rarest class
MAX_MEMBERS = 64  # processes of 18 MB each on one machine


class BadScriptError(Exception):
    """The script has errors; the message lists them, one a line, as `FILE:LINE: word: expected …`."""


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a script; `verb` selects the method `ScenarioRun.do_…` that carries it out."""

    line: int
    text: str
    verb: str
    who: tuple[str, ...] = ()
    other: tuple[str, ...] = ()
    word: str = ""
    time: float = 0.0  # seconds
    # the percentage of `loss`, `service`, `denied` and `calls` as a fraction, or the factor of `slow`, `slow-shared`
    share: float = 0.0


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
    users: float = 0.0  # share of the capacity of all sites; 0: no users
    users_late: float = 0.5  # seconds
    kept: str = ""  # treatment of requests while effects cannot be persisted: `refused`, `marked`; empty: no effect log
    shared: int = 0  # calls per second; 0: no shared dependency
    guest_worth: float = 1.0
    steps: list[Step] = field(default_factory=list)

    @property
    def names(self) -> list[str]:
        if not self.users:
            return [f"n{at}" for at in range(self.members)]
        return [f"{site[0]}{at}" for site in SITES for at in range(self.members // len(SITES))]

    def site_of(self, at: int) -> str:
        return self.sites[at * len(self.sites) // self.members]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether an expectation held, after how many seconds, and the deviation or value that was found."""

    step: Step
    held: bool
    took: float
    found: str = ""


def read(path: str) -> Script:
    """Reads a script. Raises BadScriptError with all its errors."""
    try:
        statements, faults = parse_statements(read_text(path))
    except UnusableFileError as error:
        raise BadScriptError(str(error)) from None
    found = [(fault.line, fault.word, fault.expected) for fault in faults]
    script = Script(path)
    for each in statements:
        try:
            if each.block is not None:
                raise WordError(each.keyword, "a statement without a block")
            if not apply_setting(script, each):
                script.steps.append(parse_step(each))
        except WordError as error:
            found.append((each.line, error.word, error.expected))
    if script.users:
        script.sites, script.kind = SITES, "serve"
        if script.members % len(SITES):
            found.append((1, "members", f"a multiple of {len(SITES)} in a script with users"))
    if script.announce and script.kind != "serve":
        found.append((1, "announce", "kind serve in the script"))
    known = {*script.names, *script.sites, "all", "third", "rest"}
    for each in script.steps:
        found += [
            (each.line, name, "a member, a site, all, third or rest")
            for name in (*each.who, *each.other)
            if name not in known
        ]
        if each.verb in WITH_USERS and not script.users:
            found.append((each.line, each.verb, "a script with users"))
        if each.verb in ("slow_shared", "hold_calls") and not script.shared:
            found.append((each.line, each.verb, "a script with a shared dependency"))
        if each.verb in WITH_ROUTERS and not (script.users or script.announce):
            found.append((each.line, each.verb, "a script with users, or announce yes"))
    if len(script.sites) > script.members:
        found.append((1, "sites", f"at most as many sites as members, {script.members}"))
    if found:
        raise BadScriptError(
            "\n".join(
                f"{path}:{line}: {word}: expected {expected}"
                for line, word, expected in sorted(found)
            )
        )
    return script


class WordError(Exception):
    """A word of a statement is wrong; `expected` describes the allowed words."""

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


def apply_setting(script: Script, each: Statement) -> bool:
    """Applies a settings line to the script; returns false if the statement is not one."""
    if each.keyword not in SETTINGS:
        return False
    if script.steps:
        raise WordError(each.keyword, "all settings before the first step")
    if not each.words:
        raise WordError(each.keyword, "a value after the keyword")
    word = each.words[0]
    if each.keyword == "sites":
        script.sites = tuple(each.words)
    elif each.keyword == "probe-interval":
        script.interval_ms = int(parse_seconds(word) * 1000)
    elif each.keyword == "store":
        script.store = one_of(word, ("yes", "no")) == "yes"
    elif each.keyword == "announce":
        script.announce = one_of(word, ("yes", "no")) == "yes"
    elif each.keyword == "users":
        script.users = parse_percent(word)
    elif each.keyword == "guest-worth":
        script.guest_worth = max(0.01, min(1.0, parse_percent(word)))
    elif each.keyword == "kept":
        script.kept = one_of(word, ("refused", "marked"))
    elif each.keyword == "users-late":
        script.users_late = parse_seconds(word)
    elif each.keyword == "kind":
        script.kind = one_of(word, ("run", "serve"))
    else:
        max_value = MAX_MEMBERS if each.keyword not in ("seed", "shared") else 1 << 31
        if not word.isdecimal() or not 1 <= int(word) <= max_value:
            raise WordError(word, f"a whole number from 1 to {max_value}")
        setattr(script, each.keyword, int(word))
    return True


def parse_seconds(word: str) -> float:
    try:
        return parse_duration(word) / SECOND
    except ValueError as error:
        raise WordError(word, str(error)) from None


def parse_percent(word: str) -> float:
    number = word.removesuffix("%")
    if not word.endswith("%") or not number.isdecimal() or int(number) > 200:
        raise WordError(word, "a percentage from 0% to 200%, such as 30%")
    return int(number) / 100


def one_of(word: str, words: tuple[str, ...]) -> str:
    if word not in words:
        raise WordError(word, "one of " + ", ".join(words))
    return word


def require_names(words: list[str], verb: str) -> tuple[str, ...]:
    if not words:
        raise WordError(verb, "names of members or sites, all, third or rest")
    return tuple(words)


def split_at(words: list[str], word: str) -> tuple[list[str], list[str]]:
    """The words before and after `word`."""
    at = words.index(word) if word in words else len(words)
    return words[:at], words[at + 1 :]


def parse_step(each: Statement) -> Step:
    line, text, verb, words = each.line, str(each), each.keyword, list(each.words)
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
        who, other = split_at(words, "from" if verb == "cut" else "to")
        return Step(line, text, verb, require_names(who, verb), tuple(other))
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
    raise WordError(verb, "a setting, or a step with its words: " + ", ".join(VERBS))


def parse_wait(line: int, text: str, words: list[str]) -> Step:
    return Step(line, text, "wait", time=parse_seconds(words[0]))


def parse_delay(line: int, text: str, words: list[str]) -> Step:
    return Step(
        line, text, "delay", require_names(words[1:], "delay"), time=parse_seconds(words[0])
    )


def parse_loss(line: int, text: str, words: list[str]) -> Step:
    return Step(
        line,
        text,
        "loss",
        require_names(words[1:], "loss"),
        share=min(1.0, parse_percent(words[0])),
    )


def parse_clock(line: int, text: str, words: list[str]) -> Step:
    sign = -1 if words[0].startswith("-") else 1
    return Step(
        line,
        text,
        "clock",
        require_names(words[1:], "clock"),
        time=sign * parse_seconds(words[0].lstrip("-")),
    )


def parse_slow(line: int, text: str, words: list[str]) -> Step:
    if not words[-1].replace(".", "", 1).isdecimal() or not float(words[-1]):
        raise WordError(words[-1], "a factor above 0, such as 3")
    return Step(line, text, "slow", require_names(words[:-1], "slow"), share=float(words[-1]))


def parse_slow_shared(line: int, text: str, words: list[str]) -> Step:
    return replace(parse_slow(line, text, ["shared", *words[-1:]]), verb="slow_shared", who=())


def parse_order(line: int, text: str, words: list[str]) -> Step:
    if len(words) != 3:
        raise WordError("order", "three words after it: drain, hold or release, a site and a time")
    return Step(
        line,
        text,
        "order",
        (words[1],),
        word=one_of(words[0], ORDERS),
        time=parse_seconds(words[2]),
    )


def parse_tell(line: int, text: str, words: list[str]) -> Step:
    return Step(line, text, "tell", require_names(words[1:], "tell"), word=one_of(words[0], STATES))


def parse_hold(line: int, text: str, words: list[str]) -> Step:
    if words == ["once"]:
        return Step(line, text, "hold_once")
    if words[0] in ("service", "denied") and len(words) > 2:
        share, rest, time_ = parse_percent(words[1]), words[2:-1], parse_seconds(words[-1])
        if words[0] == "service":
            return Step(line, text, "hold_service", tuple(rest), share=share, time=time_)
        if len(rest) != 1:
            raise WordError(" ".join(rest) or "denied", "exactly one request class and then a time")
        return Step(
            line, text, "hold_denied", word=one_of(rest[0], tuple(BENEFIT)), share=share, time=time_
        )
    if words[0] == "calls" and len(words) == 3:
        return Step(
            line, text, "hold_calls", share=parse_percent(words[1]), time=parse_seconds(words[2])
        )
    who, word = require_names(words[1:-1], "hold"), one_of(words[0], HEALTHS)
    return Step(line, text, "hold", who, word=word, time=parse_seconds(words[-1]))


def parse_expect(line: int, text: str, words: list[str]) -> Step:
    if len(words) < 3 or words[-2] != "within":
        raise WordError(
            words[-1], "`within` and a time at the end of the line, such as `within 8s`"
        )
    what, rest, within = words[0], words[1:-2], parse_seconds(words[-1])
    if what == "settled":
        return Step(line, text, "settled", tuple(rest), time=within)
    if what in ("announced", "withdrawn", "stood-in", "home"):
        return Step(line, text, what.replace("-", "_"), require_names(rest, what), time=within)
    if what == "service" and rest:
        return Step(
            line, text, "service", tuple(rest[1:]), share=parse_percent(rest[0]), time=within
        )
    table = {
        "health": HEALTHS,
        "conclusion": CONCLUSIONS,
        "store": STORES,
        "stage": STAGES,
        "disk": DISKS,
    }
    if what not in table or not rest:
        raise WordError(
            what,
            "settled, service, announced, withdrawn, stood-in or home; or health, "
            "conclusion, store, disk or stage, followed by the expected value",
        )
    return Step(
        line,
        text,
        what,
        require_names(rest[1:], what),
        word=one_of(rest[0], table[what]),
        time=within,
    )


class ScenarioRun:
    """Runs the steps of a script; the methods `do_…` carry out one kind of step each."""

    def __init__(
        self, script: Script, seed: int, keep: str | None, print_line: Callable[[str], None]
    ) -> None:
        self.script, self.print_line = script, print_line
        self.outage: Outage | None = None
        names = script.names
        if script.users:
            self.outage = Outage(
                script.members // len(SITES),
                load=script.users,
                seed=seed,
                route_delay=script.users_late,
                interval_ms=script.interval_ms,
                keep=keep,
                kept=script.kept,
                shared=script.shared,
                guest_worth=script.guest_worth,
            )
            self.rig = self.outage.rig
        else:
            self.rig = ProcessFleet(seed, script.interval_ms, script.kind, keep, script.store)
            for at, name in enumerate(names):
                made = self.rig.add(name, script.site_of(at), names[: script.seeds])
                if script.announce:
                    made.extra = self.rig.add_router(name, f"192.0.2.{at + 1}/32")
        self.third = set(random.Random(seed).sample(names, max(1, script.members // 3)))
        self.verdicts: list[Verdict] = []

    def names(self, who: tuple[str, ...]) -> list[str]:
        found = []
        for name, each in self.rig.processes.items():
            in_third = name in self.third
            if (
                name in who
                or each.site in who
                or "all" in who
                or ("third" if in_third else "rest") in who
            ):
                found.append(name)
        return found

    def run(self) -> list[Verdict]:
        for each in self.script.steps:
            self.print_line(f"{time.monotonic() - self.rig.began:8.2f} s  {each.text}")
            getattr(self, "do_" + each.verb)(each, self.names(each.who))
        return self.verdicts

    # Steps

    def do_start(self, step: Step, who: list[str]) -> None:
        if self.outage is not None and not self.outage.began:
            self.outage.start()
        else:
            self.rig.start(*who)

    def do_kill(self, step: Step, who: list[str]) -> None:
        self.rig.kill(*who)

    def do_stop(self, step: Step, who: list[str]) -> None:
        self.rig.stop(*who)

    def do_continue(self, step: Step, who: list[str]) -> None:
        self.rig.resume(*who)

    def do_leave(self, step: Step, who: list[str]) -> None:
        codes = self.rig.leave(*who)
        if any(codes):
            self.verdicts.append(
                Verdict(step, False, 0.0, f"exit codes {codes}, expected 0 from each")
            )

    def do_tell(self, step: Step, who: list[str]) -> None:
        for name in who:
            self.rig.tell(name, step.word)

    def do_fill(self, step: Step, who: list[str]) -> None:
        for name in who:
            self.rig.fill(name)

    def do_empty(self, step: Step, who: list[str]) -> None:
        for name in who:
            self.rig.fill(name, False)

    def others(self, step: Step, who: list[str]) -> list[str]:
        return self.names(step.other) or [name for name in self.rig.processes if name not in who]

    def do_cut(self, step: Step, who: list[str]) -> None:
        self.rig.cut(who, self.others(step, who))

    def do_mute(self, step: Step, who: list[str]) -> None:
        self.rig.cut(who, self.others(step, who), both=False)

    def do_loss(self, step: Step, who: list[str]) -> None:
        for name in who:
            self.rig.impair(name, loss=step.share)

    def do_delay(self, step: Step, who: list[str]) -> None:
        for name in who:
            self.rig.impair(name, delay=step.time)

    def do_heal(self, step: Step, who: list[str]) -> None:
        self.rig.heal()

    def do_wait(self, step: Step, who: list[str]) -> None:
        time.sleep(step.time)

    def do_unplug(self, step: Step, who: list[str]) -> None:
        self.rig.unplug(*who)

    def do_clock(self, step: Step, who: list[str]) -> None:
        for name in who:
            self.rig.set_clock(name, step.time)

    def do_lose(self, step: Step, who: list[str]) -> None:
        self.outage.lose(*who)

    def do_back(self, step: Step, who: list[str]) -> None:
        self.outage.bring_back(*who)

    def do_slow(self, step: Step, who: list[str]) -> None:
        self.outage.slowness.update(dict.fromkeys(who, step.share))

    def do_slow_shared(self, step: Step, who: list[str]) -> None:
        self.outage.dependency.slowness = step.share

    def do_order(self, step: Step, who: list[str]) -> None:
        name = next(name for name in self.rig.up())
        found = query(
            self.rig.processes[name].socket, f"sites {step.word} {step.who[0]} {int(step.time)}"
        )
        if "error" in found:
            self.record_verdict(Verdict(step, False, 0.0, found["error"]))

    # Expectations

    def do_settled(self, step: Step, who: list[str]) -> None:
        self.wait_until(
            step, lambda: "" if self.rig.settled(who or None) else self.view_deviation(who)
        )

    def do_health(self, step: Step, who: list[str]) -> None:
        self.wait_until(step, lambda: self.health_deviation(step.word, who))

    def do_conclusion(self, step: Step, who: list[str]) -> None:
        self.wait_until(step, lambda: self.state_deviation("conclusion", step.word, who))

    def do_store(self, step: Step, who: list[str]) -> None:
        self.wait_until(step, lambda: self.state_deviation("store", step.word, who))

    def do_announced(self, step: Step, who: list[str]) -> None:
        self.wait_until(step, lambda: self.route_deviation(who, True))

    def do_withdrawn(self, step: Step, who: list[str]) -> None:
        self.wait_until(step, lambda: self.route_deviation(who, False))

    def do_stage(self, step: Step, who: list[str]) -> None:
        self.wait_until(step, lambda: self.stage_deviation(step.who, step.word))

    def do_stood_in(self, step: Step, who: list[str]) -> None:
        self.wait_until(
            step,
            lambda: ""
            if all(map(self.outage.failover_nodes, step.who))
            else "no node of another site announces its service",
        )

    def do_home(self, step: Step, who: list[str]) -> None:
        self.wait_until(
            step,
            lambda: ", ".join(
                f"{name} announces the service of {site}"
                for site in step.who
                for name in self.outage.failover_nodes(site)
            ),
        )

    def do_service(self, step: Step, who: list[str]) -> None:
        first = self.outage.now

        # Only whole seconds after the begin of the step count. The most recent second is left out, as many of its
        # requests are not answered yet.
        def deviation() -> str:
            end = int(self.outage.now) - 1
            if end - SERVICE_WINDOW_SECONDS < first:
                return "too few seconds since the step"
            return self.service_deviation(end - SERVICE_WINDOW_SECONDS, end, step)

        self.wait_until(step, deviation)

    def do_hold_service(self, step: Step, who: list[str]) -> None:
        first, end = self.wait_for_window(step)
        found = self.service_deviation(first, end, step)
        self.record_verdict(
            Verdict(step, not found, step.time, found or f"{self.outage.share(first, end):.1%}")
        )

    def do_hold_denied(self, step: Step, who: list[str]) -> None:
        part = self.outage.denied(*self.wait_for_window(step), step.word)
        self.record_verdict(
            Verdict(step, part <= step.share, step.time, f"{part:.1%} of {step.word} denied")
        )

    def do_hold_calls(self, step: Step, who: list[str]) -> None:
        before, began = self.outage.dependency.calls_made, time.monotonic()
        time.sleep(step.time)
        rate = (self.outage.dependency.calls_made - before) / (time.monotonic() - began)
        part = rate * self.outage.dependency.slowness / self.outage.shared
        self.record_verdict(
            Verdict(
                step,
                part <= step.share,
                step.time,
                f"{part:.0%} of the calls that the dependency can bear: {rate:.0f} calls per second",
            )
        )

    def do_hold_once(self, step: Step, who: list[str]) -> None:
        self.record_verdict(
            Verdict(
                step,
                not self.outage.count_duplicate_effects(),
                0.0,
                f"{self.outage.count_duplicate_effects()} effects applied twice",
            )
        )

    def wait_for_window(self, step: Step) -> tuple[int, int]:
        """Waits for the time of the step; returns its first whole second and the one after its last.

        It also waits for one second more, after which most requests of the last second are answered.
        """
        first = int(self.outage.now) + 1
        end = first + max(1, int(step.time))
        while self.outage.now < end + 1:
            time.sleep(0.02)
        return first, end

    def do_disk(self, step: Step, who: list[str]) -> None:
        word = "" if step.word == "kept" else step.word
        self.wait_until(step, lambda: self.reported_deviation(who, "disk", word))

    def do_hold(self, step: Step, who: list[str]) -> None:
        began = time.monotonic()
        found = ""
        while not found and time.monotonic() - began < step.time:
            found = self.health_deviation(step.word, who)
            time.sleep(0.02)
        self.record_verdict(Verdict(step, not found, time.monotonic() - began, found))

    def wait_until(self, step: Step, deviation: Callable[[], str]) -> None:
        """Waits until `deviation` returns an empty text, at most for the time of the step."""
        began = time.monotonic()
        while (found := deviation()) and time.monotonic() - began < step.time:
            time.sleep(0.02)
        self.record_verdict(Verdict(step, not found, time.monotonic() - began, found))

    def record_verdict(self, verdict: Verdict) -> None:
        self.verdicts.append(verdict)
        self.print_line(
            f"{time.monotonic() - self.rig.began:8.2f} s  "
            + (f"held after {verdict.took:.2f} s" if verdict.held else f"NOT HELD: {verdict.found}")
        )

    # Descriptions of the deviation from the expectation; empty if there is none

    def service_deviation(self, first: int, end: int, step: Step) -> str:
        share = self.outage.share(first, end, step.who or SITES)
        return (
            ""
            if share >= step.share
            else f"{share:.1%} of the offered benefit, expected at least {step.share:.1%}"
        )

    def route_deviation(self, who: list[str], wanted: bool) -> str:
        return ", ".join(
            f"the router of {name} holds {'no' if wanted else 'a'} route"
            for name in who
            if bool(self.rig.processes[name].router.held) is not wanted
        )

    def stage_deviation(self, sites: tuple[str, ...], word: str) -> str:
        for name in self.rig.up():
            if self.rig.processes[name].site in sites:
                continue
            try:
                found = query(self.rig.processes[name].socket, "sites")
            except (OSError, ValueError):
                return f"{name} does not answer"
            for each in found.get("sites", []):
                if each["site"] in sites and each["stage"] != word:
                    return f"{name} reports that {each['site']} is {each['stage']} ({each['why']}), expected {word}"
        return ""

    def health_deviation(self, word: str, who: list[str]) -> str:
        reporters = [name for name in self.rig.up() if name not in who] or self.rig.up()
        for name, shown in self.rig.all_shown(reporters).items():
            if shown is None:
                return f"{name} does not answer"
            healths = {row["name"]: row["health"] for row in shown["members"]}
            for of in who:
                if of != name and (health := healths.get(of, "unknown")) != word:
                    return f"{name} reports that {of} is {health}, expected {word}"
        return ""

    def reported_deviation(self, who: list[str], field_: str, word: str) -> str:
        for name, shown in self.rig.all_shown().items():
            if shown is None:
                return f"{name} does not answer"
            for row in shown["members"]:
                if row["name"] in who and row[field_] != word:
                    return f"{name} reports that the {field_} of {row['name']} is {row[field_] or 'kept'}, expected {word or 'kept'}"
        return ""

    def state_deviation(self, field_: str, word: str, who: list[str]) -> str:
        for name, shown in self.rig.all_shown(who).items():
            if shown is None:
                return f"{name} does not answer"
            if shown[field_] != word:
                return (
                    f"{name} reports {field_} {shown[field_]} ({shown['reason']}), expected {word}"
                )
        return ""

    def view_deviation(self, who: list[str]) -> str:
        found = self.rig.all_shown(who or None)
        shown = [each for each in found.values() if each is not None]
        if not shown:
            return "no member answers"
        counts = [each["present"] for each in shown]
        digests = len({each["digest"] for each in shown})
        unsettled = sum(not each["settled"] for each in shown)
        return f"{digests} different views, {min(counts)} to {max(counts)} members present, {unsettled} views not settled"


def play(
    script: Script, seed: int | None = None, keep: str | None = None, quiet: bool = False, out=None
) -> bool:
    """Runs a script and prints its steps and verdicts; returns whether all expectations held."""
    out = out or sys.stdout

    def print_line(text: str) -> None:
        if not quiet:
            print(text, file=out, flush=True)

    scenario_run = ScenarioRun(script, script.seed if seed is None else seed, keep, print_line)
    try:
        verdicts = scenario_run.run()
    finally:
        (scenario_run.outage or scenario_run.rig).end()
    width = max([len(each.step.text) for each in verdicts], default=0)
    print_line(f"\n{'line':>4}  {'expected':<{width}}  took")
    for each in verdicts:
        print_line(
            f"{each.step.line:>4}  {each.step.text:<{width}}  {each.took:.2f} s"
            f"{'' if each.held else '  NOT HELD'}"
        )
    broken = [each for each in verdicts if not each.held]
    for each in broken:
        where = f"{script.path}:{each.step.line}"
        print(f"{where}: not held: {each.step.text}: {each.found}", file=out, flush=True)
    print(
        f"{len(verdicts) - len(broken)} of {len(verdicts)} expectations held", file=out, flush=True
    )
    return not broken
