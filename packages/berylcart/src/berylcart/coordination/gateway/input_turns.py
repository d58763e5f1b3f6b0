"""Spread the processing of large input over passes of the event loop."""

import anyio

# Lines of heads and pieces of bodies that a connection may parse before it
# lets others run. A request within usual sizes has a few dozen.
MAX_ITEMS_PER_TURN = 512


class InputTurns:
    """Let one connection after the other process its input.

    Each connection that has used up its turn waits for all that wait already,
    and one of them goes on in each pass of the event loop. All other tasks
    run in between, whatever the number of connections with large input.
    """

    def __init__(self) -> None:
        self.lock = anyio.Lock()

    async def wait(self) -> None:
        """Wait for the next turn; at least one pass of the event loop."""
        async with self.lock:
            # Released at once: its next owner runs in the next pass.
            pass


class TurnMeter:
    """Tell when one connection has used up its turn.

    >>> meter = TurnMeter()
    >>> meter.is_used_up(500), meter.is_used_up(600)
    (False, True)
    >>> meter.start(600)
    >>> meter.is_used_up(1100)
    False
    """

    def __init__(self) -> None:
        self.started_at_items = 0

    def is_used_up(self, parsed_items: int) -> bool:
        """Return whether too many items were parsed in this turn."""
        return parsed_items - self.started_at_items > MAX_ITEMS_PER_TURN

    def start(self, parsed_items: int) -> None:
        """Start a turn."""
        self.started_at_items = parsed_items
