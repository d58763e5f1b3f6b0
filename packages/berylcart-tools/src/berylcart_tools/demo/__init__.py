"""Demo that runs a small complete system in one process."""

from berylcart_tools.demo.demo_client import run_demo

__all__ = ["run_demo"]
