"""Check the sockets that stand-ins listen on."""

import socket

import pytest
from berylcart.state.errors import BerylcartError, Code
from berylcart_tools.standins.serve import bind, bound_address


def test_accepted_connection_sends_small_writes_at_once():
    with (
        bind("127.0.0.1:0") as listener,
        socket.create_connection(listener.getsockname()),
        listener.accept()[0] as accepted,
    ):
        assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


def test_taken_or_malformed_address_is_a_numbered_error():
    with bind("127.0.0.1:0") as listener:
        for address in (bound_address(listener), "127.0.0.1:x"):
            with pytest.raises(BerylcartError) as caught:
                bind(address)
            assert caught.value.code is Code.ADDRESS_IN_USE
