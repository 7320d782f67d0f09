"""Records of an experiment file.

The file has the syntax of the operator's file and is read by the same reader, for example:

    question "does admission control protect a fleet whose load exceeds its capacity?"
    scenario {
        servers 20
        load 0.8
        length 30s
        group look {
            share 0.6
            work 20ms
            slo 200ms
            timeout 2s
        }
        fault crash {
            at 10s
            time 5s
            share 0.3
        }
    }
    vary load {
        values 0.5 1 1.5 2
    }
    vary decides {
        values design fixed
    }
    seeds 5
    expect share {
        least 0.5
        when decides=design load=2
    }

Records have times in tenths of a ms. Field names are the keywords of the file; each `build`
converts a record to the type of the emulator that it describes. Each `faults` returns the errors
that involve several fields, as pairs of keyword and expected value; see `operator.block_reader`."""

from __future__ import annotations

from typing import Annotated, ClassVar

from msgspec import Meta, Struct

from lilacwalk.emulator.baselines import BASELINES_BY_NAME
from lilacwalk.emulator.faults import FAULT_KINDS
from lilacwalk.emulator.faults import Fault as SimulatedFault
from lilacwalk.emulator.proxies import CHOICES, RoutingBehavior
from lilacwalk.emulator.simulation import RequestClassSpec
from lilacwalk.emulator.simulation import Scenario as SimulatedScenario
from lilacwalk.membership.config import NAME

SECOND = 10_000  # tenths of a ms
MEASURES = (  # see `planner.compute_measures`
    "share",
    "worst",
    "after",
    "wasted",
    "tries",
    "denied",
    "breaches",
    "busy",
    "p_a",
    "calls",
)
VARIABLE_SETTINGS = (  # fields of `Scenario`; `faults`: whether faults are injected
    "load",
    "servers",
    "routers",
    "cores",
    "slots",
    "decides",
    "choice",
    "tries",
    "budget",
    "heeds",
    "marks",
    "returns",
    "late",
    "faults",
)
POLICIES = ("design", *BASELINES_BY_NAME)  # `design` is the real controller


def unit(name: str, **limits) -> Meta:
    """Returns a field's metadata: the unit of its value in the file, and limits of the value."""
    return Meta(extra={"unit": name}, **limits)


def one_of(words: tuple[str, ...]) -> Meta:
    """Returns the metadata of a field that accepts only these words."""
    return Meta(pattern="^(" + "|".join(words) + ")$")


Time = Annotated[int, unit("duration", ge=0, le=24 * 3600 * SECOND)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
Count = Annotated[int, Meta(ge=1, le=5_000)]


class Group(Struct, frozen=True, kw_only=True):
    """Block `group`: a request class.

    Attributes:
        name: name of the class.
        share: share of the requests, relative to the other classes.
        work: mean time on one core at full speed.
        slo: latency objective.
        timeout: time from the creation of a request to its deadline.
        benefit: weight of a request completed within the objective.
        effect: whether a request may run twice, see `EFFECTS_BY_NAME`.
        calls: whether a request calls the dependency.
        skip_benefit: fraction of the weight that a request has without its dependency call.
        spread: 0 for constant work, 1 for exponentially distributed work.
    """

    ARGUMENTS: ClassVar = ("name",)
    name: Annotated[str, Meta(pattern=NAME)]
    share: Fraction
    work: Annotated[int, unit("duration", ge=1, le=600 * SECOND)]
    slo: Annotated[int, unit("duration", ge=1, le=600 * SECOND)]
    timeout: Annotated[int, unit("duration", ge=1, le=600 * SECOND)]
    benefit: Positive = 1.0
    effect: Annotated[str, one_of(("repeatable", "deduplicated", "mutating"))] = "repeatable"
    calls: bool = False
    skip_benefit: Fraction = 0.0
    spread: Fraction = 1.0

    def build(self) -> RequestClassSpec:
        return RequestClassSpec(
            self.name,
            self.share,
            self.work,
            self.slo,
            self.timeout,
            self.benefit,
            self.effect,
            self.calls,
            self.skip_benefit,
            self.spread,
        )


class Fault(Struct, frozen=True, kw_only=True):
    """Block `fault`; see `emulator.faults.Fault`, whose attribute `duration` is `time` here."""

    ARGUMENTS: ClassVar = ("kind",)
    kind: Annotated[str, one_of(FAULT_KINDS)]
    at: Time
    time: Time
    share: Fraction = 0.1
    factor: Positive = 2.0
    site: str = ""

    def build(self) -> SimulatedFault:
        return SimulatedFault(self.kind, self.at, self.time, self.share, self.factor, self.site)


class Scenario(Struct, frozen=True, kw_only=True):
    """Block `scenario`; see `emulator.simulation.Scenario` for the fields not described here.

    A round is a series of attempts at one request by a router. It fails if an attempt fails and is
    not retried, or if no server can be attempted; the client may then repeat the request, which
    starts another round.

    Attributes:
        group: request classes.
        fault: faults to inject.
        cold: speed of a cold machine as a fraction of its full speed.
        come_back: maximum retry-after time of a rejection.
        choice: how routers choose a server, one of `emulator.proxies.CHOICES`: `random`, `two` (of
            two random servers, the one with fewer outstanding attempts), `least` (a server with
            the fewest outstanding attempts) or `subject` (by a hash of the request's subject).
        tries: maximum number of attempts per round.
        budget: retry tokens that a router gets per request.
        returns: how often a client repeats a request after a failed round.
        heeds: whether routers and clients obey retry-after times and `no_retry_elsewhere`.
        marks: whether retries are marked as such.
        late: age of the list of servers that routers use.
        decides: admission policy, one of POLICIES.
    """

    group: tuple[Group, ...]
    fault: tuple[Fault, ...] = ()
    servers: Count = 20
    routers: Count = 10
    sites: Annotated[tuple[str, ...], unit("words")] = ("recife",)
    cores: Annotated[int, Meta(ge=1, le=256)] = 4
    load: Annotated[float, Meta(ge=0.0, le=20.0)] = 0.8
    length: Annotated[int, unit("duration", ge=SECOND, le=3600 * SECOND)] = 30 * SECOND
    cold: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.5
    warm_up: Time = 5 * SECOND
    slots: Annotated[int, Meta(ge=0, le=100_000)] = 0
    call_time: Annotated[int, unit("duration", ge=1, le=60 * SECOND)] = 100
    come_back: Time = SECOND
    choice: Annotated[str, one_of(CHOICES)] = "two"
    tries: Annotated[int, Meta(ge=1, le=20)] = 3
    budget: Annotated[float, Meta(ge=0.0, le=10.0)] = 0.2
    returns: Annotated[int, Meta(ge=0, le=20)] = 1
    heeds: bool = True
    marks: bool = True
    late: Time = SECOND
    decides: Annotated[str, one_of(POLICIES)] = "design"

    def faults(self) -> list[tuple[str, str]]:
        """Returns the errors that involve several fields; see the module."""
        total_share = sum(group.share for group in self.group)
        problems = [] if total_share > 0 else [("group", "groups whose shares sum to more than 0")]
        problems += [
            ("fault", f"a time before the end of the scenario, {self.length / SECOND:g} s")
            for fault in self.fault
            if fault.at >= self.length
        ]
        problems += [
            ("fault", f"one of the sites {', '.join(self.sites)}, not {fault.site}")
            for fault in self.fault
            if fault.site and fault.site not in self.sites
        ]
        return problems

    def build(self) -> SimulatedScenario:
        behavior = RoutingBehavior(
            self.choice,
            self.tries,
            self.budget,
            self.marks,
            self.heeds,
            self.returns,
            list_delay=self.late,
        )
        return SimulatedScenario(
            tuple(group.build() for group in self.group),
            self.servers,
            self.routers,
            self.sites,
            self.cores,
            load=self.load,
            length=self.length,
            cold_speed=self.cold,
            warm_up=self.warm_up,
            slots=self.slots,
            call_time=self.call_time,
            max_retry_after=self.come_back,
            behavior=behavior,
            faults=tuple(fault.build() for fault in self.fault),
            policy=self.decides,
        )


class Vary(Struct, frozen=True, kw_only=True):
    """Block `vary`: a setting of the scenario, and the values to simulate.

    The setting `faults` has the values `yes` and `no`: with and without the faults of the scenario.
    """

    ARGUMENTS: ClassVar = ("what",)
    what: Annotated[str, one_of(VARIABLE_SETTINGS)]
    values: Annotated[tuple[str, ...], unit("words")]


class Expect(Struct, frozen=True, kw_only=True):
    """Block `expect`: bounds on the mean of a measure over the seeds.

    Attributes:
        measure: one of MEASURES.
        least: lower bound; None if there is none.
        most: upper bound; None if there is none.
        when: words NAME=VALUE; the bounds apply to the cells with all of these values.
    """

    ARGUMENTS: ClassVar = ("measure",)
    measure: Annotated[str, one_of(MEASURES)]
    least: float | None = None
    most: float | None = None
    when: Annotated[tuple[str, ...], unit("words")] = ()


class Experiment(Struct, frozen=True, kw_only=True):
    """An experiment file.

    Each combination of values of the settings in `vary` is simulated with the seeds 1 to `seeds`.
    """

    question: str
    scenario: Scenario
    vary: tuple[Vary, ...] = ()
    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 3
    expect: tuple[Expect, ...] = ()

    def faults(self) -> list[tuple[str, str]]:
        """Returns the errors that involve several fields; see the module."""
        names = [each.what for each in self.vary]
        problems = [
            ("vary", f"{name} once, not twice")
            for name in sorted(set(names))
            if names.count(name) > 1
        ]
        values_by_name = {each.what: each.values for each in self.vary}
        for expectation in self.expect:
            if expectation.least is None and expectation.most is None:
                problems.append(("expect", "least or most in this block"))
            for word in expectation.when:
                name, _, value = word.partition("=")
                if value not in values_by_name.get(name, ()):
                    problems.append(
                        (
                            "expect",
                            "when NAME=VALUE with a varied setting and one of its values, "
                            f"not {word}",
                        )
                    )
        return problems
