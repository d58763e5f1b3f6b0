"""Test calls between peers over loopback sockets."""

import asyncio

import anyio
import pytest
from berylcart.coordination.gateway.buffer_budget import BufferBudget
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol.peer_frames import write_notification
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member, MemberState
from berylcart.state.peer_messages import (
    AnswerQuery,
    AnswerState,
    AttemptReport,
    ConfigFreshness,
    ConfigQuery,
    ConfigReply,
    Demand,
    Gossip,
    HeartbeatSummary,
    MemberReport,
    Ping,
    PingRequest,
    Placement,
    PlacementQuery,
    StoredAnswer,
)
from berylcart.state.records import Checkpoint, Verdict
from berylcart.state.relay_messages import PromptPart
from berylcart.transport import peer_connection, peer_server
from berylcart.transport.peer_client import PeerChannel, RpcPeers
from berylcart.transport.peer_connection import (
    MAX_MESSAGE_BYTES,
    PeerCallError,
    PeerConnection,
)
from berylcart.transport.peer_server import PeerServer, peer_methods
from berylcart.transport.socket_addresses import bind

TIMEOUT_MS = 10_000
SENDER = Member("d1", 3, "127.0.0.1:1", "127.0.0.1:2", "lahore-1", beat=4)
GOSSIP = Gossip(
    SENDER,
    (
        MemberReport(
            SENDER._replace(daemon_id="d2", state=MemberState.DEAD), 70
        ),
    ),
    (LeavingMark("vm-1", 9),),
    (Demand("d1", "w1", 5, 30),),
    ConfigFreshness(7, 40, 12),
    (HeartbeatSummary(2**63 + 5, 900, 0.25, 6),),
    view_digest=2**64 - 1,
)
CHECKPOINT = Checkpoint(
    40,
    7,
    1,
    "text",
    (Verdict("p1", 39, 7, ""), Verdict("p2", 40, None, "conflict")),
)
ANSWER = StoredAnswer(AnswerState.STORED, 200, "application/json", b"{}")


class EchoHandlers:
    """Respond to each call with fixed content, or block."""

    def __init__(self):
        self.received = []
        self.unblocked = asyncio.Event()
        self.unblocked.set()
        self.called = asyncio.Event()

    async def on_ping(self, ping):
        """Echo the gossip once unblocked."""
        self.received.append(ping)
        self.called.set()
        await self.unblocked.wait()
        return ping.gossip

    async def on_ping_request(self, request):
        """Report that the third daemon answered."""
        self.received.append(request)
        return True

    async def on_exchange(self, gossip):
        """Echo the gossip."""
        return gossip

    async def on_pull_config(self, query):
        """Offer a fixed checkpoint."""
        if query.known_version < 7:
            return ConfigReply(CHECKPOINT, 5)
        return ConfigReply(None)

    async def on_collect_answer(self, query):
        """Return a fixed response, or fail."""
        if query.claim_id == "lost":
            raise BerylcartError(Code.INTERNAL, "failed")
        return ANSWER


async def wait_until(condition):
    """Wait until a condition holds."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError


def run_with_server(scenario):
    """Run a scenario against a server on a free port."""

    async def run():
        handlers = EchoHandlers()
        server = PeerServer(handlers, "127.0.0.1:0")
        await server.start()
        peers = RpcPeers()
        try:
            await scenario(peers, server, handlers)
        finally:
            peers.close()
            await server.close()

    asyncio.run(run())


def test_messages_round_trip():
    async def scenario(peers, server, handlers):
        address = server.address
        ping = Ping("d9", GOSSIP)
        assert await peers.ping(address, ping, timeout_ms=TIMEOUT_MS) == GOSSIP
        assert handlers.received == [ping]
        request = PingRequest("d9", "127.0.0.1:9", 400)
        assert await peers.ping_request(
            address, request, timeout_ms=TIMEOUT_MS
        )
        assert handlers.received[-1] == request
        reply = await peers.exchange(address, GOSSIP, timeout_ms=TIMEOUT_MS)
        assert reply == GOSSIP
        offer = await peers.pull_config(
            address, ConfigQuery(6, 0), timeout_ms=TIMEOUT_MS
        )
        assert offer == ConfigReply(CHECKPOINT, 5)
        offer = await peers.pull_config(
            address, ConfigQuery(7, 40), timeout_ms=TIMEOUT_MS
        )
        assert offer == ConfigReply(None)
        query = AnswerQuery("k", "c", "w")
        answer = await peers.collect_answer(
            address, query, timeout_ms=TIMEOUT_MS
        )
        assert answer == ANSWER

    run_with_server(scenario)


def test_failed_calls_raise_peer_unavailable():
    async def scenario(peers, server, handlers):
        lost = AnswerQuery("k", "lost", "w")
        with pytest.raises(BerylcartError) as caught:
            await peers.collect_answer(
                server.address, lost, timeout_ms=TIMEOUT_MS
            )
        assert caught.value.code is Code.PEER_UNAVAILABLE
        handlers.unblocked = asyncio.Event()
        with pytest.raises(BerylcartError) as caught:
            await peers.ping(server.address, Ping("d", GOSSIP), timeout_ms=50)
        assert caught.value.code is Code.PEER_UNAVAILABLE

    run_with_server(scenario)


def test_timeout_of_one_call_does_not_affect_another():
    async def scenario(peers, server, handlers):
        handlers.unblocked = asyncio.Event()
        ping = Ping("d", GOSSIP)
        pending_call = asyncio.create_task(
            peers.ping(server.address, ping, timeout_ms=TIMEOUT_MS)
        )
        with pytest.raises(BerylcartError):
            await peers.ping(server.address, ping, timeout_ms=50)
        handlers.unblocked.set()
        assert await pending_call == GOSSIP

    run_with_server(scenario)


def test_close_waits_for_calls_in_progress():
    async def scenario(peers, server, handlers):
        handlers.unblocked = asyncio.Event()
        ping = Ping("d", GOSSIP)
        in_progress = asyncio.create_task(
            peers.ping(server.address, ping, timeout_ms=TIMEOUT_MS)
        )
        await handlers.called.wait()
        closing = asyncio.create_task(server.close())
        await asyncio.sleep(0)
        with pytest.raises(BerylcartError):
            await peers.ping(server.address, ping, timeout_ms=TIMEOUT_MS)
        handlers.unblocked.set()
        assert await in_progress == GOSSIP
        await closing

    run_with_server(scenario)


def test_close_waits_no_longer_than_its_grace_period():
    async def scenario(peers, server, handlers):
        handlers.unblocked = asyncio.Event()
        in_progress = asyncio.create_task(
            peers.ping(server.address, Ping("d", GOSSIP), timeout_ms=500)
        )
        await handlers.called.wait()
        await server.close(grace_s=0.01)
        with pytest.raises(BerylcartError):
            await in_progress

    run_with_server(scenario)


def test_cancelled_close_frees_the_address():
    """A daemon that was started again at once found its address in use."""

    async def scenario(peers, server, handlers):
        handlers.unblocked = asyncio.Event()
        in_progress = asyncio.create_task(
            peers.ping(server.address, Ping("d", GOSSIP), timeout_ms=500)
        )
        await handlers.called.wait()
        address = server.address
        with anyio.move_on_after(0.01):
            await server.close(grace_s=5)
        with pytest.raises(BerylcartError):
            await in_progress
        bind(address).close()

    run_with_server(scenario)


def test_closed_port_is_unavailable():
    async def scenario(peers, server, handlers):
        address = server.address
        await server.close()
        with pytest.raises(BerylcartError):
            await peers.ping(address, Ping("d", GOSSIP), timeout_ms=TIMEOUT_MS)

    run_with_server(scenario)


async def connect(server):
    """Open a raw connection, without the size check of PeerChannel."""
    host, port = server.address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(PeerConnection, host, port)
    return connection


def test_oversized_message_is_rejected_and_server_continues():
    async def scenario(peers, server, handlers):
        message = pb.PingMessage(target_id="x" * (MAX_MESSAGE_BYTES + 1))
        body = message.SerializeToString()
        with pytest.raises(ValueError, match="too large"):
            await PeerChannel(server.address).call("Ping", body, 10.0)
        connection = await connect(server)
        with pytest.raises(ConnectionError):
            await connection.call("Ping", body)
        assert handlers.received == []
        ping = Ping("d9", GOSSIP)
        assert await peers.ping(server.address, ping, timeout_ms=TIMEOUT_MS)

    run_with_server(scenario)


@pytest.mark.parametrize(
    "data",
    [b"PRI * HTTP/2.0\r\n\r\n", b"\xc1", b"\x93\x00\x01\xa4Ping", b"\x05"],
)
def test_malformed_frame_closes_only_its_connection(data):
    async def scenario(peers, server, handlers):
        host, port = server.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(data)
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()
        ping = Ping("d9", GOSSIP)
        assert await peers.ping(server.address, ping, timeout_ms=TIMEOUT_MS)

    run_with_server(scenario)


def test_unknown_enum_value_is_rejected():
    async def scenario(peers, server, handlers):
        connection = await connect(server)
        message = pb.GossipMessage(sender=pb.MemberMessage(state=77))
        with pytest.raises(PeerCallError):
            await connection.call("Exchange", message.SerializeToString())
        connection.close()

    run_with_server(scenario)


def test_unknown_method_is_rejected_and_connection_continues():
    async def scenario(peers, server, handlers):
        connection = await connect(server)
        with pytest.raises(PeerCallError):
            await connection.call("Later", b"")
        with pytest.raises(PeerCallError):
            await connection.call("Ping", b"\xff")
        query = pb.PullConfigMessage(known_version=7)
        reply = await connection.call("PullConfig", query.SerializeToString())
        assert not pb.ConfigMessage.FromString(reply).is_newer
        connection.close()

    run_with_server(scenario)


def test_handler_exception_fails_only_its_call():
    async def scenario(peers, server, handlers):
        async def fail(query):
            raise RuntimeError("a fault")

        connection = await connect(server)
        handlers.on_collect_answer = fail
        server._service._methods |= peer_methods(handlers)
        with pytest.raises(PeerCallError):
            await connection.call("CollectAnswer", b"")
        query = pb.PullConfigMessage(known_version=7)
        reply = await connection.call("PullConfig", query.SerializeToString())
        assert not pb.ConfigMessage.FromString(reply).is_newer
        connection.close()

    run_with_server(scenario)


def test_invalid_notifications_are_ignored():
    async def scenario(peers, server, handlers):
        connection = await connect(server)
        connection.notify("FreePieces", b"\xff")
        connection.notify("Later", b"")
        connection.notify("cancel", b"77")
        query = pb.PullConfigMessage(known_version=7)
        reply = await connection.call("PullConfig", query.SerializeToString())
        assert not pb.ConfigMessage.FromString(reply).is_newer
        connection.close()

    run_with_server(scenario)


def test_free_pieces_notification_reaches_its_handler():
    async def scenario(peers, server, handlers):
        freed = []

        class Stages:
            def on_free_pieces(self, *arguments):
                freed.append(arguments)

        stages = PeerServer(handlers, "127.0.0.1:0", Stages())
        await stages.start()
        address = stages.address
        await peers.free_pieces(
            address, "sms", ["a", "b"], True, timeout_ms=TIMEOUT_MS
        )
        await peers.ping(address, Ping("d", GOSSIP), timeout_ms=TIMEOUT_MS)
        assert freed == [("sms", ("a", "b"), True)]
        await stages.close()
        with pytest.raises(BerylcartError):
            await RpcPeers().free_pieces(
                address, "sms", ["a"], False, timeout_ms=TIMEOUT_MS
            )

    run_with_server(scenario)


def test_cancelled_call_cancels_its_handler():
    async def scenario(peers, server, handlers):
        ended = asyncio.Event()

        async def wait(ping):
            handlers.called.set()
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()

        handlers.on_ping = wait
        server._service._methods |= peer_methods(handlers)
        ping = Ping("d", GOSSIP)
        call = asyncio.create_task(
            peers.ping(server.address, ping, timeout_ms=TIMEOUT_MS)
        )
        await handlers.called.wait()
        call.cancel()
        await ended.wait()

    run_with_server(scenario)


def test_address_in_use_raises():
    async def scenario(peers, server, handlers):
        with pytest.raises(BerylcartError) as caught:
            PeerServer(handlers, server.address)
        assert caught.value.code is Code.ADDRESS_IN_USE

    run_with_server(scenario)


def test_channels_are_bounded():
    async def scenario(peers, server, handlers):
        bounded_peers = RpcPeers(max_channels=1)
        other = PeerServer(handlers, "127.0.0.1:0")
        await other.start()
        for address in (server.address, other.address, server.address):
            await bounded_peers.ping(
                address, Ping("d", GOSSIP), timeout_ms=TIMEOUT_MS
            )
        assert len(bounded_peers._channels) == 1
        bounded_peers.close()
        await other.close()

    run_with_server(scenario)


class EngineRecorder:
    """Choose one replica and record the calls."""

    def __init__(self):
        self.queries = []
        self.reports = []
        self.notified = asyncio.Event()

    async def on_place_request(self, query):
        """Choose a replica for one service only."""
        self.queries.append(query)
        if query.service != "model":
            return Placement("", 0, 0)
        return Placement("v1", 3, 7, 120)

    def on_attempt(self, report):
        """Record a notification."""
        self.reports.append(report)
        self.notified.set()


QUERY = PlacementQuery("model", (PromptPart("a", 9),), 5, 3, 800, "p1", 70)


async def check_placement_over_sockets():
    engines = EngineRecorder()
    server = PeerServer(EchoHandlers(), "127.0.0.1:0", engines=engines)
    await server.start()
    peers = RpcPeers()
    report = AttemptReport("model", 7, False, 250, is_failed=True)
    try:
        placements = [
            await peers.place_request(
                server.address, query, timeout_ms=TIMEOUT_MS
            )
            for query in (QUERY, QUERY._replace(service="other"))
        ]
        await peers.report_attempt(
            server.address, report, timeout_ms=TIMEOUT_MS
        )
        await asyncio.wait_for(engines.notified.wait(), TIMEOUT_MS / 1000)
    finally:
        peers.close()
        await server.close()
    assert placements == [Placement("v1", 3, 7, 120), None]
    assert engines.queries[0] == QUERY
    assert engines.reports == [report]


def test_placement_calls_round_trip():
    asyncio.run(check_placement_over_sockets())


def test_daemon_without_placement_rejects_calls_and_continues():
    async def scenario(peers, server, handlers):
        address = server.address
        report = AttemptReport("model", 7, True, 250)
        with pytest.raises(BerylcartError) as caught:
            await peers.place_request(address, QUERY, timeout_ms=TIMEOUT_MS)
        assert caught.value.code is Code.PEER_UNAVAILABLE
        await peers.report_attempt(address, report, timeout_ms=TIMEOUT_MS)
        ping = Ping("d9", GOSSIP)
        assert await peers.ping(address, ping, timeout_ms=TIMEOUT_MS) == GOSSIP

    run_with_server(scenario)


def test_incomplete_frame_times_out_and_closes_its_connection(monkeypatch):
    monkeypatch.setattr(peer_connection, "FRAME_TIMEOUT_S", 0.05)

    async def scenario(peers, server, handlers):
        host, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        frame = write_notification("Other", b"")
        for _ in range(3):
            writer.write(frame[:3])
            await asyncio.sleep(0.02)
            writer.write(frame[3:])
            await asyncio.sleep(0.02)
        writer.write(frame[:3])
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()
        await peers.ping(
            server.address, Ping("d", GOSSIP), timeout_ms=TIMEOUT_MS
        )

    run_with_server(scenario)


def test_malformed_peer_address_fails_only_its_call():
    # A port above 65535 raises OverflowError, which is not an OSError.
    # Uncaught, it ended the gossip loop.
    async def scenario(peers, server, handlers):
        for address in ("127.0.0.1:99999", "x", "a\0b:80"):
            with pytest.raises(BerylcartError):
                await peers.ping(address, Ping("d", GOSSIP), timeout_ms=100)

    run_with_server(scenario)


async def open_connection(listener, buffer_budget):
    """Open a connection that counts its bytes in a budget."""
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: PeerConnection(buffer_budget=buffer_budget),
        *listener.sockets[0].getsockname(),
    )
    return connection


async def close_all(listener, writers):
    """Close a listener and the connections that it accepted."""
    for writer in writers:
        writer.transport.abort()
    await asyncio.sleep(0)
    listener.close()


def test_unsent_bytes_count_as_held_until_sent():
    async def scenario(peers, server, handlers):
        buffer_budget = BufferBudget()
        may_read = asyncio.Event()

        async def accept(reader, writer):
            await may_read.wait()
            while await reader.read(2**20):
                pass
            writer.close()

        listener = await asyncio.start_server(accept, "127.0.0.1", 0)
        connection = await open_connection(listener, buffer_budget)
        for _ in range(2):
            connection.notify("Other", b"x" * (6 * 2**20))
        await asyncio.sleep(0)
        assert buffer_budget.total_bytes > 2**20
        may_read.set()
        await wait_until(lambda: not buffer_budget.total_bytes)
        connection.close()
        listener.close()

    run_with_server(scenario)


def test_peer_that_does_not_read_is_disconnected_over_the_limit():
    async def scenario(peers, server, handlers):
        buffer_budget = BufferBudget(2**20)
        writers = []
        listener = await asyncio.start_server(
            lambda reader, writer: writers.append(writer), "127.0.0.1", 0
        )
        connection = await open_connection(listener, buffer_budget)
        for _ in range(2):
            connection.notify("Other", b"x" * (6 * 2**20))
        await wait_until(lambda: not connection.is_open)
        assert buffer_budget.total_bytes == 0
        await close_all(listener, writers)

    run_with_server(scenario)


def test_incomplete_frames_count_as_held():
    """Frames of several peers together were not limited."""

    async def scenario(peers, server, handlers):
        buffer_budget = BufferBudget(2**20)
        frame = write_notification("Other", b"x" * (6 * 2**20))
        writers = []

        async def accept(reader, writer):
            writers.append(writer)
            writer.write(frame[: 2**19])

        listener = await asyncio.start_server(accept, "127.0.0.1", 0)
        connections = [
            await open_connection(listener, buffer_budget) for _ in range(2)
        ]
        await wait_until(lambda: buffer_budget.total_bytes == 2**20)
        writers[0].write(frame[2**19 : 2**19 + 100])
        await wait_until(lambda: not all(each.is_open for each in connections))
        await wait_until(lambda: buffer_budget.total_bytes <= 2**19 + 100)
        for connection in connections:
            connection.abort()
        await wait_until(lambda: not buffer_budget.total_bytes)
        await close_all(listener, writers)

    run_with_server(scenario)


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_oldest_silent_connection_gives_way(monkeypatch):
    """Connections without a frame took all descriptors."""
    monkeypatch.setattr(peer_server, "MAX_SILENT_CONNECTIONS", 3)
    server = PeerServer(EchoHandlers(), "127.0.0.1:0")
    await server.start()
    host, _, port = server.address.rpartition(":")
    streams = []
    try:
        for _ in range(2):
            streams.append(await anyio.connect_tcp(host, int(port)))
            await streams[-1].send(write_notification("unknown", b""))
        await wait_until(
            lambda: len(server._connections) == 2 and not server._silent
        )
        for _ in range(5):
            streams.append(await anyio.connect_tcp(host, int(port)))
            await anyio.sleep(0.01)
        await wait_until(lambda: len(server._connections) == 5)
        assert not any(each.reader for each in server._silent)
        for stream in streams[2:4]:
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
    finally:
        for stream in streams:
            await stream.aclose()
        await server.close(0)
