"""Turn typed values into JSON values and back."""

from functools import singledispatch
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from pydantic_core import PydanticSerializationError, from_json, to_json

from berylcart.state.errors import BerylcartError, Code

T = TypeVar("T")

MAX_DETAIL_CHARS = 200


class MessageError(BerylcartError):
    """Report a message that does not have its documented form."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.BAD_REQUEST, detail)


def describe_fault(error: ValidationError) -> str:
    """Name the first fault and where it stands, without the input."""
    faults = error.errors(
        include_url=False, include_context=False, include_input=False
    )
    where = ".".join(str(part) for part in faults[0]["loc"])
    text = f"{where}: {faults[0]['msg']}" if where else faults[0]["msg"]
    return text[:MAX_DETAIL_CHARS]


@singledispatch
def to_plain(value: object) -> Any:
    """Write a value with its named tuples as objects.

    >>> from berylcart.state.stage import StageChunk
    >>> to_plain((StageChunk(0, "a"), "b"))
    [{'offset': 0, 'text': 'a'}, 'b']
    """
    return value


@to_plain.register
def tuple_to_plain(value: tuple) -> Any:  # type: ignore[type-arg]
    """Write a named tuple as an object and any other as an array."""
    if hasattr(value, "_asdict"):
        fields: dict[str, Any] = value._asdict()
        return {name: to_plain(field) for name, field in fields.items()}
    return [to_plain(item) for item in value]


@to_plain.register
def list_to_plain(value: list) -> Any:  # type: ignore[type-arg]
    """Write each item of an array."""
    return [to_plain(item) for item in value]


@to_plain.register
def dict_to_plain(value: dict) -> Any:  # type: ignore[type-arg]
    """Write each field of an object."""
    return {name: to_plain(field) for name, field in value.items()}


def write_json(value: object) -> bytes:
    """Write a plain value as JSON.

    Raises MessageError when it has no JSON form.
    """
    try:
        return to_json(value, inf_nan_mode="constants")
    except (PydanticSerializationError, ValueError, RecursionError):
        raise MessageError("the value has no JSON form") from None


def read_json(body: bytes) -> Any:
    """Read any JSON value; raises MessageError."""
    try:
        return from_json(body, allow_inf_nan=False)
    except ValueError:
        raise MessageError("the body is not JSON") from None


def read_message(adapter: TypeAdapter[T], body: bytes | str) -> T:
    """Read one typed message from JSON; raises MessageError."""
    try:
        return adapter.validate_json(body, strict=True)
    except ValidationError as error:
        raise MessageError(describe_fault(error)) from None
