"""Check peer calls over real loopback sockets."""

import asyncio

import pytest
from berylcart.coordination.gateway.held_bytes import HeldBytes
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol.peer_frames import write_notice
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member, MemberState
from berylcart.state.peer_messages import (
    AnswerQuery,
    AnswerState,
    AttemptNews,
    ConfigFreshness,
    ConfigOffer,
    ConfigQuery,
    Demand,
    Gossip,
    MemberNews,
    Ping,
    PingRequest,
    Placement,
    PlacementQuery,
    StoredAnswer,
    VitalSign,
)
from berylcart.state.records import Checkpoint, Verdict
from berylcart.state.relayed import PromptPart
from berylcart.transport import peer_connection
from berylcart.transport.peer_client import PeerChannel, RpcPeers
from berylcart.transport.peer_connection import (
    MAX_MESSAGE_BYTES,
    PeerCallError,
    PeerConnection,
)
from berylcart.transport.peer_server import PeerServer, peer_methods

BOUND_MS = 10_000
ME = Member("d1", 3, "127.0.0.1:1", "127.0.0.1:2", "lahore-1", beat=4)
GOSSIP = Gossip(
    ME,
    (MemberNews(ME._replace(daemon_id="d2", state=MemberState.DEAD), 70),),
    (LeavingMark("vm-1", 9),),
    (Demand("d1", "w1", 5, 30),),
    ConfigFreshness(7, 40, 12),
    (VitalSign(2**63 + 5, 900, 0.25, 6),),
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
    """Answer each call with fixed content, or stall."""

    def __init__(self):
        self.seen = []
        self.stall = asyncio.Event()
        self.stall.set()
        self.called = asyncio.Event()

    async def on_ping(self, ping):
        """Echo the gossip once not stalled."""
        self.seen.append(ping)
        self.called.set()
        await self.stall.wait()
        return ping.gossip

    async def on_ping_request(self, request):
        """Say that the third daemon answered."""
        self.seen.append(request)
        return True

    async def on_exchange(self, gossip):
        """Echo the gossip."""
        return gossip

    async def on_pull_config(self, query):
        """Offer a fixed checkpoint."""
        if query.known_version < 7:
            return ConfigOffer(CHECKPOINT, 5)
        return ConfigOffer(None)

    async def on_collect_answer(self, query):
        """Give a fixed answer, or fail."""
        if query.claim_id == "lost":
            raise BerylcartError(Code.INTERNAL, "failed")
        return ANSWER


async def until(is_true):
    """Wait until a condition holds."""
    for _ in range(1000):
        if is_true():
            return
        await asyncio.sleep(0.01)
    raise AssertionError


def serve(scenario):
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


def test_messages_arrive_whole():
    async def scenario(peers, server, handlers):
        address = server.address
        ping = Ping("d9", GOSSIP)
        assert await peers.ping(address, ping, timeout_ms=BOUND_MS) == GOSSIP
        assert handlers.seen == [ping]
        request = PingRequest("d9", "127.0.0.1:9", 400)
        assert await peers.ping_request(address, request, timeout_ms=BOUND_MS)
        assert handlers.seen[-1] == request
        reply = await peers.exchange(address, GOSSIP, timeout_ms=BOUND_MS)
        assert reply == GOSSIP
        offer = await peers.pull_config(
            address, ConfigQuery(6, 0), timeout_ms=BOUND_MS
        )
        assert offer == ConfigOffer(CHECKPOINT, 5)
        offer = await peers.pull_config(
            address, ConfigQuery(7, 40), timeout_ms=BOUND_MS
        )
        assert offer == ConfigOffer(None)
        query = AnswerQuery("k", "c", "w")
        answer = await peers.collect_answer(
            address, query, timeout_ms=BOUND_MS
        )
        assert answer == ANSWER

    serve(scenario)


def test_failures_carry_the_peer_code():
    async def scenario(peers, server, handlers):
        lost = AnswerQuery("k", "lost", "w")
        with pytest.raises(BerylcartError) as caught:
            await peers.collect_answer(
                server.address, lost, timeout_ms=BOUND_MS
            )
        assert caught.value.code is Code.PEER_UNAVAILABLE
        handlers.stall = asyncio.Event()
        with pytest.raises(BerylcartError) as caught:
            await peers.ping(server.address, Ping("d", GOSSIP), timeout_ms=50)
        assert caught.value.code is Code.PEER_UNAVAILABLE

    serve(scenario)


def test_timeout_of_one_call_leaves_another_in_progress():
    async def scenario(peers, server, handlers):
        handlers.stall = asyncio.Event()
        ping = Ping("d", GOSSIP)
        slow = asyncio.create_task(
            peers.ping(server.address, ping, timeout_ms=BOUND_MS)
        )
        with pytest.raises(BerylcartError):
            await peers.ping(server.address, ping, timeout_ms=50)
        handlers.stall.set()
        assert await slow == GOSSIP

    serve(scenario)


def test_close_finishes_the_calls_in_progress():
    async def scenario(peers, server, handlers):
        handlers.stall = asyncio.Event()
        ping = Ping("d", GOSSIP)
        begun = asyncio.create_task(
            peers.ping(server.address, ping, timeout_ms=BOUND_MS)
        )
        await handlers.called.wait()
        closing = asyncio.create_task(server.close())
        await asyncio.sleep(0)
        with pytest.raises(BerylcartError):
            await peers.ping(server.address, ping, timeout_ms=BOUND_MS)
        handlers.stall.set()
        assert await begun == GOSSIP
        await closing

    serve(scenario)


def test_close_does_not_wait_for_ever():
    async def scenario(peers, server, handlers):
        handlers.stall = asyncio.Event()
        begun = asyncio.create_task(
            peers.ping(server.address, Ping("d", GOSSIP), timeout_ms=500)
        )
        await handlers.called.wait()
        await server.close(grace_s=0.01)
        with pytest.raises(BerylcartError):
            await begun

    serve(scenario)


def test_closed_port_is_unavailable():
    async def scenario(peers, server, handlers):
        address = server.address
        await server.close()
        with pytest.raises(BerylcartError):
            await peers.ping(address, Ping("d", GOSSIP), timeout_ms=BOUND_MS)

    serve(scenario)


async def connect(server):
    """Open a connection that checks nothing before it writes."""
    host, port = server.address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(PeerConnection, host, port)
    return connection


def test_oversized_message_is_refused_and_service_goes_on():
    async def scenario(peers, server, handlers):
        message = pb.PingMessage(target_id="x" * (MAX_MESSAGE_BYTES + 1))
        body = message.SerializeToString()
        with pytest.raises(ValueError, match="too large"):
            await PeerChannel(server.address).call("Ping", body, 10.0)
        connection = await connect(server)
        with pytest.raises(ConnectionError):
            await connection.call("Ping", body)
        assert handlers.seen == []
        ping = Ping("d9", GOSSIP)
        assert await peers.ping(server.address, ping, timeout_ms=BOUND_MS)

    serve(scenario)


@pytest.mark.parametrize(
    "data",
    [b"PRI * HTTP/2.0\r\n\r\n", b"\xc1", b"\x93\x00\x01\xa4Ping", b"\x05"],
)
def test_bytes_that_are_no_frame_end_only_their_connection(data):
    async def scenario(peers, server, handlers):
        host, port = server.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(data)
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()
        ping = Ping("d9", GOSSIP)
        assert await peers.ping(server.address, ping, timeout_ms=BOUND_MS)

    serve(scenario)


def test_unknown_enum_value_is_refused():
    async def scenario(peers, server, handlers):
        connection = await connect(server)
        message = pb.GossipMessage(sender=pb.MemberMessage(state=77))
        with pytest.raises(PeerCallError):
            await connection.call("Exchange", message.SerializeToString())
        connection.close()

    serve(scenario)


def test_unknown_method_is_refused_and_connection_goes_on():
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

    serve(scenario)


def test_fault_in_a_handler_fails_only_its_call():
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

    serve(scenario)


def test_notices_that_cannot_be_read_end_nothing():
    async def scenario(peers, server, handlers):
        connection = await connect(server)
        connection.notify("FreePieces", b"\xff")
        connection.notify("Later", b"")
        connection.notify("cancel", b"77")
        query = pb.PullConfigMessage(known_version=7)
        reply = await connection.call("PullConfig", query.SerializeToString())
        assert not pb.ConfigMessage.FromString(reply).is_newer
        connection.close()

    serve(scenario)


def test_results_that_may_go_are_told():
    async def scenario(peers, server, handlers):
        told = []

        class Stages:
            def on_free_pieces(self, *facts):
                told.append(facts)

        stages = PeerServer(handlers, "127.0.0.1:0", Stages())
        await stages.start()
        address = stages.address
        await peers.free_pieces(
            address, "sms", ["a", "b"], True, timeout_ms=BOUND_MS
        )
        await peers.ping(address, Ping("d", GOSSIP), timeout_ms=BOUND_MS)
        assert told == [("sms", ("a", "b"), True)]
        await stages.close()
        with pytest.raises(BerylcartError):
            await RpcPeers().free_pieces(
                address, "sms", ["a"], False, timeout_ms=BOUND_MS
            )

    serve(scenario)


def test_cancelled_call_stops_its_handler():
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
            peers.ping(server.address, ping, timeout_ms=BOUND_MS)
        )
        await handlers.called.wait()
        call.cancel()
        await ended.wait()

    serve(scenario)


def test_taken_address_is_named():
    async def scenario(peers, server, handlers):
        with pytest.raises(BerylcartError) as caught:
            PeerServer(handlers, server.address)
        assert caught.value.code is Code.ADDRESS_IN_USE

    serve(scenario)


def test_channels_are_bounded():
    async def scenario(peers, server, handlers):
        few = RpcPeers(max_channels=1)
        other = PeerServer(handlers, "127.0.0.1:0")
        await other.start()
        for address in (server.address, other.address, server.address):
            await few.ping(address, Ping("d", GOSSIP), timeout_ms=BOUND_MS)
        assert len(few._channels) == 1
        few.close()
        await other.close()

    serve(scenario)


class Engines:
    """Name one replica and note what is heard."""

    def __init__(self):
        self.asked = []
        self.news = []
        self.heard = asyncio.Event()

    async def on_place_request(self, query):
        """Name a replica for one service only."""
        self.asked.append(query)
        if query.service != "model":
            return Placement("", 0, 0)
        return Placement("v1", 3, 7, 120)

    def on_attempt(self, news):
        """Note a notice."""
        self.news.append(news)
        self.heard.set()


QUERY = PlacementQuery("model", (PromptPart("a", 9),), 5, 3, 800, "p1", 70)


async def place_over_sockets():
    engines = Engines()
    server = PeerServer(EchoHandlers(), "127.0.0.1:0", engines=engines)
    await server.start()
    peers = RpcPeers()
    news = AttemptNews("model", 7, False, 250, is_failed=True)
    try:
        placements = [
            await peers.place_request(
                server.address, query, timeout_ms=BOUND_MS
            )
            for query in (QUERY, QUERY._replace(service="other"))
        ]
        await peers.tell_attempt(server.address, news, timeout_ms=BOUND_MS)
        await asyncio.wait_for(engines.heard.wait(), BOUND_MS / 1000)
    finally:
        peers.close()
        await server.close()
    assert placements == [Placement("v1", 3, 7, 120), None]
    assert engines.asked[0] == QUERY
    assert engines.news == [news]


def test_requests_are_placed_over_the_wire():
    asyncio.run(place_over_sockets())


def test_daemon_of_an_older_version_refuses_to_place_and_goes_on():
    async def scenario(peers, server, handlers):
        address = server.address
        news = AttemptNews("model", 7, True, 250)
        with pytest.raises(BerylcartError) as caught:
            await peers.place_request(address, QUERY, timeout_ms=BOUND_MS)
        assert caught.value.code is Code.PEER_UNAVAILABLE
        await peers.tell_attempt(address, news, timeout_ms=BOUND_MS)
        ping = Ping("d9", GOSSIP)
        assert await peers.ping(address, ping, timeout_ms=BOUND_MS) == GOSSIP

    serve(scenario)


def test_frame_that_does_not_end_ends_its_connection(monkeypatch):
    monkeypatch.setattr(peer_connection, "FRAME_TIMEOUT_S", 0.05)

    async def scenario(peers, server, handlers):
        host, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        whole = write_notice("Other", b"")
        for _ in range(3):
            writer.write(whole[:3])
            await asyncio.sleep(0.02)
            writer.write(whole[3:])
            await asyncio.sleep(0.02)
        writer.write(whole[:3])
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()
        await peers.ping(
            server.address, Ping("d", GOSSIP), timeout_ms=BOUND_MS
        )

    serve(scenario)


def test_malformed_peer_address_fails_its_call_only():
    # The port's error is no OSError, and ended the loop that gossips.
    async def scenario(peers, server, handlers):
        for address in ("127.0.0.1:99999", "x", "a\0b:80"):
            with pytest.raises(BerylcartError):
                await peers.ping(address, Ping("d", GOSSIP), timeout_ms=100)

    serve(scenario)


def test_unsent_bytes_of_a_peer_count_until_it_takes_them():
    async def scenario(peers, server, handlers):
        held = HeldBytes()
        loop = asyncio.get_running_loop()
        released = asyncio.Event()

        async def accept(reader, writer):
            await released.wait()
            while await reader.read(2**20):
                pass
            writer.close()

        listener = await asyncio.start_server(accept, "127.0.0.1", 0)
        transport, connection = await loop.create_connection(
            lambda: PeerConnection(held=held),
            *listener.sockets[0].getsockname(),
        )
        for _ in range(2):
            connection.notify("Other", b"x" * (6 * 2**20))
        await asyncio.sleep(0)
        assert held.total_bytes > 2**20
        released.set()
        await until(lambda: not held.total_bytes)
        transport.close()
        listener.close()

    serve(scenario)


def test_peer_that_does_not_read_is_cut_over_the_limit():
    async def scenario(peers, server, handlers):
        held = HeldBytes(2**20)
        loop = asyncio.get_running_loop()
        listener = await asyncio.start_server(
            lambda reader, writer: asyncio.Event().wait(), "127.0.0.1", 0
        )
        _, connection = await loop.create_connection(
            lambda: PeerConnection(held=held),
            *listener.sockets[0].getsockname(),
        )
        for _ in range(2):
            connection.notify("Other", b"x" * (6 * 2**20))
        await until(lambda: not connection.is_open)
        assert held.total_bytes == 0
        listener.close()

    serve(scenario)
