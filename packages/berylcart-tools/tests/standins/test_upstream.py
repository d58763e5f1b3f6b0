"""Test the upstream stand-ins through the upstream client."""

import json

import anyio
import pytest
from berylcart.state.config import ServiceKind
from berylcart.state.errors import Code, Ran, UpstreamError
from berylcart.state.stage import StageCall
from berylcart.state.vm import VmState
from berylcart.transport.http_client import HttpClient, HttpRequest
from berylcart.transport.upstream_client import HttpUpstreams
from berylcart.transport.vm_list_client import HttpVmList
from berylcart_tools.standins.continuous_batching import StepCostModel
from berylcart_tools.standins.engine import EngineSettings, serve_engine
from berylcart_tools.standins.plain import PlainSettings, serve_plain
from berylcart_tools.standins.pool import PoolSettings, serve_pool
from berylcart_tools.standins.registration import (
    UpstreamSettings,
    describe_vm,
)
from berylcart_tools.standins.serve import running
from berylcart_tools.standins.tokens import generated_text
from berylcart_tools.standins.vm_list import VmListSettings, serve_vm_list

UPSTREAM = UpstreamSettings(
    "service", "lahore-1", "vm-1", incarnation=1, load_lag_ms=0
)
PLAIN = PlainSettings(UPSTREAM, step_ms=1)
ENGINE = EngineSettings(UPSTREAM, StepCostModel(step_ms=1), models=("drafts",))
PROMPT = "hem the coat for a wedding"


async def wait_until(condition):
    """Poll a condition until it holds."""
    with anyio.fail_after(20):
        while True:
            if await condition():
                return
            await anyio.sleep(0.01)


class UpstreamHarness:
    """Call one running upstream through its client."""

    def __init__(self, address, client):
        self.vm = describe_vm(UPSTREAM, address)
        self.upstreams = HttpUpstreams(client)

    def stage_call(self, payload, **fields):
        """Build the description of an attempt."""
        call = StageCall(
            "attempt-1", "request-1", self.vm, "service", "w", payload, 5000
        )
        return call._replace(**fields)

    async def call(self, payload, sink=None, **fields):
        """Run an attempt."""
        call = self.stage_call(payload, **fields)
        return await self.upstreams.call(call, sink)

    async def send(self, method, path, value=None):
        """Send an HTTP request."""
        body = b"" if value is None else json.dumps(value).encode()
        request = HttpRequest(method, self.vm.address, path, body)
        return await self.upstreams.client.request(request)

    async def set_faults(self, **faults):
        """Enable faults."""
        response = await self.send("PUT", "/admin/faults", faults)
        assert response.status == 204

    async def runs(self):
        """List the attempts that the upstream ran."""
        response = await self.send("GET", "/admin/witness")
        return json.loads(response.body)["runs"]

    async def is_idle(self):
        """Return whether no attempt is in flight."""
        return (await self.upstreams.load(self.vm)).in_flight == 0

    async def expect_failure(self, payload, sink=None, **fields):
        """Run an attempt and return the UpstreamError that it must raise."""
        with pytest.raises(UpstreamError) as caught:
            await self.call(payload, sink, **fields)
        return caught.value


def run_with_upstream(scenario, serve=serve_plain, settings=PLAIN):
    async def main():
        async with (
            running(serve, settings) as address,
            HttpClient() as client,
        ):
            await scenario(UpstreamHarness(address, client))

    anyio.run(main)


def run_with_engine(scenario):
    run_with_upstream(scenario, serve_engine, ENGINE)


def test_plain_service_runs_and_records_an_attempt():
    async def scenario(harness):
        reply = await harness.call({"slot": 3}, idempotency_key="key-1")
        assert reply.output == {"call": 1, "done": {"slot": 3}}
        assert reply.instance == "vm-1/1"
        assert reply.usage.steps == 1
        runs = await harness.runs()
        assert [run["idempotency_key"] for run in runs] == ["key-1"]
        assert runs[0]["place"] == "lahore-1"

    run_with_upstream(scenario)


def test_wrong_instance_service_and_payload_do_not_run():
    async def scenario(harness):
        vm = harness.vm._replace(instance="vm-1/0")
        assert (await harness.expect_failure({}, vm=vm)).ran is Ran.NO
        error = await harness.expect_failure({}, service="other")
        assert (error.code, error.ran) == (Code.UPSTREAM_REJECTED, Ran.NO)
        assert (await harness.expect_failure([])).ran is Ran.NO
        assert await harness.runs() == []

    run_with_upstream(scenario)


def test_refused_attempts_do_not_run():
    async def scenario(harness):
        await harness.set_faults(refuse="overloaded")
        error = await harness.expect_failure({})
        assert (error.ran, error.is_draining) == (Ran.NO, False)
        assert error.retry_after_ms == 100
        await harness.set_faults(refuse="draining")
        error = await harness.expect_failure({})
        assert (error.ran, error.is_draining) == (Ran.NO, True)
        assert await harness.runs() == []

    run_with_upstream(scenario)


def test_dropped_response_leaves_outcome_unknown():
    async def scenario(harness):
        await harness.set_faults(drop_answer=1)
        assert (await harness.expect_failure({})).ran is Ran.UNKNOWN
        assert len(await harness.runs()) == 1
        assert (await harness.call({})).output["call"] == 2

    run_with_upstream(scenario)


def test_truncated_response_leaves_outcome_unknown():
    async def scenario(harness):
        await harness.set_faults(cut_answer=1)
        assert (await harness.expect_failure({})).ran is Ran.UNKNOWN
        assert len(await harness.runs()) == 1

    run_with_upstream(scenario)


@pytest.mark.parametrize("fault", ["drop_answer", "cut_answer"])
def test_interrupted_stream_leaves_outcome_unknown(fault):
    async def scenario(harness):
        await harness.set_faults(**{fault: 1})
        payload = {"prompt": PROMPT, "max_tokens": 5}
        error = await harness.expect_failure(payload, is_stream=True)
        assert error.ran is Ran.UNKNOWN
        assert len(await harness.runs()) == 1

    run_with_engine(scenario)


def test_crossed_stream_delivers_no_chunk():
    async def scenario(harness):
        chunks = []

        async def sink(chunk):
            chunks.append(chunk)

        await harness.set_faults(cross_answer=1)
        payload = {"prompt": PROMPT, "max_tokens": 5}
        await harness.expect_failure(payload, sink, is_stream=True)
        assert chunks == []
        assert harness.upstreams.mismatched_responses == 1

    run_with_engine(scenario)


def test_full_upstream_refuses_without_running():
    async def scenario(harness):
        payload = {"prompt": PROMPT, "max_tokens": 4096}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.call, payload)
            await wait_until(harness.runs)
            for is_stream in (True, False):
                error = await harness.expect_failure(
                    payload, is_stream=is_stream
                )
                assert (error.code, error.ran) == (Code.OVERLOADED, Ran.NO)
            assert len(await harness.runs()) == 1
            tasks.cancel_scope.cancel()

    upstream = UPSTREAM._replace(capacity=1, max_queued=0)
    settings = ENGINE._replace(upstream=upstream)
    run_with_upstream(scenario, serve_engine, settings)


def test_crossed_response_is_discarded_and_counted():
    async def scenario(harness):
        await harness.call({}, attempt_id="attempt-0")
        await harness.set_faults(cross_answer=1)
        assert (await harness.expect_failure({})).ran is Ran.UNKNOWN
        assert harness.upstreams.mismatched_responses == 1

    run_with_upstream(scenario)


def test_outage_is_not_treated_as_a_refusal():
    async def scenario(harness):
        await harness.set_faults(outage=True)
        assert (await harness.expect_failure({})).ran is Ran.UNKNOWN
        await harness.set_faults()
        assert await harness.runs() == []

    run_with_upstream(scenario)


def test_slow_and_delayed_responses_time_out():
    async def scenario(harness):
        await harness.set_faults(slow_factor=100_000)
        error = await harness.expect_failure({}, deadline_ms=100)
        assert (error.code, error.ran) == (
            Code.DEADLINE_EXCEEDED,
            Ran.UNKNOWN,
        )
        await harness.set_faults(delay_ms=100_000)
        error = await harness.expect_failure({}, deadline_ms=100)
        assert error.code is Code.DEADLINE_EXCEEDED

    run_with_upstream(scenario)


def test_attempt_without_listener_does_not_run():
    async def main():
        async with running(serve_plain, PLAIN) as address:
            pass
        async with HttpClient() as client:
            assert (
                await UpstreamHarness(address, client).expect_failure({})
            ).ran is Ran.NO

    anyio.run(main)


@pytest.mark.parametrize(
    ("kind", "payload", "name"),
    [
        (ServiceKind.ENCODER, {"text": "hem"}, "vector"),
        (ServiceKind.RETRIEVER, {"vector": [0.5]}, "documents"),
        (
            ServiceKind.RERANKER,
            {"documents": ["a"], "text": "hem"},
            "documents",
        ),
    ],
)
def test_pools_answer_valid_payloads_and_reject_others(kind, payload, name):
    async def scenario(harness):
        assert (await harness.call(payload)).output[name]
        assert (await harness.expect_failure({})).ran is Ran.NO

    settings = PoolSettings(UPSTREAM, kind, step_ms=1)
    run_with_upstream(scenario, serve_pool, settings)


def test_engine_answers_whole_and_streams_from_an_offset():
    async def scenario(harness):
        payload = {"prompt": PROMPT, "max_tokens": 5}
        whole = await harness.call(payload)
        assert whole.output == {"text": generated_text(PROMPT, 5)}
        chunks = []

        async def sink(chunk):
            chunks.append(chunk)

        reply = await harness.call(
            payload, sink, is_stream=True, start_offset=2
        )
        assert [chunk.offset for chunk in chunks] == [2, 3, 4]
        assert reply.output == {"text": generated_text(PROMPT, 5, 2)}
        assert reply.usage.tokens == 3

    run_with_engine(scenario)


def test_engine_rejects_invalid_payloads():
    async def scenario(harness):
        payload = {"prompt": PROMPT, "max_tokens": 1}
        await harness.call({**payload, "model": "drafts"})
        for change in (
            {"model": "other"},
            {"max_tokens": 0},
            {"max_tokens": True},
            {"prompt": 1},
        ):
            assert (
                await harness.expect_failure({**payload, **change})
            ).ran is Ran.NO

    run_with_engine(scenario)


def test_client_disconnect_cancels_the_attempt():
    async def scenario(harness):
        payload = {"prompt": PROMPT, "max_tokens": 4096}
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:

                async def sink(chunk):
                    # Slow the engine so that the attempt cannot finish before
                    # the disconnect.
                    await harness.set_faults(slow_factor=100)
                    assert not await harness.is_idle()
                    tasks.cancel_scope.cancel()

                call = harness.stage_call(payload, is_stream=True)
                tasks.start_soon(harness.upstreams.call, call, sink)
            await wait_until(harness.is_idle)

    run_with_engine(scenario)


def test_draining_completes_attempts_in_flight():
    async def main():
        async with (
            running(serve_vm_list, VmListSettings(lag_ms=0)) as vm_list,
            HttpClient() as client,
            anyio.create_task_group() as tasks,
        ):
            stop = anyio.Event()
            upstream = UPSTREAM._replace(vm_list=vm_list)
            settings = PlainSettings(upstream, step_ms=300)
            stopped = anyio.Event()

            async def serve(*, task_status):
                await serve_plain(settings, stop=stop, task_status=task_status)
                stopped.set()

            harness = UpstreamHarness(await tasks.start(serve), client)
            vm_list_client = HttpVmList(vm_list, client)
            replies = []

            async def call():
                replies.append(await harness.call({}))

            tasks.start_soon(call)

            async def is_leaving():
                return (await vm_list_client.fetch()).vms[
                    0
                ].state is VmState.LEAVING

            await wait_until(harness.runs)
            stop.set()
            await wait_until(is_leaving)
            assert (await harness.expect_failure({})).is_draining
            with anyio.fail_after(20):
                await stopped.wait()
            assert len(replies) == 1
            assert (await vm_list_client.fetch()).vms == ()

    anyio.run(main)
