"""Record the attempts that an upstream ran, as ground truth for checks."""

from typing import NamedTuple

from berylcart import events
from berylcart.protocol.json_codec import to_builtins
from berylcart.protocol.upstream_messages import RunMessage
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from berylcart_tools.standins.clock import now_ms
from berylcart_tools.standins.http_responses import json_response

WITNESS_PATH = "/admin/witness"


class RunRecord(NamedTuple):
    """Describe one attempt that started to run."""

    attempt_id: str
    request_id: str
    idempotency_key: str
    workspace: str
    place: str
    at_ms: int


class RunRecorder:
    """Record the attempts that one upstream ran, in start order."""

    def __init__(self, place: str) -> None:
        self.place = place
        self.runs: list[RunRecord] = []

    def record(self, message: RunMessage) -> None:
        """Record and log the start of an attempt."""
        run = RunRecord(
            message["attempt_id"],
            message["request_id"],
            message["idempotency_key"],
            message["workspace"],
            self.place,
            now_ms(),
        )
        self.runs.append(run)
        events.info("standin.ran", **run._asdict())

    def other_attempt_id(self, attempt_id: str) -> str:
        """Return the id of another attempt, for a crossed response."""
        for run in reversed(self.runs):
            if run.attempt_id != attempt_id:
                return run.attempt_id
        return f"{attempt_id}-crossed"

    def routes(self) -> list[Route]:
        """Return the route that lists the recorded runs."""

        async def get(request: Request) -> Response:
            return json_response({"runs": to_builtins(self.runs)})

        return [Route(WITNESS_PATH, get, methods=["GET"])]
