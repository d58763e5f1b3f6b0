"""Build and run a gateway daemon: start-up, draining and shutdown."""

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
from berylcart.coordination.gateway.buffer_budget import (
    BufferBudget,
    buffer_limit_bytes,
)
from berylcart.coordination.gateway.cold_sender_shares import ColdBounds
from berylcart.coordination.gateway.completed_request import CompletedRequest
from berylcart.coordination.gateway.crash_watch import CrashWatch
from berylcart.coordination.gateway.drain import drain_schedule
from berylcart.coordination.gateway.evacuations import Evacuations
from berylcart.coordination.gateway.forwarder import (
    Forwarder,
)
from berylcart.coordination.gateway.gateway import Gateway
from berylcart.coordination.gateway.gateway_policy import GatewayPolicy
from berylcart.coordination.gateway.home_capacity import capacity_permille
from berylcart.coordination.gateway.joint_placement import JointPlacement
from berylcart.coordination.gateway.order_router import OrderRouter
from berylcart.coordination.gateway.part_faults import PartFaults
from berylcart.coordination.gateway.permitted_places import (
    entry_places,
    permits,
)
from berylcart.coordination.gateway.ports import CallerExchange
from berylcart.coordination.gateway.request_limits import RequestLimits
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.gateway.route_table_holder import RouteTableHolder
from berylcart.coordination.gateway.second_attempts import HedgingPolicy
from berylcart.coordination.gateway.shared_tail import SharedTail
from berylcart.coordination.gateway.stage_executor import StageExecutor
from berylcart.coordination.gateway.store_watchers import is_watcher
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.membership.settings import MembershipSettings
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError
from berylcart.state.member_table import Member
from berylcart.state.relay_messages import BufferedResponse, ReplicaNotice
from berylcart.state.routes import (
    BatchLimits,
    CallerLimits,
    GatewayService,
    RouteTable,
)
from berylcart.state.tail import LogPart
from berylcart.state.vm import Vm
from berylcart.transport.caller_connection import ConnectionOptions
from berylcart.transport.caller_server import CallerServer
from berylcart.transport.peer_client import RpcPeers
from berylcart.transport.peer_server import PeerServer
from berylcart.transport.relay_client import RelayClient

from berylcart_daemon.blocked_page import (
    answer_blocked_page,
    is_blocked_page,
)
from berylcart_daemon.blocked_parts_sync import BlockedPartsSync
from berylcart_daemon.gateway_metrics import GatewayMetrics
from berylcart_daemon.gateway_peer_handlers import GatewayPeerHandlers
from berylcart_daemon.gateway_ports import GatewayPorts, PageState
from berylcart_daemon.gateway_settings import GatewaySettings
from berylcart_daemon.gateway_stop import GatewayStop
from berylcart_daemon.loop_lag import LoopLagMonitor
from berylcart_daemon.route_sync import RouteSync
from berylcart_daemon.supervision import run_and_log_errors, run_with_restarts

MS_PER_S = 1000
HOUSEKEEPING_PERIOD_S = 1.0
REGISTRATION_PERIOD_S = 2.0
LEAVE_TIMEOUT_S = 0.3
MAX_ENTRIES = 64
# Peers that a daemon asks for their routes at its start. If half of all are
# off, fewer than one start in 200 asks only such.
MAX_ASKED_PEERS = 8
MAX_PAGE_CONNECTIONS = 256


class GatewayDaemon:
    """Build the parts of a gateway, run them and stop them in order."""

    def __init__(self, settings: GatewaySettings, ports: GatewayPorts) -> None:
        self.settings = settings
        self.ports = ports
        self.rng = random.Random()
        self.is_draining = False
        self.announced_ready = False
        self.discovered_seeds: tuple[str, ...] = ()
        self.background_tasks: TaskGroup | None = None
        self.metrics = GatewayMetrics()
        self.route_table_holder = RouteTableHolder(ports.route_feed.parse)
        self.directory = VmDirectory(
            ports.replicas, settings.replicas_interval_ms / MS_PER_S
        )
        self.store_era = ports.store_era
        self.evacuations = Evacuations(
            self.directory.count_by_place, self.store_era
        )
        self.evacuations.on_change = self.directory.exclude
        self.buffer_budget = ports.buffer_budget or BufferBudget(
            buffer_limit_bytes(settings.memory_mb)
        )
        self.peers = RpcPeers(buffer_budget=self.buffer_budget)
        self.build_membership()
        self.build_gateway()
        self.build_servers()

    def build_membership(self) -> None:
        """Build membership, route sync and the shared reading of replicas."""
        self.part_faults = PartFaults()
        self.sync = RouteSync(
            self.route_table_holder,
            self.evacuations,
            self.directory,
            self.peers,
            self.part_faults,
        )
        own_member = Member(
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
            own_member,
            self.peers,
            self.seeds,
            MembershipSettings(
                contact_ms=self.settings.contact_ms,
                entry_keep_ms=self.settings.entries_keep_ms,
            ),
            self.sync,
        )
        self.evacuations.on_update = self.membership.broadcast_evacuations
        self.part_faults.on_update = self.membership.broadcast_parts
        self.part_faults.on_refused = self.metrics.record_blocked_part
        self.peak_members = 1
        self.store_era.daemons = lambda: len(self.membership.running())
        interval_s = self.settings.replicas_interval_ms / MS_PER_S
        self.shared_tail = SharedTail(
            lambda: self.membership.local_member,
            self.membership.running,
            self.peers,
            self.ports.replicas.read_store_changes,
            interval_s,
            self.ports.replicas.contact,
        )
        self.ports.replicas.read_changes = self.read_changes
        self.directory.on_leaving = self.membership.mark_leaving

    async def read_changes(self, start: int, era: int) -> LogPart:
        """Read replica changes via the shared tail; raises BerylcartError."""
        part = await self.shared_tail.read(start, era)
        replicas = self.ports.replicas
        replicas.record_log_recovery(self.shared_tail.recovered_s)
        self.directory.poll_interval_s = self.shared_tail.period_s
        self.directory.next_change_s = replicas.next_removal_s
        return part

    def build_gateway(self) -> None:
        """Build request routing, batching and forwarding."""
        retries = self.settings.retries
        self.budget = RetryWindow(
            retries.ratio,
            retries.window_s,
            retries.slack,
            lambda: self.peak_members,
        )
        self.request_limits = RequestLimits(
            self.settings.daemon_id,
            self.member_ids,
            self.rng,
            ColdBounds(self.settings.cold_overshoot, self.settings.cold_slack),
        )
        self.request_limits.cold_per_s = self.cold_per_s
        self.request_limits.expects_others = lambda: bool(self.seeds())
        self.ports.replicas.on_cold_replica = self.handle_cold_replica
        self.request_limits.on_update = self.membership.broadcast_limit
        self.sync.on_limit_update = self.request_limits.apply_peer_update
        self.policy = GatewayPolicy(
            self.route_table_holder,
            self.directory.pool,
            self.budget,
            self.rng,
            self.request_limits,
            self.directory.is_evacuated,
            self.settings.regions,
        )
        self.policy.on_leaving = self.mark_replica_leaving
        self.ports.pieces.on_notice = self.handle_piece_notice
        self.vms_by_address: dict[str, Vm] = {}
        self.directory.on_change = self.update_replicas
        self.relay = RelayClient(
            self.ports.wire.parse_response_head, self.buffer_budget
        )
        self.batchers: dict[str, Batcher] = {}
        self.order_router = OrderRouter(
            self.settings.daemon_id,
            self.peers,
            self.membership.running,
            self.batcher_of,
        )
        self.joint_placement = JointPlacement(
            self.peers,
            self.order_router.home_of,
            lambda: len(self.membership.running()),
            self.policy.unlimited_replicas,
            self.service_info,
            self.spawn,
        )
        self.joint_placement.on_placed = self.metrics.record_placement
        self.gateway = Gateway(
            self.route_table_holder,
            self.ports.wire,
            self.policy,
            Forwarder(
                self.relay,
                self.policy,
                self.ports.wire,
                self.joint_placement,
                self.make_second_attempts(),
                CrashWatch(
                    self.part_faults, self.relay.is_refusing, self.spawn
                ),
            ),
            StageExecutor(self.order_router, self.spawn, self.place_of),
        )
        self.gateway.on_completed = self.record_request
        self.sync.on_member_change = self.handle_member_change
        self.route_table_holder.on_change = self.handle_routes
        self.route_table_holder.ask_peers = self.ask_peers_for_routes
        self.ports.route_feed.is_watching = lambda: is_watcher(
            self.settings.daemon_id, self.member_ids()
        )

    def make_second_attempts(self) -> HedgingPolicy | None:
        """Build the second attempt policy, None if second attempts are off."""
        if not self.settings.second_attempt_share:
            return None
        second_attempts = HedgingPolicy(
            self.settings.second_attempt_share, self.budget
        )
        second_attempts.on_outcome = self.metrics.record_second_attempt
        second_attempts.on_hedge_skipped = (
            self.metrics.record_withheld_second_attempt
        )
        return second_attempts

    def build_servers(self) -> None:
        """Build the servers for callers, pages, metrics and peers."""
        caller_rules = ConnectionOptions(
            self.gateway.handle,
            self.limits,
            self.ports.wire.refuse,
            lambda: self.is_draining,
            self.buffer_budget,
        )
        self.caller_server = CallerServer(
            self.settings.caller_address,
            caller_rules,
            self.settings.max_connections,
        )
        page_rules = caller_rules._replace(
            handle=self.answer_page, is_closing=lambda: False
        )
        metrics_rules = page_rules._replace(handle=self.answer_metrics)
        self.page_servers = [
            CallerServer(address, page_rules, MAX_PAGE_CONNECTIONS)
            for address in self.settings.page_addresses
        ]
        self.page_servers.append(
            CallerServer(
                self.settings.metrics_address,
                metrics_rules,
                MAX_PAGE_CONNECTIONS,
            )
        )
        self.peer_server = PeerServer(
            GatewayPeerHandlers(self.membership, self.route_table_holder),
            self.settings.peer_address,
            self.order_router,
            self.shared_tail,
            engines=self.joint_placement,
            buffer_budget=self.buffer_budget,
        )

    def limits(self) -> CallerLimits:
        """Give the caller limits in force, defaults until routes are known."""
        table = self.route_table_holder.table
        return CallerLimits() if table is None else table.limits

    def member_ids(self) -> Sequence[str]:
        """List the ids of the running daemons."""
        return [member.daemon_id for member in self.membership.running()]

    def is_first_member(self) -> bool:
        """Tell whether this daemon's id is the first of the running ones."""
        return self.settings.daemon_id == min(
            self.member_ids(), default=self.settings.daemon_id
        )

    def seeds(self) -> Sequence[str]:
        """List the configured and discovered peer addresses for joining."""
        addresses = [*self.settings.seeds, *self.discovered_seeds]
        return [
            address
            for address in addresses
            if address != self.settings.peer_address
        ]

    def service_info(self, service: str) -> GatewayService | None:
        """Find a service in the routes in force."""
        table = self.route_table_holder.table
        return table.services.get(service) if table else None

    def batch_limits(self, service: str) -> BatchLimits | None:
        """Find the batch limits of a service, None if it does not batch."""
        info = self.service_info(service)
        return None if info is None else info.batches

    def batcher_of(self, service: str) -> Batcher:
        """Find the batcher of a service; create and start it on first use."""
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
            batcher.on_call_started = self.metrics.record_call
            self.batchers[service] = batcher
            if self.background_tasks is not None:
                self.background_tasks.start_soon(
                    run_with_restarts, batcher.run
                )
        return batcher

    def spawn(
        self, function: Callable[..., Coroutine[Any, Any, None]], *args: object
    ) -> None:
        """Run a function as a background task; errors are logged."""
        if self.background_tasks is not None:
            self.background_tasks.start_soon(
                run_and_log_errors, function, *args
            )

    def drop_inputs(self, handles: Sequence[str], is_spare: bool) -> None:
        """Free stage results; spare ones only where room is short."""
        by_service: dict[str, list[str]] = {}
        for handle in handles:
            vm = self.vms_by_address.get(
                self.ports.pieces.holder_address(handle)
            )
            if vm is not None:
                by_service.setdefault(vm.service, []).append(handle)
        for service, service_handles in by_service.items():
            self.spawn(
                self.order_router.free, service, service_handles, is_spare
            )

    def place_of(self, handle: str) -> str:
        """Find the place of the replica that holds a result."""
        vm = self.vms_by_address.get(self.ports.pieces.holder_address(handle))
        return "" if vm is None else vm.place

    def update_replicas(self, vms: tuple[Vm, ...]) -> None:
        """Adopt the current list of replicas."""
        self.vms_by_address = {vm.address: vm for vm in vms}
        self.policy.retain(vms)
        self.update_readiness()

    def cold_per_s(self, service: str) -> float:
        """Give the requests per second that a cold replica can take."""
        table = self.route_table_holder.table
        info = table.services.get(service) if table else None
        return 0.0 if info is None else info.cold_per_s

    def handle_cold_replica(
        self, vm: Vm, cold_ms: int, is_fresh: bool
    ) -> None:
        """Limit requests to a replica whose list entry reports it as cold."""
        self.request_limits.record_cold(
            vm, cold_ms, "entry", is_fresh=is_fresh
        )

    def handle_piece_notice(self, vm: Vm, notice: ReplicaNotice) -> None:
        """Apply the notice and load in a replica's reply to a piece call."""
        self.policy.apply_notice(vm, notice)
        batcher = self.batchers.get(vm.service)
        if batcher is not None and notice.load is not None:
            batcher.record_load(vm, notice.load)

    def mark_replica_leaving(self, vm: Vm) -> None:
        """Mark a replica as leaving once its own answer says so."""
        if self.directory.leaving.is_leaving(vm.vm_id, vm.incarnation):
            return
        events.info(
            "replica.leaving_notice",
            vm_id=vm.vm_id,
            incarnation=vm.incarnation,
            service=vm.service,
        )
        self.directory.mark_leaving(vm.vm_id, vm.incarnation)

    def handle_routes(self, table: RouteTable) -> None:
        """Update readiness after a change of routes."""
        self.update_readiness()

    def handle_member_change(self) -> None:
        """Update the parts that depend on the number of members."""
        running_count = len(self.membership.running())
        self.peak_members = max(self.peak_members, running_count)
        self.request_limits.update_members()
        self.order_router.update_members()

    def update_readiness(self) -> None:
        """Log and announce a change of readiness."""
        is_ready = self.is_ready()
        if is_ready is self.announced_ready:
            return
        self.announced_ready = is_ready
        events.info(
            "daemon.readiness",
            is_ready=is_ready,
            config_version=self.route_table_holder.version,
        )
        self.membership.announce(takes_callers=is_ready)

    def record_request(self, served: CompletedRequest) -> None:
        """Log a finished request and record its metrics."""
        events.info(
            "request.done",
            request_id=served.request_id,
            route=served.route,
            workspace=served.workspace,
            status=served.status,
            code=served.code,
            ran=served.ran,
            latency_ms=round(served.latency_ms, 1),
            target_ms=served.timing.target_ms,
            stages_ms="+".join(map(str, served.timing.stages_ms)),
            first_event_ms=served.timing.first_event_ms,
            config_version=served.config_version,
            config_era=served.config_origin.era,
            config_source=served.config_origin.source,
        )
        self.metrics.record_request(served)

    def is_ready(self) -> bool:
        """Tell whether entry lists should name this daemon."""
        is_known = (
            self.route_table_holder.table is not None
            and self.directory.is_known
        )
        return is_known and not self.is_draining

    def entries(self, place: str, region: str, host: str) -> Sequence[str]:
        """List entry addresses permitted for a host, the given place first."""
        others = [other for other in self.settings.places if other != place]
        region_of = self.settings.regions
        table = self.route_table_holder.table
        permitted = entry_places(
            table.by_host.get(host, ()) if table else (),
            region or region_of.get(place, ""),
            region_of,
        )
        places = [
            candidate
            for candidate in (place, *others)
            if permits(permitted, candidate)
        ]
        entry_list = self.membership.entries_for(places, MAX_ENTRIES)
        return [entry.http_address for entry in entry_list.entries]

    async def answer_page(self, exchange: CallerExchange) -> None:
        """Answer a request for the readiness or entry list page."""
        state = PageState(self.is_ready(), self.settings.entries_keep_ms)
        answer = self.ports.pages.answer(exchange.head, state, self.entries)
        await exchange.answer(answer)

    async def answer_metrics(self, exchange: CallerExchange) -> None:
        """Update the gauges and send all metrics, or what is blocked."""
        if is_blocked_page(exchange.head.target):
            answer = answer_blocked_page(self.part_faults, exchange.head)
            await exchange.answer(answer)
            return
        self.metrics.in_flight.set(self.gateway.in_flight)
        self.metrics.config_version.set(self.route_table_holder.version)
        age_ms = self.route_table_holder.age_ms()
        self.metrics.config_age_seconds.set(age_ms / MS_PER_S)
        self.metrics.members.set(len(self.membership.running()))
        self.metrics.silent_members.set(self.membership.silent_count())
        self.metrics.blocked_parts.set(self.part_faults.count_blocked())
        self.metrics.suspected_parts.set(len(self.part_faults.known))
        self.metrics.store_era.set(self.store_era.current)
        places = self.evacuations.places
        self.metrics.evacuated_places.set(len(places))
        self.metrics.evacuated_in_flight.set(self.count_in_flight(places))
        self.metrics.held_bytes.set(self.buffer_budget.total_bytes)
        self.metrics.dropped_lines.set(events.dropped_lines())
        self.metrics.paused_replicas.set(self.policy.pauses.count())
        self.metrics.cold_replicas.set(self.request_limits.count_cold())
        for service, batcher in self.batchers.items():
            waiting = batcher.orders.count_waiting()
            self.metrics.backlog_pieces.labels(service).set(waiting)
        headers = ((b"content-type", b"text/plain; version=0.0.4"),)
        await exchange.answer(
            BufferedResponse(200, headers, self.metrics.text())
        )

    def count_in_flight(self, places: Set[str]) -> int:
        """Count own requests and piece calls in flight to some places."""
        vms = [vm for vm in self.directory.page.vms if vm.place in places]
        requests = map(self.policy.load_table.in_flight, vms)
        calls = (
            batcher.replica_tracker.count_running_calls(vms)
            for batcher in self.batchers.values()
        )
        return sum(requests) + sum(calls)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until stop is set, then drain and return."""
        await self.peer_server.start()
        async with anyio.create_task_group() as tasks:
            self.background_tasks = tasks
            self.start_tasks(tasks)
            self.request_limits.update_members()
            events.info(
                "daemon.started",
                daemon_id=self.settings.daemon_id,
                place=self.settings.place,
                caller_address=self.settings.caller_address,
                incarnation=self.membership.local_member.incarnation,
            )
            await stop.wait()
            await self.drain()
            await self.leave_membership()
            tasks.cancel_scope.cancel()
        self.relay.close()
        events.info("daemon.stopped", daemon_id=self.settings.daemon_id)

    def start_tasks(self, tasks: TaskGroup) -> None:
        """Start the servers and the background tasks."""
        for server in (self.caller_server, *self.page_servers):
            tasks.start_soon(server.run)
        for batcher in self.batchers.values():
            tasks.start_soon(run_with_restarts, batcher.run)
        route_feed = self.ports.route_feed
        tasks.start_soon(
            run_with_restarts,
            route_feed.run,
            self.route_table_holder,
            self.evacuations,
        )
        tasks.start_soon(run_with_restarts, self.directory.run)
        tasks.start_soon(run_with_restarts, self.membership.run)
        tasks.start_soon(run_with_restarts, self.sync.run)
        tasks.start_soon(run_with_restarts, self.relay.run)
        tasks.start_soon(run_with_restarts, self.run_housekeeping)
        tasks.start_soon(run_with_restarts, self.maintain_registration)
        tasks.start_soon(run_with_restarts, self.part_faults.run)
        if self.ports.blocked_parts is not None:
            blocked_parts = BlockedPartsSync(
                self.part_faults,
                self.ports.blocked_parts,
                self.store_era,
                self.is_first_member,
            )
            tasks.start_soon(run_with_restarts, blocked_parts.run)
        lag = LoopLagMonitor(
            self.metrics.loop_lag_seconds.observe, self.count_work
        )
        tasks.start_soon(run_with_restarts, lag.run)

    async def run_housekeeping(self) -> None:
        """Update readiness and close expired connections periodically."""
        while True:
            await anyio.sleep(HOUSEKEEPING_PERIOD_S)
            self.update_readiness()
            self.relay.sweep()

    def count_work(self) -> dict[str, int]:
        """Count the requests in flight and the queued pieces."""
        batchers = self.batchers.values()
        pieces = sum(batcher.orders.count_waiting() for batcher in batchers)
        return {
            "in_flight": self.gateway.in_flight,
            "waiting_pieces": pieces,
        }

    async def maintain_registration(self) -> None:
        """Register this daemon and discover seeds while no peer is known."""
        registered_era = None
        while True:
            try:
                if registered_era != self.store_era.current:
                    await anyio.sleep(self.store_era.draw_delay_s())
                    await self.ports.member_registry.register(
                        self.settings.daemon_id, self.settings.peer_address
                    )
                    registered_era = self.store_era.current
                if len(self.membership.running()) <= 1:
                    peer_addresses = (
                        await self.ports.member_registry.addresses()
                    )
                    self.discovered_seeds = tuple(peer_addresses)
            except BerylcartError as error:
                events.warning(
                    "member_registry.unavailable", detail=error.detail
                )
            await anyio.sleep(REGISTRATION_PERIOD_S)

    async def ask_peers_for_routes(self) -> None:
        """Pull the routes of some peers before those of the store are used."""
        addresses = set(self.seeds())
        try:
            addresses.update(await self.ports.member_registry.addresses())
        except BerylcartError as error:
            events.warning("member_registry.unavailable", detail=error.detail)
        candidates = sorted(addresses - {self.settings.peer_address})
        count = min(MAX_ASKED_PEERS, len(candidates))
        asked = self.rng.sample(candidates, count)
        await self.sync.pull_from_all(asked)
        events.info(
            "routes.peers_asked",
            asked=len(asked),
            known=len(candidates),
            config_version=self.route_table_holder.version,
        )

    async def drain(self) -> None:
        """Leave the entry lists, then end the requests of callers."""
        schedule = drain_schedule(
            now_s(),
            self.settings.grace_s,
            self.settings.entries_keep_ms / MS_PER_S,
        )
        events.info(
            "daemon.draining",
            in_flight=self.gateway.in_flight,
            refuse_in_s=round(schedule.refuse_s - now_s(), 3),
            answer_in_s=round(schedule.answer_s - now_s(), 3),
            end_in_s=round(schedule.end_s - now_s(), 3),
        )
        self.is_draining = True
        self.update_readiness()
        stop = GatewayStop(self.gateway, self.caller_server, self.order_router)
        await stop.run(schedule)

    async def leave_membership(self) -> None:
        """Leave the membership and close peer connections, with timeouts."""
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            await self.membership.leave()
            await self.peer_server.close(LEAVE_TIMEOUT_S)
        self.peer_server.stop()
        self.peers.close()


async def run_gateway(settings: GatewaySettings, ports: GatewayPorts) -> None:
    """Run a gateway daemon until SIGTERM or SIGINT."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, stop)
        await GatewayDaemon(settings, ports).run(stop)
        tasks.cancel_scope.cancel()


async def watch_signals(stop: anyio.Event) -> None:
    """Set stop at SIGTERM or SIGINT; log every signal, SIGHUP included."""
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*handled) as signals:
        async for signum in signals:
            events.info("daemon.signal", signal=signal.Signals(signum).name)
            if signum is not signal.SIGHUP:
                stop.set()
