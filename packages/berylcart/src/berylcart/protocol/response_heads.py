"""Decide which heads are those of an HTTP/1 response."""

import re

from berylcart.state.relay_messages import Headers

VERSIONS = ("1.0", "1.1")
STATUSES = range(100, 600)
INFORMATIONAL_STATUSES = range(100, 200)
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
CHUNKED = b"chunked"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
# RFC 9112 allows a reason to hold tabs, visible characters and bytes above
# 0x7f.
CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def values(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of a header, given in lower case."""
    return [value for key, value in headers if key == name]


def head_fault(
    version: str, status: int, reason: bytes, headers: Headers
) -> str | None:
    """Return why a parsed head is not that of a response, None if it is.

    This covers what the parser accepts. Names of headers are in lower case.

    >>> head_fault("1.1", 200, b"OK", ((b"transfer-encoding", b"chunked"),))
    >>> head_fault("1.1", 0, b"OK", ())
    'status 0'
    >>> head_fault("1.1", 204, b"", ((b"content-length", b"5"),))
    'a body with status 204'
    """
    return start_line_fault(version, status, reason) or framing_fault(
        version, status, headers
    )


def start_line_fault(version: str, status: int, reason: bytes) -> str | None:
    """Return why a start line is not that of a response, None if it is.

    >>> start_line_fault("2.0", 200, b"OK")
    'version 2.0'
    """
    if version not in VERSIONS:
        return f"version {version}"
    if status not in STATUSES:
        return f"status {status}"
    if status == SWITCHING_PROTOCOLS:
        return "another protocol, which was not asked for"
    if CONTROL_BYTES.search(reason):
        return "a control byte in the reason"
    return None


def framing_fault(version: str, status: int, headers: Headers) -> str | None:
    """Return why the length of a body is not well defined, None if it is.

    >>> codings = ((b"transfer-encoding", b"gzip, chunked"),)
    >>> framing_fault("1.1", 200, codings)
    'a transfer coding other than chunked'
    """
    codings = values(headers, TRANSFER_ENCODING)
    if codings and version == VERSIONS[0]:
        return "a transfer coding in HTTP/1.0"
    if codings and [each.strip().lower() for each in codings] != [CHUNKED]:
        return "a transfer coding other than chunked"
    if status == NO_CONTENT or status in INFORMATIONAL_STATUSES:
        lengths = values(headers, CONTENT_LENGTH)
        if codings or any(int(each) for each in lengths):
            return f"a body with status {status}"
    return None
