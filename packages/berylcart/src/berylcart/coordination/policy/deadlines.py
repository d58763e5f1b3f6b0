"""Split one deadline over the stages that are still to run."""

from collections.abc import Sequence

Stage = tuple[str, float]


def total_ms(stages: Sequence[Stage]) -> float:
    """Add the expected latencies of stages.

    >>> total_ms([("encoder", 10), ("model", 90)])
    100
    """
    return sum(expected_ms for _, expected_ms in stages)


def split(remaining_ms: float, stages: Sequence[Stage]) -> tuple[float, ...]:
    """Divide the remaining time in proportion to expected latencies.

    >>> split(1000, [("encoder", 10), ("model", 90)])
    (100.0, 900.0)
    >>> split(1000, [("encoder", 0), ("model", 0)])
    (500.0, 500.0)
    >>> split(-5, [("encoder", 10)])
    (0.0,)
    """
    usable_ms = max(0.0, float(remaining_ms))
    expected_ms = total_ms(stages)
    if expected_ms <= 0:
        return tuple(usable_ms / len(stages) for _ in stages)
    return tuple(usable_ms * (ms / expected_ms) for _, ms in stages)


def longest_ms(remaining_ms: float, stages: Sequence[Stage]) -> float:
    """Give the longest the first stage may take without failing the rest.

    >>> longest_ms(1000, [("encoder", 10), ("model", 90)])
    910.0
    """
    return max(0.0, float(remaining_ms - total_ms(stages[1:])))


def can_finish(remaining_ms: float, stages: Sequence[Stage]) -> bool:
    """Say whether the expected latencies fit in the remaining time.

    >>> can_finish(100, [("encoder", 10), ("model", 90)])
    True
    >>> can_finish(99, [("encoder", 10), ("model", 90)])
    False
    """
    return total_ms(stages) <= remaining_ms
