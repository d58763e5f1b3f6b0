"""Isolate the daemon from unexpected errors in its tasks."""

from collections.abc import Awaitable, Callable
from traceback import format_exception

import anyio
from berylcart import events

# Keeps a task that fails immediately from using all processor time.
RESTART_DELAY_S = 1.0


async def run_and_log_errors(
    function: Callable[..., Awaitable[object]], *args: object
) -> bool:
    """Run a function and return whether it ended without an error.

    An error is logged; cancellation propagates.
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


async def run_with_restarts(
    function: Callable[..., Awaitable[object]], *args: object
) -> None:
    """Run a function and restart it after each error until it returns."""
    while True:
        if await run_and_log_errors(function, *args):
            return
        await anyio.sleep(RESTART_DELAY_S)
