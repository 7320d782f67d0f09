"""Token buckets that divide the capacity of this server among tenants."""

from __future__ import annotations

from lilacwalk.overload.admission import CONTROL_PERIOD, AdmissionControl
from lilacwalk.overload.model import SECOND, Request, ServerSettings
from lilacwalk.overload.server_load import ServerLoad

# A tenant may use this multiple of its quota divided by the fleet size, because proxies distribute
# its requests unevenly over the fleet.
OVER_QUOTA_MULTIPLE = 1.2
DISPATCH_SHARE = 0.7  # minimum fraction of the dispatch rate that is divided among tenants by quota
# The maximum of a tenant's credits is what it receives in this number of seconds, but at least this
# number of credits.
CREDIT_CAPACITY = 3.0
DISPATCH_RATE_WEIGHT = 0.3  # weight of the newest control period in the mean dispatch rate
SHORTAGE_PROBABILITY = 0.98  # admission probability below which capacity counts as short
LENIENT_WEIGHT_SHARE = 0.5  # quotas are not enforced if `over_quota_weight_share` is at least this


class TenantQuota:
    """Owns the credits of each tenant: the number of further requests that its quota permits.

    Only admitted requests use credits. If rejected requests used them too, every tenant would seem
    to exceed its quota under overload, because rejected requests are retried. The quotas are too
    strict for a tenant whose requests are sent to only a few servers by the proxy.
    """

    def __init__(
        self, server: ServerSettings, load: ServerLoad, admission: AdmissionControl
    ) -> None:
        """Gives each tenant credits for CREDIT_CAPACITY requests."""
        self._server = server
        self._load = load
        self._admission = admission
        self.credit = dict.fromkeys(server.tenants, CREDIT_CAPACITY)
        # Requests per second that all quotas together permit at this server.
        self._quota_sum = sum(tenant.quota for tenant in server.tenants) / server.fleet_size
        self._dispatched = 0  # number of requests dispatched in this control period
        self._dispatch_rate = 0.0  # mean number of dispatched requests per second

    def count_dispatch(self) -> None:
        """Counts a dispatched request."""
        self._dispatched += 1

    def refill(self) -> None:
        """Adds credits for each tenant, once each control period, in proportion to its quota.

        The rate of all new credits together is OVER_QUOTA_MULTIPLE times this server's part of the
        quotas, or DISPATCH_SHARE times its dispatch rate if that is higher.
        """
        newest_rate = self._dispatched * SECOND / CONTROL_PERIOD
        self._dispatch_rate += DISPATCH_RATE_WEIGHT * (newest_rate - self._dispatch_rate)
        self._dispatched = 0
        scale = max(
            OVER_QUOTA_MULTIPLE, DISPATCH_SHARE * self._dispatch_rate / max(0.01, self._quota_sum)
        )
        for tenant in self.credit:
            rate = scale * tenant.quota / self._server.fleet_size
            self.credit[tenant] = min(
                CREDIT_CAPACITY * max(1.0, rate),
                self.credit[tenant] + rate * CONTROL_PERIOD / SECOND,
            )

    def must_reject(self, request: Request) -> bool:
        """Whether to reject a request because its tenant has no credit while capacity is short.

        If the tenant has no credit, also multiplies the request's weight per work by
        `over_quota_weight_share`, so that the request, if it is admitted, is dispatched after
        requests of other tenants. To be called only once for each request.
        """
        tenant = request.tenant
        share = self._server.over_quota_weight_share
        if not tenant or not tenant.quota or share >= LENIENT_WEIGHT_SHARE:
            return False
        if self.credit[tenant] >= 1:
            return False
        request.weight_per_work *= share
        return (
            self._admission.admission_probability < SHORTAGE_PROBABILITY
            or len(self._load.queue) > self._server.cores
        )

    def spend(self, request: Request) -> None:
        """Uses one credit of the tenant, if it has any, for an admitted request."""
        if request.tenant and self.credit[request.tenant] >= 1:
            self.credit[request.tenant] -= 1
            request.within_quota = True

    def refund(self, request: Request) -> None:
        """Returns the credit, if any, that a request used; for requests that were not executed."""
        if request.within_quota:
            self.credit[request.tenant] += 1
