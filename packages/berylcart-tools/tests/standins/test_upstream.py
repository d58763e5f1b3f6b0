"""Check upstream stand-ins through the upstream client."""

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
from berylcart_tools.standins.engine import EngineSettings, serve_engine
from berylcart_tools.standins.engine_batch import CostModel
from berylcart_tools.standins.plain import PlainSettings, serve_plain
from berylcart_tools.standins.pool import PoolSettings, serve_pool
from berylcart_tools.standins.registration import (
    UpstreamSettings,
    describe_vm,
)
from berylcart_tools.standins.serve import running
from berylcart_tools.standins.tokens import answer_text
from berylcart_tools.standins.vm_list import VmListSettings, serve_vm_list

UPSTREAM = UpstreamSettings(
    "service", "lahore-1", "vm-1", incarnation=1, load_lag_ms=0
)
PLAIN = PlainSettings(UPSTREAM, step_ms=1)
ENGINE = EngineSettings(UPSTREAM, CostModel(step_ms=1), models=("drafts",))
PROMPT = "hem the coat for a wedding"


async def eventually(condition):
    """Poll a condition until it holds."""
    with anyio.fail_after(20):
        while True:
            if await condition():
                return
            await anyio.sleep(0.01)


class Bench:
    """Hold one upstream and the client that calls it."""

    def __init__(self, address, client):
        self.vm = describe_vm(UPSTREAM, address)
        self.upstreams = HttpUpstreams(client)

    def stage_call(self, payload, **fields):
        """Describe an attempt."""
        call = StageCall(
            "attempt-1", "request-1", self.vm, "service", "w", payload, 5000
        )
        return call._replace(**fields)

    async def call(self, payload, sink=None, **fields):
        """Run an attempt."""
        call = self.stage_call(payload, **fields)
        return await self.upstreams.call(call, sink)

    async def send(self, method, path, value=None):
        """Send any request."""
        body = b"" if value is None else json.dumps(value).encode()
        request = HttpRequest(method, self.vm.address, path, body)
        return await self.upstreams.client.request(request)

    async def set_faults(self, **faults):
        """Switch failures on."""
        answer = await self.send("PUT", "/admin/faults", faults)
        assert answer.status == 204

    async def runs(self):
        """List what ran."""
        answer = await self.send("GET", "/admin/witness")
        return json.loads(answer.body)["runs"]

    async def is_idle(self):
        """Say whether nothing runs."""
        return (await self.upstreams.load(self.vm)).in_flight == 0

    async def fails(self, payload, sink=None, **fields):
        """Run an attempt that fails."""
        with pytest.raises(UpstreamError) as caught:
            await self.call(payload, sink, **fields)
        return caught.value


def with_upstream(scenario, serve=serve_plain, settings=PLAIN):
    async def main():
        async with (
            running(serve, settings) as address,
            HttpClient() as client,
        ):
            await scenario(Bench(address, client))

    anyio.run(main)


def with_engine(scenario):
    with_upstream(scenario, serve_engine, ENGINE)


def test_plain_service_runs_and_witnesses():
    async def scenario(bench):
        reply = await bench.call({"slot": 3}, idempotency_key="key-1")
        assert reply.output == {"call": 1, "done": {"slot": 3}}
        assert reply.instance == "vm-1/1"
        assert reply.usage.steps == 1
        runs = await bench.runs()
        assert [run["idempotency_key"] for run in runs] == ["key-1"]
        assert runs[0]["place"] == "lahore-1"

    with_upstream(scenario)


def test_wrong_instance_service_and_payload_do_not_run():
    async def scenario(bench):
        vm = bench.vm._replace(instance="vm-1/0")
        assert (await bench.fails({}, vm=vm)).ran is Ran.NO
        error = await bench.fails({}, service="other")
        assert (error.code, error.ran) == (Code.UPSTREAM_REJECTED, Ran.NO)
        assert (await bench.fails([])).ran is Ran.NO
        assert await bench.runs() == []

    with_upstream(scenario)


def test_refusals_do_not_run():
    async def scenario(bench):
        await bench.set_faults(refuse="overloaded")
        error = await bench.fails({})
        assert (error.ran, error.is_draining) == (Ran.NO, False)
        assert error.retry_after_ms == 100
        await bench.set_faults(refuse="draining")
        error = await bench.fails({})
        assert (error.ran, error.is_draining) == (Ran.NO, True)
        assert await bench.runs() == []

    with_upstream(scenario)


def test_dropped_answer_may_have_run():
    async def scenario(bench):
        await bench.set_faults(drop_answer=1)
        assert (await bench.fails({})).ran is Ran.UNKNOWN
        assert len(await bench.runs()) == 1
        assert (await bench.call({})).output["call"] == 2

    with_upstream(scenario)


def test_cut_answer_may_have_run():
    async def scenario(bench):
        await bench.set_faults(cut_answer=1)
        assert (await bench.fails({})).ran is Ran.UNKNOWN
        assert len(await bench.runs()) == 1

    with_upstream(scenario)


@pytest.mark.parametrize("fault", ["drop_answer", "cut_answer"])
def test_damaged_stream_is_an_error(fault):
    async def scenario(bench):
        await bench.set_faults(**{fault: 1})
        payload = {"prompt": PROMPT, "max_tokens": 5}
        error = await bench.fails(payload, is_stream=True)
        assert error.ran is Ran.UNKNOWN
        assert len(await bench.runs()) == 1

    with_engine(scenario)


def test_crossed_stream_gives_no_chunk():
    async def scenario(bench):
        chunks = []

        async def sink(chunk):
            chunks.append(chunk)

        await bench.set_faults(cross_answer=1)
        payload = {"prompt": PROMPT, "max_tokens": 5}
        await bench.fails(payload, sink, is_stream=True)
        assert chunks == []
        assert bench.upstreams.crossed_answers == 1

    with_engine(scenario)


def test_full_upstream_refuses_without_running():
    async def scenario(bench):
        payload = {"prompt": PROMPT, "max_tokens": 4096}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(bench.call, payload)
            await eventually(bench.runs)
            for is_stream in (True, False):
                error = await bench.fails(payload, is_stream=is_stream)
                assert (error.code, error.ran) == (Code.OVERLOADED, Ran.NO)
            assert len(await bench.runs()) == 1
            tasks.cancel_scope.cancel()

    upstream = UPSTREAM._replace(capacity=1, max_queued=0)
    settings = ENGINE._replace(upstream=upstream)
    with_upstream(scenario, serve_engine, settings)


def test_crossed_answer_is_dropped_and_counted():
    async def scenario(bench):
        await bench.call({}, attempt_id="attempt-0")
        await bench.set_faults(cross_answer=1)
        assert (await bench.fails({})).ran is Ran.UNKNOWN
        assert bench.upstreams.crossed_answers == 1

    with_upstream(scenario)


def test_outage_is_not_taken_for_a_refusal():
    async def scenario(bench):
        await bench.set_faults(outage=True)
        assert (await bench.fails({})).ran is Ran.UNKNOWN
        await bench.set_faults()
        assert await bench.runs() == []

    with_upstream(scenario)


def test_slow_and_delayed_answers_time_out():
    async def scenario(bench):
        await bench.set_faults(slow_factor=100_000)
        error = await bench.fails({}, deadline_ms=100)
        assert (error.code, error.ran) == (
            Code.DEADLINE_EXCEEDED,
            Ran.UNKNOWN,
        )
        await bench.set_faults(delay_ms=100_000)
        error = await bench.fails({}, deadline_ms=100)
        assert error.code is Code.DEADLINE_EXCEEDED

    with_upstream(scenario)


def test_no_listener_means_not_run():
    async def main():
        async with running(serve_plain, PLAIN) as address:
            pass
        async with HttpClient() as client:
            assert (await Bench(address, client).fails({})).ran is Ran.NO

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
def test_pools_answer_and_reject(kind, payload, name):
    async def scenario(bench):
        assert (await bench.call(payload)).output[name]
        assert (await bench.fails({})).ran is Ran.NO

    settings = PoolSettings(UPSTREAM, kind, step_ms=1)
    with_upstream(scenario, serve_pool, settings)


def test_engine_streams_whole_and_resumed():
    async def scenario(bench):
        payload = {"prompt": PROMPT, "max_tokens": 5}
        whole = await bench.call(payload)
        assert whole.output == {"text": answer_text(PROMPT, 5)}
        chunks = []

        async def sink(chunk):
            chunks.append(chunk)

        reply = await bench.call(payload, sink, is_stream=True, start_offset=2)
        assert [chunk.offset for chunk in chunks] == [2, 3, 4]
        assert reply.output == {"text": answer_text(PROMPT, 5, 2)}
        assert reply.usage.tokens == 3

    with_engine(scenario)


def test_engine_rejects_models_and_sizes():
    async def scenario(bench):
        payload = {"prompt": PROMPT, "max_tokens": 1}
        await bench.call({**payload, "model": "drafts"})
        for change in (
            {"model": "other"},
            {"max_tokens": 0},
            {"max_tokens": True},
            {"prompt": 1},
        ):
            assert (await bench.fails({**payload, **change})).ran is Ran.NO

    with_engine(scenario)


def test_closing_the_connection_cancels_the_engine():
    async def scenario(bench):
        payload = {"prompt": PROMPT, "max_tokens": 4096}
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:

                async def sink(chunk):
                    # From here on the tokens take longer than the test.
                    await bench.set_faults(slow_factor=100)
                    assert not await bench.is_idle()
                    tasks.cancel_scope.cancel()

                call = bench.stage_call(payload, is_stream=True)
                tasks.start_soon(bench.upstreams.call, call, sink)
            await eventually(bench.is_idle)

    with_engine(scenario)


def test_draining_finishes_what_is_in_flight():
    async def main():
        async with (
            running(serve_vm_list, VmListSettings(lag_ms=0)) as vm_list,
            HttpClient() as client,
            anyio.create_task_group() as tasks,
        ):
            stop = anyio.Event()
            upstream = UPSTREAM._replace(vm_list=vm_list)
            settings = PlainSettings(upstream, step_ms=300)
            served = anyio.Event()

            async def serve(*, task_status):
                await serve_plain(settings, stop=stop, task_status=task_status)
                served.set()

            bench = Bench(await tasks.start(serve), client)
            listed = HttpVmList(vm_list, client)
            replies = []

            async def call():
                replies.append(await bench.call({}))

            tasks.start_soon(call)

            async def is_leaving():
                return (await listed.fetch()).vms[0].state is VmState.LEAVING

            await eventually(bench.runs)
            stop.set()
            await eventually(is_leaving)
            assert (await bench.fails({})).is_draining
            with anyio.fail_after(20):
                await served.wait()
            assert len(replies) == 1
            assert (await listed.fetch()).vms == ()

    anyio.run(main)
