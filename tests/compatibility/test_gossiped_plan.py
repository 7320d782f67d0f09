"""The fingerprint of a sites block is equal in all versions.

Members of different versions compare their fingerprints; a fingerprint that changes with the
version would mark equal blocks as different.
"""

from lilacwalk.failover.config import Class, FailoverConfig, Shared, Site, StandIn
from lilacwalk.failover.plan_agreement import plan_fingerprint


def test_fingerprint_of_a_sites_block_equals_that_of_earlier_versions():
    config = FailoverConfig(
        site=(
            Site(
                name="recife",
                cores=8.0,
                load=4.0,
                stand_in=(StandIn(site="natal", cost=50),),
                guests=("127.0.0.1", 7000),
            ),
            Site(name="natal", cores=8.0, load=2.0),
        ),
        revision=3,
        shared=(Shared(name="index", limit=100.0),),
        class_=(Class(name="read", share=1.0),),
    )
    assert str(plan_fingerprint(config)) == "plan 3 a479d5edb967"
