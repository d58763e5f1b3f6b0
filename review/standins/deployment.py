"""Start a small deployment of the project's daemons beside the stand-ins."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from store import Store
from web import Client

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("hall-gulberg", "hall-johar", "hall-model")
REGION = "lahore"
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "revoke_strict": False,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 54,
    "recover_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "ttl_max_s": 5,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
BROKEN, HELD, NOT_RUN = 1, 0, 2


def free_ports(ips, count):
    """Return ports that are free on all of some addresses."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        if port in found:
            continue
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    return found


def run_line():
    """Return the words of the deploy file's run line."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    (role,) = tomllib.loads(text)["roles"].values()
    return role["run"].split()


class Deployment:
    """Hold the store, the replicas and the daemons of one case."""

    def __init__(self, folder, daemons=3):
        self.folder = Path(folder)
        self.ips = [f"127.0.0.{11 + number}" for number in range(daemons)]
        self.replica_ip = "127.0.0.101"
        self.store = Store("127.0.0.100")
        self.replicas = []
        self.results = {}
        self.result_makers = {}
        self.processes = {}
        self.settings = {}
        self.tasks = []
        self.started_s = time.monotonic()
        self.record = (self.folder / "record.txt").open(
            "w", encoding="utf-8", buffering=1
        )
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")

    def note(self, text):
        """Write a line of the record, with the time since the start."""
        elapsed_s = time.monotonic() - self.started_s
        self.record.write(f"{elapsed_s:9.3f} {text}\n")

    def add_result(self, replica, item):
        """Register a new result and return its handle."""
        handle = f"{replica.address}/{len(self.result_makers):012x}"
        self.results[handle] = item
        self.result_makers[handle] = item
        return handle

    def make_settings(self):
        """Write the settings file of each daemon."""
        first, *others = free_ports(self.ips, 6)
        names = ("frontend", "readiness", "control", "directory")
        last = others.pop()
        ports = dict(zip(names, others, strict=True))
        seeds = [f"{ip}:{ports['control']}" for ip in self.ips[:3]]
        for number, ip in enumerate(self.ips):
            name = f"edge-{ZONES[number]}-1"
            settings = {
                "node_name": name,
                "role": "entry",
                "machine_class": "edge",
                "serves": ["edge", "control_plane", "registry"],
                "ip": ip,
                "zone": ZONES[number],
                "region": REGION,
                "zones": dict.fromkeys(ZONES, REGION),
                "listen": {key: f"{ip}:{ports[key]}" for key in names},
                "internal_ports": [first, last],
                "seeds": seeds,
                "bootstrap": True,
                "loss_counts": False,
                "limits": {
                    "cpu_share": 0.537,
                    "cores": 2,
                    "memory_mb": 300,
                    "max_fds": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 0,
                },
                "data_dir": None,
                "discovery": "platform",
                "entry": "registry",
                "heartbeat_ms": 1200,
                "contracts": [],
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": BOUNDS,
                "platform": {
                    "address": self.store.address,
                    "form": "log",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "parts": 8,
                    "append_ms": 4.0,
                    "part_mb_s": 20.0,
                    "read_mb_s": 80.0,
                    "record_bytes": 262144,
                    "call_bytes": 2097152,
                    "keep_s": 300,
                    "part_mb": 200,
                    "ttl_min_ms": 1000,
                },
            }
            path = Path(self.scratch.name) / f"{name}.json"
            path.write_text(json.dumps(settings), encoding="utf-8")
            self.settings[name] = settings

    async def put_manifest(self, manifest):
        """Write a manifest as the operator; return the time of the ack."""
        text = json.dumps(manifest).encode()
        await self.store.put("keyed.op", "config", text)
        self.note(f"operator: version {manifest['version']} is acknowledged")
        return asyncio.get_running_loop().time()

    async def start(self, manifest, replicas):
        """Start all stand-ins, then the daemons, until all are ready."""
        await self.store.start()
        await self.put_manifest(manifest)
        for replica in replicas:
            await replica.start()
            await replica.write_entry()
            self.replicas.append(replica)
            self.tasks.append(asyncio.ensure_future(replica.register()))
        self.make_settings()
        for name in self.settings:
            await self.start_daemon(name)
        for name in self.settings:
            await self.wait_ready(name)
        await asyncio.sleep(2.0)

    async def start_daemon(self, name):
        """Start one daemon with the deploy file's command."""
        path = Path(self.scratch.name)
        log = (path / f"{name}.log").open("ab")
        words = run_line()
        self.processes[name] = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/tmp"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "BERYLCART_SETTINGS": str(path / f"{name}.json"),
                "PYTHONPATH": "target/deps",
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.note(f"platform: starts {name}")

    def address(self, name, what="frontend"):
        """Return an address on which a daemon listens."""
        return self.settings[name]["listen"][what]

    async def wait_ready(self, name):
        """Wait until a daemon says that it is ready."""
        async with asyncio.timeout(30):
            while True:
                client = Client(self.address(name, "readiness"))
                try:
                    answer = await client.call(
                        "GET", "/readyz", [("Host", "x")], limit_s=1.0
                    )
                finally:
                    client.close()
                if answer.status == 200:
                    self.note(f"platform: {name} is ready")
                    return
                await asyncio.sleep(0.1)

    def signal(self, name, number):
        """Send a signal to a daemon."""
        self.note(f"platform: {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def log_lines(self, name):
        """Return the lines of a daemon's log."""
        path = Path(self.scratch.name) / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace").split("\n")

    async def stop(self):
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for server in (self.store, *self.replicas):
            server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for name in self.settings:
                lines = "\n".join(self.log_lines(name))
                Path(keep, f"{name}.log").write_text(lines, encoding="utf-8")
        self.record.close()
        self.scratch.cleanup()


def run_case(folder, case, has_trouble):
    """Run case(deployment, has_trouble) and exit with what it returns."""

    async def play():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(115):
                return await case(deployment, has_trouble)
        finally:
            await deployment.stop()

    try:
        status = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        sys.stderr.write(f"could not run: {type(error).__name__}: {error}\n")
        status = NOT_RUN
    sys.exit(status)
