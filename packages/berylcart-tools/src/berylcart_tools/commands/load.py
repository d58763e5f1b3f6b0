"""Send an open-loop load to a running deployment."""

import json
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import cappa

if TYPE_CHECKING:
    from berylcart_tools.experiments.outcomes import Outcome


@cappa.command(name="load", help="Send an open-loop load and print a summary.")
@dataclass
class Load:
    """Send an open-loop load to a pipeline or a service."""

    target: Annotated[str, cappa.Arg(help="The pipeline or service.")]
    entry: Annotated[str, cappa.Arg(long=True, help="IP:PORT of any entry.")]
    workspace: Annotated[str, cappa.Arg(long=True)]
    service: Annotated[
        bool,
        cappa.Arg(long=True, help="The target is a service, not a pipeline."),
    ] = False
    stream: Annotated[bool, cappa.Arg(long=True)] = False
    keyed: Annotated[
        bool, cappa.Arg(long=True, help="Send idempotency keys.")
    ] = False
    rate: Annotated[
        float, cappa.Arg(long=True, help="Requests per second.")
    ] = 20.0
    duration_s: Annotated[float, cappa.Arg(long=True)] = 10.0
    max_tokens: Annotated[
        int, cappa.Arg(long=True, help="0 for services without tokens.")
    ] = 0
    deadline_ms: Annotated[int, cappa.Arg(long=True)] = 3000
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> int:
        """Send the load and print a summary as JSON."""
        import anyio

        from berylcart_tools.experiments.outcomes import summarise

        outcomes = anyio.run(self.send)
        summary = summarise(outcomes, self.duration_s)
        sys.stdout.write(json.dumps(summary) + "\n")
        return 0

    async def send(self) -> "list[Outcome]":
        """Send the load and return the outcome of each request."""
        from random import Random

        from berylcart.transport.http_client import HttpClient

        from berylcart_tools.experiments.arrivals import (
            CallKind,
            TrafficMix,
            generate_arrivals,
        )
        from berylcart_tools.experiments.load_client import (
            EntryCache,
            LoadClient,
        )

        kind = CallKind(
            self.target,
            1.0,
            is_pipeline=not self.service,
            is_keyed=self.keyed,
            is_stream=self.stream,
            max_tokens=self.max_tokens,
            deadline_ms=self.deadline_ms,
        )
        mix = TrafficMix(((self.workspace, 1.0),), (kind,))
        arrivals = generate_arrivals(
            self.seed, mix, self.rate, self.duration_s
        )
        async with HttpClient() as client:
            entries = EntryCache(client, [self.entry], Random(self.seed))
            load = LoadClient(entries)
            await load.run(arrivals)
            await load.aclose()
        return load.outcomes
