"""Immutable data types and pure functions over them, without I/O."""
