"""Serve and call HTTP/1.1 on loopback sockets, for the stand-ins."""

import asyncio
import json


class Request:
    """Hold one request that was read whole."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name.lower():
                return value
        return default


async def read_head(reader):
    """Read a head; return its first line and headers, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


async def read_chunked(reader, on_data):
    """Read a chunked body; raises IncompleteReadError if it is cut."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        if size:
            on_data(await reader.readexactly(size))
        end = await reader.readexactly(2)
        if end != b"\r\n":
            raise ValueError("a chunk without its end")
        if not size:
            return


async def read_request(reader):
    """Read one request, None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    request = Request(method, target, headers, b"")
    if request.header("transfer-encoding").lower() == "chunked":
        parts = []
        await read_chunked(reader, parts.append)
        request.body = b"".join(parts)
    else:
        length = int(request.header("content-length", "0"))
        request.body = await reader.readexactly(length)
    return request


def response(status, body=b"", headers=()):
    """Serialize a response with a length."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = (*headers, ("Content-Type", "application/json"))
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Connection:
    """Hold one accepted connection; last is the last response sent on it."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.last = b""
        self.count = 0
        self.is_silent = False

    async def send(self, data):
        """Send bytes, unless nothing further is returned here."""
        if not self.is_silent:
            self.writer.write(data)
            await self.writer.drain()


class Server:
    """Serve each request with handle(request, connection) -> bytes or None."""

    def __init__(self, ip):
        self.ip = ip
        self.address = ""
        self.server = None
        self.tasks = set()

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self.serve, self.ip, 0, limit=2**20
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    async def serve(self, reader, writer):
        """Serve one connection."""
        task = asyncio.current_task()
        self.tasks.add(task)
        connection = Connection(reader, writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                connection.count += 1
                data = await self.handle(request, connection)
                if data:
                    await connection.send(data)
                    connection.last = data
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def handle(self, request, connection):
        """Answer one request."""
        raise NotImplementedError

    def stop(self):
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Answer:
    """Tell how a client's request ended.

    status is 0 if no head came. is_complete is false if the channel ended
    before the answer's end.
    """

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b""
        self.is_complete = False
        self.is_timed_out = False
        self.sent_s = 0.0
        self.ended_s = 0.0

    def header(self, name):
        """Return the first value of a header."""
        return next((v for k, v in self.headers if k == name), "")

    def describe(self):
        """Describe the end of the request."""
        if self.is_timed_out:
            return "the client's time limit passed"
        if self.is_complete:
            return f"{self.status}, whole, {len(self.body)} bytes"
        if self.status:
            return f"{self.status}, cut after {len(self.body)} bytes"
        return "the channel ended without an answer"


class Client:
    """Send requests one after another on one channel."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def connect(self):
        """Open the channel."""
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=2**20), 1.0
        )

    async def call(
        self, method, target, headers, body=b"", limit_s=15.0, pieces=1
    ):
        """Send a request and read its answer.

        The head is written in so many pieces, 50 ms apart.
        """
        loop = asyncio.get_running_loop()
        answer = Answer()
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        try:
            async with asyncio.timeout(limit_s):
                if self.writer is None:
                    await self.connect()
                size = -(-len(data) // pieces)
                for start in range(0, len(data), size):
                    if start:
                        await asyncio.sleep(0.05)
                    self.writer.write(data[start : start + size])
                    await self.writer.drain()
                answer.sent_s = loop.time()
                await self.read_answer(answer)
        except TimeoutError:
            answer.is_timed_out = True
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        answer.ended_s = loop.time()
        if not answer.is_complete or (
            answer.header("connection").lower() == "close"
        ):
            self.close()
        return answer

    async def read_answer(self, answer):
        """Read one answer."""
        head = await read_head(self.reader)
        if head is None:
            return
        line, answer.headers = head
        answer.status = int(line.split(" ")[1])

        def add(data):
            answer.body += data

        if answer.header("transfer-encoding").lower() == "chunked":
            await read_chunked(self.reader, add)
        else:
            length = int(answer.header("content-length") or "0")
            answer.body = await self.reader.readexactly(length)
        answer.is_complete = True

    def close(self):
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
