"""Check that requests get one complete reply from permitted places."""

import anyio
import pytest
from berylcart.coordination.policy.stage_policy import Waste
from berylcart.state.errors import Code, Ran, UpstreamError
from berylcart.state.vm import VmPage, VmState

from ..serving_fakes import CONFIGURATION, POOL, Rig, failed, run


def test_pipeline_runs_its_stages_in_order():
    async def scenario():
        rig = Rig()
        reply = await rig.serve("ask")
        assert reply.output == {"text": "abcd"}
        assert [report.service for report in reply.stages] == ["enc", "llm"]
        assert [call.service for call in rig.upstreams.ran] == ["enc", "llm"]

    run(scenario)


def test_unknown_names_are_refused_before_anything_runs():
    async def scenario():
        rig = Rig()
        error = await rig.refusal("ask", workspace="nobody")
        assert error.code is Code.UNKNOWN_WORKSPACE
        error = await rig.refusal("nothing")
        assert error.code is Code.UNKNOWN_TARGET
        assert rig.upstreams.calls == []

    run(scenario)


def test_entry_outside_the_workspace_names_permitted_entries():
    async def scenario():
        rig = Rig()
        rig.server.place = "p2"
        error = await rig.refusal("ask", workspace="one")
        assert error.code is Code.PLACE_NOT_PERMITTED
        assert error.entries == ("127.0.0.1:9",)
        assert error.ran is Ran.NO
        assert rig.upstreams.calls == []

    run(scenario)


def test_attempts_and_retries_stay_in_permitted_places():
    async def scenario():
        rig = Rig()
        rig.upstreams.failures = {"enc-1": [failed(Ran.UNKNOWN)]}
        error = await rig.refusal("enc", workspace="one")
        assert error.code is Code.UPSTREAM_FAILED
        assert error.ran is Ran.UNKNOWN
        assert {call.vm.place for call in rig.upstreams.calls} == {"p1"}
        rig.directory.mark_leaving("enc-1", 1)
        error = await rig.refusal("enc", workspace="one")
        assert error.code is Code.NO_UPSTREAM
        assert error.ran is Ran.NO

    run(scenario)


def test_permission_is_checked_against_the_newest_configuration():
    async def scenario():
        rig = Rig()
        narrowed = CONFIGURATION.services["llm"]._replace(
            places=frozenset({"p1"})
        )
        services = {**CONFIGURATION.services, "llm": narrowed}
        run_stage = rig.upstreams.call

        async def narrow_after_first_stage(call, sink=None):
            reply = await run_stage(call, sink)
            rig.configurations.configuration = CONFIGURATION._replace(
                services=services
            )
            return reply

        rig.upstreams.call = narrow_after_first_stage
        for _ in range(10):
            rig.configurations.configuration = CONFIGURATION
            await rig.serve("ask")
        places = {
            call.vm.place
            for call in rig.upstreams.ran
            if call.service == "llm"
        }
        assert places == {"p1"}

    run(scenario)


def test_idempotent_stage_is_retried_elsewhere():
    async def scenario():
        rig = Rig()
        rig.upstreams.failures = {"enc-1": [failed(Ran.UNKNOWN)]}
        rig.directory.apply(VmPage(2, POOL))
        for _ in range(8):
            reply = await rig.serve("enc")
            assert reply.output == {"vector": [1.0]}

    run(scenario)


def test_broken_stream_resumes_at_the_next_token():
    async def scenario():
        rig = Rig()
        rig.upstreams.break_streams_at = [2]
        chunks = []

        async def sink(chunk):
            chunks.append(chunk)

        reply = await rig.serve("llm", sink, is_stream=True)
        assert [chunk.offset for chunk in chunks] == [0, 1, 2, 3]
        assert "".join(chunk.text for chunk in chunks) == "abcd"
        assert reply.output == {"text": "abcd"}
        starts = [call.start_offset for call in rig.upstreams.calls]
        assert starts == [0, 2]

    run(scenario)


def test_unkeyed_non_idempotent_request_is_sent_once():
    async def scenario():
        rig = Rig()
        failures = [failed(Ran.UNKNOWN)]
        rig.upstreams.failures = {"book-1": failures, "book-2": failures}
        error = await rig.refusal("book")
        assert error.ran is Ran.UNKNOWN
        assert len(rig.upstreams.calls) == 1

    run(scenario)


def test_keyed_request_runs_once_and_gives_the_same_answer_again():
    async def scenario():
        rig = Rig()
        first = await rig.serve("book", idempotency_key="k1")
        second = await rig.serve("book", idempotency_key="k1")
        assert first.output == second.output
        assert rig.upstreams.runs_of("book") == 1

    run(scenario)


def test_keyed_request_that_may_have_run_is_not_run_again():
    async def scenario():
        rig = Rig()
        failures = [failed(Ran.UNKNOWN)]
        rig.upstreams.failures = {"book-1": failures, "book-2": failures}
        first = await rig.refusal("book", idempotency_key="k1")
        second = await rig.refusal("book", idempotency_key="k1")
        assert (first.ran, second.ran) == (Ran.UNKNOWN, Ran.UNKNOWN)
        assert second.code is Code.OUTCOME_UNKNOWN
        assert rig.upstreams.runs_of("book") == 1

    run(scenario)


def test_keyed_request_that_was_refused_runs_at_another_replica():
    async def scenario():
        rig = Rig()
        failures = [failed(Ran.NO, is_draining=True)]
        rig.upstreams.failures = {"book-1": failures, "book-2": failures}
        reply = await rig.serve("book", idempotency_key="k1")
        assert reply.output == {"run": 1}
        assert rig.upstreams.runs_of("book") == 1

    run(scenario)


def test_refused_everywhere_did_not_run_and_frees_the_key():
    async def scenario():
        rig = Rig()
        for vm in ("book-1", "book-2"):
            rig.upstreams.failures[vm] = [failed(Ran.NO)]
        error = await rig.refusal("book", idempotency_key="k1")
        assert error.ran is Ran.NO
        assert rig.upstreams.ran == []
        reply = await rig.serve("book", idempotency_key="k1")
        assert reply.output == {"run": 1}

    run(scenario)


def test_deadline_answers_at_once_and_does_not_claim_that_nothing_ran():
    async def scenario():
        rig = Rig()
        rig.upstreams.delay_s = {"enc-1": 60, "enc-2": 60}
        started_at_s = anyio.current_time()
        error = await rig.refusal("enc")
        assert error.code is Code.DEADLINE_EXCEEDED
        assert error.ran is Ran.UNKNOWN
        assert error.retry_after_ms
        assert anyio.current_time() - started_at_s == pytest.approx(3)

    run(scenario)


def test_log_down_refuses_keyed_work_at_once_and_serves_the_rest():
    async def scenario():
        rig = Rig()
        rig.log.is_down = True
        error = await rig.refusal("book", idempotency_key="k1")
        assert error.code is Code.CLAIMS_UNAVAILABLE
        assert error.ran is Ran.NO
        assert error.retry_after_ms
        assert rig.upstreams.ran == []
        assert await rig.serve("enc")

    run(scenario)


def test_draining_upstream_gets_no_new_work():
    async def scenario():
        rig = Rig()
        refusal = failed(Ran.NO, is_draining=True)
        rig.upstreams.failures = {"enc-1": [refusal] * 99}
        for _ in range(20):
            assert await rig.serve("enc")
        calls = [call.vm.vm_id for call in rig.upstreams.calls]
        assert calls.count("enc-1") <= 1

    run(scenario)


def test_older_list_does_not_revive_a_leaving_vm():
    rig_pool = [vm for vm in POOL if vm.vm_id == "enc-1"]

    async def scenario():
        rig = Rig()
        leaving = rig_pool[0]._replace(state=VmState.LEAVING)
        rig.directory.apply(VmPage(5, (leaving,)))
        rig.directory.apply(VmPage(4, POOL))
        assert rig.directory.pool("enc") == ()
        rig.directory.apply(VmPage(6, POOL))
        assert [vm.vm_id for vm in rig.directory.pool("enc")] == ["enc-2"]

    run(scenario)


def test_slow_attempt_is_hedged_and_the_first_whole_reply_wins():
    async def scenario():
        rig = Rig()
        for _ in range(20):
            await rig.serve("enc")
        rig.upstreams.delay_s = {"enc-1": 2.0, "enc-2": 0.01}
        started_at_s = anyio.current_time()
        for _ in range(4):
            assert await rig.serve("enc")
        assert anyio.current_time() - started_at_s < 1

    run(scenario)


def test_stale_configuration_refuses_new_work():
    async def scenario():
        rig = Rig()
        rig.configurations.configuration = None
        error = await rig.refusal("ask")
        assert error.code is Code.CONFIG_STALE
        assert error.ran is Ran.NO
        assert rig.upstreams.calls == []

    run(scenario)


def test_requests_of_one_ordering_key_run_one_after_another():
    async def scenario():
        rig = Rig()
        open_calls = 0
        run_stage = rig.upstreams.call

        async def count_open(call, sink=None):
            nonlocal open_calls
            open_calls += 1
            assert open_calls == 1
            try:
                return await run_stage(call, sink)
            finally:
                open_calls -= 1

        rig.upstreams.call = count_open
        async with anyio.create_task_group() as tasks:
            for number in range(3):
                request = rig.request(
                    "enc", request_id=f"r{number}", ordering_key="o"
                )
                tasks.start_soon(rig.server.serve, request)
        assert rig.upstreams.runs_of("enc") == 3

    run(scenario)


def test_chunk_at_a_wrong_offset_is_dropped_and_asked_for_again():
    async def scenario():
        rig = Rig()
        rig.upstreams.repeat_first_chunk = True
        texts = []

        async def sink(chunk):
            texts.append(chunk.text)

        reply = await rig.serve("llm", sink, is_stream=True)
        assert "".join(texts) == "abcd"
        assert reply.output == {"text": "abcd"}

    run(scenario)


def test_workspace_limit_counts_what_other_entries_report():
    async def scenario():
        rig = Rig()
        limit = CONFIGURATION.workspaces["both"].max_in_flight
        rig.admission.demand_elsewhere = {"both": limit}.get
        error = await rig.refusal("enc")
        assert error.code is Code.WORKSPACE_LIMIT
        assert error.ran is Ran.NO
        assert error.retry_after_ms
        rig.admission.demand_elsewhere = {"both": limit - 1}.get
        assert await rig.serve("enc")

    run(scenario)


@pytest.mark.parametrize(
    "error",
    [
        UpstreamError(Code.UPSTREAM_REJECTED, "bad payload", ran=Ran.NO),
        UpstreamError(Code.OVERLOADED, "full", ran=Ran.NO, retry_after_ms=100),
    ],
)
def test_rejections_and_load_do_not_eject_a_replica(error):
    async def scenario():
        rig = Rig()
        rig.upstreams.failures = {"enc-1": [error] * 50, "enc-2": [error] * 50}
        for _ in range(20):
            await rig.refusal("enc")
        usable = rig.parts.ejector.usable(rig.directory.pool("enc"))
        assert {vm.vm_id for vm in usable} == {"enc-1", "enc-2"}


def test_no_stage_begins_whose_followers_would_be_late():
    async def scenario():
        rig = Rig()
        for _ in range(20):
            rig.parts.latencies.record("enc", 10)
            rig.parts.latencies.record("llm", 500)
        deadline_at_s = anyio.current_time() + 0.4
        rig.admission.is_admitting = False
        error = await rig.refusal("ask", deadline_at_s=deadline_at_s)
        assert error.code is Code.DEADLINE_TOO_CLOSE
        assert error.ran is Ran.NO
        assert rig.upstreams.calls == []

    run(scenario)


def test_work_for_nothing_is_counted_by_its_cause():
    async def scenario():
        rig = Rig()
        wasted = []
        rig.server.runner.policy.on_waste = lambda *waste: wasted.append(waste)
        rig.upstreams.failures = {"enc-1": [failed(Ran.UNKNOWN)]}
        rig.upstreams.delay_s = {"enc-2": 60}
        await rig.refusal("enc")
        assert {why for _, _, why in wasted} >= {Waste.CANCELLED}
        assert all(service == "enc" for service, _, _ in wasted)


def test_no_retry_begins_that_would_be_late():
    async def scenario():
        rig = Rig()
        for _ in range(20):
            rig.parts.latencies.record("enc", 350)
        rig.admission.is_admitting = False
        rig.upstreams.failures = {
            name: [failed(Ran.NO)] for name in ("enc-1", "enc-2")
        }
        rig.upstreams.failure_delay_s = 0.2
        deadline_at_s = anyio.current_time() + 0.4
        error = await rig.refusal("enc", deadline_at_s=deadline_at_s)
        assert error.code is Code.UPSTREAM_FAILED
        assert len(rig.upstreams.calls) == 1

    run(scenario)
