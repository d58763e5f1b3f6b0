"""Define the subcommands of berylcart, one per module."""
