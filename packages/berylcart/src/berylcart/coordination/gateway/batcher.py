"""Work on the pieces of one service in shared calls."""

from collections.abc import Callable, Mapping, Sequence
from math import inf

import anyio
from anyio.abc import TaskGroup

from berylcart import clock, events
from berylcart.coordination.gateway.maker_state import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    REPORT_SHARE,
    Held,
)
from berylcart.coordination.gateway.makers import Makers
from berylcart.coordination.gateway.orders import Orders
from berylcart.coordination.gateway.piece_queue import (
    Maker,
    Order,
    TakenPiece,
    backlog_s,
    call_bytes,
    call_s,
    count_ahead,
    read_s,
    take_batch,
    worth_taking,
)
from berylcart.coordination.gateway.ports import PieceCaller, TimedPiece
from berylcart.coordination.gateway.queue_rates import QueueRates
from berylcart.coordination.gateway.replica_pauses import ReplicaPauses
from berylcart.coordination.gateway.request_limits import RequestLimits
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.gateway.shedder import Shedder
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.relayed import PieceFailure, PieceResult, ReplicaLoad
from berylcart.state.routes import BatchLimits
from berylcart.state.vm import Vm

MS_PER_S = 1000
PERCENT = 100
# An answer of the gateway's own must reach the caller before it leaves.
GIVE_UP_S = 0.1
# A call that takes this many times the expected time hangs.
PATIENCE = 4.0
PATIENCE_S = 0.5
MAX_FAILURES = 3
# What the next call of a replica that failed risks.
PROBE_PIECES = 1
# What an order's inputs were kept for when it came; they expire together.
KEEP_SHARE = 0.8
# Results differ in size from what their stage says.
SIZE_MARGIN = 1.1
# Results take room no longer than about a call after their last reader.
FREE_DELAY_S = 0.2
# A look for work that waits when nothing else woke the dispatcher.
WAITING_PERIOD_S = 0.1


class Batcher:
    """Share the calls to one service's replicas between requests."""

    def __init__(
        self,
        service: str,
        caller: PieceCaller,
        budget: RetryWindow,
        pool: Callable[[str], Sequence[Vm]],
        limits: Callable[[str], BatchLimits | None],
        request_limits: RequestLimits,
        pauses: ReplicaPauses,
        on_read: Callable[[Sequence[str], bool], None] = (
            lambda handles, is_spare: None
        ),
        is_evacuated: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self.service = service
        self.caller = caller
        self.budget = budget
        self.limits = limits
        self.request_limits = request_limits
        self.on_read = on_read
        self.orders = Orders()
        self.pauses = pauses
        self.makers = Makers(caller, lambda: pool(service), pauses)
        self.rates = QueueRates()
        self.tasks: TaskGroup | None = None
        # Results to drop that were named before this began to run.
        self.early: list[str] = []
        self.shedder = Shedder(
            service,
            self.orders,
            self.makers,
            self.rates,
            self.overloaded,
            is_evacuated,
        )

    async def run(self) -> None:
        """Give calls to free replicas until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.drop(self.early)
            while True:
                self.dispatch(tasks)
                self.orders.changed = anyio.Event()
                rest_s = WAITING_PERIOD_S if self.orders.waiting else inf
                with anyio.move_on_after(rest_s):
                    await self.orders.changed.wait()

    async def make(self, order: Order) -> tuple[str, ...]:
        """Make all pieces of an order and name their results.

        Raises BerylcartError: OVERLOADED when they can't be made in time,
        UPSTREAM_REJECTED when an input is gone.
        """
        self.check_time(order)
        # Orders of all daemons come here, and so do their extra pieces.
        self.budget.note_request(self.service)
        now_s = clock.now_s()
        job = self.orders.add(order, now_s + self.left_s(order))
        if not order.is_late(now_s):
            self.rates.arrived.note(order.pieces)
        try:
            with anyio.move_on_after(
                order.deadline_s - GIVE_UP_S - clock.now_s()
            ):
                await job.is_done.wait()
        finally:
            if job.missing or job.error is not None:
                self.drop([each for each in job.results if each])
            self.orders.remove(job)
        if job.error is not None:
            raise job.error
        if job.missing:
            raise self.overloaded(order)
        # Sooner, a piece that has to be made again would miss its inputs.
        if order.is_only_reader:
            self.on_read(order.inputs, False)
        events.info(
            "order.made",
            request_id=order.request_id,
            service=self.service,
            stage=order.stage,
            pieces=order.pieces,
            rank=order.rank,
            slack_ms=int((order.due_s - job.begun_s) * MS_PER_S),
            queued_ms=int((job.begun_s - now_s) * MS_PER_S),
            latency_ms=int((clock.now_s() - now_s) * MS_PER_S),
        )
        return tuple(job.results)

    def overloaded(self, order: Order) -> BerylcartError:
        """Describe an order that can't be made in time."""
        wait_s = self.backlog_s(order)
        return BerylcartError(
            Code.OVERLOADED,
            f"{self.service} is {wait_s:.1f} s behind",
            retry_after_ms=int(wait_s * MS_PER_S),
        )

    def check_time(self, order: Order) -> None:
        """Refuse an order that the queue makes hopeless."""
        if self.backlog_s(order) >= self.left_s(order):
            raise self.overloaded(order)

    def left_s(self, order: Order) -> float:
        """Say how long an order that arrives now may wait for its calls."""
        left_s = order.deadline_s - clock.now_s()
        limits = self.limits(self.service)
        if order.inputs and limits is not None:
            left_s = min(left_s, KEEP_SHARE * limits.keep_s)
        return left_s

    def backlog_s(self, order: Order | None = None) -> float:
        """Estimate how long an order, else any in time, waits for its call."""
        limits = self.limits(self.service)
        if limits is None:
            return 0.0
        now_s = clock.now_s()
        ahead = count_ahead(self.orders.waiting, order, now_s)
        makers = self.makers.describe_all(limits, now_s)
        estimated_s = backlog_s(ahead, makers, limits)
        rate = self.rates.measured()
        return estimated_s if rate is None else max(estimated_s, ahead / rate)

    def dispatch(self, tasks: TaskGroup) -> None:
        """Start a call at each free replica that has work to do."""
        self.rates.note_queue(not self.orders.waiting)
        limits = self.limits(self.service)
        if limits is None or not self.orders.waiting:
            return
        now_s = clock.now_s()
        self.shedder.look(limits, now_s)
        pool = self.makers.pool()
        self.makers.retain(pool)
        makers = {
            vm.vm_id: self.makers.describe(vm, limits, now_s) for vm in pool
        }
        for vm in self.in_order(pool, makers):
            maker = makers[vm.vm_id]
            state = self.makers.state(vm)
            if state.calls >= limits.slots or self.is_paused(vm, now_s):
                continue
            if state.is_clearing:
                continue
            if self.makes_room(tasks, vm, maker, limits):
                continue
            # A replica that fails again must not use up the retry budget.
            pieces = PROBE_PIECES if state.has_failed else limits.pieces
            pieces = self.within_limit(vm, pieces)
            if not pieces:
                continue
            # A faster replica that is still free can't take this work.
            busy = [each for each in makers.values() if each.free_in_s > 0]
            batch = take_batch(
                worth_taking(self.orders.waiting, maker, busy, limits),
                maker,
                limits._replace(pieces=pieces),
                now_s,
            )
            if batch:
                self.start_call(tasks, vm, batch, limits)
                makers[vm.vm_id] = self.makers.describe(vm, limits, now_s)

    def in_order(
        self, pool: Sequence[Vm], makers: Mapping[str, Maker]
    ) -> list[Vm]:
        """Order replicas: those that are cold last, then by speed."""
        is_cold = self.request_limits.is_cold
        return sorted(
            pool, key=lambda vm: (is_cold(vm), makers[vm.vm_id].slowness)
        )

    def is_paused(self, vm: Vm, now_s: float) -> bool:
        """Tell whether a replica failed or asked to wait just before."""
        if self.makers.state(vm).paused_until_s > now_s:
            return True
        return self.pauses.left_s(vm) > 0

    def within_limit(self, vm: Vm, pieces: int) -> int:
        """Bound a call's pieces by what its replica takes from daemons."""
        tokens = self.request_limits.tokens(vm, is_only_sender=True)
        return int(min(pieces, tokens))

    def makes_room(
        self, tasks: TaskGroup, vm: Vm, maker: Maker, limits: BatchLimits
    ) -> bool:
        """Tell whether results go first that a call wants the room of."""
        if maker.room_bytes >= call_bytes(self.orders.waiting, limits):
            return False
        state = self.makers.state(vm)
        if state.unread:
            state.is_room_wanted.set()
        elif state.spare:
            tasks.start_soon(self.clear_spare, vm)
        else:
            return False
        return True

    def start_call(
        self,
        tasks: TaskGroup,
        vm: Vm,
        batch: list[TakenPiece],
        limits: BatchLimits,
    ) -> None:
        """Take pieces from the queue for a call."""
        self.orders.take(batch)
        self.orders.note_begun(batch)
        self.request_limits.take(vm, len(batch))
        state = self.makers.state(vm)
        state.calls += 1
        state.reserved_bytes += sum(e.order.result_bytes for e in batch)
        expected_s = call_s(limits, len(batch))
        slow_s = expected_s * state.slowness_at(clock.now_s())
        state.busy_until_s = clock.now_s() + slow_s
        # Their room is there again when the call ends.
        if state.unread:
            state.is_room_wanted.set()
        tasks.start_soon(self.call, vm, batch, limits, expected_s)
        for order in self.orders.all_taken(batch):
            if order.is_only_reader and order.holds_room:
                tasks.start_soon(self.note_inputs_read, order, limits)

    async def note_inputs_read(
        self, order: Order, limits: BatchLimits
    ) -> None:
        """Let an order's inputs give way once its last call has read them."""
        size_bytes = order.pieces * order.moved_bytes
        await anyio.sleep(read_s(size_bytes, limits.link_mbps))
        if self.orders.job_of(order) is not None:
            self.on_read(order.inputs, True)

    async def call(
        self,
        vm: Vm,
        batch: list[TakenPiece],
        limits: BatchLimits,
        expected_s: float,
    ) -> None:
        """Make one call and hand out its results."""
        state = self.makers.state(vm)
        started_s = clock.now_s()
        pieces = [
            TimedPiece(
                each.piece,
                max(1, int((each.order.deadline_s - started_s) * MS_PER_S)),
            )
            for each in batch
        ]
        try:
            with anyio.fail_after(expected_s * PATIENCE + PATIENCE_S):
                results = await self.caller.run_pieces(vm, pieces)
        except TimeoutError:
            state.learn(PATIENCE, clock.now_s())
            self.note_failed(vm, batch, "no answer in time")
        except BerylcartError as error:
            is_busy = error.retry_after_ms is not None
            self.note_failed(vm, batch, error.detail, is_busy=is_busy)
        else:
            now_s = clock.now_s()
            made = sum(bool(result.handle) for result in results)
            state.learn((now_s - started_s) / expected_s, now_s)
            state.pause_s = FIRST_PAUSE_S
            events.info(
                "pieces.made",
                service=self.service,
                vm_id=vm.vm_id,
                pieces=len(batch),
                made=made,
                first_request_id=batch[0].order.request_id,
                latency_ms=int((now_s - started_s) * MS_PER_S),
                expected_ms=int(expected_s * MS_PER_S),
                waiting=self.orders.count_waiting(),
                used_bytes=state.used_bytes(now_s),
            )
            self.rates.made.note(made)
            self.hand_out(vm, batch, results, limits)
        finally:
            state.calls -= 1
            state.reserved_bytes -= sum(e.order.result_bytes for e in batch)
            if state.is_full:
                state.note_full(clock.now_s())
            self.orders.changed.set()

    def note_failed(
        self,
        vm: Vm,
        batch: Sequence[TakenPiece],
        detail: str,
        *,
        is_busy: bool = False,
    ) -> None:
        """Queue the pieces of a failed call again.

        A replica that asked to wait has not failed them.
        """
        events.warning(
            "pieces.failed",
            service=self.service,
            vm_id=vm.vm_id,
            pieces=len(batch),
            request_id=batch[0].order.request_id,
            detail=detail,
        )
        self.makers.state(vm).pause(clock.now_s())
        for piece in batch:
            if not is_busy:
                self.retry(piece, PieceFailure.ERROR)
            elif self.orders.job_of(piece.order) is not None:
                self.wait_again(piece)

    def hand_out(
        self,
        vm: Vm,
        batch: Sequence[TakenPiece],
        results: Sequence[PieceResult],
        limits: BatchLimits,
    ) -> None:
        """Give each piece's result to its order."""
        state = self.makers.state(vm)
        now_s = clock.now_s()
        end_s = now_s + limits.keep_s
        unwanted: list[str] = []
        for piece, result in zip(batch, results, strict=True):
            if not result.handle:
                self.note_refused(vm, piece, result.failure)
                continue
            size_bytes = int(SIZE_MARGIN * piece.order.result_bytes)
            state.hold(result.handle, Held(size_bytes, now_s, end_s))
            job = self.orders.job_of(piece.order)
            if job is None:
                unwanted.append(result.handle)
            else:
                job.settle(piece.number, result.handle)
        if unwanted:
            events.info(
                "pieces.unwanted", service=self.service, pieces=len(unwanted)
            )
            self.drop(unwanted)

    def note_load(self, vm: Vm, load: ReplicaLoad) -> None:
        """Take what a replica says of its speed."""
        ratio = load.percent / PERCENT
        state = self.makers.state(vm)
        state.learn(ratio, clock.now_s(), REPORT_SHARE)

    def drop(self, handles: Sequence[str]) -> None:
        """Drop results soon, those of one replica together."""
        if self.tasks is None:
            self.early.extend(handles)
            return
        limits = self.limits(self.service)
        keep_s = inf if limits is None else limits.keep_s
        until_s = clock.now_s() + keep_s
        for vm in self.makers.note_unread(handles, until_s):
            self.tasks.start_soon(self.free_soon, vm)

    def note_refused(
        self, vm: Vm, piece: TakenPiece, failure: PieceFailure | None
    ) -> None:
        """Act on a piece that a call gave no result for."""
        events.info(
            "piece.refused",
            service=self.service,
            vm_id=vm.vm_id,
            request_id=piece.order.request_id,
            stage=piece.order.stage,
            failure=failure,
        )
        job = self.orders.job_of(piece.order)
        if job is None:
            return
        if failure is PieceFailure.LATE:
            job.fail(
                BerylcartError(Code.DEADLINE_TOO_CLOSE, "a piece was late")
            )
        elif failure is PieceFailure.GONE:
            job.fail(
                BerylcartError(Code.UPSTREAM_REJECTED, "an input is gone")
            )
        elif failure is PieceFailure.ROOM:
            self.makers.state(vm).is_full = True
            self.wait_again(piece)
        else:
            self.retry(piece, failure)

    def wait_again(self, piece: TakenPiece) -> None:
        """Queue a piece that a replica had no room or no time for."""
        self.budget.try_take(self.service)
        self.orders.put_back(piece, piece.entry.failures)

    def retry(self, piece: TakenPiece, failure: PieceFailure | None) -> None:
        """Queue a piece again within the budget, else fail its order."""
        job = self.orders.job_of(piece.order)
        if job is None:
            return
        failures = piece.entry.failures + 1
        is_allowed = failures < MAX_FAILURES
        if is_allowed and self.budget.try_take(self.service):
            self.orders.put_back(piece, failures)
            return
        job.fail(
            BerylcartError(
                Code.NO_UPSTREAM,
                f"{self.service} made no result: {failure}",
                retry_after_ms=int(MAX_PAUSE_S * MS_PER_S),
            )
        )

    def note_spare(self, handles: Sequence[str]) -> None:
        """Let results give way to others where room is short."""
        self.makers.note_spare(handles)
        self.orders.changed.set()

    async def clear_spare(self, vm: Vm) -> None:
        """Drop the results at a replica that may give way."""
        await self.makers.clear_spare(vm)
        self.orders.changed.set()

    async def free_soon(self, vm: Vm) -> None:
        """Drop a replica's unread results together, at once for their room."""
        with anyio.move_on_after(FREE_DELAY_S):
            await self.makers.state(vm).is_room_wanted.wait()
        await self.makers.free_unread(vm)
        self.orders.changed.set()
