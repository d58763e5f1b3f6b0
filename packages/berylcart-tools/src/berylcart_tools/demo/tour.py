"""Serve a few requests and print what happened."""

import sys
from typing import Any

import anyio
from berylcart.state.errors import BerylcartError

from berylcart_tools.caller import (
    CallRequest,
    call_stream,
    call_whole,
    fetch_entries,
)
from berylcart_tools.demo.system import DemoSystem, running_system
from berylcart_tools.experiments.deployments import AUTHORITY, PIPELINE

WORKSPACE = "counters"
TEXT = "Which stitch hems a lined wool coat?"
BOOKING = {"counter": "Anarkali 3", "slot": "10:30"}
BOOKING_KEY = "demo-booking-1"
TOKENS = 24


def say(line: str = "") -> None:
    """Print one line."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def say_stages(answer: dict[str, Any]) -> None:
    """Print where each stage ran, how long it took and what it cost."""
    for stage in answer["stages"]:
        where = f"{stage['vm_id']} in {stage['place']}"
        if not stage["vm_id"]:
            where = "not run again: the answer of an earlier send"
        say(
            f"  {stage['service']:<10} {stage['latency_ms']:8.1f} ms"
            f"  {stage['steps']:4d} steps {stage['tokens']:4d} tokens"
            f" {stage['seconds']:7.3f} s  {where}"
        )


class Tour:
    """Make the calls of the demo and count whole answers."""

    def __init__(self, system: DemoSystem) -> None:
        self.system = system
        self.client = system.client
        self.asked = 0
        self.whole = 0

    async def run(self) -> None:
        """Make every call in turn."""
        await self.show_entries()
        await self.call_pipeline()
        await self.call_streaming()
        await self.call_booking()

    async def address(self) -> str:
        """Ask the first daemon which entry to use."""
        first = self.system.daemons[0].http_address
        entries = await fetch_entries(self.client, first, WORKSPACE)
        return entries[0].address

    async def show_entries(self) -> None:
        """Print the entries that callers may use."""
        first = self.system.daemons[0].http_address
        say(f"GET /v1/entries?workspace={WORKSPACE}")
        for entry in await fetch_entries(self.client, first, WORKSPACE):
            say(f"  {entry.daemon_id} at {entry.address} in {entry.place}")

    async def call_pipeline(self) -> None:
        """Run the four-stage pipeline to a whole answer."""
        say(f"\nPOST /v1/pipelines/{PIPELINE}")
        payload = {"text": TEXT, "max_tokens": TOKENS}
        answer = await self.call(CallRequest(WORKSPACE, PIPELINE, payload))
        say_stages(answer)
        self.check(len(answer["stages"]) == 4 and answer["output"]["text"])

    async def call_streaming(self) -> None:
        """Stream the pipeline's answer token by token."""
        say(f"\nPOST /v1/pipelines/{PIPELINE} as a stream")
        payload = {"text": TEXT, "max_tokens": TOKENS}
        call = CallRequest(WORKSPACE, PIPELINE, payload)
        self.asked += 1
        texts: list[str] = []
        offsets: list[int] = []
        answer: dict[str, Any] = {}
        address = await self.address()
        async for event in call_stream(self.client, address, call):
            if event.name == "token":
                texts.append(event.data["text"])
                offsets.append(int(event.event_id))
            else:
                answer = event.data
        say(f"  {len(texts)} tokens at offsets 0 to {len(texts) - 1}")
        say_stages(answer)
        is_joined = answer["output"]["text"] == "".join(texts)
        self.check(is_joined and offsets == list(range(TOKENS)))

    async def call_booking(self) -> None:
        """Send one booking twice; it runs once."""
        say("\nPOST /v1/services/booking, twice with one Idempotency-Key")
        call = CallRequest(
            WORKSPACE,
            "booking",
            dict(BOOKING),
            is_pipeline=False,
            idempotency_key=BOOKING_KEY,
        )
        first = await self.call(call)
        say_stages(first)
        second = await self.call(call)
        say_stages(second)
        self.check(bool(first["output"]))
        self.check(second["output"] == first["output"])

    async def call(self, call: CallRequest) -> dict[str, Any]:
        """Make one call and expect a whole answer."""
        self.asked += 1
        return await call_whole(self.client, await self.address(), call)

    def check(self, is_whole: object) -> None:
        """Count an answer that is whole."""
        if is_whole:
            self.whole += 1
        else:
            say("  NOT WHOLE")


async def tour() -> int:
    """Run the system and the calls; return the exit status."""
    say("Starting the stand-ins and three daemons in one process ...")
    async with running_system(AUTHORITY) as system:
        result = Tour(system)
        try:
            await result.run()
        except BerylcartError as error:
            say(f"  FAILED: {error}")
    say(f"\n{result.whole} of {result.asked} answers were whole.")
    is_good = result.asked > 0 and result.whole == result.asked
    return 0 if is_good else 1


def run_demo() -> int:
    """Run the demo; return 0 only if every answer was whole."""
    return anyio.run(tour)
