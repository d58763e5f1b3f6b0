"""Implement the coordination ports over TCP and HTTP."""
