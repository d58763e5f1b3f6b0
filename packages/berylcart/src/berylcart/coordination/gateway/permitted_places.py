"""Determine the places in which a request may run from its regions.

A route and a workspace may each list regions; if both do, the intersection
applies.
"""

from collections.abc import Iterable, Mapping

from berylcart.state.routes import KeyOwner, Route

Regions = frozenset[str] | None
# None permits all places, an empty set permits none.
Places = frozenset[str] | None


def intersect_regions(left: Regions, right: Regions) -> Regions:
    """Intersect two sets of regions; None means no restriction.

    >>> intersect_regions(None, None) is None
    True
    >>> sorted(intersect_regions(frozenset("ab"), None))
    ['a', 'b']
    >>> sorted(intersect_regions(frozenset("a"), frozenset("b")))
    []
    """
    if left is None or right is None:
        return right if left is None else left
    return left & right


def places_in(regions: Regions, region_of: Mapping[str, str]) -> Places:
    """Return the places in the regions; a place of unknown region is in none.

    >>> places_in(frozenset({"north"}), {"hall-1": "north", "hall-2": "south"})
    frozenset({'hall-1'})
    """
    if regions is None:
        return None
    return frozenset(
        place for place, region in region_of.items() if region in regions
    )


def permitted_places(
    route: Route, owner: KeyOwner | None, region_of: Mapping[str, str]
) -> Places:
    """Return where a workspace's requests on a route may run."""
    regions = intersect_regions(
        route.regions, None if owner is None else owner.regions
    )
    return places_in(regions, region_of)


def entry_places(
    routes: Iterable[Route], own_region: str, region_of: Mapping[str, str]
) -> Places:
    """Return the places whose entry points may serve a host's callers.

    A caller may also use the entry points of its own region. If several routes
    list regions, an entry point must be in the regions of each, as the
    request's path is not yet known.

    >>> from berylcart.state.routes import RouteKind
    >>> open_ = Route("r", "h", "/", RouteKind.STREAM, (), 1, 1)
    >>> closed = open_._replace(regions=frozenset({"north"}))
    >>> region_of = {"hall-1": "north", "hall-2": "south", "hall-3": "west"}
    >>> entry_places([open_], "south", region_of) is None
    True
    >>> sorted(entry_places([open_, closed], "south", region_of))
    ['hall-1', 'hall-2']
    """
    regions: Regions = None
    for route in routes:
        regions = intersect_regions(regions, route.regions)
    if regions is None:
        return None
    return places_in(regions | {own_region}, region_of)


def permits(places: Places, place: str) -> bool:
    """Return whether a place is permitted.

    >>> permits(None, "hall-1"), permits(frozenset(), "hall-1")
    (True, False)
    """
    return places is None or place in places
