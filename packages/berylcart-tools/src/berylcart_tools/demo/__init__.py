"""Demo that runs a small complete system in one process."""

from berylcart_tools.demo.tour import run_demo

__all__ = ["run_demo"]
