"""Run one stand-in as a separate process."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated

import cappa

if TYPE_CHECKING:
    from berylcart_tools.standins.registration import UpstreamSettings

ANY_ADDRESS = "127.0.0.1:0"

AddressOption = Annotated[
    str, cappa.Arg(long=True, help="IP:PORT to listen on")
]
FlagOption = Annotated[bool, cappa.Arg(long=True)]
IntOption = Annotated[int, cappa.Arg(long=True)]
FloatOption = Annotated[float, cappa.Arg(long=True)]
TextOption = Annotated[str, cappa.Arg(long=True)]


def exit_on_failure(status: int) -> None:
    """Exit with the status unless it is 0."""
    if status:
        raise cappa.Exit(code=status)


@cappa.command(name="log")
@dataclass
class LogCommand:
    """Stand in for the log service."""

    address: AddressOption = ANY_ADDRESS
    retention_ms: IntOption = 0
    appends_per_s: FloatOption = 300.0

    def __call__(self) -> None:
        """Serve until stopped by a signal."""
        from berylcart_tools.standins.log import LogSettings, serve_log
        from berylcart_tools.standins.process import run_process

        settings = LogSettings(
            self.address, self.retention_ms, self.appends_per_s
        )
        exit_on_failure(run_process(serve_log, settings))


@cappa.command(name="vm-list")
@dataclass
class VmListCommand:
    """Stand in for the VM list."""

    address: AddressOption = ANY_ADDRESS
    lag_ms: IntOption = 1000

    def __call__(self) -> None:
        """Serve until stopped by a signal."""
        from berylcart_tools.standins.process import run_process
        from berylcart_tools.standins.vm_list import (
            VmListSettings,
            serve_vm_list,
        )

        settings = VmListSettings(self.address, self.lag_ms)
        exit_on_failure(run_process(serve_vm_list, settings))


@cappa.command(name="weight-store")
@dataclass
class WeightStoreCommand:
    """Stand in for the weight store."""

    address: AddressOption = ANY_ADDRESS
    loads_per_s: FloatOption = 1.0
    load_s: FloatOption = 0.5

    def __call__(self) -> None:
        """Serve until stopped by a signal."""
        from berylcart_tools.standins.process import run_process
        from berylcart_tools.standins.weight_store import (
            WeightStoreSettings,
            serve_weight_store,
        )

        settings = WeightStoreSettings(
            self.address, self.loads_per_s, self.load_s
        )
        exit_on_failure(run_process(serve_weight_store, settings))


@dataclass
class UpstreamCommand:
    """Define the options common to all upstreams."""

    service: TextOption
    place: TextOption
    vm_id: TextOption
    address: AddressOption = ANY_ADDRESS
    vm_list: TextOption = ""
    incarnation: IntOption = 0
    load_lag_ms: IntOption = 200
    capacity: IntOption = 16
    max_queued: IntOption = 64

    def upstream_settings(self) -> "UpstreamSettings":
        """Return the settings common to all upstreams."""
        from berylcart_tools.standins.registration import UpstreamSettings

        return UpstreamSettings(
            self.service,
            self.place,
            self.vm_id,
            self.address,
            self.vm_list,
            self.incarnation,
            self.load_lag_ms,
            self.capacity,
            self.max_queued,
        )


@cappa.command(name="plain")
@dataclass
class PlainCommand(UpstreamCommand):
    """Stand in for a plain service."""

    step_ms: FloatOption = 5.0

    def __call__(self) -> None:
        """Serve until stopped by a signal."""
        from berylcart_tools.standins.plain import PlainSettings, serve_plain
        from berylcart_tools.standins.process import run_process

        settings = PlainSettings(self.upstream_settings(), self.step_ms)
        exit_on_failure(run_process(serve_plain, settings))


@cappa.command(name="pool")
@dataclass
class PoolCommand(UpstreamCommand):
    """Stand in for an encoder, a retriever or a reranker."""

    kind: TextOption = "encoder"
    step_ms: FloatOption = 4.0

    def __call__(self) -> None:
        """Serve until stopped by a signal."""
        from berylcart.state.config import ServiceKind

        from berylcart_tools.standins.pool import PoolSettings, serve_pool
        from berylcart_tools.standins.process import run_process

        settings = PoolSettings(
            self.upstream_settings(), ServiceKind(self.kind), self.step_ms
        )
        exit_on_failure(run_process(serve_pool, settings))


@cappa.command(name="engine")
@dataclass
class EngineCommand(UpstreamCommand):
    """Stand in for a model engine."""

    step_ms: FloatOption = 6.5
    batch_growth: FloatOption = 0.03
    prefill_word_ms: FloatOption = 0.02
    cache_blocks: IntOption = 512
    event_lag_ms: IntOption = 500
    event_loss: FloatOption = 0.05
    seed: IntOption = 0
    models: Annotated[list[str], cappa.Arg(long="--model")] = field(
        default_factory=list
    )
    ignores_fencing: FlagOption = False
    weight_store: TextOption = ""

    def __call__(self) -> None:
        """Serve until stopped by a signal."""
        from berylcart_tools.standins.continuous_batching import StepCostModel
        from berylcart_tools.standins.engine import (
            EngineSettings,
            serve_engine,
        )
        from berylcart_tools.standins.process import run_process

        settings = EngineSettings(
            self.upstream_settings(),
            StepCostModel(
                self.step_ms, self.batch_growth, self.prefill_word_ms
            ),
            self.cache_blocks,
            self.event_lag_ms,
            self.event_loss,
            self.seed,
            tuple(self.models),
            is_fencing_checked=not self.ignores_fencing,
            weight_store=self.weight_store,
        )
        exit_on_failure(run_process(serve_engine, settings))


@cappa.command(name="standin")
@dataclass
class StandinCommand:
    """Start a stand-in for a part of the platform or an upstream."""

    standin: cappa.Subcommands[
        LogCommand
        | VmListCommand
        | WeightStoreCommand
        | EngineCommand
        | PoolCommand
        | PlainCommand
    ]
