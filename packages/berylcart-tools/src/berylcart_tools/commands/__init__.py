"""Hold the subcommands of berylcart, one a module."""
