"""Run a whole small system in one process, for a first look."""

from berylcart_tools.demo.tour import run_demo

__all__ = ["run_demo"]
