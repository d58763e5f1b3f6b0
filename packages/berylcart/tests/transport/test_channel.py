"""Test the options of connections."""

import socket

import anyio
import pytest
from berylcart.transport.channel import (
    Channel,
    KeepAlive,
    connect,
    keep_alive_within,
)


@pytest.mark.parametrize("limit_s", [2, 2.5, 3, 4, 60])
def test_dead_connection_is_found_within_the_limit(limit_s):
    assert keep_alive_within(limit_s).detection_s <= limit_s


def test_probes_are_set_on_the_socket():
    async def check():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            channel = await connect(f"127.0.0.1:{port}", KeepAlive(1, 2, 3))
            options = [
                channel.sock.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                )
            ]
            channel.close()
            assert options == [1, 2, 3]

    anyio.run(check)


def connected_channels(receive_buffer_bytes=8192):
    """Return both ends of a connection whose second end buffers little."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
        client = socket.create_connection(listener.getsockname())
        return Channel(client), Channel(listener.accept()[0])


async def read_to_end(channel):
    """Read until an orderly end."""
    while await channel.receive():
        pass


def take_error_by_sending(channel):
    channel.start_sending(b"late")


def take_error_by_check(channel):
    assert not channel.is_idle()


@pytest.mark.parametrize(
    "take_error", [take_error_by_sending, take_error_by_check]
)
@pytest.mark.parametrize("data", [b"", b"a part"])
def test_reset_is_no_orderly_end_whoever_saw_it_first(take_error, data):
    """The system reports a reset once; the next read got an orderly end."""

    async def check():
        channel, peer = connected_channels()
        peer.try_send(data)
        peer.reset()
        await anyio.sleep(0.05)
        take_error(channel)
        with pytest.raises(ConnectionError):
            await read_to_end(channel)
        assert not channel.is_idle()
        channel.close()

    anyio.run(check)


def test_peer_that_reads_nothing_is_not_dead():
    async def check():
        channel, peer = connected_channels()
        channel.allow_busy_peer()
        channel.start_sending(b"x" * 4_000_000)
        await anyio.sleep(3)
        channel.send_output()
        assert not channel.has_dead_peer()
        assert channel.output
        assert channel.error is None
        channel.close()
        peer.close()

    anyio.run(check)


def test_close_wakes_both_waits_of_an_upload():
    async def check():
        channel, peer = connected_channels()
        channel.start_sending(b"x" * 4_000_000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(close_later, channel)
            with pytest.raises(OSError, match="closed"):
                await channel.receive()
        peer.close()

    async def close_later(channel):
        await anyio.sleep(0.05)
        channel.close()

    anyio.run(check)
