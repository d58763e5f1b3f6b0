"""Pass requests on to upstreams and read their answers byte by byte."""

from collections.abc import AsyncGenerator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import anyio

from berylcart import events
from berylcart.protocol.http_answers import AnswerError
from berylcart.state.errors import Code, Ran, UnreachableError, UpstreamError
from berylcart.state.relayed import AnswerHead, Headers, UpstreamRequest
from berylcart.transport.channel import connect
from berylcart.transport.upstream_connection import (
    UpstreamConnection,
    header_lines,
    write_head,
)

# A few round trips within a region; a replica that takes longer is passed by.
CONNECT_TIMEOUT_S = 0.4
# Where an upstream names no timeout of its idle connections.
IDLE_TIMEOUT_S = 4.0
# What is left before an upstream closes an idle connection.
IDLE_MARGIN_S = 1.0
MAX_IDLE_PER_ADDRESS = 32
# Answers to requests that ended before, which may come first.
MAX_STRAY_ANSWERS = 2
# A stray answer is read to keep its connection, which a larger or slower one
# isn't worth: a new connection takes a few round trips.
MAX_STRAY_BYTES = 64 * 2**10
STRAY_TIMEOUT_S = 0.5

HeadReader = Callable[[int, Headers], AnswerHead]


def ignore() -> None:
    """Take no notice of a request that is sent."""


class RelayConnection(UpstreamConnection):
    """Find the answer to a request among those of a connection."""

    async def send_request(self, request: UpstreamRequest) -> None:
        """Write a whole request; raises OSError or ValueError."""
        lines = header_lines(request.headers)
        head = write_head(request.method, request.target, lines)
        await self.send(request.method, head, request.body)

    async def read_own_head(
        self, request_id: str, read_head: HeadReader
    ) -> AnswerHead:
        """Read the head of the answer to a request.

        Answers to other requests are read and dropped.
        """
        for _ in range(MAX_STRAY_ANSWERS + 1):
            status, headers = await self.read_head()
            head = read_head(status, headers)
            if head.request_id in (None, request_id):
                return head
            events.warning(
                "upstream.stray_answer",
                request_id=request_id,
                address=self.address,
                stray_id=head.request_id,
            )
            await self.drop_body()
        raise ConnectionResetError("no answer to this request")

    async def drop_body(self) -> None:
        """Read and drop the body of a stray answer.

        Raises ConnectionResetError where it is too large or too slow.
        """
        left_bytes = MAX_STRAY_BYTES
        with anyio.move_on_after(STRAY_TIMEOUT_S):
            while left_bytes >= 0:
                data = await self.read_data()
                if data is None:
                    return
                left_bytes -= len(data)
        raise ConnectionResetError(
            f"a stray answer exceeds {MAX_STRAY_BYTES} bytes "
            f"or {STRAY_TIMEOUT_S} s"
        )


class RelayAnswer:
    """Read the body of an answer; raises UpstreamError."""

    def __init__(self, connection: RelayConnection, head: AnswerHead) -> None:
        self.connection = connection
        self.head = head
        self.is_whole = False

    async def read(self) -> bytes | None:
        """Read the next bytes, None after the last ones."""
        with failures_reported(self.connection):
            data = await self.connection.read_data()
        if data is None:
            self.is_whole = True
        return data

    @property
    def idle_timeout_s(self) -> float:
        """Say how long the connection may be kept for another request."""
        if self.head.idle_timeout_s is None:
            return IDLE_TIMEOUT_S
        return min(IDLE_TIMEOUT_S, self.head.idle_timeout_s - IDLE_MARGIN_S)


@contextmanager
def failures_reported(connection: RelayConnection) -> Iterator[None]:
    """Turn failures of a connection into UpstreamError."""
    try:
        yield
    except (OSError, AnswerError, ValueError) as error:
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            f"{connection.address}: {type(error).__name__}: {error}",
            ran=Ran.UNKNOWN if connection.is_sent else Ran.NO,
        ) from error


class RelayClient:
    """Keep idle connections to upstreams and open new ones."""

    def __init__(self, read_head: HeadReader) -> None:
        self.read_head = read_head
        self.idle: dict[str, list[RelayConnection]] = {}
        self.opened = 0

    async def borrow(self, address: str) -> RelayConnection:
        """Give a connection; raises UpstreamError where none opens."""
        kept = self.idle.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.is_usable():
                return connection
            connection.channel.close()
        return await self.open(address)

    async def open(self, address: str) -> RelayConnection:
        """Open a connection; raises UpstreamError."""
        detail = f"no connection within {CONNECT_TIMEOUT_S} s"
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                channel = await connect(address)
                self.opened += 1
                return RelayConnection(address, channel)
        except OSError as error:
            detail = str(error)
        raise UnreachableError(f"{address}: {detail}")

    @asynccontextmanager
    async def exchange(
        self,
        request: UpstreamRequest,
        on_sent: Callable[[], None] = ignore,
    ) -> AsyncGenerator[RelayAnswer]:
        """Send a request and read its answer as it arrives.

        Raises UpstreamError. Leaving the block early closes the connection.
        """
        connection = await self.borrow(request.address)
        answer: RelayAnswer | None = None
        try:
            with failures_reported(connection):
                head = await self.begin(connection, request, on_sent)
                answer = RelayAnswer(connection, head)
            yield answer
        except BaseException:
            answer = None
            raise
        finally:
            self.give_back(connection, answer)

    async def begin(
        self,
        connection: RelayConnection,
        request: UpstreamRequest,
        on_sent: Callable[[], None],
    ) -> AnswerHead:
        """Send a request and read the head of its answer."""
        try:
            await connection.send_request(request)
        except OSError:
            # An upstream may answer and close before it has read the body.
            connection.is_broken = True
        on_sent()
        return await connection.read_own_head(
            request.request_id, self.read_head
        )

    def give_back(
        self, connection: RelayConnection, answer: RelayAnswer | None
    ) -> None:
        """Keep a connection whose answer was read whole, else close it."""
        kept = self.idle.setdefault(connection.address, [])
        is_kept = (
            answer is not None
            and answer.is_whole
            and len(kept) < MAX_IDLE_PER_ADDRESS
            and connection.prepare_reuse(answer.idle_timeout_s)
        )
        if is_kept:
            kept.append(connection)
        else:
            connection.channel.close()

    def sweep(self) -> None:
        """Close the connections that may carry no more requests."""
        for address, kept in list(self.idle.items()):
            for connection in [one for one in kept if not one.is_usable()]:
                connection.channel.close()
                kept.remove(connection)
            if not kept:
                del self.idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for kept in self.idle.values():
            for connection in kept:
                connection.channel.close()
        self.idle.clear()
