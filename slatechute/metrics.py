"""Metrics of one entry, in a registry per entry.

Every label has a bounded set of values: reasons and outcomes are enumerations,
the number of services is capped, and targets and callers are never labels.
"""

from collections.abc import Callable, Iterable
import enum
import math
import time

import prometheus_client

from slatechute import errors

__all__ = [
    "CONTENT_TYPE",
    "LATENCY_BUCKETS_S",
    "MAX_SERVICES",
    "OTHER",
    "Metrics",
    "RetryDecision",
]

# Content type of `Metrics.export`.
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

# The boundaries double from 0.1 ms to 13 s and include 0.8 ms, the goal for the
# added latency.
LATENCY_BUCKETS_S = tuple(0.0001 * 2**power for power in range(18))

# Each service adds up to two series per reason.
MAX_SERVICES = 64

OTHER = "other"

_MAX_FRAME_ERROR_KINDS = 16
_MAX_SPREAD_FAULT_KINDS = 16

# With these reasons the service name comes from the caller unverified, so it
# must not count towards the cap.
_UNVERIFIED_REASONS = frozenset(
    {errors.Reason.UNKNOWN_SERVICE, errors.Reason.BAD_REQUEST}
)

# Creation times double the number of exported series, and no alert uses them.
prometheus_client.disable_created_metrics()

_Increment = Callable[..., None]


class RetryDecision(enum.StrEnum):
    """What allowed or denied a retry, after all other conditions were met."""

    OWN = "own"
    GRANTED = "granted"
    DENIED = "denied"
    UNANSWERED = "unanswered"


class _CappedLabel:
    """Keeps the first `limit` values and maps all others to `OTHER`."""

    def __init__(self, limit: int):
        self._limit = limit
        self._values: set[str] = set()

    def cap(self, value: str) -> str:
        if value in self._values:
            return value
        if len(self._values) >= self._limit:
            return OTHER
        self._values.add(value)
        return value


class Metrics:
    """Counters, histograms and gauges of one entry.

    Label children are cached, since `labels()` takes several times as long as
    the increment.

    Attributes:
        registry: Registry to export. It is not the default registry, so that
            several entries can run in one process.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self.registry)
        self._refusals = self._counter(
            "refusals",
            "Requests refused.",
            "reason",
            "outcome",
            "service",
        )
        self._retries = self._counter(
            "retries", "Exchanges repeated after a failure.", "reason"
        )
        self._retry_decisions = self._counter(
            "retry_decisions",
            "Retries allowed by the own share or by a grant, or denied.",
            "decision",
        )
        self._peer_frames = self._counter(
            "peer_frames", "Frames on peer links.", "direction"
        )
        self._peer_bytes = self._counter(
            "peer_bytes", "Bytes of frames on peer links.", "direction"
        )
        self._peer_frame_errors = self._counter(
            "peer_frame_errors", "Frames from peers that were refused.", "kind"
        )
        self._hedges = self._counter("hedges", "Hedged exchanges started.")
        self._hedge_results = self._counter(
            "hedge_results", "Hedges of a gateway entry that ended.", "result"
        )
        self._hedges_denied = self._counter(
            "hedges_denied",
            "Limits that a due hedge of a gateway entry has met.",
            "limit",
        )
        self._hedge_seconds = self._counter(
            "hedge_seconds", "Time of hedges at targets of a gateway entry."
        )
        self._probes = self._counter("probes", "Probes sent to targets.")
        self._probe_bytes = self._counter(
            "probe_bytes", "Bytes of probes and of their responses."
        )
        self._spread_faults = self._counter(
            "spread_faults",
            "Faults of peers and the platform in spreading documents.",
            "kind",
        )
        self._limited_requests = self._counter(
            "limited_requests",
            "Requests sent to targets that had announced a rate limit.",
        )
        self._cold_requests = self._counter(
            "cold_requests", "Requests sent to cold targets with a rate limit."
        )
        self._denied_tokens = self._counter(
            "denied_tokens",
            "Requests for tokens of rate limits that were denied.",
        )
        self._invalid_announcements = self._counter(
            "invalid_announcements",
            "Responses in which a target announced a value that is not usable.",
        )
        self._misplaced_responses = self._counter(
            "misplaced_responses",
            "Responses of targets that named another request than that sent.",
        )
        self._connect_failures = self._counter(
            "connect_failures", "Connections to targets that were not opened."
        )
        self._relayed_requests = self._counter(
            "relayed_requests",
            "Exchanges that peers have carried out for this entry.",
            "result",
        )
        self._platform_calls = self._counter(
            "platform_calls", "Calls to the platform service."
        )
        self._duplicates_refused = self._counter(
            "duplicates_refused",
            "Requests refused because their id was accepted before.",
        )
        self._added_latency = self._histogram(
            "added_latency_seconds",
            "Time of a request in the entry, without the target.",
        )
        self._total_latency = self._histogram(
            "total_latency_seconds", "Time from accepting to answering."
        )
        self._revision = self._gauge(
            "configuration_revision", "Configuration in force; 0 for none."
        )
        self._age = self._gauge(
            "configuration_age_seconds",
            "Time since the configuration came into force; NaN for none.",
        )
        self._in_flight = self._gauge(
            "requests_in_flight", "Requests accepted and not yet answered."
        )
        self._waiting = self._gauge(
            "requests_waiting", "Requests waiting for a slot."
        )
        self._links = self._gauge("peer_links", "Live links to peers.")
        self._evacuated_data_centres = self._gauge(
            "evacuated_data_centres", "Evacuated data centres."
        )
        self._evacuated_targets = self._gauge(
            "evacuated_targets",
            "Targets without requests as their data centre is evacuated.",
        )
        self._evacuation_age = self._gauge(
            "evacuation_age_seconds",
            "Time since the oldest evacuation came into force; NaN for none.",
        )
        self._retry_tokens = self._gauge(
            "retry_tokens_in_use",
            "Retries that this entry has granted in the current window.",
        )
        self._cold_targets = self._gauge(
            "cold_targets", "Cold targets with a rate limit."
        )
        self._unowned_slots = self._gauge(
            "unowned_slots",
            "Slots that no request gives back; 0 unless there is a fault.",
        )
        self._view_age = self._gauge(
            "view_age_seconds",
            "Time since the published items were last confirmed.",
        )
        self._caller_memory = self._gauge(
            "caller_memory_bytes", "Memory that is held for callers."
        )
        self._given_up = self._counter(
            "given_up",
            "Requests and responses that were given up for memory.",
        )
        self._adopted_s = math.nan
        self._age.set_function(lambda: time.monotonic() - self._adopted_s)
        self._services = _CappedLabel(MAX_SERVICES)
        self._frame_error_kinds = _CappedLabel(_MAX_FRAME_ERROR_KINDS)
        self._spread_fault_kinds = _CappedLabel(_MAX_SPREAD_FAULT_KINDS)
        self._refusal_by_labels: dict[tuple[str, str, str], _Increment] = {}
        self._frame_error_by_kind: dict[str, _Increment] = {}
        # A series that is created by its first event hides that event from
        # rate(), so all series are created here.
        self._retry_by_reason: dict[str, _Increment] = {
            reason: self._retries.labels(reason).inc for reason in errors.Reason
        }
        for decision in RetryDecision:
            self._retry_decisions.labels(decision)
        for reason in errors.Reason:
            for outcome in errors.Outcome:
                self._refusals.labels(reason, outcome, OTHER)
        self._received_increments, self._sent_increments = (
            (
                self._peer_frames.labels(direction).inc,
                self._peer_bytes.labels(direction).inc,
            )
            for direction in ("received", "sent")
        )

    def _counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            name, text, labels, namespace="slatechute", registry=self.registry
        )

    def _gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            name, text, namespace="slatechute", registry=self.registry
        )

    def _histogram(self, name: str, text: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name,
            text,
            namespace="slatechute",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def count_refusal(
        self, reason: errors.Reason, outcome: errors.Outcome, service: str
    ) -> None:
        """Count a refused request.

        Args:
            reason: Reason of the refusal.
            outcome: Whether it is certain that the request did not run.
            service: Service that the caller named.
        """
        if not service or reason in _UNVERIFIED_REASONS:
            service = OTHER
        key = (reason, outcome, service)
        increment = self._refusal_by_labels.get(key)
        if increment is None:
            capped = self._services.cap(service)
            increment = self._refusals.labels(reason, outcome, capped).inc
            # Names beyond the cap are not cached, as their number is unbounded.
            if capped == service:
                self._refusal_by_labels[key] = increment
        increment()

    def count_given_up(self) -> None:
        """Count a request or response that was given up for memory."""
        self._given_up.inc()

    def count_retry(self, reason: errors.Reason) -> None:
        """Count an exchange that is repeated after a failure."""
        self._retry_by_reason[reason]()

    def count_retry_decision(self, decision: RetryDecision) -> None:
        """Count a retry that the budget has allowed or denied."""
        self._retry_decisions.labels(decision).inc()

    def count_hedge(self) -> None:
        """Count a hedged exchange."""
        self._hedges.inc()

    def create_hedge_series(
        self, results: Iterable[str], limits: Iterable[str]
    ) -> None:
        """Create the series of hedges, so that `rate` sees the first event."""
        for result in results:
            self._hedge_results.labels(result)
        for limit in limits:
            self._hedges_denied.labels(limit)

    def count_hedge_result(self, result: str) -> None:
        """Count a hedge that has ended, by its result."""
        self._hedge_results.labels(result).inc()

    def count_denied_hedge(self, limit: str) -> None:
        """Count a hedge that was due and denied, by the limit."""
        self._hedges_denied.labels(limit).inc()

    def add_hedge_time(self, elapsed_s: float) -> None:
        """Add the time of a hedge, in seconds."""
        self._hedge_seconds.inc(elapsed_s)

    def count_probe(self, size_bytes: int) -> None:
        """Count a probe of a target and its bytes in both directions."""
        self._probes.inc()
        self._probe_bytes.inc(size_bytes)

    def count_limited_request(self) -> None:
        """Count a request sent to a target with an announced rate limit."""
        self._limited_requests.inc()

    def count_cold_request(self) -> None:
        """Count a request sent to a cold target with a rate limit."""
        self._cold_requests.inc()

    def count_denied_tokens(self) -> None:
        """Count a request for tokens of a rate limit that was denied."""
        self._denied_tokens.inc()

    def count_invalid_announcement(self) -> None:
        """Count a response with an announcement that is not usable."""
        self._invalid_announcements.inc()

    def count_misplaced_response(self) -> None:
        """Count a response that names another request than the one sent."""
        self._misplaced_responses.inc()

    def count_connect_failure(self) -> None:
        """Count a connection to a target that was not opened."""
        self._connect_failures.inc()

    def count_relayed_request(self, result: str) -> None:
        """Count an exchange that a peer has carried out, by its result."""
        self._relayed_requests.labels(result).inc()

    def count_platform_call(self) -> None:
        """Count a request to the platform service."""
        self._platform_calls.inc()

    def count_spread_fault(self, kind: str) -> None:
        """Count a fault in the distribution of documents."""
        self._spread_faults.labels(self._spread_fault_kinds.cap(kind)).inc()

    # peers.counters.LinkMetrics

    def count_received(self, frames: int, size: int) -> None:
        """Count frames and bytes read from peers."""
        count_frames, count_bytes = self._received_increments
        count_frames(frames)
        count_bytes(size)

    def count_sent(self, frames: int, size: int) -> None:
        """Count frames and bytes written to peers."""
        count_frames, count_bytes = self._sent_increments
        count_frames(frames)
        count_bytes(size)

    def count_fault(self, fault: str) -> None:
        """Count a closed link or a dropped frame."""
        increment = self._frame_error_by_kind.get(fault)
        if increment is None:
            capped = self._frame_error_kinds.cap(fault)
            increment = self._peer_frame_errors.labels(capped).inc
            if capped == fault:
                self._frame_error_by_kind[fault] = increment
        increment()

    def count_duplicate(self) -> None:
        """Count a resend that was refused because of its request id."""
        self._duplicates_refused.inc()

    def observe_latencies(self, total_s: float, added_s: float) -> None:
        """Record the latencies of an answered request.

        Args:
            total_s: Time from accepting the request to the end of the response.
            added_s: Part of `total_s` that was not spent at the target.
        """
        self._total_latency.observe(total_s)
        self._added_latency.observe(added_s)

    def set_configuration_revision(self, revision: int) -> None:
        """Set the active revision and restart its age."""
        self._revision.set(revision)
        self._adopted_s = time.monotonic()

    def bind_gauges(
        self,
        *,
        in_flight: Callable[[], int] | None = None,
        waiting: Callable[[], int] | None = None,
        links: Callable[[], int] | None = None,
        evacuated_data_centres: Callable[[], int] | None = None,
        evacuated_targets: Callable[[], int] | None = None,
        evacuation_age_s: Callable[[], float] | None = None,
        retry_tokens: Callable[[], int] | None = None,
        cold_targets: Callable[[], int] | None = None,
        unowned_slots: Callable[[], int] | None = None,
        view_age_s: Callable[[], float] | None = None,
        caller_memory_bytes: Callable[[], int] | None = None,
    ) -> None:
        """Set the callbacks that gauges read on each export.

        Requests then need not update the gauges.

        Args:
            in_flight: Returns the requests accepted and not yet answered.
            waiting: Returns the requests waiting for a slot.
            links: Returns the live links to peers.
            evacuated_data_centres: Returns the evacuated data centres.
            evacuated_targets: Returns the targets without requests because of
                an evacuation.
            evacuation_age_s: Returns the age of the oldest evacuation in s, NaN
                without one.
            retry_tokens: Returns the retries granted in the current window.
            cold_targets: Returns the cold targets with a rate limit.
            unowned_slots: Returns the slots that no request gives back.
            view_age_s: Returns the time since the published items were last
                confirmed in s, NaN before.
            caller_memory_bytes: Returns the memory held for callers.
        """
        for gauge, read in (
            (self._in_flight, in_flight),
            (self._waiting, waiting),
            (self._links, links),
            (self._evacuated_data_centres, evacuated_data_centres),
            (self._evacuated_targets, evacuated_targets),
            (self._evacuation_age, evacuation_age_s),
            (self._retry_tokens, retry_tokens),
            (self._cold_targets, cold_targets),
            (self._unowned_slots, unowned_slots),
            (self._view_age, view_age_s),
            (self._caller_memory, caller_memory_bytes),
        ):
            if read is not None:
                gauge.set_function(read)

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a sample, or 0 if there is none.

        >>> metrics = Metrics()
        >>> metrics.count_retry(errors.Reason.TARGET_SHED)
        >>> metrics.value("retries_total", reason="target_shed")
        1.0
        """
        value = self.registry.get_sample_value(f"slatechute_{name}", labels)
        return 0.0 if value is None else value

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
