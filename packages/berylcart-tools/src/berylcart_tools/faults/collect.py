"""Turn what processes wrote into a history's events."""

import time
from datetime import datetime
from pathlib import Path

from berylcart.coordination.ports import Log
from berylcart.state.config import Configuration
from berylcart.state.config_fold import INITIAL_STATE, fold
from berylcart.state.records import CONFIG_STREAM

from berylcart_tools.experiments.deployments import Deployment
from berylcart_tools.experiments.layout import Upstream
from berylcart_tools.faults.recorder import Recorder, now_ms, read_events
from berylcart_tools.history.events import Accepted, InForce, Joined, Run

PAGE_RECORDS = 1000
MS_PER_S = 1000


def wall_offset_ms() -> int:
    """Give what to take from the time of day to get the shared clock."""
    return int(time.time() * MS_PER_S) - now_ms()


def shared_ms(stamp: str, offset_ms: int) -> int:
    """Read a log line's time on the shared clock."""
    at = datetime.fromisoformat(stamp)
    return int(at.timestamp() * MS_PER_S) - offset_ms


def add_runs(
    recorder: Recorder,
    deployment: Deployment,
    upstream: Upstream,
    log_path: Path,
) -> None:
    """Add what one upstream wrote that it ran, even if it was killed."""
    spec = deployment.service(upstream.spec.name)
    for line in read_events(log_path, "standin.ran"):
        event = Run(
            kind="run",
            at_ms=int(line["at_ms"]),
            attempt_id=line["attempt_id"],
            send_id=line["request_id"].partition("~")[0],
            stage=spec.name,
            vm_id=upstream.vm_id,
            instance=f"{upstream.vm_id}/1",
            place=line["place"],
            workspace=line["workspace"],
            is_idempotent=spec.is_idempotent,
        )
        if line["idempotency_key"]:
            event["key"] = line["idempotency_key"]
        recorder.add(event)


def add_versions(
    recorder: Recorder, entry: str, log_path: Path, offset_ms: int
) -> None:
    """Add when one daemon started and which versions it put in force."""
    for line in read_events(log_path, "daemon.started"):
        at_ms = shared_ms(line["time"], offset_ms)
        recorder.add(Joined(kind="joined", at_ms=at_ms, daemon=entry))
    for line in read_events(log_path, "config.applied"):
        recorder.add(
            InForce(
                kind="in_force",
                at_ms=shared_ms(line["time"], offset_ms),
                daemon=entry,
                version=int(line["version"]),
            )
        )


def permitted_places(configuration: Configuration) -> dict[str, list[str]]:
    """List the places that each workspace permits."""
    return {
        name: sorted(workspace.places)
        for name, workspace in configuration.workspaces.items()
    }


async def add_accepted(recorder: Recorder, log: Log) -> int:
    """Add every version that the log accepted, and count publications."""
    state = INITIAL_STATE
    page = await log.read(CONFIG_STREAM, 0, wait_ms=0, limit=PAGE_RECORDS)
    for entry in page.entries:
        before = state.version
        state = fold(state, entry)
        if state.version == before:
            continue
        recorder.add(
            Accepted(
                kind="accepted",
                at_ms=entry.time_ms,
                version=state.version,
                places=permitted_places(state.configuration),
            )
        )
    return len(page.entries)
