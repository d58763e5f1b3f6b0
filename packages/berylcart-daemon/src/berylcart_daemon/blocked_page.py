"""Show and lift what is blocked, for operators."""

import json
from urllib.parse import unquote

from berylcart.coordination.gateway.part_faults import PartFaults
from berylcart.state.peer_messages import PartReport
from berylcart.state.relay_messages import BufferedResponse, CallerHead

PATH = "/blocked"
JSON_HEADERS = ((b"content-type", b"application/json"),)
HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_NOT_FOUND = 404
HTTP_NOT_ALLOWED = 405


def is_blocked_page(target: str) -> bool:
    """Return whether a request is for this page.

    >>> is_blocked_page("/blocked"), is_blocked_page("/metrics")
    (True, False)
    """
    path = target.partition("?")[0]
    return path == PATH or path.startswith(f"{PATH}/")


def describe(report: PartReport) -> dict[str, object]:
    """Describe a suspected or blocked part or request."""
    return {
        "id": report.part_id,
        "is_blocked": report.blocked_age_ms is not None,
        "blocked_age_ms": report.blocked_age_ms,
        "answer_age_ms": report.begun_age_ms,
        "crashes": [crash._asdict() for crash in report.crashes],
    }


def answer_blocked_page(
    faults: PartFaults, head: CallerHead
) -> BufferedResponse:
    """List what is suspected or blocked, or lift one entry by DELETE."""
    path = head.target.partition("?")[0]
    trait = unquote(path.removeprefix(PATH).removeprefix("/"))
    if head.method == "DELETE" and trait:
        status = HTTP_NO_CONTENT if faults.lift(trait) else HTTP_NOT_FOUND
        return BufferedResponse(status, (), b"")
    if head.method != "GET":
        return BufferedResponse(HTTP_NOT_ALLOWED, (), b"")
    entries = [
        describe(report)
        for report in faults.reports(limit=len(faults.known))
        if trait in ("", report.part_id)
    ]
    body = json.dumps(entries).encode()
    return BufferedResponse(HTTP_OK, JSON_HEADERS, body)
