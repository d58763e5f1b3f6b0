"""Publish a configuration text and wait until it is in force."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Annotated
from uuid import uuid4

import cappa

if TYPE_CHECKING:
    from berylcart.coordination.ports import Log

    from berylcart_tools.publishing import VersionReader

TIMEOUT_S = 30.0


@cappa.command(name="publish", help="Publish a configuration text.")
@dataclass
class Publish:
    """Publish a text, report the verdict and wait until it is in force."""

    file: Annotated[Path, cappa.Arg(help="The configuration text.")]
    log: Annotated[str, cappa.Arg(long=True, help="IP:PORT of the log.")]
    base: Annotated[
        int | None,
        cappa.Arg(long=True, help="The version that the text is based on."),
    ] = None
    unconditional: Annotated[
        bool, cappa.Arg(long=True, help="Replace any version in force.")
    ] = False
    publish_id: Annotated[
        str | None,
        cappa.Arg(
            long="--publish-id", help="The id of an earlier attempt to retry."
        ),
    ] = None
    entry: Annotated[
        list[str],
        cappa.Arg(long=True, help="IP:PORT of an entry to wait for."),
    ] = field(default_factory=list)
    timeout_s: Annotated[
        float, cappa.Arg(long="--timeout-s", help="Time limit in seconds.")
    ] = TIMEOUT_S

    def __call__(self) -> None:
        """Publish; exit with an error status unless in force everywhere."""
        import anyio
        from berylcart.state.errors import BerylcartError
        from berylcart.transport.http_client import HttpClient
        from berylcart.transport.log_client import HttpLog

        from berylcart_tools.commands.exits import exit_with, report
        from berylcart_tools.entry_status import EntryVersionReader

        async def publish() -> None:
            async with HttpClient() as client:
                log = HttpLog(self.log, client)
                await self.publish(
                    log, EntryVersionReader(client).read, report
                )

        try:
            anyio.run(publish)
        except BerylcartError as error:
            raise exit_with(error, str(self.file)) from error

    async def publish(
        self,
        log: "Log",
        read_entry_version: "VersionReader",
        report: Callable[[str], None],
    ) -> None:
        """Append the text to a log, report progress; raises BerylcartError."""
        from berylcart.state.config import FORMAT_VERSION
        from berylcart.state.config_text import parse
        from berylcart.state.errors import BerylcartError, Code
        from berylcart.state.records import Publication

        from berylcart_tools.config_file import read_config_file
        from berylcart_tools.publishing import (
            publish_and_await_verdict,
            rejection_error,
            wait_in_force,
        )

        text = read_config_file(self.file)
        parse(text)
        publish_id = self.publish_id or uuid4().hex
        base = await self.choose_base(log)
        report(f"publishing with --publish-id {publish_id}")
        verdict = await publish_and_await_verdict(
            log,
            Publication(publish_id, base, FORMAT_VERSION, text),
            self.timeout_s,
        )
        if verdict.version is None:
            raise rejection_error(verdict.reason)
        report(f"accepted as version {verdict.version}")
        total = len(self.entry)
        if total == 0:
            return
        count = await wait_in_force(
            self.entry, verdict.version, read_entry_version, self.timeout_s
        )
        report(f"in force on {count} of {total} daemons")
        if count < total:
            detail = f"{total - count} of {total} daemons did not confirm"
            raise BerylcartError(Code.PEER_UNAVAILABLE, detail)

    async def choose_base(self, log: "Log") -> int | None:
        """Return the base version: None if unconditional, 0 if none exists."""
        from berylcart.state.errors import BerylcartError, Code

        from berylcart_tools.publishing import read_version_in_force

        if self.unconditional or self.base is not None:
            return None if self.unconditional else self.base
        version = await read_version_in_force(log, self.timeout_s)
        if version > 0:
            detail = (
                f"version {version} is in force; pass the version that the "
                f"text is based on as --base, or pass --unconditional"
            )
            raise BerylcartError(Code.CONFIG_CONFLICT, detail)
        return 0
