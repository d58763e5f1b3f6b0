"""Reference deployments of the two users at their current sizes."""

from typing import NamedTuple

from berylcart.state.config import FORMAT_VERSION, ServiceKind

from berylcart_tools.experiments.arrivals import CallKind, TrafficMix

ENTRY_COUNT = 7
MODEL_REPLICAS = 5
POOL_REPLICAS = 3
ENGINE_BATCH_SIZE = 8
PIPELINE = "answer"
PIPELINE_STAGES = ("encoder", "retriever", "reranker", "model")
MAX_TOKENS = 96
PREFIXES = 24
WORKSPACE_WEIGHTS = (0.40, 0.30, 0.15, 0.10, 0.05)
WORKSPACE_MAX_IN_FLIGHT = 400


class ServiceSpec(NamedTuple):
    """Describe a service and the replicas that run it."""

    name: str
    kind: ServiceKind
    replicas: int
    step_ms: float
    capacity: int
    is_idempotent: bool = True


class Deployment(NamedTuple):
    """Describe the places, services and traffic of one user."""

    name: str
    region: str
    places: tuple[str, ...]
    delay_ms: float
    client_delay_ms: float
    services: tuple[ServiceSpec, ...]
    mix: TrafficMix
    rate: float

    def service(self, name: str) -> ServiceSpec:
        """Return the service with this name."""
        return next(spec for spec in self.services if spec.name == name)


def plain_service(name: str, *, is_idempotent: bool) -> ServiceSpec:
    """Define a service without a model."""
    return ServiceSpec(
        name, ServiceKind.PLAIN, POOL_REPLICAS, 5.0, 16, is_idempotent
    )


def stage_pool(kind: ServiceKind) -> ServiceSpec:
    """Define a pipeline stage service, named after its kind."""
    return ServiceSpec(kind.value, kind, POOL_REPLICAS, 4.0, 16)


def engine_pool(step_ms: float) -> ServiceSpec:
    """Define the engine service that runs the model."""
    return ServiceSpec(
        "model", ServiceKind.ENGINE, MODEL_REPLICAS, step_ms, ENGINE_BATCH_SIZE
    )


def build_services(
    step_ms: float,
    non_idempotent: tuple[str, ...],
    idempotent: tuple[str, ...],
) -> tuple[ServiceSpec, ...]:
    """Define all services of a deployment."""
    return (
        engine_pool(step_ms),
        stage_pool(ServiceKind.ENCODER),
        stage_pool(ServiceKind.RETRIEVER),
        stage_pool(ServiceKind.RERANKER),
        *(plain_service(name, is_idempotent=False) for name in non_idempotent),
        *(plain_service(name, is_idempotent=True) for name in idempotent),
    )


def build_mix(
    workspaces: tuple[str, ...], non_idempotent: str, idempotent: str
) -> TrafficMix:
    """Define the workspace weights and call kinds of a deployment."""
    kinds = (
        CallKind(
            PIPELINE,
            0.55,
            is_pipeline=True,
            max_tokens=MAX_TOKENS,
            prefix_count=PREFIXES,
        ),
        CallKind(
            "model",
            0.15,
            is_stream=True,
            max_tokens=MAX_TOKENS,
            prefix_count=PREFIXES,
        ),
        CallKind(non_idempotent, 0.10, is_keyed=True, deadline_ms=2000),
        CallKind(idempotent, 0.20, deadline_ms=1000),
    )
    return TrafficMix(
        tuple(zip(workspaces, WORKSPACE_WEIGHTS, strict=True)), kinds
    )


AUTHORITY = Deployment(
    name="authority",
    region="punjab",
    places=("lahore-1", "lahore-2", "lahore-3"),
    delay_ms=1.5,
    client_delay_ms=1.0,
    services=build_services(6.5, ("booking",), ("roster", "sms", "desk")),
    mix=build_mix(
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
    services=build_services(4.5, ("parts",), ("desk", "ledger", "records")),
    mix=build_mix(
        ("ferries", "trawlers", "yachts", "inspectors", "office"),
        "parts",
        "ledger",
    ),
    rate=100.0,
)

DEPLOYMENTS = {
    deployment.name: deployment for deployment in (AUTHORITY, COOPERATIVE)
}


def toml_array(names: tuple[str, ...]) -> str:
    """Format names as a TOML array of strings.

    >>> toml_array(("a", "b"))
    '["a", "b"]'
    """
    return "[" + ", ".join(f'"{name}"' for name in names) + "]"


def place_tables(deployment: Deployment) -> list[str]:
    """Format the place tables of the configuration."""
    lines = []
    for place in deployment.places:
        other_places = (name for name in deployment.places if name != place)
        delays = ", ".join(
            f"{other} = {deployment.delay_ms}" for other in other_places
        )
        lines += [
            f"[place.{place}]",
            f'region = "{deployment.region}"',
            f"delay_ms = {{ {delays} }}",
        ]
    return lines


def service_tables(deployment: Deployment) -> list[str]:
    """Format the service tables of the configuration."""
    lines = []
    for spec in deployment.services:
        lines += [
            f"[service.{spec.name}]",
            f'kind = "{spec.kind}"',
            f"places = {toml_array(deployment.places)}",
            f"idempotent = {str(spec.is_idempotent).lower()}",
        ]
    return lines


def pipeline_and_workspace_tables(deployment: Deployment) -> list[str]:
    """Format the pipeline and workspace tables of the configuration."""
    lines = [
        f"[pipeline.{PIPELINE}]",
        f"stages = {toml_array(PIPELINE_STAGES)}",
        "deadline_ms = 3000",
    ]
    for name, weight in deployment.mix.workspaces:
        lines += [
            f"[workspace.{name}]",
            f"places = {toml_array(deployment.places)}",
            f"share = {weight * 10}",
            f"max_in_flight = {WORKSPACE_MAX_IN_FLIGHT}",
        ]
    return lines


def config_text(deployment: Deployment) -> str:
    """Generate the configuration text that an operator publishes."""
    lines = [
        f"format = {FORMAT_VERSION}",
        *place_tables(deployment),
        *service_tables(deployment),
        *pipeline_and_workspace_tables(deployment),
    ]
    return "\n".join(lines) + "\n"
