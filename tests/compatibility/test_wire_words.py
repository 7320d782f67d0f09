"""Wire encodings and names in the settings and the deploy file equal those of an earlier version.

Other systems depend on them, so a rename in the code must not change them. The expected bytes and
values were generated with the version before the names in the code changed.
"""

import tomllib
from pathlib import Path

from lilacwalk.frontends.proxy_resp2 import WORDS_BY_STATUS
from lilacwalk.overload.model import (
    Effect,
    LoadReportKind,
    Outcome,
    Request,
    RequestClass,
    ServerSettings,
    StopMode,
)
from lilacwalk.protocols import dependency_codec, executor_codec, proxy_codec
from lilacwalk.requests.records import FinalStatus, IncomingRequest
from lilacwalk.settings import EFFECT_NAMES, decode_server_settings
from lilacwalk.simulator_adapter.instance import ServerInstance

ROOT = Path(__file__).parent.parent.parent
GAUGES = ["core_use", "on_cores"]


def test_executor_commands_keep_their_encoding():
    assert executor_codec.encode_open(7) == b"OPEN 7\r\n"
    assert executor_codec.encode_dispatch("a1", "read", b"xy") == b"SCHED a1 read 2\r\nxy\r\n"
    assert executor_codec.encode_cancel("a1") == b"PREEMPT a1\r\n"
    assert executor_codec.encode_call_result("a1", b"z") == b"IODONE a1 1\r\nz\r\n"
    assert executor_codec.encode_skip_call("a1", 7) == b"NOIO a1 7\r\n"
    assert executor_codec.encode_gauge_request("g1") == b"SYSINFO g1\r\n"


def test_executor_events_keep_their_encoding():
    def decode(line, body=None):
        return executor_codec.decode_event(line.split(), body, GAUGES)

    result = memoryview(b"ok")
    assert decode("REAP 2 a1 success 1 2", result) == executor_codec.ExecutionEnded(
        2, "a1", Outcome.OK, result
    )
    words = {"failure": Outcome.ERROR, "interrupted": Outcome.CANCELLED}
    for word, outcome in (words | {"nothing": Outcome.NOT_EXECUTED}).items():
        assert decode(f"REAP 2 a1 {word}").outcome is outcome
    call = memoryview(b"q")
    assert decode("IOREQ 3 a1 1", call) == executor_codec.CallRequested(3, "a1", call)
    reported = executor_codec.GaugesReported("g1", {"core_use": 0.5, "on_cores": 3.0})
    assert decode("INFO g1 0.5 3") == reported
    assert decode("BOOTED booting 12.5") == executor_codec.ExecutorBooted(True, 125)
    assert decode("BOOTED steady 12.5") == executor_codec.ExecutorBooted(False, 125)
    assert decode("EINVAL SCHED a1") == executor_codec.CommandRejected("SCHED", "a1")
    assert decode("DMESG 9") == executor_codec.ExecutorLogMessage(9)


def test_dependency_calls_and_outcomes_keep_their_encoding():
    assert dependency_codec.encode_call("a1", 30, b"q") == b"GET a1 30 1\r\nq\r\n"
    assert dependency_codec.OUTCOMES_BY_WORD == {
        "HIT": Outcome.OK,
        "SHED": Outcome.REJECTED,
        "BROKEN": Outcome.ERROR,
        "SLOW": Outcome.TIMED_OUT,
        "NOBODY": Outcome.NOT_EXECUTED,
    }


def test_proxy_requests_and_responses_keep_their_encoding():
    fields = b"i=00000000000000ab,t=acme,f=5,s=1000,d=250,h=1.5,m=8.0,p=0.5,r=1,o=sub,k=key"
    body = memoryview(b"body")
    parts = [memoryview(each) for each in (b"SUBMIT", b"1", b"read", fields)]
    assert proxy_codec.decode_submit([*parts, body], 2048) == IncomingRequest(
        id="00000000000000ab",
        class_name="read",
        tenant_name="acme",
        client=5,
        arrived_at=10_000,
        timeout=2_500,
        work_hint=15,
        memory_kb=8.0,
        is_retry=True,
        subject="sub",
        idempotency_key="key",
        body=body,
    )
    completed = proxy_codec.encode_response(3, b"done", "v=0.5000", b"hi")
    assert completed == b"*4\r\n$1\r\n3\r\n$4\r\ndone\r\n$8\r\nv=0.5000\r\n$2\r\nhi\r\n"
    rejected = proxy_codec.encode_response(3, b"later", "", b"", 1_234, True)
    assert rejected == b"*3\r\n$1\r\n3\r\n$5\r\nlater\r\n$11\r\nw=123.4,l=1\r\n"
    assert proxy_codec.encode_load_report(0.25) == "v=0.2500"
    assert WORDS_BY_STATUS == {
        FinalStatus.COMPLETED: b"done",
        FinalStatus.REJECTED: b"later",
        FinalStatus.FAILED: b"error",
    }


def test_decisions_sent_to_the_simulator_keep_their_encoding():
    request_class = RequestClass("a", 1.0, 10_000, 30_000)
    instance = ServerInstance("s1", ServerSettings(1, 2, 1e6, 4.0, [request_class]), 0)
    request = Request(request_class, 0, 0, 30_000, 1.0)
    instance.add_request({"rid": "r1"}, request)
    lines: list[str] = []
    instance.process_batch(0, [], lines)
    instance.dispatch(request)
    instance.reject(request)
    instance.reject(request, 1_234, True)
    instance.fail(request)
    instance.cancel(request)
    instance.coalesce(request)
    instance.register_key(request, 500)
    instance.release_key(request)
    instance.call_dependency(request, 1_000)
    instance.skip_dependency_call(request)
    instance.report_health(True)
    instance.report_load(0.5)
    instance.close_idle_connections(2_500)
    instance.set_timer(250)
    instance.log("text")
    assert lines == [
        "serve who=s1 rid=r1",
        "refuse who=s1 rid=r1",
        "refuse who=s1 rid=r1 cool_down_ms=123.4 give_up=1",
        "abort who=s1 rid=r1",
        "abort_work who=s1 rid=r1",
        "answer_from who=s1 rid=r1",
        "store_key who=s1 rid=r1 hold_for_ms=50.0",
        "unpin who=s1 rid=r1",
        "invoke who=s1 rid=r1 stop_at_ms=100.0",
        "go_on who=s1 rid=r1",
        "fitness who=s1 enable=1 shallow=1",
        "signal who=s1 amount=0.5000",
        "close_idle who=s1 hold_for_ms=250.0",
        "sleep who=s1 after_ms=25.0 ctx=1",
        "record who=s1 message=text",
    ]


def test_settings_keep_their_names():
    settings = {
        "classes": [
            {
                "name": "a",
                "aim_ms": 1800.0,
                "hard_limit_ms": 4600.0,
                "effect": "keyed",
                "worth": 2.0,
                "aim_stretch": 0.5,
                "late_worth": 0.25,
                "dedup_window_ms": 60000.0,
            }
        ],
        "parties": [{"name": "p", "allowance_per_s": 86.0}],
        "replicas_of_me": 12,
        "value_by": "work",
        "over_share_worth": 0.1,
        "quantum_ms": 2.0,
        "family_info": {
            "cpus": 6,
            "ram_kb": 1000.0,
            "run_factor": 2.5,
            "callers": 9,
            "key_kb": 1.5,
            "stop_mode": "pause",
            "advert": "min_rank",
            "below": "common",
            "call_share": 5.5,
            "calls_over_ms": 5000.0,
            "lingers_ms": 30.0,
            "just_started": True,
            "calls_by_class": [True],
            "class_skip_worth": [0.3],
        },
        "rules": {
            "cold_share": 0.2,
            "warm_up_ms": 6000.0,
            "tip_multiple": 8.0,
            "drain_grace_ms": 2000.0,
        },
        "limits": {"retry_after": True, "max_retry_after_ms": 1000.0},
    }
    server = decode_server_settings(settings, 7)
    request_class, tenant = server.request_classes[0], server.tenants[0]
    assert vars(request_class) == {
        "name": "a",
        "weight": 2.0,
        "latency_objective": 18_000,
        "timeout": 46_000,
        "effect": Effect.DEDUPLICATED,
        "objective_stretch": 0.5,
        "late_weight_share": 0.25,
        "deduplication_window": 600_000,
        "calls_dependency": True,
        "skipped_call_weight_share": 0.3,
    }
    assert vars(tenant) == {"name": "p", "quota": 86.0}
    plain = {
        name: value
        for name, value in vars(server).items()
        if name not in ("request_classes", "tenants")
    }
    assert plain == {
        "seed": 7,
        "cores": 6,
        "memory_kb": 1000.0,
        "running_memory_factor": 2.5,
        "fleet_size": 12,
        "client_count": 9,
        "deduplication_entry_kb": 1.5,
        "stop_mode": StopMode.PAUSE,
        "load_report_kind": LoadReportKind.MIN_RANK,
        "dependency_call_share": 5.5,
        "dependency_call_span": 50_000,
        "abandoned_call_linger": 300,
        "started_cold": True,
        "cold_capacity_share": 0.2,
        "warm_up_time": 60_000,
        "collapse_multiple": 8.0,
        "drain_grace_period": 20_000,
        "max_retry_after": 10_000,
        "over_quota_weight_share": 0.1,
        "weight_scales_with_work": True,
        "timer_quantum": 20,
    }


def test_displayed_effects_keep_their_names():
    assert EFFECT_NAMES == {
        Effect.IDEMPOTENT: "repeatable",
        Effect.DEDUPLICATED: "deduplicated",
        Effect.NON_IDEMPOTENT: "mutating",
    }


def test_deploy_file_keeps_its_keys_and_names_existing_paths():
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert list(deploy) == ["build", "run", "sim", "policy", "node", "packages"]
    assert all((ROOT / path).exists() for path in [*deploy["policy"], *deploy["node"]])
