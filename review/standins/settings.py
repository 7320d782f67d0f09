"""Settings of small deployments, in the form and with the names of the wire page.

The work, aims and deadlines of a site are scaled down, as the service page says of real sockets.
"""

SCALE = 0.2
RECIFE_SCALE = 0.1


def settings(
    classes: list[dict],
    calls: list[bool],
    *,
    cores: int,
    stop_mode: str,
    advert: str,
    tenants: list[str],
    grace_ms: float,
) -> dict:
    """The settings of one app server, warm, in a fleet of 16 behind 12 routers."""
    return {
        "classes": classes,
        "clients": {"marks_retry": False},
        "workload": "server",
        "family_info": {
            "below": "common",
            "callers": 12,
            "call_share": 12.0,
            "calls_over_ms": 5000.0,
            "calls_by_class": calls,
            "class_skip_worth": [0.0 for _ in classes],
            "just_started": False,
            "cpus": cores,
            "real_checks": True,
            "fresh_ms": 0.0,
            "gauges": ["core_use", "on_cores"],
            "stop_mode": stop_mode,
            "said_for_ms": 1000.0,
            "caller_idle_ms": 30000.0,
            "key_kb": 20.0,
            "lingers_ms": 200.0,
            "ram_kb": 40000.0,
            "passes_deadline": True,
            "readiness": False,
            "run_factor": 4.0,
            "advert": advert,
            "cancel_seen": True,
        },
        "feedback": {"fields": [], "how": "silent"},
        "limits": {
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 60000,
            "max_retry_after_ms": 1000.0,
            "retry_after": True,
        },
        "locality": "ste-foy",
        "areas": ["ste-foy", "levis", "charlesbourg"],
        "me": 0,
        "objective_mix": {
            "whole": 0.4,
            "worst_class": 0.1,
            "worst_tenant": 0.4,
            "worst_window": 0.1,
        },
        "over_share_worth": 0.05,
        "parties": [
            {"name": name, "allowance_per_s": 2000.0, "share": 1 / len(tenants)} for name in tenants
        ],
        "penalties": {
            "connection": 0.0,
            "handshake": 0.03,
            "late_fail": 0.08,
            "origin": 0.02,
            "waste": 0.16,
        },
        "quantum_ms": 2.0,
        "replicas_of_me": 16,
        "rules": {
            "answer_slack_ms": 100.0,
            "cold_share": 0.22,
            "drain_grace_ms": grace_ms,
            "fall_ms": 1500.0,
            "tip_multiple": 8.0,
            "warm_up_ms": 18000.0,
        },
        "tier": 0,
        "tiers": ["nodes"],
        "value_by": "request",
    }


def class_(
    name: str,
    effect: str,
    aim_ms: float,
    limit_ms: float,
    window_ms: float = 0.0,
    scale: float = SCALE,
) -> dict:
    """One class; `aim_ms` and `limit_ms` are those of the site, before scaling."""
    return {
        "name": name,
        "effect": effect,
        "aim_ms": aim_ms * scale,
        "hard_limit_ms": limit_ms * scale,
        "dedup_window_ms": window_ms,
        "late_worth": 0.2,
        "worth": 1.0,
    }


def quebec() -> dict:
    """Settings of roll-quebec."""
    return settings(
        [
            class_("file-read", "safe", 2900.0, 9800.0),
            class_("file-update", "keyed", 2400.0, 5900.0, 17562.0),
        ],
        [True, True],
        cores=2,
        stop_mode="pause",
        advert="min_rank",
        tenants=["groupe-laurentin", "tremblay-associes"],
        grace_ms=2000.0,
    )


def recife(mutating: tuple[str, ...] = ()) -> dict:
    """Settings of recife-main; a day may give a class another effect than the site does."""
    built = settings(
        [
            class_("eligibility", "safe", 1800.0, 4600.0, 5000.0, RECIFE_SCALE),
            class_("stock-check", "safe", 1800.0, 4600.0, 5000.0, RECIFE_SCALE),
            class_("swap-confirm", "safe", 1800.0, 4600.0, 5000.0, RECIFE_SCALE),
        ],
        [False, False, False],
        cores=6,
        stop_mode="drop",
        advert="tokens",
        tenants=["mar-azul", "casa-caju", "vila-linho"],
        grace_ms=2500.0,
    )
    for each in built["classes"]:
        each["effect"] = "unsafe" if each["name"] in mutating else each["effect"]
    built["classes"][2]["worth"] = 3.0
    built["rules"]["fall_ms"] = 2000.0
    return built
