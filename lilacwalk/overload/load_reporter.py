"""Reports health and load to clients and proxies."""

from __future__ import annotations

from lilacwalk.overload.admission import TARGET_LATENCY_RATIO, AdmissionControl
from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.client_tracker import ClientTracker
from lilacwalk.overload.concurrency_limit import ConcurrencyLimit
from lilacwalk.overload.drain import Drain
from lilacwalk.overload.latency_estimator import LatencyEstimator
from lilacwalk.overload.model import SECOND, LoadReportKind, ServerSettings
from lilacwalk.overload.server_load import ServerLoad
from lilacwalk.overload.slow_start import SlowStart
from lilacwalk.overload.stall_detector import StallDetector

REPORT_INTERVAL = SECOND // 10  # much shorter than the time for which clients use a report
# A token permits a client to have one request outstanding at this server. The target time is that
# in which requests should be answered, TARGET_LATENCY_RATIO times the mean latency objective.
# Tokens are granted for this fraction of the requests that can be answered in the target time. It
# is below 1 because outstanding requests include those that are still in transit.
OUTSTANDING_SHARE = 0.65
MINIMUM_TOKENS = 0.2  # minimum number of tokens granted to each client, except in slow start
MAXIMUM_TOKEN_FACTOR = 10.0  # maximum of the factor by which tokens are multiplied
# Applied to the token factor at each report while cores are free and no request is queued.
TOKEN_FACTOR_GROWTH = 1.1
TOKEN_FACTOR_DECAY = 0.8  # applied to the token factor at each other report
# The most active client's share of the recent requests is measured if the activities of all clients
# add up to more than this number of requests; otherwise all clients are assumed to have equal
# shares.
MINIMUM_MEASURED_ACTIVITY = 5
MAXIMUM_UNREAD_SHARE = 0.7  # maximum fraction by which the unread delay reduces the tokens
TOKEN_PRECISION = 10_000  # in slow start, tokens are rounded down to multiples of 1/10,000
RANK_WEIGHT = 0.3  # weight of the newest value in the moving average of the minimum rank
# The minimum rank rises from 0 to 1 with the latency ratio T (defined in `latency_estimator`). It
# is 0 while T is at most RANK_ZERO_RATIO, as on a lightly loaded server, and 1 while T is at least
# RANK_ZERO_RATIO + RANK_RATIO_RANGE, when hardly any request would be answered in time.
RANK_ZERO_RATIO = 0.15
RANK_RATIO_RANGE = 0.5


class LoadReporter:
    """Owns the last reported value, the minimum rank and the factor applied to tokens."""

    def __init__(
        self,
        context: BatchContext,
        server: ServerSettings,
        load: ServerLoad,
        *,
        slow_start: SlowStart,
        drain: Drain,
        stall_detector: StallDetector,
        clients: ClientTracker,
        concurrency: ConcurrencyLimit,
        latency: LatencyEstimator,
        admission: AdmissionControl,
    ) -> None:
        """Stores the parts of the controller that the reporter uses; nothing is reported yet."""
        self._context = context
        self._server = server
        self._load = load
        self._slow_start = slow_start
        self._drain = drain
        self._stall_detector = stall_detector
        self._clients = clients
        self._concurrency = concurrency
        self._latency = latency
        self._admission = admission
        self._minimum_rank = 0.0
        self._last_value = -1.0
        # At start each client is assumed to send an equal share of the requests, as the actual
        # shares are not known yet. Unless the server started cold, the factor therefore starts at
        # its maximum, so that the heaviest client gets enough tokens.
        self._token_factor = 1.0 if server.started_cold else MAXIMUM_TOKEN_FACTOR
        self._next_report_at = context.now

    def report_health(self, healthy: bool) -> None:
        """Reports whether new requests should be sent to this server."""
        self._context.sink.report_health(healthy)

    def report_periodically(self) -> None:
        """Reports the load if the report interval has passed."""
        now = self._context.now
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL
            self.report_load()

    def report_load(self) -> None:
        """Reports the load if its value has changed."""
        kind = self._server.load_report_kind
        is_unavailable = self._stall_detector.stalled or self._drain.is_active
        match kind:
            case LoadReportKind.NONE:
                return
            case LoadReportKind.TOKENS:
                value = 0.0 if is_unavailable else self._tokens()
            case LoadReportKind.MIN_RANK:
                rank = self._update_minimum_rank()
                value = 1.0 if is_unavailable else rank
            case LoadReportKind.BIAS:
                value = 0.0 if is_unavailable else self._admission.admission_probability
        # During slow start, tokens are already rounded down. Rounding to two decimals could round
        # them up, and the sum over all clients would exceed the safe concurrency.
        if kind is not LoadReportKind.TOKENS or not self._slow_start.is_warming_up():
            value = round(value, 2)
        if value != self._last_value:
            self._last_value = value
            self._context.sink.report_load(value)

    def _update_minimum_rank(self) -> float:
        """Moves the minimum rank towards the value for the expected T of a new request."""
        excess_ratio = (self._latency.current_ratio() - RANK_ZERO_RATIO) / RANK_RATIO_RANGE
        target = min(1.0, max(0.0, excess_ratio))
        self._minimum_rank += RANK_WEIGHT * (target - self._minimum_rank)
        return self._minimum_rank

    def _tokens(self) -> float:
        """The number of requests that one client may have outstanding at this server."""
        self._update_token_factor()
        target_time = TARGET_LATENCY_RATIO * self._latency.mean_latency_objective
        unread_share = min(MAXIMUM_UNREAD_SHARE, self._latency.mean_unread_delay / target_time)
        tokens = max(
            MINIMUM_TOKENS,
            self._token_factor
            * self._outstanding(target_time)
            * self._heaviest_client_share()
            * (1 - unread_share),
        )
        if not self._slow_start.is_warming_up():
            return tokens
        # All clients may send to a new server at once, so the safe concurrency is divided among
        # all of them, including those that have not sent a request yet. If only a few of many
        # clients use this server, the number of tokens is therefore too low.
        clients = max(self._server.client_count, len(self._clients.activity))
        share = TOKEN_PRECISION * self._slow_start.safe_concurrency() / clients
        return min(tokens, int(share) / TOKEN_PRECISION)

    def _outstanding(self, target_time: float) -> float:
        """The number of requests, of all clients, that may be outstanding at this server."""
        executions = target_time / max(1.0, self._latency.mean_execution_time)
        return self._concurrency.limit * OUTSTANDING_SHARE * max(1.0, executions)

    def _heaviest_client_share(self) -> float:
        """The fraction of recent requests that the most active client has sent."""
        activity = self._clients.activity.values()
        total = sum(activity)
        if total > MINIMUM_MEASURED_ACTIVITY:
            return max(activity) / total
        return 1 / self._server.client_count

    def _update_token_factor(self) -> None:
        """Raises the token factor while cores are free and no request is queued, else lowers it.

        The factor is at least 1. It is needed because clients rarely use all tokens at once.
        """
        if self._load.has_free_cores() and not self._load.queue:
            self._token_factor = min(MAXIMUM_TOKEN_FACTOR, self._token_factor * TOKEN_FACTOR_GROWTH)
        else:
            self._token_factor = max(1.0, self._token_factor * TOKEN_FACTOR_DECAY)
