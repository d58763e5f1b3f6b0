"""Operator tools, stand-ins and experiments."""
