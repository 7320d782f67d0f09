"""Token buckets that divide the capacity of this server among tenants."""

from __future__ import annotations

from lilacwalk.overload.admission import CONTROL_PERIOD, AdmissionControl
from lilacwalk.overload.model import SECOND, Request, ServerSettings
from lilacwalk.overload.server_load import ServerLoad

OVER_QUOTA_SHARE = 1.2  # multiple of its share that a tenant may use, as proxies spread unevenly
DISPATCH_SHARE = 0.7  # minimum sum of all shares, relative to the dispatch rate
CREDIT_CAPACITY = 3.0  # seconds of its share that a tenant may save, or requests if more
DISPATCH_RATE_WEIGHT = 0.3  # weight of the newest control period in the moving dispatch rate
SHORTAGE_PROBABILITY = 0.98  # admission probability below which capacity counts as short
LENIENT_WEIGHT_SHARE = 0.5  # over_quota_weight_share from which quotas are not enforced


class TenantQuota:
    """Owns the credits of tenants: the number of requests that each may still have admitted.

    Only admitted requests use credits. Rejected requests are retried, so that if they counted,
    every tenant would exceed its quota. The quota is too strict if a proxy sends the requests of
    a tenant to only a few servers.
    """

    def __init__(
        self, server: ServerSettings, load: ServerLoad, admission: AdmissionControl
    ) -> None:
        """Starts with CREDIT_CAPACITY requests for each tenant."""
        self._server = server
        self._load = load
        self._admission = admission
        self.credit = dict.fromkeys(server.tenants, CREDIT_CAPACITY)
        self._quota_sum = sum(tenant.quota for tenant in server.tenants) / server.fleet_size
        self._dispatched = 0  # requests in this control period
        self._dispatch_rate = 0.0  # requests per second

    def count_dispatch(self) -> None:
        """Counts a dispatched request."""
        self._dispatched += 1

    def refill(self) -> None:
        """Adds the share of each tenant to its credits, once each control period.

        Shares are based on this server's part of the fleet's quotas, or on its own dispatch rate if
        that is higher.
        """
        newest_rate = self._dispatched * SECOND / CONTROL_PERIOD
        self._dispatch_rate += DISPATCH_RATE_WEIGHT * (newest_rate - self._dispatch_rate)
        self._dispatched = 0
        scale = max(
            OVER_QUOTA_SHARE, DISPATCH_SHARE * self._dispatch_rate / max(0.01, self._quota_sum)
        )
        for tenant in self.credit:
            rate = scale * tenant.quota / self._server.fleet_size
            self.credit[tenant] = min(
                CREDIT_CAPACITY * max(1.0, rate),
                self.credit[tenant] + rate * CONTROL_PERIOD / SECOND,
            )

    def must_reject(self, request: Request) -> bool:
        """Whether to reject a request because its tenant has no credit and capacity is short.

        A request without credit that is not rejected loses most of its weight, so that it is
        dispatched after requests of other tenants.
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
        """Takes a credit for an admitted request if its tenant has one."""
        if request.tenant and self.credit[request.tenant] >= 1:
            self.credit[request.tenant] -= 1
            request.within_quota = True

    def refund(self, request: Request) -> None:
        """Returns the credit of a request that was never executed."""
        if request.within_quota:
            self.credit[request.tenant] += 1
