"""Hold the newest route table; versions never decrease."""

from collections.abc import Awaitable, Callable

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.state.config import FORMAT_VERSION
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.peer_messages import ConfigFreshness, ConfigReply
from berylcart.state.records import Checkpoint
from berylcart.state.routes import ConfigOrigin, RouteTable
from berylcart.state.tail import FIRST_ERA, LogPosition

MS_PER_S = 1000
RETRY_AFTER_MS = 500
MAX_AGE_MS = 3_600_000
# A daemon that no known address leads to its peers may hear of them later.
# Daemons that all start together have no version to give and wait in vain.
PEER_WAIT_S = 0.5


async def ask_nobody() -> None:
    """Ask no peer for its version; the default of ask_peers."""


class RouteTableHolder:
    """Hold the current route table and the text it was parsed from.

    parse converts a text to a route table; it raises BerylcartError
    CONFIG_INVALID.
    """

    def __init__(self, parse: Callable[[str], RouteTable]) -> None:
        self.parse = parse
        self.table: RouteTable | None = None
        self.text = ""
        self.position = LogPosition(FIRST_ERA, -1)
        self.last_confirmed_s = 0.0
        self.adopted: anyio.Event | None = None
        self.on_change: Callable[[RouteTable], None] = lambda table: None
        # Asks the known peers for their version, in a bounded time.
        self.ask_peers: Callable[[], Awaitable[None]] = ask_nobody

    def require(self) -> RouteTable:
        """Return the current route table; raises NOT_READY if none."""
        if self.table is None:
            raise BerylcartError(
                Code.NOT_READY,
                "no routes known yet",
                retry_after_ms=RETRY_AFTER_MS,
            )
        return self.table

    @property
    def version(self) -> int:
        """Return the current version, 0 if there is none."""
        return 0 if self.table is None else self.table.version

    @property
    def offset(self) -> int:
        """Return the offset up to which the store had been read."""
        return self.position.offset

    def offer(
        self, text: str, offset: int, source: str, era: int = FIRST_ERA
    ) -> None:
        """Apply a text if its version is newer than the current one."""
        try:
            table = self.parse(text)
        except BerylcartError as error:
            events.error(
                "routes.invalid",
                source=source,
                offset=offset,
                detail=error.detail,
            )
            return
        if table.version <= self.version:
            return
        events.info(
            "routes.applied",
            config_version=table.version,
            old_version=self.version,
            source=source,
            era=era,
            offset=offset,
            routes=len(table.routes),
        )
        table.origin = ConfigOrigin(era, source)
        self.table = table
        self.text = text
        self.position = max(self.position, LogPosition(era, offset))
        self.on_change(table)
        if self.adopted is not None:
            self.adopted.set()

    async def wait_for_peer(self) -> None:
        """Ask and wait a bounded time for a first version from a peer.

        The versions in force never decrease, but a restored store may show an
        older one to a daemon that has none yet.
        """
        if self.table is not None:
            return
        wait_until_s = now_s() + PEER_WAIT_S
        self.adopted = anyio.Event()
        await self.ask_peers()
        with anyio.move_on_after(wait_until_s - now_s()):
            await self.adopted.wait()

    def confirm(self, offset: int, era: int = FIRST_ERA) -> None:
        """Record that the store has no newer version up to an offset."""
        self.position = max(self.position, LogPosition(era, offset))
        self.last_confirmed_s = now_s()

    def age_ms(self) -> int:
        """Return the time since the store confirmed the version."""
        if not self.last_confirmed_s:
            return MAX_AGE_MS
        age_s = now_s() - self.last_confirmed_s
        return min(MAX_AGE_MS, int(age_s * MS_PER_S))

    def freshness(self) -> ConfigFreshness:
        """Return the current version and its age for the peers."""
        return ConfigFreshness(
            self.version, self.offset, self.age_ms(), self.position.era
        )

    def offer_for(self, known_version: int) -> ConfigReply:
        """Return the response for a peer that asks for a newer version."""
        if self.table is None or self.version <= known_version:
            return ConfigReply(None, self.age_ms(), self.position.era)
        checkpoint = Checkpoint(
            as_of_offset=self.offset,
            version=self.version,
            format_version=FORMAT_VERSION,
            text=self.text,
            verdicts=(),
        )
        return ConfigReply(checkpoint, self.age_ms(), self.position.era)
