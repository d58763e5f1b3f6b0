"""Test the options of connections."""

import socket

import anyio
import pytest
from berylcart.transport.channel import KeepAlive, connect, keep_alive_within


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
