"""Build the parts of an entry daemon from its settings."""

import random
import time
from collections.abc import Sequence

from berylcart.coordination.claims.coordinator import ClaimCoordinator
from berylcart.coordination.claims.key_issuer import KeyIssuer
from berylcart.coordination.claims.results import ClaimSettings
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.membership.settings import MembershipSettings
from berylcart.coordination.policy.admission import AdmissionSettings
from berylcart.coordination.policy.admission_table import AdmissionTable
from berylcart.coordination.policy.budgets import RetryBudget, ServiceBudgets
from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.latency import LatencyTable
from berylcart.coordination.policy.load_poller import LoadPoller
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.policies import load_policy
from berylcart.coordination.policy.stage_policy import PolicyParts, StagePolicy
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.coordination.serving.attempts import StageRunner
from berylcart.coordination.serving.server import Server
from berylcart.state.claim_ledger import ClaimRules
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import Demand
from berylcart.transport.http_client import HttpClient
from berylcart.transport.http_server import EmbeddedServer, make_asgi_server
from berylcart.transport.log_client import HttpLog
from berylcart.transport.order_client import (
    HttpEngineOrders,
    HttpWeightStore,
)
from berylcart.transport.peer_client import RpcPeers
from berylcart.transport.peer_server import PeerServer
from berylcart.transport.socket_addresses import bind, bound_address
from berylcart.transport.upstream_client import HttpUpstreams
from berylcart.transport.vm_list_client import HttpVmList

from berylcart_daemon.api import ApiContext, make_app
from berylcart_daemon.caller_request import BodyBudget
from berylcart_daemon.config_sync import ConfigSync
from berylcart_daemon.duty_supervisor import DutySupervisor
from berylcart_daemon.entry_facade import CurrentConfiguration, EntryFacade
from berylcart_daemon.hooks import DaemonHooks
from berylcart_daemon.metrics import Metrics
from berylcart_daemon.peer_handlers import AnswerCollector, EntryPeerHandlers
from berylcart_daemon.seed_finder import SeedFinder
from berylcart_daemon.settings import Settings

MS_PER_S = 1000
RETRY_BURST = 10


def policy_parts(
    settings: Settings, configs: ConfigFollower, directory: VmDirectory
) -> PolicyParts:
    """Build the upstream selection policy; raises SETTINGS_INVALID."""
    policy = load_policy(settings.policy.name)
    rng = random.Random(settings.policy.seed)
    load_table = LoadTable()
    ejector = Ejector()
    return PolicyParts(
        configurations=CurrentConfiguration(configs),
        directory=directory,
        router=policy.make_router(load_table, ejector, rng),
        load_table=load_table,
        ejector=ejector,
        latencies=LatencyTable(),
        retries=RetryBudget(settings.policy.retry_ratio, RETRY_BURST),
        hedges=ServiceBudgets(settings.policy.hedge_ratio, RETRY_BURST),
        policy=policy,
    )


def claim_settings(settings: Settings) -> ClaimSettings:
    """Convert the daemon's settings to those of claims."""
    keep_ms = int(settings.timing.claim_keep_s * MS_PER_S)
    return ClaimSettings(
        rules=ClaimRules(claim_keep_ms=keep_ms),
        answer_keep_s=settings.timing.answer_keep_s,
    )


class DaemonParts:
    """Build the parts of an entry daemon and connect them."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.socket = bind(settings.daemon.http_address)
        self.http_address = bound_address(self.socket)
        self.incarnation = time.time_ns()
        self.client = HttpClient()
        self.peers = RpcPeers()
        self.build_platform()
        self.build_policy()
        self.build_peers()
        self.duties = self.build_duties()
        self.server = self.build_server()

    def build_platform(self) -> None:
        """Build what follows the platform's log and VM list."""
        platform = self.settings.platform
        self.log = HttpLog(platform.log_address, self.client)
        vm_list = HttpVmList(platform.vm_list_address, self.client)
        self.directory = VmDirectory(
            vm_list, platform.vm_list_interval_ms / MS_PER_S
        )
        self.configs = ConfigFollower(
            self.log,
            lease_s=self.settings.timing.config_lease_s,
            retention_s=platform.log_retention_s,
            seed=self.settings.policy.seed,
        )

    def build_policy(self) -> None:
        """Build upstream selection and admission control."""
        parts = policy_parts(self.settings, self.configs, self.directory)
        self.policy = StagePolicy(parts)
        self.directory.on_change = self.policy.retain
        self.admission = AdmissionTable(
            self.policy,
            AdmissionSettings(),
            self.settings.limits.max_in_flight,
            is_admitting=parts.policy.is_admitting,
        )

    def build_peers(self) -> None:
        """Build membership, claims, configuration sync and the peer server."""
        collector = AnswerCollector(
            self.peers, CurrentConfiguration(self.configs)
        )
        self.claims = ClaimCoordinator(
            self.log,
            self.settings.daemon.id,
            self.incarnation,
            collector.collect,
            claim_settings(self.settings),
        )
        self.sync = ConfigSync(self.configs, self.directory, self.peers)
        hooks = DaemonHooks(self.sync, self.directory, self.load, self.demand)
        self.seed_finder = SeedFinder(
            self.settings.peers.seeds,
            self.directory,
            self.client,
            self.http_address,
            random.Random(self.settings.policy.seed),
        )
        self.membership = Membership(
            self.make_member(),
            self.peers,
            self.seed_finder.seeds,
            self.membership_settings(),
            hooks,
        )
        collector.membership = self.membership
        self.admission.remote_demand = self.membership.demand_for
        self.directory.on_leaving = self.membership.mark_leaving
        handlers = EntryPeerHandlers(self.membership, self.sync, self.claims)
        self.peer_server = PeerServer(
            handlers, self.settings.daemon.peer_address
        )

    def build_duties(self) -> DutySupervisor | None:
        """Build the duty supervisor, None without a weight store."""
        address = self.settings.platform.weight_store_address
        if address is None:
            return None
        return DutySupervisor(
            self.log,
            self.configs,
            self.directory,
            self.membership,
            HttpEngineOrders(self.client),
            HttpWeightStore(address, self.client),
        )

    def membership_settings(self) -> MembershipSettings:
        """Convert the daemon's settings to those of membership."""
        return MembershipSettings(
            probe_period_ms=self.settings.peers.probe_interval_ms,
            entry_keep_ms=int(self.settings.timing.entries_keep_s * MS_PER_S),
        )

    def make_member(self) -> Member:
        """Build this daemon's member record, not yet open to callers."""
        daemon = self.settings.daemon
        return Member(
            daemon.id,
            self.incarnation,
            daemon.peer_address,
            self.http_address,
            daemon.place,
            is_leaving=True,
        )

    def build_server(self) -> EmbeddedServer:
        """Build the request pipeline and its HTTP server."""
        limits = self.settings.limits
        self.metrics = Metrics()
        self.policy.on_wasted_attempt = self.metrics.record_waste
        self.facade = EntryFacade(
            self.settings.daemon.place,
            self.configs,
            self.directory,
            self.membership,
            self.admission,
            KeyIssuer(self.log),
            claim_settings(self.settings).rules.claim_keep_ms,
        )
        upstreams = HttpUpstreams(self.client)
        runner = StageRunner(upstreams, self.policy)
        self.load_poller = LoadPoller(
            upstreams.load,
            self.policy.parts.load_table,
            self.directory,
            self.settings.policy.load_polls_per_s,
        )
        self.policy.on_attempt_start = self.load_poller.mark_used
        server = Server(
            self.settings.daemon.place,
            CurrentConfiguration(self.configs),
            self.facade,
            self.admission,
            self.claims,
            runner,
        )
        bodies = BodyBudget(limits.total_body_bytes)
        context = ApiContext(server, self.facade, self.metrics, limits, bodies)
        app = make_app(context)
        return make_asgi_server(
            app,
            header_bytes=limits.header_bytes,
            head_timeout_s=limits.request_timeout_ms / MS_PER_S,
            max_connections=limits.max_connections,
        )

    def load(self) -> float:
        """Give the share of this daemon's capacity in use."""
        return self.admission.in_flight / self.settings.limits.max_in_flight

    def demand(self) -> Sequence[Demand]:
        """Give the workspaces with the most requests in flight here."""
        daemon_id = self.settings.daemon.id
        return [
            Demand(daemon_id, workspace, count)
            for workspace, count in self.admission.heaviest()
        ]
