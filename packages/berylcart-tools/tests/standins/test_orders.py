"""Test orders, weight loading and KV cache transfer on running engines."""

import json

import anyio
import pytest
import trio
from berylcart.transport.http_client import HttpClient, HttpRequest
from berylcart_tools.standins.continuous_batching import StepCostModel
from berylcart_tools.standins.engine import EngineSettings, serve_engine
from berylcart_tools.standins.orders import OrderHandler
from berylcart_tools.standins.registration import UpstreamSettings
from berylcart_tools.standins.serve import running
from berylcart_tools.standins.weight_store import (
    WeightStoreSettings,
    serve_weight_store,
)
from trio.testing import MockClock

UPSTREAM = UpstreamSettings("drafts", "lahore-1", "vm-1", incarnation=1)
ENGINE = EngineSettings(
    UPSTREAM,
    StepCostModel(step_ms=1),
    models=("old",),
    event_lag_ms=0,
    event_loss=0,
)
STORE = WeightStoreSettings(loads_per_s=1000, load_s=0.2)
PROMPT = "hem " * 40


def order_message(fencing, *models):
    desired = {"models": models, "adapters": [], "version": "", "role": ""}
    return {"fencing": fencing, "desired": desired}


class StandinClient:
    """Send requests to one running stand-in."""

    def __init__(self, address, client):
        self.address = address
        self.client = client

    async def send(self, method, path, value=None):
        """Send a request and return the status and JSON body."""
        body = b"" if value is None else json.dumps(value).encode()
        response = await self.client.request(
            HttpRequest(method, self.address, path, body)
        )
        return response.status, json.loads(response.body or b"null")

    async def run(self):
        """Run one attempt and return its usage."""
        message = {
            "attempt_id": "a",
            "request_id": "r",
            "workspace": "w",
            "service": "drafts",
            "payload": {"prompt": PROMPT, "max_tokens": 1},
            "deadline_ms": 5000,
            "stream": False,
            "start_offset": 0,
            "priority": 0,
            "idempotency_key": "",
        }
        _, reply = await self.send("POST", "/v1/run", message)
        return reply["usage"]


def run_with_engine(scenario, **settings):
    async def main():
        async with (
            running(serve_weight_store, STORE) as store,
            running(
                serve_engine, ENGINE._replace(weight_store=store, **settings)
            ) as address,
            HttpClient() as client,
        ):
            await scenario(StandinClient(address, client))

    anyio.run(main)


def test_order_for_another_instance_is_not_applied():
    async def scenario(engine):
        request = HttpRequest(
            "POST",
            engine.address,
            "/v1/orders",
            json.dumps(order_message(3, "new")).encode(),
            (("Expected-Instance", "vm-1/0"),),
        )
        assert (await engine.client.request(request)).status == 412
        _, state = await engine.send("GET", "/v1/orders")
        assert state["models"] == ["old"]

    run_with_engine(scenario)


def test_order_loads_missing_models():
    async def scenario(engine):
        status, _ = await engine.send(
            "POST", "/v1/orders", order_message(3, "new")
        )
        assert status == 200
        _, state = await engine.send("GET", "/v1/orders")
        assert (state["fencing"], state["models"]) == (3, ["new"])

    run_with_engine(scenario)


@pytest.mark.parametrize(
    ("is_checked", "status", "models"),
    [(True, 409, ["new"]), (False, 200, ["old"])],
)
def test_stale_order_is_refused_only_if_fencing_is_checked(
    is_checked, status, models
):
    async def scenario(engine):
        await engine.send("POST", "/v1/orders", order_message(3, "new"))
        received_status, _ = await engine.send(
            "POST", "/v1/orders", order_message(2, "old")
        )
        assert received_status == status
        _, state = await engine.send("GET", "/v1/orders")
        assert state["models"] == models

    run_with_engine(scenario, is_fencing_checked=is_checked)


class GatedLoader:
    """Block every load until the gate is set."""

    def __init__(self):
        self.gate = anyio.Event()
        self.names = []

    async def load(self, name):
        """Record the name and wait for the gate."""
        self.names.append(name)
        await self.gate.wait()


@pytest.mark.parametrize(
    ("is_checked", "results"), [(True, [False, True]), (False, [True, True])]
)
def test_order_that_turns_stale_while_loading_is_not_applied_if_checked(
    is_checked, results
):
    async def scenario():
        loader = GatedLoader()
        handler = OrderHandler(
            ("old",), loader, "vm-1/1", is_fencing_checked=is_checked
        )
        is_applied = {}

        async def submit(fencing, *models):
            is_applied[fencing] = await handler.load_and_apply(
                order_message(fencing, *models)
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit, 1, "slow", "slower")
            await anyio.sleep(1)
            tasks.start_soon(submit, 2, "new")
            await anyio.sleep(1)
            assert loader.names == ["slow"]
            loader.gate.set()
        assert is_applied == dict(enumerate(results, 1))
        assert handler.fencing == 2

    trio.run(scenario, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    "value", [None, [], {"fencing": -1}, {**order_message(1), "extra": 1}]
)
def test_malformed_order_is_refused(value):
    async def scenario(engine):
        status, _ = await engine.send("POST", "/v1/orders", value)
        assert status == 400

    run_with_engine(scenario)


def test_weight_store_limits_its_load_rate():
    async def scenario():
        settings = WeightStoreSettings(loads_per_s=0.01)
        async with (
            running(serve_weight_store, settings) as address,
            HttpClient() as client,
        ):
            store = StandinClient(address, client)
            load = {"instance": "vm-1/1", "model": "new"}
            assert (await store.send("POST", "/v1/loads", load))[0] == 200
            assert (await store.send("POST", "/v1/loads", load))[0] == 429
            _, granted = await store.send("GET", "/admin/loads")
            assert granted == {"loads": [load]}

    anyio.run(scenario)


def test_cached_prefix_saves_prefill_and_transfers_to_another_engine():
    async def scenario(engine):
        cold = await engine.run()
        warm = await engine.run()
        assert warm["seconds"] < cold["seconds"]
        _, feed = await engine.send("GET", "/v1/cache-events?since=0")
        prefix = feed["events"][-1]["prefix"]
        _, exported = await engine.send("GET", f"/v1/kv/{prefix}")
        assert exported["keys"][-1] == prefix
        async with running(serve_engine, ENGINE) as address:
            other = StandinClient(address, engine.client)
            assert (await other.send("GET", f"/v1/kv/{prefix}"))[0] == 404
            status, _ = await other.send("PUT", f"/v1/kv/{prefix}", exported)
            assert status == 204
            assert await other.run() == warm

    run_with_engine(scenario)


@pytest.mark.parametrize("value", [None, {"keys": []}, {"keys": ["x"]}])
def test_malformed_kv_import_is_refused(value):
    async def scenario(engine):
        assert (await engine.send("PUT", "/v1/kv/x", value))[0] == 400

    run_with_engine(scenario)
