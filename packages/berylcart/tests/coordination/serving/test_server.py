"""Check that requests get one complete reply from permitted places."""

import anyio
import pytest
from berylcart.coordination.policy.stage_policy import WasteCause
from berylcart.state.errors import Code, Ran, UpstreamError
from berylcart.state.vm import VmListSnapshot, VmState

from ..serving_fakes import (
    CONFIGURATION,
    POOL,
    ServerFixture,
    make_upstream_failure,
    run,
)


def test_pipeline_runs_its_stages_in_order():
    async def scenario():
        fixture = ServerFixture()
        reply = await fixture.serve("ask")
        assert reply.output == {"text": "abcd"}
        assert [report.service for report in reply.stages] == ["enc", "llm"]
        assert [call.service for call in fixture.upstreams.ran] == [
            "enc",
            "llm",
        ]

    run(scenario)


def test_unknown_names_are_refused_before_any_stage_runs():
    async def scenario():
        fixture = ServerFixture()
        error = await fixture.refusal("ask", workspace="nobody")
        assert error.code is Code.UNKNOWN_WORKSPACE
        error = await fixture.refusal("nothing")
        assert error.code is Code.UNKNOWN_TARGET
        assert fixture.upstreams.calls == []

    run(scenario)


def test_refusal_at_a_place_not_permitted_lists_permitted_entries():
    async def scenario():
        fixture = ServerFixture()
        fixture.server.place = "p2"
        error = await fixture.refusal("ask", workspace="one")
        assert error.code is Code.PLACE_NOT_PERMITTED
        assert error.entries == ("127.0.0.1:9",)
        assert error.ran is Ran.NO
        assert fixture.upstreams.calls == []

    run(scenario)


def test_attempts_and_retries_stay_in_permitted_places():
    async def scenario():
        fixture = ServerFixture()
        fixture.upstreams.failures = {
            "enc-1": [make_upstream_failure(Ran.UNKNOWN)]
        }
        error = await fixture.refusal("enc", workspace="one")
        assert error.code is Code.UPSTREAM_FAILED
        assert error.ran is Ran.UNKNOWN
        assert {call.vm.place for call in fixture.upstreams.calls} == {"p1"}
        fixture.directory.mark_leaving("enc-1", 1)
        error = await fixture.refusal("enc", workspace="one")
        assert error.code is Code.NO_UPSTREAM
        assert error.ran is Ran.NO

    run(scenario)


def test_permission_is_checked_against_the_newest_configuration():
    async def scenario():
        fixture = ServerFixture()
        narrowed = CONFIGURATION.services["llm"]._replace(
            places=frozenset({"p1"})
        )
        services = {**CONFIGURATION.services, "llm": narrowed}
        run_stage = fixture.upstreams.call

        async def narrow_after_first_stage(call, sink=None):
            reply = await run_stage(call, sink)
            fixture.configurations.configuration = CONFIGURATION._replace(
                services=services
            )
            return reply

        fixture.upstreams.call = narrow_after_first_stage
        for _ in range(10):
            fixture.configurations.configuration = CONFIGURATION
            await fixture.serve("ask")
        places = {
            call.vm.place
            for call in fixture.upstreams.ran
            if call.service == "llm"
        }
        assert places == {"p1"}

    run(scenario)


def test_idempotent_stage_is_retried_elsewhere():
    async def scenario():
        fixture = ServerFixture()
        fixture.upstreams.failures = {
            "enc-1": [make_upstream_failure(Ran.UNKNOWN)]
        }
        fixture.directory.apply(VmListSnapshot(2, POOL))
        for _ in range(8):
            reply = await fixture.serve("enc")
            assert reply.output == {"vector": [1.0]}

    run(scenario)


def test_broken_stream_resumes_at_the_next_token():
    async def scenario():
        fixture = ServerFixture()
        fixture.upstreams.break_streams_at_offsets = [2]
        chunks = []

        async def sink(chunk):
            chunks.append(chunk)

        reply = await fixture.serve("llm", sink, is_stream=True)
        assert [chunk.offset for chunk in chunks] == [0, 1, 2, 3]
        assert "".join(chunk.text for chunk in chunks) == "abcd"
        assert reply.output == {"text": "abcd"}
        starts = [call.start_offset for call in fixture.upstreams.calls]
        assert starts == [0, 2]

    run(scenario)


def test_non_idempotent_request_without_key_is_not_retried():
    async def scenario():
        fixture = ServerFixture()
        failures = [make_upstream_failure(Ran.UNKNOWN)]
        fixture.upstreams.failures = {"book-1": failures, "book-2": failures}
        error = await fixture.refusal("book")
        assert error.ran is Ran.UNKNOWN
        assert len(fixture.upstreams.calls) == 1

    run(scenario)


def test_keyed_request_runs_once_and_its_answer_is_replayed():
    async def scenario():
        fixture = ServerFixture()
        first = await fixture.serve("book", idempotency_key="k1")
        second = await fixture.serve("book", idempotency_key="k1")
        assert first.output == second.output
        assert fixture.upstreams.count_runs("book") == 1

    run(scenario)


def test_keyed_request_that_may_have_run_is_not_run_again():
    async def scenario():
        fixture = ServerFixture()
        failures = [make_upstream_failure(Ran.UNKNOWN)]
        fixture.upstreams.failures = {"book-1": failures, "book-2": failures}
        first = await fixture.refusal("book", idempotency_key="k1")
        second = await fixture.refusal("book", idempotency_key="k1")
        assert (first.ran, second.ran) == (Ran.UNKNOWN, Ran.UNKNOWN)
        assert second.code is Code.OUTCOME_UNKNOWN
        assert fixture.upstreams.count_runs("book") == 1

    run(scenario)


def test_keyed_request_that_was_refused_runs_at_another_replica():
    async def scenario():
        fixture = ServerFixture()
        failures = [make_upstream_failure(Ran.NO, is_draining=True)]
        fixture.upstreams.failures = {"book-1": failures, "book-2": failures}
        reply = await fixture.serve("book", idempotency_key="k1")
        assert reply.output == {"run": 1}
        assert fixture.upstreams.count_runs("book") == 1

    run(scenario)


def test_request_refused_by_all_replicas_releases_its_key():
    async def scenario():
        fixture = ServerFixture()
        for vm in ("book-1", "book-2"):
            fixture.upstreams.failures[vm] = [make_upstream_failure(Ran.NO)]
        error = await fixture.refusal("book", idempotency_key="k1")
        assert error.ran is Ran.NO
        assert fixture.upstreams.ran == []
        reply = await fixture.serve("book", idempotency_key="k1")
        assert reply.output == {"run": 1}

    run(scenario)


def test_request_past_its_deadline_fails_with_ran_unknown():
    async def scenario():
        fixture = ServerFixture()
        fixture.upstreams.delay_s = {"enc-1": 60, "enc-2": 60}
        started_at_s = anyio.current_time()
        error = await fixture.refusal("enc")
        assert error.code is Code.DEADLINE_EXCEEDED
        assert error.ran is Ran.UNKNOWN
        assert error.retry_after_ms
        assert anyio.current_time() - started_at_s == pytest.approx(3)

    run(scenario)


def test_without_the_log_only_keyed_requests_are_refused():
    async def scenario():
        fixture = ServerFixture()
        fixture.log.is_down = True
        error = await fixture.refusal("book", idempotency_key="k1")
        assert error.code is Code.CLAIMS_UNAVAILABLE
        assert error.ran is Ran.NO
        assert error.retry_after_ms
        assert fixture.upstreams.ran == []
        assert await fixture.serve("enc")

    run(scenario)


def test_draining_upstream_gets_no_new_work():
    async def scenario():
        fixture = ServerFixture()
        refusal = make_upstream_failure(Ran.NO, is_draining=True)
        fixture.upstreams.failures = {"enc-1": [refusal] * 99}
        for _ in range(20):
            assert await fixture.serve("enc")
        calls = [call.vm.vm_id for call in fixture.upstreams.calls]
        assert calls.count("enc-1") <= 1

    run(scenario)


def test_older_vm_list_does_not_undo_a_leaving_mark():
    leaving_vms = [vm for vm in POOL if vm.vm_id == "enc-1"]

    async def scenario():
        fixture = ServerFixture()
        leaving = leaving_vms[0]._replace(state=VmState.LEAVING)
        fixture.directory.apply(VmListSnapshot(5, (leaving,)))
        fixture.directory.apply(VmListSnapshot(4, POOL))
        assert fixture.directory.pool("enc") == ()
        fixture.directory.apply(VmListSnapshot(6, POOL))
        assert [vm.vm_id for vm in fixture.directory.pool("enc")] == ["enc-2"]

    run(scenario)


def test_slow_attempt_is_hedged_and_the_first_reply_wins():
    async def scenario():
        fixture = ServerFixture()
        for _ in range(20):
            await fixture.serve("enc")
        fixture.upstreams.delay_s = {"enc-1": 2.0, "enc-2": 0.01}
        started_at_s = anyio.current_time()
        for _ in range(4):
            assert await fixture.serve("enc")
        assert anyio.current_time() - started_at_s < 1

    run(scenario)


def test_stale_configuration_refuses_new_work():
    async def scenario():
        fixture = ServerFixture()
        fixture.configurations.configuration = None
        error = await fixture.refusal("ask")
        assert error.code is Code.CONFIG_STALE
        assert error.ran is Ran.NO
        assert fixture.upstreams.calls == []

    run(scenario)


def test_requests_with_the_same_ordering_key_run_sequentially():
    async def scenario():
        fixture = ServerFixture()
        open_calls = 0
        run_stage = fixture.upstreams.call

        async def count_open(call, sink=None):
            nonlocal open_calls
            open_calls += 1
            assert open_calls == 1
            try:
                return await run_stage(call, sink)
            finally:
                open_calls -= 1

        fixture.upstreams.call = count_open
        async with anyio.create_task_group() as tasks:
            for number in range(3):
                request = fixture.request(
                    "enc", request_id=f"r{number}", ordering_key="o"
                )
                tasks.start_soon(fixture.server.serve, request)
        assert fixture.upstreams.count_runs("enc") == 3

    run(scenario)


def test_stream_resumes_after_a_chunk_at_a_wrong_offset():
    async def scenario():
        fixture = ServerFixture()
        fixture.upstreams.repeat_first_chunk = True
        texts = []

        async def sink(chunk):
            texts.append(chunk.text)

        reply = await fixture.serve("llm", sink, is_stream=True)
        assert "".join(texts) == "abcd"
        assert reply.output == {"text": "abcd"}

    run(scenario)


def test_workspace_limit_includes_requests_at_other_entries():
    async def scenario():
        fixture = ServerFixture()
        limit = CONFIGURATION.workspaces["both"].max_in_flight
        fixture.admission.remote_demand = {"both": limit}.get
        error = await fixture.refusal("enc")
        assert error.code is Code.WORKSPACE_LIMIT
        assert error.ran is Ran.NO
        assert error.retry_after_ms
        fixture.admission.remote_demand = {"both": limit - 1}.get
        assert await fixture.serve("enc")

    run(scenario)


@pytest.mark.parametrize(
    "error",
    [
        UpstreamError(Code.UPSTREAM_REJECTED, "bad payload", ran=Ran.NO),
        UpstreamError(Code.OVERLOADED, "full", ran=Ran.NO, retry_after_ms=100),
    ],
)
def test_rejections_and_overload_do_not_eject_a_replica(error):
    async def scenario():
        fixture = ServerFixture()
        fixture.upstreams.failures = {
            "enc-1": [error] * 50,
            "enc-2": [error] * 50,
        }
        for _ in range(20):
            await fixture.refusal("enc")
        usable = fixture.parts.ejector.usable(fixture.directory.pool("enc"))
        assert {vm.vm_id for vm in usable} == {"enc-1", "enc-2"}

    run(scenario)


def test_no_stage_starts_if_later_stages_would_miss_the_deadline():
    async def scenario():
        fixture = ServerFixture()
        for _ in range(20):
            fixture.parts.latencies.record("enc", 10)
            fixture.parts.latencies.record("llm", 500)
        deadline_at_s = anyio.current_time() + 0.4
        fixture.admission.is_admitting = False
        error = await fixture.refusal("ask", deadline_at_s=deadline_at_s)
        assert error.code is Code.DEADLINE_TOO_CLOSE
        assert error.ran is Ran.NO
        assert fixture.upstreams.calls == []

    run(scenario)


def test_wasted_work_is_reported_with_its_cause():
    async def scenario():
        fixture = ServerFixture()
        wasted = []
        fixture.server.runner.policy.on_wasted_attempt = lambda *waste: (
            wasted.append(waste)
        )
        fixture.upstreams.failures = {
            "enc-1": [make_upstream_failure(Ran.UNKNOWN)]
        }
        fixture.upstreams.delay_s = {"enc-2": 60}
        await fixture.refusal("enc")
        assert {why for _, _, why in wasted} >= {WasteCause.CANCELLED}
        assert all(service == "enc" for service, _, _ in wasted)

    run(scenario)


def test_no_retry_starts_that_would_miss_the_deadline():
    async def scenario():
        fixture = ServerFixture()
        for _ in range(20):
            fixture.parts.latencies.record("enc", 350)
        fixture.admission.is_admitting = False
        fixture.upstreams.failures = {
            name: [make_upstream_failure(Ran.NO)]
            for name in ("enc-1", "enc-2")
        }
        fixture.upstreams.failure_delay_s = 0.2
        deadline_at_s = anyio.current_time() + 0.4
        error = await fixture.refusal("enc", deadline_at_s=deadline_at_s)
        assert error.code is Code.UPSTREAM_FAILED
        assert len(fixture.upstreams.calls) == 1

    run(scenario)
