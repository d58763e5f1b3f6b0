"""Routes of a gateway, their services, keys and limits."""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from berylcart.state.tail import FIRST_ERA


class RouteKind(StrEnum):
    """Kinds of routes, which differ in how a failed request is handled."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Backend(NamedTuple):
    """Hold the weight of a service among the backends of a route."""

    service: str
    weight: float


class RouteStage(NamedTuple):
    """Describe a stage that runs before the request itself.

    after holds the indices of the stages whose results this stage reads.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """Describe which requests a route matches and how they are served.

    Requests with a lower priority value are served first. gap_ms is the
    longest acceptable pause between the events of a stream. Requests may run
    only in the given regions, in any region if None.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout_ms: int
    target_ms: int
    priority: int = 0
    max_attempts: int = 1
    stages: tuple[RouteStage, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    gap_ms: int = 0
    regions: frozenset[str] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once.

        A resumable stream may, as a second run resumes after the last event.
        """
        if self.kind is RouteKind.IDEMPOTENT:
            return True
        return self.kind is RouteKind.STREAM and self.is_resumable

    def final_input_bytes(self, piece_counts: Sequence[int]) -> int:
        """Estimate the size of the stage results that a request reads itself.

        >>> stages = (RouteStage("a", (), 10), RouteStage("b", (0,), 3))
        >>> Route("r", "h", "/", RouteKind.STREAM, (), 1, 1,
        ...       stages=stages).final_input_bytes((8, 4))
        12
        """
        last = self.final_stages
        return sum(
            count * stage.result_bytes
            for index, (count, stage) in enumerate(
                zip(piece_counts, self.stages, strict=False)
            )
            if index in last
        )

    @property
    def final_stages(self) -> tuple[int, ...]:
        """Return the indices of the stages whose results no stage reads.

        >>> stages = (RouteStage("a", (), 1), RouteStage("b", (0,), 1))
        >>> Route("r", "h", "/", RouteKind.STREAM, (), 1, 1,
        ...       stages=stages).final_stages
        (1,)
        """
        read = {index for stage in self.stages for index in stage.after}
        return tuple(i for i in range(len(self.stages)) if i not in read)


class BatchLimits(NamedTuple):
    """Hold the limits and costs of a replica that runs batches of pieces.

    The operator's estimate of a call's duration is call_ms plus piece_ms per
    piece. link_mbps is the bandwidth for transferring results, 0 if unknown.
    """

    slots: int
    queue: int
    pieces: int
    call_ms: float
    piece_ms: float
    room_bytes: float
    keep_s: float
    link_mbps: float = 0.0


class EngineLimits(NamedTuple):
    """Hold the concurrency limits of one model engine."""

    slots: int
    kv_tokens: int


class GatewayService(NamedTuple):
    """Describe a service; batches or engine is set if it is of that kind."""

    name: str
    max_connections: int
    batches: BatchLimits | None = None
    engine: EngineLimits | None = None
    # Requests per second that a cold replica accepts, 0 without a limit.
    cold_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Hold the size limits and timeouts of requests from a caller."""

    head_bytes: int = 16 * 2**10
    body_bytes: int = 4 * 2**20
    head_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class KeyOwner(NamedTuple):
    """Identify the workspace to which an API key belongs.

    Requests with a lower priority value are served first. They may run only
    in the given regions, in any region if None.
    """

    workspace: str
    priority: int | None = None
    regions: frozenset[str] | None = None


class ConfigOrigin(NamedTuple):
    """Tell in which era of the store a version was read, and from whom.

    source is "store" or the address of a peer.
    """

    era: int = FIRST_ERA
    source: str = ""


class RouteTable:
    """Hold one version of the routes, services, API keys and limits.

    If has_workspaces is set, requests to routes that are not public need an
    API key.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...] = (),
        services: Mapping[str, GatewayService] | None = None,
        owners: Mapping[str, KeyOwner] | None = None,
        limits: CallerLimits | None = None,
        has_workspaces: bool = False,
    ) -> None:
        self.version = version
        self.origin = ConfigOrigin()
        self.routes = routes
        self.services = dict(services or {})
        self.owners = dict(owners or {})
        self.limits = limits or CallerLimits()
        self.has_workspaces = has_workspaces
        self.by_host = index_by_host(routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix.

        >>> short = Route("a", "h", "/x/", RouteKind.STREAM, (), 1, 1)
        >>> long = short._replace(name="b", path_prefix="/x/y/")
        >>> table = RouteTable(1, (short, long))
        >>> table.find("h", "/x/y/z").name, table.find("h", "/x/yz").name
        ('b', 'a')
        >>> table.find("other", "/x/y") is None
        True
        """
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def index_by_host(routes: tuple[Route, ...]) -> dict[str, list[Route]]:
    """Group routes by host, longest path prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    for group in by_host.values():
        group.sort(key=lambda route: len(route.path_prefix), reverse=True)
    return by_host
