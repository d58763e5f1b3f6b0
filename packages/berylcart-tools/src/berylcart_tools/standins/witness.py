"""Keep what an upstream ran, as the witness for its callers."""

from typing import NamedTuple

from berylcart import events
from berylcart.protocol.json_values import to_plain
from berylcart.protocol.upstream_messages import RunMessage
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from berylcart_tools.standins.clock import now_ms
from berylcart_tools.standins.replies import json_answer

WITNESS_PATH = "/admin/witness"


class Run(NamedTuple):
    """Record one attempt that ran."""

    attempt_id: str
    request_id: str
    idempotency_key: str
    workspace: str
    place: str
    at_ms: int


class Witness:
    """Record the attempts that one upstream ran, in order."""

    def __init__(self, place: str) -> None:
        self.place = place
        self.runs: list[Run] = []

    def record(self, message: RunMessage) -> None:
        """Record that an attempt begins to run."""
        run = Run(
            message["attempt_id"],
            message["request_id"],
            message["idempotency_key"],
            message["workspace"],
            self.place,
            now_ms(),
        )
        self.runs.append(run)
        events.info("standin.ran", **run._asdict())

    def other_attempt(self, attempt_id: str) -> str:
        """Name another attempt, as a crossed answer does."""
        for run in reversed(self.runs):
            if run.attempt_id != attempt_id:
                return run.attempt_id
        return f"{attempt_id}-crossed"

    def routes(self) -> list[Route]:
        """Offer the admin call."""

        async def get(request: Request) -> Response:
            return json_answer({"runs": to_plain(self.runs)})

        return [Route(WITNESS_PATH, get, methods=["GET"])]
