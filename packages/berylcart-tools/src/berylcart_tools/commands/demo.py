"""Run the demo deployment."""

from dataclasses import dataclass

import cappa


@cappa.command(
    name="demo",
    help="Run stand-ins and three daemons, and serve a few requests.",
)
@dataclass
class Demo:
    """Start the demo deployment and send a few requests to it."""

    def __call__(self) -> int:
        """Run the demo and return its exit status."""
        from berylcart_tools.demo import run_demo

        return run_demo()
