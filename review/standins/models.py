"""Stand in for model replicas that stream events at a fixed pace."""

import asyncio

from replicas import Replica

FIRST_EVENT_S = 0.3
GAP_S = 0.1


class StreamReplica(Replica):
    """Stream as many events as Token-Count asks for, from Last-Event-Id on.

    Each event holds one token. While is_paused is set, the replica makes no
    event: it reads in a long prompt.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.is_paused = False
        self.at_work = {}

    async def run(self, request, connection):
        """Run a request."""
        attempt = request.header("attempt-id")
        count = int(request.header("token-count").split(",")[1])
        first = int(request.header("last-event-id") or "0") + 1
        self.at_work[attempt] = asyncio.get_running_loop().time()
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            await self.start_stream(request, connection)
            for number in range(first, count + 1):
                while self.is_paused:
                    await asyncio.sleep(0.02)
                await self.send_event(connection, number)
                await asyncio.sleep(GAP_S)
            await connection.send(b"0\r\n\r\n")
        finally:
            del self.at_work[attempt]
        self.note(f"{attempt} ends")
        return


def stream_manifest(version, host, **route_fields):
    """Return a manifest with one streaming route to the service pool."""
    from deployment import LIMITS

    route = {
        "name": "r-care",
        "host": host,
        "path_prefix": "/care/",
        "route_type": "streaming",
        "timeout_ms": 15000,
        "target_latency_ms": 1700,
        "priority": 2,
        "service": "pool",
        "max_attempts": 1,
        "stages": [],
        "public": False,
        "sticky": True,
        "resumable": False,
        "target_gap_ms": 200,
    }
    slots = route_fields.pop("slots")
    return {
        "version": version,
        "routes": [{**route, **route_fields}],
        "services": [
            {
                "name": "pool",
                "health_path": "/healthz",
                "max_connections": 360,
                "engine": {"slots": slots, "kv_capacity": 613660},
            }
        ],
        "limits": LIMITS,
        "tenants": [{"name": "counter", "api_keys": ["key"], "priority": 1}],
    }


def stream_headers(host, attempt, tokens):
    """Return the headers of a request for so many tokens."""
    return [
        ("Host", host),
        ("Attempt-Id", attempt),
        ("Model", "m"),
        ("Token-Count", f"400,{tokens}"),
        ("Prefix-Hash", f"a{attempt[-8:]}:300,b{attempt[-8:]}:100"),
        ("Deadline-Ms", "15000"),
        ("Authorization", "Bearer key"),
    ]
