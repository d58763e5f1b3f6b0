"""Decide routing, claims, membership and configuration."""
