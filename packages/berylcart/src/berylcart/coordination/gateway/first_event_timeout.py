"""Compute how long callers wait for an event before they disconnect."""

from berylcart.state.routes import Route

MS_PER_S = 1000
# Callers disconnect from a stream that sends no event for the longest of: this
# time, this many target latencies, this many event gaps.
MIN_FIRST_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_TARGET_FACTOR = 4
FIRST_EVENT_GAP_FACTOR = 8


def first_event_timeout_s(route: Route) -> float:
    """Return how long callers of a route wait for the next event.

    >>> from berylcart.state.routes import RouteKind
    >>> route = Route("r", "h", "/", RouteKind.STREAM, (), 15_000, 1700)
    >>> first_event_timeout_s(route._replace(gap_ms=200))
    6.8
    """
    target_s = FIRST_EVENT_TARGET_FACTOR * route.target_ms / MS_PER_S
    gaps_s = FIRST_EVENT_GAP_FACTOR * route.gap_ms / MS_PER_S
    return max(MIN_FIRST_EVENT_TIMEOUT_S, target_s, gaps_s)
