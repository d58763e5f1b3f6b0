"""Describe an operator's configuration as immutable values."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

FORMAT_VERSION = 1


class ServiceKind(StrEnum):
    """List what an upstream of a service does."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    PLAIN = "plain"


class Place(NamedTuple):
    """Describe a data centre and its one-way delay to others."""

    name: str
    region: str
    delay_ms: Mapping[str, float]


class Service(NamedTuple):
    """Describe a pool of upstreams that answer alike."""

    name: str
    kind: ServiceKind
    places: frozenset[str]
    depends_on: tuple[str, ...] = ()
    is_idempotent: bool = True
    is_fencing_checked: bool = False
    deadline_ms: int = 3000
    max_in_flight: int = 16
    models: tuple[str, ...] = ()


class Pipeline(NamedTuple):
    """Describe stages that run in order under one deadline."""

    name: str
    stages: tuple[str, ...]
    deadline_ms: int = 3000


class Workspace(NamedTuple):
    """Describe a tenant: its weight, limit, class and permitted places."""

    name: str
    places: frozenset[str]
    share: float = 1.0
    max_in_flight: int = 64
    tier: str = "standard"


class Configuration(NamedTuple):
    """Hold one whole, valid configuration."""

    places: Mapping[str, Place]
    services: Mapping[str, Service]
    pipelines: Mapping[str, Pipeline]
    workspaces: Mapping[str, Workspace]


EMPTY_CONFIGURATION = Configuration({}, {}, {}, {})
