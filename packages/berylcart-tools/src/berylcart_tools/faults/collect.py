"""Convert process logs and the configuration log into history events."""

import time
from datetime import datetime
from pathlib import Path

from berylcart.coordination.ports import Log
from berylcart.state.config import Configuration
from berylcart.state.config_fold import INITIAL_STATE, fold
from berylcart.state.records import CONFIG_STREAM

from berylcart_tools.experiments.deployments import Deployment
from berylcart_tools.experiments.layout import Upstream
from berylcart_tools.faults.recorder import (
    Recorder,
    monotonic_ms,
    read_log_events,
)
from berylcart_tools.history.events import (
    AcceptedEvent,
    InForceEvent,
    JoinedEvent,
    RunEvent,
)

PAGE_RECORDS = 1000
MS_PER_S = 1000


def wall_clock_offset_ms() -> int:
    """Return the wall-clock time minus the monotonic time, in ms."""
    return int(time.time() * MS_PER_S) - monotonic_ms()


def to_monotonic_ms(time_text: str, clock_offset_ms: int) -> int:
    """Convert the wall-clock time of a log line to the monotonic clock."""
    moment = datetime.fromisoformat(time_text)
    return int(moment.timestamp() * MS_PER_S) - clock_offset_ms


def record_runs(
    recorder: Recorder,
    deployment: Deployment,
    upstream: Upstream,
    log_path: Path,
) -> None:
    """Record the attempts that one upstream logged, even if it was killed."""
    spec = deployment.service(upstream.spec.name)
    for line in read_log_events(log_path, "standin.ran"):
        event = RunEvent(
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


def record_daemon_versions(
    recorder: Recorder, entry: str, log_path: Path, clock_offset_ms: int
) -> None:
    """Record when a daemon started and which versions it put in force."""
    for line in read_log_events(log_path, "daemon.started"):
        at_ms = to_monotonic_ms(line["time"], clock_offset_ms)
        recorder.add(JoinedEvent(kind="joined", at_ms=at_ms, daemon=entry))
    for line in read_log_events(log_path, "config.applied"):
        recorder.add(
            InForceEvent(
                kind="in_force",
                at_ms=to_monotonic_ms(line["time"], clock_offset_ms),
                daemon=entry,
                version=int(line["version"]),
            )
        )


def permitted_places(configuration: Configuration) -> dict[str, list[str]]:
    """Return the permitted places of each workspace, sorted."""
    return {
        name: sorted(workspace.places)
        for name, workspace in configuration.workspaces.items()
    }


async def record_accepted_versions(recorder: Recorder, log: Log) -> int:
    """Record each accepted version; return the number of log entries."""
    state = INITIAL_STATE
    page = await log.read(CONFIG_STREAM, 0, wait_ms=0, limit=PAGE_RECORDS)
    for entry in page.entries:
        previous_version = state.version
        state = fold(state, entry)
        if state.version == previous_version:
            continue
        recorder.add(
            AcceptedEvent(
                kind="accepted",
                at_ms=entry.time_ms,
                version=state.version,
                places=permitted_places(state.configuration),
            )
        )
    return len(page.entries)
