"""Import and export policy of a peer."""

import pytest

from lilacwalk.bgp.attributes import SEQUENCE, Attributes
from lilacwalk.bgp.config import BgpConfig
from lilacwalk.bgp.policy import PeerPolicy, Refused
from lilacwalk.bgp.prefixes import Prefix
from tests.bgp.conftest import THEM, US, announce_config, peer_block, route

PREFIX_10_1 = Prefix.of("10.1.0.0/16")
LISTS = """
    prefix-list ours {
        deny 10.1.2.0/24
        permit 10.0.0.0/8 ge 16 le 24
        permit 2001:db8::/32 le 48
    }
    policy through {
        term accept {
            prefix-list ours
            community 65020:7
            set-med 5
            set-local-preference 200
            add-communities 65010:1 65010:1:2
            remove-communities 65020:7
        }
        term reject {
            as-in-path 666
        }
        term accept {
            longest-path 2
            prepend 2
        }
    }
"""


def peer_policy(*peer, asn=THEM) -> PeerPolicy:
    config: BgpConfig = announce_config(LISTS + peer_block("127.0.0.1:1790", asn, *peer))
    return PeerPolicy(config, config.peer[0])


def test_first_matching_term_decides_and_changes_attributes():
    imported = peer_policy("import through").import_route(
        PREFIX_10_1, route(communities=(65020 << 16 | 7,))
    )
    assert (imported.med, imported.local_pref, imported.communities, imported.large) == (
        5,
        200,
        (65010 << 16 | 1,),
        ((65010, 1, 2),),
    )
    assert peer_policy("import through").import_route(
        PREFIX_10_1, route(as_path=((SEQUENCE, (THEM, 666)),))
    ) == Refused("policy through")
    assert peer_policy("import through").import_route(PREFIX_10_1, route()).as_path == (
        (SEQUENCE, (US, US, THEM)),
    )
    long = route(as_path=((SEQUENCE, (THEM, 5, 6)),))
    assert peer_policy("import through").import_route(PREFIX_10_1, long) == Refused(
        "policy through"
    )


@pytest.mark.parametrize(
    "prefix, permitted",
    [
        ("10.1.0.0/16", True),
        ("10.0.0.0/8", False),
        ("10.1.2.0/24", False),
        ("10.1.3.0/24", True),
        ("10.1.2.0/25", False),
        ("11.0.0.0/16", False),
        ("2001:db8::/32", True),
        ("2001:db8:1::/48", True),
        ("2001:db8:1::/49", False),
        ("0.0.0.0/0", False),
    ],
)
def test_first_matching_entry_of_a_prefix_list_decides(prefix, permitted):
    config = peer_policy("import through")
    assert config.import_policy.terms[0][1].permits(Prefix.of(prefix)) is permitted


@pytest.mark.parametrize(
    "attributes, reason",
    [
        (route(as_path=((SEQUENCE, (THEM, US)),)), "our own AS in the path"),
        (route(as_path=((SEQUENCE, (7,)),)), "the path does not begin with the peer's AS"),
        (route(as_path=()), "the path does not begin with the peer's AS"),
        (route(as_path=((SEQUENCE, (THEM,) * 256),)), "more than 255 AS numbers in the path"),
        (route(), "no import policy"),
    ],
)
def test_implausible_routes_and_those_without_an_import_policy_are_refused(attributes, reason):
    assert peer_policy().import_route(PREFIX_10_1, attributes) == Refused(reason)


def test_internal_peer_needs_no_import_policy_and_no_first_as():
    assert isinstance(peer_policy(asn=US).import_route(PREFIX_10_1, route(as_path=())), Attributes)


@pytest.mark.parametrize(
    "role, mark, result",
    [
        ("provider", 9, None),
        ("rs", 9, None),
        ("peer", 9, None),
        ("peer", THEM, THEM),
        ("peer", None, THEM),
        ("customer", None, THEM),
        ("customer", 9, 9),
        ("provider", None, None),
        ("rs-client", None, THEM),
    ],
)
def test_only_to_customer_reveals_a_leak_or_is_added_on_import(role, mark, result):
    imported = peer_policy(f"role {role}", "import through").import_route(
        PREFIX_10_1, route(only_to_customer=mark)
    )
    if mark == 9 and role != "customer":
        assert isinstance(imported, Refused) and "leak" in imported.reason
    else:
        assert imported.only_to_customer == result


@pytest.mark.parametrize(
    "role, mark", [("provider", US), ("peer", US), ("rs", US), ("customer", None)]
)
def test_only_to_customer_is_added_on_export_to_customers_peers_and_rs_clients(role, mark):
    assert peer_policy(f"role {role}").export_route(PREFIX_10_1, route(US)).only_to_customer == mark


def test_export_policy_rejects_routes_and_local_preference_is_sent_to_internal_peers_only():
    assert (
        peer_policy("export through")
        .export_route(Prefix.of("10.1.2.0/24"), route(US, local_pref=9))
        .local_pref
        is None
    )
    assert (
        peer_policy("export through").export_route(
            PREFIX_10_1, route(US, as_path=((SEQUENCE, (US, 666)),))
        )
        is None
    )
    assert peer_policy(asn=US).export_route(PREFIX_10_1, route(US, local_pref=9)).local_pref == 9
