"""Run one stand-in as a separate process."""

import signal
from collections.abc import Awaitable
from functools import partial
from typing import Any, Protocol

import anyio
from absl import flags, logging
from berylcart import events
from berylcart.state.errors import CODE_INFO, BerylcartError

EXIT_OK = 0


class ServeFunction(Protocol):
    """Describe a function that serves one kind of stand-in."""

    def __call__(self, settings: Any, *, stop: anyio.Event) -> Awaitable[None]:
        """Serve with the given settings until stop is set."""
        ...


def find_berylcart_error(error: BaseException) -> BerylcartError | None:
    """Return the first BerylcartError in nested exception groups.

    >>> find_berylcart_error(ExceptionGroup("outer", [ValueError()])) is None
    True
    """
    if isinstance(error, BerylcartError):
        return error
    if isinstance(error, BaseExceptionGroup):
        errors = [find_berylcart_error(inner) for inner in error.exceptions]
        return next((inner for inner in errors if inner is not None), None)
    return None


async def serve_until_signal(serve: ServeFunction, settings: Any) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully."""
    stop = anyio.Event()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:

            async def run() -> None:
                await serve(settings, stop=stop)
                tasks.cancel_scope.cancel()

            tasks.start_soon(run)
            async for received in signals:
                events.info("standin.stopping", signal=received.name)
                stop.set()


def start_logging() -> None:
    """Log events to standard error."""
    flags.FLAGS(["berylcart", "--logtostderr"])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)


def run_process(serve: ServeFunction, settings: Any) -> int:
    """Serve in this process until it is signalled; return its exit status."""
    start_logging()
    try:
        anyio.run(partial(serve_until_signal, serve, settings))
    except (BerylcartError, ExceptionGroup) as error:
        found = find_berylcart_error(error)
        if found is None:
            raise
        events.error("standin.failed", detail=found.detail)
        return CODE_INFO[found.code].exit_status
    return EXIT_OK
