"""Read and wait on the runtime's clock in milliseconds."""

import anyio

MS_PER_S = 1000


def now_ms() -> int:
    """Read the runtime's clock."""
    return int(anyio.current_time() * MS_PER_S)


async def sleep_ms(duration_ms: float) -> None:
    """Sleep for a duration."""
    await anyio.sleep(duration_ms / MS_PER_S)
