"""Define the Prometheus metrics of a gateway daemon."""

from berylcart.coordination.gateway.batch_shortfall import Shortfall
from berylcart.coordination.gateway.completed_request import CompletedRequest
from berylcart.coordination.gateway.second_attempts import (
    HedgeOutcome,
    HedgeSkipReason,
)
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from berylcart_daemon.metrics import LATENCY_BUCKETS_S

MS_PER_S = 1000
CALL_PIECES_BUCKETS = (1, 2, 4, 8, 16, 32, 64, 128)


class GatewayMetrics:
    """Hold the metrics of one gateway daemon in a registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "berylcart_gateway_requests",
            "Requests by what ended them (code 0: an upstream's answer).",
            ["workspace", "route", "status", "code", "ran"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "berylcart_gateway_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "berylcart_gateway_requests_in_flight",
            "Requests being served.",
            registry=self.registry,
        )
        self.config_version = Gauge(
            "berylcart_gateway_config_version",
            "Version of the routes in force here.",
            registry=self.registry,
        )
        self.config_age_seconds = Gauge(
            "berylcart_gateway_config_age_seconds",
            "Time since the store confirmed the version in force here.",
            registry=self.registry,
        )
        self.backlog_pieces = Gauge(
            "berylcart_gateway_backlog_pieces",
            "Pieces of stages that wait here for a call.",
            ["service"],
            registry=self.registry,
        )
        self.call_pieces = Histogram(
            "berylcart_gateway_call_pieces",
            "Pieces of each call of a stage, by what kept it from being full.",
            ["service", "shortfall"],
            buckets=CALL_PIECES_BUCKETS,
            registry=self.registry,
        )
        self.placements = Counter(
            "berylcart_gateway_placements",
            "Requests by who chose their engine replica: home, alone.",
            ["service", "chosen_by"],
            registry=self.registry,
        )
        self.loop_lag_seconds = Histogram(
            "berylcart_gateway_loop_lag_seconds",
            "By how much a timer of the event loop ran late.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.members = Gauge(
            "berylcart_gateway_members",
            "Daemons that are known to run.",
            registry=self.registry,
        )
        self.silent_members = Gauge(
            "berylcart_gateway_silent_members",
            "Daemons thought to run that entry lists leave out as silent.",
            registry=self.registry,
        )
        self.blocked_parts = Gauge(
            "berylcart_gateway_blocked_parts",
            "Prompt parts whose requests are refused as replicas crash.",
            registry=self.registry,
        )
        self.suspected_parts = Gauge(
            "berylcart_gateway_suspected_parts",
            "Prompt parts that were in crashes, the blocked ones included.",
            registry=self.registry,
        )
        self.blocked_part_requests = Counter(
            "berylcart_gateway_blocked_part_requests",
            "Requests refused for a blocked part.",
            registry=self.registry,
        )
        self.store_era = Gauge(
            "berylcart_gateway_store_era",
            "Newest known era of the store, 0 if it reports none.",
            registry=self.registry,
        )
        self.evacuated_places = Gauge(
            "berylcart_evacuated_places",
            "Places whose replicas get no new work, as known here.",
            registry=self.registry,
        )
        self.evacuated_in_flight = Gauge(
            "berylcart_evacuated_in_flight",
            "Requests and calls for pieces that still run in such places.",
            registry=self.registry,
        )
        self.paused_replicas = Gauge(
            "berylcart_paused_replicas",
            "Replicas that asked this daemon to wait.",
            registry=self.registry,
        )
        self.cold_replicas = Gauge(
            "berylcart_cold_replicas",
            "Replicas that are cold, as far as this daemon knows.",
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "berylcart_held_bytes",
            "Bytes held for callers and peers that have not taken them.",
            registry=self.registry,
        )
        self.dropped_lines = Gauge(
            "berylcart_gateway_lost_log_lines",
            "Log lines dropped because their reader was too slow.",
            registry=self.registry,
        )

        self.second_attempts = Counter(
            "berylcart_second_attempts",
            "Second attempts beside slow first ones by how they ended.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.second_attempts_held = Counter(
            "berylcart_second_attempts_held",
            "Slow requests without a second attempt, by what forbade it.",
            ["service", "reason"],
            registry=self.registry,
        )

    def record_second_attempt(
        self, service: str, outcome: HedgeOutcome
    ) -> None:
        """Count a finished second attempt by its outcome."""
        self.second_attempts.labels(service, outcome.value).inc()

    def record_withheld_second_attempt(
        self, service: str, reason: HedgeSkipReason
    ) -> None:
        """Count a slow request that got no second attempt."""
        self.second_attempts_held.labels(service, reason.value).inc()

    def record_blocked_part(self, part_id: str) -> None:
        """Count a request that was refused for a blocked part."""
        self.blocked_part_requests.inc()

    def record_request(self, served: CompletedRequest) -> None:
        """Count a finished request and observe its latency."""
        self.requests.labels(
            served.workspace,
            served.route,
            str(served.status),
            str(served.code),
            served.ran.value,
        ).inc()
        seconds = served.latency_ms / MS_PER_S
        self.request_seconds.labels(served.route).observe(seconds)

    def record_call(
        self, service: str, pieces: int, shortfall: Shortfall
    ) -> None:
        """Record the start of a call of a stage."""
        self.call_pieces.labels(service, shortfall).observe(pieces)

    def record_placement(self, service: str, is_home: bool) -> None:
        """Count a request by whether the service's home chose its replica."""
        chosen_by = "home" if is_home else "alone"
        self.placements.labels(service, chosen_by).inc()

    def text(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
