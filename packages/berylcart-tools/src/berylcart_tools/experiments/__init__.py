"""Experiments that measure routing policies under load and faults."""
