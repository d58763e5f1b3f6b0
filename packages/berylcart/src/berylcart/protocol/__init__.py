"""Encode typed messages for the wire and decode them."""
