"""Tests that the partition of a site is distinguished from single crashes."""

from collections import Counter

from lilacwalk.membership.partitions import MemberLoss, SitePartition, partitioned_sites
from tests.membership.conftest import SECOND


def test_most_of_a_site_lost_at_once_is_a_partition_and_scattered_losses_are_not():
    present = Counter({"recife": 1, "natal": 4, "caruaru": 4})
    at_once = [MemberLoss("recife", 100 * index) for index in range(3)]
    assert partitioned_sites(at_once, present, SECOND) == [SitePartition("recife", 3)]
    in_all_sites = [MemberLoss(site, 0) for site in ("recife", "natal", "caruaru")]
    assert partitioned_sites(in_all_sites, present, SECOND) == []
    one_by_one = [MemberLoss("recife", at * SECOND) for at in (0, 90, 200)]
    assert partitioned_sites(one_by_one, present, SECOND) == []
