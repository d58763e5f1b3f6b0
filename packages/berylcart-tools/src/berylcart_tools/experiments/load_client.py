"""Open-loop load generator that validates every answer."""

import json
from collections.abc import Sequence
from random import Random
from typing import Any, NamedTuple

import anyio
from berylcart.protocol.json_codec import MessageError
from berylcart.protocol.sse import EventParser
from berylcart.state.errors import Code
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpStreamingResponse,
)
from pydantic_core import from_json

from berylcart_tools.experiments.arrivals import Arrival
from berylcart_tools.experiments.outcomes import Outcome, StageSample

MS_PER_S = 1000
NO_RESPONSE = -1
STATUS_OK = 200
CLIENT_TIMEOUT_MARGIN_MS = 1000
ENTRIES_TIMEOUT_MS = 500
ENTRY_UNAVAILABLE_CODES = (Code.DRAINING, Code.NOT_READY, Code.CONFIG_STALE)
EMPTY_ANSWER: dict[str, Any] = {}


class CallResult(NamedTuple):
    """Hold the response to one call."""

    code: int
    answer: dict[str, Any] = EMPTY_ANSWER
    first_token_ms: float | None = None
    texts: tuple[str, ...] = ()


class EntryCache:
    """Cache the entries that the daemons list for each workspace."""

    def __init__(
        self, client: HttpClient, seeds: Sequence[str], random: Random
    ) -> None:
        self.client = client
        self.seeds = tuple(seeds)
        self.random = random
        self.entries: dict[str, tuple[str, ...]] = {}
        self.refresh_at_s: dict[str, float] = {}

    async def pick(self, workspace: str) -> str:
        """Return a random entry for a workspace, or a seed if it has none."""
        if anyio.current_time() >= self.refresh_at_s.get(workspace, 0.0):
            self.refresh_at_s[workspace] = anyio.current_time() + 1.0
            await self.refresh(workspace)
        return self.random.choice(self.entries.get(workspace) or self.seeds)

    async def refresh(self, workspace: str) -> None:
        """Fetch the entry list, trying the seeds in random order."""
        path = f"/v1/entries?workspace={workspace}"
        for seed in self.random.sample(self.seeds, len(self.seeds)):
            request = HttpRequest(
                "GET", seed, path, timeout_ms=ENTRIES_TIMEOUT_MS
            )
            try:
                answer = await self.client.request(request)
                listing = from_json(answer.body)
                entries = tuple(e["address"] for e in listing["entries"])
                cache_ms = listing["keep_ms"]
            except (HttpError, ValueError, KeyError, TypeError):
                continue
            if entries:
                self.entries[workspace] = entries
                until_s = anyio.current_time() + cache_ms / MS_PER_S
                self.refresh_at_s[workspace] = until_s
                return

    def drop(self, workspace: str, address: str) -> None:
        """Remove an unavailable entry until the next refresh."""
        entries = self.entries.get(workspace, ())
        self.entries[workspace] = tuple(e for e in entries if e != address)


def make_request(address: str, arrival: Arrival) -> HttpRequest:
    """Build the HTTP request of one call."""
    kind = arrival.kind
    headers = [
        ("Workspace", arrival.workspace),
        ("Deadline-Ms", str(kind.deadline_ms)),
        ("Content-Type", "application/json"),
    ]
    if kind.is_keyed:
        headers.append(("Idempotency-Key", make_idempotency_key(arrival)))
    if kind.is_stream:
        headers.append(("Accept", "text/event-stream"))
    path = "pipelines" if kind.is_pipeline else "services"
    return HttpRequest(
        "POST",
        address,
        f"/v1/{path}/{kind.target}",
        json.dumps(arrival.payload).encode(),
        tuple(headers),
        kind.deadline_ms + CLIENT_TIMEOUT_MARGIN_MS,
    )


def make_idempotency_key(arrival: Arrival) -> str:
    """Return an idempotency key that is unique to the call within a run."""
    return f"{arrival.workspace}-{arrival.kind.target}-{arrival.number}"


async def read_stream(
    stream: HttpStreamingResponse, sent_s: float
) -> CallResult:
    """Read an event stream up to its done or error event.

    A missing final event or a gap in the event ids counts as no response.
    """
    parser = EventParser()
    texts: list[str] = []
    first_token_ms = None
    async for part in stream.chunks:
        for event in parser.feed(part):
            data = from_json(event.data)
            if event.name == "error":
                return CallResult(int(data["code"]))
            if event.name == "done":
                return CallResult(0, data, first_token_ms, tuple(texts))
            if first_token_ms is None:
                first_token_ms = (anyio.current_time() - sent_s) * MS_PER_S
            if int(event.event_id) != len(texts):
                return CallResult(NO_RESPONSE)
            texts.append(data["text"])
    return CallResult(NO_RESPONSE)


async def read_result(
    stream: HttpStreamingResponse, sent_s: float
) -> CallResult:
    """Read a streamed answer, a JSON answer or an error."""
    if stream.status == STATUS_OK:
        kind = stream.headers.get("content-type", "")
        if kind.startswith("text/event-stream"):
            return await read_stream(stream, sent_s)
        return CallResult(0, from_json(await stream.read_body()))
    return CallResult(int(from_json(await stream.read_body())["code"]))


def is_whole(arrival: Arrival, received: CallResult) -> bool:
    """Check that an answer is complete and matches the call's parameters."""
    if received.code != 0:
        return False
    output = received.answer.get("output")
    tokens = arrival.payload.get("max_tokens")
    if tokens is None:
        return output is not None
    stages = received.answer.get("stages", [])
    if not isinstance(output, dict) or not stages:
        return False
    text = output.get("text")
    if arrival.kind.is_stream and text != "".join(received.texts):
        return False
    return bool(text) and stages[-1]["tokens"] <= tokens


def read_stage_samples(received: CallResult) -> tuple[StageSample, ...]:
    """Extract the latency, attempts and cost of each stage."""
    return tuple(
        StageSample(
            stage["service"],
            stage["latency_ms"],
            stage["attempts"],
            stage["seconds"],
        )
        for stage in received.answer.get("stages", [])
    )


class LoadClient:
    """Send calls at their scheduled times, regardless of earlier responses."""

    def __init__(self, entries: EntryCache, delay_ms: float = 0.0) -> None:
        self.entries = entries
        self.clients: dict[str, HttpClient] = {}
        self.delay_s = delay_ms / MS_PER_S
        self.outcomes: list[Outcome] = []

    async def run(
        self,
        arrivals: Sequence[Arrival],
        start_s: float | None = None,
    ) -> list[Outcome]:
        """Send all calls, timed from start_s or now; return the outcomes."""
        if start_s is None:
            start_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for arrival in arrivals:
                await anyio.sleep_until(start_s + arrival.at_s)
                tasks.start_soon(self.call, arrival, start_s + arrival.at_s)
        return self.outcomes

    async def call(self, arrival: Arrival, scheduled_s: float) -> None:
        """Send one call to an entry and record its outcome."""
        address = await self.entries.pick(arrival.workspace)
        sent_s = anyio.current_time()
        await anyio.sleep(self.delay_s)
        received = await self.send(arrival, address)
        await anyio.sleep(self.delay_s)
        if received.code in (NO_RESPONSE, *ENTRY_UNAVAILABLE_CODES):
            self.entries.drop(arrival.workspace, address)
        self.outcomes.append(
            make_outcome(arrival, received, scheduled_s, sent_s)
        )

    def client_for(self, address: str) -> HttpClient:
        """Return an entry's HTTP client; one large pool is slow to search."""
        if address not in self.clients:
            self.clients[address] = HttpClient()
        return self.clients[address]

    async def aclose(self) -> None:
        """Close the connections to all entries."""
        for client in self.clients.values():
            await client.aclose()

    async def send(self, arrival: Arrival, address: str) -> CallResult:
        """Send one call to an entry; return NO_RESPONSE if it fails."""
        sent_s = anyio.current_time()
        try:
            request = make_request(address, arrival)
            async with self.client_for(address).stream(request) as stream:
                return await read_result(stream, sent_s)
        except (HttpError, MessageError, ValueError, KeyError, TypeError):
            return CallResult(NO_RESPONSE)


def make_outcome(
    arrival: Arrival, received: CallResult, scheduled_s: float, sent_s: float
) -> Outcome:
    """Build the outcome of a call; latency counts from the scheduled time."""
    kind = arrival.kind
    return Outcome(
        workspace=arrival.workspace,
        target=kind.target,
        at_s=arrival.at_s,
        latency_ms=(anyio.current_time() - scheduled_s) * MS_PER_S,
        lag_ms=max(0.0, (sent_s - scheduled_s) * MS_PER_S),
        deadline_ms=kind.deadline_ms,
        code=received.code,
        is_whole=is_whole(arrival, received),
        first_token_ms=received.first_token_ms,
        stages=read_stage_samples(received),
    )
