"""Follow the configuration stream and hold the active configuration."""

import random
from typing import NamedTuple

import anyio
from tenacity import (
    AsyncRetrying,
    RetryCallState,
    retry_if_exception_type,
    wait_random_exponential,
)

from berylcart import events
from berylcart.coordination.config.checkpoints import CheckpointWriter
from berylcart.coordination.config.lease import ConfigLease
from berylcart.coordination.config.paged_log import PagedLog
from berylcart.coordination.config.recovery import PAGE_RECORDS, find_start
from berylcart.coordination.ports import Log
from berylcart.state.config import Configuration
from berylcart.state.config_fold import (
    INITIAL_STATE,
    FoldState,
    fold,
    to_checkpoint,
    to_fold_state,
)
from berylcart.state.config_text import ConfigTextError
from berylcart.state.errors import (
    BerylcartError,
    Code,
    LogGapError,
    LogUnavailableError,
)
from berylcart.state.peer_messages import ConfigFreshness
from berylcart.state.records import (
    CONFIG_STREAM,
    Checkpoint,
    LogEntry,
    LogPage,
    Verdict,
)

MS_PER_S = 1000
MAX_AGE_S = 1_000_000.0
LEASE_S = 10.0
RETENTION_S = 86_400.0
POLLS_PER_LEASE = 4
READ_TIMEOUT_S = 5.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class Snapshot(NamedTuple):
    """Hold the active configuration with its version and log offset.

    verified_at_s is the runtime's time at which it was last known to be the
    newest, minus infinity if never.
    """

    version: int
    as_of_offset: int
    configuration: Configuration
    verified_at_s: float


class ConfigFollower:
    """Fold the configuration stream and provide the active version."""

    def __init__(
        self,
        log: Log,
        *,
        lease_s: float = LEASE_S,
        retention_s: float = RETENTION_S,
        writes_checkpoints: bool = True,
        seed: int | None = None,
    ) -> None:
        self._log = PagedLog(log)
        self._state = INITIAL_STATE
        self._has_state = False
        self._is_caught_up = False
        self._changed = anyio.Event()
        self._wait_ms = int(lease_s * MS_PER_S / POLLS_PER_LEASE)
        self._has_checkpoint_duty = writes_checkpoints
        self.lease = ConfigLease(lease_s)
        self._checkpoint_writer = CheckpointWriter(
            self._log, self.checkpoint, retention_s, random.Random(seed)
        )

    @property
    def current(self) -> Snapshot:
        """Return the active configuration; version 0 before the first."""
        state = self._state
        return Snapshot(
            state.version,
            state.next_offset,
            state.configuration,
            self.lease.verified_at_s,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is loaded that requests may use."""
        return (
            self._is_caught_up
            and self._state.unknown_format is None
            and self._state.version > 0
        )

    @property
    def is_current(self) -> bool:
        """Return whether the configuration is ready and its lease valid."""
        return self.is_ready and self.lease.is_valid(
            self._state.next_offset, anyio.current_time()
        )

    def check_current(self) -> None:
        """Raise FORMAT_UNKNOWN, NOT_READY or CONFIG_STALE unless current."""
        unknown_format = self._state.unknown_format
        if unknown_format is not None:
            detail = f"the configuration has format {unknown_format}"
            raise BerylcartError(Code.FORMAT_UNKNOWN, detail)
        if not self.is_ready:
            raise BerylcartError(Code.NOT_READY, "no configuration yet")
        if not self.is_current:
            detail = "neither the log nor most of the daemons answer"
            raise BerylcartError(Code.CONFIG_STALE, detail)

    def verdict(self, publish_id: str) -> Verdict | None:
        """Return the verdict on a publication, None if not yet folded."""
        return self._state.find_verdict(publish_id)

    @property
    def verdicts(self) -> tuple[Verdict, ...]:
        """Return the retained verdicts, oldest first."""
        return self._state.verdicts

    def checkpoint(self) -> Checkpoint | None:
        """Return the state as a checkpoint, None while it is incomplete."""
        if not self._is_caught_up or self._state.unknown_format is not None:
            return None
        return to_checkpoint(self._state)

    def freshness(self) -> ConfigFreshness:
        """Return the folded offset and the time since it was the log's end."""
        if self.checkpoint() is None:
            return ConfigFreshness()
        age_s = anyio.current_time() - self.lease.verified_at_s
        return ConfigFreshness(
            self._state.version,
            self._state.next_offset,
            int(min(age_s, MAX_AGE_S) * MS_PER_S),
        )

    def offer(self, checkpoint: Checkpoint) -> bool:
        """Adopt a peer's checkpoint if newer; return whether it was."""
        try:
            state = to_fold_state(checkpoint)
        except ConfigTextError as error:
            events.warning("config.offer_refused", detail=str(error))
            return False
        return self._adopt(state, "peer")

    def record_peer_freshness(
        self,
        peer_id: str,
        as_of_offset: int,
        age_ms: int,
        live_daemon_count: int,
        *,
        asked_at_s: float,
    ) -> None:
        """Record a peer's freshness; one that has folded nothing is ignored.

        asked_at_s is the send time of the request that the peer answered,
        less the age of relayed data. The receive time would be wrong for an
        unsolicited message, which may have waited while this process was
        frozen. as_of_offset is the offset up to which the peer has folded,
        age_ms the time since it knew that to be the log's end.
        live_daemon_count is the number of daemons in the newest VM list.
        """
        self.lease.live_daemon_count = live_daemon_count
        self.lease.record_peer(peer_id, as_of_offset, asked_at_s)
        self.confirm(as_of_offset, age_ms, asked_at_s)

    def confirm(
        self, as_of_offset: int, age_ms: int, asked_at_s: float
    ) -> None:
        """Extend the lease if the log ended here age_ms before asked_at_s."""
        if 0 <= as_of_offset <= self._state.next_offset:
            self.lease.record_verified(asked_at_s - age_ms / MS_PER_S)

    async def wait_for(self, version: int) -> Snapshot:
        """Wait until a version or a later one is active."""
        while self._state.version < version:
            await self._changed.wait()
        return self.current

    async def wait_for_verdict(self, publish_id: str) -> Verdict:
        """Wait for the verdict on a publication."""
        while True:
            verdict = self.verdict(publish_id)
            if verdict is not None:
                return verdict
            await self._changed.wait()

    async def wait_until_caught_up(self) -> None:
        """Wait until the log is read to its end or a peer's state adopted."""
        while not self._is_caught_up:
            await self._changed.wait()

    async def run(self) -> None:
        """Follow the log and write checkpoints until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow)
            if self._has_checkpoint_duty:
                tasks.start_soon(self._checkpoint_writer.run)

    async def _follow(self) -> None:
        """Fold page after page, backing off while the log is unavailable."""
        retrying = AsyncRetrying(
            sleep=anyio.sleep,
            wait=wait_random_exponential(MIN_BACKOFF_S, MAX_BACKOFF_S),
            retry=retry_if_exception_type(LogUnavailableError),
            before_sleep=log_retry,
        )
        while True:
            await retrying(self._step)

    async def _step(self) -> None:
        """Load the initial state, or fold the next page."""
        if not self._has_state or self._state.unknown_format is not None:
            await self._load_start()
            return
        try:
            await self._fold_page()
        except LogGapError as error:
            events.warning("config.gap", detail=str(error))
            await self._load_start()

    async def _load_start(self) -> None:
        """Adopt a checkpoint that is newer than the current state."""
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                state = await find_start(self._log)
        except (LogGapError, TimeoutError) as error:
            raise LogUnavailableError(
                f"no start state found: {error}"
            ) from error
        if state is None or not self._adopt(state, "log"):
            raise LogUnavailableError(
                "no checkpoint joins the retained records"
            )

    async def _fold_page(self) -> None:
        """Wait for a page of records and fold it."""
        requested_at_s = anyio.current_time()
        page = await self._read()
        if page.end_offset < self._state.next_offset:
            raise LogUnavailableError(
                f"the log ends at offset {page.end_offset}, "
                f"before the folded offset {self._state.next_offset}"
            )
        for entry in page.entries:
            self._fold_entry(entry)
        if self._state.next_offset == page.end_offset:
            self.lease.record_verified(requested_at_s)
            self._set_caught_up()

    async def _read(self) -> LogPage:
        """Read the next page within a timeout."""
        timeout_s = self._wait_ms / MS_PER_S + READ_TIMEOUT_S
        try:
            with anyio.fail_after(timeout_s):
                return await self._log.read(
                    CONFIG_STREAM,
                    self._state.next_offset,
                    wait_ms=self._wait_ms,
                    limit=PAGE_RECORDS,
                )
        except TimeoutError as error:
            detail = f"the log did not answer within {timeout_s} s"
            raise LogUnavailableError(detail) from error

    def _fold_entry(self, entry: LogEntry) -> None:
        """Fold an entry, unless an adopted state already includes it."""
        if entry.offset != self._state.next_offset:
            return
        self._set_state(fold(self._state, entry), "log")
        if isinstance(entry.record, Checkpoint):
            self._checkpoint_writer.record_checkpoint(entry.time_ms)
        else:
            self._checkpoint_writer.count_record()

    def _adopt(self, state: FoldState, source: str) -> bool:
        """Replace the state by one that is newer; return whether it was."""
        current_state = self._state
        if self._has_state and state.next_offset <= current_state.next_offset:
            return False
        if state.version < current_state.version:
            events.warning("config.lower_version", source=source)
            return False
        self._has_state = True
        self._set_state(state, source)
        if source == "peer":
            self._set_caught_up()
        return True

    def _set_caught_up(self) -> None:
        """Mark the state as complete."""
        if not self._is_caught_up:
            self._is_caught_up = True
            self._notify_changed()

    def _set_state(self, state: FoldState, source: str) -> None:
        """Activate a state and wake all waiters."""
        current_state = self._state
        self._state = state
        if state.version != current_state.version:
            events.info(
                "config.applied",
                version=state.version,
                as_of_offset=state.next_offset,
                source=source,
            )
        if state.unknown_format != current_state.unknown_format:
            events.error(
                "config.format_unknown", format_version=state.unknown_format
            )
        self._notify_changed()

    def _notify_changed(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = anyio.Event()


def log_retry(retry: RetryCallState) -> None:
    """Log a failed attempt to read the configuration stream."""
    error = retry.outcome.exception() if retry.outcome else None
    events.warning(
        "config.log_unavailable",
        attempt=retry.attempt_number,
        detail=str(error),
    )
