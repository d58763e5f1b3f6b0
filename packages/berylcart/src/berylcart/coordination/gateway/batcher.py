"""Process the pieces of one service in batch calls to its replicas."""

from collections.abc import Callable, Mapping, Sequence
from math import inf

import anyio
from anyio.abc import TaskGroup

from berylcart import clock, events
from berylcart.coordination.gateway.batch_selection import (
    BatchPiece,
    PieceOrder,
    ReplicaSnapshot,
    backlog_s,
    batch_duration_s,
    batch_result_bytes,
    count_ahead,
    read_time_s,
    select_batch,
    useful_entries,
)
from berylcart.coordination.gateway.batch_shortfall import (
    Shortfall,
    explain_shortfall,
)
from berylcart.coordination.gateway.load_shedder import LoadShedder
from berylcart.coordination.gateway.order_queue import OrderQueue
from berylcart.coordination.gateway.ports import PieceClient, TimedPiece
from berylcart.coordination.gateway.queue_rates import QueueRates
from berylcart.coordination.gateway.replica_pauses import ReplicaPauses
from berylcart.coordination.gateway.replica_state import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    REPORT_WEIGHT,
    HeldResult,
)
from berylcart.coordination.gateway.replica_tracker import ReplicaTracker
from berylcart.coordination.gateway.request_limits import RequestLimits
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.relay_messages import (
    PieceFailure,
    PieceResult,
    ReplicaLoad,
)
from berylcart.state.routes import BatchLimits
from berylcart.state.vm import Vm

MS_PER_S = 1000
PERCENT = 100
# The gateway's error must reach the caller before the caller's deadline.
REPLY_MARGIN_S = 0.1
# A call that exceeds this multiple of its expected duration plus the margin
# times out.
CALL_TIMEOUT_FACTOR = 4.0
CALL_TIMEOUT_MARGIN_S = 0.5
MAX_FAILURES = 3
# Size of the next call to a replica whose last call failed, so that another
# failure costs few retries.
PROBE_PIECES = 1
# Share of the results' lifetime that an order may wait for its calls, since
# its inputs expire at the end of that lifetime.
INPUT_LIFETIME_SHARE = 0.8
# Allows for results that exceed the size configured for their stage.
RESULT_SIZE_FACTOR = 1.1
# Results that are no longer needed are freed after about the duration of a
# call, so that several are freed by one request.
FREE_DELAY_S = 0.2
# Interval at which a non-empty queue is checked without other events.
DISPATCH_INTERVAL_S = 0.1


class Batcher:
    """Batch the pieces of different requests for one service's replicas."""

    def __init__(
        self,
        service: str,
        caller: PieceClient,
        budget: RetryWindow,
        pool: Callable[[str], Sequence[Vm]],
        limits: Callable[[str], BatchLimits | None],
        request_limits: RequestLimits,
        pauses: ReplicaPauses,
        on_inputs_read: Callable[[Sequence[str], bool], None] = (
            lambda handles, is_spare: None
        ),
        is_evacuated: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self.service = service
        self.caller = caller
        self.budget = budget
        self.limits = limits
        self.request_limits = request_limits
        self.on_inputs_read = on_inputs_read
        self.orders = OrderQueue()
        self.pauses = pauses
        self.replica_tracker = ReplicaTracker(
            caller, lambda: pool(service), pauses
        )
        self.rates = QueueRates()
        self.tasks: TaskGroup | None = None
        # Called with the service, the pieces of a call and its shortfall.
        self.on_call_started: Callable[[str, int, Shortfall], None] = (
            lambda service, pieces, shortfall: None
        )
        # Results to free that were named before run() started.
        self.drops_before_run: list[str] = []
        self.load_shedder = LoadShedder(
            service,
            self.orders,
            self.replica_tracker,
            self.rates,
            self.overloaded,
            is_evacuated,
        )

    async def run(self) -> None:
        """Dispatch batches to free replicas until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.release_results(self.drops_before_run)
            while True:
                self.dispatch(tasks)
                self.orders.changed = anyio.Event()
                max_wait_s = (
                    DISPATCH_INTERVAL_S if self.orders.waiting else inf
                )
                with anyio.move_on_after(max_wait_s):
                    await self.orders.changed.wait()

    async def make_pieces(self, order: PieceOrder) -> tuple[str, ...]:
        """Process all pieces of an order and return its result handles.

        Raises BerylcartError: OVERLOADED if they can't be processed in time,
        UPSTREAM_REJECTED if an input no longer exists.
        """
        self.check_time(order)
        # Orders and retries of all daemons' requests arrive here, so this
        # daemon counts all of them for the retry budget.
        self.budget.record_request(self.service)
        now_s = clock.now_s()
        pending = self.orders.add(order, now_s + self.remaining_s(order))
        if not order.is_late(now_s):
            self.rates.arrived.record(order.pieces)
        try:
            with anyio.move_on_after(
                order.deadline_s - REPLY_MARGIN_S - clock.now_s()
            ):
                await pending.is_done.wait()
        finally:
            if pending.missing or pending.error is not None:
                self.release_results(
                    [each for each in pending.results if each]
                )
            self.orders.remove(pending)
        if pending.error is not None:
            raise pending.error
        if pending.missing:
            raise self.overloaded(order)
        # Freed earlier, the inputs would be missing if a piece is retried.
        if order.is_only_reader:
            self.on_inputs_read(order.inputs, False)
        events.info(
            "order.completed",
            request_id=order.request_id,
            service=self.service,
            stage=order.stage,
            pieces=order.pieces,
            rank=order.rank,
            slack_ms=int((order.due_s - pending.begun_s) * MS_PER_S),
            queued_ms=int((pending.begun_s - now_s) * MS_PER_S),
            latency_ms=int((clock.now_s() - now_s) * MS_PER_S),
        )
        return tuple(pending.results)

    def overloaded(self, order: PieceOrder) -> BerylcartError:
        """Return the OVERLOADED error for an order that can't be processed."""
        wait_s = self.backlog_s(order)
        return BerylcartError(
            Code.OVERLOADED,
            f"{self.service} is {wait_s:.1f} s behind",
            retry_after_ms=int(wait_s * MS_PER_S),
        )

    def check_time(self, order: PieceOrder) -> None:
        """Raise OVERLOADED if the queueing delay exceeds the order's limit."""
        if self.backlog_s(order) >= self.remaining_s(order):
            raise self.overloaded(order)

    def remaining_s(self, order: PieceOrder) -> float:
        """Return how long an order that arrives now may wait for its calls."""
        remaining_s = order.deadline_s - clock.now_s()
        limits = self.limits(self.service)
        if order.inputs and limits is not None:
            remaining_s = min(
                remaining_s, INPUT_LIFETIME_SHARE * limits.keep_s
            )
        return remaining_s

    def backlog_s(self, order: PieceOrder | None = None) -> float:
        """Estimate the queueing delay of an order, or of any on-time order."""
        limits = self.limits(self.service)
        if limits is None:
            return 0.0
        now_s = clock.now_s()
        ahead = count_ahead(self.orders.waiting, order, now_s)
        snapshots = self.replica_tracker.snapshot_all(limits, now_s)
        estimated_s = backlog_s(ahead, snapshots, limits)
        rate = self.rates.completion_rate()
        return estimated_s if rate is None else max(estimated_s, ahead / rate)

    def dispatch(self, tasks: TaskGroup) -> None:
        """Start a call at each free replica that has suitable work."""
        self.rates.update_queue_state(not self.orders.waiting)
        limits = self.limits(self.service)
        if limits is None or not self.orders.waiting:
            return
        now_s = clock.now_s()
        self.load_shedder.run_if_due(limits, now_s)
        pool = self.replica_tracker.pool()
        self.replica_tracker.retain(pool)
        snapshots = {
            vm.vm_id: self.replica_tracker.snapshot(vm, limits, now_s)
            for vm in pool
        }
        for vm in self.by_preference(pool, snapshots):
            replica = snapshots[vm.vm_id]
            state = self.replica_tracker.state(vm)
            if state.calls >= limits.slots or self.is_paused(vm, now_s):
                continue
            if state.is_freeing:
                continue
            if self.start_freeing_memory(tasks, vm, replica, limits):
                continue
            # A replica that fails again must not use up the retry budget.
            pieces = PROBE_PIECES if state.has_failed else limits.pieces
            pieces = self.limit_pieces(vm, pieces)
            if not pieces:
                continue
            # A faster replica that is free but was given no call can't process
            # this work, so only busy replicas are compared.
            busy = [
                each for each in snapshots.values() if each.available_in_s > 0
            ]
            entries = useful_entries(
                self.orders.waiting, replica, busy, limits
            )
            accepted = limits._replace(pieces=pieces)
            batch = select_batch(entries, replica, accepted, now_s)
            if batch:
                shortfall = explain_shortfall(
                    entries, batch, replica, accepted, limits
                )
                self.report_start(vm, batch, shortfall, limits, replica)
                self.start_call(tasks, vm, batch, limits)
                snapshots[vm.vm_id] = self.replica_tracker.snapshot(
                    vm, limits, now_s
                )

    def by_preference(
        self, pool: Sequence[Vm], snapshots: Mapping[str, ReplicaSnapshot]
    ) -> list[Vm]:
        """Sort replicas: warm ones first, then by increasing slowdown."""
        is_cold = self.request_limits.is_cold
        return sorted(
            pool, key=lambda vm: (is_cold(vm), snapshots[vm.vm_id].slowdown)
        )

    def is_paused(self, vm: Vm, now_s: float) -> bool:
        """Return whether a replica is paused after a failure or on request."""
        if self.replica_tracker.state(vm).paused_until_s > now_s:
            return True
        return self.pauses.remaining_s(vm) > 0

    def limit_pieces(self, vm: Vm, pieces: int) -> int:
        """Limit a call's pieces to the request rate that a replica accepts."""
        tokens = self.request_limits.tokens(vm, is_only_sender=True)
        return int(min(pieces, tokens))

    def start_freeing_memory(
        self,
        tasks: TaskGroup,
        vm: Vm,
        replica: ReplicaSnapshot,
        limits: BatchLimits,
    ) -> bool:
        """Start to free memory that the next call needs; return if started."""
        if replica.free_bytes >= batch_result_bytes(
            self.orders.waiting, limits
        ):
            return False
        state = self.replica_tracker.state(vm)
        if state.pending_frees:
            state.is_memory_needed.set()
        elif state.evictable:
            tasks.start_soon(self.evict, vm)
        else:
            return False
        return True

    def report_start(
        self,
        vm: Vm,
        batch: Sequence[BatchPiece],
        shortfall: Shortfall,
        limits: BatchLimits,
        replica: ReplicaSnapshot,
    ) -> None:
        """Log and count a call's start and what kept it from being full."""
        self.on_call_started(self.service, len(batch), shortfall)
        events.info(
            "batch.started",
            service=self.service,
            vm_id=vm.vm_id,
            first_request_id=batch[0].order.request_id,
            pieces=len(batch),
            max_pieces=limits.pieces,
            shortfall=shortfall,
            waiting=self.orders.count_waiting(),
            orders=len(self.orders.waiting),
            free_bytes=int(replica.free_bytes),
        )

    def start_call(
        self,
        tasks: TaskGroup,
        vm: Vm,
        batch: list[BatchPiece],
        limits: BatchLimits,
    ) -> None:
        """Start a call with pieces of the queue."""
        self.orders.remove_batch(batch)
        self.orders.record_start(batch)
        self.request_limits.consume(vm, len(batch))
        state = self.replica_tracker.state(vm)
        state.calls += 1
        state.reserved_bytes += sum(e.order.result_bytes for e in batch)
        expected_s = batch_duration_s(limits, len(batch))
        scaled_s = expected_s * state.slowdown_at(clock.now_s())
        state.busy_until_s = clock.now_s() + scaled_s
        # The memory of queued frees is available once the call ends.
        if state.pending_frees:
            state.is_memory_needed.set()
        tasks.start_soon(self.call, vm, batch, limits, expected_s)
        for order in self.orders.fully_dispatched(batch):
            if order.is_only_reader and order.holds_memory:
                tasks.start_soon(self.release_inputs, order, limits)

    async def release_inputs(
        self, order: PieceOrder, limits: BatchLimits
    ) -> None:
        """Mark an order's inputs evictable after its last call read them."""
        size_bytes = order.pieces * order.moved_bytes
        await anyio.sleep(read_time_s(size_bytes, limits.link_mbps))
        if self.orders.find_pending(order) is not None:
            self.on_inputs_read(order.inputs, True)

    async def call(
        self,
        vm: Vm,
        batch: list[BatchPiece],
        limits: BatchLimits,
        expected_s: float,
    ) -> None:
        """Make one call and distribute its results."""
        state = self.replica_tracker.state(vm)
        started_s = clock.now_s()
        pieces = [
            TimedPiece(
                each.piece,
                max(1, int((each.order.deadline_s - started_s) * MS_PER_S)),
            )
            for each in batch
        ]
        try:
            with anyio.fail_after(
                expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN_S
            ):
                results = await self.caller.run_pieces(vm, pieces)
        except TimeoutError:
            state.update_slowdown(CALL_TIMEOUT_FACTOR, clock.now_s())
            self.handle_call_failure(vm, batch, "call timed out")
        except BerylcartError as error:
            is_busy = error.retry_after_ms is not None
            self.handle_call_failure(vm, batch, error.detail, is_busy=is_busy)
        else:
            now_s = clock.now_s()
            completed = sum(bool(result.handle) for result in results)
            state.update_slowdown((now_s - started_s) / expected_s, now_s)
            state.pause_s = FIRST_PAUSE_S
            events.info(
                "batch.completed",
                service=self.service,
                vm_id=vm.vm_id,
                pieces=len(batch),
                completed=completed,
                first_request_id=batch[0].order.request_id,
                latency_ms=int((now_s - started_s) * MS_PER_S),
                expected_ms=int(expected_s * MS_PER_S),
                waiting=self.orders.count_waiting(),
                used_bytes=state.used_bytes(now_s),
            )
            self.rates.completed.record(completed)
            self.distribute_results(vm, batch, results, limits)
        finally:
            state.calls -= 1
            state.reserved_bytes -= sum(e.order.result_bytes for e in batch)
            if state.rejected_bytes < inf:
                state.record_full(clock.now_s())
            self.orders.changed.set()

    def handle_call_failure(
        self,
        vm: Vm,
        batch: Sequence[BatchPiece],
        detail: str,
        *,
        is_busy: bool = False,
    ) -> None:
        """Queue the pieces of a failed call again.

        A replica that asked for a pause (is_busy) has not failed the pieces.
        """
        events.warning(
            "batch.failed",
            service=self.service,
            vm_id=vm.vm_id,
            pieces=len(batch),
            request_id=batch[0].order.request_id,
            detail=detail,
        )
        self.replica_tracker.state(vm).pause(clock.now_s())
        for piece in batch:
            if not is_busy:
                self.retry_piece(piece, PieceFailure.ERROR)
            elif self.orders.find_pending(piece.order) is not None:
                self.requeue_refused(piece)

    def distribute_results(
        self,
        vm: Vm,
        batch: Sequence[BatchPiece],
        results: Sequence[PieceResult],
        limits: BatchLimits,
    ) -> None:
        """Deliver each piece's result to its order."""
        state = self.replica_tracker.state(vm)
        now_s = clock.now_s()
        expiry_s = now_s + limits.keep_s
        orphaned: list[str] = []
        for piece, result in zip(batch, results, strict=True):
            if not result.handle:
                self.handle_piece_failure(vm, piece, result.failure)
                continue
            size_bytes = int(RESULT_SIZE_FACTOR * piece.order.result_bytes)
            state.add_result(
                result.handle, HeldResult(size_bytes, now_s, expiry_s)
            )
            pending = self.orders.find_pending(piece.order)
            if pending is None:
                orphaned.append(result.handle)
            else:
                pending.record_result(piece.number, result.handle)
        if orphaned:
            events.info(
                "results.orphaned", service=self.service, pieces=len(orphaned)
            )
            self.release_results(orphaned)

    def record_load(self, vm: Vm, load: ReplicaLoad) -> None:
        """Update a replica's slowdown from its own load report."""
        ratio = load.percent / PERCENT
        state = self.replica_tracker.state(vm)
        state.update_slowdown(ratio, clock.now_s(), REPORT_WEIGHT)

    def release_results(self, handles: Sequence[str]) -> None:
        """Free results after a short delay, those of a replica together."""
        if self.tasks is None:
            self.drops_before_run.extend(handles)
            return
        limits = self.limits(self.service)
        keep_s = inf if limits is None else limits.keep_s
        until_s = clock.now_s() + keep_s
        for vm in self.replica_tracker.queue_free(handles, until_s):
            self.tasks.start_soon(self.free_after_delay, vm)

    def handle_piece_failure(
        self, vm: Vm, piece: BatchPiece, failure: PieceFailure | None
    ) -> None:
        """Handle a piece for which a call returned no result."""
        events.info(
            "piece.failed",
            service=self.service,
            vm_id=vm.vm_id,
            request_id=piece.order.request_id,
            stage=piece.order.stage,
            failure=failure,
        )
        pending = self.orders.find_pending(piece.order)
        if pending is None:
            return
        if failure is PieceFailure.LATE:
            pending.fail(
                BerylcartError(
                    Code.DEADLINE_TOO_CLOSE,
                    "a piece was late",
                )
            )
        elif failure is PieceFailure.GONE:
            pending.fail(
                BerylcartError(Code.UPSTREAM_REJECTED, "an input is gone")
            )
        elif failure is PieceFailure.ROOM:
            state = self.replica_tracker.state(vm)
            state.rejected_bytes = min(
                state.rejected_bytes, piece.order.result_bytes
            )
            self.requeue_refused(piece)
        else:
            self.retry_piece(piece, failure)

    def requeue_refused(self, piece: BatchPiece) -> None:
        """Queue a piece again that a replica had no memory or time for."""
        self.budget.try_take(self.service)
        self.orders.requeue(piece, piece.entry.failures)

    def retry_piece(
        self, piece: BatchPiece, failure: PieceFailure | None
    ) -> None:
        """Queue a piece again within the retry budget, else fail its order."""
        pending = self.orders.find_pending(piece.order)
        if pending is None:
            return
        failures = piece.entry.failures + 1
        is_allowed = failures < MAX_FAILURES
        if is_allowed and self.budget.try_take(self.service):
            self.orders.requeue(piece, failures)
            return
        pending.fail(
            BerylcartError(
                Code.NO_UPSTREAM,
                f"{self.service} made no result: {failure}",
                retry_after_ms=int(MAX_PAUSE_S * MS_PER_S),
            )
        )

    def mark_evictable(self, handles: Sequence[str]) -> None:
        """Mark results as evictable, to be freed when memory is short."""
        self.replica_tracker.mark_evictable(handles)
        self.orders.changed.set()

    async def evict(self, vm: Vm) -> None:
        """Free a replica's evictable results."""
        await self.replica_tracker.evict(vm)
        self.orders.changed.set()

    async def free_after_delay(self, vm: Vm) -> None:
        """Free a replica's queued results after a delay, or when needed."""
        with anyio.move_on_after(FREE_DELAY_S):
            await self.replica_tracker.state(vm).is_memory_needed.wait()
        await self.replica_tracker.free_pending(vm)
        self.orders.changed.set()
