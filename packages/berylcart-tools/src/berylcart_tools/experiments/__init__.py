"""Measure policies with real processes under load and failures."""
