"""Compress configuration texts for the log and for peers."""

import base64
import binascii
import zlib

from berylcart.protocol.json_codec import MessageError
from berylcart.state.config_text import MAX_TEXT_BYTES

COMPRESS_ABOVE_CHARS = 4096


def compress(text: str) -> bytes:
    """Compress a text with zlib.

    >>> decompress(compress("hem")), len(compress("hem" * 1000)) < 100
    ('hem', True)
    """
    return zlib.compress(text.encode())


def decompress(data: bytes) -> str:
    """Decompress a text; raises MessageError on invalid data.

    Decompression stops at MAX_TEXT_BYTES, which bounds memory use.
    """
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(data, MAX_TEXT_BYTES + 1)
        if len(text) > MAX_TEXT_BYTES or not stream.eof:
            raise MessageError("a packed text is too large or cut short")
        return text.decode()
    except (zlib.error, UnicodeDecodeError):
        raise MessageError("a packed text is damaged") from None


def compress_to_base64(text: str) -> str:
    """Compress a text and encode it as base64 for JSON.

    >>> decompress_base64(compress_to_base64("hem"))
    'hem'
    """
    return base64.b64encode(compress(text)).decode()


def decompress_base64(encoded: object) -> str:
    """Decompress a base64 text; raises MessageError on invalid input."""
    if not isinstance(encoded, str):
        raise MessageError("a packed text is a string")
    try:
        data = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError):
        raise MessageError("a packed text is damaged") from None
    return decompress(data)
