"""Run one gateway daemon from its start to its end."""

import random
import signal
import time
from collections.abc import Callable, Coroutine, Sequence, Set
from typing import Any

import anyio
from anyio.abc import TaskGroup
from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.batcher import Batcher
from berylcart.coordination.gateway.cold_shares import ColdBounds
from berylcart.coordination.gateway.engine_home import EngineHome
from berylcart.coordination.gateway.evacuations import Evacuations
from berylcart.coordination.gateway.forwarder import (
    Forwarder,
)
from berylcart.coordination.gateway.gateway import Gateway, Served
from berylcart.coordination.gateway.gateway_policy import GatewayPolicy
from berylcart.coordination.gateway.held_bytes import (
    HeldBytes,
    held_limit_bytes,
)
from berylcart.coordination.gateway.home_capacity import capacity_permille
from berylcart.coordination.gateway.permitted import entry_places, permits
from berylcart.coordination.gateway.ports import CallerExchange
from berylcart.coordination.gateway.request_limits import RequestLimits
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.gateway.route_keeper import RouteKeeper
from berylcart.coordination.gateway.second_attempts import SecondAttempts
from berylcart.coordination.gateway.shared_tail import SharedTail
from berylcart.coordination.gateway.stage_home import StageHome
from berylcart.coordination.gateway.stage_results import StageResults
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.membership.settings import MembershipSettings
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.member_table import Member
from berylcart.state.relayed import Refusal, ReplicaNotice
from berylcart.state.routes import (
    BatchLimits,
    CallerLimits,
    GatewayService,
    RouteTable,
)
from berylcart.state.tail import LogPart
from berylcart.state.vm import Vm
from berylcart.transport.caller_connection import ConnectionRules
from berylcart.transport.caller_server import CallerServer
from berylcart.transport.peer_client import RpcPeers
from berylcart.transport.peer_server import PeerServer
from berylcart.transport.relay_client import RelayClient

from berylcart_daemon.gateway_desk import GatewayDesk
from berylcart_daemon.gateway_metrics import GatewayMetrics
from berylcart_daemon.gateway_ports import GatewayPorts, PageState
from berylcart_daemon.gateway_settings import GatewaySettings
from berylcart_daemon.loop_lag import LoopLag
from berylcart_daemon.route_exchange import RouteExchange
from berylcart_daemon.supervision import keep_running, run_guarded

MS_PER_S = 1000
# Some callers keep a list of entries for this many times its period.
KEEPS_OF_ENTRIES = 3
DRAIN_MARGIN_S = 0.3
# What is left of the grace period for closing once requests are cut.
EXIT_MARGIN_S = 0.6
DRAIN_RETRY_AFTER_MS = 100
HOUSEKEEPING_PERIOD_S = 1.0
BOOK_PERIOD_S = 2.0
FAREWELL_TIMEOUT_S = 0.3
MAX_ENTRIES = 64
MAX_PAGE_CONNECTIONS = 256


class GatewayDaemon:
    """Build a gateway's parts, run them and stop them in order."""

    def __init__(self, settings: GatewaySettings, ports: GatewayPorts) -> None:
        self.settings = settings
        self.ports = ports
        self.random = random.Random()
        self.is_draining = False
        self.was_ready = False
        self.is_closed = False
        self.found_seeds: tuple[str, ...] = ()
        self.background: TaskGroup | None = None
        self.metrics = GatewayMetrics()
        self.keeper = RouteKeeper(ports.feed.parse)
        self.directory = VmDirectory(
            ports.replicas, settings.replicas_interval_ms / MS_PER_S
        )
        self.evacuations = Evacuations(self.directory.count_by_place)
        self.evacuations.on_change = self.directory.exclude
        self.held = HeldBytes(held_limit_bytes(settings.memory_mb))
        self.peers = RpcPeers(held=self.held)
        self.build_membership()
        self.build_gateway()
        self.build_servers()

    def build_membership(self) -> None:
        """Build what knows the other daemons."""
        self.exchange = RouteExchange(
            self.keeper, self.evacuations, self.directory, self.peers
        )
        me = Member(
            self.settings.daemon_id,
            time.time_ns(),
            self.settings.peer_address,
            self.settings.caller_address,
            self.settings.place,
            is_leaving=True,
            capacity_permille=capacity_permille(
                self.settings.cores, self.settings.link_mbps
            ),
        )
        self.membership = Membership(
            me,
            self.peers,
            self.seeds,
            MembershipSettings(entry_keep_ms=self.settings.entries_keep_ms),
            self.exchange,
        )
        self.evacuations.on_news = self.membership.tell_evacuations
        self.most_members = 1
        interval_s = self.settings.replicas_interval_ms / MS_PER_S
        self.tail = SharedTail(
            lambda: self.membership.me,
            self.membership.running,
            self.peers,
            self.ports.replicas.read_store,
            interval_s,
        )
        self.ports.replicas.read_changes = self.read_changes
        self.directory.on_leaving = self.membership.mark_leaving

    async def read_changes(self, start: int) -> LogPart:
        """Read the replicas' changes; raises BerylcartError."""
        part = await self.tail.read(start)
        self.ports.replicas.note_return(self.tail.returned_s)
        self.directory.poll_interval_s = self.tail.period_s
        return part

    def build_gateway(self) -> None:
        """Build what serves requests."""
        retries = self.settings.retries
        self.budget = RetryWindow(
            retries.ratio,
            retries.window_s,
            retries.slack,
            lambda: self.most_members,
        )
        self.request_limits = RequestLimits(
            self.settings.daemon_id,
            self.member_ids,
            self.random,
            ColdBounds(self.settings.cold_overshoot, self.settings.cold_slack),
        )
        self.request_limits.cold_per_s = self.cold_per_s
        self.request_limits.expects_others = lambda: bool(self.seeds())
        self.ports.replicas.on_cold = self.note_cold
        self.request_limits.on_news = self.membership.tell_limit
        self.exchange.on_limit_news = self.request_limits.hear
        self.policy = GatewayPolicy(
            self.keeper,
            self.directory.pool,
            self.budget,
            self.random,
            self.request_limits,
            self.directory.is_evacuated,
            self.settings.regions,
        )
        self.policy.on_leaving = self.note_leaving
        self.ports.pieces.on_notice = self.note_piece_notice
        self.holders: dict[str, Vm] = {}
        self.directory.on_change = self.note_replicas
        self.relay = RelayClient(self.ports.wire.read_answer)
        self.batchers: dict[str, Batcher] = {}
        self.home = StageHome(
            self.settings.daemon_id,
            self.peers,
            self.membership.running,
            self.batcher_of,
        )
        self.engines = EngineHome(
            self.peers,
            self.home.home_of,
            lambda: len(self.membership.running()),
            self.policy.unlimited,
            self.service_info,
            self.spawn,
        )
        self.engines.on_placed = self.metrics.note_placed
        self.gateway = Gateway(
            self.keeper,
            self.ports.wire,
            self.policy,
            Forwarder(
                self.relay,
                self.policy,
                self.ports.wire,
                self.engines,
                self.make_second_attempts(),
            ),
            StageResults(self.home, self.spawn, self.place_of),
        )
        self.gateway.on_served = self.note_served
        self.exchange.on_members = self.note_members
        self.keeper.on_change = self.note_routes

    def make_second_attempts(self) -> SecondAttempts | None:
        """Build what decides on second attempts, None where none are made."""
        if not self.settings.second_attempt_share:
            return None
        seconds = SecondAttempts(
            self.settings.second_attempt_share, self.budget
        )
        seconds.on_outcome = self.metrics.note_second
        seconds.on_held = self.metrics.note_held
        return seconds

    def build_servers(self) -> None:
        """Build what listens."""
        rules = ConnectionRules(
            self.handle,
            self.limits,
            self.ports.wire.refuse,
            lambda: self.is_draining,
            self.held,
        )
        self.callers = CallerServer(
            self.settings.caller_address, rules, self.settings.max_connections
        )
        page_rules = rules._replace(
            handle=self.answer_page, is_closing=lambda: False
        )
        metrics_rules = page_rules._replace(handle=self.answer_metrics)
        self.pages = [
            CallerServer(address, page_rules, MAX_PAGE_CONNECTIONS)
            for address in self.settings.page_addresses
        ]
        self.pages.append(
            CallerServer(
                self.settings.metrics_address,
                metrics_rules,
                MAX_PAGE_CONNECTIONS,
            )
        )
        self.peer_server = PeerServer(
            GatewayDesk(self.membership, self.keeper),
            self.settings.peer_address,
            self.home,
            self.tail,
            engines=self.engines,
            held=self.held,
        )

    def limits(self) -> CallerLimits:
        """Give the limits in force on callers."""
        table = self.keeper.table
        return CallerLimits() if table is None else table.limits

    def member_ids(self) -> Sequence[str]:
        """List the daemons that may send requests."""
        return [each.daemon_id for each in self.membership.running()]

    def seeds(self) -> Sequence[str]:
        """List peer addresses to join through."""
        known = [*self.settings.seeds, *self.found_seeds]
        return [each for each in known if each != self.settings.peer_address]

    def service_info(self, service: str) -> GatewayService | None:
        """Find what the newest routes say of a service."""
        table = self.keeper.table
        return table.services.get(service) if table else None

    def batch_limits(self, service: str) -> BatchLimits | None:
        """Find the limits of a service that works on pieces."""
        info = self.service_info(service)
        return None if info is None else info.batches

    def batcher_of(self, service: str) -> Batcher:
        """Find a service's batcher, and start it at its first use."""
        batcher = self.batchers.get(service)
        if batcher is None:
            batcher = Batcher(
                service,
                self.ports.pieces,
                self.budget,
                self.directory.pool,
                self.batch_limits,
                self.request_limits,
                self.policy.pauses,
                self.drop_inputs,
                self.directory.is_evacuated,
            )
            self.batchers[service] = batcher
            if self.background is not None:
                self.background.start_soon(keep_running, batcher.run)
        return batcher

    def spawn(
        self, function: Callable[..., Coroutine[Any, Any, None]], *args: object
    ) -> None:
        """Run a function beside everything else until it ends."""
        if self.background is not None:
            self.background.start_soon(run_guarded, function, *args)

    def drop_inputs(self, handles: Sequence[str], is_spare: bool) -> None:
        """Drop results of any stages, spare ones where room is short."""
        by_service: dict[str, list[str]] = {}
        for handle in handles:
            vm = self.holders.get(self.ports.pieces.holder(handle))
            if vm is not None:
                by_service.setdefault(vm.service, []).append(handle)
        for service, group in by_service.items():
            self.spawn(self.home.free, service, group, is_spare)

    def place_of(self, handle: str) -> str:
        """Find the place of the replica that holds a result."""
        vm = self.holders.get(self.ports.pieces.holder(handle))
        return "" if vm is None else vm.place

    def note_replicas(self, vms: tuple[Vm, ...]) -> None:
        """Learn which replicas there are."""
        self.holders = {vm.address: vm for vm in vms}
        self.policy.retain(vms)
        self.note_readiness()

    def cold_per_s(self, service: str) -> float:
        """Find what a cold replica of a service takes a second."""
        table = self.keeper.table
        info = table.services.get(service) if table else None
        return 0.0 if info is None else info.cold_per_s

    def note_cold(self, vm: Vm, cold_ms: int, is_fresh: bool) -> None:
        """Learn from a replica's entry that it is cold."""
        self.request_limits.note_cold(vm, cold_ms, "entry", is_fresh=is_fresh)

    def note_piece_notice(self, vm: Vm, notice: ReplicaNotice) -> None:
        """Learn what an answer to a piece call says of its replica."""
        self.policy.note_notice(vm, notice)
        batcher = self.batchers.get(vm.service)
        if batcher is not None and notice.load is not None:
            batcher.note_load(vm, notice.load)

    def note_leaving(self, vm: Vm) -> None:
        """Learn from a replica's own answer that it is leaving."""
        if self.directory.leaving.is_leaving(vm.vm_id, vm.incarnation):
            return
        events.info(
            "replica.leaving_notice",
            vm_id=vm.vm_id,
            incarnation=vm.incarnation,
            service=vm.service,
        )
        self.directory.mark_leaving(vm.vm_id, vm.incarnation)

    def note_routes(self, table: RouteTable) -> None:
        """Learn new routes."""
        self.note_readiness()

    def note_members(self) -> None:
        """Learn that a daemon came, went or changed its state."""
        live = len(self.membership.running())
        self.most_members = max(self.most_members, live)
        self.request_limits.note_members()
        self.home.note_members()

    def note_readiness(self) -> None:
        """Announce whether callers may be sent here, once it changes."""
        is_ready = self.is_ready()
        if is_ready is self.was_ready:
            return
        self.was_ready = is_ready
        events.info(
            "daemon.readiness",
            is_ready=is_ready,
            config_version=self.keeper.version,
        )
        self.membership.announce(takes_callers=is_ready)

    def note_served(self, served: Served) -> None:
        """Log and count a finished request."""
        events.info(
            "request.done",
            request_id=served.request_id,
            route=served.route,
            workspace=served.workspace,
            status=served.status,
            code=served.code,
            ran=served.ran,
            latency_ms=round(served.latency_ms, 1),
        )
        self.metrics.note_served(served)

    async def handle(self, exchange: CallerExchange) -> None:
        """Serve a caller's request, or refuse it while stopping."""
        if not self.is_closed:
            await self.gateway.handle(exchange)
            return
        error = BerylcartError(
            Code.DRAINING,
            "this entry is stopping",
            retry_after_ms=DRAIN_RETRY_AFTER_MS,
        )
        events.info("request.refused", code=int(error.code))
        await exchange.answer(self.ports.wire.refuse(error))

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        is_known = self.keeper.table is not None and self.directory.is_known
        return is_known and not self.is_draining

    def entries(self, place: str, region: str, host: str) -> Sequence[str]:
        """List the addresses that callers of a place and host should use."""
        others = [each for each in self.settings.places if each != place]
        region_of = self.settings.regions
        table = self.keeper.table
        permitted = entry_places(
            table.by_host.get(host, ()) if table else (),
            region or region_of.get(place, ""),
            region_of,
        )
        places = [e for e in (place, *others) if permits(permitted, e)]
        chosen = self.membership.entries_for(places, MAX_ENTRIES)
        return [entry.http_address for entry in chosen.entries]

    async def answer_page(self, exchange: CallerExchange) -> None:
        """Answer a question about readiness or entries."""
        state = PageState(self.is_ready(), self.settings.entries_keep_ms)
        answer = self.ports.pages.answer(exchange.head, state, self.entries)
        await exchange.answer(answer)

    async def answer_metrics(self, exchange: CallerExchange) -> None:
        """Show the metrics."""
        self.metrics.in_flight.set(self.gateway.in_flight)
        self.metrics.config_version.set(self.keeper.version)
        self.metrics.members.set(len(self.membership.running()))
        places = self.evacuations.places
        self.metrics.evacuated_places.set(len(places))
        self.metrics.evacuated_in_flight.set(self.count_in_flight(places))
        self.metrics.held_bytes.set(self.held.total_bytes)
        self.metrics.lost_lines.set(events.lost_lines())
        self.metrics.paused_replicas.set(self.policy.pauses.count())
        self.metrics.cold_replicas.set(self.request_limits.count_cold())
        for service, batcher in self.batchers.items():
            waiting = batcher.orders.count_waiting()
            self.metrics.backlog_pieces.labels(service).set(waiting)
        headers = ((b"content-type", b"text/plain; version=0.0.4"),)
        await exchange.answer(Refusal(200, headers, self.metrics.text()))

    def count_in_flight(self, places: Set[str]) -> int:
        """Count what this daemon has running at replicas of some places."""
        vms = [vm for vm in self.directory.page.vms if vm.place in places]
        requests = map(self.policy.load_table.in_flight, vms)
        calls = (
            batcher.makers.count_calls(vms)
            for batcher in self.batchers.values()
        )
        return sum(requests) + sum(calls)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until stop is set, then drain and return."""
        await self.peer_server.start()
        async with anyio.create_task_group() as tasks:
            self.background = tasks
            self.start_tasks(tasks)
            self.request_limits.note_members()
            events.info(
                "daemon.started",
                daemon_id=self.settings.daemon_id,
                place=self.settings.place,
                caller_address=self.settings.caller_address,
                incarnation=self.membership.me.incarnation,
            )
            await stop.wait()
            await self.drain()
            await self.say_goodbye()
            tasks.cancel_scope.cancel()
        self.relay.close()
        events.info("daemon.stopped", daemon_id=self.settings.daemon_id)

    def start_tasks(self, tasks: TaskGroup) -> None:
        """Start everything that runs until the end."""
        for server in (self.callers, *self.pages):
            tasks.start_soon(server.run)
        for batcher in self.batchers.values():
            tasks.start_soon(keep_running, batcher.run)
        feed = self.ports.feed
        tasks.start_soon(keep_running, feed.run, self.keeper, self.evacuations)
        tasks.start_soon(keep_running, self.directory.run)
        tasks.start_soon(keep_running, self.membership.run)
        tasks.start_soon(keep_running, self.exchange.run)
        tasks.start_soon(keep_running, self.keep_house)
        tasks.start_soon(keep_running, self.keep_book)
        lag = LoopLag(self.metrics.loop_lag_seconds.observe, self.work_at_hand)
        tasks.start_soon(keep_running, lag.run)

    async def keep_house(self) -> None:
        """Close connections that grew old."""
        while True:
            await anyio.sleep(HOUSEKEEPING_PERIOD_S)
            self.note_readiness()
            self.relay.sweep()

    def work_at_hand(self) -> dict[str, int]:
        """Count what this daemon works on."""
        batchers = self.batchers.values()
        pieces = sum(each.orders.count_waiting() for each in batchers)
        return {
            "in_flight": self.gateway.in_flight,
            "waiting_pieces": pieces,
        }

    async def keep_book(self) -> None:
        """Register this daemon, and look for others while alone."""
        is_registered = False
        while True:
            try:
                if not is_registered:
                    await self.ports.book.register(
                        self.settings.daemon_id, self.settings.peer_address
                    )
                    is_registered = True
                if len(self.membership.running()) <= 1:
                    found = await self.ports.book.addresses()
                    self.found_seeds = tuple(found)
            except BerylcartError as error:
                events.warning("book.unavailable", detail=error.detail)
            await anyio.sleep(BOOK_PERIOD_S)

    async def drain(self) -> None:
        """Leave the entry lists, then refuse, then finish what runs."""
        started_s = now_s()
        events.info("daemon.draining", in_flight=self.gateway.in_flight)
        self.is_draining = True
        self.note_readiness()
        keep_s = self.settings.entries_keep_ms / MS_PER_S
        # Callers go on using this entry until their lists are renewed.
        await anyio.sleep(KEEPS_OF_ENTRIES * keep_s + DRAIN_MARGIN_S)
        self.is_closed = True
        self.callers.close_idle()
        end_s = started_s + self.settings.grace_s - EXIT_MARGIN_S
        with anyio.move_on_after(end_s - now_s()):
            await self.gateway.wait_idle()
        events.info("daemon.drained", in_flight=self.gateway.in_flight)

    async def say_goodbye(self) -> None:
        """Tell the other daemons, within a time."""
        with anyio.move_on_after(FAREWELL_TIMEOUT_S):
            await self.membership.leave()
            await self.peer_server.close(FAREWELL_TIMEOUT_S)
        self.peers.close()


async def run_gateway(settings: GatewaySettings, ports: GatewayPorts) -> None:
    """Run a gateway daemon until a signal asks it to stop."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, stop)
        await GatewayDaemon(settings, ports).run(stop)
        tasks.cancel_scope.cancel()


async def watch_signals(stop: anyio.Event) -> None:
    """Set stop at the first request to stop; log the other signals."""
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*wanted) as signals:
        async for signum in signals:
            events.info("daemon.signal", signal=signal.Signals(signum).name)
            if signum is not signal.SIGHUP:
                stop.set()
