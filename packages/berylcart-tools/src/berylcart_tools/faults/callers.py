"""Call a deployment as its clients do, and record what they were told."""

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
    call_whole,
    fetch_entries,
)
from berylcart_tools.experiments.deployments import PIPELINE
from berylcart_tools.faults.recorder import Recorder, now_ms
from berylcart_tools.history.events import Answer, Send
from berylcart_tools.standins.pool import embed, find_documents, rank
from berylcart_tools.standins.tokens import answer_text

DEADLINE_MS = 2500
MAX_SENDS = 5
MAX_TOKENS = 12
LONGEST_PAUSE_S = 0.4
DEFAULT_PAUSE_S = 0.1
LIST_KEEP_S = 1.0


class Workload(NamedTuple):
    """Say what clients call."""

    workspaces: tuple[str, ...]
    keyed_service: str
    clients: int
    pause_s: float


def expected_pipeline_text(text: str) -> str:
    """Compute the answer that the pipeline must give for a text."""
    documents = rank(find_documents(embed(text)), text)
    prompt = prompt_of({"text": text, "documents": documents})
    return answer_text(prompt, MAX_TOKENS)


def expected_stream_text(prompt: str) -> str:
    """Compute the text that the model must stream for a prompt."""
    return answer_text(prompt, MAX_TOKENS)


class Client:
    """Send one request after another until told to stop."""

    def __init__(
        self,
        name: str,
        workload: Workload,
        recorder: Recorder,
        entry_names: Mapping[str, str],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.workload = workload
        self.recorder = recorder
        self.entry_names = entry_names
        self.rng = rng
        self.entries: list[str] = []
        self.fetched_at_s = float("-inf")
        self.count = 0

    async def run(self, stop: anyio.Event) -> None:
        """Call until stop is set, then finish the call in hand."""
        async with HttpClient() as client:
            while not stop.is_set():
                await self.call_once(client)
                await anyio.sleep(self.workload.pause_s)

    async def call_once(self, client: HttpClient) -> None:
        """Make one call of a random kind."""
        self.count += 1
        marker = f"{self.name}-{self.count}"
        kind = self.rng.random()
        if kind < 0.5:
            await self.book(client, marker)
        elif kind < 0.75:
            await self.ask(client, marker)
        else:
            await self.stream(client, marker)

    async def book(self, client: HttpClient, marker: str) -> None:
        """Send one booking until it is answered whole, at most a few times.

        Now and then two entries get it at once, and a booked one is sent
        again.
        """
        call = CallRequest(
            self.rng.choice(self.workload.workspaces),
            self.workload.keyed_service,
            {"slot": marker},
            is_pipeline=False,
            deadline_ms=DEADLINE_MS,
            idempotency_key=marker,
        )
        if self.rng.random() < 0.3:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send, client, call, marker)
                tasks.start_soon(self.send, client, call, marker)
        for _ in range(MAX_SENDS):
            error = await self.send(client, call, marker)
            if error is None:
                break
            await anyio.sleep(pause_s(error))
        if self.rng.random() < 0.3:
            await self.send(client, call, marker)

    async def ask(self, client: HttpClient, marker: str) -> None:
        """Run the pipeline once."""
        call = CallRequest(
            self.rng.choice(self.workload.workspaces),
            PIPELINE,
            {"text": marker, "max_tokens": MAX_TOKENS},
            deadline_ms=DEADLINE_MS,
        )
        await self.send(client, call, expected_pipeline_text(marker))

    async def stream(self, client: HttpClient, marker: str) -> None:
        """Stream the model once."""
        call = CallRequest(
            self.rng.choice(self.workload.workspaces),
            "model",
            {"prompt": marker, "max_tokens": MAX_TOKENS},
            is_pipeline=False,
            deadline_ms=DEADLINE_MS,
        )
        expected = expected_stream_text(marker)
        await self.send(client, call, expected, is_stream=True)

    async def send(
        self,
        client: HttpClient,
        call: CallRequest,
        expected: str,
        *,
        is_stream: bool = False,
    ) -> BerylcartError | None:
        """Send a call once, record it, and return its error if any."""
        address = await self.next_entry(client, call.workspace)
        send_id = self.recorder.next_send_id()
        call = call._replace(request_id=send_id)
        self.note_send(send_id, call, expected)
        try:
            if is_stream:
                output = await read_stream(client, address, call)
            else:
                answer = await call_whole(client, address, call)
                output = answer["output"]
        except BerylcartError as error:
            self.note_error(send_id, address, error)
            return error
        self.note_whole(send_id, address, output)
        return None

    def note_send(
        self, send_id: str, call: CallRequest, expected: str
    ) -> None:
        """Record a send and the content that its answer must have."""
        event = Send(
            kind="send",
            at_ms=now_ms(),
            send_id=send_id,
            client=self.name,
            workspace=call.workspace,
            expected=expected,
        )
        if call.idempotency_key:
            event["key"] = call.idempotency_key
        self.recorder.add(event)

    def note_error(
        self, send_id: str, address: str, error: BerylcartError
    ) -> None:
        """Record an error answer, or a connection that was cut."""
        event = Answer(
            kind="answer",
            at_ms=now_ms(),
            send_id=send_id,
            client=self.name,
            status="error",
            entry=self.entry_names.get(address, address),
        )
        if isinstance(error, HttpError):
            event["status"] = "cut"
            if not error.is_sent:
                event["ran"] = "no"
        else:
            event["ran"] = error.ran.value
            event["code"] = int(error.code)
        self.recorder.add(event)

    def note_whole(self, send_id: str, address: str, output: Any) -> None:
        """Record a whole answer and its content."""
        event = Answer(
            kind="answer",
            at_ms=now_ms(),
            send_id=send_id,
            client=self.name,
            status="whole",
            ran="yes",
            output=content_of(output),
            entry=self.entry_names.get(address, address),
        )
        self.recorder.add(event)

    async def next_entry(self, client: HttpClient, workspace: str) -> str:
        """Take the next address of an entry list that is kept a while."""
        age_s = anyio.current_time() - self.fetched_at_s
        if age_s > LIST_KEEP_S or not self.entries:
            await self.fetch_entries(client, workspace)
        self.entries.append(self.entries.pop(0))
        return self.entries[-1]

    async def fetch_entries(self, client: HttpClient, workspace: str) -> None:
        """Ask any entry for the list; keep the old one when none answers."""
        for address in self.rng.sample(sorted(self.entry_names), 3):
            try:
                found = await fetch_entries(client, address, workspace)
            except BerylcartError:
                continue
            self.entries = [entry.address for entry in found]
            self.rng.shuffle(self.entries)
            self.fetched_at_s = anyio.current_time()
            return
        if not self.entries:
            self.entries = list(self.entry_names)


def content_of(output: dict[str, Any]) -> Any:
    """Take what identifies an output: its text, or the slot it booked.

    >>> content_of({"call": 1, "done": {"slot": "c1-1"}})
    'c1-1'
    """
    if "text" in output:
        return output["text"]
    return output.get("done", {}).get("slot")


async def read_stream(
    client: HttpClient, address: str, call: CallRequest
) -> dict[str, Any]:
    """Read a stream to its end; raises BerylcartError when it is broken."""
    texts: list[str] = []
    async for event in call_stream(client, address, call):
        if event.name == "token":
            texts.append(event.data["text"])
    return {"text": "".join(texts)}


def pause_s(error: BerylcartError) -> float:
    """Wait as long as the answer asked, within a bound."""
    if error.retry_after_ms is None:
        return DEFAULT_PAUSE_S
    return min(error.retry_after_ms / 1000, LONGEST_PAUSE_S)
