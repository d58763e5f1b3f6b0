"""Implement the berylcartd daemon, one entry of the serving system."""
