"""Stand-ins for a review case: store, replicas, clients, and the daemons.

The daemons are the project's own processes, started by the run line of
deploy/system.toml. Everything else runs in this process, on loopback
addresses, and follows PROTOCOL.md.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"hall-a": "region-1", "hall-b": "region-1", "hall-c": "region-1"}
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
    "revoke_strict": False, "revoke_ms": 5000, "retry_ratio": 0.2,
    "retry_window_s": 10, "retry_slack": 54, "recover_s": 12, "pass_ms": 120,
    "reuse_window_s": 10, "ttl_max_s": 5,
}


class CannotRun(Exception):
    """The case could not run: no statement about the rule."""


class Record:
    """Write what was sent, answered and run into record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        text = " ".join(str(word) for word in words)
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


class Headers(dict):
    """The headers of a message, names in lower case."""


async def read_message(reader, *, has_body=True):
    """Read a message's first line, headers and body; None at the end."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if not has_body:
        return first, headers, body
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                body += data[:-2]
                if not size:
                    break
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return first, headers, body


def http_message(status, headers, body=b""):
    """Serialize a response with a length."""
    lines = [f"HTTP/1.1 {status} R"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A TCP server on a loopback address."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.connections = set()
        # What the system keeps of unread bytes, 0 for its default.
        self.receive_buffer = 0

    async def start(self):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Segments as on Ethernet; loopback's are 64 KB.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        if self.receive_buffer:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.bind((self.ip, 0))
        self.server = await asyncio.start_server(
            self.serve, sock=sock, backlog=512,
            limit=self.receive_buffer or 1 << 20,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.serve_connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def stop(self):
        self.server.close()
        for writer in list(self.connections):
            with contextlib.suppress(Exception):
                writer.transport.abort()


class Store(Server):
    """The platform's store: keyed topics, one partition each."""

    def __init__(self, ip="127.0.0.1"):
        super().__init__(ip)
        self.logs = defaultdict(list)
        self.changed = asyncio.Event()
        # While set, requests that arrive are never answered.
        self.is_silent = False

    def put(self, topic, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.logs[topic].append((key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve_connection(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            first, _, body = message
            if self.is_silent:
                # A channel on which a response is lost returns nothing
                # further.
                while await reader.read(65536):
                    pass
                return
            target = first.split(" ")[1]
            path, _, query_text = target.partition("?")
            query = dict(
                pair.split("=", 1) for pair in query_text.split("&") if "=" in pair
            )
            await asyncio.sleep(0.004)
            answer = await self.answer(path, query, body)
            if self.is_silent:
                while await reader.read(65536):
                    pass
                return
            writer.write(answer)
            await writer.drain()

    async def answer(self, path, query, body):
        topic = query.get("topic", "")
        log = self.logs[topic]
        if path == "/log-append":
            position = 0
            offset = len(log)
            while position < len(body):
                (size,) = struct.unpack_from(">I", body, position)
                content = body[position + 4:position + 4 + size]
                position += 4 + size
                key_end = 1 + content[0]
                self.put(topic, content[1:key_end].decode(), content[key_end:])
            return http_message(200, [], json.dumps(
                {"offset": offset, "end": len(log)}).encode())
        if path == "/log-newest":
            newest = {}
            for number, (key, value) in enumerate(log):
                newest[key] = (number, value)
            keys = sorted(
                key for key, (_, value) in newest.items()
                if value and key > query.get("after", "")
            )
            items = [
                {"key": key, "offset": newest[key][0],
                 "value": base64.b64encode(newest[key][1]).decode()}
                for key in keys[:500]
            ]
            page = {"items": items, "more": len(keys) > 500, "end": len(log)}
            return http_message(
                200, [("Content-Type", "application/json")],
                json.dumps(page).encode())
        if path == "/log-read":
            start = int(query["from"])
            wait_s = int(query.get("wait_ms", 0)) / 1000
            deadline = time.monotonic() + wait_s
            while start >= len(log) and time.monotonic() < deadline:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(
                        self.changed.wait(), deadline - time.monotonic())
            data = struct.pack(">QQ", len(log), 0)
            for key, value in log[start:]:
                content = bytes([len(key.encode())]) + key.encode() + value
                data += struct.pack(">I", len(content)) + content
            return http_message(200, [], data)
        return http_message(404, [], b"{}")


class Replica(Server):
    """A replica; handle() is given a request and writes its answer."""

    def __init__(self, name, service, zone, record, handle, ip="127.0.0.1"):
        super().__init__(ip)
        self.name, self.service, self.zone = name, service, zone
        self.record, self.handle = record, handle
        self.slots = 6
        self.ran = []
        self.is_removed = False
        # Serves a request whose body need not have arrived; tells whether the
        # channel has ended.
        self.early = None

    def entry(self, state="ready"):
        return {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "cold_remaining_ms": 0, "seq": 1,
        }

    async def serve_connection(self, reader, writer):
        while True:
            if self.early is not None:
                if await self.early(self, reader, writer):
                    return
                continue
            message = await read_message(reader)
            if message is None:
                return
            first, headers, body = message
            if headers.get("expect-instance", self.name) != self.name:
                writer.write(http_message(421, [("Not-Executed", "1")]))
                await writer.drain()
                continue
            await self.handle(self, first, headers, body, reader, writer)
            await writer.drain()

    def note_run(self, headers, first):
        request_id = headers["attempt-id"]
        self.ran.append(request_id)
        self.record("run", request_id, "at", self.name, first)

    def head(self, headers):
        return [
            ("Attempt-Id", headers["attempt-id"]),
            ("Response-Seal", "3e1b." + headers["attempt-id"]),
        ]


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Answer:
    """What a client saw of the answer to one request."""

    def __init__(self):
        self.status = 0
        self.headers = Headers()
        self.body = b""
        self.is_complete = False
        self.end = ""

    def __str__(self):
        whole = "complete" if self.is_complete else f"cut ({self.end})"
        return f"{self.status or 'no answer'} {len(self.body)} bytes {whole}"


class Client:
    """A client's channel to a daemon."""

    def __init__(self, address, receive_buffer=0, ip=""):
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.receive_buffer = receive_buffer
        self.served = 0

    async def connect(self):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Segments as on Ethernet; loopback's are 64 KB.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        if self.receive_buffer:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await asyncio.wait_for(
            loop.sock_connect(sock, (self.host, self.port)), 5)
        limit = 4096 if self.receive_buffer else 1 << 20
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=limit)
        return self

    def send(self, method, path, host, request_id, deadline_ms, body=b"",
             headers=()):
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {host}",
            f"Attempt-Id: {request_id}", f"Deadline-Ms: {deadline_ms}",
            "Authorization: Bearer k1",
        ]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(
            ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    async def receive(self, rate_bytes_s=0):
        """Read one answer, at a rate if one is given."""
        answer = Answer()
        started = time.monotonic()
        count = 0

        async def some(size):
            nonlocal count
            data = await self.reader.read(size)
            if not data:
                raise ConnectionResetError("closed")
            count += len(data)
            if rate_bytes_s:
                ahead = count / rate_bytes_s - (time.monotonic() - started)
                if ahead > 0:
                    await asyncio.sleep(ahead)
            return data

        try:
            head = b""
            while not head.endswith(b"\r\n\r\n"):
                head += await some(1)
            first, *lines = head[:-4].decode("latin-1").split("\r\n")
            answer.status = int(first.split(" ")[1])
            for line in lines:
                name, _, value = line.partition(":")
                answer.headers[name.lower()] = value.strip()
            if "content-length" in answer.headers:
                size = int(answer.headers["content-length"])
                while len(answer.body) < size:
                    answer.body += await some(min(2048, size - len(answer.body)))
            elif answer.headers.get("transfer-encoding") == "chunked":
                while True:
                    line = b""
                    while not line.endswith(b"\r\n"):
                        line += await some(1)
                    size = int(line, 16)
                    data = b""
                    while len(data) < size + 2:
                        data += await some(min(2048, size + 2 - len(data)))
                    if not size:
                        break
                    answer.body += data[:-2]
            answer.is_complete = True
            self.served += 1
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.end = type(error).__name__
        return answer

    def close(self):
        with contextlib.suppress(Exception):
            self.writer.close()


def free_ports(ips, count):
    """Return ports that are free on all the addresses."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10_000, 30_000)
        if port in ports:
            continue
        try:
            for ip in ips:
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        ports.append(port)
    return ports


class Daemon:
    """One daemon, started by the run line of the deploy file."""

    def __init__(self, number, ip, ports, zone, seeds, store, folder, limits):
        self.name = f"edge-{number}"
        frontend, readiness, control, directory, peer, metrics = ports
        self.frontend = f"{ip}:{frontend}"
        self.readiness = f"{ip}:{readiness}"
        self.directory = f"{ip}:{directory}"
        self.metrics = f"{ip}:{metrics}"
        self.process = None
        self.log_path = Path(folder) / f"{self.name}.log"
        self.settings_path = Path(folder) / f"{self.name}.json"
        self.settings_path.write_text(json.dumps({
            "node_name": self.name, "role": "entry", "machine_class": "edge",
            "serves": ["edge", "control_plane", "registry"],
            "ip": ip, "zone": zone, "region": ZONES[zone], "zones": ZONES,
            "listen": {
                "frontend": self.frontend, "readiness": self.readiness,
                "control": f"{ip}:{control}", "directory": self.directory,
            },
            "internal_ports": [peer, metrics],
            "seeds": [f"{seed}:{control}" for seed in seeds],
            "bootstrap": True, "loss_counts": False,
            "limits": limits, "data_dir": None, "discovery": "platform",
            "entry": "registry", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "engine", "stream", "tenants",
                          "platform", "stages"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store.address, "form": "log",
                "writes_per_s": 400, "reads_per_s": 2000, "parts": 8,
                "append_ms": 4.0, "part_mb_s": 20.0, "read_mb_s": 80.0,
                "record_bytes": 262144, "call_bytes": 2097152,
                "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
            },
        }))

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BERYLCART_SETTINGS"] = str(self.settings_path)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def get(self, address, path):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n"
                     "Connection: close\r\n\r\n".encode())
        try:
            first, _, body = await read_message(reader)
        finally:
            writer.close()
        return int(first.split(" ")[1]), body

    async def wait_ready(self):
        for _ in range(200):
            try:
                status, _ = await self.get(self.readiness, "/readyz")
                if status == 200:
                    return
            except (OSError, TypeError):
                pass
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended: {self.log_path.read_text()[-2000:]}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    def resident_mb(self):
        """Return the resident memory of the process."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0


class World:
    """A small deployment: a store, replicas and some daemons."""

    def __init__(self, folder, daemons=3, memory_mb=300):
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="case-")
        self.store = Store()
        self.replicas = []
        self.daemons = []
        self.count = daemons
        self.limits = {
            "cpu_share": 0.537, "cores": 2, "memory_mb": memory_mb,
            "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0,
        }

    async def start(self, manifest, replicas):
        await self.store.start()
        for replica in replicas:
            await replica.start()
            self.replicas.append(replica)
            self.store.put("keyed.servers", replica.name, replica.entry())
        self.store.put("keyed.op", "config", manifest)
        self.tasks = [asyncio.create_task(self.beat())]
        base = random.SystemRandom().randrange(10, 250)
        ips = [f"127.0.{base}.{number + 1}" for number in range(self.count)]
        ports = free_ports(ips, 6)
        for number, ip in enumerate(ips):
            zone = list(ZONES)[number % len(ZONES)]
            self.daemons.append(Daemon(
                number + 1, ip, ports, zone, ips[:3], self.store,
                self.temporary, self.limits))
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await asyncio.gather(*(daemon.wait_ready() for daemon in self.daemons))
        for _ in range(100):
            lists = [
                json.loads((await daemon.get(
                    daemon.directory,
                    "/resolve?name=h&region=region-1&zone=hall-a"))[1])
                for daemon in self.daemons
            ]
            if all(len(each.get("addresses", ())) == self.count for each in lists):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the daemons do not list one another")

    async def beat(self):
        """Have each replica check in."""
        seq = 1
        while True:
            await asyncio.sleep(1.2)
            seq += 1
            for replica in self.replicas:
                if replica.is_removed or self.store.is_silent:
                    continue
                self.store.put(
                    "keyed.servers", replica.name,
                    {**replica.entry(), "seq": seq})

    async def stop(self):
        tasks = getattr(self, "tasks", ())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for daemon in self.daemons:
            await daemon.stop()
        for server in (self.store, *self.replicas):
            with contextlib.suppress(Exception):
                await server.stop()
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)
        await asyncio.sleep(0.1)


def manifest(routes, services, version=7, body_bytes=4194304):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": body_bytes,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "counter", "api_keys": ["k1"], "priority": 0}],
    }


def run_case(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if not, else 2."""

    async def main():
        try:
            return await asyncio.wait_for(case(), 110)
        except CannotRun as error:
            print(f"cannot run: {error}")
            return 2

    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.exit(code)
