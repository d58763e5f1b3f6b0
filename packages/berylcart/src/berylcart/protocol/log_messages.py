"""Encode and decode the log service's messages."""

from collections.abc import Sequence
from typing import Annotated, Any

from pydantic import Field, TypeAdapter
from typing_extensions import TypedDict

from berylcart.protocol.json_values import (
    MessageError,
    read_message,
    write_json,
)
from berylcart.protocol.record_codec import decode_entry, encode_record
from berylcart.state.records import LogPage, Record

Count = Annotated[int, Field(ge=0)]


class AppendMessage(TypedDict):
    """Carry the values of one append."""

    records: list[Any]


class AppendedMessage(TypedDict):
    """Answer an append."""

    first_offset: Count
    end_offset: Count


class EntryMessage(TypedDict):
    """Carry one value at its offset."""

    offset: Count
    time_ms: int
    value: Any


class BoundsMessage(TypedDict):
    """Carry what the log retains."""

    start_offset: Count
    end_offset: Count


class PageMessage(BoundsMessage):
    """Answer a read."""

    records: list[EntryMessage]


APPEND = TypeAdapter(AppendMessage)
APPENDED = TypeAdapter(AppendedMessage)
BOUNDS = TypeAdapter(BoundsMessage)
PAGE = TypeAdapter(PageMessage)


def write_append(records: Sequence[Record]) -> bytes:
    """Write the body of an append."""
    return write_json({"records": [encode_record(r) for r in records]})


def read_appended(body: bytes, count: int) -> int:
    """Read the first offset of an append of count records."""
    message = read_message(APPENDED, body)
    if message["end_offset"] - message["first_offset"] < count:
        raise MessageError("the log appended fewer records than were sent")
    return message["first_offset"]


def read_page(body: bytes, offset: int) -> LogPage:
    """Read a page that was asked for from an offset."""
    message = read_message(PAGE, body)
    start, end = message["start_offset"], message["end_offset"]
    offsets = [entry["offset"] for entry in message["records"]]
    first = max(offset, start)
    if offsets != list(range(first, first + len(offsets))):
        raise MessageError("the page's offsets are not consecutive")
    if start > end or (offsets and offsets[-1] >= end):
        raise MessageError("the page exceeds its bounds")
    entries = tuple(
        decode_entry(entry["offset"], entry["time_ms"], entry["value"])
        for entry in message["records"]
    )
    return LogPage(start, end, entries)


def read_bounds(body: bytes) -> BoundsMessage:
    """Read the bounds that come with an expired offset."""
    return read_message(BOUNDS, body)
