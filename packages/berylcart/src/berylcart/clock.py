"""Read the event loop's clock, which tests can control."""

import asyncio

import anyio


def now_s() -> float:
    """Return the running event loop's time; raises RuntimeError without one.

    asyncio is tried first, because anyio.current_time() detects the async
    library on every call, which takes most of its time.
    """
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return anyio.current_time()
