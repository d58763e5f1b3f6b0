"""Run the stages of admitted requests."""

from berylcart.coordination.serving.attempts import StageRunner
from berylcart.coordination.serving.server import Server

__all__ = [
    "Server",
    "StageRunner",
]
