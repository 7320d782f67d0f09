"""Site conditions: failure, network partition and degradation are distinguished."""

import pytest

from lilacwalk.failover.detector import SiteCondition, assess_site
from lilacwalk.membership.messages import NodeState
from tests.failover.conftest import node_view, node_views


@pytest.mark.parametrize(
    ("views", "conclusion", "condition"),
    [
        (node_views(), "whole", SiteCondition.HEALTHY),
        (node_views(["recife"]), "whole", SiteCondition.FAILED),
        (node_views(["recife"]), "minority", SiteCondition.UNCLEAR),
        (node_views(["recife"]), "unsure", SiteCondition.UNCLEAR),
        (node_views(states={"recife": NodeState.UNHEALTHY}), "whole", SiteCondition.DEGRADED),
        (node_views(states={"recife": NodeState.DRAINING}), "whole", SiteCondition.DRAINING),
        ([], "whole", SiteCondition.UNCLEAR),
    ],
)
def test_failure_partition_and_degradation_are_distinguished(views, conclusion, condition):
    assert assess_site("recife", (each.status for each in views), conclusion).condition is condition


def test_a_site_with_a_third_of_its_baseline_rate_is_degraded_if_busy_and_healthy_if_idle():
    busy = [
        node_view(f"r{index}", "recife", utilisation=1.0, completed_per_second=33).status
        for index in range(4)
    ]
    idle = [
        node_view(f"r{index}", "recife", utilisation=0.1, completed_per_second=33).status
        for index in range(4)
    ]
    assert assess_site("recife", busy, "whole", 400).condition is SiteCondition.DEGRADED
    assert assess_site("recife", idle, "whole", 400).condition is SiteCondition.HEALTHY
