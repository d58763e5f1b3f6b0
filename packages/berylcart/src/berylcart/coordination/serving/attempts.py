"""Run a stage with retries, hedges and stream resumption."""

from typing import Any, NamedTuple

import anyio

from berylcart import events
from berylcart.coordination.policy.stage_policy import StagePolicy, elapsed_ms
from berylcart.coordination.ports import ChunkSink, Upstreams
from berylcart.coordination.serving.hedging import RaceParticipant, first_reply
from berylcart.state.config import Service, ServiceKind
from berylcart.state.errors import BerylcartError, Code, Ran, UpstreamError
from berylcart.state.request import Progress, StageReport
from berylcart.state.stage import StageCall, StageChunk, StageReply
from berylcart.state.vm import Vm

MAX_ATTEMPTS = 4
MS_PER_S = 1000


class StageTask(NamedTuple):
    """Describe one stage of one request to be run.

    claim_name is empty if the stage needs no claim.
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
    """Pair a stage's output with the report on how it ran."""

    output: Any
    report: StageReport


class AttemptReply(NamedTuple):
    """Pair a reply with the upstream that sent it."""

    vm: Vm
    reply: StageReply


class StreamCursor:
    """Collect a stream's chunks across attempts, each offset once."""

    def __init__(self, sink: ChunkSink | None) -> None:
        self.sink = sink
        self.texts: list[str] = []

    @property
    def next_offset(self) -> int:
        """Return the offset at which a resumed stream must start."""
        return len(self.texts)

    async def accept_chunk(self, chunk: StageChunk) -> None:
        """Accept the next chunk; raises UpstreamError on another offset."""
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
        """Return the concatenated chunks as an engine's output."""
        return {"text": "".join(self.texts)}


class StageExecution:
    """Hold the state of running one stage across its attempts."""

    def __init__(
        self, task: StageTask, progress: Progress, sink: ChunkSink | None
    ) -> None:
        self.task = task
        self.progress = progress
        self.cursor = StreamCursor(sink)
        self.tried: set[str] = set()
        self.attempts = 0
        self.failure: UpstreamError | None = None
        self.start_s = anyio.current_time()

    @property
    def is_reply_streamed(self) -> bool:
        """Tell whether the reply arrives in chunks."""
        is_engine = self.task.service.kind is ServiceKind.ENGINE
        return self.task.is_stream and is_engine

    def make_call(self, vm: Vm) -> StageCall:
        """Build the next attempt's call, with a new id and deadline."""
        task = self.task
        self.attempts += 1
        self.tried.add(vm.vm_id)
        remaining_s = task.deadline_at_s - anyio.current_time()
        number = f"{task.request_id}.{task.stage_index}.{self.attempts}"
        return StageCall(
            attempt_id=f"{number}.{vm.instance}",
            request_id=task.request_id,
            vm=vm,
            service=task.service.name,
            workspace=task.workspace,
            payload=task.payload,
            deadline_ms=max(1, int(remaining_s * MS_PER_S)),
            is_stream=self.is_reply_streamed,
            start_offset=self.cursor.next_offset,
            idempotency_key=task.idempotency_key,
        )

    def result(self, attempt_reply: AttemptReply) -> StageResult:
        """Pair the output with the stage's report."""
        reply = attempt_reply.reply
        report = StageReport(
            self.task.service.name,
            attempt_reply.vm.vm_id,
            attempt_reply.vm.place,
            elapsed_ms(self.start_s),
            self.attempts,
            reply.usage,
        )
        output = (
            self.cursor.output() if self.is_reply_streamed else reply.output
        )
        return StageResult(output, report)


class StageRunner:
    """Run stages, with retries, hedges and resumption as permitted."""

    def __init__(self, upstreams: Upstreams, policy: StagePolicy) -> None:
        self.upstreams = upstreams
        self.policy = policy

    async def run(
        self,
        task: StageTask,
        progress: Progress,
        sink: ChunkSink | None = None,
    ) -> StageResult:
        """Run a stage and return its complete output.

        Raises BerylcartError with the last attempt's code.
        """
        execution = StageExecution(task, progress, sink)
        self.policy.record_request(task.service.name)
        while True:
            vm = self.choose(execution)
            try:
                attempt_reply = await self.attempt(execution, vm)
            except UpstreamError as error:
                self.check_retry(execution, error)
                execution.failure = error
                continue
            result = execution.result(attempt_reply)
            self.policy.record_stage(
                task.service.name, result.report.latency_ms
            )
            return result

    def choose(self, execution: StageExecution) -> Vm:
        """Choose the next upstream; raises the last failure if none."""
        task = execution.task
        try:
            return self.policy.choose(
                task.service, task.workspace, task.payload, execution.tried
            )
        except BerylcartError as error:
            if execution.failure is None or error.code is not Code.NO_UPSTREAM:
                raise
            raise execution.failure from error

    async def attempt(self, execution: StageExecution, vm: Vm) -> AttemptReply:
        """Send an attempt, and a hedge if no reply comes in time."""
        task = execution.task
        delay_ms = self.policy.hedge_delay_ms(task.service)
        if execution.is_reply_streamed or delay_ms is None:
            return await self.send(execution, vm)

        async def primary(_: RaceParticipant) -> AttemptReply:
            return await self.send(execution, vm)

        async def hedge(_: RaceParticipant) -> AttemptReply | None:
            second = self.policy.choose_hedge(
                task.service, task.workspace, task.payload, execution.tried
            )
            if second is None:
                return None
            return await self.send(execution, second)

        return await first_reply(primary, hedge, delay_ms / MS_PER_S)

    async def send(self, execution: StageExecution, vm: Vm) -> AttemptReply:
        """Send one attempt to an upstream and record its result."""
        call = execution.make_call(vm)
        sink = execution.cursor.accept_chunk if call.is_stream else None
        ran = Ran.UNKNOWN
        execution.progress.begin()
        try:
            with self.policy.in_flight(vm):
                reply = await self.upstreams.call(call, sink)
            ran = Ran.YES
        except UpstreamError as error:
            ran = error.ran
            self.log_failure(call, error)
            raise
        finally:
            execution.progress.end(ran)
        return AttemptReply(vm, reply)

    def log_failure(self, call: StageCall, error: UpstreamError) -> None:
        """Log a failed attempt; mark a draining upstream as leaving."""
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

    def check_retry(
        self, execution: StageExecution, error: UpstreamError
    ) -> None:
        """Raise the error unless another attempt is allowed.

        An idempotent stage may be retried within the budget. A claimed
        non-idempotent stage may be retried only if the upstream certainly did
        not run it, an unclaimed non-idempotent stage never.
        """
        task = execution.task
        if execution.attempts >= MAX_ATTEMPTS:
            raise error
        if error.code is Code.UPSTREAM_REJECTED:
            raise error
        remaining_s = task.deadline_at_s - anyio.current_time()
        if not self.policy.can_finish([task.service], remaining_s):
            raise error
        is_repeatable = task.service.is_idempotent
        if task.claim_name and error.ran is Ran.NO:
            is_repeatable = True
        if not is_repeatable or not self.policy.may_retry():
            raise error
