"""Validation of one TOML table and conversion to its typed value."""

from collections.abc import Mapping
from functools import lru_cache
from typing import Annotated, Any, NamedTuple, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from berylcart.state.config import (
    Pipeline,
    Place,
    Service,
    ServiceKind,
    Workspace,
)

MAX_DEADLINE_MS = 600_000
MAX_IN_FLIGHT = 65_536
MAX_DELAY_MS = 10_000.0
MAX_SHARE = 1_000_000.0
MAX_NAMES = 256
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$"
TABLE_CONFIG = ConfigDict(extra="forbid", strict=True)

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
DeadlineMs = Annotated[int, Field(ge=1, le=MAX_DEADLINE_MS)]
MaxInFlight = Annotated[int, Field(ge=1, le=MAX_IN_FLIGHT)]
DelayMs = Annotated[float, Field(ge=0, le=MAX_DELAY_MS, allow_inf_nan=False)]
Share = Annotated[float, Field(gt=0, le=MAX_SHARE, allow_inf_nan=False)]
Names = Annotated[list[Name], Field(max_length=MAX_NAMES)]
NonEmptyNames = Annotated[
    list[Name], Field(min_length=1, max_length=MAX_NAMES)
]


class PlaceTable(TypedDict):
    """Schema of [place.NAME]."""

    __pydantic_config__ = TABLE_CONFIG  # type: ignore[misc]

    region: Name
    delay_ms: NotRequired[dict[Name, DelayMs]]


class ServiceTable(TypedDict):
    """Schema of [service.NAME]."""

    __pydantic_config__ = TABLE_CONFIG  # type: ignore[misc]

    kind: Annotated[ServiceKind, Field(strict=False)]
    places: NonEmptyNames
    depends_on: NotRequired[Names]
    idempotent: NotRequired[bool]
    fencing_checked: NotRequired[bool]
    deadline_ms: NotRequired[DeadlineMs]
    max_in_flight: NotRequired[MaxInFlight]
    models: NotRequired[Names]


class PipelineTable(TypedDict):
    """Schema of [pipeline.NAME]."""

    __pydantic_config__ = TABLE_CONFIG  # type: ignore[misc]

    stages: Names
    deadline_ms: NotRequired[DeadlineMs]


class WorkspaceTable(TypedDict):
    """Schema of [workspace.NAME]."""

    __pydantic_config__ = TABLE_CONFIG  # type: ignore[misc]

    places: NonEmptyNames
    share: NotRequired[Share]
    max_in_flight: NotRequired[MaxInFlight]
    tier: NotRequired[Name]


class TableFault(NamedTuple):
    """Describe the fault of one key of a table."""

    key: str
    detail: str


Value = Place | Service | Pipeline | Workspace

TABLES: dict[str, Any] = {
    "place": PlaceTable,
    "service": ServiceTable,
    "pipeline": PipelineTable,
    "workspace": WorkspaceTable,
}


@lru_cache(maxsize=len(TABLES))
def table_validator(kind: str) -> TypeAdapter[Any]:
    """Return the cached validator of a kind of table."""
    return TypeAdapter(TABLES[kind])


def build_place(name: str, table: PlaceTable) -> Place:
    """Build a place from its table."""
    return Place(name, table["region"], table.get("delay_ms", {}))


def build_service(name: str, table: ServiceTable) -> Service:
    """Build a service from its table."""
    default = Service(name, table["kind"], frozenset(table["places"]))
    return default._replace(
        depends_on=tuple(table.get("depends_on", ())),
        is_idempotent=table.get("idempotent", default.is_idempotent),
        is_fencing_checked=table.get("fencing_checked", False),
        deadline_ms=table.get("deadline_ms", default.deadline_ms),
        max_in_flight=table.get("max_in_flight", default.max_in_flight),
        models=tuple(table.get("models", ())),
    )


def build_pipeline(name: str, table: PipelineTable) -> Pipeline:
    """Build a pipeline from its table."""
    default = Pipeline(name, tuple(table["stages"]))
    return default._replace(
        deadline_ms=table.get("deadline_ms", default.deadline_ms)
    )


def build_workspace(name: str, table: WorkspaceTable) -> Workspace:
    """Build a workspace from its table."""
    default = Workspace(name, frozenset(table["places"]))
    return default._replace(
        share=table.get("share", default.share),
        max_in_flight=table.get("max_in_flight", default.max_in_flight),
        tier=table.get("tier", default.tier),
    )


BUILDERS: dict[str, Any] = {
    "place": build_place,
    "service": build_service,
    "pipeline": build_pipeline,
    "workspace": build_workspace,
}


def find_duplicate_names(table: Mapping[str, Any]) -> list[TableFault]:
    """Find duplicate names in lists that represent sets.

    >>> find_duplicate_names({"places": ["lahore-1", "lahore-1"]})
    [TableFault(key='places', detail="lists 'lahore-1' twice")]
    """
    faults = []
    for key in ("places", "depends_on", "models"):
        names = table.get(key, [])
        repeats = sorted({name for name in names if names.count(name) > 1})
        faults += [TableFault(key, f"lists {n!r} twice") for n in repeats]
    return faults


def describe_error(error: Any) -> TableFault:
    """Convert one Pydantic validation error to a fault.

    >>> describe_error({"loc": ("share",), "msg": "Input too small"})
    TableFault(key='share', detail='Input too small')
    """
    key = str(error["loc"][0]) if error["loc"] else ""
    where = "".join(f"[{part}]" for part in error["loc"][1:])
    return TableFault(key, f"{where} {error['msg']}".strip())


def build_value(
    kind: str, name: str, table: Mapping[str, Any]
) -> tuple[Value | None, list[TableFault]]:
    """Validate a table; returns its value and its faults."""
    try:
        valid = table_validator(kind).validate_python(table)
    except ValidationError as error:
        errors = error.errors(include_url=False, include_input=False)
        return None, [describe_error(item) for item in errors]
    faults = find_duplicate_names(valid)
    return BUILDERS[kind](name, valid), faults
