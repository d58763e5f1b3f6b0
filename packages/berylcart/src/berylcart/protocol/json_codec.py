"""Convert typed values to JSON and back."""

from functools import singledispatch
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from pydantic_core import PydanticSerializationError, from_json, to_json

from berylcart.state.errors import BerylcartError, Code

T = TypeVar("T")

MAX_DETAIL_CHARS = 200


class MessageError(BerylcartError):
    """Report a message that violates its documented schema."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.BAD_REQUEST, detail)


def describe_validation_error(error: ValidationError) -> str:
    """Describe the first validation error and its location, not the input."""
    details = error.errors(
        include_url=False, include_context=False, include_input=False
    )
    location = ".".join(str(part) for part in details[0]["loc"])
    text = (
        f"{location}: {details[0]['msg']}" if location else details[0]["msg"]
    )
    return text[:MAX_DETAIL_CHARS]


@singledispatch
def to_builtins(value: object) -> Any:
    """Convert a value so that JSON shows named tuples as objects.

    >>> from berylcart.state.stage import StageChunk
    >>> to_builtins((StageChunk(0, "a"), "b"))
    [{'offset': 0, 'text': 'a'}, 'b']
    """
    return value


@to_builtins.register
def convert_tuple(value: tuple) -> Any:  # type: ignore[type-arg]
    """Convert a named tuple to a dict and any other tuple to a list."""
    if hasattr(value, "_asdict"):
        fields: dict[str, Any] = value._asdict()
        return {name: to_builtins(field) for name, field in fields.items()}
    return [to_builtins(item) for item in value]


@to_builtins.register
def convert_list(value: list) -> Any:  # type: ignore[type-arg]
    """Convert each item of a list."""
    return [to_builtins(item) for item in value]


@to_builtins.register
def convert_dict(value: dict) -> Any:  # type: ignore[type-arg]
    """Convert each value of a dict."""
    return {name: to_builtins(field) for name, field in value.items()}


def write_json(value: object) -> bytes:
    """Serialize a value as JSON.

    Raises MessageError when JSON cannot represent it.
    """
    try:
        return to_json(value, inf_nan_mode="constants")
    except (PydanticSerializationError, ValueError, RecursionError):
        raise MessageError("the value has no JSON form") from None


def read_json(body: bytes) -> Any:
    """Parse any JSON value; raises MessageError."""
    try:
        return from_json(body, allow_inf_nan=False)
    except ValueError:
        raise MessageError("the body is not JSON") from None


def read_message(adapter: TypeAdapter[T], body: bytes | str) -> T:
    """Parse and validate a message in JSON; raises MessageError."""
    try:
        return adapter.validate_json(body, strict=True)
    except ValidationError as error:
        raise MessageError(describe_validation_error(error)) from None
