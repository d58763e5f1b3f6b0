"""Define the commands of the berylcart binary."""
