"""Describe the two users' deployments at their sizes of today."""

from typing import NamedTuple

from berylcart.state.config import FORMAT_VERSION, ServiceKind

from berylcart_tools.experiments.arrivals import CallKind, Mix

ENTRY_COUNT = 7
MODEL_REPLICAS = 5
POOL_REPLICAS = 3
BATCH = 8
PIPELINE = "answer"
PIPELINE_STAGES = ("encoder", "retriever", "reranker", "model")
MAX_TOKENS = 96
PREFIXES = 24
WORKSPACE_WEIGHTS = (0.40, 0.30, 0.15, 0.10, 0.05)
WORKSPACE_MAX_IN_FLIGHT = 400


class ServiceSpec(NamedTuple):
    """Describe the upstreams of one service."""

    name: str
    kind: ServiceKind
    replicas: int
    step_ms: float
    capacity: int
    is_idempotent: bool = True


class Deployment(NamedTuple):
    """Describe one user's places, services and callers."""

    name: str
    region: str
    places: tuple[str, ...]
    delay_ms: float
    client_delay_ms: float
    services: tuple[ServiceSpec, ...]
    mix: Mix
    rate: float

    def service(self, name: str) -> ServiceSpec:
        """Find a service by its name."""
        return next(spec for spec in self.services if spec.name == name)


def plain(name: str, *, is_idempotent: bool) -> ServiceSpec:
    """Describe a plain service."""
    return ServiceSpec(
        name, ServiceKind.PLAIN, POOL_REPLICAS, 5.0, 16, is_idempotent
    )


def pool(kind: ServiceKind) -> ServiceSpec:
    """Describe a stage pool, named by its kind."""
    return ServiceSpec(kind.value, kind, POOL_REPLICAS, 4.0, 16)


def model(step_ms: float) -> ServiceSpec:
    """Describe the model pool."""
    return ServiceSpec(
        "model", ServiceKind.ENGINE, MODEL_REPLICAS, step_ms, BATCH
    )


def services_of(
    step_ms: float, keyed: tuple[str, ...], repeatable: tuple[str, ...]
) -> tuple[ServiceSpec, ...]:
    """Describe all services of a deployment."""
    return (
        model(step_ms),
        pool(ServiceKind.ENCODER),
        pool(ServiceKind.RETRIEVER),
        pool(ServiceKind.RERANKER),
        *(plain(name, is_idempotent=False) for name in keyed),
        *(plain(name, is_idempotent=True) for name in repeatable),
    )


def mix_of(workspaces: tuple[str, ...], keyed: str, repeatable: str) -> Mix:
    """Describe who calls what."""
    kinds = (
        CallKind(
            PIPELINE,
            0.55,
            is_pipeline=True,
            max_tokens=MAX_TOKENS,
            prefixes=PREFIXES,
        ),
        CallKind(
            "model",
            0.15,
            is_stream=True,
            max_tokens=MAX_TOKENS,
            prefixes=PREFIXES,
        ),
        CallKind(keyed, 0.10, is_keyed=True, deadline_ms=2000),
        CallKind(repeatable, 0.20, deadline_ms=1000),
    )
    return Mix(tuple(zip(workspaces, WORKSPACE_WEIGHTS, strict=True)), kinds)


AUTHORITY = Deployment(
    name="authority",
    region="punjab",
    places=("lahore-1", "lahore-2", "lahore-3"),
    delay_ms=1.5,
    client_delay_ms=1.0,
    services=services_of(6.5, ("booking",), ("roster", "sms", "desk")),
    mix=mix_of(
        ("counters", "schools", "tailors", "citizens", "reports"),
        "booking",
        "roster",
    ),
    rate=70.0,
)

COOPERATIVE = Deployment(
    name="cooperative",
    region="connacht",
    places=("galway-1", "galway-2", "mayo-1"),
    delay_ms=1.0,
    client_delay_ms=3.0,
    services=services_of(4.5, ("parts",), ("desk", "ledger", "records")),
    mix=mix_of(
        ("ferries", "trawlers", "yachts", "inspectors", "office"),
        "parts",
        "ledger",
    ),
    rate=100.0,
)

DEPLOYMENTS = {one.name: one for one in (AUTHORITY, COOPERATIVE)}


def quote_all(names: tuple[str, ...]) -> str:
    """Write names as a TOML list.

    >>> quote_all(("a", "b"))
    '["a", "b"]'
    """
    return "[" + ", ".join(f'"{name}"' for name in names) + "]"


def place_lines(deployment: Deployment) -> list[str]:
    """Write the tables of places."""
    lines = []
    for place in deployment.places:
        others = (name for name in deployment.places if name != place)
        delays = ", ".join(f"{o} = {deployment.delay_ms}" for o in others)
        lines += [
            f"[place.{place}]",
            f'region = "{deployment.region}"',
            f"delay_ms = {{ {delays} }}",
        ]
    return lines


def service_lines(deployment: Deployment) -> list[str]:
    """Write the tables of services."""
    lines = []
    for spec in deployment.services:
        lines += [
            f"[service.{spec.name}]",
            f'kind = "{spec.kind}"',
            f"places = {quote_all(deployment.places)}",
            f"idempotent = {str(spec.is_idempotent).lower()}",
        ]
    return lines


def caller_lines(deployment: Deployment) -> list[str]:
    """Write the tables of pipelines and workspaces."""
    lines = [
        f"[pipeline.{PIPELINE}]",
        f"stages = {quote_all(PIPELINE_STAGES)}",
        "deadline_ms = 3000",
    ]
    for name, weight in deployment.mix.workspaces:
        lines += [
            f"[workspace.{name}]",
            f"places = {quote_all(deployment.places)}",
            f"share = {weight * 10}",
            f"max_in_flight = {WORKSPACE_MAX_IN_FLIGHT}",
        ]
    return lines


def config_text(deployment: Deployment) -> str:
    """Write the operator's configuration text."""
    lines = [
        f"format = {FORMAT_VERSION}",
        *place_lines(deployment),
        *service_lines(deployment),
        *caller_lines(deployment),
    ]
    return "\n".join(lines) + "\n"
