"""Spread the processing of large input over passes of the event loop."""

import anyio


class InputTurns:
    """Let one connection after the other process its input.

    A connection whose next request was sent ahead waits for all that wait
    already, and one of them goes on in each pass of the event loop. All other
    tasks run in between, whatever the number of such connections.
    """

    def __init__(self) -> None:
        self.lock = anyio.Lock()

    async def wait(self) -> None:
        """Wait for the next turn; at least one pass of the event loop."""
        async with self.lock:
            # Released at once: its next owner runs in the next pass.
            pass
