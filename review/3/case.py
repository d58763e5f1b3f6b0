"""Stop one daemon while requests of its clients wait at full replicas."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import BOUNDS, BROKEN, HELD, NOT_RUN, run_case  # noqa: E402
from models import (  # noqa: E402
    StreamReplica,
    stream_headers,
    stream_manifest,
)
from web import Client  # noqa: E402

HOST = "care.example"
SLOTS = 8
GRACE_S = BOUNDS["grace_s"]
# Long enough to end 7.9 s after the stop.
LONG_TOKENS = 94
SHORT_TOKENS = 10
SPACING_S = 0.2
QUEUED = 4
# How long clients wait for a first event: four times the objective.
PATIENCE_S = 4 * 1.7


async def resolve(deployment, asked):
    """Ask a daemon where to connect."""
    client = Client(deployment.address(asked, "directory"))
    answer = await client.call(
        "GET",
        f"/resolve?name={HOST}&region=lahore&zone=hall-gulberg",
        [("Host", "x")],
    )
    client.close()
    page = json.loads(answer.body)
    deployment.note(f"client: {asked} names {page}")
    return page


async def send(deployment, name, attempt, tokens, client=None):
    """Send one request, on a new channel if none is given."""
    is_kept = client is not None
    client = client or Client(deployment.address(name))
    answer = await client.call(
        "POST",
        "/care/reply",
        stream_headers(HOST, attempt, tokens),
        b"p" * 400,
    )
    if not is_kept:
        client.close()
    deployment.note(f"client: {attempt} at {name}: {answer.describe()}")
    return attempt, answer


async def case(deployment, has_trouble):
    """Play the case; return whether the rule was broken."""
    loop = asyncio.get_running_loop()
    replicas = [
        StreamReplica(
            deployment,
            "i-pool-0",
            "pool",
            "hall-gulberg",
            deployment.replica_ip,
            slots=SLOTS,
            queue=16,
        )
    ]
    await deployment.start(stream_manifest(7, HOST, slots=SLOTS), replicas)
    stopped, *others = deployment.settings
    # Four clients keep their channels to the daemon that will be stopped.
    kept = [Client(deployment.address(stopped)) for _ in range(QUEUED)]
    for number, client in enumerate(kept):
        await send(deployment, stopped, f"{200 + number:016x}", 1, client)
    if any(client.writer is None for client in kept):
        return NOT_RUN
    long_ones = []
    for number in range(SLOTS):
        tokens = LONG_TOKENS - int(SPACING_S * number * 10)
        name = others[number % len(others)]
        task = send(deployment, name, f"{number:016x}", tokens)
        long_ones.append(asyncio.ensure_future(task))
        await asyncio.sleep(SPACING_S)
    await asyncio.sleep(0.4)
    running = sum(len(each.at_work) for each in replicas)
    if running < SLOTS:
        deployment.note(f"only {running} requests run")
        return NOT_RUN
    # The list's ttl_s is 1; some clients keep a list three times as long.
    page = await resolve(deployment, others[0])
    if deployment.address(stopped) not in page["addresses"]:
        return NOT_RUN
    listed_s = loop.time()
    await asyncio.sleep(0.3)
    stop_s = loop.time()
    if has_trouble:
        deployment.signal(stopped, signal.SIGTERM)
    await asyncio.sleep(2.0)
    deployment.note(
        f"client: its list is {loop.time() - listed_s:.1f} s old, "
        f"ttl_s {page['ttl_s']}"
    )
    queued = [
        asyncio.ensure_future(
            send(
                deployment,
                stopped,
                f"{100 + number:016x}",
                SHORT_TOKENS,
                client,
            )
        )
        for number, client in enumerate(kept)
    ]
    answers = await asyncio.gather(*queued)
    await asyncio.gather(*long_ones)
    broken = 0
    for attempt, answer in answers:
        arrived = any(
            request.header("attempt-id") == attempt
            for each in replicas
            for request in each.arrivals
        )
        began = any(
            request.header("attempt-id") == attempt and at_s < answer.ended_s
            for each in replicas
            for at_s, request in each.runs
        )
        waited_s = answer.ended_s - answer.sent_s
        is_lost = (
            arrived
            and not began
            and not answer.is_complete
            and not answer.is_timed_out
            and waited_s < PATIENCE_S
            and answer.sent_s < stop_s + 3.0
            and answer.ended_s < stop_s + GRACE_S + 1.0
        )
        broken += is_lost
        deployment.note(
            f"{attempt}: sent {answer.sent_s - stop_s:.1f} s after the stop, "
            f"reached a replica: {arrived}, begun there: {began}, ended "
            f"{answer.ended_s - stop_s:.1f} s after the stop: "
            f"{answer.describe()}" + (" LOST" if is_lost else "")
        )
    deployment.note(f"{broken} of {QUEUED} requests lost")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run_case(HERE, case, os.environ.get("TROUBLE") != "0")
