"""Check recorded histories of concurrent runs against the guarantees."""
