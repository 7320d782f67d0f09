"""Decoding of settings from nested data and from the simulator's fields."""

import pytest

from lilacwalk.overload.model import Effect
from lilacwalk.settings import decode_server_settings
from lilacwalk.simulator_adapter import codec

NESTED = {
    "replicas_of_me": 12,
    "value_by": "work",
    "over_share_worth": 0.1,
    "classes": [{"name": "a", "aim_ms": 1800.0, "hard_limit_ms": 4600.0, "effect": "keyed"}],
    "parties": [{"name": "p", "allowance_per_s": 86.0}],
    "family_info": {
        "cpus": 6,
        "calls_by_class": [True],
        "class_skip_worth": [0.3],
        "below": "common",
        "call_share": 5.41,
        "just_started": True,
    },
    "rules": {"tip_multiple": 8.0},
    "limits": {"retry_after": True, "max_retry_after_ms": 1000.0},
}
FIELDS = (
    "nonce64=7 replicas_of_me=12 value_by=work over_share_worth=0.1 classes.count=1 "
    "classes.0.name=a classes.0.aim_ms=1800.0 classes.0.hard_limit_ms=4600.0 "
    "classes.0.effect=keyed parties.count=1 parties.0.name=p parties.0.allowance_per_s=86.0 "
    "family_info.cpus=6 family_info.below=common family_info.calls_by_class=true "
    "family_info.class_skip_worth=0.3 family_info.call_share=5.41 family_info.just_started=true "
    "rules.tip_multiple=8.0 limits.retry_after=true limits.max_retry_after_ms=1000.0"
)


def as_plain_data(server):
    """Returns the settings as a dict, whose values compare by content."""
    return vars(server) | {
        "request_classes": [vars(record) for record in server.request_classes],
        "tenants": [vars(record) for record in server.tenants],
    }


def test_nested_data_and_simulator_fields_give_the_same_settings():
    from_nested = as_plain_data(decode_server_settings(NESTED, 7))
    from_fields = as_plain_data(codec.decode_server_settings(codec.parse_fields(FIELDS.split(" "))))
    assert from_nested == from_fields
    assert from_nested["request_classes"][0]["calls_dependency"]
    assert from_nested["request_classes"][0]["skipped_call_weight_share"] == 0.3


@pytest.mark.parametrize(
    "fields", [{}, {"effect": "odd"}, {"effect": ""}, {"effect": None}, {"effect": 3}]
)
def test_a_request_class_with_a_missing_or_unknown_effect_is_non_idempotent(fields):
    settings = {"classes": [{"name": "a", "aim_ms": 1800.0, "hard_limit_ms": 4600.0} | fields]}
    assert decode_server_settings(settings, 7).request_classes[0].effect is Effect.NON_IDEMPOTENT
