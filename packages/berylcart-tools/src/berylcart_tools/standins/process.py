"""Run one stand-in as a process of its own."""

import signal
from collections.abc import Awaitable
from functools import partial
from typing import Any, Protocol

import anyio
from absl import flags, logging
from berylcart import events
from berylcart.state.errors import CODE_INFO, BerylcartError

EXIT_OK = 0


class Serve(Protocol):
    """Serve a stand-in with its settings until stop is set."""

    def __call__(self, settings: Any, *, stop: anyio.Event) -> Awaitable[None]:
        """Serve until stop is set."""
        ...


def find_error(error: BaseException) -> BerylcartError | None:
    """Find the first berylcart error in nested groups.

    >>> find_error(ExceptionGroup("outer", [ValueError()])) is None
    True
    """
    if isinstance(error, BerylcartError):
        return error
    if isinstance(error, BaseExceptionGroup):
        found = [find_error(inner) for inner in error.exceptions]
        return next((inner for inner in found if inner is not None), None)
    return None


async def serve_until_signal(serve: Serve, settings: Any) -> None:
    """Serve until SIGTERM or SIGINT, then leave gracefully."""
    stop = anyio.Event()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:

            async def run() -> None:
                await serve(settings, stop=stop)
                tasks.cancel_scope.cancel()

            tasks.start_soon(run)
            async for number in signals:
                events.info("standin.stopping", signal=number.name)
                stop.set()


def start_logging() -> None:
    """Send events to standard error."""
    flags.FLAGS(["berylcart", "--logtostderr"])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)


def run_process(serve: Serve, settings: Any) -> int:
    """Serve in this process and give its exit status."""
    start_logging()
    try:
        anyio.run(partial(serve_until_signal, serve, settings))
    except (BerylcartError, ExceptionGroup) as error:
        found = find_error(error)
        if found is None:
            raise
        events.error("standin.failed", detail=found.detail)
        return CODE_INFO[found.code].exit_status
    return EXIT_OK
