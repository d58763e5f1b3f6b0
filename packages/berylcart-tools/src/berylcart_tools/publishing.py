"""Publish a configuration text and wait until it is in force."""

from collections.abc import Awaitable, Callable, Sequence

import anyio
from berylcart.coordination.config.keeper import ConfigKeeper
from berylcart.coordination.ports import Log
from berylcart.state.errors import (
    BerylcartError,
    Code,
    LogAmbiguousError,
    LogUnavailableError,
    Ran,
)
from berylcart.state.records import CONFIG_STREAM, Publication, Verdict

RESEND_S = 2.0
POLL_S = 0.2

VersionReader = Callable[[str], Awaitable[int | None]]


async def publish_text(
    log: Log, publication: Publication, timeout_s: float
) -> Verdict:
    """Append a publication and fold the log until it is judged.

    A lost answer is followed by the same publish_id, which is judged once.
    Raises LOG_UNAVAILABLE when nothing was appended in time, and
    LOG_AMBIGUOUS when it may have been but its verdict is not known.
    """
    keeper = ConfigKeeper(log, has_checkpoint_duty=False)
    sender = Sender(log, publication)
    with anyio.move_on_after(timeout_s):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keeper.run)
            tasks.start_soon(sender.run)
            verdict = await keeper.wait_for_verdict(publication.publish_id)
            tasks.cancel_scope.cancel()
            return verdict
    if sender.is_sent:
        detail = f"no verdict on {publication.publish_id} in {timeout_s} s"
        raise BerylcartError(Code.LOG_AMBIGUOUS, detail, ran=Ran.UNKNOWN)
    raise LogUnavailableError(f"nothing was appended in {timeout_s} s")


class Sender:
    """Append one publication until an append is confirmed."""

    def __init__(self, log: Log, publication: Publication) -> None:
        self.log = log
        self.publication = publication
        self.is_sent = False

    async def run(self) -> None:
        """Append; after a lost answer append again under the same id."""
        while True:
            try:
                self.is_sent, was_sent = True, self.is_sent
                await self.log.append(CONFIG_STREAM, [self.publication])
                return
            except LogUnavailableError:
                self.is_sent = was_sent
            except LogAmbiguousError:
                pass
            await anyio.sleep(RESEND_S)


async def read_version(log: Log, timeout_s: float) -> int:
    """Fold the log to its end and give the version in force.

    Raises LOG_UNAVAILABLE when that takes too long.
    """
    keeper = await follow_to_end(log, timeout_s)
    return keeper.current.version


async def follow_to_end(log: Log, timeout_s: float) -> ConfigKeeper:
    """Fold the log to its end; raises LOG_UNAVAILABLE after timeout_s."""
    keeper = ConfigKeeper(log, has_checkpoint_duty=False)
    with anyio.move_on_after(timeout_s):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keeper.run)
            await keeper.wait_caught_up()
            tasks.cancel_scope.cancel()
            return keeper
    raise LogUnavailableError(f"the log was not read in {timeout_s} s")


async def wait_in_force(
    entries: Sequence[str],
    version: int,
    read_entry_version: VersionReader,
    timeout_s: float,
) -> int:
    """Poll entries until all have a version; count those that have it."""
    behind = set(entries)
    with anyio.move_on_after(timeout_s):
        while behind:
            for entry in sorted(behind):
                known = await read_entry_version(entry)
                if known is not None and known >= version:
                    behind.discard(entry)
            if behind:
                await anyio.sleep(POLL_S)
    return len(entries) - len(behind)


def rejection(reason: str) -> BerylcartError:
    """Read a verdict's reason back into the error that it names.

    >>> rejection("4002 CONFIG_INVALID: line 3: unknown key").detail
    'line 3: unknown key'
    """
    head, _, detail = reason.partition(": ")
    number = head.partition(" ")[0]
    if number.isdecimal() and int(number) in set(Code):
        return BerylcartError(Code(int(number)), detail)
    return BerylcartError(Code.CONFIG_CONFLICT, reason)
