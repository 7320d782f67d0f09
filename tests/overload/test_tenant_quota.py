"""Division of capacity among tenants by quota.

Times are in tenths of a millisecond.
"""

import pytest

from lilacwalk.overload.events import ClientGone
from lilacwalk.overload.model import RequestState, Tenant


@pytest.fixture
def host_with_tenants(make_host):
    """A host and two tenants, each with a quota of ten requests per second."""
    quiet, noisy = Tenant("quiet", 10.0), Tenant("noisy", 10.0)
    return make_host(tenants=[quiet, noisy], over_quota_weight_share=0.1), quiet, noisy


def test_under_shortage_requests_of_a_tenant_over_its_quota_are_rejected_first(host_with_tenants):
    host, quiet, noisy = host_with_tenants
    for _ in range(6):  # without a shortage no request is rejected for exceeding a quota
        request = host.receive(tenant=noisy)
        assert not host.responses(request)
        host.finish(request)
    host.controller.parts.admission.admission_probability = 0.97
    noisy_requests = [host.receive(tenant=noisy) for _ in range(10)]
    assert [host.responses(request) for request in noisy_requests].count(["reject"]) >= 9
    assert all(
        host.do_not_retry_elsewhere[request]
        for request in noisy_requests
        if host.responses(request)
    )  # the tenant is over its quota on other servers as well
    assert not host.responses(host.receive(tenant=quiet))


def test_rejected_requests_do_not_count_against_a_quota(host_with_tenants):
    host, quiet, _ = host_with_tenants
    host.controller.parts.admission.admission_probability = 0.0
    for _ in range(100):
        assert host.responses(host.receive(tenant=quiet)) == ["reject"]
        host.now += 100
    host.controller.parts.admission.admission_probability = 0.97
    assert [host.responses(host.receive(tenant=quiet)) for _ in range(3)].count([]) >= 2


def test_the_credit_of_an_admitted_request_that_was_never_executed_is_refunded(host_with_tenants):
    host, quiet, _ = host_with_tenants
    credit_before = host.controller.parts.quota.credit[quiet]
    last_queued = [host.receive(tenant=quiet) for _ in range(4)][-1]
    assert (
        host.controller.parts.quota.credit[quiet] == credit_before - 3
    )  # the fourth request exceeds the quota, but without a shortage it is admitted
    host.process(*[ClientGone(request) for request in list(host.controller.queue)])
    assert last_queued.state is RequestState.FINISHED
    # Of the two queued requests, only the earlier one had used a credit.
    assert host.controller.parts.quota.credit[quiet] == credit_before - 2


def test_requests_over_a_quota_are_dispatched_after_those_within_it(host_with_tenants):
    host, quiet, noisy = host_with_tenants
    running = [host.receive(tenant=noisy) for _ in range(3)][:2]
    over_quota, within_quota = host.receive(tenant=noisy), host.receive(tenant=quiet)
    for request in running:
        host.finish(request)
    assert within_quota in host.decisions("dispatch")
    assert over_quota not in host.decisions("dispatch")


def test_credits_grow_with_the_dispatch_rate_of_this_server(make_host):
    one, other = Tenant("one", 30.0), Tenant("other", 10.0)
    host = make_host(tenants=[one, other], over_quota_weight_share=0.1, fleet_size=100)
    for _ in range(40):  # ten requests per second: 25 times this server's part of the quotas
        for _ in range(5):
            host.finish(host.receive())
        host.wait(5_000)
    assert host.controller.parts.quota.credit[one] > 10
    assert host.controller.parts.quota.credit[other] > 4


def test_a_tenant_without_a_quota_is_not_rejected_although_it_has_no_credit(make_host):
    unlimited = Tenant("unlimited", 0.0)
    host = make_host(tenants=[unlimited], over_quota_weight_share=0.1)
    host.controller.parts.admission.admission_probability = 0.97
    host.controller.parts.quota.credit[unlimited] = 0.0
    assert [host.responses(host.receive(tenant=unlimited)) for _ in range(2)].count([]) >= 1
