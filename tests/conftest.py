"""One app server with a fake host: a clock, a writer that remembers, and nothing that runs by itself."""

import pytest

from lilacwalk.decisions.controller import Controller, SWEEP
from lilacwalk.decisions.interface import AppServer, Effect, Ending, EndpointGroup, Exchange

GROUP = EndpointGroup("read", benefit=1.0, slo_time=10_000, async_timeout=30_000, window=50_000)


class FakeHost:
    def __init__(self, **server):
        server = {"seed": 1, "cores": 2, "memory_kb": 1e6, "run_factor": 4.0, "groups": [GROUP],
                  "tip_multiple": 4.0, "come_back_max": 10_000, "drain_grace": 10_000} | server
        self.server = AppServer(**server)
        self.now = 1_000_000
        self.did = []
        self.denied_at, self.not_elsewhere = {}, {}
        self.controller = Controller(self.server, self.now)
        self.round((self.controller.begin,))

    def __getattr__(self, name):  # every call of the Writer protocol is remembered as (name, *arguments)
        if name not in ("start", "deny", "terminate", "stop", "join", "keep", "drop_key", "call", "skip_call",
                        "health", "advise", "close_idle", "timer", "log"):
            raise AttributeError(name)

        def note(*arguments):
            self.did.append((name, *arguments))
            if name == "deny":
                self.denied_at[arguments[0]] = self.now
                self.not_elsewhere[arguments[0]] = arguments[2]
        return note

    def round(self, *calls):
        self.controller.round(self.now, list(calls), self)

    def arrive(self, group=None, ttl=30_000, **more):
        ex = Exchange(group or self.server.groups[0], more.pop("arrived", self.now), self.now, self.now + ttl,
                      more.pop("hold_kb", 10.0), **more)
        self.round((self.controller.arrive, ex))
        return ex

    def wait(self, time, core_use=1.0, run_queue=99.0):
        end = self.now + time
        while self.now + SWEEP <= end:
            self.now += SWEEP
            self.round((self.controller.timer, core_use, run_queue))
        self.now = end

    def finish(self, ex, ending=Ending.OK):
        self.round((self.controller.finished, ex, ending))

    def whats(self, name):
        return [act[1] if len(act) > 1 else None for act in self.did if act[0] == name]

    def answers(self, ex):
        return [act[0] for act in self.did if act[0] in ("deny", "terminate") and act[1] is ex]


@pytest.fixture
def host():
    return FakeHost()


@pytest.fixture
def make_host():
    return FakeHost


@pytest.fixture
def group():
    def make(**more):
        base = {"name": "g", "benefit": 1.0, "slo_time": 10_000, "async_timeout": 30_000, "window": 50_000}
        return EndpointGroup(**(base | more))
    return make


@pytest.fixture
def once(group):
    return group(name="once", effect=Effect.DEDUPLICATED)
