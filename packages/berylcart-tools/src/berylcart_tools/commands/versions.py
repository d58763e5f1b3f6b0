"""List the verdicts on recent publications."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import cappa

if TYPE_CHECKING:
    from berylcart.coordination.ports import Log
    from berylcart.state.records import Verdict

TIMEOUT_S = 10.0


@cappa.command(name="versions", help="List recent publications.")
@dataclass
class Versions:
    """List recent publications with their version or rejection reason."""

    log: Annotated[str, cappa.Arg(long=True, help="IP:PORT of the log.")]
    timeout_s: Annotated[
        float, cappa.Arg(long="--timeout-s", help="Time limit in seconds.")
    ] = TIMEOUT_S

    def __call__(self) -> None:
        """Replay the log to its end and list the verdicts."""
        import anyio
        from berylcart.state.errors import BerylcartError
        from berylcart.transport.http_client import HttpClient
        from berylcart.transport.log_client import HttpLog

        from berylcart_tools.commands.exits import exit_with, report

        async def list_versions() -> None:
            async with HttpClient() as client:
                await self.list_versions(HttpLog(self.log, client), report)

        try:
            anyio.run(list_versions)
        except BerylcartError as error:
            raise exit_with(error, self.log) from error

    async def list_versions(
        self, log: "Log", report: Callable[[str], None]
    ) -> None:
        """Report the verdicts known from a log, oldest first."""
        from berylcart_tools.publishing import replay_to_end

        keeper = await replay_to_end(log, self.timeout_s)
        for verdict in keeper.verdicts:
            report(format_verdict(verdict))
        report(f"in force: version {keeper.current.version}")


def format_verdict(verdict: "Verdict") -> str:
    """Format one verdict as a line.

    >>> from berylcart.state.records import Verdict
    >>> format_verdict(Verdict("p1", 17, 3, ""))
    'offset 17  version 3  publish-id p1'
    """
    outcome = (
        f"rejected: {verdict.reason}"
        if verdict.version is None
        else f"version {verdict.version}"
    )
    return (
        f"offset {verdict.offset}  {outcome}  publish-id {verdict.publish_id}"
    )
