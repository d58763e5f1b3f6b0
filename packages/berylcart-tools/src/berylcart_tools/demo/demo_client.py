"""Demo client that sends a few requests and prints the results."""

import sys
from typing import Any

import anyio
from berylcart.state.errors import BerylcartError

from berylcart_tools.caller import (
    CallRequest,
    call_stream,
    call_unary,
    fetch_entries,
)
from berylcart_tools.demo.system import DemoSystem, running_system
from berylcart_tools.experiments.deployments import AUTHORITY, PIPELINE

WORKSPACE = "counters"
QUESTION = "Which stitch hems a lined wool coat?"
BOOKING_PAYLOAD = {"counter": "Anarkali 3", "slot": "10:30"}
BOOKING_KEY = "demo-booking-1"
MAX_TOKENS = 24


def write_line(line: str = "") -> None:
    """Write one line to stdout and flush it."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def write_stages(answer: dict[str, Any]) -> None:
    """Write the VM, place, latency and cost of each stage."""
    for stage in answer["stages"]:
        where = f"{stage['vm_id']} in {stage['place']}"
        if not stage["vm_id"]:
            where = "not executed: stored answer of an earlier call"
        write_line(
            f"  {stage['service']:<10} {stage['latency_ms']:8.1f} ms"
            f"  {stage['steps']:4d} steps {stage['tokens']:4d} tokens"
            f" {stage['seconds']:7.3f} s  {where}"
        )


class DemoClient:
    """Make the calls of the demo and count complete answers."""

    def __init__(self, system: DemoSystem) -> None:
        self.system = system
        self.client = system.client
        self.sent = 0
        self.complete = 0

    async def run(self) -> None:
        """Make all calls in sequence."""
        await self.show_entries()
        await self.call_pipeline()
        await self.call_streaming()
        await self.call_booking()

    async def entry_address(self) -> str:
        """Return the address of an entry that the first daemon lists."""
        first = self.system.daemons[0].http_address
        entries = await fetch_entries(self.client, first, WORKSPACE)
        return entries[0].address

    async def show_entries(self) -> None:
        """Write the entries that callers may use."""
        first = self.system.daemons[0].http_address
        write_line(f"GET /v1/entries?workspace={WORKSPACE}")
        for entry in await fetch_entries(self.client, first, WORKSPACE):
            write_line(
                f"  {entry.daemon_id} at {entry.address} in {entry.place}"
            )

    async def call_pipeline(self) -> None:
        """Call the four-stage pipeline and check the answer."""
        write_line(f"\nPOST /v1/pipelines/{PIPELINE}")
        payload = {"text": QUESTION, "max_tokens": MAX_TOKENS}
        answer = await self.call(CallRequest(WORKSPACE, PIPELINE, payload))
        write_stages(answer)
        self.count_complete(
            len(answer["stages"]) == 4 and answer["output"]["text"]
        )

    async def call_streaming(self) -> None:
        """Call the pipeline as a stream and check tokens and offsets."""
        write_line(f"\nPOST /v1/pipelines/{PIPELINE} as a stream")
        payload = {"text": QUESTION, "max_tokens": MAX_TOKENS}
        call = CallRequest(WORKSPACE, PIPELINE, payload)
        self.sent += 1
        texts: list[str] = []
        offsets: list[int] = []
        answer: dict[str, Any] = {}
        address = await self.entry_address()
        async for event in call_stream(self.client, address, call):
            if event.name == "token":
                texts.append(event.data["text"])
                offsets.append(int(event.event_id))
            else:
                answer = event.data
        write_line(f"  {len(texts)} tokens at offsets 0 to {len(texts) - 1}")
        write_stages(answer)
        matches_tokens = answer["output"]["text"] == "".join(texts)
        self.count_complete(
            matches_tokens and offsets == list(range(MAX_TOKENS))
        )

    async def call_booking(self) -> None:
        """Send a booking twice with one key and check for equal outputs."""
        write_line(
            "\nPOST /v1/services/booking, twice with one Idempotency-Key"
        )
        call = CallRequest(
            WORKSPACE,
            "booking",
            dict(BOOKING_PAYLOAD),
            is_pipeline=False,
            idempotency_key=BOOKING_KEY,
        )
        first = await self.call(call)
        write_stages(first)
        second = await self.call(call)
        write_stages(second)
        self.count_complete(bool(first["output"]))
        self.count_complete(second["output"] == first["output"])

    async def call(self, call: CallRequest) -> dict[str, Any]:
        """Send one call and return its complete answer."""
        self.sent += 1
        return await call_unary(self.client, await self.entry_address(), call)

    def count_complete(self, is_complete: object) -> None:
        """Count a complete answer, or report an incomplete one."""
        if is_complete:
            self.complete += 1
        else:
            write_line("  INCOMPLETE ANSWER")


async def run_system_and_calls() -> int:
    """Run the system and the demo calls; return the exit status."""
    write_line("Starting the stand-ins and three daemons in one process ...")
    async with running_system(AUTHORITY) as system:
        demo = DemoClient(system)
        try:
            await demo.run()
        except BerylcartError as error:
            write_line(f"  FAILED: {error}")
    write_line(f"\n{demo.complete} of {demo.sent} answers were complete.")
    all_complete = demo.sent > 0 and demo.complete == demo.sent
    return 0 if all_complete else 1


def run_demo() -> int:
    """Run the demo; return 0 only if all answers were complete."""
    return anyio.run(run_system_and_calls)
