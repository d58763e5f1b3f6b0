"""Coordinate routing, claims, membership and configuration."""
