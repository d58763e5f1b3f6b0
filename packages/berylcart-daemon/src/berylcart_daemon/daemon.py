"""Run the entry daemon: start-up, draining and shutdown."""

import signal

import anyio
from anyio.abc import TaskGroup, TaskStatus
from berylcart import events

from berylcart_daemon.parts import DaemonParts
from berylcart_daemon.settings import Settings

READINESS_PERIOD_S = 0.1
FLUSH_TIMEOUT_S = 5.0
LEAVE_TIMEOUT_S = 2.0


class Daemon(DaemonParts):
    """Start the parts of a daemon and stop them in order."""

    async def run(
        self,
        stop: anyio.Event,
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until stop is set, then drain and return."""
        await self.peer_server.start()
        async with anyio.create_task_group() as background:
            self.start_background(background)
            async with anyio.create_task_group() as serving:
                serving.start_soon(self.serve_http)
                events.info(
                    "daemon.started",
                    daemon_id=self.settings.daemon.id,
                    incarnation=self.incarnation,
                    place=self.settings.daemon.place,
                    http_address=self.http_address,
                )
                task_status.started(self.http_address)
                await stop.wait()
                await self.drain()
            await self.leave_membership()
            background.cancel_scope.cancel()
        await self.close()
        events.info("daemon.stopped", daemon_id=self.settings.daemon.id)

    def start_background(self, tasks: TaskGroup) -> None:
        """Start the tasks that keep the daemon's state up to date."""
        tasks.start_soon(self.directory.run)
        tasks.start_soon(self.configs.run)
        tasks.start_soon(self.load_poller.run)
        tasks.start_soon(self.claims.run)
        tasks.start_soon(self.membership.run)
        tasks.start_soon(self.sync.run, self.membership)
        tasks.start_soon(self.seed_finder.run, self.membership)
        tasks.start_soon(self.announce_readiness)
        if self.duties is not None:
            tasks.start_soon(self.duties.run)

    async def announce_readiness(self) -> None:
        """Announce through gossip, periodically, whether it takes callers."""
        while True:
            self.membership.announce(takes_callers=self.facade.takes_callers())
            await anyio.sleep(READINESS_PERIOD_S)

    async def serve_http(self) -> None:
        """Serve callers until should_exit is set on the HTTP server."""
        await self.server.serve(sockets=[self.socket])

    async def drain(self) -> None:
        """Leave entry lists, refuse new requests, finish those in flight."""
        events.info("daemon.draining", in_flight=self.admission.in_flight)
        self.facade.is_draining = True
        self.membership.announce(takes_callers=False)
        timing = self.settings.timing
        # Other entries list this one until gossip reaches them, and callers
        # keep their lists for entries_keep_s.
        await anyio.sleep(timing.entries_keep_s + timing.drain_margin_s)
        self.facade.is_refusing = True
        self.server.should_exit = True

    async def leave_membership(self) -> None:
        """Flush outcomes to the log and leave membership, with timeouts."""
        with anyio.move_on_after(FLUSH_TIMEOUT_S) as scope:
            await self.claims.flush()
        if scope.cancelled_caught:
            events.warning("daemon.outcomes_unflushed")
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            await self.membership.leave()

    async def close(self) -> None:
        """Close the peer server and all client connections."""
        await self.peer_server.close()
        self.peers.close()
        await self.client.aclose()


async def run_daemon(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    daemon = Daemon(settings)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, stop)
        await daemon.run(stop)
        tasks.cancel_scope.cancel()


async def watch_signals(stop: anyio.Event) -> None:
    """Set stop at the first signal; log every signal."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            events.info(
                "daemon.signal",
                signal=signal.Signals(signum).name,
                is_first=not stop.is_set(),
            )
            stop.set()
