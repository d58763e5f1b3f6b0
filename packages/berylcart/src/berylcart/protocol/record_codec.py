"""Convert log records to and from JSON objects."""

from typing import Any

from pydantic import TypeAdapter

from berylcart.protocol.json_codec import (
    MessageError,
    read_message,
    to_builtins,
    write_json,
)
from berylcart.protocol.text_compression import (
    COMPRESS_ABOVE_CHARS,
    compress_to_base64,
    decompress_base64,
)
from berylcart.state.records import (
    Checkpoint,
    Claim,
    DutyClaim,
    LogEntry,
    Outcome,
    Publication,
    Record,
    Release,
)

KIND = "kind"
TEXT = "text"
COMPRESSED_TEXT = "text_zlib"

KIND_OF_TYPE: dict[type[Record], str] = {
    Publication: "publication",
    Checkpoint: "checkpoint",
    Claim: "claim",
    Outcome: "outcome",
    Release: "release",
    DutyClaim: "duty_claim",
}

ADAPTERS: dict[str, TypeAdapter[Record]] = {
    kind: TypeAdapter(record_type)
    for record_type, kind in KIND_OF_TYPE.items()
}


def has_nested_lists(value: object) -> bool:
    """Return whether a list contains a list in place of an object.

    >>> has_nested_lists([["id", 1]]), has_nested_lists([{"a": 1}])
    (True, False)
    """
    if not isinstance(value, list):
        return False
    return any(isinstance(item, list) for item in value)


def encode_record(record: Record) -> dict[str, Any]:
    """Convert a record to a JSON object that names its kind.

    >>> encode_record(Release("digest", "claim-1"))
    {'kind': 'release', 'key_digest': 'digest', 'claim_id': 'claim-1'}
    """
    fields: dict[str, Any] = to_builtins(record)
    text = fields.get(TEXT)
    if isinstance(text, str) and len(text) > COMPRESS_ABOVE_CHARS:
        fields[COMPRESSED_TEXT] = compress_to_base64(fields.pop(TEXT))
    return {KIND: KIND_OF_TYPE[type(record)], **fields}


def decode_record(value: object) -> Record:
    """Convert a JSON value to a record.

    Raises MessageError on an unknown kind or an invalid field.

    >>> decode_record({"kind": "duty_claim", "pool": "p", "holder": "h"})
    DutyClaim(pool='p', holder='h')
    """
    if not isinstance(value, dict):
        raise MessageError("a record is an object")
    fields = dict(value)
    kind = fields.pop(KIND, None)
    if COMPRESSED_TEXT in fields and TEXT not in fields:
        fields[TEXT] = decompress_base64(fields.pop(COMPRESSED_TEXT))
    adapter = ADAPTERS.get(kind) if isinstance(kind, str) else None
    if adapter is None:
        raise MessageError("the record's kind is unknown")
    if any(has_nested_lists(field) for field in fields.values()):
        raise MessageError("nested records are objects")
    return read_message(adapter, write_json(fields))


def decode_entry(offset: int, time_ms: int, value: object) -> LogEntry:
    """Decode one log entry.

    An invalid value gives an entry without a record that keeps its offset.

    >>> decode_entry(7, 1, {"kind": "novel"})
    LogEntry(offset=7, time_ms=1, record=None, \
detail="the record's kind is unknown")
    """
    try:
        return LogEntry(offset, time_ms, decode_record(value))
    except MessageError as error:
        return LogEntry(offset, time_ms, None, error.detail)
