"""Pass requests on to upstreams and read their answers byte by byte."""

from collections.abc import AsyncGenerator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import anyio
import h11

from berylcart import events
from berylcart.state.errors import Code, Ran, UnreachableError, UpstreamError
from berylcart.state.relayed import AnswerHead, Headers, UpstreamRequest
from berylcart.transport.channel import Channel, connect

# A few round trips within a region; a replica that takes longer is passed by.
CONNECT_TIMEOUT_S = 0.4
# Where an upstream names no timeout of its idle connections.
IDLE_TIMEOUT_S = 4.0
# What is left before an upstream closes an idle connection.
IDLE_MARGIN_S = 1.0
MAX_IDLE_PER_ADDRESS = 32
MAX_HEAD_BYTES = 64 * 2**10
# Answers to requests that ended before, which may come first.
MAX_STRAY_ANSWERS = 2

HeadReader = Callable[[int, Headers], AnswerHead]


def ignore() -> None:
    """Take no notice of a request that is sent."""


class RelayConnection:
    """Send one request after another to an upstream."""

    def __init__(self, address: str, channel: Channel) -> None:
        self.address = address
        self.channel = channel
        self.http = new_parser()
        self.usable_until_s = 0.0
        self.is_sent = False
        self.is_broken = False

    async def send(self, request: UpstreamRequest) -> None:
        """Write a whole request; raises OSError."""
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=list(request.headers),
        )
        data = self.http.send(head) or b""
        if request.body:
            data += self.http.send(h11.Data(data=request.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.is_sent = True
        await self.channel.send(data)

    async def next_event(self) -> h11.Event:
        """Read the next part of an answer.

        Raises OSError at its broken end, and h11.RemoteProtocolError.
        """
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise ConnectionResetError("closed before the answer's end")
            if event is not h11.NEED_DATA:
                assert isinstance(event, h11.Event)
                return event
            self.http.receive_data(await self.channel.receive())

    async def read_head(
        self, request_id: str, read_head: HeadReader
    ) -> AnswerHead:
        """Read the head of the answer to a request.

        Answers to other requests are read and dropped.
        """
        for _ in range(MAX_STRAY_ANSWERS + 1):
            head = await self.read_any_head(read_head)
            if head.request_id in (None, request_id):
                return head
            events.warning(
                "upstream.stray_answer",
                request_id=request_id,
                address=self.address,
                stray_id=head.request_id,
            )
            await self.skip_answer()
        raise ConnectionResetError("no answer to this request")

    async def read_any_head(self, read_head: HeadReader) -> AnswerHead:
        """Read the head of the next final answer."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                pairs = ((bytes(a), bytes(b)) for a, b in event.headers)
                return read_head(event.status_code, tuple(pairs))

    async def skip_answer(self) -> None:
        """Read the rest of an answer and expect another one."""
        while await self.read_data() is not None:
            pass
        rest, is_closed = self.http.trailing_data
        self.http = expecting_parser()
        self.http.receive_data(rest)
        if is_closed:
            self.http.receive_data(b"")

    async def read_data(self) -> bytes | None:
        """Read the next bytes of the answer, None after the last ones."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None

    def prepare_reuse(self, idle_timeout_s: float) -> bool:
        """Tell whether another request may follow, and until when."""
        is_done = (
            not self.is_broken
            and idle_timeout_s > 0
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and self.http.trailing_data == (b"", False)
        )
        if not is_done:
            return False
        self.http.start_next_cycle()
        self.is_sent = False
        self.usable_until_s = anyio.current_time() + idle_timeout_s
        return self.channel.is_quiet()

    def is_usable(self) -> bool:
        """Tell whether a kept connection may carry a request."""
        is_fresh = anyio.current_time() < self.usable_until_s
        return is_fresh and self.channel.is_quiet()


def new_parser() -> h11.Connection:
    """Create the state of a connection to an upstream."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def expecting_parser() -> h11.Connection:
    """Create the state of a connection whose request is already sent."""
    parser = new_parser()
    parser.send(
        h11.Request(method="GET", target="/", headers=[("host", "sent")])
    )
    parser.send(h11.EndOfMessage())
    return parser


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
    except (OSError, h11.ProtocolError) as error:
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
            await connection.send(request)
        except OSError:
            # An upstream may answer and close before it has read the body.
            connection.is_broken = True
        on_sent()
        return await connection.read_head(request.request_id, self.read_head)

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
