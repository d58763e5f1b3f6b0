"""Give the HTTP endpoints the state of an entry daemon and its entry lists."""

from collections import Counter
from collections.abc import Sequence

from berylcart.coordination.claims.key_issuer import KeyIssuer
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.policy.admission_table import AdmissionTable
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.config import Configuration, Workspace
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.request import ServeRequest

from berylcart_daemon.facade import (
    UNKNOWN,
    EntriesAnswer,
    EntryAnswer,
    KeysAnswer,
    StatusAnswer,
)

MAX_ENTRIES = 8
DRAIN_RETRY_AFTER_MS = 1000
UNKNOWN_DELAY_MS = 1e9


class CurrentConfiguration:
    """Give the configuration in force only while its lease holds."""

    def __init__(self, configs: ConfigFollower) -> None:
        self.configs = configs

    def require(self) -> Configuration:
        """Give it; raises NOT_READY, CONFIG_STALE or FORMAT_UNKNOWN."""
        self.configs.check_current()
        return self.configs.current.configuration


def sort_by_delay(
    places: Sequence[str], origin: str, configuration: Configuration
) -> list[str]:
    """Sort places by delay from an origin, with unknown delays last.

    >>> from berylcart.state.config import Place
    >>> near = Place("a", "r", {"b": 1.5, "c": 9.0})
    >>> known = Configuration({"a": near}, {}, {}, {})
    >>> sort_by_delay(["c", "b", "a"], "a", known)
    ['a', 'b', 'c']
    """
    place = configuration.places.get(origin)
    delays = place.delay_ms if place else {}

    def distance(name: str) -> tuple[float, str]:
        return (
            0.0 if name == origin else delays.get(name, UNKNOWN_DELAY_MS),
            name,
        )

    return sorted(places, key=distance)


class EntryFacade:
    """Implement DaemonFacade for an entry daemon."""

    def __init__(
        self,
        place: str,
        configs: ConfigFollower,
        directory: VmDirectory,
        membership: Membership,
        admission: AdmissionTable,
        issuer: KeyIssuer,
        claim_keep_ms: int,
    ) -> None:
        self.place = place
        self.configs = configs
        self.directory = directory
        self.membership = membership
        self.admission = admission
        self.issuer = issuer
        self.claim_keep_ms = claim_keep_ms
        self.is_draining = False
        self.is_refusing = False
        self.refused: Counter[str] = Counter()

    def check_open(self) -> None:
        """Raise DRAINING if this entry accepts no new requests."""
        if self.is_refusing:
            raise BerylcartError(
                Code.DRAINING,
                "this entry is stopping",
                retry_after_ms=DRAIN_RETRY_AFTER_MS,
                entries=self.other_entries(),
            )

    def check_ready(self) -> None:
        """Raise BerylcartError without a current configuration or VM list."""
        self.configs.check_current()
        if not self.directory.is_known:
            raise BerylcartError(Code.NOT_READY, "no VM list yet")

    def takes_callers(self) -> bool:
        """Tell whether entry lists should name this daemon."""
        is_ready = self.configs.is_current and self.directory.is_known
        return is_ready and not self.is_draining

    def configuration(self) -> Configuration:
        """Give the configuration in force, even if its lease has expired."""
        return self.configs.current.configuration

    def other_entries(self) -> tuple[str, ...]:
        """List the HTTP addresses of entries, nearest first."""
        places = sort_by_delay(
            list(self.configuration().places), self.place, self.configuration()
        )
        return self.entry_addresses(places)

    def permitted_entries(self, workspace: Workspace) -> tuple[str, ...]:
        """List the HTTP addresses of entries in a workspace's places."""
        places = sort_by_delay(
            sorted(workspace.places), self.place, self.configuration()
        )
        return self.entry_addresses(places)

    def entry_addresses(self, places: Sequence[str]) -> tuple[str, ...]:
        """List the HTTP addresses of entries, in the order of their places."""
        entry_list = self.membership.entries_for(places, MAX_ENTRIES)
        return tuple(entry.http_address for entry in entry_list.entries)

    def entries(self, workspace: str) -> EntriesAnswer:
        """List the entries for a workspace, or all if empty, nearest first."""
        configuration = self.configuration()
        places = sorted(configuration.places)
        if workspace:
            definition = configuration.workspaces.get(workspace)
            if definition is None:
                raise BerylcartError(
                    Code.UNKNOWN_WORKSPACE,
                    f"no workspace {workspace!r}",
                )
            places = sorted(definition.places)
        ordered_places = sort_by_delay(places, self.place, configuration)
        entry_list = self.membership.entries_for(ordered_places, MAX_ENTRIES)
        rows = [
            EntryAnswer(
                daemon_id=entry.daemon_id,
                address=entry.http_address,
                place=entry.place,
            )
            for entry in entry_list.entries
        ]
        return EntriesAnswer(entries=rows, keep_ms=entry_list.keep_ms)

    async def issue_keys(self, count: int) -> KeysAnswer:
        """Issue keys with their issue date; raises CLAIMS_UNAVAILABLE."""
        keys = await self.issuer.issue(count)
        return KeysAnswer(keys=keys, keep_ms=self.claim_keep_ms)

    def config_version(self) -> int:
        """Give the configuration version in force on this daemon."""
        return self.configs.current.version

    def labels(self, request: ServeRequest) -> tuple[str, str]:
        """Give the tier and target labels, UNKNOWN where not configured."""
        configuration = self.configuration()
        workspace = configuration.workspaces.get(request.workspace)
        tier = workspace.tier if workspace else UNKNOWN
        targets = (
            configuration.pipelines
            if request.is_pipeline
            else configuration.services
        )
        target = request.target if request.target in targets else UNKNOWN
        return tier, target

    def count_error(self, error: BerylcartError) -> None:
        """Count an error reply by its code."""
        self.refused[str(int(error.code))] += 1

    def status(self) -> StatusAnswer:
        """Describe the daemon's state."""
        own_member = self.membership.local_member
        current = self.configs.current
        return StatusAnswer(
            daemon_id=own_member.daemon_id,
            incarnation=own_member.incarnation,
            place=self.place,
            config_version=current.version,
            config_as_of_offset=current.as_of_offset,
            is_ready=self.configs.is_current,
            is_draining=self.is_draining,
            in_flight=self.admission.in_flight,
            members=[
                {
                    "daemon_id": member.daemon_id,
                    "state": member.state.name.lower(),
                    "place": member.place,
                    "peer_address": member.peer_address,
                    "config_version": member.config_version,
                    "takes_callers": not member.is_leaving,
                }
                for member in self.membership.members()
            ],
            pools={
                name: [vm.vm_id for vm in pool]
                for name, pool in self.directory.pools.items()
            },
            leaving=[
                f"{mark.vm_id}/{mark.incarnation}"
                for mark in self.directory.leaving
            ],
            refused=dict(self.refused),
        )
