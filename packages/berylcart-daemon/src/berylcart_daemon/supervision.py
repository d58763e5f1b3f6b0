"""Keep an unexpected error of one task from ending the daemon."""

from collections.abc import Awaitable, Callable
from traceback import format_exception

import anyio
from berylcart import events

# A task that fails again at once must not take the processor.
RESTART_PAUSE_S = 1.0


async def run_guarded(
    function: Callable[..., Awaitable[object]], *args: object
) -> bool:
    """Run a function and tell whether it ended without an error.

    An error is logged. Cancellation passes.
    """
    try:
        await function(*args)
    except Exception as error:
        events.error(
            "daemon.fault",
            task=getattr(function, "__qualname__", repr(function)),
            detail="".join(format_exception(error)),
        )
        return False
    return True


async def keep_running(
    function: Callable[..., Awaitable[object]], *args: object
) -> None:
    """Run a function, and again after each error, until it returns."""
    while True:
        if await run_guarded(function, *args):
            return
        await anyio.sleep(RESTART_PAUSE_S)
