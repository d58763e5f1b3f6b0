"""Immutable data types of the operator's configuration."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

FORMAT_VERSION = 1


class ServiceKind(StrEnum):
    """List the kinds of services."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    PLAIN = "plain"


class Place(NamedTuple):
    """Describe a data centre and its one-way delay to other places."""

    name: str
    region: str
    delay_ms: Mapping[str, float]


class Service(NamedTuple):
    """Describe a service: a pool of interchangeable upstreams."""

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
    """Describe a sequence of stages with one deadline for all."""

    name: str
    stages: tuple[str, ...]
    deadline_ms: int = 3000


class Workspace(NamedTuple):
    """Describe a tenant: places, fair share, limit and service tier."""

    name: str
    places: frozenset[str]
    share: float = 1.0
    max_in_flight: int = 64
    tier: str = "standard"


class Configuration(NamedTuple):
    """Hold one complete and valid configuration."""

    places: Mapping[str, Place]
    services: Mapping[str, Service]
    pipelines: Mapping[str, Pipeline]
    workspaces: Mapping[str, Workspace]


EMPTY_CONFIGURATION = Configuration({}, {}, {}, {})
