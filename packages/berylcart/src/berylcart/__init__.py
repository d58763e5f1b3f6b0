"""Coordination parts for serving multi-stage model pipelines."""
