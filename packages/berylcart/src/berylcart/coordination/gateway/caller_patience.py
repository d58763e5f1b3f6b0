"""Compute how long callers wait for an event before they disconnect."""

from berylcart.state.routes import Route

MS_PER_S = 1000
# Callers disconnect from a stream that sends no event for the longest of: this
# time, this many target latencies, this many event gaps.
FIRST_EVENT_S = 2.0
FIRST_EVENT_TARGETS = 4
FIRST_EVENT_GAPS = 8


def first_event_s(route: Route) -> float:
    """Return how long callers of a route wait for the next event.

    >>> from berylcart.state.routes import RouteKind
    >>> first_event_s(Route("r", "h", "/", RouteKind.STREAM, (), 15_000,
    ...                     1700, gap_ms=200))
    6.8
    """
    target_s = FIRST_EVENT_TARGETS * route.target_ms / MS_PER_S
    gaps_s = FIRST_EVENT_GAPS * route.gap_ms / MS_PER_S
    return max(FIRST_EVENT_S, target_s, gaps_s)
