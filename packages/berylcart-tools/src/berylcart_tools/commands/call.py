"""Send a request to a pipeline or a service."""

import json
import sys
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from berylcart.state.errors import BerylcartError, Code


def parse_payload(text: str) -> dict[str, Any]:
    """Parse a JSON object; raises BerylcartError BAD_REQUEST.

    >>> parse_payload('{"text": "hem"}')
    {'text': 'hem'}
    """
    try:
        value = json.loads(text)
    except ValueError as error:
        raise BerylcartError(
            Code.BAD_REQUEST, f"--data is not JSON: {error}"
        ) from None
    if not isinstance(value, dict):
        raise BerylcartError(Code.BAD_REQUEST, "--data must be a JSON object")
    return value


@cappa.command(
    name="call", help="Call a pipeline, or a service with --service."
)
@dataclass
class Call:
    """Send one request to a pipeline or a service."""

    target: Annotated[str, cappa.Arg(help="The pipeline or service.")]
    entry: Annotated[str, cappa.Arg(long=True, help="IP:PORT of any entry.")]
    workspace: Annotated[
        str, cappa.Arg(long=True, help="The workspace to call in.")
    ]
    data: Annotated[str, cappa.Arg(long=True, help="The JSON payload.")]
    service: Annotated[
        bool,
        cappa.Arg(long=True, help="The target is a service, not a pipeline."),
    ] = False
    key: Annotated[str, cappa.Arg(long=True, help="The idempotency key.")] = ""
    ordering_key: Annotated[
        str,
        cappa.Arg(long=True, help="Requests with the same key run in order."),
    ] = ""
    deadline_ms: Annotated[
        int, cappa.Arg(long=True, help="Time limit in milliseconds.")
    ] = 3000
    stream: Annotated[
        bool, cappa.Arg(long=True, help="Print tokens as they arrive.")
    ] = False

    def __call__(self) -> int:
        """Send the request and print the answer."""
        import anyio

        return anyio.run(self.run)

    async def run(self) -> int:
        """Fetch the entry list, call the first entry and print the answer."""
        from berylcart.transport.http_client import HttpClient

        from berylcart_tools.caller import (
            CallRequest,
            call_unary,
            fetch_entries,
        )

        call = CallRequest(
            self.workspace,
            self.target,
            parse_payload(self.data),
            not self.service,
            self.deadline_ms,
            self.key,
            self.ordering_key,
        )
        async with HttpClient() as client:
            entries = await fetch_entries(client, self.entry, self.workspace)
            if not entries:
                raise BerylcartError(
                    Code.NOT_READY,
                    "no entry is permitted to serve this workspace",
                )
            address = entries[0].address
            if self.stream:
                return await self.print_stream(client, address, call)
            answer = await call_unary(client, address, call)
        sys.stdout.write(json.dumps(answer, indent=2) + "\n")
        return 0

    async def print_stream(self, client: Any, address: str, call: Any) -> int:
        """Print the tokens of a stream as they arrive, then its stages."""
        from berylcart_tools.caller import call_stream

        async for event in call_stream(client, address, call):
            if event.name == "token":
                sys.stdout.write(event.data["text"])
                sys.stdout.flush()
            else:
                stages = json.dumps(event.data["stages"], indent=2)
                sys.stdout.write(f"\n{stages}\n")
        return 0
