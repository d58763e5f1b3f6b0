"""Run one stage by one or more attempts at permitted upstreams."""

from typing import Any, NamedTuple

import anyio

from berylcart import events
from berylcart.coordination.policy.stage_policy import StagePolicy, elapsed_ms
from berylcart.coordination.ports import ChunkSink, Upstreams
from berylcart.coordination.serving.hedging import Entrant, first_reply
from berylcart.state.config import Service, ServiceKind
from berylcart.state.errors import BerylcartError, Code, Ran, UpstreamError
from berylcart.state.request import Progress, StageReport
from berylcart.state.stage import StageCall, StageChunk, StageReply
from berylcart.state.vm import Vm

MAX_ATTEMPTS = 4
MS_PER_S = 1000


class StageTask(NamedTuple):
    """Ask for one stage of one request.

    claim_name is empty where the stage needs no claim.
    """

    request_id: str
    stage_index: int
    service: Service
    workspace: str
    payload: dict[str, Any]
    deadline_at_s: float
    is_stream: bool = False
    idempotency_key: str = ""
    claim_name: str = ""


class StageResult(NamedTuple):
    """Carry a stage's output and what it took."""

    output: Any
    report: StageReport


class Answered(NamedTuple):
    """Pair a reply with the upstream that gave it."""

    vm: Vm
    reply: StageReply


class StreamCursor:
    """Collect a stream's chunks across attempts without gap or repeat."""

    def __init__(self, sink: ChunkSink | None) -> None:
        self.sink = sink
        self.texts: list[str] = []

    @property
    def next_offset(self) -> int:
        """Give the offset at which a resumed stream starts."""
        return len(self.texts)

    async def take(self, chunk: StageChunk) -> None:
        """Accept the next chunk; raises UpstreamError on any other."""
        if chunk.offset != self.next_offset:
            raise UpstreamError(
                Code.UPSTREAM_FAILED,
                f"offset {chunk.offset} came for {self.next_offset}",
                ran=Ran.UNKNOWN,
            )
        self.texts.append(chunk.text)
        if self.sink is not None:
            await self.sink(chunk)

    def output(self) -> dict[str, str]:
        """Join the chunks to the engine's whole output."""
        return {"text": "".join(self.texts)}


class StageRun:
    """Hold what one run of a stage has tried so far."""

    def __init__(
        self, task: StageTask, progress: Progress, sink: ChunkSink | None
    ) -> None:
        self.task = task
        self.progress = progress
        self.cursor = StreamCursor(sink)
        self.tried: set[str] = set()
        self.attempts = 0
        self.failure: UpstreamError | None = None
        self.started_at_s = anyio.current_time()

    @property
    def is_streamed(self) -> bool:
        """Tell whether the reply arrives in chunks."""
        is_engine = self.task.service.kind is ServiceKind.ENGINE
        return self.task.is_stream and is_engine

    def next_call(self, vm: Vm) -> StageCall:
        """Give the next attempt its own id and what is left of the time."""
        task = self.task
        self.attempts += 1
        self.tried.add(vm.vm_id)
        left_s = task.deadline_at_s - anyio.current_time()
        number = f"{task.request_id}.{task.stage_index}.{self.attempts}"
        return StageCall(
            attempt_id=f"{number}.{vm.instance}",
            request_id=task.request_id,
            vm=vm,
            service=task.service.name,
            workspace=task.workspace,
            payload=task.payload,
            deadline_ms=max(1, int(left_s * MS_PER_S)),
            is_stream=self.is_streamed,
            start_offset=self.cursor.next_offset,
            idempotency_key=task.idempotency_key,
        )

    def result(self, answered: Answered) -> StageResult:
        """Pair the output with the stage's report."""
        reply = answered.reply
        report = StageReport(
            self.task.service.name,
            answered.vm.vm_id,
            answered.vm.place,
            elapsed_ms(self.started_at_s),
            self.attempts,
            reply.usage,
        )
        output = self.cursor.output() if self.is_streamed else reply.output
        return StageResult(output, report)


class StageRunner:
    """Run stages, retrying, hedging and resuming where it is allowed."""

    def __init__(self, upstreams: Upstreams, policy: StagePolicy) -> None:
        self.upstreams = upstreams
        self.policy = policy

    async def run(
        self,
        task: StageTask,
        progress: Progress,
        sink: ChunkSink | None = None,
    ) -> StageResult:
        """Run a stage to one whole output.

        Raises BerylcartError with the last attempt's code.
        """
        run = StageRun(task, progress, sink)
        self.policy.note_fresh(task.service.name)
        while True:
            vm = self.choose(run)
            try:
                answered = await self.attempt(run, vm)
            except UpstreamError as error:
                self.check_retry(run, error)
                run.failure = error
                continue
            result = run.result(answered)
            self.policy.note_stage(task.service.name, result.report.latency_ms)
            return result

    def choose(self, run: StageRun) -> Vm:
        """Choose the next upstream; raises the last failure without one."""
        task = run.task
        try:
            return self.policy.choose(
                task.service, task.workspace, task.payload, run.tried
            )
        except BerylcartError as error:
            if run.failure is None or error.code is not Code.NO_UPSTREAM:
                raise
            raise run.failure from error

    async def attempt(self, run: StageRun, vm: Vm) -> Answered:
        """Send one attempt, and a hedge when it takes long."""
        task = run.task
        delay_ms = self.policy.hedge_delay_ms(task.service)
        if run.is_streamed or delay_ms is None:
            return await self.send(run, vm)

        async def primary(_: Entrant) -> Answered:
            return await self.send(run, vm)

        async def hedge(_: Entrant) -> Answered | None:
            second = self.policy.choose_hedge(
                task.service, task.workspace, task.payload, run.tried
            )
            if second is None:
                return None
            return await self.send(run, second)

        return await first_reply(primary, hedge, delay_ms / MS_PER_S)

    async def send(self, run: StageRun, vm: Vm) -> Answered:
        """Send one attempt to one upstream and account for it."""
        call = run.next_call(vm)
        sink = run.cursor.take if call.is_stream else None
        ran = Ran.UNKNOWN
        run.progress.begin()
        try:
            with self.policy.in_flight(vm):
                reply = await self.upstreams.call(call, sink)
            ran = Ran.YES
        except UpstreamError as error:
            ran = error.ran
            self.note_failure(call, error)
            raise
        finally:
            run.progress.end(ran)
        return Answered(vm, reply)

    def note_failure(self, call: StageCall, error: UpstreamError) -> None:
        """Log a failed attempt and mark an upstream that drains."""
        events.warning(
            "attempt.failed",
            attempt_id=call.attempt_id,
            service=call.service,
            vm_id=call.vm.vm_id,
            code=int(error.code),
            ran=error.ran,
            detail=error.detail,
        )
        if error.is_draining:
            self.policy.mark_leaving(call.vm)

    def check_retry(self, run: StageRun, error: UpstreamError) -> None:
        """Raise the error unless another attempt is allowed.

        An idempotent stage may be retried within the budget. A claimed one
        may only where the upstream certainly did not run it, an unclaimed
        non-idempotent one never.
        """
        task = run.task
        if run.attempts >= MAX_ATTEMPTS:
            raise error
        if error.code is Code.UPSTREAM_REJECTED:
            raise error
        left_s = task.deadline_at_s - anyio.current_time()
        if not self.policy.can_finish([task.service], left_s):
            raise error
        is_repeatable = task.service.is_idempotent
        if task.claim_name and error.ran is Ran.NO:
            is_repeatable = True
        if not is_repeatable or not self.policy.may_retry():
            raise error
