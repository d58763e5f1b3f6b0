"""Fakes of the server's dependencies and a fixture that uses them."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import trio
from berylcart.coordination.claims.coordinator import ClaimCoordinator
from berylcart.coordination.policy.admission import AdmissionSettings
from berylcart.coordination.policy.admission_table import AdmissionTable
from berylcart.coordination.policy.budgets import RetryBudget, ServiceBudgets
from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.latency import LatencyTable
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.routing import DEFAULT_POLICY
from berylcart.coordination.policy.stage_policy import PolicyParts, StagePolicy
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.coordination.serving.attempts import StageRunner
from berylcart.coordination.serving.server import Server
from berylcart.state.config import (
    Configuration,
    Pipeline,
    Place,
    Service,
    ServiceKind,
    Workspace,
)
from berylcart.state.errors import BerylcartError, Code, Ran, UpstreamError
from berylcart.state.request import ServeRequest
from berylcart.state.stage import StageCall, StageChunk, StageReply, Usage
from berylcart.state.vm import Vm, VmListSnapshot, VmRole, VmState
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

HERE = frozenset({"p1", "p2"})
SERVICES = {
    "enc": Service("enc", ServiceKind.ENCODER, HERE),
    "llm": Service("llm", ServiceKind.ENGINE, HERE),
    "book": Service("book", ServiceKind.PLAIN, HERE, is_idempotent=False),
}
CONFIGURATION = Configuration(
    {name: Place(name, "r", {}) for name in ("p1", "p2")},
    SERVICES,
    {"ask": Pipeline("ask", ("enc", "llm"))},
    {
        "both": Workspace("both", HERE),
        "one": Workspace("one", frozenset({"p1"})),
    },
)
FLUSH_TIMEOUT_S = 10
TOKENS = ("a", "b", "c", "d")

Result = TypeVar("Result")


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on a virtual clock that skips sleeps."""
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def outcome(scenario: Callable[[], Awaitable[Result]]) -> Result:
    """Run a scenario on a virtual clock and return its result."""
    results: list[Result] = []

    async def collect() -> None:
        results.append(await scenario())

    run(collect)
    return results[0]


def upstream(vm_id: str, service: str, place: str = "p1") -> Vm:
    """Build a live upstream."""
    return Vm(
        vm_id,
        1,
        "127.0.0.1:1",
        place,
        VmRole.UPSTREAM,
        service,
        VmState.LIVE,
        f"{vm_id}/1",
    )


POOL = (
    upstream("enc-1", "enc"),
    upstream("enc-2", "enc", "p2"),
    upstream("llm-1", "llm"),
    upstream("llm-2", "llm", "p2"),
    upstream("book-1", "book"),
    upstream("book-2", "book", "p2"),
)


class FakeConfigurations:
    """Provide a configuration that a test can replace or set to None."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = CONFIGURATION

    def require(self) -> Configuration:
        """Return the configuration; raises CONFIG_STALE if it is None."""
        if self.configuration is None:
            raise BerylcartError(Code.CONFIG_STALE, "withdrawn")
        return self.configuration


class FakeEntryDirectory:
    """List one other entry for every workspace."""

    def permitted_entries(self, workspace: Workspace) -> tuple[str, ...]:
        """Return the address of the other entry."""
        return ("127.0.0.1:9",)


class FakeVmList:
    """VM list that contains the pool."""

    async def fetch(self) -> VmListSnapshot:
        """Return the pool as a VM list."""
        return VmListSnapshot(1, POOL)


class FakeUpstreams:
    """Answer calls as scripted and record which of them ran."""

    def __init__(self) -> None:
        self.calls: list[StageCall] = []
        self.ran: list[StageCall] = []
        self.failures: dict[str, list[UpstreamError]] = {}
        self.delay_s: dict[str, float] = {}
        self.failure_delay_s = 0.0
        self.break_streams_at_offsets: list[int] = []
        self.repeat_first_chunk = False

    async def call(self, call: StageCall, sink=None) -> StageReply:
        """Run or fail one attempt as scripted."""
        self.calls.append(call)
        failures = self.failures.get(call.vm.vm_id, [])
        if failures:
            await anyio.sleep(self.failure_delay_s)
            error = failures.pop(0)
            if error.ran is not Ran.NO:
                self.ran.append(call)
            raise error
        self.ran.append(call)
        await anyio.sleep(self.delay_s.get(call.vm.vm_id, 0.01))
        if call.is_stream:
            await self.stream(call, sink)
        output = {
            "enc": {"vector": [1.0]},
            "llm": {"text": "".join(TOKENS)},
            "book": {"run": len(self.ran)},
        }[call.service]
        usage = Usage(1, 1, 0.01)
        return StageReply(call.attempt_id, call.vm.instance, output, usage)

    async def stream(self, call: StageCall, sink) -> None:
        """Send the tokens from start_offset, failing at a scripted offset."""
        end = (
            self.break_streams_at_offsets.pop(0)
            if self.break_streams_at_offsets
            else None
        )
        for offset in range(call.start_offset, len(TOKENS)):
            if offset == end:
                raise make_upstream_failure(Ran.UNKNOWN)
            await sink(StageChunk(offset, TOKENS[offset]))
            if self.repeat_first_chunk:
                self.repeat_first_chunk = False
                await sink(StageChunk(offset, TOKENS[offset]))

    def count_runs(self, service: str) -> int:
        """Return the number of attempts of a service that ran."""
        return sum(call.service == service for call in self.ran)


def make_upstream_failure(
    ran: Ran, *, is_draining: bool = False
) -> UpstreamError:
    """Build the error of a failed attempt."""
    return UpstreamError(
        Code.UPSTREAM_FAILED, "scripted", ran=ran, is_draining=is_draining
    )


async def raise_peer_unavailable(claimant, key_digest, claim_id, workspace):
    """Raise PEER_UNAVAILABLE, as if no other daemon were reachable."""
    raise BerylcartError(Code.PEER_UNAVAILABLE, "there are no peers")


class ServerFixture:
    """Assemble a server in place p1 around fake upstreams."""

    def __init__(self) -> None:
        self.configurations = FakeConfigurations()
        self.upstreams = FakeUpstreams()
        self.directory = VmDirectory(FakeVmList())
        self.directory.apply(VmListSnapshot(1, POOL))
        self.log = MemoryLog()
        self.claims = ClaimCoordinator(
            self.log, "e1", 1, raise_peer_unavailable
        )
        load_table = LoadTable()
        ejector = Ejector()
        router = DEFAULT_POLICY.make_router(
            load_table, ejector, random.Random(1)
        )
        self.parts = PolicyParts(
            self.configurations,
            self.directory,
            router,
            load_table,
            ejector,
            LatencyTable(),
            RetryBudget(0.1, 10),
            ServiceBudgets(0.05, 10),
            DEFAULT_POLICY,
        )
        policy = StagePolicy(self.parts)
        self.admission = AdmissionTable(policy, AdmissionSettings(), 100)
        self.server = Server(
            "p1",
            self.configurations,
            FakeEntryDirectory(),
            self.admission,
            self.claims,
            StageRunner(self.upstreams, policy),
        )

    def request(self, target: str, **changes) -> ServeRequest:
        """Build a request with a deadline of 3 s."""
        request = ServeRequest(
            request_id="r1",
            workspace="both",
            target=target,
            is_pipeline=target == "ask",
            payload={"text": "hem", "prompt": "hem", "max_tokens": 4},
            deadline_ms=3000,
            deadline_at_s=anyio.current_time() + 3,
        )
        return request._replace(**changes)

    async def serve(self, target: str, sink=None, **changes):
        """Serve one request and return its reply; raises its error."""
        result = await self.outcome(target, sink, **changes)
        if isinstance(result, BerylcartError):
            raise result
        return result

    async def refusal(self, target: str, **changes) -> BerylcartError:
        """Serve one request that must fail and return its error."""
        result = await self.outcome(target, None, **changes)
        assert isinstance(result, BerylcartError)
        return result

    async def outcome(self, target: str, sink, **changes):
        """Serve one request with a running claim keeper.

        Returns the reply or the error.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.claims.run)
            try:
                result = await self.server.serve(
                    self.request(target, **changes), sink
                )
            except BerylcartError as error:
                result = error
            with anyio.move_on_after(FLUSH_TIMEOUT_S):
                await self.claims.flush()
            tasks.cancel_scope.cancel()
        return result
