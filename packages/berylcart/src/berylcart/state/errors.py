"""Numbered result codes and the exceptions that carry them."""

from enum import IntEnum, StrEnum
from typing import NamedTuple


class Ran(StrEnum):
    """List whether a request reached an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Code(IntEnum):
    """Result codes; docs/ERRORS.md describes each."""

    BAD_REQUEST = 1000
    BODY_TOO_LARGE = 1001
    UNKNOWN_WORKSPACE = 1002
    UNKNOWN_TARGET = 1003
    PLACE_NOT_PERMITTED = 1004
    KEY_CONFLICT = 1006
    KEY_EXPIRED = 1007
    DEADLINE_INVALID = 1008
    REQUEST_TIMEOUT = 1009
    HEAD_TOO_LARGE = 1010
    KEY_UNKNOWN = 1011
    UNKNOWN_ROUTE = 1012
    OVERLOADED = 2000
    DEADLINE_TOO_CLOSE = 2001
    NOT_READY = 2002
    DRAINING = 2003
    CLAIMS_UNAVAILABLE = 2004
    NO_UPSTREAM = 2005
    CONFIG_STALE = 2006
    WORKSPACE_LIMIT = 2007
    PART_BLOCKED = 2008
    REQUEST_BLOCKED = 2009
    DEADLINE_EXCEEDED = 3000
    UPSTREAM_FAILED = 3001
    OUTCOME_UNKNOWN = 3002
    UPSTREAM_REJECTED = 3003
    CALLER_GONE = 3004
    SETTINGS_INVALID = 4000
    ADDRESS_IN_USE = 4001
    CONFIG_INVALID = 4002
    CONFIG_CONFLICT = 4003
    FORMAT_UNKNOWN = 4004
    HISTORY_VIOLATION = 4005
    LOG_UNAVAILABLE = 5000
    LOG_AMBIGUOUS = 5001
    LOG_GAP = 5002
    VM_LIST_UNAVAILABLE = 5003
    PEER_UNAVAILABLE = 5004
    INTERNAL = 9000


class CodeInfo(NamedTuple):
    """Hold a code's HTTP status, process exit status and meaning."""

    http_status: int
    exit_status: int
    meaning: str


CODE_INFO: dict[Code, CodeInfo] = {
    Code.BAD_REQUEST: CodeInfo(400, 2, "the request is malformed"),
    Code.BODY_TOO_LARGE: CodeInfo(413, 2, "the body exceeds its limit"),
    Code.UNKNOWN_WORKSPACE: CodeInfo(404, 2, "no such workspace"),
    Code.UNKNOWN_TARGET: CodeInfo(404, 2, "no such service or pipeline"),
    Code.PLACE_NOT_PERMITTED: CodeInfo(
        421, 3, "this entry's place is not permitted for the workspace"
    ),
    Code.KEY_CONFLICT: CodeInfo(
        409, 3, "the Idempotency-Key was used with another body"
    ),
    Code.KEY_EXPIRED: CodeInfo(
        409, 3, "the Idempotency-Key is too old to be judged"
    ),
    Code.DEADLINE_INVALID: CodeInfo(400, 2, "the deadline is out of range"),
    Code.REQUEST_TIMEOUT: CodeInfo(408, 3, "the request arrived too slowly"),
    Code.HEAD_TOO_LARGE: CodeInfo(431, 2, "the head exceeds its limit"),
    Code.KEY_UNKNOWN: CodeInfo(401, 3, "no workspace holds the API key"),
    Code.UNKNOWN_ROUTE: CodeInfo(404, 2, "no route takes the host and path"),
    Code.OVERLOADED: CodeInfo(503, 3, "no capacity within the deadline"),
    Code.DEADLINE_TOO_CLOSE: CodeInfo(
        503, 3, "the deadline is shorter than the stages need"
    ),
    Code.NOT_READY: CodeInfo(503, 3, "this entry has no configuration yet"),
    Code.DRAINING: CodeInfo(503, 3, "this entry is stopping"),
    Code.CLAIMS_UNAVAILABLE: CodeInfo(
        503, 3, "the log cannot record a claim now"
    ),
    Code.NO_UPSTREAM: CodeInfo(503, 3, "no permitted upstream is available"),
    Code.CONFIG_STALE: CodeInfo(
        503, 3, "this entry cannot confirm its configuration"
    ),
    Code.WORKSPACE_LIMIT: CodeInfo(
        429, 3, "the workspace has reached its limit"
    ),
    Code.PART_BLOCKED: CodeInfo(
        503, 3, "replicas crash on a part of the prompt"
    ),
    Code.REQUEST_BLOCKED: CodeInfo(503, 3, "replicas crash on this request"),
    Code.DEADLINE_EXCEEDED: CodeInfo(504, 4, "the deadline passed"),
    Code.UPSTREAM_FAILED: CodeInfo(502, 4, "every permitted attempt failed"),
    Code.OUTCOME_UNKNOWN: CodeInfo(
        409, 4, "the request may have run and is not run again"
    ),
    Code.UPSTREAM_REJECTED: CodeInfo(
        422, 4, "the upstream rejected the request"
    ),
    Code.CALLER_GONE: CodeInfo(499, 4, "the caller left before its answer"),
    Code.SETTINGS_INVALID: CodeInfo(500, 10, "the settings are invalid"),
    Code.ADDRESS_IN_USE: CodeInfo(500, 11, "an address is already in use"),
    Code.CONFIG_INVALID: CodeInfo(422, 12, "the configuration is invalid"),
    Code.CONFIG_CONFLICT: CodeInfo(
        409, 13, "the configuration was published on another base version"
    ),
    Code.FORMAT_UNKNOWN: CodeInfo(
        503, 14, "a record has a format that this program does not know"
    ),
    Code.HISTORY_VIOLATION: CodeInfo(500, 15, "a history breaks a promise"),
    Code.LOG_UNAVAILABLE: CodeInfo(503, 20, "the log service is unavailable"),
    Code.LOG_AMBIGUOUS: CodeInfo(
        503, 21, "an append was not confirmed and may have taken effect"
    ),
    Code.LOG_GAP: CodeInfo(503, 22, "records expired before they were read"),
    Code.VM_LIST_UNAVAILABLE: CodeInfo(503, 23, "the VM list is unavailable"),
    Code.PEER_UNAVAILABLE: CodeInfo(503, 24, "a peer did not answer"),
    Code.INTERNAL: CodeInfo(500, 70, "a fault of berylcart itself"),
}


class BerylcartError(Exception):
    """Base error: its code, whether the request ran and when to retry.

    entries are the addresses of other entries that may serve the request.
    """

    def __init__(
        self,
        code: Code,
        detail: str,
        *,
        ran: Ran = Ran.NO,
        retry_after_ms: int | None = None,
        entries: tuple[str, ...] = (),
    ) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.ran = ran
        self.retry_after_ms = retry_after_ms
        self.entries = entries

    def __str__(self) -> str:
        """Return the code followed by the detail.

        >>> str(BerylcartError(Code.NO_UPSTREAM, "no encoder in lahore-1"))
        '2005 NO_UPSTREAM: no encoder in lahore-1'
        """
        return f"{int(self.code)} {self.code.name}: {self.detail}"


class LogUnavailableError(BerylcartError):
    """A log call failed and certainly had no effect."""

    def __init__(self, detail: str, retry_after_ms: int | None = None) -> None:
        super().__init__(
            Code.LOG_UNAVAILABLE, detail, retry_after_ms=retry_after_ms
        )


class LogAmbiguousError(BerylcartError):
    """The reply to an append was lost: it may have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.LOG_AMBIGUOUS, detail, ran=Ran.UNKNOWN)


class LogGapError(BerylcartError):
    """The requested offset is older than the log's retention."""

    def __init__(self, wanted_offset: int, start_offset: int) -> None:
        super().__init__(
            Code.LOG_GAP,
            f"offset {wanted_offset} expired; oldest is {start_offset}",
        )
        self.wanted_offset = wanted_offset
        self.start_offset = start_offset


class UpstreamError(BerylcartError):
    """An attempt failed; ran tells whether the upstream may have run it."""

    def __init__(
        self,
        code: Code,
        detail: str,
        *,
        ran: Ran,
        is_draining: bool = False,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(code, detail, ran=ran, retry_after_ms=retry_after_ms)
        self.is_draining = is_draining


class BrokenConnectionError(UpstreamError):
    """The connection to the upstream broke after the request was sent."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.UPSTREAM_FAILED, detail, ran=Ran.UNKNOWN)


class UnreachableError(UpstreamError):
    """The attempt did not reach its upstream."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.UPSTREAM_FAILED, detail, ran=Ran.NO)


class InputsGoneError(UpstreamError):
    """Stage results that a request reads are no longer stored."""

    def __init__(self) -> None:
        super().__init__(
            Code.UPSTREAM_REJECTED,
            "results of stages are gone",
            ran=Ran.NO,
        )
