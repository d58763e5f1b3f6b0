"""Serve requests by routes, passing them on byte by byte."""
