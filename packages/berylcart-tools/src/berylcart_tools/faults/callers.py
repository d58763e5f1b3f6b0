"""Generate client requests and record every request and its answer."""

import random
from collections.abc import Mapping
from typing import Any, NamedTuple

import anyio
from berylcart.coordination.serving.stage_payload import prompt_of
from berylcart.state.errors import BerylcartError
from berylcart.transport.http_client import HttpClient, HttpError

from berylcart_tools.caller import (
    CallRequest,
    call_stream,
    call_unary,
    fetch_entries,
)
from berylcart_tools.experiments.deployments import PIPELINE
from berylcart_tools.faults.recorder import Recorder, monotonic_ms
from berylcart_tools.history.events import AnswerEvent, SendEvent
from berylcart_tools.standins.pool import (
    embed,
    find_documents,
    rerank_documents,
)
from berylcart_tools.standins.tokens import generated_text

DEADLINE_MS = 2500
MAX_SENDS_PER_BOOKING = 5
MAX_TOKENS = 12
MAX_RETRY_DELAY_S = 0.4
DEFAULT_RETRY_DELAY_S = 0.1
ENTRY_LIST_TTL_S = 1.0


class Workload(NamedTuple):
    """Define what clients request and how long they wait in between."""

    workspaces: tuple[str, ...]
    keyed_service: str
    clients: int
    think_time_s: float


def expected_pipeline_text(text: str) -> str:
    """Compute the output text that the pipeline must return for a text."""
    documents = rerank_documents(find_documents(embed(text)), text)
    prompt = prompt_of({"text": text, "documents": documents})
    return generated_text(prompt, MAX_TOKENS)


def expected_stream_text(prompt: str) -> str:
    """Compute the concatenated text that the model must stream."""
    return generated_text(prompt, MAX_TOKENS)


class Client:
    """Send requests one after another and record each of them."""

    def __init__(
        self,
        name: str,
        workload: Workload,
        recorder: Recorder,
        entry_names_by_address: Mapping[str, str],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.workload = workload
        self.recorder = recorder
        self.entry_names_by_address = entry_names_by_address
        self.rng = rng
        self.entries: list[str] = []
        self.fetched_at_s = float("-inf")
        self.request_count = 0

    async def run(self, stop: anyio.Event) -> None:
        """Send requests until stop is set; the last request is completed."""
        async with HttpClient() as client:
            while not stop.is_set():
                await self.send_random_request(client)
                await anyio.sleep(self.workload.think_time_s)

    async def send_random_request(self, client: HttpClient) -> None:
        """Send a booking, a pipeline request or a stream request at random."""
        self.request_count += 1
        unique_text = f"{self.name}-{self.request_count}"
        draw = self.rng.random()
        if draw < 0.5:
            await self.send_booking(client, unique_text)
        elif draw < 0.75:
            await self.send_pipeline_request(client, unique_text)
        else:
            await self.send_stream_request(client, unique_text)

    async def send_booking(self, client: HttpClient, unique_text: str) -> None:
        """Send one booking, with a bounded number of retries.

        To provoke duplicates, 30% of bookings are first sent twice
        concurrently, and 30% are sent again after the last attempt.
        """
        call = CallRequest(
            self.rng.choice(self.workload.workspaces),
            self.workload.keyed_service,
            {"slot": unique_text},
            is_pipeline=False,
            deadline_ms=DEADLINE_MS,
            idempotency_key=unique_text,
        )
        if self.rng.random() < 0.3:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send, client, call, unique_text)
                tasks.start_soon(self.send, client, call, unique_text)
        for _ in range(MAX_SENDS_PER_BOOKING):
            error = await self.send(client, call, unique_text)
            if error is None:
                break
            await anyio.sleep(retry_delay_s(error))
        if self.rng.random() < 0.3:
            await self.send(client, call, unique_text)

    async def send_pipeline_request(
        self, client: HttpClient, unique_text: str
    ) -> None:
        """Send one pipeline request."""
        call = CallRequest(
            self.rng.choice(self.workload.workspaces),
            PIPELINE,
            {"text": unique_text, "max_tokens": MAX_TOKENS},
            deadline_ms=DEADLINE_MS,
        )
        await self.send(client, call, expected_pipeline_text(unique_text))

    async def send_stream_request(
        self, client: HttpClient, unique_text: str
    ) -> None:
        """Send one streaming request to the model."""
        call = CallRequest(
            self.rng.choice(self.workload.workspaces),
            "model",
            {"prompt": unique_text, "max_tokens": MAX_TOKENS},
            is_pipeline=False,
            deadline_ms=DEADLINE_MS,
        )
        expected = expected_stream_text(unique_text)
        await self.send(client, call, expected, is_stream=True)

    async def send(
        self,
        client: HttpClient,
        call: CallRequest,
        expected: str,
        *,
        is_stream: bool = False,
    ) -> BerylcartError | None:
        """Send a request once, record it with its answer, return any error."""
        address = await self.next_entry(client, call.workspace)
        send_id = self.recorder.next_send_id()
        call = call._replace(request_id=send_id)
        self.record_send(send_id, call, expected)
        try:
            if is_stream:
                output = await collect_stream_text(client, address, call)
            else:
                answer = await call_unary(client, address, call)
                output = answer["output"]
        except BerylcartError as error:
            self.record_error(send_id, address, error)
            return error
        self.record_complete_answer(send_id, address, output)
        return None

    def record_send(
        self, send_id: str, call: CallRequest, expected: str
    ) -> None:
        """Record a request and the output that its answer must contain."""
        event = SendEvent(
            kind="send",
            at_ms=monotonic_ms(),
            send_id=send_id,
            client=self.name,
            workspace=call.workspace,
            expected=expected,
        )
        if call.idempotency_key:
            event["key"] = call.idempotency_key
        self.recorder.add(event)

    def record_error(
        self, send_id: str, address: str, error: BerylcartError
    ) -> None:
        """Record an error answer or a lost connection."""
        event = AnswerEvent(
            kind="answer",
            at_ms=monotonic_ms(),
            send_id=send_id,
            client=self.name,
            status="error",
            entry=self.entry_names_by_address.get(address, address),
        )
        if isinstance(error, HttpError):
            event["status"] = "cut"
            if not error.is_sent:
                event["ran"] = "no"
        else:
            event["ran"] = error.ran.value
            event["code"] = int(error.code)
        self.recorder.add(event)

    def record_complete_answer(
        self, send_id: str, address: str, output: Any
    ) -> None:
        """Record a complete answer and its output."""
        event = AnswerEvent(
            kind="answer",
            at_ms=monotonic_ms(),
            send_id=send_id,
            client=self.name,
            status="whole",
            ran="yes",
            output=comparable_output(output),
            entry=self.entry_names_by_address.get(address, address),
        )
        self.recorder.add(event)

    async def next_entry(self, client: HttpClient, workspace: str) -> str:
        """Return the next address of the cached entry list, round robin."""
        age_s = anyio.current_time() - self.fetched_at_s
        if age_s > ENTRY_LIST_TTL_S or not self.entries:
            await self.fetch_entries(client, workspace)
        self.entries.append(self.entries.pop(0))
        return self.entries[-1]

    async def fetch_entries(self, client: HttpClient, workspace: str) -> None:
        """Fetch the list from one of three entries, or keep the old list."""
        for address in self.rng.sample(sorted(self.entry_names_by_address), 3):
            try:
                entries = await fetch_entries(client, address, workspace)
            except BerylcartError:
                continue
            self.entries = [entry.address for entry in entries]
            self.rng.shuffle(self.entries)
            self.fetched_at_s = anyio.current_time()
            return
        if not self.entries:
            self.entries = list(self.entry_names_by_address)


def comparable_output(output: dict[str, Any]) -> Any:
    """Return the part of an output to compare: its text or booked slot.

    >>> comparable_output({"call": 1, "done": {"slot": "c1-1"}})
    'c1-1'
    """
    if "text" in output:
        return output["text"]
    return output.get("done", {}).get("slot")


async def collect_stream_text(
    client: HttpClient, address: str, call: CallRequest
) -> dict[str, Any]:
    """Concatenate the tokens of a stream; raises BerylcartError on failure."""
    texts: list[str] = []
    async for event in call_stream(client, address, call):
        if event.name == "token":
            texts.append(event.data["text"])
    return {"text": "".join(texts)}


def retry_delay_s(error: BerylcartError) -> float:
    """Return the delay that an error requests, up to MAX_RETRY_DELAY_S."""
    if error.retry_after_ms is None:
        return DEFAULT_RETRY_DELAY_S
    return min(error.retry_after_ms / 1000, MAX_RETRY_DELAY_S)
