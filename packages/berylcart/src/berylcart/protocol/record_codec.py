"""Translate log records to plain JSON objects and back."""

from typing import Any

from pydantic import TypeAdapter

from berylcart.protocol.json_values import (
    MessageError,
    read_message,
    to_plain,
    write_json,
)
from berylcart.protocol.text_packing import (
    PACK_ABOVE_CHARS,
    pack_word,
    unpack_word,
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
PACKED_TEXT = "text_zlib"

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


def has_positional_fields(value: object) -> bool:
    """Say whether an array stands where a named object belongs.

    >>> has_positional_fields([["id", 1]]), has_positional_fields([{"a": 1}])
    (True, False)
    """
    if not isinstance(value, list):
        return False
    return any(isinstance(item, list) for item in value)


def encode_record(record: Record) -> dict[str, Any]:
    """Write a record as an object with its kind.

    >>> encode_record(Release("digest", "claim-1"))
    {'kind': 'release', 'key_digest': 'digest', 'claim_id': 'claim-1'}
    """
    fields: dict[str, Any] = to_plain(record)
    text = fields.get(TEXT)
    if isinstance(text, str) and len(text) > PACK_ABOVE_CHARS:
        fields[PACKED_TEXT] = pack_word(fields.pop(TEXT))
    return {KIND: KIND_OF_TYPE[type(record)], **fields}


def decode_record(value: object) -> Record:
    """Read a record; raises MessageError on an unknown kind or field.

    >>> decode_record({"kind": "duty_claim", "pool": "p", "holder": "h"})
    DutyClaim(pool='p', holder='h')
    """
    if not isinstance(value, dict):
        raise MessageError("a record is an object")
    fields = dict(value)
    kind = fields.pop(KIND, None)
    if PACKED_TEXT in fields and TEXT not in fields:
        fields[TEXT] = unpack_word(fields.pop(PACKED_TEXT))
    adapter = ADAPTERS.get(kind) if isinstance(kind, str) else None
    if adapter is None:
        raise MessageError("the record's kind is unknown")
    if any(has_positional_fields(field) for field in fields.values()):
        raise MessageError("nested records are objects")
    return read_message(adapter, write_json(fields))


def decode_entry(offset: int, time_ms: int, value: object) -> LogEntry:
    """Read one entry, keeping its offset when its value is unreadable.

    >>> decode_entry(7, 1, {"kind": "novel"})
    LogEntry(offset=7, time_ms=1, record=None, \
detail="the record's kind is unknown")
    """
    try:
        return LogEntry(offset, time_ms, decode_record(value))
    except MessageError as error:
        return LogEntry(offset, time_ms, None, error.detail)
