"""Serve the daemon's informational HTTP endpoints."""

from berylcart.protocol.problem import to_problem_response
from berylcart.state.errors import BerylcartError, Code
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from berylcart_daemon.facade import DaemonFacade
from berylcart_daemon.metrics import Metrics

MAX_KEYS = 1000
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def problem_response(error: BerylcartError) -> Response:
    """Build the problem response for an error."""
    reply = to_problem_response(error)
    return Response(reply["body"], reply["status"], reply["headers"])


async def handle_unknown_path(request: Request, error: Exception) -> Response:
    """Give the problem response for an unknown path or method."""
    detail = f"{request.method} {request.url.path} does not exist"
    return problem_response(BerylcartError(Code.UNKNOWN_TARGET, detail))


def read_count(text: str) -> int:
    """Parse the number of requested keys; raises BAD_REQUEST.

    >>> read_count("3")
    3
    """
    is_number = text.isascii() and text.isdecimal() and len(text) < 6
    if not is_number or not 1 <= int(text) <= MAX_KEYS:
        raise BerylcartError(
            Code.BAD_REQUEST, f"count must be from 1 to {MAX_KEYS}"
        )
    return int(text)


class InfoEndpoints:
    """Serve entry lists, idempotency keys, status, metrics and health."""

    def __init__(self, facade: DaemonFacade, metrics: Metrics) -> None:
        self.facade = facade
        self.metrics = metrics

    def routes(self) -> list[Route]:
        """List the routes of these endpoints."""
        return [
            Route("/v1/entries", self.entries),
            Route("/v1/keys", self.keys),
            Route("/v1/status", self.status),
            Route("/metrics", self.show_metrics),
            Route("/healthz", self.healthz),
            Route("/readyz", self.readyz),
        ]

    async def entries(self, request: Request) -> Response:
        """Serve the entry list, for one workspace if it is given."""
        workspace = request.query_params.get("workspace", "")
        try:
            return JSONResponse(self.facade.entries(workspace))
        except BerylcartError as error:
            return problem_response(error)

    async def keys(self, request: Request) -> Response:
        """Issue the requested number of idempotency keys."""
        try:
            count = read_count(request.query_params.get("count", "1"))
            return JSONResponse(await self.facade.issue_keys(count))
        except BerylcartError as error:
            return problem_response(error)

    async def status(self, request: Request) -> Response:
        """Serve the daemon's status."""
        return JSONResponse(self.facade.status())

    async def show_metrics(self, request: Request) -> Response:
        """Serve the metrics in the Prometheus text format."""
        self.metrics.config_version.set(self.facade.config_version())
        return PlainTextResponse(self.metrics.text(), media_type=METRICS_TYPE)

    async def healthz(self, request: Request) -> Response:
        """Report that the process is alive."""
        return PlainTextResponse("ok\n")

    async def readyz(self, request: Request) -> Response:
        """Report whether the daemon can serve requests."""
        try:
            self.facade.check_open()
            self.facade.check_ready()
        except BerylcartError as error:
            return PlainTextResponse(f"{error}\n", status_code=503)
        return PlainTextResponse("ready\n")
