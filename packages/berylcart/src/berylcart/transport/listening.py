"""Bind sockets for servers."""

import socket

from berylcart.state.errors import BerylcartError, Code

MAX_PORT = 2**16 - 1
PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Split IP:PORT; raises BerylcartError SETTINGS_INVALID.

    >>> split_address("127.0.0.1:80"), split_address("[::1]:80")
    (('127.0.0.1', 80), ('::1', 80))
    """
    host, _, port = address.rpartition(":")
    is_port = port.isdecimal() and len(port) <= PORT_DIGITS
    if not host or not is_port or int(port) > MAX_PORT:
        raise BerylcartError(
            Code.SETTINGS_INVALID, f"{address!r} is not IP:PORT"
        )
    return host.strip("[]"), int(port)


def bind(address: str) -> socket.socket:
    """Bind IP:PORT, where port 0 takes a free one.

    Raises BerylcartError ADDRESS_IN_USE.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio turns Nagle's algorithm off only for a socket that names TCP;
    # left on, it holds each answer back until a delayed acknowledgement.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise BerylcartError(
            Code.ADDRESS_IN_USE,
            f"cannot listen on {address}: {error.strerror}",
        ) from None
    return sock


def address_of(sock: socket.socket) -> str:
    """Write a bound socket's address as IP:PORT."""
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
