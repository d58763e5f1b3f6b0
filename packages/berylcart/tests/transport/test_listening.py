"""Check the sockets that servers listen on."""

import asyncio
import socket

import pytest
from berylcart.state.errors import BerylcartError, Code
from berylcart.transport.listening import address_of, bind


def test_accepted_connection_sends_small_writes_at_once():
    async def scenario():
        no_delay = asyncio.get_running_loop().create_future()

        async def accept(reader, writer):
            accepted = writer.get_extra_info("socket")
            no_delay.set_result(
                accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )
            writer.close()

        listener = bind("127.0.0.1:0")
        async with await asyncio.start_server(accept, sock=listener):
            _, writer = await asyncio.open_connection(*listener.getsockname())
            assert await no_delay
            writer.close()

    asyncio.run(scenario())


def test_taken_address_is_named():
    with bind("127.0.0.1:0") as taken:
        taken.listen()
        with pytest.raises(BerylcartError) as caught:
            bind(address_of(taken))
        assert caught.value.code is Code.ADDRESS_IN_USE
        assert address_of(taken) in caught.value.detail


@pytest.mark.parametrize("address", ["127.0.0.1:x", "127.0.0.1", ":80", ""])
def test_malformed_address_is_a_numbered_error(address):
    with pytest.raises(BerylcartError) as caught:
        bind(address)
    assert caught.value.code is Code.SETTINGS_INVALID
