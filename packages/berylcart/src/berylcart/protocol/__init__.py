"""Translate between typed messages and their wire forms."""
