"""Hold plain data and the pure functions over it."""
