"""Run experiments over real processes."""
