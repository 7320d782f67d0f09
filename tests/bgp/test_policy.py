"""Import and export policy of a peer."""

import pytest

from lilacwalk.bgp.attributes import SEQUENCE, Attributes
from lilacwalk.bgp.config import BgpConfig
from lilacwalk.bgp.policy import PeerPolicy, Refused
from lilacwalk.bgp.prefixes import Prefix
from tests.bgp.conftest import OUR_AS, PEER_AS, announce_config, peer_block, route

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


def peer_policy(*peer, asn=PEER_AS) -> PeerPolicy:
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
        PREFIX_10_1, route(as_path=((SEQUENCE, (PEER_AS, 666)),))
    ) == Refused("policy through")
    assert peer_policy("import through").import_route(PREFIX_10_1, route()).as_path == (
        (SEQUENCE, (OUR_AS, OUR_AS, PEER_AS)),
    )
    long = route(as_path=((SEQUENCE, (PEER_AS, 5, 6)),))
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
    policy = peer_policy("import through")
    assert policy.import_policy.terms[0][1].permits(Prefix.of(prefix)) is permitted


@pytest.mark.parametrize(
    "attributes, reason",
    [
        (route(as_path=((SEQUENCE, (PEER_AS, OUR_AS)),)), "our own AS in the path"),
        (route(as_path=((SEQUENCE, (7,)),)), "the path does not begin with the peer's AS"),
        (route(as_path=()), "the path does not begin with the peer's AS"),
        (route(as_path=((SEQUENCE, (PEER_AS,) * 256),)), "more than 255 AS numbers in the path"),
        (route(), "no import policy"),
    ],
)
def test_implausible_routes_and_those_without_an_import_policy_are_refused(attributes, reason):
    assert peer_policy().import_route(PREFIX_10_1, attributes) == Refused(reason)


def test_internal_peer_needs_no_import_policy_and_its_paths_may_be_empty():
    assert isinstance(
        peer_policy(asn=OUR_AS).import_route(PREFIX_10_1, route(as_path=())), Attributes
    )


@pytest.mark.parametrize(
    "role, received_as, imported_as",
    [
        ("provider", 9, None),
        ("rs", 9, None),
        ("peer", 9, None),
        ("peer", PEER_AS, PEER_AS),
        ("peer", None, PEER_AS),
        ("customer", None, PEER_AS),
        ("customer", 9, 9),
        ("provider", None, None),
        ("rs-client", None, PEER_AS),
    ],
)
def test_only_to_customer_reveals_a_leak_or_is_added_on_import(role, received_as, imported_as):
    """`role` is our own role towards the peer."""
    imported = peer_policy(f"role {role}", "import through").import_route(
        PREFIX_10_1, route(only_to_customer=received_as)
    )
    if received_as == 9 and role != "customer":
        assert isinstance(imported, Refused) and "leak" in imported.reason
    else:
        assert imported.only_to_customer == imported_as


@pytest.mark.parametrize(
    "role, exported_as",
    [("provider", OUR_AS), ("peer", OUR_AS), ("rs", OUR_AS), ("customer", None)],
)
def test_only_to_customer_is_added_on_export_to_customers_peers_and_rs_clients(role, exported_as):
    """`role` is our own role towards the peer."""
    assert (
        peer_policy(f"role {role}").export_route(PREFIX_10_1, route(OUR_AS)).only_to_customer
        == exported_as
    )


def test_export_policy_rejects_routes_and_local_preference_is_sent_to_internal_peers_only():
    assert (
        peer_policy("export through")
        .export_route(Prefix.of("10.1.2.0/24"), route(OUR_AS, local_pref=9))
        .local_pref
        is None
    )
    assert (
        peer_policy("export through").export_route(
            PREFIX_10_1, route(OUR_AS, as_path=((SEQUENCE, (OUR_AS, 666)),))
        )
        is None
    )
    assert (
        peer_policy(asn=OUR_AS).export_route(PREFIX_10_1, route(OUR_AS, local_pref=9)).local_pref
        == 9
    )
