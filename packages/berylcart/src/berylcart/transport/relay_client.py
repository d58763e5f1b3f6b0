"""Relay requests to upstreams and stream the responses."""

from collections.abc import AsyncGenerator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import anyio
from anyio.abc import TaskGroup

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.buffer_budget import BufferBudget
from berylcart.protocol.http_responses import AnswerError
from berylcart.state.errors import (
    BrokenConnectionError,
    Code,
    Ran,
    UnreachableError,
    UpstreamError,
)
from berylcart.state.relay_messages import (
    Headers,
    ResponseHead,
    UpstreamRequest,
)
from berylcart.transport.channel import connect
from berylcart.transport.upstream_connection import (
    UpstreamConnection,
    header_lines,
    write_head,
)

# A few round trips within a region. A replica that takes longer is skipped.
CONNECT_TIMEOUT_S = 0.4
# Upper bound, and the default if an upstream announces no idle timeout.
IDLE_TIMEOUT_S = 4.0
# Safety margin before the upstream closes an idle connection.
IDLE_MARGIN_S = 1.0
MAX_IDLE_PER_ADDRESS = 32
# Limit on responses to earlier requests that may precede the expected one.
MAX_STALE_RESPONSES = 2
# A stale response is read to the end to keep the connection. Beyond these
# limits a new connection, which takes a few round trips, is cheaper.
MAX_STALE_BYTES = 64 * 2**10
STALE_TIMEOUT_S = 0.5

# Fits into the receive window of common systems, so that an upstream that is
# alive acknowledges it at once even if it does not read.
MAX_UNREAD_BYTES = 16 * 2**10
# How long the rest of a request may take whose response is complete. Beyond
# this a new connection is cheaper.
FINISH_TIMEOUT_S = 10.0

HeadParser = Callable[[int, Headers], ResponseHead]


def do_nothing() -> None:
    """Do nothing; the default of on_sent."""


class RelayConnection(UpstreamConnection):
    """Match the responses of a connection to requests by request id."""

    async def send_request(self, request: UpstreamRequest) -> None:
        """Send a request until its response begins.

        Raises OSError or ValueError.
        """
        lines = header_lines(request.headers)
        head = write_head(request.method, request.target, lines)
        if len(head) + len(request.body) > MAX_UNREAD_BYTES:
            self.channel.allow_busy_peer()
        await self.send(request.method, head, request.body)

    async def read_matching_head(
        self, request_id: str, parse_head: HeadParser
    ) -> ResponseHead:
        """Read the head of the response to a request.

        Stale responses, to other requests, are read and discarded. A response
        without an id may be one of these, once the connection served others.
        """
        for _ in range(MAX_STALE_RESPONSES + 1):
            status, headers = await self.read_head()
            head = parse_head(status, headers)
            if head.request_id == request_id:
                return head
            if head.request_id is None:
                if self.is_reused:
                    raise ConnectionResetError("an answer without an id")
                return head
            events.warning(
                "upstream.stale_response_discarded",
                request_id=request_id,
                address=self.address,
                stale_id=head.request_id,
            )
            await self.discard_body()
        raise ConnectionResetError("no answer to this request")

    async def discard_body(self) -> None:
        """Read and discard the body of a stale response.

        Raises ConnectionResetError when it is too large or too slow.
        """
        remaining_bytes = MAX_STALE_BYTES
        with anyio.move_on_after(STALE_TIMEOUT_S):
            while remaining_bytes >= 0:
                data = await self.read_data()
                if data is None:
                    return
                remaining_bytes -= len(data)
        raise ConnectionResetError(
            f"a stray answer exceeds {MAX_STALE_BYTES} bytes "
            f"or {STALE_TIMEOUT_S} s"
        )


class RelayResponse:
    """Read the body of a response; raises UpstreamError."""

    def __init__(
        self, connection: RelayConnection, head: ResponseHead
    ) -> None:
        self.connection = connection
        self.head = head
        self.is_complete = False
        self.is_abandoned = False

    def abandon(self) -> None:
        """Close the connection, so that the upstream drops the request."""
        self.is_abandoned = True
        self.connection.channel.close()

    async def read(self) -> bytes | None:
        """Return the next bytes, None at the end."""
        with convert_failures(self.connection):
            data = await self.connection.read_data()
        if data is None:
            self.is_complete = True
        return data

    @property
    def idle_timeout_s(self) -> float:
        """Return how long the idle connection may be kept for reuse."""
        if self.head.idle_timeout_s is None:
            return IDLE_TIMEOUT_S
        return min(IDLE_TIMEOUT_S, self.head.idle_timeout_s - IDLE_MARGIN_S)


@contextmanager
def convert_failures(connection: RelayConnection) -> Iterator[None]:
    """Convert failures of a connection to UpstreamError."""
    try:
        yield
    except (OSError, AnswerError, ValueError) as error:
        detail = f"{connection.address}: {type(error).__name__}: {error}"
        if isinstance(error, OSError) and connection.is_sent:
            raise BrokenConnectionError(detail) from error
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            detail,
            ran=Ran.UNKNOWN if connection.is_sent else Ran.NO,
        ) from error


class RelayClient:
    """Pool connections to upstreams and relay requests on them.

    run() and sweep(), called periodically, are needed for requests that
    upstreams read slowly.
    """

    def __init__(
        self,
        parse_head: HeadParser,
        buffer_budget: BufferBudget | None = None,
    ) -> None:
        self.parse_head = parse_head
        self.buffer_budget = buffer_budget or BufferBudget()
        self.idle: dict[str, list[RelayConnection]] = {}
        self.in_use: set[RelayConnection] = set()
        # Finishes requests whose response is complete.
        self.tasks: TaskGroup | None = None
        self.opened_count = 0

    async def run(self) -> None:
        """Finish sending requests whose response was complete before."""
        try:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                await anyio.sleep_forever()
        finally:
            self.tasks = None

    async def acquire(self, address: str) -> RelayConnection:
        """Return an idle or a new connection; raises UpstreamError."""
        idle_connections = self.idle.get(address, [])
        while idle_connections:
            connection = idle_connections.pop()
            if connection.is_usable():
                return connection
            connection.channel.close()
        return await self.open_connection(address)

    async def open_connection(self, address: str) -> RelayConnection:
        """Open a connection; raises UpstreamError."""
        detail = f"no connection within {CONNECT_TIMEOUT_S} s"
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                channel = await connect(address)
                self.opened_count += 1
                return RelayConnection(address, channel)
        except OSError as error:
            detail = str(error)
        raise UnreachableError(f"{address}: {detail}")

    async def is_refusing(self, address: str) -> bool:
        """Return whether an address refuses connections."""
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                channel = await connect(address)
                self.opened_count += 1
                channel.close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False

    @asynccontextmanager
    async def exchange(
        self,
        request: UpstreamRequest,
        on_sent: Callable[[], None] = do_nothing,
    ) -> AsyncGenerator[RelayResponse]:
        """Send a request and stream the response.

        Raises UpstreamError. Leaving the block early closes the connection.
        """
        connection = await self.acquire(request.address)
        response: RelayResponse | None = None
        self.in_use.add(connection)
        try:
            with convert_failures(connection):
                await connection.send_request(request)
                on_sent()
                head = await connection.read_matching_head(
                    request.request_id, self.parse_head
                )
                response = RelayResponse(connection, head)
            yield response
        except BaseException:
            response = None
            raise
        finally:
            self.in_use.discard(connection)
            self.release(connection, response)

    def release(
        self, connection: RelayConnection, response: RelayResponse | None
    ) -> None:
        """Keep a connection whose response is complete, else close it.

        The rest of a request is sent first, as the upstream may read it after
        its response.
        """
        if response is None or not response.is_complete:
            connection.channel.close()
        elif connection.channel.output and self.tasks is not None:
            self.tasks.start_soon(
                self.finish_request, connection, response.idle_timeout_s
            )
        else:
            self.keep_or_close(connection, response.idle_timeout_s)

    def keep_or_close(
        self, connection: RelayConnection, idle_timeout_s: float
    ) -> None:
        """Keep an idle connection if it can be reused, else close it."""
        idle_connections = self.idle.setdefault(connection.address, [])
        has_room = len(idle_connections) < MAX_IDLE_PER_ADDRESS
        if has_room and connection.prepare_reuse(idle_timeout_s):
            idle_connections.append(connection)
        else:
            connection.channel.close()

    async def finish_request(
        self, connection: RelayConnection, idle_timeout_s: float
    ) -> None:
        """Send the rest of a request, then keep the connection if possible."""
        channel = connection.channel
        account = self.buffer_budget.open_account(channel.close)
        self.in_use.add(connection)
        try:
            account.waiting_since_s = now_s()
            account.add(len(channel.output))
            with anyio.move_on_after(FINISH_TIMEOUT_S):
                await channel.confirm_output()
                self.keep_or_close(connection, idle_timeout_s)
                return
            channel.close()
        except OSError as error:
            events.info(
                "upstream.request_unfinished",
                address=connection.address,
                detail=str(error),
            )
            channel.close()
        except BaseException:
            channel.close()
            raise
        finally:
            self.in_use.discard(connection)
            account.release()

    def sweep(self) -> None:
        """Close idle connections that expired, and those with a dead peer."""
        for connection in self.in_use:
            if connection.channel.has_dead_peer():
                events.warning(
                    "upstream.peer_silent", address=connection.address
                )
                connection.channel.close()
        for address, idle_connections in list(self.idle.items()):
            for connection in [
                each for each in idle_connections if not each.is_usable()
            ]:
                connection.channel.close()
                idle_connections.remove(connection)
            if not idle_connections:
                del self.idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for idle_connections in self.idle.values():
            for connection in idle_connections:
                connection.channel.close()
        self.idle.clear()
