"""Publish a configuration text and wait until it is in force."""

from collections.abc import Awaitable, Callable, Sequence

import anyio
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.coordination.ports import Log
from berylcart.state.errors import (
    BerylcartError,
    Code,
    LogAmbiguousError,
    LogUnavailableError,
    Ran,
)
from berylcart.state.records import CONFIG_STREAM, Publication, Verdict

RETRY_INTERVAL_S = 2.0
POLL_INTERVAL_S = 0.2

VersionReader = Callable[[str], Awaitable[int | None]]


async def publish_and_await_verdict(
    log: Log, publication: Publication, timeout_s: float
) -> Verdict:
    """Append a publication and replay the log until its verdict.

    If an answer is lost, the publication is appended again under the same
    publish_id, which gets a single verdict. Raises LOG_UNAVAILABLE if nothing
    was appended in time, and LOG_AMBIGUOUS if an append may have succeeded
    but the verdict is not known.
    """
    keeper = ConfigFollower(log, writes_checkpoints=False)
    publication_sender = PublicationSender(log, publication)
    with anyio.move_on_after(timeout_s):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keeper.run)
            tasks.start_soon(publication_sender.run)
            verdict = await keeper.wait_for_verdict(publication.publish_id)
            tasks.cancel_scope.cancel()
            return verdict
    if publication_sender.is_sent:
        detail = f"no verdict on {publication.publish_id} within {timeout_s} s"
        raise BerylcartError(Code.LOG_AMBIGUOUS, detail, ran=Ran.UNKNOWN)
    raise LogUnavailableError(f"nothing was appended within {timeout_s} s")


class PublicationSender:
    """Append one publication, retrying until an append is confirmed."""

    def __init__(self, log: Log, publication: Publication) -> None:
        self.log = log
        self.publication = publication
        self.is_sent = False

    async def run(self) -> None:
        """Append, and retry every RETRY_INTERVAL_S under the same id."""
        while True:
            try:
                self.is_sent, was_sent_before = True, self.is_sent
                await self.log.append(CONFIG_STREAM, [self.publication])
                return
            except LogUnavailableError:
                self.is_sent = was_sent_before
            except LogAmbiguousError:
                pass
            await anyio.sleep(RETRY_INTERVAL_S)


async def read_version_in_force(log: Log, timeout_s: float) -> int:
    """Replay the log to its end and return the version in force.

    Raises LOG_UNAVAILABLE after timeout_s.
    """
    keeper = await replay_to_end(log, timeout_s)
    return keeper.current.version


async def replay_to_end(log: Log, timeout_s: float) -> ConfigFollower:
    """Replay the log to its end; raises LOG_UNAVAILABLE after timeout_s."""
    keeper = ConfigFollower(log, writes_checkpoints=False)
    with anyio.move_on_after(timeout_s):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keeper.run)
            await keeper.wait_until_caught_up()
            tasks.cancel_scope.cancel()
            return keeper
    raise LogUnavailableError(
        f"the end of the log was not reached within {timeout_s} s"
    )


async def wait_in_force(
    entries: Sequence[str],
    version: int,
    read_entry_version: VersionReader,
    timeout_s: float,
) -> int:
    """Poll entries until a version is in force; return how many apply it."""
    pending = set(entries)
    with anyio.move_on_after(timeout_s):
        while pending:
            for entry in sorted(pending):
                applied_version = await read_entry_version(entry)
                if applied_version is not None and applied_version >= version:
                    pending.discard(entry)
            if pending:
                await anyio.sleep(POLL_INTERVAL_S)
    return len(entries) - len(pending)


def rejection_error(reason: str) -> BerylcartError:
    """Convert the reason of a verdict to the error that it names.

    >>> rejection_error("4002 CONFIG_INVALID: line 3: unknown key").detail
    'line 3: unknown key'
    """
    prefix, _, detail = reason.partition(": ")
    code_text = prefix.partition(" ")[0]
    if code_text.isdecimal() and int(code_text) in set(Code):
        return BerylcartError(Code(int(code_text)), detail)
    return BerylcartError(Code.CONFIG_CONFLICT, reason)
