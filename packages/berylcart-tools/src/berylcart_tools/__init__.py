"""Provide operator tools, stand-in services and experiments."""
