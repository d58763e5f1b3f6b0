"""Make the results of a request's stages, each as soon as it may start."""

from collections import Counter
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.permitted import Places
from berylcart.coordination.gateway.piece_queue import Order, read_s
from berylcart.coordination.gateway.stage_home import StageHome
from berylcart.state.errors import BerylcartError, Code, InputsGoneError
from berylcart.state.relayed import RelayRequest
from berylcart.state.routes import Route

MS_PER_S = 1000

PlaceOf = Callable[[str], str]


class Spawn(Protocol):
    """Run a function beside everything else until it ends."""

    def __call__(
        self, function: Callable[..., Coroutine[Any, Any, None]], *args: object
    ) -> None:
        """Start it with its arguments."""
        ...


class StagePlan:
    """Hold what is known of one request's stages.

    place is that of the replica which is to read the last results; rests_s
    has the time from each stage's start to the answer's, without a queue.
    """

    def __init__(
        self,
        request: RelayRequest,
        route: Route,
        rank: int,
        due_s: float,
        deadline_s: float,
        place: str,
        rests_s: Sequence[float],
        link_mbps: float = 0.0,
        places: Places = None,
    ) -> None:
        self.request = request
        self.route = route
        self.rank = rank
        self.due_s = due_s
        self.deadline_s = deadline_s
        self.place = place
        self.rests_s = rests_s
        self.link_mbps = link_mbps
        self.places = places
        self.results: dict[int, tuple[str, ...]] = {}
        self.made = [anyio.Event() for _ in route.stages]
        self.unread = [
            sum(index in stage.after for stage in route.stages)
            for index in range(len(route.stages))
        ]
        self.error: BerylcartError | None = None

    def count(self, index: int) -> int:
        """Give the number of a stage's pieces."""
        return self.request.piece_counts[index]

    def is_only_reader(self, index: int) -> bool:
        """Tell whether a stage's inputs may go once it has read them."""
        after = self.route.stages[index].after
        return bool(after) and all(self.unread[each] == 1 for each in after)

    def input_bytes(self, index: int) -> int:
        """Estimate what each piece of a stage reads."""
        stages = self.route.stages
        return sum(
            self.count(each) * stages[each].result_bytes
            for each in stages[index].after
        )

    def order(self, index: int, place_of: PlaceOf) -> Order:
        """Describe the pieces of a stage whose inputs are made."""
        stage = self.route.stages[index]
        inputs = tuple(
            handle for each in stage.after for handle in self.results[each]
        )
        place, moved_bytes = self.place, stage.result_bytes
        if index not in self.route.last_stages:
            place, moved_bytes = "", 0
        if inputs:
            place = most_common(place_of(handle) for handle in inputs)
            moved_bytes = self.input_bytes(index)
        return Order(
            request_id=self.request.request_id,
            service=stage.service,
            stage=index,
            pieces=self.count(index),
            key="" if stage.after else self.request.piece_key,
            inputs=inputs,
            rank=self.rank,
            due_s=self.due_s - self.rests_s[index],
            deadline_s=self.deadline_s,
            place=place,
            result_bytes=stage.result_bytes,
            moved_bytes=moved_bytes,
            is_only_reader=self.is_only_reader(index),
            places=self.places,
        )

    def read_s(self) -> float:
        """Bound the time in which the request's replica reads its inputs."""
        return read_s(
            self.route.last_bytes(self.request.piece_counts), self.link_mbps
        )

    def inputs(self) -> tuple[str, ...]:
        """List the results that the request itself reads."""
        return tuple(
            handle
            for index in self.route.last_stages
            for handle in self.results[index]
        )

    def note_made(self, index: int) -> list[int]:
        """List the stages whose results a made stage was the last to read."""
        self.made[index].set()
        read: list[int] = []
        for each in self.route.stages[index].after:
            self.unread[each] -= 1
            if not self.unread[each]:
                read.append(each)
        return read


def most_common(places: Iterable[str]) -> str:
    """Give the most frequent place.

    >>> most_common(["a", "b", "b"])
    'b'
    """
    return Counter(places).most_common(1)[0][0]


class StageResults:
    """Have stages made and their results dropped after use."""

    def __init__(
        self,
        home: StageHome,
        spawn: Spawn,
        place_of: PlaceOf,
    ) -> None:
        self.home = home
        self.spawn = spawn
        self.place_of = place_of

    def place_of_all(self, handles: Sequence[str]) -> str:
        """Find the place of most results, nothing without any."""
        if not handles:
            return ""
        return most_common(self.place_of(handle) for handle in handles)

    async def make_all(self, plan: StagePlan) -> tuple[str, ...]:
        """Make every stage and give what the request reads.

        Raises BerylcartError of the first stage that fails, InputsGoneError
        where results vanished that another stage was to read.
        """
        async with anyio.create_task_group() as tasks:
            for index in range(len(plan.route.stages)):
                tasks.start_soon(self.make, plan, index, tasks)
        if plan.error is None:
            return plan.inputs()
        if plan.error.code is Code.UPSTREAM_REJECTED:
            raise InputsGoneError from plan.error
        raise plan.error

    async def make(
        self, plan: StagePlan, index: int, tasks: TaskGroup
    ) -> None:
        """Make one stage once those before it are made."""
        for each in plan.route.stages[index].after:
            await plan.made[each].wait()
        started_s = now_s()
        try:
            plan.results[index] = await self.make_pieces(plan, index)
        except BerylcartError as error:
            plan.error = plan.error or error
            tasks.cancel_scope.cancel()
            return
        events.info(
            "stage.made",
            request_id=plan.request.request_id,
            stage=index,
            service=plan.route.stages[index].service,
            pieces=plan.count(index),
            latency_ms=int((now_s() - started_s) * MS_PER_S),
            to_due_ms=int((plan.due_s - now_s()) * MS_PER_S),
        )
        is_dropped = plan.is_only_reader(index)
        for each in plan.note_made(index):
            if is_dropped:
                del plan.results[each]
            else:
                self.drop_stage(plan, each)

    async def make_pieces(
        self, plan: StagePlan, index: int
    ) -> tuple[str, ...]:
        """Make the pieces of one stage; raises BerylcartError."""
        if not plan.count(index):
            return ()
        return await self.home.make(plan.order(index, self.place_of))

    def drop_stage(self, plan: StagePlan, index: int) -> None:
        """Drop the results of a stage."""
        handles = plan.results.pop(index, ())
        if handles:
            service = plan.route.stages[index].service
            self.spawn(self.home.free, service, handles)

    def watch_read(self, plan: StagePlan, attempt: anyio.CancelScope) -> None:
        """Drop results once an attempt has read them, unless it ends first.

        They take room at the last stages while the replica reads the prompt.
        """
        self.spawn(self.drop_read, plan, attempt)

    async def drop_read(
        self, plan: StagePlan, attempt: anyio.CancelScope
    ) -> None:
        """Wait until an attempt has read the results and drop them."""
        with attempt:
            await anyio.sleep(plan.read_s())
            self.drop_all(plan)

    def drop_all(self, plan: StagePlan) -> None:
        """Drop the results that are still there."""
        for index in list(plan.results):
            self.drop_stage(plan, index)
