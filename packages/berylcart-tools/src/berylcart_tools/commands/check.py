"""Check a configuration text without publishing it."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa


@cappa.command(name="check", help="Check a configuration text.")
@dataclass
class Check:
    """List the errors in a configuration text, or summarise its content."""

    file: Annotated[Path, cappa.Arg(help="The configuration text.")]

    def __call__(self) -> None:
        """Check the file; exit with CONFIG_INVALID's status on errors."""
        from berylcart.state.config_text import parse
        from berylcart.state.errors import BerylcartError

        from berylcart_tools.commands.exits import exit_with, report
        from berylcart_tools.config_file import (
            read_config_file,
            summarise_configuration,
        )

        try:
            configuration = parse(read_config_file(self.file))
        except BerylcartError as error:
            raise exit_with(error, str(self.file)) from error
        report(f"{self.file}: valid: {summarise_configuration(configuration)}")
