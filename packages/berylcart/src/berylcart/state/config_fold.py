"""Fold the configuration stream into the configuration in force.

The fold is a pure function of the records: all daemons that fold the same
records reach the same version, regardless of their clocks, their start times
and their peers.
"""

from functools import singledispatch
from typing import NamedTuple

from berylcart.state.config import (
    EMPTY_CONFIGURATION,
    FORMAT_VERSION,
    Configuration,
)
from berylcart.state.config_text import ConfigTextError, parse
from berylcart.state.errors import Code
from berylcart.state.records import (
    Checkpoint,
    LogEntry,
    Publication,
    Record,
    Verdict,
)

MAX_VERDICTS = 512
MAX_REASON_CHARS = 400


class FoldState(NamedTuple):
    """Hold the result of folding all records below next_offset.

    unknown_format is the unsupported format version at which the fold
    stopped, None if it did not stop.
    """

    next_offset: int = 0
    version: int = 0
    text: str = ""
    configuration: Configuration = EMPTY_CONFIGURATION
    verdicts: tuple[Verdict, ...] = ()
    unknown_format: int | None = None

    def find_verdict(self, publish_id: str) -> Verdict | None:
        """Return the first retained verdict on a publish_id."""
        for verdict in self.verdicts:
            if verdict.publish_id == publish_id:
                return verdict
        return None


INITIAL_STATE = FoldState()


def fold(state: FoldState, entry: LogEntry) -> FoldState:
    """Fold the next entry; an entry that was already folded is ignored.

    Raises ValueError if the entry does not follow the last one.
    """
    if entry.offset < state.next_offset or state.unknown_format is not None:
        return state
    if entry.offset > state.next_offset:
        raise ValueError(
            f"offset {entry.offset} follows offset {state.next_offset - 1}"
        )
    judged = fold_record(entry.record, state, entry.offset)
    if judged.unknown_format is not None:
        return judged
    return judged._replace(next_offset=entry.offset + 1)


@singledispatch
def fold_record(
    record: Record | None, state: FoldState, offset: int
) -> FoldState:
    """Fold one record; unreadable records and other kinds are ignored."""
    del record, offset
    return state


@fold_record.register
def _(record: Publication, state: FoldState, offset: int) -> FoldState:
    if record.format_version != FORMAT_VERSION:
        return state._replace(unknown_format=record.format_version)
    if state.find_verdict(record.publish_id) is not None:
        return state
    if record.base_version not in (None, state.version):
        return reject(state, record, offset, describe_conflict(record, state))
    try:
        configuration = parse(record.text)
    except ConfigTextError as error:
        return reject(state, record, offset, str(error))
    version = state.version + 1
    verdict = Verdict(record.publish_id, offset, version, "")
    return state._replace(
        version=version,
        text=record.text,
        configuration=configuration,
        verdicts=append_verdict(state.verdicts, verdict),
    )


def describe_conflict(record: Publication, state: FoldState) -> str:
    """Describe the version conflict of a publication."""
    code = Code.CONFIG_CONFLICT
    return (
        f"{int(code)} {code.name}: base version {record.base_version}, "
        f"but version {state.version} is in force"
    )


def reject(
    state: FoldState, record: Publication, offset: int, reason: str
) -> FoldState:
    """Return the state with the rejection of a publication added."""
    short_reason = reason[:MAX_REASON_CHARS]
    verdict = Verdict(record.publish_id, offset, None, short_reason)
    return state._replace(verdicts=append_verdict(state.verdicts, verdict))


def append_verdict(
    verdicts: tuple[Verdict, ...], verdict: Verdict
) -> tuple[Verdict, ...]:
    """Append a verdict and drop the oldest above MAX_VERDICTS."""
    return (*verdicts, verdict)[-MAX_VERDICTS:]


def to_checkpoint(state: FoldState) -> Checkpoint:
    """Convert a state to a checkpoint record."""
    return Checkpoint(
        state.next_offset,
        state.version,
        FORMAT_VERSION,
        state.text,
        state.verdicts,
    )


def to_fold_state(checkpoint: Checkpoint) -> FoldState:
    """Convert a checkpoint to the state from which the fold resumes.

    Raises ConfigTextError if the checkpoint's text is invalid.
    """
    state = FoldState(
        checkpoint.as_of_offset,
        checkpoint.version,
        checkpoint.text,
        verdicts=checkpoint.verdicts[-MAX_VERDICTS:],
    )
    if checkpoint.format_version != FORMAT_VERSION:
        return state._replace(unknown_format=checkpoint.format_version)
    if checkpoint.version == 0:
        return state._replace(text="")
    return state._replace(configuration=parse(checkpoint.text))


def choose_checkpoint(
    entries: tuple[LogEntry, ...], start_offset: int
) -> Checkpoint | None:
    """Choose the checkpoint from which the fold starts, None if unusable.

    The checkpoint with the highest as-of offset is chosen among those from
    which all later records are retained. A checkpoint is ignored if its as-of
    offset is after its own offset, or if its version is lower than that of a
    checkpoint with an earlier as-of offset.
    """
    joining = [
        entry.record
        for entry in entries
        if isinstance(entry.record, Checkpoint)
        and start_offset <= entry.record.as_of_offset <= entry.offset
    ]
    chosen: Checkpoint | None = None
    for each in sorted(joining, key=lambda item: item.as_of_offset):
        if chosen is None or each.version >= chosen.version:
            chosen = each
    return chosen
