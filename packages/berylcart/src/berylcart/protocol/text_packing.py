"""Compress configuration texts on their way."""

import base64
import binascii
import zlib

from berylcart.protocol.json_values import MessageError
from berylcart.state.config_text import MAX_TEXT_BYTES

PACK_ABOVE_CHARS = 4096


def pack(text: str) -> bytes:
    """Compress a text.

    >>> unpack(pack("hem")), len(pack("hem" * 1000)) < 100
    ('hem', True)
    """
    return zlib.compress(text.encode())


def unpack(data: bytes) -> str:
    """Restore a text; raises MessageError on any other bytes.

    A text over the limit of configuration texts is cut off unread.
    """
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(data, MAX_TEXT_BYTES + 1)
        if len(text) > MAX_TEXT_BYTES or not stream.eof:
            raise MessageError("a packed text is too large or cut short")
        return text.decode()
    except (zlib.error, UnicodeDecodeError):
        raise MessageError("a packed text is damaged") from None


def pack_word(text: str) -> str:
    """Compress a text to characters that JSON carries as they are.

    >>> unpack_word(pack_word("hem"))
    'hem'
    """
    return base64.b64encode(pack(text)).decode()


def unpack_word(word: object) -> str:
    """Restore a text from JSON; raises MessageError on anything else."""
    if not isinstance(word, str):
        raise MessageError("a packed text is a string")
    try:
        data = base64.b64decode(word, validate=True)
    except (binascii.Error, ValueError):
        raise MessageError("a packed text is damaged") from None
    return unpack(data)
