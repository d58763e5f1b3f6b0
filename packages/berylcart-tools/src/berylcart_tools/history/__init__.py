"""Judge recorded histories of concurrent runs against each promise."""
