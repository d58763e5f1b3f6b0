"""Look up the route and the workspace of a request."""

from typing import NamedTuple

from berylcart.state.errors import BerylcartError, Code
from berylcart.state.relay_messages import RelayRequest
from berylcart.state.routes import KeyOwner, Route, RouteTable


class RequestTarget(NamedTuple):
    """The route and the workspace of a request, looked up once."""

    table: RouteTable
    route: Route
    owner: KeyOwner | None

    @property
    def rank(self) -> int:
        """Return the priority of the workspace, or else of the route."""
        if self.owner is not None and self.owner.priority is not None:
            return self.owner.priority
        return self.route.priority


def resolve_target(table: RouteTable, request: RelayRequest) -> RequestTarget:
    """Look up a request's route and workspace; raises BerylcartError."""
    route = table.find(request.host, request.path)
    if route is None:
        raise BerylcartError(
            Code.UNKNOWN_ROUTE,
            f"no route takes {request.host}{request.path}",
        )
    if not table.has_workspaces or route.is_public:
        return RequestTarget(table, route, None)
    owner = table.owners.get(request.api_key or "")
    if owner is None:
        raise BerylcartError(Code.KEY_UNKNOWN, "no workspace holds the key")
    return RequestTarget(table, route, owner)
