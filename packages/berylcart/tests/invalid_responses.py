"""List bytes that look like a response and are none."""

LENGTH = b"Content-Length: 5\r\n"
ID = b"Id: r1\r\n"

START_LINES = [
    b"HTTP/1.1 000 Odd",
    b"HTTP/1.1 020 Odd",
    b"HTTP/1.1 099 Odd",
    b"HTTP/1.1 600 Odd",
    b"HTTP/1.1 999 Odd",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.1 200 O\x01K",
    b"HTTP/1.1 200 O\x7fK",
]
FIELDS = [
    b"Content Length: 5\r\n",
    b"Content-Length : 5\r\n" + LENGTH,
    b"Transfer-Encoding : chunked\r\n" + LENGTH,
    b"A\tB: c\r\n" + LENGTH,
    b"A\x00B: c\r\n" + LENGTH,
    b"A\x01B: c\r\n" + LENGTH,
    b"A\x7fB: c\r\n" + LENGTH,
    b"A\rB: c\r\n" + LENGTH,
    b"A\xe9B: c\r\n" + LENGTH,
    b"A(B): c\r\n" + LENGTH,
    b": c\r\n" + LENGTH,
    b"no colon\r\n" + LENGTH,
    b" folded: c\r\n" + LENGTH,
    b"A: b\x00c\r\n" + LENGTH,
    b"A: b\x01c\r\n" + LENGTH,
    LENGTH + b"Content-Length: 6\r\n",
    b"Content-Length: -5\r\n",
    b"Content-Length: +5\r\n",
    b"Content-Length: 0x5\r\n",
    b"Content-Length: 99999999999999999999\r\n",
]
CODINGS = [
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
    b"HTTP/1.1 200 OK\r\n" + 2 * b"Transfer-Encoding: chunked\r\n",
    b"HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n",
    b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
]
CHUNKS = b"5\r\nwhole\r\n0\r\n\r\n"
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\n" + ID + b"Transfer-Encoding: chunked\r\n\r\n"
)
WHOLE = b"HTTP/1.1 200 OK\r\n" + ID + LENGTH + b"\r\nwhole"

INVALID_RESPONSES = [
    *(line + b"\r\n" + ID + LENGTH + b"\r\nwhole" for line in START_LINES),
    *(b"HTTP/1.1 200 OK\r\n" + ID + field + b"\r\nwhole" for field in FIELDS),
    *(head + ID + b"\r\n" + CHUNKS for head in CODINGS),
    b"HTTP/1.1 000 Odd\r\n" + ID + b"\r\nwhole",
    b"HTTP/1.1 000 Odd\r\n\r\n" + WHOLE,
    b"HTTP/1.1 101 Odd\r\n\r\n" + WHOLE,
    b"HTTP/1.1 204 No\r\n" + ID + LENGTH + b"\r\nwhole",
    b"HTTP/1.1 103 Early\r\n" + LENGTH + b"\r\n" + WHOLE,
    *(
        CHUNKED_HEAD + b"5\r\nwhole\r\n0\r\n" + trailer + b"\r\n\r\n"
        for trailer in (b"A B: c", b"A\x01B: c", b"A\rB: c", b"no colon")
    ),
]
