"""Rules that involve more than one table of a configuration."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from berylcart.state.config import Configuration, Pipeline

MAX_STAGES = 16

DependencyGraph = Mapping[str, tuple[str, ...]]
PlaceSet = frozenset[str]


class RuleFault(NamedTuple):
    """Describe a violated rule and the path of the key at fault."""

    path: str
    detail: str


def find_rule_faults(configuration: Configuration) -> list[RuleFault]:
    """Return all violations of the rules in a configuration."""
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
    """Yield each key that refers to places, with those places."""
    for place in configuration.places.values():
        yield f"place.{place.name}.delay_ms", place.delay_ms
    for service in configuration.services.values():
        yield f"service.{service.name}.places", service.places
    for workspace in configuration.workspaces.values():
        yield f"workspace.{workspace.name}.places", workspace.places


def check_places(configuration: Configuration) -> Iterator[RuleFault]:
    """Find references to places that are not declared."""
    declared = configuration.places.keys()
    for path, names in list_place_uses(configuration):
        for name in sorted(set(names) - declared):
            yield RuleFault(path, f"place {name!r} is not declared")


def check_dependencies(configuration: Configuration) -> Iterator[RuleFault]:
    """Find dependencies that do not exist or that form a cycle."""
    services = configuration.services
    graph = {name: each.depends_on for name, each in services.items()}
    for name, dependencies in graph.items():
        path = f"service.{name}.depends_on"
        for missing in sorted(set(dependencies) - graph.keys()):
            yield RuleFault(path, f"service {missing!r} does not exist")
    for cycle in find_cycles(graph):
        path = f"service.{cycle[0]}.depends_on"
        yield RuleFault(path, "cycle " + " -> ".join([*cycle, cycle[0]]))


def find_cycles(graph: DependencyGraph) -> list[tuple[str, ...]]:
    """Find at most one cycle per depth-first search tree.

    >>> find_cycles({"a": ("b",), "b": ("a",), "c": ("a",)})
    [('a', 'b')]
    """
    cycles = []
    visited: set[str] = set()
    for root in sorted(graph):
        cycle = find_first_cycle(graph, root, visited)
        if cycle:
            cycles.append(cycle)
    return cycles


def find_first_cycle(
    graph: DependencyGraph, root: str, visited: set[str]
) -> tuple[str, ...]:
    """Return the first cycle of a depth-first search from a root."""
    cycle: tuple[str, ...] = ()
    path: list[str] = []
    stack = [(root, False)]
    while stack:
        node, is_exit = stack.pop()
        if is_exit:
            path.pop()
            visited.add(node)
            continue
        if node in path:
            cycle = cycle or rotate_to_smallest(path[path.index(node) :])
            continue
        if node in visited or node not in graph:
            continue
        path.append(node)
        stack.append((node, True))
        stack.extend((name, False) for name in sorted(graph[node]))
    return cycle


def rotate_to_smallest(cycle: list[str]) -> tuple[str, ...]:
    """Rotate a cycle so that it starts at its smallest name.

    >>> rotate_to_smallest(["c", "a", "b"])
    ('a', 'b', 'c')
    """
    first = cycle.index(min(cycle))
    return tuple(cycle[first:] + cycle[:first])


def check_pipelines(configuration: Configuration) -> Iterator[RuleFault]:
    """Find the faults in the stages of all pipelines."""
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
    """Find services whose places no workspace permits."""
    place_sets = distinct_places(configuration)
    if not place_sets:
        return
    permitted = frozenset[str]().union(*place_sets)
    for service in configuration.services.values():
        if permitted.isdisjoint(service.places):
            yield RuleFault(
                f"service.{service.name}.places",
                "no workspace permits any of these places",
            )


def distinct_places(configuration: Configuration) -> set[PlaceSet]:
    """Return the distinct sets of places that workspaces permit."""
    return {each.places for each in configuration.workspaces.values()}


def check_stages_reachable(
    configuration: Configuration,
) -> Iterator[RuleFault]:
    """Find workspaces that can't reach any service or some stage."""
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
    """Describe what upstreams in a set of places can't serve."""
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
