"""Inject faults into a running deployment and check its event history."""
