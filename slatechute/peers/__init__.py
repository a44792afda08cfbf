"""Links between entries."""
