"""Describe requests for the log and the metrics."""

from typing import NamedTuple

from berylcart.coordination.gateway.forward_run import ForwardRun
from berylcart.coordination.gateway.ports import CallerExchange
from berylcart.coordination.gateway.request_target import RequestTarget
from berylcart.coordination.gateway.stage_executor import StagePlan
from berylcart.state.errors import Ran
from berylcart.state.routes import ConfigOrigin

MS_PER_S = 1000
NO_ROUTE = "none"


class CompletedRequest(NamedTuple):
    """A completed request, for the log and the metrics.

    code is 0 if an upstream's response was forwarded. status is the status
    sent to the client, 0 if the connection was closed without one.
    config_version is the version that the request was handled by, 0 if none.
    """

    request_id: str
    route: str
    workspace: str
    status: int
    code: int
    ran: Ran
    latency_ms: float
    timing: "RequestTiming"
    config_version: int = 0
    config_origin: ConfigOrigin = ConfigOrigin()


class RequestTiming(NamedTuple):
    """Tell where the time of a request went, in ms.

    stages_ms are the completed stages' times, first_event_ms is the time from
    the request's arrival to its first event, None if there was none.
    """

    target_ms: int = 0
    stages_ms: tuple[int, ...] = ()
    first_event_ms: int | None = None


class RequestLabels:
    """Labels of a request for logs and metrics, set as they become known."""

    def __init__(self) -> None:
        self.request_id = ""
        self.route = NO_ROUTE
        self.workspace = ""
        self.config_version = 0
        self.config_origin = ConfigOrigin()
        self.run: ForwardRun | None = None
        self.plan: StagePlan | None = None

    def timing(self, exchange: CallerExchange) -> RequestTiming:
        """Return where the request's time went."""
        if self.run is None:
            return RequestTiming()
        first_s = self.run.first_event_at_s
        stages = self.plan.latencies_ms if self.plan is not None else {}
        return RequestTiming(
            self.run.work.route.target_ms,
            tuple(latency_ms for _, latency_ms in sorted(stages.items())),
            None
            if first_s is None
            else int((first_s - exchange.received_at_s) * MS_PER_S),
        )

    def set_target(self, target: RequestTarget) -> None:
        """Set the route and the workspace."""
        self.route = target.route.name
        if target.owner is not None:
            self.workspace = target.owner.workspace
