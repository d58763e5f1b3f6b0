"""Coordination layer for serving multi-stage model pipelines."""
