"""Stand-ins for the store, replicas and clients, and a runner of daemons.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LISTENING_PORTS = range(10_000, 30_000)
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port() -> int:
    """Return an unused port of 127.0.0.1."""
    while True:
        port = random.SystemRandom().choice(LISTENING_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """Write what happened to record.txt, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now_s():9.3f} s  {text}\n")
        self.file.flush()


async def read_message(reader):
    """Read one HTTP message; return its start line, headers and body."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (text := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = text.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return line.decode("latin-1").strip(), headers, body


def message(status, body=b"", headers=()):
    """Build an HTTP response."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """Serve HTTP on a loopback port, one request at a time a connection."""

    def __init__(self, record: Record, port: int | None = None) -> None:
        self.record = record
        self.port = port or free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.server = None
        self.writers = set()

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port
        )

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                line, headers, body = request
                method, target, _ = line.split(" ")
                if not await self.handle(
                    method, target, headers, body, reader, writer
                ):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The run of the case has ended.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        """Serve one request; return whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """Keep topics of keyed records, as PROTOCOL.md describes."""

    def __init__(self, record: Record, port: int | None = None) -> None:
        super().__init__(record, port)
        self.topics = {}
        self.appended = asyncio.Event()
        self.calls = 0

    def put(self, topic: str, key: str, value) -> int:
        """Append a record and return its offset."""
        data = b"" if value is None else json.dumps(value).encode()
        return self.put_bytes(topic, key, data)

    def put_bytes(self, topic: str, key: str, data: bytes) -> int:
        """Append a record of bytes and return its offset."""
        log = self.topics.setdefault(topic, [])
        log.append((key, data))
        self.appended.set()
        self.appended = asyncio.Event()
        self.record.write(
            f"store: {topic} {key} at offset {len(log) - 1}: "
            f"{data[:160].decode('utf-8', 'replace') or '(removed)'}"
        )
        return len(log) - 1

    async def handle(self, method, target, headers, body, reader, writer):
        """Serve one call."""
        self.calls += 1
        url = urlsplit(target)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if url.path == "/log-append":
            answer = self.append(topic, body)
        elif url.path == "/log-newest":
            answer = self.newest(topic, query.get("after", ""))
        elif url.path == "/log-read":
            answer = await self.read(topic, query)
        else:
            answer = message(404)
        writer.write(answer)
        await writer.drain()
        return True

    def append(self, topic, body):
        """Append the records of a call."""
        first = len(self.topics.setdefault(topic, []))
        while body:
            (size,) = struct.unpack(">I", body[:4])
            content, body = body[4 : 4 + size], body[4 + size :]
            end = 1 + content[0]
            self.put_bytes(topic, content[1:end].decode(), content[end:])
        page = {"offset": first, "end": len(self.topics[topic])}
        return message(200, json.dumps(page).encode())

    def newest(self, topic, after):
        """Give the newest record of each key."""
        log = self.topics.setdefault(topic, [])
        newest = {key: (at, data) for at, (key, data) in enumerate(log)}
        items = [
            {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "offset": at,
            }
            for key, (at, data) in sorted(newest.items())
            if data and key > after
        ]
        page = {"items": items, "more": False, "end": len(log)}
        return message(200, json.dumps(page).encode())

    async def read(self, topic, query):
        """Give the records from an offset, waiting for one."""
        start = int(query["from"])
        deadline_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        log = self.topics.setdefault(topic, [])
        while start >= len(log) and time.monotonic() < deadline_s:
            try:
                await asyncio.wait_for(
                    self.appended.wait(), deadline_s - time.monotonic()
                )
            except TimeoutError:
                break
        data = struct.pack(">QQ", len(log), 0)
        for key, value in log[start:]:
            content = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(content)) + content
        return message(200, data)


class Replica(Server):
    """Run requests and pieces, as PROTOCOL.md describes.

    work_s is the time of a plain request, event_s that of an event.
    """

    def __init__(self, record, name, service, zone="hall-1") -> None:
        super().__init__(record)
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self.events, self.event_s = 0.02, 5, 0.02
        self.runs = []
        self.pieces = []
        self.running = 0
        self.handles = 0
        self.seq = 0

    def entry(self, state="ready", **fields):
        """Return the entry in the list of replicas."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "seq": self.seq,
            **fields,
        }

    async def handle(self, method, target, headers, body, reader, writer):
        """Serve one request."""
        wanted = headers.get("expect-instance", self.name)
        if wanted != self.name:
            writer.write(message(421, headers=[("Replica-Id", self.name)]))
            return True
        if target == "/stage-run":
            return await self.run_pieces(json.loads(body), writer)
        if target == "/stage-free":
            writer.write(message(200, b"{}"))
            return True
        request_id = headers.get("attempt-id", "")
        if not request_id:
            writer.write(message(400, headers=[("Not-Executed", "1")]))
            return True
        self.runs.append((self.record.now_s(), request_id, headers, body))
        self.record.write(f"replica {self.name}: runs {request_id}")
        self.running += 1
        try:
            return await self.run(method, target, headers, body, writer)
        finally:
            self.running -= 1

    async def run(self, method, target, headers, body, writer):
        """Run one plain request."""
        await asyncio.sleep(self.work_s)
        request_id = headers["attempt-id"]
        answer = json.dumps(
            {"id": request_id, "by": self.name, "got": len(body)}
        ).encode()
        seal = [("Attempt-Id", request_id), ("Response-Seal", self.name)]
        writer.write(message(200, answer, seal))
        await writer.drain()
        return True

    async def run_pieces(self, call, writer):
        """Run the pieces of a call."""
        items = []
        for item in call["items"]:
            self.handles += 1
            handle = f"{self.address}/{self.name}{self.handles:x}"
            self.pieces.append((self.record.now_s(), item, handle))
            items.append({"handle": handle})
        await asyncio.sleep(0.15 + 0.01 * len(items))
        writer.write(message(200, json.dumps({"items": items}).encode()))
        await writer.drain()
        return True


class Answer:
    """Hold what a client got; status is 0 without a complete answer."""

    def __init__(self, status, headers, body, detail="") -> None:
        self.status, self.headers, self.body = status, headers, body
        self.detail = detail


async def call(address, host, path, key, request_id, *, method="POST",
               body=b"", deadline_ms=1500, headers=(), timeout_s=3.0):
    """Send one request on a new connection and read its answer."""
    ip, _, port = address.rpartition(":")
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {host}",
        f"Attempt-Id: {request_id}", f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}", *headers,
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            answer = await read_message(reader)
        if answer is None:
            return Answer(0, {}, b"", "closed without an answer")
        return Answer(int(answer[0].split(" ")[1]), answer[1], answer[2])
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(0, {}, b"", f"{type(error).__name__}: {error}")
    finally:
        if writer is not None:
            writer.close()


class Daemon:
    """Run one daemon with the command of the deploy file."""

    def __init__(self, record, folder, number, store_address, zone="hall-1",
                 seeds=(), **bounds) -> None:
        self.record = record
        self.name = f"edge-{zone}-{number}"
        self.path = Path(folder) / f"{self.name}.json"
        self.process = None
        self.log = Path(folder) / f"{self.name}.log"
        # Each daemon has a loopback address of its own, as all machines of a
        # platform use the same ports.
        self.ip = "127.0.0.1"
        self.listen = {
            name: f"{self.ip}:{free_port()}"
            for name in ("frontend", "readiness", "control", "directory")
        }
        self.settings = {
            "node_name": self.name, "role": "entry", "machine_class": "edge",
            "serves": ["edge", "control_plane", "registry"], "ip": self.ip,
            "zone": zone, "region": "lahore",
            "zones": {each: "lahore" for each in ("hall-1", "hall-2")},
            "listen": self.listen,
            "internal_ports": [free_port(), free_port()],
            "seeds": list(seeds), "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "registry",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "engine", "stream", "tenants",
                          "platform", "stages"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_after_s": 2,
                       "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
                       "config_ms": 2000, "rollback_slack_ms": 250,
                       "max_skew_ms": 5000, "revoke_strict": False,
                       "revoke_ms": 5000, "retry_ratio": 0.2,
                       "retry_window_s": 10, "retry_slack": 54,
                       "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10,
                       "ttl_max_s": 5, **bounds},
            "platform": {"address": store_address, "form": "log",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "parts": 8, "append_ms": 4.0, "part_mb_s": 20.0,
                         "read_mb_s": 80.0, "record_bytes": 262144,
                         "call_bytes": 2097152, "keep_s": 300,
                         "part_mb": 200, "ttl_min_ms": 1000},
        }

    def write_settings(self) -> None:
        """Write the settings file."""
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")

    def start(self) -> None:
        """Start the daemon."""
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BERYLCART_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.record.write(f"daemon {self.name}: started")
        self.process = subprocess.Popen(
            ["python3", "platform/start.py"], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number) -> None:
        """Send a signal to the daemon."""
        self.record.write(
            f"daemon {self.name}: gets {signal.Signals(number).name}"
        )
        self.process.send_signal(number)

    async def wait_ready(self, limit_s=15.0) -> bool:
        """Wait until the readiness check gives 200."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            answer = await call(self.listen["readiness"], "h", "/readyz", "",
                                "check", method="GET", timeout_s=1.0)
            if answer.status == 200:
                self.record.write(f"daemon {self.name}: ready")
                return True
            await asyncio.sleep(0.05)
        self.record.write(f"daemon {self.name}: not ready in {limit_s} s")
        return False

    def end(self) -> None:
        """Kill the daemon, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def manifest(version, routes, services, keys=("key-1",), **fields):
    """Build a manifest with one tenant."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "counter", "api_keys": list(keys),
                     "priority": 1}],
        **fields,
    }


def plain_route(name, host, prefix, service, route_type, **fields):
    """Build a route to a plain service."""
    return {
        "name": name, "host": host, "path_prefix": prefix,
        "route_type": route_type, "timeout_ms": 800,
        "target_latency_ms": 125, "priority": 2, "service": service,
        "max_attempts": 1, "public": False, "sticky": False,
        "resumable": False, **fields,
    }


def plain_service(name):
    """Build a plain service."""
    return {"name": name, "health_path": "/healthz", "max_connections": 100,
            "protocol": "h1", "tls": False}


def run_case(main, folder) -> None:
    """Run a case within 110 s and exit with its result."""
    record = Record(Path(folder))

    async def limited():
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(110):
                return await main(record, Path(temporary))

    try:
        result = asyncio.run(limited())
    except Exception as error:  # The case could not run.
        record.write(f"could not run: {type(error).__name__}: {error}")
        result = NOT_RUN
    word = {HELD: "the rule held", BROKEN: "the rule was broken",
            NOT_RUN: "the case could not run"}[result]
    record.write(f"trouble {'on' if HAS_TROUBLE else 'off'}: {word}")
    sys.stdout.write(f"{word}\n")
    sys.exit(result)
