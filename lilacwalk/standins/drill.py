"""A drill: a script of faults between real processes, with what is expected of them beside it. Statements
are those of the operator's own file, one a line; setting lines first, then steps in their order.

    members 12               how many; n0, n1, …
    sites recife natal       in equal parts, in this order
    probe-interval 200ms
    seeds 2                  the first so many are the seeds of all
    seed 7                   of what is drawn: `third`, loss, order
    store no                 nothing is kept (default: yes)
    kind serve               whole app servers with stand-in kernels (default: run)

    start WHO                kill WHO             stop WHO             continue WHO
    leave WHO                tell STATE WHO       fill WHO             empty WHO
    cut WHO [from WHO]       both ways            mute WHO [to WHO]    one way: what they send
    loss 30% WHO             delay 20ms WHO       heal                 wait 2s
    expect settled [WHO] within 10s
    expect health WORD WHO within 8s              by all who are up and not themselves in WHO
    expect conclusion WORD WHO within 8s
    expect store WORD WHO within 8s
    hold WORD WHO 5s                              nobody who is up says otherwise for so long

WHO: names, sites, all, third (drawn once), rest (all that are not third)."""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from lilacwalk.operator.reading import CannotReadError, read_text
from lilacwalk.operator.syntax import parse, Statement
from lilacwalk.operator.units import duration
from lilacwalk.standins.fleet import Rig

SECOND = 10_000
HEALTHS = ("alive", "suspect", "dead", "left", "unknown")
CONCLUSIONS = ("alone", "minority", "whole", "unsure")
STORES = ("off", "opening", "kept", "not-kept")
STATES = ("cold", "warming", "ready", "sick", "standing-still", "leaving")
VERBS = ("start", "kill", "stop", "continue", "leave", "tell", "fill", "empty", "cut", "mute", "loss",
         "delay", "heal", "wait", "expect", "hold")
MOST_MEMBERS = 64  # processes on one machine: of 18 MB each


class BadScriptError(Exception):
    """Every fault, one a line: FILE:LINE: word: expected …"""


@dataclass(frozen=True, slots=True)
class Step:
    line: int
    text: str
    verb: str
    who: tuple[str, ...] = ()
    other: tuple[str, ...] = ()
    word: str = ""
    time: float = 0.0  # seconds
    share: float = 0.0


@dataclass(slots=True)
class Script:
    path: str
    members: int = 12
    sites: tuple[str, ...] = ("recife",)
    interval_ms: int = 200
    seeds: int = 1
    seed: int = 1
    store: bool = True
    kind: str = "run"
    steps: list[Step] = field(default_factory=list)

    def site_of(self, at: int) -> str:
        return self.sites[at * len(self.sites) // self.members]


@dataclass(frozen=True, slots=True)
class Verdict:
    step: Step
    held: bool
    took: float
    found: str = ""


def read(path: str) -> Script:
    """Raises BadScriptError."""
    try:
        statements, faults = parse(read_text(path))
    except CannotReadError as error:
        raise BadScriptError(str(error)) from None
    found = [(fault.line, fault.word, fault.expected) for fault in faults]
    script = Script(path)
    for each in statements:
        try:
            if each.block is not None:
                raise WordError(each.keyword, "no block")
            if not setting(script, each):
                script.steps.append(step(each))
        except WordError as error:
            found.append((each.line, error.word, error.expected))
    known = {f"n{at}" for at in range(script.members)} | set(script.sites) | {"all", "third", "rest"}
    for each in script.steps:
        found += [(each.line, name, "a member, a site, all, third or rest")
                  for name in (*each.who, *each.other) if name not in known]
    if len(script.sites) > script.members:
        found.append((1, "sites", "no more sites than members"))
    if found:
        raise BadScriptError("\n".join(f"{path}:{line}: {word}: expected {expected}"
                                       for line, word, expected in sorted(found)))
    return script


class WordError(Exception):
    def __init__(self, word: str, expected: str) -> None:
        super().__init__(word)
        self.word, self.expected = word, expected


def setting(script: Script, each: Statement) -> bool:
    """Whether it was one."""
    if each.keyword not in ("members", "sites", "probe-interval", "seeds", "seed", "store", "kind"):
        return False
    if script.steps:
        raise WordError(each.keyword, "settings before the first step")
    if not each.words:
        raise WordError(each.keyword, "a word behind it")
    word = each.words[0]
    if each.keyword == "sites":
        script.sites = tuple(each.words)
    elif each.keyword == "probe-interval":
        script.interval_ms = int(seconds(word) * 1000)
    elif each.keyword == "store":
        script.store = one_of(word, ("yes", "no")) == "yes"
    elif each.keyword == "kind":
        script.kind = one_of(word, ("run", "serve"))
    else:
        most = MOST_MEMBERS if each.keyword != "seed" else 1 << 31
        if not word.isdecimal() or not 1 <= int(word) <= most:
            raise WordError(word, f"a whole number from 1 to {most}")
        setattr(script, each.keyword, int(word))
    return True


def seconds(word: str) -> float:
    try:
        return duration(word) / SECOND
    except ValueError as error:
        raise WordError(word, str(error)) from None


def one_of(word: str, words: tuple[str, ...]) -> str:
    if word not in words:
        raise WordError(word, "one of " + ", ".join(words))
    return word


def some(words: list[str], at: str) -> tuple[str, ...]:
    if not words:
        raise WordError(at, "who")
    return tuple(words)


def split_at(words: list[str], word: str) -> tuple[list[str], list[str]]:
    at = words.index(word) if word in words else len(words)
    return words[:at], words[at + 1:]


def step(each: Statement) -> Step:
    line, text, verb, words = each.line, str(each), each.keyword, list(each.words)
    if verb in ("start", "kill", "stop", "continue", "leave", "fill", "empty"):
        return Step(line, text, verb, some(words, verb))
    if verb in ("cut", "mute"):
        who, other = split_at(words, "from" if verb == "cut" else "to")
        return Step(line, text, verb, some(who, verb), tuple(other))
    if verb == "heal" and not words:
        return Step(line, text, verb)
    if verb in ("wait", "loss", "delay", "tell", "hold", "expect") and words:
        readers = {"wait": wait, "loss": loss, "delay": delay, "tell": tell, "hold": hold, "expect": expect}
        return readers[verb](line, text, words)
    raise WordError(verb, "a setting, or a step with its words: " + ", ".join(VERBS))


def wait(line: int, text: str, words: list[str]) -> Step:
    return Step(line, text, "wait", time=seconds(words[0]))


def delay(line: int, text: str, words: list[str]) -> Step:
    return Step(line, text, "delay", some(words[1:], "delay"), time=seconds(words[0]))


def loss(line: int, text: str, words: list[str]) -> Step:
    number = words[0].removesuffix("%")
    if not words[0].endswith("%") or not number.isdecimal() or int(number) > 100:
        raise WordError(words[0], "a share, as 30%")
    return Step(line, text, "loss", some(words[1:], "loss"), share=int(number) / 100)


def tell(line: int, text: str, words: list[str]) -> Step:
    return Step(line, text, "tell", some(words[1:], "tell"), word=one_of(words[0], STATES))


def hold(line: int, text: str, words: list[str]) -> Step:
    who, word = some(words[1:-1], "hold"), one_of(words[0], HEALTHS)
    return Step(line, text, "hold", who, word=word, time=seconds(words[-1]))


def expect(line: int, text: str, words: list[str]) -> Step:
    if len(words) < 3 or words[-2] != "within":
        raise WordError(words[-1], "within and a time at the end of the line")
    what, rest, within = words[0], words[1:-2], seconds(words[-1])
    if what == "settled":
        return Step(line, text, "settled", tuple(rest), time=within)
    table = {"health": HEALTHS, "conclusion": CONCLUSIONS, "store": STORES}
    if what not in table or not rest:
        raise WordError(what, "settled, health, conclusion or store, and what it should be")
    return Step(line, text, what, some(rest[1:], what), word=one_of(rest[0], table[what]), time=within)


class Playing:
    def __init__(self, script: Script, seed: int, keep: str | None, say: Callable[[str], None]) -> None:
        self.script, self.say = script, say
        self.rig = Rig(seed, script.interval_ms, script.kind, keep, script.store)
        names = [f"n{at}" for at in range(script.members)]
        for at, name in enumerate(names):
            self.rig.add(name, script.site_of(at), names[:script.seeds])
        self.third = set(random.Random(seed).sample(names, max(1, script.members // 3)))
        self.verdicts: list[Verdict] = []

    def names(self, who: tuple[str, ...]) -> list[str]:
        found = []
        for name, each in self.rig.processes.items():
            in_third = name in self.third
            if name in who or each.site in who or "all" in who or ("third" if in_third else "rest") in who:
                found.append(name)
        return found

    def run(self) -> list[Verdict]:
        for each in self.script.steps:
            self.say(f"{time.monotonic() - self.rig.began:8.2f} s  {each.text}")
            getattr(self, "do_" + each.verb)(each, self.names(each.who))
        return self.verdicts

    # Steps

    def do_start(self, step: Step, who: list[str]) -> None:
        self.rig.start(*who)

    def do_kill(self, step: Step, who: list[str]) -> None:
        self.rig.kill(*who)

    def do_stop(self, step: Step, who: list[str]) -> None:
        self.rig.stop(*who)

    def do_continue(self, step: Step, who: list[str]) -> None:
        self.rig.go_on(*who)

    def do_leave(self, step: Step, who: list[str]) -> None:
        codes = self.rig.leave(*who)
        if any(codes):
            self.verdicts.append(Verdict(step, False, 0.0, f"exit codes {codes}"))

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
            self.rig.weather(name, loss=step.share)

    def do_delay(self, step: Step, who: list[str]) -> None:
        for name in who:
            self.rig.weather(name, delay=step.time)

    def do_heal(self, step: Step, who: list[str]) -> None:
        self.rig.heal()

    def do_wait(self, step: Step, who: list[str]) -> None:
        time.sleep(step.time)

    # Expectations

    def do_settled(self, step: Step, who: list[str]) -> None:
        self.until(step, lambda: "" if self.rig.settled(who or None) else self.spread(who))

    def do_health(self, step: Step, who: list[str]) -> None:
        self.until(step, lambda: self.disagreeing(step.word, who))

    def do_conclusion(self, step: Step, who: list[str]) -> None:
        self.until(step, lambda: self.differing("conclusion", step.word, who))

    def do_store(self, step: Step, who: list[str]) -> None:
        self.until(step, lambda: self.differing("store", step.word, who))

    def do_hold(self, step: Step, who: list[str]) -> None:
        began = time.monotonic()
        found = ""
        while not found and time.monotonic() - began < step.time:
            found = self.disagreeing(step.word, who)
            time.sleep(0.02)
        self.judge(Verdict(step, not found, time.monotonic() - began, found))

    def until(self, step: Step, wrong: Callable[[], str]) -> None:
        began = time.monotonic()
        while (found := wrong()) and time.monotonic() - began < step.time:
            time.sleep(0.02)
        self.judge(Verdict(step, not found, time.monotonic() - began, found))

    def judge(self, verdict: Verdict) -> None:
        self.verdicts.append(verdict)
        self.say(f"{time.monotonic() - self.rig.began:8.2f} s  "
                 + (f"held after {verdict.took:.2f} s" if verdict.held else f"NOT HELD: {verdict.found}"))

    # What is wrong, in words; empty: nothing

    def disagreeing(self, word: str, who: list[str]) -> str:
        askers = [name for name in self.rig.up() if name not in who] or self.rig.up()
        for name, shown in self.rig.all_shown(askers).items():
            if shown is None:
                return f"{name} does not answer"
            healths = {row["name"]: row["health"] for row in shown["members"]}
            for of in who:
                if of != name and (health := healths.get(of, "unknown")) != word:
                    return f"{name} says {of} is {health}"
        return ""

    def differing(self, field_: str, word: str, who: list[str]) -> str:
        for name, shown in self.rig.all_shown(who).items():
            if shown is None:
                return f"{name} does not answer"
            if shown[field_] != word:
                return f"{name}: {shown[field_]} ({shown['reason']})"
        return ""

    def spread(self, who: list[str]) -> str:
        found = self.rig.all_shown(who or None)
        shown = [each for each in found.values() if each is not None]
        if not shown:
            return "nobody answers"
        counts = [each["present"] for each in shown]
        digests = len({each["digest"] for each in shown})
        unsettled = sum(not each["settled"] for each in shown)
        return f"{digests} views, {min(counts)} to {max(counts)} present, {unsettled} not settled"


def play(script: Script, seed: int | None = None, keep: str | None = None, quiet: bool = False,
         out=None) -> bool:
    """Whether all expectations held."""
    out = out or sys.stdout

    def say(text: str) -> None:
        if not quiet:
            print(text, file=out, flush=True)
    playing = Playing(script, script.seed if seed is None else seed, keep, say)
    try:
        verdicts = playing.run()
    finally:
        playing.rig.end()
    width = max([len(each.step.text) for each in verdicts], default=0)
    say(f"\n{'line':>4}  {'expected':<{width}}  took")
    for each in verdicts:
        say(f"{each.step.line:>4}  {each.step.text:<{width}}  {each.took:.2f} s"
            f"{'' if each.held else '  NOT HELD'}")
    broken = [each for each in verdicts if not each.held]
    for each in broken:
        where = f"{script.path}:{each.step.line}"
        print(f"{where}: not held: {each.step.text}: {each.found}", file=out, flush=True)
    print(f"{len(verdicts) - len(broken)} of {len(verdicts)} expectations held", file=out, flush=True)
    return not broken
