"""Parse IP:PORT addresses and bind server sockets."""

import socket

from berylcart.state.errors import BerylcartError, Code

MAX_PORT = 2**16 - 1
PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Parse an IP:PORT address; raises BerylcartError SETTINGS_INVALID.

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
    """Bind a socket to IP:PORT; port 0 selects a free port.

    Raises BerylcartError ADDRESS_IN_USE.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio disables Nagle's algorithm only on sockets created with
    # IPPROTO_TCP. With it, each response would wait for a delayed ACK.
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


def bound_address(sock: socket.socket) -> str:
    """Return the address of a bound socket as IP:PORT."""
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
