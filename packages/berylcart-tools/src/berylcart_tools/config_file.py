"""Read a configuration text from a file."""

from pathlib import Path

from berylcart.state.config import Configuration
from berylcart.state.config_text import MAX_TEXT_BYTES
from berylcart.state.errors import BerylcartError, Code


def read_config_file(path: Path) -> str:
    """Read a UTF-8 text; raises BerylcartError CONFIG_INVALID.

    At most one byte more than the permitted size is read, so that the parser
    can detect an oversized text.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_TEXT_BYTES + 1)
        text = data.decode("utf-8")
    except OSError as error:
        detail = error.strerror or "can't be read"
        raise BerylcartError(Code.CONFIG_INVALID, detail) from error
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        detail = f"line {line}: not UTF-8"
        raise BerylcartError(Code.CONFIG_INVALID, detail) from error
    return text


def summarise_configuration(configuration: Configuration) -> str:
    """Return the number of places, services, pipelines and workspaces.

    >>> from berylcart.state.config import EMPTY_CONFIGURATION
    >>> summarise_configuration(EMPTY_CONFIGURATION)
    '0 places, 0 services, 0 pipelines, 0 workspaces'
    """
    collections = zip(configuration._fields, configuration, strict=True)
    return ", ".join(f"{len(values)} {kind}" for kind, values in collections)
