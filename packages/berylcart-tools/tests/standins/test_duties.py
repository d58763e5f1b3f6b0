"""Test a pool's duty holder sending orders to an engine over HTTP."""

import anyio
import pytest
from berylcart.coordination.duties.controller import (
    PoolController,
    PoolControllerSettings,
    PoolView,
)
from berylcart.coordination.duties.ports import DesiredState, Order
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.http_client import HttpClient
from berylcart.transport.memory_log import MemoryLog
from berylcart.transport.order_client import (
    HttpEngineOrders,
    HttpWeightStore,
)
from berylcart_tools.standins.engine import EngineSettings, serve_engine
from berylcart_tools.standins.registration import (
    UpstreamSettings,
    instance_name,
)
from berylcart_tools.standins.serve import running
from berylcart_tools.standins.weight_store import (
    WeightStoreSettings,
    serve_weight_store,
)

UPSTREAM = UpstreamSettings("model", "lahore-1", "model-1", incarnation=1)
STORE = WeightStoreSettings(loads_per_s=1000, load_s=0.01)
SETTINGS = PoolControllerSettings(
    verify_interval_ms=20, acquisition_jitter_ms=5
)
TIMEOUT_S = 20
POLL_S = 0.02


def engine_vm(address):
    return Vm(
        UPSTREAM.vm_id,
        1,
        address,
        UPSTREAM.place,
        VmRole.UPSTREAM,
        UPSTREAM.service,
        VmState.LIVE,
        instance_name(UPSTREAM),
    )


class DesiredModels:
    """Return the models that the configuration asks for."""

    def __init__(self, *models):
        self.models = models

    def __call__(self):
        """Return the desired state."""
        return DesiredState(self.models)


def make_keeper(name, log, vm, desired_models, orders, store, live_daemons):
    view = PoolView(
        lambda: (vm,),
        desired_models,
        lambda daemon_id: daemon_id in live_daemons,
    )
    return PoolController(log, "model", name, view, orders, store, SETTINGS)


async def wait_for_models(orders, vm, models):
    while True:
        state = await orders.state(vm)
        if state.desired.models == models:
            return state
        await anyio.sleep(POLL_S)


@pytest.mark.parametrize("is_fencing_checked", [True, False])
def test_engine_follows_the_latest_configuration_and_duty_holder(
    is_fencing_checked,
):
    async def scenario():
        log = MemoryLog()
        desired_models = DesiredModels("first")
        live_daemons = {"d1", "d2"}
        engine = EngineSettings(
            UPSTREAM, is_fencing_checked=is_fencing_checked
        )
        async with (
            HttpClient() as client,
            running(serve_weight_store, STORE) as store_address,
            running(
                serve_engine, engine._replace(weight_store=store_address)
            ) as address,
            anyio.create_task_group() as tasks,
        ):
            vm = engine_vm(address)
            orders = HttpEngineOrders(client)
            store = HttpWeightStore(store_address, client)
            first = make_keeper(
                "d1", log, vm, desired_models, orders, store, live_daemons
            )
            second = make_keeper(
                "d2", log, vm, desired_models, orders, store, live_daemons
            )
            first_scope = anyio.CancelScope()

            async def run_first():
                with first_scope:
                    await first.run()

            with anyio.fail_after(TIMEOUT_S):
                tasks.start_soon(run_first)
                before = await wait_for_models(orders, vm, ("first",))
                first_scope.cancel()
                live_daemons.remove("d1")
                desired_models.models = ("first", "second")
                tasks.start_soon(second.run)
                after = await wait_for_models(orders, vm, ("first", "second"))
            assert after.fencing > before.fencing
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_engine_that_checks_fencing_refuses_a_stale_order():
    async def scenario():
        engine = EngineSettings(UPSTREAM, is_fencing_checked=True)
        async with (
            HttpClient() as client,
            running(serve_engine, engine) as address,
        ):
            vm = engine_vm(address)
            orders = HttpEngineOrders(client)
            assert await orders.order(vm, Order(7, DesiredState(("new",))))
            assert not await orders.order(vm, Order(6, DesiredState(("old",))))
            assert (await orders.state(vm)).desired.models == ("new",)

    anyio.run(scenario)
