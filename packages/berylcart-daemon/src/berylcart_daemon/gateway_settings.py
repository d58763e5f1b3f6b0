"""Define the settings of a gateway daemon."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class RetrySettings(NamedTuple):
    """Limit retries and second attempts per service, over all daemons."""

    ratio: float
    window_s: float
    slack: float


class GatewaySettings(NamedTuple):
    """Hold the start-up settings of a gateway daemon.

    places lists all places, including the daemon's own. The readiness and
    entry list pages are served at page_addresses.
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
    # Processor cores and link bandwidth available to the process.
    cores: float = 0.0
    link_mbps: float = 0.0
    # The process is killed above this limit; 0 if unknown.
    memory_mb: int = 0
    # Lifetime of entry lists; some callers keep a list three times as long.
    entries_keep_ms: int = 1000
    # Entry lists leave out daemons that have been silent for this long.
    contact_ms: int = 3000
    # Polling period, well below the time within which new work to a leaving
    # replica must stop.
    replicas_interval_ms: int = 600
    # Region by place.
    regions: Mapping[str, str] = MappingProxyType({})
    # A cold replica may get cold_overshoot times its cold capacity per second,
    # plus cold_slack requests.
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    # Share of a service's requests that may get a second attempt in parallel
    # with a slow first one, from 0 (none) to 0.2.
    second_attempt_share: float = 0.0
