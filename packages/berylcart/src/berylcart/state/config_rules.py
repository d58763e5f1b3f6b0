"""Find faults across the values of a configuration."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from berylcart.state.config import Configuration, Pipeline

MAX_STAGES = 16

Graph = Mapping[str, tuple[str, ...]]
PlaceSet = frozenset[str]


class RuleFault(NamedTuple):
    """Name the path of a faulty key and what is wrong with it."""

    path: str
    detail: str


def find_rule_faults(configuration: Configuration) -> list[RuleFault]:
    """List every fault across the values of a configuration."""
    return [
        *check_places(configuration),
        *check_dependencies(configuration),
        *check_pipelines(configuration),
        *check_services_reachable(configuration),
        *check_stages_reachable(configuration),
    ]


def list_place_uses(
    configuration: Configuration,
) -> Iterator[tuple[str, Iterable[str]]]:
    """List the keys that name places, with the names."""
    for place in configuration.places.values():
        yield f"place.{place.name}.delay_ms", place.delay_ms
    for service in configuration.services.values():
        yield f"service.{service.name}.places", service.places
    for workspace in configuration.workspaces.values():
        yield f"workspace.{workspace.name}.places", workspace.places


def check_places(configuration: Configuration) -> Iterator[RuleFault]:
    """Find places that are named but not declared."""
    declared = configuration.places.keys()
    for path, names in list_place_uses(configuration):
        for name in sorted(set(names) - declared):
            yield RuleFault(path, f"place {name!r} is not declared")


def check_dependencies(configuration: Configuration) -> Iterator[RuleFault]:
    """Find dependencies that are missing or form a cycle."""
    services = configuration.services
    graph = {name: each.depends_on for name, each in services.items()}
    for name, dependencies in graph.items():
        path = f"service.{name}.depends_on"
        for missing in sorted(set(dependencies) - graph.keys()):
            yield RuleFault(path, f"service {missing!r} does not exist")
    for cycle in find_cycles(graph):
        path = f"service.{cycle[0]}.depends_on"
        yield RuleFault(path, "cycle " + " -> ".join([*cycle, cycle[0]]))


def find_cycles(graph: Graph) -> list[tuple[str, ...]]:
    """Find one cycle through each group of nodes that depend on another.

    >>> find_cycles({"a": ("b",), "b": ("a",), "c": ("a",)})
    [('a', 'b')]
    """
    cycles = []
    finished: set[str] = set()
    for root in sorted(graph):
        cycle = walk(graph, root, finished)
        if cycle:
            cycles.append(cycle)
    return cycles


def walk(graph: Graph, root: str, finished: set[str]) -> tuple[str, ...]:
    """Search depth first from a root and return the first cycle met."""
    cycle: tuple[str, ...] = ()
    path: list[str] = []
    pending = [(root, False)]
    while pending:
        node, is_leaving = pending.pop()
        if is_leaving:
            path.pop()
            finished.add(node)
            continue
        if node in path:
            cycle = cycle or rotate(path[path.index(node) :])
            continue
        if node in finished or node not in graph:
            continue
        path.append(node)
        pending.append((node, True))
        pending.extend((name, False) for name in sorted(graph[node]))
    return cycle


def rotate(cycle: list[str]) -> tuple[str, ...]:
    """Start a cycle at its smallest name.

    >>> rotate(["c", "a", "b"])
    ('a', 'b', 'c')
    """
    first = cycle.index(min(cycle))
    return tuple(cycle[first:] + cycle[:first])


def check_pipelines(configuration: Configuration) -> Iterator[RuleFault]:
    """Find faulty stages of every pipeline."""
    for pipeline in configuration.pipelines.values():
        path = f"pipeline.{pipeline.name}.stages"
        for detail in check_stages(configuration, pipeline):
            yield RuleFault(path, detail)


def check_stages(
    configuration: Configuration, pipeline: Pipeline
) -> Iterator[str]:
    """Describe each fault in the stages of one pipeline."""
    count = len(pipeline.stages)
    if not 1 <= count <= MAX_STAGES:
        yield f"has {count} stages; expected 1 to {MAX_STAGES}"
    for name, uses in sorted(Counter(pipeline.stages).items()):
        service = configuration.services.get(name)
        if service is None:
            yield f"service {name!r} does not exist"
        elif uses > 1 and not service.is_idempotent:
            yield f"repeats {name!r}, which is not idempotent"


def check_services_reachable(
    configuration: Configuration,
) -> Iterator[RuleFault]:
    """Find services that no workspace's places reach."""
    wanted = distinct_places(configuration)
    if not wanted:
        return
    permitted = frozenset[str]().union(*wanted)
    for service in configuration.services.values():
        if permitted.isdisjoint(service.places):
            yield RuleFault(
                f"service.{service.name}.places",
                "no workspace permits any of these places",
            )


def distinct_places(configuration: Configuration) -> set[PlaceSet]:
    """List each distinct set of places that workspaces permit."""
    return {each.places for each in configuration.workspaces.values()}


def check_stages_reachable(
    configuration: Configuration,
) -> Iterator[RuleFault]:
    """Find workspaces that can't reach a service or a pipeline's stage."""
    details = {
        places: list(describe_unreachable(configuration, places))
        for places in distinct_places(configuration)
    }
    for workspace in configuration.workspaces.values():
        for detail in details[workspace.places]:
            yield RuleFault(f"workspace.{workspace.name}.places", detail)


def describe_unreachable(
    configuration: Configuration, places: PlaceSet
) -> Iterator[str]:
    """Describe what upstreams in these places can't serve."""
    services = configuration.services
    if services and all(
        places.isdisjoint(service.places) for service in services.values()
    ):
        yield "no upstream of any service may be in these places"
    for pipeline in configuration.pipelines.values():
        for stage in dict.fromkeys(pipeline.stages):
            service = services.get(stage)
            if service and places.isdisjoint(service.places):
                yield (
                    f"no upstream of stage {stage!r} of pipeline "
                    f"{pipeline.name!r} may be in these places"
                )
