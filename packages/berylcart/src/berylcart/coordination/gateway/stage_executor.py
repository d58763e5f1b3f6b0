"""Run the stages of a request, each as soon as its inputs are ready."""

from collections import Counter
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.batch_selection import (
    PieceOrder,
    read_time_s,
)
from berylcart.coordination.gateway.order_router import OrderRouter
from berylcart.coordination.gateway.permitted_places import Places
from berylcart.state.errors import BerylcartError, Code, InputsGoneError
from berylcart.state.relay_messages import RelayRequest
from berylcart.state.routes import Route

MS_PER_S = 1000

PlaceOf = Callable[[str], str]


class Spawn(Protocol):
    """Start a function in a background task."""

    def __call__(
        self, function: Callable[..., Coroutine[Any, Any, None]], *args: object
    ) -> None:
        """Start the function with its arguments."""
        ...


class StagePlan:
    """Hold the state of one request's stages.

    place is the place of the replica that will read the last results.
    remaining_times_s are the times from each stage's first call to the first
    event, without queueing.
    """

    def __init__(
        self,
        request: RelayRequest,
        route: Route,
        rank: int,
        due_s: float,
        deadline_s: float,
        place: str,
        remaining_times_s: Sequence[float],
        link_mbps: float = 0.0,
        places: Places = None,
    ) -> None:
        self.request = request
        self.route = route
        self.rank = rank
        self.due_s = due_s
        self.deadline_s = deadline_s
        self.place = place
        self.remaining_times_s = remaining_times_s
        self.link_mbps = link_mbps
        self.places = places
        self.results: dict[int, tuple[str, ...]] = {}
        # By stage, the time from its complete inputs to its results.
        self.latencies_ms: dict[int, int] = {}
        self.is_complete = [anyio.Event() for _ in route.stages]
        self.pending_readers = [
            sum(index in stage.after for stage in route.stages)
            for index in range(len(route.stages))
        ]
        self.error: BerylcartError | None = None

    def count(self, index: int) -> int:
        """Return the number of a stage's pieces."""
        return self.request.piece_counts[index]

    def is_only_reader(self, index: int) -> bool:
        """Return whether only this stage still has to read its inputs."""
        after = self.route.stages[index].after
        return bool(after) and all(
            self.pending_readers[each] == 1 for each in after
        )

    def input_bytes(self, index: int) -> int:
        """Estimate the size of the inputs that each piece of a stage reads."""
        stages = self.route.stages
        return sum(
            self.count(each) * stages[each].result_bytes
            for each in stages[index].after
        )

    def order(self, index: int, place_of: PlaceOf) -> PieceOrder:
        """Build the order for a stage whose inputs are complete."""
        stage = self.route.stages[index]
        inputs = tuple(
            handle for each in stage.after for handle in self.results[each]
        )
        place, moved_bytes = self.place, stage.result_bytes
        if index not in self.route.final_stages:
            place, moved_bytes = "", 0
        if inputs:
            place = most_common(place_of(handle) for handle in inputs)
            moved_bytes = self.input_bytes(index)
        return PieceOrder(
            request_id=self.request.request_id,
            service=stage.service,
            stage=index,
            pieces=self.count(index),
            key="" if stage.after else self.request.piece_key,
            inputs=inputs,
            rank=self.rank,
            due_s=self.due_s - self.remaining_times_s[index],
            deadline_s=self.deadline_s,
            place=place,
            result_bytes=stage.result_bytes,
            moved_bytes=moved_bytes,
            is_only_reader=self.is_only_reader(index),
            places=self.places,
        )

    def read_time_s(self) -> float:
        """Return an upper bound on the time that reading the inputs takes."""
        return read_time_s(
            self.route.final_input_bytes(self.request.piece_counts),
            self.link_mbps,
        )

    def inputs(self) -> tuple[str, ...]:
        """Return the results that the request itself reads."""
        return tuple(
            handle
            for index in self.route.final_stages
            for handle in self.results[index]
        )

    def mark_complete(self, index: int) -> list[int]:
        """Mark a stage complete and return stages whose results are unused."""
        self.is_complete[index].set()
        unused: list[int] = []
        for each in self.route.stages[index].after:
            self.pending_readers[each] -= 1
            if not self.pending_readers[each]:
                unused.append(each)
        return unused


def most_common(places: Iterable[str]) -> str:
    """Return the most frequent place.

    >>> most_common(["a", "b", "b"])
    'b'
    """
    return Counter(places).most_common(1)[0][0]


class StageExecutor:
    """Run the stages of requests and free their results after use."""

    def __init__(
        self,
        home: OrderRouter,
        spawn: Spawn,
        place_of: PlaceOf,
    ) -> None:
        self.home = home
        self.spawn = spawn
        self.place_of = place_of

    def most_common_place(self, handles: Sequence[str]) -> str:
        """Return the place that holds most results, "" if there are none."""
        if not handles:
            return ""
        return most_common(self.place_of(handle) for handle in handles)

    async def run_all_stages(self, plan: StagePlan) -> tuple[str, ...]:
        """Run every stage and return the results that the request reads.

        Raises the BerylcartError of the first stage that fails, or
        InputsGoneError if results that a later stage reads no longer exist.
        """
        async with anyio.create_task_group() as tasks:
            for index in range(len(plan.route.stages)):
                tasks.start_soon(self.run_stage, plan, index, tasks)
        if plan.error is None:
            return plan.inputs()
        if plan.error.code is Code.UPSTREAM_REJECTED:
            raise InputsGoneError from plan.error
        raise plan.error

    async def run_stage(
        self, plan: StagePlan, index: int, tasks: TaskGroup
    ) -> None:
        """Run one stage once the stages it depends on are complete."""
        for each in plan.route.stages[index].after:
            await plan.is_complete[each].wait()
        started_s = now_s()
        try:
            plan.results[index] = await self.make_pieces(plan, index)
        except BerylcartError as error:
            plan.error = plan.error or error
            tasks.cancel_scope.cancel()
            return
        latency_ms = int((now_s() - started_s) * MS_PER_S)
        plan.latencies_ms[index] = latency_ms
        events.info(
            "stage.completed",
            request_id=plan.request.request_id,
            stage=index,
            service=plan.route.stages[index].service,
            pieces=plan.count(index),
            latency_ms=latency_ms,
            to_due_ms=int((plan.due_s - now_s()) * MS_PER_S),
        )
        is_already_freed = plan.is_only_reader(index)
        for each in plan.mark_complete(index):
            if is_already_freed:
                del plan.results[each]
            else:
                self.free_stage(plan, each)

    async def make_pieces(
        self, plan: StagePlan, index: int
    ) -> tuple[str, ...]:
        """Process the pieces of one stage; raises BerylcartError."""
        if not plan.count(index):
            return ()
        return await self.home.make_pieces(plan.order(index, self.place_of))

    def free_stage(self, plan: StagePlan, index: int) -> None:
        """Free the results of a stage in the background."""
        handles = plan.results.pop(index, ())
        if handles:
            service = plan.route.stages[index].service
            self.spawn(self.home.free, service, handles)

    def schedule_free_after_read(
        self, plan: StagePlan, attempt: anyio.CancelScope
    ) -> None:
        """Free results once an attempt has read them, unless it ends first.

        They use memory on the last stages' replicas during the prefill.
        """
        self.spawn(self.free_after_read, plan, attempt)

    async def free_after_read(
        self, plan: StagePlan, attempt: anyio.CancelScope
    ) -> None:
        """Wait until an attempt has read the results, then free them."""
        with attempt:
            await anyio.sleep(plan.read_time_s())
            self.free_all_results(plan)

    def free_all_results(self, plan: StagePlan) -> None:
        """Free the results that have not been freed yet."""
        for index in list(plan.results):
            self.free_stage(plan, index)
