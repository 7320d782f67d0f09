"""Each tenant's share of this server, as a token bucket."""

from __future__ import annotations

from lilacwalk.overload.admission import CONTROL_PERIOD, AdmissionControl
from lilacwalk.overload.model import SECOND, Request, ServerSettings
from lilacwalk.overload.server_load import ServerLoad

OVER_QUOTA_SHARE = 1.2  # of its share before a tenant is over it: proxies spread unevenly
DISPATCH_SHARE = 0.7  # of the dispatched requests that is split by quota at least
CREDIT_CAPACITY = 3.0  # seconds of its share, or requests, that a tenant may save up
DISPATCH_RATE_WEIGHT = 0.3  # of the newest control period in the running rate
SHORTAGE_PROBABILITY = 0.98  # admission probability below which capacity is short
LENIENT_WEIGHT_SHARE = 0.5  # of the weight kept over quota, from which quotas are not enforced


class TenantQuota:
    """Owns the credits of tenants: requests that each may have admitted within its share.

    What counts is what was admitted: rejected requests are repeated, and by what is asked every
    tenant would seem over its quota. It is too strict where a proxy sends a tenant to few servers.
    """

    def __init__(
        self, server: ServerSettings, load: ServerLoad, admission: AdmissionControl
    ) -> None:
        """Starts with full credits."""
        self._server = server
        self._load = load
        self._admission = admission
        self.credit = dict.fromkeys(server.tenants, CREDIT_CAPACITY)
        self._quota_sum = sum(tenant.quota for tenant in server.tenants) / server.fleet_size
        self._dispatched = 0  # in this control period
        self._dispatch_rate = 0.0  # requests a second

    def count_dispatch(self) -> None:
        """Counts a request whose execution starts."""
        self._dispatched += 1

    def refill(self) -> None:
        """Pays each tenant its share, once each control period.

        Shares are of the fleet's quotas, or of what this server dispatches if that is more.
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
        """Whether a request beyond its tenant's share is to be rejected as capacity is short.

        A request beyond the share that stays loses most of its weight, so that it is dispatched
        after those of other tenants.
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
        """Takes a credit for an admitted request, if its tenant has one."""
        if request.tenant and self.credit[request.tenant] >= 1:
            self.credit[request.tenant] -= 1
            request.within_quota = True

    def refund(self, request: Request) -> None:
        """Gives the credit of a request back that was never executed."""
        if request.within_quota:
            self.credit[request.tenant] += 1
