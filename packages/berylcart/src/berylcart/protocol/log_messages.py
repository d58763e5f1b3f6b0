"""Encode and decode the log service's messages."""

from collections.abc import Sequence
from typing import Annotated, Any

from pydantic import Field, TypeAdapter
from typing_extensions import TypedDict

from berylcart.protocol.json_codec import (
    MessageError,
    read_message,
    write_json,
)
from berylcart.protocol.record_codec import decode_entry, encode_record
from berylcart.state.records import LogPage, Record

Count = Annotated[int, Field(ge=0)]


class AppendMessage(TypedDict):
    """Define the request body of an append."""

    records: list[Any]


class AppendedMessage(TypedDict):
    """Define the response body of an append."""

    first_offset: Count
    end_offset: Count


class EntryMessage(TypedDict):
    """Define one log entry: a value at its offset."""

    offset: Count
    time_ms: int
    value: Any


class BoundsMessage(TypedDict):
    """Define the range of offsets that the log retains."""

    start_offset: Count
    end_offset: Count


class PageMessage(BoundsMessage):
    """Define the response body of a read."""

    records: list[EntryMessage]


APPEND = TypeAdapter(AppendMessage)
APPENDED = TypeAdapter(AppendedMessage)
BOUNDS = TypeAdapter(BoundsMessage)
PAGE = TypeAdapter(PageMessage)


def write_append(records: Sequence[Record]) -> bytes:
    """Serialize the request body of an append."""
    return write_json({"records": [encode_record(r) for r in records]})


def read_appended(body: bytes, count: int) -> int:
    """Parse the response to an append of count records.

    Returns the offset of the first record.
    """
    message = read_message(APPENDED, body)
    if message["end_offset"] - message["first_offset"] < count:
        raise MessageError("the log appended fewer records than were sent")
    return message["first_offset"]


def read_page(body: bytes, offset: int) -> LogPage:
    """Parse the response to a read from an offset."""
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
    """Parse the response to a read from an expired offset."""
    return read_message(BOUNDS, body)
