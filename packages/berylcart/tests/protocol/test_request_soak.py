"""Parse random requests that are sent ahead and cut anywhere.

By hand, with more seeds: REQUEST_SEEDS=1-2000 pytest test_request_soak.py
"""

import os
import random

import pytest
from berylcart.protocol.http_requests import (
    RequestEnd,
    RequestHead,
    RequestParser,
)

FIRST_SEED, _, LAST_SEED = os.environ.get("REQUEST_SEEDS", "1-60").partition(
    "-"
)
SEEDS = range(int(FIRST_SEED), int(LAST_SEED) + 1)
MAX_HEAD = 6000
# Bytes that look like the ends and starts of requests.
BODY_UNITS = (
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"0\r\n\r\n",
    b"x",
    b"GET / HTTP/1.1",
)
LINES = (b"a:\r\n", b"!~:\t\r\n", b"x1: 1, 2\r\n", b"Expect: 100-continue\r\n")
OFFER = b"Connection: keep-alive, upgrade\r\nUpgrade: h2c\r\n"


def make_body(rng):
    """Return the bytes of a body."""
    return b"".join(rng.choices(BODY_UNITS, k=rng.randrange(40)))


def write_chunks(rng, body):
    """Serialize a body in chunks, with extensions and trailers."""
    data = b""
    while body:
        size = rng.randint(1, max(1, len(body) // rng.randint(1, 20)))
        extension = rng.choice((b"", b"", b";a=b"))
        data += b"%x%s\r\n%s\r\n" % (size, extension, body[:size])
        body = body[size:]
    return data + b"0\r\n" + rng.choice((b"", b"t: 1\r\n")) + b"\r\n"


def make_request(rng, number):
    """Return a request, its target and its body."""
    body = rng.choice((b"", make_body(rng)))
    target = f"/{number}"
    head = f"POST {target} HTTP/1.1\r\nHost: h\r\n".encode()
    head += rng.choice((b"", OFFER))
    head += rng.choice(LINES) * rng.choice((0, 1, 200))
    if rng.random() < 0.5:
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        data = head + write_chunks(rng, body)
    else:
        data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    return data, target, body


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_are_parsed_one_at_a_time_however_they_are_cut(seed):
    rng = random.Random(seed)
    requests = [make_request(rng, number) for number in range(12)]
    blanks = [rng.choice((b"", b"\r\n")) for _ in requests]
    stream = b"".join(
        blank + data
        for blank, (data, _, _) in zip(blanks, requests, strict=True)
    )
    parser = RequestParser(MAX_HEAD)
    fed_bytes = ended_bytes = 0
    for blank, (data, target, body) in zip(blanks, requests, strict=True):
        parts = []
        while not (parts and isinstance(parts[-1], RequestEnd)):
            part = parser.next_part()
            if part is not None:
                parts.append(part)
                continue
            size = rng.choice((1, 2, 5, 100, 3000))
            parser.feed(stream[fed_bytes : fed_bytes + size])
            fed_bytes = min(fed_bytes + size, len(stream))
        ended_bytes += len(blank) + len(data)
        assert fed_bytes - parser.unparsed_bytes == ended_bytes
        assert isinstance(parts[0], RequestHead)
        assert parts[0].head.target == target
        assert b"".join(parts[1:-1]) == body
        assert parts[0].size_bytes == data.index(b"\r\n\r\n") + 2
    assert not parser.has_input
