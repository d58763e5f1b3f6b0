"""Parse and validate the settings file of an entry daemon."""

import json
import tomllib
from pathlib import Path
from typing import Annotated, NamedTuple

from berylcart.coordination.policy.routing import DEFAULT_POLICY
from berylcart.state.errors import BerylcartError, Code
from pydantic import AfterValidator, Field, TypeAdapter, ValidationError

MAX_PORT = 65535
MIN_RETENTION_CLAIM_KEEPS = 2


def check_address(value: str) -> str:
    """Validate an IP:PORT address; raises ValueError.

    >>> check_address("127.0.0.1:8080")
    '127.0.0.1:8080'
    """
    host, separator, port = value.rpartition(":")
    if not separator or not host:
        raise ValueError("expected IP:PORT")
    if not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"expected a port from 0 to {MAX_PORT}")
    return value


def check_peer_address(value: str) -> str:
    """Validate an address whose port peers must know in advance."""
    if check_address(value).endswith(":0"):
        raise ValueError("expected a port from 1")
    return value


Address = Annotated[str, AfterValidator(check_address)]
PeerAddress = Annotated[str, AfterValidator(check_peer_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Milliseconds = Annotated[int, Field(ge=1, le=3_600_000)]
Seconds = Annotated[float, Field(gt=0, le=86_400)]


class DaemonSettings(NamedTuple):
    """Set the daemon's identity and listening addresses."""

    id: Name
    place: Name
    http_address: Address
    peer_address: PeerAddress


class PlatformSettings(NamedTuple):
    """Set the addresses and parameters of the platform's services."""

    log_address: Address
    vm_list_address: Address
    vm_list_interval_ms: Milliseconds = 500
    log_retention_s: Annotated[float, Field(gt=0, le=31_536_000)] = 86_400.0
    weight_store_address: Address | None = None


class PeerSettings(NamedTuple):
    """Set how daemons find and probe each other."""

    seeds: tuple[Address, ...] = ()
    probe_interval_ms: Milliseconds = 1000


class LimitSettings(NamedTuple):
    """Limit the resources used by one request or by all callers."""

    body_bytes: Annotated[int, Field(ge=1, le=64 * 2**20)] = 2**20
    total_body_bytes: Annotated[int, Field(ge=1, le=2**34)] = 64 * 2**20
    header_bytes: Annotated[int, Field(ge=256, le=2**20)] = 16 * 2**10
    request_timeout_ms: Milliseconds = 5000
    max_in_flight: Annotated[int, Field(ge=1, le=100_000)] = 512
    max_connections: Annotated[int, Field(ge=1, le=100_000)] = 2048
    max_deadline_ms: Milliseconds = 60_000


class TimingSettings(NamedTuple):
    """Set the lifetimes of leases, entry lists, claims and answers."""

    config_lease_s: Seconds = 10.0
    entries_keep_s: Seconds = 5.0
    drain_margin_s: Seconds = 2.0
    claim_keep_s: Seconds = 3600.0
    answer_keep_s: Seconds = 300.0


class PolicySettings(NamedTuple):
    """Set the routing policy and its budgets."""

    name: str = DEFAULT_POLICY.name
    seed: int | None = None
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    load_polls_per_s: Annotated[float, Field(gt=0, le=100)] = 4.0
    hedge_ratio: Annotated[float, Field(ge=0, le=1)] = 0.05


class Settings(NamedTuple):
    """Hold all sections of the settings file."""

    daemon: DaemonSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    policy: PolicySettings = PolicySettings()


SETTINGS = TypeAdapter(Settings)


class SettingsError(BerylcartError):
    """Report an invalid or unreadable settings file."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.SETTINGS_INVALID, detail)


def describe_first_error(error: ValidationError) -> str:
    """Describe the first invalid key and the expected value."""
    details = error.errors(include_url=False)[0]
    key = ".".join(str(part) for part in details["loc"])
    if details["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return f"{key}: unknown key"
    if details["type"] in ("missing_argument", "missing"):
        return f"{key}: missing key"
    message = details["msg"].removeprefix("Value error, ")
    return f"{key}: {message}, got {details['input']!r}"


def parse_settings(text: str) -> Settings:
    """Parse and validate settings; raises SettingsError naming the key."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from None
    try:
        settings = SETTINGS.validate_json(
            json.dumps(table, default=str), strict=True
        )
    except ValidationError as error:
        raise SettingsError(describe_first_error(error)) from None
    check_consistency(settings)
    return settings


def check_consistency(settings: Settings) -> None:
    """Check constraints between settings; raises SettingsError."""
    keep_s = settings.timing.claim_keep_s
    retention_s = settings.platform.log_retention_s
    if keep_s * MIN_RETENTION_CLAIM_KEEPS > retention_s:
        raise SettingsError(
            f"timing.claim_keep_s: expected at most half of "
            f"platform.log_retention_s ({retention_s:g}), got {keep_s:g}"
        )


def load_settings(path: Path) -> Settings:
    """Load a settings file; raises SettingsError naming the file or key."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: not UTF-8 text") from None
    return parse_settings(text)
