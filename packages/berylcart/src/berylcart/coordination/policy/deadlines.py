"""Split the time to a deadline between the remaining stages."""

from collections.abc import Sequence

ExpectedStage = tuple[str, float]


def total_expected_ms(stages: Sequence[ExpectedStage]) -> float:
    """Sum the expected latencies of the stages.

    >>> total_expected_ms([("encoder", 10), ("model", 90)])
    100
    """
    return sum(expected_ms for _, expected_ms in stages)


def split_deadline(
    remaining_ms: float, stages: Sequence[ExpectedStage]
) -> tuple[float, ...]:
    """Split the remaining time in proportion to expected latencies.

    >>> split_deadline(1000, [("encoder", 10), ("model", 90)])
    (100.0, 900.0)
    >>> split_deadline(1000, [("encoder", 0), ("model", 0)])
    (500.0, 500.0)
    >>> split_deadline(-5, [("encoder", 10)])
    (0.0,)
    """
    available_ms = max(0.0, float(remaining_ms))
    expected_ms = total_expected_ms(stages)
    if expected_ms <= 0:
        return tuple(available_ms / len(stages) for _ in stages)
    return tuple(available_ms * (ms / expected_ms) for _, ms in stages)


def max_first_stage_ms(
    remaining_ms: float, stages: Sequence[ExpectedStage]
) -> float:
    """Return the longest time for the first stage that fits the others.

    >>> max_first_stage_ms(1000, [("encoder", 10), ("model", 90)])
    910.0
    """
    return max(0.0, float(remaining_ms - total_expected_ms(stages[1:])))


def can_finish(remaining_ms: float, stages: Sequence[ExpectedStage]) -> bool:
    """Tell whether the expected latencies fit in the remaining time.

    >>> can_finish(100, [("encoder", 10), ("model", 90)])
    True
    >>> can_finish(99, [("encoder", 10), ("model", 90)])
    False
    """
    return total_expected_ms(stages) <= remaining_ms
