"""Run the demo."""

from dataclasses import dataclass

import cappa


@cappa.command(
    name="demo",
    help="Run stand-ins and three daemons, and serve a few requests.",
)
@dataclass
class Demo:
    """Hold the command line of the demo."""

    def __call__(self) -> int:
        """Run it."""
        from berylcart_tools.demo import run_demo

        return run_demo()
