"""Test the sockets on which servers listen."""

import asyncio
import socket

import pytest
from berylcart.state.errors import BerylcartError, Code
from berylcart.transport.socket_addresses import bind, bound_address


def test_accepted_connection_disables_nagle():
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


def test_address_in_use_is_named_in_the_error():
    with bind("127.0.0.1:0") as bound:
        bound.listen()
        with pytest.raises(BerylcartError) as caught:
            bind(bound_address(bound))
        assert caught.value.code is Code.ADDRESS_IN_USE
        assert bound_address(bound) in caught.value.detail


@pytest.mark.parametrize("address", ["127.0.0.1:x", "127.0.0.1", ":80", ""])
def test_malformed_address_raises_settings_invalid(address):
    with pytest.raises(BerylcartError) as caught:
        bind(address)
    assert caught.value.code is Code.SETTINGS_INVALID
