"""Serve requests: permission, admission, claims and stages."""

import json
from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol

import anyio

from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.coordinator import ClaimCoordinator
from berylcart.coordination.claims.ordering import OrderingLocks
from berylcart.coordination.claims.results import Granted, PriorResult
from berylcart.coordination.claims.run_once import settle_failure
from berylcart.coordination.policy.admission_table import AdmissionTable
from berylcart.coordination.ports import ChunkSink
from berylcart.coordination.serving.attempts import (
    StageResult,
    StageRunner,
    StageTask,
)
from berylcart.coordination.serving.stage_payload import (
    merge_output,
    stage_payload,
)
from berylcart.state.config import Configuration, Service, Workspace
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.request import (
    Progress,
    ServeReply,
    ServeRequest,
    StageReport,
    strongest,
)
from berylcart.state.stage import Usage

RETRY_AFTER_DEADLINE_MS = 1000
CODE_SUCCESS = 0
MS_PER_S = 1000


class Configurations(Protocol):
    """Provide the newest configuration that is not stale."""

    def require(self) -> Configuration:
        """Return the configuration.

        Raises BerylcartError with NOT_READY or CONFIG_STALE.
        """
        ...


class EntryDirectory(Protocol):
    """Look up the entries that may serve a workspace."""

    def permitted_entries(self, workspace: Workspace) -> tuple[str, ...]:
        """Return the addresses of live entries in permitted places."""
        ...


class Target(NamedTuple):
    """Hold a request's workspace and stages from the configuration.

    prefix precedes the service's name in the name of a claim.
    """

    workspace: Workspace
    stages: tuple[Service, ...]
    prefix: str


def find_target(configuration: Configuration, request: ServeRequest) -> Target:
    """Look up a request's workspace and stages; raises BerylcartError."""
    workspace = configuration.workspaces.get(request.workspace)
    if workspace is None:
        raise BerylcartError(
            Code.UNKNOWN_WORKSPACE, f"no workspace {request.workspace!r}"
        )
    if request.is_pipeline:
        pipeline = configuration.pipelines.get(request.target)
        names = pipeline.stages if pipeline else ()
        prefix = f"{request.target}/"
    else:
        names = (request.target,)
        prefix = ""
    stages = [configuration.services.get(name) for name in names]
    known = tuple(stage for stage in stages if stage is not None)
    if not known or len(known) != len(names):
        kind = "pipeline" if request.is_pipeline else "service"
        raise BerylcartError(
            Code.UNKNOWN_TARGET, f"no {kind} {request.target!r}"
        )
    return Target(workspace, known, prefix)


def body_bytes(payload: dict[str, Any]) -> bytes:
    """Encode a payload as canonical JSON, for its fingerprint.

    >>> body_bytes({"b": 1, "a": 2})
    b'{"a":2,"b":1}'
    """
    text = json.dumps(payload, sort_keys=True, separators=(",", ":"))
    return text.encode()


class Server:
    """Serve requests at one entry of the system."""

    def __init__(
        self,
        place: str,
        configurations: Configurations,
        entries: EntryDirectory,
        admission: AdmissionTable,
        claims: ClaimCoordinator,
        runner: StageRunner,
    ) -> None:
        self.place = place
        self.configurations = configurations
        self.entries = entries
        self.admission = admission
        self.claims = claims
        self.runner = runner
        self.ordering = OrderingLocks()

    async def serve(
        self, request: ServeRequest, sink: ChunkSink | None = None
    ) -> ServeReply:
        """Return the complete reply to a request before its deadline.

        Raises BerylcartError, whose ran tells whether the request ran.
        """
        target = find_target(self.configurations.require(), request)
        self.check_place(target.workspace)
        progress = Progress()
        try:
            remaining_s = request.deadline_at_s - anyio.current_time()
            with anyio.fail_after(remaining_s):
                async with self.admission.admit(
                    request.target,
                    target.workspace,
                    target.stages,
                    remaining_s,
                ):
                    return await self.run_in_order(
                        request, target, progress, sink
                    )
        except TimeoutError:
            raise BerylcartError(
                Code.DEADLINE_EXCEEDED,
                f"no whole answer within {request.deadline_ms} ms",
                ran=progress.ran,
                retry_after_ms=RETRY_AFTER_DEADLINE_MS,
            ) from None
        except BerylcartError as error:
            error.ran = strongest(error.ran, progress.ran)
            raise

    def check_place(self, workspace: Workspace) -> None:
        """Raise PLACE_NOT_PERMITTED if this place is not permitted."""
        if self.place in workspace.places:
            return
        raise BerylcartError(
            Code.PLACE_NOT_PERMITTED,
            f"{self.place} may not handle workspace {workspace.name}",
            entries=self.entries.permitted_entries(workspace),
        )

    def check_remaining_time(
        self, request: ServeRequest, stages: Sequence[Service]
    ) -> None:
        """Raise DEADLINE_TOO_CLOSE if the remaining stages can't finish."""
        remaining_s = request.deadline_at_s - anyio.current_time()
        if self.runner.policy.can_finish(stages, remaining_s):
            return
        raise BerylcartError(
            Code.DEADLINE_TOO_CLOSE,
            f"{remaining_s:.2f} s are too little for {stages[0].name} "
            "and after",
            retry_after_ms=RETRY_AFTER_DEADLINE_MS,
        )

    async def run_in_order(
        self,
        request: ServeRequest,
        target: Target,
        progress: Progress,
        sink: ChunkSink | None,
    ) -> ServeReply:
        """Run a request after earlier ones with the same ordering key."""
        async with self.ordering.serialize(
            request.workspace, request.ordering_key
        ):
            return await self.run(request, target, progress, sink)

    async def run(
        self,
        request: ServeRequest,
        target: Target,
        progress: Progress,
        sink: ChunkSink | None,
    ) -> ServeReply:
        """Run the stages of a target in order."""
        context = dict(request.payload)
        output: Any = None
        reports: list[StageReport] = []
        last = len(target.stages) - 1
        for index, service in enumerate(target.stages):
            self.check_remaining_time(request, target.stages[index:])
            is_stream = request.is_stream and index == last
            task = self.stage_task(request, target, index, context, is_stream)
            result = await self.run_stage(
                request, task, progress, sink if is_stream else None
            )
            output = result.output
            reports.append(result.report)
            context = merge_output(context, service.name, service.kind, output)
        return ServeReply(request.request_id, output, tuple(reports))

    def stage_task(
        self,
        request: ServeRequest,
        target: Target,
        index: int,
        context: dict[str, Any],
        is_stream: bool,
    ) -> StageTask:
        """Build the description of one stage to run."""
        service = target.stages[index]
        key = request.idempotency_key
        is_claimed = bool(key) and not service.is_idempotent
        claim_name = f"{target.prefix}{service.name}" if is_claimed else ""
        return StageTask(
            request_id=request.request_id,
            stage_index=index,
            service=service,
            workspace=request.workspace,
            payload=stage_payload(service.kind, context),
            deadline_at_s=request.deadline_at_s,
            is_stream=is_stream,
            idempotency_key=key if is_claimed else "",
            claim_name=claim_name,
        )

    async def run_stage(
        self,
        request: ServeRequest,
        task: StageTask,
        progress: Progress,
        sink: ChunkSink | None,
    ) -> StageResult:
        """Run one stage, under a claim if it needs one."""
        if not task.claim_name:
            return await self.runner.run(task, progress, sink)
        remaining_s = request.deadline_at_s - anyio.current_time()
        verdict = await self.claims.claim(
            task.idempotency_key,
            task.workspace,
            task.claim_name,
            body_bytes(request.payload),
            ordering_key=request.ordering_key,
            timeout_ms=max(1, int(remaining_s * MS_PER_S)),
        )
        if isinstance(verdict, PriorResult):
            return replay_result(task.service.name, verdict)
        return await self.run_claimed(verdict, task, progress)

    async def run_claimed(
        self, granted: Granted, task: StageTask, progress: Progress
    ) -> StageResult:
        """Run a claimed stage and settle its claim in every case."""
        stage_progress = Progress()
        try:
            result = await self.runner.run(task, stage_progress)
        except BaseException as error:
            ran = stage_progress.ran
            settle_failure(self.claims, granted.claim_id, ran, error)
            raise
        finally:
            progress.record_outcome(stage_progress.ran)
        body = json.dumps(result.output).encode()
        answer = StoredAnswer(Ran.YES, CODE_SUCCESS, body)
        self.claims.finish(granted.claim_id, answer)
        return result


def replay_result(service: str, found: PriorResult) -> StageResult:
    """Return the result of an earlier request with the same key.

    Raises BerylcartError with OUTCOME_UNKNOWN if there is no stored answer.
    """
    if found.code != CODE_SUCCESS:
        raise BerylcartError(
            Code.OUTCOME_UNKNOWN,
            f"an earlier send of the key ended with code {found.code}",
            ran=found.ran,
        )
    if found.answer is None:
        raise BerylcartError(
            Code.OUTCOME_UNKNOWN,
            "an earlier send of the key ran; its answer is kept no more",
            ran=Ran.YES,
        )
    output = json.loads(found.answer.body)
    return StageResult(output, replayed_report(service))


def replayed_report(service: str) -> StageReport:
    """Build the report of a stage whose output was stored earlier."""
    return StageReport(service, "", "", 0.0, 0, Usage())
