"""Define the settings of a daemon that serves as a gateway."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class RetrySettings(NamedTuple):
    """Bound extra sends to a service, over all daemons together."""

    ratio: float
    window_s: float
    slack: float


class GatewaySettings(NamedTuple):
    """Hold what a gateway daemon needs to know at its start.

    places lists all places, the daemon's own included. page_addresses serve
    readiness and entry lists.
    """

    daemon_id: str
    place: str
    places: tuple[str, ...]
    caller_address: str
    page_addresses: tuple[str, ...]
    peer_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    retries: RetrySettings
    grace_s: float
    max_connections: int
    # What the process may use of the VM's processor and link.
    cores: float = 0.0
    link_mbps: float = 0.0
    # Over it the process is killed; 0 where that is unknown.
    memory_mb: int = 0
    # Callers ask again this often; some keep an answer three times as long.
    entries_keep_ms: int = 1000
    # Well inside the time in which a leaving replica must get no more work.
    replicas_interval_ms: int = 600
    # The region of each place.
    regions: Mapping[str, str] = MappingProxyType({})
    # What may reach a cold replica in a second: overshoot times what it takes,
    # and slack.
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    # Share of a service's requests that may get a second attempt beside a
    # slow first one, 0 to 0.2; none do at 0.
    second_attempt_share: float = 0.0
