"""Read the event loop's clock and sleep, in milliseconds."""

import anyio

MS_PER_S = 1000


def now_ms() -> int:
    """Return the event loop's current time in milliseconds."""
    return int(anyio.current_time() * MS_PER_S)


async def sleep_ms(duration_ms: float) -> None:
    """Sleep for a number of milliseconds."""
    await anyio.sleep(duration_ms / MS_PER_S)
