"""Define the Prometheus metrics of an entry daemon."""

from berylcart.coordination.policy.stage_policy import WasteCause
from berylcart.state.errors import BerylcartError
from berylcart.state.request import StageReport
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.45,
    0.75,
    1.0,
    1.5,
    2.0,
    3.0,
    5.0,
    10.0,
)
CODE_SUCCESS = "0"
MS_PER_S = 1000


class Metrics:
    """Hold the metrics of one entry daemon; tier is that of the workspace."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "berylcart_requests",
            "Requests answered, by result code (0: whole answer).",
            ["tier", "target", "code", "ran"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "berylcart_request_seconds",
            "Time from a request's arrival to its final answer.",
            ["tier", "target"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.stage_seconds = Histogram(
            "berylcart_stage_seconds",
            "Time that a stage took, with its retries.",
            ["tier", "service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.first_token_seconds = Histogram(
            "berylcart_first_token_seconds",
            "Time from a request's arrival to its first token.",
            ["tier", "target"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.stage_cost = Counter(
            "berylcart_stage_cost",
            "Cost of stages that ended in their reply.",
            ["service", "unit"],
            registry=self.registry,
        )
        self.wasted_seconds = Counter(
            "berylcart_wasted_seconds",
            "Time of attempts whose work was for nothing.",
            ["service", "why"],
            registry=self.registry,
        )
        self.attempts = Counter(
            "berylcart_attempts",
            "Attempts sent to upstreams.",
            ["service"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "berylcart_requests_in_flight",
            "Requests being served.",
            registry=self.registry,
        )
        self.config_version = Gauge(
            "berylcart_config_version",
            "Configuration version in force here.",
            registry=self.registry,
        )

    def record_answer(self, tier: str, target: str, latency_s: float) -> None:
        """Count a successful request and observe its latency."""
        self.requests.labels(tier, target, CODE_SUCCESS, "yes").inc()
        self.request_seconds.labels(tier, target).observe(latency_s)

    def record_error(
        self, tier: str, target: str, latency_s: float, error: BerylcartError
    ) -> None:
        """Count a failed request and observe its latency."""
        code = str(int(error.code))
        self.requests.labels(tier, target, code, error.ran.value).inc()
        self.request_seconds.labels(tier, target).observe(latency_s)

    def record_stage(self, tier: str, report: StageReport) -> None:
        """Record the duration, attempts and cost of one stage."""
        service = report.service
        latency_s = report.latency_ms / MS_PER_S
        self.stage_seconds.labels(tier, service).observe(latency_s)
        self.attempts.labels(service).inc(report.attempts)
        self.stage_cost.labels(service, "steps").inc(report.usage.steps)
        self.stage_cost.labels(service, "tokens").inc(report.usage.tokens)
        self.stage_cost.labels(service, "seconds").inc(report.usage.seconds)

    def record_waste(
        self, service: str, latency_ms: float, why: WasteCause
    ) -> None:
        """Count the time of an attempt that failed or was cancelled."""
        seconds = latency_ms / MS_PER_S
        self.wasted_seconds.labels(service, why.value).inc(seconds)

    def text(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
